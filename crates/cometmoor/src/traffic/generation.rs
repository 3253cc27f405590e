//! One caller's answer: the attempts at engines that it takes.
//!
//! A broken stream is resumed at the same engine first. If that fails, a
//! repeatable request goes on at another engine, which gets the prompt with
//! the text so far; one that must not be repeated ends with an error.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use actix_web::http::StatusCode;
use cometmoor_core::admission::{AdmissionRequest, Shed, ShedReason};
use cometmoor_core::catalog::Resolved;
use cometmoor_core::stream::Reassembler;
use cometmoor_core::time::Timestamp;
use cometmoor_protocol::engine::{CompletionChunk, CompletionRequest, RefusalReason};
use cometmoor_protocol::error::{Outcome, Step};
use futures::StreamExt;
use spdlog::{info, warn};

use super::dispatcher::{AttemptEnd, SlotGuard};
use super::error::RequestError;
use super::meter::RequestMeter;
use super::worker::Worker;
use crate::engine::EngineError;
use crate::engine::http::ChunkStream;
use crate::settings::millis;
use crate::telemetry::log::Part;
use crate::telemetry::metrics::RequestEnd;
use crate::telemetry::traces::Hop;

/// Engines that one request may be sent to.
const MAX_ATTEMPTS: u32 = 4;
/// Attempts at resuming a stream at its engine.
const MAX_RESUMES: u32 = 3;
/// Pause before the first attempt at resuming; it doubles with each.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Time for an engine to take a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a caller asked for.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Identifier of the request.
    pub request_id: String,
    /// Model, version and adapter.
    pub resolved: Resolved,
    /// Group of the caller.
    pub group: String,
    /// Entitlement of the group.
    pub entitlement: u32,
    /// Priority within the engine.
    pub priority: u32,
    /// Prompt text.
    pub prompt: String,
    /// Upper bound of generated tokens.
    pub max_tokens: u32,
    /// Sampling parameters for the engine.
    pub parameters: serde_json::Map<String, serde_json::Value>,
    /// Whether it may be run again.
    pub repeatable: bool,
}

/// An attempt at one engine.
struct Attempt {
    slot: SlotGuard,
    engine_request: CompletionRequest,
    stream: ChunkStream,
    parts: Reassembler,
    resumes: u32,
    finished: bool,
    hop: Hop,
}

impl Attempt {
    fn new(
        slot: SlotGuard,
        engine_request: CompletionRequest,
        stream: ChunkStream,
        hop: Hop,
    ) -> Attempt {
        let parts = Reassembler::default();
        Attempt { slot, engine_request, stream, parts, resumes: 0, finished: false, hop }
    }
}

/// The running answer to one request.
pub struct Generation {
    worker: Worker,
    request: GenerationRequest,
    hop: Hop,
    meter: RequestMeter,
    excluded: BTreeSet<String>,
    attempts: u32,
    /// Whether an engine may have run the request without an answer.
    may_have_run: bool,
    attempt: Option<Attempt>,
    ready: VecDeque<CompletionChunk>,
    text: String,
    next_index: u64,
    complete: bool,
}

impl Generation {
    /// Finds an engine that takes the request.
    pub async fn start(
        worker: Worker,
        request: GenerationRequest,
        hop: Hop,
    ) -> Result<Generation, RequestError> {
        worker.node.dispatcher.record_request();
        let metrics = worker.node.metrics.clone();
        let meter = RequestMeter::start(metrics, &request.resolved.artifact.model, &request.group);
        let mut generation = Generation {
            worker,
            request,
            hop,
            meter,
            excluded: BTreeSet::new(),
            attempts: 0,
            may_have_run: false,
            attempt: None,
            ready: VecDeque::new(),
            text: String::new(),
            next_index: 0,
            complete: false,
        };
        match generation.open_attempt().await {
            Ok(()) => Ok(generation),
            Err(error) => {
                generation.meter.end(error.detail.outcome.into());
                Err(error)
            }
        }
    }

