//! A policy to compare with: it sums the usage of all nodes.
//!
//! Nodes publish the amounts that were requested from them and that they have admitted, and hubs
//! sum them. Each node keeps a token bucket for the whole fleet and deducts the usage of the other
//! nodes when it learns of it. Once the bucket runs low, the node admits only a fraction of its
//! requests: at most that of the limit in the total demand. No request waits for another node, but
//! the known usage is some tenths of a second old.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::quota::bucket::TokenBucket;
use cometmoor_core::gateway::quota::fleet_view::FleetView;
use cometmoor_core::gateway::quota::{
    Decision, Effects, QuotaBounds, QuotaKey, QuotaPolicy, VersionedLimit,
};
use cometmoor_core::time::BootInstant;

/// Fraction of the headroom that a bucket holds beyond the burst.
const HEADROOM_FRACTION: f64 = 0.3;
/// Fraction of a bucket's capacity below which only a fraction of the requests is admitted.
const LOW_LEVEL_FRACTION: f64 = 0.5;
/// Time without usage of other nodes after which a node uses only its own share.
const USAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time constant of the moving average of the requested rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(600);
/// Time between two ticks from which on this node was suspended.
const SUSPENDED_FROM: Duration = Duration::from_secs(1);

/// Amounts of a tenant's requests, since the process started or within a sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Amount that was requested.
    pub requested: f64,
    /// Amount that was admitted and not refunded.
    pub admitted: f64,
}

impl Usage {
    /// The sum of both.
    pub fn plus(self, other: Usage) -> Usage {
        Usage {
            requested: self.requested + other.requested,
            admitted: self.admitted + other.admitted,
        }
    }

    /// The increase since an earlier value.
    pub fn since(self, earlier: Usage) -> Usage {
        Usage {
            requested: self.requested - earlier.requested,
            admitted: self.admitted - earlier.admitted,
        }
    }
}

/// Usage of the other nodes since their last report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Usage of each tenant.
    pub by_tenant: Vec<(QuotaKey, Usage)>,
}

/// State of a tenant's limit at this node.
#[derive(Clone, Debug)]
struct Account {
    limit: VersionedLimit,
    bucket: TokenBucket,
    /// This node's share, used when it learns nothing of the other nodes.
    isolated_bucket: TokenBucket,
    local: Usage,
    /// Moving average of the amount requested from all nodes, a second.
    requested_rate: f64,
    rate_updated: BootInstant,
    /// Amount that may still be admitted while the bucket is low.
    credit: f64,
}

/// The policy at one node.
#[derive(Clone, Debug)]
pub struct SummedUsagePolicy {
    bounds: QuotaBounds,
    fleet: FleetView,
    accounts: HashMap<QuotaKey, Account>,
    last_received: Option<BootInstant>,
    last_tick: BootInstant,
}

impl SummedUsagePolicy {
    /// The policy at a node that has just started and knows no other node.
    pub fn new(own: SocketAddrV4, bounds: QuotaBounds, now: BootInstant) -> SummedUsagePolicy {
        SummedUsagePolicy {
            bounds,
            fleet: FleetView::new(own, Vec::new(), now),
            accounts: HashMap::new(),
            last_received: None,
            last_tick: now,
        }
    }

    /// Usage at this node since it started, to be published to the others.
    pub fn local_usage(&self) -> Vec<(QuotaKey, Usage)> {
        self.accounts.iter().map(|(tenant, account)| (*tenant, account.local)).collect()
    }

