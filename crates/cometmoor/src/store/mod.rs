//! Interface of the configuration store: reads, transactions, leases and watches.
//!
//! The rest of the node uses the store through [`ConfigurationStore`]. Its only implementation is
//! [`etcd::EtcdStore`].

pub mod etcd;
pub mod layout;
pub mod rate_limiter;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// No address could be connected to; the call was not sent.
    Unreachable {
        /// Address that was tried last.
        peer: String,
        /// Error of the connection attempt.
        reason: String,
    },
    /// The call was sent but got no usable response; it may have taken effect. Also the end of a
    /// watch that the store has closed.
    NoResponse {
        /// Address of the store.
        peer: String,
        /// Why there is no usable response, such as a timeout or a server error.
        reason: String,
    },
    /// The store rejected the call; it had no effect.
    Refused {
        /// Address of the store.
        peer: String,
        /// Status of the response, and its body where it was read.
        reason: String,
    },
    /// A value or response could not be read or parsed, or the store cancelled a watch.
    Malformed {
        /// The key, the path of the call, or another name of what was read.
        what: String,
        /// Description of the error.
        reason: String,
    },
    /// A value has a format that this version does not know: a newer version has written it.
    NewerFormat {
        /// Key of the value.
        key: String,
        /// Version of the value's format.
        format: u32,
    },
    /// The client's limit of calls a second is reached; the call was not sent.
    RateLimited,
}

impl StoreError {
    /// Whether the call may have taken effect, so that its outcome is unknown.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, StoreError::NoResponse { .. } | StoreError::Malformed { .. })
    }
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Unreachable { peer, reason } => {
                write!(formatter, "the store at {peer} cannot be reached: {reason}")
            }
            StoreError::NoResponse { peer, reason } => {
                write!(formatter, "the store at {peer} did not answer: {reason}")
            }
            StoreError::Refused { peer, reason } => {
                write!(formatter, "the store at {peer} refused the call: {reason}")
            }
            StoreError::Malformed { what, reason } => write!(formatter, "{what}: {reason}"),
            StoreError::NewerFormat { key, format } => {
                write!(formatter, "{key} has format {format}, which is newer than this version")
            }
            StoreError::RateLimited => write!(formatter, "the budget of store calls is used up"),
        }
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Store revision at which the key was last written.
    pub modified_revision: u64,
    /// Store revision at which the key was created.
    pub created_revision: u64,
}

/// All keys with a prefix, read at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeResponse {
    /// Store revision of the read.
    pub revision: u64,
    /// The keys and values, sorted by key.
    pub items: Vec<KeyValue>,
}

/// A condition of a transaction: the key was last written at this revision, or does not exist if
/// the revision is 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// Key.
    pub key: String,
    /// Expected store revision of the last write; 0 for a key that does not exist.
    pub modified_revision: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Writes a value, optionally attached to a lease.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Vec<u8>,
        /// Lease whose end deletes the key; `None` for a key that stays.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// Identifier of a lease, assigned by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub i64);

/// Result of a transaction to which the store responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionResult {
    /// All conditions held and all writes took effect.
    Committed {
        /// Store revision that the writes created.
        revision: u64,
    },
    /// At least one condition did not hold; nothing was written.
    Conflict,
}

/// Changes of watched keys that were made at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchBatch {
    /// Store revision of the changes.
    pub revision: u64,
    /// Keys that were created or written, with their new values.
    pub puts: Vec<KeyValue>,
    /// Keys that were deleted, also by the end of a lease.
    pub deletes: Vec<String>,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The changes of one revision; batches arrive in order of revision.
    Batch(WatchBatch),
    /// A message without changes, such as a progress notification: the store is reachable and
    /// nothing has changed.
    Progress,
    /// The store has compacted revisions that the watch needs; the keys have to be read again.
    Compacted,
}

/// A stream of watch events. It yields an error when the store closes the watch or the connection
/// is lost.
pub type WatchStream =
    std::pin::Pin<Box<dyn futures::Stream<Item = Result<WatchEvent, StoreError>>>>;

/// Operations of the configuration store that a node uses.
#[allow(async_fn_in_trait)] // Futures stay on one thread; no Send bound is needed.
pub trait ConfigurationStore {
    /// Reads all keys with a prefix, at one revision.
    async fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError>;

    /// Applies all writes atomically if all conditions hold. The store client never retries a
    /// transaction: after a lost response the caller has to find out whether it took effect.
    async fn transact(
        &self,
        compares: &[Compare],
        writes: &[Write],
    ) -> Result<TransactionResult, StoreError>;

    /// Watches all keys with a prefix, starting with the changes of `from_revision`.
    async fn watch(&self, prefix: &str, from_revision: u64) -> Result<WatchStream, StoreError>;

    /// Requests a new lease with a lifetime in seconds.
    async fn grant_lease(&self, seconds: u64) -> Result<LeaseId, StoreError>;

    /// Renews a lease. Returns false if it has expired.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease; the store deletes the keys attached to it.
    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError>;
}
