//! Requests that must not be repeated, by their idempotency keys.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use cometmoor_core::idempotency::{BeginOutcome, KeyError, KeyPrefix, RunOutcome, StoredAnswer};
use cometmoor_core::membership::{Issuer, Member, Membership};
use cometmoor_protocol::error::{Outcome, Step};
use xxhash_rust::xxh3::Xxh3;

use super::error::RequestError;
use super::headers::{FORWARDED_HEADER, KEY_HEADER};
use super::keys::KeyedRequest;
use super::run_log::{RunLog, RunPart};
use super::worker::Worker;
use crate::settings::millis;

/// A key with its parts.
#[derive(Clone, Debug)]
pub struct RequestKey {
    /// The whole key.
    pub key: String,
    /// The part that the directory handed out.
    pub prefix: KeyPrefix,
    /// Tells different requests apart.
    pub fingerprint: u64,
}

/// Where the answer to a request with a key comes from.
pub enum KeyedAnswer {
    /// This node runs it now: the caller of this function starts the run.
    Start(Arc<RunLog>),
    /// A run under way.
    Join(Arc<RunLog>),
    /// An earlier run.
    Replay(StoredAnswer),
    /// Another node.
    Forward(Member),
}

/// Reads the key of a request; none if it may be repeated.
pub fn request_key(
    worker: &Worker,
    request: &HttpRequest,
    group: &str,
    body: &[u8],
) -> Result<Option<RequestKey>, RequestError> {
    let Some(header) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = header.to_str().map_err(|_| bad_key("the key is not plain text"))?;
    let system = &worker.node.settings.system;
    let prefix = KeyPrefix::from_key(key, system).map_err(|error| {
        bad_key(match error {
            KeyError::Malformed => "the key does not start with a prefix of the directory",
            KeyError::ForeignSystem => "the key's prefix is of another system",
            KeyError::TooLong => "the key is too long",
        })
    })?;
    let fingerprint = fingerprint(group, request.path(), body);
    Ok(Some(RequestKey { key: key.to_owned(), prefix, fingerprint }))
}

fn bad_key(message: &str) -> RequestError {
    RequestError::not_run(StatusCode::BAD_REQUEST, Step::Idempotency, message)
}

fn fingerprint(group: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [group.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

/// Decides where the answer comes from.
pub fn begin(
    worker: &Worker,
    request: &HttpRequest,
    key: &RequestKey,
) -> Result<KeyedAnswer, RequestError> {
    match worker.node.keys.begin(&key.key, &key.prefix, key.fingerprint) {
        KeyedRequest::Run(log) => Ok(KeyedAnswer::Start(log)),
        KeyedRequest::Join(log) => Ok(KeyedAnswer::Join(log)),
        KeyedRequest::Decided(BeginOutcome::Replay(answer)) => Ok(KeyedAnswer::Replay(answer)),
        KeyedRequest::Decided(decided) => Err(refusal(worker, &decided)),
        KeyedRequest::Elsewhere(issuer) => holder(worker, request, &issuer),
    }
}

/// Why a key was refused, with what the table knows of it.
fn refusal(worker: &Worker, decided: &BeginOutcome) -> RequestError {
    let (status, outcome, message) = match decided {
        BeginOutcome::Expired { certainly_not_run: true } => {
            (StatusCode::GONE, Outcome::NotRun, "the key has expired; it was never run")
        }
        BeginOutcome::Expired { certainly_not_run: false } => {
            (StatusCode::GONE, Outcome::Unknown, "the key has expired")
        }
        BeginOutcome::DifferentRequest => (
            StatusCode::UNPROCESSABLE_ENTITY,
            Outcome::NotRun,
            "the key was used for another request; this one was not run",
        ),
        BeginOutcome::Full => {
            (StatusCode::TOO_MANY_REQUESTS, Outcome::NotRun, "no room for another key")
        }
        _ => (StatusCode::CONFLICT, Outcome::Unknown, "the request may have been run"),
    };
    let error = RequestError::new(status, Step::Idempotency, outcome, message);
    match decided {
        BeginOutcome::Full => {
            error.retry_after(millis(worker.node.settings.timing.queue_wait_millis))
        }
        _ => error,
    }
}

/// Finds the node that answers for another issuer's keys. Where there is none
/// that can be asked, the outcome is unknown: the issuer may have run it.
fn holder(
    worker: &Worker,
    request: &HttpRequest,
    issuer: &Issuer,
) -> Result<KeyedAnswer, RequestError> {
    let members = worker.node.published.load().members.clone();
    let own = &worker.node.settings.node;
    let holder = Membership::key_holder(&members, issuer).filter(|holder| holder.name != *own);
    let forwarded_already = request.headers().contains_key(FORWARDED_HEADER);
    match holder {
        Some(holder) if !forwarded_already => Ok(KeyedAnswer::Forward(holder.clone())),
        _ => {
            let message = "the node that issued the key cannot be asked";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(RequestError::unknown(status, Step::Idempotency, message)
                .at_peer(&issuer.node)
                .retry_after(millis(worker.node.settings.timing.suspicion_millis)))
        }
    }
}

/// Notes the end of a run in the table and for all that read its log.
pub fn end_run(
    worker: &Worker,
    key: &RequestKey,
    log: &RunLog,
    end: Result<StoredAnswer, RequestError>,
) {
    let finish = match &end {
        Ok(answer) => RunOutcome::Complete(answer.clone()),
        Err(error) if error.detail.outcome == Outcome::NotRun => RunOutcome::NotRun,
        Err(_) => RunOutcome::Unknown,
    };
    worker.node.keys.finish(&key.key, &key.prefix, finish);
    log.end(end.map(|_| ()));
}

/// Reads the answer of a plain service from a log.
pub async fn service_answer(log: &RunLog) -> Result<StoredAnswer, RequestError> {
    match log.get(0).await {
        Some(Ok(RunPart::Answer(answer))) => Ok(answer),
        Some(Err(error)) => Err(error),
        Some(Ok(RunPart::Chunk(_))) | None => Err(RequestError::unknown(
            StatusCode::BAD_GATEWAY,
            Step::Idempotency,
            "the run ended without an answer",
        )),
    }
}
