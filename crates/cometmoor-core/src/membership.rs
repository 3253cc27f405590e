//! Membership: which nodes are alive, suspected, leaving or dead.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002). In each interval a node
//! probes one peer, and both exchange the newest updates they know. If a peer
//! does not answer, a few others are asked to probe it; it is suspected only if
//! none of them reaches it. The suspicion spreads like any update, and a
//! suspected node that learns of it refutes it with a higher version, so that a
//! bad link does not evict a healthy node. The number of probes and updates per
//! node does not depend on the number of nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_core::RngCore;

use crate::homes::{HomeCandidate, home_nodes};
use crate::time::Timestamp;

/// State of a member. Of two updates with equal incarnation and version, the
/// one with the greater state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// Some node could not reach it, directly or indirectly.
    Suspect,
    /// It has announced its shutdown and accepts no new callers.
    Leaving,
    /// It did not refute a suspicion in time, or stopped answering while it was
    /// leaving.
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

/// A node as known from updates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the node, unique in the system.
    pub name: String,
    /// Incarnation of its process; higher for each later process of that name.
    pub incarnation: u64,
    /// Version of this update within the incarnation; only the node itself raises
    /// it.
    pub version: u64,
    /// State of the node.
    pub state: MemberState,
    /// Address for callers.
    pub client_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of the node.
    pub region: String,
    /// Stopped issuers whose idempotency tables the node holds.
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

/// Timing of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Time to refute a suspicion among up to [`SUSPICION_BASE_MEMBERS`] members.
    /// It grows with the logarithm of their number, as does the time that a
    /// refutation takes to spread.
    pub suspicion_timeout: Duration,
    /// How long a dead member is kept, so that late updates about it are
    /// recognized as outdated.
    pub dead_retention: Duration,
}

/// Number of members up to which the suspicion timeout is not scaled.
pub const SUSPICION_BASE_MEMBERS: usize = 8;
/// Number of peers that are asked to probe a peer that does not answer.
pub const INDIRECT_PROBERS: usize = 3;
/// Maximum number of updates sent in one exchange, besides the sender's own entry.
pub const UPDATES_PER_EXCHANGE: usize = 16;
/// Each update is sent this many times the logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 3;

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    since: Timestamp,
    last_contact: Option<Timestamp>,
    transmissions_left: u32,
    /// Whether this incarnation has announced its shutdown.
    announced_shutdown: bool,
}

/// A change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the member.
    pub name: String,
    /// New state of the member.
    pub state: MemberState,
}

/// A node's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Member,
    times: MembershipTimes,
    others: BTreeMap<String, Entry>,
    probe_order: Vec<String>,
    revision: u64,
}

impl Membership {
    /// Creates a view that contains only the node itself.
    pub fn new(own: Member, times: MembershipTimes) -> Membership {
        Membership { own, times, others: BTreeMap::new(), probe_order: Vec::new(), revision: 0 }
    }

