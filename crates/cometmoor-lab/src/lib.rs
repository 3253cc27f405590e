//! Stand-ins for the systems around cometmoor, load, and experiments.
//!
//! Nothing here is shipped. The stand-ins speak the published protocols of
//! what they take the place of, can be made to fail on command, and record
//! what a wrong node would do to them.

pub mod client;
pub mod cluster;
pub mod emulator;
pub mod faults;
pub mod flags;
pub mod memory;
pub mod overhead;
pub mod quickstart;
pub mod sample;
pub mod soak;
pub mod stand_in;
pub mod summary;
