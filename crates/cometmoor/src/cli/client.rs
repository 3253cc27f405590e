//! Client of the resource API, with failover among several servers.

use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::Method;
use cometmoor_protocol::error::{ErrorBody, ErrorDetail, Outcome};
use cometmoor_protocol::resource::{
    Kind, RecentChange, Resource, ResourceKey, ResourceList, ResourceView,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::exit::Exit;
use crate::operator::api::CHANGE_ID_HEADER;
use crate::operator::status::NodeStatus;

/// Time for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an answer; a write may have to settle a lost answer of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiError {
    /// No server could be reached; nothing was sent.
    Unreachable {
        /// What each attempt said.
        reasons: Vec<String>,
    },
    /// The server answered with an error.
    Refused {
        /// HTTP status.
        status: u16,
        /// The error.
        detail: Box<ErrorDetail>,
    },
    /// The call was sent and no usable answer came.
    Unanswered {
        /// Address of the server.
        server: String,
        /// Identifier to ask about, for a write.
        change_id: String,
        /// What happened.
        reason: String,
    },
}

impl ApiError {
    /// Exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            ApiError::Unreachable { .. } => Exit::Unreachable,
            ApiError::Unanswered { .. } => Exit::Unknown,
            ApiError::Refused { detail, .. } if detail.outcome == Outcome::Unknown => Exit::Unknown,
            ApiError::Refused { .. } => Exit::Refused,
        }
    }
}

impl std::fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ApiError::Unreachable { reasons } => {
                write!(formatter, "no server can be reached: {}", reasons.join("; "))
            }
            ApiError::Refused { status, detail } => {
                write!(formatter, "{} (status {status}, step {:?})", detail.message, detail.step)
            }
            ApiError::Unanswered { server, change_id, reason } => write!(
                formatter,
                "{server} did not answer: {reason}; ask for the change {change_id}"
            ),
        }
    }
}

/// A client of the resource API.
pub struct ApiClient {
    servers: Vec<String>,
    key: String,
    client: awc::Client,
}

impl ApiClient {
    /// A client that tries the servers in order.
    pub fn new(servers: Vec<String>, key: &str) -> ApiClient {
        let client = awc::Client::builder()
            .connector(awc::Connector::new().timeout(CONNECT_TIMEOUT))
            .timeout(ANSWER_TIMEOUT)
            .disable_redirects()
            .finish();
        ApiClient { servers, key: key.to_owned(), client }
    }

    /// Creates or replaces a resource.
    pub async fn apply(
        &self,
        resource: &Resource,
        dry_run: bool,
    ) -> Result<ResourceView, ApiError> {
        let ResourceKey { kind, name } = resource.key();
        let path = format!("/api/v1/{}/{name}?dryRun={dry_run}", kind.plural());
        let body = serde_json::to_value(resource).unwrap_or_default();
        self.call(Method::PUT, &path, Some(&body)).await
    }

    /// Deletes a resource.
    pub async fn delete(&self, key: &ResourceKey, dry_run: bool) -> Result<Value, ApiError> {
        let path = format!("/api/v1/{}/{}?dryRun={dry_run}", key.kind.plural(), key.name);
        self.call(Method::DELETE, &path, None).await
    }

    /// Lists the resources of a kind.
    pub async fn list(&self, kind: Kind) -> Result<ResourceList, ApiError> {
        self.call(Method::GET, &format!("/api/v1/{}", kind.plural()), None).await
    }

    /// Reads a resource.
    pub async fn get(&self, key: &ResourceKey) -> Result<ResourceView, ApiError> {
        let path = format!("/api/v1/{}/{}", key.kind.plural(), key.name);
        self.call(Method::GET, &path, None).await
    }

    /// Reads the state of the node that answers.
    pub async fn status(&self) -> Result<NodeStatus, ApiError> {
        self.call(Method::GET, "/api/v1/status", None).await
    }

    /// Asks what became of a change.
    pub async fn change(&self, change_id: &str) -> Result<RecentChange, ApiError> {
        self.call(Method::GET, &format!("/api/v1/changes/{change_id}"), None).await
    }

    /// Starts the planned stop of the node that answers.
    pub async fn drain(&self) -> Result<Value, ApiError> {
        self.call(Method::POST, "/api/v1/drain", None).await
    }

    /// Opens the watch and returns the answer to be read line by line.
    pub async fn watch(
        &self,
        from: u64,
    ) -> Result<
        awc::ClientResponse<
            impl futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin + use<>,
        >,
        ApiError,
    > {
        let path = format!("/api/v1/watch?from={from}");
        let (server, mut response) = self.send(Method::GET, &path, None).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let body = response.json::<ErrorBody>().await;
        Err(match body {
            Ok(body) => ApiError::Refused { status: status.as_u16(), detail: Box::new(body.error) },
            Err(error) => ApiError::Unanswered {
                server,
                change_id: "-".to_owned(),
                reason: error.to_string(),
            },
        })
    }

    async fn call<Answer: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Answer, ApiError> {
        let change_id = format!("{:032x}", rand::random::<u128>());
        let (server, mut response) = self.send(method, path, body.zip(Some(&*change_id))).await?;
        let unanswered = |reason: String| ApiError::Unanswered {
            server: server.clone(),
            change_id: change_id.clone(),
            reason,
        };
        let bytes = response.body().limit(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| unanswered(error.to_string()))?;
        let status = response.status();
        if !status.is_success() {
            let body: ErrorBody = serde_json::from_slice(&bytes)
                .map_err(|error| unanswered(format!("status {status}: {error}")))?;
            return Err(ApiError::Refused {
                status: status.as_u16(),
                detail: Box::new(body.error),
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| unanswered(error.to_string()))
    }

    /// Sends a call to the first server that can be reached; a call that has
    /// been sent goes to no other.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body_and_change_id: Option<(&Value, &str)>,
    ) -> Result<
        (
            String,
            awc::ClientResponse<
                impl futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>>
                + Unpin
                + use<>,
            >,
        ),
        ApiError,
    > {
        let mut reasons = Vec::new();
        for server in &self.servers {
            let mut request = self
                .client
                .request(method.clone(), format!("http://{server}{path}"))
                .bearer_auth(&self.key);
            let sent = match body_and_change_id {
                Some((body, change_id)) => {
                    request = request.insert_header((CHANGE_ID_HEADER, change_id));
                    request.send_json(body).await
                }
                None => request.send().await,
            };
            match sent {
                Ok(response) => return Ok((server.clone(), response)),
                Err(SendRequestError::Connect(error)) => {
                    reasons.push(format!("{server}: {error}"));
                }
                Err(error) => {
                    return Err(ApiError::Unanswered {
                        server: server.clone(),
                        change_id: body_and_change_id.map(|(_, id)| id).unwrap_or("-").to_owned(),
                        reason: error.to_string(),
                    });
                }
            }
        }
        Err(ApiError::Unreachable { reasons })
    }
}
