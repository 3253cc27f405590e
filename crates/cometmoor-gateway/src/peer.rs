//! What nodes ask of each other: copies of the store's items, for a node that
//! the store turns away.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::http::client::{Call, CallClient, CallError};
use crate::mirror::MirrorUpdate;

/// Time for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Path of the copies.
const MIRROR_PATH: &str = "/peer/mirror/";

/// Which of the store's prefixes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// The servers.
    Servers,
}

impl Subject {
    /// Both.
    pub const ALL: [Subject; 2] = [Subject::Configuration, Subject::Servers];

    /// Name in paths and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Subject::Configuration => "configuration",
            Subject::Servers => "servers",
        }
    }

    /// The subject of a peer's request, and the revision that the peer has.
    pub fn from_path(path: &str) -> Option<(Subject, u64)> {
        let (name, after) = path.strip_prefix(MIRROR_PATH)?.split_once('/')?;
        let subject = Subject::ALL.into_iter().find(|subject| subject.name() == name)?;
        Some((subject, after.parse().ok()?))
    }
}

/// Path of the renewals.
const RENEWAL_PATH: &str = "/peer/renewal/";

/// The lease that a peer asks to have renewed.
pub fn renewal_from_path(path: &str) -> Option<u64> {
    path.strip_prefix(RENEWAL_PATH)?.parse().ok()
}

/// Asks a peer to renew a lease at the store, which turns this node away.
/// Tells whether the lease goes on.
pub async fn renew_through(peer: SocketAddrV4, lease: u64) -> Result<bool, PeerError> {
    let call = Call::new("GET", format!("{RENEWAL_PATH}{lease}"));
    let answer = CallClient::new(peer).call(&call, CALL_TIMEOUT).await.map_err(PeerError::Call)?;
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

/// Asks a peer for what its copy has beyond a revision.
pub async fn fetch_update(
    peer: SocketAddrV4,
    subject: Subject,
    after: u64,
) -> Result<MirrorUpdate, PeerError> {
    let call = Call::new("GET", format!("{MIRROR_PATH}{}/{after}", subject.name()));
    let answer = CallClient::new(peer).call(&call, CALL_TIMEOUT).await.map_err(PeerError::Call)?;
    if answer.head.status != 200 {
        return Err(PeerError::Format);
    }
    postcard::from_bytes(&answer.body).map_err(|_| PeerError::Format)
}
