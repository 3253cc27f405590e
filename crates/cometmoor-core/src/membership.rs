//! Which nodes are alive, suspected, leaving or dead.
//!
//! A node probes one peer in each interval and both exchange the newest
//! updates they know (the scheme of SWIM: Das, Gupta, Motivala 2002). Where a
//! peer does not answer, a few others are asked to probe it; only when none of
//! them reaches it is it suspected. The suspicion spreads like any update, and
//! a suspected node that hears of it refutes it with a higher version, so that
//! bad links evict nobody. Probes and updates per node do not depend on the
//! number of nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::RngCore;

use crate::homes::{HomeCandidate, home_nodes};
use crate::time::Timestamp;

/// State of a member. Of two updates with equal incarnation and version, the
/// later one in this order wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// Somebody could not reach it.
    Suspect,
    /// It has announced its stop and takes no new callers.
    Leaving,
    /// It did not refute a suspicion in time.
    Dead,
}

/// One incarnation of a node, as the issuer of idempotency keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Issuer {
    /// Name of the node.
    pub node: String,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// What is known of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name, unique in the system.
    pub name: String,
    /// Higher for each later process of that name.
    pub incarnation: u64,
    /// Raised by the node itself with each statement about itself.
    pub version: u64,
    /// State.
    pub state: MemberState,
    /// Where callers connect.
    pub client_address: String,
    /// Where peers connect.
    pub peer_address: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Stopped nodes whose idempotency tables it holds.
    pub adopted: Vec<Issuer>,
}

impl From<&Member> for HomeCandidate {
    fn from(member: &Member) -> HomeCandidate {
        HomeCandidate { name: member.name.clone(), zone: member.zone.clone() }
    }
}

impl Member {
    fn supersedes(&self, other: &Member) -> bool {
        let rank = |member: &Member| (member.incarnation, member.version, member.state);
        rank(self) > rank(other)
    }
}

/// Periods of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimes {
    /// How long a suspicion waits to be refuted among up to
    /// [`SUSPICION_BASE_MEMBERS`] members. It grows with the logarithm of their number,
    /// as the time does that a refutation takes to spread.
    pub suspicion_timeout: Duration,
    /// How long a dead member is remembered, so that late updates about it
    /// are recognised as old.
    pub dead_retention: Duration,
}

/// Members up to which a suspicion lasts for the time of the settings.
pub const SUSPICION_BASE_MEMBERS: usize = 8;
/// Peers that are asked to probe one that does not answer.
pub const INDIRECT_PROBERS: usize = 3;
/// Updates sent in one exchange, beside the sender's own entry.
pub const UPDATES_PER_EXCHANGE: usize = 16;
/// An update is sent this often, times the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Timestamp,
    last_heard: Option<Timestamp>,
    transmissions_left: u32,
    /// Whether this incarnation has announced its stop.
    announced_stop: bool,
}

/// A change of a member's state, for logs and routes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the member.
    pub name: String,
    /// Its new state.
    pub state: MemberState,
}

/// One node's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    times: MembershipTimes,
    others: BTreeMap<String, Entry>,
    probe_order: Vec<String>,
    revision: u64,
}

impl Membership {
    /// A view that holds only the node itself.
    pub fn new(own: Member, times: MembershipTimes) -> Membership {
        Membership { own, times, others: BTreeMap::new(), probe_order: Vec::new(), revision: 0 }
    }

