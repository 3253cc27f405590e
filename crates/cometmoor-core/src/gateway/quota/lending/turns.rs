//! The order of requests that wait until a lender has earned tokens for them.
//!
//! A node that was told when to ask again has a turn until then, so that the tokens do not go
//! to whoever happens to ask first.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::time::BootInstant;

/// Time after which a node that has not asked again loses its turn: its tick and datagrams
/// that are lost and sent again.
const KEPT_FOR: Duration = Duration::from_millis(130);

#[derive(Clone, Copy, Debug)]
struct Turn {
    node: SocketAddrV4,
    cost: f64,
    until: BootInstant,
}

/// Who waits, in order.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    turns: VecDeque<Turn>,
}

impl Turns {
    /// Tokens that go to others before this node's.
    pub(super) fn ahead_of(&mut self, node: SocketAddrV4, now: BootInstant) -> f64 {
        self.turns.retain(|turn| now < turn.until);
        let ahead = self.turns.iter().take_while(|turn| turn.node != node);
        ahead.map(|turn| turn.cost).sum()
    }

    /// Keeps a node's turn, or gives it the last one, until a moment after it asks again.
    pub(super) fn keep(&mut self, node: SocketAddrV4, cost: f64, asks_again: BootInstant) {
        let until = asks_again + KEPT_FOR;
        match self.turns.iter_mut().find(|turn| turn.node == node) {
            Some(turn) => *turn = Turn { node, cost, until },
            None => self.turns.push_back(Turn { node, cost, until }),
        }
    }

    /// Ends a node's turn: it has its tokens, or does not wait for them.
    pub(super) fn end(&mut self, node: SocketAddrV4) {
        self.turns.retain(|turn| turn.node != node);
    }

    /// Ends all turns.
    pub(super) fn clear(&mut self) {
        self.turns.clear();
    }
}
