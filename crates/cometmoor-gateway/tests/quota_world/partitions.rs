//! Cuts that plays of limits share: they begin at the second second and end at the tenth.

use super::{QuotaWorld, SimulatedPolicy};

/// Cuts a third of the nodes off, one zone from the others.
pub fn isolate_zone<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    match second {
        2 => world.fleet.isolated_zone = Some(1),
        10 => world.fleet.isolated_zone = None,
        _ => {}
    }
}

/// Cuts a third of the nodes off, each for itself.
pub fn isolate_every_third_node<Policy: SimulatedPolicy>(
    world: &mut QuotaWorld<Policy>,
    second: u64,
) {
    match second {
        2 => world.isolated_nodes = world.addresses().into_iter().step_by(3).collect(),
        10 => world.isolated_nodes.clear(),
        _ => {}
    }
}
