//! Under delays, frozen nodes, partitions and message loss, no node admits a key for longer
//! than the revocation bound after it was revoked, and none denies a key for longer than the
//! apply bound after it was added. Without faults, all nodes admit and deny keys.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::proof::{PeerProof, ProofLimits, ProofRequests};
use cometmoor_core::time::BootInstant;

use schedules::for_each_schedule;

const CASES: u64 = 600;
const NODES: usize = 6;
/// Bounds that operators configure, in milliseconds.
const APPLY_MILLIS: u64 = 3000;
const REVOKE_MILLIS: u64 = 5000;
/// Length of a simulation step, in milliseconds.
const TICK_MILLIS: u64 = 50;
/// Age of its proof, in milliseconds, at which the primary watcher calls the store again.
const PRIMARY_INTERVAL_MILLIS: u64 = 600;
/// Time in milliseconds for which a store does not deliver changes while it compacts.
const DELIVERY_DELAY_MILLIS: u64 = 1000;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Time passes.
    Pass { tenths: u8 },
    /// The store applies a change: a key is revoked and another one added.
    Change,
    /// A node's process is suspended.
    Freeze { node: u8 },
    /// The process resumes.
    Thaw { node: u8 },
    /// A node is partitioned from the store.
    Partition { node: u8 },
    /// The partition heals.
    Heal { node: u8 },
    /// Sets the delay of all messages sent from now on.
    Delay { tenths: u8 },
    /// Whether the messages that a node sends are lost from now on.
    DropSent { node: u8, drops: bool },
    /// Whether answers of the store lack the changes of the last second from now on.
    DelayDelivery { delays: bool },
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Request { from: usize, number: u64 },
    Answer { number: u64, answer: PeerProof },
}

/// A call to the store: when it was sent, when the answer arrives, and its version.
#[derive(Clone, Copy, Debug)]
struct Call {
    sent: u64,
    arrives: u64,
    version: u64,
}

struct Node {
    version: u64,
    proven: Option<u64>,
    requests: ProofRequests,
    call: Option<Call>,
    is_frozen: bool,
    is_partitioned: bool,
    drops_sent: bool,
    inbox: Vec<(u64, Message)>,
}

struct World {
    limits: ProofLimits,
    now: u64,
    /// When the store applied each change. The version is the number of changes.
    changes: Vec<u64>,
    delay: u64,
    delays_delivery: bool,
    nodes: Vec<Node>,
}

fn at(millis: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_millis(millis))
}

impl World {
    fn new() -> World {
        let node = |place: usize| Node {
            version: 0,
            proven: None,
            requests: ProofRequests::new(1000 * place as u64),
            call: None,
            is_frozen: false,
            is_partitioned: false,
            drops_sent: false,
            inbox: Vec::new(),
        };
        World {
            limits: ProofLimits::new(
                Duration::from_millis(APPLY_MILLIS),
                Some(Duration::from_millis(REVOKE_MILLIS)),
            ),
            now: 10_000,
            changes: Vec::new(),
            delay: 1,
            delays_delivery: false,
            nodes: (0..NODES).map(node).collect(),
        }
    }

    fn apply(&mut self, step: Step) {
        let index = |node: u8| usize::from(node) % NODES;
        match step {
            Step::Pass { tenths } => {
                (0..u64::from(tenths % 60) * 100 / TICK_MILLIS).for_each(|_| self.tick());
            }
            Step::Change => self.changes.push(self.now),
            Step::Freeze { node } => self.nodes[index(node)].is_frozen = true,
            Step::Thaw { node } => self.nodes[index(node)].is_frozen = false,
            Step::Partition { node } => self.nodes[index(node)].is_partitioned = true,
            Step::Heal { node } => self.nodes[index(node)].is_partitioned = false,
            Step::Delay { tenths } => self.delay = 1 + u64::from(tenths % 80) * 100,
            Step::DropSent { node, drops } => self.nodes[index(node)].drops_sent = drops,
            Step::DelayDelivery { delays } => self.delays_delivery = delays,
        }
        self.check();
    }

