//! What servers report of themselves in their answers: a limit on the requests a second that
//! they take from all nodes together, that they are leaving, and a rest from this node.
//!
//! An answer may overtake another one. What it reports was true at some moment between its
//! request and its head; where those spans of two answers overlap, neither is known to be
//! the later one, and the stricter counts. Nodes report to one another what they learn, a
//! bounded number of records with each message.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::quota::server_limit::{denied_for, server_limit};
use super::quota::{QuotaKey, VersionedLimit};
use crate::time::BootInstant;

/// Servers that are remembered: six times as many as at the size to design for. One takes
/// some 100 bytes.
const MOST_SERVERS: usize = 4096;
/// Time for which it is remembered that a server leaves: longer than one takes to be gone.
const LEAVING_REMEMBERED_FOR: Duration = Duration::from_secs(3600);
/// Time for which it is remembered that a server has no limit any more: answers that are
/// still on their way are older.
const UNLIMITED_REMEMBERED_FOR: Duration = Duration::from_secs(60);

/// Records in one message: 1.2 KB at the most.
const MOST_REPORTED: usize = 40;
/// Messages that carry a record after it has changed. Of datagrams one in twenty may be
/// lost, and hubs pass on what they are sent.
const REPORTS: u32 = 12;
/// Time that a report may take from node to node, unknown to the receiver: what it reports
/// may have been observed so much earlier.
const MOST_TRANSIT: Duration = Duration::from_millis(500);

/// Time over which a server comes back into use after its limit or rest has ended, and the
/// share of requests that it begins with.
const EASED_FOR: Duration = Duration::from_secs(2);
const LEAST_EASED_SHARE: f64 = 0.05;

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

    /// Whether other nodes hear of it: a rest is between the server and this node.
    pub fn is_reported(&self) -> bool {
        !matches!(self, SignalChange::RestAsked(_) | SignalChange::RestEnded)
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
        asked_again: Duration,
        /// When there is one for a caller who comes back.
        room: Duration,
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
    pub fn lasts(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_REMEMBERED_FOR,
            Hold::Resting(left) => left,
            Hold::OverLimit { asked_again, .. } => asked_again,
        }
    }

    /// When a caller should come back whom no other server can serve.
    pub fn come_back(self) -> Duration {
        match self {
            Hold::Leaving => LEAVING_REMEMBERED_FOR,
            Hold::Resting(left) => left,
            Hold::OverLimit { room, .. } => room,
        }
    }
}

/// A part of a limit that was refused.
#[derive(Clone, Copy, Debug)]
struct Denied {
    asked_again: BootInstant,
    room: BootInstant,
}

/// The last word on a server's limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// Requests a second; none where it has no limit any more.
    per_second: Option<f64>,
    /// When the word was true that counts.
    observed: Observed,
    /// When the last answer was read that named any limit.
    limited_until: Option<BootInstant>,
}

/// What a node reports of a server's limit. Ages are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second; none where it has no limit any more.
    pub per_second: Option<f64>,
    /// Age of the request to whose answer it was said.
    pub sent_age: u32,
    /// Age of that answer.
    pub received_age: u32,
}

impl LimitReport {
    fn of(limit: &KnownLimit, now: BootInstant) -> LimitReport {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let Observed { sent, received } = limit.observed;
        let limited_until = limit.limited_until.filter(|_| limit.per_second.is_some());
        let received = limited_until.map_or(received, |until| received.max(until));
        LimitReport {
            per_second: limit.per_second,
            sent_age: age(sent),
            received_age: age(received),
        }
    }

