//! How old a node lets its copies of the store become, and when it calls the store itself.
//!
//! A copy is as old as the latest answer of the store, to any node, that this node knows of.
//! An open watch that stays silent does not count as an answer: the connection may be dead, or
//! the store may have dropped the watch. Therefore one node, the primary watcher, which is the
//! first by rank, uses short watches that are answered often. The other nodes learn the age of
//! its copies from it, and each of them calls the store itself once that age exceeds a limit
//! that depends on its rank.
//!
//! When a silent watch counted as an answer and the connections of the readers died one after
//! the other, the last of six nodes learned that a server was leaving 3.2 s after the store
//! did. With ages it learned so after 0.8 s (simulated days; the operators' bound was 2 s). This
//! costs 3 more store calls per second for six nodes without faults (431 instead of 290 calls
//! in 44 s), and 26 to 64 % more calls on days with faults.

use std::time::Duration;

/// Wait of the primary watcher's watch, as a fraction of the bound.
const PRIMARY_WATCH_WAIT: f64 = 0.3;
/// Wait of the watch of a node that learns the age of its copy from other nodes.
const SECONDARY_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Maximum time for which a node makes no call before it decides again.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Time by which a watch may exceed its wait before it is given up, as a fraction of the
/// bound.
const WATCH_GRACE: f64 = 0.15;
/// Initial timeout of a call that the store answers without waiting, as a fraction of the
/// bound.
const INITIAL_POLL_TIMEOUT: f64 = 0.15;
/// Maximum timeout of such a call, for a slow store.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay after the first call that the store did not answer.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after such a call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1500);
/// The same as a fraction of the bound, while no other node reports that the store answers it.
const MAX_URGENT_RETRY_DELAY: f64 = 0.2;
/// The primary watcher's watch waits at most the time until the proof has to be refreshed,
/// divided by this, because a proof counts from the start of the call.
const PROOF_WAIT_DIVISOR: u32 = 4;
/// Age, as a fraction of the bound, from which on the first node of a small fleet calls the
/// store: the wait of the primary watcher's watch and a heartbeat.
const SMALL_FLEET_REFRESH_AGE: f64 = 0.375;
/// The same in a large fleet, where ages are relayed by two hubs.
const LARGE_FLEET_REFRESH_AGE: f64 = 0.6;
/// Added for each preceding node, so that one node calls the store at a time and the others
/// learn of its answer.
const REFRESH_AGE_STEP: f64 = 0.04;
/// Maximum number of preceding nodes for which it is added.
const MAX_STEPS_IN_SMALL_FLEET: usize = 8;
/// The same in a large fleet: the nodes after these leave the calls to them.
const MAX_STEPS_IN_LARGE_FLEET: usize = 4;
/// Added in a large fleet for each preceding node beyond that, so that all nodes together make
/// at most a hundred calls per second.
const REFRESH_AGE_LATE_STEP: Duration = Duration::from_millis(10);

/// What a node knows of one of its copies and of its role in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyView {
    /// Whether the node has a copy.
    pub exists: bool,
    /// Whether the copy is from a past era of the store, so that it cannot be brought up to
    /// date by changes.
    pub is_superseded: bool,
    /// Whether this node is one of those that read it from the store.
    pub is_reader: bool,
    /// Number of nodes with a higher rank than this one that the store answers.
    pub preceding_nodes: usize,
    /// Whether all nodes exchange messages directly.
    pub is_small_fleet: bool,
    /// Time since the store last confirmed the copy to any node, as far as this node knows;
    /// `None` if unknown.
    pub age: Option<Duration>,
    /// The same, by the reports of other nodes only.
    pub peer_reported_age: Option<Duration>,
    /// Time left until the copy's proof is so old that the node has to call the store; `None`
    /// if nothing depends on the proof.
    pub time_until_proof_refresh: Option<Duration>,
}

/// What a node does next to keep a copy up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// Watch the store for a change, for at most this time.
    Watch(Duration),
    /// Request changes from the store without waiting for new ones.
    Poll,
    /// Read everything from the store.
    Read,
    /// Make no call for this time, because other nodes read from the store.
    Wait(Duration),
}

/// Limits on the age of copies, derived from the time within which all nodes have to know of a
/// change in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    bound: Duration,
}

