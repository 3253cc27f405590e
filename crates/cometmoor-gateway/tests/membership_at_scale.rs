//! Membership in simulated fleets of up to 300 nodes, on links of limited capacity: nodes keep
//! complete member lists even while hubs die.

mod world;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use cometmoor_gateway::membership::{CapacityClass, Member, Rank};

use world::{Link, STEP_MILLIS, World, zone_of};

/// A link of 20 Mbit/s with the queue of a port of a small switch.
const LINK: Link = Link { bytes_per_step: 125_000, queue_bytes: 128 * 1024 };
const ZONES: usize = 5;
/// Steps between two heartbeats in a fleet of up to 400 nodes.
const HEARTBEAT_STEPS: u64 = 4;
/// Number of servers whose load nodes report to each other.
const SERVERS: u32 = 240;
/// Time after which nodes that start together know each other, in milliseconds.
const CONVERGENCE_MILLIS: u64 = 5_000;
/// Maximum number of hubs of a zone.
const MAX_HUBS_PER_ZONE: usize = 6;
/// Number of nodes of a zone for each hub.
const NODES_PER_HUB: usize = 32;

fn fleet(nodes: usize, seed: u64) -> World {
    let mut world = World::new(seed);
    world.zones = ZONES;
    world.servers = SERVERS;
    world.link = Some(LINK);
    world.large_fleet_heartbeat_steps = HEARTBEAT_STEPS;
    world.start(0..nodes);
    world
}

/// Nodes whose member list lacks more than one in a hundred of the others. One missing node is
/// always allowed, because a few of its heartbeats in a row may have been lost.
fn incomplete(world: &World) -> Vec<String> {
    let alive: BTreeSet<SocketAddrV4> = world.nodes.keys().copied().collect();
    let allowed = (alive.len() / 100).max(1);
    let incomplete = world.nodes.iter().filter_map(|(own, node)| {
        let known: BTreeSet<SocketAddrV4> =
            node.membership.members().iter().map(Member::address).collect();
        let missing = alive.iter().filter(|node| *node != own && !known.contains(node)).count();
        let at = world.now;
        (missing > allowed).then(|| format!("{own} misses {missing} after {at} ms"))
    });
    incomplete.collect()
}

/// Runs for a time until any member list is incomplete, and returns up to four of those nodes.
fn first_incomplete(world: &mut World, millis: u64) -> Vec<String> {
    let end = world.now + millis;
    while world.now < end {
        world.step();
        let incomplete = incomplete(world);
        if !incomplete.is_empty() {
            return incomplete.into_iter().take(4).collect();
        }
    }
    Vec::new()
}

/// The hubs of a zone, in the order of their ranks.
fn hubs_of(world: &World, zone: usize) -> Vec<SocketAddrV4> {
    let mut nodes: Vec<SocketAddrV4> =
        world.nodes.keys().copied().filter(|node| zone_of(*node) == zone).collect();
    nodes.sort_unstable_by_key(|node| Rank::new(CapacityClass::default(), *node));
    nodes.truncate(nodes.len().div_ceil(NODES_PER_HUB).clamp(2, MAX_HUBS_PER_ZONE));
    nodes
}

/// Guards against digests that saturate links. A hub's full digests of the fleet, sent to its
/// thirty nodes at once, overflowed its 20 Mbit/s link, so that nodes heard nothing for longer
/// than they rely on an unresponsive hub. On a day with little load, each of 295 nodes lost
/// nearly all others every three seconds (the loss of a node was logged 5,144 times in 34 s), and
/// nodes then read the store themselves.
#[test]
fn member_lists_stay_complete_without_failures() {
    for (nodes, seed) in [(30, 1), (100, 2), (300, 3)] {
        let mut world = fleet(nodes, seed);
        world.run(CONVERGENCE_MILLIS / 1000);
        let incomplete = first_incomplete(&mut world, 12_000);
        assert_eq!(incomplete, Vec::<String>::new(), "{nodes} nodes");
    }
}

/// Guards against an empty member list after the death of a hub. Its nodes knew no other node
/// for about a second, until another hub answered, and read the store in the meantime.
#[test]
fn member_lists_stay_complete_when_a_hub_dies() {
    for seed in 1..=4 {
        let mut world = fleet(100, seed);
        world.run(CONVERGENCE_MILLIS / 1000 + 1);
        for zone in 0..ZONES {
            let hub = hubs_of(&world, zone)[usize::from(seed % 2 == 0)];
            world.nodes.remove(&hub);
            let incomplete = first_incomplete(&mut world, 4_000);
            assert_eq!(
                incomplete,
                Vec::<String>::new(),
                "seed {seed}: the hub of zone {zone} died"
            );
        }
    }
}

