//! How well the copies of each model cover its demand.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use super::ModelDemand;
use super::inventory::{Copy, ModelIndex, ServerIndex, ServerInventory};

/// Utilization of a copy above which requests miss their deadlines because prompts queue behind
/// one another.
const MAX_UTILIZATION: f64 = 0.6;
/// Share of the requests that are late when the copies are at [`MAX_UTILIZATION`].
const MISSED_AT_MAX_UTILIZATION: f64 = 0.08;
/// Minimum share of a server that a copy gets beside other models.
const MIN_CAPACITY: f64 = 0.2;
/// Mean lifetime of demand in seconds: it persists for `t` seconds with a probability of
/// `exp(-t / DEMAND_LIFETIME_SECONDS)`.
const DEMAND_LIFETIME_SECONDS: f64 = 10.0;
/// Mean time in seconds for which a model without any copy is missed.
const UNREACHABLE_LIFETIME_SECONDS: f64 = 40.0;
/// Requests per second counted as missed for a model without any copy, besides its demand: every
/// model must stay reachable.
const UNREACHABLE_PENALTY: f64 = 1.0;

/// Share of a model's requests that are not answered in time under an offered load. Load and
/// capacity are in servers.
fn missed_share(offered_load: f64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return 1.0;
    }
    let utilization = offered_load / capacity;
    if utilization <= MAX_UTILIZATION {
        MISSED_AT_MAX_UTILIZATION * (utilization / MAX_UTILIZATION).powi(2)
    } else {
        1.0 - (1.0 - MISSED_AT_MAX_UTILIZATION) * MAX_UTILIZATION / utilization
    }
}

/// Fraction of a demand that remains after some seconds, for a mean lifetime in seconds.
fn remaining_fraction(seconds: f64, lifetime: f64) -> f64 {
    (-seconds / lifetime).exp()
}

/// Capacity that a copy provides once it is ready.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Supply {
    /// Seconds until the copy is ready.
    pub(super) ready_in: f64,
    /// Share of its server that the copy has.
    pub(super) capacity: f64,
}

/// Demand and copies of a model.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelCoverage {
    /// The demand for the model.
    pub(super) demand: ModelDemand,
    /// Number of copies that are ready or on their way.
    pub(super) copies: usize,
    /// Number of copies that serve requests and are not being unloaded.
    pub(super) serving: usize,
    /// Expected number of requests missed over the lifetime of the demand.
    pub(super) missed: f64,
    /// Capacity of the copies that are ready, in servers.
    capacity_now: f64,
    /// Copies that are on their way, in the order in which they become ready.
    upcoming: Vec<Supply>,
}

impl ModelCoverage {
    /// Expected missed requests with an additional copy.
    pub(super) fn missed_with(&self, supply: Supply) -> f64 {
        self.missed_with_capacity(self.capacity_now, Some(supply))
    }

    /// Expected missed requests without a ready copy of this capacity.
    pub(super) fn missed_without(&self, capacity: f64) -> f64 {
        self.missed_with_capacity((self.capacity_now - capacity).max(0.0), None)
    }

    /// Share of the requests that are missed once all copies are ready.
    pub(super) fn final_missed_share(&self) -> f64 {
        let upcoming: f64 = self.upcoming.iter().map(|supply| supply.capacity).sum();
        missed_share(self.demand.offered_load, self.capacity_now + upcoming)
    }

    fn add(&mut self, supply: Supply) {
        if supply.ready_in > 0.0 {
            self.upcoming.push(supply);
        } else {
            self.capacity_now += supply.capacity;
        }
    }

    fn missed_with_capacity(&self, capacity_now: f64, extra: Option<Supply>) -> f64 {
        let split = extra.map_or(self.upcoming.len(), |extra| {
            self.upcoming.partition_point(|supply| supply.ready_in < extra.ready_in)
        });
        let (before, after) = self.upcoming.split_at(split);
        let mut missed = 0.0;
        let (mut capacity, mut since) = (capacity_now, 0.0);
        for supply in before.iter().chain(&extra).chain(after) {
            missed += self.missed_between(since, supply.ready_in, capacity);
            since = supply.ready_in;
            capacity += supply.capacity;
        }
        missed + self.missed_between(since, f64::INFINITY, capacity)
    }

    /// Expected missed requests from one time to another with a constant capacity.
    fn missed_between(&self, from: f64, until: f64, capacity: f64) -> f64 {
        let span = |lifetime: f64| {
            lifetime * (remaining_fraction(from, lifetime) - remaining_fraction(until, lifetime))
        };
        let unreachable = if capacity <= 0.0 {
            UNREACHABLE_PENALTY * span(UNREACHABLE_LIFETIME_SECONDS)
        } else {
            0.0
        };
        let share = missed_share(self.demand.offered_load, capacity);
        unreachable + self.demand.requests_per_second * share * span(DEMAND_LIFETIME_SECONDS)
    }
}

/// Models and their copies on all servers. A move updates only the servers that hold one of its
/// models, and the models on these servers. Recomputing everything for each of 240 moves over 240
/// servers took 196 ms together with the search, which is seconds for a leader on an eighth of a
/// core.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage {
    /// Indexed by model.
    pub(super) models: Vec<ModelCoverage>,
    copies_by_server: Vec<Vec<Copy>>,
    /// Servers with a copy of each model, in ascending order.
    holders: Vec<Vec<ServerIndex>>,
    /// Load on each server, as a share of its capacity.
    load_by_server: Vec<f64>,
    /// Cache of [`Coverage::eviction_cost`]; an entry is dropped when a move affects it.
    eviction_costs: RefCell<HashMap<CopyLocation, f64>>,
}

