//! The links of this node to the servers, shared by its threads.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::links::{LinkChange, LinkTable, Path};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;
use spdlog::{info, warn};

use crate::clock;
use crate::published::FleetSnapshot;

/// The links of this node to the servers. The traffic thread records its connections; the control
/// thread reports to other nodes whether this one is isolated.
#[derive(Clone, Debug, Default)]
pub struct LinkBoard {
    table: Arc<Mutex<LinkTable>>,
}

/// Number of servers by the state of the links to them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Reached through peers only.
    pub cut: usize,
    /// Not reached by this node or a peer at the last attempt.
    pub unreached: usize,
}

impl LinkBoard {
    fn with<Output>(&self, act: impl FnOnce(&mut LinkTable, BootInstant) -> Output) -> Output {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut table, clock::now())
    }

    /// How a server is reached.
    pub fn path(&self, server: IncarnationHash) -> Path {
        self.with(|table, _| table.path(server))
    }

    /// Records that a direct connection to a server was established.
    pub fn note_connected(&self, server: IncarnationHash, incarnation: &str) -> Option<LinkChange> {
        let (change, cut) =
            self.with(|table, now| (table.note_connected(server, now), table.cut_count() as u64));
        match change {
            Some(LinkChange::Rejoined) => {
                info!("[links] this node reaches servers again", kv: { server = incarnation, cut });
            }
            Some(_) => {
                info!("[links] the link to a server works again", kv: { server = incarnation, cut })
            }
            None => {}
        }
        change
    }

    /// Records that `peer` has reached a server that this node did not reach for `reason`.
    pub fn note_cut(
        &self,
        server: IncarnationHash,
        incarnation: &str,
        peer: &str,
        reason: &str,
    ) -> Option<LinkChange> {
        let (change, cut, last_connected) = self.with(|table, now| {
            (table.note_cut(server, now), table.cut_count() as u64, table.last_connected(now))
        });
        let connected_age_millis = last_connected.map_or(-1, |age| age.as_millis() as i64);
        match change {
            Some(LinkChange::Isolated) => {
                warn!("[links] this node has lost its links to the servers", kv: { server = incarnation, peer, reason, cut, connected_age_millis });
            }
            Some(_) => {
                warn!("[links] the link to a server is cut; a peer reaches it", kv: { server = incarnation, peer, reason, cut, connected_age_millis });
            }
            None => {}
        }
        change
    }

    /// Records that neither this node nor a peer has reached a server.
    pub fn note_unreached(&self, server: IncarnationHash) {
        self.with(|table, now| table.note_unreached(server, now));
    }

    /// Whether servers are reached only through peers.
    pub fn is_isolated(&self) -> bool {
        self.with(|table, _| table.is_isolated())
    }

    /// Whether clients should prefer other nodes.
    pub fn reports_isolation(&self) -> bool {
        self.with(|table, now| table.reports_isolation(now))
    }

    /// Servers to which direct connections are to be tried now.
    pub fn next_probes(&self) -> Vec<IncarnationHash> {
        self.with(LinkTable::next_probes)
    }

    /// Number of servers by the state of the links to them.
    pub fn counts(&self) -> LinkCounts {
        self.with(|table, _| LinkCounts {
            cut: table.cut_count(),
            unreached: table.unreached_count(),
        })
    }

    /// Forgets servers that have left the registry.
    pub fn retain(&self, fleet: &FleetSnapshot) {
        if self.counts() == LinkCounts::default() {
            return;
        }
        let registered: HashSet<IncarnationHash> =
            fleet.servers.iter().map(|server| IncarnationHash::of(&server.incarnation)).collect();
        self.with(|table, now| table.retain(|server| registered.contains(&server), now));
    }
}
