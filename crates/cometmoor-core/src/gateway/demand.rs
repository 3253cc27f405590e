//! How much is asked for a second, from counters that only rise.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::time::Timestamp;

/// Time over which a rate is averaged.
const SPAN: Duration = Duration::from_millis(2500);

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    noted: Timestamp,
}

impl Rate {
    fn at(&self, now: Timestamp) -> f64 {
        let spans = now.since(self.noted).as_secs_f64() / SPAN.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

/// Rates by key.
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
    /// Notes an amount.
    pub fn record(&mut self, key: Key, amount: f64, now: Timestamp) {
        let rate = self.rates.entry(key).or_insert(Rate { per_second: 0.0, noted: now });
        rate.per_second = rate.at(now) + amount / SPAN.as_secs_f64();
        rate.noted = now;
    }

    /// Amount a second.
    pub fn rate(&self, key: Key, now: Timestamp) -> f64 {
        self.rates.get(&key).map_or(0.0, |rate| rate.at(now))
    }
}
