//! Types for points in time. The core reads no clock; callers pass the time in.

use std::time::Duration;

/// Milliseconds on a monotonic clock. Each process has its own origin, so timestamps of
/// different processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
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

/// A point in time as the time since the machine booted, on a clock that keeps running while the
/// machine is suspended. `std::time::Instant` stops during suspension, so a lease, a copy or a
/// deadline measured by it would appear younger than it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The point at this time after boot.
    pub fn after_boot(time: Duration) -> BootInstant {
        BootInstant(time)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: BootInstant) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point earlier by this time; `None` if that is before boot.
    pub fn checked_sub(self, time: Duration) -> Option<BootInstant> {
        self.0.checked_sub(time).map(BootInstant)
    }

    /// Converts to milliseconds since boot, rounded down.
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
