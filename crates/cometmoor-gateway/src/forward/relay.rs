//! Bodies on their way from a server to a client.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cometmoor_core::gateway::attempts::Attempts;
use cometmoor_core::time::BootInstant;

use super::encode::{self, Passed};
use super::exchange::{Received, invalid};
use super::migration::{Continuation, Migration};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::http::connection::write_all;
use crate::http::head::Framing;
use crate::load::Sent;
use crate::pool::Pool;
use crate::servers::Server;

/// Largest body that is read whole before it is passed on, in bytes.
const MAX_COLLECTED_BYTES: usize = 64 << 10;
/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Which side broke off.
pub(super) enum RelayError {
    /// The client.
    Client,
    /// The server.
    Server(io::Error),
    /// Neither: the run goes on at another server.
    Moved(Continuation),
}

/// A body, or the beginning of a long one.
pub struct Collected {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Whether they are all.
    pub whole: bool,
}

/// Reads a body until it is whole or too long to be kept.
pub async fn collect(received: &mut Received) -> io::Result<Collected> {
    let mut bytes = Vec::new();
    loop {
        while let Some(piece) =
            received.decoder.next(&mut received.buffer).map_err(|_| invalid())?
        {
            bytes.extend_from_slice(&piece);
        }
        if received.decoder.is_done() {
            return Ok(Collected { bytes, whole: true });
        }
        if bytes.len() > MAX_COLLECTED_BYTES {
            return Ok(Collected { bytes, whole: false });
        }
        if !received.read_more().await? {
            let whole = received.decoder.ends_with_connection();
            return if whole {
                Ok(Collected { bytes, whole })
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    }
}

/// Passes a long body on as it comes.
pub async fn pass_long(
    forward: &ForwardedRequest<'_>,
    mut received: Received,
    begin: Vec<u8>,
) -> ConnectionAction {
    forward.note(Attempts::record_response_started);
    let (passed, keep) = framing(forward, &received);
    let mut bytes = encode::answer_head(&received.head, Some(passed), keep);
    push(passed, &begin, &mut bytes);
    loop {
        if write_all(forward.client, &bytes).await.is_err() {
            return ConnectionAction::Abort;
        }
        bytes.clear();
        while let Ok(Some(piece)) = received.decoder.next(&mut received.buffer) {
            push(passed, &piece, &mut bytes);
        }
        if received.decoder.is_done() {
            push_end(passed, &mut bytes);
            return forward.write(&bytes, keep).await;
        }
        if !bytes.is_empty() {
            continue;
        }
        match received.read_more().await {
            Ok(true) => {}
            Ok(false) if received.decoder.ends_with_connection() => {
                push_end(passed, &mut bytes);
                return forward.write(&bytes, keep).await;
            }
            Ok(false) | Err(_) => return ConnectionAction::Abort,
        }
    }
}

/// How the body's end is told to the client, and whether its connection stays.
fn framing(forward: &ForwardedRequest<'_>, received: &Received) -> (Passed, bool) {
    let keep = forward.keeps_connection();
    match received.head.framing {
        Framing::Length(length) => (Passed::Length(length), keep),
        Framing::Empty => (Passed::Length(0), keep),
        Framing::Chunked | Framing::UntilClose if forward.head.one_one => (Passed::Chunked, keep),
        Framing::Chunked | Framing::UntilClose => (Passed::UntilClose, false),
    }
}

fn push(passed: Passed, piece: &[u8], bytes: &mut Vec<u8>) {
    if piece.is_empty() {
        return;
    }
    match passed {
        Passed::Chunked => encode::chunk(piece, bytes),
        Passed::Length(_) | Passed::UntilClose => bytes.extend_from_slice(piece),
    }
}

fn push_end(passed: Passed, bytes: &mut Vec<u8>) {
    if passed == Passed::Chunked {
        encode::chunk(&[], bytes);
    }
}

/// What the client has of a stream that may go on at another server.
#[derive(Debug, Default)]
pub struct StreamState {
    /// Whether the client has the head of the first server's answer.
    pub head_sent: bool,
    /// Identifier of the last event that the client has whole.
    pub last_event: Option<String>,
    /// When its events came.
    pub pauses: EventPauses,
    passed: Option<(Passed, bool)>,
}

/// When the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPauses {
    last: Option<BootInstant>,
    /// From the request's arrival to the first event.
    pub until_first: Duration,
    /// Longest pause between two events.
    pub longest: Duration,
}

impl EventPauses {
    /// Notes an event; returns the pause before it, if it is not the first.
    fn note(&mut self, received: BootInstant, now: BootInstant) -> Option<Duration> {
        let Some(last) = self.last.replace(now) else {
            self.until_first = now.since(received);
            return None;
        };
        let pause = now.since(last);
        self.longest = self.longest.max(pause);
        Some(pause)
    }
}

/// Notes the first event of a stream.
pub struct FirstEvent<'a> {
    /// The request at the server.
    pub guard: &'a mut Sent,
    /// When it was sent, if its prompt waited for no other one.
    pub sent_at: Option<BootInstant>,
}

