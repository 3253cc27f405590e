//! Whichever connections to the store go dead and whichever nodes are isolated from each other,
//! a node whose own connection works learns of a change within the bound.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::staleness::{CopyView, NextCall, StalenessLimits};

use schedules::for_each_schedule;

const CASES: u64 = 400;
const NODES: usize = 8;
/// Bound that operators configure, in milliseconds.
const BOUND_MILLIS: u64 = 2000;
/// Time in milliseconds for which a node must have been connected before the bound applies to
/// it.
const CONNECTED_MILLIS: u64 = 3000;
/// Length of a simulation step, in milliseconds.
const TICK_MILLIS: u64 = 20;
const HEARTBEAT_MILLIS: u64 = 80;
const SUSPECT_MILLIS: u64 = 1300;
/// Time in milliseconds for which a node waits for its open watch to deliver what a peer
/// already has.
const WATCH_LEAD_MILLIS: u64 = 450;
/// Number of nodes that read from the store.
const READERS: usize = 3;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Time passes.
    Pass { tenths: u8 },
    /// The store applies a change.
    Change,
    /// A node's connection to the store goes dead: open calls and calls sent from now on are
    /// never answered.
    Disconnect { node: u8 },
    /// The connections of all nodes but one go dead.
    DisconnectOthers { node: u8 },
    /// A node's connection works again, for calls sent from now on.
    Reconnect { node: u8 },
    /// A node and the others do not receive each other's heartbeats.
    Isolate { node: u8 },
    /// They receive each other's heartbeats again.
    Rejoin { node: u8 },
}

#[derive(Clone, Copy, Debug)]
enum Call {
    Watch { until: u64, ends: u64 },
    Poll { ends: u64 },
    None { until: u64 },
}

/// The latest heartbeat of a node, and when it was sent.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    at: u64,
    revision: u64,
    confirmed: Option<u64>,
    failing: bool,
}

struct Node {
    revision: u64,
    /// Since when its connection to the store works; `None` while it is dead.
    connected_since: Option<u64>,
    is_isolated: bool,
    call: Call,
    /// Whether the call was sent on a connection that has worked since.
    is_answered: bool,
    must_poll: bool,
    failures: u32,
    failing: bool,
    confirmed: Option<u64>,
    peer_confirmed: Option<u64>,
    behind_since: Option<u64>,
    heartbeats: [Option<Heartbeat>; NODES],
}

struct World {
    limits: StalenessLimits,
    now: u64,
    /// When the store applied each change. The revision is the number of changes.
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
            connected_since: Some(0),
            is_isolated: false,
            call: Call::None { until: 0 },
            is_answered: true,
            must_poll: false,
            failures: 0,
            failing: false,
            confirmed: Some(0),
            peer_confirmed: None,
            behind_since: None,
            heartbeats: [None; NODES],
        };
        World {
            limits: StalenessLimits::new(Duration::from_millis(BOUND_MILLIS)),
            now: 0,
            changes: Vec::new(),
            nodes: (0..NODES).map(node).collect(),
        }
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn preceding(&self, node: usize) -> impl Iterator<Item = Heartbeat> {
        let now = self.now;
        let heartbeats = self.nodes[node].heartbeats.into_iter().take(node).flatten();
        heartbeats.filter(move |heartbeat| now - heartbeat.at <= SUSPECT_MILLIS)
    }

    fn view(&self, node: usize) -> CopyView {
        let answered = self.preceding(node).filter(|heartbeat| !heartbeat.failing).count();
        let failing = self.preceding(node).filter(|heartbeat| heartbeat.failing).count();
        let age = |at: Option<u64>| at.map(|at| Duration::from_millis(self.now - at));
        CopyView {
            exists: true,
            is_superseded: false,
            is_reader: answered < READERS && failing < 2 * READERS,
            preceding_nodes: answered,
            is_small_fleet: true,
            age: age(self.nodes[node].confirmed),
            peer_reported_age: age(self.nodes[node].peer_confirmed),
            time_until_proof_refresh: None,
        }
    }

    fn tick(&mut self) {
        self.now += TICK_MILLIS;
        for node in 0..NODES {
            self.call_store(node);
        }
        if self.now.is_multiple_of(HEARTBEAT_MILLIS) {
            self.send_heartbeats();
        }
        self.check();
    }

    fn call_store(&mut self, node: usize) {
        let (now, revision, view) = (self.now, self.revision(), self.view(node));
        let limits = self.limits;
        let state = &mut self.nodes[node];
        let answered = state.is_answered;
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
                state.must_poll = true;
                state.call = Call::None { until: now };
            }
            Call::Poll { ends } if now >= ends => {
                let pause = limits.retry_delay(state.failures, &view);
                state.failures += 1;
                state.failing = true;
                state.must_poll = true;
                state.call = Call::None { until: now + millis(pause) };
            }
            Call::None { until } if now >= until => self.begin_call(node, &view),
            _ => {}
        }
    }

    fn begin_call(&mut self, node: usize, view: &CopyView) {
        let (now, limits) = (self.now, self.limits);
        let state = &mut self.nodes[node];
        state.is_answered = state.connected_since.is_some();
        state.call = match limits.next_call(view) {
            NextCall::Wait(rest) => Call::None { until: now + millis(rest) },
            NextCall::Watch(wait) if !state.must_poll => Call::Watch {
                until: now + millis(wait),
                ends: now + millis(wait + limits.watch_grace()),
            },
            NextCall::Watch(_) | NextCall::Poll | NextCall::Read => {
                Call::Poll { ends: now + millis(limits.poll_timeout(state.failures)) }
            }
        };
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        for from in 0..NODES {
            let sender = &self.nodes[from];
            let heartbeat = Heartbeat {
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
                let is_stale = self.limits.time_until_refresh(&view).is_zero();
                if !self.nodes[to].is_isolated {
                    self.nodes[to].receive_heartbeat(from, heartbeat, &view, is_stale);
                }
            }
        }
    }

    /// Checks that nodes that have been connected for long enough know all changes that are
    /// older than the bound.
    fn check(&self) {
        let due =
            self.changes.iter().filter(|taken| **taken + BOUND_MILLIS < self.now).count() as u64;
        for (place, node) in self.nodes.iter().enumerate() {
            let is_bound =
                node.connected_since.is_some_and(|since| since + CONNECTED_MILLIS <= self.now);
            assert!(
                !is_bound || node.revision >= due,
                "at {} node {place} has revision {}, the store had {due} a bound ago",
                self.now,
                node.revision,
            );
        }
    }

    fn apply(&mut self, step: Step) {
        let index = |node: u8| usize::from(node) % NODES;
        match step {
            Step::Pass { tenths } => {
                (0..u64::from(tenths % 25) * 100 / TICK_MILLIS).for_each(|_| self.tick());
            }
            Step::Change => self.changes.push(self.now),
            Step::Disconnect { node } => self.nodes[index(node)].disconnect(),
            Step::DisconnectOthers { node } => {
                (0..NODES)
                    .filter(|at| *at != index(node))
                    .for_each(|at| self.nodes[at].disconnect());
            }
            Step::Reconnect { node } => {
                let now = self.now;
                self.nodes[index(node)].connected_since.get_or_insert(now);
            }
            Step::Isolate { node } => self.nodes[index(node)].is_isolated = true,
            Step::Rejoin { node } => self.nodes[index(node)].is_isolated = false,
        }
    }
}

