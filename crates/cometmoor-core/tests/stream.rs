//! Tests of stream reassembly: chunks come out once and in order, and the answer is
//! complete only with its last chunk.

mod schedules;

use bolero::TypeGenerator;
use cometmoor_core::stream::{MAX_OUT_OF_ORDER, Reassembler, StreamError};
use cometmoor_protocol::engine::CompletionChunk;
use schedules::for_each_schedule;

const CASES: u64 = 10_000;
const CHUNKS: u64 = 12;

fn chunk(index: u64) -> CompletionChunk {
    let is_last = index + 1 == CHUNKS;
    CompletionChunk {
        index,
        text: index.to_string(),
        finish_reason: is_last.then(|| "length".to_owned()),
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Chunk {
        index: u8,
    },
    /// The stream breaks and is resumed at the first missing chunk.
    Resume {
        chunks: u8,
    },
}

#[test]
fn chunks_come_out_once_and_in_order() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut reassembler = Reassembler::default();
        let mut received = Vec::new();
        for step in steps {
            let arriving: Vec<u64> = match *step {
                Step::Chunk { index } => vec![u64::from(index) % CHUNKS],
                Step::Resume { chunks: count } => {
                    let first = reassembler.resume();
                    (first..CHUNKS).take(usize::from(count % 4)).collect()
                }
            };
            for index in arriving {
                received.extend(reassembler.push(chunk(index)).unwrap());
            }
            let indices: Vec<u64> = received.iter().map(|chunk| chunk.index).collect();
            let expected: Vec<u64> = (0..indices.len() as u64).collect();
            assert_eq!(indices, expected);
            assert_eq!(reassembler.is_complete(), indices.len() as u64 == CHUNKS);
            assert_eq!(reassembler.next_index(), indices.len() as u64);
        }
    });
}

#[test]
fn chunk_after_the_end_is_an_error() {
    let mut reassembler = Reassembler::starting_at(CHUNKS - 1);
    let after_end = CompletionChunk { index: CHUNKS, text: String::new(), finish_reason: None };
    assert_eq!(reassembler.push(after_end), Ok(Vec::new()));
    assert_eq!(reassembler.push(chunk(CHUNKS - 1)), Err(StreamError::PartAfterEnd));
}

#[test]
fn buffered_chunks_are_bounded() {
    let mut reassembler = Reassembler::default();
    let chunk_at = |index| CompletionChunk { index, text: String::new(), finish_reason: None };
    for index in 1..=MAX_OUT_OF_ORDER as u64 {
        assert_eq!(reassembler.push(chunk_at(index)), Ok(Vec::new()));
    }
    let one_more = chunk_at(MAX_OUT_OF_ORDER as u64 + 1);
    assert_eq!(reassembler.push(one_more), Err(StreamError::TooManyOutOfOrder));
}
