//! Choice of the server that gets a replica, and of the replica evicted for it.

use super::super::Planner;
use super::super::UNLOAD_SECONDS;
use super::super::inventory::{ModelIndex, ServerIndex};
use super::{Balancer, MAX_PRESSURE};

/// Maximum utilization of a target by other models, relative to the pressure of the model. A
/// further holder lowers the pressure by the difference of the two / the number of holders. The
/// utilization after the move is no measure of this: of a model with more than four holders, each
/// further one gets more than 0.8 of the share of the present ones.
const MAX_RELATIVE_UTILIZATION: f64 = 0.5;
/// Mean lifetime of demand in seconds. The time until a replica is ready counts relative to it.
const DEMAND_LIFETIME_SECONDS: f64 = 10.0;
/// Pressure that a victim's model may always have without the evicted replica.
pub(super) const MAX_VICTIM_PRESSURE: f64 = 0.35;
/// Maximum pressure of a victim's model relative to that of the model that needs the room. It is
/// far enough below 1 that the two do not evict each other's replicas in turn.
const MAX_RELATIVE_VICTIM_PRESSURE: f64 = 0.5;
/// Requests per second x pressure below which a model has too little demand for more than one
/// replica, whatever else its servers do.
const NEGLIGIBLE_DEMAND: f64 = 0.25;
/// Cost of a target by each model of which it holds the only replica, if it gets another such
/// replica, and of a victim by those beside which it leaves one. Such replicas are spread, as a
/// server that holds nothing else can take no other model.
const ONLY_REPLICA_COST: f64 = 0.2;
/// Cost of a victim that frees too little memory by itself.
const PARTIAL_ROOM_COST: f64 = 0.5;
/// Advantage of a server whose memory was freed for the model.
const PENDING_LOAD_GAIN: f64 = 0.5;

/// What a move of a model may disturb.
#[derive(Clone, Copy, Debug)]
pub(super) struct MoveLimits {
    /// Maximum utilization of the target by other models.
    pub(super) utilization: f64,
    /// Pressure below which the victim's model must stay without the evicted replica.
    pub(super) victim_pressure: f64,
    /// Pressure below which the victim's model must be before the move.
    pub(super) present_victim_pressure: f64,
}

impl MoveLimits {
    /// Any target, and the replica of a model that is not overloaded without it.
    const SPARING: MoveLimits = MoveLimits {
        utilization: f64::INFINITY,
        victim_pressure: MAX_PRESSURE,
        present_victim_pressure: f64::INFINITY,
    };
    /// No limits.
    const NONE: MoveLimits = MoveLimits { victim_pressure: f64::INFINITY, ..MoveLimits::SPARING };

    /// The limits for a model that lacks capacity, by its pressure.
    fn of_pressure(pressure: f64) -> MoveLimits {
        MoveLimits {
            utilization: MAX_RELATIVE_UTILIZATION * pressure,
            victim_pressure: MAX_VICTIM_PRESSURE.max(MAX_RELATIVE_VICTIM_PRESSURE * pressure),
            present_victim_pressure: pressure,
        }
    }
}

/// A server that can take a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Target {
    pub(super) server: ServerIndex,
    /// Model evicted to make room.
    pub(super) victim: Option<ModelIndex>,
    /// Cost by which targets are compared, in units of utilization.
    cost: f64,
}

/// A replica that may be evicted.
#[derive(Clone, Copy, Debug)]
struct Victim {
    model: ModelIndex,
    /// Pressure of its model without it; 0 for a model without demand worth a replica.
    pressure: f64,
    /// Whether it frees enough memory by itself.
    is_sufficient: bool,
}

impl Balancer<'_, '_> {
    /// The best server for a further replica of a model.
    pub(super) fn best_target(&self, model: ModelIndex) -> Option<Target> {
        if self.fleet.holders(model).is_empty() {
            return self.best_target_of_missing(model);
        }
        let limits = MoveLimits::of_pressure(self.fleet.pressure(model));
        self.best_target_among(model, &limits, |_| true)
    }

    /// The best server for the first replica of a model. A replica of an overloaded model is evicted
    /// for it only if no room can be expected, since the requests for the model may be few.
    fn best_target_of_missing(&self, model: ModelIndex) -> Option<Target> {
        let target = self.best_target_among(model, &MoveLimits::SPARING, |_| true);
        if target.is_some() || self.expects_room(model) {
            return target;
        }
        self.best_target_among(model, &MoveLimits::NONE, |_| true)
    }

    /// Whether a server with room for a model is busy with a load that completes in time. A server
    /// whose order takes longer than expected does not count, as it may have failed.
    fn expects_room(&self, model: ModelIndex) -> bool {
        let Planner { profile, servers, inventories, adapter_reserve, .. } = &*self.planner;
        let megabytes = |model: &ModelIndex| profile.models[*model].weights_megabytes;
        let needed = megabytes(&model) + adapter_reserve;
        let has_room_after_order = |server: ServerIndex| {
            let used: f64 = self.fleet.models_on(server).iter().map(megabytes).sum();
            used + needed <= profile.weights_megabytes
        };
        let is_loading = |server: ServerIndex| {
            let is_ordered_now = servers[server].is_idle && !inventories[server].is_idle;
            is_ordered_now || !servers[server].load_time_left.is_zero()
        };
        (0..servers.len()).any(|server| is_loading(server) && has_room_after_order(server))
    }

