//! Simulated tenants, and the outcomes of their requests.

use std::time::Duration;

use cometmoor_core::gateway::quota::{QuotaKey, VersionedLimit};
use cometmoor_core::gateway::tenants::{QuotaUnit, TenantLimit};

use super::{BOUNDS, SECOND_MICROS};

/// Costs of requests, in tokens: plain calls, short and long prompts. Drawn with equal probability.
pub const COSTS: [f64; 8] = [200.0, 200.0, 200.0, 1500.0, 1630.0, 2400.0, 2400.0, 5200.0];

/// A tenant with its limit and demand.
#[derive(Clone, Debug)]
pub struct SimulatedTenant {
    pub key: QuotaKey,
    pub limit: VersionedLimit,
    /// Demand as a fraction of the limit's rate, with the second from which it applies, in order.
    pub demand: Vec<(u64, f64)>,
}

impl SimulatedTenant {
    /// A tenant with this rate and a burst of one second of it. Its demand is constant.
    pub fn new(name: usize, per_second: f64, demand: f64) -> SimulatedTenant {
        let unit = QuotaUnit::Tokens { default_tokens: 200 };
        let limit = TenantLimit { per_second, burst: per_second, unit };
        SimulatedTenant {
            key: QuotaKey::of(&format!("tenant-{name}")),
            limit: VersionedLimit { limit, version: 1 },
            demand: vec![(0, demand)],
        }
    }

    pub(super) fn demand_at(&self, second: u64) -> f64 {
        self.demand
            .iter()
            .rev()
            .find(|(from, _)| *from <= second)
            .map_or(0.0, |(_, fraction)| *fraction)
    }
}

/// Outcomes of a tenant's requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub granted: usize,
    pub refused: usize,
    pub undecided: usize,
    /// Requests that a single token bucket with the limit's rate and burst admits, and how many of
    /// them were refused or undecided.
    pub conforming: usize,
    pub conforming_refused: usize,
    /// Times at which requests were granted, in microseconds, with their costs.
    pub runs: Vec<(u64, f64)>,
}

impl Outcome {
    /// Peak usage in a window of [`BOUNDS`], as a fraction of the maximum usage.
    pub fn peak_usage_ratio(&self, limit: &TenantLimit) -> f64 {
        self.peak_usage(BOUNDS.window) / BOUNDS.max_usage(limit)
    }

    /// Highest amount that was granted in any window of this length.
    pub fn peak_usage(&self, window: Duration) -> f64 {
        let mut runs = self.runs.clone();
        runs.sort_unstable_by_key(|(at, _)| *at);
        let window = u64::try_from(window.as_micros()).unwrap();
        let (mut first, mut in_window, mut peak) = (0, 0.0, 0.0_f64);
        for (at, cost) in &runs {
            in_window += cost;
            while runs[first].0 + window < *at {
                in_window -= runs[first].1;
                first += 1;
            }
            peak = peak.max(in_window);
        }
        peak
    }

    /// Amount granted between two seconds, as a fraction of the limit's rate.
    pub fn utilization(&self, limit: &TenantLimit, from: u64, until: u64) -> f64 {
        let is_inside = |at: &u64| *at >= from * SECOND_MICROS && *at < until * SECOND_MICROS;
        let granted: f64 =
            self.runs.iter().filter(|(at, _)| is_inside(at)).map(|(_, cost)| cost).sum();
        granted / (limit.per_second * (until - from) as f64)
    }
}
