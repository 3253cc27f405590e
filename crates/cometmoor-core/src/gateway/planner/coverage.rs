//! How well the copies of each model cover what is asked of it.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};

use super::ModelDemand;
use super::inventory::{Copy, ModelIndex, ServerIndex, Stock};

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
/// Seconds for which a model that nobody holds is missed, on average.
const MISSING_LASTS: f64 = 40.0;
/// Requests a second that a model without any copy counts as missing, besides
/// what is asked of it: it has to stay reachable.
const REACHABLE: f64 = 1.0;

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

/// Part of what asks for a copy that is still there after so many seconds, where
/// it lasts for some time on average.
fn worth_left(seconds: f64, lasts: f64) -> f64 {
    (-seconds / lasts).exp()
}

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
    pub(super) copies: usize,
    /// Copies that serve and stay.
    pub(super) serving: usize,
    /// Requests that are missed while the demand lasts.
    pub(super) missed: f64,
    /// Parts of servers that copies have which are there.
    capacity_now: f64,
    /// Copies that are on their way, the first one first.
    coming: Vec<Supply>,
}

impl ModelCoverage {
    /// Requests that are missed with one more copy.
    pub(super) fn missed_with(&self, supply: Supply) -> f64 {
        self.missed_by(self.capacity_now, Some(supply))
    }

    /// Requests that are missed without a copy of this capacity that is there.
    pub(super) fn missed_without(&self, capacity: f64) -> f64 {
        self.missed_by((self.capacity_now - capacity).max(0.0), None)
    }

    /// Share of the requests that are missed when all copies are there.
    pub(super) fn missed_in_the_end(&self) -> f64 {
        let coming: f64 = self.coming.iter().map(|supply| supply.capacity).sum();
        missed_share(self.demand.offered_load, self.capacity_now + coming)
    }

    fn add(&mut self, supply: Supply) {
        if supply.ready_in > 0.0 {
            self.coming.push(supply);
        } else {
            self.capacity_now += supply.capacity;
        }
    }

    fn missed_by(&self, capacity_now: f64, more: Option<Supply>) -> f64 {
        let split = more.map_or(self.coming.len(), |more| {
            self.coming.partition_point(|supply| supply.ready_in < more.ready_in)
        });
        let (before, after) = self.coming.split_at(split);
        let mut missed = 0.0;
        let (mut capacity, mut since) = (capacity_now, 0.0);
        for supply in before.iter().chain(&more).chain(after) {
            missed += self.missed_between(since, supply.ready_in, capacity);
            since = supply.ready_in;
            capacity += supply.capacity;
        }
        missed + self.missed_between(since, f64::INFINITY, capacity)
    }

    /// Requests that are missed from one time to another one with a capacity.
    fn missed_between(&self, from: f64, until: f64, capacity: f64) -> f64 {
        let span = |lasts: f64| lasts * (worth_left(from, lasts) - worth_left(until, lasts));
        let unreachable = if capacity <= 0.0 { REACHABLE * span(MISSING_LASTS) } else { 0.0 };
        let share = missed_share(self.demand.offered_load, capacity);
        unreachable + self.demand.requests_per_second * share * span(DEMAND_LASTS)
    }
}

/// Models and their copies over all servers. A move changes what it touches: the
/// servers that hold one of its models, and the models on these. Reckoned anew for each
/// of 240 moves over 240 servers, this and the search took 196 ms, which a leader on an
/// eighth of a core takes seconds for.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage {
    /// By the model's place in the profile.
    pub(super) models: Vec<ModelCoverage>,
    on_servers: Vec<Vec<Copy>>,
    /// Servers with a copy of each model, in order.
    holders: Vec<Vec<ServerIndex>>,
    /// Work on each server, in parts of it.
    busy: Vec<f64>,
    /// What is lost where a copy goes, as far as it was asked for since it changed.
    lost: RefCell<HashMap<Place, f64>>,
}

/// A model on a server.
type Place = (ServerIndex, ModelIndex);

impl Coverage {
    /// Of servers as they are.
    pub(super) fn new(demand: Vec<ModelDemand>, stocks: &[Stock]) -> Coverage {
        let new = |demand| ModelCoverage { demand, ..ModelCoverage::default() };
        let mut models: Vec<ModelCoverage> = demand.into_iter().map(new).collect();
        for model in stocks.iter().flat_map(|stock| &stock.serving) {
            models[*model].serving += 1;
        }
        let on_servers: Vec<Vec<Copy>> = stocks.iter().map(|stock| stock.copies.clone()).collect();
        let mut holders = vec![Vec::new(); models.len()];
        for (server, copies) in on_servers.iter().enumerate() {
            for copy in copies {
                models[copy.model].copies += 1;
                holders[copy.model].push(server);
            }
        }
        let busy = vec![0.0; on_servers.len()];
        let lost = RefCell::default();
        let mut coverage = Coverage { models, on_servers, holders, busy, lost };
        coverage.reckon_servers(0..stocks.len());
        coverage.reckon_models(0..coverage.models.len());
        coverage
    }

