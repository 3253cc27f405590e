//! A quota policy in which one node lends tokens for each limit.
//!
//! The lender is the live node with the highest hash of limit and node. Its account is a token
//! bucket with the limit's rate and burst. The other nodes request the tokens for their requests
//! from it, and a few in advance while there are plenty. As long as there is one lender, the total
//! is exact whatever callers send. [`lender`] handles the cases of two lenders and of none.

mod account_state;
mod borrower;
mod lender;
mod lender_account;
mod message;
mod reachability;
mod requesters;
mod wait_queue;

use std::net::SocketAddrV4;
use std::time::Duration;

use self::borrower::{
    Borrower, InFlightRequest, RESEND_AFTER, RESPONSE_TIMEOUT, RequestMode, Source,
};
use self::lender::{Lender, LenderEffects, OutgoingResponse, PeerStatus};
pub use self::message::{LendingMessage, LimitParameters, TokenRequest, TokenResponse};
use super::fleet_view::FleetView;
use super::{
    Decision, Effects, QuotaBounds, QuotaKey, QuotaPolicy, Settled, Ticket, VersionedLimit,
};
use crate::time::BootInstant;

/// Time between two ticks from which on this node was suspended. It does not know what other nodes
/// have used in the meantime.
const SUSPENDED_FROM: Duration = Duration::from_secs(1);
/// Time for which a node that does not respond is skipped.
const UNRESPONSIVE_SKIP: Duration = Duration::from_secs(1);
/// Time for which a node that does not lend yet is skipped.
const NOT_READY_SKIP: Duration = Duration::from_millis(300);
/// Maximum number of times that a token request is redirected.
const MAX_REDIRECTS: u32 = 3;

/// The lending policy at one node, which borrows tokens and is the lender for some limits.
#[derive(Clone, Debug)]
pub struct LendingPolicy {
    fleet: FleetView,
    borrower: Borrower,
    lender: Lender,
    next_number: u64,
    last_tick: BootInstant,
}

impl LendingPolicy {
    /// The policy at a node that has just started and knows only the seeds, which may not be
    /// running. `first_number` has to be random for each process.
    pub fn new(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        first_number: u64,
        now: BootInstant,
    ) -> LendingPolicy {
        LendingPolicy {
            fleet: FleetView::new(own, seeds, now),
            borrower: Borrower::new(bounds.max_fallback_wait),
            lender: Lender::new(bounds, first_number as u32),
            next_number: first_number >> 1,
            last_tick: now,
        }
    }

    /// Whether requests or responses are awaited, so that ticks have to be frequent.
    pub fn has_waiting(&self) -> bool {
        self.borrower.has_waiting() || self.lender.is_waiting(self.last_tick)
    }

    /// The highest-ranked lender for a limit; None if no node is alive.
    pub fn lender_of(&mut self, key: QuotaKey) -> Option<SocketAddrV4> {
        self.fleet.first_lender(key)
    }

    /// Number of limits that this node holds a lending account for.
    pub fn lending_count(&self) -> usize {
        self.lender.account_count()
    }

    fn next_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Requests tokens for the waiting requests of a limit, unless a token request is in flight.
    fn request_tokens(
        &mut self,
        key: QuotaKey,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        let is_bootstrap = !self.fleet.is_stable(now);
        let nodes = self.fleet.lender_candidates(key, now);
        let first = nodes.first().copied();
        let is_eligible = |node: &SocketAddrV4| !self.fleet.is_skipped(*node, now);
        let target = nodes.into_iter().find(is_eligible);
        let number = self.next_number();
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(target) = target else {
            return account.fail_waiting(&mut effects.settled);
        };
        let mode =
            RequestMode { is_failover: !is_bootstrap && first != Some(target), is_bootstrap };
        let Some(request) = account.next_request(key, number, mode, now) else { return };
        account.in_flight = Some(InFlightRequest {
            request,
            target,
            redirects: 0,
            first_sent: now,
            last_sent: now,
        });
        self.send_request(target, request, now, effects);
    }

