//! Whether a request that found no server waits or is refused, and when a
//! refused client should come back.

use std::time::Duration;

/// Part of the objective within which a refusal must be given to be of use.
const PROMPT_REFUSAL_PART: u32 = 4;
/// Least time that a request may wait for a server.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);
/// Longest time that a request may wait for a server.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// When a client should come back that no server could take: models and servers
/// take seconds to come. It is cut to what the client would wait.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Pause between two looks for a server that can take a waiting request.
pub const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the time left within which a client still comes back.
const COME_BACK_PART: u32 = 3;

/// How long a request may wait in the node for a server: a little less than
/// a quarter of its objective, and never a large part of what time is left.
pub fn max_queue_wait(objective: Duration, time_left: Duration) -> Duration {
    let prompt = objective / PROMPT_REFUSAL_PART;
    let wait = prompt.mul_f64(0.8).clamp(SHORTEST_WAIT, LONGEST_WAIT);
    wait.min(time_left / 2)
}

/// Whether a request is worth sending to a server that would give the first
/// byte after `expected`: not where it would come too late. What waits longer
/// than its objective holds up others that could still be in time.
pub fn can_answer_in_time(expected: Duration, objective: Duration, time_left: Duration) -> bool {
    expected <= objective.min(time_left)
}

/// Shortest time for which servers that are too busy stay so: until a batch of
/// long answers has ended, or another copy is there. Of the callers who are told
/// to come back then, a third fewer are refused again than after 1.5 s.
const BUSY_FOR: Duration = Duration::from_secs(4);

/// When a client should come back whose request would have waited `expected`:
/// when enough of the queue is gone for it to be in time, and others do not
/// fill it at once.
pub fn retry_after_queue(expected: Duration, objective: Duration) -> Duration {
    expected.saturating_sub(objective / 2).max(BUSY_FOR)
}

/// When a refused client should come back: at `ready_in`, but not later than
/// it would still come.
pub fn cap_retry_after(ready_in: Duration, time_left: Duration) -> Duration {
    ready_in.min(time_left / COME_BACK_PART)
}

/// Time for each token that a request allows for its answer within which all but
/// few end: nine of 14,415 streams of seven played days took longer (628 with
/// 16 ms). A refused client is served elsewhere a moment later; one that is cut
/// loses its answer.
const PER_OUTPUT_TOKEN: Duration = Duration::from_millis(60);
/// Time for the rest of an answer.
const FIXED_PART: Duration = Duration::from_millis(600);
/// Time from the begin of a planned stop within which requests are taken that
/// may not be finished.
const STOP_ACCEPTS: Duration = Duration::from_millis(2500);

/// Whether a node that is about to stop takes a request: it must be able to
/// finish it, unless clients cannot yet know that it is leaving.
pub fn finishes_before_stop(
    since_begin: Duration,
    until_end: Duration,
    time_left: Duration,
    output_tokens: u64,
) -> bool {
    let tokens = u32::try_from(output_tokens).unwrap_or(u32::MAX);
    let estimate = PER_OUTPUT_TOKEN.saturating_mul(tokens).saturating_add(FIXED_PART);
    since_begin < STOP_ACCEPTS || estimate.min(time_left) < until_end
}
