//! The node's quarantine of parts of prompts that crash servers, shared by its threads.
//!
//! The decisions are those of [`PartQuarantine`] in the core; this module adds the lock, the clock,
//! the log lines and the metrics.

use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::quarantine::{
    CrashSummary, IncarnationKey, PartChange, PartId, PartQuarantine, PartReport, QuarantineStatus,
};
use cometmoor_core::time::{BootInstant, Timestamp};
use prometheus_client::metrics::counter::Counter;
use spdlog::{info, warn};

use crate::clock;

/// Maximum number of parts or servers in a log line.
const MAX_LOGGED: usize = 16;

/// Handle of the quarantine of parts.
#[derive(Clone, Debug, Default)]
pub struct PartBoard {
    quarantine: Arc<Mutex<PartQuarantine>>,
    /// Parts that were answered after they had been quarantined.
    releases: Counter,
}

/// Parts in hexadecimal, for log lines.
pub fn parts_label(parts: &[PartId]) -> String {
    label(parts.iter().map(PartId::to_string))
}

fn label(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.take(MAX_LOGGED).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(",") }
}

impl PartBoard {
    /// A board that counts the parts whose quarantine was ended by an answer.
    pub fn new(releases: Counter) -> PartBoard {
        PartBoard { releases, ..PartBoard::default() }
    }

    fn with<Output>(&self, run: impl FnOnce(&mut PartQuarantine, Timestamp) -> Output) -> Output {
        self.with_source("own", run)
    }

    /// Runs a function on the state, and logs the decisions to which it has led.
    fn with_source<Output>(
        &self,
        source: &str,
        run: impl FnOnce(&mut PartQuarantine, Timestamp) -> Output,
    ) -> Output {
        let (output, changes) = {
            let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
            let output = run(&mut quarantine, clock::timestamp());
            (output, quarantine.take_changes())
        };
        changes.iter().for_each(|change| self.log_change(change, source));
        output
    }

    fn log_change(&self, change: &PartChange, source: &str) {
        match change {
            PartChange::Quarantined(part, servers) => {
                let part = part.to_string();
                let crashes = servers.len() as u64;
                let keys = label(servers.iter().map(|server| format!("{server:08x}")));
                warn!("[quarantine] a part of prompts is quarantined", kv: { part, crashes, keys, source = "own" });
            }
            PartChange::Adopted(part) => {
                let part = part.to_string();
                warn!("[quarantine] a part of prompts is quarantined", kv: { part, source });
            }
            PartChange::Released(part) => {
                self.releases.inc();
                let part = part.to_string();
                info!("[quarantine] a quarantined part was answered and is released", kv: { part, source });
            }
        }
    }

    /// Whether requests with these parts may be sent to servers.
    pub fn status(&self, parts: &[PartId]) -> QuarantineStatus {
        if parts.is_empty() {
            return QuarantineStatus::Allowed;
        }
        self.with(|quarantine, now| quarantine.status(parts, now))
    }

    /// Of these parts, the first one that is quarantined.
    pub fn quarantined_of(&self, parts: &[PartId]) -> Option<PartId> {
        self.with(|quarantine, now| quarantine.quarantined_of(parts, now))
    }

    /// Begins to send one request to find out whether its quarantined parts still crash servers;
    /// returns false if that is not due. Only the leading node may call this.
    pub fn begin_trial(&self, parts: &[PartId], request: &str) -> bool {
        let begins = self.with(|quarantine, now| quarantine.begin_trial(parts, now));
        if begins {
            let parts = parts_label(parts);
            info!("[quarantine] a request is sent to find out whether its parts still crash servers", kv: { request, parts });
        }
        begins
    }

    /// Records that a connection to a server failed while parts were in flight, and that it is not
    /// yet known whether the server has crashed.
    pub fn begin_crash_check(&self, server: IncarnationKey, parts: &[PartId]) {
        self.with(|quarantine, _| quarantine.begin_crash_check(server, parts));
    }

    /// Records that it is known now whether the server has crashed.
    pub fn end_crash_check(&self, server: IncarnationKey) {
        self.with(|quarantine, _| quarantine.end_crash_check(server));
    }

    /// Whether the pending check of a server may lead to the quarantine of a part.
    pub fn is_check_decisive(&self, server: IncarnationKey) -> bool {
        self.with(|quarantine, now| quarantine.is_check_decisive(server, now))
    }

    /// Whether it is about to be decided whether one of these parts is quarantined.
    pub fn is_decision_pending(&self, parts: &[PartId]) -> bool {
        !parts.is_empty() && self.with(|quarantine, now| quarantine.is_decision_pending(parts, now))
    }

    /// Records that a server crashed at `at` while parts were in flight whose answers had not
    /// begun.
    pub fn note_crash(
        &self,
        server: IncarnationKey,
        parts: &[PartId],
        at: BootInstant,
    ) -> CrashSummary {
        let age = u64::try_from(clock::elapsed(at).as_millis()).unwrap_or(u64::MAX);
        self.with(|quarantine, now| {
            quarantine.note_crash(server, parts, Timestamp(now.0.saturating_sub(age)), now)
        })
    }

    /// Records that a server has begun to answer a request with these parts and goes on.
    pub fn note_answer(&self, parts: &[PartId]) {
        if !parts.is_empty() {
            self.with(|quarantine, now| quarantine.note_answer(parts, now));
        }
    }

    /// Merges another node's report.
    pub fn merge(&self, report: &PartReport) {
        self.with_source("peer", |quarantine, now| quarantine.merge(report, now));
    }

    /// The report for the next message to other nodes; `None` if no change is left to report.
    pub fn next_report(&self) -> Option<PartReport> {
        self.with(PartQuarantine::next_report)
    }

    /// Schedules reports to be sent again, for a node that has joined without them.
    pub fn report_again(&self) {
        self.with(|quarantine, now| quarantine.report_again(now));
    }

    /// Quarantines a part that the store holds as quarantined, unless it was answered just now.
    pub fn restore(&self, part: PartId) {
        self.with_source("store", |quarantine, now| quarantine.restore(part, now));
    }

    /// Quarantined parts that the store does not hold yet: those of which this node has observed
    /// the last crash, and with `for_fleet` also what others reported.
    pub fn unstored(&self, for_fleet: bool) -> Vec<PartId> {
        self.with(|quarantine, now| quarantine.unstored(for_fleet, now))
    }

    /// Records that the store holds the quarantine of a part.
    pub fn note_stored(&self, part: PartId) {
        self.with(|quarantine, _| quarantine.note_stored(part));
    }

    /// Records that the store may have lost all quarantines.
    pub fn clear_stored(&self) {
        self.with(|quarantine, _| quarantine.clear_stored());
    }

    /// Number of quarantined parts, and number of other suspects.
    pub fn counts(&self) -> (usize, usize) {
        self.with(|quarantine, now| quarantine.counts(now))
    }
}
