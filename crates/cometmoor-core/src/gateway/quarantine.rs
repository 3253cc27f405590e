//! Requests that end the servers that run them (queries of death).
//!
//! When a server's process ends, every request that was there is a suspect: nothing tells
//! which one ended it. Content that has stood at the ends of [`ENDS`] servers is kept from
//! all of them for [`KEPT_FOR`]. Content that a server has answered well since, or a
//! moment before, is cleared: it only ran beside the one that ended the server.
//!
//! Nodes send one another what they learn, a bounded number of records with each message,
//! so that a request that comes again at any node is known there. Of twelve servers all
//! ended under a request that came four times a second at two nodes; with this, three
//! (loopback, `platform/tests/query_of_death.rs`). A request that stands beside the ends
//! of others is blamed once for each: callers that repeat once are never at three.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Timestamp;

/// Servers that end under a request before it is kept from all. With two, a caller that
/// repeats once and is unlucky twice would be refused; each further one costs a server.
pub const ENDS: usize = 3;
/// Time for which a request is kept from all servers after the last of them has ended
/// under it: a caller that still sends it then costs one server more.
pub const KEPT_FOR: Duration = Duration::from_secs(600);
/// Time for which a suspect, and one that has been kept, is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(1200);
/// Time for which it is remembered that a suspect was cleared: what other nodes still
/// report of it is older.
const CLEARED_FOR: Duration = Duration::from_secs(60);
/// Time for which an answer clears a request whose server ends afterwards: content that
/// many callers send is answered somewhere every moment.
const ANSWER_CLEARS_FOR: Duration = Duration::from_secs(10);
/// Answers that are remembered: a node of 5 requests/s at the size to design for needs 50.
const MOST_ANSWERED: usize = 2048;
/// Records that are held: 300 servers that end at once with 12 requests each. One takes
/// some 150 bytes.
const MOST_RECORDS: usize = 4096;
/// Records in one message: 1.2 KB at the most.
const MOST_REPORTED: usize = 40;
/// Messages that carry a record after it has changed, where it is kept or stood at two
/// ends. Of datagrams one in twenty may be lost, and hubs pass on what they are sent.
const REPORTED_TIMES: u32 = 12;
/// The same where it stood at one end: nearly all of those only ran beside another one, and
/// a third of a large fleet's servers may end at once.
const REPORTED_TIMES_OF_FIRST: u32 = 4;

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

/// What a node reports of a request that stood at the end of servers. Ages are in
/// milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request's content.
    pub content: Fingerprint,
    /// Servers that ended while it was there, and how long ago. Left out where the request
    /// is kept from all servers.
    pub ends: Vec<(IncarnationKey, u32)>,
    /// Time since the last end for which it is kept from all servers.
    pub kept: Option<u32>,
    /// Time since it was cleared.
    pub cleared: Option<u32>,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it, or not enough.
    Free,
    /// It is kept from all servers for so long.
    Kept(Duration),
}

/// What became of a request by a new report or an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A server has answered it well lately.
    Cleared,
    /// It stood at the ends of so many servers.
    Suspect(usize),
    /// It is kept from all servers from now on.
    Kept,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Servers that ended while it was there, at most [`ENDS`], and when.
    ends: Vec<(IncarnationKey, Timestamp)>,
    /// When the last server ended for which it is kept from all.
    kept: Option<Timestamp>,
    cleared: Option<Timestamp>,
    /// Whether the store holds that it is kept.
    is_stored: bool,
    /// Messages that are yet to carry the record.
    reports_left: u32,
}

impl Record {
    fn last_end(&self) -> Option<Timestamp> {
        self.ends.iter().map(|(_, at)| *at).max().max(self.kept)
    }

    fn is_kept(&self, now: Timestamp) -> bool {
        self.kept.is_some_and(|kept| now.since(kept) < KEPT_FOR)
    }

    fn is_remembered(&self, now: Timestamp) -> bool {
        let lately = |at: Option<Timestamp>, span| at.is_some_and(|at| now.since(at) < span);
        lately(self.last_end(), REMEMBERED_FOR) || lately(self.cleared, CLEARED_FOR)
    }