impl StalenessLimits {
    /// Creates limits from the bound that operators guarantee: the time from the store's answer
    /// to a change until all nodes act on it.
    pub fn new(bound: Duration) -> StalenessLimits {
        StalenessLimits { bound }
    }

    /// Time for which the primary watcher's watch waits for a change.
    pub fn primary_watch_wait(&self) -> Duration {
        self.bound.mul_f64(PRIMARY_WATCH_WAIT)
    }

    /// Time by which a watch may exceed its wait without an answer.
    pub fn watch_grace(&self) -> Duration {
        self.bound.mul_f64(WATCH_GRACE)
    }

    /// Timeout of a call that the store answers without waiting. It grows with the number of
    /// failed calls before it, because the store may be slow.
    pub fn poll_timeout(&self, failures: u32) -> Duration {
        exponential_backoff(self.bound.mul_f64(INITIAL_POLL_TIMEOUT), failures, MAX_POLL_TIMEOUT)
    }

    /// Delay before the next call after one that the store did not answer, with `failures`
    /// failed calls before that one.
    pub fn retry_delay(&self, failures: u32, view: &CopyView) -> Duration {
        let max = match self.time_until_refresh(view).is_zero() {
            true => self.bound.mul_f64(MAX_URGENT_RETRY_DELAY),
            false => MAX_RETRY_DELAY,
        };
        exponential_backoff(INITIAL_RETRY_DELAY, failures, max)
    }

    /// Age of a copy from which on a node calls the store itself. `preceding_nodes` is the
    /// number of nodes with a higher rank that the store answers.
    pub fn refresh_age(&self, preceding_nodes: usize, is_small_fleet: bool) -> Duration {
        let first = if is_small_fleet { SMALL_FLEET_REFRESH_AGE } else { LARGE_FLEET_REFRESH_AGE };
        let max_steps =
            if is_small_fleet { MAX_STEPS_IN_SMALL_FLEET } else { MAX_STEPS_IN_LARGE_FLEET };
        let fraction = first + REFRESH_AGE_STEP * preceding_nodes.min(max_steps) as f64;
        let early = self.bound.mul_f64(fraction);
        if is_small_fleet {
            return early;
        }
        let late = u32::try_from(preceding_nodes.saturating_sub(max_steps)).unwrap_or(u32::MAX);
        early.saturating_add(REFRESH_AGE_LATE_STEP.saturating_mul(late))
    }

    /// What a node does next to keep a copy up to date. It depends only on what the node knows
    /// itself, so that it does not fail when other nodes are silent.
    pub fn next_call(&self, view: &CopyView) -> NextCall {
        let left = self.time_until_refresh(view);
        if view.exists && !view.is_reader {
            return match left.is_zero() {
                true if view.is_superseded => NextCall::Read,
                true => NextCall::Poll,
                false => NextCall::Wait(left.min(MAX_WAIT)),
            };
        }
        if view.is_superseded {
            return NextCall::Read;
        }
        let refresh_age = self.refresh_age(view.preceding_nodes, view.is_small_fleet);
        let peers_are_silent = view.peer_reported_age.is_none_or(|age| age >= refresh_age);
        match view.preceding_nodes == 0 || peers_are_silent {
            // A pause between a change and the next watch counts towards the wait.
            true => {
                let age = view.age.unwrap_or_default();
                let wait = self.primary_watch_wait().saturating_sub(age);
                let proof_wait =
                    view.time_until_proof_refresh.map(|left| left / PROOF_WAIT_DIVISOR);
                NextCall::Watch(proof_wait.map_or(wait, |longest| wait.min(longest)))
            }
            false => NextCall::Watch(SECONDARY_WATCH_WAIT),
        }
    }

    /// Time for which an open watch may stay silent: until the copy reaches the age at which
    /// the node calls the store.
    pub fn time_until_refresh(&self, view: &CopyView) -> Duration {
        let refresh_age = self.refresh_age(view.preceding_nodes, view.is_small_fleet);
        let left = refresh_age.saturating_sub(view.age.unwrap_or(refresh_age));
        view.time_until_proof_refresh
            .map_or(left, |until_proof_refresh| left.min(until_proof_refresh))
    }
}

/// A duration that doubles with each failure, up to `max`.
pub fn exponential_backoff(initial: Duration, failures: u32, max: Duration) -> Duration {
    initial.saturating_mul(2_u32.saturating_pow(failures)).min(max)
}
