//! Measures one completion: its first token, the times between tokens, its
//! attempts and its end.

use std::sync::Arc;

use crate::engine::EngineError;
use crate::engine::http::ChunkStream;
use crate::telemetry::metrics::{AttemptLabels, Metrics, RequestEnd, RequestLabels};
use cometmoor_core::time::BootInstant;
use cometmoor_gateway::clock;

/// The meter of one completion; it counts its end once.
pub struct RequestMeter {
    metrics: Arc<Metrics>,
    model: String,
    group: String,
    started: BootInstant,
    last_token: Option<BootInstant>,
    ended: bool,
}

impl RequestMeter {
    /// Starts to measure a completion by a declared model for a group.
    pub fn start(metrics: Arc<Metrics>, model: &str, group: &str) -> RequestMeter {
        RequestMeter {
            metrics,
            model: model.to_owned(),
            group: group.to_owned(),
            started: clock::now(),
            last_token: None,
            ended: false,
        }
    }

    /// Notes that a token is passed on.
    pub fn token(&mut self) {
        let now = clock::now();
        match self.last_token {
            None => self.metrics.record_first_token(&self.model, now.since(self.started)),
            Some(last) => self.metrics.record_token_interval(&self.model, now.since(last)),
        }
        self.last_token = Some(now);
    }

    /// Notes how an engine took the request.
    pub fn attempt(&self, engine: &str, result: &Result<ChunkStream, EngineError>) {
        let result = match result {
            Ok(_) => "success",
            Err(EngineError::Refused { .. }) => "refused",
            Err(EngineError::Unreachable { .. }) => "unreachable",
            Err(EngineError::Unanswered { .. }) => "unanswered",
            Err(EngineError::Malformed { .. }) => "malformed",
        };
        let labels = AttemptLabels { engine: engine.to_owned(), result };
        self.metrics.attempts.get_or_create(&labels).inc();
    }

    /// Notes how the completion ended; only the first call counts.
    pub fn end(&mut self, outcome: RequestEnd) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let labels =
            RequestLabels { model: self.model.clone(), group: self.group.clone(), outcome };
        self.metrics.requests.get_or_create(&labels).inc();
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        self.end(RequestEnd::Abandoned);
    }
}
