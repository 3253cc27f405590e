//! Hubs: nodes that tell many others of the fleet.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::message::{CopyVersions, Digest, Heartbeat, MemberEntry, Message, ZoneMembers};
use super::peers::{Member, Rank};
use super::{Membership, add};
use crate::load::{ServerKey, ServerLoad};

/// Hubs of a zone; the second one stands by.
const HUBS_OF_ZONE: usize = 2;
/// Time for which a node that asked gets digests.
const ANSWERED_FOR: Duration = Duration::from_millis(1500);
/// Time for which the silence of a node that asked tells that it is gone.
const SERVED_FOR: Duration = Duration::from_secs(3);
/// Digests of which one tells the members although they have not changed.
const MEMBERS_EACH: u64 = 3;
/// Most servers whose load a digest tells.
const MAX_LOADS: usize = 256;
/// Addresses that are tried at once where nobody has been heard yet.
const MAX_CONTACTS: usize = 8;
/// Time between two heartbeats to the node that orders the servers, for each
/// node of the fleet: it gets so many a second at most.
const LEADER_INTERVAL: Duration = Duration::from_millis(5);

/// A message, and the nodes that get it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The message.
    pub message: Message,
    /// Where it goes.
    pub targets: Vec<SocketAddrV4>,
}

/// What a node does for those that take it for their hub.
#[derive(Clone, Debug, Default)]
pub(super) struct HubDuty {
    /// Nodes that take this one for their hub, and when they asked last.
    asked: BTreeMap<SocketAddrV4, Timestamp>,
    /// Nodes that need digests and the hubs' addresses until they know more.
    uninformed: BTreeMap<SocketAddrV4, Timestamp>,
    sequence: u64,
    has_new_asker: bool,
    told: Vec<ZoneMembers>,
    leader_told: Option<Timestamp>,
}

impl HubDuty {
    /// Notes that a node asked for digests.
    pub(super) fn asked(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.has_new_asker |= self.asked.insert(address, now).is_none();
    }

    /// Notes that a node knows few others.
    pub(super) fn needs_digest(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.has_new_asker |= self.uninformed.insert(address, now).is_none();
    }

    /// Whether a node sends its heartbeats here, so that its silence tells.
    pub(super) fn serves(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.asked.get(&address).is_some_and(|asked| now.since(*asked) <= SERVED_FOR)
    }

    /// Whether nodes take this one for their hub.
    pub(super) fn is_on_duty(&self, now: Timestamp) -> bool {
        self.asked.values().any(|asked| now.since(*asked) <= ANSWERED_FOR)
    }

    fn askers(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        self.asked.retain(|_, asked| now.since(*asked) <= SERVED_FOR);
        self.uninformed.retain(|_, noted| now.since(*noted) <= ANSWERED_FOR);
        let recent = self.asked.iter().filter(|(_, asked)| now.since(**asked) <= ANSWERED_FOR);
        let mut askers: Vec<SocketAddrV4> = recent.map(|(address, _)| *address).collect();
        askers.extend(self.uninformed.keys().filter(|address| !self.asked.contains_key(address)));
        askers
    }
}

impl Membership {
    /// What this node sends now, given its own heartbeat and how new its copies
    /// are as others may rely on them.
    pub fn outgoing(
        &mut self,
        own: &Heartbeat,
        versions: CopyVersions,
        now: Timestamp,
    ) -> Vec<Outgoing> {
        self.reckon(now);
        let mut outgoing = Vec::new();
        if self.is_small() {
            let targets = self.members().iter().map(Member::address);
            let targets = targets.chain(self.strangers(own.sequence)).collect();
            push(&mut outgoing, Message::Heartbeat(own.clone()), targets);
        } else {
            self.tell_hubs(own, now, &mut outgoing);
        }
        self.tell_as_hub(own, versions, now, &mut outgoing);
        outgoing
    }

