//! Tells clients which nodes to use.

use std::net::SocketAddrV4;

use crate::published::{ClientNode, Published};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a client in a zone: all nodes that take requests, those of
/// the client's zone first.
pub fn addresses(fleet: &Published, zone: Option<&str>) -> Vec<SocketAddrV4> {
    let in_zone = |node: &&ClientNode| zone.is_some_and(|zone| zone == node.zone);
    let near = fleet.nodes.iter().filter(in_zone);
    let far = fleet.nodes.iter().filter(|node| !in_zone(node));
    near.chain(far).map(|node| node.address).take(MAX_ADDRESSES).collect()
}
