//! Tests of order records: no schedule of late and duplicate orders, paused planners
//! and planner changes makes an engine without fences exceed its memory.

mod schedules;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use cometmoor_core::catalog::base_artifact;
use cometmoor_core::unfenced::{OrderRecord, PlannerId, RecordError};
use cometmoor_protocol::engine::{Artifact, OrderAction};

use schedules::for_each_schedule;

const CAPACITY: u64 = 10;
const CASES: u64 = 20_000;
const MODELS: u8 = 4;

/// Model of an engine that applies every order that arrives.
#[derive(Default)]
struct Engine {
    incarnation: u64,
    resident: BTreeMap<Artifact, u64>,
}

impl Engine {
    fn deliver(&mut self, action: &OrderAction) {
        match action {
            OrderAction::Load { artifact, bytes } => {
                self.resident.entry(artifact.clone()).or_insert(*bytes);
            }
            OrderAction::Unload { artifact } => {
                self.resident.remove(artifact);
            }
        }
    }

    fn used(&self) -> u64 {
        self.resident.values().sum()
    }
}

/// The record in the store, changed by compare-and-swap.
#[derive(Default)]
struct Store {
    record: OrderRecord,
    revision: u64,
}

/// A planner with what it has last read, which may be outdated at any time.
#[derive(Clone)]
struct Planner {
    id: PlannerId,
    record: OrderRecord,
    revision: u64,
    resident: BTreeMap<Artifact, u64>,
    /// An order that it is about to send, regardless of later changes.
    to_send: Option<OrderAction>,
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// Reads the record and the engine's report, as a planner does at the start of
    /// a round.
    Refresh {
        planner: bool,
    },
    /// Writes an order to the record and prepares to send it.
    Load {
        planner: bool,
        model: u8,
        bytes: u8,
    },
    Unload {
        planner: bool,
        model: u8,
    },
    /// Sends the open order. Without an answer, a copy stays in transit.
    Send {
        planner: bool,
        answered: bool,
    },
    /// A copy arrives late.
    Late {
        index: u8,
    },
    /// An answered order is delivered again.
    Duplicate {
        index: u8,
    },
    /// Enough time passes that no answered order can be delivered again.
    ExpireDuplicates {
        planner: bool,
    },
    Restart,
    /// A planner's process is replaced, and the order it was about to send is lost.
    Replace {
        planner: bool,
    },
}

struct World {
    engine: Engine,
    store: Store,
    planners: [Planner; 2],
    copies: Vec<(u64, OrderAction)>,
    duplicates: Vec<(u64, OrderAction)>,
    next_incarnation: u64,
}

fn planner(index: bool, incarnation: u64) -> Planner {
    Planner {
        id: PlannerId { node: format!("planner-{index}"), incarnation },
        record: OrderRecord::default(),
        revision: 0,
        resident: BTreeMap::new(),
        to_send: None,
    }
}

impl World {
    fn new() -> World {
        World {
            engine: Engine { incarnation: 1, ..Engine::default() },
            store: Store::default(),
            planners: [planner(false, 1), planner(true, 1)],
            copies: Vec::new(),
            duplicates: Vec::new(),
            next_incarnation: 2,
        }
    }

    /// Compare-and-swap of the record; false if another planner wrote first.
    fn write(&mut self, planner: bool, record: OrderRecord) -> bool {
        let planner = &mut self.planners[usize::from(planner)];
        if planner.revision != self.store.revision {
            return false;
        }
        self.store.revision += 1;
        self.store.record = record.clone();
        planner.record = record;
        planner.revision = self.store.revision;
        true
    }

    fn refresh(&mut self, index: bool) {
        let planner = &mut self.planners[usize::from(index)];
        planner.record = self.store.record.clone();
        planner.revision = self.store.revision;
        planner.resident = self.engine.resident.clone();
        let running = self.planners.clone().map(|planner| planner.id);
        let planner = &mut self.planners[usize::from(index)];
        let updated = planner
            .record
            .at_incarnation(self.engine.incarnation, &planner.id)
            .release_planners(|id| !running.contains(id) || *id == planner.id)
            .adopt_open_order(&planner.id);
        if updated != planner.record && !self.write(index, updated) {
            return;
        }
        let planner = &mut self.planners[usize::from(index)];
        planner.to_send = planner.record.open.as_ref().map(|open| open.action.clone());
    }

    fn order(&mut self, index: bool, action: OrderAction) {
        let planner = &self.planners[usize::from(index)];
        if planner.record.incarnation != self.engine.incarnation || planner.to_send.is_some() {
            return;
        }
        let next =
            planner.record.open_order(action.clone(), &planner.id, CAPACITY, &planner.resident);
        if let Ok(next) = next
            && self.write(index, next)
        {
            self.planners[usize::from(index)].to_send = Some(action);
        }
    }

