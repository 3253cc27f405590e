//! Placement of models and adapters on servers.
//!
//! A plan is a list of the next orders, at most one for each idle server. Each plan is computed
//! from scratch from the contents of the servers and the demand. A move is a load with the unload
//! that makes room for it. By one strategy, its value is the number of requests that it saves over
//! the lifetime of the demand, less the requests missed for lack of the evicted copy; the other one
//! balances the utilization of the servers. Every model keeps a copy, unless the servers can't hold
//! all models: then the last copies of idle models make way for models in demand.

mod adapters;
mod adapters_on_demand;
mod balanced;
mod coverage;
mod inventory;
mod models;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::adapters::plan_adapters;
use self::adapters_on_demand::plan_adapters_on_demand;
pub use self::adapters_on_demand::{MAX_PENDING_ADAPTER_LOADS, MIN_ADAPTER_RESIDENCY};
use self::balanced::plan_balanced;
use self::coverage::Coverage;
use self::inventory::{Adapter, ModelIndex, ServerIndex, ServerInventory, build_inventories};
use self::models::plan_models;
use super::configuration::{EngineProfile, ModelProfile};
use super::orders::{Action, ServerOrder, Weights};
use super::server_speed::Speed;

/// The state of a server as input to the planner.
#[derive(Clone, Debug, Default)]
pub struct PlannedServer {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Whether it can take an order.
    pub is_idle: bool,
    /// Weights that it is known to hold.
    pub held: BTreeSet<Weights>,
    /// Weights that it holds or may hold.
    pub reserved: BTreeSet<Weights>,
    /// Models whose weights it caches in host memory.
    pub in_host_memory: BTreeSet<String>,
    /// Models whose weights it caches on disk.
    pub on_disk: BTreeSet<String>,
    /// Models loaded too recently to be unloaded again, see [`MIN_RESIDENCY`].
    pub recently_loaded: BTreeSet<String>,
    /// Time until the load in progress completes.
    pub load_time_left: Duration,
    /// Weights that are being unloaded; they do not count as a copy.
    pub unloading: Option<Weights>,
    /// Model for which memory is being freed or was freed. It counts as a copy while the server is
    /// not idle.
    pub pending_load: Option<String>,
    /// Speed relative to the mean of the service's servers.
    pub speed: Speed,
    /// Adapters loaded because of their demand, too recently to be unloaded again, see
    /// [`MIN_ADAPTER_RESIDENCY`].
    pub recently_loaded_adapters: BTreeSet<Weights>,
    /// Number of adapters that it is loading, at most [`MAX_PENDING_ADAPTER_LOADS`].
    pub pending_adapter_loads: usize,
    /// Whether an order for an adapter was sent and is not answered, which takes milliseconds.
    pub awaits_adapter_answer: bool,
}

/// How long demand must have been observed before models get additional copies, for which other
/// copies may be evicted.
pub const MIN_DEMAND_HISTORY: Duration = Duration::from_secs(3);
/// Maximum time between two planning rounds.
pub const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// Time between the withdrawal of a model and the order to unload it, during which all nodes learn
/// of the withdrawal.
pub const WITHDRAWAL_DELAY: Duration = Duration::from_millis(300);
/// Minimum time for which a copy is kept after its load.
pub const MIN_RESIDENCY: Duration = Duration::from_secs(8);
/// Seconds to announce and complete an unload.
const UNLOAD_SECONDS: f64 = 1.0;

impl PlannedServer {
    /// Whether weights that it holds or may hold are not being unloaded.
    fn stays(&self, weights: &Weights) -> bool {
        self.unloading.as_ref() != Some(weights)
    }
}

/// Demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Offered load: the number of servers that the requests would keep fully busy.
    pub offered_load: f64,
    /// Requests per second.
    pub requests_per_second: f64,
    /// Mean time in seconds that the prefill of a request takes on a server of the mean speed.
    pub mean_prefill_seconds: f64,
}

/// Weight of batch occupancy relative to prefill time in the offered load: requests queue once a
/// batch is about 0.8 full, prompts once prefill takes about 0.6 of a server's time.
const SLOT_WEIGHT: f64 = 0.75;

impl ModelDemand {
    /// Creates the demand from the number of servers kept busy by prefill, the number whose batches
    /// the running requests fill, and the requests per second. The larger of the two determines the
    /// load: with short prompts and long responses, batches are full long before prefill takes all
    /// of a server's time.
    pub fn new(prefill: f64, batches: f64, requests_per_second: f64) -> ModelDemand {
        let mean_prefill_seconds =
            if requests_per_second > 0.0 { prefill / requests_per_second } else { 0.0 };
        ModelDemand {
            offered_load: prefill.max(batches * SLOT_WEIGHT),
            requests_per_second,
            mean_prefill_seconds,
        }
    }
}

