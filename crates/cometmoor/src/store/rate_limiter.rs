//! Limits the rate of calls to the configuration store.

use std::cell::RefCell;
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use cometmoor_gateway::clock;

/// Capacity of the bucket, in seconds of the configured rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for one thread. Its capacity is at least one call.
#[derive(Debug)]
pub struct CallRateLimiter {
    per_second: f64,
    /// Tokens, and when they were last refilled.
    state: RefCell<(f64, BootInstant)>,
}

impl CallRateLimiter {
    /// Creates a full bucket, refilled with `per_second` calls a second.
    pub fn new(per_second: f64) -> CallRateLimiter {
        let tokens = (per_second * BURST_SECONDS).max(1.0);
        CallRateLimiter { per_second, state: RefCell::new((tokens, clock::now())) }
    }

    /// Takes the token of one call, or returns the time until one is available.
    pub fn try_acquire(&self) -> Result<(), Duration> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let (tokens, refilled_at) = *state;
        let refilled = now.since(refilled_at).as_secs_f64() * self.per_second;
        let tokens = (tokens + refilled).min((self.per_second * BURST_SECONDS).max(1.0));
        if tokens < 1.0 {
            *state = (tokens, now);
            return Err(Duration::from_secs_f64((1.0 - tokens) / self.per_second));
        }
        *state = (tokens - 1.0, now);
        Ok(())
    }
}
