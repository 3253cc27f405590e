//! Capacity of the machines that nodes run on.

use serde::{Deserialize, Serialize};

/// Coarse capacity of a node's machine, by its scarcest resource: 0 if it is unknown, else 1 to 15,
/// where one more means twice the capacity. Nodes on machines of a higher class come first as hubs,
/// as readers of the store and as leaders, whose work grows with the fleet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CapacityClass(u8);

impl CapacityClass {
    /// The highest class.
    const MAX: u8 = 15;

    /// The class of a machine by the share of a core that the process may use and by the rate of
    /// its link in Mbit/s, of which `None` is unknown.
    pub fn of(cpu_share: Option<f64>, link_megabits: Option<f64>) -> CapacityClass {
        let percent = cpu_share.map(|share| share * 100.0);
        let classes = [percent, link_megabits].into_iter().flatten().map(class_of);
        CapacityClass(classes.min().unwrap_or_default())
    }

    /// The class as four bits.
    pub(super) fn bits(self) -> u8 {
        self.0
    }

    /// The class that was encoded as four bits.
    pub(super) fn from_bits(bits: u8) -> CapacityClass {
        CapacityClass(bits.min(Self::MAX))
    }
}

/// Class of a resource by its amount.
fn class_of(amount: f64) -> u8 {
    // The conversion saturates.
    (amount.log2().floor() as u8).clamp(1, CapacityClass::MAX)
}
