//! The queue in which the requests of one node wait for servers.
//!
//! Waiting requests are divided into classes: all requests of a class wait for the same (model and
//! adapter, and the same route), so that a server that one of them cannot use is of no use to those
//! behind it. Within a class the order is: priority, virtual time of the tenant
//! ([`FairShares`]), requests that were refused before, end of the wait.
//!
//! The queue knows nothing of servers. In a round it gives a turn to one request at a time, in the
//! same order over the heads of all classes. The request selects a server and is granted, or it
//! declines, which closes its class for the round. A request whose wait is about to end gets a
//! final turn after all heads had theirs, even if it is not the head of its class.
//!
//! A priority that is always busy delays lower ones until their waits end; no request waits beyond
//! its end.

mod fair_shares;
mod retries;
mod round;
mod served;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

pub use self::fair_shares::{FairShares, MAX_TOKENS, TOKENS_IF_UNDECLARED};
use self::retries::RecentRefusals;
pub use self::retries::RetrySpread;
pub use self::round::Turn;
use self::round::{OrderKey, Round, TurnKind};
use self::served::ServedCounter;
use super::quarantine::Fingerprint;
use crate::time::BootInstant;

/// Maximum number of waiting requests.
pub const MAX_WAITING: usize = 500;
/// Number of requests that may wait at a node that has served none.
pub const MIN_WAITING: usize = 32;
/// Time before the end of a wait from which a turn is the request's final one: longer than the time
/// from the begin of one round to the begin of the next, so that no wait ends without one. That is
/// a round of up to 20 ms, a pause of up to 20 ms and another 20 ms if nothing changes.
pub const FINAL_TURN_WINDOW: Duration = Duration::from_millis(60);

/// What a request waits for; requests of a class can use the same servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassKey(pub u64);

/// Classes that may use the same servers: those of one model, or of one plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupKey(pub u64);

/// Identifies a waiting request. Later requests have greater tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Place among the requests of one tenant and priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// False for a request that was refused recently, which precedes others.
    is_new: bool,
    end: BootInstant,
    ticket: Ticket,
}

/// A request that enters the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// What it waits for.
    pub class: ClassKey,
    /// Group of the class.
    pub group: GroupKey,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Tenant.
    pub tenant: Arc<str>,
    /// Tokens of the prompt and the longest allowed response; `None` if they are not declared.
    pub tokens: Option<u64>,
    /// Fingerprint of its content, by which a retry is recognized.
    pub content: Fingerprint,
    /// When its wait ends.
    pub end: BootInstant,
}

/// Result of entering the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The request waits.
    Waiting {
        /// Its ticket.
        ticket: Ticket,
        /// The request that had to leave because the queue is full.
        displaced: Option<Ticket>,
    },
    /// The queue is full, and no other request leaves in favor of this one.
    Full,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: QueuedRequest,
    place: Place,
    entered_at: BootInstant,
    had_final_turn: bool,
}

impl Waiting {
    fn is_last_chance(&self, now: BootInstant) -> bool {
        self.request.end.since(now) <= FINAL_TURN_WINDOW
    }
}

/// Requests of one tenant and priority in a class.
type Lane = (u8, Arc<str>);

/// The waiting requests of one class. Without requests there is no class.
#[derive(Clone, Debug)]
struct Class {
    group: GroupKey,
    lanes: BTreeMap<Lane, BTreeSet<Place>>,
}

/// The waiting requests of one node, and the shares of its tenants.
#[derive(Clone, Debug, Default)]
pub struct DispatchQueue {
    waiting: BTreeMap<Ticket, Waiting>,
    classes: HashMap<ClassKey, Class>,
    groups: HashMap<GroupKey, BTreeSet<ClassKey>>,
    ends: BTreeSet<(BootInstant, Ticket)>,
    /// Shares of the tenants, by priority.
    levels: BTreeMap<u8, FairShares>,
    round: Round,
    refusals: RecentRefusals,
    served: ServedCounter,
    next_ticket: u64,
}

