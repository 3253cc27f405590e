//! Writing a log line never blocks the caller.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};

use cometmoor_gateway::log::{build_logger, dropped_lines};
use spdlog::info;

/// Number of lines, which is more than the queue holds.
const LINES: u64 = 20_000;

/// An output that blocks in its first write until the test ends.
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
fn a_blocked_output_does_not_block_callers_and_dropped_lines_are_counted() {
    let (test_running, test_end) = channel();
    let logger = build_logger("node-1", spdlog::Level::Info, BlockedOutput { test_end }).unwrap();
    for number in 0..LINES {
        info!(logger: logger, "[test] a line", kv: { number });
    }
    // The output is still blocked here, so that no line has waited for it.
    assert!(dropped_lines() > LINES / 2, "{} of {LINES} lines were dropped", dropped_lines());
    drop(test_running);
}
