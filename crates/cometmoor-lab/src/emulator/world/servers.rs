//! Steps of the servers, the streams that they bring, and runs that move.

use std::time::Duration;

use cometmoor_core::gateway::server_speed::Speed;
use cometmoor_gateway::latency::{EstimateMethod, MAX_RUNNING_FOR_PREFILL_SAMPLE, PrefillSample};
use cometmoor_gateway::load::ServerLoad;

use super::super::arrivals::Micros;
use super::super::engine::{ModelIndex, Progress, RequestIndex, Run};
use super::super::fleet::{EngineIndex, model_name};
use super::super::outcome::Outcome;
use super::{Event, World};

impl World<'_> {
    pub(super) fn step(&mut self, engine: EngineIndex) {
        let epoch = self.engines[engine].epoch;
        if let Some(takes) = self.engines[engine].begin_step(self.scenario) {
            self.after(takes, Event::Step { engine, epoch });
        }
    }

    pub(super) fn end_step(&mut self, engine: EngineIndex, epoch: u64) {
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
        self.engines[engine].finish_unload();
        self.step(engine);
    }

    pub(super) fn note_event(&mut self, request: RequestIndex) {
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
    pub(super) fn note_first_event(&mut self, request: RequestIndex) {
        let Some((engine, load)) = self.requests[request].at else { return };
        let arrival = &self.arrivals[request];
        let (node, model, tokens) = (arrival.node, arrival.model, arrival.prompt_tokens);
        let begun = self.requests[request].begun;
        let alone = self.engines[engine].in_flight() <= MAX_RUNNING_FOR_PREFILL_SAMPLE as usize;
        if alone {
            let took = Duration::from_micros((self.now - begun).max(0) as u64);
            let sample = PrefillSample {
                prompt_tokens: tokens,
                cached_tokens: 0,
                first_event: took,
                speed: Speed::MEAN,
            };
            let latencies = &mut self.fleet.node(node).latencies;
            latencies.record_prefill(&model_name(model), sample, EstimateMethod::MovingAverage);
        }
        let pending = ServerLoad { in_flight: 0, ..load };
        self.fleet.take(node, engine, pending);
        let running = ServerLoad { in_flight: 1, ..ServerLoad::default() };
        self.requests[request].at = Some((engine, running));
    }

    pub(super) fn end_stream(&mut self, request: RequestIndex) {
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
        self.fleet.node(node).latencies.record_generation(
            &model_name(model),
            output,
            running,
            EstimateMethod::MovingAverage,
        );
        self.end(request, outcome);
    }

    /// Moves runs off a server: those of one model, or all.
    pub(super) fn move_runs(&mut self, engine: EngineIndex, epoch: u64, model: Option<ModelIndex>) {
        let allowed = self.scenario.engines.moves_runs && self.policy.mechanisms.run_migration;
        if !allowed || self.engines[engine].epoch != epoch {
            return;
        }
        let concerned = |run: &&Run| run.made > 0 && model.is_none_or(|model| model == run.model);
        let runs: Vec<Run> = self.engines[engine].batch.iter().filter(concerned).cloned().collect();
        for run in runs {
            self.move_run(engine, run);
        }
        self.engines[engine].finish_unload();
    }

    pub(super) fn move_run(&mut self, from: EngineIndex, run: Run) {
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

    pub(super) fn lose(&mut self, requests: Vec<RequestIndex>) {
        for request in requests {
            self.end(request, Outcome::Failed);
        }
    }
}
