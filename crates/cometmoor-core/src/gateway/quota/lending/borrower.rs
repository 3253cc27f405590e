//! Tokens that a node has borrowed, and the requests that wait for more.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::message::{LimitParameters, TokenRequest};
use crate::gateway::quota::{Decision, QuotaKey, Settled, Ticket, VersionedLimit};
use crate::time::BootInstant;

/// Time for which borrowed tokens may be used.
const LOAN_LIFETIME: Duration = Duration::from_millis(500);
/// Span of expected demand for which tokens are borrowed in advance.
const PREFETCH_SPAN: Duration = Duration::from_millis(250);
/// Longest time for which a denial also applies to later requests.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(100);
/// Time constant of the average demand for a limit at this node.
const RATE_AVERAGING_SPAN: Duration = Duration::from_secs(2);
/// Weight of the newest request in the average cost of requests.
const COST_AVERAGE_WEIGHT: f64 = 0.1;
/// Time without a response after which a token request is sent again.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(40);
/// Time without a response after which the lender is skipped.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest wait of a request, for a lender and for its tokens.
const MAX_REQUEST_WAIT: Duration = Duration::from_millis(600);

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    cost: f64,
    since: BootInstant,
    /// When a fallback lender first denied it tokens.
    denied_since: Option<BootInstant>,
}

/// Why a token request goes to its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestMode {
    /// Whether higher-ranked lenders do not respond.
    pub(super) is_failover: bool,
    /// Whether the view of this node is not stable yet.
    pub(super) is_bootstrap: bool,
}

/// A token request that awaits its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightRequest {
    pub(super) request: TokenRequest,
    pub(super) target: SocketAddrV4,
    /// Number of times that the request was redirected.
    pub(super) redirects: u32,
    pub(super) first_sent: BootInstant,
    pub(super) last_sent: BootInstant,
}

/// The last denial, which also applies to requests of at least the same cost.
#[derive(Clone, Copy, Debug)]
struct Denied {
    cost: f64,
    until: BootInstant,
    retry_at: BootInstant,
}

/// The lender's account that tokens come from and are returned to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Source {
    pub(super) lender: SocketAddrV4,
    pub(super) account_id: u32,
}

/// The state of a limit at this node.
#[derive(Clone, Debug)]
pub(super) struct BorrowerAccount {
    limit: VersionedLimit,
    balance: f64,
    balance_expires: BootInstant,
    source: Option<Source>,
    denied: Option<Denied>,
    waiting: VecDeque<WaitingRequest>,
    pub(super) in_flight: Option<InFlightRequest>,
    /// When to request tokens again that a fallback lender did not have yet.
    retry_from: BootInstant,
    /// Average demand in tokens a second, and when it was last updated.
    rate: f64,
    rate_at: BootInstant,
    mean_cost: f64,
}

impl BorrowerAccount {
    fn new(limit: VersionedLimit, now: BootInstant) -> BorrowerAccount {
        BorrowerAccount {
            limit,
            balance: 0.0,
            balance_expires: now,
            source: None,
            denied: None,
            waiting: VecDeque::new(),
            in_flight: None,
            retry_from: now,
            rate: 0.0,
            rate_at: now,
            mean_cost: 0.0,
        }
    }

    fn record_demand(&mut self, cost: f64, now: BootInstant) {
        let spans = now.since(self.rate_at).as_secs_f64() / RATE_AVERAGING_SPAN.as_secs_f64();
        self.rate = self.rate * (-spans).exp() + cost / RATE_AVERAGING_SPAN.as_secs_f64();
        self.rate_at = now;
        self.mean_cost = match self.mean_cost > 0.0 {
            true => self.mean_cost + COST_AVERAGE_WEIGHT * (cost - self.mean_cost),
            false => cost,
        };
    }

    /// Expected demand, rounded down to whole requests.
    fn prefetch_amount(&self) -> f64 {
        let needed = self.rate * PREFETCH_SPAN.as_secs_f64();
        if self.mean_cost <= 0.0 {
            return 0.0;
        }
        (needed / self.mean_cost).floor() * self.mean_cost
    }

