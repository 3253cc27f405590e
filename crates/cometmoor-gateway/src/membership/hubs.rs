//! What a node sends: heartbeats to other nodes or to its hubs and, as a hub, digests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::capacity::CapacityClass;
use super::hub_state::RosterPart;
use super::message::{Digest, DigestRequest, Heartbeat, Message};
use super::peers::{Member, Rank};
use super::{MAX_KNOWN_PEERS, Membership};

/// Minimum number of hubs of a zone. They share its nodes, but each can serve all of them.
const MIN_HUBS_PER_ZONE: usize = 2;
/// Maximum number of hubs of a zone.
const MAX_HUBS_PER_ZONE: usize = 6;
/// Number of hubs from which a node requests digests.
const UPSTREAM_HUBS: usize = 2;
/// Number of hubs of a zone that send their digests to each hub of another zone.
const DIGEST_SOURCES: usize = 2;
/// Number of nodes of a zone for each hub.
const NODES_PER_HUB: usize = 32;
/// Maximum number of contacts that are tried at once, at which no node has been heard yet.
const MAX_CONTACTS_PER_ROUND: usize = 8;
/// Time between two regular heartbeats to the leader, for each node of the fleet, so that the
/// leader receives at most 200/s.
const LEADER_INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
/// Minimum time for which a change of demand is reported.
const MIN_DEMAND_REPORT_PERIOD: Duration = Duration::from_millis(1200);
/// Number of intervals of the heartbeats to the leader for which a change of demand is reported, so
/// that a lost heartbeat is made up for by the next one.
const DEMAND_REPORT_INTERVALS: u32 = 2;

/// A message and its recipients.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The message.
    pub message: Message,
    /// Addresses of the nodes to which it is sent.
    pub targets: Vec<SocketAddrV4>,
}

/// A message for all recipients of the others.
pub fn to_all_recipients(message: Message, others: &[OutgoingMessage]) -> OutgoingMessage {
    let targets: BTreeSet<SocketAddrV4> =
        others.iter().flat_map(|other| &other.targets).copied().collect();
    OutgoingMessage { message, targets: targets.into_iter().collect() }
}

impl Membership {
    /// The messages that this node has to send now, given its own heartbeat.
    pub fn outgoing(&mut self, own: &Heartbeat, now: Timestamp) -> Vec<OutgoingMessage> {
        self.refresh_members(now);
        let hubs = self.hubs();
        let mut outgoing = Vec::new();
        if self.is_small_fleet() {
            let targets = self.members().iter().map(Member::address);
            let targets = targets.chain(self.unknown_contacts(own.sequence)).collect();
            push(&mut outgoing, Message::Heartbeat(own.clone()), targets);
            self.upstream.set(&[], now);
        } else {
            self.send_to_hubs(own, &hubs, now, &mut outgoing);
        }
        self.send_as_hub(own, hubs, now, &mut outgoing);
        outgoing
    }

    /// Contacts at which no node is known to be alive: at most [`MAX_CONTACTS_PER_ROUND`], which
    /// rotate with the heartbeat's sequence number.
    fn unknown_contacts(&self, sequence: u64) -> Vec<SocketAddrV4> {
        let is_known = |address: &SocketAddrV4| {
            self.members().binary_search_by_key(address, Member::address).is_ok()
        };
        let contacts = self.contacts.keys().copied().filter(|address| !is_known(address));
        let mut contacts: Vec<SocketAddrV4> = contacts.collect();
        if contacts.len() > MAX_CONTACTS_PER_ROUND {
            let first = (sequence as usize).wrapping_mul(MAX_CONTACTS_PER_ROUND) % contacts.len();
            contacts.rotate_left(first);
            contacts.truncate(MAX_CONTACTS_PER_ROUND);
        }
        contacts
    }

    /// Rank of a node, which counts as being on a machine of unknown capacity if it is not known.
    fn rank_of(&self, address: SocketAddrV4) -> Rank {
        let known = self.members().binary_search_by_key(&address, Member::address);
        let known = known.ok().map(|index| self.members()[index].rank);
        known.unwrap_or_else(|| Rank::new(CapacityClass::default(), address))
    }

