//! What servers report of themselves in their answers: a limit on the requests a second that
//! they take from all nodes together, that they are leaving, and a rest from this node.
//!
//! An answer may overtake another one. What it reports was true at some moment between its
//! request and its head; where those spans of two answers overlap, neither is known to be
//! the later one, and the stricter counts.

use std::collections::HashMap;
use std::time::Duration;

use crate::time::BootInstant;

/// Servers that are remembered: six times as many as at the size to design for. One takes
/// some 100 bytes.
const MOST_SERVERS: usize = 4096;
/// Time for which it is remembered that a server leaves: longer than one takes to be gone.
const LEAVING_REMEMBERED_FOR: Duration = Duration::from_secs(3600);
/// Time for which it is remembered that a server has no limit any more: answers that are
/// still on their way are older.
const UNLIMITED_REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// Identifies one incarnation of a server, as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IncarnationHash(u64);

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
pub struct AnswerSignals {
    /// Its limit.
    pub limit: LimitSignal,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// For how long this node is to send it nothing.
    pub rest: Option<Duration>,
}

/// The span in which an answer's signals were true at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observed {
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
    RestAsked(Duration),
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
            SignalChange::RestAsked(_) | SignalChange::RestEnded => "rest",
        }
    }

    /// Name of what happened to it.
    pub fn event(&self) -> &'static str {
        match self {
            SignalChange::LimitSet(_) | SignalChange::Leaving | SignalChange::RestAsked(_) => "set",
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

/// The last word on a server's limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// Requests a second; none where it has no limit any more.
    per_second: Option<f64>,
    observed: Observed,
}

impl KnownLimit {
    /// Takes another word; the later one counts, or the stricter where that is not known.
    fn take(&mut self, word: KnownLimit) {
        let (known, new) = (self.observed, word.observed);
        let is_older = new.received <= known.sent;
        let is_newer = new.sent >= known.received;
        if is_newer || (!is_older && is_stricter(word.per_second, self.per_second)) {
            self.per_second = word.per_second;
        }
        if !is_older && self.per_second == word.per_second {
            let sent = known.sent.max(new.sent);
            self.observed = Observed { sent, received: known.received.max(new.received) };
        }
    }
}

fn is_stricter(limit: Option<f64>, other: Option<f64>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

fn limit_change(before: Option<f64>, after: Option<f64>) -> Option<SignalChange> {
    match (before, after) {
        (None, Some(limit)) => Some(SignalChange::LimitSet(limit)),
        (Some(before), Some(limit)) if before != limit => Some(SignalChange::LimitChanged(limit)),
        (Some(_), None) => Some(SignalChange::LimitLifted),
        _ => None,
    }
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
struct ServerSignals {
    limit: Option<KnownLimit>,
    /// Since when it is known to be leaving.
    leaving: Option<BootInstant>,
    rest_until: Option<BootInstant>,
    /// When anything was last learned.
    learned: BootInstant,
}

impl ServerSignals {
    fn per_second(&self) -> Option<f64> {
        self.limit.and_then(|limit| limit.per_second)
    }

    fn take_limit(&mut self, word: KnownLimit) -> Option<SignalChange> {
        let before = self.per_second();
        match &mut self.limit {
            Some(known) => known.take(word),
            None => self.limit = Some(word),
        }
        limit_change(before, self.per_second())
    }

    fn take_leaving(&mut self, now: BootInstant) -> Option<SignalChange> {
        let is_new = self.leaving.is_none();
        self.leaving.get_or_insert(now);
        is_new.then_some(SignalChange::Leaving)
    }

    /// Takes a rest; a longer one that was asked before goes on.
    fn take_rest(&mut self, rest: Duration, asked: BootInstant) -> Option<SignalChange> {
        let until = asked + rest;
        if rest.is_zero() || self.rest_until.is_some_and(|known| known >= until) {
            return None;
        }
        self.rest_until = Some(until);
        Some(SignalChange::RestAsked(rest))
    }

    fn is_resting(&self, now: BootInstant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    fn is_remembered(&self, now: BootInstant) -> bool {
        let knows_leaving =
            self.leaving.is_some_and(|since| now.since(since) < LEAVING_REMEMBERED_FOR);
        let knows_limit = self.limit.is_some_and(|limit| {
            let age = now.since(limit.observed.received);
            limit.per_second.is_some() || age < UNLIMITED_REMEMBERED_FOR
        });
        knows_leaving || knows_limit || self.rest_until.is_some()
    }
}

/// What a node knows of servers by what they report of themselves.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    servers: HashMap<IncarnationHash, ServerSignals>,
}

impl SignalTable {
    /// Takes what an answer says of its server; returns what that changes.
    pub fn note_answer(
        &mut self,
        server: IncarnationHash,
        signals: AnswerSignals,
        observed: Observed,
    ) -> Vec<SignalChange> {
        if signals == AnswerSignals::default() && !self.servers.contains_key(&server) {
            return Vec::new();
        }
        let now = observed.received;
        let known = self.entry(server, now);
        let per_second = match signals.limit {
            LimitSignal::Unlimited => Some(None),
            LimitSignal::PerSecond(limit) => Some(Some(limit)),
            LimitSignal::Unreadable => None,
        };
        let limit =
            per_second.and_then(|per_second| known.take_limit(KnownLimit { per_second, observed }));
        let leaving = signals.is_leaving.then(|| known.take_leaving(now)).flatten();
        let rest = signals.rest.and_then(|rest| known.take_rest(rest, now));
        [limit, leaving, rest].into_iter().flatten().collect()
    }

    fn entry(&mut self, server: IncarnationHash, now: BootInstant) -> &mut ServerSignals {
        if self.servers.len() >= MOST_SERVERS && !self.servers.contains_key(&server) {
            let oldest = self.servers.iter().min_by_key(|(_, known)| known.learned);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.servers.remove(&oldest);
            }
        }
        let known = self.servers.entry(server).or_default();
        known.learned = now;
        known
    }

    /// Lets time pass; returns the servers whose rest has ended.
    pub fn tick(&mut self, now: BootInstant) -> Vec<IncarnationHash> {
        let mut rested = Vec::new();
        for (server, known) in &mut self.servers {
            if known.rest_until.is_some_and(|until| now >= until) {
                known.rest_until = None;
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
            counts.leaving += usize::from(known.leaving.is_some());
            counts.resting += usize::from(known.is_resting(now));
        }
        counts
    }
}
