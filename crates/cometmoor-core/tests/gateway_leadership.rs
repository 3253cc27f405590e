//! No schedule of pauses, lost renewals and late orders lets two nodes order
//! a server within the quiet time of each other.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::leadership::{
    Leadership, LeadershipTimes, Predecessor, Standing, candidacy,
};
use cometmoor_core::time::Timestamp;

use schedules::for_each_schedule;

const CASES: u64 = 20_000;
const NODES: usize = 3;
const TIMES: LeadershipTimes = LeadershipTimes {
    lease: Duration::from_millis(3000),
    quiet: Duration::from_millis(3400),
    order: Duration::from_millis(800),
};

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Time passes.
    Pass { tenths: u8 },
    /// A node campaigns; its calls take a while to reach the store.
    Campaign { node: u8, on_the_way: u8 },
    /// The node's process ends; another one starts, which knows nothing.
    Restart { node: u8 },
    /// A node renews; the call may be slow, or its answer lost.
    Renew { node: u8, on_the_way: u8, answered: bool },
    /// A node orders a server; the order arrives after a while.
    Order { node: u8, on_the_way: u8 },
}

/// The store's side of the lease.
#[derive(Default)]
struct Store {
    holder: Option<(usize, u64)>,
    last: Option<usize>,
    revision: u64,
}

const NAMES: [&str; NODES] = ["a", "b", "c"];

struct World {
    now: u64,
    store: Store,
    nodes: Vec<Leadership>,
    /// Arrival, node and token of each order.
    orders: Vec<(u64, usize, u64)>,
}

fn node(index: u8) -> usize {
    usize::from(index) % NODES
}

/// A call is on its way for up to half of an order's time.
fn way(on_the_way: u8) -> u64 {
    u64::from(on_the_way) * TIMES.order.as_millis() as u64 / 512
}

impl World {
    fn new() -> World {
        let nodes = vec![Leadership::new(TIMES); NODES];
        World { now: 0, store: Store::default(), nodes, orders: Vec::new() }
    }

    fn holder(&self) -> Option<usize> {
        self.store.holder.filter(|(_, until)| self.now < *until).map(|(node, _)| node)
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Pass { tenths } => self.now += u64::from(tenths) * 100,
            Step::Campaign { node: index, on_the_way } => {
                let sent = self.now;
                self.now += way(on_the_way);
                let standing = Standing {
                    holder: self.holder().map(|holder| NAMES[holder]),
                    last: self.store.last.map(|last| NAMES[last]),
                };
                let Some(predecessor) = candidacy(NAMES[node(index)], &standing) else { return };
                self.store.last = Some(node(index));
                self.store.revision += 1;
                let until = self.now + TIMES.lease.as_millis() as u64;
                self.store.holder = Some((node(index), until));
                self.now += way(on_the_way);
                let (sent, now) = (Timestamp(sent), Timestamp(self.now));
                let token = self.store.revision;
                self.nodes[node(index)].acquire(token, sent, now, predecessor);
            }
            Step::Restart { node: index } => {
                self.nodes[node(index)] = Leadership::new(TIMES);
            }
            Step::Renew { node: index, on_the_way, answered } => {
                let sent = self.now;
                self.now += way(on_the_way);
                if self.holder() != Some(node(index)) {
                    self.nodes[node(index)].resign();
                    return;
                }
                let until = self.now + TIMES.lease.as_millis() as u64;
                self.store.holder = Some((node(index), until));
                self.now += way(on_the_way);
                if answered {
                    self.nodes[node(index)].renew(Timestamp(sent), Timestamp(self.now));
                }
            }
            Step::Order { node: index, on_the_way } => {
                let sender = node(index);
                if let Some(token) = self.nodes[sender].token(Timestamp(self.now)) {
                    self.orders.push((self.now + way(on_the_way) * 2, sender, token));
                }
            }
        }
    }

    fn check(&mut self) {
        self.orders.sort_unstable();
        for pair in self.orders.windows(2) {
            let ((earlier, first, low), (later, second, high)) = (pair[0], pair[1]);
            if first != second {
                assert!(low < high, "token {high} follows {low}");
                let between = later - earlier;
                let bound = TIMES.lease.as_millis() as u64;
                assert!(between >= bound, "nodes {first} and {second} within {between} ms");
            }
        }
    }
}

#[test]
fn two_nodes_never_take_turns() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::new();
        for step in steps {
            world.run(*step);
        }
        world.check();
    });
}

#[test]
fn a_node_that_was_paused_past_its_lease_does_not_order() {
    let mut leader = Leadership::new(TIMES);
    leader.acquire(7, Timestamp(0), Timestamp(10), Predecessor::Nobody);
    assert_eq!(leader.token(Timestamp(100)), Some(7));
    assert_eq!(leader.token(Timestamp(2000)), None, "the order could arrive after the lease");
    assert!(!leader.leads(Timestamp(2700)), "a tenth of the lease stays unused");
    leader.renew(Timestamp(2690), Timestamp(2800));
    assert_eq!(leader.token(Timestamp(2801)), None, "a term that is over stays over");
}

#[test]
fn a_successor_waits_before_its_first_order() {
    let mut successor = Leadership::new(TIMES);
    successor.acquire(8, Timestamp(0), Timestamp(20), Predecessor::OtherNode);
    assert!(successor.leads(Timestamp(30)));
    assert_eq!(successor.token(Timestamp(1000)), None);
    successor.renew(Timestamp(1500), Timestamp(1510));
    successor.renew(Timestamp(3000), Timestamp(3010));
    assert_eq!(successor.token(Timestamp(3421)), Some(8));
}

#[test]
fn only_a_node_that_led_last_may_lead_again_before_its_lease_is_over() {
    let standing = |holder, last| Standing { holder, last };
    assert_eq!(candidacy("a", &standing(None, None)), Some(Predecessor::Nobody));
    assert_eq!(candidacy("a", &standing(None, Some("b"))), Some(Predecessor::OtherNode));
    assert_eq!(candidacy("a", &standing(None, Some("a"))), Some(Predecessor::SameNode));
    assert_eq!(candidacy("a", &standing(Some("a"), Some("a"))), Some(Predecessor::SameNode));
    assert_eq!(candidacy("a", &standing(Some("b"), Some("b"))), None);
}
