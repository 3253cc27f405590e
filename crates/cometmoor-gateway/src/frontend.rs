//! Clients' connections.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cometmoor_core::gateway::admission::finishes_before_stop;
use cometmoor_core::gateway::configuration::{ClientLimits, Route};
use cometmoor_core::gateway::tenants::Access;
use cometmoor_core::keys::PresentedKey;
use cometmoor_core::time::BootInstant;
use spdlog::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::dialect::RequestMetadata;
use crate::forward::{
    Admitted, ConnectionAction, ForwardedRequest, LocalResponse, TrafficContext, check_access,
};
use crate::http::body::BodyDecoder;
use crate::http::connection::{read_some, set_socket_options, wait_for_close, write_all};
use crate::http::head::{Framing, HeadError, RequestHead, parse_request_head};
use crate::load::{RequestDemand, model_key};
use crate::published::{FleetSnapshot, Phase, age_millis};

/// Pause after the listener failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Bytes of later requests that are kept while one is served.
const MAX_READ_AHEAD: usize = 64 << 10;
/// When a client should come back where the node does not serve it.
const COME_BACK: Duration = Duration::from_millis(500);
/// When a client should come back that met a node without a configuration: the
/// store may need as long as one call to it may take.
const COME_BACK_TO_STARTING: Duration = Duration::from_millis(1000);
/// When a client should come back to another node.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(20);
/// Time for which what a rejected client still sends is read and dropped.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes of a rejected client that are read and dropped.
const MAX_LINGER_BYTES: usize = 8 << 20;

/// Takes clients' connections until the process ends.
pub async fn serve(listener: TcpListener, traffic: Rc<TrafficContext>) {
    let connections = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            clock::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&connections) > traffic.settings.max_connections {
            warn!("[frontend] too many connections; one was closed", kv: { most = traffic.settings.max_connections as u64 });
            continue;
        }
        if set_socket_options(&stream).is_err() {
            continue;
        }
        let connection = Connection { stream, buffer: BytesMut::new(), traffic: traffic.clone() };
        let held = connections.clone();
        actix_rt::spawn(async move {
            connection.run().await;
            drop(held);
        });
    }
}

struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    traffic: Rc<TrafficContext>,
}

/// A request that was read.
struct Request {
    head: RequestHead,
    metadata: RequestMetadata,
    body: Bytes,
    received: BootInstant,
}

/// A request that was read, or why there is none.
enum Read {
    Request(Box<Request>),
    /// Its key is nobody's; the body was not read.
    Unauthorized(Box<RequestHead>, RequestMetadata),
    Rejected(u16),
    Ended,
}

impl Connection {
    async fn run(mut self) {
        loop {
            let limits = self.limits();
            match self.read_request(&limits).await {
                Read::Request(request) => {
                    let guard = self.traffic.loads.add_in_progress();
                    let finish = self.serve(*request).await;
                    drop(guard);
                    if finish != ConnectionAction::KeepAlive {
                        return;
                    }
                }
                Read::Unauthorized(head, metadata) => {
                    if self.refuse_unauthorized(&head, &metadata).await
                        != ConnectionAction::KeepAlive
                    {
                        return self.linger().await;
                    }
                }
                Read::Rejected(status) => return self.reject(status).await,
                Read::Ended => return,
            }
        }
    }

    fn limits(&self) -> ClientLimits {
        let fleet = self.traffic.board.fleet.load();
        fleet.configuration.as_ref().map(|known| known.limits).unwrap_or_default()
    }

