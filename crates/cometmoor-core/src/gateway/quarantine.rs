//! Requests that crash the servers that run them (queries of death).
//!
//! When a server crashes, every request that was there is a suspect: nothing tells which
//! one crashed it. Content that was present at the crashes of [`CRASH_LIMIT`] servers is
//! quarantined: no server gets it for [`QUARANTINE_LIFETIME`]. Content that a server has
//! answered since, or a moment before, is cleared: it only ran beside the one that
//! crashed the server.
//!
//! Nodes send one another what they learn, a bounded number of records with each message,
//! so that a request that is repeated at any node is known there. Of twelve servers all
//! crashed under a request that came four times a second at two nodes; with this, three
//! (loopback, `platform/tests/query_of_death.rs`). A request that runs beside a crash is
//! blamed once for it: callers that retry once never reach three.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Servers that crash under a request before it is quarantined. With two, a caller that
/// retries once and is unlucky twice would be refused; each further one costs a server.
pub const CRASH_LIMIT: usize = 3;
/// Time for which content is quarantined after the last server has crashed under it. A
/// caller that still sends it afterwards costs one server more.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which suspects, and content that was quarantined, are remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(1200);
/// Time for which it is remembered that a suspect was cleared: what other nodes still
/// report of it is older.
const CLEARED_FOR: Duration = Duration::from_secs(60);
/// Time for which an answer clears content at whose server a crash follows: what many
/// callers ask for is answered somewhere every moment.
const ANSWER_CLEARS_FOR: Duration = Duration::from_secs(10);
/// Answers that are remembered: a node of 5 requests/s, as at the size to design for,
/// needs 50.
const MOST_ANSWERED: usize = 2048;
/// Records that are held: 300 servers that crash at once with 12 requests each. One takes
/// some 150 bytes.
const MOST_RECORDS: usize = 4096;
/// Records in one message: 1.2 KB at the most.
const MOST_REPORTED: usize = 40;
/// Messages that carry a record after it has changed. Of datagrams one in twenty may be
/// lost, and hubs pass on what they are sent.
const REPORTS: u32 = 12;
/// The same for a first crash: nearly all of those contents only ran beside another one,
/// and a third of a large fleet's servers may crash at once.
const REPORTS_OF_FIRST_CRASH: u32 = 4;

/// Fingerprint of a request's content; equal on all nodes for equal contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Key of one incarnation of a server.
pub type IncarnationKey = u32;

/// What a node reports of content that was present at crashes. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The content.
    pub content: Fingerprint,
    /// Servers that crashed while it was there, and how long ago. Left out where the
    /// content is quarantined.
    pub crashes: Vec<(IncarnationKey, u32)>,
    /// Age of the crash from which its quarantine counts.
    pub quarantined: Option<u32>,
    /// Time since it was cleared.
    pub cleared: Option<u32>,
}

/// Whether content may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing speaks against it, or not enough.
    Allowed,
    /// No server gets it for so long.
    Quarantined(Duration),
}

/// What a crash means for content that was there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// A server has answered it lately; it is not blamed.
    Cleared,
    /// It was present at the crashes of so many servers.
    Suspect(usize),
    /// No server gets it from now on.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Servers that crashed while it was there, at most [`CRASH_LIMIT`], and when.
    crashes: Vec<(IncarnationKey, Timestamp)>,
    /// The crash from which its quarantine counts.
    quarantined: Option<Timestamp>,
    cleared: Option<Timestamp>,
    /// Whether a crash that this node saw led to its quarantine.
    is_own: bool,
    /// Whether the store holds its quarantine.
    is_stored: bool,
    /// Messages that are yet to carry the record.
    reports_left: u32,
}

