//! Client connections: accepts them, reads requests, and responds or hands over to `forward`.

mod decision;

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_core::gateway::configuration::ClientLimits;
use cometmoor_core::gateway::overload::Activity;
use cometmoor_core::time::BootInstant;
use spdlog::warn;
use tokio::net::{TcpListener, TcpStream};

use self::decision::{Decision, decide, is_unauthorized, key_presence};
use crate::clients::body::Body;
use crate::clients::connections::{ConnectionSlot, ConnectionSlots};
use crate::clients::memory::OutOfMemory;
use crate::clock;
use crate::dialect::RequestMetadata;
use crate::forward::{ConnectionAction, ForwardedRequest, LocalResponse, TrafficContext};
use crate::http::body::BodyDecoder;
use crate::http::connection::{read_some, set_socket_options, wait_for_close, write_all};
use crate::http::head::{Framing, HeadError, RequestHead, parse_request_head};
use crate::http::send_timeout::{keep_unsent, watch_peer};
use crate::load::{RequestDemand, model_key};
use crate::published::{FleetSnapshot, Phase, age_millis};

/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum size of pipelined input that is buffered while a request is served, in bytes.
const MAX_READ_AHEAD: usize = 64 << 10;
/// Retry delay if there is no memory for the body: until requests in progress have ended.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Memory of a head in bytes that the charge for its connection covers.
const UNCHARGED_HEAD_BYTES: usize = 24 << 10;
/// Maximum time for which input is discarded after a request was rejected or refused.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are discarded after a request was rejected or refused.
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Accepts client connections until the process ends.
pub async fn serve(listener: TcpListener, traffic: Rc<TrafficContext>) {
    let limit = traffic.settings.node_bounds().listeners.clients;
    let memory = Some(traffic.memory.clone());
    let slots = ConnectionSlots::new("clients", limit, memory, traffic.metrics.clone());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = slots.admit().await else { continue };
        if set_socket_options(&stream).is_err() {
            continue;
        }
        let slot = Rc::new(slot);
        let (buffer, traffic) = (BytesMut::new(), traffic.clone());
        let connection =
            Connection { stream, buffer, slot: slot.clone(), has_unsent: false, traffic };
        actix_rt::spawn(async move { slot.run(connection.run()).await });
    }
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    slot: Rc<ConnectionSlot>,
    /// Whether a part of the last response waits for the client to take it.
    has_unsent: bool,
    traffic: Rc<TrafficContext>,
}

/// A request that was read completely.
struct Request {
    head: RequestHead,
    metadata: RequestMetadata,
    body: Body,
    received_at: BootInstant,
}

/// Result of reading a request.
enum ReadResult {
    Request(Box<Request>),
    /// The request has no valid key; the body was not read.
    Unauthorized(Box<RequestHead>, RequestMetadata),
    /// The request is malformed, too large or was not received in time; the status code.
    Rejected(u16),
    /// There is no memory for its body.
    OutOfMemory(RequestMetadata),
    /// The client closed the connection, or sent no request within the idle timeout.
    Closed,
}

/// Why a body was not received.
enum BodyError {
    /// It is malformed, too large or was not received in time; the status code.
    Rejected(u16),
    /// There is no memory for it.
    OutOfMemory,
    /// The client closed the connection.
    Closed,
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> BodyError {
        BodyError::OutOfMemory
    }
}

impl Connection {
    async fn run(mut self) {
        loop {
            let limits = self.limits();
            match self.read_request(&limits).await {
                ReadResult::Request(request) => {
                    let guard = self.traffic.loads.add_in_progress();
                    self.slot.set_activity(Activity::Serving);
                    let action = self.serve(*request).await;
                    drop(guard);
                    self.has_unsent = keep_unsent(&self.stream);
                    if action != ConnectionAction::KeepAlive {
                        return;
                    }
                    self.slot.set_activity(Activity::Idle { since: clock::now() });
                }
                ReadResult::Unauthorized(head, metadata) => {
                    if self.refuse_unauthorized(&head, &metadata).await
                        != ConnectionAction::KeepAlive
                    {
                        return self.linger().await;
                    }
                }
                ReadResult::Rejected(status) => return self.reject(status).await,
                ReadResult::OutOfMemory(metadata) => {
                    return self.refuse_for_memory(&metadata).await;
                }
                ReadResult::Closed => return,
            }
        }
    }

