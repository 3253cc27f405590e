//! Disruptions of the servers.

use super::super::arrivals::{Micros, SECOND};
use super::super::fleet::EngineIndex;
use super::super::scenario::FaultKind;
use super::{Event, World};

/// Time that a server has which is told to go.
const NOTICE: Micros = 2 * SECOND;

impl World<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) {
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

    pub(super) fn leave(&mut self, engine: EngineIndex, epoch: u64) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.move_runs(engine, epoch, None);
        let lost = self.engines[engine].restart(true);
        self.lose(lost);
    }

    pub(super) fn end_fault(&mut self, index: usize) {
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
}
