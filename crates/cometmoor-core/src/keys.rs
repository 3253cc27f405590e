//! Callers' keys: kept as digests, and decided on in one place.
//!
//! A key is compared by its digest only. Who wants to learn a known key from the time
//! that a look-up takes would have to choose digests, which the hash does not let them.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

/// Longest key that is looked up, in bytes; longer ones cannot have been handed out.
const MAX_KEY_BYTES: usize = 256;
/// Bytes of a digest that are kept: 128 bits do not meet by chance.
const DIGEST_BYTES: usize = 16;

/// SHA-256 of a key, cut to 128 bits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        let whole: [u8; 32] = Sha256::digest(key).into();
        KeyDigest::cut(&whole)
    }

    fn cut(whole: &[u8; 32]) -> KeyDigest {
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(digest)
    }

    /// Reads a digest from hexadecimal digits, of the whole SHA-256 or of the part that is
    /// kept.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        let is_known_length = text.len() == 2 * DIGEST_BYTES || text.len() == 64;
        if !is_known_length || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        let mut digest = [0; DIGEST_BYTES];
        for (place, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * place..2 * place + 2], 16).ok()?;
        }
        Some(KeyDigest(digest))
    }

    /// The digest in hexadecimal digits.
    pub fn to_hex(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl std::fmt::Debug for KeyDigest {
    /// Keys may be short enough to be found from their digests, so none is shown.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// The key that came with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// There is none.
    #[default]
    Missing,
    /// There are several, or what is there cannot be a key.
    Malformed,
    /// One key.
    Key(KeyDigest),
}

impl PresentedKey {
    /// The key in the values of the header that carries it, of which there must be one.
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

/// What a node's copy of the keys is good for, by how lately it was shown to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyFreshness {
    /// A key in the copy may be admitted: it cannot have been taken away for long.
    pub admits: bool,
    /// A key that is not in the copy may be rejected: it cannot have been added for long.
    pub denies: bool,
}

impl KeyFreshness {
    /// Of a copy that is the newest.
    pub const CURRENT: KeyFreshness = KeyFreshness { admits: true, denies: true };
}

/// What a key is good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCheck<'a, Holder> {
    /// It is the holder's.
    Admitted(&'a Holder),
    /// It is nobody's.
    Unknown,
    /// The copy of the keys is too old to tell.
    Undecided,
}

/// The keys of a configuration, and who holds each.
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
    /// Decides on a key.
    pub fn check(&self, key: PresentedKey, knowledge: KeyFreshness) -> KeyCheck<'_, Holder> {
        let holder = match key {
            PresentedKey::Key(digest) => self.holders.get(&digest),
            PresentedKey::Missing | PresentedKey::Malformed => return KeyCheck::Unknown,
        };
        match holder {
            Some(holder) if knowledge.admits => KeyCheck::Admitted(holder),
            None if knowledge.denies => KeyCheck::Unknown,
            _ => KeyCheck::Undecided,
        }
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
