//! Messages between borrowers and lenders.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::gateway::quota::{QuotaKey, VersionedLimit};

/// A limit as the borrower knows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitParameters {
    /// Rate in units a second.
    pub per_second: f64,
    /// Amount that may be used at once beyond the rate.
    pub burst: f64,
    /// Version of the configuration that the limit comes from.
    pub version: u64,
}

impl From<VersionedLimit> for LimitParameters {
    fn from(limit: VersionedLimit) -> LimitParameters {
        let VersionedLimit { limit, version } = limit;
        LimitParameters { per_second: limit.per_second, burst: limit.burst, version }
    }
}

/// A borrower's request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Increases with each request of a node and identifies one that is sent again.
    pub number: u64,
    /// Key of the limit.
    pub key: QuotaKey,
    /// Rate, burst and version of the limit.
    pub limit: LimitParameters,
    /// Missing tokens for the first waiting request.
    pub first_cost: f64,
    /// Missing tokens for all waiting requests.
    pub total_cost: f64,
    /// Tokens that the node expects to need next.
    pub prefetch: f64,
    /// Whether lenders that rank above the recipient do not respond.
    pub is_failover: bool,
    /// Whether the borrower has no stable view of the fleet and therefore asks a seed.
    pub is_bootstrap: bool,
}

/// A lender's response to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TokenResponse {
    /// Tokens were lent.
    Lent {
        /// Number of tokens.
        tokens: f64,
        /// Account that they were lent from.
        account_id: u32,
    },
    /// The limit is exhausted.
    Denied {
        /// Microseconds for which no request of the same cost can be granted.
        empty_micros: u32,
        /// Milliseconds after which to retry, spaced out from the retries of requests that were
        /// denied before.
        retry_after_millis: u32,
    },
    /// Another node lends for this limit.
    Redirect(SocketAddrV4),
    /// The recipient has no stable view of the fleet and does not lend.
    NotReady,
    /// Denied by a lender that may not be the only one. It withholds a part of the limit, so the
    /// limit itself may not be exhausted.
    DeniedProvisionally {
        /// Microseconds for which no request of the same cost can be granted.
        empty_micros: u32,
        /// Milliseconds after which tokens are available.
        retry_after_millis: u32,
    },
}

impl TokenResponse {
    /// Whether the lender has no tokens for the request now.
    pub(super) fn is_denial(&self) -> bool {
        matches!(self, TokenResponse::Denied { .. } | TokenResponse::DeniedProvisionally { .. })
    }
}

/// A datagram between borrowers and lenders, or between lenders.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum LendingMessage {
    /// Requests tokens.
    Request(TokenRequest),
    /// Answers a token request.
    Response {
        /// Key of the limit.
        key: QuotaKey,
        /// Number of the request.
        number: u64,
        /// The lender's response.
        response: TokenResponse,
    },
    /// Returns tokens that were not used.
    Return {
        /// Key of the limit.
        key: QuotaKey,
        /// Increases with each return of a node, so that duplicates are ignored.
        number: u64,
        /// Account that the tokens were lent from.
        account_id: u32,
        /// Number of tokens.
        tokens: f64,
    },
    /// Asks the previous lender to stop lending and to report what remains in its account.
    TakeOver {
        /// Key of the limit.
        key: QuotaKey,
    },
    /// Answers a takeover.
    HandedOver {
        /// Key of the limit.
        key: QuotaKey,
        /// Tokens that remain; None if the node has no lending account.
        remaining: Option<f64>,
    },
    /// Asks a node for its status: a lender that is reported not to respond, another seed while the
    /// fleet may be starting, or a node whose reachability is sampled.
    Probe {
        /// Key of the limit that the node would lend for.
        key: QuotaKey,
    },
    /// Answers a probe.
    ProbeResponse {
        /// Key of the limit.
        key: QuotaKey,
        /// Whether the node lends for the limit, or would because it ranks first.
        is_lending: bool,
        /// Whether the node has observed the fleet for long enough to know the lender.
        is_stable: bool,
    },
}
