//! Limits of tenants whose callers keep to a few of the nodes.
//!
//! `COMETMOOR_QUOTA_SEEDS` sets the number of seeds.

mod quota_world;
mod world;

use std::net::SocketAddrV4;

use cometmoor_core::gateway::quota::QuotaBounds;
use cometmoor_core::gateway::quota::lending::LendingPolicy;
use quota_world::partitions::{isolate_every_third_node, isolate_zone};
use quota_world::tenants::SimulatedTenant;
use quota_world::{BOUNDS, QuotaWorld, WARM_UP_SECONDS, seed_count};

/// Rate of the limit, in tokens a second.
const PER_SECOND: f64 = 200.0;
/// Cost of a request.
const COST: f64 = 10.0;
/// Fraction of conforming requests that may be refused or undecided.
const MAX_REFUSED_SHARE: f64 = 0.005;

const TENANT_BOUNDS: QuotaBounds = QuotaBounds { slack: 0.0, ..BOUNDS };

/// Nodes that do not lend for the tenant.
fn borrowers(world: &mut QuotaWorld<LendingPolicy>, count: usize) -> Vec<SocketAddrV4> {
    let lender = world.lender(0);
    world.addresses().into_iter().filter(|node| *node != lender).take(count).collect()
}

/// Runs a tenant whose requests arrive at some nodes only, for twelve seconds.
fn run(
    nodes: usize,
    entries: usize,
    demand: f64,
    seed: u64,
    inject_faults: impl Fn(&mut QuotaWorld<LendingPolicy>, u64),
) -> QuotaWorld<LendingPolicy> {
    let tenants = vec![SimulatedTenant::new(0, PER_SECOND, demand)];
    let mut world = QuotaWorld::with_bounds(nodes, tenants, seed, TENANT_BOUNDS, vec![COST]);
    world.run_until(WARM_UP_SECONDS);
    world.entry_nodes = borrowers(&mut world, entries);
    world.start_traffic();
    for second in 0..12 {
        inject_faults(&mut world, second);
        world.run_until(WARM_UP_SECONDS + second + 1);
    }
    world
}

/// The lender took a tenant whose callers all use one node for a partition of the fleet, and lent
/// that node's share of the limit only.
#[test]
fn callers_within_a_limit_are_not_refused_when_they_all_use_one_node() {
    for seed in 1..=seed_count(2) {
        for (nodes, entries) in [(4, 1), (6, 1), (6, 2), (30, 1), (30, 4)] {
            for demand in [0.25, 0.8] {
                let world = run(nodes, entries, demand, seed, |_, _| {});
                let outcome = &world.outcomes[0];
                let (sent, refused) = (outcome.conforming, outcome.conforming_refused);
                assert!(
                    refused as f64 <= MAX_REFUSED_SHARE * sent as f64,
                    "{nodes} nodes, {entries} used, {demand}, seed {seed}: {refused} of {sent}"
                );
            }
        }
    }
}

#[test]
fn limits_hold_when_callers_use_a_few_nodes_and_the_fleet_is_partitioned() {
    type InjectFaults = fn(&mut QuotaWorld<LendingPolicy>, u64);
    let scenarios: [(&str, InjectFaults); 3] = [
        ("no faults", |_, _| {}),
        ("isolated zone", isolate_zone),
        ("isolated nodes", isolate_every_third_node),
    ];
    for seed in 1..=seed_count(2) {
        for (nodes, entries) in [(4, 2), (6, 1), (6, 3), (30, 1), (30, 10)] {
            for (scenario, inject_faults) in scenarios {
                let world = run(nodes, entries, 7.0, seed, inject_faults);
                let limit = &world.tenants[0].limit.limit;
                let peak = world.outcomes[0].peak_usage(TENANT_BOUNDS.window);
                let ratio = peak / TENANT_BOUNDS.max_usage(limit);
                assert!(
                    ratio <= 1.0,
                    "{nodes} nodes, {entries} used, {scenario}, seed {seed}: {ratio:.3}"
                );
            }
        }
    }
}