    fn limits(&self) -> ClientLimits {
        let fleet = self.traffic.board.fleet.load();
        fleet.configuration.as_ref().map(|configuration| configuration.limits).unwrap_or_default()
    }

    async fn read_request(&mut self, limits: &ClientLimits) -> ReadResult {
        if self.buffer.is_empty() && !self.wait_for_request(limits).await {
            return ReadResult::Closed;
        }
        let received_at = clock::now();
        self.slot.set_activity(Activity::ReceivingHead { since: received_at });
        let head = match clock::timeout(limits.header_timeout, self.read_head(limits)).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return ReadResult::Closed,
            Ok(Err(HeadError::TooLarge)) => return ReadResult::Rejected(431),
            Ok(Err(HeadError::Malformed | HeadError::AmbiguousLength)) => {
                return ReadResult::Rejected(400);
            }
            Err(_) => return ReadResult::Rejected(408),
        };
        let Ok(metadata) = self.traffic.dialect.request_metadata(&head.headers) else {
            return ReadResult::Rejected(400);
        };
        if is_unauthorized(&self.traffic, &head, &metadata) {
            return ReadResult::Unauthorized(Box::new(head), metadata);
        }
        let deadline = self.receive_deadline(&head, &metadata, limits, received_at);
        match self.read_body(&head, limits, deadline).await {
            Ok(body) => {
                ReadResult::Request(Box::new(Request { head, metadata, body, received_at }))
            }
            Err(BodyError::Rejected(status)) => ReadResult::Rejected(status),
            Err(BodyError::OutOfMemory) => ReadResult::OutOfMemory(metadata),
            Err(BodyError::Closed) => ReadResult::Closed,
        }
    }

    /// Waits for the first bytes of a request. Returns false if none come within the idle timeout.
    async fn wait_for_request(&mut self, limits: &ClientLimits) -> bool {
        let has_unsent = self.has_unsent;
        let silence = async {
            match has_unsent {
                true => watch_peer(&self.stream).await,
                false => std::future::pending().await,
            }
        };
        let read = clock::timeout(limits.idle_timeout, read_some(&self.stream, &mut self.buffer));
        tokio::select! {
            biased;
            result = read => matches!(result, Ok(Ok(read)) if read > 0),
            _ = silence => false,
        }
    }

    async fn read_head(&mut self, limits: &ClientLimits) -> Result<Option<RequestHead>, HeadError> {
        loop {
            if let Some(head) = parse_request_head(&mut self.buffer, limits.max_header_bytes)? {
                return Ok(Some(head));
            }
            if !matches!(read_some(&self.stream, &mut self.buffer).await, Ok(read) if read > 0) {
                return Ok(None);
            }
        }
    }

    /// Until when the request must have been received: later it could not be served any more.
    fn receive_deadline(
        &self,
        head: &RequestHead,
        metadata: &RequestMetadata,
        limits: &ClientLimits,
        received_at: BootInstant,
    ) -> BootInstant {
        let fleet = self.traffic.board.fleet.load();
        let host = head.host().unwrap_or_default();
        let route = fleet.configuration.as_ref().and_then(|known| known.route(&host, head.path()));
        let timeout = route.map_or(limits.idle_timeout, |route| route.timeout);
        received_at + metadata.deadline.unwrap_or(timeout).min(timeout)
    }

    /// Reads the body, as long as the client goes on sending until the deadline.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &ClientLimits,
        deadline: BootInstant,
    ) -> Result<Body, BodyError> {
        let max_bytes = limits.max_body_bytes.min(self.traffic.memory.max_body());
        let head_memory = head.headers.memory().saturating_sub(UNCHARGED_HEAD_BYTES);
        let length = match head.framing {
            Framing::Empty if head_memory == 0 => return Ok(Body::default()),
            Framing::Empty => Some(0),
            Framing::Length(length) => match usize::try_from(length) {
                Ok(length) if length <= max_bytes => Some(length),
                _ => return Err(BodyError::Rejected(413)),
            },
            Framing::Chunked | Framing::UntilClose => None,
        };
        if head
            .headers
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            write_all(&self.stream, interim).await.map_err(|_| BodyError::Closed)?;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut receiver = self.traffic.memory.begin_body(length);
        receiver.reserve(head_memory)?;
        loop {
            while let Some(data) =
                decoder.next(&mut self.buffer).map_err(|_| BodyError::Rejected(400))?
            {
                if receiver.received() + data.len() > max_bytes {
                    return Err(BodyError::Rejected(413));
                }
                receiver.push(&data)?;
            }
            if decoder.is_done() {
                return Ok(receiver.complete()?);
            }
            let now = clock::now();
            self.slot.set_activity(Activity::ReceivingBody { since: now });
            let end = deadline.min(now + limits.idle_timeout);
            let read = clock::timeout_at(end, read_some(&self.stream, &mut self.buffer));
            tokio::select! {
                biased;
                () = receiver.wait_for_eviction() => return Err(BodyError::OutOfMemory),
                result = read => match result {
                    Ok(Ok(read)) if read > 0 => {}
                    Ok(_) => return Err(BodyError::Closed),
                    Err(_) => return Err(BodyError::Rejected(408)),
                },
            }
        }
    }

    /// Serves a request; aborts it if the client closes the connection before the response is
    /// complete.
    async fn serve(&mut self, request: Request) -> ConnectionAction {
        let serving = serve_request(&self.traffic, &self.stream, request);
        tokio::select! {
            biased;
            action = serving => action,
            () = wait_for_close(&self.stream, &mut self.buffer, MAX_READ_AHEAD) => {
                self.traffic.metrics.record_outcome("client_left", "client", "-");
                ConnectionAction::Abort
            }
            _ = watch_peer(&self.stream) => {
                self.traffic.metrics.record_outcome("client_left", "client", "silent");
                ConnectionAction::Abort
            }
        }
    }

    async fn reject(self, status: u16) {
        if crate::log::allow_rejected_line() {
            warn!("[frontend] a request was rejected", kv: { status, step = "read" });
        }
        self.traffic.metrics.record_outcome("rejected", "read", "bad input");
        let response = LocalResponse::rejected(status);
        let bytes = response.encode(&*self.traffic.dialect, "", false);
        if write_all(&self.stream, &bytes).await.is_ok() {
            self.linger().await;
        }
    }

    /// Responds to a request whose body could not be held; it was not run.
    async fn refuse_for_memory(self, metadata: &RequestMetadata) {
        self.traffic.metrics.record_outcome("refused", "body", "no memory for the body");
        if crate::log::allow_rejected_line() {
            warn!("[frontend] a request was refused, there is no memory for its body", kv: {
                request = &*metadata.id,
                step = "body",
                status = 503,
            });
        }
        let response = LocalResponse::not_run(MEMORY_RETRY_AFTER);
        let action =
            send_response(&self.traffic, &self.stream, response, &metadata.id, false).await;
        if action != ConnectionAction::Abort {
            self.linger().await;
        }
    }

    /// Responds to a request without a valid key at the lowest cost, because an unauthenticated
    /// client may send any number of them. The connection is kept open if no body was left unread.
    async fn refuse_unauthorized(
        &self,
        head: &RequestHead,
        metadata: &RequestMetadata,
    ) -> ConnectionAction {
        self.traffic.metrics.record_outcome("refused", "key", "no valid key");
        if crate::log::allow_unauthorized_line() {
            warn!("[frontend] a request without a valid key was refused", kv: {
                request = &*metadata.id,
                key = key_presence(&metadata.key),
                step = "key",
                status = 401,
                configuration = self.configuration_version(),
                proof_age_millis = age_millis(self.traffic.board.fleet.load().configuration_proven),
            });
        }
        let keep = head.keeps_connection() && head.framing == Framing::Empty;
        send_response(
            &self.traffic,
            &self.stream,
            LocalResponse::unauthorized(),
            &metadata.id,
            keep,
        )
        .await
    }

    fn configuration_version(&self) -> u64 {
        let fleet = self.traffic.board.fleet.load();
        fleet.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Discards what the client still sends before the connection is closed. Closing it with
    /// unread input would reset it, and the client could lose the response.
    async fn linger(mut self) {
        self.slot.set_activity(Activity::Closing { since: clock::now() });
        let _ = clock::timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    async fn discard_input(&mut self) {
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            self.buffer.clear();
            match read_some(&self.stream, &mut self.buffer).await {
                Ok(read) if read > 0 => discarded += read,
                _ => return,
            }
        }
    }
}

