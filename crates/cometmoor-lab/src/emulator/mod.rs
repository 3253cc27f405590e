//! An emulator of the systems served: model servers with batches, memory and
//! weights, clients with deadlines and second tries, and the weight store, in
//! virtual time.
//!
//! What decides is the product's own code: the choice of servers, admission,
//! refusals, demand and the planner are those of `cometmoor-core`, driven with
//! what a node would know. Two runs of one scenario with one seed are equal.
//! What is left out: adapters, partitions and restarts of nodes, the store, and
//! the processor time of nodes.

pub mod arrivals;
pub mod command;
pub mod engine;
pub mod fleet;
pub mod outcome;
pub mod placement;
pub mod policy;
pub mod scenario;
pub mod world;
