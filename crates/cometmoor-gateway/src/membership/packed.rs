//! Compact encoding of lists of nodes: five bytes for each node that uses the common ports.
//!
//! Encoded field by field an entry takes seventeen bytes, and a list of 300 nodes that a hub
//! sends to its sixty nodes at once overflows the queue of a link.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::capacity::CapacityClass;
use super::message::{MemberEntry, PeerPhase, ZoneMembers};

const PHASE_BITS: u8 = 0b11;
const READS_STORE: u8 = 0b100;
const STORE_FAILS: u8 = 0b1000;
/// Position of the class of the machine's capacity in the flags.
const CAPACITY_SHIFT: u8 = 4;

/// The nodes of one zone in compact form.
#[derive(Clone, Serialize, Deserialize)]
pub(super) struct PackedZone {
    zone: String,
    /// Ports of the packed nodes: those of the first node of the list.
    peer_port: u16,
    client_port: u16,
    /// Host and flags of each node whose two addresses have the same host and the ports
    /// above.
    packed: Vec<([u8; 4], u8)>,
    /// All other nodes.
    others: Vec<MemberEntry>,
}

impl From<ZoneMembers> for PackedZone {
    fn from(members: ZoneMembers) -> PackedZone {
        let ports = |entry: &MemberEntry| (entry.peer_address.port(), entry.client_address.port());
        let (peer_port, client_port) = members.members.first().map(ports).unwrap_or_default();
        let is_packable = |entry: &MemberEntry| {
            ports(entry) == (peer_port, client_port)
                && entry.peer_address.ip() == entry.client_address.ip()
        };
        let (packable, others): (Vec<MemberEntry>, Vec<MemberEntry>) =
            members.members.into_iter().partition(is_packable);
        let pack = |entry: MemberEntry| (entry.peer_address.ip().octets(), flags(&entry));
        let packed = packable.into_iter().map(pack).collect();
        PackedZone { zone: members.zone, peer_port, client_port, packed, others }
    }
}

impl From<PackedZone> for ZoneMembers {
    fn from(zone: PackedZone) -> ZoneMembers {
        let (peer_port, client_port) = (zone.peer_port, zone.client_port);
        let unpack = |(host, flags): ([u8; 4], u8)| {
            let host = Ipv4Addr::from(host);
            MemberEntry {
                peer_address: SocketAddrV4::new(host, peer_port),
                client_address: SocketAddrV4::new(host, client_port),
                phase: phase(flags),
                reads_store: flags & READS_STORE != 0,
                store_fails: flags & STORE_FAILS != 0,
                capacity: CapacityClass::from_bits(flags >> CAPACITY_SHIFT),
            }
        };
        let members = zone.packed.into_iter().map(unpack).chain(zone.others).collect();
        ZoneMembers { zone: zone.zone, members }
    }
}

fn flags(entry: &MemberEntry) -> u8 {
    let phase = match entry.phase {
        PeerPhase::Starting => 0,
        PeerPhase::Ready => 1,
        PeerPhase::Leaving => 2,
        PeerPhase::Isolated => 3,
    };
    let reads_store = if entry.reads_store { READS_STORE } else { 0 };
    let store_fails = if entry.store_fails { STORE_FAILS } else { 0 };
    phase | reads_store | store_fails | entry.capacity.bits() << CAPACITY_SHIFT
}

fn phase(flags: u8) -> PeerPhase {
    match flags & PHASE_BITS {
        0 => PeerPhase::Starting,
        1 => PeerPhase::Ready,
        2 => PeerPhase::Leaving,
        _ => PeerPhase::Isolated,
    }
}
