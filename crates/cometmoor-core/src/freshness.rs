//! Whether a node may go on serving the configuration it has.
//!
//! A node that cannot read the store is in one of two positions. In an outage
//! of the store nobody can change the configuration, so everybody may go on.
//! A node that alone is cut off would serve an outdated configuration for
//! ever, so it must stop. The two are told apart by the peers: the age of the
//! newest store read spreads among them, and a node that hears most of them
//! shares their knowledge.

use std::time::Duration;

/// What a node knows of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connectivity {
    /// Age of the newest store read that this node knows of, its own or
    /// another's; none when it knows of none.
    pub store_read_age: Option<Duration>,
    /// Other nodes that it should be able to reach.
    pub known_peers: usize,
    /// Those that answered lately.
    pub reachable_peers: usize,
}

/// Judgement on the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The store was read lately, by this node or one it hears.
    Current,
    /// Nobody reads the store; the configuration cannot change.
    StoreOutage,
    /// This node is cut off from the store and from most peers.
    Isolated,
}

impl Freshness {
    /// Whether requests may be served.
    pub fn may_serve(self) -> bool {
        self != Freshness::Isolated
    }
}

/// Judges the connections; a read younger than `tolerance` is current.
pub fn assess(connections: Connectivity, tolerance: Duration) -> Freshness {
    if connections.store_read_age.is_some_and(|age| age <= tolerance) {
        return Freshness::Current;
    }
    // This node counts as reached by itself: of two, each is half.
    let reached = connections.reachable_peers + 1;
    let all = connections.known_peers + 1;
    let hears_half = 2 * reached >= all;
    if hears_half { Freshness::StoreOutage } else { Freshness::Isolated }
}
