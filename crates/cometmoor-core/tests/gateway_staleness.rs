//! Whichever ways to the store go silent, and whichever nodes stop hearing one
//! another: a node whose own way works knows in time what the store has taken.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::staleness::{CopyView, NextCall, StalenessLimits};

use schedules::for_each_schedule;

const CASES: u64 = 400;
const NODES: usize = 8;
/// Bound that operators set, and the time for which a node's way must have been
/// open before it is held to it.
const BOUND: u64 = 2000;
const OPEN_FOR: u64 = 3000;
/// Milliseconds of a turn of the world.
const TURN: u64 = 20;
const HEARTBEAT: u64 = 80;
const SUSPECT_AFTER: u64 = 1300;
/// Time that an open watch has to bring what a peer already has.
const LEAD: u64 = 450;
/// Nodes that read the store.
const READERS: usize = 3;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Time passes.
    Pass { tenths: u8 },
    /// The store takes a change.
    Change,
    /// A node's way to the store goes silent: what is open stays without an answer
    /// for ever, and what is sent too.
    Silence { node: u8 },
    /// All ways but one node's go silent.
    SilenceOthers { node: u8 },
    /// A node's way works again, for what is sent from now on.
    Open { node: u8 },
    /// A node and the others stop hearing one another.
    Isolate { node: u8 },
    /// They hear one another again.
    Join { node: u8 },
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Watch { until: u64, ends: u64 },
    Poll { ends: u64 },
    None { until: u64 },
}

/// What a node told last, and when.
#[derive(Clone, Copy, Debug)]
struct Told {
    at: u64,
    revision: u64,
    confirmed: Option<u64>,
    failing: bool,
}

struct Node {
    revision: u64,
    /// Since when its way to the store is open; none while it is silent.
    open_since: Option<u64>,
    is_isolated: bool,
    call: Call,
    /// Whether the call was sent on a way that has been open since.
    reaches: bool,
    doubts: bool,
    failures: u32,
    failing: bool,
    confirmed: Option<u64>,
    told_confirmed: Option<u64>,
    behind_since: Option<u64>,
    heard: [Option<Told>; NODES],
}

struct World {
    limits: StalenessLimits,
    now: u64,
    /// When the store took each change; the revision is the number of changes.
    changes: Vec<u64>,
    nodes: Vec<Node>,
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap()
}

