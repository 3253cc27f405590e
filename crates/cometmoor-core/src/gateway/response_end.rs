//! Whether the end of a connection is the end of the response that was read from it.
//!
//! A response without a length ends when the server closes the connection. The connections of a
//! process that is killed are closed in the same way, so that only the state of the process
//! distinguishes a response which was cut short from a complete one.

use std::time::Duration;

use crate::time::BootInstant;

/// How a server leaves, as far as it is known when a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It does not.
    None,
    /// It has announced that it leaves: it completes its responses and then ends.
    Announced {
        /// When this became known.
        since: BootInstant,
    },
    /// It has announced that it is stopped soon, whatever it is doing.
    ShortNotice,
    /// It has left the registry without an announcement.
    Unannounced,
}

/// Result of the look whether the process that was asked still runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// A connection to it is open.
    Open,
    /// Its address refuses connections.
    Refused,
    /// There was no answer.
    NoAnswer,
}

/// What is known of a server when it has closed the connection of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerFacts {
    /// How it leaves.
    pub departure: Departure,
    /// Whether its process was seen to have ended, or another one has its address.
    pub is_gone: bool,
    /// Time for which a server that leaves goes on serving.
    pub drain_time: Duration,
}

impl ServerFacts {
    /// Whether the server has completed the response. Where this is not proven, it is cut short.
    ///
    /// A server that leaves as announced may end as soon as its last response is complete, but not
    /// before the drain time is over: if its address refuses connections earlier, it was killed.
    pub fn has_completed_response(&self, probe: Probe, now: BootInstant) -> bool {
        match (self.departure, probe) {
            _ if self.is_gone => false,
            (_, Probe::Open) => true,
            (Departure::Announced { since }, _) => now.since(since) >= self.drain_time,
            (_, Probe::Refused | Probe::NoAnswer) => false,
        }
    }
}
