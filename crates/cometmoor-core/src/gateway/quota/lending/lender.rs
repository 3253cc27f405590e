//! The books of the limits for which a node lends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use super::askers::Askers;
use super::book::{Asker, Book, most_leeway, start};
use super::message::{LendingMessage, TokenRequest, TokenResponse};
use super::reach::Reach;
use super::standing::{Awaited, Question, Role, Standing};
use super::turns::Turns;
use crate::gateway::quota::bucket::TokenBucket;
use crate::gateway::quota::fleet_view::FleetView;
use crate::gateway::quota::{QuotaBounds, QuotaKey};
use crate::time::BootInstant;

/// Time for which a node that has not answered a probe is passed over.
const SILENT_FOR: Duration = Duration::from_secs(2);
/// Longest wait for what is left in the book of another node, or for its answer to a probe.
const LONGEST_WAIT: Duration = Duration::from_millis(90);
/// Time after which those that have not answered are asked once more.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(35);
/// Time for which a seed's word counts that the fleet runs.
const RUNS_FOR: Duration = Duration::from_secs(2);
/// Time after which a book that nobody asked for is closed.
const IDLE_FOR: Duration = Duration::from_secs(30);
/// Time for which a node that has handed a book over says so.
const HANDED_FOR: Duration = Duration::from_secs(4);
/// An answer to a node's question.
#[derive(Clone, Copy, Debug)]
pub(super) struct Answer {
    pub(super) to: SocketAddrV4,
    pub(super) key: QuotaKey,
    pub(super) number: u64,
    pub(super) response: TokenResponse,
}

/// What follows from what a lender took.
#[derive(Debug, Default)]
pub(super) struct LenderEffects {
    pub(super) answers: Vec<Answer>,
    pub(super) messages: Vec<(SocketAddrV4, LendingMessage)>,
}

/// How another node stands that was probed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerStanding {
    pub(super) node: SocketAddrV4,
    pub(super) is_lending: bool,
    pub(super) is_stable: bool,
}

/// The limits for which a node lends.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    bounds: QuotaBounds,
    books: BTreeMap<QuotaKey, Book>,
    handed: HashMap<QuotaKey, (SocketAddrV4, BootInstant)>,
    /// A seed that has said that the fleet runs, and when.
    running_seed: Option<(SocketAddrV4, BootInstant)>,
    reach: Reach,
    next_book: u32,
}

/// Asks nodes something; the book waits for their answers.
fn awaits(
    what: Question,
    from: Vec<SocketAddrV4>,
    key: QuotaKey,
    now: BootInstant,
    effects: &mut LenderEffects,
) -> Standing {
    let message = what.message(key);
    effects.messages.extend(from.iter().map(|node| (*node, message)));
    Standing::Awaits(Awaited { what, from, began: now, is_asked_again: false })
}

impl Lender {
    /// A node that lends nothing yet. Books are numbered from a number that is drawn for
    /// each process, so that tokens are not given back to the book of another one.
    pub(super) fn new(bounds: QuotaBounds, first_book: u32) -> Lender {
        Lender {
            bounds,
            books: BTreeMap::new(),
            handed: HashMap::new(),
            running_seed: None,
            reach: Reach::default(),
            next_book: first_book,
        }
    }

    /// Closes all books: their use by others is not known any more.
    pub(super) fn close_all(&mut self) {
        self.books.clear();
        self.handed.clear();
    }

    /// Takes a question.
    pub(super) fn take_ask(
        &mut self,
        from: SocketAddrV4,
        ask: TokenRequest,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let key = ask.key;
        let answer = |response| Answer { to: from, key, number: ask.number, response };
        if self.books.contains_key(&key) {
            return self.ask_book(from, ask, ranks, now, effects);
        }
        if let Some((to, at)) = self.handed.get(&key)
            && now.since(*at) < HANDED_FOR
            && !ask.is_failover
        {
            effects.answers.push(answer(TokenResponse::Redirect(*to)));
            return;
        }
        if !ranks.is_stable(now) {
            if ask.is_bootstrap && ranks.is_seed() {
                return self.start_as_seed(from, ask, ranks, now, effects);
            }
            effects.answers.push(answer(TokenResponse::NotReady));
            return;
        }
        match ranks.first_lender(key) {
            None => effects.answers.push(answer(TokenResponse::NotReady)),
            Some(first) if first == ranks.own() => {
                let standing = self.begin(key, ranks, now, effects);
                self.open(ask, standing, ranks, now);
                self.ask_book(from, ask, ranks, now, effects);
                self.conclude_if_alone(key, ranks, now, effects);
            }
            Some(_) if ask.is_failover => {
                let ahead = ranks.lenders_above_own(key);
                let standing = awaits(Question::OneAheadLends, ahead.clone(), key, now, effects);
                self.probe_others(key, &ahead, ranks, now, effects);
                self.open(ask, standing, ranks, now);
                self.ask_book(from, ask, ranks, now, effects);
            }
            Some(first) => effects.answers.push(answer(TokenResponse::Redirect(first))),
        }
    }

