//! Replicas on fast servers for models with long prompts.
//!
//! A prompt delays the events of all streams on its server. Where the slowest holder of a model
//! delays them by too much, a fast server should hold the model too.

use super::super::MoveReason;
use super::super::inventory::{ModelIndex, ServerIndex};
use super::Balancer;
use super::target::{MAX_VICTIM_PRESSURE, MoveLimits};

/// Share of the event interval limit that the prefill of a request may take on the slowest holder.
const MAX_PREFILL_SHARE: f64 = 0.2;
/// Requests per second from which a model is worth a replica on a fast server.
const MIN_REQUESTS_PER_SECOND: f64 = 1.0;
/// Part of these limits down to which a model keeps its replica on a fast server. Models near the
/// limits would otherwise evict one another's replicas in turn: a measured rate of one request per
/// second varies by nearly a half.
const KEEP_FACTOR: f64 = 0.1;
/// Speed from which a server is fast, relative to the mean.
const FAST_SPEED: f64 = 1.4;
/// Utilization below which a fast server takes a further model for its long prompts.
const MAX_FAST_UTILIZATION: f64 = 0.5;

impl Balancer<'_, '_> {
    /// Adds replicas on fast servers for the models with long prompts that have none there, of
    /// those in the highest demand first.
    pub(super) fn place_long_prompts(&mut self) {
        let needs = |model: &ModelIndex| {
            self.has_long_prompts(*model, 1.0) && self.fast_holders(*model).next().is_none()
        };
        let mut models: Vec<ModelIndex> = (0..self.demand.len()).filter(needs).collect();
        let requests = |model: &ModelIndex| self.demand[*model].requests_per_second;
        models.sort_by(|left, right| requests(right).total_cmp(&requests(left)));
        let limits = MoveLimits {
            utilization: MAX_FAST_UTILIZATION,
            victim_pressure: MAX_VICTIM_PRESSURE,
            present_victim_pressure: f64::INFINITY,
        };
        for model in models {
            let is_eligible = |server: ServerIndex| {
                self.is_fast(server) && self.fleet.utilization(server) < MAX_FAST_UTILIZATION
            };
            if let Some(target) = self.best_target_among(model, &limits, is_eligible) {
                self.apply(model, &target, MoveReason::LongPrompts);
            }
        }
    }

    /// Whether a replica is the only one of a model with long prompts on a fast server.
    pub(super) fn is_needed_fast(&self, model: ModelIndex, server: ServerIndex) -> bool {
        self.is_fast(server)
            && self.has_long_prompts(model, KEEP_FACTOR)
            && self.fast_holders(model).all(|holder| holder == server)
    }

    fn is_fast(&self, server: ServerIndex) -> bool {
        self.fleet.speed(server) >= FAST_SPEED
    }

    fn fast_holders(&self, model: ModelIndex) -> impl Iterator<Item = ServerIndex> {
        let holders = self.fleet.holders(model).iter().copied();
        holders.filter(|holder| self.is_fast(*holder))
    }

    /// Whether the prefill of a request takes too long on the slowest holder of a model, by a
    /// multiple of the limits.
    fn has_long_prompts(&self, model: ModelIndex, factor: f64) -> bool {
        let Some(limit) = self.planner.demand.event_interval_limit else { return false };
        let demand = &self.demand[model];
        let max_prefill = factor * MAX_PREFILL_SHARE * limit.as_secs_f64();
        let speeds = self.fleet.holders(model).iter().map(|holder| self.fleet.speed(*holder));
        let slowest = speeds.fold(f64::INFINITY, f64::min);
        slowest.is_finite()
            && demand.requests_per_second >= factor * MIN_REQUESTS_PER_SECOND
            && demand.mean_prefill_seconds / slowest > max_prefill
    }
}
