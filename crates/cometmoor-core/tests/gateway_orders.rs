//! No schedule of lost and late orders makes a server load more than it holds,
//! and what the ledger believes comes true.

mod schedules;

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::orders::{
    Action, NextStep, ServerLedger, ServerOrder, ServerReport, Weights,
};
use cometmoor_core::time::Timestamp;

use schedules::for_each_schedule;

const CASES: u64 = 20_000;
const SLOTS: usize = 3;
const MODELS: u8 = 6;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// The leader loads a model, if it fits by its ledger.
    Load { model: u8, fate: u8 },
    /// The leader unloads a model that it believes to be there.
    Unload { model: u8, fate: u8 },
    /// The leader does what the ledger asks for.
    Continue { fate: u8 },
    /// The server finishes the order that it carries out.
    Finish,
    /// An order that was on its way arrives.
    Late { index: u8 },
    /// Time passes.
    Pass { tenths: u8 },
}

/// The server: counts orders, carries one out at a time.
#[derive(Default)]
struct Server {
    count: u64,
    held: BTreeSet<Weights>,
    under_way: Option<ServerOrder>,
    most: usize,
}

impl Server {
    /// Whether the order was taken.
    fn take(&mut self, order: &ServerOrder, expected_count: u64) -> bool {
        if self.under_way.is_some() || self.count != expected_count {
            return false;
        }
        self.count += 1;
        let loads = order.action == Action::Load && !self.held.contains(&order.weights);
        self.most = self.most.max(self.held.len() + usize::from(loads));
        self.under_way = Some(order.clone());
        true
    }

    fn finish(&mut self) {
        let Some(order) = self.under_way.take() else { return };
        match order.action {
            Action::Load => self.held.insert(order.weights),
            Action::Unload => self.held.remove(&order.weights),
        };
    }

    fn report(&self) -> ServerReport {
        ServerReport { count: self.count, busy: self.under_way.is_some(), held: self.held.clone() }
    }
}

#[derive(Default)]
struct World {
    now: u64,
    server: Server,
    ledger: ServerLedger,
    on_the_way: Vec<(ServerOrder, u64)>,
}

impl World {
    fn now(&self) -> Timestamp {
        Timestamp(self.now)
    }

    /// Sends an order that is answered, loses its answer, or is late.
    fn send(&mut self, order: ServerOrder, expected_count: u64, fate: u8) {
        self.ledger.record_sent(&order, expected_count, Duration::from_millis(500));
        match fate % 4 {
            0 | 1 => {
                if self.server.take(&order, expected_count) {
                    self.ledger.record_accepted(self.now());
                } else {
                    self.ledger.record_unknown_outcome();
                }
            }
            2 => {
                self.server.take(&order, expected_count);
                self.ledger.record_unknown_outcome();
            }
            _ => {
                self.on_the_way.push((order, expected_count));
                self.ledger.record_unknown_outcome();
            }
        }
    }

    fn order(&mut self, action: Action, model: u8, fate: u8) {
        let NextStep::Idle { expected_count } = self.ledger.next_step(self.now()) else { return };
        let weights = Weights::model(&format!("m{}", model % MODELS));
        let mut reserved = self.ledger.reserved();
        let there = self.ledger.held().contains(&weights);
        reserved.insert(weights.clone());
        let sensible = match action {
            Action::Load => !there && reserved.len() <= SLOTS,
            Action::Unload => there,
        };
        if sensible {
            self.send(ServerOrder { action, weights }, expected_count, fate);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Load { model, fate } => self.order(Action::Load, model, fate),
            Step::Unload { model, fate } => self.order(Action::Unload, model, fate),
            Step::Continue { fate } => match self.ledger.next_step(self.now()) {
                NextStep::RequestReport => {
                    self.ledger.record_report(self.server.report(), self.now());
                }
                NextStep::Resend { order, expected_count } => {
                    self.send(order, expected_count, fate);
                }
                NextStep::Wait | NextStep::Idle { .. } => {}
            },
            Step::Finish => self.server.finish(),
            Step::Late { index } => {
                if !self.on_the_way.is_empty() {
                    let index = usize::from(index) % self.on_the_way.len();
                    let (order, expected_count) = self.on_the_way.remove(index);
                    self.server.take(&order, expected_count);
                }
            }
            Step::Pass { tenths } => self.now += u64::from(tenths) * 100,
        }
    }
}

#[test]
fn no_schedule_loads_more_than_a_server_holds() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::default();
        for step in steps {
            world.run(*step);
            assert!(world.server.most <= SLOTS, "{} models after {step:?}", world.server.most);
        }
    });
}

#[test]
fn an_order_in_doubt_is_repeated_with_the_same_count_until_a_report_settles_it() {
    let mut world = World::default();
    world.run(Step::Continue { fate: 0 });
    world.run(Step::Load { model: 1, fate: 3 });
    world.now += 1000;
    world.run(Step::Continue { fate: 0 });
    let order = ServerOrder { action: Action::Load, weights: Weights::model("m1") };
    let step = world.ledger.next_step(world.now());
    assert_eq!(step, NextStep::Resend { order, expected_count: 0 });
    assert!(world.ledger.reserved().contains(&Weights::model("m1")), "memory is kept for it");
    world.run(Step::Continue { fate: 0 });
    world.run(Step::Late { index: 0 });
    assert_eq!(world.server.count, 1, "the late copy has no effect");
}
