//! State that the control thread publishes to the other threads.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cometmoor_core::gateway::configuration::GatewayConfiguration;
use cometmoor_core::gateway::proof::ProofLimits;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::gateway::stream_origins::VersionHistory;
use cometmoor_core::keys::KeyFreshness;
use cometmoor_core::time::BootInstant;
use tokio::sync::Notify;

use crate::clock;
use crate::load::{ModelKey, ServerKey, ServerLoad};

/// Phase of this node's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It accepts requests.
    Ready,
    /// It is shutting down; clients should use other nodes.
    Draining,
    /// It no longer accepts requests.
    Closing,
}

/// Times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// When it started.
    pub started: BootInstant,
    /// When requests that are still running are aborted.
    pub deadline: BootInstant,
}

/// Client address of a node that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEndpoint {
    /// Address for clients.
    pub address: SocketAddrV4,
    /// Zone of the node.
    pub zone: String,
    /// Whether the node has lost its links to the servers.
    pub is_isolated: bool,
}

/// State of the fleet as known to this node.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Increases with each publication.
    pub generation: u64,
    /// Phase of this node's process.
    pub phase: Phase,
    /// Configuration in force; `None` until the node has one.
    pub configuration: Option<Arc<GatewayConfiguration>>,
    /// The latest time at which the store is known to have held nothing newer than the
    /// configuration in force; `None` if there is no proof.
    pub configuration_proven: Option<BootInstant>,
    /// How long such a proof is valid.
    pub proof_limits: ProofLimits,
    /// Whether a peer is known to have a newer configuration.
    pub is_known_behind: bool,
    /// Number of registry entries that describe no usable server.
    pub ignored_entries: usize,
    /// Servers in the registry. Successive snapshots share the list until it changes.
    pub servers: Arc<Vec<Arc<ServerRecord>>>,
    /// The software versions that services have had recently.
    pub versions: VersionHistory,
    /// Nodes that accept requests, including this one.
    pub nodes: Vec<NodeEndpoint>,
    /// When the store or a peer last confirmed the configuration; `None` if never.
    pub configuration_confirmed: Option<BootInstant>,
    /// When the store or a peer last confirmed the servers' entries; `None` if never.
    pub servers_confirmed: Option<BootInstant>,
    /// Whether this node is among those that read the servers' entries from the store.
    pub reads_store: bool,
    /// Whether nodes learn of each other's load through hubs.
    pub is_large_fleet: bool,
    /// Whether this node is leader.
    pub leads: bool,
    /// When the leader was last heard; `None` if never, or after it has stepped down.
    pub leader_last_heard_at: Option<BootInstant>,
    /// Times of the shutdown; `None` until it starts.
    pub shutdown: Option<ShutdownTimes>,
    /// Number of nodes that were seen recently, including this one, among which budgets are
    /// shared.
    pub recent_nodes: usize,
    /// Number of nodes that are alive now, including this one.
    pub live_nodes: usize,
}

impl FleetSnapshot {
    /// Time since the configuration was last proven to be the store's newest; `None` if never.
    pub fn proof_age(&self) -> Option<Duration> {
        self.configuration_proven.map(clock::elapsed)
    }

    /// Whether the configuration is recent enough to conclude that what it lacks does not exist.
    pub fn configuration_is_current(&self) -> bool {
        !self.is_known_behind && self.proof_limits.proves_absence(self.proof_age())
    }

    /// Whether the configuration's keys may be used now to admit and to deny requests.
    pub fn key_freshness(&self) -> KeyFreshness {
        let knowledge = self.proof_limits.key_freshness(self.proof_age());
        KeyFreshness { denies: knowledge.denies && !self.is_known_behind, ..knowledge }
    }

    /// Name of a server's incarnation; `None` if it is not in the registry.
    pub fn incarnation(&self, hash: IncarnationHash) -> Option<Arc<str>> {
        let mut servers = self.servers.iter();
        let server = servers.find(|server| IncarnationHash::of(&server.incarnation) == hash);
        server.map(|server| server.incarnation.clone())
    }

    /// Milliseconds since the servers' entries were last confirmed; -1 if they never were.
    pub fn servers_age_millis(&self) -> i64 {
        age_millis(self.servers_confirmed)
    }
}

/// Milliseconds since a point in time, for log lines; -1 for `None`.
pub fn age_millis(since: Option<BootInstant>) -> i64 {
    since.map_or(-1, |at| i64::try_from(clock::elapsed(at).as_millis()).unwrap_or(i64::MAX))
}

/// Changes to the placement of models that the leader announced ahead of the registry.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// Fencing token of the leader's term.
    pub token: u64,
    /// Models and adapters that servers have loaded.
    pub added: HashSet<(ServerKey, ModelKey)>,
    /// Models and adapters that servers are about to unload.
    pub withdrawn: HashSet<(ServerKey, ModelKey)>,
}

/// The state that threads share: the latest state of the fleet and the load from other nodes.
#[derive(Debug, Default)]
pub struct Board {
    /// Latest state of the fleet.
    pub fleet: ArcSwap<FleetSnapshot>,
    /// Load from the other nodes, by server.
    pub remote_load: ArcSwap<HashMap<ServerKey, ServerLoad>>,
    /// The leader's latest announcement.
    pub placement: ArcSwap<PlacementView>,
    /// Requests a heartbeat before it is due.
    pub heartbeat_wanted: Notify,
    /// Requests that messages about awaited weights are sent.
    pub urgent_messages: Notify,
}
