//! Whether the peer of a TCP connection that holds up its sender is alive.

use std::time::Duration;

/// Time without an acknowledgement after which a peer counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Number of unanswered probes of a closed window that show that the peer is silent, and not only
/// that the next probe is due later.
const MIN_UNANSWERED_PROBES: u32 = 2;

/// What the kernel tells of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransportState {
    /// Bytes that were written and not sent.
    pub unsent_bytes: u32,
    /// Segments that were sent and not acknowledged.
    pub in_flight: u32,
    /// Consecutive probes of a closed window that were not answered.
    pub unanswered_probes: u32,
    /// Time since the last acknowledgement was received.
    pub since_acknowledgement: Duration,
}

/// State of a peer, as far as its acknowledgements tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It takes what is sent, or has yet to acknowledge it.
    Receiving,
    /// It has acknowledged everything and has no room for more.
    WithoutRoom,
    /// It has no room for more, and does not answer probes.
    Silent,
}

impl TransportState {
    /// State of the peer.
    pub fn peer(&self) -> PeerState {
        if self.unsent_bytes == 0 || self.in_flight > 0 {
            return PeerState::Receiving;
        }
        let is_silent = self.unanswered_probes >= MIN_UNANSWERED_PROBES
            && self.since_acknowledgement >= SILENCE_TIMEOUT;
        if is_silent { PeerState::Silent } else { PeerState::WithoutRoom }
    }
}
