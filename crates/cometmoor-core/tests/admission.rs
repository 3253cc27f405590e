//! Tests of admission: slot and queue limits hold, no request is lost, and
//! dispatches follow the groups' entitlements.

mod schedules;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::admission::{
    Admission, AdmissionLimits, AdmissionRequest, Arrival, Decision, ShedReason, Slot, Ticket,
};
use cometmoor_core::catalog::{Resolved, base_artifact};
use cometmoor_core::routing::{EngineRoute, PowerOfTwoChoices, RouteTable};
use cometmoor_core::time::Timestamp;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use schedules::for_each_schedule;

const CASES: u64 = 5_000;
const LIMIT: u32 = 2;
const ENGINES: u8 = 3;
const MODELS: u8 = 3;
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);
const LIMITS: AdmissionLimits =
    AdmissionLimits { waiting_per_model: 4, waiting_per_group: 3, max_report_age: MAX_REPORT_AGE };

/// Engine `index` holds the models `index` and `index + 1`.
fn route(index: u8, leaving: bool, at: Timestamp) -> EngineRoute {
    let models = [index % MODELS, (index + 1) % MODELS];
    EngineRoute {
        name: format!("e{index}"),
        address: format!("127.0.0.1:{}", 9_000 + u16::from(index)),
        zone: format!("z{}", index % 2),
        incarnation: 1,
        node_limit: LIMIT,
        concurrency: LIMIT,
        reported_load: 0,
        reported_at: at,
        leaving,
        ready: models.iter().map(|model| base_artifact(&format!("m{model}"), "v")).collect(),
    }
}

fn table(leaving: Option<u8>, at: Timestamp) -> Arc<RouteTable> {
    Arc::new(RouteTable::new((0..ENGINES).map(|index| route(index, leaving == Some(index), at))))
}

fn request(model: u8, group: u8, deadline: Timestamp) -> AdmissionRequest {
    let artifact = base_artifact(&format!("m{}", model % MODELS), "v");
    AdmissionRequest {
        resolved: Resolved { artifact, any_version: true },
        group: format!("g{}", group % 2),
        entitlement: 1 + u32::from(group % 2),
        cost: 10,
        deadline,
        excluded: BTreeSet::new(),
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Arrive { model: u8, group: u8, timeout_millis: u8 },
    Release { index: u8 },
    Cancel { index: u8 },
    Wait { millis: u8 },
    Routes { leaving: Option<u8> },
    Refused { engine: u8 },
}

struct World {
    admission: Admission<PowerOfTwoChoices>,
    random: ChaCha8Rng,
    now: Timestamp,
    leaving: Option<u8>,
    refused: BTreeSet<String>,
    running: Vec<Slot>,
    waiting: BTreeMap<Ticket, u8>,
}

impl World {
    fn new() -> World {
        let mut world = World {
            admission: Admission::new(LIMITS, "z0", PowerOfTwoChoices),
            random: ChaCha8Rng::seed_from_u64(1),
            now: Timestamp(1),
            leaving: None,
            refused: BTreeSet::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
        };
        world.run(Step::Routes { leaving: None });
        world
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Arrive { model, group, timeout_millis } => {
                let deadline = self.now + Duration::from_millis(u64::from(timeout_millis) + 1);
                let request = request(model, group, deadline);
                let (arrival, decisions) =
                    self.admission.submit(request, self.now, &mut self.random);
                match arrival {
                    Arrival::Dispatched(slot) => self.record_start(slot),
                    Arrival::Waiting(ticket) => {
                        self.waiting.insert(ticket, model % MODELS);
                    }
                    Arrival::Shed(shed) => assert!(shed.retry_after > Duration::ZERO),
                }
                self.apply_decisions(decisions);
            }
            Step::Release { index } => {
                if self.running.is_empty() {
                    return;
                }
                let slot = self.running.swap_remove(usize::from(index) % self.running.len());
                let decisions = self.admission.release(&slot, self.now, &mut self.random);
                self.apply_decisions(decisions);
            }
            Step::Cancel { index } => {
                let ticket = self.waiting.keys().nth(usize::from(index) % 8).copied();
                if let Some(ticket) = ticket {
                    self.waiting.remove(&ticket);
                    self.admission.cancel(ticket);
                }
            }
            Step::Wait { millis } => {
                self.now = self.now + Duration::from_millis(millis.into());
                let decisions = self.admission.expire(self.now);
                self.apply_decisions(decisions);
            }
            Step::Routes { leaving } => {
                self.now = self.now + Duration::from_millis(1);
                self.leaving = leaving.map(|index| index % ENGINES);
                self.refused.clear();
                let table = table(self.leaving, self.now);
                let decisions = self.admission.update_routes(table, self.now, &mut self.random);
                self.apply_decisions(decisions);
            }
            Step::Refused { engine } => {
                let engine = format!("e{}", engine % ENGINES);
                self.admission.mark_leaving(&engine);
                self.refused.insert(engine);
            }
        }
        self.check();
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Dispatched(ticket, slot) => {
                    assert!(self.waiting.remove(&ticket).is_some(), "decided twice");
                    self.record_start(slot);
                }
                Decision::Shed(ticket, shed) => {
                    assert!(self.waiting.remove(&ticket).is_some(), "decided twice");
                    assert!(shed.retry_after > Duration::ZERO);
                }
            }
        }
    }

    fn record_start(&mut self, slot: Slot) {
        assert!(
            self.now.since(slot.engine.reported_at) <= MAX_REPORT_AGE,
            "dispatched on an outdated report"
        );
        let leaving = self.leaving.map(|index| format!("e{index}"));
        assert_ne!(Some(&slot.engine.name), leaving.as_ref(), "dispatched to a leaving engine");
        assert!(!self.refused.contains(&slot.engine.name), "dispatched after a refusal");
        assert!(slot.engine.ready.contains(&slot.artifact));
        self.running.push(slot);
    }

    fn check(&self) {
        for index in 0..ENGINES {
            let name = format!("e{index}");
            let running = self.running.iter().filter(|slot| slot.engine.name == name).count();
            assert_eq!(self.admission.in_flight(&name) as usize, running);
            assert!(running <= LIMIT as usize);
        }
        assert_eq!(self.admission.waiting(), self.waiting.len());
        assert!(self.waiting.len() <= LIMITS.waiting_per_model * usize::from(MODELS));
    }
}

