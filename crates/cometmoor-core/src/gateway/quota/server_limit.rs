//! The limit that a server announces in its responses, as a quota shared by all nodes.

use std::time::Duration;

use super::{QuotaBounds, VersionedLimit};
use crate::gateway::tenants::{QuotaUnit, TenantLimit};

/// In any four seconds, operators allow 1.5 times what a limit allows, and five requests more. The
/// allowance of a window here includes the burst of the bucket beside the rate, so excess and slack
/// are smaller: with [`BURST_SECONDS`], the sum stays below what operators allow. Requests do not
/// wait for a fallback lender, because another server may have capacity.
pub const SERVER_LIMIT_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(4),
    excess: 0.4,
    slack: 3.0,
    max_fallback_wait: Duration::ZERO,
};
/// Burst beyond one request, as seconds of the server's rate. With 0.1 s, six nodes under sustained
/// overload used only 0.73 of a limit of 5 requests a second.
const BURST_SECONDS: f64 = 0.25;
/// Minimum rate at which a server is tried, in requests a second, to find out whether its limit
/// still holds. Otherwise a limit of zero would never end.
const MIN_PER_SECOND: f64 = 0.1;

/// Token requests for each request that a limit allows, so that the bucket is rarely full while
/// there is demand.
const ATTEMPTS_PER_REQUEST: f64 = 8.0;
/// Shortest and longest time for which a server is not selected after its limit was exhausted.
const DENIAL_BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_secs(1));

/// Time for which this node does not select a server after a token request for it was denied with
/// the retry time `after`. With all `nodes` backing off alike, they send a few times as many token
/// requests as the limit allows requests.
pub fn denial_backoff(limit: &VersionedLimit, nodes: usize, after: Duration) -> Duration {
    let attempts = ATTEMPTS_PER_REQUEST * limit.limit.per_second;
    let backoff =
        Duration::try_from_secs_f64(nodes as f64 / attempts).unwrap_or(DENIAL_BACKOFF_RANGE.1);
    after.min(backoff).clamp(DENIAL_BACKOFF_RANGE.0, DENIAL_BACKOFF_RANGE.1)
}

/// The quota for a server that announces `per_second`. `version` has to increase with each change.
pub fn server_limit(per_second: f64, version: u64) -> VersionedLimit {
    let per_second = per_second.max(MIN_PER_SECOND);
    let burst = 1.0 + BURST_SECONDS * per_second;
    let limit = TenantLimit { per_second, burst, unit: QuotaUnit::Requests };
    VersionedLimit { limit, version }
}
