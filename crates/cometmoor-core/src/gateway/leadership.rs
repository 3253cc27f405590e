//! Who may order the servers: one node, under a lease of the store.
//!
//! Servers need not check fencing tokens, so the node itself must stop in
//! time. A lease runs at the store from the arrival of the call that granted or
//! renewed it, which is after the call was sent; counted from the sending, it
//! is over on the node's clock before it can be over at the store. A
//! successor waits for a whole quiet time after it has got the lease, so that
//! orders of two nodes never take turns.

use std::time::Duration;

use crate::time::Timestamp;

/// Times that leadership is reckoned with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTimes {
    /// Life of the lease.
    pub lease: Duration,
    /// Time that must lie between the orders of two nodes.
    pub quiet: Duration,
    /// Time that an order may be on its way before it is given up.
    pub order: Duration,
}

/// Part of the lease that is never used, for clocks that drift.
const UNUSED_PART: u32 = 10;

/// Which node ordered the servers before this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// No node ever did.
    Nobody,
    /// This node, in an earlier term or as an earlier process: what it sent and
    /// what it will send come from one sender.
    SameNode,
    /// Another node.
    OtherNode,
}

/// What the store tells of leadership: who holds the key that lives as long as
/// its lease, and who held it last, which is kept for ever. Both are written in
/// one commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing<'a> {
    /// Node whose lease has not run out.
    pub holder: Option<&'a str>,
    /// Node that led last.
    pub last: Option<&'a str>,
}

/// Whether a node may write the leader's key now, and whom it would follow. A
/// node may follow itself before its own lease has run out: the process that
/// held it has lost it or has ended.
pub fn candidacy(own: &str, standing: &Standing<'_>) -> Option<Predecessor> {
    match (standing.holder, standing.last) {
        (Some(holder), Some(last)) if holder == own && last == own => Some(Predecessor::SameNode),
        (Some(_), _) => None,
        (None, Some(last)) if last == own => Some(Predecessor::SameNode),
        (None, Some(_)) => Some(Predecessor::OtherNode),
        (None, None) => Some(Predecessor::Nobody),
    }
}

/// A term of leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    token: u64,
    first_order: Timestamp,
    valid_until: Timestamp,
}

/// Whether this node may order servers.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    times: LeadershipTimes,
    term: Option<Term>,
}

impl Leadership {
    /// A node that does not lead.
    pub fn new(times: LeadershipTimes) -> Leadership {
        Leadership { times, term: None }
    }

    fn valid_until(&self, sent: Timestamp) -> Timestamp {
        sent + (self.times.lease - self.times.lease / UNUSED_PART)
    }

    /// Notes that the key was written under a lease whose grant was sent at
    /// `lease_sent`. `acquired` is when the store's answer came; `token` is the
    /// revision of the write. Only after another node's orders does the first
    /// order have to wait.
    pub fn acquire(
        &mut self,
        token: u64,
        lease_sent: Timestamp,
        acquired: Timestamp,
        predecessor: Predecessor,
    ) {
        let wait = match predecessor {
            Predecessor::Nobody | Predecessor::SameNode => Duration::ZERO,
            Predecessor::OtherNode => self.times.quiet,
        };
        self.term = Some(Term {
            token,
            first_order: acquired + wait,
            valid_until: self.valid_until(lease_sent),
        });
    }

    /// Notes that a renewal that was sent at `sent` was granted. A term that is
    /// over by the node's own clock stays over.
    pub fn renew(&mut self, sent: Timestamp, now: Timestamp) {
        let valid_until = self.valid_until(sent);
        match &mut self.term {
            Some(term) if now < term.valid_until => {
                term.valid_until = term.valid_until.max(valid_until);
            }
            _ => self.term = None,
        }
    }

    /// Gives the term up.
    pub fn resign(&mut self) {
        self.term = None;
    }

    /// Whether the node holds the lease, as far as it can know.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.term.is_some_and(|term| now < term.valid_until)
    }

    /// The fencing token for an order that is sent now, if one may be sent: it
    /// will have arrived or been given up while the lease still runs.
    pub fn token(&self, now: Timestamp) -> Option<u64> {
        let term = self.term?;
        let arrives = now + self.times.order;
        (now >= term.first_order && arrives < term.valid_until).then_some(term.token)
    }
}
