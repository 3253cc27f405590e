//! Bounds the rate of calls to the store.

use std::cell::RefCell;
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use cometmoor_gateway::clock;

/// Seconds of unused budget that are saved up.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for one thread.
#[derive(Debug)]
pub struct CallRateLimiter {
    per_second: f64,
    state: RefCell<(f64, BootInstant)>,
}

impl CallRateLimiter {
    /// A full bucket.
    pub fn new(per_second: f64) -> CallRateLimiter {
        let credit = (per_second * BURST_SECONDS).max(1.0);
        CallRateLimiter { per_second, state: RefCell::new((credit, clock::now())) }
    }

    /// Takes one call; otherwise tells when there will be one.
    pub fn try_acquire(&self) -> Result<(), Duration> {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let (credit, updated) = *state;
        let earned = now.since(updated).as_secs_f64() * self.per_second;
        let credit = (credit + earned).min((self.per_second * BURST_SECONDS).max(1.0));
        if credit < 1.0 {
            *state = (credit, now);
            return Err(Duration::from_secs_f64((1.0 - credit) / self.per_second));
        }
        *state = (credit - 1.0, now);
        Ok(())
    }
}
