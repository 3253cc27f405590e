//! What tells a request that comes again from others: its content, whatever identifier
//! the attempt carries.

use cometmoor_core::gateway::quarantine::Fingerprint;
use xxhash_rust::xxh3::Xxh3;

use crate::http::head::RequestHead;

/// Headers by which a caller names itself.
const CALLER_HEADERS: [&str; 2] = ["authorization", "cookie"];

/// The fingerprint of a request: of its method, host, path with query, caller and body.
/// Headers that a caller sets anew for each attempt, as the identifier, the time left or a
/// guess of the answer's length, are left out.
pub fn fingerprint(head: &RequestHead, body: &[u8]) -> Fingerprint {
    let mut hash = Xxh3::new();
    let mut add = |part: &[u8]| {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    };
    add(head.method.as_bytes());
    add(head.host().unwrap_or_default().as_bytes());
    add(head.target.as_bytes());
    for name in CALLER_HEADERS {
        head.headers.all(name).for_each(|value| add(value.as_bytes()));
    }
    add(body);
    Fingerprint(hash.digest())
}
