//! Interface between the simulation and the quota policies that it runs.

use std::fmt::Debug;
use std::net::SocketAddrV4;

use cometmoor_core::gateway::quota::lending::LendingPolicy;
use cometmoor_core::gateway::quota::{Effects, QuotaBounds, QuotaKey, QuotaPolicy};
use cometmoor_core::time::BootInstant;

use super::equal_shares::EqualSharesPolicy;
use super::summed_usage::{RemoteUsage, SummedUsagePolicy, Usage};

/// A quota policy that the simulation can run.
pub trait SimulatedPolicy: QuotaPolicy<Message: Debug> + Sized {
    /// The policy at a node that has just started. `first_number` is random for each process.
    fn start(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        first_number: u64,
        now: BootInstant,
    ) -> Self;
    /// Size of a message, in bytes.
    fn encoded_len(message: &Self::Message) -> u64;
    /// Whether requests or responses are awaited, so that ticks have to be frequent.
    fn has_waiting(&self) -> bool;
    /// Usage that the node publishes in its heartbeats; empty if the policy does not use it.
    fn local_usage(&self) -> Vec<(QuotaKey, Usage)> {
        Vec::new()
    }
    /// Handles the usage that other nodes have published.
    fn receive_usage(&mut self, _usage: RemoteUsage, _now: BootInstant) {}
    /// The highest-ranked lender for a tenant's limit; None if the policy has no lenders.
    fn lender_of(&mut self, _tenant: QuotaKey) -> Option<SocketAddrV4> {
        None
    }
}

impl SimulatedPolicy for LendingPolicy {
    fn start(
        own: SocketAddrV4,
        seeds: Vec<SocketAddrV4>,
        bounds: QuotaBounds,
        first_number: u64,
        now: BootInstant,
    ) -> Self {
        LendingPolicy::new(own, seeds, bounds, first_number, now)
    }

    fn encoded_len(message: &Self::Message) -> u64 {
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

    fn encoded_len(_: &Self::Message) -> u64 {
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

    fn encoded_len(_: &Self::Message) -> u64 {
        0
    }

    fn has_waiting(&self) -> bool {
        false
    }

    fn local_usage(&self) -> Vec<(QuotaKey, Usage)> {
        SummedUsagePolicy::local_usage(self)
    }

    fn receive_usage(&mut self, usage: RemoteUsage, now: BootInstant) {
        self.receive(
            SocketAddrV4::new([0, 0, 0, 0].into(), 0),
            usage,
            now,
            &mut Effects::default(),
        );
    }
}
