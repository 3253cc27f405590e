//! Chat and text completions, streamed and whole.

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use cometmoor_core::idempotency::StoredAnswer;
use cometmoor_protocol::engine::CompletionChunk;
use cometmoor_protocol::error::Step;
use futures::Stream;
use futures::stream::{self, StreamExt};
use tokio::sync::mpsc;

use super::arrival::{ReceivedBody, read_body, require_serving};
use super::authentication::authenticate;
use super::error::RequestError;
use super::forward::forward;
use super::generation::{Generation, GenerationRequest};
use super::headers::REQUEST_ID_HEADER;
use super::idempotent::{KeyedAnswer, RequestKey, begin, end_run, request_key};
use super::openai::{AnswerWriter, CompletionBody, Form, WholeCompletion};
use super::run_log::{RunLog, RunPart};
use super::worker::Worker;
use crate::context::RequestGuard;
use crate::settings::millis;
use crate::telemetry::traces::Hop;

/// Parts of a stream that wait for a slow reader.
const STREAM_BUFFER: usize = 64;
/// Content type under which a completion is remembered for its key.
const STORED_COMPLETION: &str = "application/vnd.cometmoor.completion+json";
type ChunkResult = Result<CompletionChunk, RequestError>;

/// `POST /v1/chat/completions`
pub async fn chat(
    worker: web::Data<Worker>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, RequestError> {
    complete(worker, request, payload, Form::Chat).await
}

/// `POST /v1/completions`
pub async fn text(
    worker: web::Data<Worker>,
    request: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, RequestError> {
    complete(worker, request, payload, Form::Text).await
}

async fn complete(
    worker: web::Data<Worker>,
    request: HttpRequest,
    payload: web::Payload,
    form: Form,
) -> Result<HttpResponse, RequestError> {
    let guard = worker.node.begin_request();
    let request_id = format!("{:032x}", rand::random::<u128>());
    let hop = worker.node.tracing.begin("completion", request.headers());
    hop.attribute("request", request_id.as_str());
    let arrival = Arrival { request: &request, request_id: &request_id, form, guard, hop };
    let hop = arrival.hop.clone();
    answer(&worker, arrival, payload).await.map_err(|error| {
        hop.fail(&error.detail.message);
        worker.node.metrics.record_error(error.detail.step, error.detail.outcome);
        error.of_request(&request_id)
    })
}

/// A request that has just arrived.
struct Arrival<'a> {
    request: &'a HttpRequest,
    request_id: &'a str,
    form: Form,
    guard: RequestGuard,
    hop: Hop,
}

async fn answer(
    worker: &Worker,
    arrival: Arrival<'_>,
    payload: web::Payload,
) -> Result<HttpResponse, RequestError> {
    let Arrival { request, request_id, form, mut guard, hop } = arrival;
    require_serving(&worker.node)?;
    let access = authenticate(&worker.node.published.load(), request)?;
    let ReceivedBody { bytes, memory } = read_body(worker, payload).await?;
    guard.hold_body(memory.clone());
    let body = parse(&bytes)?;
    let key = request_key(worker, request, &access.group, &bytes)?;
    let generation_request = GenerationRequest {
        request_id: request_id.to_owned(),
        resolved: resolve(worker, &body.model)?,
        group: access.group,
        entitlement: access.entitlement,
        priority: access.priority,
        prompt: body.prompt_text().ok_or_else(|| bad_body("a prompt or messages are needed"))?,
        max_tokens: body.max_tokens(),
        parameters: body.parameters.clone(),
        repeatable: key.is_none(),
    };
    let writer =
        AnswerWriter { form, request_id: request_id.to_owned(), model: body.model.clone() };
    let chunks = match key {
        None => direct(worker, generation_request, hop).await?,
        Some(key) => match begin(worker, request, &key)? {
            KeyedAnswer::Forward(holder) => {
                return forward(worker, request, bytes, &holder, guard, &hop).await;
            }
            KeyedAnswer::Replay(answer) => replay(&answer)?,
            KeyedAnswer::Join(log) => read_log(log),
            KeyedAnswer::Start(log) => {
                let mut run_guard = worker.node.begin_request();
                run_guard.hold_body(memory);
                let run = run_keyed(worker.clone(), generation_request, key, log.clone(), hop);
                actix_web::rt::spawn(async move {
                    run.await;
                    drop(run_guard);
                });
                read_log(log)
            }
        },
    };
    if body.stream {
        stream_answer(chunks, writer, guard).await
    } else {
        whole_answer(worker, chunks, &writer).await
    }
}

fn bad_body(message: impl Into<String>) -> RequestError {
    RequestError::not_run(StatusCode::BAD_REQUEST, Step::Receive, message)
}

fn parse(bytes: &[u8]) -> Result<CompletionBody, RequestError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        bad_body(format!("{path}: {}", error.into_inner()))
    })
}

fn resolve(
    worker: &Worker,
    model: &str,
) -> Result<cometmoor_core::catalog::Resolved, RequestError> {
    let catalog = worker.node.published.load().catalog.clone();
    catalog.resolve(model).ok_or_else(|| {
        let message = format!("there is no model, version or adapter {model:?}");
        let mut error = RequestError::not_run(StatusCode::NOT_FOUND, Step::Resolve, message);
        error.detail.near_names = catalog.similar_names(model);
        error
    })
}

