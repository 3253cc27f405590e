//! What the gateway has to know of the platform's messages, in its own terms.
//!
//! An implementation holds names and formats. It decides nothing.

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
    /// What was read.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl std::fmt::Display for FormatError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.what, self.reason)
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// The model that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ModelName {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter.
    pub adapter: Option<String>,
}

/// What the headers of a client's request tell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the client's attempt.
    pub id: String,
    /// Key of the caller, as a digest.
    pub key: PresentedKey,
    /// Time that the client waits.
    pub deadline: Option<Duration>,
    /// Model that is asked for.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Whether the client named its tokens.
    pub declares_tokens: bool,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl RequestMetadata {
    /// Tokens of the prompt and of the longest answer, where the client named them.
    pub fn tokens(&self) -> Option<u64> {
        self.declares_tokens.then(|| self.prompt_tokens.saturating_add(self.output_tokens))
    }
}

/// What the gateway tells a server with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendMetadata<'a> {
    /// Incarnation that the request is meant for.
    pub server: &'a str,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Rank among the server's requests, 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Name of the tenant whose request it is.
    pub tenant: Option<&'a str>,
    /// The last event that the client has, where a stream goes on.
    pub resume_after: Option<&'a str>,
    /// The copy of a run's memory from which the stream goes on.
    pub run_copy: Option<&'a RunCopy>,
}

/// Asks a server to copy the memory of a run to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunMigration<'a> {
    /// Incarnation that runs the request.
    pub server: &'a str,
    /// Identifier of the request.
    pub request: &'a str,
    /// Address of the server that gets the memory.
    pub target: SocketAddrV4,
    /// Whether the run stops, so that it can go on at the other server.
    pub stop_run: bool,
}

/// A copy of a run's memory that one request may go on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopy {
    /// Address of the server that ran the request.
    pub source: SocketAddrV4,
    /// The source's name for the copy.
    pub handle: String,
}

/// What a server answered to a move of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunMigrationResponse {
    /// The copy is at the other server; the source's name for it.
    Copied(String),
    /// There is no room at the other server, or no way there. A run that was
    /// stopped can go on at its source from the copy of this name.
    NoRoom(Option<String>),
    /// The server does not run the request, or is moving it already.
    NotMoved(u16),
}

/// Load that a server tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of a server's answer tells.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMetadata<'a> {
    /// Identifier of the request that it answers.
    pub request_id: Option<&'a str>,
    /// The server says that it did not run the request.
    pub not_run: bool,
    /// The request was meant for another incarnation, or for a model that is
    /// not there.
    pub misdirected: bool,
    /// Load of the server.
    pub load: Option<ReportedLoad>,
    /// What it says of its server; nothing where that may be another server.
    pub signals: Option<ResponseSignals>,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Version that its writer gives it, which only rises; none where it gives none, or where
    /// the item cannot be read.
    pub version: Option<u64>,
}

/// A page of a range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether there are more behind the last one.
    pub more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// A change that a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An item was written.
    Put(Item),
    /// A key is gone.
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

/// What a watch answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// Changes in order; none where there were none while it waited.
    Events(Vec<WatchEvent>),
    /// The store has forgotten what came after the revision.
    Compacted,
}

/// Writes that are done all or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Keys with the revisions that they must have; 0 for absent.
    pub conditions: Vec<(String, u64)>,
    /// Items to write: key, value, lease (0 for none).
    pub puts: Vec<(String, Vec<u8>, u64)>,
}

/// What a commit answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitResult {
    /// Done at this revision.
    Committed(u64),
    /// A condition does not hold; nothing was done.
    Conflict,
    /// The lease is over; nothing was done.
    LeaseExpired,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Brings a model into the accelerators' memory.
    Load,
    /// Takes it out.
    Unload,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order<'a> {
    /// Incarnation that the order is meant for.
    pub server: &'a str,
    /// What to do.
    pub kind: OrderKind,
    /// With which model.
    pub model: &'a ModelName,
    /// Orders that the server must have taken before.
    pub expected_orders: u64,
    /// Who orders.
    pub holder: &'a str,
    /// Rises with each change of who orders.
    pub fencing_token: u64,
}

/// What a server answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// It is being carried out.
    Accepted,
    /// There was nothing to do.
    AlreadyDone,
    /// Another order is under way, or the count did not match.
    Conflict,
    /// A newer holder has ordered.
    Fenced,
    /// Another server has the address.
    OtherServer,
    /// It is not understood, or something else.
    Refused(u16),
}

