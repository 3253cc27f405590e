//! Hubs: nodes that tell many others of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::Membership;
use super::duty::ListPart;
use super::message::{Digest, DigestRequest, Heartbeat, Message};
use super::peers::{Member, Rank};

/// Fewest hubs of a zone, which share its nodes; each can take all.
const FEWEST_HUBS: usize = 2;
/// Most hubs of a zone.
const MOST_HUBS: usize = 6;
/// Hubs that a node asks.
const HUBS_ASKED: usize = 2;
/// Nodes of a zone for each hub.
const NODES_OF_HUB: usize = 32;
/// Addresses that are tried at once where nobody has been heard yet.
const MAX_CONTACTS: usize = 8;
/// Time between two heartbeats to the node that orders the servers, for each
/// node of the fleet: it gets so many a second at most.
const LEADER_INTERVAL: Duration = Duration::from_millis(5);

/// A message, and the nodes that get it.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The message.
    pub message: Message,
    /// Where it goes.
    pub targets: Vec<SocketAddrV4>,
}

impl Membership {
    /// What this node sends now, given its own heartbeat.
    pub fn outgoing(&mut self, own: &Heartbeat, now: Timestamp) -> Vec<OutgoingMessage> {
        self.reckon(now);
        let hubs = self.hubs();
        let mut outgoing = Vec::new();
        if self.is_small_fleet() {
            let targets = self.members().iter().map(Member::address);
            let targets = targets.chain(self.strangers(own.sequence)).collect();
            push(&mut outgoing, Message::Heartbeat(own.clone()), targets);
            self.asked.ask(&[], now);
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
        let mut hubs = Hubs::default();
        for (zone, mut ranks) in ranks {
            ranks.sort_unstable();
            let count = hubs_of(ranks.len());
            if zone == self.zone {
                hubs.passed_over = self.pass_over_silent(&mut ranks, count);
            }
            ranks.truncate(count);
            let of_zone = if zone == self.zone { &mut hubs.near } else { &mut hubs.far };
            of_zone.extend(ranks.into_iter().map(|(_, address)| address));
        }
        hubs.is_own = hubs.near.contains(&self.own);
        hubs.near.retain(|hub| *hub != self.own);
        hubs
    }

    /// Takes the hubs of this zone that give no digests off its nodes, so that the next
    /// ones are asked; tells them. While any hub answers, none is passed over: where
    /// links are full, nodes would make ever more hubs of one another.
    fn pass_over_silent(
        &self,
        ranks: &mut Vec<(Rank, SocketAddrV4)>,
        count: usize,
    ) -> Vec<SocketAddrV4> {
        let is_silent = |(_, hub): &(Rank, SocketAddrV4)| self.asked.is_silent(*hub);
        let others = || ranks.iter().take(count).filter(|(_, hub)| *hub != self.own);
        if others().any(|hub| !is_silent(hub)) {
            return Vec::new();
        }
        let passed_over = ranks.iter().filter(|hub| is_silent(hub)).map(|(_, hub)| *hub).collect();
        ranks.retain(|hub| !is_silent(hub));
        passed_over
    }

    /// A node tells its hubs of itself, and asks one for digests. One that many
    /// depend on tells all hubs.
    fn tell_hubs(
        &mut self,
        own: &Heartbeat,
        hubs: &Hubs,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        self.ask_hubs(own, hubs, now, outgoing);
        let mut plain = Vec::new();
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

    /// Asks two hubs of the zone, so that the death of one costs nothing, and the first
    /// of them for the servers' load; hubs that are not asked are told as well. Where all
    /// are silent they are asked on, after those that take their place and one of another
    /// zone. A hub asks too: it may take itself for one only because it does not know the
    /// others.
    fn ask_hubs(
        &mut self,
        own: &Heartbeat,
        hubs: &Hubs,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let mut asked = hubs.near.clone();
        let first = self.own_rank.share(asked.len()).min(asked.len());
        asked.rotate_left(first);
        // Those that answer come first.
        asked.sort_by_key(|hub| self.asked.is_silent(*hub));
        let others = asked.split_off(asked.len().min(HUBS_ASKED));
        if !hubs.passed_over.is_empty() {
            asked.extend(&hubs.passed_over);
            asked.extend(self.far_hub_that_answers(hubs));
        }
        self.asked.ask(&asked, now);
        push(outgoing, Message::Heartbeat(own.clone()), others);
        for (place, hub) in asked.into_iter().enumerate() {
            let question = DigestRequest {
                known_roster: self.fleet.roster_of(hub),
                wants_loads: place == 0 && !hubs.is_own,
            };
            push(outgoing, Message::HeartbeatToHub(own.clone(), question), vec![hub]);
        }
    }

    /// A hub of another zone. It knows the whole fleet, while whoever takes over here
    /// has yet to be told.
    fn far_hub_that_answers(&self, hubs: &Hubs) -> Option<SocketAddrV4> {
        let mut far = hubs.far.clone();
        let first = self.own_rank.share(far.len()).min(far.len());
        far.rotate_left(first);
        far.into_iter().find(|hub| !self.asked.is_silent(*hub))
    }

    /// The node that orders the servers, if it is to be told now.
    fn leader_to_tell(&mut self, own: &Heartbeat, now: Timestamp) -> Option<SocketAddrV4> {
        let leader = self.placement(now)?.0.leader;
        let interval = LEADER_INTERVAL * u32::try_from(self.members().len()).unwrap_or(u32::MAX);
        let is_due = self.hub.leader_told.is_none_or(|told| now.since(told) >= interval);
        if leader == self.own || (!is_due && own.awaited_models.is_empty()) {
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
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        let has_audience = self.hub.has_audience(now);
        if !has_audience && (!hubs.is_own || self.is_small_fleet()) {
            return;
        }
        self.hub.sequence += 1;
        // Whoever tells of its zone is told in turn, also where only itself knows that it
        // has become a hub.
        let telling = self.zones.values().flat_map(|told| {
            let mut telling: Vec<SocketAddrV4> = told.alive_hubs(now).collect();
            telling.sort_unstable_by_key(|hub| Rank::of(*hub));
            telling.truncate(MOST_HUBS);
            telling
        });
        let others: BTreeSet<SocketAddrV4> =
            hubs.near.into_iter().chain(hubs.far).chain(telling).collect();
        let others: Vec<SocketAddrV4> = others.into_iter().collect();
        let informed = self.hub.informed_now(self.members.len(), now);
        let uninformed = self.hub.introduced_now(now);
        let introduction = Heartbeat { known_peers: others.clone(), ..own.clone() };
        push(outgoing, Message::Heartbeat(introduction), uninformed);
        let whole = self.brief_digest(own, now);
        let for_hubs = self.hub.for_hubs(whole.clone(), now);
        // The load of others is told when this node's own is.
        let zone = match own.loads.is_some() {
            true => self.zone_digest(own, &for_hubs, now),
            false => for_hubs,
        };
        push(outgoing, Message::ZoneDigest(zone), others);
        if has_audience {
            let brief = self.hub.for_nodes(whole.clone(), now);
            self.tell_audiences(own, &informed, &whole, &brief, now, outgoing);
        }
    }

    /// Tells those that asked of the fleet: all of them its load and the leader's word,
    /// each what it lacks of the list of nodes. Told whole each time, the list filled
    /// the links of hubs at 300 nodes, and digests were lost.
    fn tell_audiences(
        &mut self,
        own: &Heartbeat,
        informed: &[SocketAddrV4],
        whole: &Digest,
        brief: &Digest,
        now: Timestamp,
        outgoing: &mut Vec<OutgoingMessage>,
    ) {
        if self.hub.roster_may_be_set(now) {
            let zones = self.fleet_zones(own, now);
            self.hub.roster.set(&zones);
            self.hub.roster_set = Some(now);
        }
        let audiences = self.hub.audiences(informed, own.incarnation, now);
        let has_newcomers = audiences.keys().any(|audience| audience.is_new);
        let loads = (own.loads.is_some() || has_newcomers).then(|| self.fleet_loads(own, now));
        for (audience, targets) in audiences {
            let mut digest = if audience.is_new { whole.clone() } else { brief.clone() };
            let tells_loads = audience.is_new || own.loads.is_some();
            digest.loads = loads.clone().filter(|_| audience.wants_loads && tells_loads);
            digest.roster = match audience.lacks {
                ListPart::Nothing => None,
                ListPart::Since(version) => self.hub.roster.update_since(Some(version)),
                ListPart::Whole => self.hub.roster.update_since(None),
            };
            push(outgoing, Message::FleetDigest(digest), targets);
        }
    }
}

/// The hubs of all zones, without this node.
#[derive(Default)]
struct Hubs {
    /// Those of this node's zone.
    near: Vec<SocketAddrV4>,
    /// Those of this node's zone that give it no digests.
    passed_over: Vec<SocketAddrV4>,
    /// Those of the other zones.
    far: Vec<SocketAddrV4>,
    /// Whether this node is one.
    is_own: bool,
}

/// How many hubs a zone of so many nodes has.
fn hubs_of(nodes: usize) -> usize {
    nodes.div_ceil(NODES_OF_HUB).clamp(FEWEST_HUBS, MOST_HUBS)
}

fn push(outgoing: &mut Vec<OutgoingMessage>, message: Message, targets: Vec<SocketAddrV4>) {
    if !targets.is_empty() {
        outgoing.push(OutgoingMessage { message, targets });
    }
}
