//! The node's quarantine of requests that crash servers, and of parts of prompts that do, shared by
//! its threads.
//!
//! The decisions are those of [`Quarantine`] in the core; this module adds the lock, the clock,
//! the notification of decisions and the log lines.

mod parts;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{
    CrashVerdict, Fingerprint, IncarnationKey, PartId, Quarantine, QuarantineStatus, SuspectReport,
};
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};
use tokio::sync::Notify;

pub use self::parts::{PartBoard, parts_label};
use crate::clock;

/// Pause between two looks at whether a decision on parts has been made: it may depend on reports
/// of other nodes.
const PART_DECISION_INTERVAL: Duration = Duration::from_millis(10);

/// Handle of the quarantine. It is shared by the traffic thread, which observes crashes of
/// servers, and the control thread, which learns of others from other nodes and from the store.
#[derive(Clone, Debug, Default)]
pub struct QuarantineBoard {
    quarantine: Arc<Mutex<Quarantine>>,
    check_ended: Arc<Notify>,
    /// The quarantine of parts of prompts.
    pub parts: PartBoard,
}

impl QuarantineBoard {
    /// An empty quarantine with this one of parts.
    pub fn new(parts: PartBoard) -> QuarantineBoard {
        QuarantineBoard { parts, ..QuarantineBoard::default() }
    }

    fn with<Output>(&self, run: impl FnOnce(&mut Quarantine, Timestamp) -> Output) -> Output {
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        run(&mut quarantine, clock::timestamp())
    }

    /// Whether content may be sent to servers.
    pub fn status(&self, content: Fingerprint) -> QuarantineStatus {
        self.with(|quarantine, now| quarantine.status(content, now))
    }

    /// Whether content is quarantined, so that it must not be sent to any server.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.status(content) != QuarantineStatus::Allowed
    }

    /// Records that a server has answered content successfully.
    pub fn note_answer(&self, content: Fingerprint) {
        if self.with(|quarantine, now| quarantine.note_answer(content, now)) {
            let content = content.to_string();
            info!("[quarantine] a suspect was answered successfully and is cleared", kv: { content });
        }
    }

    /// Records that a server's connection failed while content was in flight and that it is not
    /// yet known whether the server crashed.
    pub fn begin_crash_check(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.begin_crash_check(content));
    }

    /// Records that for one of these servers it is now known whether it crashed.
    pub fn end_crash_check(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.end_crash_check(content));
        self.check_ended.notify_waiters();
    }

    /// Whether the pending crash checks may bring content to the crash limit.
    pub fn is_decision_pending(&self, content: Fingerprint) -> bool {
        self.with(|quarantine, _| quarantine.is_decision_pending(content))
    }

    /// Waits until the pending crash checks can no longer bring content or one of its parts to the
    /// crash limit, so that it is decided whether it is quarantined.
    pub async fn wait_for_decision(&self, content: Fingerprint, parts: &[PartId]) {
        while self.parts.is_decision_pending(parts) {
            clock::sleep(PART_DECISION_INTERVAL).await;
        }
        loop {
            let ended = self.check_ended.notified();
            if !self.is_decision_pending(content) {
                return;
            }
            ended.await;
        }
    }

    /// Records that a server crashed while content was in flight on it.
    pub fn note_crash(&self, content: Fingerprint, server: IncarnationKey) -> CrashVerdict {
        self.with(|quarantine, now| quarantine.note_crash(content, server, now))
    }

    /// Merges the reports of another node.
    pub fn merge(&self, reports: &[SuspectReport], peer: &str) {
        if reports.is_empty() {
            return;
        }
        for content in self.with(|quarantine, now| quarantine.merge(reports, now)) {
            let content = content.to_string();
            warn!("[quarantine] the request is quarantined", kv: { content, source = "peer", peer });
        }
    }

    /// The reports for the next message to other nodes.
    pub fn next_reports(&self) -> Vec<SuspectReport> {
        self.with(Quarantine::next_reports)
    }

    /// Schedules reports to be sent again, for a node that has joined without them.
    pub fn report_again(&self) {
        self.with(|quarantine, _| quarantine.report_again());
    }

    /// Quarantines content that the store holds as quarantined, unless this node knows that it
    /// was cleared.
    pub fn restore(&self, content: Fingerprint) {
        if !self.with(|quarantine, now| quarantine.restore(content, now)) {
            return;
        }
        let content = content.to_string();
        warn!("[quarantine] the request is quarantined", kv: { content, source = "store" });
    }

    /// Quarantined content that the store does not hold yet: that quarantined by a crash that
    /// this node observed, and with `for_fleet` also what others reported.
    pub fn unstored(&self, for_fleet: bool) -> Vec<Fingerprint> {
        self.with(|quarantine, now| quarantine.unstored(for_fleet, now))
    }

    /// Records that the store may have lost all quarantines.
    pub fn clear_stored(&self) {
        self.with(|quarantine, _| quarantine.clear_stored());
    }

    /// Records that the store holds the quarantine of content.
    pub fn note_stored(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.note_stored(content));
    }

    /// When content was last blamed for a crash that this node observed; `None` if it never was.
    pub fn last_blamed(&self) -> Option<Timestamp> {
        self.with(|quarantine, _| quarantine.last_blamed())
    }

    /// Number of records of quarantined content, and number of all other records.
    pub fn counts(&self) -> (usize, usize) {
        self.with(|quarantine, now| quarantine.counts(now))
    }
}
