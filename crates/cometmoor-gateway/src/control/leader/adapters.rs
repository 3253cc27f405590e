//! Loads and unloads of adapters: what the planner has to know of them, and what is reported.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::{Action, ServerOrder, Weights};
use cometmoor_core::gateway::planner::{
    AdapterOrderReason, MAX_PENDING_ADAPTER_LOADS, MIN_ADAPTER_RESIDENCY,
};
use cometmoor_core::time::Timestamp;

use super::Leader;
use super::calls::ADAPTER_LOAD_TIME;
use crate::control::fleet::NotifyWaitingNodes;
use crate::load::{ModelKey, model_key};

/// Time after its order for which an adapter counts as being loaded.
const ADAPTER_PENDING_TIME: Duration = Duration::from_millis(80);
/// The same where adapters are loaded on demand: every load is soon followed by others.
const ON_DEMAND_PENDING_TIME: Duration = ADAPTER_LOAD_TIME;

/// The adapters of one server.
#[derive(Default)]
pub(super) struct AdapterRecord {
    /// When the adapters that may still be loading are expected to be loaded.
    pending_until: Vec<Timestamp>,
    /// When the load of an adapter in demand was accepted, for recent loads.
    load_times: HashMap<Weights, Timestamp>,
    /// Why the latest order for an adapter was planned.
    pub(super) reason: Option<AdapterOrderReason>,
}

impl AdapterRecord {
    /// Number of adapters that are being loaded.
    pub(super) fn pending_loads(&self, now: Timestamp) -> usize {
        self.pending_until.iter().filter(|until| now < **until).count()
    }

    /// Counts one more load if the limit on concurrent ones allows it. Returns whether it does.
    pub(super) fn try_add_load(
        &mut self,
        reason: Option<AdapterOrderReason>,
        now: Timestamp,
    ) -> bool {
        self.pending_until.retain(|until| now < *until);
        let is_allowed = self.pending_until.len() < MAX_PENDING_ADAPTER_LOADS;
        if is_allowed {
            let is_on_demand = reason.is_some();
            let time = if is_on_demand { ON_DEMAND_PENDING_TIME } else { ADAPTER_PENDING_TIME };
            self.pending_until.push(now + time);
        }
        is_allowed
    }

    /// Records an accepted order.
    pub(super) fn record_accepted(&mut self, order: &ServerOrder, now: Timestamp) {
        self.load_times.retain(|_, loaded_at| now.since(*loaded_at) < MIN_ADAPTER_RESIDENCY);
        let is_in_demand = self.reason.is_some_and(AdapterOrderReason::is_demand);
        match order.action {
            Action::Load if is_in_demand => {
                self.load_times.insert(order.weights.clone(), now);
            }
            Action::Load | Action::Unload => {
                self.load_times.remove(&order.weights);
            }
        }
    }

    /// Adapters loaded too recently to be unloaded again.
    pub(super) fn recently_loaded(&self, now: Timestamp) -> BTreeSet<Weights> {
        let recent = self
            .load_times
            .iter()
            .filter(|(_, loaded_at)| now.since(**loaded_at) < MIN_ADAPTER_RESIDENCY);
        recent.map(|(weights, _)| weights.clone()).collect()
    }
}

impl Leader {
    /// Whether a server is known to hold weights: they may have been unloaded since their load.
    pub(super) fn holds(&self, server: &str, weights: &Weights) -> bool {
        let state = self.state.borrow();
        state.engines.get(server).is_some_and(|engine| engine.ledger.held().contains(weights))
    }

    /// Records since when requests wait for weights, given the longest waits.
    pub(super) fn record_waits(&self, waits: HashMap<ModelKey, Duration>) {
        let now = self.now();
        let since = |waited: Duration| {
            Timestamp(now.0.saturating_sub(u64::try_from(waited.as_millis()).unwrap_or(u64::MAX)))
        };
        let awaited_since = waits.into_iter().map(|(key, waited)| (key, since(waited))).collect();
        self.state.borrow_mut().awaited_since = awaited_since;
    }

    /// Why the latest order for an adapter of a server was planned, or `-`, and for how many
    /// milliseconds requests have waited for the ordered weights; -1 if none is known to.
    pub(super) fn order_cause(&self, server: &str, order: &ServerOrder) -> (&'static str, i64) {
        let weights = &order.weights;
        let state = self.state.borrow();
        let engine = state.engines.get(server).filter(|_| weights.adapter.is_some());
        let reason = engine.and_then(|engine| engine.adapters.reason);
        let key = model_key(&weights.model, weights.adapter.as_deref());
        let since = state.awaited_since.get(&key);
        let waited = since.map(|since| self.now().since(*since).as_millis());
        let waited_millis = waited.map_or(-1, |millis| i64::try_from(millis).unwrap_or(i64::MAX));
        (reason.map_or("-", AdapterOrderReason::name), waited_millis)
    }

    /// Announces to all nodes that a server has loaded an adapter, and notifies those whose
    /// requests wait for it.
    pub(super) fn announce_adapter(self: &Rc<Leader>, server: &Arc<str>, weights: &Weights) {
        self.announce(server, weights);
        if self.leads() {
            self.announce_placement();
            let (server, weights) = (server.clone(), weights.clone());
            self.fleet.do_send(NotifyWaitingNodes { server, weights });
        }
    }
}