impl FirstEvent<'_> {
    fn note(&mut self, forward: &ForwardedRequest<'_>) {
        self.guard.first_event();
        let Some(sent_at) = self.sent_at.take() else { return };
        let Some(model) = &forward.facts.model else { return };
        let mut paces = forward.traffic.paces.borrow_mut();
        paces.record(&model.model, forward.facts.prompt_tokens, clock::elapsed(sent_at));
    }
}

/// Passes a stream on, whole events only.
pub(super) async fn stream(
    forward: &ForwardedRequest<'_>,
    mut received: Received,
    state: &mut StreamState,
    meter: &mut FirstEvent<'_>,
    server: &Rc<Server>,
) -> Result<ConnectionAction, RelayError> {
    let pool = &server.pool;
    let mut migration = Migration::new(forward, server);
    let mut pending = BytesMut::new();
    let mut out = Vec::new();
    loop {
        while let Some(piece) = next_piece(&mut received)? {
            pending.extend_from_slice(&piece);
        }
        let done = received.decoder.is_done();
        let events = take_events(&mut pending, done);
        if !events.is_empty() {
            if let Some(pause) = state.pauses.note(forward.received, clock::now()) {
                let metrics = &forward.traffic.metrics;
                metrics.observe(&metrics.between_events, pause);
            }
            meter.note(forward);
            push_events(forward, &received, state, &events, &mut out);
        }
        if done {
            return end_stream(forward, received, state, out, pool).await;
        }
        if !out.is_empty() {
            write_all(forward.client, &out).await.map_err(|_| RelayError::Client)?;
            out.clear();
        }
        if pending.len() > MAX_EVENT_BYTES {
            return Err(RelayError::Server(invalid()));
        }
        if state.last_event.is_some() {
            migration.begin_if_wanted();
        }
        let more = migration.read_more(&mut received).await;
        if !matches!(more, Ok(true)) {
            // A run that was moved has ended its connection, whatever its framing.
            if let Some(continuation) = migration.finish().await {
                return Err(RelayError::Moved(continuation));
            }
            more.map_err(RelayError::Server)?;
            if !received.decoder.ends_with_connection() {
                return Err(RelayError::Server(io::ErrorKind::UnexpectedEof.into()));
            }
            let rest = take_events(&mut pending, true);
            push_events(forward, &received, state, &rest, &mut out);
            return end_stream(forward, received, state, out, pool).await;
        }
    }
}

fn next_piece(received: &mut Received) -> Result<Option<Bytes>, RelayError> {
    received.decoder.next(&mut received.buffer).map_err(|_| RelayError::Server(invalid()))
}

async fn end_stream(
    forward: &ForwardedRequest<'_>,
    received: Received,
    state: &mut StreamState,
    mut out: Vec<u8>,
    pool: &Pool,
) -> Result<ConnectionAction, RelayError> {
    let (passed, keep) = begin(forward, &received, state, &mut out);
    push_end(passed, &mut out);
    received.settle(pool);
    Ok(forward.write(&out, keep).await)
}

/// Writes the head before the first event.
fn begin(
    forward: &ForwardedRequest<'_>,
    received: &Received,
    state: &mut StreamState,
    out: &mut Vec<u8>,
) -> (Passed, bool) {
    if let Some(begun) = state.passed {
        return begun;
    }
    let begun = framing(forward, received);
    state.passed = Some(begun);
    state.head_sent = true;
    forward.note(Attempts::record_response_started);
    out.extend_from_slice(&encode::answer_head(&received.head, Some(begun.0), begun.1));
    begun
}

fn push_events(
    forward: &ForwardedRequest<'_>,
    received: &Received,
    state: &mut StreamState,
    events: &[u8],
    out: &mut Vec<u8>,
) {
    let (passed, _) = begin(forward, received, state, out);
    let resumed = state.last_event.clone();
    let mut fresh = Vec::with_capacity(events.len());
    for event in split_events(events) {
        let id = event_id(event);
        if is_repeated(id, resumed.as_deref()) {
            continue;
        }
        if let Some(id) = id {
            state.last_event = Some(id.to_owned());
        }
        fresh.extend_from_slice(event);
    }
    push(passed, &fresh, out);
}

/// Takes the whole events off the front; at the end of the stream, all.
fn take_events(pending: &mut BytesMut, done: bool) -> BytesMut {
    let end = if done { pending.len() } else { events_end(pending) };
    pending.split_to(end)
}

/// Where the last whole event ends: behind its blank line.
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

/// Whether the client has the event already; identifiers are rising numbers.
fn is_repeated(id: Option<&str>, last: Option<&str>) -> bool {
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    match (number(id), number(last)) {
        (Some(id), Some(last)) => id <= last,
        _ => false,
    }
}
