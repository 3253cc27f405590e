//! Which server should hold which model and adapter.
//!
//! A plan is a list of next orders, at most one for each server that is idle.
//! It is made anew from what the servers hold and what is asked for. A move, a
//! load with the unload that makes room for it, is worth the requests that it
//! saves while the demand lasts, less those that are missed for want of the
//! copy that makes way. Every model keeps a copy.

mod adapters;
mod coverage;
mod inventory;
mod models;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::adapters::bring_adapters;
use self::coverage::Coverage;
use self::inventory::{Adapter, ModelIndex, ServerIndex, Stock, take_stock};
use self::models::bring_models;
use super::configuration::{EngineProfile, ModelProfile};
use super::orders::{Action, ServerOrder, Weights};

/// A server as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct PlannedServer {
    /// Its identifier.
    pub id: Arc<str>,
    /// Whether it can be ordered now.
    pub is_idle: bool,
    /// What it holds for certain.
    pub held: BTreeSet<Weights>,
    /// What it holds or may come to hold.
    pub reserved: BTreeSet<Weights>,
    /// Models whose weights it has in host memory.
    pub in_host_memory: BTreeSet<String>,
    /// Models whose weights it has on disk.
    pub on_disk: BTreeSet<String>,
    /// Models that it got so lately that they should stay.
    pub recently_loaded: BTreeSet<String>,
    /// Time until the model that is not held for certain is there.
    pub load_time_left: Duration,
    /// Weights that are being taken away; they do not count as a copy.
    pub unloading: Option<Weights>,
    /// Model for which room is being made, or was made; it counts as a copy
    /// while the server is busy.
    pub pending_load: Option<String>,
}

/// Time for which demand has to be watched before copies are taken away by it.
pub const MIN_DEMAND_HISTORY: Duration = Duration::from_secs(3);
/// Longest pause between two rounds of planning.
pub const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the withdrawal of a model and the order to unload it, in which
/// all nodes learn of it.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_millis(300);
/// Time for which a copy stays after its load.
pub const MIN_RESIDENCY: Duration = Duration::from_secs(8);
/// Seconds until an unload is announced and done.
const UNLOAD_SECONDS: f64 = 1.0;

impl PlannedServer {
    /// Whether weights that it has, or will have, are not about to go.
    fn stays(&self, weights: &Weights) -> bool {
        self.unloading.as_ref() != Some(weights)
    }
}

/// What is asked of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Work, in servers that it would keep busy.
    pub offered_load: f64,
    /// Requests a second.
    pub requests_per_second: f64,
}

/// Work of a request that fills a batch, against that of prompts which keep a
/// server reading: a batch can be filled to about 0.8 before requests wait, a
/// server can read for about 0.6 of its time before prompts do.
const SLOT_WEIGHT: f64 = 0.75;

impl ModelDemand {
    /// From the servers that the reading of prompts keeps busy, those whose
    /// batches the running requests fill, and the requests a second. Whichever
    /// is more binds: with short prompts and long answers, batches are full long
    /// before the reading of prompts fills a server's time.
    pub fn new(reading: f64, batches: f64, requests_per_second: f64) -> ModelDemand {
        ModelDemand { offered_load: reading.max(batches * SLOT_WEIGHT), requests_per_second }
    }
}

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Whether it was watched for long enough to take copies away by it.
    pub has_enough_history: bool,
    /// What is asked of each model.
    pub models: BTreeMap<String, ModelDemand>,
    /// Requests a second for each adapter.
    pub adapters: BTreeMap<Weights, f64>,
    /// Adapters that requests wait for now.
    pub awaited_adapters: BTreeSet<Weights>,
}

/// An order for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The server.
    pub server: Arc<str>,
    /// The order.
    pub order: ServerOrder,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// How long a load is likely to take; zero for an unload.
    pub expected_duration: Duration,
    /// Model for which an unload makes room.
    pub makes_room_for: Option<String>,
}

/// What a plan is made of.
struct Planner<'a> {
    profile: &'a EngineProfile,
    servers: &'a [PlannedServer],
    demand: &'a FleetDemand,
    stocks: Vec<Stock>,
    coverage: Coverage,
    /// Memory on each server that is kept for adapters, in megabytes.
    adapter_reserve: f64,
    loads_left: usize,
    plan: Vec<PlannedOrder>,
}

/// The next orders. `loads_left` bounds those that come from the weight store.
pub fn plan(
    profile: &EngineProfile,
    servers: &[PlannedServer],
    demand: &FleetDemand,
    loads_left: usize,
) -> Vec<PlannedOrder> {
    let stocks = take_stock(profile, servers);
    let asked = |model: &ModelProfile| demand.models.get(&model.name).copied().unwrap_or_default();
    let asked = profile.models.iter().map(asked).collect();
    let promised = stocks.iter().filter(|stock| is_promised_from_store(stock)).count();
    let mut planner = Planner {
        profile,
        servers,
        demand,
        coverage: Coverage::new(asked, &stocks),
        stocks,
        adapter_reserve: profile.adapter_reserve(),
        loads_left: loads_left.saturating_sub(promised),
        plan: Vec::new(),
    };
    bring_models(&mut planner);
    bring_adapters(&mut planner);
    planner.plan
}

/// Whether room is being made for a model that the weight store has to give.
fn is_promised_from_store(stock: &Stock) -> bool {
    !stock.is_free && stock.promised.is_some_and(|model| stock.loads_from_store(model))
}

impl Planner<'_> {
    /// Adds the load of a model.
    fn load_model(&mut self, server: ServerIndex, model: ModelIndex) {
        let stock = &self.stocks[server];
        let from_store = stock.loads_from_store(model);
        let expected_duration = Duration::from_secs_f64(stock.load_seconds(self.profile, model));
        self.loads_left -= usize::from(from_store);
        let order = self.planned(server, Action::Load, self.model_weights(model));
        self.push(server, PlannedOrder { from_store, expected_duration, ..order });
    }

    /// Adds the unload of a model that makes room for another one.
    fn unload_model(&mut self, server: ServerIndex, victim: ModelIndex, model: ModelIndex) {
        self.loads_left -= usize::from(self.stocks[server].loads_from_store(model));
        let makes_room_for = Some(self.profile.models[model].name.clone());
        let order = self.planned(server, Action::Unload, self.model_weights(victim));
        self.push(server, PlannedOrder { makes_room_for, ..order });
    }

    /// Adds an order for an adapter.
    fn order_adapter(&mut self, server: ServerIndex, action: Action, adapter: Adapter) {
        let model = &self.profile.models[adapter.model];
        let weights = Weights::adapter(&model.name, &model.adapter_name(adapter.number));
        let order = self.planned(server, action, weights);
        self.push(server, order);
    }

    fn model_weights(&self, model: ModelIndex) -> Weights {
        Weights::model(&self.profile.models[model].name)
    }

    fn planned(&self, server: ServerIndex, action: Action, weights: Weights) -> PlannedOrder {
        PlannedOrder {
            server: self.servers[server].id.clone(),
            order: ServerOrder { action, weights },
            from_store: false,
            expected_duration: Duration::ZERO,
            makes_room_for: None,
        }
    }

    /// A server gets one order at a time.
    fn push(&mut self, server: ServerIndex, order: PlannedOrder) {
        self.stocks[server].is_free = false;
        self.plan.push(order);
    }
}
