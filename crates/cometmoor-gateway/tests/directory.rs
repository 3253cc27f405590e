//! Which nodes clients are told to use.

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
fn a_small_fleet_is_told_whole_and_near_nodes_first() {
    let nodes = fleet(9);
    let told = addresses(&nodes, Some("zone-1"));
    assert_eq!(told.len(), 9);
    assert_eq!(told[0], nodes[1].address);
    assert_eq!(told[1], nodes[7].address);
}

#[test]
fn zones_of_a_large_fleet_share_the_far_nodes() {
    let nodes = fleet(300);
    let mut told: HashMap<SocketAddrV4, usize> = HashMap::new();
    for zone in 0..ZONES {
        let answer = addresses(&nodes, Some(&format!("zone-{zone}")));
        assert_eq!(answer.len(), 64);
        for address in answer {
            *told.entry(address).or_default() += 1;
        }
    }
    assert_eq!(told.len(), 300, "every node is told to its own zone");
    assert!(told.values().all(|zones| *zones <= 4), "a node that is told to most zones");
}

#[test]
fn the_loss_of_a_node_changes_one_address_at_most() {
    let mut nodes = fleet(300);
    let before = addresses(&nodes, Some("zone-2"));
    nodes.remove(100);
    let after = addresses(&nodes, Some("zone-2"));
    let lost = before.iter().filter(|address| !after.contains(address)).count();
    assert!(lost <= 1, "{lost} addresses changed");
}
