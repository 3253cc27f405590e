//! Relays event streams from a server to the client.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cometmoor_core::gateway::attempts::Attempts;
use cometmoor_core::gateway::registry::SoftwareHash;
use cometmoor_core::gateway::server_speed::{IntervalEstimator, Speed};
use cometmoor_core::time::BootInstant;

use super::crash_check::MIN_EVENTS_OF_BEGUN_ANSWER;
use super::encode::{self, BodyFraming};
use super::exchange::{ServerResponse, invalid_data};
use super::migration::{Continuation, Migration, MigrationEnd};
use super::relay::{client_framing, push_body, push_body_end};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::http::connection::write_all;
use crate::http::events::EventSplitter;
use crate::latency::PrefillSample;
use crate::load::InFlightGuard;
use crate::servers::Server;

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream was not relayed to its end.
pub(super) enum RelayError {
    /// Writing to the client failed.
    Client,
    /// The server's stream failed or ended early.
    Server(io::Error),
    /// The run continues on another server.
    Migrated(Continuation),
}

/// What the client has received of a stream that may continue on another server.
#[derive(Debug, Default)]
pub struct StreamState {
    /// Whether the response head of the first server was sent to the client.
    pub head_sent: bool,
    /// Identifier of the last complete event that was sent to the client.
    pub last_event: Option<String>,
    /// The software version that began the stream, the only one that may go on with it; `None`
    /// for a new stream until something of it was sent to the client.
    pub software: Option<SoftwareHash>,
    /// Intervals between its events.
    pub intervals: EventIntervals,
    /// How the last server's part of it has ended.
    pub end: StreamEnd,
    framing: Option<(BodyFraming, bool)>,
}

impl StreamState {
    /// Whether no server has sent events of the stream yet, to this client or to another one that
    /// began it.
    pub fn is_new(&self) -> bool {
        !self.head_sent && self.software.is_none()
    }

    /// A stream of which this attempt has brought nothing. `software` is the version that began it
    /// if the client resumes it.
    pub fn new(software: Option<SoftwareHash>) -> StreamState {
        StreamState { software, ..StreamState::default() }
    }
}

/// How a server's part of a stream has ended.
#[derive(Clone, Copy, Debug)]
pub struct StreamEnd {
    /// How the server indicates the end of the body; `none` without a response.
    pub framing: &'static str,
    /// Complete events that it sent.
    pub events: u64,
    /// Bytes that it sent after the last complete event.
    pub unfinished_bytes: usize,
}

impl Default for StreamEnd {
    fn default() -> StreamEnd {
        StreamEnd { framing: "none", events: 0, unfinished_bytes: 0 }
    }
}

impl StreamEnd {
    /// Where an incomplete stream has ended, for metrics.
    pub fn place(&self) -> &'static str {
        if self.unfinished_bytes > 0 { "inside_event" } else { "between_events" }
    }
}

/// Intervals between the arrivals of a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventIntervals {
    last: Option<BootInstant>,
    /// Time from the arrival of the request to the first event.
    pub time_to_first: Duration,
    /// Longest interval between two events.
    pub longest: Duration,
    /// Estimates the shortest interval between two events.
    pub shortest: IntervalEstimator,
}

impl EventIntervals {
    /// Records the arrival of events. Returns the interval before them, if they are not the
    /// first.
    fn record(&mut self, received_at: BootInstant, now: BootInstant) -> Option<Duration> {
        self.shortest.record_arrival(now);
        let Some(last) = self.last.replace(now) else {
            self.time_to_first = now.since(received_at);
            return None;
        };
        let interval = now.since(last);
        self.longest = self.longest.max(interval);
        Some(interval)
    }
}

/// Records the first event of a stream, from which the prefill speed of its model is learned.
pub struct FirstEventRecorder<'a> {
    /// The request in the load of the server.
    pub guard: &'a mut InFlightGuard,
    /// When the request was sent, if its prompt did not wait for others.
    pub sent_at: Option<BootInstant>,
    /// Speed of the server.
    pub speed: Speed,
}

impl FirstEventRecorder<'_> {
    fn record(&mut self, request: &ForwardedRequest<'_>) {
        self.guard.record_first_event();
        let Some(sent_at) = self.sent_at.take() else { return };
        let Some(model) = &request.metadata.model else { return };
        let mut latencies = request.traffic.latencies.borrow_mut();
        let sample = PrefillSample {
            prompt_tokens: request.metadata.prompt_tokens,
            cached_tokens: request.assumed_cached_tokens(),
            first_event: clock::elapsed(sent_at),
            speed: self.speed,
        };
        latencies.record_prefill(&model.model, sample, request.estimate_method());
    }
}

