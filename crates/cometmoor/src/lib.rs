//! The node of cometmoor, as a library for the binary and for tests.

pub mod cli;
pub mod clock;
pub mod context;
pub mod control;
pub mod engine;
pub mod machines;
pub mod node;
pub mod operator;
pub mod peer;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod traffic;
