//! A token bucket.

use std::time::Duration;

use crate::time::BootInstant;

/// Upper bound of the reported waiting times; also stands for a rate of zero.
const MAX_WAIT: Duration = Duration::from_secs(3600);

/// A token bucket that refills continuously at a fixed rate, up to its capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    capacity: f64,
    per_second: f64,
    updated: BootInstant,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` tokens, at most `capacity`.
    pub fn new(level: f64, capacity: f64, per_second: f64, now: BootInstant) -> TokenBucket {
        TokenBucket { level: level.min(capacity), capacity, per_second, updated: now }
    }

    /// Tokens in the bucket at `now`; negative after an overdraft.
    pub fn level(&mut self, now: BootInstant) -> f64 {
        let accrued = self.per_second * now.since(self.updated).as_secs_f64();
        self.level = (self.level + accrued).min(self.capacity);
        self.updated = self.updated.max(now);
        self.level
    }

    /// Maximum number of tokens in the bucket.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Tokens that accrue in a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Changes the capacity and the rate from `now` on. Tokens above the new capacity are dropped.
    pub fn reconfigure(&mut self, capacity: f64, per_second: f64, now: BootInstant) {
        self.level(now);
        self.capacity = capacity;
        self.per_second = per_second;
        self.level = self.level.min(capacity);
    }

    /// Changes the capacity. Tokens above it are dropped.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Whether the bucket holds at least `tokens`.
    pub fn covers(&mut self, tokens: f64, now: BootInstant) -> bool {
        self.level(now) >= tokens
    }

    /// Removes tokens without checking the level, which may become negative.
    pub fn spend(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Adds tokens, up to the capacity.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Time until the bucket would hold `tokens` if nothing were spent and its capacity were
    /// unlimited. At most one hour.
    pub fn time_to_accrue(&mut self, tokens: f64, now: BootInstant) -> Duration {
        let missing = tokens - self.level(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.per_second).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    /// Time until the bucket holds `tokens` or is full. At most one hour.
    pub fn time_until_available(&mut self, tokens: f64, now: BootInstant) -> Duration {
        self.time_to_accrue(tokens.min(self.capacity), now)
    }
}
