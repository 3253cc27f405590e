//! One exchange of a request and the head of its response over a connection.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::time::BootInstant;
use tokio::net::TcpStream;

use super::{ForwardedRequest, encode};
use crate::clients::body::Body;
use crate::clock;
use crate::connector::{DECISIVE_PROBE_OPEN_TIME, LinkObserver, PROBE_OPEN_TIME};
use crate::dialect::{RunCopy, SendMetadata};
use crate::http::body::BodyDecoder;
use crate::http::connection::read_some;
use crate::http::head::{ResponseHead, parse_response_head};
use crate::http::send_timeout::watch_peer;
use crate::pool::{Pool, PooledConnection};
use crate::servers::Server;

/// Largest head of a server's response, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Largest body that is read and discarded so that its connection can be used again, in bytes.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Largest body that is written together with its head, in bytes: it saves a write.
const MAX_JOINED_BODY: usize = 16 << 10;
/// Responses to other requests that may arrive on a connection before it is given up.
const MAX_UNMATCHED_RESPONSES: usize = 3;

/// Why no response to a request was received.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(io::Error),
    /// The request may have run: the connection was lost, or the response was not valid.
    ConnectionLost(io::Error),
}

impl SendError {
    /// The underlying I/O error.
    pub fn source(&self) -> &io::Error {
        match self {
            SendError::NotSent(error) | SendError::ConnectionLost(error) => error,
        }
    }
}

impl std::fmt::Display for SendError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(error) => write!(formatter, "not sent: {error}"),
            SendError::ConnectionLost(error) => write!(formatter, "after sending: {error}"),
        }
    }
}

/// A request as it is written to a server.
struct EncodedRequest<'a> {
    /// The head, and a short body.
    head: Vec<u8>,
    /// A long body, which is not copied.
    body: Option<&'a Body>,
}

impl<'a> EncodedRequest<'a> {
    fn new(mut head: Vec<u8>, body: &'a Body) -> EncodedRequest<'a> {
        if body.len() > MAX_JOINED_BODY {
            return EncodedRequest { head, body: Some(body) };
        }
        body.pieces().for_each(|piece| head.extend_from_slice(piece));
        EncodedRequest { head, body: None }
    }

    fn len(&self) -> usize {
        self.head.len() + self.body.map_or(0, Body::len)
    }

    fn parts(&self) -> impl Iterator<Item = &[u8]> {
        let body = self.body.into_iter().flat_map(Body::pieces);
        std::iter::once(self.head.as_slice()).chain(body)
    }
}

/// A server's response whose head was read.
pub struct ServerResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Decoder of the body.
    pub decoder: BodyDecoder,
    /// Bytes that were read and not decoded.
    pub buffer: BytesMut,
    stream: Option<TcpStream>,
    link: LinkObserver,
    request_fully_sent: bool,
}

impl ServerResponse {
    /// Reads more bytes into the buffer. Returns false if the server closed the connection cleanly.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        let Some(stream) = &self.stream else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let has_read = read_some(stream, &mut self.buffer).await? > 0;
        if has_read {
            self.link.note_heard();
        }
        Ok(has_read)
    }

    /// Whether the end of the connection, which was read, is the end of the response: the server has
    /// closed it, and neither a peer nor the end of the server's process. A server that crashes when
    /// it begins to write has sent no byte of the body.
    pub async fn ends_with_connection(&self, body_bytes: usize) -> bool {
        let open_time = if body_bytes > 0 { PROBE_OPEN_TIME } else { DECISIVE_PROBE_OPEN_TIME };
        self.decoder.ends_with_connection() && self.has_closed(open_time).await
    }

    /// Whether the server has closed the connection, which was read to its end, and runs on.
    pub async fn has_server_closed(&self) -> bool {
        self.has_closed(PROBE_OPEN_TIME).await
    }

    async fn has_closed(&self, open_time: Duration) -> bool {
        match &self.stream {
            Some(stream) => self.link.has_server_closed(stream, open_time).await,
            None => false,
        }
    }

    /// Returns the connection to the pool if another request may use it.
    pub fn release_connection(mut self, pool: &Pool) -> ServerResponse {
        let is_clean = self.decoder.is_done() && self.buffer.is_empty() && self.request_fully_sent;
        if let Some(stream) = self.stream.take()
            && is_clean
            && self.head.keeps_connection
        {
            pool.release(stream, self.head.headers.keep_alive_seconds(), self.link.via);
        }
        self
    }

    /// Discards the body and returns the connection to the pool.
    pub async fn discard(mut self, pool: &Pool) -> io::Result<()> {
        self.discard_body().await?;
        self.release_connection(pool);
        Ok(())
    }

    async fn discard_body(&mut self) -> io::Result<()> {
        let mut discarded = 0;
        loop {
            while let Some(piece) =
                self.decoder.next(&mut self.buffer).map_err(|_| invalid_data())?
            {
                discarded += piece.len();
            }
            if self.decoder.is_done() {
                return Ok(());
            }
            if discarded > MAX_DISCARDED_BYTES || !self.read_more().await? {
                return Err(invalid_data());
            }
        }
    }
}

/// Error for a response that violates the protocol.
pub fn invalid_data() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

