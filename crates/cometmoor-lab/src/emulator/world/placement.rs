//! Heartbeats, plans, and the orders that follow from them.

use std::time::Duration;

use cometmoor_core::gateway::admission::DEFAULT_RETRY_AFTER;
use cometmoor_core::gateway::planner::{MAX_PLAN_INTERVAL, WITHDRAWAL_DELAY};

use super::super::arrivals::{Micros, micros};
use super::super::engine::{Loading, Run};
use super::super::fleet::EngineIndex;
use super::super::placement::{Move, timestamp};
use super::{Event, World};

/// Time until the nodes have heard of a withdrawal and moved its runs.
const RUNS_MOVE_AFTER: Micros = 60_000;

impl World<'_> {
    pub(super) fn tell(&mut self, node: usize) {
        if self.is_over() {
            return;
        }
        self.fleet.tell(node);
        let asked = std::mem::take(&mut self.asked[node]);
        self.leader.receive(&asked, timestamp(self.scenario, self.now));
        self.after(self.heartbeat(), Event::Heartbeat(node));
    }

    pub(super) fn plan(&mut self) {
        if self.is_over() {
            return;
        }
        let moves = self.leader.plan(self.scenario, &self.engines, &self.arrivals, self.now);
        for planned in moves {
            self.order(planned);
        }
        self.after(micros(MAX_PLAN_INTERVAL), Event::Plan);
    }

    pub(super) fn order(&mut self, planned: Move) {
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
                self.after(micros(WITHDRAWAL_DELAY), Event::Unload { engine, epoch });
            }
        }
    }

    /// Loads from the weight store take longer where many are under way.
    pub(super) fn load_time(&self, takes: Duration, from_store: bool) -> Micros {
        let loading = self.engines.iter().filter(|engine| engine.loading.is_some()).count() + 1;
        let full_speed = self.scenario.engines.loads_at_full_speed.max(1);
        let factor = if from_store { (loading as f64 / full_speed as f64).max(1.0) } else { 1.0 };
        (takes.as_micros() as f64 * factor) as Micros
    }

    pub(super) fn unload(&mut self, engine: EngineIndex, epoch: u64) {
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
            self.refuse(run.request, DEFAULT_RETRY_AFTER);
        }
        self.engines[engine].finish_unload();
    }

    pub(super) fn loaded(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch == epoch {
            self.engines[engine].finish_load(self.scenario);
        }
    }
}
