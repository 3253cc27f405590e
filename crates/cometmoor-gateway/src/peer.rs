//! What nodes ask of each other: copies of the store's items, for a node that
//! the store turns away.

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

/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for a renewal through a peer, before another one is asked.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest update, uncompressed.
const MAX_UPDATE_BYTES: u64 = 64 << 20;
/// Path of the copies.
const MIRROR_PATH: &str = "/peer/mirror/";

/// Which of the store's prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StorePrefix {
    /// The configuration.
    Configuration,
    /// The servers.
    Servers,
}

impl StorePrefix {
    /// Both.
    pub const ALL: [StorePrefix; 2] = [StorePrefix::Configuration, StorePrefix::Servers];

    /// Name in paths and log lines.
    pub fn name(self) -> &'static str {
        match self {
            StorePrefix::Configuration => "configuration",
            StorePrefix::Servers => "servers",
        }
    }

    /// The subject of a peer's request, and the point that the peer's copy is of.
    pub fn from_mirror_path(path: &str) -> Option<(StorePrefix, StorePosition)> {
        let (name, after) = path.strip_prefix(MIRROR_PATH)?.split_once('/')?;
        let subject = StorePrefix::ALL.into_iter().find(|subject| subject.name() == name)?;
        Some((subject, after.parse().ok()?))
    }
}

/// Path of the renewals.
const RENEWAL_PATH: &str = "/peer/renewal/";

/// The lease that a peer asks to have renewed.
pub fn lease_from_renewal_path(path: &str) -> Option<StoreLease> {
    let (era, id) = path.strip_prefix(RENEWAL_PATH)?.split_once('/')?;
    Some(StoreLease { era: era.parse().ok()?, id: id.parse().ok()? })
}

/// Asks a peer to renew a lease at the store, which turns this node away.
/// Tells whether the lease goes on.
pub async fn renew_via_peer(peer: SocketAddrV4, lease: StoreLease) -> Result<bool, PeerError> {
    let call = Call::new("GET", format!("{RENEWAL_PATH}{}/{}", lease.era, lease.id));
    let renewal = CallClient::new(peer).call(&call, RENEWAL_TIMEOUT).await;
    let answer = renewal.map_err(PeerError::Call)?;
    match answer.head.status {
        200 => Ok(true),
        404 => Ok(false),
        _ => Err(PeerError::Format),
    }
}

/// Why a peer's copy could not be had.
#[derive(Debug)]
pub enum PeerError {
    /// There is no answer.
    Call(CallError),
    /// The answer is not a copy.
    Format,
}

/// Asks a peer for what its copy has beyond a point in the store's history.
pub async fn fetch_update(
    peer: SocketAddrV4,
    subject: StorePrefix,
    after: StorePosition,
) -> Result<MirrorUpdate, PeerError> {
    let call = Call::new("GET", format!("{MIRROR_PATH}{}/{after}", subject.name()));
    let answer = CallClient::new(peer).call(&call, CALL_TIMEOUT).await.map_err(PeerError::Call)?;
    if answer.head.status != 200 {
        return Err(PeerError::Format);
    }
    decode_update(&answer.body).ok_or(PeerError::Format)
}

/// What a copy lacks, as sent to a peer. Configurations compress to a tenth;
/// many peers ask for one at the same moment, over links of 10 Mbit/s.
pub fn encode_update(update: &MirrorUpdate) -> Vec<u8> {
    let plain = postcard::to_stdvec(update).unwrap_or_default();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to a vector does not fail.
    let _ = encoder.write_all(&plain);
    encoder.finish().unwrap_or_default()
}

/// What a peer sent, if it is an update of a bearable size.
pub fn decode_update(bytes: &[u8]) -> Option<MirrorUpdate> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(MAX_UPDATE_BYTES).read_to_end(&mut plain).ok()?;
    postcard::from_bytes(&plain).ok()
}
