//! The newest era of the store that this node knows of, from the store or from peers.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use cometmoor_core::gateway::proof::KnownRestore;
use cometmoor_core::gateway::store_position::{AnswerEra, KnownEra, StoreEra, StorePosition};
use spdlog::{info, warn};
use tokio::sync::Notify;

use crate::clock;
use crate::dialect::FormatError;
use crate::metrics::Metrics;

/// The error for an answer of the store from an era that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastEra(pub StoreEra);

/// Tracks the newest era of the store and notifies tasks of a new one.
pub struct EraTracker {
    known: RefCell<KnownEra>,
    latest_restore: Cell<Option<KnownRestore>>,
    new_era: Notify,
    metrics: Arc<Metrics>,
    /// Whether the last answer's number was invalid, or was missing although earlier answers had
    /// one.
    number_is_missing: Cell<bool>,
}

impl EraTracker {
    /// Creates the tracker of a node that knows of no era.
    pub fn new(metrics: Arc<Metrics>) -> EraTracker {
        EraTracker {
            known: RefCell::default(),
            latest_restore: Cell::new(None),
            new_era: Notify::new(),
            metrics,
            number_is_missing: Cell::new(false),
        }
    }

    /// The newest known era; the first era of a store without numbers if none is known.
    pub fn newest(&self) -> StoreEra {
        self.known.borrow().newest()
    }

    /// The latest restore of the store that this node knows of; `None` if there was none.
    pub fn latest_restore(&self) -> Option<KnownRestore> {
        self.latest_restore.get()
    }

    /// Waits until a new era begins.
    pub async fn wait_for_new_era(&self) {
        self.new_era.notified().await;
    }

    /// Records the number that came with the store's answer to a call made when `newest_at_call`
    /// was the newest era. Returns the era of the answer, or an error if that has ended. `step`
    /// names the kind of call in log lines.
    pub fn note_answer(
        &self,
        step: &'static str,
        number: Result<Option<u32>, FormatError>,
        newest_at_call: StoreEra,
    ) -> Result<StoreEra, PastEra> {
        self.log_missing_number(step, &number);
        let number = number.unwrap_or_default();
        let answer_era = self.known.borrow_mut().note_answer(number, newest_at_call);
        self.handle(answer_era, step)
    }

    /// Records the era of another node's copy.
    pub fn note_peer_era(&self, era: StoreEra) {
        let peer_era = self.known.borrow_mut().note(era);
        if !matches!(peer_era, AnswerEra::Past(_)) {
            let _ = self.handle(peer_era, "peer");
        }
    }

    /// Returns the position of a full read with its era, where `known` was the position of the
    /// copy before the call. A read that is older than the copy shows a loss that the store did
    /// not announce with a new number.
    pub fn classify_read(&self, read: StorePosition, known: StorePosition) -> StorePosition {
        let read_era = self.known.borrow_mut().classify_read(read, known);
        let era = self.handle(read_era, "read").unwrap_or(read.era);
        StorePosition { era, ..read }
    }

    fn handle(&self, answer_era: AnswerEra, step: &'static str) -> Result<StoreEra, PastEra> {
        match answer_era {
            AnswerEra::Newest(era) => return Ok(era),
            AnswerEra::Past(past) => {
                let (era, newest) = (past.to_string(), self.newest().to_string());
                warn!("[store] dropped an answer of a past era", kv: { step, era, newest });
                return Err(PastEra(past));
            }
            AnswerEra::New { era, before: None } => {
                info!("[store] learned the era of the store", kv: { step, era = era.to_string() });
            }
            AnswerEra::New { era, before: Some(before) } => {
                self.latest_restore.set(Some(KnownRestore { era, heard_at: clock::now() }));
                self.metrics.store_losses.inc();
                let (era, before) = (era.to_string(), before.to_string());
                warn!("[store] the store was restored from an older backup", kv: { step, era, before });
            }
        }
        self.metrics.store_era.set(self.newest().number().into());
        self.new_era.notify_waiters();
        Ok(self.newest())
    }

    fn log_missing_number(&self, step: &'static str, number: &Result<Option<u32>, FormatError>) {
        let reason = match number {
            Err(error) => Some(error.to_string()),
            Ok(None) if self.newest().number() > 0 => Some("no era number".to_owned()),
            Ok(_) => None,
        };
        let was_missing = self.number_is_missing.replace(reason.is_some());
        if let (Some(reason), false) = (reason, was_missing) {
            let taken_for = self.newest().to_string();
            warn!("[store] an answer has no valid era number", kv: { step, reason, taken_for });
        }
    }
}
