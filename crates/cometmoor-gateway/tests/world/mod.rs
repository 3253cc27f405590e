//! A fleet of nodes in virtual time, whose datagrams may be lost or find a link full.

#![allow(dead_code, reason = "each test file uses its part of the world")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use cometmoor_core::gateway::quarantine::Quarantine;
use cometmoor_core::gateway::signals::SignalTable;
use cometmoor_core::time::{BootInstant, Timestamp};
use cometmoor_gateway::load::{PendingPrefill, ServerLoad};
use cometmoor_gateway::membership::{
    CopyVersions, Heartbeat, Member, Membership, Message, PeerChange, PeerPhase, Placement,
};

/// Time for which machines run when the world begins.
const BOOTED_BEFORE: Duration = Duration::from_secs(1000);
/// Time between two turns of the world, in milliseconds.
pub const STEP_MILLIS: u64 = 50;
/// Turns between two heartbeats of a node; in the largest fleets, whose pauses are long.
const TURNS_OF_SMALL_FLEET: u64 = 4;
const TURNS_OF_LARGE_FLEET: u64 = 8;
/// Turns between two ticks of a node.
const TURNS_OF_TICK: u64 = 5;
/// Zones of a small world.
const ZONES: usize = 3;
/// Of a thousand datagrams, how many are lost.
const LOST: u64 = 50;
/// Most servers that a node puts load on.
const LOADED: u32 = 5;
/// The one server that all nodes put load on.
pub const SHARED_SERVER: u32 = 7;

/// A node.
pub struct Node {
    pub membership: Membership,
    /// What it knows of requests that end servers.
    pub quarantine: Quarantine,
    /// What it knows of servers by what they report of themselves.
    pub signals: SignalTable,
    sequence: u64,
    incarnation: u64,
    load: u32,
    /// Datagrams that it got.
    pub received: u64,
    /// Bytes that wait at its link.
    backlog: usize,
    /// Bytes that it has sent.
    pub sent: usize,
}

impl Node {
    /// A node that has come lacks what was reported before.
    fn note_change(&mut self, change: PeerChange) {
        if change != PeerChange::None {
            self.quarantine.report_again();
            self.signals.report_again();
        }
    }
}

/// What a node's link carries.
#[derive(Clone, Copy)]
pub struct Link {
    /// Bytes in a turn.
    pub bytes_per_step: usize,
    /// Bytes that wait at most; what comes beyond is lost.
    pub queue_bytes: usize,
}

/// The fleet.
pub struct World {
    /// Milliseconds since it began.
    pub now: u64,
    pub nodes: BTreeMap<SocketAddrV4, Node>,
    pub leader: Option<SocketAddrV4>,
    /// Zones over which the nodes are spread.
    pub zones: usize,
    /// Servers in the fleet; each node puts load on a few of them.
    pub servers: u32,
    /// Turns between two heartbeats of a node in a large fleet.
    pub large_fleet_heartbeat_steps: u64,
    /// The nodes' links; without, all is carried.
    pub link: Option<Link>,
    /// Whether every second heartbeat leaves the load out, as early ones do.
    pub omits_alternate_loads: bool,
    pub placement_sequence: u64,
    /// Zone whose nodes are cut off from all others.
    pub isolated_zone: Option<usize>,
    random: u64,
}

/// Address of a node of a world of three zones.
pub fn address(index: usize) -> SocketAddrV4 {
    address_in(index, ZONES)
}

fn address_in(index: usize, zones: usize) -> SocketAddrV4 {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, (index % zones) as u8, high, low), 7000)
}

/// A point of the world's time on the machines' clock.
pub fn since_boot(now: Timestamp) -> BootInstant {
    BootInstant::after_boot(BOOTED_BEFORE + Duration::from_millis(now.0))
}

/// Zone of a node.
pub fn zone_of(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[1])
}

impl World {
    pub fn new(seed: u64) -> World {
        let nodes = BTreeMap::new();
        World {
            now: 0,
            nodes,
            leader: None,
            zones: ZONES,
            servers: 1,
            large_fleet_heartbeat_steps: TURNS_OF_LARGE_FLEET,
            link: None,
            omits_alternate_loads: false,
            placement_sequence: 1,
            isolated_zone: None,
            random: seed | 1,
        }
    }

    /// Starts nodes that know a few of the others, by their seeds or the store.
    pub fn start(&mut self, indexes: std::ops::Range<usize>) {
        let mut contacts: Vec<SocketAddrV4> = self.nodes.keys().copied().take(ZONES).collect();
        contacts.extend((0..ZONES).map(|index| address_in(index, self.zones)));
        for index in indexes {
            let own = address_in(index, self.zones);
            let mut membership = Membership::new(own, &format!("zone-{}", zone_of(own)));
            let now = Timestamp(self.now);
            contacts.iter().for_each(|contact| membership.add_contact(*contact, now));
            let node = Node {
                membership,
                quarantine: Quarantine::default(),
                signals: SignalTable::default(),
                sequence: 0,
                incarnation: self.now + 1,
                load: 1,
                received: 0,
                backlog: 0,
                sent: 0,
            };
            self.nodes.insert(own, node);
        }
    }

