//! The machine's clock that goes on while the machine is suspended.

use cometmoor_core::time::Timestamp;
use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine started, the time that it was suspended included; the
/// same on all threads.
pub fn timestamp() -> Timestamp {
    // The clock exists on all kernels that the binary runs on.
    let Ok(now) = clock_gettime(ClockId::CLOCK_BOOTTIME) else { return Timestamp(0) };
    let seconds = u64::try_from(now.tv_sec()).unwrap_or_default();
    let millis = u64::try_from(now.tv_nsec()).unwrap_or_default() / 1_000_000;
    Timestamp(seconds * 1000 + millis)
}
