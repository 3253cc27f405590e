//! Signals that servers send in their responses: a limit on the requests per second from all
//! nodes together, a notice that the server is leaving, and a rest, during which this node sends
//! it nothing.
//!
//! Responses may arrive out of order. A signal was true at some time between the sending of the
//! request and the receipt of the response head. If the windows of two responses overlap, their
//! order is unknown and the stricter limit takes effect. Nodes exchange what they learn, with a
//! bounded number of records per message.

mod limit;
mod server;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::limit::KnownLimit;
pub use self::limit::LimitReport;
use self::server::{LEAVING_RETENTION, ServerSignals};
use super::quota::{QuotaKey, VersionedLimit};
use crate::time::BootInstant;

/// Maximum number of servers in the table: six times as many as the design size. An entry takes
/// about 100 bytes.
const MAX_SERVERS: usize = 4096;
/// Maximum number of records in one message, at most 1.2 KB.
const MAX_REPORTS_PER_MESSAGE: usize = 40;

/// Identifies one incarnation of a server by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IncarnationHash(u64);

impl From<IncarnationHash> for QuotaKey {
    fn from(server: IncarnationHash) -> QuotaKey {
        QuotaKey(server.0)
    }
}

impl From<QuotaKey> for IncarnationHash {
    fn from(key: QuotaKey) -> IncarnationHash {
        IncarnationHash(key.0)
    }
}

impl IncarnationHash {
    /// Hashes the name of an incarnation.
    pub fn of(incarnation: &str) -> IncarnationHash {
        IncarnationHash(xxhash_rust::xxh3::xxh3_64(incarnation.as_bytes()))
    }

    /// The lower 32 bits of the hash.
    pub fn low_bits(self) -> u32 {
        (self.0 & u64::from(u32::MAX)) as u32
    }
}

/// The limit signal of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// No limit.
    #[default]
    Unlimited,
    /// Requests per second from all nodes together.
    PerSecond(f64),
    /// The value is not a number; the known limit is kept.
    Unreadable,
}

/// The signals of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseSignals {
    /// The limit of the server.
    pub limit: LimitSignal,
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// How long this node must send the server nothing; `None` if it asks for no rest.
    pub rest: Option<Duration>,
}

/// The interval that contains the time at which a response's signals were true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservationWindow {
    /// When the request was sent.
    pub sent: BootInstant,
    /// When the response head was received.
    pub received: BootInstant,
}

/// A change to the known signals of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// The server has set a limit, in requests per second.
    LimitSet(f64),
    /// The limit has changed to this number of requests per second.
    LimitChanged(f64),
    /// The limit was removed.
    LimitLifted,
    /// The server is leaving.
    Leaving,
    /// The server has asked this node for a rest of this duration.
    RestRequested(Duration),
    /// The rest is over.
    RestEnded,
}

impl SignalChange {
    /// Name of the signal in metrics.
    pub fn signal(&self) -> &'static str {
        match self {
            SignalChange::LimitSet(_)
            | SignalChange::LimitChanged(_)
            | SignalChange::LimitLifted => "limit",
            SignalChange::Leaving => "leaving",
            SignalChange::RestRequested(_) | SignalChange::RestEnded => "rest",
        }
    }

    /// Whether the change is reported to other nodes: a rest concerns only this node.
    pub fn is_reported(&self) -> bool {
        !matches!(self, SignalChange::RestRequested(_) | SignalChange::RestEnded)
    }

    /// Name of the event in metrics.
    pub fn event(&self) -> &'static str {
        match self {
            SignalChange::LimitSet(_) | SignalChange::Leaving | SignalChange::RestRequested(_) => {
                "set"
            }
            SignalChange::LimitChanged(_) => "changed",
            SignalChange::LimitLifted | SignalChange::RestEnded => "ended",
        }
    }
}

/// Number of servers under each signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalCounts {
    /// Servers with a limit.
    pub limited: usize,
    /// Servers that have announced that they are leaving.
    pub leaving: usize,
    /// Servers that are in a rest from this node.
    pub resting: usize,
}

