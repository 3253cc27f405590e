//! Metrics of a node, in the Prometheus text format.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cometmoor_protocol::error::{Outcome, Step};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Buckets from 1 ms to about 33 s.
const FIRST_TOKEN_BUCKETS: (f64, f64, u16) = (0.001, 2.0, 16);
/// Buckets from 0.5 ms to about 8 s.
const TOKEN_BUCKETS: (f64, f64, u16) = (0.000_5, 2.0, 15);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestEnd {
    /// The whole answer was passed on.
    Whole,
    /// It failed and was not run.
    NotRun,
    /// It failed and may have been run.
    Unknown,
    /// The caller went away.
    Abandoned,
}

impl From<Outcome> for RequestEnd {
    fn from(outcome: Outcome) -> RequestEnd {
        match outcome {
            Outcome::NotRun => RequestEnd::NotRun,
            Outcome::Unknown => RequestEnd::Unknown,
        }
    }
}

/// Labels of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Declared model, or service.
    pub model: String,
    /// Group of the caller.
    pub group: String,
    /// How it ended.
    pub outcome: RequestEnd,
}

/// Labels of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ErrorLabels {
    /// Step at which it failed.
    pub step: String,
    /// What is known of it.
    pub outcome: RequestEnd,
}

/// Label of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ModelLabel {
    /// Declared model.
    pub model: String,
}

/// Labels of an attempt at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// Name of the engine.
    pub engine: String,
    /// `success`, `refused`, `unreachable`, `unanswered` or `malformed`.
    pub result: &'static str,
}

/// Labels of a placement order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// `load` or `unload`.
    pub action: &'static str,
    /// `confirmed` or `unconfirmed`.
    pub result: &'static str,
}

/// Labels of a call to the configuration store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Path of the call.
    pub call: String,
    /// `ok` or `failed`.
    pub result: &'static str,
}

/// Label of a direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DirectionLabel {
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// All metrics of a node.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Failed requests by step.
    pub errors: Family<ErrorLabels, Counter>,
    /// Time to the first token.
    pub first_token: Family<ModelLabel, Histogram>,
    /// Time between tokens.
    pub token_interval: Family<ModelLabel, Histogram>,
    /// Attempts at engines.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Placement orders.
    pub orders: Family<OrderLabels, Counter>,
    /// Calls to the configuration store.
    pub store_calls: Family<StoreCallLabels, Counter>,
    /// Bytes exchanged with other nodes.
    pub peer_bytes: Family<DirectionLabel, Counter>,
    /// Processor time of the control thread.
    pub control_seconds: Counter<f64, AtomicU64>,
    /// Generation in force.
    pub generation: Gauge,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Requests that wait for a slot.
    pub waiting: Gauge,
}

fn histogram((start, factor, count): (f64, f64, u16)) -> Histogram {
    Histogram::new(exponential_buckets(start, factor, count))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("cometmoor"),
            requests: Family::default(),
            errors: Family::default(),
            first_token: Family::new_with_constructor(|| histogram(FIRST_TOKEN_BUCKETS)),
            token_interval: Family::new_with_constructor(|| histogram(TOKEN_BUCKETS)),
            attempts: Family::default(),
            orders: Family::default(),
            store_calls: Family::default(),
            peer_bytes: Family::default(),
            control_seconds: Counter::default(),
            generation: Gauge::default(),
            in_progress: Gauge::default(),
            waiting: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("request_errors", "Failed requests by step", self.errors.clone());
        registry.register_with_unit(
            "first_token",
            "Time from a request's arrival to its first token",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "token_interval",
            "Time between two tokens",
            Unit::Seconds,
            self.token_interval.clone(),
        );
        registry.register("attempts", "Attempts at engines", self.attempts.clone());
        registry.register("orders", "Placement orders", self.orders.clone());
        registry.register("store_calls", "Calls to the store", self.store_calls.clone());
        registry.register_with_unit(
            "peer",
            "Bytes exchanged with other nodes",
            Unit::Bytes,
            self.peer_bytes.clone(),
        );
        registry.register_with_unit(
            "control_thread",
            "Processor time of the control thread",
            Unit::Seconds,
            self.control_seconds.clone(),
        );
        registry.register("generation", "Generation in force", self.generation.clone());
        registry.register("in_progress", "Requests in progress", self.in_progress.clone());
        registry.register("waiting", "Requests that wait for a slot", self.waiting.clone());
    }

    /// Notes a failed request.
    pub fn record_error(&self, step: Step, outcome: Outcome) {
        let labels = ErrorLabels { step: format!("{step:?}"), outcome: outcome.into() };
        self.errors.get_or_create(&labels).inc();
    }

    /// Notes a first token.
    pub fn record_first_token(&self, model: &str, time: Duration) {
        let label = ModelLabel { model: model.to_owned() };
        self.first_token.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Notes a further token.
    pub fn record_token_interval(&self, model: &str, time: Duration) {
        let label = ModelLabel { model: model.to_owned() };
        self.token_interval.get_or_create(&label).observe(time.as_secs_f64());
    }

    /// Notes bytes exchanged with another node.
    pub fn record_peer_bytes(&self, direction: &'static str, bytes: usize) {
        let count = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.peer_bytes.get_or_create(&DirectionLabel { direction }).inc_by(count);
    }

    /// The text that Prometheus scrapes.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}
