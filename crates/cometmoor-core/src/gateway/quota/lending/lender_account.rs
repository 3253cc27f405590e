//! A lender's account of one limit.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::account_state::{AccountState, LenderRole};
use super::message::{LimitParameters, TokenRequest, TokenResponse};
use super::requesters::RecentRequesters;
use super::wait_queue::WaitQueue;
use crate::gateway::quota::bucket::TokenBucket;
use crate::gateway::quota::fleet_view::FleetView;
use crate::gateway::quota::{LenderDenial, QuotaBounds};
use crate::gateway::tenants::{QuotaUnit, TenantLimit};
use crate::time::BootInstant;

/// Time by which the delays between nodes and lender may shift requests against each other. Missing
/// tokens that accrue within this time are lent from the leeway.
const ARRIVAL_JITTER: Duration = Duration::from_millis(60);
/// Capacity of the leeway, as a fraction of the headroom.
const LEEWAY_SHARE: f64 = 0.15;
/// Refill rate of the leeway, as a fraction of the limit's rate.
const LEEWAY_RATE_SHARE: f64 = 0.02;
/// Fraction of the headroom that an account starts with if its predecessor is unknown.
const INITIAL_SHARE: f64 = 0.2;
/// Requests that a fallback lender's initial tokens cover, as far as the nodes that it reaches may
/// use that many.
const INITIAL_REQUESTS: f64 = 3.0;
/// Fraction of the rate, for the nodes that send requests to it, at which a fallback lender lends.
const FALLBACK_RATE_SHARE: f64 = 0.65;
/// Fraction of the nodes from which on a lender that reaches them assumes that the fleet is not
/// partitioned.
const CONNECTED_FROM: f64 = 0.85;
/// Fraction of the rate at which a seed lends while the fleet starts. Nodes that cannot reach it
/// request tokens from another seed.
const BOOTSTRAP_RATE_SHARE: f64 = 0.6;
/// Longest retry time up to which retries of denied requests are spaced out.
const MAX_STAGGER: Duration = Duration::from_secs(4);

/// State of a node that has sent token requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Requester {
    /// Number of its last answered request, with the response, which is repeated if the request is
    /// received again.
    pub(super) last_response: Option<(u64, TokenResponse)>,
    /// Number of its last return of tokens.
    pub(super) last_return: u64,
}

/// What a lender knows of one limit.
#[derive(Clone, Debug)]
pub(super) struct LenderAccount {
    pub(super) id: u32,
    pub(super) state: AccountState,
    pub(super) limit: LimitParameters,
    /// Tokens of the limit itself.
    pub(super) bucket: TokenBucket,
    /// Extra tokens for requests that were within the limit in the order in which their callers
    /// sent them.
    pub(super) leeway: TokenBucket,
    /// Initial tokens that were added to the bucket so far.
    pub(super) initial_granted: f64,
    pub(super) by_node: HashMap<SocketAddrV4, Requester>,
    pub(super) requesters: RecentRequesters,
    /// Requests that wait until the account lends.
    pub(super) held_requests: Vec<(SocketAddrV4, TokenRequest)>,
    pub(super) last_requested: BootInstant,
    /// Until when the tokens that accrue are reserved for requests that were told to retry.
    pub(super) reserved_until: BootInstant,
    /// Nodes that wait for tokens while this node may not be the only lender.
    pub(super) wait_queue: WaitQueue,
}

fn tenant_limit(limit: &LimitParameters) -> TenantLimit {
    let LimitParameters { per_second, burst, .. } = *limit;
    TenantLimit { per_second, burst, unit: QuotaUnit::Requests }
}

/// Capacity of the leeway of a lender to the whole fleet.
pub(super) fn max_leeway(bounds: &QuotaBounds, limit: &LimitParameters) -> f64 {
    LEEWAY_SHARE * bounds.headroom(&tenant_limit(limit))
}

/// Initial tokens of an account whose predecessor is unknown, at a lender to the whole fleet.
pub(super) fn initial_tokens(bounds: &QuotaBounds, limit: &LimitParameters) -> f64 {
    INITIAL_SHARE * bounds.headroom(&tenant_limit(limit))
}

