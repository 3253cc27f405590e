//! Estimates of the prefill and generation time of each model, learned from streams.

use std::collections::HashMap;
use std::time::Duration;

use cometmoor_core::gateway::quantile::QuantileEstimate;
use cometmoor_core::gateway::server_speed::Speed;

/// Number of running requests beside which a prompt is still processed at about full speed, so
/// that its time to first token is a sample of the prefill speed.
pub const MAX_RUNNING_FOR_PREFILL_SAMPLE: u32 = 6;
/// Milliseconds per prompt token before any sample was recorded.
const INITIAL_MILLIS_PER_PROMPT_TOKEN: f64 = 0.045;
/// Minimum weight of the newest sample in the moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.12;
/// Part of the time to the first event that does not depend on the length of the prompt.
const FIXED_OVERHEAD: Duration = Duration::from_millis(15);
/// Milliseconds per output token that a request allows, before any sample was recorded: 10 ms per
/// generated token, with responses that are half as long as allowed.
const INITIAL_MILLIS_PER_OUTPUT_TOKEN: f64 = 5.0;
/// Minimum prompt length for a sample, in tokens: the time of a shorter prompt says too little
/// about the prefill speed.
const MIN_SAMPLE_PROMPT_TOKENS: u64 = 300;

/// Quantile of the times per prompt token that is used as an estimate. Samples of prompts that were
/// queued are too large, and those with a part of the prompt in the server's cache are too small.
const PREFILL_QUANTILE: f64 = 0.35;
/// Quantile of the times per output token. The times grow with the load of the server, and an
/// estimate that follows them makes a busy model appear to need more servers than it does.
const GENERATION_QUANTILE: f64 = 0.35;
/// Number of samples of all models from which a model without samples is estimated by them.
const MIN_OVERALL_SAMPLES: u32 = 3;

/// How samples are combined into an estimate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EstimateMethod {
    /// A moving average.
    #[default]
    MovingAverage,
    /// A quantile. A node that refuses what it expects to be late gets no further samples, so that
    /// an average that a few queued prompts have raised stays too high.
    Quantile,
}

/// Quantiles of the time per token.
#[derive(Clone, Copy, Debug)]
struct TokenTimes {
    prefill: QuantileEstimate,
    generation: QuantileEstimate,
}

impl TokenTimes {
    /// Starts at estimates in milliseconds per token.
    fn new(prefill: f64, generation: f64) -> TokenTimes {
        TokenTimes {
            prefill: QuantileEstimate::new(PREFILL_QUANTILE, prefill),
            generation: QuantileEstimate::new(GENERATION_QUANTILE, generation),
        }
    }
}

/// Quantiles of the time per token, by model and over all models.
#[derive(Clone, Debug, Default)]
struct TokenTimesByModel {
    models: HashMap<String, TokenTimes>,
    overall: Option<TokenTimes>,
}

impl TokenTimesByModel {
    /// Applies a sample to the estimates of a model and to those over all models.
    fn update(&mut self, model: &str, record: impl Fn(&mut TokenTimes)) {
        let overall = self.overall.get_or_insert_with(|| {
            TokenTimes::new(INITIAL_MILLIS_PER_PROMPT_TOKEN, INITIAL_MILLIS_PER_OUTPUT_TOKEN)
        });
        record(overall);
        let (prefill, generation) = (overall.prefill.value(), overall.generation.value());
        if let Some(times) = self.models.get_mut(model) {
            return record(times);
        }
        let mut times = TokenTimes::new(prefill, generation);
        record(&mut times);
        self.models.insert(model.to_owned(), times);
    }

    /// The estimate for a model; `None` without a sample.
    fn of_model(&self, model: &str, of: impl Fn(&TokenTimes) -> QuantileEstimate) -> Option<f64> {
        let known = of(self.models.get(model)?);
        (known.samples() > 0).then(|| known.value())
    }

    /// The estimate over all models; `None` if it has too few samples.
    fn overall(&self, of: impl Fn(&TokenTimes) -> QuantileEstimate) -> Option<f64> {
        let known = of(self.overall.as_ref()?);
        (known.samples() >= MIN_OVERALL_SAMPLES).then(|| known.value())
    }
}

/// Time to the first event of a request that did not wait for other requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillSample {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of them that the server is assumed to have cached.
    pub cached_tokens: u64,
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Speed of the server.
    pub speed: Speed,
}

impl PrefillSample {
    /// Milliseconds per token at mean speed, for a number of tokens that were processed.
    fn millis_per_token(&self, tokens: u64) -> f64 {
        let prefill = self.first_event.saturating_sub(FIXED_OVERHEAD).as_secs_f64() * 1000.0;
        prefill * self.speed.relative() / tokens as f64
    }
}

