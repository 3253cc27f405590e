//! HTTP requests between nodes, for a node that does not reach the store: copies of the store's
//! items, and renewals of its lease through a node that the store answers.

use std::io::{Read, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::store_position::StorePosition;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::http::client::{Call, CallClient, CallError};
use crate::mirror::MirrorUpdate;
use crate::store::StoreLease;

/// Timeout of a request for a copy.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a lease renewal through a peer, after which another peer is tried.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of an update after decompression.
const MAX_UPDATE_BYTES: u64 = 64 << 20;
/// Path prefix of requests for copies.
const MIRROR_PATH: &str = "/peer/mirror/";

/// The prefixes of the store of which nodes keep copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StorePrefix {
    /// The configuration.
    Configuration,
    /// The servers' entries.
    Servers,
}

impl StorePrefix {
    /// All prefixes.
    pub const ALL: [StorePrefix; 2] = [StorePrefix::Configuration, StorePrefix::Servers];

    /// Name in paths, log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StorePrefix::Configuration => "configuration",
            StorePrefix::Servers => "servers",
        }
    }

    /// Parses the path of a peer's request for a copy into the prefix and the position of the
    /// copy that the peer has; `None` if it is another path.
    pub fn from_mirror_path(path: &str) -> Option<(StorePrefix, StorePosition)> {
        let (name, after) = path.strip_prefix(MIRROR_PATH)?.split_once('/')?;
        let prefix = StorePrefix::ALL.into_iter().find(|prefix| prefix.name() == name)?;
        Some((prefix, after.parse().ok()?))
    }
}

/// Path prefix of lease renewals.
const RENEWAL_PATH: &str = "/peer/renewal/";

/// Parses the path of a peer's request to renew a lease; `None` if it is another path.
pub fn lease_from_renewal_path(path: &str) -> Option<StoreLease> {
    let (era, id) = path.strip_prefix(RENEWAL_PATH)?.split_once('/')?;
    Some(StoreLease { era: era.parse().ok()?, id: id.parse().ok()? })
}

/// Renews a lease through a peer, because the store does not answer this node. Returns whether
/// the lease still exists.
pub async fn renew_via_peer(peer: SocketAddrV4, lease: StoreLease) -> Result<bool, PeerError> {
    let call = Call::new("GET", format!("{RENEWAL_PATH}{}/{}", lease.era, lease.id));
    let result = CallClient::new(peer).call(&call, RENEWAL_TIMEOUT).await;
    let response = result.map_err(PeerError::Call)?;
    match response.head.status {
        200 => Ok(true),
        404 => Ok(false),
        _ => Err(PeerError::Format),
    }
}

/// Why a request to a peer failed.
#[derive(Debug)]
pub enum PeerError {
    /// The peer did not answer.
    Call(CallError),
    /// The answer has an unexpected status, or a body that cannot be decoded.
    Format,
}

/// Fetches from a peer the changes in its copy of a prefix after a position in the store's
/// history.
pub async fn fetch_update(
    peer: SocketAddrV4,
    prefix: StorePrefix,
    after: StorePosition,
) -> Result<MirrorUpdate, PeerError> {
    let call = Call::new("GET", format!("{MIRROR_PATH}{}/{after}", prefix.name()));
    let response =
        CallClient::new(peer).call(&call, FETCH_TIMEOUT).await.map_err(PeerError::Call)?;
    if response.head.status != 200 {
        return Err(PeerError::Format);
    }
    decode_update(&response.body).ok_or(PeerError::Format)
}

/// Encodes and compresses an update for a peer. Configurations compress to a tenth of their
/// size, which matters because many peers request one at the same time, over links of 10 Mbit/s.
pub fn encode_update(update: &MirrorUpdate) -> Vec<u8> {
    let encoded = postcard::to_stdvec(update).unwrap_or_default();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector does not fail.
    let _ = encoder.write_all(&encoded);
    encoder.finish().unwrap_or_default()
}

/// Decodes a peer's update; `None` if it is malformed or longer than `MAX_UPDATE_BYTES`.
pub fn decode_update(bytes: &[u8]) -> Option<MirrorUpdate> {
    let mut encoded = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_UPDATE_BYTES).read_to_end(&mut encoded).ok()?;
    postcard::from_bytes(&encoded).ok()
}
