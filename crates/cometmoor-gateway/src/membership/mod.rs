//! Which nodes there are, and what they tell one another.
//!
//! In a small fleet every node sends its heartbeat to every other one. In a
//! larger one a node sends it to the hubs of its zone, the first nodes of the
//! zone in an order that all agree on, and to the node that orders the servers.
//! Hubs tell one another of their zones, and tell the nodes of their own zone of
//! the fleet. Whoever is asked for digests gives them, so that nodes need not
//! agree on who is a hub. Nothing here does input or output.

mod asked;
mod digests;
mod duty;
mod hubs;
mod leader_word;
mod message;
mod packed;
mod peers;
mod roster;
mod told;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

pub use self::hubs::OutgoingMessage;
use self::leader_word::LeaderWord;
pub use self::message::{
    CopyAge, CopyVersions, Digest, DigestRequest, Heartbeat, MemberEntry, Message, PeerPhase,
    Placement, ProofAnswer, ProofRequest, RosterUpdate, RosterVersion, ZoneMembers,
};
use self::peers::{DirectPeers, SUSPECT_AFTER};
pub use self::peers::{Member, PeerChange, Rank};
use self::told::{Told, ToldByHubs};
use crate::load::{ModelKey, ServerKey, ServerLoad};

/// Other nodes from which on a fleet is large: a node tells its hubs only.
const LARGE_FLEET: usize = 16;
/// Other nodes below which it is small again.
const SMALL_FLEET: usize = 12;
/// Time for which a node counts among those that share a budget.
const SHARE_WINDOW: Duration = Duration::from_secs(20);
/// Time for which an address is tried at which a node may be.
const CONTACT_WINDOW: Duration = Duration::from_secs(600);
/// Most addresses of other nodes that are taken from a heartbeat.
const MAX_KNOWN: usize = 16;
/// Addresses of other nodes that a heartbeat tells.
const TOLD_AT_ONCE: usize = 3;
/// Nodes that are asked for proofs, one after the other where they do not answer.
const MOST_PROOF_SOURCES: usize = 8;
/// Nodes that may find that the store does not answer them, for each reader.
const FAILING_READERS: usize = 2;

/// The other nodes.
#[derive(Clone, Debug)]
pub struct Membership {
    own: SocketAddrV4,
    own_rank: Rank,
    zone: String,
    direct: DirectPeers,
    /// What hubs of other zones told of their zones, by zone.
    zones: BTreeMap<String, ToldByHubs>,
    /// What this node's hubs told of the fleet.
    fleet: ToldByHubs,
    contacts: BTreeMap<SocketAddrV4, Timestamp>,
    /// When nodes were last known to be there.
    seen: HashMap<SocketAddrV4, Timestamp>,
    hub: duty::HubDuty,
    asked: asked::AskedHubs,
    leader_word: LeaderWord,
    /// All nodes that are there, reckoned at a time.
    members: Vec<Member>,
    is_large: bool,
    reckoned: Option<Timestamp>,
}

impl Membership {
    /// A node that knows no other one.
    pub fn new(own: SocketAddrV4, zone: &str) -> Membership {
        Membership {
            own,
            own_rank: Rank::of(own),
            zone: zone.to_owned(),
            direct: DirectPeers::default(),
            zones: BTreeMap::new(),
            fleet: ToldByHubs::default(),
            contacts: BTreeMap::new(),
            seen: HashMap::new(),
            hub: duty::HubDuty::default(),
            asked: asked::AskedHubs::default(),
            leader_word: LeaderWord::default(),
            members: Vec::new(),
            is_large: false,
            reckoned: None,
        }
    }

