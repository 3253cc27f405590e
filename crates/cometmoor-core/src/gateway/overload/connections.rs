//! The connections of a listener, and which of them is closed for a new one.

use std::collections::BTreeMap;

use super::memory::STALL_TIMEOUT;
use crate::time::BootInstant;

/// Identifies a connection of a listener. Later connections have higher identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Its request was rejected, and what the client still sends is discarded.
    Closing {
        /// When the response was sent.
        since: BootInstant,
    },
    /// A head is awaited or was received in part, and this is the first request of the connection,
    /// or the head has begun.
    ReceivingHead {
        /// When the connection was opened, or when the first byte of a later head was received.
        since: BootInstant,
    },
    /// It is kept open for the next request.
    Idle {
        /// When the last response was sent.
        since: BootInstant,
    },
    /// A body is being received.
    ReceivingBody {
        /// When bytes of it were last received.
        since: BootInstant,
    },
    /// A request is being served.
    Serving,
}

impl Activity {
    /// Position in the order in which connections yield, and since when; `None` if it does not
    /// yield.
    fn yield_order(self, now: BootInstant) -> Option<(u8, BootInstant)> {
        match self {
            Activity::Closing { since } => Some((0, since)),
            Activity::ReceivingHead { since } => Some((1, since)),
            Activity::Idle { since } => Some((2, since)),
            Activity::ReceivingBody { since } if now.since(since) > STALL_TIMEOUT => {
                Some((3, since))
            }
            Activity::ReceivingBody { .. } | Activity::Serving => None,
        }
    }
}

/// Whether a new connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is room for it.
    Admitted(ConnectionId),
    /// It takes the place of another one, which must be closed.
    Replaces {
        /// The new connection.
        new: ConnectionId,
        /// The one to close, which is no longer counted.
        evicted: ConnectionId,
    },
    /// All others are in use.
    Refused,
}

/// The connections of a listener.
///
/// At the limit, a connection that waits for its client yields to a new one: first those whose
/// request was rejected, then those that have not sent a head, then idle ones, then those inside a
/// body that stalls, and in each case the one that has waited longest. A connection whose request is
/// being served never yields.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: BTreeMap<ConnectionId, Activity>,
    next_id: u64,
}

impl ConnectionTable {
    /// A table for up to `limit` connections.
    pub fn new(limit: usize) -> ConnectionTable {
        ConnectionTable { limit, connections: BTreeMap::new(), next_id: 0 }
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Maximum number of connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Decides on a new connection. `has_memory` is false if the node has none for one more.
    pub fn admit(&mut self, has_memory: bool, now: BootInstant) -> Admission {
        if self.connections.len() < self.limit && has_memory {
            return Admission::Admitted(self.insert(now));
        }
        match self.next_to_yield(now) {
            Some(evicted) => {
                self.connections.remove(&evicted);
                Admission::Replaces { new: self.insert(now), evicted }
            }
            None => Admission::Refused,
        }
    }

    fn insert(&mut self, now: BootInstant) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Activity::ReceivingHead { since: now });
        id
    }

    fn next_to_yield(&self, now: BootInstant) -> Option<ConnectionId> {
        let yielding = self.connections.iter().filter_map(|(id, activity)| {
            activity.yield_order(now).map(|(place, since)| (place, since, *id))
        });
        yielding.min().map(|(_, _, id)| id)
    }

    /// Records what a connection does now. Has no effect on an evicted one.
    pub fn set_activity(&mut self, id: ConnectionId, activity: Activity) {
        if let Some(current) = self.connections.get_mut(&id) {
            *current = activity;
        }
    }

    /// Removes a connection that was closed. Returns false if it had been evicted.
    pub fn remove(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }
}
