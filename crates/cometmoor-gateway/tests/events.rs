//! The splitter of event streams, fed in pieces.

use cometmoor_gateway::http::events::{Block, EventSplitter};

/// Splits a body that arrives in pieces of a size.
fn split(body: &str, piece_size: usize) -> (Vec<Block>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut blocks = Vec::new();
    for piece in body.as_bytes().chunks(piece_size) {
        splitter.push(piece);
        while let Some(block) = splitter.next_block() {
            blocks.push(block);
        }
    }
    (blocks, splitter)
}

fn ids(blocks: &[Block]) -> Vec<&str> {
    blocks.iter().filter_map(Block::id).collect()
}

#[test]
fn events_are_the_same_whatever_the_line_ends_and_the_pieces() {
    let body = "\u{feff}: hello\nid: 1\ndata: a\ndata: b\n\n: ping\n\nid:2\ndata: c\n\n";
    for line_end in ["\n", "\r\n", "\r"] {
        let body = body.replace('\n', line_end);
        for piece_size in 1..=body.len() {
            let (blocks, mut splitter) = split(&body, piece_size);
            assert_eq!(ids(&blocks), ["1", "2"], "{line_end:?}, pieces of {piece_size}");
            let events = blocks.iter().filter(|block| block.is_event).count();
            assert_eq!(events, 2, "{line_end:?}, pieces of {piece_size}");
            assert!(!splitter.is_inside_event(), "{line_end:?}, pieces of {piece_size}");
            let mut bytes: Vec<u8> = blocks.iter().flat_map(|block| block.bytes.to_vec()).collect();
            bytes.extend_from_slice(&splitter.take_rest());
            assert_eq!(bytes, body.as_bytes(), "{line_end:?}, pieces of {piece_size}");
        }
    }
}

#[test]
fn a_body_that_is_cut_is_inside_an_event_unless_a_blank_line_or_a_comment_ended() {
    let cases = [
        ("", false),
        ("\u{feff}", false),
        (": comment\n", false),
        ("id: 1\ndata: a\n\n: comment\n", false),
        ("id: 1\ndata: a\n\n: comm", true),
        ("id: 1\ndata: a\n", true),
        ("id: 1\ndata: a", true),
        ("id: 1\ndata: a\n\nretry: 5\n", true),
        ("id: 1\r\ndata: a\r\n\r", true),
        ("id: 1\r\ndata: a\r\n\r\n", false),
        ("id: 1\rdata: a\r\r", false),
        ("x", true),
    ];
    for (body, expected) in cases {
        for piece_size in 1..=body.len().max(1) {
            let (_, splitter) = split(body, piece_size);
            assert_eq!(splitter.is_inside_event(), expected, "{body:?}, pieces of {piece_size}");
        }
    }
}

#[test]
fn a_large_event_in_small_pieces_is_scanned_once() {
    let body = format!("data: {}\n\n", "x".repeat(4 << 20));
    let (blocks, splitter) = split(&body, 64);
    assert_eq!(blocks.len(), 1);
    assert_eq!(splitter.pending_bytes(), 0);
}