/// Half of the hubs of each zone die at once, or all hubs of one zone. The nodes of that zone
/// then request digests from a hub of another zone for a time, which considered them dead when
/// they stopped.
#[test]
fn member_lists_stay_complete_when_many_hubs_die_at_once() {
    for (zones, share) in [(0..ZONES, 2), (1..2, 1)] {
        let mut world = fleet(300, 7);
        world.run(CONVERGENCE_MILLIS / 1000 + 1);
        for zone in zones.clone() {
            let hubs = hubs_of(&world, zone);
            let dying = hubs.iter().take(hubs.len() / share);
            dying.for_each(|hub| drop(world.nodes.remove(hub)));
        }
        let incomplete = first_incomplete(&mut world, 8_000);
        assert_eq!(incomplete, Vec::<String>::new(), "one in {share} hubs of the zones {zones:?}");
        assert_eq!(world.unconverged_after(6), Vec::<String>::new(), "dead nodes are dropped");
    }
}

/// If all hubs of three of five zones die at once, their successors have to discover each other
/// first.
#[test]
fn member_lists_recover_when_three_zones_lose_all_hubs_at_once() {
    let mut world = fleet(300, 7);
    world.run(CONVERGENCE_MILLIS / 1000 + 1);
    for zone in [0, 2, 4] {
        hubs_of(&world, zone).iter().for_each(|hub| drop(world.nodes.remove(hub)));
    }
    assert_eq!(world.unconverged_after(7), Vec::<String>::new());
}

/// The control traffic that nodes send has a budget, which is higher for hubs.
#[test]
fn control_traffic_stays_within_its_budget() {
    const SECONDS: usize = 10;
    /// Bytes per second that the median node may send.
    const NODE_BUDGET: usize = 21 * 1024;
    /// The same for the busiest hub: a fifth of its link's capacity.
    const HUB_BUDGET: usize = LINK.bytes_per_step * 1000 / STEP_MILLIS as usize / 5;
    let mut world = fleet(300, 5);
    world.run(CONVERGENCE_MILLIS / 1000 + 3);
    world.nodes.values_mut().for_each(|node| node.sent = 0);
    world.run(SECONDS as u64);
    let mut sent: Vec<usize> = world.nodes.values().map(|node| node.sent / SECONDS).collect();
    sent.sort_unstable();
    let (median, highest) = (sent[sent.len() / 2], sent[sent.len() - 1]);
    assert!(median <= NODE_BUDGET, "{median} bytes/s at the median node");
    assert!(highest <= HUB_BUDGET, "{highest} bytes/s at the busiest hub");
}

/// Guards against digests between hubs whose number grows with the square of the fleet: 30 hubs of
/// 1,000 nodes sent 870 in each interval. Nodes keep their complete lists with two of the hubs of
/// each other zone as sources, also when half of the hubs of each zone die at once.
#[test]
fn zones_with_many_hubs_send_each_other_few_digests() {
    const NODES: usize = 260;
    const MANY_HUB_ZONES: usize = 2;
    /// Digests to each hub, in an interval: from the other hubs of its zone, and from two of the
    /// other zone.
    const DIGESTS_TO_EACH_HUB: usize = 4 + 2;
    let mut world = World::new(9);
    world.zones = MANY_HUB_ZONES;
    world.servers = SERVERS;
    world.link = Some(LINK);
    world.large_fleet_heartbeat_steps = HEARTBEAT_STEPS;
    world.start(0..NODES);
    world.run(CONVERGENCE_MILLIS / 1000 + 4);
    let hubs: Vec<SocketAddrV4> =
        (0..MANY_HUB_ZONES).flat_map(|zone| hubs_of(&world, zone)).collect();
    assert_eq!(hubs.len(), 5 * MANY_HUB_ZONES);
    world.zone_digests_sent = 0;
    world.run(4);
    let intervals = 4_000 / STEP_MILLIS / HEARTBEAT_STEPS;
    let allowed = (DIGESTS_TO_EACH_HUB * hubs.len()) as u64 * intervals;
    let sent = world.zone_digests_sent;
    assert!(sent <= allowed, "{sent} digests between hubs, {allowed} allowed");
    for zone in 0..MANY_HUB_ZONES {
        hubs_of(&world, zone).iter().take(2).for_each(|hub| drop(world.nodes.remove(hub)));
    }
    let incomplete = first_incomplete(&mut world, 8_000);
    assert_eq!(incomplete, Vec::<String>::new(), "two hubs of each zone died");
    assert_eq!(world.unconverged_after(6), Vec::<String>::new(), "dead nodes are dropped");
}
