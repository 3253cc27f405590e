//! The machine's clock that goes on while the machine is suspended, and timers by it.
//!
//! Timers of the runtime follow the steady clock, which stands still while a machine is
//! suspended: they come late by the whole suspension. Those here look again as soon as a
//! [`SuspensionDetector`] has seen the two clocks drift apart.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cometmoor_core::time::{BootInstant, Timestamp};
use nix::time::{ClockId, clock_gettime};
use spdlog::warn;
use tokio::sync::Notify;

/// Drift of the two clocks from which on the machine has been suspended. They are read one
/// after the other, and another thread may run in between.
const SUSPENDED_FROM: Duration = Duration::from_millis(20);

/// Wakes the timers that are open when a suspension has been seen.
static SUSPENDED: Notify = Notify::const_new();
/// Suspensions that were simulated, in milliseconds.
static SIMULATED_MILLIS: AtomicU64 = AtomicU64::new(0);

/// The time did not suffice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The time.
pub fn now() -> BootInstant {
    let simulated = Duration::from_millis(SIMULATED_MILLIS.load(Ordering::Relaxed));
    BootInstant::after_boot(read(ClockId::CLOCK_BOOTTIME) + simulated)
}

/// Time that has passed since then.
pub fn elapsed(since: BootInstant) -> Duration {
    now().since(since)
}

/// The time in milliseconds since the machine started; the same on all threads.
pub fn timestamp() -> Timestamp {
    now().timestamp()
}

fn read(clock: ClockId) -> Duration {
    // Both clocks exist on all kernels that the binary runs on.
    let Ok(time) = clock_gettime(clock) else { return Duration::ZERO };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec()).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Waits until then.
#[allow(clippy::disallowed_methods, reason = "the one timer that looks again after a suspension")]
pub async fn sleep_until(end: BootInstant) {
    loop {
        let suspended = SUSPENDED.notified();
        let left = end.since(now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left) => return,
            () = suspended => {}
        }
    }
}

/// Waits so long.
pub async fn sleep(time: Duration) {
    sleep_until(now() + time).await;
}

/// Waits for something until then.
pub async fn timeout_at<Work: Future>(
    end: BootInstant,
    work: Work,
) -> Result<Work::Output, Elapsed> {
    tokio::select! {
        biased;
        output = work => Ok(output),
        () = sleep_until(end) => Err(Elapsed),
    }
}

/// Waits for something so long.
pub async fn timeout<Work: Future>(time: Duration, work: Work) -> Result<Work::Output, Elapsed> {
    timeout_at(now() + time, work).await
}

/// Notices that the machine was suspended.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// Drift of the clocks that is known.
    known: Duration,
}

impl SuspensionDetector {
    /// Notices suspensions from now on.
    pub fn start() -> SuspensionDetector {
        SuspensionDetector { known: drift() }
    }

    /// Looks whether the machine was suspended since the last look; wakes all open timers
    /// then.
    pub fn check(&mut self) {
        let drift = drift();
        let suspended = drift.saturating_sub(self.known);
        self.known = drift;
        if suspended >= SUSPENDED_FROM {
            let millis = suspended.as_millis() as u64;
            warn!("[clock] the machine was suspended", kv: { millis });
            SUSPENDED.notify_waiters();
        }
    }
}

/// Time for which the steady clock has stood still.
fn drift() -> Duration {
    let steady = read(ClockId::CLOCK_MONOTONIC);
    let boot = now().since(BootInstant::default());
    boot.saturating_sub(steady)
}

/// Lets the clock go on as if the machine had been suspended for so long; for tests, on
/// machines that cannot be suspended. It holds for the whole process.
pub fn simulate_suspension(time: Duration) {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_MILLIS.fetch_add(millis, Ordering::Relaxed);
}