    /// The hubs of all zones: the first nodes of each by rank, which may include this one.
    fn hubs(&self) -> Hubs {
        let mut ranks: BTreeMap<&str, Vec<(Rank, SocketAddrV4)>> = BTreeMap::new();
        ranks.entry(&self.zone).or_default().push((self.own_rank, self.own));
        for member in self.members() {
            ranks.entry(&member.zone).or_default().push((member.rank, member.address()));
        }
        let mut hubs = Hubs::default();
        let mut remote_zones = Vec::new();
        for (zone, mut ranks) in ranks {
            ranks.sort_unstable();
            let count = hub_count(ranks.len());
            if zone == self.zone {
                hubs.bypassed = self.bypass_unresponsive(&mut ranks, count);
            }
            ranks.truncate(count);
            let of_zone = ranks.into_iter().map(|(_, address)| address);
            match zone == self.zone {
                true => hubs.local.extend(of_zone),
                false => remote_zones.push(of_zone.collect::<Vec<_>>()),
            }
        }
        let own_index = hubs.local.iter().position(|hub| *hub == self.own);
        let place = own_index.map(|index| HubPlace { index, count: hubs.local.len() });
        hubs.assigned = remote_zones.iter().flat_map(|zone| assigned_hubs(zone, place)).collect();
        hubs.remote = remote_zones.into_iter().flatten().collect();
        hubs.includes_self = own_index.is_some();
        hubs.local.retain(|hub| *hub != self.own);
        hubs
    }

    /// Removes the hubs of this zone that send no digests from its nodes, so that requests go to
    /// the next ones, and returns them. While any of the hubs responds, none is bypassed:
    /// otherwise nodes would turn more and more of each other into hubs when links are
    /// saturated.
    fn bypass_unresponsive(
        &self,
        ranks: &mut Vec<(Rank, SocketAddrV4)>,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let is_unresponsive = |(_, hub): &(Rank, SocketAddrV4)| self.upstream.is_unresponsive(*hub);
        let others = || ranks.iter().take(count).filter(|(_, hub)| *hub != self.own);
        if others().any(|hub| !is_unresponsive(hub)) {
            return Vec::new();
        }
        let bypassed =
            ranks.iter().filter(|hub| is_unresponsive(hub)).map(|(_, hub)| *hub).collect();
        ranks.retain(|hub| !is_unresponsive(hub));
        bypassed
    }

    /// Sends the heartbeat to the hubs of this zone, to the leader and to contacts, and requests
    /// digests. Hubs, nodes that read the store and the leader, on which many nodes depend, send
    /// it to the hubs of all zones.
    fn send_to_hubs(
        &mut self,
        own: &Heartbeat,
        hubs: &Hubs,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        self.request_digests(own, hubs, now, outgoing);
        let mut plain = Vec::new();
        if hubs.includes_self || own.reads_store || own.placement.is_some() {
            plain.extend(&hubs.remote);
        }
        let leader = self.leader_due(own, now);
        plain.extend(leader.filter(|leader| !hubs.local.contains(leader)));
        plain.extend(self.unknown_contacts(own.sequence));
        plain.sort_unstable();
        plain.dedup();
        push(outgoing, Message::Heartbeat(own.clone()), plain);
    }

    /// Requests digests from two hubs of the zone, so that nothing is lost if one dies, and the
    /// servers' load from the first of them. The zone's other hubs are sent plain heartbeats. If
    /// all hubs are unresponsive, requests go to the nodes that take their place, to the
    /// bypassed hubs and to one hub of another zone. A hub sends requests too, because it may
    /// consider itself a hub only for lack of knowledge of other nodes.
    fn request_digests(
        &mut self,
        own: &Heartbeat,
        hubs: &Hubs,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let mut upstream = hubs.local.clone();
        let first = self.own_rank.bucket(upstream.len()).min(upstream.len());
        upstream.rotate_left(first);
        // Responsive hubs come first.
        upstream.sort_by_key(|hub| self.upstream.is_unresponsive(*hub));
        let others = upstream.split_off(upstream.len().min(UPSTREAM_HUBS));
        if !hubs.bypassed.is_empty() {
            upstream.extend(&hubs.bypassed);
            upstream.extend(self.responsive_remote_hub(hubs));
        }
        self.upstream.set(&upstream, now);
        push(outgoing, Message::Heartbeat(own.clone()), others);
        for (index, hub) in upstream.into_iter().enumerate() {
            let request = DigestRequest {
                known_roster: self.fleet_digests.roster_version(hub),
                wants_loads: index == 0 && !hubs.includes_self,
            };
            push(outgoing, Message::HeartbeatToHub(own.clone(), request), vec![hub]);
        }
    }