    /// Next number below a bound, by SplitMix64.
    pub fn random_below(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn heartbeat(&mut self, own: SocketAddrV4) -> Heartbeat {
        let now = Timestamp(self.now);
        let (leads, servers) = (self.leader == Some(own), self.servers);
        let node = self.nodes.get_mut(&own).unwrap();
        node.sequence += 1;
        let tells_load = !self.omits_alternate_loads || node.sequence.is_multiple_of(2);
        let load = ServerLoad { in_flight: node.load, pending: PendingPrefill::default() };
        let first = u32::from(u16::from_be_bytes([own.ip().octets()[2], own.ip().octets()[3]]));
        let loaded =
            (0..servers.min(LOADED)).map(|place| SHARED_SERVER + (first + place) % servers);
        let loads = loaded.map(|server| (server, load)).collect();
        Heartbeat {
            node: own.to_string(),
            incarnation: node.incarnation,
            sequence: node.sequence,
            zone: format!("zone-{}", zone_of(own)),
            client_address: own,
            peer_address: own,
            phase: PeerPhase::Ready,
            versions: CopyVersions::default(),
            reads_store: node.membership.is_reader(3),
            store_fails: false,
            loads: tells_load.then_some(loads),
            demand: Vec::new(),
            awaited_models: Vec::new(),
            suspects: node.quarantine.next_reports(now),
            signals: node.signals.next_reports(since_boot(now)),
            placement: leads.then(|| Placement {
                token: 5,
                sequence: self.placement_sequence,
                leader: own,
                added: vec![(SHARED_SERVER, self.placement_sequence as u32)],
                withdrawn: Vec::new(),
            }),
            member_count: node.membership.member_count(),
            known_peers: node.membership.known_peers(node.sequence),
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MILLIS;
        if let Some(link) = self.link {
            let nodes = self.nodes.values_mut();
            nodes.for_each(|node| node.backlog = node.backlog.saturating_sub(link.bytes_per_step));
        }
        let turn = self.now / STEP_MILLIS;
        let now = Timestamp(self.now);
        let addresses: Vec<SocketAddrV4> = self.nodes.keys().copied().collect();
        for (index, own) in addresses.into_iter().enumerate() {
            let membership = &mut self.nodes.get_mut(&own).unwrap().membership;
            if (turn + index as u64).is_multiple_of(TURNS_OF_TICK) {
                membership.tick(now);
            }
            let turns = if membership.is_small_fleet() {
                TURNS_OF_SMALL_FLEET
            } else {
                self.large_fleet_heartbeat_steps
            };
            if (turn + index as u64).is_multiple_of(turns) {
                self.send(own, now);
            }
        }
    }

    fn send(&mut self, own: SocketAddrV4, now: Timestamp) {
        let heartbeat = self.heartbeat(own);
        let membership = &mut self.nodes.get_mut(&own).unwrap().membership;
        let outgoing = membership.outgoing(&heartbeat, now);
        for outgoing in outgoing {
            let bytes = outgoing.message.encode();
            for target in outgoing.targets {
                assert_ne!(target, own, "a node tells itself");
                if self.takes_link(own, bytes.len()) && self.random_below(1000) >= LOST {
                    self.deliver(own, target, &bytes, now);
                }
            }
        }
    }

    /// Whether a node's link has room for a datagram; takes it then.
    fn takes_link(&mut self, own: SocketAddrV4, length: usize) -> bool {
        let node = self.nodes.get_mut(&own).unwrap();
        node.sent += length;
        let Some(link) = self.link else { return true };
        let has_room = node.backlog + length <= link.queue_bytes;
        if has_room {
            node.backlog += length;
        }
        has_room
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, bytes: &[u8], now: Timestamp) {
        let is_cut = |zone: usize| (zone_of(from) == zone) != (zone_of(to) == zone);
        if self.isolated_zone.is_some_and(is_cut) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.received += 1;
        match Message::decode(bytes).unwrap() {
            Message::Heartbeat(heartbeat) => {
                node.quarantine.merge(&heartbeat.suspects, now);
                node.signals.merge(&heartbeat.signals, since_boot(now));
                let change = node.membership.receive_heartbeat(heartbeat, now);
                node.note_change(change);
            }
            Message::HeartbeatToHub(heartbeat, question) => {
                node.quarantine.merge(&heartbeat.suspects, now);
                node.signals.merge(&heartbeat.signals, since_boot(now));
                let change = node.membership.receive_digest_request(heartbeat, question, now);
                node.note_change(change);
            }
            Message::ZoneDigest(digest) => {
                node.quarantine.merge(&digest.suspects, now);
                node.signals.merge(&digest.signals, since_boot(now));
                node.membership.receive_zone_digest(digest, now);
            }
            Message::FleetDigest(digest) => {
                node.quarantine.merge(&digest.suspects, now);
                node.signals.merge(&digest.signals, since_boot(now));
                node.membership.receive_fleet_digest(digest, now);
            }
            // Proofs are no part of membership.
            Message::ProofRequest(_) | Message::ProofAnswer(_) => {}
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1000 / STEP_MILLIS {
            self.step();
        }
    }

    /// Runs until all nodes know just the others, and tells who does not within
    /// the time. A node of which three heartbeats in a row were lost is taken for
    /// gone for a moment, so that it need not hold at a certain one.
    pub fn unconverged_after(&mut self, seconds: u64) -> Vec<String> {
        let end = self.now + seconds * 1000;
        loop {
            let misinformed = self.unconverged();
            if misinformed.is_empty() || self.now >= end {
                return misinformed;
            }
            self.step();
        }
    }

    /// Nodes that do not know just the others that are there.
    fn unconverged(&self) -> Vec<String> {
        let all: BTreeSet<SocketAddrV4> = self.nodes.keys().copied().collect();
        let told = self.nodes.iter().filter_map(|(own, node)| {
            let known: BTreeSet<SocketAddrV4> =
                node.membership.members().iter().map(Member::address).collect();
            let mut others = all.clone();
            others.remove(own);
            let missing: Vec<&SocketAddrV4> = others.difference(&known).collect();
            let extra: Vec<&SocketAddrV4> = known.difference(&others).collect();
            (known != others).then(|| format!("{own}: {missing:?} missing, {extra:?} extra"))
        });
        told.collect()
    }
}
