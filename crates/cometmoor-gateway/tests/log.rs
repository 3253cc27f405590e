//! Log lines never hold anybody up.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

use cometmoor_gateway::log::{build_logger, dropped_lines};
use spdlog::info;

/// More lines than the queue holds.
const LINES: u64 = 20_000;

/// An output whose reader reads nothing until the test is over.
struct Unread {
    over: Receiver<()>,
}

impl Write for Unread {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        let _ = self.over.recv();
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_never_reads_stops_nobody_and_drops_are_counted() {
    let (over, unread) = channel();
    let logger = build_logger("node-1", spdlog::Level::Info, Unread { over: unread }).unwrap();
    for number in 0..LINES {
        info!(logger: logger, "[test] a line", kv: { number });
    }
    // All lines were given up by now, so that this point was reached at all.
    assert!(dropped_lines() > LINES / 2, "{} of {LINES} lines were dropped", dropped_lines());
    drop(over);
}
