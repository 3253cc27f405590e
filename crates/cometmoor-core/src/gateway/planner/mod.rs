//! Which server should hold which model and adapter.
//!
//! A plan is a list of next orders, at most one for each server that is idle.
//! It is made anew from what the servers hold and what is asked for. A move, a
//! load with the unload that makes room for it, is worth the requests that it
//! saves while the demand lasts, less those that are missed for want of the
//! copy that makes way. Every model keeps a copy.

mod adapters;
mod coverage;
mod models;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use self::adapters::bring_adapters;
use self::coverage::Coverage;
use self::models::bring_models;
use super::configuration::{EngineProfile, ModelProfile};
use super::orders::{Action, ServerOrder, Weights};

/// A server as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct PlannedServer {
    /// Its identifier.
    pub id: Arc<str>,
    /// Whether it can be ordered now.
    pub idle: bool,
    /// What it holds for certain.
    pub held: BTreeSet<Weights>,
    /// What it holds or may come to hold.
    pub reserved: BTreeSet<Weights>,
    /// Models whose weights it has in host memory.
    pub in_host_memory: BTreeSet<String>,
    /// Models whose weights it has on disk.
    pub on_disk: BTreeSet<String>,
    /// Models that it got so lately that they should stay.
    pub fresh: BTreeSet<String>,
    /// Time until the model that is not held for certain is there.
    pub loading_left: Duration,
    /// Weights that are being taken away; they do not count as a copy.
    pub leaving: Option<Weights>,
    /// Model for which room is being made, or was made; it counts as a copy
    /// while the server is busy.
    pub promised: Option<String>,
}

/// Seconds until an unload is announced and done.
const UNLOAD_SECONDS: f64 = 1.0;

impl PlannedServer {
    /// Whether it has the weights, or will have them.
    fn will_hold(&self, weights: &Weights) -> bool {
        self.reserved.contains(weights) && self.leaving.as_ref() != Some(weights)
    }

    /// Whether it can answer with the weights now, and will stay able to.
    fn serves(&self, weights: &Weights) -> bool {
        self.held.contains(weights) && self.leaving.as_ref() != Some(weights)
    }

    /// Models that it can answer with now, and will stay able to.
    fn serving(&self) -> impl Iterator<Item = &Weights> {
        self.held.iter().filter(|weights| weights.adapter.is_none() && self.serves(weights))
    }

    /// Whether the weights of a model come from the weight store.
    fn loads_from_store(&self, model: &str) -> bool {
        !self.in_host_memory.contains(model) && !self.on_disk.contains(model)
    }

    /// Whether room is being made for a model that the weight store has to give.
    fn is_promised_from_store(&self) -> bool {
        !self.idle && self.promised.as_deref().is_some_and(|model| self.loads_from_store(model))
    }

    /// Time of a load of a model.
    fn load_time(&self, model: &ModelProfile) -> Duration {
        if self.in_host_memory.contains(&model.name) {
            model.load_from_memory
        } else if self.on_disk.contains(&model.name) {
            model.load_from_disk
        } else {
            model.load
        }
    }
}

/// What is asked of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Work, in servers that it would keep busy.
    pub work: f64,
    /// Requests a second.
    pub requests: f64,
}

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Whether it was watched for long enough to take copies away by it.
    pub is_known: bool,
    /// What is asked of each model.
    pub models: BTreeMap<String, ModelDemand>,
    /// Requests a second for each adapter.
    pub adapters: BTreeMap<Weights, f64>,
    /// Adapters that requests wait for now.
    pub waited_for: BTreeSet<Weights>,
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
    pub takes: Duration,
    /// Model for which an unload makes room.
    pub makes_room_for: Option<String>,
}

/// What a plan is made of.
struct Planner<'a> {
    profile: &'a EngineProfile,
    servers: &'a [PlannedServer],
    demand: &'a FleetDemand,
    coverage: Coverage,
    used: BTreeSet<Arc<str>>,
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
    let promised = servers.iter().filter(|server| server.is_promised_from_store()).count();
    let mut planner = Planner {
        profile,
        servers,
        demand,
        coverage: Coverage::new(profile, servers, demand),
        used: BTreeSet::new(),
        loads_left: loads_left.saturating_sub(promised),
        plan: Vec::new(),
    };
    bring_models(&mut planner);
    bring_adapters(&mut planner);
    planner.plan
}

impl Planner<'_> {
    fn is_free(&self, server: &PlannedServer) -> bool {
        server.idle && !self.used.contains(&server.id)
    }

    /// Adds the load of a model.
    fn load_model(&mut self, server: &PlannedServer, model: &ModelProfile) {
        let from_store = server.loads_from_store(&model.name);
        if from_store {
            self.loads_left -= 1;
        }
        let order = ServerOrder { action: Action::Load, weights: Weights::model(&model.name) };
        let takes = server.load_time(model);
        self.push(server, PlannedOrder { from_store, takes, ..planned(server, order) });
    }

    /// Adds the unload of a model that makes room for another one.
    fn unload_model(&mut self, server: &PlannedServer, victim: &str, model: &str) {
        if server.loads_from_store(model) {
            self.loads_left -= 1;
        }
        let order = ServerOrder { action: Action::Unload, weights: Weights::model(victim) };
        let makes_room_for = Some(model.to_owned());
        self.push(server, PlannedOrder { makes_room_for, ..planned(server, order) });
    }

    /// Adds an order for an adapter.
    fn order_adapter(&mut self, server: &PlannedServer, action: Action, weights: &Weights) {
        let order = ServerOrder { action, weights: weights.clone() };
        self.push(server, planned(server, order));
    }

    fn push(&mut self, server: &PlannedServer, order: PlannedOrder) {
        self.used.insert(server.id.clone());
        self.plan.push(order);
    }
}

fn planned(server: &PlannedServer, order: ServerOrder) -> PlannedOrder {
    PlannedOrder {
        server: server.id.clone(),
        order,
        from_store: false,
        takes: Duration::ZERO,
        makes_room_for: None,
    }
}