    /// A hub of another zone that is not known to be unresponsive. It knows the whole fleet,
    /// while the new hubs of this zone still have to learn of it.
    fn responsive_remote_hub(&self, hubs: &Hubs) -> Option<SocketAddrV4> {
        let mut remote = hubs.remote.clone();
        let first = self.own_rank.bucket(remote.len()).min(remote.len());
        remote.rotate_left(first);
        remote.into_iter().find(|hub| !self.upstream.is_unresponsive(*hub))
    }

    /// Time between two regular heartbeats to the leader.
    fn leader_interval(&self) -> Duration {
        LEADER_INTERVAL_PER_NODE * u32::try_from(self.members().len()).unwrap_or(u32::MAX)
    }

    /// How long heartbeats report a change of demand, so that the leader learns of it. The time
    /// between two heartbeats to the leader grows with the fleet.
    pub fn demand_report_period(&self) -> Duration {
        match self.is_small_fleet() {
            true => MIN_DEMAND_REPORT_PERIOD,
            false => self.leader_interval() * DEMAND_REPORT_INTERVALS + MIN_DEMAND_REPORT_PERIOD,
        }
    }

    /// The leader, if a heartbeat to it is due: one that reports demand, at an interval, or any if
    /// requests wait for models.
    fn leader_due(&mut self, own: &Heartbeat, now: Timestamp) -> Option<SocketAddrV4> {
        let leader = self.placement(now)?.0.leader;
        let interval = self.leader_interval();
        let is_due = own.loads.is_some()
            && self.hub.leader_notified.is_none_or(|sent| now.since(sent) >= interval);
        if leader == self.own || (!is_due && own.awaited_models.is_empty()) {
            return None;
        }
        self.hub.leader_notified = Some(now);
        Some(leader)
    }

    /// As a hub, sends digests of the zone to the other hubs and digests of the fleet to the
    /// nodes that requested them. Uninformed nodes are also sent the addresses of the hubs: a
    /// node that is no hub knows the fleet only from its hubs, and reports it to no other node.
    fn send_as_hub(
        &mut self,
        own: &Heartbeat,
        hubs: Hubs,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let has_recipients = self.hub.has_recipients(now);
        if !has_recipients && (!hubs.includes_self || self.is_small_fleet()) {
            return;
        }
        self.hub.sequence += 1;
        // Nodes that send digests of their zone receive this one's in return, even if no other
        // node knows yet that they have become hubs.
        let senders = self.zone_digests.values().flat_map(|received| {
            let mut senders: Vec<SocketAddrV4> = received.alive_hubs(now).collect();
            senders.sort_unstable_by_key(|hub| self.rank_of(*hub));
            senders.truncate(MAX_HUBS_PER_ZONE);
            senders
        });
        let known: BTreeSet<SocketAddrV4> =
            hubs.local.iter().chain(&hubs.remote).copied().collect();
        let new_hubs: BTreeSet<SocketAddrV4> =
            senders.filter(|sender| !known.contains(sender)).collect();
        let introduced: Vec<SocketAddrV4> = known.union(&new_hubs).copied().collect();
        let introductions = self.introductions(own, &introduced, now);
        outgoing.extend(introductions);
        let recipients = hubs.local.into_iter().chain(hubs.assigned).chain(new_hubs);
        let recipients: BTreeSet<SocketAddrV4> = recipients.collect();
        let uninformed = self.hub.next_uninformed(self.members.len(), now);
        let base = self.base_digest(own, now);
        let for_hubs = self.hub.for_hubs(base.clone(), now);
        // Other nodes' load is included whenever this node's own is.
        let zone = match own.loads.is_some() {
            true => self.zone_digest(own, &for_hubs, now),
            false => for_hubs,
        };
        push(outgoing, Message::ZoneDigest(zone), recipients.into_iter().collect());
        if has_recipients {
            let for_subscribers = self.hub.for_subscribers(base.clone(), now);
            self.send_fleet_digests(own, &uninformed, &base, &for_subscribers, now, outgoing);
        }
    }

