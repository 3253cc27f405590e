//! Limits that all nodes hold together: tenants', and those that servers name.
//!
//! In any window all nodes together may run what a limit allows, a part of that as excess,
//! and a fixed slack. Nodes that are cut off count. Nobody within a limit is refused for it,
//! though a node sees only a few of the requests: equal shares of a limit are
//! less than one request at a hundred nodes.
//!
//! Behind [`QuotaPolicy`] one node lends for each limit ([`lending`]). The other way that was
//! built, sums of what all nodes have used, is kept with the tests that compare the two.

pub mod bucket;
pub mod fleet_view;
pub mod lending;
pub mod server_limit;

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tenants::TenantLimit;
use crate::time::BootInstant;

/// Names a limit in messages between nodes: a hash of its tenant's or server's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QuotaKey(pub(super) u64);

impl QuotaKey {
    /// The key of a tenant's or server's limit.
    pub fn of(name: &str) -> QuotaKey {
        QuotaKey(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

/// Longest time for which a tenant's request waits for tokens of a fallback lender: with the
/// time to find one it stays below the longest wait of a request.
pub const MAX_TENANT_FALLBACK_WAIT: Duration = Duration::from_millis(400);

/// What operators promise of limits, and how long a request may wait for them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of any span in which requests are counted.
    pub window: Duration,
    /// Part of what a limit allows by which it may be exceeded.
    pub excess: f64,
    /// Amount beyond that, in the limit's unit.
    pub slack: f64,
    /// Longest time for which a request waits for tokens of a lender that may not be the only
    /// one, and therefore holds back a part of the limit.
    pub max_fallback_wait: Duration,
}

impl QuotaBounds {
    /// Most that a limit allows in a window.
    fn allowance(&self, limit: &TenantLimit) -> f64 {
        limit.per_second * self.window.as_secs_f64() + limit.burst
    }

    /// Most that all nodes may run in a window.
    pub fn max_usage(&self, limit: &TenantLimit) -> f64 {
        self.allowance(limit) * (1.0 + self.excess) + self.slack
    }

    /// What lies between what a limit allows and what may be run: room for nodes that do not
    /// know of one another.
    pub fn headroom(&self, limit: &TenantLimit) -> f64 {
        self.allowance(limit) * self.excess + self.slack
    }
}

/// A limit as a configuration tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VersionedLimit {
    /// The limit.
    pub limit: TenantLimit,
    /// Version of the configuration.
    pub version: u64,
}

/// Names a request that waits for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What is decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Granted,
    /// It lies beyond the limit; tokens are there after this time.
    Refused(Duration),
    /// Nobody could be asked.
    Undecided,
    /// Another node was asked.
    Pending(Ticket),
}

/// A decision on a request that had to wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The request.
    pub ticket: Ticket,
    /// The decision; never that it is pending.
    pub decision: Decision,
}

/// What a policy does beside deciding: messages to send, and requests that need not wait
/// any longer.
#[derive(Debug)]
pub struct Effects<Message> {
    /// Messages, with the nodes that get them.
    pub messages: Vec<(SocketAddrV4, Message)>,
    /// Requests that are decided now.
    pub settled: Vec<Settled>,
}

impl<Message> Default for Effects<Message> {
    fn default() -> Effects<Message> {
        Effects { messages: Vec::new(), settled: Vec::new() }
    }
}

/// How a node holds limits together with the others.
pub trait QuotaPolicy {
    /// What nodes tell one another.
    type Message;

    /// Decides on a request under a limit that costs so much.
    fn request(
        &mut self,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    ) -> Decision;

    /// Notes that a request which was granted has not run and will not.
    fn refund(
        &mut self,
        key: QuotaKey,
        cost: f64,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    );

    /// Takes a message of another node.
    fn receive(
        &mut self,
        from: SocketAddrV4,
        message: Self::Message,
        now: BootInstant,
        effects: &mut Effects<Self::Message>,
    );

    /// Takes the nodes that are there, this one included while it takes requests.
    fn set_nodes(&mut self, alive: &[SocketAddrV4], now: BootInstant);

    /// Lets time pass; called each 20 ms while requests wait, some times a second otherwise.
    fn tick(&mut self, now: BootInstant, effects: &mut Effects<Self::Message>);
}
