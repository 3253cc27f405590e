//! A tenant within a small limit, while the node that lends for it stands still.

use cometmoor_core::gateway::quota::QuotaBounds;
use cometmoor_core::gateway::quota::lending::LendingPolicy;

use super::tenants::SimulatedTenant;
use super::{BOUNDS, QuotaWorld, WARM_UP_SECONDS};

/// Requests within limits, and those of them that were refused.
fn conforming_and_refused(world: &QuotaWorld<LendingPolicy>) -> (usize, usize) {
    let outcomes = world.outcomes.iter();
    outcomes.fold((0, 0), |(conforming, refused), outcome| {
        (conforming + outcome.conforming, refused + outcome.conforming_refused)
    })
}

/// Requests that a tenant sends within a small limit while its first lender stands still, and
/// those of them that are refused.
pub fn refusals_while_lender_frozen(nodes: usize, seed: u64) -> (usize, usize) {
    run(nodes, seed, false)
}

/// The same; prints what nodes say to one another if it is traced.
pub fn run(nodes: usize, seed: u64, is_traced: bool) -> (usize, usize) {
    let bounds = QuotaBounds { slack: 0.0, ..BOUNDS };
    let tenants = vec![SimulatedTenant::new(0, 200.0, 0.25)];
    let mut world =
        QuotaWorld::<LendingPolicy>::with_bounds(nodes, tenants, seed, bounds, vec![10.0]);
    world.run_until(WARM_UP_SECONDS);
    world.start_traffic();
    world.run_until(WARM_UP_SECONDS + 2);
    let lender = world.lender(0);
    world.is_traced = is_traced;
    world.freeze(lender, 4000);
    world.run_until(WARM_UP_SECONDS + 3);
    let (conforming, refused) = conforming_and_refused(&world);
    world.run_until(WARM_UP_SECONDS + 6);
    let (conforming_later, refused_later) = conforming_and_refused(&world);
    for (tenant, outcome) in world.tenants.iter().zip(&world.outcomes) {
        let (most, limit) = (outcome.peak_usage(bounds.window), &tenant.limit.limit);
        assert!(most <= bounds.max_usage(limit), "{most} in a window");
    }
    (conforming_later - conforming, refused_later - refused)
}