impl Record {
    fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|(_, at)| *at).max().max(self.quarantined)
    }

    fn is_quarantined(&self, now: Timestamp) -> bool {
        self.quarantined.is_some_and(|since| now.since(since) < QUARANTINE_LIFETIME)
    }

    fn is_remembered(&self, now: Timestamp) -> bool {
        let lately = |at: Option<Timestamp>, span| at.is_some_and(|at| now.since(at) < span);
        lately(self.last_crash(), REMEMBERED_FOR) || lately(self.cleared, CLEARED_FOR)
    }

    /// Drops crashes that are too long ago to be of one cause.
    fn forget_old(&mut self, now: Timestamp) {
        let is_old = |at: Timestamp| now.since(at) >= REMEMBERED_FOR;
        self.crashes.retain(|(_, at)| !is_old(*at));
        self.quarantined = self.quarantined.filter(|since| !is_old(*since));
        self.is_stored &= self.quarantined.is_some();
    }

    /// Adds the crash of a server; tells whether it was new.
    fn add_crash(&mut self, server: IncarnationKey, at: Timestamp) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == server);
        let was_cleared = self.cleared.is_some_and(|cleared| cleared >= at);
        if is_known || was_cleared || self.crashes.len() >= CRASH_LIMIT {
            return false;
        }
        self.crashes.push((server, at));
        true
    }

    /// Forgets all that happened up to then.
    fn clear(&mut self, at: Timestamp) {
        self.cleared = self.cleared.max(Some(at));
        self.crashes.retain(|(_, crash)| *crash > at);
        self.quarantined = self.quarantined.filter(|since| *since > at);
        self.is_stored &= self.quarantined.is_some();
    }

    /// Quarantines it where enough servers have crashed. One that was quarantined before
    /// is so again from its next crash on.
    fn judge(&mut self) {
        if self.crashes.len() >= CRASH_LIMIT || self.quarantined.is_some() {
            self.quarantined = self.last_crash();
        }
    }

    fn verdict(&self, now: Timestamp) -> CrashVerdict {
        match self.is_quarantined(now) {
            true => CrashVerdict::Quarantined,
            false => CrashVerdict::Suspect(self.crashes.len()),
        }
    }

    /// Has the next messages carry it.
    fn report_soon(&mut self) {
        let is_first = self.quarantined.is_none() && self.crashes.len() == 1;
        self.reports_left = if is_first { REPORTS_OF_FIRST_CRASH } else { REPORTS };
    }

    fn report(&self, content: Fingerprint, now: Timestamp) -> SuspectReport {
        let age = |at: Timestamp| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let crashes = if self.quarantined.is_some() { [].iter() } else { self.crashes.iter() };
        SuspectReport {
            content,
            crashes: crashes.map(|(server, at)| (*server, age(*at))).collect(),
            quarantined: self.quarantined.map(age),
            cleared: self.cleared.map(age),
        }
    }
}

/// What a node knows of contents that were present at crashes.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Contents that were answered lately, and when last.
    answered: HashMap<Fingerprint, Timestamp>,
    /// The same answers in order.
    answers: VecDeque<(Fingerprint, Timestamp)>,
    /// When a suspect was last blamed for a crash that this node saw.
    last_blamed: Option<Timestamp>,
    /// Servers that broke a connection under content and of which it is not known yet
    /// whether they crashed, by content.
    unchecked: HashMap<Fingerprint, usize>,
}

impl Quarantine {
    /// Whether content may be sent.
    pub fn status(&self, content: Fingerprint, now: Timestamp) -> QuarantineStatus {
        let since = self.records.get(&content).and_then(|record| record.quarantined);
        match since.map(|since| QUARANTINE_LIFETIME.saturating_sub(now.since(since))) {
            Some(left) if !left.is_zero() => QuarantineStatus::Quarantined(left),
            _ => QuarantineStatus::Allowed,
        }
    }

    /// Notes that a server broke a connection under content; whether it crashed is not known.
    pub fn begin_crash_check(&mut self, content: Fingerprint) {
        *self.unchecked.entry(content).or_default() += 1;
    }

    /// Notes that it is known whether one of those servers crashed.
    pub fn end_crash_check(&mut self, content: Fingerprint) {
        if let Some(open) = self.unchecked.get_mut(&content) {
            *open -= 1;
            if *open == 0 {
                self.unchecked.remove(&content);
            }
        }
    }

    /// Whether content may have crashed enough servers to be quarantined, and it will be known
    /// in a moment.
    pub fn is_decision_pending(&self, content: Fingerprint) -> bool {
        let Some(open) = self.unchecked.get(&content) else { return false };
        let crashed = self.records.get(&content).map_or(0, |record| record.crashes.len());
        crashed + open >= CRASH_LIMIT
    }

    /// Notes that a server crashed while content was there.
    pub fn note_crash(
        &mut self,
        content: Fingerprint,
        server: IncarnationKey,
        now: Timestamp,
    ) -> CrashVerdict {
        let was_answered = self.was_answered(content, now);
        let record = self.record(content, now);
        if was_answered {
            record.clear(now);
            record.report_soon();
            return CrashVerdict::Cleared;
        }
        if record.quarantined.is_some() {
            record.quarantined = Some(now);
        }
        if record.add_crash(server, now) || record.quarantined.is_some() {
            record.report_soon();
        }
        record.judge();
        record.is_own |= record.quarantined.is_some();
        let verdict = record.verdict(now);
        self.last_blamed = Some(now);
        verdict
    }

    /// Notes that a server has answered content well; tells whether that cleared a
    /// suspect.
    pub fn note_answer(&mut self, content: Fingerprint, now: Timestamp) -> bool {
        self.answered.insert(content, now);
        self.answers.push_back((content, now));
        self.forget_answers(now);
        let Some(record) = self.records.get_mut(&content) else { return false };
        let was_suspect = record.last_crash().is_some();
        record.clear(now);
        if was_suspect {
            record.report_soon();
        }
        was_suspect
    }

    fn was_answered(&self, content: Fingerprint, now: Timestamp) -> bool {
        let answered = self.answered.get(&content);
        answered.is_some_and(|answered| now.since(*answered) < ANSWER_CLEARS_FOR)
    }

    fn forget_answers(&mut self, now: Timestamp) {
        while let Some((content, at)) = self.answers.front().copied() {
            if self.answers.len() <= MOST_ANSWERED && now.since(at) < ANSWER_CLEARS_FOR {
                return;
            }
            self.answers.pop_front();
            if self.answered.get(&content) == Some(&at) {
                self.answered.remove(&content);
            }
        }
    }