impl World {
    fn new() -> World {
        let node = |_| Node {
            revision: 0,
            open_since: Some(0),
            is_isolated: false,
            call: Call::None { until: 0 },
            reaches: true,
            doubts: false,
            failures: 0,
            failing: false,
            confirmed: Some(0),
            told_confirmed: None,
            behind_since: None,
            heard: [None; NODES],
        };
        World {
            limits: StalenessLimits::new(Duration::from_millis(BOUND)),
            now: 0,
            changes: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
        }
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn ahead(&self, node: usize) -> impl Iterator<Item = Told> {
        let now = self.now;
        let heard = self.nodes[node].heard.into_iter().take(node).flatten();
        heard.filter(move |told| now - told.at <= SUSPECT_AFTER)
    }

    fn view(&self, node: usize) -> CopyView {
        let answered = self.ahead(node).filter(|told| !told.failing).count();
        let failing = self.ahead(node).filter(|told| told.failing).count();
        let age = |at: Option<u64>| at.map(|at| Duration::from_millis(self.now - at));
        CopyView {
            exists: true,
            is_superseded: false,
            is_reader: answered < READERS && failing < 2 * READERS,
            preceding_nodes: answered,
            is_small_fleet: true,
            age: age(self.nodes[node].confirmed),
            peer_reported_age: age(self.nodes[node].told_confirmed),
            time_until_proof_refresh: None,
        }
    }

    fn turn(&mut self) {
        self.now += TURN;
        for node in 0..NODES {
            self.call_store(node);
        }
        if self.now.is_multiple_of(HEARTBEAT) {
            self.tell_one_another();
        }
        self.check();
    }

    fn call_store(&mut self, node: usize) {
        let (now, revision, view) = (self.now, self.revision(), self.view(node));
        let limits = self.limits;
        let state = &mut self.nodes[node];
        let answered = state.reaches;
        match state.call {
            Call::Watch { until, .. }
                if answered && (revision > state.revision || now >= until) =>
            {
                state.take_answer(revision, now);
            }
            Call::Poll { .. } if answered => state.take_answer(revision, now),
            Call::Watch { ends, .. }
                if now >= ends || limits.time_until_refresh(&view).is_zero() =>
            {
                state.doubts = true;
                state.call = Call::None { until: now };
            }
            Call::Poll { ends } if now >= ends => {
                let pause = limits.retry_delay(state.failures, &view);
                state.failures += 1;
                state.failing = true;
                state.doubts = true;
                state.call = Call::None { until: now + millis(pause) };
            }
            Call::None { until } if now >= until => self.begin_call(node, &view),
            _ => {}
        }
    }

    fn begin_call(&mut self, node: usize, view: &CopyView) {
        let (now, limits) = (self.now, self.limits);
        let state = &mut self.nodes[node];
        state.reaches = state.open_since.is_some();
        state.call = match limits.next_call(view) {
            NextCall::Wait(rest) => Call::None { until: now + millis(rest) },
            NextCall::Watch(wait) if !state.doubts => Call::Watch {
                until: now + millis(wait),
                ends: now + millis(wait + limits.watch_grace()),
            },
            NextCall::Watch(_) | NextCall::Poll | NextCall::Read => {
                Call::Poll { ends: now + millis(limits.poll_timeout(state.failures)) }
            }
        };
    }

    fn tell_one_another(&mut self) {
        let now = self.now;
        for from in 0..NODES {
            let sender = &self.nodes[from];
            let told = Told {
                at: now,
                revision: sender.revision,
                confirmed: sender.confirmed,
                failing: sender.failing,
            };
            if sender.is_isolated {
                continue;
            }
            for to in (0..NODES).filter(|to| *to != from) {
                let view = self.view(to);
                let too_old = self.limits.time_until_refresh(&view).is_zero();
                if !self.nodes[to].is_isolated {
                    self.nodes[to].hear(from, told, &view, too_old);
                }
            }
        }
    }

    /// Nodes whose way has been open for long know what the store took a bound ago.
    fn check(&self) {
        let due = self.changes.iter().filter(|taken| **taken + BOUND < self.now).count() as u64;
        for (place, node) in self.nodes.iter().enumerate() {
            let held = node.open_since.is_some_and(|since| since + OPEN_FOR <= self.now);
            assert!(
                !held || node.revision >= due,
                "at {} node {place} is of revision {}, the store took {due} a bound ago",
                self.now,
                node.revision,
            );
        }
    }

    fn apply(&mut self, step: Step) {
        let index = |node: u8| usize::from(node) % NODES;
        match step {
            Step::Pass { tenths } => {
                (0..u64::from(tenths % 25) * 100 / TURN).for_each(|_| self.turn());
            }
            Step::Change => self.changes.push(self.now),
            Step::Silence { node } => self.nodes[index(node)].silence(),
            Step::SilenceOthers { node } => {
                (0..NODES).filter(|at| *at != index(node)).for_each(|at| self.nodes[at].silence());
            }
            Step::Open { node } => {
                let now = self.now;
                self.nodes[index(node)].open_since.get_or_insert(now);
            }
            Step::Isolate { node } => self.nodes[index(node)].is_isolated = true,
            Step::Join { node } => self.nodes[index(node)].is_isolated = false,
        }
    }
}

impl Node {
    fn silence(&mut self) {
        self.open_since = None;
        self.reaches = false;
    }

    fn take_answer(&mut self, revision: u64, now: u64) {
        self.revision = revision;
        self.confirmed = Some(now);
        self.failing = false;
        self.doubts = false;
        self.failures = 0;
        self.call = Call::None { until: now };
    }

    fn hear(&mut self, from: usize, told: Told, view: &CopyView, too_old: bool) {
        self.heard[from] = Some(told);
        if told.revision <= self.revision {
            self.confirmed = self.confirmed.max(told.confirmed);
            self.told_confirmed = self.told_confirmed.max(told.confirmed);
            self.failing &= view.is_reader || too_old;
            return;
        }
        let since = *self.behind_since.get_or_insert(told.at);
        if !view.is_reader || self.failing || too_old || told.at - since >= LEAD {
            self.revision = told.revision;
            self.behind_since = None;
        }
    }
}

#[test]
fn a_node_whose_way_to_the_store_works_knows_in_time_what_it_took() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut world = World::new();
        for step in steps {
            world.apply(*step);
        }
        (0..3 * BOUND / TURN).for_each(|_| world.turn());
    });
}

/// The shape of the days on which work reached leaving servers: the readers go
/// silent one after the other, and the store takes a change that only the last
/// node can be told.
#[test]
fn the_last_node_that_the_store_answers_asks_it() {
    for last in 0..NODES {
        let mut world = World::new();
        world.apply(Step::Pass { tenths: 24 });
        for silent in (0..NODES).filter(|node| *node != last) {
            world.apply(Step::Silence { node: silent as u8 });
            world.apply(Step::Pass { tenths: 3 });
        }
        world.apply(Step::Change);
        world.apply(Step::Pass { tenths: 20 });
        let known = world.nodes.iter().filter(|node| node.revision == 1).count();
        assert_eq!(known, NODES, "by way of node {last}");
    }
}

/// While all is well one node's watches are answered, and the others hear of it.
#[test]
fn one_node_asks_while_all_is_well() {
    let mut world = World::new();
    let mut polls = 0;
    for _ in 0..20_000 / TURN {
        world.turn();
        polls += world.nodes.iter().filter(|node| matches!(node.call, Call::Poll { .. })).count();
    }
    assert_eq!(polls, 0, "nobody's copy becomes too old");
}
