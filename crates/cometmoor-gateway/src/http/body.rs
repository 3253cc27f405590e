//! Decodes message bodies from their framing.

use bytes::{Buf, Bytes, BytesMut};

use super::head::Framing;

/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Maximum total size of the trailer lines, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// The body violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedBody;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
    Done,
}

/// Incremental decoder for a message body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body ends when the peer closes the connection cleanly.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Removes the next part of the body from the buffer. `None` if more input is needed or the
    /// body is complete.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedBody> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Length(remaining) => {
                    let Some(data) = split_up_to(buffer, remaining) else { return Ok(None) };
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { State::Done } else { State::Length(remaining) };
                    return Ok(Some(data));
                }
                State::Chunk(remaining) => {
                    let Some(data) = split_up_to(buffer, remaining) else { return Ok(None) };
                    let remaining = remaining - data.len() as u64;
                    self.state =
                        if remaining == 0 { State::ChunkEnd } else { State::Chunk(remaining) };
                    return Ok(Some(data));
                }
                State::ChunkSize => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE)? else { return Ok(None) };
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = split_line(buffer, MAX_CHUNK_LINE)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(MalformedBody);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers(seen) => {
                    let remaining = MAX_TRAILER_BYTES.saturating_sub(seen);
                    let Some(line) = split_line(buffer, remaining)? else { return Ok(None) };
                    self.state = if line.is_empty() {
                        State::Done
                    } else {
                        State::Trailers(seen + line.len())
                    };
                }
            }
        }
    }
}

fn split_up_to(buffer: &mut BytesMut, max_bytes: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = buffer.len().min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
    Some(buffer.split_to(length).freeze())
}

/// Removes a line from the buffer and returns it without its terminator, which must be CR LF.
/// `None` if the line is incomplete.
fn split_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, MalformedBody> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return if buffer.len() > max_bytes { Err(MalformedBody) } else { Ok(None) };
    };
    if end > max_bytes || end == 0 || buffer[end - 1] != b'\r' {
        return Err(MalformedBody);
    }
    let line = buffer.split_to(end - 1).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii();
    let is_hexadecimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_hexadecimal || digits.len() > 15 {
        return Err(MalformedBody);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedBody)?;
    u64::from_str_radix(digits, 16).map_err(|_| MalformedBody)
}
