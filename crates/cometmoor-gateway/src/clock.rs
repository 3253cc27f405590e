//! The boot-time clock, which includes time in which the machine is suspended, and timers that
//! use it.
//!
//! Timers of the runtime use the monotonic clock, which stops while the machine is suspended, so
//! that they expire late by the length of the suspension. The timers of this module check the
//! boot-time clock again as soon as a [`SuspensionDetector`] has seen the two clocks diverge.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cometmoor_core::time::{BootInstant, Timestamp};
use nix::time::{ClockId, clock_gettime};
use spdlog::warn;
use tokio::sync::Notify;

/// Minimum divergence of the two clocks that counts as a suspension. Smaller values occur without
/// one: the clocks are read one after the other, and another thread may run in between.
const SUSPENDED_FROM: Duration = Duration::from_millis(20);

/// Wakes all pending timers after a suspension.
static SUSPENSION_DETECTED: Notify = Notify::const_new();
/// Total length of the simulated suspensions, in milliseconds.
static SIMULATED_MILLIS: AtomicU64 = AtomicU64::new(0);

/// The error for a timeout that expired before the work was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// The current time of the boot-time clock, including simulated suspensions.
pub fn now() -> BootInstant {
    let simulated = Duration::from_millis(SIMULATED_MILLIS.load(Ordering::Relaxed));
    BootInstant::after_boot(read(ClockId::CLOCK_BOOTTIME) + simulated)
}

/// Time since `since`, including time in which the machine was suspended.
pub fn elapsed(since: BootInstant) -> Duration {
    now().since(since)
}

/// The current time in milliseconds since the machine booted; the same on all threads.
pub fn timestamp() -> Timestamp {
    now().timestamp()
}

fn read(clock: ClockId) -> Duration {
    // Both clocks exist on every kernel that the binary supports, so reading them does not fail.
    let Ok(time) = clock_gettime(clock) else { return Duration::ZERO };
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec()).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Waits until `end`.
#[allow(
    clippy::disallowed_methods,
    reason = "the only timer that checks the time again after a suspension"
)]
pub async fn sleep_until(end: BootInstant) {
    loop {
        let suspended = SUSPENSION_DETECTED.notified();
        let remaining = end.since(now());
        if remaining.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(remaining) => return,
            () = suspended => {}
        }
    }
}

/// Waits for `duration`.
pub async fn sleep(duration: Duration) {
    sleep_until(now() + duration).await;
}

/// Waits for `work`, but not longer than until `end`. If `work` is done when `end` is noticed, its
/// output is returned.
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

/// Waits for `work`, but not longer than `limit`.
pub async fn timeout<Work: Future>(limit: Duration, work: Work) -> Result<Work::Output, Elapsed> {
    timeout_at(now() + limit, work).await
}

/// Detects that the machine was suspended.
#[derive(Debug)]
pub struct SuspensionDetector {
    /// Divergence of the clocks at the last check.
    last_divergence: Duration,
}

impl SuspensionDetector {
    /// Creates a detector of suspensions from now on.
    pub fn start() -> SuspensionDetector {
        SuspensionDetector { last_divergence: divergence() }
    }

    /// Wakes all pending timers if the machine was suspended since the last check.
    pub fn check(&mut self) {
        let divergence = divergence();
        let suspended = divergence.saturating_sub(self.last_divergence);
        self.last_divergence = divergence;
        if suspended >= SUSPENDED_FROM {
            let millis = suspended.as_millis() as u64;
            warn!("[clock] the machine was suspended", kv: { millis });
            SUSPENSION_DETECTED.notify_waiters();
        }
    }
}

/// Time by which the boot-time clock is ahead of the monotonic clock: the total length of all
/// suspensions since boot.
fn divergence() -> Duration {
    let monotonic = read(ClockId::CLOCK_MONOTONIC);
    let boot = now().since(BootInstant::default());
    boot.saturating_sub(monotonic)
}

/// Advances the boot-time clock as if the machine had been suspended for `duration`; for tests on
/// machines that cannot be suspended. This affects the whole process.
pub fn simulate_suspension(duration: Duration) {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    SIMULATED_MILLIS.fetch_add(millis, Ordering::Relaxed);
}