    /// Adds the end of a server; tells whether it was new.
    fn add_end(&mut self, server: IncarnationKey, at: Timestamp) -> bool {
        let is_known = self.ends.iter().any(|(known, _)| *known == server);
        let was_cleared = self.cleared.is_some_and(|cleared| cleared >= at);
        if is_known || was_cleared || self.ends.len() >= ENDS {
            return false;
        }
        self.ends.push((server, at));
        true
    }

    /// Takes what happened before it was cleared back.
    fn clear(&mut self, at: Timestamp) {
        self.cleared = self.cleared.max(Some(at));
        self.ends.retain(|(_, end)| *end > at);
        self.kept = self.kept.filter(|kept| *kept > at);
        self.is_stored &= self.kept.is_some();
    }

    /// Keeps it from all servers where enough have ended.
    fn judge(&mut self) {
        if self.ends.len() >= ENDS || self.kept.is_some() {
            self.kept = self.last_end();
        }
    }

    /// Has the next messages carry it.
    fn report_soon(&mut self) {
        let is_first = self.kept.is_none() && self.ends.len() == 1;
        self.reports_left = if is_first { REPORTED_TIMES_OF_FIRST } else { REPORTED_TIMES };
    }

    fn verdict(&self, now: Timestamp) -> Verdict {
        match self.is_kept(now) {
            true => Verdict::Kept,
            false => Verdict::Suspect(self.ends.len()),
        }
    }

    fn report(&self, content: Fingerprint, now: Timestamp) -> SuspectReport {
        let age = |at: Timestamp| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let ends = if self.kept.is_some() { [].iter() } else { self.ends.iter() };
        SuspectReport {
            content,
            ends: ends.map(|(server, at)| (*server, age(*at))).collect(),
            kept: self.kept.map(age),
            cleared: self.cleared.map(age),
        }
    }
}

/// What a node knows of requests that stood at the end of servers.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
    /// Contents that were answered lately, and when last.
    answered: HashMap<Fingerprint, Timestamp>,
    /// The same answers in order.
    answers: VecDeque<(Fingerprint, Timestamp)>,
}

impl Quarantine {
    /// Whether a request may be sent.
    pub fn standing(&self, content: Fingerprint, now: Timestamp) -> Standing {
        let kept = self.records.get(&content).and_then(|record| record.kept);
        match kept.map(|kept| KEPT_FOR.saturating_sub(now.since(kept))) {
            Some(left) if !left.is_zero() => Standing::Kept(left),
            _ => Standing::Free,
        }
    }

    /// Notes that a server ended while a request was there.
    pub fn note_end(
        &mut self,
        content: Fingerprint,
        server: IncarnationKey,
        now: Timestamp,
    ) -> Verdict {
        let was_answered = self.was_answered(content, now);
        let record = self.record(content, now);
        if was_answered {
            record.clear(now);
            record.report_soon();
            return Verdict::Cleared;
        }
        if record.kept.is_some() {
            record.kept = Some(now);
            record.report_soon();
        }
        if record.add_end(server, now) {
            record.report_soon();
        }
        record.judge();
        record.verdict(now)
    }

    /// Notes that a server has answered a request well; tells whether that cleared a
    /// suspect.
    pub fn note_answer(&mut self, content: Fingerprint, now: Timestamp) -> bool {
        self.answered.insert(content, now);
        self.answers.push_back((content, now));
        self.forget_answers(now);
        let Some(record) = self.records.get_mut(&content) else { return false };
        let was_suspect = record.last_end().is_some();
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

    /// Takes what another node reports; returns what is kept from all servers by that and
    /// was not before.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Timestamp) -> Vec<Fingerprint> {
        let mut kept = Vec::new();
        for report in reports.iter().take(MOST_REPORTED) {
            if self.merge_one(report, now) {
                kept.push(report.content);
            }
        }
        kept
    }