impl DispatchQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of tenants with waiting requests; a tenant counts once for each of its priorities.
    pub fn tenants(&self) -> usize {
        self.levels.values().map(FairShares::waiting_tenants).sum()
    }

    /// Time for which the oldest request has waited.
    pub fn longest_wait(&self, now: BootInstant) -> Duration {
        let oldest = self.waiting.first_key_value();
        oldest.map_or(Duration::ZERO, |(_, waiting)| now.since(waiting.entered_at))
    }

    /// Virtual start time of the next request of a tenant with this priority, in tokens.
    pub fn start_tag(&self, priority: u8, tenant: &str) -> u64 {
        self.levels.get(&priority).map_or(0, |shares| shares.start_tag(tenant))
    }

    /// Whether requests of the group wait.
    pub fn has_waiting(&self, group: GroupKey) -> bool {
        self.groups.contains_key(&group)
    }

    /// When the next wait ends; `None` if no request waits.
    pub fn next_end(&self) -> Option<BootInstant> {
        self.ends.first().map(|(end, _)| *end)
    }

    /// Number of requests that may wait: as many as were served in the last second, within limits.
    pub fn capacity(&self, now: BootInstant) -> usize {
        self.served.in_last_second(now).clamp(MIN_WAITING, MAX_WAITING)
    }

    /// Adds a request. If the queue is full, the tenant with the most requests of the lowest
    /// priority loses its last one, which may be the new one.
    pub fn enter(&mut self, request: QueuedRequest, now: BootInstant) -> Entry {
        let ticket = Ticket(self.next_ticket);
        let is_new = !self.refusals.contains(request.content, now);
        let place = Place { is_new, end: request.end, ticket };
        let mut displaced = None;
        if self.len() >= self.capacity(now) {
            match self.victim(&request, place) {
                Some(victim) => displaced = Some(victim),
                None => return Entry::Full,
            }
        }
        if let Some(victim) = displaced {
            self.leave(victim);
        }
        self.next_ticket += 1;
        self.insert(request, place, now);
        Entry::Waiting { ticket, displaced }
    }

    /// The request that leaves in favor of a new one; `None` if that is the new one itself.
    fn victim(&self, request: &QueuedRequest, place: Place) -> Option<Ticket> {
        let mut levels = self.levels.iter().rev();
        let (lowest, shares) = levels.find(|(_, shares)| shares.waiting_tenants() > 0)?;
        if request.priority > *lowest {
            return None;
        }
        let (longest, longest_len) = shares.longest()?;
        let own_len = match request.priority == *lowest {
            true => shares.waiting_of(&request.tenant) + 1,
            false => 0,
        };
        let last = match own_len >= longest_len {
            true => shares.last_of(&request.tenant).filter(|last| *last > place),
            false => shares.last_of(longest),
        };
        last.map(|last| last.ticket)
    }

    fn insert(&mut self, request: QueuedRequest, place: Place, now: BootInstant) {
        let QueuedRequest { class, group, priority, .. } = request;
        let tenant = request.tenant.clone();
        self.levels.entry(priority).or_default().enter(&tenant, place);
        let known = self.classes.entry(class).or_insert_with(|| {
            self.groups.entry(group).or_default().insert(class);
            Class { group, lanes: BTreeMap::new() }
        });
        known.lanes.entry((priority, tenant)).or_default().insert(place);
        if self.round.is_open(class) {
            self.open(class);
        }
        self.ends.insert((request.end, place.ticket));
        let waiting = Waiting { request, place, entered_at: now, had_final_turn: false };
        self.waiting.insert(place.ticket, waiting);
    }

    /// Removes a request that was refused or whose caller has left. Returns whether it waited.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let had_head_turn = self.round.release_turn(ticket) == Some(TurnKind::Head);
        let QueuedRequest { class, priority, tenant, end, .. } = &waiting.request;
        self.ends.remove(&(*end, ticket));
        if let Some(shares) = self.levels.get_mut(priority) {
            shares.leave(tenant, waiting.place);
        }
        self.remove_from_class(*class, (*priority, tenant.clone()), waiting.place);
        if had_head_turn {
            self.open(*class);
        }
        Some(waiting)
    }

    fn remove_from_class(&mut self, key: ClassKey, lane: Lane, place: Place) {
        let Some(class) = self.classes.get_mut(&key) else { return };
        if let Some(places) = class.lanes.get_mut(&lane) {
            places.remove(&place);
            if places.is_empty() {
                class.lanes.remove(&lane);
            }
        }
        if !class.lanes.is_empty() {
            return;
        }
        let group = class.group;
        self.classes.remove(&key);
        if let Some(classes) = self.groups.get_mut(&group) {
            classes.remove(&key);
            if classes.is_empty() {
                self.groups.remove(&group);
            }
        }
    }

    /// Removes and returns the requests whose wait has ended.
    pub fn take_ended(&mut self, now: BootInstant) -> Vec<Ticket> {
        let ended = self.ends.iter().take_while(|(end, _)| *end <= now);
        let ended: Vec<Ticket> = ended.map(|(_, ticket)| *ticket).collect();
        ended.iter().for_each(|ticket| drop(self.remove(*ticket)));
        ended
    }

    /// Removes and returns all requests.
    pub fn take_all(&mut self) -> Vec<Ticket> {
        let all: Vec<Ticket> = self.waiting.keys().copied().collect();
        all.iter().for_each(|ticket| drop(self.remove(*ticket)));
        all
    }

    /// Starts a round over all classes, unless one is in progress.
    pub fn start_round(&mut self) {
        if self.round.is_active() {
            return;
        }
        let classes: Vec<ClassKey> = self.classes.keys().copied().collect();
        self.round.start(true);
        classes.into_iter().for_each(|class| self.open(class));
    }

    /// Gives the heads of a group's classes a turn, in a round of their own or in the one in
    /// progress.
    pub fn start_group_round(&mut self, group: GroupKey) {
        if !self.round.is_active() {
            self.round.start(false);
        }
        let classes: Vec<ClassKey> =
            self.groups.get(&group).into_iter().flatten().copied().collect();
        classes.into_iter().for_each(|class| self.open(class));
    }

    /// Lets the head of a class have a turn in this round.
    fn open(&mut self, class: ClassKey) {
        if let Some(head) = self.head(class) {
            self.round.open(head, class);
        }
    }

    /// Whether a round is in progress.
    pub fn is_in_round(&self) -> bool {
        self.round.is_active()
    }

    fn head(&self, class: ClassKey) -> Option<OrderKey> {
        let lanes = &self.classes.get(&class)?.lanes;
        let ((highest, _), _) = lanes.first_key_value()?;
        let shares = self.levels.get(highest)?;
        let of_highest = lanes.iter().take_while(|((priority, _), _)| priority == highest);
        let heads = of_highest.filter_map(|((priority, tenant), places)| {
            Some(OrderKey::new(*priority, shares.start_tag(tenant), *places.first()?))
        });
        heads.min()
    }

    fn order_key(&self, waiting: &Waiting) -> OrderKey {
        let QueuedRequest { priority, tenant, .. } = &waiting.request;
        OrderKey::new(*priority, self.start_tag(*priority, tenant), waiting.place)
    }

    /// The next request that selects a server, until it declines, is granted or leaves. `None` if
    /// another one has its turn, or the round has ended.
    pub fn next_turn(&mut self, now: BootInstant) -> Option<Turn> {
        if self.round.has_turn() {
            return None;
        }
        let head = self.next_head(now).map(|ticket| (ticket, TurnKind::Head));
        let next = head.or_else(|| Some((self.next_final(now)?, TurnKind::Final)));
        let Some((ticket, kind)) = next else {
            self.round.end();
            return None;
        };
        let waiting = self.waiting.get_mut(&ticket)?;
        let is_final = waiting.is_last_chance(now);
        waiting.had_final_turn |= is_final;
        self.round.set_turn(ticket, kind);
        Some(Turn { ticket, is_final })
    }

    fn next_head(&mut self, now: BootInstant) -> Option<Ticket> {
        while let Some((known, class)) = self.round.pop() {
            let Some(head) = self.head(class) else { continue };
            // The order changes with each grant; a head that has moved back is sorted in again.
            if head > known {
                self.round.open(head, class);
                continue;
            }
            let ticket = head.ticket();
            if self.waiting.get(&ticket).is_some_and(|waiting| waiting.request.end > now) {
                return Some(ticket);
            }
        }
        None
    }

    /// The next request whose wait is about to end and that has had no final turn.
    fn next_final(&mut self, now: BootInstant) -> Option<Ticket> {
        if !self.round.has_final_turns() {
            return None;
        }
        let last = now + FINAL_TURN_WINDOW;
        let ending = self.ends.iter().take_while(|(end, _)| *end <= last);
        let ending = ending.filter(|(end, _)| *end > now);
        let ending = ending.filter_map(|(_, ticket)| self.waiting.get(ticket));
        let candidates = ending.filter(|waiting| !waiting.had_final_turn);
        candidates.map(|waiting| self.order_key(waiting)).min().map(|key| key.ticket())
    }

    /// Ends the turn of a request that found no server. The other requests of its class get no turn
    /// in this round, except for final ones.
    pub fn decline(&mut self, ticket: Ticket) {
        let was_head = self.round.release_turn(ticket) == Some(TurnKind::Head);
        if was_head && let Some(waiting) = self.waiting.get(&ticket) {
            self.round.close(waiting.request.class);
        }
    }

    /// Removes a request that is sent, and charges its tenant. Returns whether it may be sent: it
    /// has its turn, and its wait has not ended.
    pub fn grant(&mut self, ticket: Ticket, now: BootInstant) -> bool {
        let Some(waiting) = self.waiting.get(&ticket) else { return false };
        if !self.round.is_turn_of(ticket) || waiting.request.end <= now {
            return false;
        }
        let Some(Waiting { request, .. }) = self.remove(ticket) else { return false };
        self.charge(request.priority, &request.tenant, request.tokens, now);
        true
    }

    /// Charges the tenant of a request that is sent without having waited.
    pub fn charge(
        &mut self,
        priority: u8,
        tenant: &Arc<str>,
        tokens: Option<u64>,
        now: BootInstant,
    ) {
        self.served.record(now);
        self.levels.entry(priority).or_default().charge(tenant, tokens);
    }

    /// Records that a request was refused, so that its retry is recognized.
    pub fn record_refusal(&mut self, content: Fingerprint, now: BootInstant) {
        self.refusals.record(content, now);
    }
}
