//! Idempotency keys: a request that must not be repeated runs at most once.
//!
//! A caller gets a key prefix from the directory. The prefix names the node
//! that issued it, the incarnation of that node's process, and an expiry on
//! that incarnation's own clock. Only that incarnation runs requests under the
//! prefix, unless it hands its closed table over, so nodes need no agreement and
//! no store write. A node that receives a request with another node's key
//! forwards it or answers that the outcome is unknown; it never runs it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Timestamp;

/// Version of the key format, the first part of every key.
const KEY_FORMAT: &str = "cm1";
/// Number of parts in a prefix, separated by [`SEPARATOR`].
const PREFIX_PARTS: usize = 5;
/// Separator between the parts of a key; node names must not contain it.
const SEPARATOR: char = '/';
/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// The part of a key that the directory issued.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix {
    /// Name of the system, by which keys of other systems are recognized.
    pub system: String,
    /// Node that issued the prefix.
    pub node: String,
    /// Incarnation of that node's process.
    pub incarnation: u64,
    /// When the prefix expires, on that incarnation's clock.
    pub expires_at: Timestamp,
}

/// Why a key is invalid. No request with such a key is run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key is not a prefix followed by a non-empty caller's part.
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
    /// Parses the prefix of a whole key.
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
        let parse_hex = |text| u64::from_str_radix(text, 16).map_err(|_| KeyError::Malformed);
        Ok(KeyPrefix {
            system: system.to_owned(),
            node: node.to_owned(),
            incarnation: parse_hex(incarnation)?,
            expires_at: Timestamp(parse_hex(expiry)?),
        })
    }
}

/// A complete answer, stored for replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// State of a key's run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RunState {
    Running,
    Complete(StoredAnswer),
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    expires_at: Timestamp,
    run: RunState,
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
    /// The answer; none if the outcome is unknown.
    pub answer: Option<StoredAnswer>,
}

/// How to proceed with a request that has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginOutcome {
    /// Run it and report its outcome with [`IdempotencyTable::finish`].
    Run,
    /// It is already running; wait for the outcome.
    AlreadyRunning,
    /// It has run; this is the stored answer.
    Replay(StoredAnswer),
    /// It may have run; its outcome is unknown.
    Unknown,
    /// The prefix has expired, or its expiry is beyond what this table issues.
    Expired {
        /// Whether no request under this key was ever run. False if the table
        /// may already have removed the key, so that a run cannot be ruled out.
        certainly_not_run: bool,
    },
    /// The key was used before with a different request.
    DifferentRequest,
    /// The table has no room for another key.
    Full,
    /// The table is closed for a handover; no new request runs here.
    Closed,
}

/// Outcome of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It ran to completion.
    Complete(StoredAnswer),
    /// No part of it ran; the key may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Limits of an idempotency table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyLimits {
    /// How long a prefix is valid after it was issued.
    pub key_lifetime: Duration,
    /// Maximum number of keys stored at the same time.
    pub max_entries: usize,
    /// Total size of the stored answers, in bytes, at which the table accepts no
    /// new key.
    pub max_bytes: usize,
}

/// The keys issued by one incarnation of one node.
#[derive(Clone, Debug)]
pub struct IdempotencyTable {
    limits: IdempotencyLimits,
    entries: BTreeMap<String, Entry>,
    /// Keys with their removal times, in the order in which they were added.
    expiries: VecDeque<(Timestamp, String)>,
    bytes: usize,
    closed: bool,
}

impl IdempotencyTable {
    /// Creates an empty table.
    pub fn new(limits: IdempotencyLimits) -> IdempotencyTable {
        IdempotencyTable {
            limits,
            entries: BTreeMap::new(),
            expiries: VecDeque::new(),
            bytes: 0,
            closed: false,
        }
    }

    /// Takes over the table that an issuer closed before it stopped, with its
    /// finished keys. From then on only the new holder runs requests under
    /// these keys. All times are on the issuer's clock.
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
        let run = answer.map_or(RunState::Unknown, RunState::Complete);
        self.bytes += bytes;
        self.expiries.push_back((self.remove_at(expires_at), key.clone()));
        self.entries.insert(key, Entry { fingerprint, expires_at, run, bytes });
    }

    /// Number of stored keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Expiry of a prefix issued at `now`.
    pub fn expiry(&self, now: Timestamp) -> Timestamp {
        now + self.limits.key_lifetime
    }

    /// Decides whether a request runs. `fingerprint` detects a different request
    /// that was given the same key by mistake.
    pub fn begin(
        &mut self,
        key: &str,
        expires_at: Timestamp,
        fingerprint: u64,
        now: Timestamp,
    ) -> BeginOutcome {
        self.remove_expired(now);
        if let Some(entry) = self.entries.get(key) {
            return repeat_outcome(entry, fingerprint);
        }
        if now >= expires_at {
            let certainly_not_run = now < self.remove_at(expires_at);
            return BeginOutcome::Expired { certainly_not_run };
        }
        // This table cannot have issued such an expiry, and would have to store
        // the key for longer than two key lifetimes.
        if expires_at > self.expiry(now) {
            return BeginOutcome::Expired { certainly_not_run: true };
        }
        if self.closed {
            return BeginOutcome::Closed;
        }
        if self.entries.len() >= self.limits.max_entries || self.bytes >= self.limits.max_bytes {
            return BeginOutcome::Full;
        }
        let entry = Entry { fingerprint, expires_at, run: RunState::Running, bytes: 0 };
        self.entries.insert(key.to_owned(), entry);
        self.expiries.push_back((self.remove_at(expires_at), key.to_owned()));
        BeginOutcome::Run
    }

    /// When a key is removed. An expired key is kept for a second lifetime, so
    /// that late retries still get a definite answer.
    fn remove_at(&self, expires_at: Timestamp) -> Timestamp {
        expires_at + self.limits.key_lifetime
    }

    /// Records the outcome of a key's run.
    pub fn finish(&mut self, key: &str, outcome: RunOutcome) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match outcome {
            RunOutcome::NotRun => {
                self.entries.remove(key);
            }
            RunOutcome::Unknown => entry.run = RunState::Unknown,
            RunOutcome::Complete(answer) => {
                entry.bytes = answer.body.len();
                self.bytes += entry.bytes;
                entry.run = RunState::Complete(answer);
            }
        }
    }

    /// Permanently rejects new runs, before the table is handed over.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether any run is still in progress.
    pub fn has_running(&self) -> bool {
        self.entries.values().any(|entry| entry.run == RunState::Running)
    }

    /// Keys whose runs have ended, for the handover.
    pub fn finished(&self) -> Vec<FinishedKey> {
        self.entries.iter().filter_map(|(key, entry)| finished_key(key, entry)).collect()
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((remove_at, _)) = self.expiries.front() {
            if *remove_at > now {
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

fn repeat_outcome(entry: &Entry, fingerprint: u64) -> BeginOutcome {
    if entry.fingerprint != fingerprint {
        return BeginOutcome::DifferentRequest;
    }
    match &entry.run {
        RunState::Running => BeginOutcome::AlreadyRunning,
        RunState::Complete(answer) => BeginOutcome::Replay(answer.clone()),
        RunState::Unknown => BeginOutcome::Unknown,
    }
}

fn finished_key(key: &str, entry: &Entry) -> Option<FinishedKey> {
    let answer = match &entry.run {
        RunState::Running => return None,
        RunState::Complete(answer) => Some(answer.clone()),
        RunState::Unknown => None,
    };
    Some(FinishedKey {
        key: key.to_owned(),
        expires_at: entry.expires_at,
        fingerprint: entry.fingerprint,
        answer,
    })
}
