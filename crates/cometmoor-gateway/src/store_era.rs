//! The newest era of the store that this node has heard of, from the store or from peers.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use cometmoor_core::gateway::proof::KnownRestore;
use cometmoor_core::gateway::store_position::{AnswerEra, KnownEra, StoreEra, StorePosition};
use spdlog::{info, warn};
use tokio::sync::Notify;

use crate::clock;
use crate::dialect::FormatError;
use crate::metrics::Metrics;

/// An answer is of an era that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraIsOver(pub StoreEra);

/// Keeps the newest era, and tells when one begins.
pub struct EraWatch {
    known: RefCell<KnownEra>,
    restored: Cell<Option<KnownRestore>>,
    begun: Notify,
    metrics: Arc<Metrics>,
    /// Whether the last answer's number could not be read, or had none where others had.
    number_is_missing: Cell<bool>,
}

impl EraWatch {
    /// Of a node that has heard of none.
    pub fn new(metrics: Arc<Metrics>) -> EraWatch {
        EraWatch {
            known: RefCell::default(),
            restored: Cell::new(None),
            begun: Notify::new(),
            metrics,
            number_is_missing: Cell::new(false),
        }
    }

    /// The newest era.
    pub fn newest(&self) -> StoreEra {
        self.known.borrow().newest()
    }

    /// The last restore of the store that was heard of; none where it was always of one era.
    pub fn restored(&self) -> Option<KnownRestore> {
        self.restored.get()
    }

    /// Waits until an era begins.
    pub async fn begins(&self) {
        self.begun.notified().await;
    }

    /// Takes the number that came with the store's answer to a call of this step, which was
    /// made when `newest_then` was the newest era; tells the era that the answer is of.
    pub fn note_answer(
        &self,
        step: &'static str,
        number: Result<Option<u32>, FormatError>,
        newest_then: StoreEra,
    ) -> Result<StoreEra, EraIsOver> {
        self.log_missing(step, &number);
        let number = number.unwrap_or_default();
        let noted = self.known.borrow_mut().note_answer(number, newest_then);
        self.take(noted, step)
    }

    /// Takes the era of another node's copy.
    pub fn note_peer(&self, era: StoreEra) {
        let noted = self.known.borrow_mut().note(era);
        if !matches!(noted, AnswerEra::Past(_)) {
            let _ = self.take(noted, "peer");
        }
    }

    /// Places what was read of everything when `known` was the point of the copy before the
    /// question: a read that is older shows a loss of which no number tells.
    pub fn classify_read(&self, read: StorePosition, known: StorePosition) -> StorePosition {
        let noted = self.known.borrow_mut().classify_read(read, known);
        let era = self.take(noted, "read").unwrap_or(read.era);
        StorePosition { era, ..read }
    }

    fn take(&self, noted: AnswerEra, step: &'static str) -> Result<StoreEra, EraIsOver> {
        match noted {
            AnswerEra::Newest(era) => return Ok(era),
            AnswerEra::Past(past) => {
                let (era, newest) = (past.to_string(), self.newest().to_string());
                warn!("[store] an answer of an era that is over is dropped", kv: { step, era, newest });
                return Err(EraIsOver(past));
            }
            AnswerEra::New { era, before: None } => {
                info!("[store] its era is known", kv: { step, era = era.to_string() });
            }
            AnswerEra::New { era, before: Some(before) } => {
                self.restored.set(Some(KnownRestore { era, heard_at: clock::now() }));
                self.metrics.store_losses.inc();
                let (era, before) = (era.to_string(), before.to_string());
                warn!("[store] it has come back from an older copy", kv: { step, era, before });
            }
        }
        self.metrics.store_era.set(self.newest().number().into());
        self.begun.notify_waiters();
        Ok(self.newest())
    }

    fn log_missing(&self, step: &'static str, number: &Result<Option<u32>, FormatError>) {
        let reason = match number {
            Err(error) => Some(error.to_string()),
            Ok(None) if self.newest().number() > 0 => Some("it has no number".to_owned()),
            Ok(_) => None,
        };
        let was_missing = self.number_is_missing.replace(reason.is_some());
        if let (Some(reason), false) = (reason, was_missing) {
            let taken_for = self.newest().to_string();
            warn!("[store] an answer's era cannot be read", kv: { step, reason, taken_for });
        }
    }
}
