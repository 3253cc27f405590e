//! Relays response bodies from a server to the client.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cometmoor_core::gateway::attempts::Attempts;
use cometmoor_core::time::BootInstant;

use super::encode::{self, BodyFraming};
use super::exchange::{ServerResponse, invalid_data};
use super::migration::{Continuation, Migration};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::http::connection::write_all;
use crate::http::head::Framing;
use crate::load::InFlightGuard;
use crate::pool::Pool;
use crate::servers::Server;

/// Largest body that is read completely before it is relayed, in bytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
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

/// A body, or the beginning of one that is too large to be buffered.
pub struct BufferedBody {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    /// Whether this is the complete body.
    pub is_complete: bool,
}

/// Reads a body until it is complete or too large to be buffered.
pub async fn buffer_body(response: &mut ServerResponse) -> io::Result<BufferedBody> {
    let mut bytes = Vec::new();
    loop {
        while let Some(piece) =
            response.decoder.next(&mut response.buffer).map_err(|_| invalid_data())?
        {
            bytes.extend_from_slice(&piece);
        }
        if response.decoder.is_done() {
            return Ok(BufferedBody { bytes, is_complete: true });
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(BufferedBody { bytes, is_complete: false });
        }
        if !response.read_more().await? {
            let is_complete = response.ends_with_connection();
            return if is_complete {
                Ok(BufferedBody { bytes, is_complete })
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Relays a large body as it arrives, after the prefix that was buffered.
pub async fn relay_large_body(
    request: &ForwardedRequest<'_>,
    mut response: ServerResponse,
    prefix: Vec<u8>,
) -> ConnectionAction {
    request.update_attempts(Attempts::record_response_started);
    let (framing, keep) = client_framing(request, &response);
    let mut bytes = encode::response_head(&response.head, Some(framing), keep);
    push_body(framing, &prefix, &mut bytes);
    loop {
        if write_all(request.client, &bytes).await.is_err() {
            return ConnectionAction::Abort;
        }
        bytes.clear();
        while let Ok(Some(piece)) = response.decoder.next(&mut response.buffer) {
            push_body(framing, &piece, &mut bytes);
        }
        if response.decoder.is_done() {
            push_body_end(framing, &mut bytes);
            return request.write_response(&bytes, keep).await;
        }
        if !bytes.is_empty() {
            continue;
        }
        match response.read_more().await {
            Ok(true) => {}
            Ok(false) if response.ends_with_connection() => {
                push_body_end(framing, &mut bytes);
                return request.write_response(&bytes, keep).await;
            }
            Ok(false) | Err(_) => return ConnectionAction::Abort,
        }
    }
}

/// How the end of the body is indicated to the client, and whether its connection is kept open.
fn client_framing(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
) -> (BodyFraming, bool) {
    let keep = request.keeps_connection();
    match response.head.framing {
        Framing::Length(length) => (BodyFraming::Length(length), keep),
        Framing::Empty => (BodyFraming::Length(0), keep),
        Framing::Chunked | Framing::UntilClose if request.head.is_http_1_1 => {
            (BodyFraming::Chunked, keep)
        }
        Framing::Chunked | Framing::UntilClose => (BodyFraming::UntilClose, false),
    }
}

fn push_body(framing: BodyFraming, piece: &[u8], bytes: &mut Vec<u8>) {
    if piece.is_empty() {
        return;
    }
    match framing {
        BodyFraming::Chunked => encode::push_chunk(piece, bytes),
        BodyFraming::Length(_) | BodyFraming::UntilClose => bytes.extend_from_slice(piece),
    }
}

fn push_body_end(framing: BodyFraming, bytes: &mut Vec<u8>) {
    if framing == BodyFraming::Chunked {
        encode::push_chunk(&[], bytes);
    }
}

/// What the client has received of a stream that may continue on another server.
#[derive(Debug, Default)]
pub struct StreamState {
    /// Whether the response head of the first server was sent to the client.
    pub head_sent: bool,
    /// Identifier of the last complete event that was sent to the client.
    pub last_event: Option<String>,
    /// Intervals between its events.
    pub intervals: EventIntervals,
    /// How the last server's part of it has ended.
    pub end: StreamEnd,
    framing: Option<(BodyFraming, bool)>,
}

/// How a server's part of a stream has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamEnd {
    /// How the server indicates the end of the body.
    pub framing: &'static str,
    /// Complete events that it sent.
    pub events: u64,
    /// Bytes that it sent after the last complete event.
    pub unfinished_bytes: usize,
}

impl StreamEnd {
    /// Records the events in the bytes that have been received and not yet relayed.
    fn record(&mut self, pending: &[u8]) {
        let complete = events_end(pending);
        self.events += split_events(&pending[..complete]).count() as u64;
        self.unfinished_bytes = pending.len() - complete;
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
}

impl EventIntervals {
    /// Records the arrival of events. Returns the interval before them, if they are not the
    /// first.
    fn record(&mut self, received_at: BootInstant, now: BootInstant) -> Option<Duration> {
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
}

impl FirstEventRecorder<'_> {
    fn record(&mut self, request: &ForwardedRequest<'_>) {
        self.guard.record_first_event();
        let Some(sent_at) = self.sent_at.take() else { return };
        let Some(model) = &request.metadata.model else { return };
        let mut latencies = request.traffic.latencies.borrow_mut();
        latencies.record_prefill(
            &model.model,
            request.metadata.prompt_tokens,
            clock::elapsed(sent_at),
        );
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
    let pool = &server.pool;
    let mut migration = Migration::new(request, server);
    let mut pending = BytesMut::new();
    let mut out = Vec::new();
    state.end = StreamEnd { framing: response.head.framing.name(), ..StreamEnd::default() };
    loop {
        while let Some(piece) = next_piece(&mut response)? {
            pending.extend_from_slice(&piece);
        }
        let done = response.decoder.is_done();
        state.end.record(&pending);
        let events = take_events(&mut pending, done);
        if !events.is_empty() {
            if let Some(interval) = state.intervals.record(request.received_at, clock::now()) {
                let metrics = &request.traffic.metrics;
                metrics.observe(&metrics.event_interval, interval);
            }
            recorder.record(request);
            push_events(request, &response, state, &events, &mut out);
        }
        if done {
            return end_stream(request, response, state, out, pool).await;
        }
        if !out.is_empty() {
            write_all(request.client, &out).await.map_err(|_| RelayError::Client)?;
            out.clear();
        }
        if pending.len() > MAX_EVENT_BYTES {
            return Err(RelayError::Server(invalid_data()));
        }
        if state.last_event.is_some() {
            migration.start_if_needed();
        }
        let more = migration.read_more(&mut response).await;
        if !matches!(more, Ok(true)) {
            // The source closes the connection of a migrated run, whatever the framing.
            if let Some(continuation) = migration.into_continuation().await {
                return Err(RelayError::Migrated(continuation));
            }
            more.map_err(RelayError::Server)?;
            if !response.ends_with_connection() {
                return Err(RelayError::Server(io::ErrorKind::UnexpectedEof.into()));
            }
            let rest = take_events(&mut pending, true);
            push_events(request, &response, state, &rest, &mut out);
            return end_stream(request, response, state, out, pool).await;
        }
    }
}

fn next_piece(response: &mut ServerResponse) -> Result<Option<Bytes>, RelayError> {
    response.decoder.next(&mut response.buffer).map_err(|_| RelayError::Server(invalid_data()))
}

async fn end_stream(
    request: &ForwardedRequest<'_>,
    response: ServerResponse,
    state: &mut StreamState,
    mut out: Vec<u8>,
    pool: &Pool,
) -> Result<ConnectionAction, RelayError> {
    let (framing, keep) = start_response(request, &response, state, &mut out);
    push_body_end(framing, &mut out);
    response.release_connection(pool);
    Ok(request.write_response(&out, keep).await)
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
    let started = client_framing(request, response);
    state.framing = Some(started);
    state.head_sent = true;
    request.update_attempts(Attempts::record_response_started);
    out.extend_from_slice(&encode::response_head(&response.head, Some(started.0), started.1));
    started
}

fn push_events(
    request: &ForwardedRequest<'_>,
    response: &ServerResponse,
    state: &mut StreamState,
    events: &[u8],
    out: &mut Vec<u8>,
) {
    let (framing, _) = start_response(request, response, state, out);
    let previous_id = state.last_event.clone();
    let mut new_events = Vec::with_capacity(events.len());
    for event in split_events(events) {
        let id = event_id(event);
        if is_duplicate(id, previous_id.as_deref()) {
            continue;
        }
        if let Some(id) = id {
            state.last_event = Some(id.to_owned());
        }
        new_events.extend_from_slice(event);
    }
    push_body(framing, &new_events, out);
}

/// Removes the complete events from the front of the buffer; at the end of the stream, all
/// bytes.
fn take_events(pending: &mut BytesMut, done: bool) -> BytesMut {
    let end = if done { pending.len() } else { events_end(pending) };
    pending.split_to(end)
}

/// End of the last complete event, which is after its blank line.
fn events_end(bytes: &[u8]) -> usize {
    let mut end = 0;
    let mut from = 0;
    while let Some(length) = first_event_length(&bytes[from..]) {
        from += length;
        end = from;
    }
    end
}

fn first_event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.is_empty() || line == b"\r" {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn split_events(mut bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    std::iter::from_fn(move || {
        if bytes.is_empty() {
            return None;
        }
        let length = first_event_length(bytes).unwrap_or(bytes.len());
        let (event, rest) = bytes.split_at(length);
        bytes = rest;
        Some(event)
    })
}

/// Value of the `id` field of an event.
fn event_id(event: &[u8]) -> Option<&str> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .map(str::trim)
}

/// Whether the client already has the event; identifiers are increasing numbers.
fn is_duplicate(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}
