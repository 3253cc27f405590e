//! What servers report of themselves in their answers, shared by the node's threads.

use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::signals::{
    AnswerSignals, IncarnationHash, Observed, SignalChange, SignalCounts, SignalTable,
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

    /// Takes what an answer says of its server. `sent` is when its request was.
    pub fn note_answer(
        &self,
        incarnation: &str,
        request: &str,
        signals: AnswerSignals,
        sent: BootInstant,
    ) {
        let server = IncarnationHash::of(incarnation);
        let changes = self.with(|table, received| {
            table.note_answer(server, signals, Observed { sent, received })
        });
        for change in changes {
            self.tell(change, incarnation, "answer", request);
        }
    }

    fn tell(&self, change: SignalChange, server: &str, source: &str, request: &str) {
        self.metrics.signal_changed(change.signal(), change.event());
        match change {
            SignalChange::LimitSet(per_second) | SignalChange::LimitChanged(per_second) => {
                info!("[signals] a server names a limit", kv: { server, per_second, source, request });
            }
            SignalChange::LimitLifted => {
                info!("[signals] a server names no limit any more", kv: { server, source, request });
            }
            SignalChange::Leaving => {
                info!("[signals] a server says that it leaves", kv: { server, source, request });
            }
            SignalChange::RestAsked(rest) => {
                let rest_millis = rest.as_millis() as u64;
                info!("[signals] a server asks for a rest", kv: { server, rest_millis, source, request });
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
