//! What nodes tell one another that lend allowances.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::gateway::quota::{QuotaKey, VersionedLimit};

/// A limit as the node that asks knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitParameters {
    /// Amount a second.
    pub per_second: f64,
    /// Amount on top, at once.
    pub burst: f64,
    /// Version of the configuration that it is from.
    pub version: u64,
}

impl From<VersionedLimit> for LimitParameters {
    fn from(limit: VersionedLimit) -> LimitParameters {
        let VersionedLimit { limit, version } = limit;
        LimitParameters { per_second: limit.per_second, burst: limit.burst, version }
    }
}

/// Asks a node to lend.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Rises with each question of a node, so that one that is sent again is known.
    pub number: u64,
    /// The limit.
    pub key: QuotaKey,
    /// Its limit.
    pub limit: LimitParameters,
    /// What the first request that waits costs.
    pub first_cost: f64,
    /// What all that wait cost.
    pub total_cost: f64,
    /// What the node expects to need next.
    pub prefetch: f64,
    /// Whether nodes that come before the one that is asked do not answer.
    pub is_failover: bool,
    /// Whether the node that asks knows too little of the others, so that it asks a seed.
    pub is_bootstrap: bool,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// So many tokens are lent.
    Lent {
        /// The tokens.
        tokens: f64,
        /// The book that they are lent from.
        account_id: u32,
    },
    /// The limit is used up.
    Denied {
        /// Microseconds for which nothing that costs as much can be granted.
        empty_micros: u32,
        /// Milliseconds after which the caller should come back: later than those who were
        /// refused before it.
        retry_after_millis: u32,
    },
    /// Another node lends for this limit.
    Redirect(SocketAddrV4),
    /// The node knows too little of the others to lend.
    NotReady,
    /// The same as denied, by a node that may not be the only one that lends: it holds back a
    /// part of the limit, so that the limit may not be used up.
    DeniedProvisionally {
        /// Microseconds for which nothing that costs as much can be granted.
        empty_micros: u32,
        /// Milliseconds after which tokens are there.
        retry_after_millis: u32,
    },
}

/// A datagram between nodes that lend allowances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LendingMessage {
    /// Asks for tokens.
    Request(TokenRequest),
    /// The answer.
    Response {
        /// The limit.
        key: QuotaKey,
        /// Number of the question.
        number: u64,
        /// What is answered.
        response: TokenResponse,
    },
    /// Gives tokens back that were not used.
    Return {
        /// The limit.
        key: QuotaKey,
        /// Rises with each return of a node.
        number: u64,
        /// The book that they were lent from.
        account_id: u32,
        /// The tokens.
        tokens: f64,
    },
    /// Asks the node that has lent until now for what is left in its book, and to stop.
    TakeOver {
        /// The limit.
        key: QuotaKey,
    },
    /// The answer: what is left, if it has a book.
    HandedOver {
        /// The limit.
        key: QuotaKey,
        /// Tokens that are left.
        remaining: Option<f64>,
    },
    /// Asks a node how it stands: one that is said to be silent, or another seed while the
    /// fleet may be starting.
    Probe {
        /// The limit that it would lend for.
        key: QuotaKey,
    },
    /// The answer.
    ProbeResponse {
        /// The limit.
        key: QuotaKey,
        /// Whether it lends.
        is_lending: bool,
        /// Whether it has watched the others for long enough to know who does.
        is_stable: bool,
    },
}
