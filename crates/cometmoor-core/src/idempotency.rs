//! Keeps requests that must not be repeated from running twice.
//!
//! A caller gets a key prefix from the directory. The prefix names the node
//! that issued it, the incarnation of that node's process, and an expiry on
//! that incarnation's own clock. Only that incarnation ever runs a request
//! under the prefix, so no two nodes have to agree and no store write is
//! needed. A node that is asked with another's key passes the request on, or
//! answers that the outcome is unknown; it never runs it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Timestamp;

/// Marks the format of the keys.
const KEY_FORMAT: &str = "cm1";
/// Parts of a prefix, separated by [`SEPARATOR`].
const PREFIX_PARTS: usize = 5;
/// Separates the parts of a key; it does not occur in names of nodes.
const SEPARATOR: char = '/';
/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The part of a key that the directory handed out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix {
    /// Name of the system, so that a key of another one is recognised.
    pub system: String,
    /// Node that issued the prefix.
    pub node: String,
    /// Incarnation of that node's process.
    pub incarnation: u64,
    /// When the prefix expires, on that incarnation's clock.
    pub expires_at: Timestamp,
}

/// Why a key was not understood. No request with such a key is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key does not have the form of a prefix and a caller's part.
    Malformed,
    /// The key was issued by another system.
    ForeignSystem,
    /// The key is longer than [`MAX_KEY_BYTES`].
    TooLong,
}

impl std::fmt::Display for KeyPrefix {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let KeyPrefix { system, node, incarnation, expires_at } = self;
        let expiry = expires_at.0;
        write!(formatter, "{KEY_FORMAT}/{system}/{node}/{incarnation:x}/{expiry:x}/")
    }
}

impl KeyPrefix {
    /// Reads the prefix of a whole key.
    pub fn from_key(key: &str, system: &str) -> Result<KeyPrefix, KeyError> {
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        let parts: Vec<&str> = key.splitn(PREFIX_PARTS + 1, SEPARATOR).collect();
        let [KEY_FORMAT, key_system, node, incarnation, expiry, callers_part] = parts[..] else {
            return Err(KeyError::Malformed);
        };
        if callers_part.is_empty() {
            return Err(KeyError::Malformed);
        }
        if key_system != system {
            return Err(KeyError::ForeignSystem);
        }
        let hexadecimal = |text| u64::from_str_radix(text, 16).map_err(|_| KeyError::Malformed);
        Ok(KeyPrefix {
            system: system.to_owned(),
            node: node.to_owned(),
            incarnation: hexadecimal(incarnation)?,
            expires_at: Timestamp(hexadecimal(expiry)?),
        })
    }
}

/// A finished answer, kept to be given again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Run {
    Running,
    Complete(StoredAnswer),
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    expires_at: Timestamp,
    run: Run,
    bytes: usize,
}

/// A key whose run has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedKey {
    /// The whole key.
    pub key: String,
    /// Expiry of its prefix, on the issuer's clock.
    pub expires_at: Timestamp,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The answer; none when the outcome is unknown.
    pub answer: Option<StoredAnswer>,
}

/// How a request with a key goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run it, and report the end by [`IdempotencyTable::finish`].
    Run,
    /// It is running: wait for its end.
    AlreadyRunning,
    /// It has run: this is its answer.
    Replay(StoredAnswer),
    /// It may have run; what came of it is not known.
    Unknown,
    /// The prefix has expired. `certainly_not_run` tells whether the table
    /// still covers the time in which the key could have been used.
    Expired {
        /// Whether no request under this key was ever run.
        certainly_not_run: bool,
    },
    /// The key was used before with another request.
    DifferentRequest,
    /// There is no room to remember another key.
    Full,
    /// The table was handed over; nothing new runs here.
    Closed,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran to its end.
    Complete(StoredAnswer),
    /// No part of it was run; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Bounds of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyLimits {
    /// How long a prefix can be used after it was issued.
    pub key_lifetime: Duration,
    /// Keys that are remembered at the same time.
    pub max_entries: usize,
    /// Bytes of all answers that are remembered.
    pub max_bytes: usize,
}

/// The keys of one incarnation of one node.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    limits: IdempotencyLimits,
    entries: BTreeMap<String, Entry>,
    /// Keys by expiry, oldest first, to be forgotten.
    expiries: VecDeque<(Timestamp, String)>,
    bytes: usize,
    closed: bool,
}

impl IdempotencyTable {
    /// An empty table.
    pub fn new(limits: IdempotencyLimits) -> IdempotencyTable {
        IdempotencyTable {
            limits,
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            bytes: 0,
            closed: false,
        }
    }

