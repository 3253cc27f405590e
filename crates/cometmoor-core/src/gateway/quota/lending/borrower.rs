//! What a node has been lent, and the requests that wait for more.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::message::{LimitParameters, TokenRequest};
use crate::gateway::quota::{Decision, QuotaKey, Settled, Ticket, VersionedLimit};
use crate::time::BootInstant;

/// Time for which what was lent may be used.
const LENT_FOR: Duration = Duration::from_millis(500);
/// Time for which a node asks ahead.
const AHEAD: Duration = Duration::from_millis(250);
/// Longest time for which a refusal counts for the requests that follow.
const DENIED_FOR: Duration = Duration::from_millis(100);
/// Time over which a limit's rate at this node is averaged.
const RATE_SPAN: Duration = Duration::from_secs(2);
/// Weight of the newest request in the mean cost of a limit's requests.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time after which a node that has not answered is asked once more.
pub(super) const ASK_AGAIN_AFTER: Duration = Duration::from_millis(40);
/// Time after which it is passed over.
pub(super) const GIVE_UP_AFTER: Duration = Duration::from_millis(120);
/// Longest wait of a request: for a lender, and for its tokens.
const LONGEST_WAIT: Duration = Duration::from_millis(600);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    cost: f64,
    since: BootInstant,
    /// Since when it waits for tokens of a fallback lender.
    denied_since: Option<BootInstant>,
}

/// How a node came to be asked.
#[derive(Clone, Copy, Debug)]
pub(super) struct AskWay {
    /// Whether nodes that come before it do not answer.
    pub(super) is_failover: bool,
    /// Whether this node knows too little of the others.
    pub(super) is_bootstrap: bool,
}

/// A question without an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenAsk {
    pub(super) ask: TokenRequest,
    pub(super) target: SocketAddrV4,
    /// Places of lenders that the question has been sent on to.
    pub(super) redirects: u32,
    pub(super) first_sent: BootInstant,
    pub(super) sent: BootInstant,
}

/// What was last refused.
#[derive(Clone, Copy, Debug)]
struct Denied {
    cost: f64,
    until: BootInstant,
    come_back: BootInstant,
}

/// Where tokens came from, and go back to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Source {
    pub(super) lender: SocketAddrV4,
    pub(super) account_id: u32,
}

/// A limit's account at this node.
#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: VersionedLimit,
    balance: f64,
    balance_until: BootInstant,
    source: Option<Source>,
    denied: Option<Denied>,
    waiting: VecDeque<Waiting>,
    pub(super) ask: Option<OpenAsk>,
    /// From when on tokens are asked for that a fallback lender did not have yet.
    ask_from: BootInstant,
    /// Amount a second that is asked for here, and when that was reckoned.
    rate: f64,
    rate_at: BootInstant,
    mean_cost: f64,
}

impl Account {
    fn new(limit: VersionedLimit, now: BootInstant) -> Account {
        Account {
            limit,
            balance: 0.0,
            balance_until: now,
            source: None,
            denied: None,
            waiting: VecDeque::new(),
            ask: None,
            ask_from: now,
            rate: 0.0,
            rate_at: now,
            mean_cost: 0.0,
        }
    }

    fn note_demand(&mut self, cost: f64, now: BootInstant) {
        let spans = now.since(self.rate_at).as_secs_f64() / RATE_SPAN.as_secs_f64();
        self.rate = self.rate * (-spans).exp() + cost / RATE_SPAN.as_secs_f64();
        self.rate_at = now;
        self.mean_cost = match self.mean_cost > 0.0 {
            true => self.mean_cost + NEWEST_WEIGHT * (cost - self.mean_cost),
            false => cost,
        };
    }

    /// What is likely to be needed next, in whole requests.
    fn ahead(&self) -> f64 {
        let needed = self.rate * AHEAD.as_secs_f64();
        if self.mean_cost <= 0.0 {
            return 0.0;
        }
        (needed / self.mean_cost).floor() * self.mean_cost
    }

    /// Takes the cost of a request off what was lent, if it suffices.
    fn take(&mut self, cost: f64, now: BootInstant) -> bool {
        let suffices = now < self.balance_until && self.balance >= cost;
        if suffices {
            self.balance -= cost;
        }
        suffices
    }

    /// Grants the requests that what was lent suffices for, in their order.
    fn serve_waiting(&mut self, now: BootInstant, settled: &mut Vec<Settled>) {
        while let Some(first) = self.waiting.front().copied() {
            if !self.take(first.cost, now) {
                return;
            }
            self.waiting.pop_front();
            settled.push(Settled { ticket: first.ticket, decision: Decision::Granted });
        }
    }

    /// The next question, if requests wait and none is open.
    pub(super) fn next_ask(
        &self,
        key: QuotaKey,
        number: u64,
        way: AskWay,
        now: BootInstant,
    ) -> Option<TokenRequest> {
        if self.ask.is_some() || now < self.ask_from {
            return None;
        }
        let first = self.waiting.front()?.cost;
        let all: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        let balance = if now < self.balance_until { self.balance } else { 0.0 };
        Some(TokenRequest {
            number,
            key,
            limit: LimitParameters::from(self.limit),
            first_cost: (first - balance).max(0.0),
            total_cost: (all - balance).max(0.0),
            prefetch: self.ahead(),
            is_failover: way.is_failover,
            is_bootstrap: way.is_bootstrap,
        })
    }

    /// Takes tokens that were lent.
    pub(super) fn take_lent(
        &mut self,
        tokens: f64,
        source: Source,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) {
        if now >= self.balance_until || self.source != Some(source) {
            self.balance = 0.0;
        }
        self.balance += tokens;
        self.balance_until = now + LENT_FOR;
        self.source = Some(source);
        self.denied = None;
        self.serve_waiting(now, settled);
    }

