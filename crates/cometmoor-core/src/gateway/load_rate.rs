//! Rate limit on loads from the weight store, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Limits the number of loads that start within any window of fixed length.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    max_loads: usize,
    /// Start times of the loads within the window, oldest first.
    started: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// Allows at most `per_second` loads a second, counted over any `window`. Unless
    /// `none_before` says that there were none, loads before `now` are unknown, and as many as
    /// the limit allows are assumed to have started at `now`.
    pub fn new(
        per_second: f64,
        window: Duration,
        now: Timestamp,
        none_before: bool,
    ) -> LoadRateLimiter {
        let max_loads = (per_second * window.as_secs_f64()).floor().max(1.0) as usize;
        let started =
            if none_before { VecDeque::new() } else { VecDeque::from(vec![now; max_loads]) };
        LoadRateLimiter { window, max_loads, started }
    }

    /// Number of loads that may start at `now`.
    pub fn available(&mut self, now: Timestamp) -> usize {
        while self.started.front().is_some_and(|started| now.since(*started) >= self.window) {
            self.started.pop_front();
        }
        self.max_loads.saturating_sub(self.started.len())
    }

    /// Records a load that starts, or that may start because the outcome of its order is
    /// unknown.
    pub fn record(&mut self, now: Timestamp) {
        self.started.push_back(now);
    }
}