    /// The best server for a further replica of a model within the limits, of the servers for which
    /// `is_eligible` holds.
    pub(super) fn best_target_among(
        &self,
        model: ModelIndex,
        limits: &MoveLimits,
        is_eligible: impl Fn(ServerIndex) -> bool,
    ) -> Option<Target> {
        let mut best: Option<Target> = None;
        for server in (0..self.planner.inventories.len()).filter(|server| is_eligible(*server)) {
            let target = self.target(server, model, limits);
            if let Some(target) = target
                && best.is_none_or(|best| target.cost < best.cost)
            {
                best = Some(target);
            }
        }
        best
    }

    /// The move of a model to a server if the server can take it now.
    fn target(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        limits: &MoveLimits,
    ) -> Option<Target> {
        let inventory = &self.planner.inventories[server];
        let is_reserved = inventory.reserved.contains(&model);
        if !inventory.is_idle || is_reserved || self.planner.exceeds_load_budget(server, model) {
            return None;
        }
        if self.planner.has_room(server, model) {
            return self.new_target(server, model, limits, None);
        }
        let victims =
            inventory.serving.iter().filter_map(|held| self.victim(server, *held, model, limits));
        let targets =
            victims.filter_map(|victim| self.new_target(server, model, limits, Some(victim)));
        targets.min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    /// The replica of `held` on a server if it may be evicted for `model`.
    fn victim(
        &self,
        server: ServerIndex,
        held: ModelIndex,
        model: ModelIndex,
        limits: &MoveLimits,
    ) -> Option<Victim> {
        let was_recently_loaded = self.planner.inventories[server].recently_loaded.contains(&held);
        if was_recently_loaded || self.serving[held] <= 1 || self.is_needed_fast(held, server) {
            return None;
        }
        let is_sufficient = self.planner.has_room_without(server, held, model);
        if !is_sufficient && !self.fleet.holders(model).is_empty() {
            return None;
        }
        let without = self.serving_pressure_without(held, server);
        let is_in_demand = self.demand[held].requests_per_second * without >= NEGLIGIBLE_DEMAND;
        let victim_pressure = if is_in_demand { without } else { 0.0 };
        let is_less_loaded =
            !is_in_demand || self.fleet.pressure(held) < limits.present_victim_pressure;
        let may_be_evicted = victim_pressure < limits.victim_pressure && is_less_loaded;
        may_be_evicted.then_some(Victim { model: held, pressure: victim_pressure, is_sufficient })
    }

    /// Pressure of a model without its replica on a server while only its serving replicas answer
    /// requests.
    fn serving_pressure_without(&self, model: ModelIndex, server: ServerIndex) -> f64 {
        let holders = self.fleet.holders(model).len() as f64;
        let serving = self.serving[model] as f64;
        let waiting_factor = ((holders - 1.0) / (serving - 1.0)).max(1.0);
        self.fleet.pressure_without(model, server) * waiting_factor
    }

    fn new_target(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        limits: &MoveLimits,
        victim: Option<Victim>,
    ) -> Option<Target> {
        let freed = victim.map_or(0.0, |victim| self.fleet.share(victim.model));
        let by_others = self.fleet.utilization(server) - freed;
        if by_others > limits.utilization {
            return None;
        }
        let utilization_after = by_others + self.fleet.share_with(model, server);
        let inventory = &self.planner.inventories[server];
        let unload = if victim.is_some() { UNLOAD_SECONDS } else { 0.0 };
        let ready_in = inventory.load_seconds(self.planner.profile, model) + unload;
        let mut cost = utilization_after + ready_in / DEMAND_LIFETIME_SECONDS;
        if let Some(victim) = victim {
            // The other replicas of the victim's model take its requests.
            cost += freed + victim.pressure;
            cost += if victim.is_sufficient { 0.0 } else { PARTIAL_ROOM_COST };
            cost += ONLY_REPLICA_COST * self.only_replicas_beside(victim.model, server) as f64;
        }
        if self.fleet.holders(model).is_empty() {
            cost += ONLY_REPLICA_COST * self.only_replicas_on(server) as f64;
        }
        if inventory.pending_load == Some(model) {
            cost -= PENDING_LOAD_GAIN;
        }
        Some(Target { server, victim: victim.map(|victim| victim.model), cost })
    }

    /// Number of models of which a server holds the only replica, if the only replica of a victim's
    /// model would join them there.
    fn only_replicas_beside(&self, victim: ModelIndex, server: ServerIndex) -> usize {
        let holders = self.fleet.holders(victim);
        let remaining = holders.iter().find(|holder| **holder != server);
        remaining.filter(|_| holders.len() == 2).map_or(0, |server| self.only_replicas_on(*server))
    }

    /// Number of models of which a server holds the only replica.
    fn only_replicas_on(&self, server: ServerIndex) -> usize {
        let is_only = |model: &&ModelIndex| self.fleet.holders(**model).len() == 1;
        self.fleet.models_on(server).iter().filter(is_only).count()
    }
}
