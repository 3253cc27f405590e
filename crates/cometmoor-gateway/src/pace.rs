//! How fast each model reads prompts, learned from first events.

use std::collections::HashMap;
use std::time::Duration;

/// Milliseconds for a prompt token before anything was learned.
const FIRST_GUESS: f64 = 0.052;
/// Weight of the newest sample.
const NEWEST_WEIGHT: f64 = 0.15;
/// Part of the time to the first event that is not the reading of the prompt.
const FIXED: Duration = Duration::from_millis(15);
/// Prompts below this tell too little.
const FEWEST_TOKENS: u64 = 500;

/// Milliseconds for a prompt token, by model.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    models: HashMap<String, f64>,
}

impl PaceTable {
    /// Milliseconds for a prompt token.
    pub fn of(&self, model: &str) -> f64 {
        self.models.get(model).copied().unwrap_or(FIRST_GUESS)
    }

    /// Time that a server takes to read a prompt.
    pub fn work(&self, model: &str, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(self.of(model) * prompt_tokens as f64 / 1000.0)
    }

    /// Notes the time to the first event of a request that waited for nobody.
    pub fn record(&mut self, model: &str, prompt_tokens: u64, first_event: Duration) {
        if prompt_tokens < FEWEST_TOKENS {
            return;
        }
        let reading = first_event.saturating_sub(FIXED).as_secs_f64() * 1000.0;
        let sample = reading / prompt_tokens as f64;
        let pace = self.of(model);
        let learned = pace + NEWEST_WEIGHT * (sample - pace);
        self.models.insert(model.to_owned(), learned);
    }
}
