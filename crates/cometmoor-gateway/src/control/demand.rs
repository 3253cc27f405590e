//! Demand over the whole fleet, from the counters of all nodes.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::demand::DemandMeter;
use cometmoor_core::time::Timestamp;

use crate::load::{ModelDemand, ModelKey};
use crate::membership::Heartbeat;

/// Microseconds in a second.
const MICROS: f64 = 1e6;
/// Span of the slow average of requests: what it holds has stood for about
/// this long, so that the part of today's rate that it covers is demand that
/// has lasted, and the rest is a surge of the last seconds.
const STANDING_SPAN: Duration = Duration::from_secs(20);

/// The process of a node that a counter belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Source {
    node: SocketAddrV4,
    incarnation: u64,
}

/// Demand over the whole fleet.
#[derive(Clone, Debug)]
pub struct FleetDemandMeter {
    last: HashMap<(Source, ModelKey), ModelDemand>,
    work: DemandMeter<ModelKey>,
    requests: DemandMeter<ModelKey>,
    standing_requests: DemandMeter<ModelKey>,
    first: Option<Timestamp>,
}

impl Default for FleetDemandMeter {
    fn default() -> FleetDemandMeter {
        FleetDemandMeter {
            last: HashMap::new(),
            work: DemandMeter::default(),
            requests: DemandMeter::default(),
            standing_requests: DemandMeter::with_span(STANDING_SPAN),
            first: None,
        }
    }
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
            let work = demand.work_micros.saturating_sub(last.work_micros);
            self.requests.record(*key, requests as f64, now);
            self.standing_requests.record(*key, requests as f64, now);
            self.work.record(*key, work as f64 / MICROS, now);
        }
    }

    /// When the first request was counted.
    pub fn first(&self) -> Option<Timestamp> {
        self.first
    }

    /// Servers that the work on a model keeps busy.
    pub fn work(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.work.rate(key, now)
    }

    /// Requests a second.
    pub fn requests(&self, key: ModelKey, now: Timestamp) -> f64 {
        self.requests.rate(key, now)
    }

    /// Share of today's requests that the slow average covers: near 1 for
    /// demand that has stood for long, near 0 for a surge of the last seconds.
    pub fn standing_share(&self, key: ModelKey, now: Timestamp) -> f64 {
        let requests = self.requests.rate(key, now);
        if requests <= 0.0 {
            return 1.0;
        }
        (self.standing_requests.rate(key, now) / requests).clamp(0.0, 1.0)
    }
}
