//! Hubs: nodes that tell many others of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::Membership;
use super::leader_word::ToldWord;
use super::message::{Digest, Heartbeat, Message, ZoneMembers};
use super::peers::{Member, Rank};

/// Fewest hubs of a zone, which share its nodes; each can take all.
const FEWEST_HUBS: usize = 2;
/// Most hubs of a zone.
const MOST_HUBS: usize = 6;
/// Nodes of a zone for each hub.
const NODES_OF_HUB: usize = 32;
/// Time between two digests that tell the nodes of the fleet, where they change.
const CHANGES_EACH: Duration = Duration::from_millis(350);
/// Time between two digests that tell them where they do not.
const MEMBERS_EACH: Duration = Duration::from_millis(1150);
/// Time for which a node that asked gets digests.
const ANSWERED_FOR: Duration = Duration::from_millis(1500);
/// Time for which the silence of a node that asked tells that it is gone.
const SERVED_FOR: Duration = Duration::from_secs(3);
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
    /// Those of both that have been told nothing yet.
    newcomers: BTreeSet<SocketAddrV4>,
    pub(super) sequence: u64,
    told: ToldByHub,
    leader_told: Option<Timestamp>,
}

/// What a hub has told of the fleet, and when.
#[derive(Clone, Debug, Default)]
struct ToldByHub {
    zones: Vec<ZoneMembers>,
    members: Option<Timestamp>,
    leader_word: ToldWord,
}

impl HubDuty {
    /// Notes that a node asked for digests.
    pub(super) fn asked(&mut self, address: SocketAddrV4, now: Timestamp) {
        if self.asked.insert(address, now).is_none() {
            self.newcomers.insert(address);
        }
    }

    /// Notes that a node knows few others.
    pub(super) fn needs_digest(&mut self, address: SocketAddrV4, now: Timestamp) {
        if self.uninformed.insert(address, now).is_none() {
            self.newcomers.insert(address);
        }
    }

    /// Whether a node sends its heartbeats here, so that its silence tells.
    pub(super) fn serves(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.asked.get(&address).is_some_and(|asked| now.since(*asked) <= SERVED_FOR)
    }

    /// Whether nodes take this one for their hub.
    pub(super) fn is_on_duty(&self, now: Timestamp) -> bool {
        self.asked.values().any(|asked| now.since(*asked) <= ANSWERED_FOR)
    }

    /// Nodes that get digests: those that have got none yet, and the others.
    fn askers(&mut self, now: Timestamp) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        self.asked.retain(|_, asked| now.since(*asked) <= SERVED_FOR);
        self.uninformed.retain(|_, noted| now.since(*noted) <= ANSWERED_FOR);
        let recent = self.asked.iter().filter(|(_, asked)| now.since(**asked) <= ANSWERED_FOR);
        let askers = recent.map(|(address, _)| *address).chain(self.uninformed.keys().copied());
        let askers: BTreeSet<SocketAddrV4> = askers.collect();
        let newcomers = std::mem::take(&mut self.newcomers);
        askers.into_iter().partition(|address| newcomers.contains(address))
    }
}

impl ToldByHub {
    /// The digest without the leader's placement, where that was told a moment ago.
    fn without_known_placement(&mut self, mut digest: Digest, now: Timestamp) -> Digest {
        if let Some(told) = &mut digest.placement
            && !self.leader_word.whole_is_due(told.version, now)
        {
            told.whole = None;
        }
        digest
    }

    /// Whether the nodes may have to be told now, if they have changed.
    fn members_may_be_due(&self, now: Timestamp) -> bool {
        self.members.is_none_or(|told| now.since(told) >= CHANGES_EACH)
    }

    /// Whether these nodes are to be told now; notes that they are.
    fn members_are_due(&mut self, zones: &[ZoneMembers], now: Timestamp) -> bool {
        let is_late = self.members.is_none_or(|told| now.since(told) >= MEMBERS_EACH);
        let due = is_late || (self.members_may_be_due(now) && self.zones != zones);
        if due {
            self.members = Some(now);
            self.zones = zones.to_vec();
        }
        due
    }
}

