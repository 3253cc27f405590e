//! A scenario in which the lender of a small limit is frozen while the tenant stays within the
//! limit.

use cometmoor_core::gateway::quota::QuotaBounds;
use cometmoor_core::gateway::quota::lending::LendingPolicy;

use super::tenants::SimulatedTenant;
use super::{BOUNDS, QuotaWorld, WARM_UP_SECONDS};

/// Number of conforming requests, and how many of them were refused or undecided.
fn conforming_and_refused(world: &QuotaWorld<LendingPolicy>) -> (usize, usize) {
    let outcomes = world.outcomes.iter();
    outcomes.fold((0, 0), |(conforming, refused), outcome| {
        (conforming + outcome.conforming, refused + outcome.conforming_refused)
    })
}

/// Runs the scenario. Returns the number of conforming requests in three seconds, from one second
/// after the lender freezes until it has been frozen for four, and how many of them were refused or
/// undecided.
pub fn refusals_while_lender_frozen(nodes: usize, seed: u64) -> (usize, usize) {
    run(nodes, seed, false)
}

/// The same; with `is_traced`, prints messages and decisions from the freeze on.
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
        let (peak, limit) = (outcome.peak_usage(bounds.window), &tenant.limit.limit);
        assert!(peak <= bounds.max_usage(limit), "usage of {peak} in a window");
    }
    (conforming_later - conforming, refused_later - refused)
}
