//! How old a node lets its copies of the store become, and when it asks the
//! store itself.
//!
//! A copy is as old as the last answer that the store gave to anybody and that
//! this node knows of. That nothing was heard on an open watch is no answer: the
//! connection may have gone silent, or the store may have turned the node away.
//! So one node, the first by rank, has its watch answered often, the others hear
//! from it how old its copies are, and each asks the store itself when that age
//! grows beyond what its place allows.

use std::time::Duration;

/// Part of the bound for which the watch of the node on duty waits.
const DUTY_WAIT: f64 = 0.3;
/// Part of the bound for which a watch may be overdue before it is given up.
const WATCH_SLACK: f64 = 0.15;
/// Part of the bound for which a call may take that the store answers at once.
const FIRST_POLL: f64 = 0.15;
/// Longest pause between two calls that the store does not answer, as a part of
/// the bound, while nobody tells that it answers others.
const LONGEST_RETRY_PAUSE: f64 = 0.2;
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
/// Part of the bound up to which a copy is taken to be the store's state.
const CURRENT_FOR: f64 = 1.5;

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
    pub fn duty_wait(&self) -> Duration {
        self.bound.mul_f64(DUTY_WAIT)
    }

    /// Time beyond its wait for which a watch may be without an answer.
    pub fn watch_slack(&self) -> Duration {
        self.bound.mul_f64(WATCH_SLACK)
    }

    /// Time for the first try of a call that the store answers at once.
    pub fn first_poll(&self) -> Duration {
        self.bound.mul_f64(FIRST_POLL)
    }

    /// Longest pause before the store is asked again that has not answered, while
    /// the copy is older than it should be.
    pub fn longest_retry_pause(&self) -> Duration {
        self.bound.mul_f64(LONGEST_RETRY_PAUSE)
    }

    /// Age of a copy from which on a node asks the store itself. `place` is the
    /// number of nodes ahead of it by rank whom the store answers.
    pub fn patience(&self, place: usize, is_small_fleet: bool) -> Duration {
        let first = if is_small_fleet { SMALL_FLEET_PATIENCE } else { LARGE_FLEET_PATIENCE };
        let apart = if is_small_fleet { PLACES_APART } else { SOON_IN_LARGE_FLEET };
        let parts = first + PATIENCE_FOR_PLACE * place.min(apart) as f64;
        let soon = self.bound.mul_f64(parts);
        if is_small_fleet {
            return soon;
        }
        let late = u32::try_from(place.saturating_sub(apart)).unwrap_or(u32::MAX);
        soon.saturating_add(PATIENCE_FOR_LATE_PLACE.saturating_mul(late))
    }

    /// Age up to which a copy is taken to be the store's state: what it lacks is
    /// taken not to exist.
    pub fn current_for(&self) -> Duration {
        self.bound.mul_f64(CURRENT_FOR)
    }
}
