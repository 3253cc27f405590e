//! Whether a book lends, or waits for other nodes' answers before it does.

use std::net::SocketAddrV4;

use super::message::LendingMessage;
use crate::gateway::quota::QuotaKey;
use crate::time::BootInstant;

/// By what a node lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// It comes first, as it sees the fleet.
    First,
    /// The first one does not answer; it may lend to others, too.
    Fallback,
    /// It is a seed, and the fleet starts.
    Start,
}

/// How a book stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Standing {
    /// Tokens are lent.
    Lends(Role),
    /// Other nodes' answers are awaited.
    Awaits(Awaited),
}

/// Answers that a book waits for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Awaited {
    pub(super) what: Question,
    /// Nodes that have not answered.
    pub(super) from: Vec<SocketAddrV4>,
    pub(super) began: BootInstant,
    pub(super) is_asked_again: bool,
}

/// What other nodes are asked before a book lends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Question {
    /// What is left in their books; the least that was answered.
    Left(Option<f64>),
    /// Whether one that is asked before this node lends.
    OneAheadLends,
    /// Whether another seed knows more than this one.
    SeedKnows,
}

impl Question {
    pub(super) fn message(self, key: QuotaKey) -> LendingMessage {
        match self {
            Question::Left(_) => LendingMessage::TakeOver { key },
            Question::OneAheadLends | Question::SeedKnows => LendingMessage::Probe { key },
        }
    }
}
