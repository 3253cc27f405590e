//! The order of nodes that wait until a fallback lender has tokens for them.
//!
//! A node that was told when to retry keeps its place until then, so that the tokens do not go to
//! whichever node happens to send a request first.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Time after the retry time for which a node keeps its place. It covers a tick of that node, and
/// the loss and retransmission of datagrams.
const ENTRY_GRACE: Duration = Duration::from_millis(130);

#[derive(Clone, Copy, Debug)]
struct QueueEntry {
    node: SocketAddrV4,
    cost: f64,
    expires: BootInstant,
}

/// Waiting nodes in the order of their first denial.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    entries: VecDeque<QueueEntry>,
}

impl WaitQueue {
    /// Tokens reserved for the nodes ahead of this one. Drops expired entries.
    pub(super) fn cost_ahead_of(&mut self, node: SocketAddrV4, now: BootInstant) -> f64 {
        self.entries.retain(|entry| now < entry.expires);
        let ahead = self.entries.iter().take_while(|entry| entry.node != node);
        ahead.map(|entry| entry.cost).sum()
    }

    /// Keeps a node's place or appends it to the queue, until shortly after its retry time.
    pub(super) fn keep_or_append(&mut self, node: SocketAddrV4, cost: f64, retry_at: BootInstant) {
        let expires = retry_at + ENTRY_GRACE;
        match self.entries.iter_mut().find(|entry| entry.node == node) {
            Some(entry) => *entry = QueueEntry { node, cost, expires },
            None => self.entries.push_back(QueueEntry { node, cost, expires }),
        }
    }

    /// Removes a node that has received its tokens or does not wait for them.
    pub(super) fn remove(&mut self, node: SocketAddrV4) {
        self.entries.retain(|entry| entry.node != node);
    }

    /// Removes all nodes.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}