    async fn read_request(&mut self, limits: &ClientLimits) -> Read {
        if self.buffer.is_empty() {
            let first =
                clock::timeout(limits.idle_timeout, read_some(&self.stream, &mut self.buffer));
            if !matches!(first.await, Ok(Ok(read)) if read > 0) {
                return Read::Ended;
            }
        }
        let received = clock::now();
        let head = match clock::timeout(limits.header_timeout, self.read_head(limits)).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None)) => return Read::Ended,
            Ok(Err(HeadError::TooLarge)) => return Read::Rejected(431),
            Ok(Err(HeadError::Malformed | HeadError::AmbiguousLength)) => {
                return Read::Rejected(400);
            }
            Err(_) => return Read::Rejected(408),
        };
        let Ok(metadata) = self.traffic.dialect.request_metadata(&head.headers) else {
            return Read::Rejected(400);
        };
        if is_unauthorized(&self.traffic, &head, &metadata) {
            return Read::Unauthorized(Box::new(head), metadata);
        }
        match clock::timeout(limits.idle_timeout, self.read_body(&head, limits)).await {
            Ok(Ok(body)) => Read::Request(Box::new(Request { head, metadata, body, received })),
            Ok(Err(Some(status))) => Read::Rejected(status),
            Ok(Err(None)) => Read::Ended,
            Err(_) => Read::Rejected(408),
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

    /// Reads the body; an error is the status of the rejection, or none where
    /// the client has left.
    async fn read_body(
        &mut self,
        head: &RequestHead,
        limits: &ClientLimits,
    ) -> Result<Bytes, Option<u16>> {
        if let Framing::Length(length) = head.framing
            && length > limits.max_body_bytes as u64
        {
            return Err(Some(413));
        }
        if head
            .headers
            .get("expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
        {
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            write_all(&self.stream, interim).await.map_err(|_| None)?;
        }
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = BytesMut::new();
        loop {
            while let Some(piece) = decoder.next(&mut self.buffer).map_err(|_| Some(400))? {
                body.extend_from_slice(&piece);
            }
            if body.len() > limits.max_body_bytes {
                return Err(Some(413));
            }
            if decoder.is_done() {
                return Ok(body.freeze());
            }
            if !matches!(read_some(&self.stream, &mut self.buffer).await, Ok(read) if read > 0) {
                return Err(None);
            }
        }
    }

    /// Serves a request unless the client leaves before.
    async fn serve(&mut self, request: Request) -> ConnectionAction {
        let serving = serve_request(&self.traffic, &self.stream, request);
        tokio::select! {
            biased;
            finish = serving => finish,
            () = wait_for_close(&self.stream, &mut self.buffer, MAX_READ_AHEAD) => {
                self.traffic.metrics.record_outcome("client_left", "client", "-");
                ConnectionAction::Abort
            }
        }
    }

    async fn reject(self, status: u16) {
        warn!("[frontend] a request was rejected", kv: { status, step = "read" });
        self.traffic.metrics.record_outcome("rejected", "read", "bad input");
        let answer = LocalResponse::rejected(status);
        let bytes = answer.encode(&*self.traffic.dialect, "", false);
        if write_all(&self.stream, &bytes).await.is_ok() {
            self.linger().await;
        }
    }

    /// Answers a request without a valid key, as cheaply as can be: a stranger may send
    /// any number of them. The connection is kept where nothing was left unread.
    async fn refuse_unauthorized(
        &self,
        head: &RequestHead,
        metadata: &RequestMetadata,
    ) -> ConnectionAction {
        self.traffic.metrics.record_outcome("refused", "key", "no valid key");
        if crate::log::allow_unauthorized_line() {
            warn!("[frontend] a request without a valid key was refused", kv: {
                request = &*metadata.id,
                key = key_form(&metadata.key),
                step = "key",
                status = 401,
                configuration = self.configuration_version(),
                proof_age_millis = age_millis(self.traffic.board.fleet.load().configuration_proven),
            });
        }
        let keep = head.keeps_connection() && head.framing == Framing::Empty;
        answer(&self.traffic, &self.stream, LocalResponse::unauthorized(), &metadata.id, keep).await
    }

    fn configuration_version(&self) -> u64 {
        let fleet = self.traffic.board.fleet.load();
        fleet.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Reads what a refused client still sends: closing with unread bytes would reset the
    /// connection and could take the answer away from the client.
    async fn linger(mut self) {
        let _ = clock::timeout(LINGER, self.drop_rest()).await;
    }

    async fn drop_rest(&mut self) {
        let mut dropped = 0;
        while dropped < MAX_LINGER_BYTES {
            self.buffer.clear();
            match read_some(&self.stream, &mut self.buffer).await {
                Ok(read) if read > 0 => dropped += read,
                _ => return,
            }
        }
    }
}

/// What to do with a request.
enum Decision {
    Answer(LocalResponse),
    Forward(Admitted, String),
}

async fn serve_request(
    traffic: &TrafficContext,
    client: &TcpStream,
    request: Request,
) -> ConnectionAction {
    let Request { head, metadata, body, received } = request;
    let fleet = traffic.board.fleet.load_full();
    let keep = head.keeps_connection() && fleet.phase == Phase::Ready;
    match decide(&fleet, &head, &metadata) {
        Decision::Answer(own) => {
            let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
            traffic.metrics.record_outcome("refused", "route", "no route, no key or not ready");
            warn!("[frontend] answered without a server", kv: {
                request = &*metadata.id,
                status = own.status(),
                key = key_form(&metadata.key),
                phase = format!("{:?}", fleet.phase),
                configuration = version,
                proof_age_millis = age_millis(fleet.configuration_proven),
                is_known_behind = fleet.is_known_behind,
            });
            answer(traffic, client, own, &metadata.id, keep).await
        }
        Decision::Forward(admitted, service) => {
            record_demand(traffic, &metadata);
            let forward =
                ForwardedRequest::new(traffic, client, &head, &body, metadata, admitted, received);
            forward.serve(&service).await
        }
    }
}

/// Notes what was asked for, for the placement of models.
fn record_demand(traffic: &TrafficContext, metadata: &RequestMetadata) {
    let Some(model) = &metadata.model else { return };
    let now = clock::now();
    let work = {
        let latencies = traffic.latencies.borrow();
        RequestDemand {
            prefill: latencies.prefill_time(&model.model, metadata.prompt_tokens),
            slot_time: latencies.slot_time(&model.model, metadata.output_tokens),
        }
    };
    traffic.loads.record_demand(model_key(&model.model, None), work, now);
    if let Some(adapter) = &model.adapter {
        traffic.loads.record_demand(model_key(&model.model, Some(adapter)), work, now);
    }
}

/// Whether a request has a route that needs a key, and its key is nobody's.
fn is_unauthorized(
    traffic: &TrafficContext,
    head: &RequestHead,
    metadata: &RequestMetadata,
) -> bool {
    let fleet = traffic.board.fleet.load();
    let Some(configuration) = &fleet.configuration else { return false };
    let host = head.host().unwrap_or_default();
    let Some(route) = configuration.route(&host, head.path()) else { return false };
    check_access(&fleet, route, metadata) == Access::Denied
}

fn decide(fleet: &FleetSnapshot, head: &RequestHead, metadata: &RequestMetadata) -> Decision {
    let refusal = Decision::Answer(LocalResponse::not_run(COME_BACK));
    let Some(configuration) = &fleet.configuration else {
        return Decision::Answer(LocalResponse::not_run(COME_BACK_TO_STARTING));
    };
    if fleet.phase == Phase::Closing {
        return refusal;
    }
    let host = head.host().unwrap_or_default();
    let Some(route) = configuration.route(&host, head.path()) else {
        let unknown = fleet.configuration_is_current();
        return if unknown { Decision::Answer(LocalResponse::no_route()) } else { refusal };
    };
    let tenant = match check_access(fleet, route, metadata) {
        Access::Granted(tenant) => tenant,
        Access::Denied => return Decision::Answer(LocalResponse::unauthorized()),
        Access::Undecided => return refusal,
    };
    if !finishes_in_time(fleet, route, metadata) {
        return Decision::Answer(LocalResponse::not_run(COME_BACK_ELSEWHERE));
    }
    match route.target(rand::random()) {
        Some(service) => {
            Decision::Forward(Admitted { route: route.clone(), tenant }, service.to_owned())
        }
        None => refusal,
    }
}

/// What came as a key, for log lines.
fn key_form(key: &PresentedKey) -> &'static str {
    match key {
        PresentedKey::Missing => "missing",
        PresentedKey::Malformed => "malformed",
        PresentedKey::Key(_) => "present",
    }
}

/// Whether the request will be finished before a planned stop ends.
fn finishes_in_time(fleet: &FleetSnapshot, route: &Route, metadata: &RequestMetadata) -> bool {
    let Some(stop) = fleet.shutdown else { return true };
    let now = clock::now();
    finishes_before_stop(
        now.since(stop.started),
        stop.deadline.since(now),
        route.timeout.min(metadata.deadline.unwrap_or(route.timeout)),
        metadata.output_tokens,
    )
}

async fn answer(
    traffic: &TrafficContext,
    client: &TcpStream,
    own: LocalResponse,
    request: &str,
    keep: bool,
) -> ConnectionAction {
    let bytes = own.encode(&*traffic.dialect, request, keep);
    match write_all(client, &bytes).await {
        Ok(()) if keep => ConnectionAction::KeepAlive,
        Ok(()) => ConnectionAction::Close,
        Err(_) => ConnectionAction::Abort,
    }
}
