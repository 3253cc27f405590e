//! Calls of plain services.
//!
//! A call that its service declares repeatable may be tried at several
//! servers. Any other is sent again only where no connection was made, so that
//! nothing of the first attempt can have been run.

use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse, web};
use awc::error::SendRequestError;
use bytes::Bytes;
use cometmoor_core::idempotency::StoredAnswer;
use cometmoor_protocol::error::{Outcome, Step};
use cometmoor_protocol::resource::ServiceSpec;
use rand::seq::SliceRandom;

use super::arrival::{ReceivedBody, read_body, require_serving};
use super::authentication::authenticate;
use super::error::RequestError;
use super::forward::forward;
use super::idempotent::{KeyedAnswer, begin, end_run, request_key, service_answer};
use super::run_log::RunPart;
use super::worker::Worker;
use crate::context::RequestGuard;
use crate::settings::millis;
use crate::telemetry::traces::{Hop, TRACEPARENT};

/// What the path of a call names.
struct ServiceTarget {
    service: String,
    path: String,
}

impl From<(String, String)> for ServiceTarget {
    fn from((service, path): (String, String)) -> ServiceTarget {
        ServiceTarget { service, path }
    }
}

/// A call as it goes to a server.
#[derive(Clone)]
struct ServiceCall {
    service: String,
    spec: ServiceSpec,
    method: Method,
    path_and_query: String,
    content_type: Option<String>,
    body: Bytes,
    repeatable: bool,
    hop: Hop,
}

/// `ANY /services/{service}/{path}`
pub async fn call(
    worker: web::Data<Worker>,
    request: HttpRequest,
    payload: web::Payload,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse, RequestError> {
    let guard = worker.node.begin_request();
    let hop = worker.node.tracing.begin("service", request.headers());
    let result =
        answer(&worker, &request, payload, ServiceTarget::from(path.into_inner()), guard, &hop)
            .await;
    result.inspect_err(|error| {
        hop.fail(&error.detail.message);
        worker.node.metrics.record_error(error.detail.step, error.detail.outcome);
    })
}

async fn answer(
    worker: &Worker,
    request: &HttpRequest,
    payload: web::Payload,
    target: ServiceTarget,
    mut guard: RequestGuard,
    hop: &Hop,
) -> Result<HttpResponse, RequestError> {
    require_serving(&worker.node)?;
    let access = authenticate(&worker.node.published.load(), request)?;
    let ReceivedBody { bytes: body, memory } = read_body(worker, payload).await?;
    guard.hold_body(memory.clone());
    hop.attribute("service", target.service.as_str());
    let call = prepare(worker, request, target, body.clone(), hop)?;
    let Some(key) = request_key(worker, request, &access.group, &body)? else {
        return Ok(respond(send(worker, &call).await?));
    };
    match begin(worker, request, &key)? {
        KeyedAnswer::Forward(holder) => forward(worker, request, body, &holder, guard, hop).await,
        KeyedAnswer::Replay(answer) => Ok(respond(answer)),
        KeyedAnswer::Join(log) => Ok(respond(service_answer(&log).await?)),
        KeyedAnswer::Start(log) => {
            let (worker, log_of_run) = (worker.clone(), log.clone());
            let mut run_guard = worker.node.begin_request();
            run_guard.hold_body(memory);
            actix_web::rt::spawn(async move {
                let _guard = run_guard;
                let call = ServiceCall { repeatable: false, ..call };
                let end = send(&worker, &call).await;
                if let Ok(answer) = &end {
                    log_of_run.push(RunPart::Answer(answer.clone()));
                }
                end_run(&worker, &key, &log_of_run, end);
            });
            Ok(respond(service_answer(&log).await?))
        }
    }
}

fn prepare(
    worker: &Worker,
    request: &HttpRequest,
    target: ServiceTarget,
    body: Bytes,
    hop: &Hop,
) -> Result<ServiceCall, RequestError> {
    let ServiceTarget { service, path } = target;
    let catalog = worker.node.published.load().catalog.clone();
    let Some(object) = catalog.service(&service) else {
        let message = format!("there is no service {service:?}");
        return Err(RequestError::not_run(StatusCode::NOT_FOUND, Step::Resolve, message));
    };
    let path = format!("/{path}");
    let method = request.method().clone();
    let repeatable = object
        .spec
        .repeatable
        .iter()
        .any(|call| call.method == method.as_str() && path.starts_with(&call.path_prefix));
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let content_type = request.headers().get("content-type");
    Ok(ServiceCall {
        service,
        spec: object.spec.clone(),
        method,
        path_and_query: format!("{path}{query}"),
        content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
        body,
        repeatable,
        hop: hop.clone(),
    })
}

fn respond(answer: StoredAnswer) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    HttpResponse::build(status).content_type(answer.content_type).body(answer.body)
}

/// Sends a call to the service's servers in random order until one answers.
async fn send(worker: &Worker, call: &ServiceCall) -> Result<StoredAnswer, RequestError> {
    let mut addresses = call.spec.addresses.clone();
    addresses.shuffle(&mut rand::rng());
    worker.node.dispatcher.record_request();
    let mut outcome = Outcome::NotRun;
    let mut last_error = None;
    for (attempt, address) in addresses.iter().enumerate() {
        if attempt > 0 && !worker.node.dispatcher.try_retry() {
            break;
        }
        match send_to(worker, call, address).await {
            Ok(answer) => return Ok(answer),
            Err(error) => {
                if error.detail.outcome == Outcome::Unknown {
                    outcome = Outcome::Unknown;
                }
                last_error = Some(error);
                if outcome == Outcome::Unknown && !call.repeatable {
                    break;
                }
            }
        }
    }
    let mut error = last_error.unwrap_or_else(|| {
        let message = format!("the service {} has no servers", call.service);
        RequestError::not_run(StatusCode::SERVICE_UNAVAILABLE, Step::Route, message)
    });
    error.detail.outcome = outcome;
    Err(error.retry_after(millis(worker.node.settings.timing.connect_timeout_millis)))
}

async fn send_to(
    worker: &Worker,
    call: &ServiceCall,
    address: &str,
) -> Result<StoredAnswer, RequestError> {
    let url = format!("http://{address}{}", call.path_and_query);
    let mut request = worker.http.request(call.method.clone(), url);
    if let Some(content_type) = &call.content_type {
        request = request.insert_header(("content-type", content_type.as_str()));
    }
    let hop = worker.node.tracing.child("dispatch", &call.hop);
    hop.attribute("server", address);
    if let Some(traceparent) = hop.traceparent() {
        request = request.insert_header((TRACEPARENT, traceparent));
    }
    let failed = |step: Step, message: String| {
        RequestError::unknown(StatusCode::BAD_GATEWAY, step, message).at_peer(address)
    };
    let limit = worker.node.settings.limits.answer_bytes;
    let exchange = async {
        let mut response = match request.send_body(call.body.clone()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(error)) => {
                let message = format!("the server cannot be reached: {error}");
                let status = StatusCode::BAD_GATEWAY;
                return Err(RequestError::not_run(status, Step::Dispatch, message).at_peer(address));
            }
            Err(error) => return Err(failed(Step::Dispatch, error.to_string())),
        };
        let content_type = response.headers().get("content-type");
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_owned();
        let body = response.body().limit(limit).await;
        let body = body.map_err(|error| failed(Step::Stream, error.to_string()))?;
        Ok(StoredAnswer { status: response.status().as_u16(), content_type, body: body.to_vec() })
    };
    let timeout = millis(call.spec.timeout_millis);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(failed(Step::Dispatch, format!("no answer within {timeout:?}"))),
    }
}
