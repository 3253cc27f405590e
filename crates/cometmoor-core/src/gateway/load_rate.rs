//! The weight store's rate: loads in any window stay below a bound.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Loads that may still begin.
#[derive(Clone, Debug)]
pub struct LoadRateLimiter {
    window: Duration,
    most: usize,
    begun: VecDeque<Timestamp>,
}

impl LoadRateLimiter {
    /// At most `per_second` loads a second, counted over any `window`. Loads
    /// before `now` are not known, so as many as are allowed may have begun.
    pub fn new(
        per_second: f64,
        window: Duration,
        now: Timestamp,
        none_before: bool,
    ) -> LoadRateLimiter {
        let most = (per_second * window.as_secs_f64()).floor().max(1.0) as usize;
        let begun = if none_before { VecDeque::new() } else { VecDeque::from(vec![now; most]) };
        LoadRateLimiter { window, most, begun }
    }

    /// Loads that may begin now.
    pub fn available(&mut self, now: Timestamp) -> usize {
        while self.begun.front().is_some_and(|begun| now.since(*begun) >= self.window) {
            self.begun.pop_front();
        }
        self.most.saturating_sub(self.begun.len())
    }

    /// Notes a load that begins, or that may begin by an order in doubt.
    pub fn record(&mut self, now: Timestamp) {
        self.begun.push_back(now);
    }
}
