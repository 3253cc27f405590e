//! Simulation of a fleet whose nodes enforce tenants' limits together, in virtual time.
//!
//! Clients send requests to random nodes, or to a few of them. Datagrams are delayed and may be
//! lost. Granted requests are recorded.

#![allow(dead_code, reason = "each test file uses a part of the simulation")]

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

/// Time until the nodes know each other and have run for longer than a window of [`BOUNDS`].
pub const WARM_UP_SECONDS: u64 = 12;

/// Number of seeds to run: `COMETMOOR_QUOTA_SEEDS`, or the default.
pub fn seed_count(default: u64) -> u64 {
    let text = std::env::var("COMETMOOR_QUOTA_SEEDS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Bounds that tests use unless they name others.
pub const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    excess: 0.1,
    slack: 17_000.0,
    max_fallback_wait: MAX_TENANT_FALLBACK_WAIT,
};
/// Probability that a datagram is lost, in thousandths.
const LOST_PER_THOUSAND: u64 = 50;
/// Network delay within a zone.
const ZONE_DELAY_MICROS: u64 = 100;
/// Network delay between zones.
const CROSS_ZONE_DELAY_MICROS: u64 = 500;
/// Mean delay at the receiver, whose thread does other work, too. Drawn from 0.5 to 1.5 times this.
const HANDLING_MICROS: u64 = 700;
/// Interval at which a node updates its set of live nodes.
const NODES_UPDATE_MICROS: u64 = 250_000;
/// Interval between two ticks while requests wait.
const BUSY_TICK_MICROS: u64 = 20_000;
/// Interval between two ticks while no request waits.
const IDLE_TICK_MICROS: u64 = 250_000;
/// Interval between two steps of the membership simulation.
const FLEET_STEP_MICROS: u64 = world::STEP_MILLIS * 1000;
/// Interval between two heartbeats that carry usage.
const USAGE_INTERVAL_MICROS: u64 = 200_000;
/// Age of usage from the same zone when it is received, in heartbeats.
const ZONE_USAGE_AGE: usize = 2;
/// Age of usage from other zones when it is received, in heartbeats.
const CROSS_ZONE_USAGE_AGE: usize = 3;
/// Bytes for a tenant's usage in a heartbeat, the hubs' digest and the digest to their nodes.
const USAGE_BYTES_PER_TENANT: u64 = 3 * 24;
const SECOND_MICROS: u64 = 1_000_000;

enum Event<Message> {
    RequestArrives { tenant: usize },
    DatagramArrives { from: SocketAddrV4, to: SocketAddrV4, message: Message },
    Tick { node: SocketAddrV4, incarnation: u64 },
    UpdateNodes { node: SocketAddrV4, incarnation: u64 },
    ExchangeUsage { node: SocketAddrV4, incarnation: u64 },
    FleetStep,
}

struct WaitingRequest {
    tenant: usize,
    cost: f64,
    conforms: bool,
}

/// Usage in a node's last heartbeats, the newest first.
type UsageHistory = VecDeque<HashMap<QuotaKey, Usage>>;

struct QuotaNode<Policy> {
    policy: Policy,
    published_usage: UsageHistory,
    /// Usage last received from each incarnation of the other nodes.
    received_usage: HashMap<(SocketAddrV4, u64), HashMap<QuotaKey, Usage>>,
    /// Distinguishes this process from earlier ones at the same address.
    incarnation: u64,
    waiting: HashMap<Ticket, WaitingRequest>,
    /// When the next tick is due. Ticks that were scheduled for other times are ignored.
    next_tick: u64,
    /// End of the time for which the process is suspended.
    frozen_until: u64,
}

/// The simulated fleet. Times are in microseconds since its start unless noted otherwise.
pub struct QuotaWorld<Policy: SimulatedPolicy> {
    /// The simulated membership of the nodes.
    pub fleet: World,
    pub tenants: Vec<SimulatedTenant>,
    started_count: usize,
    bounds: QuotaBounds,
    costs: Vec<f64>,
    pub outcomes: Vec<Outcome>,
    /// Current time.
    pub now: u64,
    /// Bytes and datagrams that the nodes have sent.
    pub sent_bytes: u64,
    pub sent_datagrams: u64,
    /// Times for which decided requests waited, 0 for those decided at once.
    pub waits: Vec<u64>,
    /// Nodes that requests are sent to; all running nodes if empty.
    pub entry_nodes: Vec<SocketAddrV4>,
    /// Nodes that exchange no messages with any other node.
    pub isolated_nodes: Vec<SocketAddrV4>,
    nodes: BTreeMap<SocketAddrV4, QuotaNode<Policy>>,
    /// Each tenant's token bucket as a single instance would keep it: level and time of its update.
    reference_buckets: Vec<(f64, u64)>,
    /// Times and numbers of the scheduled events, the earliest first.
    event_times: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by number.
    scheduled: HashMap<u64, Event<Policy::Message>>,
    /// Number of events scheduled so far, which is the number of the last one.
    event_count: u64,
    /// Whether messages and decisions are printed.
    pub is_traced: bool,
    waiting_since: HashMap<(SocketAddrV4, Ticket), u64>,
    random_state: u64,
}

fn boot_instant(micros: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_micros(micros))
}

