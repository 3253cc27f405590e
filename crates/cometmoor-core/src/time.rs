//! The time, as it is passed into the core.

use std::time::Duration;

/// Milliseconds on a clock that never runs backwards. Each process starts its
/// own; timestamps of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time that has passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(millis))
    }
}

/// A point on the machine's clock that goes on while the machine is suspended, as the
/// time since it started. The process's steady clock (`std::time::Instant`) stands still
/// then, so that a lease, a copy or a deadline reckoned by it is taken for younger than it
/// is. The core has no clock: points are passed in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The point at this time after the machine's start.
    pub fn after_boot(time: Duration) -> BootInstant {
        BootInstant(time)
    }

    /// The time that has passed since `earlier`, zero if it lies ahead.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point so long before; none before the machine's start.
    pub fn checked_sub(self, time: Duration) -> Option<BootInstant> {
        self.0.checked_sub(time).map(BootInstant)
    }

    /// In milliseconds since the machine's start.
    pub fn timestamp(self) -> Timestamp {
        Timestamp(u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX))
    }
}

impl std::ops::Add<Duration> for BootInstant {
    type Output = BootInstant;

    fn add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(time))
    }
}
