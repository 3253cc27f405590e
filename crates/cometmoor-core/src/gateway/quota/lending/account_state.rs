//! State of a lender's account: it lends, or awaits responses of other nodes before it does.

use std::net::SocketAddrV4;

use super::message::LendingMessage;
use crate::gateway::quota::QuotaKey;
use crate::time::BootInstant;

/// In which capacity a node lends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LenderRole {
    /// The node ranks first in its view of the fleet.
    Primary,
    /// The first-ranked node does not respond. That node may still lend to others.
    Fallback,
    /// The node is a seed, and the fleet is starting.
    Bootstrap,
}

impl LenderRole {
    /// Name for log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            LenderRole::Primary => "primary",
            LenderRole::Fallback => "fallback",
            LenderRole::Bootstrap => "bootstrap",
        }
    }
}

/// State of a lender's account.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum AccountState {
    /// Lends tokens.
    Lending(LenderRole),
    /// Awaits responses of other nodes.
    Awaiting(PendingQuery),
}

/// A query whose responses an account awaits.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingQuery {
    pub(super) query: PeerQuery,
    /// Nodes that have not responded yet.
    pub(super) unanswered: Vec<SocketAddrV4>,
    pub(super) sent_at: BootInstant,
    pub(super) is_resent: bool,
}

/// What other nodes are asked before an account lends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PeerQuery {
    /// What remains in their accounts; holds the lowest amount reported so far.
    Handover(Option<f64>),
    /// Whether a node that ranks above this one lends.
    HigherRankedLends,
    /// Whether another seed has a stable view of the fleet.
    SeedInformed,
}

impl PeerQuery {
    pub(super) fn message(self, key: QuotaKey) -> LendingMessage {
        match self {
            PeerQuery::Handover(_) => LendingMessage::TakeOver { key },
            PeerQuery::HigherRankedLends | PeerQuery::SeedInformed => LendingMessage::Probe { key },
        }
    }
}
