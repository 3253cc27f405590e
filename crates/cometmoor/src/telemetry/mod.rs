//! Logs, metrics and traces.

pub mod log;
pub mod metrics;
pub mod traces;