    /// Takes what another node reports; returns the contents that are quarantined by that
    /// and were not before.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Timestamp) -> Vec<Fingerprint> {
        let reports = reports.iter().take(MOST_REPORTED);
        let new = reports.filter(|report| self.merge_one(report, now));
        new.map(|report| report.content).collect()
    }

    /// Takes one report; tells whether its content is quarantined now and was not before.
    fn merge_one(&mut self, report: &SuspectReport, now: Timestamp) -> bool {
        let at = |age: u32| Timestamp(now.0.saturating_sub(age.into()));
        let was_answered = self.was_answered(report.content, now);
        let record = self.record(report.content, now);
        let was_quarantined = record.is_quarantined(now);
        let before = (record.crashes.len(), record.quarantined.is_some());
        if let Some(cleared) = report.cleared {
            record.clear(at(cleared));
        }
        for (server, age) in report.crashes.iter().take(CRASH_LIMIT) {
            record.add_crash(*server, at(*age));
        }
        let reported = report.quarantined.map(at).filter(|since| Some(*since) > record.cleared);
        record.quarantined = record.quarantined.max(reported);
        if was_answered && record.last_crash().is_some() {
            record.clear(now);
            record.report_soon();
            return false;
        }
        record.judge();
        if before != (record.crashes.len(), record.quarantined.is_some()) {
            record.report_soon();
        }
        record.is_quarantined(now) && !was_quarantined
    }

    /// Takes content that the store holds as quarantined; tells whether that is new.
    pub fn restore(&mut self, content: Fingerprint, now: Timestamp) -> bool {
        let record = self.record(content, now);
        if record.cleared.is_some() {
            return false;
        }
        record.is_stored = true;
        let is_new = !record.is_quarantined(now);
        if is_new {
            record.quarantined = Some(now);
            record.report_soon();
        }
        is_new
    }

    /// Contents that are quarantined, which the store does not hold yet: those by a crash
    /// that this node saw, and all others where it writes for the fleet.
    pub fn unstored(&self, for_fleet: bool, now: Timestamp) -> Vec<Fingerprint> {
        let is_unstored = |record: &Record| {
            record.is_quarantined(now) && !record.is_stored && (for_fleet || record.is_own)
        };
        let unstored = self.records.iter().filter(|(_, record)| is_unstored(record));
        unstored.map(|(content, _)| *content).collect()
    }

    /// Notes that the store holds the quarantine of content.
    pub fn note_stored(&mut self, content: Fingerprint) {
        if let Some(record) = self.records.get_mut(&content) {
            record.is_stored = record.quarantined.is_some();
        }
    }

    /// Notes that the store may have lost what it held.
    pub fn clear_stored(&mut self) {
        self.records.values_mut().for_each(|record| record.is_stored = false);
    }

    /// What the next message to other nodes carries: what has changed lately, first what
    /// is quarantined, then what was present at most crashes.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<SuspectReport> {
        let changed = self.records.iter_mut().filter(|(_, record)| record.reports_left > 0);
        let mut changed: Vec<(Fingerprint, &mut Record)> =
            changed.map(|(content, record)| (*content, record)).collect();
        changed.sort_unstable_by_key(|(content, record)| {
            let suspicion = (record.quarantined.is_some(), record.crashes.len());
            (Reverse((suspicion, record.reports_left)), *content)
        });
        changed.truncate(MOST_REPORTED);
        let report = |(content, record): (Fingerprint, &mut Record)| {
            record.reports_left -= 1;
            record.report(content, now)
        };
        changed.into_iter().map(report).collect()
    }

    /// Reports again what is quarantined or was present at two crashes, because a node has
    /// come that lacks it. What was present at one, it learns at the next crash.
    pub fn report_again(&mut self) {
        let is_wanted =
            |record: &&mut Record| record.quarantined.is_some() || record.crashes.len() > 1;
        self.records.values_mut().filter(is_wanted).for_each(Record::report_soon);
    }

    /// When content was last blamed for a crash that this node saw.
    pub fn last_blamed(&self) -> Option<Timestamp> {
        self.last_blamed
    }

    /// Records: of contents that are quarantined, and of all others.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let records = self.records.values();
        let quarantined = records.filter(|record| record.is_quarantined(now)).count();
        (quarantined, self.records.len() - quarantined)
    }

    /// The record of content. The least suspect one gives way where there are too many.
    fn record(&mut self, content: Fingerprint, now: Timestamp) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MOST_RECORDS {
            self.records.retain(|_, record| record.is_remembered(now));
            if self.records.len() >= MOST_RECORDS {
                self.drop_least_suspect();
            }
        }
        let record = self.records.entry(content).or_default();
        record.forget_old(now);
        record
    }

    fn drop_least_suspect(&mut self) {
        let suspicion =
            |record: &Record| (record.quarantined, record.crashes.len(), record.last_crash());
        let least = self.records.iter().min_by_key(|(_, record)| suspicion(record));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
