//! Brittle servers, shared by the node's threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cometmoor_core::gateway::brittle::{BrittleReport, BrittleTable, ServiceHash};
use cometmoor_core::gateway::quota::VersionedLimit;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;
use spdlog::{info, warn};

use crate::clock;

/// Brittle servers. The traffic thread records responses; the control thread exchanges reports with
/// other nodes.
#[derive(Clone, Debug, Default)]
pub struct BrittleBoard {
    table: Arc<Mutex<BrittleTable>>,
    /// Whether any service is brittle. Most requests then need no look at the table.
    is_any_brittle: Arc<AtomicBool>,
}

fn keys(record: &ServerRecord) -> (ServiceHash, IncarnationHash) {
    (ServiceHash::of(&record.service), IncarnationHash::of(&record.incarnation))
}

impl BrittleBoard {
    fn with<Output>(&self, act: impl FnOnce(&mut BrittleTable, BootInstant) -> Output) -> Output {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut table, clock::now())
    }

    /// Records a response by which a server fails if it has to reject more than so many requests a
    /// second. Returns whether that has to be reported to other nodes.
    pub fn note_brittle(&self, record: &ServerRecord, max_rejections: f64) -> bool {
        let (service, _) = keys(record);
        let is_new = self.with(|table, now| table.note_brittle(service, now));
        self.is_any_brittle.store(true, Ordering::Relaxed);
        if is_new {
            info!("[brittle] the servers of a service fail if they reject too much", kv: { service = &*record.service, server = &*record.incarnation, max_rejections, source = "answer" });
        }
        is_new
    }

    /// Records that a request has occupied a slot of a server for this time.
    pub fn note_completed(&self, record: &ServerRecord, occupancy: Duration) {
        let (service, server) = keys(record);
        self.with(|table, now| table.note_completed(service, server, occupancy, now));
    }

    /// Records that a server has rejected a request. Returns whether that has to be reported to
    /// other nodes.
    pub fn note_rejected(&self, record: &ServerRecord, request: &str) -> bool {
        if !self.is_any_brittle() {
            return false;
        }
        let (service, server) = keys(record);
        let share = self.with(|table, now| table.note_rejected(service, server, now));
        if let Some(share) = share {
            warn!("[brittle] a brittle server has rejected a request", kv: { service = &*record.service, server = &*record.incarnation, request, share });
        }
        share.is_some()
    }

    /// The rate at which all nodes together send requests to a server; `None` if it is not brittle.
    pub fn limit(&self, record: &ServerRecord) -> Option<VersionedLimit> {
        if !self.is_any_brittle() {
            return None;
        }
        let (service, server) = keys(record);
        self.with(|table, now| table.limit(service, server, record.slots, now))
    }

    /// Records that this node was denied a part of a server's limit and asks again after a time.
    pub fn note_denied(&self, record: &ServerRecord, recheck_after: Duration) {
        let (_, server) = keys(record);
        self.with(|table, now| table.note_denied(server, now + recheck_after, now));
    }

    /// Time for which this node sends nothing to a server; `None` if it may send now.
    pub fn hold(&self, record: &ServerRecord, now: BootInstant) -> Option<Duration> {
        if !self.is_any_brittle() {
            return None;
        }
        let (service, server) = keys(record);
        self.with(|table, _| table.hold(service, server, now))
    }

    /// What other nodes have to know now; `None` if there is nothing.
    pub fn report(&self) -> Option<BrittleReport> {
        self.with(|table, now| table.report(now))
    }

    /// Merges another node's report.
    pub fn merge(&self, report: &BrittleReport) {
        let new = self.with(|table, now| table.merge(report, now));
        self.is_any_brittle.store(true, Ordering::Relaxed);
        if new > 0 {
            info!("[brittle] the servers of a service fail if they reject too much", kv: { services = new as u64, source = "peer" });
        }
    }

    /// Number of services whose servers are brittle.
    pub fn count(&self) -> usize {
        self.with(|table, now| table.count(now))
    }

    fn is_any_brittle(&self) -> bool {
        self.is_any_brittle.load(Ordering::Relaxed)
    }

    /// Forgets servers that have not been used for long.
    pub fn tick(&self) {
        let count = self.with(|table, now| {
            table.tick(now);
            table.count(now)
        });
        // A response in between is followed by further ones that say the same.
        self.is_any_brittle.store(count > 0, Ordering::Relaxed);
    }
}