async fn serve_request(
    traffic: &TrafficContext,
    client: &TcpStream,
    request: Request,
) -> ConnectionAction {
    let Request { head, metadata, body, received_at } = request;
    let fleet = traffic.board.fleet.load_full();
    let keep = head.keeps_connection() && fleet.phase == Phase::Ready;
    match decide(&fleet, &head, &metadata) {
        Decision::Respond(response) => {
            let version =
                fleet.configuration.as_ref().map_or(0, |configuration| configuration.version);
            traffic.metrics.record_outcome("refused", "route", "no route, no key or not ready");
            if crate::log::allow_rejected_line() {
                warn!("[frontend] responded without forwarding the request", kv: {
                    request = &*metadata.id,
                    status = response.status(),
                    key = key_presence(&metadata.key),
                    phase = format!("{:?}", fleet.phase),
                    configuration = version,
                    proof_age_millis = age_millis(fleet.configuration_proven),
                    is_known_behind = fleet.is_known_behind,
                });
            }
            send_response(traffic, client, response, &metadata.id, keep).await
        }
        Decision::Forward(admitted, service) => {
            record_demand(traffic, &fleet, &metadata);
            let forward = ForwardedRequest::new(
                traffic,
                client,
                &head,
                &body,
                metadata,
                admitted,
                received_at,
            );
            forward.serve(&service).await
        }
    }
}