/// Estimates for one model.
#[derive(Clone, Copy, Debug)]
struct ModelEstimate {
    millis_per_prompt_token: f64,
    prefill_samples: u32,
    millis_per_output_token: f64,
    generation_samples: u32,
}

impl Default for ModelEstimate {
    fn default() -> ModelEstimate {
        ModelEstimate {
            millis_per_prompt_token: INITIAL_MILLIS_PER_PROMPT_TOKEN,
            prefill_samples: 0,
            millis_per_output_token: INITIAL_MILLIS_PER_OUTPUT_TOKEN,
            generation_samples: 0,
        }
    }
}

/// Updates a moving average with a sample. The first samples have a larger weight, so that the
/// estimate of a new model converges quickly.
fn add_sample(average: &mut f64, samples: &mut u32, sample: f64) {
    *samples += 1;
    let weight = (1.0 / f64::from(*samples + 1)).max(MIN_SAMPLE_WEIGHT);
    *average += weight * (sample - *average);
}

/// Estimates of the prefill and generation time, by model.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    models: HashMap<String, ModelEstimate>,
    /// Estimates by [`EstimateMethod::Quantile`]; they take precedence.
    quantiles: TokenTimesByModel,
}

impl LatencyEstimates {
    /// Estimated milliseconds per prompt token at mean speed. The model's own samples take
    /// precedence over those of all models, since another service may use the other method.
    pub fn prefill_millis_per_token(&self, model: &str) -> f64 {
        let sampled = self.models.get(model).filter(|estimate| estimate.prefill_samples > 0);
        let average = || sampled.map(|estimate| estimate.millis_per_prompt_token);
        let quantile = self.quantiles.of_model(model, |times| times.prefill);
        let overall = || self.quantiles.overall(|times| times.prefill);
        quantile.or_else(average).or_else(overall).unwrap_or(INITIAL_MILLIS_PER_PROMPT_TOKEN)
    }

    /// Estimated time in which a server of mean speed processes a prompt.
    pub fn prefill_time(&self, model: &str, prompt_tokens: u64) -> Duration {
        Duration::from_secs_f64(
            self.prefill_millis_per_token(model) * prompt_tokens as f64 / 1000.0,
        )
    }

    /// Estimated time for which a request occupies a slot of a server's batch. `output_tokens` is
    /// the number of tokens that the request allows for its response.
    pub fn slot_time(&self, model: &str, output_tokens: u64) -> Duration {
        let sampled = self.models.get(model).filter(|estimate| estimate.generation_samples > 0);
        let average = || sampled.map(|estimate| estimate.millis_per_output_token);
        let quantile = self.quantiles.of_model(model, |times| times.generation);
        let overall = || self.quantiles.overall(|times| times.generation);
        let millis = quantile.or_else(average).or_else(overall);
        let millis = millis.unwrap_or(INITIAL_MILLIS_PER_OUTPUT_TOKEN);
        Duration::from_secs_f64(millis * output_tokens as f64 / 1000.0)
    }

    /// Records the duration of a complete stream from its first event. `output_tokens` is the
    /// number of tokens that the request allows.
    pub fn record_generation(
        &mut self,
        model: &str,
        output_tokens: u64,
        duration: Duration,
        method: EstimateMethod,
    ) {
        if output_tokens == 0 {
            return;
        }
        let sample = duration.as_secs_f64() * 1000.0 / output_tokens as f64;
        if method == EstimateMethod::Quantile {
            return self.quantiles.update(model, |times| times.generation.record(sample));
        }
        let estimate = self.models.entry(model.to_owned()).or_default();
        add_sample(&mut estimate.millis_per_output_token, &mut estimate.generation_samples, sample);
    }

    /// Records the time to the first event of a request that did not wait for other requests.
    pub fn record_prefill(&mut self, model: &str, sample: PrefillSample, method: EstimateMethod) {
        if method == EstimateMethod::Quantile {
            let tokens = sample.prompt_tokens.saturating_sub(sample.cached_tokens);
            if tokens >= MIN_SAMPLE_PROMPT_TOKENS {
                let millis = sample.millis_per_token(tokens);
                self.quantiles.update(model, |times| times.prefill.record(millis));
            }
            return;
        }
        if sample.prompt_tokens < MIN_SAMPLE_PROMPT_TOKENS {
            return;
        }
        let millis = sample.millis_per_token(sample.prompt_tokens);
        let estimate = self.models.entry(model.to_owned()).or_default();
        add_sample(&mut estimate.millis_per_prompt_token, &mut estimate.prefill_samples, millis);
    }
}