impl Node {
    fn disconnect(&mut self) {
        self.connected_since = None;
        self.is_answered = false;
    }

    fn take_answer(&mut self, revision: u64, now: u64) {
        self.revision = revision;
        self.confirmed = Some(now);
        self.failing = false;
        self.must_poll = false;
        self.failures = 0;
        self.call = Call::None { until: now };
    }

    fn receive_heartbeat(
        &mut self,
        from: usize,
        heartbeat: Heartbeat,
        view: &CopyView,
        is_stale: bool,
    ) {
        self.heartbeats[from] = Some(heartbeat);
        if heartbeat.revision <= self.revision {
            self.confirmed = self.confirmed.max(heartbeat.confirmed);
            self.peer_confirmed = self.peer_confirmed.max(heartbeat.confirmed);
            self.failing &= view.is_reader || is_stale;
            return;
        }
        let since = *self.behind_since.get_or_insert(heartbeat.at);
        if !view.is_reader || self.failing || is_stale || heartbeat.at - since >= WATCH_LEAD_MILLIS
        {
            self.revision = heartbeat.revision;
            self.behind_since = None;
        }
    }
}

#[test]
fn a_connected_node_learns_of_changes_within_the_bound() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut world = World::new();
        for step in steps {
            world.apply(*step);
        }
        (0..3 * BOUND_MILLIS / TICK_MILLIS).for_each(|_| world.tick());
    });
}

/// Work was sent to leaving servers when the connections of the readers went dead one after the
/// other and the store then applied a change that only the last node could read.
#[test]
fn the_last_connected_node_reads_from_the_store() {
    for last in 0..NODES {
        let mut world = World::new();
        world.apply(Step::Pass { tenths: 24 });
        for disconnected in (0..NODES).filter(|node| *node != last) {
            world.apply(Step::Disconnect { node: disconnected as u8 });
            world.apply(Step::Pass { tenths: 3 });
        }
        world.apply(Step::Change);
        world.apply(Step::Pass { tenths: 20 });
        let known = world.nodes.iter().filter(|node| node.revision == 1).count();
        assert_eq!(known, NODES, "all nodes learn of the change from node {last}");
    }
}

/// Without faults the watches of the primary watcher suffice: its heartbeats keep the other
/// nodes' copies recent enough, so that no node polls.
#[test]
fn without_faults_no_node_polls_the_store() {
    let mut world = World::new();
    let mut polls = 0;
    for _ in 0..20_000 / TICK_MILLIS {
        world.tick();
        polls += world.nodes.iter().filter(|node| matches!(node.call, Call::Poll { .. })).count();
    }
    assert_eq!(polls, 0, "no copy reaches its refresh age");
}
