//! How fast each model reads prompts, learned from first events.

use std::collections::HashMap;
use std::time::Duration;

/// Milliseconds for a prompt token before anything was learned.
const FIRST_GUESS: f64 = 0.045;
/// Least weight of the newest sample.
const NEWEST_WEIGHT: f64 = 0.12;
/// Part of the time to the first event that is not the reading of the prompt.
const FIXED: Duration = Duration::from_millis(15);
/// Prompts below this tell too little.
const FEWEST_TOKENS: u64 = 300;

/// What was learned of a model.
#[derive(Clone, Copy, Debug)]
struct Pace {
    millis_per_token: f64,
    samples: u32,
}

/// Milliseconds for a prompt token, by model.
#[derive(Clone, Debug, Default)]
pub struct PaceTable {
    models: HashMap<String, Pace>,
}

impl PaceTable {
    /// Milliseconds for a prompt token.
    pub fn of(&self, model: &str) -> f64 {
        self.models.get(model).map_or(FIRST_GUESS, |pace| pace.millis_per_token)
    }

    /// Time that a server takes to read a prompt.
    pub fn work(&self, model: &str, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(self.of(model) * prompt_tokens as f64 / 1000.0)
    }

    /// Notes the time to the first event of a request that waited for nobody.
    /// The first samples count for more, so that a model is known soon.
    pub fn record(&mut self, model: &str, prompt_tokens: u64, first_event: Duration) {
        if prompt_tokens < FEWEST_TOKENS {
            return;
        }
        let reading = first_event.saturating_sub(FIXED).as_secs_f64() * 1000.0;
        let sample = reading / prompt_tokens as f64;
        let fresh = Pace { millis_per_token: FIRST_GUESS, samples: 0 };
        let pace = self.models.entry(model.to_owned()).or_insert(fresh);
        pace.samples += 1;
        let weight = (1.0 / f64::from(pace.samples + 1)).max(NEWEST_WEIGHT);
        pace.millis_per_token += weight * (sample - pace.millis_per_token);
    }
}
