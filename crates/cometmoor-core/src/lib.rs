//! Decision logic of cometmoor.
//!
//! The crate performs no I/O and reads no clock or random source: times and random numbers are
//! arguments, and decisions are return values. The daemon, the property tests and the simulator
//! therefore run the same code.

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
