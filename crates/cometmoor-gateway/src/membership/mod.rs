//! Membership of the fleet, failure detection and the messages between nodes.
//!
//! In a small fleet every node sends its heartbeat to every other one. In a large fleet a node
//! sends it to the leader and to the hubs of its zone, which are the first nodes of the zone in
//! an order on which all nodes agree; those on machines with the most capacity come first. Hubs
//! exchange digests of their zones, and send digests of the fleet to the nodes of their own zone.
//! A node sends digests to every node that requests them, so that nodes do not have to agree on
//! which nodes are hubs. This module does no I/O.

mod capacity;
mod digests;
mod hub_state;
mod hubs;
mod leader_announcement;
mod load_notices;
mod message;
mod packed;
mod peers;
mod received_digests;
mod roster;
mod speed_reports;
mod upstream_hubs;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::gateway::server_speed::ReportRole;
use cometmoor_core::time::Timestamp;

pub use self::capacity::CapacityClass;
pub use self::hubs::{OutgoingMessage, to_all_recipients};
use self::leader_announcement::LeaderAnnouncement;
pub use self::load_notices::{LoadNotice, LoadNotices, WaitReport};
pub use self::message::{
    CopyAge, CopyVersions, Digest, DigestRequest, Heartbeat, MemberEntry, Message, PeerPhase,
    Placement, PlacementVersion, ProofAnswer, ProofRequest, RelayedPlacement, RosterUpdate,
    RosterVersion, ZoneMembers,
};
use self::peers::{DirectPeers, SUSPECT_AFTER};
pub use self::peers::{Member, PeerChange, Rank};
use self::received_digests::{ReceivedDigest, ReceivedDigests};
pub use self::speed_reports::speed_messages;
use crate::load::{ModelKey, ServerKey, ServerLoad};

/// Number of other nodes from which on a fleet is large, and nodes use hubs.
const LARGE_FLEET_PEERS: usize = 16;
/// Number of other nodes below which a large fleet becomes small again.
const SMALL_FLEET_PEERS: usize = 12;
/// Time for which a node counts among those that share a budget after it was last seen.
const RECENT_PEER_WINDOW: Duration = Duration::from_secs(20);
/// Time for which a contact, an address at which a node may be, is tried.
const CONTACT_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of addresses of other nodes that are accepted from a heartbeat.
const MAX_KNOWN_PEERS: usize = 16;
/// Number of addresses of other nodes in a heartbeat.
const KNOWN_PEERS_PER_HEARTBEAT: usize = 3;
/// Maximum number of nodes that are asked for a proof, one after the other while none answers.
const MAX_PROOF_SOURCES: usize = 8;
/// Maximum number of nodes that try the store without an answer, for each reader.
const MAX_FAILING_PER_READER: usize = 2;

/// The other nodes of the fleet, as known to this one.
#[derive(Clone, Debug)]
pub struct Membership {
    own: SocketAddrV4,
    own_rank: Rank,
    zone: String,
    direct: DirectPeers,
    /// Digests of hubs about their own zones, by zone.
    zone_digests: BTreeMap<String, ReceivedDigests>,
    /// Digests of this node's hubs about the fleet.
    fleet_digests: ReceivedDigests,
    contacts: BTreeMap<SocketAddrV4, Timestamp>,
    /// When each node was last known to be alive.
    last_seen: HashMap<SocketAddrV4, Timestamp>,
    hub: hub_state::HubState,
    upstream: upstream_hubs::UpstreamHubs,
    announcement: LeaderAnnouncement,
    /// All other nodes that are alive, as of `refreshed`.
    members: Vec<Member>,
    is_large: bool,
    refreshed: Option<Timestamp>,
}

impl Membership {
    /// Creates the state of a node that knows no other node.
    pub fn new(own: SocketAddrV4, zone: &str, capacity: CapacityClass) -> Membership {
        Membership {
            own,
            own_rank: Rank::new(capacity, own),
            zone: zone.to_owned(),
            direct: DirectPeers::default(),
            zone_digests: BTreeMap::new(),
            fleet_digests: ReceivedDigests::default(),
            contacts: BTreeMap::new(),
            last_seen: HashMap::new(),
            hub: hub_state::HubState::default(),
            upstream: upstream_hubs::UpstreamHubs::default(),
            announcement: LeaderAnnouncement::default(),
            members: Vec::new(),
            is_large: false,
            refreshed: None,
        }
    }

