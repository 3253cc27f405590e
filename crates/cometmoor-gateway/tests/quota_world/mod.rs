//! A fleet in virtual time whose nodes hold tenants' limits together: callers send to nodes
//! drawn at random, datagrams take time and may be lost, and what has run is measured.

#![allow(dead_code, reason = "each test uses its part of the world")]

pub mod equal_shares;
pub mod partitions;
pub mod simulated_policy;
pub mod stalled_lender;
pub mod summed_usage;
pub mod tenants;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::quota::{
    Decision, Effects, MAX_TENANT_FALLBACK_WAIT, QuotaBounds, QuotaKey, Settled, Ticket,
};
use cometmoor_core::time::BootInstant;

use self::simulated_policy::SimulatedPolicy;
use self::summed_usage::{RemoteUsage, Usage};
use self::tenants::{COSTS, Outcome, SimulatedTenant};
use crate::world::{self, World, zone_of};

/// Seconds until the nodes know one another and have watched for a window.
pub const WARM_UP_SECONDS: u64 = 12;

/// Seeds to play: `COMETMOOR_QUOTA_SEEDS`, or so many.
pub fn seed_count(default: u64) -> u64 {
    let text = std::env::var("COMETMOOR_QUOTA_SEEDS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Bounds that operators set in these tests.
pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 17_000.0,
    max_fallback_wait: MAX_TENANT_FALLBACK_WAIT,
};
/// Of a thousand datagrams, how many are lost.
const LOST: u64 = 50;
/// Microseconds on the way within a zone and between zones, and at the receiver, whose
/// thread does other work, too.
const NEAR: u64 = 100;
const FAR: u64 = 500;
const HANDLING: u64 = 700;
/// Between two looks of a node at the others, and between two ticks while requests wait and
/// while none does, in microseconds.
const LOOK: u64 = 250_000;
const BUSY_TICK: u64 = 20_000;
const IDLE_TICK: u64 = 250_000;
const TURN: u64 = world::STEP_MILLIS * 1000;
/// Time between two heartbeats that tell of use, and how many heartbeats old it is when it
/// is heard.
const HEAR: u64 = 200_000;
const HEARTBEATS_NEAR: usize = 2;
const HEARTBEATS_FAR: usize = 3;
/// Bytes that a heartbeat, the hubs' and their nodes' digests take for a tenant.
const BYTES_TOLD: u64 = 3 * 24;
const SECOND: u64 = 1_000_000;
enum Event<Message> {
    Arrives { tenant: usize },
    Datagram { from: SocketAddrV4, to: SocketAddrV4, message: Message },
    Tick { node: SocketAddrV4, life: u64 },
    Look { node: SocketAddrV4, life: u64 },
    Hear { node: SocketAddrV4, life: u64 },
    Turn,
}

struct Waiting {
    tenant: usize,
    cost: f64,
    conforms: bool,
}

/// What a node's heartbeats told of its use: the last ones, the newest first.
type ToldUse = VecDeque<HashMap<QuotaKey, Usage>>;

struct QuotaNode<Policy> {
    policy: Policy,
    told: ToldUse,
    /// What it has heard of each other node.
    heard: HashMap<(SocketAddrV4, u64), HashMap<QuotaKey, Usage>>,
    /// Tells this process from an earlier one.
    life: u64,
    waiting: HashMap<Ticket, Waiting>,
    /// When its next tick is due; others that were scheduled do not count.
    ticks_at: u64,
    /// Until when it stands still, and what has come meanwhile.
    frozen_until: u64,
}

/// The fleet.
pub struct QuotaWorld<Policy: SimulatedPolicy> {
    pub fleet: World,
    pub tenants: Vec<SimulatedTenant>,
    places: usize,
    bounds: QuotaBounds,
    costs: Vec<f64>,
    pub outcomes: Vec<Outcome>,
    /// Microseconds since it began.
    pub now: u64,
    /// Bytes and datagrams that nodes have sent.
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    /// Waits of requests for their decision, in microseconds.
    pub waits: Vec<u64>,
    /// Nodes from this place on reach nobody else.
    pub isolated_nodes: Vec<SocketAddrV4>,
    nodes: BTreeMap<SocketAddrV4, QuotaNode<Policy>>,
    /// Limits as one place would hold them.
    ideal: Vec<(f64, u64)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    queue: HashMap<u64, Event<Policy::Message>>,
    next_event: u64,
    /// Whether messages and decisions are printed.
    pub is_traced: bool,
    since: HashMap<(SocketAddrV4, Ticket), u64>,
    random: u64,
}

fn at(micros: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_micros(micros))
}