    /// The next part of the answer; none after its last one.
    pub async fn next(&mut self) -> Option<Result<CompletionChunk, RequestError>> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return Some(self.check_size(&chunk).map(|()| self.pass_on(chunk)));
            }
            if self.complete {
                return None;
            }
            if let Err(error) = self.receive().await {
                self.complete = true;
                self.meter.end(error.detail.outcome.into());
                return Some(Err(error));
            }
        }
    }

    /// Refuses an answer that is larger than asked for or than the limit.
    fn check_size(&mut self, chunk: &CompletionChunk) -> Result<(), RequestError> {
        let limit = self.worker.node.settings.limits.answer_bytes;
        let too_many = self.next_index >= u64::from(self.request.max_tokens);
        let too_large = self.text.len() + chunk.text.len() > limit;
        if !too_many && !too_large {
            return Ok(());
        }
        let peer = self.attempt.as_ref().map(|attempt| attempt.slot.slot().engine.address.clone());
        self.complete = true;
        self.ready.clear();
        self.meter.end(RequestEnd::Unknown);
        let error = self.broken("the engine's answer is larger than asked for");
        Err(error.at_peer(peer.unwrap_or_default()))
    }

    fn pass_on(&mut self, chunk: CompletionChunk) -> CompletionChunk {
        self.meter.token();
        self.text.push_str(&chunk.text);
        self.complete = chunk.finish_reason.is_some();
        let index = self.next_index;
        self.next_index += 1;
        if self.complete {
            self.finish_attempt();
            self.meter.end(RequestEnd::Whole);
        }
        CompletionChunk { index, ..chunk }
    }

    fn finish_attempt(&mut self) {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.finished = true;
            attempt.slot.note_end(AttemptEnd::Success);
        }
    }

    /// Sends the request to one engine after another until one takes it.
    async fn open_attempt(&mut self) -> Result<(), RequestError> {
        let node = &self.worker.node;
        let deadline = node.clock.now() + millis(node.settings.timing.queue_wait_millis);
        loop {
            let slot = self.acquire(deadline).await?;
            self.attempts += 1;
            let engine_request = self.engine_request(&slot);
            let hop = self.worker.node.tracing.child("dispatch", &self.hop);
            match self.send(&slot, &engine_request, &hop).await {
                Ok(stream) => {
                    self.attempt = Some(Attempt::new(slot, engine_request, stream, hop));
                    return Ok(());
                }
                Err(error) => {
                    hop.fail(&error.to_string());
                    self.attempt_failed(slot, engine_request, error)?;
                }
            }
        }
    }

    /// Sends the request to the engine of a slot.
    async fn send(
        &self,
        slot: &SlotGuard,
        engine_request: &CompletionRequest,
        hop: &Hop,
    ) -> Result<ChunkStream, EngineError> {
        let engine = &slot.slot().engine;
        hop.attribute("engine", engine.name.as_str());
        let traceparent = hop.traceparent();
        let timeout = millis(self.worker.node.settings.timing.first_token_timeout_millis);
        let engines = &self.worker.engines;
        let call =
            engines.complete(&engine.address, engine_request, traceparent.as_deref(), timeout);
        let result = call.await;
        self.meter.attempt(&engine.name, &result);
        result
    }

    async fn acquire(&self, deadline: Timestamp) -> Result<SlotGuard, RequestError> {
        let request = AdmissionRequest {
            resolved: self.request.resolved.clone(),
            group: self.request.group.clone(),
            entitlement: self.request.entitlement,
            cost: u64::from(self.request.max_tokens),
            deadline,
            excluded: self.excluded.clone(),
        };
        self.worker.node.dispatcher.acquire(request).await.map_err(|shed| self.shed_error(shed))
    }

    fn engine_request(&self, slot: &SlotGuard) -> CompletionRequest {
        let generated = u32::try_from(self.next_index).unwrap_or(u32::MAX);
        CompletionRequest {
            request_id: format!("{}-{}", self.request.request_id, self.attempts),
            artifact: slot.slot().artifact.clone(),
            prompt: format!("{}{}", self.request.prompt, self.text),
            max_tokens: self.request.max_tokens.saturating_sub(generated).max(1),
            priority: self.request.priority,
            resume_from: 0,
            parameters: self.request.parameters.clone(),
        }
    }

    /// Decides after a failed attempt whether another engine is tried.
    fn attempt_failed(
        &mut self,
        mut slot: SlotGuard,
        engine_request: CompletionRequest,
        error: EngineError,
    ) -> Result<(), RequestError> {
        let request_id = &self.request.request_id;
        info!("{} request {request_id}: {error}", Part::Traffic);
        slot.note_end(attempt_end(&error));
        self.excluded.insert(slot.slot().engine.name.clone());
        if !error.not_run() {
            self.may_have_run = true;
            self.cancel(slot.slot().engine.address.clone(), engine_request.request_id);
        }
        let may_repeat = error.not_run() || self.request.repeatable;
        let dispatcher = &self.worker.node.dispatcher;
        if may_repeat && self.attempts < MAX_ATTEMPTS && dispatcher.try_retry() {
            return Ok(());
        }
        let message = format!("{error}");
        let status = StatusCode::BAD_GATEWAY;
        Err(RequestError::new(status, Step::Dispatch, self.outcome(), message)
            .at_peer(error.peer())
            .retry_after(millis(self.worker.node.settings.timing.engine_poll_millis))
            .of_request(&self.request.request_id))
    }

    fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    fn shed_error(&self, shed: Shed) -> RequestError {
        let (status, message) = match shed.reason {
            ShedReason::QueueFull => (StatusCode::TOO_MANY_REQUESTS, "the queue is full"),
            ShedReason::DeadlineTooClose => {
                (StatusCode::SERVICE_UNAVAILABLE, "there is no free slot in time")
            }
            ShedReason::NoEngine => {
                (StatusCode::SERVICE_UNAVAILABLE, "no engine that is left can answer")
            }
        };
        RequestError::new(status, Step::Admit, self.outcome(), message)
            .retry_after(shed.retry_after)
            .of_request(&self.request.request_id)
    }

    /// Waits for the engine's next part, and for a new stream if this one
    /// breaks.
    async fn receive(&mut self) -> Result<(), RequestError> {
        let timing = &self.worker.node.settings.timing;
        let nothing_yet = self.next_index == 0;
        let timeout = millis(if nothing_yet {
            timing.first_token_timeout_millis
        } else {
            timing.token_timeout_millis
        });
        let Some(attempt) = &mut self.attempt else {
            return Err(self.broken("the stream has no engine"));
        };
        let reason = match tokio::time::timeout(timeout, attempt.stream.next()).await {
            Ok(Some(Ok(chunk))) => match attempt.parts.push(chunk) {
                Ok(chunks) => {
                    self.ready.extend(chunks);
                    return Ok(());
                }
                Err(error) => format!("the engine's parts do not fit: {error:?}"),
            },
            Ok(Some(Err(error))) => error.to_string(),
            Ok(None) => "the stream ended before the answer".to_owned(),
            Err(_) => format!("no token within {timeout:?}"),
        };
        self.recover(&reason).await
    }

    /// Resumes a broken stream, or goes on at another engine.
    async fn recover(&mut self, reason: &str) -> Result<(), RequestError> {
        self.may_have_run = true;
        let request_id = self.request.request_id.clone();
        warn!("{} request {request_id} lost its stream: {reason}", Part::Traffic);
        if self.resume().await {
            return Ok(());
        }
        let Some(mut attempt) = self.attempt.take() else {
            return Err(self.broken(reason));
        };
        attempt.slot.note_end(AttemptEnd::Failure);
        attempt.finished = true;
        let engine = attempt.slot.slot().engine.clone();
        self.cancel(engine.address.clone(), attempt.engine_request.request_id.clone());
        self.excluded.insert(engine.name.clone());
        drop(attempt);
        let retry_allowed = self.request.repeatable
            && self.attempts < MAX_ATTEMPTS
            && self.worker.node.dispatcher.try_retry();
        if !retry_allowed {
            return Err(self.broken(reason).at_peer(&engine.address));
        }
        self.open_attempt().await
    }

    /// Asks the engine for the stream from the first missing part on.
    async fn resume(&mut self) -> bool {
        let timeout = millis(self.worker.node.settings.timing.token_timeout_millis);
        let Some(attempt) = &mut self.attempt else {
            return false;
        };
        let mut pause = RESUME_PAUSE;
        while attempt.resumes < MAX_RESUMES {
            attempt.resumes += 1;
            tokio::time::sleep(pause).await;
            pause *= 2;
            attempt.engine_request.resume_from = attempt.parts.resume();
            let address = &attempt.slot.slot().engine.address;
            let traceparent = attempt.hop.traceparent();
            let call = self.worker.engines.complete(
                address,
                &attempt.engine_request,
                traceparent.as_deref(),
                timeout,
            );
            match call.await {
                Ok(stream) => {
                    attempt.stream = stream;
                    return true;
                }
                Err(EngineError::Refused { .. }) => return false,
                Err(_) => {}
            }
        }
        false
    }

    fn broken(&self, reason: &str) -> RequestError {
        let status = StatusCode::BAD_GATEWAY;
        RequestError::unknown(status, Step::Stream, reason).of_request(&self.request.request_id)
    }

    /// Cancels at an engine without waiting.
    fn cancel(&self, address: String, request_id: String) {
        let engines = self.worker.engines.clone();
        actix_web::rt::spawn(async move {
            // An engine that does not hear it ends the request by itself.
            let _ = engines.cancel(&address, &request_id, CANCEL_TIMEOUT).await;
        });
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take().filter(|attempt| !attempt.finished) {
            let address = attempt.slot.slot().engine.address.clone();
            self.cancel(address, attempt.engine_request.request_id.clone());
        }
    }
}

fn attempt_end(error: &EngineError) -> AttemptEnd {
    match error {
        EngineError::Refused { reason: RefusalReason::Leaving, .. } => AttemptEnd::Leaving,
        EngineError::Refused { .. } => AttemptEnd::Abandoned,
        _ => AttemptEnd::Failure,
    }
}
