//! Moves of models that balance the utilization of the servers.
//!
//! A model lacks capacity if the servers that hold it are used too much. The planner adds replicas
//! of the models that lack capacity, of the one with the most affected requests first, on servers
//! that are used less. The strategy keeps no state between two plans.

mod long_prompts;
mod target;
mod utilization;

use self::target::Target;
use self::utilization::FleetUtilization;
use super::Planner;
use super::inventory::{ModelIndex, ServerIndex};
use super::{ModelDemand, MoveReason};

/// Pressure above which a model lacks capacity: requests queue behind one another for longer than
/// they take.
const MAX_PRESSURE: f64 = 0.5;
/// Requests per second x pressure beyond [`MAX_PRESSURE`] below which a replica is not worth its
/// load.
const MIN_GAIN: f64 = 0.5;
/// Pressure beyond [`MAX_PRESSURE`] that counts for a model without a replica.
const UNREACHABLE_EXCESS: f64 = 8.0;
/// Requests per second that count for a model without a replica besides its demand: every model
/// must stay reachable.
const UNREACHABLE_REQUESTS: f64 = 0.5;

/// State of the strategy during one plan.
struct Balancer<'p, 'a> {
    planner: &'p mut Planner<'a>,
    fleet: FleetUtilization,
    /// Demand by model.
    demand: Vec<ModelDemand>,
    /// Replicas by model that serve requests and are not being unloaded.
    serving: Vec<usize>,
}

/// Adds the moves that relieve the models whose servers are used the most. Returns the highest
/// pressure of a model in demand, by the offered loads.
pub(super) fn plan_balanced(planner: &mut Planner<'_>) -> f64 {
    let mut balancer = Balancer::new(planner);
    let highest_pressure = balancer.highest_pressure();
    balancer.relieve_models();
    if balancer.planner.demand.has_enough_history {
        balancer.place_long_prompts();
    }
    highest_pressure
}

impl<'p, 'a> Balancer<'p, 'a> {
    fn new(planner: &'p mut Planner<'a>) -> Balancer<'p, 'a> {
        let demand: Vec<ModelDemand> =
            planner.coverage.models.iter().map(|model| model.demand).collect();
        let speeds: Vec<f64> =
            planner.servers.iter().map(|server| server.speed.relative()).collect();
        let loads: Vec<f64> = demand.iter().map(|demand| demand.offered_load).collect();
        let mut fleet = FleetUtilization::new(&speeds, &loads);
        for (server, inventory) in planner.inventories.iter().enumerate() {
            inventory.copies.iter().for_each(|copy| fleet.add(copy.model, server));
        }
        let serving = planner.coverage.models.iter().map(|model| model.serving).collect();
        Balancer { planner, fleet, demand, serving }
    }

    /// Highest pressure of a model that is in demand and has a replica, by the offered loads.
    fn highest_pressure(&self) -> f64 {
        let in_demand = (0..self.demand.len()).filter(|model| {
            self.demand[*model].requests_per_second > 0.0 && !self.fleet.holders(*model).is_empty()
        });
        in_demand.map(|model| self.unscaled_pressure(model)).fold(0.0, f64::max)
    }

    fn unscaled_pressure(&self, model: ModelIndex) -> f64 {
        self.fleet.pressure(model) / self.fleet.scale()
    }

    /// Adds replicas of the models that lack capacity, as long as there are targets for them.
    fn relieve_models(&mut self) {
        let mut without_target = vec![false; self.demand.len()];
        while let Some(model) = self.neediest_model(&without_target) {
            match self.best_target(model) {
                Some(target) => {
                    let reason = self.reason(model);
                    self.apply(model, &target, reason);
                }
                None => without_target[model] = true,
            }
        }
    }

    /// The model with the highest priority that lacks capacity and may have a target.
    fn neediest_model(&self, without_target: &[bool]) -> Option<ModelIndex> {
        let candidates = (0..self.demand.len()).filter(|model| !without_target[*model]);
        let lacking = candidates.filter_map(|model| Some((self.priority(model)?, model)));
        let neediest =
            lacking.max_by(|left, right| left.0.total_cmp(&right.0).then(right.1.cmp(&left.1)));
        neediest.map(|(_, model)| model)
    }

    /// Priority of a model that lacks capacity: requests per second x excess pressure.
    fn priority(&self, model: ModelIndex) -> Option<f64> {
        let requests = self.demand[model].requests_per_second;
        if self.fleet.holders(model).is_empty() {
            return Some((requests + UNREACHABLE_REQUESTS) * UNREACHABLE_EXCESS);
        }
        let gain = requests * (self.fleet.pressure(model) - MAX_PRESSURE);
        (self.planner.demand.has_enough_history && gain >= MIN_GAIN).then_some(gain)
    }

    fn reason(&self, model: ModelIndex) -> MoveReason {
        if self.fleet.holders(model).is_empty() {
            return MoveReason::NoReplica;
        }
        MoveReason::Utilization { percent: (self.unscaled_pressure(model) * 100.0) as u32 }
    }

    /// Adds the order for a move and updates the utilization by it.
    fn apply(&mut self, model: ModelIndex, target: &Target, reason: MoveReason) {
        let Target { server, victim, .. } = *target;
        if let Some(victim) = victim {
            self.fleet.remove(victim, server);
            self.serving[victim] = self.serving[victim].saturating_sub(1);
        }
        self.fleet.add(model, server);
        self.planner.record_copies(model, victim);
        self.planner.order_move(server, model, victim, reason);
    }
}

impl Planner<'_> {
    /// Updates the number of copies, by which adapters are planned.
    fn record_copies(&mut self, added: ModelIndex, evicted: Option<ModelIndex>) {
        self.coverage.models[added].copies += 1;
        if let Some(evicted) = evicted {
            let copies = &mut self.coverage.models[evicted].copies;
            *copies = copies.saturating_sub(1);
        }
    }

    /// Adds the order for a move: the load, or else the unload that makes room for it.
    fn order_move(
        &mut self,
        server: ServerIndex,
        model: ModelIndex,
        victim: Option<ModelIndex>,
        reason: MoveReason,
    ) {
        match victim {
            None => self.load_model(server, model),
            Some(victim) => self.unload_model(server, victim, model),
        }
        if let Some(order) = self.plan.last_mut() {
            order.reason = Some(reason);
        }
    }
}
