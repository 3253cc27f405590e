//! What servers report of themselves in their answers, shared by the node's threads.

use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::quota::VersionedLimit;
use cometmoor_core::gateway::signals::{
    Denial, Hold, IncarnationHash, ObservationWindow, ResponseSignals, SignalChange, SignalCounts,
    SignalReport, SignalTable,
};
use cometmoor_core::time::BootInstant;
use spdlog::info;

use crate::clock;
use crate::metrics::Metrics;

/// Shared by the traffic thread, which reads the answers, and the control thread, which
/// exchanges what they report with other nodes.
#[derive(Clone)]
pub struct SignalBoard {
    table: Arc<Mutex<SignalTable>>,
    metrics: Arc<Metrics>,
}

impl SignalBoard {
    /// A node that has heard nothing yet.
    pub fn new(metrics: Arc<Metrics>) -> SignalBoard {
        SignalBoard { table: Arc::default(), metrics }
    }

    fn with<Output>(&self, act: impl FnOnce(&mut SignalTable, BootInstant) -> Output) -> Output {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut table, clock::now())
    }

    /// Takes what an answer says of its server, and whether other nodes are to hear of it.
    /// `sent` is when its request was.
    pub fn note_response(
        &self,
        incarnation: &str,
        request: &str,
        signals: ResponseSignals,
        sent: BootInstant,
    ) -> bool {
        let server = IncarnationHash::of(incarnation);
        let changes = self.with(|table, received| {
            table.note_response(server, signals, ObservationWindow { sent, received })
        });
        let is_reported = changes.iter().any(SignalChange::is_reported);
        for change in changes {
            self.log_change(change, incarnation, "answer", request);
        }
        is_reported
    }

    /// Takes what another node reports; returns what that changes.
    pub fn merge(&self, reports: &[SignalReport]) -> Vec<(IncarnationHash, SignalChange)> {
        if reports.is_empty() {
            return Vec::new();
        }
        self.with(|table, now| table.merge(reports, now))
    }

    /// What the next message to other nodes carries.
    pub fn next_reports(&self) -> Vec<SignalReport> {
        self.with(SignalTable::next_reports)
    }

    /// What this node knows of one server.
    pub fn report(&self, server: IncarnationHash) -> Option<SignalReport> {
        self.with(|table, now| table.report(server, now))
    }

    /// Reports again what a node lacks that has come.
    pub fn report_again(&self) {
        self.with(|table, _| table.report_again());
    }

    /// Takes that a server is leaving, by an answer to something else than a request.
    pub fn note_leaving(&self, incarnation: &str, from: &str) {
        if self.with(|table, now| table.note_leaving(IncarnationHash::of(incarnation), now)) {
            self.log_change(SignalChange::Leaving, incarnation, "call", from);
        }
    }

    /// Whether a server is leaving by its own word.
    pub fn is_leaving(&self, server: IncarnationHash) -> bool {
        self.with(|table, _| table.is_leaving(server))
    }

    /// Why a server gets no request from this node now.
    pub fn hold(&self, server: IncarnationHash, now: BootInstant) -> Option<Hold> {
        self.with(|table, _| table.hold(server, now))
    }

    /// Share of this node's requests that a server takes part in the choice for.
    pub fn slow_start_share(&self, server: IncarnationHash, now: BootInstant) -> f64 {
        self.with(|table, _| table.slow_start_share(server, now))
    }

    /// The limit that a server names.
    pub fn limit(&self, server: IncarnationHash) -> Option<VersionedLimit> {
        self.with(|table, _| table.limit(server))
    }

    /// Notes that a part of a server's limit was granted to this node.
    pub fn note_granted(&self, server: IncarnationHash) {
        self.with(|table, _| table.note_granted(server));
    }

    /// Notes that a part of a server's limit was denied to one of so many nodes.
    pub fn note_denied(&self, server: IncarnationHash, nodes: usize, denial: Denial) {
        self.with(|table, now| table.note_denied(server, nodes, denial, now));
    }

    /// Writes a line on a change. `source` is where it was heard, `from` the request or the
    /// node by which.
    pub fn log_change(&self, change: SignalChange, server: &str, source: &str, from: &str) {
        self.metrics.signal_changed(change.signal(), change.event());
        match change {
            SignalChange::LimitSet(per_second) | SignalChange::LimitChanged(per_second) => {
                info!("[signals] a server names a limit", kv: { server, per_second, source, from });
            }
            SignalChange::LimitLifted => {
                info!("[signals] a server names no limit any more", kv: { server, source, from });
            }
            SignalChange::Leaving => {
                info!("[signals] a server says that it leaves", kv: { server, source, from });
            }
            SignalChange::RestRequested(rest) => {
                let rest_millis = rest.as_millis() as u64;
                info!("[signals] a server asks for a rest", kv: { server, rest_millis, source, from });
            }
            SignalChange::RestEnded => {}
        }
    }

    /// Lets time pass.
    pub fn tick(&self) {
        for _ in self.with(SignalTable::tick) {
            let change = SignalChange::RestEnded;
            self.metrics.signal_changed(change.signal(), change.event());
        }
    }

    /// Servers under each signal.
    pub fn counts(&self) -> SignalCounts {
        self.with(|table, now| table.counts(now))
    }
}
