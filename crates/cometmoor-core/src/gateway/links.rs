//! The links of a node to the servers, as its attempts to connect have shown them.

use std::collections::HashMap;
use std::time::Duration;

use super::signals::IncarnationHash;
use crate::time::BootInstant;

/// Servers that the last attempts must have failed to reach, without one that was reached, before
/// this node takes its own links for the cause. One server alone may have ended.
const MIN_UNREACHED: usize = 2;

/// The links of a node to the servers.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    /// Servers that the last attempt failed to reach, and when.
    unreached: HashMap<IncarnationHash, BootInstant>,
    /// When a connection to any server was last established.
    connected_at: Option<BootInstant>,
    has_lost_servers: bool,
}

impl LinkTable {
    /// Records that a connection to a server was established. Returns whether the node had lost the
    /// servers until now.
    pub fn note_connected(&mut self, server: IncarnationHash, now: BootInstant) -> bool {
        self.unreached.remove(&server);
        self.connected_at = Some(now);
        std::mem::take(&mut self.has_lost_servers)
    }

    /// Records that a server could not be reached. Returns whether the node has now lost the
    /// servers.
    pub fn note_unreached(&mut self, server: IncarnationHash, now: BootInstant) -> bool {
        self.unreached.insert(server, now);
        let is_later = |at: &&BootInstant| Some(**at) > self.connected_at;
        let failed = self.unreached.values().filter(is_later).count();
        let had_lost = self.has_lost_servers;
        self.has_lost_servers |= failed >= MIN_UNREACHED;
        self.has_lost_servers && !had_lost
    }

    /// Number of servers that the last attempt failed to reach.
    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }

    /// Time since a connection to any server was last established; `None` if none was.
    pub fn last_connected(&self, now: BootInstant) -> Option<Duration> {
        self.connected_at.map(|at| now.since(at))
    }

    /// Forgets servers that have left the registry.
    pub fn retain(&mut self, is_registered: impl Fn(IncarnationHash) -> bool) {
        self.unreached.retain(|server, _| is_registered(*server));
    }
}
