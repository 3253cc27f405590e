//! Node addresses that the directory returns to clients.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use cometmoor_gateway::directory::addresses;
use cometmoor_gateway::published::NodeEndpoint;

const ZONES: usize = 6;

fn fleet(count: usize) -> Vec<NodeEndpoint> {
    let node = |index: usize| {
        let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7000);
        NodeEndpoint { address, zone: format!("zone-{}", index % ZONES), is_isolated: false }
    };
    (0..count).map(node).collect()
}

#[test]
fn small_fleet_is_returned_completely_with_local_nodes_first() {
    let nodes = fleet(9);
    let selected = addresses(&nodes, Some("zone-1"));
    assert_eq!(selected.len(), 9);
    assert_eq!(selected[0], nodes[1].address);
    assert_eq!(selected[1], nodes[7].address);
}

#[test]
fn remote_nodes_of_a_large_fleet_are_spread_over_its_zones() {
    let nodes = fleet(300);
    let mut zones_by_node: HashMap<SocketAddrV4, usize> = HashMap::new();
    for zone in 0..ZONES {
        let selected = addresses(&nodes, Some(&format!("zone-{zone}")));
        assert_eq!(selected.len(), 64);
        for address in selected {
            *zones_by_node.entry(address).or_default() += 1;
        }
    }
    assert_eq!(zones_by_node.len(), 300, "every node is returned to its own zone");
    assert!(zones_by_node.values().all(|zones| *zones <= 4), "a node is returned to most zones");
}

#[test]
fn loss_of_a_node_changes_at_most_one_address() {
    let mut nodes = fleet(300);
    let before = addresses(&nodes, Some("zone-2"));
    nodes.remove(100);
    let after = addresses(&nodes, Some("zone-2"));
    let lost = before.iter().filter(|address| !after.contains(address)).count();
    assert!(lost <= 1, "{lost} addresses changed");
}
