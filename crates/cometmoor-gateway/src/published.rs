//! What the control thread publishes to the others.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use cometmoor_core::gateway::configuration::GatewayConfiguration;
use cometmoor_core::gateway::proof::ProofLimits;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::keys::KeyFreshness;
use cometmoor_core::time::BootInstant;
use tokio::sync::Notify;

use crate::clock;
use crate::load::{ModelKey, ServerKey, ServerLoad};

/// Whether the node takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It is about to stop; clients should go elsewhere.
    Draining,
    /// It takes no new requests any more.
    Closing,
}

/// When a planned stop began, and when the process ends at the latest.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// When it began.
    pub started: BootInstant,
    /// When what is left is cut off.
    pub deadline: BootInstant,
}

/// A node that clients may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeEndpoint {
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
}

/// State of the fleet, as this node believes it.
#[derive(Clone, Debug, Default)]
pub struct FleetSnapshot {
    /// Rises with each publication.
    pub generation: u64,
    /// Whether the node takes part.
    pub phase: Phase,
    /// Configuration in force.
    pub configuration: Option<Arc<GatewayConfiguration>>,
    /// The latest point at which the store is known to have held nothing newer than the
    /// configuration in force.
    pub configuration_proven: Option<BootInstant>,
    /// For how long it counts after that point.
    pub proof_limits: ProofLimits,
    /// Whether a peer is known to have a newer configuration.
    pub is_known_behind: bool,
    /// Entries of the registry that name no server to use.
    pub ignored_entries: usize,
    /// Servers in the registry.
    pub servers: Vec<Arc<ServerRecord>>,
    /// Nodes that take requests, this one included.
    pub nodes: Vec<NodeEndpoint>,
    /// When the store or a peer last confirmed the configuration.
    pub configuration_confirmed: Option<BootInstant>,
    /// When the store or a peer last confirmed the servers' entries.
    pub servers_confirmed: Option<BootInstant>,
    /// Whether this node is among those that read the store themselves.
    pub reads_store: bool,
    /// Whether nodes hear of one another's load through hubs.
    pub is_large_fleet: bool,
    /// Whether this node orders the servers.
    pub leads: bool,
    /// When the leading node was last heard.
    pub leader_heard: Option<BootInstant>,
    /// Set while the node is about to stop.
    pub shutdown: Option<ShutdownTimes>,
    /// Most nodes that were seen lately, for shares of a common budget.
    pub recent_nodes: usize,
    /// Nodes that are there now, this one included.
    pub live_nodes: usize,
}

impl FleetSnapshot {
    /// Time since the configuration was shown to be the store's newest.
    pub fn proof_age(&self) -> Option<Duration> {
        self.configuration_proven.map(clock::elapsed)
    }

    /// Whether the configuration is the store's newest, so that what it lacks does not
    /// exist.
    pub fn configuration_is_current(&self) -> bool {
        !self.is_known_behind && self.proof_limits.proves_absence(self.proof_age())
    }

    /// What the configuration's keys are good for now.
    pub fn key_freshness(&self) -> KeyFreshness {
        let knowledge = self.proof_limits.key_freshness(self.proof_age());
        KeyFreshness { denies: knowledge.denies && !self.is_known_behind, ..knowledge }
    }

    /// Name of a server's incarnation, where it is in the registry.
    pub fn incarnation(&self, hash: IncarnationHash) -> Option<Arc<str>> {
        let mut servers = self.servers.iter();
        let server = servers.find(|server| IncarnationHash::of(&server.incarnation) == hash);
        server.map(|server| server.incarnation.clone())
    }

    /// Milliseconds since the servers' entries were last confirmed; -1 where
    /// they never were.
    pub fn servers_age_millis(&self) -> i64 {
        age_millis(self.servers_confirmed)
    }
}

/// Milliseconds since then, for log lines; -1 for never.
pub fn age_millis(since: Option<BootInstant>) -> i64 {
    since.map_or(-1, |at| i64::try_from(clock::elapsed(at).as_millis()).unwrap_or(i64::MAX))
}

/// What the leading node told of the servers' models, ahead of the registry.
#[derive(Clone, Debug, Default)]
pub struct PlacementView {
    /// Fencing token of the term that it is from.
    pub token: u64,
    /// Adapters that servers have got.
    pub added: HashSet<(ServerKey, ModelKey)>,
    /// Models and adapters that are about to be taken away.
    pub withdrawn: HashSet<(ServerKey, ModelKey)>,
}

/// The newest state of the fleet, and the load that other nodes put on it.
#[derive(Debug, Default)]
pub struct Board {
    /// State of the fleet.
    pub fleet: ArcSwap<FleetSnapshot>,
    /// Load of the other nodes by server.
    pub remote_load: ArcSwap<HashMap<ServerKey, ServerLoad>>,
    /// What the leading node told.
    pub placement: ArcSwap<PlacementView>,
    /// Asks for a heartbeat before it is due.
    pub heartbeat_wanted: Notify,
}
