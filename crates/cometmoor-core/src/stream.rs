//! Reassembles the chunks of an engine's streamed answer.

use std::collections::BTreeMap;

use cometmoor_protocol::engine::CompletionChunk;

/// Maximum number of chunks buffered while an earlier one is missing.
pub const MAX_OUT_OF_ORDER: usize = 256;

/// Why an answer cannot be reassembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// More than [`MAX_OUT_OF_ORDER`] chunks are buffered.
    TooManyOutOfOrder,
    /// A chunk follows the one that ended the answer.
    PartAfterEnd,
}

/// Restores the order of chunks that arrive late, twice or out of order.
#[derive(Debug, Default)]
pub struct Reassembler {
    next_index: u64,
    buffered: BTreeMap<u64, CompletionChunk>,
    complete: bool,
}

impl Reassembler {
    /// Creates a reassembler whose first chunk has index `next_index`.
    pub fn starting_at(next_index: u64) -> Reassembler {
        Reassembler { next_index, ..Reassembler::default() }
    }

    /// Index of the first missing chunk, from which a stream is resumed.
    pub fn next_index(&self) -> u64 {
        self.next_index
    }

    /// Whether the last chunk, and so the whole answer, has been returned.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Adds a chunk and returns the chunks that are now in order. A chunk that was
    /// returned before is ignored.
    pub fn push(&mut self, chunk: CompletionChunk) -> Result<Vec<CompletionChunk>, StreamError> {
        if chunk.index < self.next_index {
            return Ok(Vec::new());
        }
        if self.complete {
            return Err(StreamError::PartAfterEnd);
        }
        self.buffered.entry(chunk.index).or_insert(chunk);
        let ready = self.take_ready()?;
        if self.buffered.len() > MAX_OUT_OF_ORDER {
            return Err(StreamError::TooManyOutOfOrder);
        }
        Ok(ready)
    }

    fn take_ready(&mut self) -> Result<Vec<CompletionChunk>, StreamError> {
        let mut ready = Vec::new();
        while let Some(chunk) = self.buffered.remove(&self.next_index) {
            if self.complete {
                return Err(StreamError::PartAfterEnd);
            }
            self.next_index += 1;
            self.complete = chunk.finish_reason.is_some();
            ready.push(chunk);
        }
        Ok(ready)
    }

    /// Drops the buffered chunks before the stream is resumed, and returns the
    /// index of the first missing chunk.
    pub fn resume(&mut self) -> u64 {
        self.buffered.clear();
        self.next_index
    }
}
