//! How fast each model reads prompts and makes answers, learned from streams.

use std::collections::HashMap;
use std::time::Duration;

/// Running requests beside which a prompt is read at about full speed.
pub const MAX_RUNNING_FOR_PREFILL_SAMPLE: u32 = 6;
/// Milliseconds for a prompt token before anything was learned.
const FIRST_GUESS: f64 = 0.045;
/// Least weight of the newest sample.
const NEWEST_WEIGHT: f64 = 0.12;
/// Part of the time to the first event that is not the reading of the prompt.
const FIXED: Duration = Duration::from_millis(15);
/// Part of the tokens that a request allows for its answer which are made, and
/// the time for each, before anything was learned: 10 ms at half of the tokens.
const FIRST_MILLIS_PER_OUTPUT_TOKEN: f64 = 5.0;
/// Prompts below this tell too little.
const FEWEST_TOKENS: u64 = 300;

/// What was learned of a model.
#[derive(Clone, Copy, Debug)]
struct Pace {
    millis_per_token: f64,
    samples: u32,
    millis_per_output_token: f64,
    streams: u32,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            millis_per_token: FIRST_GUESS,
            samples: 0,
            millis_per_output_token: FIRST_MILLIS_PER_OUTPUT_TOKEN,
            streams: 0,
        }
    }
}

/// Moves an average towards a sample. The first samples count for more, so that
/// a model is known soon.
fn take_sample(average: &mut f64, samples: &mut u32, sample: f64) {
    *samples += 1;
    let weight = (1.0 / f64::from(*samples + 1)).max(NEWEST_WEIGHT);
    *average += weight * (sample - *average);
}

/// Milliseconds for a prompt token, by model.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    models: HashMap<String, Pace>,
}

impl LatencyEstimates {
    /// Milliseconds for a prompt token.
    pub fn prefill_millis_per_token(&self, model: &str) -> f64 {
        self.models.get(model).map_or(FIRST_GUESS, |pace| pace.millis_per_token)
    }

    /// Time that a server takes to read a prompt.
    pub fn prefill_time(&self, model: &str, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(
            self.prefill_millis_per_token(model) * prompt_tokens as f64 / 1000.0,
        )
    }

    /// Time for which a request is likely to hold a slot of a server's batch,
    /// by the tokens that it allows for its answer.
    pub fn slot_time(&self, model: &str, output_tokens: u64) -> Duration {
        let pace = self.models.get(model).copied().unwrap_or_default();
        Duration::from_secs_f64(pace.millis_per_output_token * output_tokens as f64 / 1000.0)
    }

    /// Notes how long a whole stream ran from its first event on.
    pub fn record_generation(&mut self, model: &str, output_tokens: u64, running: Duration) {
        if output_tokens == 0 {
            return;
        }
        let sample = running.as_secs_f64() * 1000.0 / output_tokens as f64;
        let pace = self.models.entry(model.to_owned()).or_default();
        take_sample(&mut pace.millis_per_output_token, &mut pace.streams, sample);
    }

    /// Notes the time to the first event of a request that waited for nobody.
    pub fn record_prefill(&mut self, model: &str, prompt_tokens: u64, first_event: Duration) {
        if prompt_tokens < FEWEST_TOKENS {
            return;
        }
        let reading = first_event.saturating_sub(FIXED).as_secs_f64() * 1000.0;
        let sample = reading / prompt_tokens as f64;
        let pace = self.models.entry(model.to_owned()).or_default();
        take_sample(&mut pace.millis_per_token, &mut pace.samples, sample);
    }
}
