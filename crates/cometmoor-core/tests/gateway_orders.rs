//! Property tests of the order ledger: no schedule of lost and delayed orders makes a server load
//! more than its memory holds, and an unanswered order is resent until a report settles it.

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
    /// The leader loads a model if it fits according to the ledger.
    Load { model: u8, delivery: u8 },
    /// The leader unloads a model that is loaded according to the ledger.
    Unload { model: u8, delivery: u8 },
    /// The leader takes the ledger's next step.
    Continue { delivery: u8 },
    /// The server completes the order that it is executing.
    Finish,
    /// A delayed order arrives.
    DeliverLate { index: u8 },
    /// Time advances.
    Advance { tenths: u8 },
}

/// A server that counts the orders it accepts and executes one at a time.
#[derive(Default)]
struct Server {
    count: u64,
    held: BTreeSet<Weights>,
    executing: Option<ServerOrder>,
    max_models: usize,
}

impl Server {
    /// Accepts the order if the server is idle and the count matches.
    fn accept(&mut self, order: &ServerOrder, expected_count: u64) -> bool {
        if self.executing.is_some() || self.count != expected_count {
            return false;
        }
        self.count += 1;
        let adds_model = order.action == Action::Load && !self.held.contains(&order.weights);
        self.max_models = self.max_models.max(self.held.len() + usize::from(adds_model));
        self.executing = Some(order.clone());
        true
    }

    fn finish(&mut self) {
        let Some(order) = self.executing.take() else { return };
        match order.action {
            Action::Load => self.held.insert(order.weights),
            Action::Unload => self.held.remove(&order.weights),
        };
    }

    fn report(&self) -> ServerReport {
        ServerReport { count: self.count, busy: self.executing.is_some(), held: self.held.clone() }
    }
}

#[derive(Default)]
struct World {
    now: u64,
    server: Server,
    ledger: ServerLedger,
    delayed: Vec<(ServerOrder, u64)>,
}

impl World {
    fn now(&self) -> Timestamp {
        Timestamp(self.now)
    }

    /// Sends an order that is answered, loses its answer, or is delayed.
    fn send(&mut self, order: ServerOrder, expected_count: u64, delivery: u8) {
        self.ledger.record_sent(&order, expected_count, Duration::from_millis(500));
        match delivery % 4 {
            0 | 1 => {
                if self.server.accept(&order, expected_count) {
                    self.ledger.record_accepted(self.now());
                } else {
                    self.ledger.record_unknown_outcome();
                }
            }
            2 => {
                self.server.accept(&order, expected_count);
                self.ledger.record_unknown_outcome();
            }
            _ => {
                self.delayed.push((order, expected_count));
                self.ledger.record_unknown_outcome();
            }
        }
    }

    fn order(&mut self, action: Action, model: u8, delivery: u8) {
        let NextStep::Idle { expected_count } = self.ledger.next_step(self.now()) else { return };
        let weights = Weights::model(&format!("m{}", model % MODELS));
        let mut reserved = self.ledger.reserved();
        let is_held = self.ledger.held().contains(&weights);
        reserved.insert(weights.clone());
        let is_possible = match action {
            Action::Load => !is_held && reserved.len() <= SLOTS,
            Action::Unload => is_held,
        };
        if is_possible {
            self.send(ServerOrder { action, weights }, expected_count, delivery);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Load { model, delivery } => self.order(Action::Load, model, delivery),
            Step::Unload { model, delivery } => self.order(Action::Unload, model, delivery),
            Step::Continue { delivery } => match self.ledger.next_step(self.now()) {
                NextStep::RequestReport => {
                    self.ledger.record_report(self.server.report(), self.now());
                }
                NextStep::Resend { order, expected_count } => {
                    self.send(order, expected_count, delivery);
                }
                NextStep::Wait | NextStep::Idle { .. } => {}
            },
            Step::Finish => self.server.finish(),
            Step::DeliverLate { index } => {
                if !self.delayed.is_empty() {
                    let index = usize::from(index) % self.delayed.len();
                    let (order, expected_count) = self.delayed.remove(index);
                    self.server.accept(&order, expected_count);
                }
            }
            Step::Advance { tenths } => self.now += u64::from(tenths) * 100,
        }
    }
}

#[test]
fn no_schedule_loads_more_than_the_server_can_hold() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::default();
        for step in steps {
            world.run(*step);
            assert!(
                world.server.max_models <= SLOTS,
                "{} models after {step:?}",
                world.server.max_models
            );
        }
    });
}

#[test]
fn an_unanswered_order_is_resent_with_the_same_count_until_a_report_settles_it() {
    let mut world = World::default();
    world.run(Step::Continue { delivery: 0 });
    world.run(Step::Load { model: 1, delivery: 3 });
    world.now += 1000;
    world.run(Step::Continue { delivery: 0 });
    let order = ServerOrder { action: Action::Load, weights: Weights::model("m1") };
    let step = world.ledger.next_step(world.now());
    assert_eq!(step, NextStep::Resend { order, expected_count: 0 });
    assert!(world.ledger.reserved().contains(&Weights::model("m1")), "its memory stays reserved");
    world.run(Step::Continue { delivery: 0 });
    world.run(Step::DeliverLate { index: 0 });
    assert_eq!(world.server.count, 1, "the delayed copy has no effect");
}
