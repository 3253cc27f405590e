//! The idempotency keys that this node answers for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cometmoor_core::idempotency::{
    BeginOutcome, IdempotencyLimits, IdempotencyTable, KeyPrefix, RunOutcome,
};
use cometmoor_core::membership::Issuer;
use cometmoor_core::time::Timestamp;

use super::run_log::RunLog;
use crate::clock::Clock;
use crate::peer::convert::HandedOverTable;
use crate::settings::{Settings, millis};

/// A table with the difference between its issuer's clock and this node's.
struct HeldTable {
    table: IdempotencyTable,
    issuer_time: Timestamp,
    held_since: Timestamp,
}

impl HeldTable {
    /// The issuer's time when this node's clock shows `now`.
    fn time(&self, now: Timestamp) -> Timestamp {
        self.issuer_time + now.since(self.held_since)
    }
}

struct State {
    tables: HashMap<Issuer, HeldTable>,
    runs: HashMap<String, Arc<RunLog>>,
}

/// The tables of this node's own keys and of those handed over to it.
pub struct KeyRegistry {
    clock: Clock,
    system: String,
    own: Issuer,
    limits: IdempotencyLimits,
    state: Mutex<State>,
}

/// How a request with a key goes on.
pub enum KeyedRequest {
    /// Run it, and report to the log and to [`KeyRegistry::finish`].
    Run(Arc<RunLog>),
    /// Read the answer of the run that is under way.
    Join(Arc<RunLog>),
    /// The table has decided.
    Decided(BeginOutcome),
    /// Another node answers for the key.
    Elsewhere(Issuer),
}

impl KeyRegistry {
    /// The registry of a node that starts now.
    pub fn new(settings: &Settings, incarnation: u64, clock: Clock) -> KeyRegistry {
        let limits = IdempotencyLimits {
            key_lifetime: millis(settings.timing.key_lifetime_millis),
            max_entries: settings.limits.idempotency_keys,
            max_bytes: settings.limits.idempotency_bytes,
        };
        let own = Issuer { node: settings.node.clone(), incarnation };
        let table = HeldTable {
            table: IdempotencyTable::new(limits),
            issuer_time: Timestamp(0),
            held_since: Timestamp(0),
        };
        let state = State { tables: HashMap::from([(own.clone(), table)]), runs: HashMap::new() };
        KeyRegistry {
            clock,
            system: settings.system.clone(),
            own,
            limits,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A prefix for a caller's keys.
    pub fn issue_prefix(&self) -> KeyPrefix {
        KeyPrefix {
            system: self.system.clone(),
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            expires_at: self.clock.now() + self.limits.key_lifetime,
        }
    }

    /// Decides on a request with a key.
    pub fn begin(&self, key: &str, prefix: &KeyPrefix, fingerprint: u64) -> KeyedRequest {
        let issuer = Issuer { node: prefix.node.clone(), incarnation: prefix.incarnation };
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(held) = state.tables.get_mut(&issuer) else {
            return KeyedRequest::Elsewhere(issuer);
        };
        let issuer_now = held.time(now);
        match held.table.begin(key, prefix.expires_at, fingerprint, issuer_now) {
            BeginOutcome::Run => {
                let log = Arc::new(RunLog::default());
                state.runs.insert(key.to_owned(), log.clone());
                KeyedRequest::Run(log)
            }
            BeginOutcome::AlreadyRunning => match state.runs.get(key) {
                Some(log) => KeyedRequest::Join(log.clone()),
                None => KeyedRequest::Decided(BeginOutcome::Unknown),
            },
            BeginOutcome::Closed => KeyedRequest::Elsewhere(issuer),
            decided => KeyedRequest::Decided(decided),
        }
    }

    /// Notes how the run of a key ended.
    pub fn finish(&self, key: &str, prefix: &KeyPrefix, finish: RunOutcome) {
        let issuer = Issuer { node: prefix.node.clone(), incarnation: prefix.incarnation };
        let mut state = self.lock();
        state.runs.remove(key);
        if let Some(held) = state.tables.get_mut(&issuer) {
            held.table.finish(key, finish);
        }
    }

    /// Stops new runs of this node's own keys.
    pub fn close(&self) {
        let mut state = self.lock();
        for held in state.tables.values_mut() {
            held.table.close();
        }
    }

    /// Whether a run has not ended.
    pub fn has_running(&self) -> bool {
        !self.lock().runs.is_empty()
    }

    /// All closed tables, to be handed over.
    pub fn export(&self) -> Vec<HandedOverTable> {
        let now = self.clock.now();
        let state = self.lock();
        let tables = state.tables.iter().map(|(issuer, held)| HandedOverTable {
            issuer: issuer.clone(),
            issuer_time: held.time(now),
            keys: held.table.finished(),
        });
        tables.collect()
    }

    /// The stopped nodes whose tables are held here.
    pub fn adopted(&self) -> Vec<Issuer> {
        let state = self.lock();
        let mut adopted: Vec<Issuer> =
            state.tables.keys().filter(|issuer| **issuer != self.own).cloned().collect();
        adopted.sort();
        adopted
    }

    /// Takes over a table that its holder has closed.
    pub fn adopt(&self, handed_over: HandedOverTable) {
        let issuer = handed_over.issuer;
        let held = HeldTable {
            table: IdempotencyTable::adopt(self.limits, handed_over.keys),
            issuer_time: handed_over.issuer_time,
            held_since: self.clock.now(),
        };
        // The first hand-over counts: a repeated one would forget later runs.
        self.lock().tables.entry(issuer).or_insert(held);
    }
}
