//! Tenants of the world, and what becomes of their requests.

use std::time::Duration;

use cometmoor_core::gateway::quota::{QuotaKey, VersionedLimit};
use cometmoor_core::gateway::tenants::{QuotaUnit, TenantLimit};

use super::{BOUNDS, SECOND};

/// What requests cost, in tokens: plain calls, short and long prompts.
pub const COSTS: [f64; 8] = [200.0, 200.0, 200.0, 1500.0, 1630.0, 2400.0, 2400.0, 5200.0];

/// A tenant's limit, and what its callers send of it.
#[derive(Clone, Debug)]
pub struct SimulatedTenant {
    pub key: QuotaKey,
    pub limit: VersionedLimit,
    /// Part of the limit that is sent, from a second on.
    pub demand: Vec<(u64, f64)>,
}

impl SimulatedTenant {
    pub fn new(name: usize, per_second: f64, sends: f64) -> SimulatedTenant {
        let unit = QuotaUnit::Tokens { default_tokens: 200 };
        let limit = TenantLimit { per_second, burst: per_second, unit };
        SimulatedTenant {
            key: QuotaKey::of(&format!("tenant-{name}")),
            limit: VersionedLimit { limit, version: 1 },
            demand: vec![(0, sends)],
        }
    }

    pub(super) fn demand_at(&self, second: u64) -> f64 {
        self.demand.iter().rev().find(|(from, _)| *from <= second).map_or(0.0, |(_, part)| *part)
    }
}

/// What became of a tenant's requests.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub granted: usize,
    pub refused: usize,
    pub undecided: usize,
    /// Requests that the limit itself, held at one place, would have let through, and those
    /// of them that were not.
    pub conforming: usize,
    pub conforming_refused: usize,
    /// When requests ran, and what they cost.
    pub runs: Vec<(u64, f64)>,
}

impl Outcome {
    /// Most that ran in any window, against the most that may.
    pub fn peak_usage_ratio(&self, limit: &TenantLimit) -> f64 {
        self.peak_usage(BOUNDS.window) / BOUNDS.max_usage(limit)
    }

    /// Most that ran in any span of a length.
    pub fn peak_usage(&self, window: Duration) -> f64 {
        let mut runs = self.runs.clone();
        runs.sort_unstable_by_key(|(at, _)| *at);
        let window = u64::try_from(window.as_micros()).unwrap();
        let (mut first, mut inside, mut most) = (0, 0.0, 0.0_f64);
        for (at, cost) in &runs {
            inside += cost;
            while runs[first].0 + window < *at {
                inside -= runs[first].1;
                first += 1;
            }
            most = most.max(inside);
        }
        most
    }

    /// Part of the limit that ran from one second to another one.
    pub fn utilization(&self, limit: &TenantLimit, from: u64, until: u64) -> f64 {
        let inside = |at: &u64| *at >= from * SECOND && *at < until * SECOND;
        let ran: f64 = self.runs.iter().filter(|(at, _)| inside(at)).map(|(_, cost)| cost).sum();
        ran / (limit.per_second * (until - from) as f64)
    }
}
