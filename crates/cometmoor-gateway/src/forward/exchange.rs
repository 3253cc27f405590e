//! One send of a request over one connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use bytes::BytesMut;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::time::BootInstant;
use tokio::net::TcpStream;

use super::{ForwardedRequest, encode};
use crate::clock;
use crate::dialect::{RunCopy, SendFacts};
use crate::http::body::BodyDecoder;
use crate::http::connection::read_some;
use crate::http::head::{AnswerHead, take_answer};
use crate::pool::{Lent, Pool};
use crate::servers::Server;

/// Largest head of a server's answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Largest body of an answer that is passed over, in bytes.
const MAX_SKIPPED_BYTES: usize = 1 << 20;
/// Answers to other requests that are passed over on a connection.
const MAX_SURPLUS_ANSWERS: usize = 3;

/// Why a send has no answer.
#[derive(Debug)]
pub enum SendError {
    /// Nothing left for the server.
    NotSent(io::Error),
    /// The request may have run.
    Broken(io::Error),
}

impl SendError {
    /// What the system said.
    pub fn source(&self) -> &io::Error {
        match self {
            SendError::NotSent(error) | SendError::Broken(error) => error,
        }
    }
}

impl std::fmt::Display for SendError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SendError::NotSent(error) => write!(formatter, "not sent: {error}"),
            SendError::Broken(error) => write!(formatter, "after the send: {error}"),
        }
    }
}

/// An answer whose head was read.
pub struct Received {
    /// Its head.
    pub head: AnswerHead,
    /// Takes its body out of the framing.
    pub decoder: BodyDecoder,
    /// Bytes that were read and not taken.
    pub buffer: BytesMut,
    stream: Option<TcpStream>,
    request_sent_whole: bool,
}

impl Received {
    /// Reads more; false tells the clean end of the connection.
    pub async fn read_more(&mut self) -> io::Result<bool> {
        let Some(stream) = &self.stream else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        Ok(read_some(stream, &mut self.buffer).await? > 0)
    }

    /// Gives the connection back to the pool, if another request may use it.
    pub fn settle(mut self, pool: &Pool) -> Received {
        let clean = self.decoder.is_done() && self.buffer.is_empty() && self.request_sent_whole;
        if let Some(stream) = self.stream.take()
            && clean
            && self.head.keeps_connection
        {
            pool.give_back(stream, self.head.headers.keep_alive_seconds());
        }
        self
    }

    /// Passes the body over and gives the connection back.
    pub async fn drain(mut self, pool: &Pool) -> io::Result<()> {
        self.skip_body().await?;
        self.settle(pool);
        Ok(())
    }

    async fn skip_body(&mut self) -> io::Result<()> {
        let mut skipped = 0;
        loop {
            while let Some(piece) = self.decoder.next(&mut self.buffer).map_err(|_| invalid())? {
                skipped += piece.len();
            }
            if self.decoder.is_done() {
                return Ok(());
            }
            if skipped > MAX_SKIPPED_BYTES || !self.read_more().await? {
                return Err(invalid());
            }
        }
    }
}

/// The error of an answer that does not follow the protocol.
pub fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

impl ForwardedRequest<'_> {
    /// Sends the request and reads the head of its answer.
    pub(super) async fn exchange(
        &self,
        server: &Rc<Server>,
        record: &Arc<ServerRecord>,
        lent: Lent,
        resume_after: Option<&str>,
        run_copy: Option<&RunCopy>,
    ) -> Result<Received, SendError> {
        let tenant = self.tenant_name();
        let facts = SendFacts {
            server: &record.id,
            time_left: self.time_left(),
            urgency: self.facts.model.as_ref().map(|_| self.urgency()),
            tenant: tenant.as_deref(),
            resume_after,
            run_copy,
        };
        let dialect = &*self.traffic.dialect;
        let bytes = encode::request(dialect, self.head, self.body, &facts);
        let sent = clock::now();
        let mut received = send_and_read(lent.stream, &bytes, self.head.method == "HEAD").await?;
        for _ in 0..MAX_SURPLUS_ANSWERS {
            if self.is_own(&received) {
                self.note_signals(record, &received, sent);
                return Ok(received);
            }
            self.log_failure(
                "surplus answer",
                "answer",
                &record.incarnation,
                "it is for another request",
            );
            server.note_failure(clock::now());
            received = next_answer(received, self.head.method == "HEAD")
                .await
                .map_err(SendError::Broken)?;
        }
        Err(SendError::Broken(invalid()))
    }

    fn note_signals(&self, record: &ServerRecord, received: &Received, sent: BootInstant) {
        let facts = self.traffic.dialect.answer_facts(&received.head);
        let Some(signals) = facts.signals else { return };
        let board = &self.traffic.signals;
        if board.note_answer(&record.incarnation, &self.facts.id, signals, sent) {
            self.traffic.board.heartbeat_wanted.notify_one();
        }
    }

    fn is_own(&self, received: &Received) -> bool {
        let facts = self.traffic.dialect.answer_facts(&received.head);
        facts.request_id.unwrap_or_default() == self.facts.id
    }
}

/// Writes the request while looking for an early answer.
async fn send_and_read(
    stream: TcpStream,
    bytes: &[u8],
    to_head_method: bool,
) -> Result<Received, SendError> {
    let mut buffer = BytesMut::new();
    let written = Cell::new(0);
    let head = {
        let write = write_counting(&stream, bytes, &written);
        tokio::pin!(write);
        loop {
            let whole = written.get() == bytes.len();
            tokio::select! {
                result = &mut write, if !whole => {
                    result.map_err(|error| classify(error, written.get()))?;
                }
                result = read_some(&stream, &mut buffer) => {
                    let read = result.map_err(|error| classify(error, written.get()))?;
                    if read == 0 {
                        let error = io::ErrorKind::UnexpectedEof.into();
                        return Err(classify(error, written.get()));
                    }
                    let head = take_answer(&mut buffer, MAX_HEAD_BYTES, to_head_method);
                    if let Some(head) = head.map_err(|_| SendError::Broken(invalid()))? {
                        break head;
                    }
                }
            }
        }
    };
    let decoder = BodyDecoder::new(head.framing);
    let request_sent_whole = written.get() == bytes.len();
    Ok(Received { head, decoder, buffer, stream: Some(stream), request_sent_whole })
}

/// A request of which no byte was accepted by the system has not left.
fn classify(error: io::Error, written: usize) -> SendError {
    if written == 0 { SendError::NotSent(error) } else { SendError::Broken(error) }
}

async fn write_counting(stream: &TcpStream, bytes: &[u8], written: &Cell<usize>) -> io::Result<()> {
    while written.get() < bytes.len() {
        match stream.try_write(&bytes[written.get()..]) {
            Ok(count) => written.set(written.get() + count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Passes an answer over and reads the head of the one behind it.
async fn next_answer(mut received: Received, to_head_method: bool) -> io::Result<Received> {
    received.skip_body().await?;
    loop {
        let head = take_answer(&mut received.buffer, MAX_HEAD_BYTES, to_head_method);
        if let Some(head) = head.map_err(|_| invalid())? {
            received.decoder = BodyDecoder::new(head.framing);
            received.head = head;
            return Ok(received);
        }
        if !received.read_more().await? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
