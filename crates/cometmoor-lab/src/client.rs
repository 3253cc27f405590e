//! A caller that follows the directory and checks what it gets.

use std::time::{Duration, Instant};

use awc::error::SendRequestError;
use cometmoor_protocol::directory::DirectoryAnswer;
use cometmoor_protocol::error::{ErrorBody, ErrorDetail};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Value, json};

use crate::stand_in::engine_state::whole_text;

/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request for a chat completion.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Model, version or adapter.
    pub model: String,
    /// The user's message; the stand-in's answer follows from it.
    pub message: String,
    /// Number of tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key of a request that must not be repeated.
    pub key: Option<String>,
}

impl ChatCall {
    /// A streamed request that may be repeated.
    pub fn streamed(model: &str, message: &str, max_tokens: u32) -> ChatCall {
        ChatCall {
            model: model.to_owned(),
            message: message.to_owned(),
            max_tokens,
            stream: true,
            key: None,
        }
    }

    /// The prompt that the node makes of the message.
    pub fn prompt(&self) -> String {
        format!("user: {}\nassistant:", self.message)
    }

    /// The only right answer.
    pub fn expected_text(&self) -> String {
        whole_text(&self.prompt(), u64::from(self.max_tokens))
    }
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The whole answer, and the right one.
    Whole,
    /// An answer that was presented as whole and is not the right one.
    Wrong {
        /// What came.
        text: String,
    },
    /// The system told of an error.
    Told {
        /// HTTP status; 200 when the error came within a stream.
        status: u16,
        /// The error.
        detail: ErrorDetail,
    },
    /// The connection could not be made; nothing was sent.
    Unreachable,
    /// The connection broke without an end of the answer.
    Broken {
        /// What happened.
        reason: String,
    },
}

/// A finished request with its timing.
#[derive(Clone, Debug)]
pub struct CallReport {
    /// What came of it.
    pub end: CallEnd,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
}

/// A caller of one group.
#[derive(Clone)]
pub struct Caller {
    key: String,
    client: awc::Client,
}

impl Caller {
    /// A caller with a group's bearer key.
    pub fn new(key: &str) -> Caller {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().timeout(CONNECT_TIMEOUT).limit(0))
            .timeout(ANSWER_TIMEOUT)
            .disable_redirects()
            .finish();
        Caller { key: key.to_owned(), client }
    }

    /// Asks the directory, at the first address that answers.
    pub async fn directory(
        &self,
        addresses: &[String],
        model: &str,
    ) -> Result<DirectoryAnswer, String> {
        let mut reasons = Vec::new();
        for address in addresses {
            let url = format!("http://{address}/v1/directory?model={model}");
            match self.client.get(url).bearer_auth(&self.key).send().await {
                Ok(mut response) if response.status().is_success() => {
                    return response.json().await.map_err(|error| error.to_string());
                }
                Ok(response) => reasons.push(format!("{address}: {}", response.status())),
                Err(error) => reasons.push(format!("{address}: {error}")),
            }
        }
        Err(reasons.join("; "))
    }

    /// Sends a request to one address and checks the answer.
    pub async fn chat(&self, address: &str, call: &ChatCall) -> CallReport {
        let body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.message}],
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let url = format!("http://{address}/v1/chat/completions");
        let mut request = self.client.post(url).bearer_auth(&self.key);
        if let Some(key) = &call.key {
            request = request.insert_header(("idempotency-key", key.as_str()));
        }
        let started = Instant::now();
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return ended(CallEnd::Unreachable),
            Err(error) => {
                return ended(CallEnd::Broken { reason: error.to_string() });
            }
        };
        let status = response.status().as_u16();
        if !response.status().is_success() {
            return ended(match response.json::<ErrorBody>().await {
                Ok(body) => CallEnd::Told { status, detail: body.error },
                Err(error) => CallEnd::Broken { reason: format!("status {status}: {error}") },
            });
        }
        if !call.stream {
            return ended(match response.json::<Value>().await {
                Ok(answer) => {
                    let text = answer["choices"][0]["message"]["content"].as_str();
                    judge(call, text.unwrap_or_default().to_owned())
                }
                Err(error) => CallEnd::Broken { reason: error.to_string() },
            });
        }
        read_stream(call, response, started).await
    }

    /// Calls a plain service and returns the status and the body.
    pub async fn service(
        &self,
        address: &str,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<(u16, Value), CallEnd> {
        let url = format!("http://{address}/services/{path}");
        let mut request = self.client.post(url).bearer_auth(&self.key);
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        let broken = |reason: String| CallEnd::Broken { reason };
        let mut response = match request.send_body(body.to_owned()).await {
            Ok(response) => response,
            Err(SendRequestError::Connect(_)) => return Err(CallEnd::Unreachable),
            Err(error) => return Err(broken(error.to_string())),
        };
        let status = response.status().as_u16();
        if !response.status().is_success() {
            let body = response.json::<ErrorBody>().await;
            return Err(match body {
                Ok(body) => CallEnd::Told { status, detail: body.error },
                Err(error) => broken(error.to_string()),
            });
        }
        let value = response.json().await.map_err(|error| broken(error.to_string()))?;
        Ok((status, value))
    }
}

fn ended(end: CallEnd) -> CallReport {
    CallReport { end, first_token: None, token_gaps: Vec::new() }
}

fn judge(call: &ChatCall, text: String) -> CallEnd {
    if text == call.expected_text() { CallEnd::Whole } else { CallEnd::Wrong { text } }
}

async fn read_stream<Payload>(
    call: &ChatCall,
    response: awc::ClientResponse<Payload>,
    started: Instant,
) -> CallReport
where
    Payload: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut report = ended(CallEnd::Broken { reason: "the stream ended early".to_owned() });
    let mut text = String::new();
    let mut last = started;
    let mut events = response.eventsource();
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => {
                report.end = CallEnd::Broken { reason: error.to_string() };
                return report;
            }
        };
        if event.event == "error" {
            if let Ok(body) = serde_json::from_str::<ErrorBody>(&event.data) {
                report.end = CallEnd::Told { status: 200, detail: body.error };
            }
            return report;
        }
        if event.data == "[DONE]" {
            report.end = judge(call, text);
            return report;
        }
        let value: Value = serde_json::from_str(&event.data).unwrap_or_default();
        text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        let now = Instant::now();
        match report.first_token {
            None => report.first_token = Some(now - started),
            Some(_) => report.token_gaps.push(now - last),
        }
        last = now;
    }
    report
}
