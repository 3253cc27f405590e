//! Decision logic of cometmoor.
//!
//! Nothing in this crate reads a clock, a socket, a file or a random source:
//! the time and random numbers are arguments, decisions are return values. The
//! daemon, the property tests and the simulator all run this code.

pub mod admission;
pub mod catalog;
pub mod configuration;
pub mod freshness;
pub mod gateway;
pub mod homes;
pub mod idempotency;
pub mod keys;
pub mod ledger;
pub mod membership;
pub mod placement;
pub mod reconcile;
pub mod retry;
pub mod routing;
pub mod stream;
pub mod time;
pub mod unfenced;
pub mod validation;
pub mod weight_store;
