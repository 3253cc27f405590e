//! Tests of the ledger: no schedule of lost, late and duplicate orders, restarts
//! and planner changes makes an engine that checks fences exceed its memory.

mod schedules;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use cometmoor_core::catalog::base_artifact;
use cometmoor_core::ledger::{EngineLedger, LedgerError};
use cometmoor_protocol::engine::{
    Artifact, Fence, Inventory, Order, OrderAction, Resident, ResidentState,
};

use schedules::for_each_schedule;

const CAPACITY: u64 = 10;
const CASES: u64 = 20_000;
const MODELS: u8 = 4;

/// Model of an engine that checks fences.
#[derive(Default)]
struct Engine {
    incarnation: u64,
    fence: Fence,
    resident: BTreeMap<Artifact, u64>,
}

impl Engine {
    fn raise(&mut self, fence: Fence) -> bool {
        let newer = fence > self.fence;
        if newer {
            self.fence = fence;
        }
        newer
    }

    fn deliver(&mut self, order: &Order) {
        if order.incarnation != self.incarnation || order.fence <= self.fence {
            return;
        }
        self.fence = order.fence;
        match &order.action {
            OrderAction::Load { artifact, bytes } => {
                self.resident.entry(artifact.clone()).or_insert(*bytes);
            }
            OrderAction::Unload { artifact } => {
                self.resident.remove(artifact);
            }
        }
    }

    fn report(&self) -> Inventory {
        let resident = self.resident.iter().map(|(artifact, bytes)| Resident {
            artifact: artifact.clone(),
            bytes: *bytes,
            state: ResidentState::Ready,
        });
        Inventory {
            incarnation: self.incarnation,
            fence: self.fence,
            resident: resident.collect(),
            running: 0,
            waiting: 0,
            leaving: false,
        }
    }

    fn restart(&mut self) {
        *self = Engine { incarnation: self.incarnation + 1, ..Engine::default() };
    }

    fn used(&self) -> u64 {
        self.resident.values().sum()
    }
}

struct Planner {
    epoch: u64,
    sequence: u64,
    ledger: EngineLedger,
}

impl Planner {
    fn new(epoch: u64) -> Planner {
        Planner { epoch, sequence: 0, ledger: EngineLedger::new(CAPACITY) }
    }

    fn next_fence(&mut self) -> Fence {
        self.sequence += 1;
        Fence { epoch: self.epoch, sequence: self.sequence }
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A planner records an order and sends it over the network.
    Load {
        planner: bool,
        model: u8,
        bytes: u8,
    },
    Unload {
        planner: bool,
        model: u8,
    },
    /// An order arrives at the engine; the same order may arrive again.
    Deliver {
        index: u8,
    },
    /// A planner raises the engine's fence and, if that succeeds, reads a report.
    Raise {
        planner: bool,
    },
    /// A planner reads a report.
    Report {
        planner: bool,
    },
    Restart,
    /// A new planner with a higher epoch replaces the one with the lower epoch.
    ReplacePlanner,
}

struct World {
    engine: Engine,
    planners: [Planner; 2],
    network: Vec<Order>,
    next_epoch: u64,
    loads_sent: u64,
}

impl World {
    fn new() -> World {
        World {
            engine: Engine { incarnation: 1, ..Engine::default() },
            planners: [Planner::new(1), Planner::new(2)],
            network: Vec::new(),
            next_epoch: 3,
            loads_sent: 0,
        }
    }

    fn send(&mut self, planner: bool, action: OrderAction) {
        let planner = &mut self.planners[usize::from(planner)];
        let Some(incarnation) = planner.ledger.incarnation() else {
            return;
        };
        let fence = planner.next_fence();
        let is_load = matches!(action, OrderAction::Load { .. });
        if planner.ledger.record_order(fence, action.clone()).is_ok() {
            self.network.push(Order { incarnation, fence, action });
            self.loads_sent += u64::from(is_load);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Load { planner, model, bytes } => {
                let artifact = artifact(model);
                let bytes = u64::from(bytes) % CAPACITY + 1;
                self.send(planner, OrderAction::Load { artifact, bytes });
            }
            Step::Unload { planner, model } => {
                self.send(planner, OrderAction::Unload { artifact: artifact(model) });
            }
            Step::Deliver { index } => {
                if let Some(order) =
                    self.network.get(usize::from(index) % self.network.len().max(1))
                {
                    self.engine.deliver(order);
                }
            }
            Step::Raise { planner } => {
                let planner = &mut self.planners[usize::from(planner)];
                let fence = planner.next_fence();
                planner.ledger.record_fence(fence);
                if self.engine.raise(fence) {
                    planner.ledger.apply_report(&self.engine.report());
                }
            }
            Step::Report { planner } => {
                let report = self.engine.report();
                self.planners[usize::from(planner)].ledger.apply_report(&report);
            }
            Step::Restart => self.engine.restart(),
            Step::ReplacePlanner => {
                let outdated = usize::from(self.planners[0].epoch > self.planners[1].epoch);
                self.planners[outdated] = Planner::new(self.next_epoch);
                self.next_epoch += 1;
            }
        }
    }
}

fn artifact(model: u8) -> Artifact {
    base_artifact(&format!("m{}", model % MODELS), "v")
}

#[test]
fn engine_is_never_overcommitted() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::new();
        for step in steps {
            world.run(*step);
            assert!(
                world.engine.used() <= CAPACITY,
                "{} bytes after {step:?}",
                world.engine.used()
            );
        }
    });
}

/// Both planners can get loads accepted by their ledgers. Otherwise the property
/// above would hold trivially.
#[test]
fn both_planners_can_send_loads() {
    let mut world = World::new();
    for planner in [false, true] {
        world.run(Step::Raise { planner });
        world.run(Step::Load { planner, model: u8::from(planner), bytes: 3 });
    }
    assert_eq!(world.loads_sent, 2);
    world.run(Step::Deliver { index: 0 });
    assert_eq!(world.engine.used(), 0, "the engine rejects the outdated planner's load");
    world.run(Step::Deliver { index: 1 });
    assert_eq!(world.engine.used(), 4);
}

#[test]
fn unanswered_load_counts_until_a_newer_report() {
    let mut ledger = EngineLedger::new(CAPACITY);
    let mut engine = Engine { incarnation: 1, ..Engine::default() };
    let fence = |sequence| Fence { epoch: 1, sequence };
    let load = |bytes| OrderAction::Load { artifact: artifact(0), bytes };
    assert_eq!(ledger.record_order(fence(1), load(1)), Err(LedgerError::NoInventory));
    ledger.apply_report(&engine.report());
    assert_eq!(ledger.record_order(fence(1), load(1)), Err(LedgerError::FenceNotRaised));
    engine.raise(fence(1));
    ledger.apply_report(&engine.report());
    ledger.record_order(fence(2), load(7)).unwrap();
    ledger.apply_report(&engine.report());
    assert_eq!(ledger.free_bytes(), 3, "the report is older than the order");
    let other = OrderAction::Load { artifact: artifact(1), bytes: 4 };
    let overcommit = LedgerError::Overcommit { needed_bytes: 4, free_bytes: 3 };
    assert_eq!(ledger.record_order(fence(3), other), Err(overcommit));
    engine.raise(fence(4));
    ledger.apply_report(&engine.report());
    assert_eq!(ledger.free_bytes(), CAPACITY, "the load can no longer take effect");
}