    /// Takes a refusal: for the first that waits, and those that cost as much. While the
    /// limit is empty nobody need be asked.
    pub(super) fn take_denied(
        &mut self,
        empty: Duration,
        after: Duration,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) {
        let Some(first) = self.waiting.front().copied() else { return };
        self.denied = Some(Denied {
            cost: first.cost,
            until: now + empty.min(DENIED_FOR),
            come_back: now + after,
        });
        let (denied, waiting): (VecDeque<Waiting>, VecDeque<Waiting>) =
            self.waiting.drain(..).partition(|waiting| waiting.cost >= first.cost);
        self.waiting = waiting;
        settled.extend(
            denied.into_iter().map(|denied| Settled {
                ticket: denied.ticket,
                decision: Decision::Refused(after),
            }),
        );
    }

    /// Lets the requests wait until a fallback lender has tokens, if the first one has not
    /// waited for too long by then. The time to find the lender does not count.
    pub(super) fn wait_for_tokens(
        &mut self,
        after: Duration,
        longest: Duration,
        now: BootInstant,
    ) -> bool {
        let Some(first) = self.waiting.front_mut() else { return false };
        let denied_since = *first.denied_since.get_or_insert(now);
        let waits = now.since(denied_since) + after <= longest;
        if waits {
            self.ask_from = now + after;
        }
        waits
    }

    /// Time until a request has its turn that comes behind those which wait for tokens; none
    /// if none do.
    fn turn_after(&self, cost: f64, now: BootInstant) -> Option<Duration> {
        if now >= self.ask_from || !self.has_waiting() {
            return None;
        }
        let ahead: f64 = self.waiting.iter().map(|waiting| waiting.cost).sum();
        let comes_within = (ahead + cost) / self.limit.limit.per_second;
        Some(Duration::try_from_secs_f64(comes_within).unwrap_or(Duration::MAX))
    }

    /// Gives up on all that wait.
    pub(super) fn give_up(&mut self, settled: &mut Vec<Settled>) {
        settled.extend(
            self.waiting
                .drain(..)
                .map(|waiting| Settled { ticket: waiting.ticket, decision: Decision::Undecided }),
        );
    }

    /// Tokens that are not needed and go back, with where they came from.
    fn surplus(&mut self, now: BootInstant) -> Option<(Source, f64)> {
        let keeps = if now < self.balance_until { self.ahead() } else { 0.0 };
        let surplus = self.balance - keeps;
        if surplus <= 0.0 {
            return None;
        }
        self.balance = keeps;
        self.source.map(|source| (source, surplus))
    }

    /// Whether requests wait.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}

/// What a node has been lent, by limit.
#[derive(Clone, Debug)]
pub(super) struct Borrower {
    pub(super) accounts: BTreeMap<QuotaKey, Account>,
    /// Longest wait of a request for tokens of a fallback lender.
    pub(super) max_fallback_wait: Duration,
    next_ticket: u64,
}

impl Borrower {
    /// A node that has been lent nothing yet.
    pub(super) fn new(max_fallback_wait: Duration) -> Borrower {
        Borrower { accounts: BTreeMap::new(), max_fallback_wait, next_ticket: 0 }
    }

    /// Decides on a request by what is there; tells its ticket where it has to wait.
    pub(super) fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
    ) -> Decision {
        let account = self.accounts.entry(key).or_insert_with(|| Account::new(limit, now));
        if limit.version > account.limit.version {
            account.limit = limit;
        }
        account.note_demand(cost, now);
        if !account.has_waiting() && account.take(cost, now) {
            return Decision::Granted;
        }
        let denied = account.denied.filter(|denied| now < denied.until && cost >= denied.cost);
        if let Some(denied) = denied {
            return Decision::Refused(denied.come_back.since(now));
        }
        let turn_after = account.turn_after(cost, now);
        if let Some(after) = turn_after.filter(|after| *after > self.max_fallback_wait) {
            return Decision::Refused(after);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        account.waiting.push_back(Waiting { ticket, cost, since: now, denied_since: None });
        Decision::Pending(ticket)
    }

    /// Takes the cost of a request back that has not run; tells what of it is not needed
    /// here.
    pub(super) fn refund(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) -> Option<(Source, f64)> {
        let account = self.accounts.get_mut(&key)?;
        if now >= account.balance_until {
            account.balance = 0.0;
            account.balance_until = now + LENT_FOR;
        }
        account.balance += cost;
        account.serve_waiting(now, settled);
        account.surplus(now)
    }

    /// What was lent and not used in time, and goes back. Requests that have waited for too
    /// long are given up.
    pub(super) fn tick(
        &mut self,
        now: BootInstant,
        settled: &mut Vec<Settled>,
    ) -> Vec<(QuotaKey, Source, f64)> {
        let mut returned = Vec::new();
        for (key, account) in &mut self.accounts {
            if now >= account.balance_until
                && let Some((source, tokens)) = account.surplus(now)
            {
                returned.push((*key, source, tokens));
            }
            while let Some(first) = account.waiting.front().copied()
                && now.since(first.since) >= LONGEST_WAIT
            {
                account.waiting.pop_front();
                settled.push(Settled { ticket: first.ticket, decision: Decision::Undecided });
            }
        }
        returned
    }

    /// Forgets what was lent: this node has slept.
    pub(super) fn forget_all(&mut self, now: BootInstant, settled: &mut Vec<Settled>) {
        for account in self.accounts.values_mut() {
            account.give_up(settled);
            account.balance = 0.0;
            account.ask = None;
            account.ask_from = now;
        }
    }

    /// Whether any request waits.
    pub(super) fn has_waiting(&self) -> bool {
        self.accounts.values().any(Account::has_waiting)
    }
}