    fn send_request(
        &mut self,
        target: SocketAddrV4,
        request: TokenRequest,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        if target != self.fleet.own() {
            effects.messages.push((target, LendingMessage::Request(request)));
            return;
        }
        let mut lender_effects = LenderEffects::default();
        self.lender.receive_request(target, request, &mut self.fleet, now, &mut lender_effects);
        self.dispatch(lender_effects, now, effects);
    }

    /// Sends the responses and messages of the lender. Responses to this node itself are handled at
    /// once.
    fn dispatch(
        &mut self,
        lender_effects: LenderEffects,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        effects.messages.extend(lender_effects.messages);
        effects.denials.extend(lender_effects.denials);
        for OutgoingResponse { to, key, number, response } in lender_effects.responses {
            if to == self.fleet.own() {
                self.receive_response(to, key, number, response, now, effects);
            } else {
                effects.messages.push((to, LendingMessage::Response { key, number, response }));
            }
        }
    }

    fn receive_response(
        &mut self,
        from: SocketAddrV4,
        key: QuotaKey,
        number: u64,
        response: TokenResponse,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        self.fleet.note_response(from);
        let max_fallback_wait = self.borrower.max_fallback_wait;
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(in_flight) =
            account.in_flight.filter(|in_flight| in_flight.request.number == number)
        else {
            // The response is too late; its tokens are returned.
            if let TokenResponse::Lent { tokens, account_id } = response {
                self.return_tokens(key, Source { lender: from, account_id }, tokens, effects);
            }
            return;
        };
        account.in_flight = None;
        match response {
            TokenResponse::Lent { tokens, account_id } => {
                let source = Source { lender: from, account_id };
                account.credit(tokens, source, now, &mut effects.settled);
            }
            TokenResponse::Denied { empty_micros, retry_after_millis }
            | TokenResponse::DeniedProvisionally { empty_micros, retry_after_millis } => {
                let empty = Duration::from_micros(empty_micros.into());
                let after = Duration::from_millis(retry_after_millis.into());
                let is_provisional = matches!(response, TokenResponse::DeniedProvisionally { .. });
                if !is_provisional || !account.defer_until_available(after, max_fallback_wait, now)
                {
                    account.apply_denial(empty, after, now, &mut effects.settled);
                }
            }
            TokenResponse::Redirect(to) if in_flight.redirects < MAX_REDIRECTS => {
                let redirects = in_flight.redirects + 1;
                account.in_flight =
                    Some(InFlightRequest { target: to, redirects, last_sent: now, ..in_flight });
                return self.send_request(to, in_flight.request, now, effects);
            }
            TokenResponse::Redirect(_) => self.fleet.skip_for(from, NOT_READY_SKIP, now),
            TokenResponse::NotReady => self.fleet.skip_for(from, NOT_READY_SKIP, now),
        }
        self.request_tokens(key, now, effects);
    }

    fn return_tokens(
        &mut self,
        key: QuotaKey,
        source: Source,
        tokens: f64,
        effects: &mut Effects<LendingMessage>,
    ) {
        let number = self.next_number();
        let Source { lender, account_id } = source;
        if lender == self.fleet.own() {
            self.lender.receive_return(lender, key, number, account_id, tokens);
        } else {
            effects
                .messages
                .push((lender, LendingMessage::Return { key, number, account_id, tokens }));
        }
    }

