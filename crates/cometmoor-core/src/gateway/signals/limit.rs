//! The current limit of a server, merged from responses and reports that may arrive out of order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ObservationWindow, SignalChange};
use crate::time::BootInstant;

/// Maximum transit time of a report between nodes. The receiver does not know the actual time,
/// so it dates the start of the reported observation this much earlier.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// The limit of a server as far as this node knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLimit {
    /// Requests per second; `None` if the server has stopped naming a limit.
    pub(super) per_second: Option<f64>,
    /// When the value in effect was observed.
    pub(super) observed: ObservationWindow,
    /// When the latest response that named any limit was received.
    last_limited: Option<BootInstant>,
}

/// A node's report of a server's limit. Ages are in milliseconds at the time of sending.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests per second; `None` if the server has stopped naming a limit.
    pub per_second: Option<f64>,
    /// Age of the request whose response carried the limit.
    pub sent_age_millis: u32,
    /// Age of that response.
    pub received_age_millis: u32,
}

impl LimitReport {
    pub(super) fn of(limit: &KnownLimit, now: BootInstant) -> LimitReport {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let ObservationWindow { sent, received } = limit.observed;
        let last_limited = limit.last_limited.filter(|_| limit.per_second.is_some());
        let received = last_limited.map_or(received, |last| received.max(last));
        LimitReport {
            per_second: limit.per_second,
            sent_age_millis: age(sent),
            received_age_millis: age(received),
        }
    }

    /// Converts the report to local time with the widest possible observation window, or returns
    /// `None` if the limit is not a finite, non-negative number. Times before this machine's boot
    /// are clamped to the boot.
    pub(super) fn known_limit(&self, now: BootInstant) -> Option<KnownLimit> {
        let before = |time| now.checked_sub(time).unwrap_or_default();
        let age = |millis| Duration::from_millis(u64::from(millis));
        let observed = ObservationWindow {
            sent: before(age(self.sent_age_millis) + MAX_TRANSIT),
            received: before(age(self.received_age_millis)),
        };
        let is_valid = self.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        is_valid.then(|| KnownLimit::new(self.per_second, observed))
    }
}

impl KnownLimit {
    pub(super) fn new(per_second: Option<f64>, observed: ObservationWindow) -> KnownLimit {
        let last_limited = per_second.map(|_| observed.received);
        KnownLimit { per_second, observed, last_limited }
    }

    /// Merges another observation. The later one takes effect, or the stricter one if their
    /// windows overlap. An observation without a limit must be later than every one that named a
    /// limit: of two overlapping ones, the one that did not take effect may have been the last.
    pub(super) fn merge(&mut self, other: KnownLimit) {
        let (known, new) = (self.observed, other.observed);
        let last_limited = self.last_limited.max(other.last_limited);
        let is_older = new.received <= known.sent;
        let is_newer = match other.per_second {
            Some(_) => new.sent >= known.received,
            None => new.sent >= known.received && Some(new.sent) >= self.last_limited,
        };
        if is_newer || (!is_older && is_stricter(other.per_second, self.per_second)) {
            self.per_second = other.per_second;
        }
        if !is_older && self.per_second == other.per_second {
            let sent = known.sent.max(new.sent);
            self.observed = ObservationWindow { sent, received: known.received.max(new.received) };
        }
        self.last_limited = last_limited;
    }
}

fn is_stricter(limit: Option<f64>, other: Option<f64>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Classifies the change from one limit to another; `None` if they are equal.
pub(super) fn limit_change(before: Option<f64>, after: Option<f64>) -> Option<SignalChange> {
    match (before, after) {
        (None, Some(limit)) => Some(SignalChange::LimitSet(limit)),
        (Some(before), Some(limit)) if before != limit => Some(SignalChange::LimitChanged(limit)),
        (Some(_), None) => Some(SignalChange::LimitLifted),
        _ => None,
    }
}