    /// Addresses at which nodes may be that are not known to be there: a few,
    /// others each time.
    fn strangers(&self, sequence: u64) -> Vec<SocketAddrV4> {
        let is_known = |address: &SocketAddrV4| {
            self.members().binary_search_by_key(address, Member::address).is_ok()
        };
        let strangers = self.contacts.keys().copied().filter(|address| !is_known(address));
        let mut strangers: Vec<SocketAddrV4> = strangers.collect();
        if strangers.len() > MAX_CONTACTS {
            let turn = (sequence as usize).wrapping_mul(MAX_CONTACTS) % strangers.len();
            strangers.rotate_left(turn);
            strangers.truncate(MAX_CONTACTS);
        }
        strangers
    }

    /// The first nodes of each zone, this one included.
    fn hubs(&self) -> BTreeMap<&str, Vec<SocketAddrV4>> {
        let mut ranks: BTreeMap<&str, Vec<(Rank, SocketAddrV4)>> = BTreeMap::new();
        ranks.entry(&self.zone).or_default().push((self.own_rank, self.own));
        for member in self.members() {
            ranks.entry(&member.zone).or_default().push((member.rank, member.address()));
        }
        let first = |mut ranks: Vec<(Rank, SocketAddrV4)>| {
            ranks.sort_unstable();
            ranks.into_iter().take(HUBS_OF_ZONE).map(|(_, address)| address).collect()
        };
        ranks.into_iter().map(|(zone, ranks)| (zone, first(ranks))).collect()
    }

