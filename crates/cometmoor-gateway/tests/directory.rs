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
        NodeEndpoint { address, zone: format!("zone-{}", index % ZONES) }
    };
    (0..count).map(node).collect()
}

#[test]
fn a_small_fleet_is_returned_completely_with_nodes_of_the_zone_first() {
    let nodes = fleet(9);
    let returned = addresses(&nodes, Some("zone-1"));
    assert_eq!(returned.len(), 9);
    assert_eq!(returned[0], nodes[1].address);
    assert_eq!(returned[1], nodes[7].address);
}

#[test]
fn zones_of_a_large_fleet_get_different_nodes_of_other_zones() {
    let nodes = fleet(300);
    let mut zones_by_node: HashMap<SocketAddrV4, usize> = HashMap::new();
    for zone in 0..ZONES {
        let returned = addresses(&nodes, Some(&format!("zone-{zone}")));
        assert_eq!(returned.len(), 64);
        for address in returned {
            *zones_by_node.entry(address).or_default() += 1;
        }
    }
    assert_eq!(zones_by_node.len(), 300, "every node is returned to its own zone");
    assert!(zones_by_node.values().all(|zones| *zones <= 4), "a node is returned to most zones");
}

#[test]
fn removing_a_node_changes_at_most_one_address() {
    let mut nodes = fleet(300);
    let before = addresses(&nodes, Some("zone-2"));
    nodes.remove(100);
    let after = addresses(&nodes, Some("zone-2"));
    let removed = before.iter().filter(|address| !after.contains(address)).count();
    assert!(removed <= 1, "{removed} addresses changed");
}
