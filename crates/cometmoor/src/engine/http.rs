//! The engines' interface over HTTP.

use std::pin::Pin;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use cometmoor_protocol::engine::{
    COMPLETIONS_PATH, CompletionChunk, CompletionRequest, FENCE_PATH, INVENTORY_PATH, Inventory,
    ORDERS_PATH, Order, REQUESTS_PATH, RaiseFence, Refusal,
};
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::EngineError;
use crate::telemetry::traces::TRACEPARENT;

/// Largest report or refusal that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Time within which a started answer must be complete, where it is no stream.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Parts of a completion; the stream ends where the engine ended it, which is
/// not always after the last part.
pub type ChunkStream = Pin<Box<dyn Stream<Item = Result<CompletionChunk, EngineError>>>>;

/// A client for one thread.
#[derive(Clone)]
pub struct EngineClient {
    client: awc::Client,
}

impl EngineClient {
    /// A client without retries and redirects of its own.
    pub fn new(connect_timeout: Duration) -> EngineClient {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().timeout(connect_timeout).limit(0))
            .disable_timeout()
            .disable_redirects()
            .finish();
        EngineClient { client }
    }

    /// Asks for the engine's report.
    pub async fn inventory(
        &self,
        address: &str,
        timeout: Duration,
    ) -> Result<Inventory, EngineError> {
        let request = self.client.get(url(address, INVENTORY_PATH)).send();
        let response = answered(address, timeout, request).await?;
        read_answer(address, response).await
    }

    /// Raises the engine's fence and returns the engine's report after it.
    pub async fn raise_fence(
        &self,
        address: &str,
        raise: &RaiseFence,
        timeout: Duration,
    ) -> Result<Inventory, EngineError> {
        self.post(address, FENCE_PATH, raise, timeout).await
    }

    /// Sends a placement order and returns the engine's report after it.
    pub async fn order(
        &self,
        address: &str,
        order: &Order,
        timeout: Duration,
    ) -> Result<Inventory, EngineError> {
        self.post(address, ORDERS_PATH, order, timeout).await
    }

    /// Starts or resumes a completion. `timeout` is for the engine to take
    /// the request, not for its first token.
    pub async fn complete(
        &self,
        address: &str,
        request: &CompletionRequest,
        traceparent: Option<&str>,
        timeout: Duration,
    ) -> Result<ChunkStream, EngineError> {
        let mut call = self.client.post(url(address, COMPLETIONS_PATH));
        if let Some(traceparent) = traceparent {
            call = call.insert_header((TRACEPARENT, traceparent));
        }
        let response = answered(address, timeout, call.send_json(request)).await?;
        if !response.status().is_success() {
            return Err(refused(address, response).await);
        }
        let peer = address.to_owned();
        let limited = limit_unbroken(response, MAX_EVENT_BYTES);
        let events = Box::pin(limited).eventsource().map(move |event| match event {
            Ok(event) => serde_json::from_str(&event.data).map_err(|error| {
                EngineError::Malformed { peer: peer.clone(), reason: error.to_string() }
            }),
            Err(error) => {
                Err(EngineError::Unanswered { peer: peer.clone(), reason: error.to_string() })
            }
        });
        Ok(Box::pin(events))
    }

    /// Cancels a completion that nobody waits for any more.
    pub async fn cancel(
        &self,
        address: &str,
        request_id: &str,
        timeout: Duration,
    ) -> Result<(), EngineError> {
        let path = format!("{REQUESTS_PATH}/{request_id}");
        let call = self.client.delete(url(address, &path)).send();
        answered(address, timeout, call).await.map(|_| ())
    }

    async fn post<Answer: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<Answer, EngineError> {
        let call = self.client.post(url(address, path)).send_json(body);
        let response = answered(address, timeout, call).await?;
        read_answer(address, response).await
    }
}

/// Ends a stream with an error after this many bytes without a line break, so
/// that the parser's buffer is bounded.
fn limit_unbroken<Error: std::fmt::Display>(
    stream: impl Stream<Item = Result<bytes::Bytes, Error>>,
    limit: usize,
) -> impl Stream<Item = Result<bytes::Bytes, String>> {
    let mut unbroken = 0;
    stream.map(move |part| {
        let part = part.map_err(|error| error.to_string())?;
        unbroken = match part.iter().rposition(|byte| *byte == b'\n') {
            Some(position) => part.len() - position - 1,
            None => unbroken + part.len(),
        };
        if unbroken > limit {
            return Err(format!("an event is larger than {limit} bytes"));
        }
        Ok(part)
    })
}

fn url(address: &str, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Waits for the head of an answer. Only a failed connection proves that
/// nothing was sent.
async fn answered<Payload>(
    address: &str,
    timeout: Duration,
    call: impl Future<Output = Result<awc::ClientResponse<Payload>, SendRequestError>>,
) -> Result<awc::ClientResponse<Payload>, EngineError> {
    let peer = address.to_owned();
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(SendRequestError::Connect(error))) => {
            Err(EngineError::Unreachable { peer, reason: error.to_string() })
        }
        Ok(Err(error)) => Err(EngineError::Unanswered { peer, reason: error.to_string() }),
        Err(_) => {
            let reason = format!("nothing within {timeout:?}");
            Err(EngineError::Unanswered { peer, reason })
        }
    }
}

async fn read_answer<Payload, Answer>(
    address: &str,
    mut response: awc::ClientResponse<Payload>,
) -> Result<Answer, EngineError>
where
    Payload: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    Answer: DeserializeOwned,
{
    if !response.status().is_success() {
        return Err(refused(address, response).await);
    }
    let body = read_body(address, &mut response).await?;
    serde_json::from_slice(&body).map_err(|error| EngineError::Malformed {
        peer: address.to_owned(),
        reason: error.to_string(),
    })
}

/// Reads an answer that is no success. Only a well-formed refusal proves that
/// nothing was run.
async fn refused<Payload>(address: &str, mut response: awc::ClientResponse<Payload>) -> EngineError
where
    Payload: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let peer = address.to_owned();
    let status = response.status();
    let body = match read_body(address, &mut response).await {
        Ok(body) => body,
        Err(error) => return error,
    };
    match serde_json::from_slice::<Refusal>(&body) {
        Ok(refusal) if status == StatusCode::CONFLICT => {
            EngineError::Refused { peer, reason: refusal.refused }
        }
        _ => EngineError::Malformed { peer, reason: format!("status {status}") },
    }
}

async fn read_body<Payload>(
    address: &str,
    response: &mut awc::ClientResponse<Payload>,
) -> Result<bytes::Bytes, EngineError>
where
    Payload: Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let unanswered = |reason: String| EngineError::Unanswered { peer: address.to_owned(), reason };
    let body = response.body().limit(MAX_ANSWER_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(body) => body.map_err(|error| unanswered(error.to_string())),
        Err(_) => Err(unanswered(format!("the answer was not complete in {BODY_TIMEOUT:?}"))),
    }
}
