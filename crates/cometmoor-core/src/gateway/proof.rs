//! How long a node may rely on its copy of the store after the copy was shown to be current.
//!
//! A proof of freshness is a point in time at which the store is known to have held nothing
//! newer than the copy. It is taken from answers only and counts from the moment at which the
//! request was sent, so that any delay, freeze or suspension in between makes the copy appear
//! older than it is, never younger. Guarantees with a strict bound depend on proofs. Ages that
//! arrive with heartbeats are not sufficient, because they do not bound how long a message
//! waited in a socket.
//!
//! A store that was restored from an older backup may have lost the newest configuration. It
//! proves nothing until the configuration has been written again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::restored_registry::REWRITE_WINDOW;
use super::store_position::StoreEra;
use crate::keys::KeyFreshness;
use crate::time::BootInstant;

/// Maximum age of a proof that admits keys, as a fraction of the revocation bound. The rest
/// covers a store that does not deliver a change to its watches for a second, and the time for
/// a request to reach a server.
const ADMISSION_MAX_AGE: f64 = 0.75;
/// Age, as a fraction of the same bound, from which on a node reads from the store itself. It
/// is below the maximum age so that the node does not have to reject clients.
const STORE_REFRESH_AGE: f64 = 0.5;
/// Age, as a fraction of the same bound, from which on a node asks another node for a proof.
const PEER_REQUEST_AGE: f64 = 0.12;
/// The same as a fraction of the apply bound, if there is no revocation bound: proofs are
/// also needed to tell that something does not exist.
const PEER_REQUEST_AGE_WITHOUT_REVOCATION: f64 = 0.25;

/// Minimum time between two requests for a proof.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum number of requests whose answers are still accepted.
const MAX_OPEN_REQUESTS: usize = 8;

/// Limits on the age of proofs, derived from the bounds that operators guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofLimits {
    /// Maximum time from the store's answer to a write until the configuration is in force.
    apply: Duration,
    /// Maximum time from the store's answer to the revocation of a key until no node runs
    /// requests with it; `None` if that is not guaranteed for nodes that are partitioned from
    /// the store.
    revoke: Option<Duration>,
}

impl Default for ProofLimits {
    /// Limits of zero, with which no proof is recent enough.
    fn default() -> ProofLimits {
        ProofLimits { apply: Duration::ZERO, revoke: Some(Duration::ZERO) }
    }
}

impl ProofLimits {
    /// Creates limits from the bounds on applying a configuration and on revoking a key. With
    /// no bound on revocation, keys are admitted at any age.
    pub fn new(apply: Duration, revoke: Option<Duration>) -> ProofLimits {
        ProofLimits { apply, revoke }
    }

    /// Whether a copy with a proof of this age shows that what it lacks does not exist. `None`
    /// means that there is no proof.
    pub fn proves_absence(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age < self.apply)
    }

    /// Whether a copy with a proof of this age may be used to admit keys, and to deny them.
    pub fn key_freshness(&self, age: Option<Duration>) -> KeyFreshness {
        let admits = match self.revoke {
            Some(bound) => age.is_some_and(|age| age < bound.mul_f64(ADMISSION_MAX_AGE)),
            None => true,
        };
        KeyFreshness { admits, denies: self.proves_absence(age) }
    }

    /// Time left until the node has to read from the store itself, whatever other nodes
    /// report; `None` without a bound on revocation.
    pub fn time_until_refresh(&self, age: Option<Duration>) -> Option<Duration> {
        let refresh_age = self.revoke?.mul_f64(STORE_REFRESH_AGE);
        Some(refresh_age.saturating_sub(age.unwrap_or(refresh_age)))
    }

    /// Whether the proof is old enough, or missing, to ask another node for one.
    pub fn needs_peer_proof(&self, age: Option<Duration>) -> bool {
        let request_age = match self.revoke {
            Some(bound) => bound.mul_f64(PEER_REQUEST_AGE),
            None => self.apply.mul_f64(PEER_REQUEST_AGE_WITHOUT_REVOCATION),
        };
        age.is_none_or(|age| age >= request_age)
    }
}

/// The latest restore of the store that a node knows of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRestore {
    /// Era that started with the restore.
    pub era: StoreEra,
    /// When this node learned of it.
    pub heard_at: BootInstant,
}

impl KnownRestore {
    /// Whether an answer of the store in `era` proves that it held nothing newer than the
    /// configuration at `at`. Answers from earlier eras were correct at their time. In the era
    /// of the restore, the store may lack the newest configuration until that is known to have
    /// been written again (`is_rewritten`) or the time allowed for it has passed.
    pub fn allows_proof(&self, era: StoreEra, at: BootInstant, is_rewritten: bool) -> bool {
        era < self.era || is_rewritten || at >= self.heard_at + REWRITE_WINDOW
    }
}

/// A node's answer to a request for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// Version of the configuration in force on the answering node.
    pub version: u64,
    /// Age of the answering node's own proof; `None` if it has none.
    pub age: Option<Duration>,
}

/// A node's requests to other nodes for proofs, by request number.
#[derive(Clone, Debug)]
pub struct ProofRequests {
    next: u64,
    /// When each of the latest requests was sent.
    open: BTreeMap<u64, BootInstant>,
    /// Number of requests since the last answer.
    unanswered: usize,
}

impl ProofRequests {
    /// Starts the request numbers at `first`. Each process has to draw it at random, so that
    /// it does not accept answers to requests of an earlier process.
    pub fn new(first: u64) -> ProofRequests {
        ProofRequests { next: first, open: BTreeMap::new(), unanswered: 0 }
    }

    /// Returns the number of the next request and the index of the node to send it to, out of
    /// `sources` nodes, and records it as sent at `now`. A node that has not answered is
    /// skipped the next time. Returns `None` if no request is due or there is no node to ask.
    pub fn next_request(&mut self, sources: usize, now: BootInstant) -> Option<(u64, usize)> {
        let last = self.open.values().next_back();
        if sources == 0 || last.is_some_and(|sent| now.since(*sent) < MIN_REQUEST_INTERVAL) {
            return None;
        }
        let source = self.unanswered % sources;
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.unanswered += 1;
        self.open.insert(number, now);
        while self.open.len() > MAX_OPEN_REQUESTS {
            self.open.pop_first();
        }
        Some((number, source))
    }

    /// Handles an answer. Returns the time at which the store is known to have held nothing
    /// newer than the copy of `own_version`, if the answer proves one. It counts from when the
    /// request was sent, so that the delay of the answer does not make the proof younger.
    pub fn handle_answer(
        &mut self,
        number: u64,
        answer: PeerProof,
        own_version: u64,
    ) -> Option<BootInstant> {
        let sent = self.open.get(&number).copied()?;
        self.unanswered = 0;
        let age = answer.age.filter(|_| answer.version <= own_version)?;
        sent.checked_sub(age)
    }
}
