//! Allowances that one node lends for each limit.
//!
//! The first of the live nodes by a hash of limit and node lends. Its book is a bucket of
//! the limit's rate and burst; the others ask it for the tokens of a request, and for a
//! little ahead while there are plenty. While one node lends, the sum is right whatever
//! callers send. What happens while two do, or none is known, is in [`lender`].

mod askers;
mod book;
mod borrower;
mod lender;
mod message;
mod reach;
mod standing;
mod turns;

use std::net::SocketAddrV4;
use std::time::Duration;

use self::borrower::{ASK_AGAIN_AFTER, AskWay, Borrower, GIVE_UP_AFTER, OpenAsk, Source};
use self::lender::{Answer, Lender, LenderEffects, PeerStanding};
pub use self::message::{LendingMessage, LimitParameters, TokenRequest, TokenResponse};
use super::fleet_view::FleetView;
use super::{
    Decision, Effects, QuotaBounds, QuotaKey, QuotaPolicy, Settled, Ticket, VersionedLimit,
};
use crate::time::BootInstant;

/// Time between two ticks from which on this node has slept: it does not know what others
/// have used meanwhile.
const SLEPT_FROM: Duration = Duration::from_secs(1);
/// Time for which a node that does not answer is passed over.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// Time for which a node that does not lend yet is passed over.
const NOT_READY_FOR: Duration = Duration::from_millis(300);
/// Times that a question is sent on to another node.
const MOST_REDIRECTS: u32 = 3;

/// A node that borrows, and lends for some limits.
#[derive(Clone, Debug)]
pub struct LendingPolicy {
    ranks: FleetView,
    borrower: Borrower,
    lender: Lender,
    next_number: u64,
    ticked: BootInstant,
}

impl LendingPolicy {
    /// A node that has just started and knows a few others, which may be gone. `first_number`
    /// is drawn for each process.
    pub fn new(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        first_number: u64,
        now: BootInstant,
    ) -> LendingPolicy {
        LendingPolicy {
            ranks: FleetView::new(own, seeds, now),
            borrower: Borrower::new(bounds.max_fallback_wait),
            lender: Lender::new(bounds, first_number as u32),
            next_number: first_number >> 1,
            ticked: now,
        }
    }

    /// Whether anything waits, so that time has to pass in small steps.
    pub fn has_waiting(&self) -> bool {
        self.borrower.has_waiting() || self.lender.waits(self.ticked)
    }

    /// The node that this one asks first for a limit.
    pub fn lender_of(&mut self, key: QuotaKey) -> Option<SocketAddrV4> {
        self.ranks.first_lender(key)
    }

    /// Number of limits for which this node lends.
    pub fn lending_count(&self) -> usize {
        self.lender.len()
    }

    fn number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Asks for the requests of a limit that wait, as far as that is not done.
    fn ask(&mut self, key: QuotaKey, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        let is_bootstrap = !self.ranks.is_stable(now);
        let nodes = self.ranks.lender_candidates(key, now);
        let first = nodes.first().copied();
        let answers = |node: &SocketAddrV4| !self.ranks.is_skipped(*node, now);
        let target = nodes.into_iter().find(answers);
        let number = self.number();
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(target) = target else {
            return account.give_up(&mut effects.settled);
        };
        let way = AskWay { is_failover: !is_bootstrap && first != Some(target), is_bootstrap };
        let Some(ask) = account.next_ask(key, number, way, now) else { return };
        account.ask = Some(OpenAsk { ask, target, redirects: 0, first_sent: now, sent: now });
        self.send(target, ask, now, effects);
    }

    fn send(
        &mut self,
        target: SocketAddrV4,
        ask: TokenRequest,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        if target != self.ranks.own() {
            effects.messages.push((target, LendingMessage::Request(ask)));
            return;
        }
        let mut lent = LenderEffects::default();
        self.lender.take_ask(target, ask, &mut self.ranks, now, &mut lent);
        self.pass_on(lent, now, effects);
    }

    /// Sends what a lender answers; answers to this node itself are taken at once.
    fn pass_on(
        &mut self,
        lent: LenderEffects,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        effects.messages.extend(lent.messages);
        for Answer { to, key, number, response } in lent.answers {
            if to == self.ranks.own() {
                self.take_answer(to, key, number, response, now, effects);
            } else {
                effects.messages.push((to, LendingMessage::Response { key, number, response }));
            }
        }
    }

    fn take_answer(
        &mut self,
        from: SocketAddrV4,
        key: QuotaKey,
        number: u64,
        response: TokenResponse,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        self.ranks.note_response(from);
        let max_fallback_wait = self.borrower.max_fallback_wait;
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(open) = account.ask.filter(|open| open.ask.number == number) else {
            // It comes too late; what it lends goes back.
            if let TokenResponse::Lent { tokens, account_id } = response {
                self.give_back_to(key, Source { lender: from, account_id }, tokens, effects);
            }
            return;
        };
        account.ask = None;
        match response {
            TokenResponse::Lent { tokens, account_id } => {
                let source = Source { lender: from, account_id };
                account.take_lent(tokens, source, now, &mut effects.settled);
            }
            TokenResponse::Denied { empty_micros, retry_after_millis }
            | TokenResponse::DeniedProvisionally { empty_micros, retry_after_millis } => {
                let empty = Duration::from_micros(empty_micros.into());
                let after = Duration::from_millis(retry_after_millis.into());
                let is_provisional = matches!(response, TokenResponse::DeniedProvisionally { .. });
                if !is_provisional || !account.wait_for_tokens(after, max_fallback_wait, now) {
                    account.take_denied(empty, after, now, &mut effects.settled);
                }
            }
            TokenResponse::Redirect(to) if open.redirects < MOST_REDIRECTS => {
                let redirects = open.redirects + 1;
                account.ask = Some(OpenAsk { target: to, redirects, sent: now, ..open });
                return self.send(to, open.ask, now, effects);
            }
            TokenResponse::Redirect(_) => self.ranks.skip_for(from, NOT_READY_FOR, now),
            TokenResponse::NotReady => self.ranks.skip_for(from, NOT_READY_FOR, now),
        }
        self.ask(key, now, effects);
    }

