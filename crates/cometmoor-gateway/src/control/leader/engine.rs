//! The leader's state of one server.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use cometmoor_core::gateway::orders::{Action, ServerLedger, ServerOrder, ServerReport, Weights};
use cometmoor_core::gateway::planner::MIN_RESIDENCY;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::time::Timestamp;

use super::adapters::AdapterRecord;
use crate::dialect::EngineReport;
use crate::http::client::CallClient;

/// The leader's state of one incarnation of a server.
pub(super) struct Engine {
    pub(super) record: Arc<ServerRecord>,
    pub(super) ledger: ServerLedger,
    pub(super) client: Rc<CallClient>,
    pub(super) call_in_progress: bool,
    /// When the last call was started.
    pub(super) last_call: Option<Timestamp>,
    pub(super) in_host_memory: BTreeSet<String>,
    pub(super) on_disk: BTreeSet<String>,
    /// When the load of a model was accepted, by model.
    pub(super) load_times: HashMap<String, Timestamp>,
    /// Whether the incarnation has ended or another server has its address, so that it gets no more
    /// orders.
    pub(super) is_replaced: bool,
    /// Model for which memory is being freed.
    pub(super) pending_load: Option<String>,
    pub(super) adapters: AdapterRecord,
}

impl Engine {
    pub(super) fn new(record: Arc<ServerRecord>) -> Engine {
        let client = Rc::new(CallClient::new(record.address));
        Engine {
            record,
            ledger: ServerLedger::default(),
            client,
            call_in_progress: false,
            last_call: None,
            in_host_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            load_times: HashMap::new(),
            is_replaced: false,
            pending_load: None,
            adapters: AdapterRecord::default(),
        }
    }

    pub(super) fn update_record(&mut self, record: &Arc<ServerRecord>, now: Timestamp) {
        self.record = record.clone();
        let models = record.models.iter().map(|held| held.name.clone()).collect();
        self.ledger.record_registry(&models, now);
        if !record.in_host_memory.is_empty() || !record.on_disk.is_empty() {
            self.in_host_memory = record.in_host_memory.iter().cloned().collect();
            self.on_disk = record.on_disk.iter().cloned().collect();
        }
    }

    /// Whether a report is known to be from another incarnation of the server than the registry
    /// entry.
    pub(super) fn is_from_other_incarnation(&self, report: &EngineReport) -> bool {
        match (self.record.started_unix_ms, report.started_unix_ms) {
            (Some(registered), Some(reported)) => registered != reported,
            _ => false,
        }
    }

    /// Records a report from another incarnation. If that one is later, this incarnation has ended
    /// and gets no more orders. A report from an earlier one is outdated.
    pub(super) fn record_other_incarnation(&mut self, report: &EngineReport) {
        self.is_replaced |= report.started_unix_ms > self.record.started_unix_ms;
    }

    /// Whether an order for an adapter was sent and is not answered.
    pub(super) fn awaits_adapter_answer(&self) -> bool {
        let open = self.ledger.open_order();
        self.call_in_progress && open.is_some_and(|order| order.weights.adapter.is_some())
    }

    /// The model of an open load order.
    pub(super) fn loading(&self) -> Option<Weights> {
        let order = self.ledger.open_order()?;
        let loads_model = order.action == Action::Load && order.weights.adapter.is_none();
        loads_model.then(|| order.weights.clone())
    }

    /// Whether it is known to hold the weights and no order is open.
    pub(super) fn holds(&self, weights: &Weights) -> bool {
        self.ledger.held().contains(weights) && self.ledger.open_order().is_none()
    }
}

/// An unload that has been announced and is not yet ordered.
pub(super) struct Withdrawal {
    pub(super) server: Arc<str>,
    pub(super) order: ServerOrder,
    pub(super) announced_at: Timestamp,
}

/// Records what an accepted order changes in addition to the ledger.
pub(super) fn record_accepted_order(engine: &mut Engine, order: &ServerOrder, now: Timestamp) {
    if order.weights.adapter.is_some() {
        engine.adapters.record_accepted(order, now);
        return;
    }
    match order.action {
        Action::Load => {
            engine.load_times.insert(order.weights.model.clone(), now);
            engine.on_disk.insert(order.weights.model.clone());
        }
        Action::Unload => {
            engine.load_times.remove(&order.weights.model);
        }
    }
}

/// Weights whose unload from the server has been announced or ordered.
pub(super) fn unloading_weights(engine: &Engine, withdrawals: &[Withdrawal]) -> Option<Weights> {
    let announced =
        withdrawals.iter().find(|withdrawal| withdrawal.server == engine.record.incarnation);
    let order =
        announced.map(|withdrawal| &withdrawal.order).or_else(|| engine.ledger.open_order())?;
    (order.action == Action::Unload).then(|| order.weights.clone())
}

/// Models loaded too recently to be unloaded again.
pub(super) fn recently_loaded(engine: &Engine, now: Timestamp) -> BTreeSet<String> {
    let recent =
        engine.load_times.iter().filter(|(_, loaded_at)| now.since(**loaded_at) < MIN_RESIDENCY);
    recent.map(|(model, _)| model.clone()).collect()
}

/// Weights that the server holds, and weights that it holds or may hold. As long as its order count
/// is unknown, for example while it executes orders of the previous leader, both come from the
/// registry.
pub(super) fn held_and_reserved_weights(engine: &Engine) -> (BTreeSet<Weights>, BTreeSet<Weights>) {
    if engine.ledger.is_known() {
        return (engine.ledger.held().clone(), engine.ledger.reserved());
    }
    let mut held = BTreeSet::new();
    for model in &engine.record.models {
        held.insert(Weights::model(&model.name));
        held.extend(model.adapters.iter().map(|name| Weights::adapter(&model.name, name)));
    }
    (held.clone(), held)
}

/// Converts a report for the ledger; adapters that are being loaded count as held.
pub(super) fn server_report(report: &EngineReport) -> ServerReport {
    let mut held = BTreeSet::new();
    for model in &report.models {
        held.insert(Weights::model(&model.name));
        held.extend(model.adapters.iter().map(|name| Weights::adapter(&model.name, name)));
    }
    for pending in &report.pending_adapters {
        held.insert(Weights { model: pending.model.clone(), adapter: pending.adapter.clone() });
    }
    ServerReport { count: report.orders, busy: report.busy, held }
}
