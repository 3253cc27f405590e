//! Bodies: taking them out of their framing.

use bytes::{Buf, Bytes, BytesMut};

use super::head::Framing;

/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// Most bytes of trailer lines.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// The body does not follow the protocol.
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

/// Takes a body out of its framing, piece by piece.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// A decoder for a body that ends as told.
    pub fn new(framing: Framing) -> BodyDecoder {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        BodyDecoder { state }
    }

    /// Whether the whole body was taken.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether a clean end of the connection ends the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Takes the next piece off the buffer; `None` where more bytes are
    /// needed or the body is done.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, MalformedBody> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::UntilClose if buffer.is_empty() => return Ok(None),
                State::UntilClose => return Ok(Some(buffer.split().freeze())),
                State::Length(left) => {
                    let Some(piece) = take_up_to(buffer, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Some(piece));
                }
                State::Chunk(left) => {
                    let Some(piece) = take_up_to(buffer, left) else { return Ok(None) };
                    let left = left - piece.len() as u64;
                    self.state = if left == 0 { State::ChunkEnd } else { State::Chunk(left) };
                    return Ok(Some(piece));
                }
                State::ChunkSize => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = take_line(buffer, MAX_CHUNK_LINE)? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(MalformedBody);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers(seen) => {
                    let left = MAX_TRAILER_BYTES.saturating_sub(seen);
                    let Some(line) = take_line(buffer, left)? else { return Ok(None) };
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

fn take_up_to(buffer: &mut BytesMut, most: u64) -> Option<Bytes> {
    if buffer.is_empty() {
        return None;
    }
    let length = buffer.len().min(usize::try_from(most).unwrap_or(usize::MAX));
    Some(buffer.split_to(length).freeze())
}

/// Takes a line without its end; it has to end with CR LF.
fn take_line(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, MalformedBody> {
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

fn chunk_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii();
    let hexadecimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !hexadecimal || digits.len() > 15 {
        return Err(MalformedBody);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedBody)?;
    u64::from_str_radix(digits, 16).map_err(|_| MalformedBody)
}
