//! What the leader knows of one server.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::{Action, ServerLedger, ServerOrder, ServerReport, Weights};
use cometmoor_core::gateway::planner::MIN_RESIDENCY;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::time::Timestamp;

use crate::dialect::EngineReport;
use crate::http::client::CallClient;

/// Adapters that a server brings in at once.
const MOST_ADAPTERS_ON_THEIR_WAY: usize = 4;
/// Time for which an adapter may be on its way.
const ADAPTER_ON_ITS_WAY: Duration = Duration::from_millis(80);

/// What the leader keeps of one server.
pub(super) struct Engine {
    pub(super) record: Arc<ServerRecord>,
    pub(super) ledger: ServerLedger,
    pub(super) client: Rc<CallClient>,
    pub(super) calling: bool,
    pub(super) asked: Option<Timestamp>,
    pub(super) in_host_memory: BTreeSet<String>,
    pub(super) on_disk: BTreeSet<String>,
    pub(super) loaded: HashMap<String, Timestamp>,
    pub(super) replaced: bool,
    /// Model for which room is being made.
    pub(super) promised: Option<String>,
    /// When the adapters were ordered that may be on their way.
    adapters_ordered: Vec<Timestamp>,
}

impl Engine {
    pub(super) fn new(record: Arc<ServerRecord>) -> Engine {
        let client = Rc::new(CallClient::new(record.address));
        Engine {
            record,
            ledger: ServerLedger::default(),
            client,
            calling: false,
            asked: None,
            in_host_memory: BTreeSet::new(),
            on_disk: BTreeSet::new(),
            loaded: HashMap::new(),
            replaced: false,
            promised: None,
            adapters_ordered: Vec::new(),
        }
    }

    pub(super) fn take_record(&mut self, record: &Arc<ServerRecord>, now: Timestamp) {
        self.record = record.clone();
        let models = record.models.iter().map(|held| held.name.clone()).collect();
        self.ledger.record_registry(&models, now);
        if !record.in_host_memory.is_empty() || !record.on_disk.is_empty() {
            self.in_host_memory = record.in_host_memory.iter().cloned().collect();
            self.on_disk = record.on_disk.iter().cloned().collect();
        }
    }

    /// Whether a report is known to be of an earlier or later life of the server than
    /// the entry tells of.
    pub(super) fn is_of_another_life(&self, report: &EngineReport) -> bool {
        match (self.record.started_unix_ms, report.started_unix_ms) {
            (Some(known), Some(told)) => known != told,
            _ => false,
        }
    }

    /// Takes in that the server reports another life. Where that is a later one, this
    /// one is over: it is ordered nothing more. A report of an earlier one is old.
    pub(super) fn note_other_life(&mut self, report: &EngineReport) {
        self.replaced |= report.started_unix_ms > self.record.started_unix_ms;
    }

    /// Takes one of the places for adapters on their way, if there is one left.
    pub(super) fn take_adapter_place(&mut self, now: Timestamp) -> bool {
        self.adapters_ordered.retain(|ordered| now.since(*ordered) < ADAPTER_ON_ITS_WAY);
        let has_place = self.adapters_ordered.len() < MOST_ADAPTERS_ON_THEIR_WAY;
        if has_place {
            self.adapters_ordered.push(now);
        }
        has_place
    }

    /// Model that it is ordered to load.
    pub(super) fn loading(&self) -> Option<Weights> {
        let order = self.ledger.open_order()?;
        let loads_model = order.action == Action::Load && order.weights.adapter.is_none();
        loads_model.then(|| order.weights.clone())
    }

    /// Whether it holds the weights for certain, with no order open for them.
    pub(super) fn holds(&self, weights: &Weights) -> bool {
        self.ledger.held().contains(weights) && self.ledger.open_order().is_none()
    }
}

/// Weights that are about to be taken off a server.
pub(super) struct Withdrawal {
    pub(super) server: Arc<str>,
    pub(super) order: ServerOrder,
    pub(super) since: Timestamp,
}

/// Notes what an accepted order changes beside the ledger.
pub(super) fn note_accepted(engine: &mut Engine, order: &ServerOrder, now: Timestamp) {
    if order.weights.adapter.is_some() {
        return;
    }
    match order.action {
        Action::Load => {
            engine.loaded.insert(order.weights.model.clone(), now);
            engine.on_disk.insert(order.weights.model.clone());
        }
        Action::Unload => {
            engine.loaded.remove(&order.weights.model);
        }
    }
}

/// Weights that are about to be taken off the server, or are being taken off.
pub(super) fn leaving_weights(engine: &Engine, withdrawals: &[Withdrawal]) -> Option<Weights> {
    let announced = withdrawals.iter().find(|known| known.server == engine.record.incarnation);
    let order = announced.map(|known| &known.order).or_else(|| engine.ledger.open_order())?;
    (order.action == Action::Unload).then(|| order.weights.clone())
}

/// Models that the server got lately.
pub(super) fn fresh_models(engine: &Engine, now: Timestamp) -> BTreeSet<String> {
    let fresh = engine.loaded.iter().filter(|(_, loaded)| now.since(**loaded) < MIN_RESIDENCY);
    fresh.map(|(model, _)| model.clone()).collect()
}

/// What the server holds, and what it holds or may come to hold. Of one that is
/// busy with the orders of the leader before, the registry tells.
pub(super) fn believed_weights(engine: &Engine) -> (BTreeSet<Weights>, BTreeSet<Weights>) {
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

/// A report in the ledger's terms; adapters under way count as held.
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
