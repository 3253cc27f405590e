//! The last word on a server's limit, whatever answer or report overtakes which.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{ObservationWindow, SignalChange};
use crate::time::BootInstant;

/// Time that a report may take from node to node, unknown to the receiver: what it reports
/// may have been observed so much earlier.
const MOST_TRANSIT: Duration = Duration::from_millis(500);

/// The last word on a server's limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownLimit {
    /// Requests a second; none where it has no limit any more.
    pub(super) per_second: Option<f64>,
    /// When the word was true that counts.
    pub(super) observed: ObservationWindow,
    /// When the last answer was read that named any limit.
    limited_until: Option<BootInstant>,
}

/// What a node reports of a server's limit. Ages are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests a second; none where it has no limit any more.
    pub per_second: Option<f64>,
    /// Age of the request to whose answer it was said.
    pub sent_age_millis: u32,
    /// Age of that answer.
    pub received_age_millis: u32,
}

impl LimitReport {
    pub(super) fn of(limit: &KnownLimit, now: BootInstant) -> LimitReport {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let ObservationWindow { sent, received } = limit.observed;
        let limited_until = limit.limited_until.filter(|_| limit.per_second.is_some());
        let received = limited_until.map_or(received, |until| received.max(until));
        LimitReport {
            per_second: limit.per_second,
            sent_age_millis: age(sent),
            received_age_millis: age(received),
        }
    }

    /// What it says, as it was observed at the latest; none where the figure is none. What is
    /// older than this machine's start counts from there.
    pub(super) fn read(&self, now: BootInstant) -> Option<KnownLimit> {
        let before = |time| now.checked_sub(time).unwrap_or_default();
        let age = |millis| Duration::from_millis(u64::from(millis));
        let observed = ObservationWindow {
            sent: before(age(self.sent_age_millis) + MOST_TRANSIT),
            received: before(age(self.received_age_millis)),
        };
        let is_figure = self.per_second.is_none_or(|limit| limit.is_finite() && limit >= 0.0);
        is_figure.then(|| KnownLimit::new(self.per_second, observed))
    }
}

impl KnownLimit {
    pub(super) fn new(per_second: Option<f64>, observed: ObservationWindow) -> KnownLimit {
        let limited_until = per_second.map(|_| observed.received);
        KnownLimit { per_second, observed, limited_until }
    }

    /// Takes another word; the later one counts, or the stricter where that is not known. A
    /// word of no limit has to be later than all that named one: of two that overlap, the
    /// one that did not count may have been the last.
    pub(super) fn take(&mut self, word: KnownLimit) {
        let (known, new) = (self.observed, word.observed);
        let limited_until = self.limited_until.max(word.limited_until);
        let is_older = new.received <= known.sent;
        let is_newer = match word.per_second {
            Some(_) => new.sent >= known.received,
            None => new.sent >= known.received && Some(new.sent) >= self.limited_until,
        };
        if is_newer || (!is_older && is_stricter(word.per_second, self.per_second)) {
            self.per_second = word.per_second;
        }
        if !is_older && self.per_second == word.per_second {
            let sent = known.sent.max(new.sent);
            self.observed = ObservationWindow { sent, received: known.received.max(new.received) };
        }
        self.limited_until = limited_until;
    }
}

fn is_stricter(limit: Option<f64>, other: Option<f64>) -> bool {
    match (limit, other) {
        (Some(limit), Some(other)) => limit < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// What a change from one limit to another is called.
pub(super) fn limit_change(before: Option<f64>, after: Option<f64>) -> Option<SignalChange> {
    match (before, after) {
        (None, Some(limit)) => Some(SignalChange::LimitSet(limit)),
        (Some(before), Some(limit)) if before != limit => Some(SignalChange::LimitChanged(limit)),
        (Some(_), None) => Some(SignalChange::LimitLifted),
        _ => None,
    }
}
