//! Cuts that plays of limits share: they begin at the second second and end at the tenth.

use super::{QuotaWorld, SimulatedPolicy};

/// Cuts a third of the nodes off, one zone from the others.
pub fn cut_a_third<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    match second {
        2 => world.world.isolated_zone = Some(1),
        10 => world.world.isolated_zone = None,
        _ => {}
    }
}

/// Cuts a third of the nodes off, each for itself.
pub fn isolate_a_third<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    match second {
        2 => world.isolated = world.addresses().into_iter().step_by(3).collect(),
        10 => world.isolated.clear(),
        _ => {}
    }
}