    /// Hubs of this node's zone, and those of the others, without this node.
    fn hubs_near_and_far(&self) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        let mut hubs = self.hubs();
        let near = hubs.remove(&*self.zone).unwrap_or_default();
        (near, hubs.into_values().flatten().collect())
    }

    /// A node tells its hubs of itself, and asks the first one for digests. One
    /// that many depend on tells all hubs.
    fn tell_hubs(&mut self, own: &Heartbeat, now: Timestamp, outgoing: &mut Vec<Outgoing>) {
        let (near, far) = self.hubs_near_and_far();
        let is_hub = near.contains(&self.own);
        let mut plain: Vec<SocketAddrV4> =
            near.iter().copied().filter(|hub| *hub != self.own).collect();
        if !is_hub && !plain.is_empty() {
            let first = plain.remove(0);
            push(outgoing, Message::HeartbeatToHub(own.clone()), vec![first]);
        }
        if is_hub || own.reads_store || own.placement.is_some() {
            plain.extend(&far);
        }
        plain.extend(self.leader_to_tell(own, now).filter(|leader| !near.contains(leader)));
        plain.extend(self.strangers(own.sequence));
        plain.sort_unstable();
        plain.dedup();
        push(outgoing, Message::Heartbeat(own.clone()), plain);
    }

    /// The node that orders the servers, if it is to be told now.
    fn leader_to_tell(&mut self, own: &Heartbeat, now: Timestamp) -> Option<SocketAddrV4> {
        let leader = self.placement(now)?.leader;
        let interval = LEADER_INTERVAL * u32::try_from(self.members().len()).unwrap_or(u32::MAX);
        let is_due = self.hub.leader_told.is_none_or(|told| now.since(told) >= interval);
        if leader == self.own || (!is_due && own.waited_for.is_empty()) {
            return None;
        }
        self.hub.leader_told = Some(now);
        Some(leader)
    }

    /// A hub tells other hubs of its zone, and those that asked of the fleet. Who
    /// knows few others is told the hubs too: one that is no hub knows the fleet
    /// by its hubs only, and passes that on to nobody.
    fn tell_as_hub(
        &mut self,
        own: &Heartbeat,
        versions: CopyVersions,
        now: Timestamp,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let askers = self.hub.askers(now);
        let (near, far) = self.hubs_near_and_far();
        let is_hub = near.contains(&self.own) && !self.is_small();
        if askers.is_empty() && !is_hub {
            return;
        }
        self.hub.sequence += 1;
        let others: Vec<SocketAddrV4> =
            near.into_iter().filter(|hub| *hub != self.own).chain(far).collect();
        let uninformed = self.hub.uninformed.keys().copied().collect();
        let introduction = Heartbeat { known: others.clone(), ..own.clone() };
        push(outgoing, Message::Heartbeat(introduction), uninformed);
        push(outgoing, Message::ZoneDigest(self.zone_digest(own, versions, now)), others);
        if !askers.is_empty() {
            let digest = self.fleet_digest(own, versions, now);
            push(outgoing, Message::FleetDigest(digest), askers);
        }
        self.hub.has_new_asker = false;
    }

    fn digest(&self, own: &Heartbeat, versions: CopyVersions, now: Timestamp) -> Digest {
        let told = self.placement(now);
        let placement =
            own.placement.as_ref().into_iter().chain(told).max_by_key(|placement| placement.token);
        Digest {
            hub: self.own,
            zone: self.zone.clone(),
            incarnation: own.incarnation,
            sequence: self.hub.sequence,
            versions,
            zones: None,
            loads: Vec::new(),
            placement: placement.cloned(),
        }
    }

    /// The nodes of this zone, by their own heartbeats only.
    fn zone_digest(&self, own: &Heartbeat, versions: CopyVersions, now: Timestamp) -> Digest {
        let in_zone = self.direct.alive(now).filter(|peer| peer.heartbeat.zone == self.zone);
        let mut members: Vec<MemberEntry> = in_zone.map(|peer| peer.entry()).collect();
        members.push(entry_of(own));
        members.sort_by_key(|member| member.peer_address);
        let zones = Some(vec![ZoneMembers { zone: self.zone.clone(), members }]);
        let mut loads = self.zone_load(now);
        own.loads.iter().for_each(|load| add(&mut loads, load));
        Digest { zones, loads: busiest(loads), ..self.digest(own, versions, now) }
    }

    /// All nodes, by their own heartbeats and what hubs of other zones told. What
    /// other nodes' digests of the fleet tell is left out: two nodes that take
    /// each other for hubs would keep those that are gone.
    fn fleet_digest(&mut self, own: &Heartbeat, versions: CopyVersions, now: Timestamp) -> Digest {
        let mut zones: BTreeMap<&str, BTreeMap<SocketAddrV4, MemberEntry>> = BTreeMap::new();
        let told = self.zones.values().filter(|told| told.is_alive(now));
        for member in told.flat_map(|told| &told.members) {
            zones.entry(&member.zone).or_default().insert(member.address(), member.entry);
        }
        for peer in self.direct.alive(now) {
            let zone = zones.entry(&peer.heartbeat.zone).or_default();
            zone.insert(peer.heartbeat.peer_address, peer.entry());
        }
        zones.entry(&self.zone).or_default().insert(self.own, entry_of(own));
        let zones: Vec<ZoneMembers> = zones
            .into_iter()
            .map(|(zone, members)| ZoneMembers {
                zone: zone.to_owned(),
                members: members.into_values().collect(),
            })
            .collect();
        let changed = self.hub.told != zones;
        let is_due = self.hub.sequence.is_multiple_of(MEMBERS_EACH);
        let tells_members = changed || is_due || self.hub.has_new_asker;
        let mut loads = self.load_of_others(now);
        own.loads.iter().for_each(|load| add(&mut loads, load));
        let digest = Digest { loads: busiest(loads), ..self.digest(own, versions, now) };
        self.hub.told.clone_from(&zones);
        Digest { zones: tells_members.then_some(zones), ..digest }
    }
}

fn entry_of(own: &Heartbeat) -> MemberEntry {
    MemberEntry {
        peer_address: own.peer_address,
        client_address: own.client_address,
        phase: own.phase,
        reads_store: own.reads_store,
        store_fails: own.store_fails,
    }
}

/// The servers with most load, the busiest first.
fn busiest(loads: HashMap<ServerKey, ServerLoad>) -> Vec<(ServerKey, ServerLoad)> {
    let mut loads: Vec<(ServerKey, ServerLoad)> = loads.into_iter().collect();
    loads.sort_unstable_by_key(|(server, load)| (std::cmp::Reverse(load.in_flight), *server));
    loads.truncate(MAX_LOADS);
    loads
}

fn push(outgoing: &mut Vec<Outgoing>, message: Message, targets: Vec<SocketAddrV4>) {
    if !targets.is_empty() {
        outgoing.push(Outgoing { message, targets });
    }
}