impl ForwardedRequest<'_> {
    /// Sends the request and reads the head of its response. Responses to other requests are
    /// discarded.
    pub(super) async fn exchange(
        &self,
        server: &Rc<Server>,
        record: &Arc<ServerRecord>,
        connection: PooledConnection,
        resume_after: Option<&str>,
        run_copy: Option<&RunCopy>,
    ) -> Result<ServerResponse, SendError> {
        let tenant = self.tenant_name();
        let metadata = SendMetadata {
            server: &record.id,
            time_left: self.time_left(),
            urgency: self.metadata.model.as_ref().map(|_| self.priority()),
            tenant: tenant.as_deref(),
            resume_after,
            run_copy,
        };
        let dialect = &*self.traffic.dialect;
        let head = encode::request_head(dialect, self.head, self.body.len(), &metadata);
        let request = EncodedRequest::new(head, self.body);
        let sent_at = clock::now();
        let link = LinkObserver::new(&self.traffic.connector, server, connection.via);
        let mut response = self.send_watched(connection.stream, &request, server, link).await?;
        for _ in 0..MAX_UNMATCHED_RESPONSES {
            if self.is_for_this_request(&response) {
                self.record_signals(server, record, &response, sent_at);
                return Ok(response);
            }
            self.log_failure(
                "unexpected response",
                "answer",
                &record.incarnation,
                "it belongs to another request",
            );
            server.record_failure(clock::now());
            response = next_response(response, self.head.method == "HEAD")
                .await
                .map_err(SendError::ConnectionLost)?;
        }
        Err(SendError::ConnectionLost(invalid_data()))
    }

    /// Sends the request and reads the head of the response. If the link turns out to be cut, a
    /// request that may be run again is given up; another one may still get its response.
    async fn send_watched(
        &self,
        stream: TcpStream,
        request: &EncodedRequest<'_>,
        server: &Rc<Server>,
        link: LinkObserver,
    ) -> Result<ServerResponse, SendError> {
        let watch = self.traffic.connector.watch(server, link.via, clock::now());
        let mut exchange = pin!(send_and_read(stream, request, self.head.method == "HEAD", link));
        tokio::select! {
            biased;
            result = &mut exchange => result,
            () = watch => match self.route.retry_policy.allows_rerun() {
                true => Err(SendError::ConnectionLost(io::ErrorKind::TimedOut.into())),
                false => exchange.await,
            },
        }
    }

    fn record_signals(
        &self,
        server: &Server,
        record: &ServerRecord,
        response: &ServerResponse,
        sent_at: BootInstant,
    ) {
        let metadata = self.traffic.dialect.response_metadata(&response.head);
        if let Some(load) = metadata.load.filter(|_| !metadata.misdirected) {
            server.record_load(load, clock::now());
        }
        if let Some(max_rejections) = metadata.max_rejections
            && self.traffic.brittle.note_brittle(record, max_rejections)
        {
            self.traffic.board.heartbeat_wanted.notify_one();
        }
        let Some(signals) = metadata.signals else { return };
        let board = &self.traffic.signals;
        if board.note_response(&record.incarnation, &self.metadata.id, signals, sent_at) {
            self.traffic.board.heartbeat_wanted.notify_one();
        }
    }

    fn is_for_this_request(&self, response: &ServerResponse) -> bool {
        let metadata = self.traffic.dialect.response_metadata(&response.head);
        metadata.request_id.unwrap_or_default() == self.metadata.id
    }
}

/// Writes the request, and at the same time reads the head of a response that may arrive early.
async fn send_and_read(
    stream: TcpStream,
    request: &EncodedRequest<'_>,
    to_head_request: bool,
    link: LinkObserver,
) -> Result<ServerResponse, SendError> {
    let mut buffer = BytesMut::new();
    let written = Cell::new(0);
    let head = {
        let write = write_counting(&stream, request, &written);
        let mut write = pin!(write);
        let mut watch = pin!(watch_peer(&stream));
        loop {
            let is_written = written.get() == request.len();
            tokio::select! {
                result = &mut write, if !is_written => {
                    result.map_err(|error| classify_error(error, written.get()))?;
                }
                // A short request fits into the kernel's buffers of both sides.
                error = &mut watch, if request.body.is_some() => {
                    return Err(classify_error(error, written.get()));
                }
                result = read_some(&stream, &mut buffer) => {
                    let read = result.map_err(|error| classify_error(error, written.get()))?;
                    if read == 0 {
                        let error = io::ErrorKind::UnexpectedEof.into();
                        return Err(classify_error(error, written.get()));
                    }
                    link.note_heard();
                    let head = parse_response_head(&mut buffer, MAX_HEAD_BYTES, to_head_request);
                    if let Some(head) =
                        head.map_err(|_| SendError::ConnectionLost(invalid_data()))?
                    {
                        break head;
                    }
                }
            }
        }
    };
    let decoder = BodyDecoder::new(head.framing);
    let request_fully_sent = written.get() == request.len();
    Ok(ServerResponse { head, decoder, buffer, stream: Some(stream), link, request_fully_sent })
}

/// Classifies an error by the bytes of the request that the operating system accepted: without
/// any, the request was not sent.
fn classify_error(error: io::Error, written: usize) -> SendError {
    if written == 0 { SendError::NotSent(error) } else { SendError::ConnectionLost(error) }
}

/// Writes a request, and adds up the bytes that the operating system has accepted.
async fn write_counting(
    stream: &TcpStream,
    request: &EncodedRequest<'_>,
    written: &Cell<usize>,
) -> io::Result<()> {
    for mut part in request.parts() {
        while !part.is_empty() {
            match stream.try_write(part) {
                Ok(count) => {
                    written.set(written.get() + count);
                    part = &part[count..];
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    stream.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
    }
    Ok(())
}

/// Discards a response and reads the head of the next one on its connection.
async fn next_response(
    mut response: ServerResponse,
    to_head_request: bool,
) -> io::Result<ServerResponse> {
    response.discard_body().await?;
    loop {
        let head = parse_response_head(&mut response.buffer, MAX_HEAD_BYTES, to_head_request);
        if let Some(head) = head.map_err(|_| invalid_data())? {
            response.decoder = BodyDecoder::new(head.framing);
            response.head = head;
            return Ok(response);
        }
        if !response.read_more().await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
