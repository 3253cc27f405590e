//! How much is asked for a second, from counters that only rise.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::time::Timestamp;

/// Time over which a rate is averaged, unless a meter is given its own.
const SPAN: Duration = Duration::from_millis(2500);

#[derive(Clone, Copy, Debug)]
struct Rate {
    per_second: f64,
    noted: Timestamp,
}

impl Rate {
    fn at(&self, now: Timestamp, span: Duration) -> f64 {
        let spans = now.since(self.noted).as_secs_f64() / span.as_secs_f64();
        self.per_second * (-spans).exp()
    }
}

/// Rates by key, each an average that forgets at the rate of its span.
#[derive(Clone, Debug)]
pub struct DemandMeter<Key> {
    rates: HashMap<Key, Rate>,
    span: Duration,
}

impl<Key> Default for DemandMeter<Key> {
    fn default() -> DemandMeter<Key> {
        DemandMeter::with_span(SPAN)
    }
}

impl<Key> DemandMeter<Key> {
    /// A meter that averages over `span`: a longer one follows changes later.
    pub fn with_span(span: Duration) -> DemandMeter<Key> {
        DemandMeter { rates: HashMap::new(), span }
    }
}

impl<Key: Copy + Eq + Hash> DemandMeter<Key> {
    /// Notes an amount.
    pub fn record(&mut self, key: Key, amount: f64, now: Timestamp) {
        let span = self.span;
        let rate = self.rates.entry(key).or_insert(Rate { per_second: 0.0, noted: now });
        rate.per_second = rate.at(now, span) + amount / span.as_secs_f64();
        rate.noted = now;
    }

    /// Amount a second.
    pub fn rate(&self, key: Key, now: Timestamp) -> f64 {
        self.rates.get(&key).map_or(0.0, |rate| rate.at(now, self.span))
    }
}