/// Demand for all models and adapters.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Whether demand was observed for [`MIN_DEMAND_HISTORY`]. Until then only models without any
    /// copy are loaded.
    pub has_enough_history: bool,
    /// Demand for each model, by name.
    pub models: BTreeMap<String, ModelDemand>,
    /// Requests per second for each adapter.
    pub adapters: BTreeMap<Weights, f64>,
    /// Expected time until the running requests for an adapter complete; absent where none runs.
    pub adapter_run_time_left: BTreeMap<Weights, Duration>,
    /// Adapters that requests are waiting for.
    pub awaited_adapters: BTreeSet<Weights>,
    /// Shortest limit on the time between two events of a stream that a route to the service sets.
    pub event_interval_limit: Option<Duration>,
}

/// How the planner decides on additional copies of models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// By the number of requests that a move saves over the lifetime of the demand.
    #[default]
    SavedRequests,
    /// By the utilization of the servers that hold a model.
    Balanced,
}

/// Longest load from the weight store with which copies can follow demand: half of the time for
/// which demand lasts on average.
const MAX_BALANCED_LOAD_TIME: Duration = Duration::from_secs(5);

impl PlacementStrategy {
    /// Name of the strategy in logs.
    pub fn name(self) -> &'static str {
        match self {
            PlacementStrategy::SavedRequests => "saved_requests",
            PlacementStrategy::Balanced => "balanced",
        }
    }

    /// The strategy for a service, if balanced placement is enabled or not.
    pub fn for_profile(profile: &EngineProfile, balanced_is_enabled: bool) -> PlacementStrategy {
        let slowest = profile.models.iter().map(|model| model.store_load_time).max();
        match slowest {
            Some(slowest) if balanced_is_enabled && slowest <= MAX_BALANCED_LOAD_TIME => {
                PlacementStrategy::Balanced
            }
            _ => PlacementStrategy::SavedRequests,
        }
    }
}

/// Why an adapter is loaded, or another one unloaded in its favor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdapterOrderReason {
    /// Requests wait for it.
    Awaited,
    /// It is in demand and needs a holder, or another one.
    Demand,
    /// No server holds it, and there is a free slot.
    Reachability,
}

impl AdapterOrderReason {
    /// Whether the adapter is loaded because of its demand.
    pub fn is_demand(self) -> bool {
        self != AdapterOrderReason::Reachability
    }

    /// Name for log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AdapterOrderReason::Awaited => "awaited",
            AdapterOrderReason::Demand => "demand",
            AdapterOrderReason::Reachability => "reachability",
        }
    }
}

/// An order for a server, as part of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// The load or unload.
    pub order: ServerOrder,
    /// Whether the weights are fetched from the weight store.
    pub from_store: bool,
    /// Expected duration of the load of a model; zero for other orders.
    pub expected_duration: Duration,
    /// Model for which an unload frees memory.
    pub makes_room_for: Option<String>,
    /// Why a model is moved; `None` for adapters and where the strategy gives no reason.
    pub reason: Option<MoveReason>,
    /// Why an adapter is ordered on demand; `None` for other orders.
    pub adapter_reason: Option<AdapterOrderReason>,
}

impl PlannedOrder {
    /// Whether it loads a model, and not an adapter.
    pub fn loads_model(&self) -> bool {
        self.order.action == Action::Load && self.order.weights.adapter.is_none()
    }
}

/// Why a model gets a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// No server holds the model.
    NoReplica,
    /// The servers that hold the model are used too much.
    Utilization {
        /// Their mean utilization by the offered load, in percent.
        percent: u32,
    },
    /// The model's prompts take too long on the servers that hold it.
    LongPrompts,
}

impl MoveReason {
    /// Name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MoveReason::NoReplica => "no_replica",
            MoveReason::Utilization { .. } => "utilization",
            MoveReason::LongPrompts => "long_prompts",
        }
    }
}

/// The orders of one round.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// At most one order for each server, or several for adapters.
    pub orders: Vec<PlannedOrder>,
    /// Highest pressure of a model before the plan, that is, the mean utilization of the servers
    /// that hold it by the offered load. `None` if the strategy does not compute it.
    pub highest_pressure: Option<f64>,
}

/// State of a plan under construction.
struct Planner<'a> {
    profile: &'a EngineProfile,
    servers: &'a [PlannedServer],
    demand: &'a FleetDemand,
    inventories: Vec<ServerInventory>,
    coverage: Coverage,
    /// Memory reserved for adapters on each server, in megabytes.
    adapter_reserve: f64,
    /// Whether the servers can't hold a copy of each model at once.
    is_oversubscribed: bool,
    /// Number of loads from the weight store that may still be planned.
    loads_left: usize,
    plan: Vec<PlannedOrder>,
}