    fn tick(&mut self) {
        self.now += TICK_MILLIS;
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.receive_messages(node);
                self.receive_store_answer(node);
                self.ask(node);
            }
        }
        self.check();
    }

    fn age(&self, node: usize) -> Option<Duration> {
        self.nodes[node].proven.map(|proven| at(self.now).since(at(proven)))
    }

    fn receive_messages(&mut self, node: usize) {
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        let (due, later): (Vec<_>, Vec<_>) =
            inbox.into_iter().partition(|(arrives, _)| *arrives <= self.now);
        self.nodes[node].inbox = later;
        for (_, message) in due {
            match message {
                Message::Request { from, number } => {
                    let answer =
                        PeerProof { version: self.nodes[node].version, age: self.age(node) };
                    self.send(node, from, Message::Answer { number, answer });
                }
                Message::Answer { number, answer } => self.receive_proof(node, number, answer),
            }
        }
    }

    fn receive_proof(&mut self, node: usize, number: u64, answer: PeerProof) {
        let state = &mut self.nodes[node];
        let proven = state.requests.handle_answer(number, answer, state.version);
        let millis = |proven: BootInstant| u64::try_from(proven.since(at(0)).as_millis()).unwrap();
        state.proven = state.proven.max(proven.map(millis));
        // The node fetches a newer copy of the configuration.
        state.version = state.version.max(answer.version);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.nodes[from].drops_sent {
            let arrives = self.now + self.delay;
            self.nodes[to].inbox.push((arrives, message));
        }
    }

    fn receive_store_answer(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let Some(call) = state.call.filter(|call| call.arrives <= self.now) else { return };
        state.call = None;
        state.version = state.version.max(call.version);
        state.proven = state.proven.max(Some(call.sent));
    }

    fn ask(&mut self, node: usize) {
        let age = self.age(node);
        let is_urgent = self.limits.time_until_refresh(age).is_some_and(|left| left.is_zero());
        let is_primary_due = node == 0
            && age.is_none_or(|age| age >= Duration::from_millis(PRIMARY_INTERVAL_MILLIS));
        if (is_urgent || is_primary_due) && self.nodes[node].call.is_none() {
            self.call_store(node);
        }
        if self.limits.needs_peer_proof(age) {
            let now = at(self.now);
            if let Some((number, source)) = self.nodes[node].requests.next_request(NODES - 1, now) {
                let target = (node + NODES - source - 1) % NODES;
                let target = if node != 0 && source == 0 { 0 } else { target };
                self.send(node, target, Message::Request { from: node, number });
            }
        }
    }

    fn call_store(&mut self, node: usize) {
        // A call over a partition is never answered and times out.
        let arrives =
            if self.nodes[node].is_partitioned { u64::MAX } else { self.now + self.delay };
        if arrives == u64::MAX {
            return;
        }
        let delivered_until =
            if self.delays_delivery { self.now - DELIVERY_DELAY_MILLIS } else { self.now };
        let version =
            self.changes.iter().filter(|changed| **changed <= delivered_until).count() as u64;
        self.nodes[node].call = Some(Call { sent: self.now, arrives, version });
    }

    fn check(&self) {
        for (place, node) in self.nodes.iter().enumerate().filter(|(_, node)| !node.is_frozen) {
            let freshness = self.limits.key_freshness(self.age(place));
            let missed = self.changes.get(usize::try_from(node.version).unwrap()..).unwrap_or(&[]);
            let Some(first) = missed.first() else { continue };
            let since = self.now - first;
            assert!(
                !freshness.admits || since <= REVOKE_MILLIS,
                "node {place} admits a key {since} ms after it was revoked"
            );
            assert!(
                !freshness.denies || since <= APPLY_MILLIS + DELIVERY_DELAY_MILLIS,
                "node {place} denies a key {since} ms after it was added"
            );
        }
    }
}

#[test]
fn no_key_is_admitted_or_denied_by_a_stale_copy() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut world = World::new();
        world.apply(Step::Pass { tenths: 20 });
        for step in steps {
            world.apply(*step);
        }
    });
}

#[test]
fn without_faults_every_node_admits_and_denies() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    for _ in 0..400 {
        world.tick();
        for node in 0..NODES {
            let freshness = world.limits.key_freshness(world.age(node));
            assert!(freshness.admits && freshness.denies, "{:?}", world.age(node));
        }
    }
}

/// A suspended process finds old datagrams in its socket when it resumes. When it trusted the
/// ages in them, a key was still admitted 6.5 s after it was revoked.
#[test]
fn datagrams_queued_during_a_suspension_do_not_prove_freshness() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    world.apply(Step::Partition { node: 3 });
    world.apply(Step::Delay { tenths: 2 });
    world.apply(Step::Pass { tenths: 9 });
    world.apply(Step::Freeze { node: 3 });
    world.apply(Step::Change);
    (0..6_500 / TICK_MILLIS).for_each(|_| world.tick());
    world.apply(Step::Thaw { node: 3 });
    world.tick();
    assert!(!world.limits.key_freshness(world.age(3)).admits, "{:?}", world.age(3));
}

/// While the store is unreachable for all nodes, none admits keys past the revocation bound;
/// all of them do again shortly after it is reachable.
#[test]
fn a_store_outage_stops_the_admission_of_keys_until_it_is_over() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    (0..NODES).for_each(|node| world.apply(Step::Partition { node: node as u8 }));
    (0..REVOKE_MILLIS / TICK_MILLIS).for_each(|_| world.tick());
    let admits = |world: &World| {
        (0..NODES).filter(|node| world.limits.key_freshness(world.age(*node)).admits).count()
    };
    assert_eq!(admits(&world), 0);
    (0..NODES).for_each(|node| world.apply(Step::Heal { node: node as u8 }));
    (0..1000 / TICK_MILLIS).for_each(|_| world.tick());
    assert_eq!(admits(&world), NODES);
}
