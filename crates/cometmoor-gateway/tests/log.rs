//! Logging never blocks its callers.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

use cometmoor_gateway::log::{build_logger, dropped_lines};
use spdlog::info;

/// More lines than the queue holds.
const LINES: u64 = 20_000;

/// An output whose writes block until the test ends.
struct BlockedOutput {
    test_end: Receiver<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        let _ = self.test_end.recv();
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_block_callers_and_dropped_lines_are_counted() {
    let (test_end, blocked) = channel();
    let logger =
        build_logger("node-1", spdlog::Level::Info, BlockedOutput { test_end: blocked }).unwrap();
    for number in 0..LINES {
        info!(logger: logger, "[test] a line", kv: { number });
    }
    // This point is reached only if none of the calls has blocked.
    assert!(dropped_lines() > LINES / 2, "{} of {LINES} lines were dropped", dropped_lines());
    drop(test_end);
}