/// Computes the next orders by a strategy. `loads_left` bounds the loads from the weight store.
pub fn plan(
    profile: &EngineProfile,
    servers: &[PlannedServer],
    demand: &FleetDemand,
    loads_left: usize,
    strategy: PlacementStrategy,
) -> Vec<PlannedOrder> {
    plan_round(profile, servers, demand, loads_left, strategy).orders
}

/// Computes the next orders as [`plan`] does, with what they are based on.
pub fn plan_round(
    profile: &EngineProfile,
    servers: &[PlannedServer],
    demand: &FleetDemand,
    loads_left: usize,
    strategy: PlacementStrategy,
) -> Plan {
    let inventories = build_inventories(profile, servers);
    let demand_of =
        |model: &ModelProfile| demand.models.get(&model.name).copied().unwrap_or_default();
    let model_demand = profile.models.iter().map(demand_of).collect();
    let pending_store_loads =
        inventories.iter().filter(|inventory| has_pending_store_load(inventory)).count();
    let mut planner = Planner {
        profile,
        servers,
        demand,
        coverage: Coverage::new(model_demand, &inventories),
        inventories,
        adapter_reserve: profile.adapter_reserve(),
        is_oversubscribed: is_oversubscribed(profile, servers.len()),
        loads_left: loads_left.saturating_sub(pending_store_loads),
        plan: Vec::new(),
    };
    let highest_pressure = match strategy {
        PlacementStrategy::SavedRequests => {
            plan_models(&mut planner);
            plan_adapters(&mut planner);
            None
        }
        PlacementStrategy::Balanced => {
            let highest_pressure = plan_balanced(&mut planner);
            plan_adapters_on_demand(&mut planner);
            Some(highest_pressure)
        }
    };
    Plan { orders: planner.plan, highest_pressure }
}

/// Whether a number of servers has fewer places for models than there are models. All models count
/// as being as large as the largest one.
fn is_oversubscribed(profile: &EngineProfile, servers: usize) -> bool {
    let largest = profile.models.iter().map(|model| model.weights_megabytes).fold(0.0, f64::max);
    let places = ((profile.weights_megabytes - profile.adapter_reserve()) / largest).floor();
    places * (servers as f64) < profile.models.len() as f64
}

/// Whether memory is being freed for a model that has to come from the weight store.
fn has_pending_store_load(inventory: &ServerInventory) -> bool {
    !inventory.is_idle
        && inventory.pending_load.is_some_and(|model| inventory.loads_from_store(model))
}

impl Planner<'_> {
    /// Adds the load of a model.
    fn load_model(&mut self, server: ServerIndex, model: ModelIndex) {
        let inventory = &self.inventories[server];
        let from_store = inventory.loads_from_store(model);
        let expected_duration =
            Duration::from_secs_f64(inventory.load_seconds(self.profile, model));
        self.loads_left -= usize::from(from_store);
        let order = self.planned_order(server, Action::Load, self.model_weights(model));
        self.push(server, PlannedOrder { from_store, expected_duration, ..order });
    }

    /// Adds the unload of a model to free memory for another one.
    fn unload_model(&mut self, server: ServerIndex, victim: ModelIndex, model: ModelIndex) {
        self.loads_left -= usize::from(self.inventories[server].loads_from_store(model));
        let makes_room_for = Some(self.profile.models[model].name.clone());
        let order = self.planned_order(server, Action::Unload, self.model_weights(victim));
        self.push(server, PlannedOrder { makes_room_for, ..order });
    }

    /// Adds an order for an adapter.
    fn order_adapter(&mut self, server: ServerIndex, action: Action, adapter: Adapter) {
        let model = &self.profile.models[adapter.model];
        let weights = Weights::adapter(&model.name, &model.adapter_name(adapter.number));
        let order = self.planned_order(server, action, weights);
        self.push(server, order);
    }

    fn model_weights(&self, model: ModelIndex) -> Weights {
        Weights::model(&self.profile.models[model].name)
    }

    fn planned_order(&self, server: ServerIndex, action: Action, weights: Weights) -> PlannedOrder {
        PlannedOrder {
            server: self.servers[server].id.clone(),
            order: ServerOrder { action, weights },
            from_store: false,
            expected_duration: Duration::ZERO,
            makes_room_for: None,
            reason: None,
            adapter_reason: None,
        }
    }

    /// Adds an order and marks the server as busy: a server gets one order at a time.
    fn push(&mut self, server: ServerIndex, order: PlannedOrder) {
        self.inventories[server].is_idle = false;
        self.plan.push(order);
    }
}