    /// The table of an issuer that stopped and closed it, with its finished
    /// keys. The new holder is the only one that runs the keys from now on.
    /// All times are on the issuer's clock.
    pub fn adopt(limits: IdempotencyLimits, finished: Vec<FinishedKey>) -> IdempotencyTable {
        let mut table = IdempotencyTable::new(limits);
        for key in finished {
            table.adopt_key(key);
        }
        table
    }

    fn adopt_key(&mut self, finished: FinishedKey) {
        let FinishedKey { key, expires_at, fingerprint, answer } = finished;
        let bytes = answer.as_ref().map_or(0, |answer| answer.body.len());
        let run = answer.map_or(Run::Unknown, Run::Complete);
        self.bytes += bytes;
        self.expiries.push_back((self.forget_at(expires_at), key.clone()));
        self.entries.insert(key, Entry { fingerprint, expires_at, run, bytes });
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expiry of a prefix that is issued now.
    pub fn expiry(&self, now: Timestamp) -> Timestamp {
        now + self.limits.key_lifetime
    }

    /// Decides on a request. `fingerprint` tells different requests apart that
    /// were given the same key by mistake.
    pub fn begin(
        &mut self,
        key: &str,
        expires_at: Timestamp,
        fingerprint: u64,
        now: Timestamp,
    ) -> BeginOutcome {
        self.forget_expired(now);
        if let Some(entry) = self.entries.get(key) {
            return begin_again(entry, fingerprint);
        }
        if now >= expires_at {
            let certainly_not_run = now < self.forget_at(expires_at);
            return BeginOutcome::Expired { certainly_not_run };
        }
        // An expiry that this table cannot have issued would have to be
        // remembered for longer than the bounds foresee.
        if expires_at > self.expiry(now) {
            return BeginOutcome::Expired { certainly_not_run: true };
        }
        if self.closed {
            return BeginOutcome::Closed;
        }
        if self.entries.len() >= self.limits.max_entries || self.bytes >= self.limits.max_bytes {
            return BeginOutcome::Full;
        }
        let entry = Entry { fingerprint, expires_at, run: Run::Running, bytes: 0 };
        self.entries.insert(key.to_owned(), entry);
        self.expiries.push_back((self.forget_at(expires_at), key.to_owned()));
        BeginOutcome::Run
    }

    /// An expired key stays known for a second lifetime, so that its last
    /// users still get a certain answer.
    fn forget_at(&self, expires_at: Timestamp) -> Timestamp {
        expires_at + self.limits.key_lifetime
    }

    /// Notes how the run of a key ended.
    pub fn finish(&mut self, key: &str, finish: RunOutcome) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match finish {
            RunOutcome::NotRun => {
                self.entries.remove(key);
            }
            RunOutcome::Unknown => entry.run = Run::Unknown,
            RunOutcome::Complete(answer) => {
                entry.bytes = answer.body.len();
                self.bytes += entry.bytes;
                entry.run = Run::Complete(answer);
            }
        }
    }

    /// Stops new runs for good, before the table is handed over.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether a run has not ended.
    pub fn has_running(&self) -> bool {
        self.entries.values().any(|entry| entry.run == Run::Running)
    }

    /// The keys whose runs have ended, to be handed over.
    pub fn finished(&self) -> Vec<FinishedKey> {
        self.entries.iter().filter_map(|(key, entry)| finished_key(key, entry)).collect()
    }

    fn forget_expired(&mut self, now: Timestamp) {
        while let Some((forget_at, _)) = self.expiries.front() {
            if *forget_at > now {
                return;
            }
            if let Some((_, key)) = self.expiries.pop_front()
                && let Some(entry) = self.entries.remove(&key)
            {
                self.bytes -= entry.bytes;
            }
        }
    }
}

fn begin_again(entry: &Entry, fingerprint: u64) -> BeginOutcome {
    if entry.fingerprint != fingerprint {
        return BeginOutcome::DifferentRequest;
    }
    match &entry.run {
        Run::Running => BeginOutcome::AlreadyRunning,
        Run::Complete(answer) => BeginOutcome::Replay(answer.clone()),
        Run::Unknown => BeginOutcome::Unknown,
    }
}

fn finished_key(key: &str, entry: &Entry) -> Option<FinishedKey> {
    let answer = match &entry.run {
        Run::Running => return None,
        Run::Complete(answer) => Some(answer.clone()),
        Run::Unknown => None,
    };
    Some(FinishedKey {
        key: key.to_owned(),
        expires_at: entry.expires_at,
        fingerprint: entry.fingerprint,
        answer,
    })
}
