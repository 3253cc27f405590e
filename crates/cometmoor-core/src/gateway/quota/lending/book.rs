//! What is lent of one limit.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::askers::Askers;
use super::message::{LimitParameters, TokenRequest, TokenResponse};
use super::standing::{Role, Standing};
use super::turns::Turns;
use crate::gateway::quota::QuotaBounds;
use crate::gateway::quota::bucket::TokenBucket;
use crate::gateway::quota::fleet_view::FleetView;
use crate::gateway::tenants::{QuotaUnit, TenantLimit};
use crate::time::BootInstant;

/// Time by which a request may come earlier at the lender than at its node, or another one
/// later: what lacks no more than comes in this time is lent from the leeway.
const JITTER: Duration = Duration::from_millis(60);
/// Part of the headroom that the leeway holds.
const LEEWAY_PART: f64 = 0.15;
/// Part of the rate at which the leeway comes back.
const LEEWAY_RATE: f64 = 0.02;
/// Part of it with which a book begins whose predecessor is not known.
const START_PART: f64 = 0.2;
/// Requests for which a lender begins with enough that may not be the only one, as far as the
/// nodes that it reaches may use so much.
const FEW_REQUESTS: f64 = 3.0;
/// Part of the rate, for the nodes that ask it, at which a node lends that may not be the
/// only one.
const UNCERTAIN_RATE: f64 = 0.65;
/// Part of the nodes from which on a lender that reaches them takes the fleet for whole.
const WHOLE_FROM: f64 = 0.85;
/// Part of the rate at which a seed lends while the fleet starts: nodes that cannot reach it
/// ask another one.
const START_RATE: f64 = 0.6;
/// Longest time that is promised to those who are told to come back one after the other.
const LONGEST_PROMISE: Duration = Duration::from_secs(4);

/// A node that has asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asker {
    /// Its last question that was answered.
    pub(super) answered: Option<(u64, TokenResponse)>,
    /// Number of its last return.
    pub(super) returned: u64,
}

/// What is lent to a limit.
#[derive(Clone, Debug)]
pub(super) struct Book {
    pub(super) number: u32,
    pub(super) standing: Standing,
    pub(super) limit: LimitParameters,
    /// The limit itself.
    pub(super) bucket: TokenBucket,
    /// What may be lent beyond it, to requests that would have been in time by the order of
    /// their callers.
    pub(super) leeway: TokenBucket,
    /// Part of the start allowance that an uncertain lender has put in.
    pub(super) started_with: f64,
    pub(super) nodes: HashMap<SocketAddrV4, Asker>,
    pub(super) askers: Askers,
    /// Questions that wait until the book lends.
    pub(super) held: Vec<(SocketAddrV4, TokenRequest)>,
    pub(super) asked: BootInstant,
    /// Until when tokens that come are promised to those who were told to come back.
    pub(super) promised: BootInstant,
    /// Who waits for tokens, while this node may not be the only one that lends.
    pub(super) turns: Turns,
}

fn limit_of(limit: &LimitParameters) -> TenantLimit {
    let LimitParameters { per_second, burst, .. } = *limit;
    TenantLimit { per_second, burst, unit: QuotaUnit::Requests }
}

/// Most that the leeway of a lender to the whole fleet holds.
pub(super) fn most_leeway(bounds: &QuotaBounds, limit: &LimitParameters) -> f64 {
    LEEWAY_PART * bounds.headroom(&limit_of(limit))
}

/// What a book begins with whose predecessor is not known, at a lender to the whole fleet.
pub(super) fn start(bounds: &QuotaBounds, limit: &LimitParameters) -> f64 {
    START_PART * bounds.headroom(&limit_of(limit))
}

impl Book {
    /// Sets the rate by how many nodes this one lends to, and how many it reaches if that is
    /// known. `cost` is that of the request that asks.
    pub(super) fn set_rate(
        &mut self,
        role: Role,
        cost: f64,
        reached: Option<f64>,
        bounds: &QuotaBounds,
        ranks: &FleetView,
        now: BootInstant,
    ) {
        let rate = self.limit.per_second;
        let sharing = ranks.sharing_count(now);
        let estimate = self.askers.estimate(sharing, now);
        if role == Role::Start {
            // How many nodes there are is not known yet.
            self.bucket.reconfigure(self.limit.burst, rate * START_RATE, now);
            return self.put_in(start(bounds, &self.limit));
        }
        if role == Role::First {
            let share = ranks.live_share(now);
            let share = if estimate.is_apart { share.min(estimate.part) } else { share };
            self.bucket.reconfigure(self.limit.burst * share, rate * share, now);
            let leeway = most_leeway(bounds, &self.limit) * share;
            self.leeway.reconfigure(leeway, rate * LEEWAY_RATE * share, now);
            return;
        }
        let reached = reached.map_or(0.0, |nodes| (nodes / sharing as f64).min(1.0));
        let start = start(bounds, &self.limit);
        let few_requests = FEW_REQUESTS * cost;
        let start = (start * estimate.part).max(few_requests.min(start * reached));
        // Few questions may come from few nodes by chance; whom this node reaches says more.
        let is_apart = estimate.is_apart && reached < WHOLE_FROM;
        let part = if is_apart { estimate.part } else { estimate.part.max(reached) };
        self.bucket.reconfigure(start, rate * UNCERTAIN_RATE * part, now);
        self.put_in(start);
    }