type ChunkStream = std::pin::Pin<Box<dyn Stream<Item = ChunkResult>>>;

/// Runs a repeatable request for its caller alone: when the caller goes away,
/// the run is cancelled.
async fn direct(
    worker: &Worker,
    request: GenerationRequest,
    hop: Hop,
) -> Result<ChunkStream, RequestError> {
    let mut generation = Generation::start(worker.clone(), request, hop).await?;
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    let patience = millis(worker.node.settings.timing.caller_timeout_millis);
    actix_web::rt::spawn(async move {
        while let Some(chunk) = generation.next().await {
            let sent = tokio::time::timeout(patience, sender.send(chunk)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
    });
    let receive = |mut receiver: mpsc::Receiver<ChunkResult>| async move {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    };
    Ok(Box::pin(stream::unfold(receiver, receive)))
}

/// Runs a request that must not be repeated, to its end.
async fn run_keyed(
    worker: Worker,
    request: GenerationRequest,
    key: RequestKey,
    log: Arc<RunLog>,
    hop: Hop,
) {
    let end = generate_into(&worker, request, &log, hop).await;
    end_run(&worker, &key, &log, end);
}

async fn generate_into(
    worker: &Worker,
    request: GenerationRequest,
    log: &RunLog,
    hop: Hop,
) -> Result<StoredAnswer, RequestError> {
    let mut generation = Generation::start(worker.clone(), request, hop).await?;
    let mut whole = WholeCompletion::default();
    while let Some(chunk) = generation.next().await {
        let chunk = chunk?;
        whole.add(&chunk);
        log.push(RunPart::Chunk(chunk));
    }
    let body = serde_json::to_vec(&whole).map_err(|error| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        RequestError::unknown(status, Step::Idempotency, error.to_string())
    })?;
    Ok(StoredAnswer {
        status: StatusCode::OK.as_u16(),
        content_type: STORED_COMPLETION.to_owned(),
        body,
    })
}

fn replay(answer: &StoredAnswer) -> Result<ChunkStream, RequestError> {
    let whole: WholeCompletion = serde_json::from_slice(&answer.body).map_err(|error| {
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        RequestError::unknown(status, Step::Idempotency, error.to_string())
    })?;
    Ok(Box::pin(stream::iter([Ok(whole.into_chunk())])))
}

fn read_log(log: Arc<RunLog>) -> ChunkStream {
    Box::pin(stream::unfold(Some((log, 0)), |reader| async move {
        let (log, position) = reader?;
        match log.get(position).await? {
            Ok(RunPart::Chunk(chunk)) => Some((Ok(chunk), Some((log, position + 1)))),
            Ok(RunPart::Answer(_)) => None,
            Err(error) => Some((Err(error), None)),
        }
    }))
}

async fn whole_answer(
    worker: &Worker,
    mut chunks: ChunkStream,
    writer: &AnswerWriter,
) -> Result<HttpResponse, RequestError> {
    let mut whole = WholeCompletion::default();
    while let Some(chunk) = chunks.next().await {
        whole.add(&chunk?);
        if whole.text.len() > worker.node.settings.limits.answer_bytes {
            let message = "the engine's answer is larger than the limit";
            let status = StatusCode::BAD_GATEWAY;
            return Err(RequestError::unknown(status, Step::Stream, message));
        }
    }
    Ok(HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, writer.request_id.as_str()))
        .json(writer.whole(&whole)))
}

/// Streams an answer. The first part is awaited before the head is sent, so
/// that an early failure still has its own status.
async fn stream_answer(
    mut chunks: ChunkStream,
    writer: AnswerWriter,
    guard: RequestGuard,
) -> Result<HttpResponse, RequestError> {
    let first = match chunks.next().await {
        Some(Ok(chunk)) => chunk,
        Some(Err(error)) => return Err(error),
        None => {
            let message = "the engine's answer is empty";
            return Err(RequestError::unknown(StatusCode::BAD_GATEWAY, Step::Stream, message));
        }
    };
    let request_id = writer.request_id.clone();
    let all = stream::iter([Ok(first)]).chain(chunks);
    let events = all.map(move |chunk| {
        // The guard counts the request until the last part is written.
        let _ = &guard;
        Ok::<Bytes, RequestError>(Bytes::from(match chunk {
            Ok(chunk) if chunk.finish_reason.is_some() => writer.event(&chunk) + writer.done(),
            Ok(chunk) => writer.event(&chunk),
            Err(error) => error_event(&error.of_request(&writer.request_id)),
        }))
    });
    Ok(HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header((REQUEST_ID_HEADER, request_id))
        .streaming(events))
}

/// Ends a stream that cannot be completed; `[DONE]` does not follow.
fn error_event(error: &RequestError) -> String {
    let body = serde_json::to_string(&error.body()).unwrap_or_default();
    format!("event: error\ndata: {body}\n\n")
}
