//! How fast a signal that one node has received in a server's response spreads to all nodes, in
//! virtual time, with 5% of the datagrams lost. `--nocapture` prints the figures of a run.

mod world;

use std::net::SocketAddrV4;

use cometmoor_core::gateway::signals::{
    IncarnationHash, LimitSignal, ObservationWindow, ResponseSignals, SignalTable,
};
use cometmoor_core::time::Timestamp;

use world::{World, since_boot, zone_of};

/// Time limit for all nodes to learn that a server is leaving, in milliseconds: it may receive
/// requests for two seconds.
const LEAVING_MAX_SPREAD: u64 = 2_000;
/// Time limit for all nodes to learn of a removed limit, and for a node that joins later or was
/// partitioned to learn that a server is leaving, in milliseconds.
const MAX_SPREAD: u64 = 4_000;
/// Interval between responses to the node that first sees the change, in milliseconds.
const RESPONSE_INTERVAL_MILLIS: u64 = 200;

fn server() -> IncarnationHash {
    IncarnationHash::of("i-1")
}

fn fleet(nodes: usize, seed: u64) -> World {
    let mut world = World::new(seed);
    world.start(0..nodes);
    world.run(5);
    world
}

/// Gives a node a response whose request was sent 50 ms ago.
fn receive_response(world: &mut World, node: SocketAddrV4, signals: ResponseSignals) {
    let received = since_boot(Timestamp(world.now));
    let sent = since_boot(Timestamp(world.now - 50));
    let node = world.nodes.get_mut(&node).unwrap();
    node.signals.note_response(server(), signals, ObservationWindow { sent, received });
}

/// Time until `knows` holds for all nodes, in milliseconds; `None` if that takes longer than
/// `within`. Meanwhile the node in `responses` keeps receiving such responses.
fn spread_time(
    world: &mut World,
    within: u64,
    responses: Option<(SocketAddrV4, ResponseSignals)>,
    knows: impl Fn(SocketAddrV4, &SignalTable) -> bool,
) -> Option<u64> {
    let start = world.now;
    while world.now - start <= within {
        if world.nodes.iter().all(|(address, node)| knows(*address, &node.signals)) {
            return Some(world.now - start);
        }
        if let Some((node, signals)) = responses
            && (world.now - start).is_multiple_of(RESPONSE_INTERVAL_MILLIS)
        {
            receive_response(world, node, signals);
        }
        world.step();
    }
    None
}

fn leaving() -> ResponseSignals {
    ResponseSignals { is_leaving: true, ..ResponseSignals::default() }
}

#[test]
fn all_nodes_learn_in_time_that_a_server_is_leaving() {
    for nodes in [3, 6, 30, 90, 300] {
        let mut world = fleet(nodes, 7);
        let first = *world.nodes.keys().next().unwrap();
        receive_response(&mut world, first, leaving());
        let after = spread_time(&mut world, LEAVING_MAX_SPREAD, None, |_, signals| {
            signals.is_leaving(server())
        });
        println!("{nodes} nodes: all know that a server is leaving after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}

/// A node that starts later has missed the reports and needs them again.
#[test]
fn a_node_that_joins_later_learns_that_a_server_is_leaving() {
    for nodes in [6, 30, 90] {
        let mut world = fleet(nodes, 8);
        let first = *world.nodes.keys().next().unwrap();
        receive_response(&mut world, first, leaving());
        world.run(20);
        world.start(nodes..nodes + 1);
        let after =
            spread_time(&mut world, MAX_SPREAD, None, |_, signals| signals.is_leaving(server()));
        println!("{nodes} nodes: one that joins knows after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}

#[test]
fn a_partitioned_zone_learns_what_was_reported_in_the_meantime() {
    let mut world = fleet(30, 9);
    let first = *world.nodes.keys().next().unwrap();
    world.isolated_zone = Some((zone_of(first) + 1) % 3);
    world.run(2);
    receive_response(&mut world, first, leaving());
    world.run(8);
    world.isolated_zone = None;
    let after =
        spread_time(&mut world, MAX_SPREAD, None, |_, signals| signals.is_leaving(server()));
    println!("a zone knows {after:?} ms after its partition has ended");
    assert!(after.is_some());
}

/// All nodes have received the limit themselves shortly before one of them receives a response
/// without it.
#[test]
fn all_nodes_learn_in_time_that_a_limit_was_removed() {
    for nodes in [3, 6, 30, 90, 300] {
        let mut world = fleet(nodes, 10);
        let addresses: Vec<SocketAddrV4> = world.nodes.keys().copied().collect();
        let limited =
            ResponseSignals { limit: LimitSignal::PerSecond(1.0), ..ResponseSignals::default() };
        addresses.iter().for_each(|node| receive_response(&mut world, *node, limited));
        world.run(1);
        let removal = (addresses[0], ResponseSignals::default());
        let after = spread_time(&mut world, MAX_SPREAD, Some(removal), |_, signals| {
            signals.limit(server()).is_none()
        });
        println!("{nodes} nodes: all know that a limit was removed after {after:?} ms");
        assert!(after.is_some(), "{nodes} nodes");
    }
}
