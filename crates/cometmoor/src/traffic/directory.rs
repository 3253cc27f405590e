//! The directory: tells callers which of the system's addresses to use.

use actix_web::{HttpRequest, HttpResponse, web};
use cometmoor_core::homes::{HomeCandidate, home_nodes};
use cometmoor_core::membership::{Member, MemberState};
use cometmoor_protocol::directory::{DirectoryAddress, DirectoryAnswer};
use serde::Deserialize;
use serde_json::json;

use super::arrival::require_serving;
use super::authentication::authenticate;
use super::error::RequestError;
use super::worker::Worker;
use crate::settings::millis;

/// Fallback addresses in one answer.
const MAX_FALLBACKS: usize = 3;

/// Query of the directory.
#[derive(Debug, Deserialize)]
pub struct DirectoryQuery {
    /// Model, version or adapter that the caller is going to use.
    #[serde(default)]
    model: String,
}

/// `GET /v1/directory`
pub async fn directory(
    worker: web::Data<Worker>,
    request: HttpRequest,
    query: web::Query<DirectoryQuery>,
) -> Result<HttpResponse, RequestError> {
    require_serving(&worker.node)?;
    authenticate(&worker.node.published.load(), &request)?;
    Ok(HttpResponse::Ok().json(answer(&worker, &query.model)))
}

fn answer(worker: &Worker, model: &str) -> DirectoryAnswer {
    let node = &worker.node;
    let snapshot = node.published.load();
    // All adapters of a model share the model's homes, and so its cache.
    let base = snapshot.catalog.resolve(model).map(|resolved| resolved.artifact.model);
    let key = base.unwrap_or_else(|| model.to_owned());
    let serving: Vec<&Member> =
        snapshot.members.iter().filter(|member| is_serving(member)).collect();
    let candidates: Vec<HomeCandidate> = serving.iter().copied().map(HomeCandidate::from).collect();
    let ranked = home_nodes(&key, &candidates, candidates.len());
    let addresses: Vec<String> = ranked
        .iter()
        .filter_map(|home| serving.iter().find(|member| member.name == home.name))
        .map(|member| member.client_address.clone())
        .collect();
    let homes = node.settings.limits.home_nodes.min(addresses.len());
    let (homes, others) = addresses.split_at(homes);
    let prefix = (!node.is_draining()).then(|| node.keys.issue_prefix().to_string());
    DirectoryAnswer {
        addresses: homes
            .iter()
            .map(|address| DirectoryAddress { address: address.clone(), weight: 1 })
            .collect(),
        fallbacks: others.iter().take(MAX_FALLBACKS).cloned().collect(),
        lifetime_seconds: millis(node.settings.timing.directory_lifetime_millis).as_secs().max(1),
        idempotency_key_prefix: prefix,
        idempotency_address: node.settings.client_address.to_string(),
        idempotency_key_lifetime_seconds: millis(node.settings.timing.key_lifetime_millis)
            .as_secs(),
        generation: snapshot.generation,
    }
}

/// A suspected node is left out: its callers would have to wait.
fn is_serving(member: &Member) -> bool {
    member.state == MemberState::Alive
}

/// `GET /v1/models`
pub async fn models(
    worker: web::Data<Worker>,
    request: HttpRequest,
) -> Result<HttpResponse, RequestError> {
    require_serving(&worker.node)?;
    let snapshot = worker.node.published.load();
    authenticate(&snapshot, &request)?;
    let names = snapshot.catalog.callable_names();
    let data: Vec<_> = names.iter().map(|name| json!({"id": name, "object": "model"})).collect();
    Ok(HttpResponse::Ok().json(json!({"object": "list", "data": data})))
}
