//! What a node exchanges about parts of prompts with other nodes and with the store.

use std::cmp::Reverse;
use std::time::Duration;

use super::REPORT_REPEATS;
use super::evidence::{Crash, MAX_SUSPECTS_PER_CRASH};
use super::part_report::{MAX_CRASHES_PER_REPORT, MAX_PARTS_PER_REPORT, PartReport, ReportedCrash};
use super::parts::{PartChange, PartId, PartQuarantine};
use super::quarantined_part::QuarantinedPart;
use crate::time::Timestamp;

/// Error of reported ages: each node adds the time that a report took. Without a bound, two nodes
/// would renew each other's records for ever.
const REPORTED_AGE_ERROR: Duration = Duration::from_secs(2);
/// Age up to which crashes are reported again to a node that has joined.
const REPORTED_AGAIN_AGE: Duration = Duration::from_secs(30);

fn age_millis(at: Timestamp, now: Timestamp) -> u32 {
    u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX)
}

impl PartQuarantine {
    /// Merges another node's report.
    pub fn merge(&mut self, report: &PartReport, now: Timestamp) {
        let at = |age: u32| Timestamp(now.0.saturating_sub(age.into()));
        for (part, age) in report.answered.iter().take(MAX_PARTS_PER_REPORT) {
            self.apply_answer(*part, at(*age), now);
        }
        for crash in report.crashes.iter().take(MAX_CRASHES_PER_REPORT) {
            self.merge_crash(crash, at(crash.age), now);
        }
        for (part, age) in report.quarantined.iter().take(MAX_PARTS_PER_REPORT) {
            self.merge_quarantined(*part, at(*age), now);
        }
        self.judge(now);
    }

    fn merge_crash(&mut self, crash: &ReportedCrash, at: Timestamp, now: Timestamp) {
        let suspects = crash.suspects.iter().take(MAX_SUSPECTS_PER_CRASH).copied();
        let (answered, suspects): (Vec<PartId>, Vec<PartId>) =
            suspects.partition(|part| self.was_answered_at(*part, at));
        for part in answered {
            if let Some(answered_at) = self.answered.get(part) {
                self.schedule_answer_report(part, answered_at);
            }
        }
        self.add_reported_crash(crash.server, &suspects, at, now);
    }

    fn merge_quarantined(&mut self, part: PartId, since: Timestamp, now: Timestamp) {
        if self.was_answered_at(part, since) {
            if let Some(answered_at) = self.answered.get(part) {
                self.schedule_answer_report(part, answered_at);
            }
            return;
        }
        match self.quarantined.get_mut(&part) {
            Some(known) if since.since(known.since) < REPORTED_AGE_ERROR => {}
            Some(known) => known.renew_reported(since),
            None => {
                self.insert_quarantined(part, QuarantinedPart::new(since, false), now);
                self.changes.push(PartChange::Adopted(part));
            }
        }
    }

    /// The report for the next message to other nodes; `None` if no change is left to report. What
    /// has no room is reported in the next message.
    pub fn next_report(&mut self, now: Timestamp) -> Option<PartReport> {
        self.judge(now);
        let quarantined = self.report_quarantined(MAX_PARTS_PER_REPORT, now);
        let room = MAX_PARTS_PER_REPORT - quarantined.len();
        let answered = self.report_answers(room, now);
        let crashes = self.report_crashes(room - answered.len(), now);
        let report = PartReport { crashes, answered, quarantined };
        (!report.is_empty()).then_some(report)
    }

    fn report_quarantined(&mut self, room: usize, now: Timestamp) -> Vec<(PartId, u32)> {
        let changed = self.quarantined.iter_mut().filter(|(_, known)| known.reports_left > 0);
        let report = |(part, known): (&PartId, &mut QuarantinedPart)| {
            known.reports_left -= 1;
            (*part, age_millis(known.since, now))
        };
        changed.take(room).map(report).collect()
    }

    fn report_answers(&mut self, room: usize, now: Timestamp) -> Vec<(PartId, u32)> {
        let report = |(part, (at, left)): (&PartId, &mut (Timestamp, u32))| {
            *left -= 1;
            (*part, age_millis(*at, now))
        };
        let reports = self.answer_reports.iter_mut().take(room).map(report).collect();
        self.answer_reports.retain(|_, (_, left)| *left > 0);
        reports
    }

    /// Reports whole crashes, those first that have been reported the least.
    fn report_crashes(&mut self, mut room: usize, now: Timestamp) -> Vec<ReportedCrash> {
        let changed = self.evidence.crashes_mut().filter(|crash| crash.reports_left > 0);
        let mut changed: Vec<&mut Crash> = changed.collect();
        changed.sort_by_key(|crash| Reverse((crash.reports_left, crash.at)));
        let mut reports = Vec::new();
        for crash in changed.into_iter().take(MAX_CRASHES_PER_REPORT) {
            if crash.suspects.len() > room {
                break;
            }
            room -= crash.suspects.len();
            crash.reports_left -= 1;
            reports.push(ReportedCrash {
                server: crash.server,
                age: age_millis(crash.at, now),
                suspects: crash.suspects.clone(),
            });
        }
        reports
    }

    /// Schedules what is quarantined and recent crashes to be reported again, for a node that has
    /// joined without them.
    pub fn report_again(&mut self, now: Timestamp) {
        self.quarantined.values_mut().for_each(|known| known.reports_left = REPORT_REPEATS);
        let is_recent = |crash: &&mut Crash| {
            !crash.suspects.is_empty() && now.since(crash.at) < REPORTED_AGAIN_AGE
        };
        let recent = self.evidence.crashes_mut().filter(is_recent);
        recent.for_each(|crash| crash.reports_left = REPORT_REPEATS);
    }

    /// Quarantines a part that the store holds as quarantined, unless it was answered just now.
    pub fn restore(&mut self, part: PartId, now: Timestamp) {
        if self.was_answered_at(part, now) {
            return;
        }
        if let Some(known) = self.quarantined.get_mut(&part) {
            known.is_stored = true;
            return;
        }
        self.insert_quarantined(part, QuarantinedPart::restored(now), now);
        self.changes.push(PartChange::Adopted(part));
    }

    /// Quarantined parts that the store does not hold yet: those quarantined by this node, and with
    /// `for_fleet` also what others reported.
    pub fn unstored(&self, for_fleet: bool, now: Timestamp) -> Vec<PartId> {
        let is_unstored = |known: &QuarantinedPart| {
            known.time_left(now).is_some() && !known.is_stored && (for_fleet || known.is_own)
        };
        let unstored = self.quarantined.iter().filter(|(_, known)| is_unstored(known));
        unstored.map(|(part, _)| *part).collect()
    }

    /// Records that the store holds the quarantine of a part.
    pub fn note_stored(&mut self, part: PartId) {
        if let Some(known) = self.quarantined.get_mut(&part) {
            known.is_stored = true;
        }
    }

    /// Marks all parts as not stored, because the store may have lost them.
    pub fn clear_stored(&mut self) {
        self.quarantined.values_mut().for_each(|known| known.is_stored = false);
    }
}
