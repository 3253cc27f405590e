//! For how long a copy of the store counts after it was shown to be the newest.
//!
//! A proof is the point at which the store is known to have held nothing newer than the
//! copy. It is taken from answers only, and counts from the moment at which the question
//! was sent, so that whatever was slow, frozen or suspended in between makes it older than
//! the truth and never younger. What is strict hangs on proofs; ages that come on
//! heartbeats do not bound the time for which a message waited in a socket.
//!
//! A store that has come back from an older copy may have lost the newest configuration,
//! and proves nothing until it has been written again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::restored_registry::REWRITE_WINDOW;
use super::store_position::StoreEra;
use crate::keys::KeyFreshness;
use crate::time::BootInstant;

/// Part of the bound on revocation for which a proof admits keys. The rest covers a store
/// that does not tell its watches of a change for a second, and the way to a server.
const ADMITS_FOR: f64 = 0.75;
/// Part of it from which on a node asks the store itself, before it has to turn callers
/// away.
const URGENT_FROM: f64 = 0.5;
/// Part of it after which a node asks another one for a proof.
const ASK_FROM: f64 = 0.12;
/// Time after which it is asked for where no key depends on it: what does not exist is
/// told so by a proof, too.
const ASK_WITHOUT_KEYS_FROM: f64 = 0.25;

/// Shortest time between two requests for a proof.
const ASK_EACH: Duration = Duration::from_millis(600);
/// Requests whose answers are still taken.
const OPEN_REQUESTS: usize = 8;

/// The limits that follow from what operators promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProofLimits {
    /// Time from the store's answer until a configuration is in force.
    apply: Duration,
    /// Time from the store's answer until a key that was taken away runs nothing on any
    /// node; none where that is not promised for nodes that are cut off.
    revoke: Option<Duration>,
}

impl Default for ProofLimits {
    /// Limits by which nothing is proven.
    fn default() -> ProofLimits {
        ProofLimits { apply: Duration::ZERO, revoke: Some(Duration::ZERO) }
    }
}

impl ProofLimits {
    /// The limits for a bound on configurations and one on revocation.
    pub fn new(apply: Duration, revoke: Option<Duration>) -> ProofLimits {
        ProofLimits { apply, revoke }
    }

    /// Whether what a copy lacks is known not to exist.
    pub fn proves_absence(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age < self.apply)
    }

    /// What a copy of this age is good for where keys are concerned.
    pub fn key_freshness(&self, age: Option<Duration>) -> KeyFreshness {
        let admits = match self.revoke {
            Some(bound) => age.is_some_and(|age| age < bound.mul_f64(ADMITS_FOR)),
            None => true,
        };
        KeyFreshness { admits, denies: self.proves_absence(age) }
    }

    /// Time left until the store is to be asked, whatever others tell; none where no key
    /// depends on it.
    pub fn time_until_refresh(&self, age: Option<Duration>) -> Option<Duration> {
        let patience = self.revoke?.mul_f64(URGENT_FROM);
        Some(patience.saturating_sub(age.unwrap_or(patience)))
    }

    /// Whether another node is to be asked for a proof.
    pub fn needs_peer_proof(&self, age: Option<Duration>) -> bool {
        let from = match self.revoke {
            Some(bound) => bound.mul_f64(ASK_FROM),
            None => self.apply.mul_f64(ASK_WITHOUT_KEYS_FROM),
        };
        age.is_none_or(|age| age >= from)
    }
}

/// The last restore of the store that a node has heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownRestore {
    /// The era that it began.
    pub era: StoreEra,
    /// When this node heard of it.
    pub heard_at: BootInstant,
}

impl KnownRestore {
    /// Whether the store proves by an answer in an era that it held nothing newer than the
    /// configuration at a point. What it told in earlier eras was true then. In this one it
    /// may have lost the newest configuration, until that is known to have been written again
    /// or must have been.
    pub fn allows_proof(&self, era: StoreEra, at: BootInstant, is_rewritten: bool) -> bool {
        era < self.era || is_rewritten || at >= self.heard_at + REWRITE_WINDOW
    }
}

/// What a node answers that is asked for a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProof {
    /// Version of the configuration in force there.
    pub version: u64,
    /// Time since the store is known to have held nothing newer; none where that is not
    /// known.
    pub age: Option<Duration>,
}

/// A node's requests for proofs, by number.
#[derive(Clone, Debug)]
pub struct ProofRequests {
    next: u64,
    /// When each of the last ones was sent.
    open: BTreeMap<u64, BootInstant>,
    /// Requests since the last answer.
    unanswered: usize,
}

impl ProofRequests {
    /// Requests with numbers from this one on. It is drawn for each process, so that an
    /// answer to an earlier one is not taken.
    pub fn new(first: u64) -> ProofRequests {
        ProofRequests { next: first, open: BTreeMap::new(), unanswered: 0 }
    }

    /// Number of the next request and which of so many nodes gets it, if one is due: one
    /// that does not answer is passed over. Notes that it is sent now.
    pub fn next_request(&mut self, sources: usize, now: BootInstant) -> Option<(u64, usize)> {
        let last = self.open.values().next_back();
        if sources == 0 || last.is_some_and(|sent| now.since(*sent) < ASK_EACH) {
            return None;
        }
        let source = self.unanswered % sources;
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.unanswered += 1;
        self.open.insert(number, now);
        while self.open.len() > OPEN_REQUESTS {
            self.open.pop_first();
        }
        Some((number, source))
    }

    /// Takes an answer; tells the point at which the store is known to have held nothing
    /// newer than a copy of this version, if the answer shows one. It counts from the
    /// request, however long the answer has been on its way.
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
