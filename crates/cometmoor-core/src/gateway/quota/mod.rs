//! Limits that are enforced across all nodes: those of tenants, and those that servers announce.
//!
//! In any window, all nodes together may admit what a limit allows, a fraction of it as excess, and
//! a fixed slack. Usage by partitioned nodes counts. No request within a limit is refused because
//! of it, although each node sees only a few of the requests: with equal shares, a node's share of
//! a limit would be less than one request at a hundred nodes.
//!
//! [`QuotaPolicy`] is implemented by [`lending`]: one node lends tokens for each limit. An
//! alternative, which sums the usage of all nodes, is kept with the tests that compare the two.

pub mod bucket;
pub mod fleet_view;
pub mod lending;
pub mod server_limit;

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tenants::TenantLimit;
use crate::time::BootInstant;

/// Identifies a limit in messages between nodes: a hash of the tenant's or server's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QuotaKey(pub(super) u64);

impl QuotaKey {
    /// The key for the limit of the tenant or server with this name.
    pub fn of(name: &str) -> QuotaKey {
        QuotaKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Longest time for which a tenant's request waits for tokens of a fallback lender. Together with
/// the time to find that lender it stays below the longest wait of a request.
pub const MAX_TENANT_FALLBACK_WAIT: Duration = Duration::from_millis(400);

/// Guaranteed bounds of how far a limit may be exceeded, and how long a request may wait for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window; the bounds hold for every window of this length.
    pub window: Duration,
    /// Fraction of the allowance by which a limit may be exceeded.
    pub excess: f64,
    /// Fixed amount beyond the allowance and its excess, in the limit's unit.
    pub slack: f64,
    /// Longest time for which a request waits for tokens of a fallback lender. Such a lender may
    /// not be the only one and therefore withholds a part of the limit.
    pub max_fallback_wait: Duration,
}

impl QuotaBounds {
    /// Amount that a limit allows in a window: the rate over the window, and the burst.
    fn allowance(&self, limit: &TenantLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Maximum amount that all nodes together may admit in a window.
    pub fn max_usage(&self, limit: &TenantLimit) -> f64 {
        self.allowance(limit) * (1.0 + self.excess) + self.slack
    }

    /// Amount in a window between the allowance of a limit and the maximum usage: room for nodes
    /// that do not know of each other.
    pub fn headroom(&self, limit: &TenantLimit) -> f64 {
        self.allowance(limit) * self.excess + self.slack
    }
}

/// A limit with the version of the configuration that it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionedLimit {
    /// The rate, burst and unit.
    pub limit: TenantLimit,
    /// Version of the configuration; a higher one replaces the limit.
    pub version: u64,
}

/// Identifies a request that waits for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted,
    /// The request exceeds the limit; tokens are available after this time.
    Refused(Duration),
    /// No lender could be reached in time.
    Undecided,
    /// A lender was asked; the decision follows as [`Settled`] with this ticket.
    Pending(Ticket),
}

/// Decision on a request that was pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// The decision; never [`Decision::Pending`].
    pub decision: Decision,
}

/// A node's refusal to lend tokens, with the state of its account that decided it. Amounts are in
/// the limit's unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LenderDenial {
    /// The limit.
    pub key: QuotaKey,
    /// The node that requested the tokens.
    pub to: SocketAddrV4,
    /// In which capacity this node lends.
    pub role: &'static str,
    /// Tokens that are needed for the first request.
    pub cost: f64,
    /// Tokens in the account.
    pub level: f64,
    /// Maximum number of tokens in the account.
    pub capacity: f64,
    /// Tokens a second that the account accrues.
    pub per_second: f64,
}

/// Side effects of a policy call: messages to send, decisions on pending requests, and refusals to
/// log.
#[derive(Debug)]
pub struct Effects<Message> {
    /// Messages with their recipients.
    pub messages: Vec<(SocketAddrV4, Message)>,
    /// Decisions on requests that were pending.
    pub settled: Vec<Settled>,
    /// Refusals of this node to lend.
    pub denials: Vec<LenderDenial>,
}

impl<Message> Default for Effects<Message> {
    fn default() -> Effects<Message> {
        Effects { messages: Vec::new(), settled: Vec::new(), denials: Vec::new() }
    }
}

/// A method of enforcing limits together with the other nodes.
pub trait QuotaPolicy {
    /// Message between nodes.
    type Message;

    /// Decides on a request of the given cost under a limit.
    fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    ) -> Decision;

    /// Takes back the cost of a request that was granted but will not run.
    fn refund(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    );

    /// Handles a message from another node.
    fn receive(
        &mut self,
        from: SocketAddrV4,
        message: Self::Message,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    );

    /// Updates the set of live nodes. It includes this node while this node accepts requests.
    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant);

    /// Handles timeouts. Called every 20 ms while requests wait, and several times a second
    /// otherwise.
    fn tick(&mut self, now: BootInstant, effects: &mut Effects<Self::Message>);
}
