//! Client for calls with small requests and responses: to the store, to the control paths of
//! servers and to other nodes. It neither retries calls nor follows redirects.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;

use super::body::BodyDecoder;
use super::connection::{connect, is_reusable, read_some, write_all};
use super::head::{ResponseHead, parse_response_head};
use crate::clock;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum number of idle connections that are kept for later calls.
const MAX_IDLE: usize = 4;

/// Request of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Header lines besides `Host`, `Content-Type` and `Content-Length`.
    pub headers: Vec<(&'static str, String)>,
    /// Body, which is sent as JSON; `None` for no body.
    pub body: Option<Vec<u8>>,
}

impl Call {
    /// Creates a call without a body.
    pub fn new(method: &'static str, target: impl Into<String>) -> Call {
        Call { method, target: target.into(), headers: Vec::new(), body: None }
    }

    /// Sets the body.
    pub fn with_body(mut self, body: Vec<u8>) -> Call {
        self.body = Some(body);
        self
    }

    fn encode(&self, host: SocketAddrV4) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if let Some(body) = &self.body {
            let length = body.len();
            head.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            ));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body.as_deref().unwrap_or_default());
        bytes
    }
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// Head of the response.
    pub head: ResponseHead,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Why a call has no response.
#[derive(Debug)]
pub enum CallError {
    /// No byte of the request was sent.
    NotSent(io::Error),
    /// The request may have been sent, fully or in part, and may have been executed.
    NoResponse(io::Error),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::NotSent(error) => write!(formatter, "not sent: {error}"),
            CallError::NoResponse(error) => write!(formatter, "sent and not answered: {error}"),
        }
    }
}

/// Client for one address that keeps a few idle connections.
pub struct CallClient {
    address: SocketAddrV4,
    idle: RefCell<Vec<TcpStream>>,
}

impl CallClient {
    /// Creates a client without connections.
    pub fn new(address: SocketAddrV4) -> CallClient {
        CallClient { address, idle: RefCell::new(Vec::new()) }
    }

    /// Address that the client calls.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Makes a call. The timeout covers the connection and the complete response.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Response, CallError> {
        self.call_if(call, timeout, || true).await
    }

    /// Like [`CallClient::call`], but sends the request only if `precondition` returns true. It is
    /// evaluated once the connection is established, just before the first byte is sent.
    pub async fn call_if(
        &self,
        call: &Call,
        timeout: Duration,
        precondition: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let started = clock::now();
        let stream = self.checkout(timeout).await.map_err(CallError::NotSent)?;
        if !precondition() {
            return Err(CallError::NotSent(io::ErrorKind::Interrupted.into()));
        }
        let bytes = call.encode(self.address);
        let remaining = timeout.saturating_sub(clock::elapsed(started));
        let exchange = exchange(&stream, &bytes, call.method == "HEAD");
        let (response, reusable) = match clock::timeout(remaining, exchange).await {
            Ok(result) => result.map_err(CallError::NoResponse)?,
            Err(_) => {
                // The idle connections go to the same peer and may be dead too.
                self.close_idle();
                return Err(CallError::NoResponse(io::ErrorKind::TimedOut.into()));
            }
        };
        if reusable && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(stream);
        }
        Ok(response)
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn checkout(&self, timeout: Duration) -> io::Result<TcpStream> {
        while let Some(stream) = self.pop_idle() {
            if is_reusable(&stream) {
                return Ok(stream);
            }
        }
        connect(self.address, timeout).await
    }

    fn pop_idle(&self) -> Option<TcpStream> {
        self.idle.borrow_mut().pop()
    }
}

async fn exchange(
    stream: &TcpStream,
    bytes: &[u8],
    to_head_request: bool,
) -> io::Result<(Response, bool)> {
    write_all(stream, bytes).await?;
    let mut buffer = BytesMut::new();
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let head = loop {
        if read_some(stream, &mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let head = parse_response_head(&mut buffer, MAX_HEAD_BYTES, to_head_request);
        if let Some(head) = head.map_err(|_| malformed())? {
            break head;
        }
    };
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        while let Some(data) = decoder.next(&mut buffer).map_err(|_| malformed())? {
            body.extend_from_slice(&data);
        }
        if decoder.is_done() {
            break;
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(malformed());
        }
        if read_some(stream, &mut buffer).await? == 0 {
            if decoder.ends_with_connection() {
                break;
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let reusable = head.keeps_connection && buffer.is_empty();
    Ok((Response { head, body }, reusable))
}
