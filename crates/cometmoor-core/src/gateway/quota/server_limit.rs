//! The limit that a server names in its answers, as a quota of all nodes together.

use std::time::Duration;

use super::{QuotaBounds, VersionedLimit};
use crate::gateway::tenants::{QuotaUnit, TenantLimit};

/// In any four seconds operators allow one and a half times what a limit allows, and five
/// requests more. The window's allowance holds the burst of a bucket beside the rate, so
/// excess and slack are smaller here: with [`BURST_PART`] the sum stays below theirs.
/// Requests do not wait, as another server may have room.
pub const SERVER_LIMIT_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(4),
    excess: 0.4,
    slack: 3.0,
    max_fallback_wait: Duration::ZERO,
};
/// Requests that may run at once after a pause, beyond one: those of so many seconds. With
/// 0.1 s, a limit of 5 a second was used to 0.73 by six nodes that pressed.
const BURST_PART: f64 = 0.25;
/// Least rate at which a server is asked whether its limit still holds, in requests a second:
/// otherwise a limit of zero would last for ever.
const LEAST_PER_SECOND: f64 = 0.1;

/// Questions for each request that a limit allows, so that its bucket is seldom full while
/// requests are there.
const QUESTIONS_FOR_REQUEST: f64 = 8.0;
/// Shortest and longest time for which a server is not considered whose limit was used up.
const DENIED_FOR: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));

/// How long a node does not consider a server that has denied it a request for `after`: as
/// all of so many nodes do so, they ask a few times as often as requests are allowed.
pub fn denial_backoff(limit: &VersionedLimit, nodes: usize, after: Duration) -> Duration {
    let questions = QUESTIONS_FOR_REQUEST * limit.limit.per_second;
    let pause = Duration::try_from_secs_f64(nodes as f64 / questions).unwrap_or(DENIED_FOR.1);
    after.min(pause).clamp(DENIED_FOR.0, DENIED_FOR.1)
}

/// The quota of a server that names so many requests a second. `version` rises with each
/// change.
pub fn server_limit(per_second: f64, version: u64) -> VersionedLimit {
    let per_second = per_second.max(LEAST_PER_SECOND);
    let burst = 1.0 + BURST_PART * per_second;
    let limit = TenantLimit { per_second, burst, unit: QuotaUnit::Requests };
    VersionedLimit { limit, version }
}