impl Membership {
    /// What this node sends now, given its own heartbeat.
    pub fn outgoing(&mut self, own: &Heartbeat, now: Timestamp) -> Vec<Outgoing> {
        self.reckon(now);
        let hubs = self.hubs();
        let mut outgoing = Vec::new();
        if self.is_small() {
            let targets = self.members().iter().map(Member::address);
            let targets = targets.chain(self.strangers(own.sequence)).collect();
            push(&mut outgoing, Message::Heartbeat(own.clone()), targets);
        } else {
            self.tell_hubs(own, &hubs, now, &mut outgoing);
        }
        self.tell_as_hub(own, hubs, now, &mut outgoing);
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

    /// The hubs: the first nodes of each zone, this one included.
    fn hubs(&self) -> Hubs {
        let mut ranks: BTreeMap<&str, Vec<(Rank, SocketAddrV4)>> = BTreeMap::new();
        ranks.entry(&self.zone).or_default().push((self.own_rank, self.own));
        for member in self.members() {
            ranks.entry(&member.zone).or_default().push((member.rank, member.address()));
        }
        let mut hubs = Hubs { near: Vec::new(), far: Vec::new(), is_own: false };
        for (zone, mut ranks) in ranks {
            ranks.sort_unstable();
            ranks.truncate(hubs_of(ranks.len()));
            let of_zone = if zone == self.zone { &mut hubs.near } else { &mut hubs.far };
            of_zone.extend(ranks.into_iter().map(|(_, address)| address));
        }
        hubs.is_own = hubs.near.contains(&self.own);
        hubs.near.retain(|hub| *hub != self.own);
        hubs
    }

    /// A node tells its hubs of itself, and asks one for digests. One that many
    /// depend on tells all hubs.
    fn tell_hubs(
        &mut self,
        own: &Heartbeat,
        hubs: &Hubs,
        now: Timestamp,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let mut plain = hubs.near.clone();
        if !hubs.is_own && !plain.is_empty() {
            let asked = plain.remove(self.own_rank.share(plain.len()));
            push(outgoing, Message::HeartbeatToHub(own.clone()), vec![asked]);
        }
        if hubs.is_own || own.reads_store || own.placement.is_some() {
            plain.extend(&hubs.far);
        }
        let leader = self.leader_to_tell(own, now);
        plain.extend(leader.filter(|leader| !hubs.near.contains(leader)));
        plain.extend(self.strangers(own.sequence));
        plain.sort_unstable();
        plain.dedup();
        push(outgoing, Message::Heartbeat(own.clone()), plain);
    }

    /// The node that orders the servers, if it is to be told now.
    fn leader_to_tell(&mut self, own: &Heartbeat, now: Timestamp) -> Option<SocketAddrV4> {
        let leader = self.placement(now)?.0.leader;
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
        hubs: Hubs,
        now: Timestamp,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let (newcomers, askers) = self.hub.askers(now);
        let is_hub = hubs.is_own && !self.is_small();
        if newcomers.is_empty() && askers.is_empty() && !is_hub {
            return;
        }
        self.hub.sequence += 1;
        let others: Vec<SocketAddrV4> = hubs.near.into_iter().chain(hubs.far).collect();
        let uninformed = self.hub.uninformed.keys().copied().collect();
        let introduction = Heartbeat { known: others.clone(), ..own.clone() };
        push(outgoing, Message::Heartbeat(introduction), uninformed);
        let whole = self.brief_digest(own, now);
        let brief = self.hub.told.without_known_placement(whole.clone(), now);
        // The load of others is told when this node's own is.
        let tells_loads = own.loads.is_some();
        let zone = if tells_loads { self.zone_digest(own, &brief, now) } else { brief.clone() };
        push(outgoing, Message::ZoneDigest(zone), others);
        if newcomers.is_empty() && askers.is_empty() {
            return;
        }
        let mut full = self.fleet_digest(own, &brief, !newcomers.is_empty(), now);
        full.for_newcomers.placement = whole.placement;
        push(outgoing, Message::FleetDigest(full.for_newcomers), newcomers);
        push(outgoing, Message::FleetDigest(full.for_askers), askers);
    }

    /// What this node tells of the fleet now, to nodes that have been told nothing
    /// yet and to the others.
    fn fleet_digest(
        &mut self,
        own: &Heartbeat,
        brief: &Digest,
        has_newcomers: bool,
        now: Timestamp,
    ) -> FleetDigests {
        let mut for_askers = brief.clone();
        let mut for_newcomers = brief.clone();
        if own.loads.is_some() || has_newcomers {
            let loads = Some(self.fleet_loads(own, now));
            for_askers.loads = loads.clone().filter(|_| own.loads.is_some());
            for_newcomers.loads = loads;
        }
        if has_newcomers || self.hub.told.members_may_be_due(now) {
            let zones = self.fleet_zones(own, now);
            let is_due = self.hub.told.members_are_due(&zones, now);
            for_askers.zones = is_due.then(|| zones.clone());
            for_newcomers.zones = Some(zones);
        }
        FleetDigests { for_askers, for_newcomers }
    }
}

/// The hubs of all zones, without this node.
struct Hubs {
    /// Those of this node's zone.
    near: Vec<SocketAddrV4>,
    /// Those of the other zones.
    far: Vec<SocketAddrV4>,
    /// Whether this node is one.
    is_own: bool,
}

/// Digests of the fleet, by how much those that get them have been told.
struct FleetDigests {
    for_askers: Digest,
    for_newcomers: Digest,
}

/// How many hubs a zone of so many nodes has.
fn hubs_of(nodes: usize) -> usize {
    nodes.div_ceil(NODES_OF_HUB).clamp(FEWEST_HUBS, MOST_HUBS)
}

fn push(outgoing: &mut Vec<Outgoing>, message: Message, targets: Vec<SocketAddrV4>) {
    if !targets.is_empty() {
        outgoing.push(Outgoing { message, targets });
    }
}
