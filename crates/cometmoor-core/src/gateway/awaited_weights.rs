//! Reports from nodes to the leader on weights that requests wait for.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use crate::time::Timestamp;

/// Time after which a wait that continues is reported again, in case the report or the answer was
/// lost.
const REPORT_REPEAT_INTERVAL: Duration = Duration::from_millis(60);
/// Time for which a report counts: requests may have given up without another report.
const REPORT_LIFETIME: Duration = Duration::from_millis(300);
/// Maximum number of weights in a report, so that it fits into one small datagram.
const MAX_REPORTED: usize = 64;

/// Weights, and how long requests have waited for them.
pub type Wait<Key> = (Key, Duration);

/// Decides when a node reports the weights that its requests wait for.
#[derive(Clone, Debug)]
pub struct WaitReports<Key> {
    reported: HashMap<Key, Timestamp>,
}

impl<Key> Default for WaitReports<Key> {
    fn default() -> WaitReports<Key> {
        WaitReports { reported: HashMap::new() }
    }
}

impl<Key: Copy + Eq + Hash> WaitReports<Key> {
    /// The waits to report now, given all current ones, which are recorded as reported. The
    /// longest waits come first.
    pub fn due(&mut self, mut waits: Vec<Wait<Key>>, now: Timestamp) -> Vec<Wait<Key>> {
        self.reported.retain(|_, at| now.since(*at) < REPORT_REPEAT_INTERVAL);
        waits.retain(|(key, _)| !self.reported.contains_key(key));
        waits.sort_by_key(|(_, waited)| std::cmp::Reverse(*waited));
        waits.truncate(MAX_REPORTED);
        self.reported.extend(waits.iter().map(|(key, _)| (*key, now)));
        waits
    }
}

/// Weights that the nodes of a fleet wait for, as known to the leader.
#[derive(Clone, Debug)]
pub struct AwaitedWeights<Node, Key> {
    awaited: HashMap<Key, Awaited<Node>>,
}

#[derive(Clone, Debug)]
struct Awaited<Node> {
    /// When the longest of the reported waits began.
    first_wait: Timestamp,
    /// Nodes, and when each last reported to wait.
    nodes: BTreeMap<Node, Timestamp>,
}

impl<Node, Key> Default for AwaitedWeights<Node, Key> {
    fn default() -> AwaitedWeights<Node, Key> {
        AwaitedWeights { awaited: HashMap::new() }
    }
}

impl<Node: Copy + Ord, Key: Copy + Eq + Hash> AwaitedWeights<Node, Key> {
    /// Records that requests of a node have waited for weights. Returns whether no node was known to
    /// wait for them.
    pub fn record(&mut self, node: Node, (key, waited): Wait<Key>, now: Timestamp) -> bool {
        let is_new = !self.awaited.contains_key(&key);
        let waited = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        let since = Timestamp(now.0.saturating_sub(waited));
        let new = Awaited { first_wait: since, nodes: BTreeMap::new() };
        let awaited = self.awaited.entry(key).or_insert(new);
        awaited.first_wait = awaited.first_wait.min(since);
        awaited.nodes.insert(node, now);
        is_new
    }

    /// Drops reports that no longer count.
    pub fn expire(&mut self, now: Timestamp) {
        self.awaited.retain(|_, awaited| {
            awaited.nodes.retain(|_, at| now.since(*at) < REPORT_LIFETIME);
            !awaited.nodes.is_empty()
        });
    }

    /// All awaited weights with the time of the longest wait.
    pub fn waits(&self, now: Timestamp) -> impl Iterator<Item = Wait<Key>> {
        self.awaited.iter().map(move |(key, awaited)| (*key, now.since(awaited.first_wait)))
    }

    /// Ends the waits for weights, which are now loaded. Returns the nodes that waited and the time
    /// of the longest wait; `None` if no node did.
    pub fn end(&mut self, key: Key, now: Timestamp) -> Option<(Vec<Node>, Duration)> {
        let ended = self.awaited.remove(&key)?;
        Some((ended.nodes.into_keys().collect(), now.since(ended.first_wait)))
    }
}
