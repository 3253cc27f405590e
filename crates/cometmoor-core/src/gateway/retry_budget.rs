//! The fleet's retry budget for one service.
//!
//! In any window all nodes together may retry a share of the requests, plus a fixed number.
//! Each node spends the share on its own requests, and an equal part of the fixed number,
//! divided by the largest number of nodes seen recently. Nodes therefore need no messages to
//! agree, and their sum stays within the limit. A node that does not know what its previous
//! process spent gets no part of the fixed number until a full window has passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Limits on retries for each service, over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries per window in addition to the ratio, over all nodes.
    pub extra: f64,
}

/// Fraction of the limit that nodes use. The rest covers that the windows of different nodes
/// are shifted against each other.
const USED_FRACTION: f64 = 0.8;

/// Retry budget of one service on one node.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    bounds: RetryBounds,
    extra_from: Timestamp,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl FleetRetryBudget {
    /// A budget on a node whose process started at `started`. `fresh_fleet` says that no
    /// earlier process of this node can have spent any retries.
    pub fn new(bounds: RetryBounds, started: Timestamp, fresh_fleet: bool) -> FleetRetryBudget {
        let extra_from = if fresh_fleet { started } else { started + bounds.window };
        FleetRetryBudget { bounds, extra_from, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Spends one retry if the window allows it, in a fleet of `nodes` nodes; false if not.
    pub fn try_retry(&mut self, now: Timestamp, nodes: usize) -> bool {
        self.remove_expired(now);
        if self.retries.len() as f64 + 1.0 > self.allowed(now, nodes) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Retries that this node may spend in the window that ends at `now`.
    pub fn allowed(&self, now: Timestamp, nodes: usize) -> f64 {
        let share = self.requests.len() as f64 * self.bounds.ratio;
        let extra =
            if now >= self.extra_from { self.bounds.extra / nodes.max(1) as f64 } else { 0.0 };
        (share + extra) * USED_FRACTION
    }

    fn remove_expired(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) > self.bounds.window) {
                times.pop_front();
            }
        }
    }
}
