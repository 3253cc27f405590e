//! The operators' interface: the resource API and the state of the node.

pub mod api;
pub mod error;
pub mod server;
pub mod state;
pub mod status;
pub mod watch;