/// Why this node currently sends a server no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The server is leaving.
    Leaving,
    /// The server has asked this node for a rest, with this time left.
    Resting(Duration),
    /// This node was denied a part of the server's limit.
    OverLimit {
        /// Time until this node asks for a part of the limit again.
        recheck_after: Duration,
        /// Time after which a client should retry.
        retry_after: Duration,
    },
}

impl Hold {
    /// Name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Hold::Leaving => "leaving",
            Hold::Resting(_) => "rest",
            Hold::OverLimit { .. } => "limit",
        }
    }

    /// Time until the server is a candidate again.
    pub fn recheck_after(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_RETENTION,
            Hold::Resting(left) => left,
            Hold::OverLimit { recheck_after, .. } => recheck_after,
        }
    }

    /// Time after which a client should retry if no other server can serve it.
    pub fn retry_after(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_RETENTION,
            Hold::Resting(left) => left,
            Hold::OverLimit { retry_after, .. } => retry_after,
        }
    }
}

/// Why a node was denied a part of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The limit is used up. A client may be served if it retries after this time.
    Exhausted(Duration),
    /// No decision was made, which says nothing about the limit. The node asks again after this
    /// time.
    Undecided(Duration),
}

impl Denial {
    /// Time after which a client should retry.
    pub fn retry_after(self) -> Duration {
        match self {
            Denial::Exhausted(retry_after) | Denial::Undecided(retry_after) => retry_after,
        }
    }
}

/// A node's report of a server's signals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalReport {
    /// The server.
    pub server: IncarnationHash,
    /// The limit; `None` if none has been observed.
    pub limit: Option<LimitReport>,
    /// Whether the server is leaving.
    pub is_leaving: bool,
}

/// The signals of all servers as known to a node.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    servers: HashMap<IncarnationHash, ServerSignals>,
    /// Incremented with each response or report that is applied; versions the limits.
    revision: u64,
}

impl SignalTable {
    /// Applies the signals of a response and returns the resulting changes.
    pub fn note_response(
        &mut self,
        server: IncarnationHash,
        signals: ResponseSignals,
        observed: ObservationWindow,
    ) -> Vec<SignalChange> {
        if signals == ResponseSignals::default() && !self.servers.contains_key(&server) {
            return Vec::new();
        }
        let now = observed.received;
        let revision = self.next_revision();
        let known = self.entry(server, now);
        let per_second = match signals.limit {
            LimitSignal::Unlimited => Some(None),
            LimitSignal::PerSecond(limit) => Some(Some(limit)),
            LimitSignal::Unreadable => None,
        };
        let limit = per_second.and_then(|per_second| {
            known.update_limit(KnownLimit::new(per_second, observed), revision)
        });
        let leaving = signals.is_leaving.then(|| known.mark_leaving(now)).flatten();
        let rest = signals.rest.and_then(|rest| known.start_rest(rest, now));
        [limit, leaving, rest].into_iter().flatten().collect()
    }

