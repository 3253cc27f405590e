//! How well the copies of each model cover what is asked of it.

use std::collections::HashMap;

use super::super::configuration::EngineProfile;
use super::super::orders::Weights;
use super::{FleetDemand, ModelDemand, PlannedServer, UNLOAD_SECONDS};

/// Share of a copy's time beyond which what is asked for cannot be answered in
/// time: prompts wait for one another.
const USABLE_SHARE: f64 = 0.6;
/// Share of the requests that come too late when copies are busy for that
/// share of their time.
const MISSED_WHEN_BUSY: f64 = 0.08;
/// Least part of a server that a copy gets beside other models.
const LEAST_CAPACITY: f64 = 0.2;
/// Seconds for which demand lasts, on average: after a time `t` it is still
/// there with the probability `exp(-t / DEMAND_LASTS)`.
const DEMAND_LASTS: f64 = 10.0;

/// Share of a model's requests that are not answered in time when its copies,
/// in whole servers, have to do so much work.
fn missed_share(work: f64, capacity: f64) -> f64 {
    if capacity <= 0.0 {
        return 1.0;
    }
    let busy = work / capacity;
    if busy <= USABLE_SHARE {
        MISSED_WHEN_BUSY * (busy / USABLE_SHARE).powi(2)
    } else {
        1.0 - (1.0 - MISSED_WHEN_BUSY) * USABLE_SHARE / busy
    }
}

/// Seconds for which a model that nobody holds is missed, on average.
const MISSING_LASTS: f64 = 40.0;
/// Requests a second that a model without any copy counts as missing, besides
/// what is asked of it: it has to stay reachable.
const REACHABLE: f64 = 1.0;

/// A copy that answers from some time on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Supply {
    /// Seconds until it is there.
    pub(super) ready_in: f64,
    /// Part of a server that it has.
    pub(super) capacity: f64,
}

/// A model and its copies.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelCoverage {
    /// What is asked of it.
    pub(super) demand: ModelDemand,
    /// Copies that are there or coming.
    pub(super) copies: Vec<Supply>,
    /// Copies that serve and stay.
    pub(super) serving: usize,
}

impl ModelCoverage {
    /// Requests that are missed while the demand lasts.
    pub(super) fn missed(&self) -> f64 {
        self.missed_by(&mut self.copies.clone())
    }

    /// Requests that are missed with one more copy.
    pub(super) fn missed_with(&self, supply: Supply) -> f64 {
        let mut copies = self.copies.clone();
        copies.push(supply);
        self.missed_by(&mut copies)
    }

    /// Requests that are missed without a copy of this capacity that is there.
    pub(super) fn missed_without(&self, capacity: f64) -> f64 {
        let mut copies = self.copies.clone();
        let gone = Supply { ready_in: 0.0, capacity };
        if let Some(place) = copies.iter().position(|copy| *copy == gone) {
            copies.swap_remove(place);
        }
        self.missed_by(&mut copies)
    }

    /// Share of the requests that are missed when all copies are there.
    pub(super) fn missed_in_the_end(&self) -> f64 {
        missed_share(self.demand.work, self.copies.iter().map(|copy| copy.capacity).sum())
    }

    fn missed_by(&self, copies: &mut [Supply]) -> f64 {
        copies.sort_by(|left, right| left.ready_in.total_cmp(&right.ready_in));
        let first = copies.first().map_or(f64::INFINITY, |copy| copy.ready_in);
        let unreachable = REACHABLE * MISSING_LASTS * (1.0 - worth_left(first, MISSING_LASTS));
        let (mut missed, mut capacity, mut since) = (unreachable, 0.0, 0.0);
        for copy in copies.iter() {
            missed += self.missed_between(since, copy.ready_in, capacity);
            since = copy.ready_in;
            capacity += copy.capacity;
        }
        missed + self.missed_between(since, f64::INFINITY, capacity)
    }

    /// Requests that are missed from one time to another one with a capacity.
    fn missed_between(&self, from: f64, until: f64, capacity: f64) -> f64 {
        let lasts = worth_left(from, DEMAND_LASTS) - worth_left(until, DEMAND_LASTS);
        let a_second = self.demand.requests * missed_share(self.demand.work, capacity);
        a_second * DEMAND_LASTS * lasts
    }
}

/// Part of what asks for a copy that is still there after so many seconds, where
/// it lasts for some time on average.
fn worth_left(seconds: f64, lasts: f64) -> f64 {
    (-seconds / lasts).exp()
}

