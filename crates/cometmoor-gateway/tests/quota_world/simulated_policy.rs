//! The ways to hold limits, as the world runs them.

use std::fmt::Debug;
use std::net::SocketAddrV4;

use cometmoor_core::gateway::quota::lending::LendingPolicy;
use cometmoor_core::gateway::quota::{Effects, QuotaBounds, QuotaKey, QuotaPolicy};
use cometmoor_core::time::BootInstant;

use super::equal_shares::EqualSharesPolicy;
use super::summed_usage::{RemoteUsage, SummedUsagePolicy, Usage};

/// A way to hold limits, as the world runs it.
pub trait SimulatedPolicy: QuotaPolicy<Message: Debug> + Sized {
    /// A node that has just started.
    fn start(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        number: u64,
        now: BootInstant,
    ) -> Self;
    /// Bytes of a message.
    fn bytes(message: &Self::Message) -> u64;
    /// Whether requests wait.
    fn has_waiting(&self) -> bool;
    /// What a node tells of its use by its heartbeat, where it does.
    fn used(&self) -> Vec<(QuotaKey, Usage)> {
        Vec::new()
    }
    /// Takes what it hears of the use of others.
    fn hear(&mut self, _used: RemoteUsage, _now: BootInstant) {}
    /// The node that is asked first for a tenant, where one is.
    fn lender_of(&mut self, _tenant: QuotaKey) -> Option<SocketAddrV4> {
        None
    }
}

impl SimulatedPolicy for LendingPolicy {
    fn start(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        number: u64,
        now: BootInstant,
    ) -> Self {
        LendingPolicy::new(own, seeds, bounds, number, now)
    }

    fn bytes(message: &Self::Message) -> u64 {
        postcard::to_stdvec(message).unwrap().len() as u64
    }

    fn has_waiting(&self) -> bool {
        LendingPolicy::has_waiting(self)
    }

    fn lender_of(&mut self, tenant: QuotaKey) -> Option<SocketAddrV4> {
        LendingPolicy::lender_of(self, tenant)
    }
}

impl SimulatedPolicy for EqualSharesPolicy {
    fn start(
        own: SocketAddrV4,
        _: Vec<SocketAddrV4>,
        _: QuotaBounds,
        _: u64,
        now: BootInstant,
    ) -> Self {
        EqualSharesPolicy::new(own, now)
    }

    fn bytes(_: &Self::Message) -> u64 {
        0
    }

    fn has_waiting(&self) -> bool {
        false
    }
}

impl SimulatedPolicy for SummedUsagePolicy {
    fn start(
        own: SocketAddrV4,
        _: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        _: u64,
        now: BootInstant,
    ) -> Self {
        SummedUsagePolicy::new(own, bounds, now)
    }

    fn bytes(_: &Self::Message) -> u64 {
        0
    }

    fn has_waiting(&self) -> bool {
        false
    }

    fn used(&self) -> Vec<(QuotaKey, Usage)> {
        SummedUsagePolicy::used(self)
    }

    fn hear(&mut self, used: RemoteUsage, now: BootInstant) {
        self.receive(SocketAddrV4::new([0, 0, 0, 0].into(), 0), used, now, &mut Effects::default());
    }
}
