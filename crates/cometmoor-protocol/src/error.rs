//! The errors that the system reports to clients.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a failed request may have been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No part of the request was or will be run.
    NotRun,
    /// The request may have been run, completely or in part.
    Unknown,
}

/// Step of a request at which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading and validating the client's request.
    Receive,
    /// Checking the client's credentials.
    Authenticate,
    /// Looking up the model, adapter, version or service.
    Resolve,
    /// Waiting for a free slot.
    Admit,
    /// Selecting a backend.
    Route,
    /// Looking up or holding an idempotency key.
    Idempotency,
    /// Forwarding the request to the node that issued its key.
    Forward,
    /// Sending the request to a backend.
    Dispatch,
    /// Reading the backend's response.
    Stream,
    /// Validating a resource before it is written.
    Validate,
    /// Accessing the configuration store.
    Store,
    /// Calling another node.
    Peer,
}

/// An error as reported to clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct ErrorDetail {
    /// Description of the error, in one sentence.
    pub message: String,
    /// Step at which the error occurred.
    pub step: Step,
    /// Address or name of the peer, if the error concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Identifier of the request, or of the change whose result the client may query.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Milliseconds after which the client may retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_millis: Option<u64>,
    /// Known names that are similar to the one that was not found.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub near_names: Vec<String>,
}

/// JSON body of all error responses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}