/// Records the demand for a model, on which the placement of models is based. Names that no service
/// declares are not recorded: clients can make up any number of them.
fn record_demand(traffic: &TrafficContext, fleet: &FleetSnapshot, metadata: &RequestMetadata) {
    let Some(model) = &metadata.model else { return };
    let declares = |adapter| {
        fleet.configuration.as_ref().is_some_and(|known| known.declares(&model.model, adapter))
    };
    if !declares(None) {
        return;
    }
    let now = clock::now();
    let demand = {
        let latencies = traffic.latencies.borrow();
        RequestDemand {
            prefill: latencies.prefill_time(&model.model, metadata.prompt_tokens),
            slot_time: latencies.slot_time(&model.model, metadata.output_tokens),
        }
    };
    traffic.loads.record_demand(model_key(&model.model, None), demand, now);
    if let Some(adapter) = &model.adapter
        && declares(Some(adapter))
    {
        traffic.loads.record_demand(model_key(&model.model, Some(adapter)), demand, now);
    }
}

async fn send_response(
    traffic: &TrafficContext,
    client: &TcpStream,
    response: LocalResponse,
    request: &str,
    keep: bool,
) -> ConnectionAction {
    let bytes = response.encode(&*traffic.dialect, request, keep);
    match write_all(client, &bytes).await {
        Ok(()) if keep => ConnectionAction::KeepAlive,
        Ok(()) => ConnectionAction::Close,
        Err(_) => ConnectionAction::Abort,
    }
}
