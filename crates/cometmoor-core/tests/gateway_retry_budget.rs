//! Repeats of all nodes stay within the bound in any window, also while nodes
//! start, end and do not see each other.

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
    Pass {
        hundredths: u8,
    },
    Requests {
        node: u8,
        count: u8,
    },
    Repeats {
        node: u8,
        count: u8,
    },
    /// A node's process is replaced; it does not know what was spent.
    Restart {
        node: u8,
    },
}

struct World {
    now: u64,
    budgets: Vec<FleetRetryBudget>,
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl World {
    fn new() -> World {
        let budget = FleetRetryBudget::new(BOUNDS, Timestamp(0), true);
        World { now: 0, budgets: vec![budget; NODES], requests: Vec::new(), repeats: Vec::new() }
    }

    fn run(&mut self, step: Step) {
        let now = Timestamp(self.now);
        let node = |index: u8| usize::from(index) % NODES;
        match step {
            Step::Pass { hundredths } => self.now += u64::from(hundredths) * 40,
            Step::Requests { node: index, count } => {
                for _ in 0..count % 32 {
                    self.budgets[node(index)].record_request(now);
                    self.requests.push(self.now);
                }
            }
            Step::Repeats { node: index, count } => {
                for _ in 0..count % 64 {
                    if self.budgets[node(index)].try_retry(now, NODES) {
                        self.repeats.push(self.now);
                    }
                }
            }
            Step::Restart { node: index } => {
                self.budgets[node(index)] = FleetRetryBudget::new(BOUNDS, now, false);
            }
        }
    }

    /// The bound as the operators count it: requests of the window or of the
    /// one before it, whichever are more.
    fn check(&self) {
        let window = BOUNDS.window.as_millis() as u64;
        for start in &self.repeats {
            let inside = |from: u64, times: &[u64]| {
                times.iter().filter(|time| **time >= from && **time < from + window).count()
            };
            let repeats = inside(*start, &self.repeats);
            let requests = inside(*start, &self.requests)
                .max(inside(start.saturating_sub(window), &self.requests))
                .max(inside(start.saturating_sub(window / 2), &self.requests));
            let bound = BOUNDS.ratio * requests as f64 + BOUNDS.extra;
            assert!(repeats as f64 <= bound, "{repeats} repeats from {start}, allowed {bound}");
        }
    }
}

#[test]
fn no_window_exceeds_the_bound() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut world = World::new();
        for step in steps {
            world.run(*step);
        }
        world.check();
    });
}

#[test]
fn a_process_that_does_not_know_what_was_spent_uses_its_own_requests_only() {
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
