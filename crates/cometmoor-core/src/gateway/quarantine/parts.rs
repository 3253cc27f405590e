//! Quarantine for parts of prompts that crash the servers that answer requests with them.
//!
//! No two such requests need be alike, so that the quarantine of whole requests never blames one
//! twice. Every part of a prompt but the last one, which belongs to the request itself, is a
//! suspect of the crash of a server that had not written anything of the answer yet. A part that a
//! server has answered is no suspect: it does not crash servers. The part that was present at most
//! of the crashes is quarantined ([`evidence`](super::evidence)), which explains these crashes, so
//! that they no longer speak against others.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::answered_parts::AnsweredParts;
use super::evidence::{Crash, Evidence, crash_limit, culprits};
use super::quarantined_part::QuarantinedPart;
use super::{IncarnationKey, QuarantineStatus, RECORD_RETENTION, REPORT_REPEATS};
use crate::time::Timestamp;

/// Maximum number of parts of a request that are suspects.
pub const MAX_PARTS_PER_REQUEST: usize = 32;
/// Time for which an answer clears a part of crashes that follow it: longer than the time between
/// two requests with a part that many callers use, and short enough for a part that has only
/// begun to crash servers.
const ANSWER_VALIDITY: Duration = Duration::from_secs(1);
/// Time after a crash in which nodes learn what the others had in flight at the server.
const SETTLING_TIME: Duration = Duration::from_millis(150);
/// Time after a change of the evidence before it is judged, together with further changes.
const JUDGEMENT_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of quarantined parts.
const MAX_QUARANTINED: usize = 256;
/// Maximum number of answers that are still to be reported.
const MAX_ANSWER_REPORTS: usize = 512;

/// Identifier of a part of a prompt, equal in all requests that share the part.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct PartId(pub u64);

impl std::fmt::Display for PartId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// A decision on a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// It is quarantined because of the crashes of these servers.
    Quarantined(PartId, Vec<IncarnationKey>),
    /// It is quarantined because another node has reported that it is.
    Adopted(PartId),
    /// A server has answered it, so that its quarantine has ended.
    Released(PartId),
}

/// What a crash says about the parts that were in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashSummary {
    /// Parts that may have caused the crash.
    pub suspects: Vec<PartId>,
    /// Parts that servers have answered at about the same time.
    pub answered: Vec<PartId>,
}

/// A node's knowledge of parts of prompts that may crash servers.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    pub(super) evidence: Evidence,
    pub(super) answered: AnsweredParts,
    pub(super) quarantined: HashMap<PartId, QuarantinedPart>,
    /// Answers that other nodes have to know, with the number of messages left to carry them.
    pub(super) answer_reports: HashMap<PartId, (Timestamp, u32)>,
    /// Parts in flight at servers of which it is not yet known whether they have crashed.
    pending_checks: HashMap<IncarnationKey, BTreeSet<PartId>>,
    /// When the evidence is to be judged next; `None` if it was since it last changed.
    judge_at: Option<Timestamp>,
    pub(super) changes: Vec<PartChange>,
}

impl PartQuarantine {
    /// Whether requests with these parts may be sent to servers at `now`.
    pub fn status(&mut self, parts: &[PartId], now: Timestamp) -> QuarantineStatus {
        self.judge(now);
        let quarantined = parts.iter().filter_map(|part| self.quarantined.get(part));
        let retry_after = quarantined.filter_map(|known| known.retry_after(now)).max();
        retry_after.map_or(QuarantineStatus::Allowed, QuarantineStatus::Quarantined)
    }

    /// Of these parts, the first one that is quarantined.
    pub fn quarantined_of(&self, parts: &[PartId], now: Timestamp) -> Option<PartId> {
        let is_quarantined = |part: &&PartId| self.is_quarantined(**part, now);
        parts.iter().find(is_quarantined).copied()
    }

    fn is_quarantined(&self, part: PartId, now: Timestamp) -> bool {
        self.quarantined.get(&part).is_some_and(|known| known.time_left(now).is_some())
    }

