//! Nodes tell one another over UDP which software version began a stream.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::registry::SoftwareHash;
use cometmoor_core::gateway::stream_origins::{ServiceHash, StreamKey};
use cometmoor_gateway::clock;
use cometmoor_gateway::control_traffic::TrafficKind;
use cometmoor_gateway::metrics::Metrics;
use cometmoor_gateway::published::{Board, FleetSnapshot, NodeEndpoint};
use cometmoor_gateway::settings::GatewaySettings;
use cometmoor_gateway::stream_origins::{Origin, OriginBoard, OriginSource};

/// Streams that are begun in each scene.
const STREAMS: usize = 60;
/// Time in which a stream that nobody knows is to be rejected.
const UNKNOWN_WITHIN: Duration = Duration::from_millis(400);

struct TestNode {
    origins: Rc<OriginBoard>,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

fn host(scene: u8, number: usize) -> Ipv4Addr {
    let process = (std::process::id() % 200) as u8 + 40;
    Ipv4Addr::new(127, process, 200 + scene, number as u8 + 1)
}

fn settings(host: Ipv4Addr, seeds: &[Ipv4Addr]) -> GatewaySettings {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:3")).collect();
    let text = serde_json::json!({
        "node": host.to_string(),
        "zone": "zone-a",
        "clientAddress": format!("{host}:7000"),
        "readyAddress": format!("{host}:7001"),
        "directoryAddress": format!("{host}:7002"),
        "peerAddress": format!("{host}:7003"),
        "quotaAddress": format!("{host}:7004"),
        "streamAddress": format!("{host}:7006"),
        "seeds": seeds,
        "storeAddress": "127.0.0.1:1",
        "bounds": {
            "graceSeconds": 8.0, "retryRatio": 0.2, "retryExtra": 50.0, "retryWindowSeconds": 10.0,
            "leaseMillis": 3000, "loadWindowSeconds": 5.0
        }
    });
    GatewaySettings::parse(&text.to_string()).unwrap()
}

fn start(host: Ipv4Addr, seeds: &[Ipv4Addr]) -> TestNode {
    let (board, metrics) = (Arc::new(Board::default()), Arc::new(Metrics::default()));
    let origins =
        OriginBoard::start(&settings(host, seeds), board.clone(), metrics.clone()).unwrap();
    TestNode { origins, board, metrics }
}

/// Has a node know others.
fn introduce(node: &TestNode, hosts: &[Ipv4Addr]) {
    let endpoint = |host: &Ipv4Addr| NodeEndpoint {
        address: SocketAddrV4::new(*host, 7000),
        zone: "zone-a".to_owned(),
        is_isolated: false,
    };
    let nodes = hosts.iter().map(endpoint).collect();
    node.board.fleet.store(Arc::new(FleetSnapshot { nodes, ..FleetSnapshot::default() }));
}

fn key(number: usize) -> StreamKey {
    StreamKey::of(&format!("try-{number}"), None)
}

fn version(number: usize) -> SoftwareHash {
    SoftwareHash::of("app", if number.is_multiple_of(2) { "v1" } else { "v2" })
}

/// Begins streams at nodes in turn, and waits until what they sent has been received.
async fn begin_streams(nodes: &[TestNode]) {
    for number in 0..STREAMS {
        nodes[number % nodes.len()].origins.announce(key(number), version(number));
        tokio::task::yield_now().await;
    }
    let barriers = (0..nodes.len()).map(|number| {
        let key = StreamKey::of(&format!("barrier-{number}"), None);
        nodes[number].origins.find(key, ServiceHash::of("app"))
    });
    futures::future::join_all(barriers).await;
}

/// How many streams a node finds, with their versions, and how many of these were wrong.
async fn found(node: &TestNode) -> (usize, usize) {
    let (mut found, mut wrong) = (0, 0);
    for number in 0..STREAMS {
        let origin = node.origins.find(key(number), ServiceHash::of("app")).await;
        if let Origin::Known(software, _) = origin {
            found += 1;
            wrong += usize::from(software != version(number));
        }
    }
    (found, wrong)
}

#[actix_rt::test]
async fn any_node_finds_what_another_one_began() {
    for (scene, count) in [3, 12, 30, 90].into_iter().enumerate() {
        let hosts: Vec<Ipv4Addr> = (0..count).map(|number| host(scene as u8, number)).collect();
        let nodes: Vec<TestNode> = hosts.iter().map(|host| start(*host, &[])).collect();
        nodes.iter().for_each(|node| introduce(node, &hosts));
        begin_streams(&nodes).await;
        for node in [&nodes[0], &nodes[count - 1]] {
            assert_eq!(found(node).await, (STREAMS, 0), "{count} nodes");
        }
    }
}

#[actix_rt::test]
async fn streams_are_found_though_a_third_of_the_nodes_has_ended_unnoticed() {
    let hosts: Vec<Ipv4Addr> = (0..12).map(|number| host(10, number)).collect();
    let alive: Vec<Ipv4Addr> =
        hosts.iter().enumerate().filter(|(n, _)| n % 3 != 2).map(|(_, host)| *host).collect();
    let nodes: Vec<TestNode> = alive.iter().map(|host| start(*host, &[])).collect();
    nodes.iter().for_each(|node| introduce(node, &hosts));
    begin_streams(&nodes).await;
    for node in &nodes {
        let (found, wrong) = found(node).await;
        assert_eq!(wrong, 0);
        // A stream of which all three holders have ended is known to its first node only.
        assert!(found * 20 >= STREAMS * 18, "{found} of {STREAMS}");
    }
}

#[actix_rt::test]
async fn a_node_that_knows_only_its_seeds_finds_streams_through_them() {
    let hosts: Vec<Ipv4Addr> = (0..30).map(|number| host(11, number)).collect();
    let nodes: Vec<TestNode> = hosts.iter().map(|host| start(*host, &[])).collect();
    nodes.iter().for_each(|node| introduce(node, &hosts));
    begin_streams(&nodes).await;
    let newcomer = start(host(11, 30), &hosts[..2]);
    introduce(&newcomer, &[]);
    assert_eq!(found(&newcomer).await, (STREAMS, 0));
}

#[actix_rt::test]
async fn a_stream_that_nobody_knows_is_unknown_within_a_fraction_of_a_second() {
    let hosts: Vec<Ipv4Addr> = (0..12).map(|number| host(12, number)).collect();
    let nodes: Vec<TestNode> = hosts[..8].iter().map(|host| start(*host, &[])).collect();
    nodes.iter().for_each(|node| introduce(node, &hosts));
    let started = clock::now();
    let origin = nodes[0].origins.find(key(1), ServiceHash::of("app")).await;
    assert!(matches!(origin, Origin::Unknown { .. }), "{origin:?}");
    assert!(clock::elapsed(started) < UNKNOWN_WITHIN, "{:?}", clock::elapsed(started));
}

#[actix_rt::test]
async fn a_node_knows_the_streams_that_it_began_itself() {
    let node = start(host(13, 0), &[]);
    node.origins.announce(key(1), version(1));
    let origin = node.origins.find(key(1), ServiceHash::of("app")).await;
    assert_eq!(origin, Origin::Known(version(1), OriginSource::Own));
}

#[actix_rt::test]
async fn the_cost_of_a_stream_does_not_grow_with_the_nodes() {
    for (scene, count) in [12, 90].into_iter().enumerate() {
        let hosts: Vec<Ipv4Addr> =
            (0..count).map(|number| host(14 + scene as u8, number)).collect();
        let node = start(hosts[0], &[]);
        introduce(&node, &hosts);
        (0..STREAMS).for_each(|number| node.origins.announce(key(number), version(number)));
        let (messages, bytes) = node.metrics.control.sent(TrafficKind::StreamOrigin);
        assert_eq!(messages as usize, 3 * STREAMS);
        assert!(bytes as usize <= 3 * STREAMS * 40, "{bytes} bytes for {STREAMS} streams");
    }
}