impl<Policy: SimulatedPolicy> QuotaWorld<Policy> {
    /// A fleet of so many nodes that have just started.
    pub fn new(nodes: usize, tenants: Vec<SimulatedTenant>, seed: u64) -> Self {
        QuotaWorld::with_bounds(nodes, tenants, seed, BOUNDS, COSTS.to_vec())
    }

    /// The same under other bounds, with requests that cost other amounts.
    pub fn with_bounds(
        nodes: usize,
        tenants: Vec<SimulatedTenant>,
        seed: u64,
        bounds: QuotaBounds,
        costs: Vec<f64>,
    ) -> Self {
        let mut world = QuotaWorld {
            fleet: World::new(seed),
            outcomes: vec![Outcome::default(); tenants.len()],
            ideal: tenants.iter().map(|tenant| (tenant.limit.limit.burst, 0)).collect(),
            tenants,
            places: 0,
            bounds,
            costs,
            now: 0,
            sent_bytes: 0,
            sent_datagrams: 0,
            waits: Vec::new(),
            isolated_nodes: Vec::new(),
            nodes: BTreeMap::new(),
            events: BinaryHeap::new(),
            queue: HashMap::new(),
            next_event: 0,
            is_traced: false,
            since: HashMap::new(),
            random: seed ^ 0x5851_f42d_4c95_7f2d,
        };
        world.start(0..nodes);
        world.push(TURN, Event::Turn);
        world
    }

    /// Starts nodes.
    pub fn start(&mut self, indexes: std::ops::Range<usize>) {
        self.places = self.places.max(indexes.end);
        self.fleet.start(indexes);
        let new: Vec<SocketAddrV4> = self
            .fleet
            .nodes
            .keys()
            .copied()
            .filter(|node| !self.nodes.contains_key(node))
            .collect();
        for node in new {
            let life = self.now + 1;
            let seed = self.draw(u64::MAX);
            let seeds = (0..3).map(world::address).collect();
            let policy = Policy::start(node, seeds, self.bounds, seed, at(self.now));
            let new = QuotaNode {
                policy,
                told: ToldUse::new(),
                heard: HashMap::new(),
                life,
                waiting: HashMap::new(),
                ticks_at: u64::MAX,
                frozen_until: 0,
            };
            self.nodes.insert(node, new);
            let (tick, look, hear) = (self.draw(IDLE_TICK), self.draw(LOOK), self.draw(HEAR));
            self.schedule_tick(node, tick);
            self.push(look, Event::Look { node, life });
            self.push(hear, Event::Hear { node, life });
        }
    }

    /// Kills a node.
    pub fn kill(&mut self, node: SocketAddrV4) {
        self.fleet.nodes.remove(&node);
        self.nodes.remove(&node);
    }

