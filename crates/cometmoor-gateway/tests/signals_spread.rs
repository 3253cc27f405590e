//! How soon all nodes know what one of them has read in a server's answer, in virtual time,
//! with 5% of the datagrams lost. Figures of a run are printed with `--nocapture`.

mod world;

use std::net::SocketAddrV4;

use cometmoor_core::gateway::signals::{
    IncarnationHash, LimitSignal, ObservationWindow, ResponseSignals, SignalTable,
};
use cometmoor_core::time::Timestamp;

use world::{World, since_boot, zone_of};

/// Milliseconds by which all nodes have to know that a server leaves: it may get requests
/// for two seconds.
const LEAVING_KNOWN_BY: u64 = 2_000;
/// Milliseconds by which all nodes have to know that a limit has ended.
const END_KNOWN_BY: u64 = 4_000;
/// Pause between two answers that the node which saw the end reads.
const ANSWERS_EACH: u64 = 200;

fn server() -> IncarnationHash {
    IncarnationHash::of("i-1")
}

fn fleet(nodes: usize, seed: u64) -> World {
    let mut world = World::new(seed);
    world.start(0..nodes);
    world.run(5);
    world
}

/// Lets a node read an answer whose request was sent 50 ms ago.
fn reads(world: &mut World, node: SocketAddrV4, signals: ResponseSignals) {
    let received = since_boot(Timestamp(world.now));
    let sent = since_boot(Timestamp(world.now - 50));
    let node = world.nodes.get_mut(&node).unwrap();
    node.signals.note_response(server(), signals, ObservationWindow { sent, received });
}

/// Milliseconds until all nodes of some know something; none within the time.
fn known_after(
    world: &mut World,
    within: u64,
    answers: Option<(SocketAddrV4, ResponseSignals)>,
    knows: impl Fn(SocketAddrV4, &SignalTable) -> bool,
) -> Option<u64> {
    let began = world.now;
    while world.now - began <= within {
        if world.nodes.iter().all(|(address, node)| knows(*address, &node.signals)) {
            return Some(world.now - began);
        }
        if let Some((node, signals)) = answers
            && (world.now - began).is_multiple_of(ANSWERS_EACH)
        {
            reads(world, node, signals);
        }
        world.step();
    }
    None
}

fn leaving() -> ResponseSignals {
    ResponseSignals { is_leaving: true, ..ResponseSignals::default() }
}

#[test]
fn all_nodes_soon_know_that_a_server_leaves() {
    for nodes in [3, 6, 30, 90, 300] {
        let mut world = fleet(nodes, 7);
        let first = *world.nodes.keys().next().unwrap();
        reads(&mut world, first, leaving());
        let after = known_after(&mut world, LEAVING_KNOWN_BY, None, |_, signals| {
            signals.is_leaving(server())
        });
        println!("{nodes} nodes: all know that a server leaves after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}

/// A node that starts later, or was cut off, hears of it then.
#[test]
fn a_node_that_comes_later_learns_that_a_server_leaves() {
    for nodes in [6, 30, 90] {
        let mut world = fleet(nodes, 8);
        let first = *world.nodes.keys().next().unwrap();
        reads(&mut world, first, leaving());
        world.run(20);
        world.start(nodes..nodes + 1);
        let after =
            known_after(&mut world, END_KNOWN_BY, None, |_, signals| signals.is_leaving(server()));
        println!("{nodes} nodes: one that comes knows after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}

#[test]
fn a_zone_that_is_cut_off_learns_what_was_reported_meanwhile() {
    let mut world = fleet(30, 9);
    let first = *world.nodes.keys().next().unwrap();
    world.isolated_zone = Some((zone_of(first) + 1) % 3);
    world.run(2);
    reads(&mut world, first, leaving());
    world.run(8);
    world.isolated_zone = None;
    let after =
        known_after(&mut world, END_KNOWN_BY, None, |_, signals| signals.is_leaving(server()));
    println!("a zone knows {after:?} ms after its cut has ended");
    assert!(after.is_some());
}

/// All nodes have read the limit themselves a moment before one of them reads an answer
/// without it.
#[test]
fn all_nodes_soon_know_that_a_limit_has_ended() {
    for nodes in [3, 6, 30, 90, 300] {
        let mut world = fleet(nodes, 10);
        let addresses: Vec<SocketAddrV4> = world.nodes.keys().copied().collect();
        let limited =
            ResponseSignals { limit: LimitSignal::PerSecond(1.0), ..ResponseSignals::default() };
        addresses.iter().for_each(|node| reads(&mut world, *node, limited));
        world.run(1);
        let end = (addresses[0], ResponseSignals::default());
        let after = known_after(&mut world, END_KNOWN_BY, Some(end), |_, signals| {
            signals.limit(server()).is_none()
        });
        println!("{nodes} nodes: all know that a limit has ended after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}