    fn send(&mut self, index: bool, answered: bool) {
        let planner = &mut self.planners[usize::from(index)];
        let Some(action) = planner.to_send.clone() else {
            return;
        };
        if !answered {
            let unanswered = planner.record.mark_unanswered();
            self.copies.push((self.engine.incarnation, action));
            if !self.write(index, unanswered) {
                self.planners[usize::from(index)].to_send = None;
            }
            return;
        }
        self.engine.deliver(&action);
        self.duplicates.push((self.engine.incarnation, action));
        planner.to_send = None;
        planner.resident = self.engine.resident.clone();
        let closed = planner.record.close_order(&planner.id, true);
        self.write(index, closed);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Refresh { planner } => self.refresh(planner),
            Step::Load { planner, model, bytes } => {
                let bytes = u64::from(bytes) % CAPACITY + 1;
                self.order(planner, OrderAction::Load { artifact: artifact(model), bytes });
            }
            Step::Unload { planner, model } => {
                self.order(planner, OrderAction::Unload { artifact: artifact(model) });
            }
            Step::Send { planner, answered } => self.send(planner, answered),
            Step::Late { index } => {
                let index = usize::from(index) % self.copies.len().max(1);
                if let Some((incarnation, action)) = self.copies.get(index)
                    && *incarnation == self.engine.incarnation
                {
                    self.engine.deliver(&action.clone());
                }
            }
            Step::Duplicate { index } => {
                let index = usize::from(index) % self.duplicates.len().max(1);
                if let Some((incarnation, action)) = self.duplicates.get(index)
                    && *incarnation == self.engine.incarnation
                {
                    self.engine.deliver(&action.clone());
                }
            }
            Step::ExpireDuplicates { planner } => {
                self.duplicates.clear();
                let without_answered =
                    self.planners[usize::from(planner)].record.drop_answered_loads(|_| true);
                self.write(planner, without_answered);
            }
            Step::Restart => {
                let incarnation = self.engine.incarnation + 1;
                self.engine = Engine { incarnation, ..Engine::default() };
            }
            Step::Replace { planner: index } => {
                self.planners[usize::from(index)] = planner(index, self.next_incarnation);
                self.next_incarnation += 1;
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

#[test]
fn load_with_a_copy_in_transit_keeps_its_memory_reserved() {
    let mut world = World::new();
    let load = |model, bytes| Step::Load { planner: true, model, bytes };
    let answered = Step::Send { planner: true, answered: true };
    world.run(Step::Refresh { planner: true });
    world.run(load(0, 6));
    world.run(Step::Send { planner: true, answered: false });
    world.run(answered);
    assert_eq!(world.engine.used(), 7);
    world.run(Step::Unload { planner: true, model: 0 });
    world.run(answered);
    assert_eq!(world.engine.used(), 0);
    let record = &world.planners[1].record;
    let big = OrderAction::Load { artifact: artifact(1), bytes: 4 };
    let overcommit = RecordError::Overcommit { needed_bytes: 4, free_bytes: 3 };
    assert_eq!(
        record.open_order(big, &planner(true, 1).id, CAPACITY, &BTreeMap::new()),
        Err(overcommit)
    );
    world.run(Step::Late { index: 0 });
    assert_eq!(world.engine.used(), 7, "the copy arrived");
    for free_bytes in [3, CAPACITY] {
        world.run(Step::Restart);
        world.run(Step::Refresh { planner: true });
        let committed = world.planners[1].record.committed_bytes(&BTreeMap::new());
        assert_eq!(CAPACITY - committed, free_bytes, "the second restart frees it");
    }
}

#[test]
fn only_one_order_can_be_open() {
    let record = OrderRecord::default();
    let unload = OrderAction::Unload { artifact: artifact(0) };
    let id = planner(false, 1).id;
    let open = record.open_order(unload.clone(), &id, CAPACITY, &BTreeMap::new()).unwrap();
    let again = open.open_order(unload, &id, CAPACITY, &BTreeMap::new());
    assert_eq!(again, Err(RecordError::OrderOpen));
}

#[test]
fn answered_load_keeps_its_memory_reserved_while_a_duplicate_may_arrive() {
    let mut world = World::new();
    let answered = Step::Send { planner: true, answered: true };
    world.run(Step::Refresh { planner: true });
    world.run(Step::Load { planner: true, model: 0, bytes: 6 });
    world.run(answered);
    world.run(Step::Unload { planner: true, model: 0 });
    world.run(answered);
    world.run(Step::Load { planner: true, model: 1, bytes: 6 });
    world.run(answered);
    world.run(Step::Duplicate { index: 0 });
    assert_eq!(world.engine.used(), 7, "the second load was not sent");
    world.run(Step::Unload { planner: true, model: 0 });
    world.run(answered);
    world.run(Step::ExpireDuplicates { planner: true });
    world.run(Step::Load { planner: true, model: 1, bytes: 6 });
    world.run(answered);
    assert_eq!(world.engine.resident.keys().next(), Some(&artifact(1)));
}