    /// Takes a heartbeat, unless a later one came before it.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> PeerChange {
        let address = heartbeat.peer_address;
        for known in heartbeat.known_peers.iter().take(MAX_KNOWN) {
            self.add_contact(*known, now);
        }
        if self.is_large && self.knows_far_fewer(&heartbeat) {
            self.hub.needs_digest(address, now);
        }
        self.seen.insert(address, now);
        if self.direct.is_newer(&heartbeat) {
            self.leader_word.hear(address, heartbeat.placement.as_ref(), now);
        }
        let change = self.direct.receive(heartbeat, now);
        if change != PeerChange::None {
            self.reckoned = None;
        }
        change
    }

    /// Takes a heartbeat of a node that asks for digests.
    pub fn receive_digest_request(
        &mut self,
        heartbeat: Heartbeat,
        question: DigestRequest,
        now: Timestamp,
    ) -> PeerChange {
        self.hub.asked(heartbeat.peer_address, question, now);
        self.receive_heartbeat(heartbeat, now)
    }

    /// Whether a node knows so few of the others that it has to be told; it may
    /// not know the hubs either.
    fn knows_far_fewer(&self, heartbeat: &Heartbeat) -> bool {
        usize::from(heartbeat.member_count) * 4 < self.members.len() * 3
    }

    /// The number of other nodes that are there, as heartbeats tell it.
    pub fn member_count(&self) -> u16 {
        u16::try_from(self.members.len()).unwrap_or(u16::MAX)
    }

    /// Takes what another hub told of its zone.
    pub fn receive_zone_digest(&mut self, digest: Digest, now: Timestamp) {
        self.take_leader_word(&digest, now);
        self.zones.entry(digest.zone.clone()).or_default().take(digest, now);
    }

    /// Takes what a hub told of the fleet.
    pub fn receive_fleet_digest(&mut self, digest: Digest, now: Timestamp) {
        self.take_leader_word(&digest, now);
        self.asked.heard(digest.hub);
        self.fleet.take(digest, now);
    }

    fn take_leader_word(&mut self, digest: &Digest, now: Timestamp) {
        if let Some(told) = &digest.placement {
            self.leader_word.take_told(told, now);
        }
    }

    /// Notes an address at which a node may be.
    pub fn add_contact(&mut self, address: SocketAddrV4, now: Timestamp) {
        if address != self.own {
            self.contacts.entry(address).or_insert(now);
        }
    }

    /// Drops what was not heard for long, and reckons anew who is there.
    pub fn tick(&mut self, now: Timestamp) {
        self.direct.forget(now);
        self.leader_word.forget(now);
        self.contacts.retain(|_, noted| now.since(*noted) < CONTACT_WINDOW);
        self.zones.values_mut().for_each(|told| told.forget(now));
        self.fleet.forget(now);
        self.asked.check(&self.fleet, now);
        self.reckon(now);
        self.seen.retain(|_, seen| now.since(*seen) <= SHARE_WINDOW);
    }

    /// Reckons who is there, unless that was done at this time.
    fn reckon(&mut self, now: Timestamp) {
        if self.reckoned == Some(now) {
            return;
        }
        self.reckoned = Some(now);
        let mut members: BTreeMap<SocketAddrV4, Member> = BTreeMap::new();
        let told = self.zones.values().chain([&self.fleet]);
        for member in told.flat_map(|told| told.members(now)) {
            members.insert(member.address(), member.clone());
        }
        // Who was heard itself is known best: also that it is silent.
        for (address, heard) in self.direct.heard() {
            let is_silent = now.since(heard) > SUSPECT_AFTER;
            if is_silent && self.hub.serves(address, now) && !self.is_heard_by_hubs(address, now) {
                members.remove(&address);
            }
        }
        for member in self.direct.members(now) {
            members.insert(member.address(), member);
        }
        members.remove(&self.own);
        for address in members.keys() {
            self.seen.insert(*address, now);
        }
        self.members = members.into_values().collect();
        let least = if self.is_large { SMALL_FLEET } else { LARGE_FLEET };
        self.is_large = self.members.len() >= least;
    }

    /// Whether a hub of its zone still hears a node: it may ask that one now.
    fn is_heard_by_hubs(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        let zone = self.direct.get(address).map(|peer| &peer.heartbeat.zone);
        let told = zone.and_then(|zone| self.zones.get(zone));
        told.is_some_and(|told| told.is_listed(address, now))
    }

    /// The nodes that are there, besides this one.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether other nodes take this one for their hub.
    pub fn is_hub(&self) -> bool {
        self.hub.serves_any()
    }

    /// Whether every node tells every other one.
    pub fn is_small_fleet(&self) -> bool {
        !self.is_large
    }

    /// Nodes, besides this one, that may be spending a common budget.
    pub fn recent_peer_count(&self, now: Timestamp) -> usize {
        self.seen.values().filter(|seen| now.since(**seen) <= SHARE_WINDOW).count()
    }

    /// Addresses that a heartbeat passes on: a few, others each time, so that
    /// all are told within some heartbeats.
    pub fn known_peers(&self, sequence: u64) -> Vec<SocketAddrV4> {
        let count = self.members.len();
        if count == 0 {
            return Vec::new();
        }
        let turn = (sequence as usize).wrapping_mul(TOLD_AT_ONCE) % count;
        let told = (0..TOLD_AT_ONCE.min(count)).map(|place| (turn + place) % count);
        told.map(|place| self.members[place].address()).collect()
    }

    /// Whether this node is among the readers of the store: the first so many by
    /// rank, among itself and the others whom the store answers. Where it
    /// answers nobody, not all nodes have to find that out.
    pub fn is_reader(&self, readers: usize) -> bool {
        let (answered, failing) = self.ahead();
        answered < readers && failing < readers * FAILING_READERS
    }

    /// The number of nodes ahead of this one by rank whom the store answers.
    pub fn preceding_nodes(&self) -> usize {
        self.ahead().0
    }

    /// Nodes ahead by rank: those whom the store answers, and the others.
    fn ahead(&self) -> (usize, usize) {
        let ahead = self.members.iter().filter(|member| member.rank < self.own_rank);
        let (failing, answered): (Vec<&Member>, Vec<&Member>) =
            ahead.partition(|member| member.entry.store_fails);
        (answered.len(), failing.len())
    }

    /// Nodes to ask for a proof of the configuration, the best first: in a large fleet the
    /// hubs of this node that answer, then the nodes that read the store, by rank, so that
    /// the one on duty comes first.
    pub fn proof_sources(&self) -> Vec<SocketAddrV4> {
        let is_hub = self.is_small_fleet() || self.is_hub();
        let hubs: Vec<SocketAddrV4> = match is_hub {
            true => Vec::new(),
            false => self.asked.answering().collect(),
        };
        let mut readers: Vec<&Member> =
            self.members.iter().filter(|member| member.entry.reads_store).collect();
        readers.sort_unstable_by_key(|member| member.rank);
        let others = self.members.iter().filter(|member| !member.entry.reads_store);
        let known = readers.into_iter().chain(others).map(Member::address);
        hubs.into_iter().chain(known).take(MOST_PROOF_SOURCES).collect()
    }

    /// Whether a node told itself that it led when it was last heard.
    pub fn leads(&self, address: SocketAddrV4) -> bool {
        self.direct.get(address).is_some_and(|peer| peer.heartbeat.placement.is_some())
    }

    /// What the leading node tells, and when it said so itself.
    pub fn placement(&self, now: Timestamp) -> Option<(&Placement, Timestamp)> {
        self.leader_word.newest(now)
    }

    /// Models and adapters that requests of other nodes wait for.
    pub fn awaited_models(&self, now: Timestamp) -> HashSet<ModelKey> {
        let peers = self.direct.alive(now);
        peers.flat_map(|peer| peer.heartbeat.awaited_models.iter().copied()).collect()
    }

    /// Load of all other nodes by server. `told` is what this node told its hub
    /// of its own load, which the hub's sum holds too.
    pub fn remote_load(
        &self,
        told: &[(ServerKey, ServerLoad)],
        now: Timestamp,
    ) -> HashMap<ServerKey, ServerLoad> {
        if let Some(digest) = self.newest_fleet_digest(now) {
            let loads = digest.loads.iter().flatten();
            let mut sum: HashMap<ServerKey, ServerLoad> = loads.copied().collect();
            for (server, load) in told {
                if let Some(known) = sum.get_mut(server) {
                    *known = known.minus(*load);
                }
            }
            return sum;
        }
        self.load_of_others(now)
    }

    /// Load of all other nodes, by what they and hubs of other zones told.
    fn load_of_others(&self, now: Timestamp) -> HashMap<ServerKey, ServerLoad> {
        let mut sum = self.zone_load(now);
        for load in self.told_zones(now).flat_map(|told| told.digest.loads.iter().flatten()) {
            add(&mut sum, load);
        }
        sum
    }

    /// Load of the nodes that were heard themselves.
    fn zone_load(&self, now: Timestamp) -> HashMap<ServerKey, ServerLoad> {
        let mut sum = HashMap::new();
        let peers = self.direct.alive(now).filter(|peer| self.counts_here(&peer.heartbeat.zone));
        for load in peers.flat_map(|peer| peer.heartbeat.loads.iter().flatten()) {
            add(&mut sum, load);
        }
        sum
    }

    /// Whether nodes of a zone count by their own heartbeats, not by a digest.
    fn counts_here(&self, zone: &str) -> bool {
        zone == self.zone || self.is_small_fleet()
    }

    /// The newest digest of each other zone.
    fn told_zones(&self, now: Timestamp) -> impl Iterator<Item = &Told> {
        let mut newest: HashMap<&str, &Told> = HashMap::new();
        let alive = self.zones.values().flat_map(|told| told.alive(now));
        for told in alive.filter(|told| !self.counts_here(&told.digest.zone)) {
            let known = newest.entry(&told.digest.zone).or_insert(told);
            if told.heard > known.heard {
                *known = told;
            }
        }
        newest.into_values()
    }

    /// The newest digest of the fleet, where this node does not hear all itself.
    fn newest_fleet_digest(&self, now: Timestamp) -> Option<&Digest> {
        let newest = self.fleet.newest_loads(now)?;
        (!self.is_small_fleet() && !self.hub.is_on_duty(now)).then_some(newest)
    }
}

fn add(sum: &mut HashMap<ServerKey, ServerLoad>, load: &(ServerKey, ServerLoad)) {
    let known = sum.entry(load.0).or_default();
    *known = known.plus(load.1);
}
