//! Whatever is slow, frozen, cut off or lost: no node admits a key longer than the bound
//! after it was taken away, and none denies one longer than the bound on a configuration
//! after it was added. While all is well all nodes do both.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::proof::{PeerProof, ProofLimits, ProofRequests};
use cometmoor_core::time::BootInstant;

use schedules::for_each_schedule;

const CASES: u64 = 600;
const NODES: usize = 6;
/// Bounds that operators set, in milliseconds.
const APPLY: u64 = 3000;
const REVOKE: u64 = 5000;
/// Milliseconds of a turn of the world.
const TURN: u64 = 50;
/// Time between two calls of the node on duty.
const DUTY_EACH: u64 = 600;
/// Time for which a store that compacts does not tell of changes.
const UNTOLD_FOR: u64 = 1000;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Time passes.
    Pass { tenths: u8 },
    /// The store takes a change: a key is taken away and another one added.
    Change,
    /// A node stops in whatever it does.
    Freeze { node: u8 },
    /// It goes on.
    Thaw { node: u8 },
    /// A node and the store do not reach each other any more.
    Cut { node: u8 },
    /// They do again.
    Join { node: u8 },
    /// What is sent from now on takes so long to come.
    Slow { tenths: u8 },
    /// What a node sends is lost from now on, or not any more.
    Lose { node: u8, lost: bool },
    /// Answers of the store lack the changes of the last second from now on, or do not.
    Untold { untold: bool },
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Request { from: usize, number: u64 },
    Answer { number: u64, answer: PeerProof },
}

/// A call to the store: when it began, when the answer comes, and what it holds.
#[derive(Clone, Copy, Debug)]
struct Call {
    asked: u64,
    comes: u64,
    version: u64,
}

struct Node {
    version: u64,
    proven: Option<u64>,
    requests: ProofRequests,
    call: Option<Call>,
    is_frozen: bool,
    is_cut: bool,
    loses: bool,
    inbox: Vec<(u64, Message)>,
}

struct World {
    limits: ProofLimits,
    now: u64,
    /// When the store took each change; the version is the number of changes.
    changes: Vec<u64>,
    delay: u64,
    is_untold: bool,
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
            is_cut: false,
            loses: false,
            inbox: Vec::new(),
        };
        World {
            limits: ProofLimits::new(
                Duration::from_millis(APPLY),
                Some(Duration::from_millis(REVOKE)),
            ),
            now: 10_000,
            changes: Vec::new(),
            delay: 1,
            is_untold: false,
            nodes: (0..NODES).map(node).collect(),
        }
    }

    fn apply(&mut self, step: Step) {
        let of = |node: u8| usize::from(node) % NODES;
        match step {
            Step::Pass { tenths } => {
                (0..u64::from(tenths % 60) * 100 / TURN).for_each(|_| self.turn());
            }
            Step::Change => self.changes.push(self.now),
            Step::Freeze { node } => self.nodes[of(node)].is_frozen = true,
            Step::Thaw { node } => self.nodes[of(node)].is_frozen = false,
            Step::Cut { node } => self.nodes[of(node)].is_cut = true,
            Step::Join { node } => self.nodes[of(node)].is_cut = false,
            Step::Slow { tenths } => self.delay = 1 + u64::from(tenths % 80) * 100,
            Step::Lose { node, lost } => self.nodes[of(node)].loses = lost,
            Step::Untold { untold } => self.is_untold = untold,
        }
        self.check();
    }

    fn turn(&mut self) {
        self.now += TURN;
        for node in 0..NODES {
            if !self.nodes[node].is_frozen {
                self.take_messages(node);
                self.take_answer_of_store(node);
                self.ask(node);
            }
        }
        self.check();
    }

    fn age(&self, node: usize) -> Option<Duration> {
        self.nodes[node].proven.map(|proven| at(self.now).since(at(proven)))
    }

    fn take_messages(&mut self, node: usize) {
        let inbox = std::mem::take(&mut self.nodes[node].inbox);
        let (due, later): (Vec<_>, Vec<_>) =
            inbox.into_iter().partition(|(comes, _)| *comes <= self.now);
        self.nodes[node].inbox = later;
        for (_, message) in due {
            match message {
                Message::Request { from, number } => {
                    let answer =
                        PeerProof { version: self.nodes[node].version, age: self.age(node) };
                    self.send(node, from, Message::Answer { number, answer });
                }
                Message::Answer { number, answer } => self.take_proof(node, number, answer),
            }
        }
    }

    fn take_proof(&mut self, node: usize, number: u64, answer: PeerProof) {
        let known = &mut self.nodes[node];
        let proven = known.requests.handle_answer(number, answer, known.version);
        let millis = |proven: BootInstant| u64::try_from(proven.since(at(0)).as_millis()).unwrap();
        known.proven = known.proven.max(proven.map(millis));
        // A newer copy is fetched.
        known.version = known.version.max(answer.version);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if !self.nodes[from].loses {
            let comes = self.now + self.delay;
            self.nodes[to].inbox.push((comes, message));
        }
    }

    fn take_answer_of_store(&mut self, node: usize) {
        let known = &mut self.nodes[node];
        let Some(call) = known.call.filter(|call| call.comes <= self.now) else { return };
        known.call = None;
        known.version = known.version.max(call.version);
        known.proven = known.proven.max(Some(call.asked));
    }

    fn ask(&mut self, node: usize) {
        let age = self.age(node);
        let is_urgent = self.limits.time_until_refresh(age).is_some_and(|left| left.is_zero());
        let on_duty = node == 0 && age.is_none_or(|age| age >= Duration::from_millis(DUTY_EACH));
        if (is_urgent || on_duty) && self.nodes[node].call.is_none() {
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
        // A call that is not answered is given up, sooner or later.
        let comes = if self.nodes[node].is_cut { u64::MAX } else { self.now + self.delay };
        if comes == u64::MAX {
            return;
        }
        let told_until = if self.is_untold { self.now - UNTOLD_FOR } else { self.now };
        let version = self.changes.iter().filter(|changed| **changed <= told_until).count() as u64;
        self.nodes[node].call = Some(Call { asked: self.now, comes, version });
    }

    fn check(&self) {
        for (place, node) in self.nodes.iter().enumerate().filter(|(_, node)| !node.is_frozen) {
            let knowledge = self.limits.key_freshness(self.age(place));
            let missed = self.changes.get(usize::try_from(node.version).unwrap()..).unwrap_or(&[]);
            let Some(first) = missed.first() else { continue };
            let since = self.now - first;
            assert!(
                !knowledge.admits || since <= REVOKE,
                "node {place} admits a key {since} ms after it was taken away"
            );
            assert!(
                !knowledge.denies || since <= APPLY + UNTOLD_FOR,
                "node {place} denies a key {since} ms after it was added"
            );
        }
    }
}

