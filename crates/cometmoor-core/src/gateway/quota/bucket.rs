//! A token bucket.

use std::time::Duration;

use crate::time::BootInstant;

/// Longest time that is told until tokens are there.
const LONGEST: Duration = Duration::from_secs(3600);

/// Tokens that come at a rate, up to a number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
    capacity: f64,
    per_second: f64,
    at: BootInstant,
}

impl TokenBucket {
    /// A bucket with so many tokens in it.
    pub fn new(level: f64, capacity: f64, per_second: f64, now: BootInstant) -> TokenBucket {
        TokenBucket { level: level.min(capacity), capacity, per_second, at: now }
    }

    /// Tokens that are there; below zero where more were spent.
    pub fn level(&mut self, now: BootInstant) -> f64 {
        let come = self.per_second * now.since(self.at).as_secs_f64();
        self.level = (self.level + come).min(self.capacity);
        self.at = self.at.max(now);
        self.level
    }

    /// Most tokens that it holds.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Changes the rate and the most.
    pub fn reconfigure(&mut self, capacity: f64, per_second: f64, now: BootInstant) {
        self.level(now);
        self.capacity = capacity;
        self.per_second = per_second;
        self.level = self.level.min(capacity);
    }

    /// Changes the most.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Whether so many tokens are there.
    pub fn covers(&mut self, tokens: f64, now: BootInstant) -> bool {
        self.level(now) >= tokens
    }

    /// Takes tokens, whether they are there or not.
    pub fn spend(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// Puts tokens back that were not used.
    pub fn refund(&mut self, tokens: f64) {
        self.level = (self.level + tokens).min(self.capacity);
    }

    /// Time until so many tokens were there if none were spent and the bucket held any number.
    pub fn time_to_accrue(&mut self, tokens: f64, now: BootInstant) -> Duration {
        let lacks = tokens - self.level(now);
        if lacks <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(lacks / self.per_second).unwrap_or(LONGEST).min(LONGEST)
    }

    /// Time until so many tokens are there, or the bucket is full.
    pub fn time_until_available(&mut self, tokens: f64, now: BootInstant) -> Duration {
        self.time_to_accrue(tokens.min(self.capacity), now)
    }
}