    /// Finds out how many of the other nodes this one reaches, but for those that are silent.
    fn probe_others(
        &mut self,
        key: QuotaKey,
        silent: &[SocketAddrV4],
        ranks: &FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        if !self.reach.is_sample_due(now) {
            return;
        }
        let others: Vec<SocketAddrV4> = ranks
            .others()
            .filter(|node| !silent.contains(node) && !ranks.is_skipped(*node, now))
            .collect();
        let probed = self.reach.probe(&others, now);
        effects
            .messages
            .extend(probed.into_iter().map(|node| (node, LendingMessage::Probe { key })));
    }

    /// Probes again whom this node has not heard of the last sample.
    fn probe_again(&mut self, now: BootInstant, effects: &mut LenderEffects) {
        let Some(key) = self.books.keys().next().copied() else { return };
        let silent = self.reach.probe_again(now);
        effects
            .messages
            .extend(silent.into_iter().map(|node| (node, LendingMessage::Probe { key })));
    }

    /// Opens a book at a seed that knows too little of the others, unless another seed knows
    /// more: then only this one starts, and not the fleet.
    fn start_as_seed(
        &mut self,
        from: SocketAddrV4,
        ask: TokenRequest,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let (key, number) = (ask.key, ask.number);
        if let Some((seed, at)) = self.running_seed
            && now.since(at) < RUNS_FOR
        {
            let response = TokenResponse::Redirect(seed);
            return effects.answers.push(Answer { to: from, key, number, response });
        }
        let seeds: Vec<SocketAddrV4> = ranks.other_seeds().collect();
        let standing = match seeds.is_empty() {
            true => Standing::Lends(Role::Start),
            false => awaits(Question::SeedKnows, seeds, key, now, effects),
        };
        self.open(ask, standing, ranks, now);
        self.ask_book(from, ask, ranks, now, effects);
    }

    /// How a new book stands at a node that comes first: where another one may have lent in
    /// the last window, what is left there is asked for.
    fn begin(
        &self,
        key: QuotaKey,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) -> Standing {
        let gone = ranks.departed_lender_above_own(key, now);
        if gone.is_none() && ranks.time_since_start(now) >= self.bounds.window {
            return Standing::Lends(Role::First);
        }
        let second = ranks.lenders(key).get(1).copied();
        let is_young = ranks.time_since_start(now) < self.bounds.window;
        let seeds = ranks.other_seeds().filter(|_| is_young);
        let mut from: Vec<SocketAddrV4> = gone.into_iter().chain(second).chain(seeds).collect();
        from.sort_unstable();
        from.dedup();
        awaits(Question::Left(None), from, key, now, effects)
    }

    /// Opens a book. It is full only where nobody can have lent in the last window.
    fn open(&mut self, ask: TokenRequest, standing: Standing, ranks: &FleetView, now: BootInstant) {
        let is_full = standing == Standing::Lends(Role::First);
        let share = ranks.live_share(now);
        let most = ask.limit.burst * share;
        let level = if is_full { most } else { 0.0 };
        let leeway = if is_full { most_leeway(&self.bounds, &ask.limit) * share } else { 0.0 };
        self.next_book = self.next_book.wrapping_add(1);
        let book = Book {
            number: self.next_book,
            standing,
            limit: ask.limit,
            bucket: TokenBucket::new(level, most, ask.limit.per_second, now),
            leeway: TokenBucket::new(leeway, leeway, 0.0, now),
            started_with: 0.0,
            nodes: HashMap::new(),
            askers: Askers::default(),
            held: Vec::new(),
            asked: now,
            promised: now,
            turns: Turns::default(),
        };
        self.books.insert(ask.key, book);
    }