    /// Handles a heartbeat. It is ignored if a later one of the node was received before.
    pub fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Timestamp) -> PeerChange {
        let address = heartbeat.peer_address;
        for known in heartbeat.known_peers.iter().take(MAX_KNOWN_PEERS) {
            self.add_contact(*known, now);
        }
        if self.is_large && self.is_uninformed(&heartbeat) {
            self.hub.note_uninformed(address, now);
        }
        self.last_seen.insert(address, now);
        if self.direct.is_newer(&heartbeat) {
            self.announcement.receive_direct(address, heartbeat.placement.as_ref(), now);
        }
        let change = self.direct.receive(heartbeat, now);
        if change != PeerChange::None {
            self.refreshed = None;
        }
        change
    }

    /// Handles a heartbeat with a request for digests.
    pub fn receive_digest_request(
        &mut self,
        heartbeat: Heartbeat,
        request: DigestRequest,
        now: Timestamp,
    ) -> PeerChange {
        self.hub.subscribe(heartbeat.peer_address, request, now);
        self.receive_heartbeat(heartbeat, now)
    }

    /// Whether a node knows less than three quarters as many nodes as this one. It may not know
    /// the hubs either.
    fn is_uninformed(&self, heartbeat: &Heartbeat) -> bool {
        usize::from(heartbeat.member_count) * 4 < self.members.len() * 3
    }

    /// Number of other nodes that are alive, for heartbeats; `u16::MAX` if there are more.
    pub fn member_count(&self) -> u16 {
        u16::try_from(self.members.len()).unwrap_or(u16::MAX)
    }

    /// Handles a hub's digest of its zone.
    pub fn receive_zone_digest(&mut self, digest: Digest, now: Timestamp) {
        self.receive_relayed_placement(&digest, now);
        self.zone_digests.entry(digest.zone.clone()).or_default().receive(digest, now);
    }

    /// Handles a hub's digest of the fleet.
    pub fn receive_fleet_digest(&mut self, digest: Digest, now: Timestamp) {
        self.receive_relayed_placement(&digest, now);
        self.upstream.note_digest(digest.hub);
        self.fleet_digests.receive(digest, now);
    }

    fn receive_relayed_placement(&mut self, digest: &Digest, now: Timestamp) {
        if let Some(relayed) = &digest.placement {
            self.announcement.receive_relayed(relayed, now);
        }
    }

    /// Adds an address at which a node may be.
    pub fn add_contact(&mut self, address: SocketAddrV4, now: Timestamp) {
        if address != self.own {
            self.contacts.entry(address).or_insert(now);
        }
    }

    /// Drops expired state and determines again which nodes are alive.
    pub fn tick(&mut self, now: Timestamp) {
        self.direct.expire(now);
        self.announcement.expire(now);
        self.contacts.retain(|_, added| now.since(*added) < CONTACT_LIFETIME);
        self.zone_digests.values_mut().for_each(|received| received.expire(now));
        self.fleet_digests.expire(now);
        self.upstream.update_unresponsive(&self.fleet_digests, now);
        self.refresh_members(now);
        self.last_seen.retain(|_, seen| now.since(*seen) <= RECENT_PEER_WINDOW);
    }

    /// Determines which nodes are alive, unless that was already done for this time.
    fn refresh_members(&mut self, now: Timestamp) {
        if self.refreshed == Some(now) {
            return;
        }
        self.refreshed = Some(now);
        let mut members: BTreeMap<SocketAddrV4, Member> = BTreeMap::new();
        let digests = self.zone_digests.values().chain([&self.fleet_digests]);
        for member in digests.flat_map(|received| received.members(now)) {
            members.insert(member.address(), member.clone());
        }
        // A node's own heartbeats take precedence over digests, and so does their absence if
        // the node sends them here.
        for (address, last_heard_at) in self.direct.last_heard_at() {
            let is_silent = now.since(last_heard_at) > SUSPECT_AFTER;
            if is_silent
                && self.hub.has_subscriber(address, now)
                && !self.is_listed_by_hubs(address, now)
            {
                members.remove(&address);
            }
        }
        for member in self.direct.members(now) {
            members.insert(member.address(), member);
        }
        members.remove(&self.own);
        for address in members.keys() {
            self.last_seen.insert(*address, now);
        }
        self.members = members.into_values().collect();
        let least = if self.is_large { SMALL_FLEET_PEERS } else { LARGE_FLEET_PEERS };
        self.is_large = self.members.len() >= least;
    }

    /// Whether a hub of a node's zone lists it. The node may send its heartbeats to that hub now.
    fn is_listed_by_hubs(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        let zone = self.direct.get(address).map(|peer| &peer.heartbeat.zone);
        let digests = zone.and_then(|zone| self.zone_digests.get(zone));
        digests.is_some_and(|received| received.is_listed(address, now))
    }

    /// The other nodes that are alive, by address.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Whether other nodes use this one as a hub.
    pub fn is_hub(&self) -> bool {
        self.hub.has_subscribers()
    }

    /// Role of this node in the exchange of the servers' speeds.
    pub fn report_role(&self) -> ReportRole {
        if self.is_hub() { ReportRole::Hub } else { ReportRole::Node }
    }

    /// Whether every node sends its heartbeat to every other one.
    pub fn is_small_fleet(&self) -> bool {
        !self.is_large
    }

    /// Number of other nodes that may be using a shared budget: those seen recently.
    pub fn recent_peer_count(&self, now: Timestamp) -> usize {
        self.last_seen.values().filter(|seen| now.since(**seen) <= RECENT_PEER_WINDOW).count()
    }

    /// Addresses of other nodes for a heartbeat. They rotate with the sequence number, so that
    /// consecutive heartbeats include all of them.
    pub fn known_peers(&self, sequence: u64) -> Vec<SocketAddrV4> {
        let count = self.members.len();
        if count == 0 {
            return Vec::new();
        }
        let first = (sequence as usize).wrapping_mul(KNOWN_PEERS_PER_HEARTBEAT) % count;
        let selected =
            (0..KNOWN_PEERS_PER_HEARTBEAT.min(count)).map(|offset| (first + offset) % count);
        selected.map(|index| self.members[index].address()).collect()
    }

    /// Whether this node is among the `readers` nodes that read the store: the first by rank
    /// among those that the store answers. If it answers none, only twice as many nodes try it,
    /// not the whole fleet.
    pub fn is_reader(&self, readers: usize) -> bool {
        let (answered, failing) = self.preceding();
        answered < readers && failing < readers * MAX_FAILING_PER_READER
    }

    /// Number of nodes with a lower rank that the store answers.
    pub fn preceding_nodes(&self) -> usize {
        self.preceding().0
    }

    /// Numbers of nodes with a lower rank: those that the store answers, and the others.
    fn preceding(&self) -> (usize, usize) {
        // An isolated node reads the store for itself, but cannot order servers as leader.
        let preceding = self
            .members
            .iter()
            .filter(|member| member.rank < self.own_rank && !member.is_isolated());
        let (failing, answered): (Vec<&Member>, Vec<&Member>) =
            preceding.partition(|member| member.entry.store_fails);
        (answered.len(), failing.len())
    }

    /// Nodes to ask for a proof of the configuration, in order of preference: in a large fleet
    /// this node's responsive hubs, then the nodes that read the store, by rank, so that the
    /// current reader comes first, then the others.
    pub fn proof_sources(&self) -> Vec<SocketAddrV4> {
        let is_hub = self.is_small_fleet() || self.is_hub();
        let hubs: Vec<SocketAddrV4> = match is_hub {
            true => Vec::new(),
            false => self.upstream.responsive().collect(),
        };
        let mut readers: Vec<&Member> =
            self.members.iter().filter(|member| member.entry.reads_store).collect();
        readers.sort_unstable_by_key(|member| member.rank);
        let others = self.members.iter().filter(|member| !member.entry.reads_store);
        let known = readers.into_iter().chain(others).map(Member::address);
        hubs.into_iter().chain(known).take(MAX_PROOF_SOURCES).collect()
    }

    /// Whether a node's latest heartbeat was sent as leader.
    pub fn leads(&self, address: SocketAddrV4) -> bool {
        self.direct.get(address).is_some_and(|peer| peer.heartbeat.placement.is_some())
    }

    /// The leader's placement and when the leader sent it; `None` if there is none that is
    /// recent enough.
    pub fn placement(&self, now: Timestamp) -> Option<(&Placement, Timestamp)> {
        self.announcement.latest(now)
    }

    /// Models and adapters for which requests at other nodes wait.
    pub fn awaited_models(&self, now: Timestamp) -> HashSet<ModelKey> {
        let peers = self.direct.alive(now);
        peers.flat_map(|peer| peer.heartbeat.awaited_models.iter().copied()).collect()
    }

    /// Load of all other nodes by server. `reported` is the load that this node last reported to
    /// its hubs; it is subtracted from a hub's sum, which includes it.
    pub fn remote_load(
        &self,
        reported: &[(ServerKey, ServerLoad)],
        now: Timestamp,
    ) -> HashMap<ServerKey, ServerLoad> {
        if let Some(digest) = self.latest_fleet_digest(now) {
            let loads = digest.loads.iter().flatten();
            let mut sum: HashMap<ServerKey, ServerLoad> = loads.copied().collect();
            for (server, load) in reported {
                if let Some(known) = sum.get_mut(server) {
                    *known = known.minus(*load);
                }
            }
            return sum;
        }
        self.summed_remote_load(now)
    }

    /// Load of all other nodes, summed from heartbeats and from the digests of other zones.
    fn summed_remote_load(&self, now: Timestamp) -> HashMap<ServerKey, ServerLoad> {
        let mut sum = self.heartbeat_load(now);
        for load in self
            .latest_zone_digests(now)
            .flat_map(|received| received.digest.loads.iter().flatten())
        {
            add(&mut sum, load);
        }
        sum
    }

    /// Load of the nodes that are counted by their own heartbeats.
    fn heartbeat_load(&self, now: Timestamp) -> HashMap<ServerKey, ServerLoad> {
        let mut sum = HashMap::new();
        let peers =
            self.direct.alive(now).filter(|peer| self.uses_heartbeats_of(&peer.heartbeat.zone));
        for load in peers.flat_map(|peer| peer.heartbeat.loads.iter().flatten()) {
            add(&mut sum, load);
        }
        sum
    }

    /// Whether nodes of a zone are counted by their own heartbeats and not by a digest.
    fn uses_heartbeats_of(&self, zone: &str) -> bool {
        zone == self.zone || self.is_small_fleet()
    }

    /// The latest digest of each other zone; none in a small fleet.
    fn latest_zone_digests(&self, now: Timestamp) -> impl Iterator<Item = &ReceivedDigest> {
        let mut latest: HashMap<&str, &ReceivedDigest> = HashMap::new();
        let alive = self.zone_digests.values().flat_map(|received| received.alive(now));
        for received in alive.filter(|received| !self.uses_heartbeats_of(&received.digest.zone)) {
            let known = latest.entry(&received.digest.zone).or_insert(received);
            if received.last_heard_at > known.last_heard_at {
                *known = received;
            }
        }
        latest.into_values()
    }

    /// The fleet digest with the latest load; `None` in a small fleet and on a hub, which
    /// receive the heartbeats themselves.
    fn latest_fleet_digest(&self, now: Timestamp) -> Option<&Digest> {
        let latest = self.fleet_digests.latest_loads(now)?;
        (!self.is_small_fleet() && !self.hub.has_active_subscribers(now)).then_some(latest)
    }
}

fn add(sum: &mut HashMap<ServerKey, ServerLoad>, load: &(ServerKey, ServerLoad)) {
    let known = sum.entry(load.0).or_default();
    *known = known.plus(load.1);
}
