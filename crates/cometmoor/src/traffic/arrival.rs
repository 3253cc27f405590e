//! What every request passes first: the node must be serving, and the body
//! must come within the limits.

use actix_web::http::StatusCode;
use actix_web::web;
use bytes::Bytes;
use cometmoor_protocol::error::Step;

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

/// Reads a request's body within the limits of size and time.
pub async fn read_body(worker: &Worker, payload: web::Payload) -> Result<Bytes, RequestError> {
    let limit = worker.node.settings.limits.body_bytes;
    let patience = millis(worker.node.settings.timing.caller_timeout_millis);
    let refuse = |status, message: String| RequestError::not_run(status, Step::Receive, message);
    match tokio::time::timeout(patience, payload.to_bytes_limited(limit)).await {
        Ok(Ok(Ok(bytes))) => Ok(bytes),
        Ok(Ok(Err(error))) => Err(refuse(StatusCode::BAD_REQUEST, error.to_string())),
        Ok(Err(_)) => {
            let message = format!("the body is larger than {limit} bytes");
            Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, message))
        }
        Err(_) => {
            let message = format!("the body was not complete within {patience:?}");
            Err(refuse(StatusCode::REQUEST_TIMEOUT, message))
        }
    }
}
