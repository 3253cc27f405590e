//! Decides whether a node may keep serving its current configuration.
//!
//! A node that cannot read the store is in one of two situations. During an
//! outage of the store nobody can change the configuration, so all nodes may
//! keep serving. A node that alone is cut off would serve an outdated
//! configuration indefinitely, so it must stop. The peers tell the two apart:
//! they exchange the age of the newest store read, so a node that reaches at
//! least half of the system learns of any recent read.

use std::time::Duration;

/// What a node knows about its connections to the store and to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connectivity {
    /// Age of the newest store read that this node knows of, its own or a
    /// peer's; none if it knows of no read.
    pub store_read_age: Option<Duration>,
    /// Number of other nodes that it should be able to reach.
    pub known_peers: usize,
    /// Number of those that were in contact recently.
    pub reachable_peers: usize,
}

/// Freshness of the current configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// This node or a peer has read the store recently.
    Current,
    /// No node can read the store, so the configuration cannot change.
    StoreOutage,
    /// This node is cut off from the store and reaches less than half of the
    /// nodes.
    Isolated,
}

impl Freshness {
    /// Whether the node may serve requests.
    pub fn may_serve(self) -> bool {
        self != Freshness::Isolated
    }
}

/// Assesses the connections; a store read no older than `tolerance` is current.
pub fn assess(connections: Connectivity, tolerance: Duration) -> Freshness {
    if connections.store_read_age.is_some_and(|age| age <= tolerance) {
        return Freshness::Current;
    }
    // A node counts itself, so each of two nodes reaches half of the system.
    let reached = connections.reachable_peers + 1;
    let all = connections.known_peers + 1;
    let reaches_half = 2 * reached >= all;
    if reaches_half { Freshness::StoreOutage } else { Freshness::Isolated }
}
