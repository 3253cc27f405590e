//! The resource API.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use cometmoor_core::configuration::{Change, Update};
use cometmoor_protocol::error::Step;
use cometmoor_protocol::resource::{
    Kind, RecentChange, Resource, ResourceKey, ResourceList, ResourceView,
};
use serde::Deserialize;
use serde_json::{Value, json};
use spdlog::info;

use super::error::{store_error, write_error};
use super::state::OperatorState;
use super::status::{node_status, view};
use crate::control::configuration::ApplyUpdate;
use crate::control::writer::{
    Accepted, ChangeRequest, KnownConfiguration, find_change, write_change,
};
use crate::telemetry::log::Part;
use crate::traffic::error::RequestError;

/// Header by which a client names its change.
pub const CHANGE_ID_HEADER: &str = "x-change-id";
/// Longest identifier of a change.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Query of a write.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WriteQuery {
    /// Only checks the change.
    #[serde(default)]
    dry_run: bool,
    /// Expected version of a resource that is deleted.
    #[serde(default)]
    resource_version: u64,
}

fn parse_kind(plural: &str) -> Result<Kind, RequestError> {
    Kind::parse(plural).ok_or_else(|| {
        let known: Vec<&str> = Kind::ALL.iter().map(|kind| kind.plural()).collect();
        let message = format!("there is no kind {plural:?}; there are {}", known.join(", "));
        RequestError::not_run(StatusCode::NOT_FOUND, Step::Resolve, message)
    })
}

/// `GET /api/v1/{kind}`
pub async fn list(
    state: web::Data<OperatorState>,
    kind: web::Path<String>,
) -> Result<HttpResponse, RequestError> {
    let kind = parse_kind(&kind)?;
    let snapshot = state.node.published.load();
    let items = snapshot.catalog.of_kind(kind).map(|resource| view(&snapshot, resource));
    let list = ResourceList { resource_version: snapshot.generation, items: items.collect() };
    Ok(HttpResponse::Ok().json(list))
}

