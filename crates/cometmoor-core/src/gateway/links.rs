//! The links of a node to the servers, and whether the node has lost them.
//!
//! A server that cannot be reached may have ended, or the link to it may be cut. A peer tells the
//! two apart: if it reaches a server that this node does not, the link is cut, and the server is
//! reached through peers until a direct connection succeeds again. A node that reaches servers only
//! through peers is isolated.

use std::collections::HashMap;
use std::time::Duration;

use super::signals::IncarnationHash;
use crate::time::BootInstant;

/// Cut links, without a direct connection since, from which on a node is isolated. One server alone
/// may refuse this node for a reason of its own.
const MIN_CUT_LINKS: usize = 2;
/// Interval between two rounds of direct connections that look for the end of a cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Servers that an isolated node tries in one round.
const SERVERS_PER_PROBE: usize = 2;
/// Time after the end of its isolation for which a node still reports it, so that clients do not
/// move back and forth while links come and go.
const REPORTED_AFTER_END: Duration = Duration::from_secs(2);

/// How a server is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// By connections of this node.
    Direct,
    /// Through a peer.
    ViaPeer,
}

/// What an observation changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The link to the server is cut.
    Cut,
    /// So is every other link that was tried: the node is isolated.
    Isolated,
    /// The link to the server works again.
    Restored,
    /// It is the first one that does: the node is no longer isolated.
    Rejoined,
}

/// The links of a node to the servers.
#[derive(Clone, Debug, Default)]
pub struct LinkTable {
    /// Servers whose links are cut, and when that was last seen.
    cut: HashMap<IncarnationHash, BootInstant>,
    /// Servers that neither this node nor a peer reached at the last attempt.
    unreached: HashMap<IncarnationHash, BootInstant>,
    /// When a direct connection to any server was last established.
    connected_at: Option<BootInstant>,
    is_isolated: bool,
    isolation_ended: Option<BootInstant>,
    probed_at: Option<BootInstant>,
    next_probe: usize,
}

impl LinkTable {
    /// How a server is reached. An isolated node takes links that it has not tried for cut, too.
    pub fn path(&self, server: IncarnationHash) -> Path {
        match self.is_isolated || self.cut.contains_key(&server) {
            true => Path::ViaPeer,
            false => Path::Direct,
        }
    }

    /// Records that a direct connection to a server was established.
    pub fn note_connected(
        &mut self,
        server: IncarnationHash,
        now: BootInstant,
    ) -> Option<LinkChange> {
        self.unreached.remove(&server);
        self.connected_at = Some(now);
        let was_cut = self.cut.remove(&server).is_some();
        if std::mem::take(&mut self.is_isolated) {
            self.isolation_ended = Some(now);
            // The other links are probed at once.
            self.probed_at = None;
            return Some(LinkChange::Rejoined);
        }
        was_cut.then_some(LinkChange::Restored)
    }

    /// Records that a peer has reached a server that this node has not reached.
    pub fn note_cut(&mut self, server: IncarnationHash, now: BootInstant) -> Option<LinkChange> {
        self.unreached.remove(&server);
        let is_new = self.cut.insert(server, now).is_none();
        let is_later = |at: &&BootInstant| Some(**at) > self.connected_at;
        let later = self.cut.values().filter(is_later).count();
        if !self.is_isolated && later >= MIN_CUT_LINKS {
            self.is_isolated = true;
            return Some(LinkChange::Isolated);
        }
        is_new.then_some(LinkChange::Cut)
    }

    /// Records that neither this node nor a peer has reached a server.
    pub fn note_unreached(&mut self, server: IncarnationHash, now: BootInstant) {
        self.unreached.insert(server, now);
    }

    /// Whether servers are reached only through peers.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether clients should prefer other nodes: this one is isolated, or was until recently.
    pub fn reports_isolation(&self, now: BootInstant) -> bool {
        let is_recent = |ended: BootInstant| now.since(ended) < REPORTED_AFTER_END;
        self.is_isolated || self.isolation_ended.is_some_and(is_recent)
    }

    /// Servers to which direct connections are to be tried now; none until the next round.
    pub fn next_probes(&mut self, now: BootInstant) -> Vec<IncarnationHash> {
        let is_early = self.probed_at.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        if is_early || self.cut.is_empty() {
            return Vec::new();
        }
        self.probed_at = Some(now);
        let mut servers: Vec<IncarnationHash> = self.cut.keys().copied().collect();
        servers.sort_unstable();
        let first = self.next_probe % servers.len();
        servers.rotate_left(first);
        if self.is_isolated {
            servers.truncate(SERVERS_PER_PROBE);
        }
        self.next_probe = first + servers.len();
        servers
    }

    /// Number of servers whose links are cut.
    pub fn cut_count(&self) -> usize {
        self.cut.len()
    }

    /// Number of servers that neither this node nor a peer reached at the last attempt.
    pub fn unreached_count(&self) -> usize {
        self.unreached.len()
    }

    /// Time since a direct connection to any server was established; `None` if none was.
    pub fn last_connected(&self, now: BootInstant) -> Option<Duration> {
        self.connected_at.map(|at| now.since(at))
    }

    /// Forgets servers that have left the registry. Without any cut link that is left, a node is
    /// not isolated.
    pub fn retain(&mut self, is_registered: impl Fn(IncarnationHash) -> bool, now: BootInstant) {
        self.cut.retain(|server, _| is_registered(*server));
        self.unreached.retain(|server, _| is_registered(*server));
        if self.cut.is_empty() && std::mem::take(&mut self.is_isolated) {
            self.isolation_ended = Some(now);
        }
    }
}
