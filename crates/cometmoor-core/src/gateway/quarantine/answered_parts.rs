//! Memory of the parts of prompts that servers have answered.

use std::collections::HashMap;
use std::time::Duration;

use super::PartId;
use crate::time::Timestamp;

/// Maximum number of parts in a generation; two generations are kept, of about 24 bytes a part.
const MAX_PARTS: usize = 4096;
/// Time after which a generation is followed by the next one.
const GENERATION_LIFETIME: Duration = Duration::from_secs(300);

/// When parts were last answered. An entry is forgotten between one and two generations after its
/// last use.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    recent: HashMap<PartId, Timestamp>,
    previous: HashMap<PartId, Timestamp>,
    begun_at: Timestamp,
}

impl AnsweredParts {
    /// Records that a part was answered at `at`.
    pub(super) fn record(&mut self, part: PartId, at: Timestamp, now: Timestamp) {
        let is_full = self.recent.len() >= MAX_PARTS && !self.recent.contains_key(&part);
        if is_full || now.since(self.begun_at) >= GENERATION_LIFETIME {
            self.previous = std::mem::take(&mut self.recent);
            self.begun_at = now;
        }
        let known = self.get(part);
        self.recent.insert(part, known.map_or(at, |known| known.max(at)));
    }

    /// When a part was last answered; `None` if that is not known.
    pub(super) fn get(&self, part: PartId) -> Option<Timestamp> {
        self.recent.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
