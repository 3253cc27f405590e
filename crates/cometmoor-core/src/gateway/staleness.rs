//! How old a node lets its copies of the store become, and when it asks the
//! store itself.
//!
//! A copy is as old as the last answer that the store gave to anybody and that
//! this node knows of. That nothing was heard on an open watch is no answer: the
//! connection may have gone silent, or the store may have turned the node away.
//! So one node, the first by rank, has its watch answered often, the others hear
//! from it how old its copies are, and each asks the store itself when that age
//! grows beyond what its place allows.
//!
//! Where readers went silent one after the other, the last of six nodes knew of a
//! leaving server 3.2 s after the store when silence counted as an answer, and
//! 0.8 s after it by age (played days; the operators' bound was 2 s). It costs
//! 3 calls to the store a second on a calm day of six nodes (290 to 431 in 44 s),
//! and 0.26 to 0.64 as many again on days with troubles.

use std::time::Duration;

/// Part of the bound for which the watch of the node on duty waits.
const DUTY_WAIT: f64 = 0.3;
/// Time for which the watch of a node waits that hears from others how old its
/// copy is.
const LONG_WAIT: Duration = Duration::from_secs(10);
/// Longest time that a node leaves the store alone before it decides again.
const LONGEST_REST: Duration = Duration::from_millis(250);
/// Part of the bound for which a watch may be overdue before it is given up.
const WATCH_SLACK: f64 = 0.15;
/// Part of the bound for which a call may take that the store answers at once.
const FIRST_POLL: f64 = 0.15;
/// Longest time for such a call, where the store is slow.
const LONGEST_POLL: Duration = Duration::from_millis(1200);
/// First pause after a call that the store did not answer.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);
/// The same as a part of the bound, while nobody tells that the store answers
/// others.
const LONGEST_URGENT_PAUSE: f64 = 0.2;
/// Part of the time until a proof is too old for which the watch of the node on duty
/// waits: a proof counts from the begin of the call.
const PROOF_WAIT_PART: u32 = 4;
/// Part of the bound that a copy's age may reach on the first node of a small
/// fleet: the wait of the watch on duty, and a heartbeat.
const SMALL_FLEET_PATIENCE: f64 = 0.375;
/// The same in a large fleet, where the age comes through two hubs.
const LARGE_FLEET_PATIENCE: f64 = 0.6;
/// What is added for each place behind the first, so that one node asks at a
/// time and the others hear of its answer.
const PATIENCE_FOR_PLACE: f64 = 0.04;
/// Places for which it is added.
const PLACES_APART: usize = 8;
/// Places of a large fleet that ask soon; the others leave it to them.
const SOON_IN_LARGE_FLEET: usize = 4;
/// What is added in a large fleet for each place behind those: all nodes together
/// make a hundred calls a second at the most.
const PATIENCE_FOR_LATE_PLACE: Duration = Duration::from_millis(10);

/// What a node knows of one of its copies, and of its part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyView {
    /// Whether there is a copy.
    pub exists: bool,
    /// Whether it is of an era of the store that is over, so that changes cannot lead on
    /// from it.
    pub is_superseded: bool,
    /// Whether this node is among those that read it from the store.
    pub is_reader: bool,
    /// Number of nodes ahead of this one by rank whom the store answers.
    pub preceding_nodes: usize,
    /// Whether all nodes hear one another.
    pub is_small_fleet: bool,
    /// Time since the store last confirmed the copy to anybody, as far as this
    /// node knows; none where that is not known.
    pub age: Option<Duration>,
    /// The same by what other nodes told alone.
    pub peer_reported_age: Option<Duration>,
    /// Time left until the copy's proof is so old that the store is to be asked; none
    /// where nothing depends on it.
    pub time_until_proof_refresh: Option<Duration>,
}

/// What a node does next about a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// Wait at the store for a change, for so long at the most.
    Watch(Duration),
    /// Ask the store for changes without waiting.
    Poll,
    /// Read everything from the store.
    Read,
    /// Leave the store alone for so long: others read it.
    Wait(Duration),
}

/// The limits that follow from the time within which nodes have to know what the
/// store has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    bound: Duration,
}

