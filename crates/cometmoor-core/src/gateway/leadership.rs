//! Who may order the servers: one node, under a lease of the store.
//!
//! Servers need not check fencing tokens, so the node itself must stop in
//! time. A lease runs at the store from the arrival of the call that granted or
//! renewed it, which is after the call was sent; counted from the sending, it
//! is over on the node's clock before it can be over at the store. A
//! successor waits for a whole quiet time after it has got the lease, so that
//! orders of two nodes never take turns.
//!
//! A store that comes back from an older copy has lost who led, and leases that still run
//! by their holders' clocks. The keys of leadership are those of one era: what is written
//! for an era that is over changes nothing in the next one, and in a new era nobody is
//! known to have led. Whoever leads first then waits as after another node, unless its own
//! term still runs: then no other node can have led in between.

use std::time::Duration;

use super::store_position::StoreEra;
use crate::time::Timestamp;

/// Times that leadership is reckoned with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTiming {
    /// Life of the lease.
    pub lease: Duration,
    /// Time that must lie between the orders of two nodes.
    pub handover_delay: Duration,
    /// Time that an order may be on its way before it is given up.
    pub order_timeout: Duration,
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
    /// This process, whose term still runs by its clock though the store has lost it: it has
    /// never stopped to be the only one.
    OwnTerm,
    /// Another node.
    OtherNode,
    /// Nobody knows: the store has lost it.
    Unknown,
}

impl Predecessor {
    /// Whether its orders may still arrive when this node's term begins.
    pub fn may_still_order(self) -> bool {
        matches!(self, Predecessor::OtherNode | Predecessor::Unknown)
    }
}

/// What a node that campaigns knows beside what the store tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidateContext {
    /// Whether no node can have led before the store's era: the fleet started in it.
    pub fleet_began_in_era: bool,
    /// Whether the node's own term still runs by its clock, though the store has lost it.
    pub own_term_runs: bool,
}

/// What the store tells of leadership in its era: who holds the key that lives as long as
/// its lease, and who held it last, which is kept. Both are written in one commit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeadershipState<'a> {
    /// Node whose lease has not run out.
    pub holder: Option<&'a str>,
    /// Node that led last.
    pub last: Option<&'a str>,
    /// Whether that node has waited for the orders of the node before it to end.
    pub last_has_waited: bool,
}

/// Whether a node may write the leader's key now, and whom it would follow. A
/// node may follow itself before its own lease has run out: the process that
/// held it has lost it or has ended.
pub fn candidacy(
    own: &str,
    standing: &LeadershipState<'_>,
    knowledge: CandidateContext,
) -> Option<Predecessor> {
    let follows_itself = match standing.last_has_waited {
        true => Predecessor::SameNode,
        false => Predecessor::OtherNode,
    };
    match (standing.holder, standing.last) {
        (Some(holder), Some(last)) if holder == own && last == own => Some(follows_itself),
        (Some(_), _) => None,
        (None, Some(last)) if last == own => Some(follows_itself),
        (None, Some(_)) => Some(Predecessor::OtherNode),
        (None, None) if knowledge.fleet_began_in_era => Some(Predecessor::Nobody),
        (None, None) if knowledge.own_term_runs => Some(Predecessor::OwnTerm),
        (None, None) => Some(Predecessor::Unknown),
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
    times: LeadershipTiming,
    term: Option<Term>,
    lost: Option<LostTerm>,
}

/// A term whose lease the store has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LostTerm {
    era: StoreEra,
    valid_until: Timestamp,
}

impl Leadership {
    /// A node that does not lead.
    pub fn new(times: LeadershipTiming) -> Leadership {
        Leadership { times, term: None, lost: None }
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
        let wait =
            if predecessor.may_still_order() { self.times.handover_delay } else { Duration::ZERO };
        self.lost = None;
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
        self.lost = None;
    }

    /// Notes that the store has lost the lease, which it granted in an era that is over.
    /// Orders end; until the term would have been over, no other node led in that era.
    pub fn note_store_loss(&mut self, era: StoreEra) {
        let term = self.term.take();
        self.lost = term.map(|term| LostTerm { era, valid_until: term.valid_until });
    }

    /// Whether the term that the store has lost still runs by the node's own clock, and this
    /// is the next era: in one between them another node may have led.
    pub fn lost_term_runs(&self, era: StoreEra, now: Timestamp) -> bool {
        self.lost.is_some_and(|lost| era.follows(lost.era) && now < lost.valid_until)
    }

    /// Whether the node holds the lease, as far as it can know.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.term.is_some_and(|term| now < term.valid_until)
    }

    /// The fencing token for an order that is sent now, if one may be sent: it
    /// will have arrived or been given up while the lease still runs.
    pub fn fencing_token(&self, now: Timestamp) -> Option<u64> {
        let term = self.term?;
        let arrives = now + self.times.order_timeout;
        (now >= term.first_order && arrives < term.valid_until).then_some(term.token)
    }
}