    /// Begins to send one request with these parts to find out whether those of them that are
    /// quarantined still crash servers. Returns false if a trial is not due. One node of the fleet
    /// may call this.
    pub fn begin_trial(&mut self, parts: &[PartId], now: Timestamp) -> bool {
        let known: Vec<PartId> =
            parts.iter().filter(|part| self.is_quarantined(**part, now)).copied().collect();
        let is_due = known.iter().all(|part| self.quarantined[part].is_trial_due(now));
        if known.is_empty() || !is_due {
            return false;
        }
        for part in known {
            if let Some(quarantined) = self.quarantined.get_mut(&part) {
                quarantined.begin_trial(now);
            }
        }
        true
    }

    /// Records that a connection to a server failed while parts were in flight, and that it is not
    /// yet known whether the server has crashed.
    pub fn begin_crash_check(&mut self, server: IncarnationKey, parts: &[PartId]) {
        self.pending_checks.entry(server).or_default().extend(parts);
    }

    /// Records that it is known now whether the server has crashed.
    pub fn end_crash_check(&mut self, server: IncarnationKey) {
        self.pending_checks.remove(&server);
    }

    /// Whether the pending crash checks, or crashes of which nodes are still learning, may lead to
    /// the quarantine of one of these parts.
    pub fn is_decision_pending(&mut self, parts: &[PartId], now: Timestamp) -> bool {
        self.judge(now);
        parts.iter().any(|part| self.may_be_quarantined_soon(*part, now))
    }

    /// Whether the pending check of a server may lead to the quarantine of a part.
    pub fn is_check_decisive(&mut self, server: IncarnationKey, now: Timestamp) -> bool {
        let parts = self.pending_checks.get(&server).map(|parts| parts.iter().copied().collect());
        parts.is_some_and(|parts: Vec<PartId>| self.is_decision_pending(&parts, now))
    }

    fn may_be_quarantined_soon(&self, part: PartId, now: Timestamp) -> bool {
        let pending = self.pending_checks.values().filter(|parts| parts.contains(&part)).count();
        let is_open = pending > 0 || self.judge_at.is_some();
        if !is_open || self.is_quarantined(part, now) || self.was_answered_at(part, now) {
            return false;
        }
        let crashes = self.unexplained_crashes().filter(|crash| crash.suspects.contains(&part));
        crashes.count() + pending >= crash_limit(self.answered.get(part).is_some())
    }