impl StalenessLimits {
    /// The limits for a bound that operators promise: the time from the store's
    /// answer to a change until all nodes act by it.
    pub fn new(bound: Duration) -> StalenessLimits {
        StalenessLimits { bound }
    }

    /// Time for which the watch of the node on duty waits for a change.
    pub fn primary_watch_wait(&self) -> Duration {
        self.bound.mul_f64(DUTY_WAIT)
    }

    /// Time beyond its wait for which a watch may be without an answer.
    pub fn watch_grace(&self) -> Duration {
        self.bound.mul_f64(WATCH_SLACK)
    }

    /// Time for a call that the store answers at once, after so many tries that it
    /// did not answer: it may be slow.
    pub fn poll_timeout(&self, failures: u32) -> Duration {
        exponential_backoff(self.bound.mul_f64(FIRST_POLL), failures, LONGEST_POLL)
    }

    /// Pause before the store is asked again after it has not answered, for the
    /// first time or after other failures.
    pub fn retry_delay(&self, failures: u32, view: &CopyView) -> Duration {
        let longest = match self.time_until_refresh(view).is_zero() {
            true => self.bound.mul_f64(LONGEST_URGENT_PAUSE),
            false => LONGEST_PAUSE,
        };
        exponential_backoff(FIRST_PAUSE, failures, longest)
    }

    /// Age of a copy from which on a node asks the store itself. `preceding_nodes` is the
    /// number of nodes ahead of it by rank whom the store answers.
    pub fn refresh_age(&self, preceding_nodes: usize, is_small_fleet: bool) -> Duration {
        let first = if is_small_fleet { SMALL_FLEET_PATIENCE } else { LARGE_FLEET_PATIENCE };
        let apart = if is_small_fleet { PLACES_APART } else { SOON_IN_LARGE_FLEET };
        let parts = first + PATIENCE_FOR_PLACE * preceding_nodes.min(apart) as f64;
        let soon = self.bound.mul_f64(parts);
        if is_small_fleet {
            return soon;
        }
        let late = u32::try_from(preceding_nodes.saturating_sub(apart)).unwrap_or(u32::MAX);
        soon.saturating_add(PATIENCE_FOR_LATE_PLACE.saturating_mul(late))
    }

    /// What a node does next about a copy. It depends on nothing but what the
    /// node knows, so that it holds whoever else is silent.
    pub fn next_call(&self, view: &CopyView) -> NextCall {
        let left = self.time_until_refresh(view);
        if view.exists && !view.is_reader {
            return match left.is_zero() {
                true if view.is_superseded => NextCall::Read,
                true => NextCall::Poll,
                false => NextCall::Wait(left.min(LONGEST_REST)),
            };
        }
        if view.is_superseded {
            return NextCall::Read;
        }
        let patience = self.refresh_age(view.preceding_nodes, view.is_small_fleet);
        let others_are_silent = view.peer_reported_age.is_none_or(|age| age >= patience);
        match view.preceding_nodes == 0 || others_are_silent {
            // The pause after changes is a part of the wait.
            true => {
                let age = view.age.unwrap_or_default();
                let wait = self.primary_watch_wait().saturating_sub(age);
                let for_proof = view.time_until_proof_refresh.map(|left| left / PROOF_WAIT_PART);
                NextCall::Watch(for_proof.map_or(wait, |longest| wait.min(longest)))
            }
            false => NextCall::Watch(LONG_WAIT),
        }
    }

    /// Time for which an open watch may go on saying nothing: until the copy is
    /// older than the node lets it become.
    pub fn time_until_refresh(&self, view: &CopyView) -> Duration {
        let patience = self.refresh_age(view.preceding_nodes, view.is_small_fleet);
        let left = patience.saturating_sub(view.age.unwrap_or(patience));
        view.time_until_proof_refresh.map_or(left, |for_proof| left.min(for_proof))
    }
}

/// A time that doubles with each failure, up to the longest.
pub fn exponential_backoff(first: Duration, failures: u32, longest: Duration) -> Duration {
    first.saturating_mul(2_u32.saturating_pow(failures)).min(longest)
}
