//! The node that orders the servers: demand as it is told, the product's plan,
//! and the orders that follow from it.

use std::collections::BTreeSet;
use std::time::Duration;

use cometmoor_core::gateway::configuration::{EngineProfile, ModelProfile};
use cometmoor_core::gateway::demand::DemandMeter;
use cometmoor_core::gateway::load_rate::LoadRateLimiter;
use cometmoor_core::gateway::orders::{Action, Weights};
use cometmoor_core::gateway::planner::{
    FleetDemand, MIN_DEMAND_HISTORY, MIN_RESIDENCY, ModelDemand, PlacementStrategy, PlannedOrder,
    PlannedServer, plan,
};
use cometmoor_core::gateway::server_speed::Speed;
use cometmoor_core::time::Timestamp;

use super::arrivals::{Arrival, Micros, SECOND, micros};
use super::engine::{Engine, ModelIndex};
use super::fleet::{EngineIndex, model_name};
use super::policy::Placing;
use super::scenario::Scenario;

/// Window over which loads from the weight store are counted.
pub const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// How far the policy with foresight looks ahead.
const FORESIGHT: Micros = 8 * SECOND;
/// Tokens of answers take longer beside prompts that are read.
const BUSY_STEP_FACTOR: f64 = 1.4;

/// What a node tells of one request.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// The model.
    pub model: ModelIndex,
    /// Time to read its prompt.
    pub reading: Duration,
    /// Time for which it holds a slot.
    pub running: Duration,
}

/// A move that the plan holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Move {
    /// A model comes.
    Load {
        /// The server.
        engine: EngineIndex,
        /// The model.
        model: ModelIndex,
        /// How long the load takes on a calm weight store.
        takes: Duration,
        /// Whether it comes from the weight store.
        from_store: bool,
    },
    /// A model goes.
    Unload {
        /// The server.
        engine: EngineIndex,
        /// The model.
        model: ModelIndex,
        /// The one that takes its place.
        makes_room_for: Option<ModelIndex>,
    },
}

/// The ordering node.
pub struct Leader {
    placing: Placing,
    profile: EngineProfile,
    reading: DemandMeter<ModelIndex>,
    slots: DemandMeter<ModelIndex>,
    requests: DemandMeter<ModelIndex>,
    load_rate: LoadRateLimiter,
    first_demand: Option<Timestamp>,
}

/// The steady clock of the leader: milliseconds from the beginning of the lead.
pub fn timestamp(scenario: &Scenario, now: Micros) -> Timestamp {
    let lead = (scenario.lead_seconds * SECOND as f64) as Micros;
    Timestamp(u64::try_from((now + lead) / 1000).unwrap_or(0))
}

fn profile(scenario: &Scenario) -> EngineProfile {
    let shape = &scenario.engines;
    let model = |index: usize| {
        let group = scenario.model(index);
        ModelProfile {
            name: model_name(index),
            weights_megabytes: group.gigabytes * 1000.0,
            adapters: 0,
            adapter_megabytes: 0.0,
            store_load_time: Duration::from_secs_f64(group.load_seconds),
            disk_load_time: Duration::from_secs_f64(group.disk_seconds),
            memory_load_time: Duration::from_secs_f64(group.memory_seconds),
        }
    };
    EngineProfile {
        models: (0..scenario.model_count()).map(model).collect(),
        weights_megabytes: shape.weights_gigabytes * 1000.0,
        adapter_slots: 0,
        batch_slots: shape.slots as u32,
        cache_tokens: shape.cache_tokens,
        loads_per_second: shape.loads_per_second,
        host_cache_megabytes: shape.host_gigabytes * 1000.0,
        disk_cache_megabytes: shape.disk_gigabytes * 1000.0,
        supports_run_migration: shape.moves_runs,
    }
}

impl Leader {
    /// A leader that has heard nothing.
    pub fn new(scenario: &Scenario, placing: Placing) -> Leader {
        let rate = scenario.engines.loads_per_second;
        Leader {
            placing,
            profile: profile(scenario),
            reading: DemandMeter::default(),
            slots: DemandMeter::default(),
            requests: DemandMeter::default(),
            load_rate: LoadRateLimiter::new(rate, LOAD_WINDOW, Timestamp(0), true),
            first_demand: None,
        }
    }

    /// Takes what a node tells of requests.
    pub fn receive(&mut self, asked: &[Asked], now: Timestamp) {
        for request in asked {
            self.first_demand.get_or_insert(now);
            self.reading.record(request.model, request.reading.as_secs_f64(), now);
            self.slots.record(request.model, request.running.as_secs_f64(), now);
            self.requests.record(request.model, 1.0, now);
        }
    }