    /// What it says, as it was observed at the latest; none where the figure is none. What is
    /// older than this machine's start counts from there.
    fn read(&self, now: BootInstant) -> Option<KnownLimit> {
        let before = |time| now.checked_sub(time).unwrap_or_default();
        let age = |millis| Duration::from_millis(u64::from(millis));
        let observed = Observed {
            sent: before(age(self.sent_age) + MOST_TRANSIT),
            received: before(age(self.received_age)),
        };
        let is_figure = self.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        is_figure.then(|| KnownLimit::new(self.per_second, observed))
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

impl KnownLimit {
    fn new(per_second: Option<f64>, observed: Observed) -> KnownLimit {
        let limited_until = per_second.map(|_| observed.received);
        KnownLimit { per_second, observed, limited_until }
    }

    /// Takes another word; the later one counts, or the stricter where that is not known. A
    /// word of no limit has to be later than all that named one: of two that overlap, the
    /// one that did not count may have been the last.
    fn take(&mut self, word: KnownLimit) {
        let (known, new) = (self.observed, word.observed);
        let limited_until = self.limited_until.max(word.limited_until);
        let is_older = new.received <= known.sent;
        let is_newer = match word.per_second {
            Some(_) => new.sent >= known.received,
            None => new.sent >= known.received && Some(new.sent) >= self.limited_until,
        };
        if is_newer || (!is_older && is_stricter(word.per_second, self.per_second)) {
            self.per_second = word.per_second;
        }
        if !is_older && self.per_second == word.per_second {
            let sent = known.sent.max(new.sent);
            self.observed = Observed { sent, received: known.received.max(new.received) };
        }
        self.limited_until = limited_until;
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
    /// Set while its limit is used up, as far as this node was told.
    denied: Option<Denied>,
    /// When a limit or a rest of it last ended.
    eased: Option<BootInstant>,
    /// Number of the last change of its limit.
    revision: u64,
    /// Messages that are yet to carry the record.
    reports_left: u32,
    /// When anything was last learned.
    learned: BootInstant,
}

impl ServerSignals {
    fn per_second(&self) -> Option<f64> {
        self.limit.and_then(|limit| limit.per_second)
    }

    fn take_limit(&mut self, word: KnownLimit, revision: u64) -> Option<SignalChange> {
        let before = self.per_second();
        match &mut self.limit {
            Some(known) => known.take(word),
            None => self.limit = Some(word),
        }
        let change = limit_change(before, self.per_second())?;
        if change == SignalChange::LimitLifted {
            self.eased = Some(self.learned);
        }
        self.revision = revision;
        self.reports_left = REPORTS;
        self.denied = None;
        Some(change)
    }

    fn hold(&self, now: BootInstant) -> Option<Hold> {
        if self.leaving.is_some() {
            return Some(Hold::Leaving);
        }
        if let Some(until) = self.rest_until.filter(|until| now < *until) {
            return Some(Hold::Resting(until.since(now)));
        }
        let denied = self.denied.filter(|denied| now < denied.asked_again)?;
        let (asked_again, room) = (denied.asked_again.since(now), denied.room.since(now));
        Some(Hold::OverLimit { asked_again, room })
    }

    fn take_leaving(&mut self, now: BootInstant) -> Option<SignalChange> {
        if self.leaving.is_some() {
            return None;
        }
        self.leaving = Some(now);
        self.reports_left = REPORTS;
        Some(SignalChange::Leaving)
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

    fn report(&self, server: IncarnationHash, now: BootInstant) -> SignalReport {
        let limit = self.limit.as_ref().map(|limit| LimitReport::of(limit, now));
        SignalReport { server, limit, is_leaving: self.leaving.is_some() }
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
        let is_eased = self.eased.is_some_and(|ended| now.since(ended) < EASED_FOR);
        knows_leaving || knows_limit || is_eased || self.rest_until.is_some()
    }
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
        let due = self.servers.iter_mut().filter(|(_, known)| known.reports_left > 0);
        let mut due: Vec<(&IncarnationHash, &mut ServerSignals)> = due.collect();
        due.sort_unstable_by_key(|(server, known)| (Reverse(known.reports_left), **server));
        due.truncate(MOST_REPORTED);
        let reports = due.into_iter().map(|(server, known)| {
            known.reports_left -= 1;
            known.report(*server, now)
        });
        reports.collect()
    }

    /// What this node knows of one server.
    pub fn report(&self, server: IncarnationHash, now: BootInstant) -> Option<SignalReport> {
        Some(self.servers.get(&server)?.report(server, now))
    }

    /// Reports everything again: a node may have come that lacks it.
    pub fn report_again(&mut self) {
        self.servers.values_mut().for_each(|known| known.reports_left = REPORTS);
    }

    /// Share of this node's requests that a server takes part in the choice for: less than 1
    /// for a while after its limit or rest has ended, so that not all nodes send at once what
    /// they have held back.
    pub fn eased_share(&self, server: IncarnationHash, now: BootInstant) -> f64 {
        let Some(known) = self.servers.get(&server) else { return 1.0 };
        let ended = known.rest_until.filter(|until| now >= *until).max(known.eased);
        let Some(ended) = ended else { return 1.0 };
        let part = now.since(ended).as_secs_f64() / EASED_FOR.as_secs_f64();
        (LEAST_EASED_SHARE + (1.0 - LEAST_EASED_SHARE) * part).min(1.0)
    }

    /// Takes that a server is leaving, by an answer to something else than a request; returns
    /// whether that is new.
    pub fn note_leaving(&mut self, server: IncarnationHash, now: BootInstant) -> bool {
        self.entry(server, now).take_leaving(now).is_some()
    }

    /// Whether a server is leaving by its own word. That holds for its life, whatever its
    /// entry says: the store may be slow or silent.
    pub fn is_leaving(&self, server: IncarnationHash) -> bool {
        self.servers.get(&server).is_some_and(|known| known.leaving.is_some())
    }

    /// Why a server gets no request from this node now.
    pub fn hold(&self, server: IncarnationHash, now: BootInstant) -> Option<Hold> {
        self.servers.get(&server)?.hold(now)
    }

    /// The limit of a server, as a quota of all nodes. Its version rises with each change
    /// that this node learns of.
    pub fn limit(&self, server: IncarnationHash) -> Option<VersionedLimit> {
        let known = self.servers.get(&server)?;
        known.per_second().map(|per_second| server_limit(per_second, known.revision))
    }

    /// Notes that a part of a server's limit was refused to one of so many nodes; there is
    /// one for a caller who comes back after `room`.
    pub fn note_denied(
        &mut self,
        server: IncarnationHash,
        nodes: usize,
        room: Duration,
        now: BootInstant,
    ) {
        let Some(limit) = self.limit(server) else { return };
        let asked_again = now + denied_for(&limit, nodes, room);
        if let Some(known) = self.servers.get_mut(&server) {
            known.denied = Some(Denied { asked_again, room: now + room });
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
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
                known.eased = known.rest_until.take();
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
