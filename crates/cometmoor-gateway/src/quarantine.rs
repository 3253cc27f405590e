//! The node's quarantine of requests that crash servers, shared by its threads.

use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::quarantine::{
    CrashVerdict, Fingerprint, IncarnationKey, Quarantine, QuarantineStatus, SuspectReport,
};
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};
use tokio::sync::Notify;

use crate::clock;

/// Shared by the traffic thread, which sees servers crash, and the control thread, which
/// hears of it from other nodes and from the store.
#[derive(Clone, Debug, Default)]
pub struct QuarantineBoard {
    quarantine: Arc<Mutex<Quarantine>>,
    check_ended: Arc<Notify>,
}

impl QuarantineBoard {
    fn with<Answer>(&self, act: impl FnOnce(&mut Quarantine, Timestamp) -> Answer) -> Answer {
        let mut quarantine = self.quarantine.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut quarantine, clock::timestamp())
    }

    /// Whether a request may be sent to a server.
    pub fn status(&self, content: Fingerprint) -> QuarantineStatus {
        self.with(|quarantine, now| quarantine.status(content, now))
    }

    /// Whether no server may get a request.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.status(content) != QuarantineStatus::Allowed
    }

    /// Notes that a server has answered a request well.
    pub fn note_answer(&self, content: Fingerprint) {
        if self.with(|quarantine, now| quarantine.note_answer(content, now)) {
            let content = content.to_string();
            info!("[quarantine] a suspect was answered well and is cleared", kv: { content });
        }
    }

    /// Notes that a server broke a connection under a request; whether it crashed is not known.
    pub fn begin_crash_check(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.begin_crash_check(content));
    }

    /// Notes that it is known whether one of those servers crashed.
    pub fn end_crash_check(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.end_crash_check(content));
        self.check_ended.notify_waiters();
    }

    /// Waits until it is known whether a request has crashed so many servers that it is
    /// quarantined.
    pub async fn decided(&self, content: Fingerprint) {
        loop {
            let ended = self.check_ended.notified();
            if !self.with(|quarantine, _| quarantine.is_decision_pending(content)) {
                return;
            }
            ended.await;
        }
    }

    /// Notes that a server crashed while a request was there.
    pub fn note_crash(&self, content: Fingerprint, server: IncarnationKey) -> CrashVerdict {
        self.with(|quarantine, now| quarantine.note_crash(content, server, now))
    }

    /// Takes what another node reports.
    pub fn merge(&self, reports: &[SuspectReport], peer: &str) {
        if reports.is_empty() {
            return;
        }
        for content in self.with(|quarantine, now| quarantine.merge(reports, now)) {
            let content = content.to_string();
            warn!("[quarantine] no server gets a request from now on", kv: { content, source = "peer", peer });
        }
    }

    /// What the next message to other nodes carries.
    pub fn next_reports(&self) -> Vec<SuspectReport> {
        self.with(Quarantine::next_reports)
    }

    /// Reports again what a node lacks that has come.
    pub fn report_again(&self) {
        self.with(|quarantine, _| quarantine.report_again());
    }

    /// Takes content that the store holds as quarantined.
    pub fn restore(&self, content: Fingerprint) {
        if !self.with(|quarantine, now| quarantine.restore(content, now)) {
            return;
        }
        let content = content.to_string();
        warn!("[quarantine] no server gets a request from now on", kv: { content, source = "store" });
    }

    /// Contents that are quarantined, which the store does not hold yet: those by a crash
    /// that this node saw, and all others where it writes for the fleet.
    pub fn unstored(&self, for_fleet: bool) -> Vec<Fingerprint> {
        self.with(|quarantine, now| quarantine.unstored(for_fleet, now))
    }

    /// Notes that the store may have lost what it held.
    pub fn clear_stored(&self) {
        self.with(|quarantine, _| quarantine.clear_stored());
    }

    /// Notes that the store holds the quarantine of content.
    pub fn note_stored(&self, content: Fingerprint) {
        self.with(|quarantine, _| quarantine.note_stored(content));
    }

    /// When content was last blamed for a crash that this node saw.
    pub fn last_blamed(&self) -> Option<Timestamp> {
        self.with(|quarantine, _| quarantine.last_blamed())
    }

    /// Records: of contents that are quarantined, and of all others.
    pub fn counts(&self) -> (usize, usize) {
        self.with(|quarantine, now| quarantine.counts(now))
    }
}