    /// Puts a start allowance in, less what was put in before.
    fn put_in(&mut self, start: f64) {
        if start > self.started_with {
            self.bucket.refund(start - self.started_with);
            self.started_with = start;
        }
    }

    /// Begins as the lender of all nodes that are there.
    pub(super) fn begin_anew(&mut self, bounds: &QuotaBounds, share: f64) {
        let start = start(bounds, &self.limit) * share;
        self.bucket.set_capacity(self.limit.burst * share);
        self.put_in(start);
        self.turns.clear();
    }

    /// Lends to one of the nodes that wait in turn, or tells when its turn comes. One that
    /// would have to wait for longer than `longest` gets no turn.
    pub(super) fn lend_in_turn(
        &mut self,
        to: SocketAddrV4,
        ask: &TokenRequest,
        longest: Duration,
        now: BootInstant,
    ) -> TokenResponse {
        let ahead = self.turns.ahead_of(to, now);
        let level = self.bucket.level(now) - ahead;
        if let Some(tokens) = self.affordable(ask, level) {
            self.turns.end(to);
            self.bucket.spend(tokens);
            return TokenResponse::Lent { tokens, account_id: self.number };
        }
        let empty = self.bucket.time_until_available(ask.first_cost, now);
        let after = self.bucket.time_to_accrue(ahead + ask.first_cost, now);
        if after <= longest {
            self.turns.keep(to, ask.first_cost, now + after);
            return denied_for_now(empty, after);
        }
        self.turns.end(to);
        denied_for_now(empty, self.promise(ask.first_cost, after, now))
    }

    /// Lends what is asked for, or tells when it may be asked for again.
    pub(super) fn lend(&mut self, ask: &TokenRequest, now: BootInstant) -> TokenResponse {
        let level = self.bucket.level(now);
        let tokens = if let Some(tokens) = self.affordable(ask, level) {
            tokens
        } else if self.covers_nearly(ask.first_cost, now) {
            // The limit itself is not charged: the request that comes next by its order is
            // not to be refused for this one.
            self.leeway.spend(ask.first_cost);
            return TokenResponse::Lent { tokens: ask.first_cost, account_id: self.number };
        } else if self.covers_with_leeway(ask.first_cost, now) {
            let most = self.bucket.capacity();
            self.leeway.spend(ask.first_cost - most);
            self.bucket.spend(most);
            return TokenResponse::Lent { tokens: ask.first_cost, account_id: self.number };
        } else {
            return self.deny(ask.first_cost, now);
        };
        self.bucket.spend(tokens);
        TokenResponse::Lent { tokens, account_id: self.number }
    }

    /// Most of what is asked for that such a level covers. What is lent ahead may not be used,
    /// so that is done from plenty only; parts of requests would be used late, in another
    /// window.
    fn affordable(&self, ask: &TokenRequest, level: f64) -> Option<f64> {
        let whole = ask.total_cost + ask.prefetch;
        if level - whole >= self.bucket.capacity() / 2.0 {
            return Some(whole);
        }
        [ask.total_cost, ask.first_cost].into_iter().find(|tokens| level >= *tokens)
    }

    /// Whether a request that costs more than the burst finds the bucket full, and the rest
    /// in the leeway: otherwise it could never run.
    fn covers_with_leeway(&mut self, cost: f64, now: BootInstant) -> bool {
        let most = self.bucket.capacity();
        cost > most && self.bucket.covers(most, now) && self.leeway.covers(cost - most, now)
    }

    /// Whether a request lacks only what comes within the jitter, and the leeway covers it.
    fn covers_nearly(&mut self, cost: f64, now: BootInstant) -> bool {
        let fits = cost <= self.bucket.capacity();
        fits && self.bucket.time_until_available(cost, now) <= JITTER
            && self.leeway.covers(cost, now)
    }

    /// Refuses a request.
    fn deny(&mut self, cost: f64, now: BootInstant) -> TokenResponse {
        let empty = self.bucket.time_until_available(cost, now);
        let after = self.promise(cost, empty, now);
        let (empty_micros, retry_after_millis) = denial(empty, after);
        TokenResponse::Denied { empty_micros, retry_after_millis }
    }

    /// Time after which a request that is refused should come back: when there are tokens for
    /// it, and after those that were told to come back before it, so that not all come at once.
    fn promise(&mut self, cost: f64, earliest: Duration, now: BootInstant) -> Duration {
        let at = (now + earliest).max(self.promised);
        let after = at.since(now);
        if after < LONGEST_PROMISE && self.limit.per_second > 0.0 {
            let takes = Duration::try_from_secs_f64(cost / self.limit.per_second);
            self.promised = at + takes.unwrap_or_default().min(LONGEST_PROMISE);
        }
        after
    }
}

/// Microseconds for which a bucket is certainly too empty for a request, and milliseconds
/// after which to ask again.
fn denial(empty: Duration, after: Duration) -> (u32, u32) {
    let certain = empty.saturating_sub(JITTER);
    let empty_micros = u32::try_from(certain.as_micros()).unwrap_or(u32::MAX);
    (empty_micros, u32::try_from(after.as_millis()).unwrap_or(u32::MAX))
}

/// The same from a lender that may not be the only one: the tokens are there after a whole
/// number of milliseconds, one at least.
fn denied_for_now(empty: Duration, after: Duration) -> TokenResponse {
    let (empty_micros, retry_after_millis) = denial(empty, after + Duration::from_millis(1));
    TokenResponse::DeniedProvisionally { empty_micros, retry_after_millis }
}
