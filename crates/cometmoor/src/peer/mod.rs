//! The interface between the nodes of a system, over Cap'n Proto RPC.
//!
//! Both ends prove with a nonce that they know the shared secret before
//! anything else is answered.

pub mod auth;
pub mod client;
pub mod convert;
mod counting;
pub mod server;

/// Why a call to another node failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// No connection.
    Unreachable {
        /// Address of the peer.
        peer: String,
        /// What the connection attempt said.
        reason: String,
    },
    /// The peer speaks another version of the interface.
    OtherVersion {
        /// Address of the peer.
        peer: String,
        /// Version of the peer.
        version: u32,
    },
    /// The call failed or was not answered in time.
    Failed {
        /// Address of the peer.
        peer: String,
        /// What happened.
        reason: String,
    },
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeerError::Unreachable { peer, reason } => {
                write!(formatter, "{peer} cannot be reached: {reason}")
            }
            PeerError::OtherVersion { peer, version } => {
                write!(formatter, "{peer} speaks version {version} of the peer interface")
            }
            PeerError::Failed { peer, reason } => write!(formatter, "{peer}: {reason}"),
        }
    }
}