    fn unexplained_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.evidence.unexplained(|part| self.quarantined.contains_key(&part))
    }

    /// Records that a server crashed at `at` while parts were in flight whose answers had not
    /// begun.
    pub fn note_crash(
        &mut self,
        server: IncarnationKey,
        parts: &[PartId],
        at: Timestamp,
        now: Timestamp,
    ) -> CrashSummary {
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let (answered, suspects): (Vec<PartId>, Vec<PartId>) =
            parts.into_iter().partition(|part| self.was_answered_at(*part, at));
        self.evidence.add_own(server, &suspects, at, now);
        self.judge_soon(now);
        suspects.iter().for_each(|part| self.renew_quarantine(*part, at, now));
        self.judge(now);
        CrashSummary { suspects, answered }
    }

    /// Quarantines a part that was quarantined before for the whole time again.
    fn renew_quarantine(&mut self, part: PartId, at: Timestamp, now: Timestamp) {
        let had_ended = !self.is_quarantined(part, now);
        let Some(known) = self.quarantined.get_mut(&part) else { return };
        known.renew(at);
        if had_ended {
            let servers = self.servers_crashed_with(part);
            self.changes.push(PartChange::Quarantined(part, servers));
        }
    }

    fn servers_crashed_with(&self, part: PartId) -> Vec<IncarnationKey> {
        self.evidence.crashes_with(part).map(|crash| crash.server).collect()
    }

    /// Records that a server has begun to answer a request with these parts and goes on.
    pub fn note_answer(&mut self, parts: &[PartId], now: Timestamp) {
        for part in parts {
            self.apply_answer(*part, now, now);
        }
    }

    /// Whether an answer clears a part of a crash at `at`.
    pub(super) fn was_answered_at(&self, part: PartId, at: Timestamp) -> bool {
        self.answered.get(part).is_some_and(|answered| answered + ANSWER_VALIDITY >= at)
    }

    pub(super) fn apply_answer(&mut self, part: PartId, at: Timestamp, now: Timestamp) {
        self.answered.record(part, at, now);
        let cleared_until = at + ANSWER_VALIDITY;
        let is_news = self.evidence.clear(part, cleared_until);
        let is_released =
            self.quarantined.get(&part).is_some_and(|known| known.since <= cleared_until);
        if is_released {
            self.quarantined.remove(&part);
            self.changes.push(PartChange::Released(part));
        }
        if is_news || is_released {
            self.judge_soon(now);
            self.schedule_answer_report(part, at);
        }
    }

    /// Adds what another node has reported of a crash.
    pub(super) fn add_reported_crash(
        &mut self,
        server: IncarnationKey,
        suspects: &[PartId],
        at: Timestamp,
        now: Timestamp,
    ) {
        if !self.evidence.contains(server, suspects) {
            self.evidence.add(server, suspects, at, now);
            self.judge_soon(now);
        }
    }

    pub(super) fn schedule_answer_report(&mut self, part: PartId, at: Timestamp) {
        let has_room = self.answer_reports.len() < MAX_ANSWER_REPORTS;
        if has_room || self.answer_reports.contains_key(&part) {
            self.answer_reports.insert(part, (at, REPORT_REPEATS));
        }
    }

    fn judge_soon(&mut self, now: Timestamp) {
        let at = now + JUDGEMENT_DELAY;
        self.judge_at = Some(self.judge_at.map_or(at, |planned| planned.min(at)));
    }

    /// Quarantines the parts that the crashes point to. A crash counts once nodes have learned what
    /// was in flight.
    pub(super) fn judge(&mut self, now: Timestamp) {
        if self.judge_at.is_none_or(|at| now < at) {
            return;
        }
        let settles_at = |crash: &Crash| crash.at + SETTLING_TIME;
        let is_settled = |crash: &Crash| settles_at(crash) <= now;
        while self.evidence.has_frequent_suspects() {
            let settled = self.unexplained_crashes().filter(|crash| is_settled(crash));
            let culprits = culprits(settled, |part| self.answered.get(part).is_some());
            if culprits.is_empty() {
                break;
            }
            culprits.into_iter().for_each(|part| self.quarantine(part, now));
        }
        self.judge_at = self.evidence.crashes().map(settles_at).find(|at| *at > now);
    }

    fn quarantine(&mut self, part: PartId, now: Timestamp) {
        let since = self.evidence.crashes_with(part).map(|crash| crash.at).max().unwrap_or(now);
        let is_own = self.evidence.has_observed_last(part);
        self.insert_quarantined(part, QuarantinedPart::new(since, is_own), now);
        let servers = self.servers_crashed_with(part);
        self.changes.push(PartChange::Quarantined(part, servers));
    }

    /// At the limit, the part whose last crash is the oldest gives way.
    pub(super) fn insert_quarantined(
        &mut self,
        part: PartId,
        quarantined: QuarantinedPart,
        now: Timestamp,
    ) {
        self.quarantined.retain(|_, known| now.since(known.since) < RECORD_RETENTION);
        if self.quarantined.len() >= MAX_QUARANTINED {
            let oldest = self.quarantined.iter().min_by_key(|(_, known)| known.since);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(part, quarantined);
    }

    /// Removes and returns the decisions since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Number of quarantined parts, and number of other suspects.
    pub fn counts(&self, now: Timestamp) -> (usize, usize) {
        let is_quarantined = |part: &PartId| self.is_quarantined(*part, now);
        let quarantined = self.quarantined.keys().filter(|part| is_quarantined(part)).count();
        let suspects = self.evidence.suspects().filter(|part| !is_quarantined(part)).count();
        (quarantined, suspects)
    }
}
