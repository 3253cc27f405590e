//! Splits the body of a `text/event-stream` response into events, as the HTML standard defines
//! them: lines end with LF, CR LF or CR, and an event ends with a blank line.

use std::ops::Range;

use bytes::{Bytes, BytesMut};

const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Lines up to and including a blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The bytes of the lines, with their line ends.
    pub bytes: Bytes,
    /// Whether it is an event. Otherwise it holds only comments, or nothing.
    pub is_event: bool,
}

impl Block {
    /// Value of the `id` field; `None` if there is none or it is not UTF-8.
    pub fn id(&self) -> Option<&str> {
        let value = lines(&self.bytes).find_map(|line| line.strip_prefix(b"id:"))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }
}

/// Incremental splitter of one response body.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Start of the first line of `pending` that may be incomplete.
    line_start: usize,
    /// Position up to which that line is known to have no end.
    scanned: usize,
    /// Whether a CR without LF has ended a line. Until then, a CR at the end of `pending` may be
    /// half of a line end.
    uses_lone_cr: bool,
}

impl EventSplitter {
    /// Adds bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Removes the next block; `None` if it is not complete.
    pub fn next_block(&mut self) -> Option<Block> {
        while let Some(line) = self.next_line() {
            let is_blank = line.start == line.end;
            if is_blank {
                return Some(self.take_block());
            }
        }
        None
    }

    /// Number of bytes behind the last complete block.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Whether a body that ends here ends inside an event. Complete comment lines may follow the
    /// last event.
    pub fn is_inside_event(&self) -> bool {
        let is_inside_line =
            self.line_start < self.pending.len() && self.pending != BYTE_ORDER_MARK;
        is_inside_line || lines(&self.pending).any(is_field)
    }

    /// Removes all bytes behind the last complete block.
    pub fn take_rest(&mut self) -> Bytes {
        self.line_start = 0;
        self.scanned = 0;
        self.pending.split().freeze()
    }

    /// Moves over the next line and returns its position without its end; `None` if it is not
    /// complete.
    fn next_line(&mut self) -> Option<Range<usize>> {
        let unscanned = &self.pending[self.scanned..];
        let length = unscanned.iter().position(|byte| matches!(byte, b'\n' | b'\r'));
        let end = self.scanned + length.unwrap_or(unscanned.len());
        self.scanned = end;
        let next = match (self.pending.get(end)?, self.pending.get(end + 1)) {
            (b'\r', Some(b'\n')) => end + 2,
            (b'\r', None) if !self.uses_lone_cr => return None,
            (b'\r', _) => {
                self.uses_lone_cr = true;
                end + 1
            }
            _ => end + 1,
        };
        let line = self.line_start..end;
        self.line_start = next;
        self.scanned = next;
        Some(line)
    }

    /// Removes the lines that were moved over.
    fn take_block(&mut self) -> Block {
        let bytes = self.pending.split_to(self.line_start).freeze();
        self.line_start = 0;
        self.scanned = 0;
        let is_event = lines(&bytes).any(is_field);
        Block { bytes, is_event }
    }
}

fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    bytes.split(|byte| matches!(byte, b'\n' | b'\r'))
}

fn is_field(line: &[u8]) -> bool {
    !line.is_empty() && !line.starts_with(b":")
}
