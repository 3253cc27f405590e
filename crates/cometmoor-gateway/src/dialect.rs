//! The platform's messages in the gateway's own types.
//!
//! An implementation of [`Dialect`] maps names and formats. It makes no decisions.

use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::configuration::GatewayConfiguration;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::signals::ResponseSignals;
use cometmoor_core::keys::PresentedKey;

use crate::http::client::{Call, Response};
use crate::http::head::{Headers, ResponseHead};

/// A message does not have the expected format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormatError {
    /// Message or value that was parsed.
    pub context: &'static str,
    /// Description of the error.
    pub reason: String,
}

impl std::fmt::Display for FormatError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.context, self.reason)
    }
}

/// A part of a prompt that other requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of its content.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Name of a model, or of an adapter with its model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelName {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<String>,
}

/// Values of the headers of a client's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier that the client gave its attempt; empty if it gave none.
    pub id: String,
    /// Digest of the client's key.
    pub key: PresentedKey,
    /// Time for which the client waits for the response; `None` if it sets no deadline.
    pub deadline: Option<Duration>,
    /// Requested model; `None` if the request is not for a model.
    pub model: Option<ModelName>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the response.
    pub output_tokens: u64,
    /// Whether the client declared its number of tokens.
    pub declares_tokens: bool,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// The stream that the client resumes.
    pub resumption: Resumption,
}

/// The stream that a client resumes after a broken attempt, as the client names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Resumption {
    /// The request is for a new stream.
    #[default]
    None,
    /// It has events, and does not name the attempt that brought the first one.
    Unnamed,
    /// The identifier of the attempt that brought its first event.
    Of(String),
    /// The attempt is named more than once, or the name is empty or too long.
    Malformed,
}

impl Resumption {
    /// Value of log lines.
    pub fn name(&self) -> &str {
        match self {
            Resumption::None => "-",
            Resumption::Unnamed => "unnamed",
            Resumption::Of(attempt) => attempt,
            Resumption::Malformed => "malformed",
        }
    }
}

impl RequestMetadata {
    /// Number of tokens of the prompt and of the longest allowed response; `None` if the client did
    /// not declare them.
    pub fn tokens(&self) -> Option<u64> {
        self.declares_tokens.then(|| self.prompt_tokens.saturating_add(self.output_tokens))
    }

    /// The parts of the prompt that other requests may share: all but the last one, which is the
    /// request's own.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Metadata that the gateway sends to a server with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMetadata<'a> {
    /// Incarnation that the request is intended for.
    pub server: &'a str,
    /// Time until the deadline of the response.
    pub time_left: Duration,
    /// Priority among the requests of the server; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Name of the tenant of the request.
    pub tenant: Option<&'a str>,
    /// Identifier of the last event that the client has received, if a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Copy of a run's memory from which the stream is resumed.
    pub run_copy: Option<&'a RunCopy>,
}

/// A request to a server to copy the memory of a run to another server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMigration<'a> {
    /// Incarnation that is running the request.
    pub server: &'a str,
    /// Identifier of the request.
    pub request: &'a str,
    /// Address of the server that receives the memory.
    pub target: SocketAddrV4,
    /// Whether to stop the run, so that it can be resumed at the target.
    pub stop_run: bool,
}

/// A copy of a run's memory from which one request may resume the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// Address of the server that was running the request.
    pub source: SocketAddrV4,
    /// Handle that the source assigned to the copy.
    pub handle: String,
}

/// Response of a server to a run migration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunMigrationResponse {
    /// The target has the copy; the handle that the source assigned to it.
    Copied(String),
    /// The target has no capacity or is unreachable. If the run was stopped, it can be resumed at
    /// its source from the copy with this handle.
    NoRoom(Option<String>),
    /// The server is not running the request, or is already migrating it; the status code.
    NotMoved(u16),
    /// The response does not tell what the server has done; the status code.
    Unknown(u16),
}

/// Load that a server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on its machine right now, in percent of the usual time; `None` if the
    /// server does not report it.
    pub slowdown_percent: Option<u32>,
}

/// Values of the headers of a server's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMetadata<'a> {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<&'a str>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the request was intended for another incarnation, or for a model that the server
    /// does not have.
    pub misdirected: bool,
    /// Load of the server; `None` if it reports none.
    pub load: Option<ReportedLoad>,
    /// Signals of the server; `None` if they may be those of another server.
    pub signals: Option<ResponseSignals>,
    /// Rejections a second beyond which the server fails; `None` if it does not say so.
    pub max_rejections: Option<f64>,
}

/// An item in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last modification.
    pub revision: u64,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Version that its writer assigns, which only increases; `None` if the writer assigns none or
    /// the item cannot be parsed.
    pub version: Option<u64>,
}

/// A page of a range read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether the range has further items after the last one.
    pub more: bool,
    /// Revision of the store at the read.
    pub revision: u64,
}

/// A change that a watch returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An item was written.
    Put(Item),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the change.
        revision: u64,
    },
}

impl WatchEvent {
    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            WatchEvent::Put(item) => item.revision,
            WatchEvent::Deleted { revision, .. } => *revision,
        }
    }
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes in order; empty if there were none during the wait.
    Events(Vec<WatchEvent>),
    /// The store has compacted the changes after the revision.
    Compacted,
}

/// An atomic transaction: either all writes are applied or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys with the revisions that they must have; 0 if the key must be absent.
    pub conditions: Vec<(String, u64)>,
    /// Items to write: key, value and lease (0 for none).
    pub puts: Vec<(String, Vec<u8>, u64)>,
}

/// Result of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Applied at this revision.
    Committed(u64),
    /// A condition does not hold; nothing was applied.
    Conflict,
    /// The lease has expired; nothing was applied.
    LeaseExpired,
}