    /// Requests tokens for requests that have waited until a fallback lender has some.
    fn request_for_waiting(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        let accounts = self.borrower.accounts.iter();
        let waiting =
            accounts.filter(|(_, account)| account.in_flight.is_none() && account.has_waiting());
        let waiting: Vec<QuotaKey> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            self.request_tokens(key, now, effects);
        }
    }

    /// Sends overdue token requests again, or to another node.
    fn resend_or_fail_over(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        let in_flight = self.borrower.accounts.iter();
        let in_flight: Vec<(QuotaKey, InFlightRequest)> =
            in_flight.filter_map(|(key, account)| Some((*key, account.in_flight?))).collect();
        for (key, in_flight) in in_flight {
            let Some(account) = self.borrower.accounts.get_mut(&key) else { continue };
            if now.since(in_flight.first_sent) >= RESPONSE_TIMEOUT {
                account.in_flight = None;
                if in_flight.target != self.fleet.own() {
                    self.fleet.skip_for(in_flight.target, UNRESPONSIVE_SKIP, now);
                }
                self.request_tokens(key, now, effects);
            } else if now.since(in_flight.last_sent) >= RESEND_AFTER
                && in_flight.target != self.fleet.own()
            {
                account.in_flight = Some(InFlightRequest { last_sent: now, ..in_flight });
                self.send_request(in_flight.target, in_flight.request, now, effects);
            }
        }
    }

    fn reset_after_suspension(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        self.lender.close_all();
        self.borrower.discard_all(now, &mut effects.settled);
        self.fleet.reset_stability(now);
    }
}

/// Removes the decision on the request with this ticket from those that were settled.
fn take_decision(ticket: Ticket, settled: &mut Vec<Settled>) -> Option<Decision> {
    let place = settled.iter().position(|settled| settled.ticket == ticket)?;
    Some(settled.swap_remove(place).decision)
}

impl QuotaPolicy for LendingPolicy {
    type Message = LendingMessage;

    fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) -> Decision {
        let decision = self.borrower.request(key, limit, cost, now);
        let Decision::Pending(ticket) = decision else { return decision };
        self.request_tokens(key, now, effects);
        take_decision(ticket, &mut effects.settled).unwrap_or(decision)
    }

    fn refund(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        let surplus = self.borrower.refund(key, cost, now, &mut effects.settled);
        if let Some((source, tokens)) = surplus {
            self.return_tokens(key, source, tokens, effects);
        }
    }

    fn receive(
        &mut self,
        from: SocketAddrV4,
        message: LendingMessage,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        let mut lender_effects = LenderEffects::default();
        let fleet = &mut self.fleet;
        match message {
            LendingMessage::Request(request) => {
                self.lender.receive_request(from, request, fleet, now, &mut lender_effects)
            }
            LendingMessage::Response { key, number, response } => {
                self.receive_response(from, key, number, response, now, effects);
            }
            LendingMessage::Return { key, number, account_id, tokens } => {
                self.lender.receive_return(from, key, number, account_id, tokens);
            }
            LendingMessage::TakeOver { key } => {
                let remaining = self.lender.hand_over(from, key, now);
                lender_effects.messages.push((from, LendingMessage::HandedOver { key, remaining }));
            }
            LendingMessage::HandedOver { key, remaining } => {
                self.lender.receive_handover(from, key, remaining, fleet, now, &mut lender_effects);
            }
            LendingMessage::Probe { key } => {
                let is_lending = self.lender.is_lender(key, fleet, now);
                let is_stable = fleet.is_stable(now);
                let response = LendingMessage::ProbeResponse { key, is_lending, is_stable };
                lender_effects.messages.push((from, response));
            }
            LendingMessage::ProbeResponse { key, is_lending, is_stable } => {
                let status = PeerStatus { node: from, is_lending, is_stable };
                self.lender.receive_probe_response(status, key, fleet, now, &mut lender_effects);
            }
        }
        self.dispatch(lender_effects, now, effects);
    }

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.fleet.set_alive(alive, now);
    }

    fn tick(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        if now.since(self.last_tick) >= SUSPENDED_FROM {
            self.reset_after_suspension(now, effects);
        }
        self.last_tick = now;
        let mut lender_effects = LenderEffects::default();
        self.lender.tick(&mut self.fleet, now, &mut lender_effects);
        self.dispatch(lender_effects, now, effects);
        for (key, source, tokens) in self.borrower.tick(now, &mut effects.settled) {
            self.return_tokens(key, source, tokens, effects);
        }
        self.resend_or_fail_over(now, effects);
        self.request_for_waiting(now, effects);
    }
}