/// `GET /api/v1/{kind}/{name}`
pub async fn get(
    state: web::Data<OperatorState>,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse, RequestError> {
    let (kind, name) = path.into_inner();
    let key = ResourceKey { kind: parse_kind(&kind)?, name };
    let snapshot = state.node.published.load();
    match snapshot.catalog.get(&key) {
        Some(resource) => Ok(HttpResponse::Ok().json(view(&snapshot, resource))),
        None => {
            let message = format!("{key} does not exist");
            Err(RequestError::not_run(StatusCode::NOT_FOUND, Step::Resolve, message))
        }
    }
}

/// `POST /api/v1/{kind}`: creates.
pub async fn create(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    kind: web::Path<String>,
    query: web::Query<WriteQuery>,
    body: web::Bytes,
) -> Result<HttpResponse, RequestError> {
    let resource = parse_resource(&body, parse_kind(&kind)?, None)?;
    write(&state, &request, ChangeRequest::Create(resource), query.dry_run).await
}

/// `PUT /api/v1/{kind}/{name}`: replaces, or creates.
pub async fn put(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<WriteQuery>,
    body: web::Bytes,
) -> Result<HttpResponse, RequestError> {
    let (kind, name) = path.into_inner();
    let resource = parse_resource(&body, parse_kind(&kind)?, Some(&name))?;
    write(&state, &request, ChangeRequest::Apply(resource), query.dry_run).await
}

/// `DELETE /api/v1/{kind}/{name}`
pub async fn delete(
    state: web::Data<OperatorState>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    query: web::Query<WriteQuery>,
) -> Result<HttpResponse, RequestError> {
    let (kind, name) = path.into_inner();
    let key = ResourceKey { kind: parse_kind(&kind)?, name };
    let change = ChangeRequest::Delete { key, resource_version: query.resource_version };
    write(&state, &request, change, query.dry_run).await
}

/// Reads a resource; a status in it is dropped, since only nodes state it.
fn parse_resource(body: &[u8], kind: Kind, name: Option<&str>) -> Result<Resource, RequestError> {
    let invalid =
        |message: String| RequestError::not_run(StatusCode::BAD_REQUEST, Step::Receive, message);
    let mut value: Value =
        serde_json::from_slice(body).map_err(|error| invalid(error.to_string()))?;
    if let Some(object) = value.as_object_mut() {
        object.remove("status");
    }
    let resource: Resource = serde_path_to_error::deserialize(&value)
        .map_err(|error| invalid(format!("{}: {}", error.path(), error.inner())))?;
    if resource.kind() != kind {
        return Err(invalid(format!("kind: the path names a {kind}, the body is another kind")));
    }
    if name.is_some_and(|name| name != resource.metadata().name) {
        return Err(invalid("metadata.name: is not the name in the path".to_owned()));
    }
    Ok(resource)
}

fn change_id(request: &HttpRequest) -> Result<String, RequestError> {
    let Some(header) = request.headers().get(CHANGE_ID_HEADER) else {
        return Ok(format!("{:032x}", rand::random::<u128>()));
    };
    let text = header.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_CHANGE_ID_BYTES {
        let message = format!("{CHANGE_ID_HEADER} must have 1 to {MAX_CHANGE_ID_BYTES} characters");
        return Err(RequestError::not_run(StatusCode::BAD_REQUEST, Step::Receive, message));
    }
    Ok(text.to_owned())
}

async fn write(
    state: &OperatorState,
    request: &HttpRequest,
    change: ChangeRequest,
    dry_run: bool,
) -> Result<HttpResponse, RequestError> {
    let change_id = change_id(request)?;
    let key = change.key();
    let snapshot = state.node.published.load();
    let known =
        KnownConfiguration { generation: snapshot.generation, catalog: snapshot.catalog.clone() };
    let write = write_change(&*state.store, &state.layout, &known, &change_id, &change, dry_run);
    let accepted = write.await.map_err(|error| write_error(error).of_request(&change_id))?;
    if !dry_run {
        info!("{} {key} was changed by {change_id}", Part::Operator);
        put_in_force(state, &key, &accepted).await;
    }
    let body = match &accepted.resource {
        Some(resource) => {
            let snapshot = state.node.published.load();
            json!(view(&snapshot, resource))
        }
        None => json!({"deleted": key}),
    };
    Ok(HttpResponse::Ok()
        .insert_header((CHANGE_ID_HEADER, change_id))
        .insert_header(("x-generation", accepted.generation.to_string()))
        .json(body))
}

/// Brings an accepted change into force here at once; the other nodes learn
/// of it from the relays. A node that lags is left to them too.
async fn put_in_force(state: &OperatorState, key: &ResourceKey, accepted: &Accepted) {
    let change = Change {
        generation: accepted.generation,
        key: key.clone(),
        resource: accepted.resource.clone().map(Arc::new),
    };
    let update =
        Update::Changes { base: accepted.generation.saturating_sub(1), changes: vec![change] };
    // The actor ends only with the process.
    let _ = state.configuration.send(ApplyUpdate(update)).await;
}

/// `GET /api/v1/changes/{id}`: what became of a change.
pub async fn change(
    state: web::Data<OperatorState>,
    change_id: web::Path<String>,
) -> Result<HttpResponse, RequestError> {
    let found: Option<RecentChange> = find_change(&*state.store, &state.layout, &change_id)
        .await
        .map_err(|error| store_error(&error))?;
    match found {
        Some(change) => Ok(HttpResponse::Ok().json(change)),
        None => {
            let message = "the change is not among the newest ones in the store";
            Err(RequestError::unknown(StatusCode::NOT_FOUND, Step::Resolve, message)
                .of_request(&change_id))
        }
    }
}

/// `GET /api/v1/status`
pub async fn status(state: web::Data<OperatorState>) -> HttpResponse {
    HttpResponse::Ok().json(node_status(&state.node))
}

/// `GET /api/v1/schema`: JSON Schema of the resources.
pub async fn schema() -> HttpResponse {
    HttpResponse::Ok().json(schemars::schema_for!(ResourceView))
}

/// `GET /metrics`: for Prometheus, without a key.
pub async fn metrics(state: web::Data<OperatorState>) -> HttpResponse {
    let node = &state.node;
    let metrics = &node.metrics;
    let count = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
    metrics.in_progress.set(count(node.in_progress()));
    metrics.waiting.set(count(node.dispatcher.waiting()));
    let generation = node.published.load().generation;
    metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    HttpResponse::Ok().content_type(content_type).body(metrics.encode())
}

/// `POST /api/v1/drain`: starts the planned stop of this node.
pub async fn drain(state: web::Data<OperatorState>) -> HttpResponse {
    state.drain.notify_one();
    HttpResponse::Accepted().json(json!({"draining": true}))
}
