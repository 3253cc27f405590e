//! Types that are exchanged between processes: the operators' resources, the responses to clients,
//! the model engines' interface and the interface between nodes.

pub mod directory;
pub mod engine;
pub mod error;
pub mod resource;

/// Generated from `schema/peer.capnp` by `schema/generate.sh`.
#[allow(missing_docs, unsafe_code, clippy::all)]
#[rustfmt::skip]
pub mod peer_capnp;

/// Version of the interface between nodes. Nodes refuse peers with another version.
pub const PEER_PROTOCOL_VERSION: u32 = 1;
