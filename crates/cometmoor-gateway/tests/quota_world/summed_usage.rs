//! The other way to hold limits: what all nodes have used, summed.
//!
//! Nodes tell what they were asked for and what they have admitted; hubs sum it. Each node
//! keeps a bucket for the whole fleet, takes off what the others used when it hears of it,
//! and once the bucket runs low lets only the part of its requests through that the limit is
//! of what is asked for. Nobody is asked for a request, and what is known is some tenths of
//! a second old.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::quota::bucket::TokenBucket;
use cometmoor_core::gateway::quota::fleet_view::FleetView;
use cometmoor_core::gateway::quota::{
    Decision, Effects, QuotaBounds, QuotaKey, QuotaPolicy, VersionedLimit,
};
use cometmoor_core::time::BootInstant;

/// Part of the headroom that a bucket holds beyond the burst.
const BURST_PART: f64 = 0.3;
/// Part of a full bucket below which requests are let through in part.
const LOW_PART: f64 = 0.5;
/// Age of what was heard from which on a node goes by its own share alone.
const HEARD_FOR: Duration = Duration::from_millis(1500);
/// Time over which what is asked for is averaged.
const RATE_SPAN: Duration = Duration::from_millis(600);
/// Time between two ticks from which on this node has slept.
const SLEPT_FROM: Duration = Duration::from_secs(1);

/// What was asked for and admitted of a tenant, since a process or a sum began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Amount that was asked for.
    pub asked: f64,
    /// Amount that was admitted and not given back.
    pub admitted: f64,
}

impl Usage {
    /// The sum.
    pub fn plus(self, other: Usage) -> Usage {
        Usage { asked: self.asked + other.asked, admitted: self.admitted + other.admitted }
    }

    /// What came since an earlier figure.
    pub fn since(self, earlier: Usage) -> Usage {
        Usage { asked: self.asked - earlier.asked, admitted: self.admitted - earlier.admitted }
    }
}

/// What the other nodes have used since it was last heard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// By tenant.
    pub used: Vec<(QuotaKey, Usage)>,
}

/// A tenant at this node.
#[derive(Clone, Debug)]
struct Account {
    limit: VersionedLimit,
    bucket: TokenBucket,
    /// What this node alone may use where it hears of nobody.
    own_share: TokenBucket,
    own: Usage,
    /// Amount a second that all nodes were asked for.
    asked_rate: f64,
    asked_at: BootInstant,
    /// Amount that may still be let through while the bucket is low.
    credit: f64,
}

/// A node that goes by what it hears of all.
#[derive(Clone, Debug)]
pub struct SummedUsagePolicy {
    bounds: QuotaBounds,
    ranks: FleetView,
    accounts: HashMap<QuotaKey, Account>,
    heard: Option<BootInstant>,
    ticked: BootInstant,
}

impl SummedUsagePolicy {
    /// A node that has just started.
    pub fn new(own: SocketAddrV4, bounds: QuotaBounds, now: BootInstant) -> SummedUsagePolicy {
        SummedUsagePolicy {
            bounds,
            ranks: FleetView::new(own, Vec::new(), now),
            accounts: HashMap::new(),
            heard: None,
            ticked: now,
        }
    }

    /// What this node was asked for and has admitted since it began, for the others.
    pub fn used(&self) -> Vec<(QuotaKey, Usage)> {
        self.accounts.iter().map(|(tenant, account)| (*tenant, account.own)).collect()
    }

    fn account(
        &mut self,
        tenant: QuotaKey,
        limit: VersionedLimit,
        now: BootInstant,
    ) -> &mut Account {
        let headroom = self.bounds.headroom(&limit.limit);
        let (share, sharing) = (self.ranks.live_share(now), self.ranks.sharing_count(now) as f64);
        let most = (limit.limit.burst + BURST_PART * headroom) * share;
        let rate = limit.limit.per_second;
        // A process that has just begun knows nothing of what was used before.
        let is_new = self.ranks.time_since_start(now) < self.bounds.window;
        let level = if is_new { BURST_PART * headroom * share } else { most };
        let account = self.accounts.entry(tenant).or_insert_with(|| Account {
            limit,
            bucket: TokenBucket::new(level, most, rate * share, now),
            own_share: TokenBucket::new(0.0, most / sharing, rate / sharing, now),
            own: Usage::default(),
            asked_rate: 0.0,
            asked_at: now,
            credit: 0.0,
        });
        if limit.version > account.limit.version {
            account.limit = limit;
        }
        let rate = account.limit.limit.per_second;
        account.bucket.reconfigure(most, rate * share, now);
        account.own_share.reconfigure(most / sharing, rate / sharing, now);
        account
    }
}

impl Account {
    fn note_asked(&mut self, amount: f64, now: BootInstant) {
        let spans = now.since(self.asked_at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.asked_rate = self.asked_rate * (-spans).exp() + amount / RATE_SPAN.as_secs_f64();
        self.asked_at = now;
    }

    fn admit(&mut self, cost: f64) -> Decision {
        self.own.admitted += cost;
        self.bucket.spend(cost);
        Decision::Granted
    }

    /// Decides by what is known of all nodes.
    fn decide(&mut self, cost: f64, share: f64, now: BootInstant) -> Decision {
        let low = self.bucket.capacity() * LOW_PART;
        let level = self.bucket.level(now);
        if level - cost >= low {
            return self.admit(cost);
        }
        let rate = self.limit.limit.per_second * share;
        let part = (rate / self.asked_rate.max(rate)) * (level / low).clamp(0.0, 1.0);
        self.credit = (self.credit + cost * part).min(4.0 * cost);
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
        let is_alone = self.heard.is_none_or(|heard| now.since(heard) > HEARD_FOR)
            && self.ranks.sharing_count(now) > 1;
        let share = self.ranks.live_share(now);
        let account = self.account(tenant, limit, now);
        account.own.asked += cost;
        account.note_asked(cost, now);
        if !is_alone {
            return account.decide(cost, share, now);
        }
        if !account.own_share.covers(cost, now) {
            return Decision::Undecided;
        }
        account.own_share.spend(cost);
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
            account.own.admitted -= cost;
            account.bucket.refund(cost);
        }
    }

    fn receive(
        &mut self,
        _: SocketAddrV4,
        heard: RemoteUsage,
        now: BootInstant,
        _: &mut Effects<RemoteUsage>,
    ) {
        self.heard = Some(now);
        for (tenant, used) in heard.used {
            if let Some(account) = self.accounts.get_mut(&tenant) {
                account.bucket.level(now);
                account.bucket.spend(used.admitted);
                account.note_asked(used.asked, now);
            }
        }
    }

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.ranks.set_alive(alive, now);
    }

    fn tick(&mut self, now: BootInstant, _: &mut Effects<RemoteUsage>) {
        if now.since(self.ticked) >= SLEPT_FROM {
            self.accounts.clear();
            self.heard = None;
            self.ranks.reset_stability(now);
        }
        self.ticked = now;
    }
}
