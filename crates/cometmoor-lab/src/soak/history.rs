//! What clients, servers and the run itself saw. Times count from its start.

use std::time::Duration;

pub use cometmoor_platform_stand_in::caller::Ended;
pub use cometmoor_platform_stand_in::worker::Says;

use super::tenants::{Credential, KeyRecord, LimitRecord};

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run once.
    Once,
    /// It may be repeated.
    Safe,
    /// Its answer is a stream; it may run once.
    Stream,
    /// The same, and its server breaks it off inside an event.
    BrokenStream,
    /// Its answer is a stream that may be resumed; its server breaks it off where it begins.
    ResumableStream,
    /// Its answer is a stream, and its prompt shares parts with others.
    Prompt {
        /// Whether one of them crashes the servers that begin to answer.
        crashes: bool,
    },
    /// It asks for the route that a version of the configuration brought.
    Probe(u64),
}

impl Kind {
    /// Whether it is for the servers that some prompts crash.
    pub fn is_prompt(self) -> bool {
        matches!(self, Kind::Prompt { .. })
    }

    /// Whether its server breaks the answer off.
    pub fn is_broken_off(self) -> bool {
        matches!(self, Kind::BrokenStream | Kind::ResumableStream)
    }
}

/// A request, as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Who sent it.
    pub credential: Credential,
    /// Node that it was sent to.
    pub node: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub done: Duration,
    /// How it ended.
    pub ended: Ended,
}

/// A stream of which a client has received parts in several attempts.
#[derive(Clone, Debug, Default)]
pub struct StreamRecord {
    /// Identifiers of the attempts, in order.
    pub attempts: Vec<String>,
    /// Numbers of its events and the software versions that made them, in order.
    pub events: Vec<(u64, String)>,
    /// Events of the whole stream.
    pub whole: u64,
    /// Whether the last attempt looked complete.
    pub is_complete: bool,
}

/// The begin of work on a request at a server.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// The server.
    pub server: usize,
    /// When.
    pub at: Duration,
    /// The tenant that the server was told.
    pub tenant: Option<String>,
    /// Whether the server saw a client's key.
    pub shows_key: bool,
}

/// A request that reached a server, whether it ran or was turned away.
#[derive(Clone, Debug)]
pub struct ArrivalRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// The server.
    pub server: usize,
    /// When.
    pub at: Duration,
    /// What the server said of itself in its answer.
    pub says: Says,
}

/// A request with a prompt that reached a server.
#[derive(Clone, Debug)]
pub struct PromptArrivalRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// When.
    pub at: Duration,
    /// Whether it crashes the server.
    pub crashes: bool,
}

/// A span in which a node is not held to bounds of time, or a server may break
/// its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disturbance {
    /// What is disturbed.
    pub whom: Whom,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// What a disturbance strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// A node, or its way to the store.
    Node(usize),
    /// The ways to a server.
    Server(usize),
}

/// A span in which the store answers nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// From when.
    pub from: Duration,
    /// Until when; none while it lasts.
    pub until: Option<Duration>,
}

/// A span in which a node has lost its links to all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCut {
    /// The node.
    pub node: usize,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// The node.
    pub node: usize,
    /// When it was asked to stop.
    pub at: Duration,
    /// When its process had ended.
    pub ended: Duration,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests.
    pub requests: Vec<RequestRecord>,
    /// Streams that clients resumed after broken attempts.
    pub streams: Vec<StreamRecord>,
    /// Runs.
    pub runs: Vec<RunRecord>,
    /// Requests that reached servers, by server and then in order.
    pub arrivals: Vec<ArrivalRecord>,
    /// Requests with prompts that reached servers.
    pub prompt_arrivals: Vec<PromptArrivalRecord>,
    /// Crashes of servers under such requests, in order.
    pub prompt_crashes: Vec<Duration>,
    /// Disturbances.
    pub disturbances: Vec<Disturbance>,
    /// When the store answered nobody, in order.
    pub store_outages: Vec<StoreOutage>,
    /// When the store came back from an older copy.
    pub store_restores: Vec<Duration>,
    /// When the store took that a server leaves, or that its entry is gone.
    pub leavings: Vec<(usize, Duration)>,
    /// When the store took a version of the configuration.
    pub configurations: Vec<(u64, Duration)>,
    /// Cuts of nodes from all servers.
    pub cuts: Vec<ServerCut>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Servers of a service that no route leads to.
    pub of_other_service: Vec<usize>,
    /// Nodes whose processes ended by themselves, and when.
    pub own_ends: Vec<(usize, Duration)>,
    /// All keys that configurations held.
    pub keys: Vec<KeyRecord>,
    /// All limits that configurations set.
    pub limits: Vec<LimitRecord>,
    /// Orders that exceeded what a model server can hold.
    pub excess_orders: Vec<String>,
    /// Lines of the nodes' logs that hold a client's key.
    pub logged_keys: Vec<String>,
}