    /// Spends the cost of a request if the borrowed tokens cover it.
    fn try_spend(&mut self, cost: f64, now: BootInstant) -> bool {
        let is_sufficient = now < self.balance_expires && self.balance >= cost;
        if is_sufficient {
            self.balance -= cost;
        }
        is_sufficient
    }

    /// Grants the waiting requests in order, as far as the borrowed tokens cover them.
    fn grant_waiting(&mut self, now: BootInstant, settled: &mut Vec<Settled>) {
        while let Some(first) = self.waiting.front().copied() {
            if !self.try_spend(first.cost, now) {
                return;
            }
            self.waiting.pop_front();
            settled.push(Settled { ticket: first.ticket, decision: Decision::Granted });
        }
    }

    /// The next token request; None if no request waits, a token request is in flight, or tokens
    /// are not due yet.
    pub(super) fn next_request(
        &self,
        key: QuotaKey,
        number: u64,
        mode: RequestMode,
        now: BootInstant,
    ) -> Option<TokenRequest> {
        if self.in_flight.is_some() || now < self.retry_from {
            return None;
        }
        let first = self.waiting.front()?.cost;
        let total: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        let balance = if now < self.balance_expires { self.balance } else { 0.0 };
        Some(TokenRequest {
            number,
            key,
            limit: LimitParameters::from(self.limit),
            first_cost: (first - balance).max(0.0),
            total_cost: (total - balance).max(0.0),
            prefetch: self.prefetch_amount(),
            is_failover: mode.is_failover,
            is_bootstrap: mode.is_bootstrap,
        })
    }

    /// Adds borrowed tokens and grants the requests that they cover. Tokens left from another
    /// source, or expired ones, are dropped.
    pub(super) fn credit(
        &mut self,
        tokens: f64,
        source: Source,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) {
        if now >= self.balance_expires || self.source != Some(source) {
            self.balance = 0.0;
        }
        self.balance += tokens;
        self.balance_expires = now + LOAN_LIFETIME;
        self.source = Some(source);
        self.denied = None;
        self.grant_waiting(now, settled);
    }

    /// Refuses the first waiting request and all that cost at least as much. No token request is
    /// needed for such requests while the limit is exhausted.
    pub(super) fn apply_denial(
        &mut self,
        empty: Duration,
        after: Duration,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) {
        let Some(first) = self.waiting.front().copied() else { return };
        self.denied = Some(Denied {
            cost: first.cost,
            until: now + empty.min(MAX_DENIAL_AGE),
            retry_at: now + after,
        });
        let (denied, waiting): (VecDeque<WaitingRequest>, VecDeque<WaitingRequest>) =
            self.waiting.drain(..).partition(|waiting| waiting.cost >= first.cost);
        self.waiting = waiting;
        settled.extend(
            denied.into_iter().map(|denied| Settled {
                ticket: denied.ticket,
                decision: Decision::Refused(after),
            }),
        );
    }

    /// Keeps the requests waiting until a fallback lender has tokens; false if the first one would
    /// then have waited for too long. The time to find the lender does not count.
    pub(super) fn defer_until_available(
        &mut self,
        after: Duration,
        max_wait: Duration,
        now: BootInstant,
    ) -> bool {
        let Some(first) = self.waiting.front_mut() else { return false };
        let denied_since = *first.denied_since.get_or_insert(now);
        let is_deferred = now.since(denied_since) + after <= max_wait;
        if is_deferred {
            self.retry_from = now + after;
        }
        is_deferred
    }