    /// Answers a question from a book, or holds it until the book lends.
    fn ask_book(
        &mut self,
        from: SocketAddrV4,
        ask: TokenRequest,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let bounds = self.bounds;
        let Some(book) = self.books.get_mut(&ask.key) else { return };
        book.asked = now;
        let fresh = Asker { answered: None, returned: 0 };
        let asker = book.nodes.entry(from).or_insert(fresh);
        let again = asker.answered.filter(|(number, _)| *number == ask.number);
        if let Some((number, response)) = again {
            effects.answers.push(Answer { to: from, key: ask.key, number, response });
            return;
        }
        // Repeated questions count once, or the fleet would look smaller than it is.
        let was_denied =
            matches!(asker.answered, Some((_, TokenResponse::DeniedProvisionally { .. })));
        let is_held = book.held.iter().any(|(_, held)| held.number == ask.number);
        if !was_denied && !is_held {
            book.askers.note(from, now);
        }
        let Standing::Lends(role) = book.standing else {
            book.held.retain(|(holder, _)| *holder != from);
            book.held.push((from, ask));
            return;
        };
        if ask.limit.version > book.limit.version {
            book.limit = ask.limit;
        }
        let first = ranks.first_lender(ask.key).filter(|_| ranks.is_stable(now));
        let is_first = first == Some(ranks.own());
        if is_first && role == Role::Fallback {
            book.begin_anew(&bounds, ranks.live_share(now));
        }
        let role = if is_first { Role::First } else { role };
        book.standing = Standing::Lends(role);
        let response = match first {
            // The fleet has started; the first one asks for what is left here.
            Some(first) if role == Role::Start => TokenResponse::Redirect(first),
            _ => {
                book.set_rate(role, ask.first_cost, self.reach.reached(now), &bounds, ranks, now);
                match role {
                    Role::First => book.lend(&ask, now),
                    Role::Fallback | Role::Start => {
                        book.lend_in_turn(from, &ask, bounds.max_fallback_wait, now)
                    }
                }
            }
        };
        if let Some(asker) = book.nodes.get_mut(&from) {
            asker.answered = Some((ask.number, response));
        }
        effects.answers.push(Answer { to: from, key: ask.key, number: ask.number, response });
    }

    /// Takes tokens back.
    pub(super) fn take_return(
        &mut self,
        from: SocketAddrV4,
        key: QuotaKey,
        number: u64,
        book_number: u32,
        tokens: f64,
    ) {
        let Some(book) = self.books.get_mut(&key) else { return };
        let Some(asker) = book.nodes.get_mut(&from) else { return };
        // A datagram may come twice, or from before this book was opened.
        if book.number == book_number && number > asker.returned {
            asker.returned = number;
            book.bucket.refund(tokens);
        }
    }

    /// Hands a book over to a node that takes its place; tells what is left.
    pub(super) fn hand_over(
        &mut self,
        to: SocketAddrV4,
        key: QuotaKey,
        now: BootInstant,
    ) -> Option<f64> {
        let lends = |book: &Book| matches!(book.standing, Standing::Lends(_));
        if !self.books.get(&key).is_some_and(lends) {
            return None;
        }
        let mut book = self.books.remove(&key)?;
        self.handed.insert(key, (to, now));
        let level = book.bucket.level(now);
        // What others have lent beside this one is not in its book.
        let is_first = book.standing == Standing::Lends(Role::First);
        Some(if is_first { level } else { level.min(start(&self.bounds, &book.limit)) })
    }

    /// Takes what is left in another node's book.
    pub(super) fn take_left(
        &mut self,
        node: SocketAddrV4,
        key: QuotaKey,
        level: Option<f64>,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let Some(book) = self.books.get_mut(&key) else { return };
        let Standing::Awaits(awaited) = &mut book.standing else { return };
        let Question::Left(least) = &mut awaited.what else { return };
        *least = match (*least, level) {
            (Some(known), Some(level)) => Some(known.min(level)),
            (known, level) => known.or(level),
        };
        awaited.from.retain(|asked| *asked != node);
        if awaited.from.is_empty() {
            self.conclude(key, ranks, now, effects);
        }
    }

