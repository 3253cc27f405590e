//! Signals that servers send in their responses, shared by the node's threads.

use std::collections::HashSet;
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

/// The signals of all servers. Traffic threads record them from responses; the control thread
/// exchanges them with other nodes.
#[derive(Clone)]
pub struct SignalBoard {
    table: Arc<Mutex<SignalTable>>,
    metrics: Arc<Metrics>,
}

impl SignalBoard {
    /// Creates a board without any signals.
    pub fn new(metrics: Arc<Metrics>) -> SignalBoard {
        SignalBoard { table: Arc::default(), metrics }
    }

    fn with<Output>(
        &self,
        operation: impl FnOnce(&mut SignalTable, BootInstant) -> Output,
    ) -> Output {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        operation(&mut table, clock::now())
    }

    /// Records the signals of a response to a request that was sent at `sent`. Returns whether
    /// other nodes have to be informed of a change.
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

    /// Merges reports of another node and returns the resulting changes.
    pub fn merge(&self, reports: &[SignalReport]) -> Vec<(IncarnationHash, SignalChange)> {
        if reports.is_empty() {
            return Vec::new();
        }
        self.with(|table, now| table.merge(reports, now))
    }

    /// Reports for the next message to other nodes.
    pub fn next_reports(&self) -> Vec<SignalReport> {
        self.with(SignalTable::next_reports)
    }

    /// The report on one server; `None` if nothing is known of it.
    pub fn report(&self, server: IncarnationHash) -> Option<SignalReport> {
        self.with(|table, now| table.report(server, now))
    }

    /// Schedules all reports for transmission again, for a node that may have joined without them.
    pub fn report_again(&self) {
        self.with(|table, _| table.report_again());
    }

    /// Records that a server is leaving, as learned from something other than a response to a
    /// forwarded request. `from` names that source in the log.
    pub fn note_leaving(&self, incarnation: &str, from: &str) {
        if self.with(|table, now| table.note_leaving(IncarnationHash::of(incarnation), now)) {
            self.log_change(SignalChange::Leaving, incarnation, "call", from);
        }
    }

    /// Whether a server has announced that it is leaving.
    pub fn is_leaving(&self, server: IncarnationHash) -> bool {
        self.with(|table, _| table.is_leaving(server))
    }

    /// The servers that have announced that they are leaving.
    pub fn leaving_servers(&self) -> HashSet<IncarnationHash> {
        self.with(|table, _| table.leaving_servers().collect())
    }

    /// Why this node sends a server no requests at `now`; `None` if it may send some.
    pub fn hold(&self, server: IncarnationHash, now: BootInstant) -> Option<Hold> {
        self.with(|table, _| table.hold(server, now))
    }

    /// Share of this node's requests for which a server is a candidate.
    pub fn slow_start_share(&self, server: IncarnationHash, now: BootInstant) -> f64 {
        self.with(|table, _| table.slow_start_share(server, now))
    }

    /// The limit that a server has set; `None` if it has none.
    pub fn limit(&self, server: IncarnationHash) -> Option<VersionedLimit> {
        self.with(|table, _| table.limit(server))
    }

    /// Records that this node was granted a part of a server's limit.
    pub fn note_granted(&self, server: IncarnationHash) {
        self.with(|table, _| table.note_granted(server));
    }

    /// Records that this node, one of `nodes`, was denied a part of a server's limit.
    pub fn note_denied(&self, server: IncarnationHash, nodes: usize, denial: Denial) {
        self.with(|table, now| table.note_denied(server, nodes, denial, now));
    }

    /// Logs and counts a change. `source` is what it was learned from: `answer`, `call` or `peer`;
    /// `from` is the request or the node concerned.
    pub fn log_change(&self, change: SignalChange, server: &str, source: &str, from: &str) {
        self.metrics.record_signal_change(change.signal(), change.event());
        match change {
            SignalChange::LimitSet(per_second) | SignalChange::LimitChanged(per_second) => {
                info!("[signals] a server has set a limit", kv: { server, per_second, source, from });
            }
            SignalChange::LimitLifted => {
                info!("[signals] a server has removed its limit", kv: { server, source, from });
            }
            SignalChange::Leaving => {
                info!("[signals] a server is leaving", kv: { server, source, from });
            }
            SignalChange::RestRequested(rest) => {
                let rest_millis = rest.as_millis() as u64;
                info!("[signals] a server has requested a rest", kv: { server, rest_millis, source, from });
            }
            SignalChange::RestEnded => {}
        }
    }

    /// Expires rests and outdated signals, and counts the rests that have ended.
    pub fn tick(&self) {
        for _ in self.with(SignalTable::tick) {
            let change = SignalChange::RestEnded;
            self.metrics.record_signal_change(change.signal(), change.event());
        }
    }

    /// Number of servers with each signal.
    pub fn counts(&self) -> SignalCounts {
        self.with(|table, now| table.counts(now))
    }
}
