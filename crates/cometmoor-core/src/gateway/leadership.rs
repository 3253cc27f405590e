//! Leader election: one node may send orders to servers, under a lease of the store.
//!
//! Servers are not required to check fencing tokens, so a node has to stop by itself in time. A
//! lease runs in the store from the arrival of the call that granted or renewed it. The node
//! counts it from the sending of that call, which is earlier, so that the lease ends by the
//! node's clock before it can end in the store. A successor waits for the whole handover delay
//! after it has acquired the lease, so that orders of two nodes never interleave.
//!
//! A store that is restored from an older backup has lost who the leader was, and leases that
//! still run by the clocks of their holders. The leadership keys belong to one era: a write for
//! a past era has no effect in the next one, and in a new era no previous leader is known. The
//! first leader of an era then waits as it does after another node, unless its own term still
//! runs, because then no other node can have been leader in between.

use std::time::Duration;

use super::store_position::StoreEra;
use crate::time::Timestamp;

/// Durations that leadership is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipTiming {
    /// Time to live of the lease.
    pub lease: Duration,
    /// Minimum time between the orders of two nodes.
    pub handover_delay: Duration,
    /// Time after which an order that has not arrived is given up.
    pub order_timeout: Duration,
}

/// The lease divided by this is its unused safety margin against clock drift.
const LEASE_MARGIN_DIVISOR: u32 = 10;

/// Which node was leader before this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// No node ever was.
    Nobody,
    /// This node, in an earlier term or as an earlier process, so that earlier and later orders
    /// come from the same sender.
    SameNode,
    /// This process, whose term still runs by its clock although the store has lost it. It has
    /// been the only leader all the time.
    OwnTerm,
    /// Another node.
    OtherNode,
    /// Unknown, because the store has lost the record.
    Unknown,
}

impl Predecessor {
    /// Whether orders of another node may still arrive when this node's term starts.
    pub fn may_still_order(self) -> bool {
        matches!(self, Predecessor::OtherNode | Predecessor::Unknown)
    }
}

/// What a candidate knows in addition to the state in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CandidateContext {
    /// Whether the fleet started in the store's era, so that no node can have been leader before
    /// it.
    pub fleet_began_in_era: bool,
    /// Whether the node's own term still runs by its clock, although the store has lost it.
    pub own_term_runs: bool,
}

/// The leadership keys in the store's era: the holder, whose key expires with its lease, and
/// the last leader, whose key is kept. Both are written in one transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeadershipState<'a> {
    /// Node whose lease has not expired; `None` if there is none.
    pub holder: Option<&'a str>,
    /// Node that was leader last; `None` if none is recorded.
    pub last: Option<&'a str>,
    /// Whether that node no longer has to wait for the orders of its predecessor to end.
    pub last_has_waited: bool,
}

/// Returns the predecessor of node `own` if it may write the leader key now, and `None` if it
/// may not. A node may follow itself before its own lease has expired, because the process that
/// held the lease has lost it or has terminated.
pub fn candidacy(
    own: &str,
    state: &LeadershipState<'_>,
    knowledge: CandidateContext,
) -> Option<Predecessor> {
    let follows_itself = match state.last_has_waited {
        true => Predecessor::SameNode,
        false => Predecessor::OtherNode,
    };
    match (state.holder, state.last) {
        (Some(holder), Some(last)) if holder == own && last == own => Some(follows_itself),
        (Some(_), _) => None,
        (None, Some(last)) if last == own => Some(follows_itself),
        (None, Some(_)) => Some(Predecessor::OtherNode),
        (None, None) if knowledge.fleet_began_in_era => Some(Predecessor::Nobody),
        (None, None) if knowledge.own_term_runs => Some(Predecessor::OwnTerm),
        (None, None) => Some(Predecessor::Unknown),
    }
}

/// A term as leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Term {
    token: u64,
    first_order: Timestamp,
    valid_until: Timestamp,
}

/// Whether this node is leader and may send orders to servers.
#[derive(Clone, Copy, Debug)]
pub struct Leadership {
    times: LeadershipTiming,
    term: Option<Term>,
    lost_term: Option<LostTerm>,
}

/// A term whose lease the store has lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LostTerm {
    era: StoreEra,
    valid_until: Timestamp,
}

impl Leadership {
    /// Creates the state of a node that is not leader.
    pub fn new(times: LeadershipTiming) -> Leadership {
        Leadership { times, term: None, lost_term: None }
    }

    fn valid_until(&self, sent: Timestamp) -> Timestamp {
        sent + (self.times.lease - self.times.lease / LEASE_MARGIN_DIVISOR)
    }

    /// Starts a term after the leader key was written under a lease whose grant was requested at
    /// `lease_sent`. `acquired` is when the store's answer arrived, and `token` is the fencing
    /// token of the term. The first order is delayed only if orders of another node may still
    /// arrive.
    pub fn acquire(
        &mut self,
        token: u64,
        lease_sent: Timestamp,
        acquired: Timestamp,
        predecessor: Predecessor,
    ) {
        let wait =
            if predecessor.may_still_order() { self.times.handover_delay } else { Duration::ZERO };
        self.lost_term = None;
        self.term = Some(Term {
            token,
            first_order: acquired + wait,
            valid_until: self.valid_until(lease_sent),
        });
    }

    /// Extends the term after a renewal that was sent at `sent` was granted. A term that has
    /// ended by the node's own clock is not resumed.
    pub fn renew(&mut self, sent: Timestamp, now: Timestamp) {
        let valid_until = self.valid_until(sent);
        match &mut self.term {
            Some(term) if now < term.valid_until => {
                term.valid_until = term.valid_until.max(valid_until);
            }
            _ => self.term = None,
        }
    }

    /// Ends the term, also one that the store has lost.
    pub fn resign(&mut self) {
        self.term = None;
        self.lost_term = None;
    }

    /// Ends the term because the store has lost the lease, which it granted in the past era
    /// `era`. Until the term would have ended, no other node was leader in that era.
    pub fn note_store_loss(&mut self, era: StoreEra) {
        let term = self.term.take();
        self.lost_term = term.map(|term| LostTerm { era, valid_until: term.valid_until });
    }

    /// Whether the term that the store has lost still runs by the node's own clock and `era` is
    /// the next era. In an era in between, another node may have been leader.
    pub fn lost_term_runs(&self, era: StoreEra, now: Timestamp) -> bool {
        self.lost_term
            .is_some_and(|lost_term| era.follows(lost_term.era) && now < lost_term.valid_until)
    }

    /// Whether the node holds the lease by its own clock.
    pub fn leads(&self, now: Timestamp) -> bool {
        self.term.is_some_and(|term| now < term.valid_until)
    }

    /// Returns the fencing token for an order sent at `now`, or `None` if none may be sent. An
    /// order may be sent if it arrives or is given up before the lease ends.
    pub fn fencing_token(&self, now: Timestamp) -> Option<u64> {
        let term = self.term?;
        let arrives = now + self.times.order_timeout;
        (now >= term.first_order && arrives < term.valid_until).then_some(term.token)
    }
}
