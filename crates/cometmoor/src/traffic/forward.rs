//! Passes a request on to the node that answers for its idempotency key.
//!
//! It goes over the callers' interface, because answers are streams that
//! belong on the traffic threads; see `docs/design/idempotency.md`.

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use bytes::Bytes;
use cometmoor_core::membership::Member;
use cometmoor_protocol::error::Step;
use futures::StreamExt;

use super::error::RequestError;
use super::headers::{FORWARDED_HEADER, KEY_HEADER, REQUEST_ID_HEADER};
use super::worker::Worker;
use crate::context::RequestGuard;
use crate::settings::millis;
use crate::telemetry::traces::{Hop, TRACEPARENT};

/// Headers of the caller that are passed on.
const REQUEST_HEADERS: [&str; 3] = ["authorization", "content-type", KEY_HEADER];
/// Headers of the answer that are passed on.
const ANSWER_HEADERS: [&str; 3] = ["content-type", REQUEST_ID_HEADER, "retry-after"];

/// Passes a request on and its answer back. Whatever fails, the outcome is
/// unknown: an earlier attempt under the same key may have been run.
pub async fn forward(
    worker: &Worker,
    request: &HttpRequest,
    body: Bytes,
    holder: &Member,
    guard: RequestGuard,
    parent: &Hop,
) -> Result<HttpResponse, RequestError> {
    let address = &holder.client_address;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let method = request.method().clone();
    let mut call = worker.http.request(method, format!("http://{address}{path}"));
    for name in REQUEST_HEADERS {
        if let Some(value) = request.headers().get(name) {
            call = call.insert_header((name, value.clone()));
        }
    }
    let hop = worker.node.tracing.child("forward", parent);
    hop.attribute("node", holder.name.as_str());
    if let Some(traceparent) = hop.traceparent() {
        call = call.insert_header((TRACEPARENT, traceparent));
    }
    call = call.insert_header((FORWARDED_HEADER, worker.node.settings.node.as_str()));
    let failed = |message: String| {
        RequestError::unknown(StatusCode::BAD_GATEWAY, Step::Forward, message)
            .at_peer(address)
            .retry_after(millis(worker.node.settings.timing.suspicion_millis))
    };
    let patience = millis(worker.node.settings.timing.first_token_timeout_millis)
        + millis(worker.node.settings.timing.queue_wait_millis);
    let sent = tokio::time::timeout(patience, call.send_body(body)).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendRequestError::Connect(error))) => {
            return Err(failed(format!("the key's issuer cannot be reached: {error}")));
        }
        Ok(Err(error)) => return Err(failed(error.to_string())),
        Err(_) => return Err(failed(format!("no answer within {patience:?}"))),
    };
    let mut response = HttpResponse::build(answer.status());
    for name in ANSWER_HEADERS {
        if let Some(value) = answer.headers().get(name) {
            response.insert_header((name, value.clone()));
        }
    }
    let body = answer.map(move |part| {
        let _ = &guard;
        part
    });
    Ok(response.streaming(body))
}