    /// Changes whenever any member's entry does.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Another node's entry.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if name == self.own.name {
            return Some(&self.own);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// The node itself and all others that are known, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Nodes that callers may be sent to.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Other nodes that are not known to be dead.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        let entries = self.others.values().map(|entry| &entry.member);
        entries.filter(|member| member.state != MemberState::Dead)
    }

    /// Peers that should be there: all that are known but those that have
    /// announced their stop. A node that is cut off takes the others for dead,
    /// so the dead count, for as long as they are remembered.
    pub fn expected_peers(&self) -> usize {
        self.others.values().filter(|entry| !entry.announced_stop).count()
    }

    /// Peers that were heard within a period.
    pub fn contacted_within(&self, period: Duration, now: Timestamp) -> usize {
        let heard = |entry: &&Entry| entry.last_heard.is_some_and(|at| now.since(at) <= period);
        self.others.values().filter(heard).count()
    }

    /// Announces that the node is leaving.
    pub fn announce_leaving(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.version += 1;
        self.revision += 1;
    }

    /// Announces the stopped nodes whose idempotency tables this one holds.
    pub fn announce_adopted(&mut self, adopted: Vec<Issuer>) {
        if self.own.adopted != adopted {
            self.own.adopted = adopted;
            self.own.version += 1;
            self.revision += 1;
        }
    }

    /// The node that answers for the keys of an issuer.
    pub fn key_holder<'a>(members: &'a [Member], issuer: &Issuer) -> Option<&'a Member> {
        let reachable = || members.iter().filter(|member| member.state != MemberState::Dead);
        let adopter = reachable().find(|member| member.adopted.contains(issuer));
        adopter.or_else(|| {
            reachable().find(|member| {
                member.name == issuer.node && member.incarnation == issuer.incarnation
            })
        })
    }

    /// Takes an update in, to be passed on to others.
    pub fn merge(&mut self, update: Member, now: Timestamp) -> Option<MemberChange> {
        let transmissions = self.transmissions();
        self.merge_with(update, transmissions, now)
    }

    /// Takes an update in that others know already, for it came with all that
    /// a peer knows. To pass it on would cost each new node an exchange with
    /// the whole system.
    pub fn merge_without_gossip(&mut self, update: Member, now: Timestamp) -> Option<MemberChange> {
        self.merge_with(update, 0, now)
    }

    fn merge_with(
        &mut self,
        update: Member,
        transmissions_left: u32,
        now: Timestamp,
    ) -> Option<MemberChange> {
        if update.name == self.own.name {
            self.refute(&update);
            return None;
        }
        let known = self.others.get(&update.name);
        if known.is_some_and(|entry| !update.supersedes(&entry.member)) {
            return None;
        }
        let announced_before = known.is_some_and(|entry| {
            entry.announced_stop && entry.member.incarnation == update.incarnation
        });
        let announced_stop = announced_before || update.state == MemberState::Leaving;
        let state_before = known.map(|entry| entry.member.state);
        let last_heard = known.and_then(|entry| entry.last_heard);
        let change = MemberChange { name: update.name.clone(), state: update.state };
        let entry =
            Entry { member: update, since: now, last_heard, transmissions_left, announced_stop };
        self.others.insert(change.name.clone(), entry);
        self.revision += 1;
        (state_before != Some(change.state)).then_some(change)
    }

    /// Contradicts a wrong statement about this process.
    fn refute(&mut self, update: &Member) {
        let about_this_process = update.incarnation == self.own.incarnation;
        if about_this_process && update.supersedes(&self.own) {
            self.own.version = update.version + 1;
            self.revision += 1;
        }
    }

    /// Notes that a peer has answered or asked.
    pub fn record_contact(&mut self, name: &str, now: Timestamp) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.last_heard = Some(now);
        }
    }

    /// Some peers, to be asked to probe one that did not answer.
    pub fn indirect_probers(&self, target: &str, random: &mut dyn RngCore) -> Vec<Member> {
        let mut helpers = self.random_peers(INDIRECT_PROBERS + 1, random);
        helpers.retain(|member| member.name != target);
        helpers.truncate(INDIRECT_PROBERS);
        helpers
    }

    /// The peers that this node tells of news: always the same few while the
    /// members do not change, so that connections to them can be kept.
    pub fn gossip_targets(&self, count: usize) -> Vec<&Member> {
        let alive = self.peers().filter(|member| member.state == MemberState::Alive);
        let candidates: Vec<HomeCandidate> = alive.map(HomeCandidate::from).collect();
        let chosen = home_nodes(&self.own.name, &candidates, count);
        chosen.iter().filter_map(|neighbour| self.member(&neighbour.name)).collect()
    }

    /// Some peers that are alive, in random order.
    pub fn random_peers(&self, count: usize, random: &mut dyn RngCore) -> Vec<Member> {
        let alive = |member: &&Member| member.state == MemberState::Alive;
        let mut peers: Vec<&Member> = self.peers().filter(alive).collect();
        shuffle(&mut peers, random);
        peers.into_iter().take(count).cloned().collect()
    }

    /// Notes that a peer answered neither this node nor its helpers.
    pub fn probe_failed(&mut self, name: &str, now: Timestamp) -> Option<MemberChange> {
        let member = self.others.get(name)?.member.clone();
        match member.state {
            MemberState::Alive => self.merge(Member { state: MemberState::Suspect, ..member }, now),
            // A leaving node that no longer answers has stopped.
            MemberState::Leaving => self.merge(Member { state: MemberState::Dead, ..member }, now),
            MemberState::Suspect | MemberState::Dead => None,
        }
    }

    /// Lets time pass: suspicions become deaths, old deaths are forgotten.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let suspicion = self.suspicion();
        let overdue: Vec<Member> = self
            .others
            .values()
            .filter(|entry| entry.member.state == MemberState::Suspect)
            .filter(|entry| now.since(entry.since) >= suspicion)
            .map(|entry| Member { state: MemberState::Dead, ..entry.member.clone() })
            .collect();
        let remember = self.times.dead_retention;
        let known = self.others.len();
        self.others.retain(|_, entry| {
            entry.member.state != MemberState::Dead || now.since(entry.since) < remember
        });
        self.revision += u64::from(self.others.len() < known);
        overdue.into_iter().filter_map(|member| self.merge(member, now)).collect()
    }

    /// The next peer to probe: every peer once in random order, then again.
    pub fn next_probe(&mut self, random: &mut dyn RngCore) -> Option<Member> {
        for _ in 0..2 {
            while let Some(name) = self.probe_order.pop() {
                let member = self.others.get(&name).map(|entry| &entry.member);
                if let Some(member) = member.filter(|m| m.state != MemberState::Dead) {
                    return Some(member.clone());
                }
            }
            self.probe_order = self.peers().map(|member| member.name.clone()).collect();
            shuffle(&mut self.probe_order, random);
        }
        None
    }

    fn suspicion(&self) -> Duration {
        let members = (self.others.len() + 1).max(SUSPICION_BASE_MEMBERS);
        self.times.suspicion_timeout * members.ilog2() / SUSPICION_BASE_MEMBERS.ilog2()
    }

    /// The updates for one exchange with a peer, those sent least often first.
    /// What is held against the peer itself is always among them, so that it
    /// can refute it. With `whole`, everything that is known, for a peer that
    /// has just started.
    pub fn updates(&mut self, peer: Option<&str>, whole: bool) -> Vec<Member> {
        if whole {
            return self.others.values().map(|entry| entry.member.clone()).collect();
        }
        let mut updates = Vec::new();
        updates.extend(peer.and_then(|name| self.accusation(name)).cloned());
        let room = UPDATES_PER_EXCHANGE - updates.len();
        let mut fresh: Vec<&mut Entry> =
            self.others.values_mut().filter(|entry| entry.transmissions_left > 0).collect();
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.transmissions_left));
        for entry in fresh.into_iter().take(room) {
            entry.transmissions_left -= 1;
            updates.push(entry.member.clone());
        }
        updates
    }

    /// The entry of a member that is suspected or taken for dead.
    fn accusation(&self, name: &str) -> Option<&Member> {
        let member = self.others.get(name).map(|entry| &entry.member);
        member.filter(|member| matches!(member.state, MemberState::Suspect | MemberState::Dead))
    }

    fn transmissions(&self) -> u32 {
        let members = u32::try_from(self.others.len() + 2).unwrap_or(u32::MAX);
        RETRANSMIT_FACTOR * (members.ilog2() + 1)
    }
}

fn shuffle<Item>(items: &mut [Item], random: &mut dyn RngCore) {
    for last in (1..items.len()).rev() {
        let range = u64::try_from(last + 1).unwrap_or(u64::MAX);
        let other = usize::try_from(random.next_u64() % range).unwrap_or(0);
        items.swap(last, other);
    }
}
