//! Demand over the whole fleet, measured from the counters in all nodes' heartbeats.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::demand::DemandMeter;
use cometmoor_core::time::Timestamp;

use crate::load::{ModelDemand, ModelKey};
use crate::membership::Heartbeat;

/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The node and process to which a counter belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CounterSource {
    node: SocketAddrV4,
    incarnation: u64,
}

/// Measures the demand over the whole fleet from the counters of its nodes.
#[derive(Debug, Default)]
pub struct FleetDemandMeter {
    last: HashMap<(CounterSource, ModelKey), ModelDemand>,
    rates: FleetDemandRates,
    first_request: Option<Timestamp>,
}

/// Rates of demand for each model, over the whole fleet. The planner works on a copy of them,
/// without the counters, which are kept by node and model and are a hundred times as many.
#[derive(Clone, Debug, Default)]
pub struct FleetDemandRates {
    prefill: DemandMeter<ModelKey>,
    occupied_slots: DemandMeter<ModelKey>,
    requests_per_second: DemandMeter<ModelKey>,
    last_requests: HashMap<ModelKey, Timestamp>,
}

impl FleetDemandMeter {
    /// Adds the increase of a heartbeat's counters since the previous heartbeat to the rates.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let source =
            CounterSource { node: heartbeat.peer_address, incarnation: heartbeat.incarnation };
        if !heartbeat.demand.is_empty() {
            self.first_request.get_or_insert(now);
        }
        for (key, demand) in &heartbeat.demand {
            let last = self.last.insert((source, *key), *demand).unwrap_or_default();
            let requests = demand.requests.saturating_sub(last.requests);
            let prefill = demand.prefill_micros.saturating_sub(last.prefill_micros);
            if requests > 0 {
                self.rates.last_requests.insert(*key, now);
            }
            self.rates.requests_per_second.record(*key, requests as f64, now);
            self.rates.prefill.record(*key, prefill as f64 / MICROS_PER_SECOND, now);
            let slots = demand.slot_micros.saturating_sub(last.slot_micros);
            self.rates.occupied_slots.record(*key, slots as f64 / MICROS_PER_SECOND, now);
        }
    }

    /// When the first request was counted; `None` if there was none.
    pub fn first_request(&self) -> Option<Timestamp> {
        self.first_request
    }

    /// The measured rates.
    pub fn rates(&self) -> &FleetDemandRates {
        &self.rates
    }
}

impl FleetDemandRates {
    /// Number of servers that a model's prompts keep busy.
    pub fn prefill(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.prefill.rate(key, now)
    }

    /// Number of batch slots that a model's requests occupy.
    pub fn occupied_slots(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.occupied_slots.rate(key, now)
    }

    /// Expected time until the running requests for an adapter complete, given the model's mean
    /// time for a request.
    pub fn run_time_left(&self, adapter: ModelKey, model: ModelKey, now: Timestamp) -> Duration {
        let requests_per_second = self.requests_per_second(model, now);
        let Some(last) = self.last_requests.get(&adapter) else { return Duration::ZERO };
        let run_seconds = self.occupied_slots(model, now) / requests_per_second;
        let run_time = Duration::try_from_secs_f64(run_seconds).unwrap_or_default();
        run_time.saturating_sub(now.since(*last))
    }

    /// Requests per second for a model.
    pub fn requests_per_second(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.requests_per_second.rate(key, now)
    }
}