/// What a model server tells of itself when asked.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When the process began, in Unix milliseconds; none where it does not tell.
    pub started_unix_ms: Option<u64>,
    /// Orders taken.
    pub orders: u64,
    /// An order is under way.
    pub busy: bool,
    /// Models that it holds, with their adapters.
    pub models: Vec<cometmoor_core::gateway::registry::LoadedModel>,
    /// Adapters under way.
    pub pending_adapters: Vec<ModelName>,
    /// Models in host memory.
    pub in_host_memory: Vec<String>,
    /// Models on disk.
    pub on_disk: Vec<String>,
}

/// Names and formats of a platform.
pub trait Dialect: Send + Sync + 'static {
    /// Path at which the platform asks whether a node is ready.
    fn ready_path(&self) -> &str;
    /// Path at which clients ask for addresses.
    fn directory_path(&self) -> &str;
    /// Zone that a client names in its question for addresses.
    fn directory_zone<'a>(&self, head: &'a crate::http::head::RequestHead) -> Option<&'a str>;
    /// The answer to a client that asks for addresses.
    fn directory_response(&self, addresses: &[SocketAddrV4], lifetime: Duration) -> Vec<u8>;

    /// Reads the headers of a client's request.
    fn request_metadata(&self, headers: &Headers) -> Result<RequestMetadata, FormatError>;
    /// Whether the gateway sets this header itself, so that a client's is left
    /// out.
    fn overrides_header(&self, name: &str, resumes: bool) -> bool;
    /// Headers that go to the server with the request.
    fn send_headers(&self, metadata: &SendMetadata<'_>) -> Vec<(&'static str, String)>;
    /// Reads the head of a server's answer.
    fn response_metadata<'a>(&self, head: &'a ResponseHead) -> ResponseMetadata<'a>;
    /// Header that tells a refused client when to come back.
    fn retry_after_header(&self, after: Duration) -> (&'static str, String);
    /// Header of own answers that carries the request's identifier.
    fn request_id_header(&self) -> &'static str;

    /// Key of the configuration.
    fn configuration_key(&self) -> &str;
    /// Prefix of the servers' keys.
    fn servers_prefix(&self) -> &str;
    /// Reads a configuration.
    fn parse_configuration(&self, value: &[u8]) -> Result<GatewayConfiguration, FormatError>;
    /// Reads a server's entry.
    fn parse_server(&self, key: &str, value: &[u8]) -> Result<ServerRecord, FormatError>;

    /// Number of the store's era, which comes with its answers; none where the answer has none.
    fn store_era(&self, answer: &Response) -> Result<Option<u32>, FormatError>;
    /// Reads a range of keys; `after` is the last key of the page before.
    fn read_range(&self, prefix: &str, after: Option<&str>) -> Call;
    /// Reads the answer.
    fn parse_range(&self, answer: &Response) -> Result<Page, FormatError>;
    /// Waits for changes after a revision.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Call;
    /// Reads the answer.
    fn parse_watch(&self, answer: &Response) -> Result<WatchResult, FormatError>;
    /// Writes under conditions.
    fn commit(&self, commit: &Commit) -> Call;
    /// Reads the answer.
    fn parse_commit(&self, answer: &Response) -> Result<CommitResult, FormatError>;
    /// Asks for a lease.
    fn grant_lease(&self, lifetime: Duration) -> Call;
    /// Reads the answer: the identifier of the lease.
    fn parse_lease_grant(&self, answer: &Response) -> Result<u64, FormatError>;
    /// Renews a lease.
    fn renew_lease(&self, id: u64) -> Call;
    /// Reads the answer: whether the lease goes on.
    fn parse_lease_renewal(&self, answer: &Response) -> Result<bool, FormatError>;
    /// Gives a lease back.
    fn revoke_lease(&self, id: u64) -> Call;

    /// An order to a model server.
    fn order(&self, order: &Order<'_>) -> Call;
    /// Reads the answer.
    fn parse_order(&self, answer: &Response) -> OrderResponse;
    /// Asks a model server to copy a run's memory to another one.
    fn migrate_run(&self, run_migration: &RunMigration<'_>) -> Call;
    /// Reads the answer.
    fn parse_run_migration(&self, answer: &Response) -> RunMigrationResponse;
    /// Asks a model server for its state.
    fn report(&self, server: &str) -> Call;
    /// Reads the answer.
    fn parse_report(&self, answer: &Response) -> Result<EngineReport, FormatError>;
}
