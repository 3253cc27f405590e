//! Complete bodies of requests.

use bytes::Bytes;

use super::memory::HeldMemory;

/// The complete body of a request, in the pieces in which it was received.
#[derive(Default)]
pub struct Body {
    pieces: Vec<Bytes>,
    length: usize,
    /// Released with the body.
    _held: Option<HeldMemory>,
}

impl Body {
    /// A body in memory that was reserved for it.
    pub fn held(pieces: Vec<Bytes>, memory: HeldMemory) -> Body {
        Body { _held: Some(memory), ..Body::from(pieces) }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Its pieces in order.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(Bytes::as_ref)
    }
}

impl From<Vec<Bytes>> for Body {
    fn from(pieces: Vec<Bytes>) -> Body {
        let length = pieces.iter().map(Bytes::len).sum();
        Body { pieces, length, _held: None }
    }
}
