//! Fingerprints by which a retried request is recognized: of its content, whatever identifier
//! the attempt carries.

use cometmoor_core::gateway::quarantine::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

use crate::clients::body::Body;
use crate::http::head::RequestHead;

/// Headers that identify the caller.
const CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

/// Computes the fingerprint of a request from its method, host, path with query, caller and
/// body. Headers that a caller sets for each attempt, such as the identifier, the time left
/// or an estimate of the response length, are not included.
pub fn fingerprint(head: &RequestHead, body: &Body) -> Fingerprint {
    let mut hash = Xxh3::new();
    let mut add_part = |part: &[u8]| {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    };
    add_part(head.method.as_bytes());
    add_part(head.host().unwrap_or_default().as_bytes());
    add_part(head.target.as_bytes());
    for name in CALLER_HEADERS {
        head.headers.all(name).for_each(|value| add_part(value.as_bytes()));
    }
    hash.update(&(body.len() as u64).to_le_bytes());
    body.pieces().for_each(|piece| hash.update(piece));
    Fingerprint(hash.digest())
}
