//! The fleet's budget of repeated sends to one service.
//!
//! All nodes together may repeat a share of the requests and a fixed number
//! more in any window. Each node spends the share on its own requests and an
//! equal part of the fixed number, reckoned by the most nodes that were seen
//! lately, so that no messages are needed and the sum never exceeds the bound.
//! A node that does not know what its earlier process spent has no part of the
//! fixed number until a whole window has passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Bounds on repeats, over all nodes, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Repeats beyond the ratio in a window, over all nodes.
    pub extra: f64,
}

/// Part of the bound that is used; the rest covers the shifted windows of
/// different nodes.
const USED_PART: f64 = 0.8;

/// Repeats of one service on one node.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    bounds: RetryBounds,
    extra_from: Timestamp,
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl FleetRetryBudget {
    /// A budget on a node that started at `started`. `fresh_fleet` tells that
    /// no process of this node can have spent anything before.
    pub fn new(bounds: RetryBounds, started: Timestamp, fresh_fleet: bool) -> FleetRetryBudget {
        let extra_from = if fresh_fleet { started } else { started + bounds.window };
        FleetRetryBudget { bounds, extra_from, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes the first send of a request.
    pub fn record_request(&mut self, now: Timestamp) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat, if the window allows it among `nodes` nodes.
    pub fn try_retry(&mut self, now: Timestamp, nodes: usize) -> bool {
        self.forget(now);
        if self.repeats.len() as f64 + 1.0 > self.allowed(now, nodes) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats allowed in the window that ends now.
    pub fn allowed(&self, now: Timestamp, nodes: usize) -> f64 {
        let share = self.requests.len() as f64 * self.bounds.ratio;
        let extra =
            if now >= self.extra_from { self.bounds.extra / nodes.max(1) as f64 } else { 0.0 };
        (share + extra) * USED_PART
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) > self.bounds.window) {
                times.pop_front();
            }
        }
    }
}
