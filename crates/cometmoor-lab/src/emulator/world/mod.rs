//! The emulated day: events in virtual time, one after another.

mod disruptions;
mod placement;
mod requests;
mod servers;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cometmoor_gateway::load::ServerLoad;

use super::arrivals::{Arrival, Micros, SECOND, draw, seconds};
use super::engine::{Engine, ModelIndex, RequestIndex};
use super::fleet::{EngineIndex, Fleet};
use super::outcome::{DayReport, Outcome, report};
use super::placement::{Asked, LOAD_WINDOW, Leader};
use super::policy::Policy;
use super::scenario::Scenario;

/// Time after the last arrival in which answers still come.
const AFTER_END: Micros = 25 * SECOND;

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A client's request, or its second try, reaches its node.
    Arrive(RequestIndex),
    /// A request without a server looks again, at the latest until then.
    Look(RequestIndex, Micros),
    /// A request reaches a server.
    Reach { request: RequestIndex, engine: EngineIndex, epoch: u64 },
    /// A client leaves whose try began then.
    GiveUp(RequestIndex, Micros),
    /// A server's step ends.
    Step { engine: EngineIndex, epoch: u64 },
    /// A node tells the others what it knows.
    Heartbeat(usize),
    /// The leader plans.
    Plan,
    /// Nodes have heard that a server gives up a model.
    MoveRuns { engine: EngineIndex, epoch: u64, model: ModelIndex },
    /// The unload is ordered.
    Unload { engine: EngineIndex, epoch: u64 },
    /// A load ends.
    Loaded { engine: EngineIndex, epoch: u64 },
    /// A disruption begins.
    FaultBegins(usize),
    /// It ends.
    FaultEnds(usize),
    /// A server that was told to go ends.
    Leaves { engine: EngineIndex, epoch: u64 },
}

/// A request's state.
#[derive(Clone, Debug, Default)]
struct Request {
    /// When its present try began.
    begun: Micros,
    refusals: u32,
    /// Where it is, and its part of that server's load.
    at: Option<(EngineIndex, ServerLoad)>,
    first_event: Option<Micros>,
    last_event: Micros,
    longest_pause: Micros,
    outcome: Option<Outcome>,
}

/// A day under way.
struct World<'a> {
    scenario: &'a Scenario,
    policy: &'a Policy,
    arrivals: Vec<Arrival>,
    requests: Vec<Request>,
    engines: Vec<Engine>,
    fleet: Fleet,
    leader: Leader,
    asked: Vec<Vec<Asked>>,
    struck: Vec<Vec<EngineIndex>>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    sequence: u64,
    now: Micros,
    store_loads: Vec<Micros>,
    report: DayReport,
}

/// Most of the moments that lie within one window.
fn most_in_window(moments: &[Micros]) -> usize {
    let inside = |begin: &Micros| {
        let end = begin + LOAD_WINDOW.as_micros() as Micros;
        moments.iter().filter(|moment| (*begin..end).contains(*moment)).count()
    };
    moments.iter().map(inside).max().unwrap_or(0)
}

/// Plays a day; the same scenario, policy and seed give the same report.
pub fn play(scenario: &Scenario, policy: &Policy, seed: u64) -> DayReport {
    let mut world = World::new(scenario, policy, seed);
    world.begin();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.handle(event);
    }
    world.finish(seed)
}

/// Models of each server before the first request: each model on one, and the
/// places that are left to those that are asked for most at first.
fn first_holdings(scenario: &Scenario) -> Vec<Vec<ModelIndex>> {
    let servers = scenario.engines.servers;
    let mut holdings: Vec<Vec<ModelIndex>> = vec![Vec::new(); servers];
    for model in 0..scenario.model_count() {
        holdings[model % servers].push(model);
    }
    let shares = scenario.kinds.iter().find(|kind| !kind.shares.is_empty());
    let Some(kind) = shares else { return holdings };
    for (server, held) in holdings.iter_mut().enumerate() {
        let places = kind.shares.len();
        let wished = (0..places).map(|place| kind.first_model + (place + server) % places);
        for model in wished {
            if !held.contains(&model) && fits_beside(scenario, held, model) {
                held.push(model);
            }
        }
    }
    holdings
}

fn fits_beside(scenario: &Scenario, held: &[ModelIndex], model: ModelIndex) -> bool {
    let size = |model: &ModelIndex| scenario.model(*model).gigabytes;
    let taken: f64 = held.iter().map(size).sum();
    taken + size(&model) <= scenario.engines.weights_gigabytes
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, policy: &'a Policy, seed: u64) -> World<'a> {
        let arrivals = draw(scenario, seed);
        let holdings = first_holdings(scenario);
        let engine = |models: Vec<ModelIndex>| Engine::new(models.into_iter().collect());
        World {
            scenario,
            policy,
            requests: vec![Request::default(); arrivals.len()],
            arrivals,
            engines: holdings.into_iter().map(engine).collect(),
            fleet: Fleet::new(scenario),
            leader: Leader::new(scenario, policy.placing),
            asked: vec![Vec::new(); scenario.nodes],
            struck: vec![Vec::new(); scenario.faults.len()],
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            store_loads: Vec::new(),
            report: DayReport::default(),
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn after(&mut self, pause: Micros, event: Event) {
        self.at(self.now + pause, event);
    }

    fn begin(&mut self) {
        let lead = seconds(self.scenario.lead_seconds);
        self.at(-lead, Event::Plan);
        for node in 0..self.scenario.nodes {
            let shift = node as Micros * self.heartbeat() / self.scenario.nodes as Micros;
            self.at(shift - lead, Event::Heartbeat(node));
        }
        for request in 0..self.arrivals.len() {
            self.at(self.arrivals[request].at, Event::Arrive(request));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.at(seconds(fault.at_seconds), Event::FaultBegins(index));
            self.at(seconds(fault.at_seconds + fault.for_seconds), Event::FaultEnds(index));
        }
    }

    fn heartbeat(&self) -> Micros {
        self.scenario.heartbeat_millis as Micros * 1000
    }

    fn is_over(&self) -> bool {
        self.now > seconds(self.scenario.length_seconds) + AFTER_END
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Look(request, until) => self.look(request, until),
            Event::Reach { request, engine, epoch } => self.reach(request, engine, epoch),
            Event::GiveUp(request, begun) => self.give_up(request, begun),
            Event::Step { engine, epoch } => self.end_step(engine, epoch),
            Event::Heartbeat(node) => self.tell(node),
            Event::Plan => self.plan(),
            Event::MoveRuns { engine, epoch, model } => self.move_runs(engine, epoch, Some(model)),
            Event::Unload { engine, epoch } => self.unload(engine, epoch),
            Event::Loaded { engine, epoch } => self.loaded(engine, epoch),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::FaultEnds(fault) => self.end_fault(fault),
            Event::Leaves { engine, epoch } => self.leave(engine, epoch),
        }
    }

    fn finish(self, seed: u64) -> DayReport {
        let ended = |request: &Request| request.outcome.unwrap_or(Outcome::Failed);
        let outcomes: Vec<Outcome> = self.requests.iter().map(ended).collect();
        let tokens_read = self.engines.iter().map(|engine| engine.tokens_read).sum();
        DayReport {
            policy: self.policy.name.clone(),
            seed,
            store_loads: self.store_loads.len(),
            most_store_loads_in_window: most_in_window(&self.store_loads),
            overcommitted: self.report.overcommitted,
            moves: self.report.moves,
            moved_runs: self.report.moved_runs,
            tokens_read,
            ..report(self.scenario, &self.arrivals, &outcomes)
        }
    }
}
