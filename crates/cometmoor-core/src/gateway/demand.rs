//! Demand per second, measured from counters that only increase.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::time::Timestamp;

/// Time constant of the exponentially weighted average.
const AVERAGING_TIME: Duration = Duration::from_millis(2500);

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    updated_at: Timestamp,
}

impl Rate {
    /// The rate at `now`, decayed since the last update.
    fn at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.per_second * (-elapsed).exp()
    }
}

/// Exponentially weighted rates by key.
#[derive(Clone, Debug)]
pub struct DemandMeter<Key> {
    rates: HashMap<Key, Rate>,
}

impl<Key> Default for DemandMeter<Key> {
    fn default() -> DemandMeter<Key> {
        DemandMeter { rates: HashMap::new() }
    }
}

impl<Key: Copy + Eq + Hash> DemandMeter<Key> {
    /// Adds an amount that was counted at `now`.
    pub fn record(&mut self, key: Key, amount: f64, now: Timestamp) {
        let rate = self.rates.entry(key).or_insert(Rate { per_second: 0.0, updated_at: now });
        rate.per_second = rate.at(now) + amount / AVERAGING_TIME.as_secs_f64();
        rate.updated_at = now;
    }

    /// Amount per second at `now`, 0 for a key without records.
    pub fn rate(&self, key: Key, now: Timestamp) -> f64 {
        self.rates.get(&key).map_or(0.0, |rate| rate.at(now))
    }
}
