//! Selects the node addresses that the directory returns to a client.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::Xxh3;

use crate::published::NodeEndpoint;

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a client in a zone: the nodes that accept requests, those of the client's zone
/// first, without those that have lost their links to the servers as long as at least as many
/// others are left: the others would have to take their load. If there are more than a response holds, each zone gets a different selection of the
/// nodes in other zones, so that the load is spread over them. The selection of a zone is stable,
/// because clients close connections to nodes that are missing from a response.
pub fn addresses(nodes: &[NodeEndpoint], zone: Option<&str>) -> Vec<SocketAddrV4> {
    let is_in_zone = |node: &&NodeEndpoint| zone.is_some_and(|zone| zone == node.zone);
    let linked = nodes.iter().filter(|node| !node.is_isolated).count();
    let includes_isolated = linked * 2 < nodes.len();
    let (mut local, mut remote): (Vec<&NodeEndpoint>, Vec<&NodeEndpoint>) =
        nodes.iter().filter(|node| includes_isolated || !node.is_isolated).partition(is_in_zone);
    if local.len() + remote.len() > MAX_ADDRESSES {
        let zone = zone.unwrap_or_default();
        local.sort_by_cached_key(|node| sort_key(zone, node.address));
        remote.sort_by_cached_key(|node| sort_key(zone, node.address));
    }
    local.into_iter().chain(remote).map(|node| node.address).take(MAX_ADDRESSES).collect()
}

/// Sort key of a node in the responses to clients of a zone.
fn sort_key(zone: &str, address: SocketAddrV4) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(zone.as_bytes());
    hasher.update(&address.ip().octets());
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}
