//! Requests that return after a refusal, and when refused ones are told to return.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::GroupKey;
use crate::gateway::quarantine::Fingerprint;
use crate::time::BootInstant;

/// Time for which a refused request is recognized by its content.
const RETRY_RECOGNITION: Duration = Duration::from_secs(10);
/// Maximum number of refused requests that are recognized, the newest ones.
const MAX_REFUSALS: usize = 4096;
/// Maximum time by which a retry delay is extended.
const MAX_SPREAD: Duration = Duration::from_secs(10);
/// Maximum number of models whose retries are spread.
const MAX_SPREAD_MODELS: usize = 512;

/// Contents of the requests that were refused recently.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRefusals {
    refused_at: HashMap<Fingerprint, BootInstant>,
    oldest_first: VecDeque<(BootInstant, Fingerprint)>,
}

impl RecentRefusals {
    pub(super) fn record(&mut self, content: Fingerprint, now: BootInstant) {
        self.refused_at.insert(content, now);
        self.oldest_first.push_back((now, content));
        while let Some((at, content)) = self.oldest_first.front().copied()
            && (now.since(at) >= RETRY_RECOGNITION || self.oldest_first.len() > MAX_REFUSALS)
        {
            self.oldest_first.pop_front();
            // A later refusal of the same content is kept.
            if self.refused_at.get(&content) == Some(&at) {
                self.refused_at.remove(&content);
            }
        }
    }

    pub(super) fn contains(&self, content: Fingerprint, now: BootInstant) -> bool {
        let refused_at = self.refused_at.get(&content);
        refused_at.is_some_and(|at| now.since(*at) < RETRY_RECOGNITION)
    }
}

/// Spreads the retries of refused requests over time, by model.
#[derive(Clone, Debug, Default)]
pub struct RetrySpread {
    /// When the last refused request returns.
    last_return: HashMap<GroupKey, BootInstant>,
}

impl RetrySpread {
    /// Retry delay of a request that is refused now: `base`, or until one request after the
    /// previously refused one of the same model returns. The model's servers take a request in
    /// each `interval`.
    pub fn delay(
        &mut self,
        model: GroupKey,
        base: Duration,
        interval: Duration,
        now: BootInstant,
    ) -> Duration {
        if self.last_return.len() >= MAX_SPREAD_MODELS {
            self.last_return.retain(|_, at| *at > now);
        }
        if self.last_return.len() >= MAX_SPREAD_MODELS {
            self.last_return.clear();
        }
        let after_last = self.last_return.get(&model).map(|at| (*at + interval).since(now));
        let delay = base.max(after_last.unwrap_or_default()).min(base + MAX_SPREAD);
        self.last_return.insert(model, now + delay);
        delay
    }
}