/// Relays a stream, complete events only.
pub(super) async fn relay_events(
    request: &ForwardedRequest<'_>,
    mut response: ServerResponse,
    state: &mut StreamState,
    recorder: &mut FirstEventRecorder<'_>,
    server: &Rc<Server>,
) -> Result<ConnectionAction, RelayError> {
    let software = server.record().software_hash();
    let mut migration = Migration::new(request, server);
    let mut splitter = EventSplitter::default();
    let mut out = Vec::new();
    state.end = StreamEnd { framing: response.head.framing.name(), ..StreamEnd::default() };
    loop {
        while let Some(piece) = next_piece(&mut response)? {
            splitter.push(&piece);
        }
        let had_begun = state.head_sent;
        relay_blocks(request, &response, state, recorder, &mut splitter, &mut out);
        if state.head_sent && !had_begun {
            state.software = Some(software);
            request.announce_origin(software);
        }
        if response.decoder.is_done() {
            return end_stream(request, response, state, splitter, out, server).await;
        }
        if !out.is_empty() {
            write_all(request.client, &out).await.map_err(|_| RelayError::Client)?;
            out.clear();
        }
        if splitter.pending_bytes() > MAX_EVENT_BYTES {
            return Err(RelayError::Server(invalid_data()));
        }
        if state.last_event.is_some() {
            migration.start_if_needed();
        }
        let more = migration.read_more(&mut response).await;
        if !matches!(more, Ok(true)) {
            // The source closes the connection of a stopped run, whatever the framing.
            let may_be_stopped = match migration.finish().await {
                MigrationEnd::Continued(next) => return Err(RelayError::Migrated(next)),
                MigrationEnd::MayBeStopped => true,
                MigrationEnd::NotStopped => false,
            };
            more.map_err(RelayError::Server)?;
            if may_be_stopped || !response.decoder.ends_with_connection() {
                return Err(RelayError::Server(io::ErrorKind::UnexpectedEof.into()));
            }
            return end_stream(request, response, state, splitter, out, server).await;
        }
    }
}

/// Moves the complete blocks that were received to the output.
fn relay_blocks(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
    state: &mut StreamState,
    recorder: &mut FirstEventRecorder<'_>,
    splitter: &mut EventSplitter,
    out: &mut Vec<u8>,
) {
    let events_before = state.end.events;
    let mut new_bytes = Vec::new();
    while let Some(block) = splitter.next_block() {
        state.end.events += u64::from(block.is_event);
        if is_duplicate(block.id(), state.last_event.as_deref()) {
            continue;
        }
        if let Some(id) = block.id() {
            state.last_event = Some(id.to_owned());
        }
        new_bytes.extend_from_slice(&block.bytes);
    }
    state.end.unfinished_bytes = splitter.pending_bytes();
    if (events_before..state.end.events).contains(&(MIN_EVENTS_OF_BEGUN_ANSWER - 1)) {
        request.record_harmless_parts();
    }
    if state.end.events > events_before {
        if let Some(interval) = state.intervals.record(request.received_at, clock::now()) {
            let metrics = &request.traffic.metrics;
            metrics.observe(&metrics.event_interval, interval);
        }
        recorder.record(request);
    }
    if !new_bytes.is_empty() {
        let (framing, _) = start_response(request, response, state, out);
        push_body(framing, &new_bytes, out);
    }
}

fn next_piece(response: &mut ServerResponse) -> Result<Option<Bytes>, RelayError> {
    response.decoder.next(&mut response.buffer).map_err(|_| RelayError::Server(invalid_data()))
}

/// Ends the stream for the client if the server has completed it.
async fn end_stream(
    request: &ForwardedRequest<'_>,
    response: ServerResponse,
    state: &mut StreamState,
    mut splitter: EventSplitter,
    mut out: Vec<u8>,
    server: &Server,
) -> Result<ConnectionAction, RelayError> {
    let ended_with_connection = response.decoder.ends_with_connection();
    let is_inside_event = splitter.is_inside_event();
    if (is_inside_event || ended_with_connection) && !out.is_empty() {
        write_all(request.client, &out).await.map_err(|_| RelayError::Client)?;
        out.clear();
    }
    let has_no_end =
        ended_with_connection && (state.end.events == 0 || !response.has_server_closed().await);
    if is_inside_event || has_no_end {
        return Err(RelayError::Server(match ended_with_connection {
            true => io::ErrorKind::UnexpectedEof.into(),
            false => invalid_data(),
        }));
    }
    let (framing, keep) = start_response(request, &response, state, &mut out);
    push_body(framing, &splitter.take_rest(), &mut out);
    push_body_end(framing, &mut out);
    response.release_connection(&server.pool);
    Ok(request.end_body(framing, &out, keep).await)
}

/// Writes the response head, unless it was written before. Returns the framing of the body and
/// whether the connection is kept open.
fn start_response(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
    state: &mut StreamState,
    out: &mut Vec<u8>,
) -> (BodyFraming, bool) {
    if let Some(started) = state.framing {
        return started;
    }
    let started = stream_framing(request, response);
    state.framing = Some(started);
    state.head_sent = true;
    request.update_attempts(Attempts::record_response_started);
    request.begin_body(started.0);
    out.extend_from_slice(&encode::response_head(&response.head, Some(started.0), started.1));
    started
}

/// Whether the client already has the event; identifiers are increasing numbers.
fn is_duplicate(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}

/// How the end of a stream is indicated to the client, and whether its connection is kept open.
/// Another server may complete the stream, so the length that this one names is not promised.
fn stream_framing(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
) -> (BodyFraming, bool) {
    match (client_framing(request, response), request.head.is_http_1_1) {
        ((BodyFraming::Length(1..), keep), true) => (BodyFraming::Chunked, keep),
        ((BodyFraming::Length(1..), _), false) => (BodyFraming::UntilClose, false),
        (framing, _) => framing,
    }
}