/// A copy of a model on a server.
type CopyLocation = (ServerIndex, ModelIndex);

impl Coverage {
    /// Computes the coverage by the current copies.
    pub(super) fn new(demand: Vec<ModelDemand>, inventories: &[ServerInventory]) -> Coverage {
        let new = |demand| ModelCoverage { demand, ..ModelCoverage::default() };
        let mut models: Vec<ModelCoverage> = demand.into_iter().map(new).collect();
        for model in inventories.iter().flat_map(|inventory| &inventory.serving) {
            models[*model].serving += 1;
        }
        let copies_by_server: Vec<Vec<Copy>> =
            inventories.iter().map(|inventory| inventory.copies.clone()).collect();
        let mut holders = vec![Vec::new(); models.len()];
        for (server, copies) in copies_by_server.iter().enumerate() {
            for copy in copies {
                models[copy.model].copies += 1;
                holders[copy.model].push(server);
            }
        }
        let load_by_server = vec![0.0; copies_by_server.len()];
        let eviction_costs = RefCell::default();
        let mut coverage =
            Coverage { models, copies_by_server, holders, load_by_server, eviction_costs };
        coverage.recompute_servers(0..inventories.len());
        coverage.recompute_models(0..coverage.models.len());
        coverage
    }

    /// Recomputes the load on servers.
    fn recompute_servers(&mut self, servers: impl IntoIterator<Item = ServerIndex>) {
        for server in servers {
            let copies = &self.copies_by_server[server];
            self.load_by_server[server] =
                copies.iter().map(|copy| self.load_per_copy(copy.model)).sum();
        }
    }

    /// Recomputes the capacity and the missed requests of models.
    fn recompute_models(&mut self, models: impl IntoIterator<Item = ModelIndex>) {
        for model in models {
            let supplies = self.supplies(model);
            let coverage = &mut self.models[model];
            coverage.capacity_now = 0.0;
            coverage.upcoming.clear();
            supplies.into_iter().for_each(|supply| coverage.add(supply));
            coverage.upcoming.sort_by(|left, right| left.ready_in.total_cmp(&right.ready_in));
            coverage.missed = coverage.missed_with_capacity(coverage.capacity_now, None);
        }
    }

    /// The supply of each copy of a model.
    fn supplies(&self, model: ModelIndex) -> Vec<Supply> {
        let supply = |server: &ServerIndex| {
            let copies = self.copies_by_server[*server].iter();
            let capacity = self.capacity(*server, model, None);
            let of_model = copies.filter(move |copy| copy.model == model);
            of_model.map(move |copy| Supply { ready_in: copy.ready_in, capacity })
        };
        self.holders[model].iter().flat_map(supply).collect()
    }

    /// Load on each copy of a model.
    fn load_per_copy(&self, model: ModelIndex) -> f64 {
        let model = &self.models[model];
        model.demand.offered_load / model.copies.max(1) as f64
    }

    /// Share of a server that a model's copy there has or would have beside the other copies,
    /// optionally without one that is evicted.
    pub(super) fn capacity(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        evicted: Option<ModelIndex>,
    ) -> f64 {
        let own = if self.is_on(server, model) { self.load_per_copy(model) } else { 0.0 };
        let freed = evicted.map_or(0.0, |evicted| self.load_per_copy(evicted));
        (1.0 - (self.load_by_server[server] - own - freed)).max(MIN_CAPACITY)
    }

    fn is_on(&self, server: ServerIndex, model: ModelIndex) -> bool {
        self.copies_by_server[server].iter().any(|copy| copy.model == model)
    }

    /// Expected number of additional requests missed if a copy is evicted.
    pub(super) fn eviction_cost(&self, server: ServerIndex, victim: ModelIndex) -> f64 {
        let compute = || {
            let coverage = &self.models[victim];
            let capacity = self.capacity(server, victim, None);
            coverage.missed_without(capacity) - coverage.missed
        };
        *self.eviction_costs.borrow_mut().entry((server, victim)).or_insert_with(compute)
    }

    /// Applies a move: adds a copy and removes the one evicted for it, if any.
    pub(super) fn apply_move(
        &mut self,
        server: ServerIndex,
        added: Copy,
        evicted: Option<ModelIndex>,
    ) {
        if let Some(evicted) = evicted {
            self.copies_by_server[server].retain(|copy| copy.model != evicted);
            self.holders[evicted].retain(|holder| *holder != server);
            let coverage = &mut self.models[evicted];
            coverage.serving = coverage.serving.saturating_sub(1);
            coverage.copies = self.holders[evicted].len();
        }
        self.copies_by_server[server].push(added);
        let holders = &mut self.holders[added.model];
        holders.insert(holders.partition_point(|holder| *holder < server), server);
        self.models[added.model].copies = holders.len();
        self.recompute_affected(server, evicted.into_iter().chain([added.model]).collect());
    }

    /// Recomputes what is affected by a change of these models on a server.
    fn recompute_affected(&mut self, server: ServerIndex, changed: Vec<ModelIndex>) {
        let holders = changed.iter().flat_map(|model| &self.holders[*model]).copied();
        let servers: BTreeSet<ServerIndex> = holders.chain([server]).collect();
        let affected_copies = servers.iter().flat_map(|server| &self.copies_by_server[*server]);
        let models: BTreeSet<ModelIndex> =
            affected_copies.map(|copy| copy.model).chain(changed).collect();
        let is_affected =
            |(server, model): &CopyLocation| servers.contains(server) || models.contains(model);
        self.eviction_costs.borrow_mut().retain(|location, _| !is_affected(location));
        self.recompute_servers(servers);
        self.recompute_models(models);
    }
}
