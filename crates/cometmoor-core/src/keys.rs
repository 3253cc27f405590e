//! Client keys, stored as digests, and the check of a presented key.
//!
//! Keys are compared by their digests only. A timing attack on the lookup would require the
//! attacker to choose digests, which the hash function prevents.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

/// Maximum length of a key, in bytes. Longer keys are never issued and are not looked up.
const MAX_KEY_BYTES: usize = 256;
/// Bytes of a digest that are kept. 128 bits are enough to rule out accidental collisions.
const DIGEST_BYTES: usize = 16;

/// SHA-256 of a key, truncated to 128 bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        let full: [u8; 32] = Sha256::digest(key).into();
        KeyDigest::truncate(&full)
    }

    fn truncate(full: &[u8; 32]) -> KeyDigest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&full[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    /// Parses a digest in hexadecimal, either a full SHA-256 or its first 128 bits. `None` if the
    /// text is neither.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let is_valid_length = text.len() == 2 * DIGEST_BYTES || text.len() == 64;
        if !is_valid_length || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(KeyDigest(digest))
    }

    /// The truncated digest in lower-case hexadecimal.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl std::fmt::Debug for KeyDigest {
    /// Omits the digest: a short key could be recovered from it by brute force.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// The key that a request presented.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    #[default]
    Missing,
    /// The request has several keys, or a value that is not a valid key.
    Malformed,
    /// The digest of the request's only key.
    Key(KeyDigest),
}

impl PresentedKey {
    /// Parses the values of the header that carries the key. There has to be exactly one value;
    /// white space around it is ignored.
    pub fn from_values<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> PresentedKey {
        match (values.next(), values.next()) {
            (None, _) => PresentedKey::Missing,
            (Some(value), None) => PresentedKey::from_value(value),
            (Some(_), Some(_)) => PresentedKey::Malformed,
        }
    }

    fn from_value(value: &[u8]) -> PresentedKey {
        let key = value.trim_ascii();
        let is_key = !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key.iter().all(|byte| byte.is_ascii_graphic());
        match is_key {
            true => PresentedKey::Key(KeyDigest::of(key)),
            false => PresentedKey::Malformed,
        }
    }
}

/// What a node may decide by its copy of the keys, depending on how recently the copy was
/// confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyFreshness {
    /// Whether a key in the copy may be admitted: if it was revoked, that was recent, or there is
    /// no limit on how long a revocation may take.
    pub admits: bool,
    /// Whether a key that is not in the copy may be rejected: if it was added, that was recent.
    pub denies: bool,
}

impl KeyFreshness {
    /// A copy that is current.
    pub const CURRENT: KeyFreshness = KeyFreshness { admits: true, denies: true };
}

/// Result of the check of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck<'a, Holder> {
    /// The key belongs to this holder.
    Admitted(&'a Holder),
    /// The key belongs to nobody.
    Unknown,
    /// The copy of the keys is too old to decide.
    Undecided,
}

/// The keys of a configuration and their holders.
#[derive(Clone, Debug)]
pub struct KeyRing<Holder> {
    holders: HashMap<KeyDigest, Holder>,
}

impl<Holder> Default for KeyRing<Holder> {
    fn default() -> KeyRing<Holder> {
        KeyRing { holders: HashMap::new() }
    }
}

impl<Holder> FromIterator<(KeyDigest, Holder)> for KeyRing<Holder> {
    fn from_iter<Pairs: IntoIterator<Item = (KeyDigest, Holder)>>(pairs: Pairs) -> Self {
        KeyRing { holders: pairs.into_iter().collect() }
    }
}

impl<Holder> KeyRing<Holder> {
    /// Checks a key. A missing or malformed key is unknown, however old the copy is.
    pub fn check(&self, key: PresentedKey, freshness: KeyFreshness) -> KeyCheck<'_, Holder> {
        let holder = match key {
            PresentedKey::Key(digest) => self.holders.get(&digest),
            PresentedKey::Missing | PresentedKey::Malformed => return KeyCheck::Unknown,
        };
        match holder {
            Some(holder) if freshness.admits => KeyCheck::Admitted(holder),
            None if freshness.denies => KeyCheck::Unknown,
            _ => KeyCheck::Undecided,
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
