//! What a single node of a fleet of up to 2,000 nodes sends.

use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use cometmoor_core::time::{BootInstant, Timestamp};
use cometmoor_gateway::load::{LoadBoard, ModelKey, RequestDemand};
use cometmoor_gateway::membership::{
    CapacityClass, CopyVersions, Digest, Heartbeat, MemberEntry, Membership, Message,
    OutgoingMessage, PeerPhase, Placement, Rank, RelayedPlacement, RosterUpdate, ZoneMembers,
};

/// Time between two heartbeats of a node of a fleet of more than 840 nodes, in milliseconds.
const HEARTBEAT_MILLIS: u64 = 420;
/// Time for which requests arrive, in milliseconds.
const TRAFFIC_MILLIS: u64 = 60_000;
/// Time between two requests at a node, in milliseconds.
const REQUEST_MILLIS: u64 = 1_300;
/// Number of models for which requests arrive.
const MODELS: u64 = 60;
/// Number of hubs of a zone of more than 160 nodes.
const HUBS_PER_ZONE: usize = 6;
/// One in so many heartbeats is lost.
const LOST_ONE_IN: u64 = 20;
const ZONES: usize = 5;

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, (index % ZONES) as u8, high, low), 7000)
}

fn zone(index: usize) -> String {
    format!("zone-{}", index % ZONES)
}

/// A hub's digest that lists all nodes of a fleet, on machines of unknown capacity, and names its
/// leader.
fn digest(nodes: usize, leader: SocketAddrV4, sequence: u64) -> Digest {
    digest_of_machines(nodes, leader, sequence, |_| CapacityClass::default())
}

fn digest_of_machines(
    nodes: usize,
    leader: SocketAddrV4,
    sequence: u64,
    capacity: impl Fn(usize) -> CapacityClass,
) -> Digest {
    let entry = |index: usize| MemberEntry {
        peer_address: address(index),
        client_address: address(index),
        phase: PeerPhase::Ready,
        reads_store: false,
        store_fails: false,
        capacity: capacity(index),
    };
    let members = |of_zone: usize| (of_zone..nodes).step_by(ZONES).map(entry).collect();
    let zones = (0..ZONES).map(|index| ZoneMembers { zone: zone(index), members: members(index) });
    let placement =
        Placement { token: 1, sequence: 1, leader, added: Vec::new(), withdrawn: Vec::new() };
    Digest {
        hub: address(0),
        zone: zone(0),
        incarnation: 1,
        sequence,
        versions: CopyVersions::default(),
        zones: None,
        roster: Some(RosterUpdate {
            version: 1,
            base_version: None,
            updated: zones.collect(),
            removed: Vec::new(),
        }),
        loads: None,
        placement: Some(RelayedPlacement {
            leader,
            version: placement.version(),
            age_millis: 0,
            placement: Some(placement),
        }),
        suspects: Vec::new(),
        signals: Vec::new(),
    }
}

fn heartbeat(
    sequence: u64,
    membership: &Membership,
    loads: &LoadBoard,
    now: BootInstant,
) -> Heartbeat {
    // Every third heartbeat is sent early and reports neither load nor demand.
    let reports_loads = !sequence.is_multiple_of(3);
    let period = membership.demand_report_period();
    Heartbeat {
        node: "node-1".to_owned(),
        incarnation: 1,
        sequence,
        zone: zone(1),
        client_address: address(1),
        peer_address: address(1),
        phase: PeerPhase::Ready,
        versions: CopyVersions::default(),
        reads_store: false,
        store_fails: false,
        capacity: CapacityClass::default(),
        loads: reports_loads.then(Vec::new),
        demand: if reports_loads { loads.recent_demand(now, period) } else { Vec::new() },
        awaited_models: Vec::new(),
        suspects: Vec::new(),
        signals: Vec::new(),
        placement: None,
        member_count: membership.member_count(),
        known_peers: Vec::new(),
    }
}

