//! The emulated day: events in virtual time, one after another.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use cometmoor_core::gateway::admission::{come_back_after_queue, come_back_in, longest_wait};
use cometmoor_gateway::load::ServerLoad;

use super::arrivals::{Arrival, Micros, SECOND, draw, seconds};
use super::engine::{Engine, Loading, ModelIndex, Progress, RequestIndex, Run, SharedPart};
use super::fleet::{EngineIndex, Fleet, Found, model_name};
use super::outcome::{DayReport, Outcome, report};
use super::placement::{Asked, LOAD_WINDOW, Leader, Move, timestamp};
use super::policy::Policy;
use super::scenario::{FaultKind, Scenario};

/// Pause between two looks for a server.
const LOOK_PAUSE: Micros = 20_000;
/// Pause between two plans.
const PLAN_PAUSE: Micros = 250_000;
/// Time between the withdrawal of a model and the order to unload it.
const WITHDRAWAL: Micros = 300_000;
/// Time until the nodes have heard of a withdrawal and moved its runs.
const RUNS_MOVE_AFTER: Micros = 60_000;
/// Time that a server has which is told to go.
const NOTICE: Micros = 2 * SECOND;
/// When a client comes back for which no server was there.
const COME_BACK: Duration = Duration::from_secs(10);
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

    // Requests.

    fn arrive(&mut self, request: RequestIndex) {
        let arrival = &self.arrivals[request];
        let deadline = self.scenario.kinds[arrival.kind].deadline_millis as Micros * 1000;
        self.requests[request].begun = self.now;
        let first_deadline = self.arrivals[request].at + deadline;
        self.at(first_deadline.max(self.now), Event::GiveUp(request, self.now));
        self.note_asked(request);
        let objective = self.objective(request);
        let wait = match self.policy.mechanisms.wait_for_server {
            true => longest_wait(objective, self.time_left(request)).as_micros() as Micros,
            false => 0,
        };
        self.look(request, self.now + wait);
    }

    fn note_asked(&mut self, request: RequestIndex) {
        let Arrival { node, model, prompt_tokens, output_tokens, .. } = self.arrivals[request];
        let paces = &self.fleet.node(node).paces;
        let name = model_name(model);
        let reading = paces.work(&name, prompt_tokens);
        let running = paces.running(&name, output_tokens);
        self.asked[node].push(Asked { model, reading, running });
    }

    fn objective(&self, request: RequestIndex) -> Duration {
        Duration::from_millis(self.scenario.kinds[self.arrivals[request].kind].objective_millis)
    }

    fn time_left(&self, request: RequestIndex) -> Duration {
        let arrival = &self.arrivals[request];
        let deadline = self.scenario.kinds[arrival.kind].deadline_millis as Micros * 1000;
        Duration::from_micros((arrival.at + deadline - self.now).max(0) as u64)
    }

    fn look(&mut self, request: RequestIndex, until: Micros) {
        if self.requests[request].outcome.is_some() {
            return;
        }
        let left = self.time_left(request);
        let arrival = &self.arrivals[request];
        let found = self.fleet.pick(self.scenario, self.policy, &self.engines, arrival, left);
        let waits = self.now + LOOK_PAUSE <= until;
        match found {
            Found::Server(engine) => self.send(request, engine),
            _ if waits => self.after(LOOK_PAUSE, Event::Look(request, until)),
            Found::Disturbed(engine) => self.send(request, engine),
            Found::TooBusy(expected) => {
                let after = come_back_after_queue(expected, self.objective(request));
                self.refuse(request, after);
            }
            Found::Nobody => self.refuse(request, COME_BACK),
        }
    }

    fn send(&mut self, request: RequestIndex, engine: EngineIndex) {
        let arrival = &self.arrivals[request];
        let load = self.fleet.load_of(self.scenario, arrival);
        self.fleet.add(arrival.node, engine, load);
        self.requests[request].at = Some((engine, load));
        let epoch = self.engines[engine].epoch;
        self.after(self.hop(), Event::Reach { request, engine, epoch });
    }

    fn hop(&self) -> Micros {
        (self.scenario.hop_millis * 1000.0) as Micros
    }

    fn refuse(&mut self, request: RequestIndex, come_back: Duration) {
        let state = &mut self.requests[request];
        state.refusals += 1;
        if state.refusals > 1 {
            state.outcome = Some(Outcome::RefusedAgain);
            return;
        }
        let after = come_back_in(come_back, self.time_left(request));
        if after >= self.time_left(request) {
            self.requests[request].outcome = Some(Outcome::Refused);
            return;
        }
        self.after(after.as_micros() as Micros, Event::Arrive(request));
    }

    fn reach(&mut self, request: RequestIndex, engine: EngineIndex, epoch: u64) {
        if self.requests[request].outcome.is_some() {
            return;
        }
        let arrival = &self.arrivals[request];
        let target = &mut self.engines[engine];
        if target.epoch != epoch || !target.alive {
            return self.end(request, Outcome::Failed);
        }
        if !target.resident.contains(&arrival.model) {
            self.take_load(request);
            return self.refuse(request, COME_BACK);
        }
        target.admit(Run {
            request,
            model: arrival.model,
            priority: self.scenario.kinds[arrival.kind].priority,
            arrival: 0,
            shared: SharedPart { subject: arrival.subject, tokens: arrival.shared_tokens },
            unread: arrival.prompt_tokens,
            in_memory: 0,
            made: 0,
            wanted: arrival.output_tokens.max(1),
        });
        self.step(engine);
    }

    fn give_up(&mut self, request: RequestIndex, begun: Micros) {
        let state = &self.requests[request];
        if state.outcome.is_some() || state.begun != begun {
            return;
        }
        if let Some((engine, _)) = state.at {
            self.engines[engine].remove(request);
        }
        self.end(request, Outcome::Failed);
    }

    fn take_load(&mut self, request: RequestIndex) {
        if let Some((engine, load)) = self.requests[request].at.take() {
            self.fleet.take(self.arrivals[request].node, engine, load);
        }
    }

    fn end(&mut self, request: RequestIndex, outcome: Outcome) {
        self.take_load(request);
        self.requests[request].outcome.get_or_insert(outcome);
    }

    // Servers.

    fn step(&mut self, engine: EngineIndex) {
        let epoch = self.engines[engine].epoch;
        if let Some(takes) = self.engines[engine].begin_step(self.scenario) {
            self.after(takes, Event::Step { engine, epoch });
        }
    }

    fn end_step(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        for progress in self.engines[engine].end_step(&self.scenario.engines) {
            match progress {
                Progress::Event(request) => self.note_event(request),
                Progress::Last(request) => {
                    self.note_event(request);
                    self.end_stream(request);
                }
            }
        }
        self.finish_unload(engine);
        self.step(engine);
    }

    fn note_event(&mut self, request: RequestIndex) {
        let state = &mut self.requests[request];
        match state.first_event {
            Some(_) => {
                state.longest_pause = state.longest_pause.max(self.now - state.last_event);
            }
            None => {
                state.first_event = Some(self.now);
                self.note_first_event(request);
            }
        }
        self.requests[request].last_event = self.now;
    }

    /// The prompt is read: the node takes it out of the server's load, and
    /// learns how fast the model reads if nobody was before it.
    fn note_first_event(&mut self, request: RequestIndex) {
        let Some((engine, load)) = self.requests[request].at else { return };
        let arrival = &self.arrivals[request];
        let (node, model, tokens) = (arrival.node, arrival.model, arrival.prompt_tokens);
        let begun = self.requests[request].begun;
        let alone = self.engines[engine].in_flight() <= 6;
        if alone {
            let took = Duration::from_micros((self.now - begun).max(0) as u64);
            self.fleet.node(node).paces.record(&model_name(model), tokens, took);
        }
        let pending = ServerLoad { in_flight: 0, ..load };
        self.fleet.take(node, engine, pending);
        let running = ServerLoad { in_flight: 1, ..ServerLoad::default() };
        self.requests[request].at = Some((engine, running));
    }

    fn end_stream(&mut self, request: RequestIndex) {
        let arrival = &self.arrivals[request];
        let (node, model, output) = (arrival.node, arrival.model, arrival.output_tokens);
        let kind = &self.scenario.kinds[arrival.kind];
        let way = self.hop() + 2 * (self.scenario.client_millis * 1000.0) as Micros;
        let state = &self.requests[request];
        let first = state.first_event.unwrap_or(self.now);
        let in_time = first - state.begun + way <= kind.objective_millis as Micros * 1000
            && state.longest_pause <= kind.pause_millis as Micros * 1000;
        let outcome = match (in_time, state.refusals) {
            (true, 0) => Outcome::InTime,
            (true, _) => Outcome::InTimeAfterRefusal,
            (false, _) => Outcome::Late,
        };
        let running = Duration::from_micros((self.now - first).max(0) as u64);
        self.fleet.node(node).paces.record_stream(&model_name(model), output, running);
        self.end(request, outcome);
    }

    /// Moves runs off a server: those of one model, or all.
    fn move_runs(&mut self, engine: EngineIndex, epoch: u64, model: Option<ModelIndex>) {
        let allowed = self.scenario.engines.moves_runs && self.policy.mechanisms.run_migration;
        if !allowed || self.engines[engine].epoch != epoch {
            return;
        }
        let concerned = |run: &&Run| run.made > 0 && model.is_none_or(|model| model == run.model);
        let runs: Vec<Run> = self.engines[engine].batch.iter().filter(concerned).cloned().collect();
        for run in runs {
            self.move_run(engine, run);
        }
        self.finish_unload(engine);
    }

    fn move_run(&mut self, from: EngineIndex, run: Run) {
        let takes = |target: &&EngineIndex| {
            let target = &self.engines[**target];
            target.serves(run.model) && target.has_room_for(&run, &self.scenario.engines)
        };
        let others: Vec<EngineIndex> =
            (0..self.engines.len()).filter(|target| *target != from).collect();
        let target =
            others.iter().filter(takes).min_by_key(|target| self.engines[**target].in_flight());
        let Some(target) = target.copied() else { return };
        self.engines[from].remove(run.request);
        let node = self.arrivals[run.request].node;
        if let Some((_, load)) = self.requests[run.request]
            .at
            .replace((target, ServerLoad { in_flight: 1, ..ServerLoad::default() }))
        {
            self.fleet.take(node, from, load);
            self.fleet.add(node, target, ServerLoad { in_flight: 1, ..ServerLoad::default() });
        }
        self.engines[target].take_over(run);
        self.report.moved_runs += 1;
        self.step(target);
    }

    fn lose(&mut self, requests: Vec<RequestIndex>) {
        for request in requests {
            self.end(request, Outcome::Failed);
        }
    }

    // Placement.

    fn tell(&mut self, node: usize) {
        if self.is_over() {
            return;
        }
        self.fleet.tell(node);
        let asked = std::mem::take(&mut self.asked[node]);
        self.leader.receive(&asked, timestamp(self.scenario, self.now));
        self.after(self.heartbeat(), Event::Heartbeat(node));
    }

    fn plan(&mut self) {
        if self.is_over() {
            return;
        }
        let moves = self.leader.plan(self.scenario, &self.engines, &self.arrivals, self.now);
        for planned in moves {
            self.order(planned);
        }
        self.after(PLAN_PAUSE, Event::Plan);
    }

    fn order(&mut self, planned: Move) {
        self.report.moves += 1;
        match planned {
            Move::Load { engine, model, takes, from_store } => {
                let takes = self.load_time(takes, from_store);
                let target = &mut self.engines[engine];
                target.promised = None;
                target.loading = Some(Loading { model, ready: self.now + takes });
                let epoch = target.epoch;
                if target.weights_gigabytes(self.scenario) > self.scenario.engines.weights_gigabytes
                {
                    self.report.overcommitted += 1;
                }
                if from_store {
                    self.store_loads.push(self.now);
                }
                self.after(takes, Event::Loaded { engine, epoch });
            }
            Move::Unload { engine, model, makes_room_for } => {
                let target = &mut self.engines[engine];
                target.leaving = Some(model);
                target.promised = makes_room_for;
                let epoch = target.epoch;
                self.after(RUNS_MOVE_AFTER, Event::MoveRuns { engine, epoch, model });
                self.after(WITHDRAWAL, Event::Unload { engine, epoch });
            }
        }
    }

    /// Loads from the weight store take longer where many are under way.
    fn load_time(&self, takes: Duration, from_store: bool) -> Micros {
        let loading = self.engines.iter().filter(|engine| engine.loading.is_some()).count() + 1;
        let full_speed = self.scenario.engines.loads_at_full_speed.max(1);
        let factor = if from_store { (loading as f64 / full_speed as f64).max(1.0) } else { 1.0 };
        (takes.as_micros() as f64 * factor) as Micros
    }

    fn unload(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        let model = self.engines[engine].leaving;
        self.move_runs(engine, epoch, model);
        self.engines[engine].unload_ordered = true;
        let waiting = std::mem::take(&mut self.engines[engine].queue);
        let (refused, kept): (Vec<Run>, Vec<Run>) =
            waiting.into_iter().partition(|run| Some(run.model) == model && run.made == 0);
        self.engines[engine].queue = kept;
        for run in refused {
            self.take_load(run.request);
            self.refuse(run.request, COME_BACK);
        }
        self.finish_unload(engine);
    }

    fn finish_unload(&mut self, engine: EngineIndex) {
        self.engines[engine].finish_unload();
    }

    fn loaded(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch == epoch {
            self.engines[engine].finish_load(self.scenario);
        }
    }

    // Disruptions.

    fn begin_fault(&mut self, index: usize) {
        let fault = &self.scenario.faults[index];
        let first = index * 5;
        let servers = self.engines.len();
        let struck = |count: usize| -> Vec<EngineIndex> {
            (0..count.min(servers)).map(|place| (first + place) % servers).collect()
        };
        match fault.what {
            FaultKind::ServersCrash(count) => {
                self.struck[index] = struck(count);
                for engine in self.struck[index].clone() {
                    let lost = self.engines[engine].restart(false);
                    self.lose(lost);
                }
            }
            FaultKind::ServersLeave(count) => {
                self.struck[index] = struck(count);
                for engine in self.struck[index].clone() {
                    self.engines[engine].takes_work = false;
                    let epoch = self.engines[engine].epoch;
                    self.move_runs(engine, epoch, None);
                    self.after(NOTICE, Event::Leaves { engine, epoch });
                }
            }
            FaultKind::ServersSlow { servers: count, factor } => {
                self.struck[index] = struck(count);
                for engine in self.struck[index].clone() {
                    self.engines[engine].slowness = factor;
                }
            }
            FaultKind::Burst { .. } => {}
        }
    }

    fn leave(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.move_runs(engine, epoch, None);
        let lost = self.engines[engine].restart(true);
        self.lose(lost);
    }

    fn end_fault(&mut self, index: usize) {
        let fault = &self.scenario.faults[index];
        for engine in self.struck[index].clone() {
            let target = &mut self.engines[engine];
            match fault.what {
                FaultKind::ServersSlow { .. } => target.slowness = 1.0,
                FaultKind::ServersCrash(_) | FaultKind::ServersLeave(_) => {
                    target.alive = true;
                    target.takes_work = true;
                }
                FaultKind::Burst { .. } => {}
            }
            self.step(engine);
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