impl LenderAccount {
    /// Updates rate and capacity by how many nodes this one lends to, and by how many it reaches if
    /// that is known. `cost` is that of the current request.
    pub(super) fn update_rate(
        &mut self,
        role: LenderRole,
        cost: f64,
        reached: Option<f64>,
        bounds: &QuotaBounds,
        fleet: &FleetView,
        now: BootInstant,
    ) {
        let rate = self.limit.per_second;
        let sharing = fleet.sharing_count(now);
        let estimate = self.requesters.estimate(sharing, now);
        if role == LenderRole::Bootstrap {
            // The size of the fleet is not known yet.
            self.bucket.reconfigure(self.limit.burst, rate * BOOTSTRAP_RATE_SHARE, now);
            return self.add_initial_tokens(initial_tokens(bounds, &self.limit));
        }
        if role == LenderRole::Primary {
            let share = fleet.live_share(now);
            let share = if estimate.is_partitioned { share.min(estimate.share) } else { share };
            self.bucket.reconfigure(self.limit.burst * share, rate * share, now);
            let leeway = max_leeway(bounds, &self.limit) * share;
            self.leeway.reconfigure(leeway, rate * LEEWAY_RATE_SHARE * share, now);
            return;
        }
        let reached = reached.map_or(0.0, |nodes| (nodes / sharing as f64).min(1.0));
        let initial = initial_tokens(bounds, &self.limit);
        let few_requests = INITIAL_REQUESTS * cost;
        let initial = (initial * estimate.share).max(few_requests.min(initial * reached));
        // A few requests may come from few nodes by chance; the number of reachable nodes is better
        // evidence.
        let is_partitioned = estimate.is_partitioned && reached < CONNECTED_FROM;
        let share = if is_partitioned { estimate.share } else { estimate.share.max(reached) };
        self.bucket.reconfigure(initial, rate * FALLBACK_RATE_SHARE * share, now);
        self.add_initial_tokens(initial);
    }

    /// Adds initial tokens, less those that were added before.
    fn add_initial_tokens(&mut self, initial: f64) {
        if initial > self.initial_granted {
            self.bucket.refund(initial - self.initial_granted);
            self.initial_granted = initial;
        }
    }

    /// Continues as the lender for all live nodes.
    pub(super) fn promote_to_primary(&mut self, bounds: &QuotaBounds, share: f64) {
        let initial = initial_tokens(bounds, &self.limit) * share;
        self.bucket.set_capacity(self.limit.burst * share);
        self.add_initial_tokens(initial);
        self.wait_queue.clear();
    }

    /// Lends to one of the waiting nodes in the order of the queue, or tells it when to retry. A
    /// node that would have to wait for longer than `max_wait` is not queued.
    pub(super) fn lend_in_order(
        &mut self,
        to: SocketAddrV4,
        request: &TokenRequest,
        max_wait: Duration,
        now: BootInstant,
    ) -> TokenResponse {
        let ahead = self.wait_queue.cost_ahead_of(to, now);
        let level = self.bucket.level(now) - ahead;
        if let Some(tokens) = self.affordable(request, level) {
            self.wait_queue.remove(to);
            self.bucket.spend(tokens);
            return TokenResponse::Lent { tokens, account_id: self.id };
        }
        let empty = self.bucket.time_until_available(request.first_cost, now);
        let after = self.bucket.time_to_accrue(ahead + request.first_cost, now);
        if after <= max_wait {
            self.wait_queue.keep_or_append(to, request.first_cost, now + after);
            return deny_provisionally(empty, after);
        }
        self.wait_queue.remove(to);
        deny_provisionally(empty, self.stagger_retry(request.first_cost, after, now))
    }

