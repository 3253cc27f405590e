//! Number of requests that a node has sent to servers in the last second.

use std::time::Duration;

use crate::time::BootInstant;

/// Number of parts into which the second is divided.
const PARTS: usize = 10;
/// Length of a part.
const PART: Duration = Duration::from_millis(100);

/// Counts requests over the last second, to a tenth of it.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedCounter {
    counts: [usize; PARTS],
    /// Number of the newest part since boot.
    newest: u64,
}

fn part_number(now: BootInstant) -> u64 {
    now.timestamp().0 / PART.as_millis() as u64
}

impl ServedCounter {
    pub(super) fn record(&mut self, now: BootInstant) {
        let number = part_number(now);
        let passed = number.saturating_sub(self.newest).min(PARTS as u64);
        for part in 0..passed {
            self.counts[((number - part) % PARTS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(number);
        self.counts[(self.newest % PARTS as u64) as usize] += 1;
    }

    pub(super) fn in_last_second(&self, now: BootInstant) -> usize {
        let passed = part_number(now).saturating_sub(self.newest).min(PARTS as u64) as usize;
        (0..PARTS - passed)
            .map(|age| self.counts[((self.newest + (PARTS - age) as u64) % PARTS as u64) as usize])
            .sum()
    }
}
