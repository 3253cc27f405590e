//! The gateway node of cometmoor.
//!
//! The [`frontend`] accepts requests of clients. [`forward`] sends them over connections of the
//! [`pool`] to servers that are listed in the registry, which is kept in the platform's store.
//! One thread holds the [`control`] state and publishes it; another thread handles the traffic.
//! A [`dialect::Dialect`] defines the format of the platform's messages.

pub mod brittle;
pub mod clients;
pub mod clock;
pub mod connector;
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
pub mod links;
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
pub mod server_speeds;
pub mod servers;
pub mod settings;
pub mod signals;
pub mod store;
pub mod store_era;
pub mod stream_origins;
pub mod tunnel;
