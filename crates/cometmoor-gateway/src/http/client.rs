//! Calls with a small body and a small answer: to the store, to servers'
//! control paths and to other nodes. Nothing is repeated or redirected here.

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

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Connections that rest for later calls.
const MAX_IDLE: usize = 4;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Header lines besides length and host.
    pub headers: Vec<(&'static str, String)>,
    /// Body; its type is JSON.
    pub body: Option<Vec<u8>>,
}

impl Call {
    /// A call without a body.
    pub fn new(method: &'static str, target: impl Into<String>) -> Call {
        Call { method, target: target.into(), headers: Vec::new(), body: None }
    }

    /// The call with a body.
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

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct Response {
    /// Its head.
    pub head: ResponseHead,
    /// Its whole body.
    pub body: Vec<u8>,
}

/// Why a call has no answer.
#[derive(Debug)]
pub enum CallError {
    /// Nothing was sent.
    NotSent(io::Error),
    /// It was sent, and may have been carried out.
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

/// A client of one address, with a few kept connections.
pub struct CallClient {
    address: SocketAddrV4,
    idle: RefCell<Vec<TcpStream>>,
}

impl CallClient {
    /// A client of the address.
    pub fn new(address: SocketAddrV4) -> CallClient {
        CallClient { address, idle: RefCell::new(Vec::new()) }
    }

    /// The address.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Makes a call that has to be answered within the time.
    pub async fn call(&self, call: &Call, within: Duration) -> Result<Response, CallError> {
        self.call_if(call, within, || true).await
    }

    /// The same for a call that may only be made while something holds: it is
    /// looked at when there is a connection, just before the first byte.
    pub async fn call_if(
        &self,
        call: &Call,
        within: Duration,
        holds: impl Fn() -> bool,
    ) -> Result<Response, CallError> {
        let started = clock::now();
        let stream = self.checkout(within).await.map_err(CallError::NotSent)?;
        if !holds() {
            return Err(CallError::NotSent(io::ErrorKind::Interrupted.into()));
        }
        let bytes = call.encode(self.address);
        let left = within.saturating_sub(clock::elapsed(started));
        let exchange = exchange(&stream, &bytes, call.method == "HEAD");
        let (answer, reusable) = match clock::timeout(left, exchange).await {
            Ok(result) => result.map_err(CallError::NoResponse)?,
            Err(_) => {
                // Those that rest may have gone silent with this one.
                self.close_idle();
                return Err(CallError::NoResponse(io::ErrorKind::TimedOut.into()));
            }
        };
        if reusable && self.idle.borrow().len() < MAX_IDLE {
            self.idle.borrow_mut().push(stream);
        }
        Ok(answer)
    }

    /// Closes the connections that rest.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    async fn checkout(&self, within: Duration) -> io::Result<TcpStream> {
        while let Some(stream) = self.pop_idle() {
            if is_reusable(&stream) {
                return Ok(stream);
            }
        }
        connect(self.address, within).await
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
        while let Some(piece) = decoder.next(&mut buffer).map_err(|_| malformed())? {
            body.extend_from_slice(&piece);
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
