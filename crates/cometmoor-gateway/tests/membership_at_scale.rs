//! Fleets of up to a thousand nodes on links like those of real ones: each node goes
//! on knowing the others, also while hubs die.

mod world;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use cometmoor_gateway::membership::{Member, Rank};

use world::{Link, STEP_MILLIS, World, zone_of};

/// A link of 20 Mbit/s, and as many bytes as the port of a small switch holds.
const LINK: Link = Link { bytes_per_step: 125_000, queue_bytes: 128 * 1024 };
const ZONES: usize = 5;
/// Turns between two heartbeats up to 400 nodes.
const TURNS_OF_HEARTBEAT: u64 = 4;
/// Servers whose load nodes tell one another.
const SERVERS: u32 = 240;
/// Time by which nodes that start together know one another, in milliseconds.
const KNOWN_AFTER: u64 = 5_000;
/// Most hubs that a zone has at any size.
const MOST_HUBS: usize = 6;
/// Nodes of a zone for each hub.
const NODES_OF_HUB: usize = 32;

fn fleet(nodes: usize, seed: u64) -> World {
    let mut world = World::new(seed);
    world.zones = ZONES;
    world.servers = SERVERS;
    world.link = Some(LINK);
    world.large_fleet_heartbeat_steps = TURNS_OF_HEARTBEAT;
    world.start(0..nodes);
    world
}

/// Nodes that miss more than one in a hundred of the others, and one other at least
/// of which a few heartbeats in a row may have been lost.
fn blind(world: &World) -> Vec<String> {
    let live: BTreeSet<SocketAddrV4> = world.nodes.keys().copied().collect();
    let allowed = (live.len() / 100).max(1);
    let told = world.nodes.iter().filter_map(|(own, node)| {
        let known: BTreeSet<SocketAddrV4> =
            node.membership.members().iter().map(Member::address).collect();
        let missing = live.iter().filter(|node| *node != own && !known.contains(node)).count();
        let at = world.now;
        (missing > allowed).then(|| format!("{own} misses {missing} after {at} ms"))
    });
    told.collect()
}

/// Runs for a while; tells the first nodes that lost sight of the others.
fn first_blind(world: &mut World, millis: u64) -> Vec<String> {
    let end = world.now + millis;
    while world.now < end {
        world.step();
        let blind = blind(world);
        if !blind.is_empty() {
            return blind.into_iter().take(4).collect();
        }
    }
    Vec::new()
}

/// The hubs of a zone, the first by rank first.
fn hubs_of(world: &World, zone: usize) -> Vec<SocketAddrV4> {
    let mut nodes: Vec<SocketAddrV4> =
        world.nodes.keys().copied().filter(|node| zone_of(*node) == zone).collect();
    nodes.sort_unstable_by_key(|node| Rank::of(*node));
    nodes.truncate(nodes.len().div_ceil(NODES_OF_HUB).clamp(2, MOST_HUBS));
    nodes
}

/// Of 295 nodes on a calm day each lost sight of nearly all others every three
/// seconds: a hub's digests of the whole fleet, sent to its thirty nodes at once, found
/// its link of 20 Mbit/s full, so that nodes heard nothing for longer than they trust
/// a silent hub. "A node is gone" was logged 5,144 times in 34 s, and nodes then read
/// the store themselves.
#[test]
fn nodes_of_a_calm_fleet_never_lose_sight_of_the_others() {
    for (nodes, seed) in [(30, 1), (100, 2), (300, 3)] {
        let mut world = fleet(nodes, seed);
        world.run(KNOWN_AFTER / 1000);
        let blind = first_blind(&mut world, 12_000);
        assert_eq!(blind, Vec::<String>::new(), "{nodes} nodes");
    }
}

/// A node whose hub died knew nobody for about a second, until another hub answered,
/// and took itself for a reader of the store meanwhile.
#[test]
fn the_death_of_a_hub_costs_nobody_the_sight_of_the_others() {
    for seed in 1..=4 {
        let mut world = fleet(100, seed);
        world.run(KNOWN_AFTER / 1000 + 1);
        for zone in 0..ZONES {
            let hub = hubs_of(&world, zone)[usize::from(seed % 2 == 0)];
            world.nodes.remove(&hub);
            let blind = first_blind(&mut world, 4_000);
            assert_eq!(blind, Vec::<String>::new(), "seed {seed}: the hub of zone {zone} died");
        }
    }
}

/// Half of the hubs of each zone die at once, or all hubs of one zone: its nodes then ask
/// a hub of another zone for a while, which took them for gone when they ceased to.
#[test]
fn the_death_of_many_hubs_costs_nobody_the_sight_of_the_others() {
    for (zones, share) in [(0..ZONES, 2), (1..2, 1)] {
        let mut world = fleet(300, 7);
        world.run(KNOWN_AFTER / 1000 + 1);
        for zone in zones.clone() {
            let hubs = hubs_of(&world, zone);
            let dying = hubs.iter().take(hubs.len() / share);
            dying.for_each(|hub| drop(world.nodes.remove(hub)));
        }
        let blind = first_blind(&mut world, 8_000);
        assert_eq!(blind, Vec::<String>::new(), "one in {share} hubs of the zones {zones:?}");
        assert_eq!(world.unconverged_after(6), Vec::<String>::new(), "the dead are forgotten");
    }
}

/// Where all hubs of three of five zones die at once, their successors first have to
/// find one another.
#[test]
fn zones_that_lose_all_hubs_at_once_know_one_another_again_soon() {
    let mut world = fleet(300, 7);
    world.run(KNOWN_AFTER / 1000 + 1);
    for zone in [0, 2, 4] {
        hubs_of(&world, zone).iter().for_each(|hub| drop(world.nodes.remove(hub)));
    }
    assert_eq!(world.unconverged_after(7), Vec::<String>::new());
}

/// What a node sends and receives for control has a budget; a hub sends for its nodes.
#[test]
fn a_calm_fleet_stays_within_its_budget_of_bytes() {
    const SECONDS: usize = 10;
    /// Bytes a second that a node may send for control in the median.
    const BUDGET: usize = 21 * 1024;
    /// The same for the busiest hub: a fifth of its link.
    const HUB_BUDGET: usize = LINK.bytes_per_step * 1000 / STEP_MILLIS as usize / 5;
    let mut world = fleet(300, 5);
    world.run(KNOWN_AFTER / 1000 + 3);
    world.nodes.values_mut().for_each(|node| node.sent = 0);
    world.run(SECONDS as u64);
    let mut sent: Vec<usize> = world.nodes.values().map(|node| node.sent / SECONDS).collect();
    sent.sort_unstable();
    let (median, most) = (sent[sent.len() / 2], sent[sent.len() - 1]);
    assert!(median <= BUDGET, "{median} bytes a second in the median");
    assert!(most <= HUB_BUDGET, "{most} bytes a second at the busiest hub");
}