/// Heartbeats to the leader of 984 nodes are 4.9 s apart and reported only the demand that had
/// changed within 1.2 s before.
#[test]
fn the_leader_of_a_large_fleet_learns_of_every_request() {
    for nodes in [30, 300, 1_000, 2_000] {
        let leader = address(nodes - 1);
        let mut membership = Membership::new(address(1), &zone(1), CapacityClass::default());
        let loads = LoadBoard::default();
        let request = RequestDemand { prefill: Duration::from_millis(90), ..Default::default() };
        let (mut known, mut sent_to_leader) = (HashMap::<ModelKey, u64>::new(), 0);
        let mut requests = 0;
        for sequence in 1.. {
            let millis = sequence * HEARTBEAT_MILLIS;
            let (now, at) =
                (Timestamp(millis), BootInstant::after_boot(Duration::from_millis(millis)));
            while requests < millis.min(TRAFFIC_MILLIS) / REQUEST_MILLIS {
                requests += 1;
                loads.record_demand((requests * 7 % MODELS) as ModelKey, request, at);
            }
            membership.receive_fleet_digest(digest(nodes, leader, sequence), now);
            membership.tick(now);
            let own = heartbeat(sequence, &membership, &loads, at);
            let reaches_leader = |outgoing: &OutgoingMessage| outgoing.targets.contains(&leader);
            if membership.outgoing(&own, now).iter().any(reaches_leader) {
                sent_to_leader += 1;
                if sent_to_leader % LOST_ONE_IN != 0 {
                    known.extend(own.demand.iter().map(|(key, demand)| (*key, demand.requests)));
                }
            }
            if millis > 2 * TRAFFIC_MILLIS {
                break;
            }
        }
        let counted: u64 = known.values().sum();
        assert_eq!(counted, requests, "{nodes} nodes");
        let limit = 2 * TRAFFIC_MILLIS / HEARTBEAT_MILLIS.max(5 * nodes as u64) + 1;
        assert!(
            sent_to_leader <= limit,
            "{nodes} nodes: {sent_to_leader} heartbeats to the leader"
        );
    }
}

/// A hub of the second zone that knows all nodes of a fleet.
fn hub_of(nodes: usize, now: Timestamp) -> (SocketAddrV4, Membership) {
    let unknown = CapacityClass::default();
    let hub = hubs_of(nodes, 1)[0];
    let mut membership = Membership::new(hub, &zone(1), unknown);
    membership.receive_fleet_digest(digest(nodes, address(nodes - 1), 1), now);
    membership.tick(now);
    (hub, membership)
}

/// The hubs of a zone of a fleet in which all machines are equal.
fn hubs_of(nodes: usize, zone: usize) -> Vec<SocketAddrV4> {
    let mut hubs: Vec<SocketAddrV4> = (zone..nodes).step_by(ZONES).map(address).collect();
    hubs.sort_unstable_by_key(|node| Rank::new(CapacityClass::default(), *node));
    hubs.truncate(HUBS_PER_ZONE);
    hubs
}

fn heartbeat_of(node: SocketAddrV4, of_zone: usize, membership: &Membership) -> Heartbeat {
    let at = BootInstant::after_boot(Duration::ZERO);
    let own = heartbeat(1, membership, &LoadBoard::default(), at);
    Heartbeat { peer_address: node, client_address: node, zone: zone(of_zone), ..own }
}

/// Each hub sent its digests to all hubs of all zones.
#[test]
fn a_hub_sends_its_digests_to_a_third_of_the_hubs_of_zones_with_six() {
    /// Other hubs of the hub's own zone, and two of each other zone.
    const RECIPIENTS: usize = 5 + 2 * (ZONES - 1);
    for nodes in [1_000, 2_000] {
        let now = Timestamp(HEARTBEAT_MILLIS);
        let (hub, mut membership) = hub_of(nodes, now);
        let own = heartbeat_of(hub, 1, &membership);
        let outgoing = membership.outgoing(&own, now);
        let digests = outgoing.iter().filter(|sent| matches!(sent.message, Message::ZoneDigest(_)));
        let recipients: usize = digests.map(|sent| sent.targets.len()).sum();
        assert_eq!(recipients, RECIPIENTS, "{nodes} nodes");
    }
}

