//! Log lines: short sentences with a fixed prefix for each part of a node.

use std::fmt::{Display, Formatter, Result};

/// Part of a node that writes a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Start and stop of the node.
    Node,
    /// Configuration in force.
    Configuration,
    /// Configuration store.
    Store,
    /// Other nodes.
    Membership,
    /// Interface between nodes.
    Peer,
    /// Reports of the engines.
    Engines,
    /// Placement orders.
    Planner,
    /// Callers' requests.
    Traffic,
    /// Operators' requests.
    Operator,
    /// The platform's list of machines.
    Machines,
}

impl Display for Part {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let prefix = match self {
            Part::Node => "[node]",
            Part::Configuration => "[configuration]",
            Part::Store => "[store]",
            Part::Membership => "[membership]",
            Part::Peer => "[peer]",
            Part::Engines => "[engines]",
            Part::Planner => "[planner]",
            Part::Traffic => "[traffic]",
            Part::Operator => "[operator]",
            Part::Machines => "[machines]",
        };
        formatter.write_str(prefix)
    }
}

/// Sends log lines of this level and above to standard error.
pub fn start(level: spdlog::Level) {
    let sink =
        spdlog::sink::StdStreamSink::builder().std_stream(spdlog::sink::StdStream::Stderr).build();
    let Ok(sink) = sink else { return };
    let logger = spdlog::Logger::builder()
        .sink(std::sync::Arc::new(sink))
        .level_filter(spdlog::LevelFilter::MoreSevereEqual(level))
        .build();
    if let Ok(logger) = logger {
        logger.set_flush_level_filter(spdlog::LevelFilter::All);
        spdlog::set_default_logger(std::sync::Arc::new(logger));
    }
}