    fn give_back_to(
        &mut self,
        key: QuotaKey,
        source: Source,
        tokens: f64,
        effects: &mut Effects<LendingMessage>,
    ) {
        let number = self.number();
        let Source { lender, account_id } = source;
        if lender == self.ranks.own() {
            self.lender.take_return(lender, key, number, account_id, tokens);
        } else {
            effects
                .messages
                .push((lender, LendingMessage::Return { key, number, account_id, tokens }));
        }
    }

    /// Asks for the requests that have waited until a fallback lender has tokens.
    fn ask_for_waiting(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        let accounts = self.borrower.accounts.iter();
        let waiting =
            accounts.filter(|(_, account)| account.ask.is_none() && account.has_waiting());
        let waiting: Vec<QuotaKey> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            self.ask(key, now, effects);
        }
    }

    /// Asks again where an answer is overdue, or another node.
    fn chase_answers(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        let open = self.borrower.accounts.iter();
        let open: Vec<(QuotaKey, OpenAsk)> =
            open.filter_map(|(key, account)| Some((*key, account.ask?))).collect();
        for (key, open) in open {
            let Some(account) = self.borrower.accounts.get_mut(&key) else { continue };
            if now.since(open.first_sent) >= GIVE_UP_AFTER {
                account.ask = None;
                if open.target != self.ranks.own() {
                    self.ranks.skip_for(open.target, SILENT_FOR, now);
                }
                self.ask(key, now, effects);
            } else if now.since(open.sent) >= ASK_AGAIN_AFTER && open.target != self.ranks.own() {
                account.ask = Some(OpenAsk { sent: now, ..open });
                self.send(open.target, open.ask, now, effects);
            }
        }
    }

    fn wake(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        self.lender.close_all();
        self.borrower.forget_all(now, &mut effects.settled);
        self.ranks.reset_stability(now);
    }
}

/// Takes the decision on a request out of what was settled with it.
fn settled_at_once(ticket: Ticket, settled: &mut Vec<Settled>) -> Option<Decision> {
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
        self.ask(key, now, effects);
        settled_at_once(ticket, &mut effects.settled).unwrap_or(decision)
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
            self.give_back_to(key, source, tokens, effects);
        }
    }

    fn receive(
        &mut self,
        from: SocketAddrV4,
        message: LendingMessage,
        now: BootInstant,
        effects: &mut Effects<LendingMessage>,
    ) {
        let mut lent = LenderEffects::default();
        let ranks = &mut self.ranks;
        match message {
            LendingMessage::Request(ask) => self.lender.take_ask(from, ask, ranks, now, &mut lent),
            LendingMessage::Response { key, number, response } => {
                self.take_answer(from, key, number, response, now, effects);
            }
            LendingMessage::Return { key, number, account_id, tokens } => {
                self.lender.take_return(from, key, number, account_id, tokens);
            }
            LendingMessage::TakeOver { key } => {
                let remaining = self.lender.hand_over(from, key, now);
                lent.messages.push((from, LendingMessage::HandedOver { key, remaining }));
            }
            LendingMessage::HandedOver { key, remaining } => {
                self.lender.take_left(from, key, remaining, ranks, now, &mut lent);
            }
            LendingMessage::Probe { key } => {
                let is_lending = self.lender.lends(key, ranks, now);
                let is_stable = ranks.is_stable(now);
                let answer = LendingMessage::ProbeResponse { key, is_lending, is_stable };
                lent.messages.push((from, answer));
            }
            LendingMessage::ProbeResponse { key, is_lending, is_stable } => {
                let standing = PeerStanding { node: from, is_lending, is_stable };
                self.lender.take_probe_answer(standing, key, ranks, now, &mut lent);
            }
        }
        self.pass_on(lent, now, effects);
    }

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.ranks.set_alive(alive, now);
    }

    fn tick(&mut self, now: BootInstant, effects: &mut Effects<LendingMessage>) {
        if now.since(self.ticked) >= SLEPT_FROM {
            self.wake(now, effects);
        }
        self.ticked = now;
        let mut lent = LenderEffects::default();
        self.lender.tick(&mut self.ranks, now, &mut lent);
        self.pass_on(lent, now, effects);
        for (key, source, tokens) in self.borrower.tick(now, &mut effects.settled) {
            self.give_back_to(key, source, tokens, effects);
        }
        self.chase_answers(now, effects);
        self.ask_for_waiting(now, effects);
    }
}
