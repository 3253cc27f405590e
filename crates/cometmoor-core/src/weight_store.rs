//! Limits of the weight store on loads, which apply to all engines together.

use std::time::Duration;

use crate::time::Timestamp;

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightStoreLimits {
    /// Maximum number of loads that start per second.
    pub loads_per_second: f64,
    /// Maximum number of loads that run at the same time.
    pub concurrent_loads: u32,
}

/// Token bucket that admits loads within the limits.
///
/// It starts empty, because a planner that takes over does not know which loads
/// its predecessor started in the last second.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    limits: WeightStoreLimits,
    tokens: f64,
    updated: Timestamp,
}

impl LoadLimiter {
    /// Creates a limiter with an empty bucket.
    pub fn new(limits: WeightStoreLimits, now: Timestamp) -> LoadLimiter {
        LoadLimiter { limits, tokens: 0.0, updated: now }
    }

    /// Takes a token for one load and returns true if the load may start now.
    /// `loading` is the number of loads that run or may be running.
    pub fn try_start(&mut self, loading: u32, now: Timestamp) -> bool {
        let elapsed: Duration = now.since(self.updated);
        self.updated = self.updated.max(now);
        // An idle limiter saves the tokens of one second, but at least one whole
        // token, without which a rate below 1 would never admit a load.
        let burst = self.limits.loads_per_second.max(1.0);
        let refill = elapsed.as_secs_f64() * self.limits.loads_per_second;
        self.tokens = (self.tokens + refill).min(burst);
        if loading >= self.limits.concurrent_loads || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