    /// Lends the requested tokens, or tells when to retry.
    pub(super) fn lend(&mut self, request: &TokenRequest, now: BootInstant) -> TokenResponse {
        let level = self.bucket.level(now);
        let tokens = if let Some(tokens) = self.affordable(request, level) {
            tokens
        } else if self.covers_within_jitter(request.first_cost, now) {
            // The limit's own bucket is not charged, so that the request that is next in order is
            // not refused because of this one.
            self.leeway.spend(request.first_cost);
            return TokenResponse::Lent { tokens: request.first_cost, account_id: self.id };
        } else if self.covers_with_leeway(request.first_cost, now) {
            let capacity = self.bucket.capacity();
            self.leeway.spend(request.first_cost - capacity);
            self.bucket.spend(capacity);
            return TokenResponse::Lent { tokens: request.first_cost, account_id: self.id };
        } else {
            return self.deny(request.first_cost, now);
        };
        self.bucket.spend(tokens);
        TokenResponse::Lent { tokens, account_id: self.id }
    }

    /// The largest part of a request that `level` covers. Tokens lent in advance may go unused, so
    /// they are lent only while the bucket is well filled. Fractions of requests are not lent: they
    /// would be used late, in another window.
    fn affordable(&self, request: &TokenRequest, level: f64) -> Option<f64> {
        let with_prefetch = request.total_cost + request.prefetch;
        if level - with_prefetch >= self.bucket.capacity() / 2.0 {
            return Some(with_prefetch);
        }
        [request.total_cost, request.first_cost].into_iter().find(|tokens| level >= *tokens)
    }

    /// Whether the bucket is full and the leeway covers the remainder of a request that costs more
    /// than the burst. Otherwise such a request could never run.
    fn covers_with_leeway(&mut self, cost: f64, now: BootInstant) -> bool {
        let capacity = self.bucket.capacity();
        cost > capacity
            && self.bucket.covers(capacity, now)
            && self.leeway.covers(cost - capacity, now)
    }

    /// Whether the missing tokens accrue within the jitter, and the leeway covers the request.
    fn covers_within_jitter(&mut self, cost: f64, now: BootInstant) -> bool {
        let fits = cost <= self.bucket.capacity();
        fits && self.bucket.time_until_available(cost, now) <= ARRIVAL_JITTER
            && self.leeway.covers(cost, now)
    }

    /// What decided a denial.
    pub(super) fn denial(
        &mut self,
        to: SocketAddrV4,
        request: &TokenRequest,
        role: LenderRole,
        now: BootInstant,
    ) -> LenderDenial {
        LenderDenial {
            key: request.key,
            to,
            role: role.name(),
            cost: request.first_cost,
            level: self.bucket.level(now),
            capacity: self.bucket.capacity(),
            per_second: self.bucket.per_second(),
        }
    }

    /// Denies a request and assigns it a retry time.
    fn deny(&mut self, cost: f64, now: BootInstant) -> TokenResponse {
        let empty = self.bucket.time_until_available(cost, now);
        let after = self.stagger_retry(cost, empty, now);
        let (empty_micros, retry_after_millis) = denial_times(empty, after);
        TokenResponse::Denied { empty_micros, retry_after_millis }
    }

    /// Retry time of a denied request: when tokens for it are available, and after the retries of
    /// the requests denied before it, so that not all retry at once.
    fn stagger_retry(&mut self, cost: f64, earliest: Duration, now: BootInstant) -> Duration {
        let at = (now + earliest).max(self.reserved_until);
        let after = at.since(now);
        if after < MAX_STAGGER && self.limit.per_second > 0.0 {
            let duration = Duration::try_from_secs_f64(cost / self.limit.per_second);
            self.reserved_until = at + duration.unwrap_or_default().min(MAX_STAGGER);
        }
        after
    }
}

/// Microseconds for which the bucket certainly does not cover a request, and milliseconds after
/// which to retry.
fn denial_times(empty: Duration, after: Duration) -> (u32, u32) {
    let certain = empty.saturating_sub(ARRIVAL_JITTER);
    let empty_micros = u32::try_from(certain.as_micros()).unwrap_or(u32::MAX);
    (empty_micros, u32::try_from(after.as_millis()).unwrap_or(u32::MAX))
}

/// Denial by a lender that may not be the only one. The retry time is rounded up to whole
/// milliseconds, so that the tokens are available by then.
fn deny_provisionally(empty: Duration, after: Duration) -> TokenResponse {
    let (empty_micros, retry_after_millis) = denial_times(empty, after + Duration::from_millis(1));
    TokenResponse::DeniedProvisionally { empty_micros, retry_after_millis }
}