#[test]
fn slots_and_queues_stay_within_limits_and_no_request_is_lost() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::new();
        for step in steps {
            world.run(*step);
        }
        // With all engines available and every slot released, no request waits.
        world.run(Step::Routes { leaving: None });
        for _ in 0..100 {
            world.run(Step::Release { index: 0 });
        }
        assert!(world.running.is_empty() && world.waiting.is_empty());
    });
}

/// Two groups with a constant backlog are dispatched in the ratio of their
/// entitlements; one that was idle before has no credit for its idle time.
#[test]
fn dispatches_follow_entitlements() {
    let limits = AdmissionLimits { waiting_per_model: 1_000, waiting_per_group: 500, ..LIMITS };
    let mut admission = Admission::new(limits, "z0", PowerOfTwoChoices);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut now = Timestamp(1);
    admission.update_routes(table(None, now), now, &mut random);
    let no_deadline = Timestamp(u64::MAX);
    let mut running = Vec::new();
    let mut groups = BTreeMap::new();
    // Group 0 submits its backlog first; group 1 then submits as many requests.
    for group in [0, 1] {
        for _ in 0..300 {
            let (arrival, _) = admission.submit(request(0, group, no_deadline), now, &mut random);
            match arrival {
                Arrival::Dispatched(slot) => running.push(slot),
                Arrival::Waiting(ticket) => {
                    groups.insert(ticket, group);
                }
                Arrival::Shed(shed) => panic!("{shed:?}"),
            }
        }
    }
    let mut dispatched = [0_u32; 2];
    for _ in 0..150 {
        now = now + Duration::from_millis(1);
        let slot = running.remove(0);
        for decision in admission.release(&slot, now, &mut random) {
            let Decision::Dispatched(ticket, slot) = decision else { panic!("{decision:?}") };
            dispatched[usize::from(groups[&ticket])] += 1;
            running.push(slot);
        }
    }
    assert_eq!(dispatched.iter().sum::<u32>(), 150);
    // Entitlements are 1 and 2.
    assert!((98..=102).contains(&dispatched[1]), "{dispatched:?}");
}

#[test]
fn full_queue_sheds_the_group_furthest_above_its_entitlement() {
    let limits = AdmissionLimits { waiting_per_group: 4, ..LIMITS };
    let mut admission = Admission::new(limits, "z0", PowerOfTwoChoices);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let now = Timestamp(1);
    admission.update_routes(table(None, now), now, &mut random);
    let no_deadline = Timestamp(u64::MAX);
    let mut queued = Vec::new();
    for _ in 0..8 {
        let (arrival, _) = admission.submit(request(0, 0, no_deadline), now, &mut random);
        if let Arrival::Waiting(ticket) = arrival {
            queued.push(ticket);
        }
    }
    assert_eq!(queued.len(), 4);
    let (arrival, _) = admission.submit(request(0, 0, no_deadline), now, &mut random);
    assert!(matches!(arrival, Arrival::Shed(shed) if shed.reason == ShedReason::QueueFull));
    let (arrival, decisions) = admission.submit(request(0, 1, no_deadline), now, &mut random);
    assert!(matches!(arrival, Arrival::Waiting(_)), "{arrival:?}");
    assert!(matches!(decisions[..], [Decision::Shed(ticket, _)] if ticket == queued[3]));
}

/// After a pause, a node still has outdated routes. It must not dispatch requests
/// on the reports in them.
#[test]
fn engine_with_outdated_report_gets_no_requests_until_its_next_report() {
    let mut world = World::new();
    world.now = world.now + MAX_REPORT_AGE + Duration::from_millis(1);
    let request = request(0, 0, Timestamp(u64::MAX));
    let (arrival, _) = world.admission.submit(request, world.now, &mut world.random);
    let Arrival::Waiting(ticket) = arrival else { panic!("{arrival:?}") };
    let fresh = table(None, world.now);
    let decisions = world.admission.update_routes(fresh, world.now, &mut world.random);
    assert!(matches!(decisions[..], [Decision::Dispatched(dispatched, _)] if dispatched == ticket));
}

#[test]
fn request_refused_by_every_candidate_is_shed_at_once() {
    let mut world = World::new();
    let mut refused = request(0, 0, Timestamp(u64::MAX));
    refused.excluded = (0..ENGINES).map(|index| format!("e{index}")).collect();
    let (arrival, _) = world.admission.submit(refused, world.now, &mut world.random);
    assert!(matches!(arrival, Arrival::Shed(shed) if shed.reason == ShedReason::NoEngine));
}
