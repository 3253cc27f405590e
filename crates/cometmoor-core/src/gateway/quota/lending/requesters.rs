//! Estimates from recent token requests how many nodes request tokens from a lender.
//!
//! When the fleet is partitioned, nodes on the other side stop sending requests at once, but it
//! takes seconds until they are found to be missing. A primary lender that counts the senders soon
//! lends only the smaller part of the limit. A fallback lender learns from the same count how much
//! of the fleet has turned to it.

use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Time for which a request counts.
const REQUEST_MEMORY: Duration = Duration::from_secs(2);
/// Shortest span of requests that an estimate covers.
const MIN_SAMPLE_SPAN: Duration = Duration::from_millis(400);
/// Requests per node after which older ones are not counted.
const SAMPLE_REQUESTS_PER_NODE: f64 = 1.5;
/// Minimum number of requests, and of requests per node, from which a partition can be inferred:
/// two requests from one node are no evidence. An isolated node in a fleet of six sends itself six
/// requests in the span of an estimate, not twelve.
const MIN_REQUESTS: f64 = 6.0;
const MIN_REQUESTS_PER_NODE: f64 = 0.3;
/// Fraction of the nodes below which the fleet counts as partitioned. It is less than one because
/// not all nodes have equally many clients.
const PARTITIONED_BELOW: f64 = 0.85;
/// Standard deviations by which the number of distinct nodes has to lie below the expected one.
const SIGNIFICANT_DEVIATIONS: f64 = 3.0;
/// Time between two estimates.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);
/// Bisection steps of an estimate.
const BISECTION_STEPS: usize = 30;

/// The senders of recent token requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRequesters {
    requests: VecDeque<(BootInstant, SocketAddrV4)>,
    /// The last estimate, and when it was made.
    estimate: Option<(BootInstant, RequesterEstimate)>,
}

/// Estimate of the nodes that send token requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequesterEstimate {
    /// Fraction of the nodes that send token requests.
    pub(super) share: f64,
    /// Whether the fraction is significantly less than the whole fleet.
    pub(super) is_partitioned: bool,
}

impl RecentRequesters {
    /// Records a token request.
    pub(super) fn record(&mut self, from: SocketAddrV4, now: BootInstant) {
        self.requests.push_back((now, from));
        while let Some((at, _)) = self.requests.front()
            && now.since(*at) > REQUEST_MEMORY
        {
            self.requests.pop_front();
        }
    }

    /// Estimates which fraction of `nodes` sends token requests, by the newest ones that suffice.
    /// Estimates are cached for a short time.
    pub(super) fn estimate(&mut self, nodes: usize, now: BootInstant) -> RequesterEstimate {
        let cached = self.estimate.filter(|(at, _)| now.since(*at) < ESTIMATE_INTERVAL);
        if let Some((_, estimate)) = cached {
            return estimate;
        }
        let target = SAMPLE_REQUESTS_PER_NODE * nodes as f64;
        let mut distinct = HashSet::new();
        let mut requests = 0_u32;
        for (at, from) in self.requests.iter().rev() {
            let is_sufficient = f64::from(requests) >= target && now.since(*at) > MIN_SAMPLE_SPAN;
            if is_sufficient || now.since(*at) > REQUEST_MEMORY {
                break;
            }
            distinct.insert(*from);
            requests += 1;
        }
        let estimate = RequesterEstimate::from_counts(
            distinct.len() as f64,
            f64::from(requests),
            nodes as f64,
        );
        self.estimate = Some((now, estimate));
        estimate
    }
}

impl RequesterEstimate {
    /// Estimate from the number of distinct senders, the number of requests, and the size of the
    /// fleet.
    fn from_counts(distinct: f64, requests: f64, nodes: f64) -> RequesterEstimate {
        let share = (estimate_requesters(distinct, requests) / nodes).min(1.0);
        let expected_at_least = expected_distinct(nodes, requests)
            - SIGNIFICANT_DEVIATIONS * distinct_deviation(nodes, requests);
        let is_sufficient = requests >= MIN_REQUESTS.max(MIN_REQUESTS_PER_NODE * nodes);
        RequesterEstimate {
            share,
            is_partitioned: is_sufficient
                && share < PARTITIONED_BELOW
                && distinct < expected_at_least,
        }
    }
}

/// Expected number of distinct senders among so many requests if all nodes send alike.
fn expected_distinct(nodes: f64, requests: f64) -> f64 {
    nodes * (1.0 - (-requests / nodes).exp())
}

/// Standard deviation of that number.
fn distinct_deviation(nodes: f64, requests: f64) -> f64 {
    let per_node = requests / nodes;
    let variance = (-per_node).exp() - (1.0 + per_node) * (-2.0 * per_node).exp();
    (nodes * variance.max(0.0)).sqrt()
}

/// Number of nodes for which the expected number of distinct senders is `distinct`, if all of them
/// send alike. Found by bisection.
fn estimate_requesters(distinct: f64, requests: f64) -> f64 {
    let (mut low, mut high) = (distinct.max(1.0), 1e6);
    for _ in 0..BISECTION_STEPS {
        let middle = (low * high).sqrt();
        if expected_distinct(middle, requests) < distinct {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}
