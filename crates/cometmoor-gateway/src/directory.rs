//! Tells clients which nodes to use.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::Xxh3;

use crate::published::NodeEndpoint;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a client in a zone: all nodes that take requests, those of
/// the client's zone first. Where there are more than an answer holds, each zone
/// gets others of the far nodes, so that they share the work, and the same ones
/// each time, since clients close connections to nodes that an answer lacks.
pub fn addresses(nodes: &[NodeEndpoint], zone: Option<&str>) -> Vec<SocketAddrV4> {
    let in_zone = |node: &&NodeEndpoint| zone.is_some_and(|zone| zone == node.zone);
    let (mut near, mut far): (Vec<&NodeEndpoint>, Vec<&NodeEndpoint>) =
        nodes.iter().partition(in_zone);
    if nodes.len() > MAX_ADDRESSES {
        let zone = zone.unwrap_or_default();
        near.sort_by_cached_key(|node| place(zone, node.address));
        far.sort_by_cached_key(|node| place(zone, node.address));
    }
    near.into_iter().chain(far).map(|node| node.address).take(MAX_ADDRESSES).collect()
}

/// Place of a node in the order of a zone's clients.
fn place(zone: &str, address: SocketAddrV4) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(zone.as_bytes());
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}