    /// Reckons the work on servers anew.
    fn reckon_servers(&mut self, servers: impl IntoIterator<Item = ServerIndex>) {
        for server in servers {
            let copies = &self.on_servers[server];
            self.busy[server] = copies.iter().map(|copy| self.work_of(copy.model)).sum();
        }
    }

    /// Reckons anew what copies models have, and what that misses.
    fn reckon_models(&mut self, models: impl IntoIterator<Item = ModelIndex>) {
        for model in models {
            let supplies = self.supplies(model);
            let coverage = &mut self.models[model];
            coverage.capacity_now = 0.0;
            coverage.coming.clear();
            supplies.into_iter().for_each(|supply| coverage.add(supply));
            coverage.coming.sort_by(|left, right| left.ready_in.total_cmp(&right.ready_in));
            coverage.missed = coverage.missed_by(coverage.capacity_now, None);
        }
    }

    /// What the copies of a model give.
    fn supplies(&self, model: ModelIndex) -> Vec<Supply> {
        let supply = |server: &ServerIndex| {
            let copies = self.on_servers[*server].iter();
            let capacity = self.capacity(*server, model, None);
            let of_model = copies.filter(move |copy| copy.model == model);
            of_model.map(move |copy| Supply { ready_in: copy.ready_in, capacity })
        };
        self.holders[model].iter().flat_map(supply).collect()
    }

    /// Work on a model for each of its copies.
    fn work_of(&self, model: ModelIndex) -> f64 {
        let model = &self.models[model];
        model.demand.offered_load / model.copies.max(1) as f64
    }

    /// Part of a server that a model's copy there has, or would have, beside the
    /// others but for one that makes way.
    pub(super) fn capacity(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        without: Option<ModelIndex>,
    ) -> f64 {
        let own = if self.is_on(server, model) { self.work_of(model) } else { 0.0 };
        let goes = without.map_or(0.0, |goes| self.work_of(goes));
        (1.0 - (self.busy[server] - own - goes)).max(LEAST_CAPACITY)
    }

    fn is_on(&self, server: ServerIndex, model: ModelIndex) -> bool {
        self.on_servers[server].iter().any(|copy| copy.model == model)
    }

    /// Requests that are missed while the demand lasts when a copy goes.
    pub(super) fn lost(&self, server: ServerIndex, victim: ModelIndex) -> f64 {
        let reckon = || {
            let coverage = &self.models[victim];
            let capacity = self.capacity(server, victim, None);
            coverage.missed_without(capacity) - coverage.missed
        };
        *self.lost.borrow_mut().entry((server, victim)).or_insert_with(reckon)
    }

    /// Takes a move in: a copy that comes, and one that goes for it.
    pub(super) fn move_copy(&mut self, server: ServerIndex, comes: Copy, goes: Option<ModelIndex>) {
        if let Some(goes) = goes {
            self.on_servers[server].retain(|copy| copy.model != goes);
            self.holders[goes].retain(|holder| *holder != server);
            let gone = &mut self.models[goes];
            gone.serving = gone.serving.saturating_sub(1);
            gone.copies = self.holders[goes].len();
        }
        self.on_servers[server].push(comes);
        let holders = &mut self.holders[comes.model];
        holders.insert(holders.partition_point(|holder| *holder < server), server);
        self.models[comes.model].copies = holders.len();
        self.reckon_around(server, goes.into_iter().chain([comes.model]).collect());
    }

    /// Reckons anew what a change of these models on a server touches.
    fn reckon_around(&mut self, server: ServerIndex, changed: Vec<ModelIndex>) {
        let holders = changed.iter().flat_map(|model| &self.holders[*model]).copied();
        let servers: BTreeSet<ServerIndex> = holders.chain([server]).collect();
        let on_servers = servers.iter().flat_map(|server| &self.on_servers[*server]);
        let models: BTreeSet<ModelIndex> =
            on_servers.map(|copy| copy.model).chain(changed).collect();
        let is_touched =
            |(server, model): &Place| servers.contains(server) || models.contains(model);
        self.lost.borrow_mut().retain(|place, _| !is_touched(place));
        self.reckon_servers(servers);
        self.reckon_models(models);
    }
}
