//! What a node holds for its clients: connections and the bodies of their requests, within bounds.

pub mod body;
pub mod connections;
pub mod memory;
pub mod metrics;
