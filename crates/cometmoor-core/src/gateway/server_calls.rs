//! Limits on the leader's calls to the servers, which it asks for reports and sends orders.
//!
//! A new leader asks every server for a report, and in a large fleet there are thousands of
//! servers: connecting to all of them at once takes longer than the timeout of a call, and keeping
//! a connection to each takes as many descriptors as the process may have.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use crate::time::Timestamp;

/// Maximum number of calls in progress. Each takes a few milliseconds.
pub const MAX_CONCURRENT_CALLS: usize = 128;
/// Maximum number of servers to which idle connections are kept.
pub const MAX_CONNECTED_SERVERS: usize = 256;
/// Maximum pause between two rounds of the leader, beyond the interval between plans.
const MAX_ROUND_PAUSE: Duration = Duration::from_secs(2);

/// Servers to call now, of those whose call is due, given the number of calls in progress. Servers
/// that have never been called come first, then those whose last call is the oldest.
pub fn next_calls<Id: Ord>(
    mut due: Vec<(Option<Timestamp>, Id)>,
    in_progress: usize,
) -> impl Iterator<Item = Id> {
    due.sort_unstable();
    let free = MAX_CONCURRENT_CALLS.saturating_sub(in_progress);
    due.into_iter().take(free).map(|(_, id)| id)
}

/// Pause after a round of the leader that took some time: the leader's node also forwards requests
/// and sends heartbeats, so rounds take at most half of its time.
pub fn pause_after_round(took: Duration, min: Duration) -> Duration {
    took.clamp(min, MAX_ROUND_PAUSE.max(min))
}

/// The servers to which idle connections are kept: the [`MAX_CONNECTED_SERVERS`] called last.
#[derive(Clone, Debug)]
pub struct ConnectedServers<Id> {
    by_use: BTreeMap<u64, Id>,
    last_use: HashMap<Id, u64>,
    uses: u64,
}

impl<Id> Default for ConnectedServers<Id> {
    fn default() -> ConnectedServers<Id> {
        ConnectedServers { by_use: BTreeMap::new(), last_use: HashMap::new(), uses: 0 }
    }
}

impl<Id: Clone + Eq + Hash> ConnectedServers<Id> {
    /// Records that a call to a server has ended. Returns the server whose idle connections have to
    /// be closed, if there are too many.
    pub fn record_call(&mut self, server: &Id) -> Option<Id> {
        self.uses += 1;
        if let Some(previous) = self.last_use.insert(server.clone(), self.uses) {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.uses, server.clone());
        if self.by_use.len() <= MAX_CONNECTED_SERVERS {
            return None;
        }
        let (_, oldest) = self.by_use.pop_first()?;
        self.last_use.remove(&oldest);
        Some(oldest)
    }

    /// Number of servers to which connections are kept.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }
}
