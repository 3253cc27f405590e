//! Membership in simulated fleets: nodes discover each other, detect dead nodes and report their
//! load, even if datagrams are lost and hubs die.

mod world;

use std::collections::HashMap;
use std::net::SocketAddrV4;

use cometmoor_core::time::Timestamp;
use cometmoor_gateway::load::{PendingPrefill, ServerLoad};

use world::{Node, SHARED_SERVER, World, address, zone_of};

#[test]
fn nodes_discover_each_other_in_small_and_large_fleets() {
    for (count, seed) in [(2, 1), (9, 2), (16, 3), (17, 4), (40, 5), (130, 6)] {
        let mut world = World::new(seed);
        world.start(0..count);
        assert_eq!(world.unconverged_after(8), Vec::<String>::new(), "{count} nodes");
    }
}

#[test]
fn dead_nodes_are_dropped_and_their_roles_taken_over() {
    for seed in 1..=8 {
        let mut world = World::new(seed * 7919);
        world.start(0..60);
        world.run(8);
        for _ in 0..20 {
            let victim = world.random_below(world.nodes.len() as u64) as usize;
            let victim = *world.nodes.keys().nth(victim).unwrap();
            world.nodes.remove(&victim);
        }
        assert_eq!(world.unconverged_after(6), Vec::<String>::new(), "seed {seed}");
        world.start(60..70);
        assert_eq!(world.unconverged_after(6), Vec::<String>::new(), "seed {seed}, ten more");
    }
}

#[test]
fn fleet_reunites_after_a_partition_of_one_minute() {
    let mut world = World::new(11);
    world.start(0..45);
    world.run(8);
    world.isolated_zone = Some(1);
    world.run(60);
    let isolated = world.nodes.iter().find(|(own, _)| zone_of(**own) == 1).unwrap().1;
    assert_eq!(isolated.membership.members().len(), 14, "only its own zone");
    world.isolated_zone = None;
    assert_eq!(world.unconverged_after(12), Vec::<String>::new());
}

/// Nodes whose view of the load is not one request of each other node, or that do not know the
/// leader.
fn nodes_with_wrong_load(world: &World) -> Vec<String> {
    let now = Timestamp(world.now);
    let others = world.nodes.len() as u32 - 1;
    let reported =
        [(SHARED_SERVER, ServerLoad { in_flight: 1, pending: PendingPrefill::default() })];
    let check = |(own, node): (&SocketAddrV4, &Node)| {
        let load: HashMap<u32, ServerLoad> = node.membership.remote_load(&reported, now);
        let in_flight = load.get(&SHARED_SERVER).map_or(0, |load| load.in_flight);
        let leader = node.membership.placement(now).map(|(placement, _)| placement.leader);
        let knows_leader = Some(*own) == world.leader || leader == world.leader;
        (in_flight != others || !knows_leader).then(|| format!("{own}: {in_flight}, {leader:?}"))
    };
    world.nodes.iter().filter_map(check).collect()
}

#[test]
fn all_nodes_learn_the_load_of_the_others_and_the_leader() {
    for (count, omits_alternate_loads) in [(8, false), (60, false), (60, true)] {
        let mut world = World::new(3);
        world.omits_alternate_loads = omits_alternate_loads;
        world.start(0..count);
        world.leader = Some(address(5));
        // As for member lists, one moment without the effect of a lost datagram is enough.
        let is_wrong = |world: &World| !nodes_with_wrong_load(world).is_empty();
        while world.now < 12_000 && is_wrong(&world) {
            world.step();
        }
        assert_eq!(nodes_with_wrong_load(&world), Vec::<String>::new(), "{count} nodes");
    }
}

/// Hubs relay what other hubs sent, so an older placement could arrive after a newer one. A
/// change within the leader's term has to replace the previous placement at every node within
/// two seconds.
#[test]
fn new_placement_replaces_the_previous_one_at_all_nodes() {
    for seed in 1..=4 {
        let mut world = World::new(seed);
        world.start(0..60);
        world.leader = Some(address(0));
        world.run(6);
        for placement in 2..=6 {
            world.placement_sequence = placement;
            world.run(2);
            let now = Timestamp(world.now);
            let known =
                |node: &Node| node.membership.placement(now).map(|(known, _)| known.sequence);
            let others = world.nodes.iter().filter(|(own, _)| **own != address(0));
            let late = others.filter(|(_, node)| known(node) != Some(placement)).count();
            assert_eq!(late, 0, "seed {seed}: nodes that do not have placement {placement}");
        }
    }
}

/// Hubs relay the leader's announcement to each other. If that kept the announcement of a dead
/// leader alive, no other node would become leader.
#[test]
fn announcement_of_a_dead_leader_expires() {
    for (seed, count) in [(1, 8), (2, 60), (3, 120)] {
        let mut world = World::new(seed);
        world.start(0..count);
        world.leader = Some(address(0));
        world.run(6);
        world.nodes.remove(&address(0));
        world.run(8);
        let now = Timestamp(world.now);
        let remaining =
            world.nodes.values().filter(|node| node.membership.placement(now).is_some()).count();
        assert_eq!(remaining, 0, "of {count} nodes, eight seconds later");
    }
}

#[test]
fn nodes_agree_on_the_readers_of_the_store() {
    let mut world = World::new(5);
    world.start(0..60);
    world.run(8);
    let readers = world.nodes.values().filter(|node| node.membership.is_reader(6)).count();
    assert_eq!(readers, 6);
}

#[test]
fn messages_per_node_do_not_grow_with_the_fleet() {
    let mut medians = Vec::new();
    for count in [60, 240] {
        let mut world = World::new(9);
        world.start(0..count);
        world.run(10);
        world.nodes.values_mut().for_each(|node| node.received = 0);
        world.run(10);
        let mut received: Vec<u64> = world.nodes.values().map(|node| node.received).collect();
        received.sort_unstable();
        medians.push(received[count / 2]);
    }
    // A node receives about 25 digests in ten seconds from each of its two upstream hubs.
    assert!(medians.iter().all(|received| *received <= 52), "{medians:?} in ten seconds");
    assert!(medians[1] <= medians[0] + 2, "{medians:?} in ten seconds");
}