    /// Nodes that run.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes.keys().copied().collect()
    }

    /// Places of nodes that were ever started.
    pub fn started_count(&self) -> usize {
        self.places
    }

    /// Address of the node that was started in this place.
    pub fn address(&self, place: usize) -> SocketAddrV4 {
        world::address(place)
    }

    /// Lets a node stand still.
    pub fn freeze(&mut self, node: SocketAddrV4, millis: u64) {
        let until = self.now + millis * 1000;
        if let Some(node) = self.nodes.get_mut(&node) {
            node.frozen_until = until;
        }
    }

    /// The node that most of those that run ask first for a tenant.
    pub fn lender(&mut self, tenant: usize) -> SocketAddrV4 {
        let key = self.tenants[tenant].key;
        let mut votes: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
        let first = self.nodes.keys().next().copied().unwrap();
        for node in self.nodes.values_mut() {
            *votes.entry(node.policy.lender_of(key).unwrap_or(first)).or_default() += 1;
        }
        votes.into_iter().max_by_key(|(_, votes)| *votes).map(|(node, _)| node).unwrap()
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn push(&mut self, after: u64, event: Event<Policy::Message>) {
        self.next_event += 1;
        self.events.push(Reverse((self.now + after, self.next_event)));
        self.queue.insert(self.next_event, event);
    }

    /// Begins the callers' requests.
    pub fn start_traffic(&mut self) {
        for tenant in 0..self.tenants.len() {
            self.push_arrival(tenant);
        }
    }

    fn push_arrival(&mut self, tenant: usize) {
        let known = &self.tenants[tenant];
        let part = known.demand_at(self.now / SECOND);
        let mean_cost = self.costs.iter().sum::<f64>() / self.costs.len() as f64;
        let per_second = known.limit.limit.per_second * part / mean_cost;
        if per_second <= 0.0 {
            return self.push(SECOND / 2, Event::Arrives { tenant: tenant | NO_REQUEST });
        }
        // Times between requests are spread as those of many callers are.
        let uniform = (self.draw(1 << 30) + 1) as f64 / (1_u64 << 30) as f64;
        let gap = -uniform.ln() / per_second;
        self.push((gap * SECOND as f64) as u64, Event::Arrives { tenant });
    }

    /// Lets time pass.
    pub fn run_until(&mut self, second: u64) {
        while let Some(Reverse((time, number))) = self.events.peek().copied()
            && time < second * SECOND
        {
            self.events.pop();
            self.now = time;
            if let Some(event) = self.queue.remove(&number) {
                self.happen(event);
            }
        }
        self.now = second * SECOND;
    }

    fn happen(&mut self, event: Event<Policy::Message>) {
        match event {
            Event::Turn => {
                self.fleet.step();
                self.push(TURN, Event::Turn);
            }
            Event::Arrives { tenant } if tenant & NO_REQUEST != 0 => {
                self.push_arrival(tenant & !NO_REQUEST);
            }
            Event::Arrives { tenant } => {
                self.push_arrival(tenant);
                self.request(tenant);
            }
            Event::Datagram { from, to, message } => self.deliver(from, to, message),
            Event::Tick { node, life } => self.tick(node, life),
            Event::Look { node, life } => self.look(node, life),
            Event::Hear { node, life } => self.hear(node, life),
        }
    }

    /// Whether a node stands still; what was to happen then happens when it goes on.
    fn is_frozen(&self, node: SocketAddrV4) -> Option<u64> {
        let until = self.nodes.get(&node)?.frozen_until;
        (self.now < until).then(|| until - self.now)
    }

    fn request(&mut self, tenant: usize) {
        let drawn = self.draw(self.costs.len() as u64) as usize;
        let cost = self.costs[drawn];
        let conforms = self.conforms(tenant, cost);
        let count = self.nodes.len() as u64;
        if count == 0 {
            return;
        }
        let place = self.draw(count) as usize;
        let Some(address) = self.nodes.keys().nth(place).copied() else { return };
        if self.is_frozen(address).is_some() {
            return;
        }
        let SimulatedTenant { key, limit, .. } = self.tenants[tenant];
        let mut effects = Effects::default();
        let now = at(self.now);
        let Some(node) = self.nodes.get_mut(&address) else { return };
        let waiting = Waiting { tenant, cost, conforms };
        match node.policy.request(key, limit, cost, now, &mut effects) {
            Decision::Pending(ticket) => {
                node.waiting.insert(ticket, waiting);
                self.since.insert((address, ticket), self.now);
                self.schedule_tick(address, BUSY_TICK);
            }
            decision => {
                self.waits.push(0);
                self.note(&waiting, decision);
            }
        }
        self.follow(address, effects);
    }

    /// Whether the limit itself would let a request through.
    fn conforms(&mut self, tenant: usize, cost: f64) -> bool {
        let limit = self.tenants[tenant].limit.limit;
        let (level, since) = self.ideal[tenant];
        let come = limit.per_second * (self.now - since) as f64 / SECOND as f64;
        let level = (level + come).min(limit.burst);
        let conforms = level >= cost;
        self.ideal[tenant] = (if conforms { level - cost } else { level }, self.now);
        conforms
    }

    fn note(&mut self, waiting: &Waiting, decision: Decision) {
        let now = self.now;
        if self.is_traced {
            eprintln!("{now} decided conforms={} {decision:?}", waiting.conforms);
        }
        let outcome = &mut self.outcomes[waiting.tenant];
        outcome.conforming += usize::from(waiting.conforms);
        match decision {
            Decision::Granted => {
                outcome.granted += 1;
                outcome.runs.push((now, waiting.cost));
                return;
            }
            Decision::Refused(_) => outcome.refused += 1,
            Decision::Undecided => outcome.undecided += 1,
            Decision::Pending(_) => unreachable!("a pending request is not noted"),
        }
        outcome.conforming_refused += usize::from(waiting.conforms);
    }

    fn follow(&mut self, own: SocketAddrV4, effects: Effects<Policy::Message>) {
        for Settled { ticket, decision } in effects.settled {
            let Some(node) = self.nodes.get_mut(&own) else { continue };
            let Some(waiting) = node.waiting.remove(&ticket) else { continue };
            if let Some(since) = self.since.remove(&(own, ticket)) {
                self.waits.push(self.now - since);
            }
            self.note(&waiting, decision);
        }
        for (to, message) in effects.messages {
            self.sent_bytes += Policy::bytes(&message);
            self.sent_datagrams += 1;
            if self.draw(1000) < LOST {
                continue;
            }
            let way = if zone_of(own) == zone_of(to) { NEAR } else { FAR };
            let handling = HANDLING / 2 + self.draw(HANDLING);
            self.push(way + handling, Event::Datagram { from: own, to, message });
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: Policy::Message) {
        if !self.reaches(from, to) {
            return;
        }
        if self.is_traced {
            eprintln!("{} {from} to {to} {message:?}", self.now);
        }
        if let Some(left) = self.is_frozen(to) {
            return self.push(left, Event::Datagram { from, to, message });
        }
        let mut effects = Effects::default();
        let now = at(self.now);
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.policy.receive(from, message, now, &mut effects);
        if node.policy.has_waiting() {
            self.schedule_tick(to, BUSY_TICK);
        }
        self.follow(to, effects);
    }

    fn tick(&mut self, own: SocketAddrV4, life: u64) {
        let is_due = |node: &&mut QuotaNode<Policy>| node.life == life && node.ticks_at == self.now;
        let Some(node) = self.nodes.get_mut(&own).filter(is_due) else { return };
        node.ticks_at = u64::MAX;
        if let Some(left) = self.is_frozen(own) {
            return self.schedule_tick(own, left);
        }
        let mut effects = Effects::default();
        let now = at(self.now);
        let Some(node) = self.nodes.get_mut(&own) else { return };
        node.policy.tick(now, &mut effects);
        let after = if node.policy.has_waiting() { BUSY_TICK } else { IDLE_TICK };
        self.follow(own, effects);
        self.schedule_tick(own, after);
    }

    /// Schedules a node's next tick, unless one is due before.
    fn schedule_tick(&mut self, own: SocketAddrV4, after: u64) {
        let ticks_at = self.now + after;
        let Some(node) = self.nodes.get_mut(&own) else { return };
        if ticks_at < node.ticks_at {
            node.ticks_at = ticks_at;
            let life = node.life;
            self.push(after, Event::Tick { node: own, life });
        }
    }

    fn look(&mut self, own: SocketAddrV4, life: u64) {
        if let Some(left) = self.is_frozen(own) {
            return self.push(left, Event::Look { node: own, life });
        }
        let Some(known) = self.fleet.nodes.get(&own) else { return };
        let mut alive: Vec<SocketAddrV4> =
            known.membership.members().iter().map(|member| member.address()).collect();
        alive.push(own);
        alive.sort_unstable();
        let now = at(self.now);
        let Some(node) = self.nodes.get_mut(&own).filter(|node| node.life == life) else { return };
        node.policy.set_nodes(&alive, now);
        self.push(LOOK, Event::Look { node: own, life });
    }

    /// A node tells its use by its heartbeat, and hears what others told some heartbeats
    /// ago: two in its zone, three elsewhere, as it comes through the hubs.
    fn hear(&mut self, own: SocketAddrV4, life: u64) {
        if let Some(left) = self.is_frozen(own) {
            return self.push(left, Event::Hear { node: own, life });
        }
        let is_same = |node: &&mut QuotaNode<Policy>| node.life == life;
        let Some(node) = self.nodes.get_mut(&own).filter(is_same) else { return };
        let used: HashMap<QuotaKey, Usage> = node.policy.used().into_iter().collect();
        self.sent_bytes += BYTES_TOLD * used.len() as u64;
        node.told.push_front(used);
        node.told.truncate(HEARTBEATS_FAR + 1);
        let others: Vec<SocketAddrV4> =
            self.nodes.keys().copied().filter(|other| *other != own).collect();
        let mut sum: HashMap<QuotaKey, Usage> = HashMap::new();
        for other in others {
            if !self.reaches(other, own) || self.draw(1000) < LOST {
                continue;
            }
            let is_near = zone_of(own) == zone_of(other);
            let age = if is_near { HEARTBEATS_NEAR } else { HEARTBEATS_FAR };
            let known = &self.nodes[&other];
            let Some(told) = known.told.get(age).cloned() else { continue };
            let life = known.life;
            let Some(node) = self.nodes.get_mut(&own) else { return };
            let before = node.heard.insert((other, life), told.clone()).unwrap_or_default();
            for (tenant, used) in told {
                let since = used.since(before.get(&tenant).copied().unwrap_or_default());
                let known = sum.entry(tenant).or_default();
                *known = known.plus(since);
            }
        }
        let now = at(self.now);
        if let Some(node) = self.nodes.get_mut(&own) {
            node.policy.hear(RemoteUsage { used: sum.into_iter().collect() }, now);
        }
        self.push(HEAR, Event::Hear { node: own, life });
    }

    /// Whether what a node sends comes to another one now.
    fn reaches(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        let is_cut = |zone: usize| (zone_of(from) == zone) != (zone_of(to) == zone);
        let is_isolated = self.isolated_nodes.contains(&from) || self.isolated_nodes.contains(&to);
        !is_isolated && !self.fleet.isolated_zone.is_some_and(is_cut)
    }
}

/// Marks a look for whether a tenant sends again.
const NO_REQUEST: usize = 1 << 32;
