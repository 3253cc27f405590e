//! Property test of the fleet's retry budget: the retries of all nodes stay within the limit in
//! any window, also when processes are replaced and do not know what was spent before.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::retry_budget::{FleetRetryBudget, RetryBounds};
use cometmoor_core::time::Timestamp;

use schedules::for_each_schedule;

const CASES: u64 = 4_000;
const NODES: usize = 4;
const BOUNDS: RetryBounds =
    RetryBounds { ratio: 0.2, window: Duration::from_secs(10), extra: 40.0 };

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance {
        hundredths: u8,
    },
    Requests {
        node: u8,
        count: u8,
    },
    Retries {
        node: u8,
        count: u8,
    },
    /// A node's process is replaced; the new one does not know what was spent.
    Restart {
        node: u8,
    },
}

struct World {
    now: u64,
    budgets: Vec<FleetRetryBudget>,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl World {
    fn new() -> World {
        let budget = FleetRetryBudget::new(BOUNDS, Timestamp(0), true);
        World { now: 0, budgets: vec![budget; NODES], requests: Vec::new(), retries: Vec::new() }
    }

    fn run(&mut self, step: Step) {
        let now = Timestamp(self.now);
        let node = |index: u8| usize::from(index) % NODES;
        match step {
            Step::Advance { hundredths } => self.now += u64::from(hundredths) * 40,
            Step::Requests { node: index, count } => {
                for _ in 0..count % 32 {
                    self.budgets[node(index)].record_request(now);
                    self.requests.push(self.now);
                }
            }
            Step::Retries { node: index, count } => {
                for _ in 0..count % 64 {
                    if self.budgets[node(index)].try_retry(now, NODES) {
                        self.retries.push(self.now);
                    }
                }
            }
            Step::Restart { node: index } => {
                self.budgets[node(index)] = FleetRetryBudget::new(BOUNDS, now, false);
            }
        }
    }

    /// Checks the limit as operators measure it, by the largest number of requests in the window,
    /// in the one before it, or in the one that is shifted back by half a window.
    fn check(&self) {
        let window = BOUNDS.window.as_millis() as u64;
        for start in &self.retries {
            let inside = |from: u64, times: &[u64]| {
                times.iter().filter(|time| **time >= from && **time < from + window).count()
            };
            let retries = inside(*start, &self.retries);
            let requests = inside(*start, &self.requests)
                .max(inside(start.saturating_sub(window), &self.requests))
                .max(inside(start.saturating_sub(window / 2), &self.requests));
            let bound = BOUNDS.ratio * requests as f64 + BOUNDS.extra;
            assert!(retries as f64 <= bound, "{retries} retries from {start}, allowed {bound}");
        }
    }
}

#[test]
fn retries_in_any_window_stay_within_the_limit() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::new();
        for step in steps {
            world.run(*step);
        }
        world.check();
    });
}

#[test]
fn a_process_without_history_earns_retries_only_from_its_own_requests() {
    let started = Timestamp(5_000);
    let mut budget = FleetRetryBudget::new(BOUNDS, started, false);
    assert!(!budget.try_retry(started, 1));
    for _ in 0..10 {
        budget.record_request(started);
    }
    assert!(budget.try_retry(started, 1));
    assert!(!budget.try_retry(started, 1));
    assert!(budget.try_retry(started + BOUNDS.window, 1));
}
