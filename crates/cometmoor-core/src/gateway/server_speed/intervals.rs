//! The shortest interval between the events of a stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::BootInstant;

/// Number of successive intervals over which an estimate is made.
const WINDOW: usize = 4;
/// Arrivals that follow one another within this time count as one. A delayed batch of events may
/// take several reads, which follow one another at once.
const MERGE_WITHIN: Duration = Duration::from_millis(1);
/// The shortest [`EventInterval`], in milliseconds.
const MIN_MILLIS: f64 = 0.1;
/// Ratio between two successive values of [`EventInterval`]. The error by rounding is small beside
/// the dead band of 1.5:1.
const STEP: f64 = 1.035;
/// Number of steps from which on an interval is notably shorter than another: an eighth.
const NOTABLE_STEPS: u8 = 4;

/// An interval between events in one byte: the number of steps of 3.5% above 0.1 ms, rounded. The
/// largest one is 0.65 s; longer ones count as that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EventInterval(u8);

impl EventInterval {
    /// Rounds a duration.
    pub fn new(interval: Duration) -> EventInterval {
        let ratio = (interval.as_secs_f64() * 1000.0 / MIN_MILLIS).max(1.0);
        EventInterval((ratio.ln() / STEP.ln()).round().min(f64::from(u8::MAX)) as u8)
    }

    /// Natural logarithm of the interval, in a fixed unit.
    pub(super) fn logarithm(self) -> f64 {
        f64::from(self.0) * STEP.ln()
    }

    /// This interval as a multiple of another one.
    pub fn ratio(self, other: EventInterval) -> f64 {
        STEP.powi(i32::from(self.0) - i32::from(other.0))
    }

    /// Whether it is at least an eighth shorter than another one.
    pub fn is_notably_below(self, other: EventInterval) -> bool {
        other.0.saturating_sub(self.0) >= NOTABLE_STEPS
    }
}

/// Estimates the shortest interval between the events that a server sends in one stream.
///
/// A node sees when it has read an event, not when the server has sent it. If the node or the
/// network was busy, late events are read together or just before the next one, so that the time
/// between two reads can be nearly zero. Therefore all events of a read count as one arrival, and
/// the estimate is the shortest one over [`WINDOW`] successive intervals between arrivals. Of these
/// intervals, the larger one of mean and median is taken: one late arrival before the window makes
/// the mean too short, and delays of every second arrival the median. Delays and events that are
/// read together then only lengthen the estimate.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalEstimator {
    last: Option<BootInstant>,
    /// The latest intervals, at the index of their number modulo the length.
    latest: [Duration; WINDOW],
    intervals: usize,
    shortest: Option<Duration>,
}

impl IntervalEstimator {
    /// Records that a read at `now` has completed one or more events.
    pub fn record_arrival(&mut self, now: BootInstant) {
        let Some(last) = self.last else {
            self.last = Some(now);
            return;
        };
        let interval = now.since(last);
        if interval < MERGE_WITHIN {
            return;
        }
        self.last = Some(now);
        self.latest[self.intervals % WINDOW] = interval;
        self.intervals += 1;
        if self.intervals >= WINDOW {
            let estimate = estimate(self.latest);
            self.shortest = Some(self.shortest.map_or(estimate, |known| known.min(estimate)));
        }
    }

    /// The shortest interval; `None` for a stream with fewer than five arrivals.
    pub fn shortest(&self) -> Option<Duration> {
        self.shortest
    }
}

/// The larger one of the mean and the median of successive intervals.
fn estimate(mut intervals: [Duration; WINDOW]) -> Duration {
    intervals.sort_unstable();
    let mean = intervals.iter().sum::<Duration>() / WINDOW as u32;
    let median = (intervals[WINDOW / 2 - 1] + intervals[WINDOW / 2]) / 2;
    mean.max(median)
}