    /// Merges reports of other nodes and returns the resulting changes.
    pub fn merge(
        &mut self,
        reports: &[SignalReport],
        now: BootInstant,
    ) -> Vec<(IncarnationHash, SignalChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let revision = self.next_revision();
            let known = self.entry(report.server, now);
            let limit = report.limit.and_then(|limit| limit.known_limit(now));
            let limit = limit.and_then(|limit| known.update_limit(limit, revision));
            let leaving = report.is_leaving.then(|| known.mark_leaving(now)).flatten();
            changes.extend(limit.into_iter().chain(leaving).map(|change| (report.server, change)));
        }
        changes
    }

    /// Records for the next message to other nodes, those with the most transmissions left first.
    pub fn next_reports(&mut self, now: BootInstant) -> Vec<SignalReport> {
        let due = self.servers.iter_mut().filter(|(_, known)| known.transmissions_left() > 0);
        let mut due: Vec<(&IncarnationHash, &mut ServerSignals)> = due.collect();
        due.sort_unstable_by_key(|(server, known)| (Reverse(known.transmissions_left()), **server));
        due.truncate(MAX_REPORTS_PER_MESSAGE);
        let reports = due.into_iter().map(|(server, known)| known.next_report(*server, now));
        reports.collect()
    }

    /// The record of one server; `None` if nothing is known of it.
    pub fn report(&self, server: IncarnationHash, now: BootInstant) -> Option<SignalReport> {
        Some(self.servers.get(&server)?.report(server, now))
    }

    /// Schedules all records for transmission again, for a node that may have joined without them.
    pub fn report_again(&mut self) {
        self.servers.values_mut().for_each(ServerSignals::report_again);
    }

    /// Share of this node's requests for which a server is a candidate. It is less than 1 for a
    /// while after a limit or rest has ended, so that the nodes do not all send the requests they
    /// have held back at once.
    pub fn slow_start_share(&self, server: IncarnationHash, now: BootInstant) -> f64 {
        self.servers.get(&server).map_or(1.0, |known| known.slow_start_share(now))
    }

    /// Records that a server is leaving, as learned from something other than a response to a
    /// forwarded request. Returns whether that was unknown.
    pub fn note_leaving(&mut self, server: IncarnationHash, now: BootInstant) -> bool {
        self.entry(server, now).mark_leaving(now).is_some()
    }

    /// Whether a server has announced that it is leaving. This is final for the incarnation,
    /// whatever its registry entry says: the store may be slow or unreachable.
    pub fn is_leaving(&self, server: IncarnationHash) -> bool {
        self.servers.get(&server).is_some_and(|known| known.is_leaving())
    }

    /// The servers that have announced that they are leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = IncarnationHash> {
        let leaving = self.servers.iter().filter(|(_, known)| known.is_leaving());
        leaving.map(|(server, _)| *server)
    }

    /// Why this node currently sends a server no requests; `None` if it may send some.
    pub fn hold(&self, server: IncarnationHash, now: BootInstant) -> Option<Hold> {
        self.servers.get(&server)?.hold(now)
    }

    /// The limit of a server as a quota shared by all nodes. Its version increases with each
    /// change that this node learns of.
    pub fn limit(&self, server: IncarnationHash) -> Option<VersionedLimit> {
        self.servers.get(&server)?.quota()
    }

    /// Records that this node was granted a part of a server's limit.
    pub fn note_granted(&mut self, server: IncarnationHash) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.note_granted();
        }
    }

    /// Records that this node, one of `nodes`, was denied a part of a server's limit.
    pub fn note_denied(
        &mut self,
        server: IncarnationHash,
        nodes: usize,
        denial: Denial,
        now: BootInstant,
    ) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.note_denied(nodes, denial, now);
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn entry(&mut self, server: IncarnationHash, now: BootInstant) -> &mut ServerSignals {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            let oldest = self.servers.iter().min_by_key(|(_, known)| known.updated_at());
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.servers.remove(&oldest);
            }
        }
        let known = self.servers.entry(server).or_default();
        known.touch(now);
        known
    }

    /// Expires rests and outdated records. Returns the servers whose rest has ended.
    pub fn tick(&mut self, now: BootInstant) -> Vec<IncarnationHash> {
        let mut rested = Vec::new();
        for (server, known) in &mut self.servers {
            if known.end_rest(now) {
                rested.push(*server);
            }
        }
        self.servers.retain(|_, known| known.is_retained(now));
        rested
    }

    /// Counts the servers under each signal.
    pub fn counts(&self, now: BootInstant) -> SignalCounts {
        let mut counts = SignalCounts::default();
        for known in self.servers.values() {
            counts.limited += usize::from(known.per_second().is_some());
            counts.leaving += usize::from(known.is_leaving());
            counts.resting += usize::from(known.is_resting(now));
        }
        counts
    }
}
