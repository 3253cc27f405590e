//! Demand over the whole fleet, from the counters of all nodes.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use cometmoor_core::gateway::demand::DemandMeter;
use cometmoor_core::time::Timestamp;

use crate::load::{ModelDemand, ModelKey};
use crate::membership::Heartbeat;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// The process of a node that a counter belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Source {
    node: SocketAddrV4,
    incarnation: u64,
}

/// Demand over the whole fleet, from counters of its nodes.
#[derive(Debug, Default)]
pub struct FleetDemandMeter {
    last: HashMap<(Source, ModelKey), ModelDemand>,
    rates: FleetDemandRates,
    first: Option<Timestamp>,
}

/// What is asked of each model a second, over the whole fleet. Plans are made by a copy
/// of it: the counters, of each node and model, are a hundred times as many.
#[derive(Clone, Debug, Default)]
pub struct FleetDemandRates {
    work: DemandMeter<ModelKey>,
    slots: DemandMeter<ModelKey>,
    requests: DemandMeter<ModelKey>,
}

impl FleetDemandMeter {
    /// Takes a heartbeat's counters.
    pub fn receive(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let source = Source { node: heartbeat.peer_address, incarnation: heartbeat.incarnation };
        if !heartbeat.demand.is_empty() {
            self.first.get_or_insert(now);
        }
        for (key, demand) in &heartbeat.demand {
            let last = self.last.insert((source, *key), *demand).unwrap_or_default();
            let requests = demand.requests.saturating_sub(last.requests);
            let work = demand.prefill_micros.saturating_sub(last.prefill_micros);
            self.rates.requests.record(*key, requests as f64, now);
            self.rates.work.record(*key, work as f64 / MICROS, now);
            let slots = demand.slot_micros.saturating_sub(last.slot_micros);
            self.rates.slots.record(*key, slots as f64 / MICROS, now);
        }
    }

    /// When the first request was counted.
    pub fn first_request(&self) -> Option<Timestamp> {
        self.first
    }

    /// What is asked for a second.
    pub fn rates(&self) -> &FleetDemandRates {
        &self.rates
    }
}

impl FleetDemandRates {
    /// Servers that the work on a model keeps busy.
    pub fn prefill(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.work.rate(key, now)
    }

    /// Slots of servers' batches that a model's requests hold.
    pub fn occupied_slots(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.slots.rate(key, now)
    }

    /// Requests a second.
    pub fn requests_per_second(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.requests.rate(key, now)
    }
}