    /// Takes the answer of a node that was probed: whoever asked is sent there if it lends,
    /// or knows who does. A first one that has begun anew does not; this node lends until it
    /// is asked to hand over.
    pub(super) fn take_probe_answer(
        &mut self,
        peer: PeerStanding,
        key: QuotaKey,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let node = peer.node;
        self.reach.note_answer(node);
        let Some(book) = self.books.get_mut(&key) else { return };
        let Standing::Awaits(awaited) = &mut book.standing else { return };
        let knows_more = match awaited.what {
            Question::OneAheadLends => peer.is_lending && awaited.from.contains(&node),
            Question::SeedKnows => peer.is_stable,
            Question::Left(_) => return,
        };
        awaited.from.retain(|asked| *asked != node);
        if !knows_more && !awaited.from.is_empty() {
            return;
        }
        if !knows_more {
            return self.conclude(key, ranks, now, effects);
        }
        if awaited.what == Question::SeedKnows {
            self.running_seed = Some((node, now));
        }
        let Some(book) = self.books.remove(&key) else { return };
        for (to, ask) in book.held {
            let response = TokenResponse::Redirect(node);
            effects.answers.push(Answer { to, key, number: ask.number, response });
        }
    }

    /// Whether this node lends for a limit, or would by its rank.
    pub(super) fn lends(&self, key: QuotaKey, ranks: &mut FleetView, now: BootInstant) -> bool {
        let is_first = ranks.first_lender(key) == Some(ranks.own());
        self.books.contains_key(&key) || (is_first && ranks.is_stable(now))
    }

    /// Lets a book lend that waits for nobody.
    fn conclude_if_alone(
        &mut self,
        key: QuotaKey,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let is_alone = self.books.get(&key).is_some_and(
            |book| matches!(&book.standing, Standing::Awaits(awaited) if awaited.from.is_empty()),
        );
        if is_alone {
            self.conclude(key, ranks, now, effects);
        }
    }

    /// Lets a book lend that has waited for other nodes.
    fn conclude(
        &mut self,
        key: QuotaKey,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        let bounds = self.bounds;
        let Some(book) = self.books.get_mut(&key) else { return };
        let start = start(&bounds, &book.limit) * ranks.live_share(now);
        let Standing::Awaits(awaited) = &book.standing else { return };
        let (role, level) = match awaited.what {
            Question::Left(least) => (Role::First, least.unwrap_or(start)),
            Question::OneAheadLends => (Role::Fallback, 0.0),
            Question::SeedKnows => (Role::Start, 0.0),
        };
        book.standing = Standing::Lends(role);
        let (most, rate) = (book.bucket.capacity(), book.limit.per_second);
        book.bucket = TokenBucket::new(level, most, rate, now);
        for (from, ask) in std::mem::take(&mut book.held) {
            self.ask_book(from, ask, ranks, now, effects);
        }
    }

    /// Lets time pass.
    pub(super) fn tick(
        &mut self,
        ranks: &mut FleetView,
        now: BootInstant,
        effects: &mut LenderEffects,
    ) {
        self.books.retain(|_, book| now.since(book.asked) < IDLE_FOR);
        self.handed.retain(|_, (_, at)| now.since(*at) < HANDED_FOR);
        let is_fallback = |book: &Book| book.standing == Standing::Lends(Role::Fallback);
        let fallback = self.books.iter().find(|(_, book)| is_fallback(book));
        if let Some(key) = fallback.map(|(key, _)| *key) {
            self.probe_others(key, &[], ranks, now, effects);
        }
        self.probe_again(now, effects);
        let mut overdue = Vec::new();
        for (key, book) in &mut self.books {
            let Standing::Awaits(awaited) = &mut book.standing else { continue };
            let waited = now.since(awaited.began);
            if waited >= LONGEST_WAIT {
                overdue.push((*key, awaited.what, awaited.from.clone()));
            } else if waited >= ASK_AGAIN_AFTER && !awaited.is_asked_again {
                awaited.is_asked_again = true;
                let message = awaited.what.message(*key);
                effects.messages.extend(awaited.from.iter().map(|node| (*node, message)));
            }
        }
        for (key, what, silent) in overdue {
            if what == Question::OneAheadLends {
                silent.iter().for_each(|node| ranks.skip_for(*node, SILENT_FOR, now));
            }
            self.conclude(key, ranks, now, effects);
        }
    }

    /// Whether questions are held, or answers of other nodes awaited.
    pub(super) fn waits(&self, now: BootInstant) -> bool {
        self.reach.awaits_answers(now) || self.books.values().any(|book| !book.held.is_empty())
    }

    /// Number of limits for which this node lends.
    pub(super) fn len(&self) -> usize {
        self.books.len()
    }
}
