//! A policy to compare with: each node has an equal share of a limit, by the number of nodes that
//! it has seen recently.
//!
//! It needs no messages. As drawbacks, a share below one request is used late, and the first tokens
//! of many nodes add up.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use cometmoor_core::gateway::quota::bucket::TokenBucket;
use cometmoor_core::gateway::quota::fleet_view::FleetView;
use cometmoor_core::gateway::quota::{Decision, Effects, QuotaKey, QuotaPolicy, VersionedLimit};
use cometmoor_core::time::BootInstant;

/// The policy at one node, with a token bucket for each limit.
pub struct EqualSharesPolicy {
    fleet: FleetView,
    buckets: HashMap<QuotaKey, TokenBucket>,
}

impl EqualSharesPolicy {
    /// The policy at a node that has just started and knows no other node.
    pub fn new(own: SocketAddrV4, now: BootInstant) -> EqualSharesPolicy {
        EqualSharesPolicy { fleet: FleetView::new(own, Vec::new(), now), buckets: HashMap::new() }
    }
}

impl QuotaPolicy for EqualSharesPolicy {
    type Message = ();

    fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        _: &mut Effects<()>,
    ) -> Decision {
        let rate = limit.limit.per_second / self.fleet.sharing_count(now) as f64;
        // A bucket holds at least one request, or it could never be used. It starts empty, so that
        // the first requests of all nodes do not add up.
        let capacity = (limit.limit.burst / self.fleet.sharing_count(now) as f64).max(1.0);
        let bucket =
            self.buckets.entry(key).or_insert_with(|| TokenBucket::new(0.0, capacity, rate, now));
        bucket.reconfigure(capacity, rate, now);
        if bucket.covers(cost, now) {
            bucket.spend(cost);
            return Decision::Granted;
        }
        Decision::Refused(bucket.time_until_available(cost, now))
    }

    fn refund(&mut self, key: QuotaKey, cost: f64, _: BootInstant, _: &mut Effects<()>) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.refund(cost);
        }
    }

    fn receive(&mut self, _: SocketAddrV4, (): (), _: BootInstant, _: &mut Effects<()>) {}

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.fleet.set_alive(alive, now);
    }

    fn tick(&mut self, _: BootInstant, _: &mut Effects<()>) {}
}
