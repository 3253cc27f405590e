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
pub use self::message::{Ask, AskedLimit, LentMessage, Outcome};
use super::ranks::FleetRanks;
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
pub struct LentQuota {
    ranks: FleetRanks,
    borrower: Borrower,
    lender: Lender,
    next_number: u64,
    ticked: BootInstant,
}

impl LentQuota {
    /// A node that has just started and knows a few others, which may be gone. `first_number`
    /// is drawn for each process.
    pub fn new(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        first_number: u64,
        now: BootInstant,
    ) -> LentQuota {
        LentQuota {
            ranks: FleetRanks::new(own, seeds, now),
            borrower: Borrower::new(bounds.fallback_wait),
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
        self.ranks.first(key)
    }

    /// Number of limits for which this node lends.
    pub fn books(&self) -> usize {
        self.lender.len()
    }

    fn number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Asks for the requests of a limit that wait, as far as that is not done.
    fn ask(&mut self, key: QuotaKey, now: BootInstant, effects: &mut Effects<LentMessage>) {
        let starts = !self.ranks.is_settled(now);
        let nodes = self.ranks.to_ask(key, now);
        let first = nodes.first().copied();
        let answers = |node: &SocketAddrV4| !self.ranks.is_passed_over(*node, now);
        let target = nodes.into_iter().find(answers);
        let number = self.number();
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(target) = target else {
            return account.give_up(&mut effects.settled);
        };
        let way = AskWay { passed_over: !starts && first != Some(target), starts };
        let Some(ask) = account.next_ask(key, number, way, now) else { return };
        account.ask = Some(OpenAsk { ask, target, redirects: 0, first_sent: now, sent: now });
        self.send(target, ask, now, effects);
    }

    fn send(
        &mut self,
        target: SocketAddrV4,
        ask: Ask,
        now: BootInstant,
        effects: &mut Effects<LentMessage>,
    ) {
        if target != self.ranks.own() {
            effects.messages.push((target, LentMessage::Ask(ask)));
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
        effects: &mut Effects<LentMessage>,
    ) {
        effects.messages.extend(lent.messages);
        for Answer { to, key, number, outcome } in lent.answers {
            if to == self.ranks.own() {
                self.take_answer(to, key, number, outcome, now, effects);
            } else {
                effects.messages.push((to, LentMessage::Answer { key, number, outcome }));
            }
        }
    }

    fn take_answer(
        &mut self,
        from: SocketAddrV4,
        key: QuotaKey,
        number: u64,
        outcome: Outcome,
        now: BootInstant,
        effects: &mut Effects<LentMessage>,
    ) {
        self.ranks.answers(from);
        let fallback_wait = self.borrower.fallback_wait;
        let Some(account) = self.borrower.accounts.get_mut(&key) else { return };
        let Some(open) = account.ask.filter(|open| open.ask.number == number) else {
            // It comes too late; what it lends goes back.
            if let Outcome::Lent { tokens, book } = outcome {
                self.give_back_to(key, Source { lender: from, book }, tokens, effects);
            }
            return;
        };
        account.ask = None;
        match outcome {
            Outcome::Lent { tokens, book } => {
                let source = Source { lender: from, book };
                account.take_lent(tokens, source, now, &mut effects.settled);
            }
            Outcome::Denied { empty_micros, after_millis }
            | Outcome::DeniedForNow { empty_micros, after_millis } => {
                let empty = Duration::from_micros(empty_micros.into());
                let after = Duration::from_millis(after_millis.into());
                let is_provisional = matches!(outcome, Outcome::DeniedForNow { .. });
                if !is_provisional || !account.wait_for_tokens(after, fallback_wait, now) {
                    account.take_denied(empty, after, now, &mut effects.settled);
                }
            }
            Outcome::Elsewhere(to) if open.redirects < MOST_REDIRECTS => {
                let redirects = open.redirects + 1;
                account.ask = Some(OpenAsk { target: to, redirects, sent: now, ..open });
                return self.send(to, open.ask, now, effects);
            }
            Outcome::Elsewhere(_) => self.ranks.pass_over(from, NOT_READY_FOR, now),
            Outcome::NotReady => self.ranks.pass_over(from, NOT_READY_FOR, now),
        }
        self.ask(key, now, effects);
    }

    fn give_back_to(
        &mut self,
        key: QuotaKey,
        source: Source,
        tokens: f64,
        effects: &mut Effects<LentMessage>,
    ) {
        let number = self.number();
        let Source { lender, book } = source;
        if lender == self.ranks.own() {
            self.lender.take_return(lender, key, number, book, tokens);
        } else {
            effects.messages.push((lender, LentMessage::Return { key, number, book, tokens }));
        }
    }

    /// Asks for the requests that have waited until a fallback lender has tokens.
    fn ask_for_waiting(&mut self, now: BootInstant, effects: &mut Effects<LentMessage>) {
        let accounts = self.borrower.accounts.iter();
        let waiting =
            accounts.filter(|(_, account)| account.ask.is_none() && account.has_waiting());
        let waiting: Vec<QuotaKey> = waiting.map(|(key, _)| *key).collect();
        for key in waiting {
            self.ask(key, now, effects);
        }
    }

    /// Asks again where an answer is overdue, or another node.
    fn chase_answers(&mut self, now: BootInstant, effects: &mut Effects<LentMessage>) {
        let open = self.borrower.accounts.iter();
        let open: Vec<(QuotaKey, OpenAsk)> =
            open.filter_map(|(key, account)| Some((*key, account.ask?))).collect();
        for (key, open) in open {
            let Some(account) = self.borrower.accounts.get_mut(&key) else { continue };
            if now.since(open.first_sent) >= GIVE_UP_AFTER {
                account.ask = None;
                if open.target != self.ranks.own() {
                    self.ranks.pass_over(open.target, SILENT_FOR, now);
                }
                self.ask(key, now, effects);
            } else if now.since(open.sent) >= ASK_AGAIN_AFTER && open.target != self.ranks.own() {
                account.ask = Some(OpenAsk { sent: now, ..open });
                self.send(open.target, open.ask, now, effects);
            }
        }
    }

    fn wake(&mut self, now: BootInstant, effects: &mut Effects<LentMessage>) {
        self.lender.close_all();
        self.borrower.forget_all(now, &mut effects.settled);
        self.ranks.restart(now);
    }
}

/// Takes the decision on a request out of what was settled with it.
fn settled_at_once(ticket: Ticket, settled: &mut Vec<Settled>) -> Option<Decision> {
    let place = settled.iter().position(|settled| settled.ticket == ticket)?;
    Some(settled.swap_remove(place).decision)
}

impl QuotaPolicy for LentQuota {
    type Message = LentMessage;

    fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<LentMessage>,
    ) -> Decision {
        let decision = self.borrower.request(key, limit, cost, now);
        let Decision::Pending(ticket) = decision else { return decision };
        self.ask(key, now, effects);
        settled_at_once(ticket, &mut effects.settled).unwrap_or(decision)
    }

    fn give_back(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<LentMessage>,
    ) {
        let surplus = self.borrower.give_back(key, cost, now, &mut effects.settled);
        if let Some((source, tokens)) = surplus {
            self.give_back_to(key, source, tokens, effects);
        }
    }

    fn receive(
        &mut self,
        from: SocketAddrV4,
        message: LentMessage,
        now: BootInstant,
        effects: &mut Effects<LentMessage>,
    ) {
        let mut lent = LenderEffects::default();
        let ranks = &mut self.ranks;
        match message {
            LentMessage::Ask(ask) => self.lender.take_ask(from, ask, ranks, now, &mut lent),
            LentMessage::Answer { key, number, outcome } => {
                self.take_answer(from, key, number, outcome, now, effects);
            }
            LentMessage::Return { key, number, book, tokens } => {
                self.lender.take_return(from, key, number, book, tokens);
            }
            LentMessage::TakeOver { key } => {
                let level = self.lender.hand_over(from, key, now);
                lent.messages.push((from, LentMessage::Left { key, level }));
            }
            LentMessage::Left { key, level } => {
                self.lender.take_left(from, key, level, ranks, now, &mut lent);
            }
            LentMessage::Probe { key } => {
                let lends = self.lender.lends(key, ranks, now);
                let is_settled = ranks.is_settled(now);
                let answer = LentMessage::ProbeAnswer { key, lends, is_settled };
                lent.messages.push((from, answer));
            }
            LentMessage::ProbeAnswer { key, lends, is_settled } => {
                let standing = PeerStanding { node: from, lends, is_settled };
                self.lender.take_probe_answer(standing, key, ranks, now, &mut lent);
            }
        }
        self.pass_on(lent, now, effects);
    }

    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        self.ranks.set(alive, now);
    }

    fn tick(&mut self, now: BootInstant, effects: &mut Effects<LentMessage>) {
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