impl<Policy: SimulatedPolicy> QuotaWorld<Policy> {
    /// A fleet of `nodes` nodes that have just started, with [`BOUNDS`] and [`COSTS`].
    pub fn new(nodes: usize, tenants: Vec<SimulatedTenant>, seed: u64) -> Self {
        QuotaWorld::with_bounds(nodes, tenants, seed, BOUNDS, COSTS.to_vec())
    }

    /// The same with other bounds and costs of requests.
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
            reference_buckets: tenants.iter().map(|tenant| (tenant.limit.limit.burst, 0)).collect(),
            tenants,
            started_count: 0,
            bounds,
            costs,
            now: 0,
            sent_bytes: 0,
            sent_datagrams: 0,
            waits: Vec::new(),
            entry_nodes: Vec::new(),
            isolated_nodes: Vec::new(),
            nodes: BTreeMap::new(),
            event_times: BinaryHeap::new(),
            scheduled: HashMap::new(),
            event_count: 0,
            is_traced: false,
            waiting_since: HashMap::new(),
            random_state: seed ^ 0x5851_f42d_4c95_7f2d,
        };
        world.start(0..nodes);
        world.schedule(FLEET_STEP_MICROS, Event::FleetStep);
        world
    }

    /// Starts the nodes with these indexes that are not running.
    pub fn start(&mut self, indexes: std::ops::Range<usize>) {
        self.started_count = self.started_count.max(indexes.end);
        self.fleet.start(indexes);
        let starting: Vec<SocketAddrV4> = self
            .fleet
            .nodes
            .keys()
            .copied()
            .filter(|node| !self.nodes.contains_key(node))
            .collect();
        for node in starting {
            let incarnation = self.now + 1;
            let seed = self.random_below(u64::MAX);
            let seeds = (0..3).map(world::address).collect();
            let policy = Policy::start(node, seeds, self.bounds, seed, boot_instant(self.now));
            let new = QuotaNode {
                policy,
                published_usage: UsageHistory::new(),
                received_usage: HashMap::new(),
                incarnation,
                waiting: HashMap::new(),
                next_tick: u64::MAX,
                frozen_until: 0,
            };
            self.nodes.insert(node, new);
            let (tick, nodes_update, usage_exchange) = (
                self.random_below(IDLE_TICK_MICROS),
                self.random_below(NODES_UPDATE_MICROS),
                self.random_below(USAGE_INTERVAL_MICROS),
            );
            self.schedule_tick(node, tick);
            self.schedule(nodes_update, Event::UpdateNodes { node, incarnation });
            self.schedule(usage_exchange, Event::ExchangeUsage { node, incarnation });
        }
    }

    /// Kills a node.
    pub fn kill(&mut self, node: SocketAddrV4) {
        self.fleet.nodes.remove(&node);
        self.nodes.remove(&node);
    }

    /// Addresses of the running nodes.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        self.nodes.keys().copied().collect()
    }

    /// Number of indexes of nodes that were ever started.
    pub fn started_count(&self) -> usize {
        self.started_count
    }

    /// Address of the node with this index.
    pub fn address(&self, index: usize) -> SocketAddrV4 {
        world::address(index)
    }

    /// Suspends a node's process. It handles its messages and timers when it resumes. Requests to
    /// it are dropped and not counted.
    pub fn freeze(&mut self, node: SocketAddrV4, millis: u64) {
        let until = self.now + millis * 1000;
        if let Some(node) = self.nodes.get_mut(&node) {
            node.frozen_until = until;
        }
    }

    /// The node that most of the running nodes rank first as lender for a tenant.
    pub fn lender(&mut self, tenant: usize) -> SocketAddrV4 {
        let key = self.tenants[tenant].key;
        let mut votes: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
        let first = self.nodes.keys().next().copied().unwrap();
        for node in self.nodes.values_mut() {
            *votes.entry(node.policy.lender_of(key).unwrap_or(first)).or_default() += 1;
        }
        votes.into_iter().max_by_key(|(_, votes)| *votes).map(|(node, _)| node).unwrap()
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed =
            (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn schedule(&mut self, after: u64, event: Event<Policy::Message>) {
        self.event_count += 1;
        self.event_times.push(Reverse((self.now + after, self.event_count)));
        self.scheduled.insert(self.event_count, event);
    }

    /// Starts the clients' requests.
    pub fn start_traffic(&mut self) {
        for tenant in 0..self.tenants.len() {
            self.schedule_request(tenant);
        }
    }

    fn schedule_request(&mut self, tenant: usize) {
        let simulated = &self.tenants[tenant];
        let fraction = simulated.demand_at(self.now / SECOND_MICROS);
        let mean_cost = self.costs.iter().sum::<f64>() / self.costs.len() as f64;
        let per_second = simulated.limit.limit.per_second * fraction / mean_cost;
        if per_second <= 0.0 {
            return self.schedule(
                SECOND_MICROS / 2,
                Event::RequestArrives { tenant: tenant | RECHECK_ONLY },
            );
        }
        // Requests of many independent clients arrive as a Poisson process.
        let uniform = (self.random_below(1 << 30) + 1) as f64 / (1_u64 << 30) as f64;
        let gap = -uniform.ln() / per_second;
        self.schedule((gap * SECOND_MICROS as f64) as u64, Event::RequestArrives { tenant });
    }

    /// Advances the time to this second.
    pub fn run_until(&mut self, second: u64) {
        while let Some(Reverse((time, number))) = self.event_times.peek().copied()
            && time < second * SECOND_MICROS
        {
            self.event_times.pop();
            self.now = time;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle(event);
            }
        }
        self.now = second * SECOND_MICROS;
    }

    fn handle(&mut self, event: Event<Policy::Message>) {
        match event {
            Event::FleetStep => {
                self.fleet.step();
                self.schedule(FLEET_STEP_MICROS, Event::FleetStep);
            }
            Event::RequestArrives { tenant } if tenant & RECHECK_ONLY != 0 => {
                self.schedule_request(tenant & !RECHECK_ONLY);
            }
            Event::RequestArrives { tenant } => {
                self.schedule_request(tenant);
                self.request(tenant);
            }
            Event::DatagramArrives { from, to, message } => self.deliver(from, to, message),
            Event::Tick { node, incarnation } => self.tick(node, incarnation),
            Event::UpdateNodes { node, incarnation } => self.update_nodes(node, incarnation),
            Event::ExchangeUsage { node, incarnation } => self.exchange_usage(node, incarnation),
        }
    }

    /// Remaining time for which a node is suspended; None if it is not. Its events are postponed by
    /// this time.
    fn frozen_for(&self, node: SocketAddrV4) -> Option<u64> {
        let until = self.nodes.get(&node)?.frozen_until;
        (self.now < until).then(|| until - self.now)
    }

    fn request(&mut self, tenant: usize) {
        let drawn = self.random_below(self.costs.len() as u64) as usize;
        let cost = self.costs[drawn];
        let conforms = self.conforms(tenant, cost);
        let is_entry =
            |node: &&SocketAddrV4| self.entry_nodes.is_empty() || self.entry_nodes.contains(node);
        let entries: Vec<SocketAddrV4> = self.nodes.keys().filter(is_entry).copied().collect();
        if entries.is_empty() {
            return;
        }
        let address = entries[self.random_below(entries.len() as u64) as usize];
        if self.frozen_for(address).is_some() {
            return;
        }
        let SimulatedTenant { key, limit, .. } = self.tenants[tenant];
        let mut effects = Effects::default();
        let now = boot_instant(self.now);
        let Some(node) = self.nodes.get_mut(&address) else { return };
        let waiting = WaitingRequest { tenant, cost, conforms };
        match node.policy.request(key, limit, cost, now, &mut effects) {
            Decision::Pending(ticket) => {
                node.waiting.insert(ticket, waiting);
                self.waiting_since.insert((address, ticket), self.now);
                self.schedule_tick(address, BUSY_TICK_MICROS);
            }
            decision => {
                self.waits.push(0);
                self.record_decision(&waiting, decision);
            }
        }
        self.apply_effects(address, effects);
    }

    /// Whether a single instance of the tenant's token bucket admits a request now.
    fn conforms(&mut self, tenant: usize, cost: f64) -> bool {
        let limit = self.tenants[tenant].limit.limit;
        let (level, updated) = self.reference_buckets[tenant];
        let added = limit.per_second * (self.now - updated) as f64 / SECOND_MICROS as f64;
        let level = (level + added).min(limit.burst);
        let conforms = level >= cost;
        self.reference_buckets[tenant] = (if conforms { level - cost } else { level }, self.now);
        conforms
    }

    fn record_decision(&mut self, waiting: &WaitingRequest, decision: Decision) {
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
            Decision::Pending(_) => unreachable!("pending requests are not recorded"),
        }
        outcome.conforming_refused += usize::from(waiting.conforms);
    }

    fn apply_effects(&mut self, own: SocketAddrV4, effects: Effects<Policy::Message>) {
        for Settled { ticket, decision } in effects.settled {
            let Some(node) = self.nodes.get_mut(&own) else { continue };
            let Some(waiting) = node.waiting.remove(&ticket) else { continue };
            if let Some(since) = self.waiting_since.remove(&(own, ticket)) {
                self.waits.push(self.now - since);
            }
            self.record_decision(&waiting, decision);
        }
        for (to, message) in effects.messages {
            self.sent_bytes += Policy::encoded_len(&message);
            self.sent_datagrams += 1;
            if self.random_below(1000) < LOST_PER_THOUSAND {
                continue;
            }
            let delay = if zone_of(own) == zone_of(to) {
                ZONE_DELAY_MICROS
            } else {
                CROSS_ZONE_DELAY_MICROS
            };
            let handling = HANDLING_MICROS / 2 + self.random_below(HANDLING_MICROS);
            self.schedule(delay + handling, Event::DatagramArrives { from: own, to, message });
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: Policy::Message) {
        if !self.can_reach(from, to) {
            return;
        }
        if self.is_traced {
            eprintln!("{} {from} to {to} {message:?}", self.now);
        }
        if let Some(remaining) = self.frozen_for(to) {
            return self.schedule(remaining, Event::DatagramArrives { from, to, message });
        }
        let mut effects = Effects::default();
        let now = boot_instant(self.now);
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.policy.receive(from, message, now, &mut effects);
        if node.policy.has_waiting() {
            self.schedule_tick(to, BUSY_TICK_MICROS);
        }
        self.apply_effects(to, effects);
    }

    fn tick(&mut self, own: SocketAddrV4, incarnation: u64) {
        let is_due = |node: &&mut QuotaNode<Policy>| {
            node.incarnation == incarnation && node.next_tick == self.now
        };
        let Some(node) = self.nodes.get_mut(&own).filter(is_due) else { return };
        node.next_tick = u64::MAX;
        if let Some(remaining) = self.frozen_for(own) {
            return self.schedule_tick(own, remaining);
        }
        let mut effects = Effects::default();
        let now = boot_instant(self.now);
        let Some(node) = self.nodes.get_mut(&own) else { return };
        node.policy.tick(now, &mut effects);
        let after = if node.policy.has_waiting() { BUSY_TICK_MICROS } else { IDLE_TICK_MICROS };
        self.apply_effects(own, effects);
        self.schedule_tick(own, after);
    }

    /// Schedules a node's next tick, unless an earlier one is scheduled.
    fn schedule_tick(&mut self, own: SocketAddrV4, after: u64) {
        let next_tick = self.now + after;
        let Some(node) = self.nodes.get_mut(&own) else { return };
        if next_tick < node.next_tick {
            node.next_tick = next_tick;
            let incarnation = node.incarnation;
            self.schedule(after, Event::Tick { node: own, incarnation });
        }
    }

    fn update_nodes(&mut self, own: SocketAddrV4, incarnation: u64) {
        if let Some(remaining) = self.frozen_for(own) {
            return self.schedule(remaining, Event::UpdateNodes { node: own, incarnation });
        }
        let Some(member) = self.fleet.nodes.get(&own) else { return };
        let mut live_nodes: Vec<SocketAddrV4> =
            member.membership.members().iter().map(|peer| peer.address()).collect();
        live_nodes.push(own);
        live_nodes.sort_unstable();
        let now = boot_instant(self.now);
        let Some(node) = self.nodes.get_mut(&own).filter(|node| node.incarnation == incarnation)
        else {
            return;
        };
        node.policy.set_nodes(&live_nodes, now);
        self.schedule(NODES_UPDATE_MICROS, Event::UpdateNodes { node: own, incarnation });
    }

    /// Publishes a node's usage in its heartbeat and delivers to it what the others published
    /// [`ZONE_USAGE_AGE`] or [`CROSS_ZONE_USAGE_AGE`] heartbeats ago, since usage is forwarded by
    /// the hubs.
    fn exchange_usage(&mut self, own: SocketAddrV4, incarnation: u64) {
        if let Some(remaining) = self.frozen_for(own) {
            return self.schedule(remaining, Event::ExchangeUsage { node: own, incarnation });
        }
        let is_same_process = |node: &&mut QuotaNode<Policy>| node.incarnation == incarnation;
        let Some(node) = self.nodes.get_mut(&own).filter(is_same_process) else { return };
        let usage: HashMap<QuotaKey, Usage> = node.policy.local_usage().into_iter().collect();
        self.sent_bytes += USAGE_BYTES_PER_TENANT * usage.len() as u64;
        node.published_usage.push_front(usage);
        node.published_usage.truncate(CROSS_ZONE_USAGE_AGE + 1);
        let others: Vec<SocketAddrV4> =
            self.nodes.keys().copied().filter(|other| *other != own).collect();
        let mut sum: HashMap<QuotaKey, Usage> = HashMap::new();
        for other in others {
            if !self.can_reach(other, own) || self.random_below(1000) < LOST_PER_THOUSAND {
                continue;
            }
            let is_same_zone = zone_of(own) == zone_of(other);
            let age = if is_same_zone { ZONE_USAGE_AGE } else { CROSS_ZONE_USAGE_AGE };
            let other_node = &self.nodes[&other];
            let Some(published) = other_node.published_usage.get(age).cloned() else { continue };
            let incarnation = other_node.incarnation;
            let Some(node) = self.nodes.get_mut(&own) else { return };
            let before = node
                .received_usage
                .insert((other, incarnation), published.clone())
                .unwrap_or_default();
            for (tenant, usage) in published {
                let increase = usage.since(before.get(&tenant).copied().unwrap_or_default());
                let total = sum.entry(tenant).or_default();
                *total = total.plus(increase);
            }
        }
        let now = boot_instant(self.now);
        if let Some(node) = self.nodes.get_mut(&own) {
            node.policy.receive_usage(RemoteUsage { by_tenant: sum.into_iter().collect() }, now);
        }
        self.schedule(USAGE_INTERVAL_MICROS, Event::ExchangeUsage { node: own, incarnation });
    }

    /// Whether a message between two nodes is delivered now.
    fn can_reach(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        let is_separated = |zone: usize| (zone_of(from) == zone) != (zone_of(to) == zone);
        let is_isolated = self.isolated_nodes.contains(&from) || self.isolated_nodes.contains(&to);
        !is_isolated && !self.fleet.isolated_zone.is_some_and(is_separated)
    }
}

/// Flag in the tenant index of an event that sends no request and only checks whether the tenant
/// has demand again.
const RECHECK_ONLY: usize = 1 << 32;
