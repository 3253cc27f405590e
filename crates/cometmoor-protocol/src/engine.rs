//! The interface of the model engines.
//!
//! Engines accept completion requests over HTTP in the OpenAI format, and placement orders as JSON.
//! An engine that checks fences keeps the highest [`Fence`] that it has seen. It refuses orders
//! that are not newer or are addressed to another incarnation. Its inventory contains the fence, so
//! that an inventory settles all orders up to that fence.

use serde::{Deserialize, Serialize};

/// Path of the inventory.
pub const INVENTORY_PATH: &str = "/engine/inventory";
/// Path to which orders are posted.
pub const ORDERS_PATH: &str = "/engine/orders";
/// Path to which a raised fence is posted.
pub const FENCE_PATH: &str = "/engine/fence";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path under which a running request is canceled by its identifier.
pub const REQUESTS_PATH: &str = "/v1/requests";

/// Position in the sequence of orders: the planner's epoch, then its counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Store revision at which the planner obtained its lease.
    pub epoch: u64,
    /// Counter within the epoch.
    pub sequence: u64,
}

/// A unit that engines load: a model version, or an adapter of one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Artifact {
    /// Model name.
    pub model: String,
    /// Version of the model.
    pub version: String,
    /// Adapter name; None for the model version itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

impl Artifact {
    /// The model version that has to be resident while this artifact is used.
    pub fn base(&self) -> Artifact {
        Artifact { model: self.model.clone(), version: self.version.clone(), adapter: None }
    }
}

impl std::fmt::Display for Artifact {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}@{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(formatter, "+{adapter}"),
            None => Ok(()),
        }
    }
}

/// Action that an order requests from an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Load an artifact. No effect if it is already resident.
    Load {
        /// What to load.
        artifact: Artifact,
        /// Memory that it occupies together with its cache, in bytes.
        bytes: u64,
    },
    /// Unload an artifact after its running requests have ended. No effect if it is not resident.
    Unload {
        /// What to unload.
        artifact: Artifact,
    },
}

impl OrderAction {
    /// The artifact to load or unload.
    pub fn artifact(&self) -> &Artifact {
        match self {
            OrderAction::Load { artifact, .. } | OrderAction::Unload { artifact } => artifact,
        }
    }
}

/// A placement order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Incarnation of the engine that the order is addressed to. An engine that checks fences
    /// refuses orders for another one.
    pub incarnation: u64,
    /// Position in the sequence of orders.
    pub fence: Fence,
    /// Requested action.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Request to raise an engine's fence. Orders below the fence no longer take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaiseFence {
    /// The new fence.
    pub fence: Fence,
}

/// State of a resident artifact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResidentState {
    /// Its weights are being read.
    Loading,
    /// It can process requests.
    Ready,
    /// Its running requests finish and no new ones are accepted. Its memory stays occupied until
    /// then.
    Unloading,
}

/// One artifact in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The resident artifact.
    pub artifact: Artifact,
    /// Memory it occupies, in bytes.
    pub bytes: u64,
    /// Whether it can process requests.
    pub state: ResidentState,
}

/// An engine's report of its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Changes whenever the engine restarts.
    pub incarnation: u64,
    /// Highest fence that the engine has seen; zero if it does not check fences.
    pub fence: Fence,
    /// Artifacts in memory.
    pub resident: Vec<Resident>,
    /// Requests being generated.
    pub running: u32,
    /// Requests waiting in the engine.
    pub waiting: u32,
    /// Whether the engine is leaving the fleet and accepts no new work.
    pub leaving: bool,
}

/// Completion request to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Identifier under which the request can be resumed and canceled.
    pub request_id: String,
    /// Artifact that has to process the request.
    pub artifact: Artifact,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// Lower numbers are served first.
    pub priority: u32,
    /// Index of the first requested token; above 0 if a stream is resumed.
    pub resume_from: u64,
    /// Sampling parameters in the OpenAI format, forwarded unchanged.
    #[serde(default, skip_serializing_if = "serde_json::Map::is_empty")]
    pub parameters: serde_json::Map<String, serde_json::Value>,
}

/// One server-sent event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Position in the completion, starting at 0. A complete one has no gaps.
    pub index: u64,
    /// Generated text.
    pub text: String,
    /// Reason why generation ended; only in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Reason why an engine refused a request or an order. A refused request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The artifact is not resident or not ready.
    NotResident,
    /// The engine is leaving the fleet.
    Leaving,
    /// The engine's queue is full.
    Overloaded,
    /// The order's fence is not newer than the engine's.
    StaleFence,
    /// The order is addressed to another incarnation of the engine.
    StaleIncarnation,
    /// The load would exceed the engine's memory.
    OutOfMemory,
    /// The engine does not know the stream to resume.
    UnknownRequest,
}

/// Response body with status 409, for refused requests and orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason of the refusal.
    pub refused: RefusalReason,
}
