//! Clients' requests at their nodes.

use std::time::Duration;

use cometmoor_core::gateway::admission::{
    DEFAULT_RETRY_AFTER, QUEUE_POLL_INTERVAL, cap_retry_after, max_queue_wait, retry_after_queue,
};

use super::super::arrivals::{Arrival, Micros, micros};
use super::super::engine::{RequestIndex, Run, SharedPart};
use super::super::fleet::{EngineIndex, Found, model_name};
use super::super::outcome::Outcome;
use super::super::placement::Asked;
use super::{Event, World};

impl World<'_> {
    pub(super) fn arrive(&mut self, request: RequestIndex) {
        let arrival = &self.arrivals[request];
        let deadline = self.scenario.kinds[arrival.kind].deadline_millis as Micros * 1000;
        self.requests[request].begun = self.now;
        let first_deadline = self.arrivals[request].at + deadline;
        self.at(first_deadline.max(self.now), Event::GiveUp(request, self.now));
        self.note_asked(request);
        let objective = self.objective(request);
        let wait = match self.policy.mechanisms.wait_for_server {
            true => micros(max_queue_wait(objective, self.time_left(request))),
            false => 0,
        };
        self.look(request, self.now + wait);
    }

    pub(super) fn note_asked(&mut self, request: RequestIndex) {
        let Arrival { node, model, prompt_tokens, output_tokens, .. } = self.arrivals[request];
        let latencies = &self.fleet.node(node).latencies;
        let name = model_name(model);
        let reading = latencies.prefill_time(&name, prompt_tokens);
        let running = latencies.slot_time(&name, output_tokens);
        self.asked[node].push(Asked { model, reading, running });
    }

    pub(super) fn objective(&self, request: RequestIndex) -> Duration {
        Duration::from_millis(self.scenario.kinds[self.arrivals[request].kind].objective_millis)
    }

    pub(super) fn time_left(&self, request: RequestIndex) -> Duration {
        let arrival = &self.arrivals[request];
        let deadline = self.scenario.kinds[arrival.kind].deadline_millis as Micros * 1000;
        Duration::from_micros((arrival.at + deadline - self.now).max(0) as u64)
    }

    pub(super) fn look(&mut self, request: RequestIndex, until: Micros) {
        if self.requests[request].outcome.is_some() {
            return;
        }
        let left = self.time_left(request);
        let arrival = &self.arrivals[request];
        let found = self.fleet.pick(self.scenario, self.policy, &self.engines, arrival, left);
        let waits = self.now + micros(QUEUE_POLL_INTERVAL) <= until;
        match found {
            Found::Server(engine) => self.send(request, engine),
            _ if waits => self.after(micros(QUEUE_POLL_INTERVAL), Event::Look(request, until)),
            Found::Disturbed(engine) => self.send(request, engine),
            Found::TooBusy(expected) => {
                let after = retry_after_queue(expected, self.objective(request));
                self.refuse(request, after);
            }
            Found::Nobody => self.refuse(request, DEFAULT_RETRY_AFTER),
        }
    }

    pub(super) fn send(&mut self, request: RequestIndex, engine: EngineIndex) {
        let arrival = &self.arrivals[request];
        let load = self.fleet.load_of(self.scenario, arrival);
        self.fleet.add(arrival.node, engine, load);
        self.requests[request].at = Some((engine, load));
        let epoch = self.engines[engine].epoch;
        self.after(self.hop(), Event::Reach { request, engine, epoch });
    }

    pub(super) fn hop(&self) -> Micros {
        (self.scenario.hop_millis * 1000.0) as Micros
    }

    pub(super) fn refuse(&mut self, request: RequestIndex, come_back: Duration) {
        let state = &mut self.requests[request];
        state.refusals += 1;
        if state.refusals > 1 {
            state.outcome = Some(Outcome::RefusedAgain);
            return;
        }
        let after = cap_retry_after(come_back, self.time_left(request));
        if after >= self.time_left(request) {
            self.requests[request].outcome = Some(Outcome::Refused);
            return;
        }
        self.after(micros(after), Event::Arrive(request));
    }

    pub(super) fn reach(&mut self, request: RequestIndex, engine: EngineIndex, epoch: u64) {
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
            return self.refuse(request, DEFAULT_RETRY_AFTER);
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

    pub(super) fn give_up(&mut self, request: RequestIndex, begun: Micros) {
        let state = &self.requests[request];
        if state.outcome.is_some() || state.begun != begun {
            return;
        }
        if let Some((engine, _)) = state.at {
            self.engines[engine].remove(request);
        }
        self.end(request, Outcome::Failed);
    }

    pub(super) fn take_load(&mut self, request: RequestIndex) {
        if let Some((engine, load)) = self.requests[request].at.take() {
            self.fleet.take(self.arrivals[request].node, engine, load);
        }
    }

    pub(super) fn end(&mut self, request: RequestIndex, outcome: Outcome) {
        self.take_load(request);
        self.requests[request].outcome.get_or_insert(outcome);
    }
}
