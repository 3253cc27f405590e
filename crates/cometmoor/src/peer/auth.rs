//! Proof of the shared secret.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

/// Length of a nonce, in bytes.
const NONCE_BYTES: usize = 32;
/// Stands in a server's proof where a client's has the name of its node, so
/// that neither can be passed off as the other. No node has this name.
pub const SERVER: &str = "(server)";

/// A new nonce.
pub fn nonce() -> Vec<u8> {
    let mut nonce = vec![0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn code(secret: &str, nonce: &[u8], node: &str) -> Hmac<Sha256> {
    // HMAC takes keys of any length, so this cannot fail.
    let mut code = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
        .unwrap_or_else(|_| Hmac::<Sha256>::new(&Default::default()));
    code.update(nonce);
    code.update(node.as_bytes());
    code
}

/// The proof for a nonce that the other side has chosen.
pub fn prove(secret: &str, nonce: &[u8], node: &str) -> Vec<u8> {
    code(secret, nonce, node).finalize().into_bytes().to_vec()
}

/// Checks a proof in constant time.
pub fn verify(secret: &str, nonce: &[u8], node: &str, proof: &[u8]) -> bool {
    code(secret, nonce, node).verify_slice(proof).is_ok()
}
