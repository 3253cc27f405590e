//! The gateway node of cometmoor.
//!
//! Clients' requests come in at the [`frontend`], are sent on by [`forward`]
//! over connections of the [`pool`], and go to servers that the registry in
//! the platform's store tells of. One thread holds the [`control`] state and
//! publishes it; another one carries the traffic. What the platform's messages
//! look like is told by a [`dialect::Dialect`].

pub mod clock;
pub mod control;
pub mod control_traffic;
pub mod dialect;
pub mod directory;
pub mod explain;
pub mod fingerprint;
pub mod forward;
pub mod frontend;
pub mod http;
pub mod http_server;
pub mod latency;
pub mod load;
pub mod log;
pub mod membership;
pub mod metrics;
pub mod mirror;
pub mod node;
pub mod peer;
pub mod pool;
pub mod published;
pub mod quarantine;
pub mod quota;
pub mod servers;
pub mod settings;
pub mod signals;
pub mod store;
pub mod store_era;
