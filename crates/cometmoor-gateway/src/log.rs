//! Asynchronous logging: one JSON object per line on standard output.
//!
//! Lines pass through a bounded queue to a writer thread. If the queue is full, new lines are
//! dropped and counted, and no caller blocks. The lines of successful requests are limited to a
//! number per second, so that they don't displace those of failures.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

use crate::clock;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 4096;
/// Time for which lines are collected, so that they are written in batches.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of a batch of whole lines, in bytes: what a pipe accepts in an atomic write.
const MAX_BATCH_BYTES: usize = 4000;
/// Maximum number of lines per second of successful requests.
const SUCCESS_LINES_PER_SECOND: u64 = 20;

/// Maximum number of lines per second of requests beyond their tenant's limit. There may be many
/// times as many of them as of requests within it.
const OVER_LIMIT_LINES_PER_SECOND: u64 = 10;
/// Maximum number of lines per second of requests without a valid key, of which an unauthenticated
/// client may send any number.
const UNAUTHORIZED_LINES_PER_SECOND: u64 = 2;

/// Maximum number of lines per second of rejected requests, and of connections that are closed for
/// want of room. Uncontrolled clients may cause any number of them.
const REJECTED_LINES_PER_SECOND: u64 = 5;
const CONNECTION_LINES_PER_SECOND: u64 = 2;

static DROPPED: AtomicU64 = AtomicU64::new(0);
static SUCCESS: LineRateLimiter = LineRateLimiter::new(SUCCESS_LINES_PER_SECOND);
static OVER_LIMIT: LineRateLimiter = LineRateLimiter::new(OVER_LIMIT_LINES_PER_SECOND);
static UNAUTHORIZED: LineRateLimiter = LineRateLimiter::new(UNAUTHORIZED_LINES_PER_SECOND);

static REJECTED: LineRateLimiter = LineRateLimiter::new(REJECTED_LINES_PER_SECOND);
static CONNECTION: LineRateLimiter = LineRateLimiter::new(CONNECTION_LINES_PER_SECOND);

/// Limits the number of lines of a kind per second.
struct LineRateLimiter {
    max_per_second: u64,
    second: AtomicU64,
    in_second: AtomicU64,
    suppressed: AtomicU64,
}

impl LineRateLimiter {
    const fn new(max_per_second: u64) -> LineRateLimiter {
        LineRateLimiter {
            max_per_second,
            second: AtomicU64::new(0),
            in_second: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    fn allow(&self) -> bool {
        let second = clock::timestamp().0 / 1000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.in_second.store(0, Ordering::Relaxed);
        }
        let allowed = self.in_second.fetch_add(1, Ordering::Relaxed) < self.max_per_second;
        if !allowed {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }
}

/// Number of lines that were dropped because the output was read too slowly and the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Number of lines of successful requests that the rate limit suppressed.
pub fn suppressed_lines() -> u64 {
    SUCCESS.suppressed.load(Ordering::Relaxed)
}

/// Whether the rate limit allows a line of a successful request now. Counts the line.
pub fn allow_success_line() -> bool {
    SUCCESS.allow()
}

/// Whether the rate limit allows a line of a request beyond its tenant's limit now. Counts the
/// line.
pub fn allow_over_limit_line() -> bool {
    OVER_LIMIT.allow()
}

/// Whether the rate limit allows a line of a request without a valid key now. Counts the line.
pub fn allow_unauthorized_line() -> bool {
    UNAUTHORIZED.allow()
}

/// Whether the rate limit allows a line of a rejected request now. Counts the line.
pub fn allow_rejected_line() -> bool {
    REJECTED.allow()
}

/// Whether the rate limit allows a line of a connection that is closed for want of room now. Counts
/// the line.
pub fn allow_connection_line() -> bool {
    CONNECTION.allow()
}

/// Sends log lines of this level and above to standard output. The node's name is the logger of
/// each line.
pub fn init(node: &str, level: spdlog::Level) {
    if let Some(logger) = build_logger(node, level, io::stdout()) {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

/// Builds a logger whose lines pass through a bounded queue to a thread that writes them to the
/// output. `None` if the thread cannot be started or the logger is invalid.
pub fn build_logger(
    node: &str,
    level: spdlog::Level,
    output: impl Write + Send + 'static,
) -> Option<Logger> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let thread = std::thread::Builder::new().name("log".to_owned());
    thread.spawn(move || run_writer(&receiver, output)).ok()?;
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

/// Enqueues each line, or counts it as dropped if the queue is full.
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

fn run_writer(receiver: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = receiver.recv() {
        std::thread::sleep(BATCH_DELAY);
        while let Ok(line) = receiver.try_recv() {
            if batch.len() + line.len() > MAX_BATCH_BYTES {
                write_batch(&batch, &mut output);
                batch.clear();
            }
            batch.extend_from_slice(&line);
        }
        write_batch(&batch, &mut output);
    }
}

fn write_batch(batch: &[u8], output: &mut impl Write) {
    // There is nowhere to report that the output is closed.
    let _ = output.write_all(batch).and_then(|()| output.flush());
}

/// Waits long enough for the writer thread to write the last lines.
pub fn flush() {
    std::thread::sleep(BATCH_DELAY * 2);
}