/// Action of an order to a model server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Load the model into the accelerators' memory.
    Load,
    /// Unload it.
    Unload,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Incarnation that the order is intended for.
    pub server: &'a str,
    /// Action.
    pub kind: OrderKind,
    /// Model or adapter to load or unload.
    pub model: &'a ModelName,
    /// Number of orders that the server must have accepted before.
    pub expected_orders: u64,
    /// Holder of the leadership that sends the order.
    pub holder: &'a str,
    /// Fencing token, which increases with each change of the holder.
    pub fencing_token: u64,
}

/// Response of a server to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order is in progress.
    Accepted,
    /// The model is already in the requested state.
    AlreadyDone,
    /// Another order is in progress, or the number of orders did not match.
    Conflict,
    /// The fencing token is stale: the server has an order of a newer holder.
    Fenced,
    /// The address belongs to another server now.
    OtherServer,
    /// The order was not understood or failed otherwise; the status code.
    Refused(u16),
}

/// State that a model server reports on request.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Start time of the process in Unix milliseconds; `None` if the server does not report it.
    pub started_unix_ms: Option<u64>,
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Loaded models with their adapters.
    pub models: Vec<cometmoor_core::gateway::registry::LoadedModel>,
    /// Adapters that are being loaded.
    pub pending_adapters: Vec<ModelName>,
    /// Models that are cached in host memory.
    pub in_host_memory: Vec<String>,
    /// Models that are cached on disk.
    pub on_disk: Vec<String>,
}

/// Names and formats of a platform's messages.
pub trait Dialect: Send + Sync + 'static {
    /// Path of the readiness check.
    fn ready_path(&self) -> &str;
    /// Path of the directory, from which clients read node addresses.
    fn directory_path(&self) -> &str;
    /// Zone of the client that a directory request names.
    fn directory_zone<'a>(&self, head: &'a crate::http::head::RequestHead) -> Option<&'a str>;
    /// Encodes the body of a directory response. Clients may use the addresses for `lifetime`.
    fn directory_response(&self, addresses: &[SocketAddrV4], lifetime: Duration) -> Vec<u8>;

    /// Parses the headers of a client's request.
    fn request_metadata(&self, headers: &Headers) -> Result<RequestMetadata, FormatError>;
    /// Whether only the gateway sets this header, so that the client's is not forwarded. `resumes`
    /// is true if the request resumes a stream.
    fn overrides_header(&self, name: &str, resumes: bool) -> bool;
    /// Headers that are sent to the server with a request.
    fn send_headers(&self, metadata: &SendMetadata<'_>) -> Vec<(&'static str, String)>;
    /// Parses the headers of a server's response.
    fn response_metadata<'a>(&self, head: &'a ResponseHead) -> ResponseMetadata<'a>;
    /// Header with the retry delay of a refused request.
    fn retry_after_header(&self, after: Duration) -> (&'static str, String);
    /// Header with the request's identifier in responses that the gateway makes itself.
    fn request_id_header(&self) -> &'static str;

    /// Key of the configuration in the store.
    fn configuration_key(&self) -> &str;
    /// Prefix of the keys of server entries in the store.
    fn servers_prefix(&self) -> &str;
    /// Parses a configuration.
    fn parse_configuration(&self, value: &[u8]) -> Result<GatewayConfiguration, FormatError>;
    /// Parses the entry of a server.
    fn parse_server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, FormatError>;

    /// Number of the store's era in a response of the store; `None` if the response has none.
    fn store_era(&self, response: &Response) -> Result<Option<u32>, FormatError>;
    /// Call that reads the next page of the keys with a prefix; `after` is the last key of the
    /// previous page.
    fn read_range(&self, prefix: &str, after: Option<&str>) -> Call;
    /// Parses the response to [`Dialect::read_range`].
    fn parse_range(&self, response: &Response) -> Result<Page, FormatError>;
    /// Call that waits for changes after a revision, at most for `wait`.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Call;
    /// Parses the response to [`Dialect::watch`].
    fn parse_watch(&self, response: &Response) -> Result<WatchResult, FormatError>;
    /// Call that commits a transaction.
    fn commit(&self, commit: &Commit) -> Call;
    /// Parses the response to [`Dialect::commit`].
    fn parse_commit(&self, response: &Response) -> Result<CommitResult, FormatError>;
    /// Call that grants a lease.
    fn grant_lease(&self, lifetime: Duration) -> Call;
    /// Parses the response to [`Dialect::grant_lease`] into the identifier of the lease.
    fn parse_lease_grant(&self, response: &Response) -> Result<u64, FormatError>;
    /// Call that renews a lease.
    fn renew_lease(&self, id: u64) -> Call;
    /// Parses the response to [`Dialect::renew_lease`]; false if the lease does not exist any more.
    fn parse_lease_renewal(&self, response: &Response) -> Result<bool, FormatError>;
    /// Call that revokes a lease.
    fn revoke_lease(&self, id: u64) -> Call;

    /// Call that sends an order to a model server.
    fn order(&self, order: &Order<'_>) -> Call;
    /// Parses the response to [`Dialect::order`].
    fn parse_order(&self, response: &Response) -> OrderResponse;
    /// Call that asks a model server to copy the memory of a run to another one.
    fn migrate_run(&self, run_migration: &RunMigration<'_>) -> Call;
    /// Parses the response to [`Dialect::migrate_run`].
    fn parse_run_migration(&self, response: &Response) -> RunMigrationResponse;
    /// Call that requests the state of a model server.
    fn report(&self, server: &str) -> Call;
    /// Parses the response to [`Dialect::report`].
    fn parse_report(&self, response: &Response) -> Result<EngineReport, FormatError>;
}
