//! What every request passes first: the node must be serving, and the body
//! must come within the limits.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::web;
use bytes::{Bytes, BytesMut};
use cometmoor_protocol::error::Step;
use futures::StreamExt;

use super::body_memory::HeldBody;
use super::error::RequestError;
use super::worker::Worker;
use crate::context::NodeContext;
use crate::settings::millis;

/// Refuses requests while this node has no configuration that may be served.
pub fn require_serving(node: &NodeContext) -> Result<(), RequestError> {
    if node.may_serve() {
        return Ok(());
    }
    let message = "this node has no current configuration";
    Err(RequestError::not_run(StatusCode::SERVICE_UNAVAILABLE, Step::Receive, message)
        .retry_after(millis(node.settings.timing.freshness_millis)))
}

/// A body within the limits, and the memory that is held for it.
pub struct ReceivedBody {
    /// The body.
    pub bytes: Bytes,
    /// To be kept as long as anything that was made of the body.
    pub memory: Arc<HeldBody>,
}

/// Reads a request's body within the limits of size, time and memory.
pub async fn read_body(
    worker: &Worker,
    payload: web::Payload,
) -> Result<ReceivedBody, RequestError> {
    let memory = worker.node.body_memory.begin_body();
    let patience = millis(worker.node.settings.timing.caller_timeout_millis);
    let reading = tokio::time::timeout(patience, collect(worker, payload, &memory));
    let collected = tokio::select! {
        biased;
        () = memory.wait_for_eviction() => Err(out_of_memory(worker)),
        result = reading => result.unwrap_or_else(|_| {
            let message = format!("the body was not complete within {patience:?}");
            Err(refusal(StatusCode::REQUEST_TIMEOUT, message))
        }),
    };
    let bytes = collected?;
    memory.complete().map_err(|_| out_of_memory(worker))?;
    Ok(ReceivedBody { bytes, memory: Arc::new(memory) })
}

async fn collect(
    worker: &Worker,
    mut payload: web::Payload,
    memory: &HeldBody,
) -> Result<Bytes, RequestError> {
    let limit = worker.node.settings.limits.body_bytes.min(worker.node.body_memory.max_body());
    let mut bytes = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|error| refusal(StatusCode::BAD_REQUEST, error.to_string()))?;
        if bytes.len() + part.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(refusal(StatusCode::PAYLOAD_TOO_LARGE, message));
        }
        memory.grow(part.len()).map_err(|_| out_of_memory(worker))?;
        bytes.extend_from_slice(&part);
    }
    Ok(bytes.freeze())
}

fn refusal(status: StatusCode, message: String) -> RequestError {
    RequestError::not_run(status, Step::Receive, message)
}

fn out_of_memory(worker: &Worker) -> RequestError {
    let message = "there is no memory for the body".to_owned();
    refusal(StatusCode::SERVICE_UNAVAILABLE, message)
        .retry_after(millis(worker.node.settings.timing.queue_wait_millis))
}
