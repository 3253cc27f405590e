//! Log lines on the dispatch queue: when requests begin to wait, and when none waits any more.

use std::time::Duration;

use cometmoor_core::gateway::dispatch_queue::DispatchQueue;
use cometmoor_core::time::BootInstant;
use spdlog::info;

use super::dispatch_board::WaitOutcome;

/// Shortest time between two lines that requests begin to wait. Shorter periods of waiting are
/// counted with the next one that is logged.
const MIN_LINE_INTERVAL: Duration = Duration::from_secs(1);

/// What has happened since requests began to wait.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    most: usize,
    most_tenants: usize,
    longest_wait: Duration,
    sent: u64,
    refused: u64,
    left: u64,
}

/// Logs the periods in which requests wait, at a bounded rate.
#[derive(Debug, Default)]
pub(super) struct QueueLog {
    period: Period,
    begun_at: Option<BootInstant>,
    last_begin: Option<BootInstant>,
}

impl QueueLog {
    /// Updates the figures; logs the begin of a period.
    pub(super) fn observe(&mut self, queue: &DispatchQueue, now: BootInstant) {
        let period = &mut self.period;
        period.most = period.most.max(queue.len());
        period.most_tenants = period.most_tenants.max(queue.tenants());
        period.longest_wait = period.longest_wait.max(queue.longest_wait(now));
        let is_early = self.last_begin.is_some_and(|at| now.since(at) < MIN_LINE_INTERVAL);
        if queue.is_empty() || self.begun_at.is_some() || is_early {
            return;
        }
        (self.begun_at, self.last_begin) = (Some(now), Some(now));
        info!("[queue] requests wait for servers", kv: {
            length = queue.len() as u64,
            longest_wait_millis = queue.longest_wait(now).as_millis() as u64,
            tenants = queue.tenants() as u64,
        });
    }

    pub(super) fn count(&mut self, outcome: WaitOutcome) {
        match outcome {
            WaitOutcome::Sent => self.period.sent += 1,
            WaitOutcome::Refused => self.period.refused += 1,
            WaitOutcome::Left => self.period.left += 1,
        }
    }

    /// Logs the end of a period whose begin was logged.
    pub(super) fn end(&mut self, now: BootInstant) {
        let Some(begun_at) = self.begun_at.take() else { return };
        let period = std::mem::take(&mut self.period);
        info!("[queue] no request waits for a server", kv: {
            most = period.most as u64,
            longest_wait_millis = period.longest_wait.as_millis() as u64,
            tenants = period.most_tenants as u64,
            sent = period.sent,
            refused = period.refused,
            left = period.left,
            lasted_millis = now.since(begun_at).as_millis() as u64,
        });
    }
}
