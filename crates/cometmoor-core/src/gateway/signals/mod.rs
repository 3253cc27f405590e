//! What servers report of themselves in their answers: a limit on the requests a second that
//! they take from all nodes together, that they are leaving, and a rest from this node.
//!
//! An answer may overtake another one. What it reports was true at some moment between its
//! request and its head; where those spans of two answers overlap, neither is known to be
//! the later one, and the stricter counts. Nodes report to one another what they learn, a
//! bounded number of records with each message.

mod limit;
mod server;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::limit::KnownLimit;
pub use self::limit::LimitReport;
use self::server::{LEAVING_REMEMBERED_FOR, ServerSignals};
use super::quota::{QuotaKey, VersionedLimit};
use crate::time::BootInstant;

/// Servers that are remembered: six times as many as at the size to design for. One takes
/// some 100 bytes.
const MOST_SERVERS: usize = 4096;
/// Records in one message: 1.2 KB at the most.
const MOST_REPORTED: usize = 40;

/// Identifies one incarnation of a server, as a hash of its name.
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
    /// Of an incarnation's name.
    pub fn of(incarnation: &str) -> IncarnationHash {
        IncarnationHash(xxhash_rust::xxh3::xxh3_64(incarnation.as_bytes()))
    }
}

/// What an answer says of a limit on its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// There is none.
    #[default]
    Unlimited,
    /// So many requests a second from all nodes together.
    PerSecond(f64),
    /// It says something that is no number; what was known before stays.
    Unreadable,
}

/// What an answer says of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseSignals {
    /// Its limit.
    pub limit: LimitSignal,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// For how long this node is to send it nothing.
    pub rest: Option<Duration>,
}

/// The span in which an answer's signals were true at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservationWindow {
    /// When its request was sent.
    pub sent: BootInstant,
    /// When its head was read.
    pub received: BootInstant,
}

/// A change of what is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SignalChange {
    /// It names a limit, in requests a second.
    LimitSet(f64),
    /// It names another limit than before.
    LimitChanged(f64),
    /// It names none any more.
    LimitLifted,
    /// It is leaving.
    Leaving,
    /// It is to get nothing from this node for so long.
    RestRequested(Duration),
    /// That time is over.
    RestEnded,
}

impl SignalChange {
    /// Name of the signal in log lines and metrics.
    pub fn signal(&self) -> &'static str {
        match self {
            SignalChange::LimitSet(_)
            | SignalChange::LimitChanged(_)
            | SignalChange::LimitLifted => "limit",
            SignalChange::Leaving => "leaving",
            SignalChange::RestRequested(_) | SignalChange::RestEnded => "rest",
        }
    }

    /// Whether other nodes hear of it: a rest is between the server and this node.
    pub fn is_reported(&self) -> bool {
        !matches!(self, SignalChange::RestRequested(_) | SignalChange::RestEnded)
    }

    /// Name of what happened to it.
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

/// Servers under each signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalCounts {
    /// With a limit.
    pub limited: usize,
    /// Leaving by their own word.
    pub leaving: usize,
    /// That this node leaves alone.
    pub resting: usize,
}

/// Why a server gets no request from this node now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It is leaving.
    Leaving,
    /// It has asked this node for a rest, which goes on for so long.
    Resting(Duration),
    /// Its limit is used up.
    OverLimit {
        /// When this node asks for a part of it again.
        recheck_after: Duration,
        /// When there is one for a caller who comes back.
        retry_after: Duration,
    },
}

impl Hold {
    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Hold::Leaving => "leaving",
            Hold::Resting(_) => "rest",
            Hold::OverLimit { .. } => "limit",
        }
    }

    /// When the server is considered again.
    pub fn recheck_after(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_REMEMBERED_FOR,
            Hold::Resting(left) => left,
            Hold::OverLimit { recheck_after, .. } => recheck_after,
        }
    }

    /// When a caller should come back whom no other server can serve.
    pub fn retry_after(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_REMEMBERED_FOR,
            Hold::Resting(left) => left,
            Hold::OverLimit { retry_after, .. } => retry_after,
        }
    }
}

/// Why a part of a server's limit was denied to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The limit is used up; there is a part for a caller who comes back after this time.
    Exhausted(Duration),
    /// Nobody could tell, which says nothing of the limit; it is asked for again after this
    /// time.
    Undecided(Duration),
}

impl Denial {
    /// When a caller should come back.
    pub fn retry_after(self) -> Duration {
        match self {
            Denial::Exhausted(retry_after) | Denial::Undecided(retry_after) => retry_after,
        }
    }
}