    /// Time until a new request would be granted behind those that wait for tokens; None if none
    /// do.
    fn queue_delay(&self, cost: f64, now: BootInstant) -> Option<Duration> {
        if now >= self.retry_from || !self.has_waiting() {
            return None;
        }
        let ahead: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        let seconds = (ahead + cost) / self.limit.limit.per_second;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Settles all waiting requests as undecided.
    pub(super) fn fail_waiting(&mut self, settled: &mut Vec<Settled>) {
        settled.extend(
            self.waiting
                .drain(..)
                .map(|waiting| Settled { ticket: waiting.ticket, decision: Decision::Undecided }),
        );
    }

    /// Removes the tokens that are not needed, and returns them with their source.
    fn take_surplus(&mut self, now: BootInstant) -> Option<(Source, f64)> {
        let retained = if now < self.balance_expires { self.prefetch_amount() } else { 0.0 };
        let surplus = self.balance - retained;
        if surplus <= 0.0 {
            return None;
        }
        self.balance = retained;
        self.source.map(|source| (source, surplus))
    }

    /// Whether any request waits.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

/// The limits that a node borrows for.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub(super) accounts: BTreeMap<QuotaKey, BorrowerAccount>,
    /// Longest wait of a request for tokens of a fallback lender.
    pub(super) max_fallback_wait: Duration,
    next_ticket: u64,
}

impl Borrower {
    /// A node that has not borrowed anything yet.
    pub(super) fn new(max_fallback_wait: Duration) -> Borrower {
        Borrower { accounts: BTreeMap::new(), max_fallback_wait, next_ticket: 0 }
    }

    /// Decides on a request by what is known locally; pending if it has to wait for a lender.
    pub(super) fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
    ) -> Decision {
        let account = self.accounts.entry(key).or_insert_with(|| BorrowerAccount::new(limit, now));
        if limit.version > account.limit.version {
            account.limit = limit;
        }
        account.record_demand(cost, now);
        if !account.has_waiting() && account.try_spend(cost, now) {
            return Decision::Granted;
        }
        let denied = account.denied.filter(|denied| now < denied.until && cost >= denied.cost);
        if let Some(denied) = denied {
            return Decision::Refused(denied.retry_at.since(now));
        }
        let queue_delay = account.queue_delay(cost, now);
        if let Some(after) = queue_delay.filter(|after| *after > self.max_fallback_wait) {
            return Decision::Refused(after);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        account.waiting.push_back(WaitingRequest { ticket, cost, since: now, denied_since: None });
        Decision::Pending(ticket)
    }

    /// Takes back the cost of a request that was not run. Returns the tokens that are not needed
    /// here.
    pub(super) fn refund(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) -> Option<(Source, f64)> {
        let account = self.accounts.get_mut(&key)?;
        if now >= account.balance_expires {
            account.balance = 0.0;
            account.balance_expires = now + LOAN_LIFETIME;
        }
        account.balance += cost;
        account.grant_waiting(now, settled);
        account.take_surplus(now)
    }

    /// Returns the tokens that expired unused, and settles requests that have waited for too long
    /// as undecided.
    pub(super) fn tick(
        &mut self,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) -> Vec<(QuotaKey, Source, f64)> {
        let mut returned = Vec::new();
        for (key, account) in &mut self.accounts {
            if now >= account.balance_expires
                && let Some((source, tokens)) = account.take_surplus(now)
            {
                returned.push((*key, source, tokens));
            }
            while let Some(first) = account.waiting.front().copied()
                && now.since(first.since) >= MAX_REQUEST_WAIT
            {
                account.waiting.pop_front();
                settled.push(Settled { ticket: first.ticket, decision: Decision::Undecided });
            }
        }
        returned
    }

    /// Drops all borrowed tokens and settles the waiting requests as undecided, after this node
    /// was suspended.
    pub(super) fn discard_all(&mut self, now: BootInstant, settled: &mut Vec<Settled>) {
        for account in self.accounts.values_mut() {
            account.fail_waiting(settled);
            account.balance = 0.0;
            account.in_flight = None;
            account.retry_from = now;
        }
    }

    /// Whether any request waits.
    pub(super) fn has_waiting(&self) -> bool {
        self.accounts.values().any(BorrowerAccount::has_waiting)
    }
}