    fn merge_one(&mut self, report: &SuspectReport, now: Timestamp) -> bool {
        let at = |age: u32| Timestamp(now.0.saturating_sub(age.into()));
        let was_answered = self.was_answered(report.content, now);
        let record = self.record(report.content, now);
        let was_kept = record.is_kept(now);
        let before = (record.ends.len(), record.last_end().is_some(), record.kept.is_some());
        if let Some(cleared) = report.cleared {
            record.clear(at(cleared));
        }
        for (server, age) in report.ends.iter().take(ENDS) {
            record.add_end(*server, at(*age));
        }
        let kept = report.kept.map(at).filter(|kept| Some(*kept) > record.cleared);
        record.kept = record.kept.max(kept);
        if was_answered && record.last_end().is_some() {
            record.clear(now);
            record.report_soon();
            return false;
        }
        record.judge();
        let after = (record.ends.len(), record.last_end().is_some(), record.kept.is_some());
        if before != after {
            record.report_soon();
        }
        record.is_kept(now) && !was_kept
    }

    /// Takes what the store holds: content that was kept from all servers.
    pub fn restore(&mut self, content: Fingerprint, now: Timestamp) {
        let record = self.record(content, now);
        if record.cleared.is_none() {
            record.kept = record.kept.max(Some(now));
            record.is_stored = true;
            record.report_soon();
        }
    }

    /// Content that is kept from all servers and that the store does not hold yet.
    pub fn unstored(&self, now: Timestamp) -> Vec<Fingerprint> {
        let records = self.records.iter();
        let unstored = records.filter(|(_, record)| record.is_kept(now) && !record.is_stored);
        unstored.map(|(content, _)| *content).collect()
    }

    /// Notes that the store holds that a content is kept.
    pub fn note_stored(&mut self, content: Fingerprint) {
        if let Some(record) = self.records.get_mut(&content) {
            record.is_stored = record.kept.is_some();
        }
    }

    /// What the next message to other nodes carries: what has changed lately, first what
    /// is kept from all servers, then what stood at most ends.
    pub fn next_reports(&mut self, now: Timestamp) -> Vec<SuspectReport> {
        let is_due = |record: &Record| record.reports_left > 0;
        let mut due: Vec<(Fingerprint, &mut Record)> = self
            .records
            .iter_mut()
            .filter(|(_, record)| is_due(record))
            .map(|(content, record)| (*content, record))
            .collect();
        due.sort_unstable_by_key(|(content, record)| {
            let rank = (record.kept.is_some(), record.ends.len(), record.reports_left);
            (std::cmp::Reverse(rank), *content)
        });
        due.truncate(MOST_REPORTED);
        due.into_iter()
            .map(|(content, record)| {
                record.reports_left -= 1;
                record.report(content, now)
            })
            .collect()
    }

    /// Reports again what is kept or stood at two ends, because a node has come that lacks
    /// it. What stood at one, it learns when the next server ends.
    pub fn report_again(&mut self) {
        let is_wanted = |record: &&mut Record| record.kept.is_some() || record.ends.len() > 1;
        self.records.values_mut().filter(is_wanted).for_each(Record::report_soon);
    }

    /// Records: of content that is kept from all servers, and of all others.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let kept = self.records.values().filter(|record| record.is_kept(now)).count();
        (kept, self.records.len() - kept)
    }

    /// The record of a content; the oldest of the least suspect gives way where there are
    /// too many.
    fn record(&mut self, content: Fingerprint, now: Timestamp) -> &mut Record {
        if !self.records.contains_key(&content) && self.records.len() >= MOST_RECORDS {
            self.records.retain(|_, record| record.is_remembered(now));
            if self.records.len() >= MOST_RECORDS {
                self.drop_least_suspect();
            }
        }
        self.records.entry(content).or_default()
    }

    fn drop_least_suspect(&mut self) {
        let suspicion = |record: &Record| (record.kept, record.ends.len(), record.last_end());
        let least = self.records.iter().min_by_key(|(_, record)| suspicion(record));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
