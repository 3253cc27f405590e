//! Quarantine for requests that crash the servers that process them.
//!
//! When a server crashes, every request in flight on it is a suspect, because nothing shows
//! which one caused the crash. Content that was in flight during the crashes of
//! [`CRASH_LIMIT`] servers is quarantined: it is sent to no server for
//! [`QUARANTINE_LIFETIME`]. Content that a server has answered since the crash, or shortly
//! before it, is cleared, because it was only in flight beside the request that caused the
//! crash.
//!
//! Nodes share their records, a bounded number per message, so that a request that is retried
//! at any node is recognized there. Without this, a request that arrived four times a second
//! at two nodes crashed all of twelve servers; with it, three (loopback,
//! `platform/tests/query_of_death.rs`). A request is blamed once for each crash that it is
//! in flight during, so a client that retries once never reaches the limit of three.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{
    IncarnationKey, QUARANTINE_LIFETIME, QuarantineStatus, RECORD_RETENTION, REPORT_REPEATS,
};
use crate::time::Timestamp;

/// Number of server crashes after which content is quarantined. With two, a client that
/// retries once and is in flight during two unrelated crashes would be refused; each crash
/// above that costs another server.
pub const CRASH_LIMIT: usize = 3;
/// Time for which it is kept that a suspect was cleared, so that older reports of other nodes
/// do not make it a suspect again.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an answer clears content of crashes that follow it. Content that many
/// clients request is answered by some server all the time.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// Maximum number of answers kept. A node with 5 requests/s, the rate at the target fleet
/// size, needs 50.
const MAX_ANSWERS: usize = 2048;
/// Maximum number of records: enough for 300 servers that crash at once with 12 requests
/// each. A record takes about 150 bytes.
const MAX_RECORDS: usize = 4096;
/// Maximum number of reports in one message, which take at most 1.2 KB.
const MAX_REPORTS_PER_MESSAGE: usize = 40;
/// Number of messages that carry content with a single crash. Nearly all of it was only in flight beside the
/// request that caused the crash, and a third of a large fleet's servers may crash at once.
const FIRST_CRASH_REPORT_REPEATS: u32 = 4;

/// Fingerprint of a request's content. Equal content has the same fingerprint on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A node's report on content that was in flight during crashes. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the content.
    pub content: Fingerprint,
    /// Servers that crashed while it was in flight, and the ages of the crashes. Empty if the
    /// content is quarantined.
    pub crashes: Vec<(IncarnationKey, u32)>,
    /// Age of the crash that its quarantine is counted from; `None` if it is not quarantined.
    pub quarantined: Option<u32>,
    /// Time since it was cleared; `None` if it was not.
    pub cleared: Option<u32>,
}

/// Consequence of a server crash for content that was in flight on the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// A server has answered it recently, so it is not blamed.
    Cleared,
    /// It was in flight during the crashes of this number of servers, too few for a
    /// quarantine.
    Suspect(usize),
    /// It is quarantined from now on.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Servers that crashed while it was in flight, at most [`CRASH_LIMIT`], and when.
    crashes: Vec<(IncarnationKey, Timestamp)>,
    /// Time that its quarantine is counted from: its last crash, or when it was restored.
    quarantined: Option<Timestamp>,
    /// When it was last cleared.
    cleared: Option<Timestamp>,
    /// Whether a crash that this node observed led to its quarantine.
    is_own: bool,
    /// Whether the store holds its quarantine.
    is_stored: bool,
    /// Number of messages that are still to carry the record.
    reports_left: u32,
}

impl Record {
    fn last_crash(&self) -> Option<Timestamp> {
        self.crashes.iter().map(|(_, at)| *at).max().max(self.quarantined)
    }

    fn is_quarantined(&self, now: Timestamp) -> bool {
        self.quarantined.is_some_and(|since| now.since(since) < QUARANTINE_LIFETIME)
    }

    fn is_retained(&self, now: Timestamp) -> bool {
        let is_within = |at: Option<Timestamp>, span| at.is_some_and(|at| now.since(at) < span);
        is_within(self.last_crash(), RECORD_RETENTION) || is_within(self.cleared, CLEARED_RETENTION)
    }

    /// Drops crashes that are too old to share a cause with new ones.
    fn drop_expired(&mut self, now: Timestamp) {
        let is_expired = |at: Timestamp| now.since(at) >= RECORD_RETENTION;
        self.crashes.retain(|(_, at)| !is_expired(*at));
        self.quarantined = self.quarantined.filter(|since| !is_expired(*since));
        self.is_stored &= self.quarantined.is_some();
    }