    /// The next moves.
    pub fn plan(
        &mut self,
        scenario: &Scenario,
        engines: &[Engine],
        arrivals: &[Arrival],
        now: Micros,
    ) -> Vec<Move> {
        let time = timestamp(scenario, now);
        let demand = match self.placing {
            Placing::Static => return Vec::new(),
            Placing::Reactive => FleetDemand::default(),
            Placing::Product => self.observed(time),
            Placing::Foresight => self.foreseen(scenario, arrivals, now),
        };
        let servers: Vec<PlannedServer> = engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.alive && engine.takes_work)
            .map(|(index, engine)| planned_server(index, engine, now))
            .collect();
        let loads_left = self.load_rate.available(time);
        let orders =
            plan(&self.profile, &servers, &demand, loads_left, PlacementStrategy::SavedRequests);
        orders.iter().filter_map(|order| self.take_order(order, time)).collect()
    }

    fn take_order(&mut self, order: &PlannedOrder, now: Timestamp) -> Option<Move> {
        let engine = order.server.parse().ok()?;
        let model = self.model_index(&order.order.weights.model)?;
        let PlannedOrder { expected_duration: takes, from_store, .. } = *order;
        if from_store {
            self.load_rate.record(now);
        }
        Some(match order.order.action {
            Action::Load => Move::Load { engine, model, takes, from_store },
            Action::Unload => {
                let name = order.makes_room_for.as_deref();
                let makes_room_for = name.and_then(|name| self.model_index(name));
                Move::Unload { engine, model, makes_room_for }
            }
        })
    }

    fn model_index(&self, name: &str) -> Option<ModelIndex> {
        self.profile.models.iter().position(|model| model.name == name)
    }

    fn observed(&self, now: Timestamp) -> FleetDemand {
        let known = self.first_demand.is_some_and(|first| now.since(first) >= MIN_DEMAND_HISTORY);
        let batch = f64::from(self.profile.batch_slots);
        self.demand(known, |model| {
            let slots = self.slots.rate(model, now) / batch;
            ModelDemand::new(self.reading.rate(model, now), slots, self.requests.rate(model, now))
        })
    }

    fn foreseen(&self, scenario: &Scenario, arrivals: &[Arrival], now: Micros) -> FleetDemand {
        let shape = &scenario.engines;
        let mut reading = vec![0.0; self.profile.models.len()];
        let (mut slots, mut requests) = (reading.clone(), reading.clone());
        let begin = arrivals.partition_point(|arrival| arrival.at < now);
        let coming = arrivals[begin..].iter().take_while(|arrival| arrival.at < now + FORESIGHT);
        for arrival in coming {
            let pace = scenario.model(arrival.model).pace / 1000.0;
            let step = shape.step_millis * BUSY_STEP_FACTOR;
            reading[arrival.model] +=
                arrival.prompt_tokens as f64 / shape.prompt_tokens_per_milli * pace;
            slots[arrival.model] += arrival.output_tokens as f64 * step * pace;
            requests[arrival.model] += 1.0;
        }
        let span = FORESIGHT as f64 / SECOND as f64;
        let batch = shape.slots as f64;
        self.demand(true, |model| {
            let (reading, slots) = (reading[model] / span, slots[model] / span / batch);
            ModelDemand::new(reading, slots, requests[model] / span)
        })
    }

    fn demand(&self, is_known: bool, of: impl Fn(ModelIndex) -> ModelDemand) -> FleetDemand {
        let named = |model: ModelIndex| (model_name(model), of(model));
        let models = (0..self.profile.models.len()).map(named).collect();
        FleetDemand { has_enough_history: is_known, models, ..FleetDemand::default() }
    }
}

/// Models that the server got lately.
fn fresh_models(engine: &Engine, now: Micros) -> BTreeSet<String> {
    let fresh = engine.loaded.iter().filter(|(_, loaded)| now - **loaded < micros(MIN_RESIDENCY));
    fresh.map(|(model, _)| model_name(*model)).collect()
}

fn planned_server(index: EngineIndex, engine: &Engine, now: Micros) -> PlannedServer {
    let weights = |model: ModelIndex| Weights::model(&model_name(model));
    let held: BTreeSet<Weights> = engine.resident.iter().map(|model| weights(*model)).collect();
    let loading = engine.loading.map(|loading| loading.model);
    let left = engine.loading.map_or(0, |loading| (loading.ready - now).max(0));
    PlannedServer {
        id: index.to_string().into(),
        is_idle: engine.leaving.is_none() && engine.loading.is_none(),
        reserved: held.iter().cloned().chain(loading.map(weights)).collect(),
        held,
        in_host_memory: engine.in_host_memory.iter().map(|model| model_name(*model)).collect(),
        on_disk: engine.on_disk.iter().map(|model| model_name(*model)).collect(),
        recently_loaded: fresh_models(engine, now),
        load_time_left: Duration::from_micros(left as u64),
        unloading: engine.leaving.map(weights),
        pending_load: engine.promised.map(model_name),
        speed: Speed::MEAN,
        ..PlannedServer::default()
    }
}