    fn account(
        &mut self,
        tenant: QuotaKey,
        limit: VersionedLimit,
        now: BootInstant,
    ) -> &mut Account {
        let headroom = self.bounds.headroom(&limit.limit);
        let (share, sharing) = (self.fleet.live_share(now), self.fleet.sharing_count(now) as f64);
        let capacity = (limit.limit.burst + HEADROOM_FRACTION * headroom) * share;
        let rate = limit.limit.per_second;
        // A process that has just started does not know what was used before.
        let is_starting = self.fleet.time_since_start(now) < self.bounds.window;
        let level = if is_starting { HEADROOM_FRACTION * headroom * share } else { capacity };
        let account = self.accounts.entry(tenant).or_insert_with(|| Account {
            limit,
            bucket: TokenBucket::new(level, capacity, rate * share, now),
            isolated_bucket: TokenBucket::new(0.0, capacity / sharing, rate / sharing, now),
            local: Usage::default(),
            requested_rate: 0.0,
            rate_updated: now,
            credit: 0.0,
        });
        if limit.version > account.limit.version {
            account.limit = limit;
        }
        let rate = account.limit.limit.per_second;
        account.bucket.reconfigure(capacity, rate * share, now);
        account.isolated_bucket.reconfigure(capacity / sharing, rate / sharing, now);
        account
    }
}

impl Account {
    fn record_requested(&mut self, amount: f64, now: BootInstant) {
        let time_constants =
            now.since(self.rate_updated).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        self.requested_rate = self.requested_rate * (-time_constants).exp()
            + amount / RATE_TIME_CONSTANT.as_secs_f64();
        self.rate_updated = now;
    }

    fn admit(&mut self, cost: f64) -> Decision {
        self.local.admitted += cost;
        self.bucket.spend(cost);
        Decision::Granted
    }

    /// Decides by the known usage of all nodes.
    fn decide(&mut self, cost: f64, share: f64, now: BootInstant) -> Decision {
        let low = self.bucket.capacity() * LOW_LEVEL_FRACTION;
        let level = self.bucket.level(now);
        if level - cost >= low {
            return self.admit(cost);
        }
        let rate = self.limit.limit.per_second * share;
        let fraction = (rate / self.requested_rate.max(rate)) * (level / low).clamp(0.0, 1.0);
        self.credit = (self.credit + cost * fraction).min(4.0 * cost);
        if level > 0.0 && self.credit >= cost {
            self.credit -= cost;
            return self.admit(cost);
        }
        Decision::Refused(
            self.bucket.time_until_available(cost, now).max(Duration::from_millis(50)),
        )
    }
}

impl QuotaPolicy for SummedUsagePolicy {
    type Message = RemoteUsage;

    fn request(
        &mut self,
        tenant: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        _: &mut Effects<RemoteUsage>,
    ) -> Decision {
        let is_isolated =
            self.last_received.is_none_or(|received| now.since(received) > USAGE_TIMEOUT)
                && self.fleet.sharing_count(now) > 1;
        let share = self.fleet.live_share(now);
        let account = self.account(tenant, limit, now);
        account.local.requested += cost;
        account.record_requested(cost, now);
        if !is_isolated {
            return account.decide(cost, share, now);
        }
        if !account.isolated_bucket.covers(cost, now) {
            return Decision::Undecided;
        }
        account.isolated_bucket.spend(cost);
        account.admit(cost)
    }

    fn refund(
        &mut self,
        tenant: QuotaKey,
        cost: f64,
        _: BootInstant,
        _: &mut Effects<RemoteUsage>,
    ) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.local.admitted -= cost;
            account.bucket.refund(cost);
        }
    }

    fn receive(
        &mut self,
        _: SocketAddrV4,
        usage: RemoteUsage,
        now: BootInstant,
        _: &mut Effects<RemoteUsage>,
    ) {
        self.last_received = Some(now);
        for (tenant, used) in usage.by_tenant {
            if let Some(account) = self.accounts.get_mut(&tenant) {
                account.bucket.level(now);
                account.bucket.spend(used.admitted);
                account.record_requested(used.requested, now);
            }
        }
    }

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.fleet.set_alive(alive, now);
    }

    fn tick(&mut self, now: BootInstant, _: &mut Effects<RemoteUsage>) {
        if now.since(self.last_tick) >= SUSPENDED_FROM {
            self.accounts.clear();
            self.last_received = None;
            self.fleet.reset_stability(now);
        }
        self.last_tick = now;
    }
}
