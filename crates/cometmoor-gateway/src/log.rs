//! Log lines: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a thread of their own. When the queue is
//! full, new lines are dropped and counted; nobody waits. Lines of requests that
//! went well are kept to a number a second, so that failures find room.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

use crate::clock;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4096;
/// Pause in which lines gather, so that many are written at once.
const GATHER: Duration = Duration::from_millis(100);
/// Bytes that are written at once, in whole lines: what a pipe takes unbroken.
const MOST_AT_ONCE: usize = 4000;
/// Lines a second of requests that went well.
const GOOD_LINES_A_SECOND: u64 = 20;

/// Lines a second of requests beyond their tenant's limit, of which there may be many times
/// as many as within it.
const OVER_LIMIT_LINES_A_SECOND: u64 = 10;
/// Lines a second of requests without a valid key, of which a stranger may send any number.
const UNAUTHORIZED_LINES_A_SECOND: u64 = 2;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static GOOD: LineRate = LineRate::new(GOOD_LINES_A_SECOND);
static OVER_LIMIT: LineRate = LineRate::new(OVER_LIMIT_LINES_A_SECOND);
static UNAUTHORIZED: LineRate = LineRate::new(UNAUTHORIZED_LINES_A_SECOND);

/// Lets only so many lines of a kind pass in a second.
struct LineRate {
    most: u64,
    second: AtomicU64,
    in_second: AtomicU64,
    skipped: AtomicU64,
}

impl LineRate {
    const fn new(most: u64) -> LineRate {
        LineRate {
            most,
            second: AtomicU64::new(0),
            in_second: AtomicU64::new(0),
            skipped: AtomicU64::new(0),
        }
    }

    fn may_pass(&self) -> bool {
        let second = clock::timestamp().0 / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        let passes = self.in_second.fetch_add(1, Ordering::Relaxed) < self.most;
        if !passes {
            self.skipped.fetch_add(1, Ordering::Relaxed);
        }
        passes
    }
}

/// Lines that were dropped because the reader was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Lines of good requests that were left out.
pub fn suppressed_lines() -> u64 {
    GOOD.skipped.load(Ordering::Relaxed)
}

/// Whether a line of a request that goes well may be written now.
pub fn allow_success_line() -> bool {
    GOOD.may_pass()
}

/// Whether a line of a request beyond its tenant's limit may be written now.
pub fn allow_over_limit_line() -> bool {
    OVER_LIMIT.may_pass()
}

/// Whether a line of a request without a valid key may be written now.
pub fn allow_unauthorized_line() -> bool {
    UNAUTHORIZED.may_pass()
}

/// Sends log lines of this level and above to standard output, with the node's
/// name in each.
pub fn init(node: &str, level: spdlog::Level) {
    if let Some(logger) = build_logger(node, level, io::stdout()) {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// A logger whose lines go through a bounded queue to a thread of their own,
/// which writes them to the output.
pub fn build_logger(
    node: &str,
    level: spdlog::Level,
    output: impl Write + Send + 'static,
) -> Option<Logger> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let thread = std::thread::Builder::new().name("log".to_owned());
    thread.spawn(move || write_lines(&receiver, output)).ok()?;
    let writer = QueueWriter { sender };
    let sink =
        WriteSink::builder().formatter(JsonFormatter::new()).target(writer).build_arc().ok()?;
    Logger::builder()
        .name(node)
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .ok()
}

/// Puts each line into the queue, or counts it as dropped.
struct QueueWriter {
    sender: SyncSender<Vec<u8>>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.sender.try_send(line.to_vec()).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut lines) = receiver.recv() {
        std::thread::sleep(GATHER);
        while let Ok(line) = receiver.try_recv() {
            if lines.len() + line.len() > MOST_AT_ONCE {
                write_out(&lines, &mut output);
                lines.clear();
            }
            lines.extend_from_slice(&line);
        }
        write_out(&lines, &mut output);
    }
}

fn write_out(lines: &[u8], output: &mut impl Write) {
    // Nobody can be told that the output is gone.
    let _ = output.write_all(lines).and_then(|()| output.flush());
}

/// Gives the last lines time to be written.
pub fn flush() {
    std::thread::sleep(GATHER * 2);
}