/// A node that starts received the sorted addresses of all hubs and kept sixteen of them: with 30
/// hubs, nodes of the last zones learned of none of their own, and a fleet of 1,000 nodes that
/// starts at once took ten seconds to get to know itself.
#[test]
fn a_node_that_starts_learns_of_the_hubs_of_its_own_zone() {
    for nodes in [300, 1_000, 2_000] {
        let now = Timestamp(HEARTBEAT_MILLIS);
        let (hub, mut membership) = hub_of(nodes, now);
        for joining_zone in 0..ZONES {
            let joining = address(nodes + joining_zone);
            let mut joiner =
                Membership::new(joining, &zone(joining_zone), CapacityClass::default());
            let first = heartbeat_of(joining, joining_zone, &joiner);
            membership.receive_heartbeat(first, now);
            let own = heartbeat_of(hub, 1, &membership);
            for sent in membership.outgoing(&own, now) {
                if let (Message::Heartbeat(introduction), true) =
                    (sent.message, sent.targets.contains(&joining))
                {
                    joiner.receive_heartbeat(introduction, now);
                }
            }
            let mut contacted = BTreeSet::from([hub]);
            for sequence in 1..=2 {
                let own = Heartbeat { sequence, ..heartbeat_of(joining, joining_zone, &joiner) };
                let outgoing = joiner.outgoing(&own, now);
                contacted.extend(outgoing.into_iter().flat_map(|sent| sent.targets));
            }
            // The node may itself be one of the hubs of its zone.
            contacted.insert(joining);
            let hubs = hubs_of(nodes + ZONES, joining_zone);
            let count = if nodes == 300 { 2 } else { HUBS_PER_ZONE };
            let missed = hubs[..count].iter().filter(|hub| !contacted.contains(hub)).count();
            assert_eq!(missed, 0, "{nodes} nodes: hubs of zone {joining_zone} are not contacted");
        }
    }
}

/// Of 1,000 nodes, of which 50 are on large machines, nearly all hubs and readers were on small ones.
#[test]
fn a_node_on_a_small_machine_uses_hubs_on_large_ones_and_reads_no_store() {
    const LARGE_NODES: usize = 10 * ZONES;
    const READERS: usize = 4;
    let capacity = |index: usize| match index < LARGE_NODES {
        true => CapacityClass::of(Some(0.5), Some(200.0)),
        false => CapacityClass::of(Some(0.12), Some(20.0)),
    };
    let large: BTreeSet<SocketAddrV4> = (0..LARGE_NODES).map(address).collect();
    for nodes in [1_000, 2_000] {
        let now = Timestamp(HEARTBEAT_MILLIS);
        let node = address(nodes - ZONES + 1);
        let mut membership = Membership::new(node, &zone(1), capacity(nodes - ZONES + 1));
        let digest = digest_of_machines(nodes, address(0), 1, capacity);
        membership.receive_fleet_digest(digest, now);
        membership.tick(now);
        assert!(!membership.is_reader(READERS), "{nodes} nodes");
        let own = heartbeat_of(node, 1, &membership);
        let outgoing = membership.outgoing(&own, now);
        let requests =
            outgoing.iter().filter(|sent| matches!(sent.message, Message::HeartbeatToHub(..)));
        let hubs: BTreeSet<SocketAddrV4> =
            requests.flat_map(|sent| sent.targets.iter().copied()).collect();
        assert_eq!(hubs.len(), 2, "{nodes} nodes");
        assert!(hubs.is_subset(&large), "{nodes} nodes: hubs {hubs:?}");
    }
}
