//! The traffic threads: callers' requests, from arrival to the last byte.
//!
//! They read the snapshot that the control thread publishes and never wait for
//! that thread.

pub mod arrival;
pub mod authentication;
pub mod body_memory;
pub mod completions;
pub mod directory;
pub mod dispatcher;
pub mod error;
pub mod forward;
pub mod generation;
pub mod headers;
pub mod health;
pub mod idempotent;
pub mod keys;
pub mod meter;
pub mod openai;
pub mod run_log;
pub mod server;
pub mod services;
pub mod worker;