/// What a node reports of a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SignalReport {
    /// The server.
    pub server: IncarnationHash,
    /// The last word on its limit.
    pub limit: Option<LimitReport>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// What a node knows of servers by what they report of themselves.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    servers: HashMap<IncarnationHash, ServerSignals>,
    /// Number of the last change of any server's limit.
    revision: u64,
}

impl SignalTable {
    /// Takes what an answer says of its server; returns what that changes.
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
            known.take_limit(KnownLimit::new(per_second, observed), revision)
        });
        let leaving = signals.is_leaving.then(|| known.take_leaving(now)).flatten();
        let rest = signals.rest.and_then(|rest| known.take_rest(rest, now));
        [limit, leaving, rest].into_iter().flatten().collect()
    }

    /// Takes what other nodes report; returns what that changes.
    pub fn merge(
        &mut self,
        reports: &[SignalReport],
        now: BootInstant,
    ) -> Vec<(IncarnationHash, SignalChange)> {
        let mut changes = Vec::new();
        for report in reports {
            let revision = self.next_revision();
            let known = self.entry(report.server, now);
            let limit = report.limit.and_then(|limit| limit.read(now));
            let limit = limit.and_then(|word| known.take_limit(word, revision));
            let leaving = report.is_leaving.then(|| known.take_leaving(now)).flatten();
            changes.extend(limit.into_iter().chain(leaving).map(|change| (report.server, change)));
        }
        changes
    }

    /// What the next message to other nodes carries: what has changed lately.
    pub fn next_reports(&mut self, now: BootInstant) -> Vec<SignalReport> {
        let due = self.servers.iter_mut().filter(|(_, known)| known.reports_left() > 0);
        let mut due: Vec<(&IncarnationHash, &mut ServerSignals)> = due.collect();
        due.sort_unstable_by_key(|(server, known)| (Reverse(known.reports_left()), **server));
        due.truncate(MOST_REPORTED);
        let reports = due.into_iter().map(|(server, known)| known.next_report(*server, now));
        reports.collect()
    }

    /// What this node knows of one server.
    pub fn report(&self, server: IncarnationHash, now: BootInstant) -> Option<SignalReport> {
        Some(self.servers.get(&server)?.report(server, now))
    }

    /// Reports everything again: a node may have come that lacks it.
    pub fn report_again(&mut self) {
        self.servers.values_mut().for_each(ServerSignals::report_again);
    }

    /// Share of this node's requests that a server takes part in the choice for: less than 1
    /// for a while after its limit or rest has ended, so that not all nodes send at once what
    /// they have held back.
    pub fn slow_start_share(&self, server: IncarnationHash, now: BootInstant) -> f64 {
        self.servers.get(&server).map_or(1.0, |known| known.slow_start_share(now))
    }

    /// Takes that a server is leaving, by an answer to something else than a request; returns
    /// whether that is new.
    pub fn note_leaving(&mut self, server: IncarnationHash, now: BootInstant) -> bool {
        self.entry(server, now).take_leaving(now).is_some()
    }

    /// Whether a server is leaving by its own word. That holds for its life, whatever its
    /// entry says: the store may be slow or silent.
    pub fn is_leaving(&self, server: IncarnationHash) -> bool {
        self.servers.get(&server).is_some_and(|known| known.is_leaving())
    }

    /// Why a server gets no request from this node now.
    pub fn hold(&self, server: IncarnationHash, now: BootInstant) -> Option<Hold> {
        self.servers.get(&server)?.hold(now)
    }

    /// The limit of a server, as a quota of all nodes. Its version rises with each change
    /// that this node learns of.
    pub fn limit(&self, server: IncarnationHash) -> Option<VersionedLimit> {
        self.servers.get(&server)?.quota()
    }

    /// Notes that a part of a server's limit was granted to this node.
    pub fn note_granted(&mut self, server: IncarnationHash) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.note_granted();
        }
    }

    /// Notes that a part of a server's limit was denied to one of so many nodes.
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
        if self.servers.len() >= MOST_SERVERS && !self.servers.contains_key(&server) {
            let oldest = self.servers.iter().min_by_key(|(_, known)| known.learned());
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.servers.remove(&oldest);
            }
        }
        let known = self.servers.entry(server).or_default();
        known.note_learned(now);
        known
    }

    /// Lets time pass; returns the servers whose rest has ended.
    pub fn tick(&mut self, now: BootInstant) -> Vec<IncarnationHash> {
        let mut rested = Vec::new();
        for (server, known) in &mut self.servers {
            if known.end_rest(now) {
                rested.push(*server);
            }
        }
        self.servers.retain(|_, known| known.is_remembered(now));
        rested
    }

    /// Servers under each signal.
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