    /// Adds the crash of a server. Returns whether it was added: a crash that is known, that
    /// precedes a clearing or that exceeds the limit is not.
    fn add_crash(&mut self, server: IncarnationKey, at: Timestamp) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == server);
        let was_cleared = self.cleared.is_some_and(|cleared| cleared >= at);
        if is_known || was_cleared || self.crashes.len() >= CRASH_LIMIT {
            return false;
        }
        self.crashes.push((server, at));
        true
    }

    /// Clears the content of all crashes up to `at`.
    fn clear(&mut self, at: Timestamp) {
        self.cleared = self.cleared.max(Some(at));
        self.crashes.retain(|(_, crash)| *crash > at);
        self.quarantined = self.quarantined.filter(|since| *since > at);
        self.is_stored &= self.quarantined.is_some();
    }

    /// Quarantines the content if enough servers have crashed. Content that was quarantined
    /// before is quarantined again by its next crash.
    fn update_quarantine(&mut self) {
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

    /// Includes the record in the next messages.
    fn schedule_report(&mut self) {
        let is_first = self.quarantined.is_none() && self.crashes.len() == 1;
        self.reports_left = if is_first { FIRST_CRASH_REPORT_REPEATS } else { REPORT_REPEATS };
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

/// A node's records of content that was in flight during crashes.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// When recently answered content was last answered.
    answered: HashMap<Fingerprint, Timestamp>,
    /// The same answers, oldest first.
    answers: VecDeque<(Fingerprint, Timestamp)>,
    /// When content was last blamed for a crash that this node observed.
    last_blamed: Option<Timestamp>,
    /// Number of servers, by content, whose connection failed while it was in flight and for
    /// which it is not yet known whether they crashed.
    pending_checks: HashMap<Fingerprint, usize>,
}

impl Quarantine {
    /// Whether content may be sent to servers at `now`.
    pub fn status(&self, content: Fingerprint, now: Timestamp) -> QuarantineStatus {
        let since = self.records.get(&content).and_then(|record| record.quarantined);
        match since.map(|since| QUARANTINE_LIFETIME.saturating_sub(now.since(since))) {
            Some(left) if !left.is_zero() => QuarantineStatus::Quarantined(left),
            _ => QuarantineStatus::Allowed,
        }
    }

    /// Records that a server's connection failed while content was in flight and that it is
    /// not yet known whether the server crashed.
    pub fn begin_crash_check(&mut self, content: Fingerprint) {
        *self.pending_checks.entry(content).or_default() += 1;
    }

    /// Records that for one of these servers it is now known whether it crashed.
    pub fn end_crash_check(&mut self, content: Fingerprint) {
        if let Some(pending) = self.pending_checks.get_mut(&content) {
            *pending -= 1;
            if *pending == 0 {
                self.pending_checks.remove(&content);
            }
        }
    }

    /// Whether the pending crash checks could bring content to the crash limit, so that a
    /// decision on it is about to follow.
    pub fn is_decision_pending(&self, content: Fingerprint) -> bool {
        let Some(pending) = self.pending_checks.get(&content) else { return false };
        let crashed = self.records.get(&content).map_or(0, |record| record.crashes.len());
        crashed + pending >= CRASH_LIMIT
    }

    /// Records that a server crashed while content was in flight on it.
    pub fn note_crash(
        &mut self,
        content: Fingerprint,
        server: IncarnationKey,
        now: Timestamp,
    ) -> CrashVerdict {
        let recently_answered = self.recently_answered(content, now);
        let record = self.record(content, now);
        if recently_answered {
            record.clear(now);
            record.schedule_report();
            return CrashVerdict::Cleared;
        }
        if record.quarantined.is_some() {
            record.quarantined = Some(now);
        }
        if record.add_crash(server, now) || record.quarantined.is_some() {
            record.schedule_report();
        }
        record.update_quarantine();
        record.is_own |= record.quarantined.is_some();
        let verdict = record.verdict(now);
        self.last_blamed = Some(now);
        verdict
    }

    /// Records that a server has answered content successfully. Returns whether that cleared
    /// a suspect.
    pub fn note_answer(&mut self, content: Fingerprint, now: Timestamp) -> bool {
        self.answered.insert(content, now);
        self.answers.push_back((content, now));
        self.evict_answers(now);
        let Some(record) = self.records.get_mut(&content) else { return false };
        let was_suspect = record.last_crash().is_some();
        record.clear(now);
        if was_suspect {
            record.schedule_report();
        }
        was_suspect
    }

    fn recently_answered(&self, content: Fingerprint, now: Timestamp) -> bool {
        let answered = self.answered.get(&content);
        answered.is_some_and(|answered| now.since(*answered) < ANSWER_VALIDITY)
    }

    fn evict_answers(&mut self, now: Timestamp) {
        while let Some((content, at)) = self.answers.front().copied() {
            if self.answers.len() <= MAX_ANSWERS && now.since(at) < ANSWER_VALIDITY {
                return;
            }
            self.answers.pop_front();
            if self.answered.get(&content) == Some(&at) {
                self.answered.remove(&content);
            }
        }
    }

    /// Merges the reports of another node. Returns the content that is newly quarantined by
    /// them.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Timestamp) -> Vec<Fingerprint> {
        let reports = reports.iter().take(MAX_REPORTS_PER_MESSAGE);
        let new = reports.filter(|report| self.merge_one(report, now));
        new.map(|report| report.content).collect()
    }

    /// Merges one report. Returns whether it newly quarantined its content.
    fn merge_one(&mut self, report: &SuspectReport, now: Timestamp) -> bool {
        let at = |age: u32| Timestamp(now.0.saturating_sub(age.into()));
        let recently_answered = self.recently_answered(report.content, now);
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
        if recently_answered && record.last_crash().is_some() {
            record.clear(now);
            record.schedule_report();
            return false;
        }
        record.update_quarantine();
        if before != (record.crashes.len(), record.quarantined.is_some()) {
            record.schedule_report();
        }
        record.is_quarantined(now) && !was_quarantined
    }

    /// Quarantines content that the store holds as quarantined, unless this node knows
    /// that it was cleared. Returns whether it was not quarantined before.
    pub fn restore(&mut self, content: Fingerprint, now: Timestamp) -> bool {
        let record = self.record(content, now);
        if record.cleared.is_some() {
            return false;
        }
        record.is_stored = true;
        let is_new = !record.is_quarantined(now);
        if is_new {
            record.quarantined = Some(now);
            record.schedule_report();
        }
        is_new
    }

    /// Quarantined content that the store does not hold yet: what is quarantined by a crash
    /// that this node observed, and with `for_fleet` also what others reported.
    pub fn unstored(&self, for_fleet: bool, now: Timestamp) -> Vec<Fingerprint> {
        let is_unstored = |record: &Record| {
            record.is_quarantined(now) && !record.is_stored && (for_fleet || record.is_own)
        };
        let unstored = self.records.iter().filter(|(_, record)| is_unstored(record));
        unstored.map(|(content, _)| *content).collect()
    }

    /// Records that the store holds the quarantine of content.
    pub fn note_stored(&mut self, content: Fingerprint) {
        if let Some(record) = self.records.get_mut(&content) {
            record.is_stored = record.quarantined.is_some();
        }
    }

    /// Marks all records as not stored, because the store may have lost them.
    pub fn clear_stored(&mut self) {
        self.records.values_mut().for_each(|record| record.is_stored = false);
    }

    /// The reports for the next message to other nodes: records that have changed recently,
    /// quarantined ones first, then those with the most crashes.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<SuspectReport> {
        let changed = self.records.iter_mut().filter(|(_, record)| record.reports_left > 0);
        let mut changed: Vec<(Fingerprint, &mut Record)> =
            changed.map(|(content, record)| (*content, record)).collect();
        changed.sort_unstable_by_key(|(content, record)| {
            let suspicion = (record.quarantined.is_some(), record.crashes.len());
            (Reverse((suspicion, record.reports_left)), *content)
        });
        changed.truncate(MAX_REPORTS_PER_MESSAGE);
        let report = |(content, record): (Fingerprint, &mut Record)| {
            record.reports_left -= 1;
            record.report(content, now)
        };
        changed.into_iter().map(report).collect()
    }

    /// Schedules all records that are quarantined or have at least two crashes to be
    /// reported again, for a node that has joined without them. It learns of content with one
    /// crash at the next crash.
    pub fn report_again(&mut self) {
        let is_reported_again =
            |record: &&mut Record| record.quarantined.is_some() || record.crashes.len() > 1;
        self.records.values_mut().filter(is_reported_again).for_each(Record::schedule_report);
    }

    /// When content was last blamed for a crash that this node observed; `None` if it never
    /// was.
    pub fn last_blamed(&self) -> Option<Timestamp> {
        self.last_blamed
    }

    /// Number of records of quarantined content, and number of all other records.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let records = self.records.values();
        let quarantined = records.filter(|record| record.is_quarantined(now)).count();
        (quarantined, self.records.len() - quarantined)
    }

    /// Returns the record of content, creating it if there is none. At the limit, expired
    /// records are removed, or else the least suspect one.
    fn record(&mut self, content: Fingerprint, now: Timestamp) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| record.is_retained(now));
            if self.records.len() >= MAX_RECORDS {
                self.evict_least_suspect();
            }
        }
        let record = self.records.entry(content).or_default();
        record.drop_expired(now);
        record
    }

    fn evict_least_suspect(&mut self) {
        let suspicion =
            |record: &Record| (record.quarantined, record.crashes.len(), record.last_crash());
        let least_suspect = self.records.iter().min_by_key(|(_, record)| suspicion(record));
        if let Some(content) = least_suspect.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