    /// Counter that rises whenever an entry is added, changed or removed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The node's own entry.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The entry of a node, which may be this one; none if it is unknown.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if name == self.own.name {
            return Some(&self.own);
        }
        self.others.get(name).map(|entry| &entry.member)
    }

    /// This node and all others that are known, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own).chain(self.others.values().map(|entry| &entry.member))
    }

    /// Nodes to which callers may be directed: those alive or suspected.
    pub fn serving(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Other nodes that are not known to be dead.
    pub fn peers(&self) -> impl Iterator<Item = &Member> {
        let entries = self.others.values().map(|entry| &entry.member);
        entries.filter(|member| member.state != MemberState::Dead)
    }

    /// Number of peers that should be reachable: all known ones except those that
    /// announced their shutdown. A node that is cut off considers the others
    /// dead, so dead peers count for as long as they are kept.
    pub fn expected_peers(&self) -> usize {
        self.others.values().filter(|entry| !entry.announced_shutdown).count()
    }

    /// Number of peers in contact within the last `period`.
    pub fn contacted_within(&self, period: Duration, now: Timestamp) -> usize {
        let in_contact =
            |entry: &&Entry| entry.last_contact.is_some_and(|at| now.since(at) <= period);
        self.others.values().filter(in_contact).count()
    }

    /// Announces that this node is leaving.
    pub fn announce_leaving(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.version += 1;
        self.revision += 1;
    }

    /// Announces the stopped issuers whose idempotency tables this node holds.
    pub fn announce_adopted(&mut self, adopted: Vec<Issuer>) {
        if self.own.adopted != adopted {
            self.own.adopted = adopted;
            self.own.version += 1;
            self.revision += 1;
        }
    }

    /// The node that holds the keys of an issuer: the one that adopted its table,
    /// or else the issuer itself. None if neither is reachable.
    pub fn key_holder<'a>(members: &'a [Member], issuer: &Issuer) -> Option<&'a Member> {
        let reachable = || members.iter().filter(|member| member.state != MemberState::Dead);
        let adopter = reachable().find(|member| member.adopted.contains(issuer));
        adopter.or_else(|| {
            reachable().find(|member| {
                member.name == issuer.node && member.incarnation == issuer.incarnation
            })
        })
    }

    /// Merges an update and schedules it for gossip. Returns the change if the
    /// member's state changed.
    pub fn merge(&mut self, update: Member, now: Timestamp) -> Option<MemberChange> {
        let transmissions = self.transmissions();
        self.merge_with(update, transmissions, now)
    }

    /// Merges an update without scheduling it for gossip. It is for a peer's full
    /// state, which others know already; passing it on would cost every new node
    /// an exchange with the whole system.
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
            entry.announced_shutdown && entry.member.incarnation == update.incarnation
        });
        let announced_shutdown = announced_before || update.state == MemberState::Leaving;
        let state_before = known.map(|entry| entry.member.state);
        let last_contact = known.and_then(|entry| entry.last_contact);
        let change = MemberChange { name: update.name.clone(), state: update.state };
        let entry = Entry {
            member: update,
            since: now,
            last_contact,
            transmissions_left,
            announced_shutdown,
        };
        self.others.insert(change.name.clone(), entry);
        self.revision += 1;
        (state_before != Some(change.state)).then_some(change)
    }

    /// Refutes a wrong update about this process with a higher version.
    fn refute(&mut self, update: &Member) {
        let about_this_process = update.incarnation == self.own.incarnation;
        if about_this_process && update.supersedes(&self.own) {
            self.own.version = update.version + 1;
            self.revision += 1;
        }
    }

    /// Records that a peer sent a probe or an answer.
    pub fn record_contact(&mut self, name: &str, now: Timestamp) {
        if let Some(entry) = self.others.get_mut(name) {
            entry.last_contact = Some(now);
        }
    }

    /// Random peers to be asked to probe `target`, which did not answer.
    pub fn indirect_probers(&self, target: &str, random: &mut dyn RngCore) -> Vec<Member> {
        let mut probers = self.random_peers(INDIRECT_PROBERS + 1, random);
        probers.retain(|member| member.name != target);
        probers.truncate(INDIRECT_PROBERS);
        probers
    }

    /// The peers to which this node pushes urgent updates. They stay the same
    /// while the members do not change, so that connections to them can be kept
    /// open.
    pub fn gossip_targets(&self, count: usize) -> Vec<&Member> {
        let alive = self.peers().filter(|member| member.state == MemberState::Alive);
        let candidates: Vec<HomeCandidate> = alive.map(HomeCandidate::from).collect();
        let chosen = home_nodes(&self.own.name, &candidates, count);
        chosen.iter().filter_map(|target| self.member(&target.name)).collect()
    }

    /// Up to `count` peers that are alive, in random order.
    pub fn random_peers(&self, count: usize, random: &mut dyn RngCore) -> Vec<Member> {
        let alive = |member: &&Member| member.state == MemberState::Alive;
        let mut peers: Vec<&Member> = self.peers().filter(alive).collect();
        shuffle(&mut peers, random);
        peers.into_iter().take(count).cloned().collect()
    }

    /// Records that a peer answered neither a direct nor an indirect probe.
    pub fn probe_failed(&mut self, name: &str, now: Timestamp) -> Option<MemberChange> {
        let member = self.others.get(name)?.member.clone();
        match member.state {
            MemberState::Alive => self.merge(Member { state: MemberState::Suspect, ..member }, now),
            // A leaving node that no longer answers has stopped.
            MemberState::Leaving => self.merge(Member { state: MemberState::Dead, ..member }, now),
            MemberState::Suspect | MemberState::Dead => None,
        }
    }

    /// Declares members dead whose suspicion timed out, and removes those that have
    /// been dead for the retention time.
    pub fn tick(&mut self, now: Timestamp) -> Vec<MemberChange> {
        let timeout = self.suspicion_timeout();
        let overdue: Vec<Member> = self
            .others
            .values()
            .filter(|entry| entry.member.state == MemberState::Suspect)
            .filter(|entry| now.since(entry.since) >= timeout)
            .map(|entry| Member { state: MemberState::Dead, ..entry.member.clone() })
            .collect();
        let retention = self.times.dead_retention;
        let known = self.others.len();
        self.others.retain(|_, entry| {
            entry.member.state != MemberState::Dead || now.since(entry.since) < retention
        });
        self.revision += u64::from(self.others.len() < known);
        overdue.into_iter().filter_map(|member| self.merge(member, now)).collect()
    }

    /// The next peer to probe. Every peer is probed once, in random order, before
    /// the next round begins.
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

    fn suspicion_timeout(&self) -> Duration {
        let members = (self.others.len() + 1).max(SUSPICION_BASE_MEMBERS);
        self.times.suspicion_timeout * members.ilog2() / SUSPICION_BASE_MEMBERS.ilog2()
    }

    /// The updates for one exchange with a peer; those sent least often come
    /// first. A suspicion or death of the peer itself is always included, so that
    /// it can refute it. With `full`, the whole state, for a peer that has just
    /// started.
    pub fn updates(&mut self, peer: Option<&str>, full: bool) -> Vec<Member> {
        if full {
            return self.others.values().map(|entry| entry.member.clone()).collect();
        }
        let mut updates = Vec::new();
        updates.extend(peer.and_then(|name| self.suspect_or_dead(name)).cloned());
        let room = UPDATES_PER_EXCHANGE - updates.len();
        let mut pending: Vec<&mut Entry> =
            self.others.values_mut().filter(|entry| entry.transmissions_left > 0).collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.transmissions_left));
        for entry in pending.into_iter().take(room) {
            entry.transmissions_left -= 1;
            updates.push(entry.member.clone());
        }
        updates
    }

    /// The entry of a member, if it is suspected or considered dead.
    fn suspect_or_dead(&self, name: &str) -> Option<&Member> {
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