    /// Heartbeats that tell the hubs to uninformed nodes, to each first those of its own zone, which
    /// send it digests: nodes accept a limited number of addresses from a heartbeat.
    fn introductions(
        &mut self,
        own: &Heartbeat,
        hubs: &[SocketAddrV4],
        now: Timestamp,
    ) -> Vec<OutgoingMessage> {
        let mut by_zone: BTreeMap<Option<&str>, Vec<SocketAddrV4>> = BTreeMap::new();
        for node in self.hub.next_introductions(now) {
            let zone = self.direct.get(node).map(|peer| &*peer.heartbeat.zone);
            by_zone.entry(zone).or_default().push(node);
        }
        let introduce = |(zone, targets): (Option<&str>, Vec<SocketAddrV4>)| {
            let is_of_zone = |hub: &SocketAddrV4| self.zone_of(*hub) == zone;
            let (mut known_peers, others): (Vec<SocketAddrV4>, Vec<SocketAddrV4>) =
                hubs.iter().partition(|hub| is_of_zone(hub));
            known_peers.extend(others);
            known_peers.truncate(MAX_KNOWN_PEERS);
            let message = Message::Heartbeat(Heartbeat { known_peers, ..own.clone() });
            OutgoingMessage { message, targets }
        };
        by_zone.into_iter().map(introduce).collect()
    }

    /// Zone of a live node; `None` if the node is not known.
    fn zone_of(&self, address: SocketAddrV4) -> Option<&str> {
        let known = self.members().binary_search_by_key(&address, Member::address);
        known.ok().map(|index| &*self.members()[index].zone)
    }

    /// Sends digests of the fleet: to all nodes that requested them the fleet's load and the
    /// leader's announcement, to each the part of the roster that it lacks. Sent in full each
    /// time, the roster saturated the links of hubs at 300 nodes, and digests were lost.
    fn send_fleet_digests(
        &mut self,
        own: &Heartbeat,
        uninformed: &[SocketAddrV4],
        base: &Digest,
        for_subscribers: &Digest,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.hub.roster_update_is_due(now) {
            let zones = self.fleet_members(own, now);
            self.hub.roster.replace(&zones);
            self.hub.roster_updated = Some(now);
        }
        let groups = self.hub.recipient_groups(uninformed, own.incarnation, now);
        let has_new = groups.keys().any(|group| group.is_new);
        let loads = (own.loads.is_some() || has_new).then(|| self.fleet_loads(own, now));
        for (group, targets) in groups {
            let mut digest = if group.is_new { base.clone() } else { for_subscribers.clone() };
            let includes_loads = group.is_new || own.loads.is_some();
            digest.loads = loads.clone().filter(|_| group.wants_loads && includes_loads);
            digest.roster = match group.missing_roster {
                RosterPart::None => None,
                RosterPart::ChangesSince(version) => self.hub.roster.update_since(Some(version)),
                RosterPart::Full => self.hub.roster.update_since(None),
            };
            push(outgoing, Message::FleetDigest(digest), targets);
        }
    }
}

/// The hubs of all zones, without this node.
#[derive(Default)]
struct Hubs {
    /// Hubs of this node's zone.
    local: Vec<SocketAddrV4>,
    /// Nodes of this node's zone that are skipped as hubs because they send it no digests.
    bypassed: Vec<SocketAddrV4>,
    /// Hubs of the other zones.
    remote: Vec<SocketAddrV4>,
    /// Those of them to which this node sends the digests of its zone.
    assigned: Vec<SocketAddrV4>,
    /// Whether this node is a hub.
    includes_self: bool,
}

/// Place of a hub among the hubs of its zone, in the order of their ranks.
#[derive(Clone, Copy)]
struct HubPlace {
    index: usize,
    count: usize,
}

/// The hubs of another zone to which the hub at a place sends digests. Each of them is sent the
/// digests of [`DIGEST_SOURCES`] hubs, so that one may fail; if every hub sent its digests to every
/// other one, their number would grow with the square of the fleet. A node without a place, which
/// does not count as a hub, sends its digests to all.
fn assigned_hubs(
    zone: &[SocketAddrV4],
    place: Option<HubPlace>,
) -> impl Iterator<Item = SocketAddrV4> {
    let is_assigned = move |hub: usize| {
        place.is_none_or(|HubPlace { index, count }| {
            (0..DIGEST_SOURCES).any(|source| (hub + source) % count == index)
        })
    };
    let hubs = zone.iter().enumerate();
    hubs.filter(move |(hub, _)| is_assigned(*hub)).map(|(_, address)| *address)
}

/// Number of hubs of a zone with this many nodes.
fn hub_count(nodes: usize) -> usize {
    nodes.div_ceil(NODES_PER_HUB).clamp(MIN_HUBS_PER_ZONE, MAX_HUBS_PER_ZONE)
}

fn push(outgoing: &mut Vec<OutgoingMessage>, message: Message, targets: Vec<SocketAddrV4>) {
    if !targets.is_empty() {
        outgoing.push(OutgoingMessage { message, targets });
    }
}
