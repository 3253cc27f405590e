//! Whether a request that no server can take right now is queued or refused, and the delay
//! after which a refused client should retry.

use std::time::Duration;

/// A refusal has to be given within the objective divided by this to be of use to the client.
const REFUSAL_OBJECTIVE_DIVISOR: u32 = 4;
/// Lower limit on the time that a request may wait for a server.
const MIN_QUEUE_WAIT: Duration = Duration::from_millis(20);
/// Upper limit on the time that a request may wait for a server.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Retry delay for a client whose request no server could take, because models and servers
/// take seconds to become ready. [`cap_retry_after`] limits it by the client's deadline.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Interval at which a queued request looks for a server that can take it.
pub const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A client is told to retry within its remaining time divided by this, while it is still
/// likely to do so.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Longest time that a request may be queued in the node for a server: a little less than
/// a quarter of its objective, and at most half of the time left.
pub fn max_queue_wait(objective: Duration, time_left: Duration) -> Duration {
    let prompt = objective / REFUSAL_OBJECTIVE_DIVISOR;
    let wait = prompt.mul_f64(0.8).clamp(MIN_QUEUE_WAIT, MAX_QUEUE_WAIT);
    wait.min(time_left / 2)
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AwaitedResource {
    /// An adapter whose model a server holds. It is loaded within milliseconds.
    Adapter,
    /// A model, or a server that can take the request.
    Server,
}

/// Longest time that a request may wait in the dispatch queue: while it can still meet its
/// objective. `shortest` is the time since it was received, plus the time that an idle server takes
/// for its prompt.
pub fn queue_wait_limit(
    awaited: AwaitedResource,
    objective: Duration,
    shortest: Duration,
    time_left: Duration,
) -> Duration {
    let limit = match awaited {
        AwaitedResource::Adapter => (objective / 2).min(time_left / 2),
        AwaitedResource::Server => max_queue_wait(objective, time_left),
    };
    limit.min(objective.saturating_sub(shortest))
}

/// Whether a server that is expected to send the first byte after `expected` would meet the
/// objective and the deadline. A request that would miss its objective is not sent, because
/// it delays others that could still meet theirs.
pub fn can_answer_in_time(expected: Duration, objective: Duration, time_left: Duration) -> bool {
    expected <= objective.min(time_left)
}

/// Whether requests are sent that are expected to miss their objective slightly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateTolerance {
    /// Only requests that are expected to meet their objective are sent.
    None,
    /// Requests are also sent if they are expected to miss it by at most a quarter and to have
    /// their first byte within half of the time left: the answer still helps the client.
    Quarter,
}

/// A part of the objective, by this divisor, is tolerated with [`LateTolerance::Quarter`].
const TOLERATED_OBJECTIVE_DIVISOR: u32 = 4;
/// A late request is sent if it is expected to use at most its time left divided by this.
const LATE_TIME_LEFT_DIVISOR: u32 = 2;

/// Whether a request is sent to a server that is expected to send the first byte after `expected`:
/// it is [in time](can_answer_in_time), or its lateness is tolerated.
pub fn may_send(
    expected: Duration,
    objective: Duration,
    time_left: Duration,
    tolerance: LateTolerance,
) -> bool {
    let is_tolerated = match tolerance {
        LateTolerance::None => false,
        LateTolerance::Quarter => {
            let latest = objective.saturating_add(objective / TOLERATED_OBJECTIVE_DIVISOR);
            expected <= latest.min(time_left / LATE_TIME_LEFT_DIVISOR)
        }
    };
    is_tolerated || can_answer_in_time(expected, objective, time_left)
}

/// Lower limit on the retry delay while all servers are too busy. They stay busy until a batch
/// of long answers ends or another replica of the model is loaded. A third fewer callers are
/// refused again on their retry than with 1.5 s.
const MIN_BUSY_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Retry delay for a request that would have waited `expected` in the servers' queues: until
/// enough of the queue is gone for it to be in time, with the lower limit so that retries do
/// not refill the queue at once.
pub fn retry_after_queue(expected: Duration, objective: Duration) -> Duration {
    expected.saturating_sub(objective / 2).max(MIN_BUSY_RETRY_AFTER)
}

/// Limits a retry delay of `ready_in` to a third of the client's remaining time, because a
/// client that is told to retry later than that is unlikely to do so.
pub fn cap_retry_after(ready_in: Duration, time_left: Duration) -> Duration {
    ready_in.min(time_left / RETRY_AFTER_DIVISOR)
}

/// Time that is allowed for each requested output token. Nearly all streams end within it: of
/// 14,415 streams on seven simulated days, nine took longer (628 with 16 ms). The estimate is
/// high on purpose: a refused client is served by another node a moment later, while a client
/// whose stream is cut off loses its answer.
const PER_OUTPUT_TOKEN: Duration = Duration::from_millis(60);
/// Time that is allowed for an answer in addition to its output tokens.
const FIXED_ANSWER_TIME: Duration = Duration::from_millis(600);
/// Time after the start of a planned shutdown during which requests are accepted even if they
/// may not finish, because clients may not know yet that the node is leaving.
const SHUTDOWN_ACCEPT_WINDOW: Duration = Duration::from_millis(2500);

/// Whether a node that is shutting down accepts a request: it has to be able to finish it,
/// unless the shutdown began so recently that clients may not know of it yet. A request that does
/// not declare its output tokens may take until its deadline.
pub fn finishes_before_stop(
    since_begin: Duration,
    until_end: Duration,
    time_left: Duration,
    output_tokens: Option<u64>,
) -> bool {
    let estimate = output_tokens.map_or(time_left, |tokens| {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        PER_OUTPUT_TOKEN.saturating_mul(tokens).saturating_add(FIXED_ANSWER_TIME)
    });
    since_begin < SHUTDOWN_ACCEPT_WINDOW || estimate.min(time_left) < until_end
}