/// A copy of a model on a server.
#[derive(Clone, Copy, Debug)]
struct Copy {
    model: usize,
    /// Seconds until it is there.
    ready_in: f64,
}

/// Models and their copies over all servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage {
    /// By the model's place in the profile.
    pub(super) models: Vec<ModelCoverage>,
    /// Copies on each server that are there or coming.
    on_servers: Vec<Vec<Copy>>,
    /// Copies of each model that are there or coming.
    counts: Vec<usize>,
}

impl Coverage {
    /// Of servers as they are.
    pub(super) fn new(
        profile: &EngineProfile,
        servers: &[PlannedServer],
        demand: &FleetDemand,
    ) -> Coverage {
        let numbers: HashMap<&str, usize> = profile
            .models
            .iter()
            .enumerate()
            .map(|(number, model)| (&*model.name, number))
            .collect();
        let mut models = vec![ModelCoverage::default(); profile.models.len()];
        for (coverage, model) in models.iter_mut().zip(&profile.models) {
            coverage.demand = demand.models.get(&model.name).copied().unwrap_or_default();
        }
        for weights in servers.iter().flat_map(PlannedServer::serving) {
            if let Some(number) = numbers.get(&*weights.model) {
                models[*number].serving += 1;
            }
        }
        let on_servers = servers.iter().map(|server| copies(profile, server, &numbers)).collect();
        let mut coverage = Coverage { models, on_servers, counts: Vec::new() };
        coverage.reckon();
        coverage
    }

    /// Counts copies and their capacities anew.
    fn reckon(&mut self) {
        let mut counts = vec![0; self.models.len()];
        for copy in self.on_servers.iter().flatten() {
            counts[copy.model] += 1;
        }
        self.counts = counts;
        for model in &mut self.models {
            model.copies.clear();
        }
        for server in 0..self.on_servers.len() {
            for place in 0..self.on_servers[server].len() {
                let Copy { model, ready_in } = self.on_servers[server][place];
                let capacity = self.capacity(server, model, None);
                self.models[model].copies.push(Supply { ready_in, capacity });
            }
        }
    }

    /// Part of a server that a model's copy there has, or would have, beside the
    /// others but for one that makes way.
    pub(super) fn capacity(&self, server: usize, model: usize, without: Option<usize>) -> f64 {
        let others = self.on_servers[server]
            .iter()
            .filter(|copy| copy.model != model && Some(copy.model) != without);
        let busy: f64 = others.map(|copy| self.work_per_copy(copy.model)).sum();
        (1.0 - busy).max(LEAST_CAPACITY)
    }

    fn work_per_copy(&self, number: usize) -> f64 {
        let model = &self.models[number];
        model.demand.work / self.counts[number].max(1) as f64
    }

    /// Takes a move in: a copy that comes after some seconds, and one that goes
    /// for it.
    pub(super) fn move_copy(
        &mut self,
        server: usize,
        model: usize,
        ready_in: f64,
        goes: Option<usize>,
    ) {
        if let Some(goes) = goes {
            self.on_servers[server].retain(|copy| copy.model != goes);
            let serving = &mut self.models[goes].serving;
            *serving = serving.saturating_sub(1);
        }
        self.on_servers[server].push(Copy { model, ready_in });
        self.reckon();
    }

    /// Whether a model is on a server, or comes to it.
    pub(super) fn is_on(&self, server: usize, model: usize) -> bool {
        self.on_servers[server].iter().any(|copy| copy.model == model)
    }
}

/// Copies on a server, with those that are coming and the one for which room is
/// being made.
fn copies(
    profile: &EngineProfile,
    server: &PlannedServer,
    numbers: &HashMap<&str, usize>,
) -> Vec<Copy> {
    let mut copies = Vec::new();
    for weights in server.reserved.iter().filter(|weights| weights.adapter.is_none()) {
        let Some(model) = numbers.get(&*weights.model).copied() else { continue };
        if server.will_hold(weights) {
            let there = server.serves(weights);
            let ready_in = if there { 0.0 } else { server.loading_left.as_secs_f64() };
            copies.push(Copy { model, ready_in });
        }
    }
    let promised = server.promised.as_deref().filter(|_| !server.idle);
    let promised = promised.filter(|name| !server.reserved.contains(&Weights::model(name)));
    if let Some(model) = promised.and_then(|name| numbers.get(name).copied()) {
        let load = server.load_time(&profile.models[model]).as_secs_f64();
        copies.push(Copy { model, ready_in: UNLOAD_SECONDS + load });
    }
    copies
}
