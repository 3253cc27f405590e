//! Network partitions for scenarios of limits. They begin in second 2 and end in second 10.

use super::{QuotaWorld, SimulatedPolicy};

/// Isolates one of three zones from the others. Its nodes, a third of all, still reach each other.
pub fn isolate_zone<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    match second {
        2 => world.fleet.isolated_zone = Some(1),
        10 => world.fleet.isolated_zone = None,
        _ => {}
    }
}

/// Isolates every third node from all others.
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
