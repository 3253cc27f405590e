//! The quarantine of one part of prompts.

use std::time::Duration;

use super::{QUARANTINE_LIFETIME, REPORT_REPEATS};
use crate::time::Timestamp;

/// Time after the last crash before one request is sent to find out whether the part still crashes
/// servers. It doubles with each request that does. Where the part was blamed wrongly, this ends
/// its quarantine; where it was not, it costs one server each time.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(120);
/// Time after which a trial without a result is followed by another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// Doublings after which the delay exceeds the quarantine.
const MAX_DOUBLINGS: u32 = 3;

/// A part that is or was quarantined.
#[derive(Clone, Debug)]
pub(super) struct QuarantinedPart {
    /// Its last crash, or when it was restored.
    pub(super) since: Timestamp,
    /// Whether this node has observed its last crash, and writes its quarantine to the store.
    pub(super) is_own: bool,
    /// Whether the store holds its quarantine.
    pub(super) is_stored: bool,
    /// Number of messages that are still to carry it.
    pub(super) reports_left: u32,
    failed_trials: u32,
    trial_begun_at: Option<Timestamp>,
}

impl QuarantinedPart {
    /// A part whose last crash was at `since`. `is_own` tells whether this node has observed that
    /// crash.
    pub(super) fn new(since: Timestamp, is_own: bool) -> QuarantinedPart {
        QuarantinedPart {
            since,
            is_own,
            is_stored: false,
            reports_left: REPORT_REPEATS,
            failed_trials: 0,
            trial_begun_at: None,
        }
    }

    /// A part that the store holds as quarantined.
    pub(super) fn restored(now: Timestamp) -> QuarantinedPart {
        QuarantinedPart { is_stored: true, ..QuarantinedPart::new(now, false) }
    }

    /// Time for which it stays quarantined; `None` if the quarantine has ended.
    pub(super) fn time_left(&self, now: Timestamp) -> Option<Duration> {
        QUARANTINE_LIFETIME.checked_sub(now.since(self.since)).filter(|left| !left.is_zero())
    }

    /// Time after which a request with the part may be sent again, at the earliest; `None` if the
    /// quarantine has ended.
    pub(super) fn retry_after(&self, now: Timestamp) -> Option<Duration> {
        let left = self.time_left(now)?;
        let until_trial = self.trial_delay().saturating_sub(now.since(self.since));
        Some(left.min(until_trial.max(TRIAL_TIMEOUT)))
    }

    /// Records a crash that this node has observed.
    pub(super) fn renew(&mut self, at: Timestamp) {
        self.is_own = true;
        self.renew_reported(at);
    }

    /// Records a crash.
    pub(super) fn renew_reported(&mut self, at: Timestamp) {
        if self.trial_begun_at.take().is_some() {
            self.failed_trials += 1;
        }
        self.since = self.since.max(at);
        self.is_stored = false;
        self.reports_left = REPORT_REPEATS;
    }

    fn trial_delay(&self) -> Duration {
        FIRST_TRIAL_DELAY * 2_u32.pow(self.failed_trials.min(MAX_DOUBLINGS))
    }

    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        let is_running = self.trial_begun_at.is_some_and(|begun| now.since(begun) < TRIAL_TIMEOUT);
        now.since(self.since) >= self.trial_delay() && !is_running
    }

    pub(super) fn begin_trial(&mut self, now: Timestamp) {
        self.trial_begun_at = Some(now);
    }
}
