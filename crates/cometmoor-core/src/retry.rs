//! Limits on retries: a retry budget for the node and a circuit breaker for each engine.

use std::time::Duration;

use crate::time::Timestamp;

/// Limits retries to a share of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    max_credit: f64,
    credit: f64,
}

impl RetryBudget {
    /// Each request adds `share` of a retry to the credit, which is limited to `max_credit`
    /// retries. A new budget is full, so that a node with little traffic can retry.
    pub fn new(share: f64, max_credit: f64) -> RetryBudget {
        RetryBudget { share, max_credit, credit: max_credit }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.share).min(self.max_credit);
    }

    /// Spends one retry if the credit allows it; false if not.
    pub fn try_retry(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }
}

/// Number of consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 3;
/// Time until the first probe after the circuit opens. It doubles with each failed probe.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
/// Upper limit on the time between probes.
const MAX_OPEN_TIME: Duration = Duration::from_secs(15);

/// Circuit breaker: stops sending requests to a failing engine, except for single probes.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    times_opened: u32,
    /// When the next probe is allowed; `None` while the circuit is closed.
    probe_after: Option<Timestamp>,
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// Whether a request may be sent at `now`.
    pub fn allows(&self, now: Timestamp) -> bool {
        match self.probe_after {
            None => true,
            Some(probe_after) => now >= probe_after && !self.probe_in_flight,
        }
    }

    /// Records that a request is sent; while the circuit is open it is the probe.
    pub fn record_attempt(&mut self) {
        self.probe_in_flight = self.probe_after.is_some();
    }

    /// Records a response, which closes the circuit.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a failed connection, an incomplete response or a timeout.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        self.probe_in_flight = false;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let open_time = INITIAL_OPEN_TIME.saturating_mul(1 << self.times_opened.min(10));
        self.times_opened += 1;
        self.probe_after = Some(now + open_time.min(MAX_OPEN_TIME));
    }

    /// Records that an attempt ended without saying anything about the engine's health, for example
    /// because the client left. The circuit keeps its state.
    pub fn record_abandoned(&mut self) {
        self.probe_in_flight = false;
    }
}
