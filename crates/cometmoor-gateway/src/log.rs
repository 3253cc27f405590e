//! Log lines: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue; when it is full, the oldest lines are
//! dropped and nobody waits.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Lines that wait to be written.
const QUEUE_LINES: usize = 4096;

/// Sends log lines of this level and above to standard output.
pub fn start(level: spdlog::Level) {
    let Some(logger) = build(level) else { return };
    spdlog::set_default_logger(Arc::new(logger));
}

fn build(level: spdlog::Level) -> Option<Logger> {
    let mut builder = StdStreamSink::builder();
    builder = builder.formatter(JsonFormatter::new());
    let console = builder.std_stream(StdStream::Stdout).build().ok()?;
    let capacity = std::num::NonZeroUsize::new(QUEUE_LINES)?;
    let pool = ThreadPool::builder().capacity(capacity).build().ok()?;
    let queue = AsyncPoolSink::builder()
        .sink(Arc::new(console) as Arc<dyn Sink>)
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .ok()?;
    Logger::builder()
        .sink(Arc::new(queue))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()
        .ok()
}