#[test]
fn no_key_is_admitted_or_denied_by_a_copy_that_is_too_old() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut world = World::new();
        world.apply(Step::Pass { tenths: 20 });
        for step in steps {
            world.apply(*step);
        }
    });
}

#[test]
fn while_all_is_well_every_node_admits_and_denies() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    for _ in 0..400 {
        world.turn();
        for node in 0..NODES {
            let knowledge = world.limits.key_freshness(world.age(node));
            assert!(knowledge.admits && knowledge.denies, "{:?}", world.age(node));
        }
    }
}

/// A process that is frozen finds old datagrams in its socket when it goes on. Taken for as
/// young as they say, they let a key run 6.5 s after it was taken away.
#[test]
fn what_waited_in_the_socket_of_a_frozen_node_proves_nothing_new() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    world.apply(Step::Cut { node: 3 });
    world.apply(Step::Slow { tenths: 2 });
    world.apply(Step::Pass { tenths: 9 });
    world.apply(Step::Freeze { node: 3 });
    world.apply(Step::Change);
    (0..6_500 / TURN).for_each(|_| world.turn());
    world.apply(Step::Thaw { node: 3 });
    world.turn();
    assert!(!world.limits.key_freshness(world.age(3)).admits, "{:?}", world.age(3));
}

/// With a store that is away for all, nobody admits keys longer than the bound, and all do
/// again a moment after it is back.
#[test]
fn without_a_store_nobody_admits_keys_and_with_it_all_do() {
    let mut world = World::new();
    world.apply(Step::Pass { tenths: 30 });
    (0..NODES).for_each(|node| world.apply(Step::Cut { node: node as u8 }));
    (0..REVOKE / TURN).for_each(|_| world.turn());
    let admits = |world: &World| {
        (0..NODES).filter(|node| world.limits.key_freshness(world.age(*node)).admits).count()
    };
    assert_eq!(admits(&world), 0);
    (0..NODES).for_each(|node| world.apply(Step::Join { node: node as u8 }));
    (0..1000 / TURN).for_each(|_| world.turn());
    assert_eq!(admits(&world), NODES);
}
