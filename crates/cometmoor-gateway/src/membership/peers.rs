//! Nodes that this node knows, and those from which it receives heartbeats itself.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::capacity::CapacityClass;
use super::message::{Heartbeat, MemberEntry, PeerPhase};

/// Silence after which a node is no longer offered to clients.
pub(super) const SUSPECT_AFTER: Duration = Duration::from_millis(1300);
/// Silence of a hub after which its digests are no longer used.
pub(super) const HUB_SUSPECT_AFTER: Duration = Duration::from_millis(1500);
/// Silence after which a node is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Low bits of a rank's hash that do not affect its bucket.
const BUCKET_SHIFT: u32 = 8;

/// Position of a node in an order on which all nodes agree. Nodes on machines with more capacity
/// come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    capacity: Reverse<CapacityClass>,
    /// Hash of the address.
    hash: u64,
    address: SocketAddrV4,
}

impl Rank {
    /// Rank of the node with this address on a machine of this class.
    pub fn new(capacity: CapacityClass, address: SocketAddrV4) -> Rank {
        let hash = xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes());
        Rank { capacity: Reverse(capacity), hash, address }
    }

    /// The one of `buckets` buckets to which the node is assigned; 0 if there are none.
    pub(super) fn bucket(self, buckets: usize) -> usize {
        let buckets = u64::try_from(buckets.max(1)).unwrap_or(1);
        usize::try_from((self.hash >> BUCKET_SHIFT) % buckets).unwrap_or(0)
    }
}

/// Another node, as known from its heartbeats or from a hub.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Zone of the node.
    pub zone: String,
    /// Addresses and state.
    pub entry: MemberEntry,
    /// Position in the order of nodes.
    pub rank: Rank,
}

/// A node with its latest heartbeat.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) heartbeat: Heartbeat,
    pub(super) last_heard_at: Timestamp,
    rank: Rank,
}

impl Peer {
    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.last_heard_at) <= SUSPECT_AFTER
    }

    /// The entry that digests include for it.
    pub(super) fn entry(&self) -> MemberEntry {
        MemberEntry {
            peer_address: self.heartbeat.peer_address,
            client_address: self.heartbeat.client_address,
            phase: self.heartbeat.phase,
            reads_store: self.heartbeat.reads_store,
            store_fails: self.heartbeat.store_fails,
            capacity: self.heartbeat.capacity,
        }
    }

    fn member(&self) -> Member {
        Member { zone: self.heartbeat.zone.clone(), entry: self.entry(), rank: self.rank }
    }
}

/// The effect of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// The node was alive and its phase is the same.
    None,
    /// The node is new, or is alive again after it was suspected.
    Up,
    /// The node's phase changed.
    Phase,
}

/// Nodes that send heartbeats to this one.
#[derive(Clone, Debug, Default)]
pub(super) struct DirectPeers {
    peers: HashMap<SocketAddrV4, Peer>,
}

impl DirectPeers {
    /// Whether the heartbeat is later than all that were received from the node before.
    pub(super) fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        let order = |beat: &Heartbeat| (beat.incarnation, beat.sequence);
        let known = self.peers.get(&heartbeat.peer_address);
        known.is_none_or(|peer| order(&peer.heartbeat) < order(heartbeat))
    }

    /// Stores a heartbeat, unless a later one was received before.
    pub(super) fn receive(&mut self, mut heartbeat: Heartbeat, now: Timestamp) -> PeerChange {
        let address = heartbeat.peer_address;
        if !self.is_newer(&heartbeat) {
            return PeerChange::None;
        }
        let known = self.peers.get(&address);
        let change = match known {
            Some(peer) if !peer.is_alive(now) => PeerChange::Up,
            Some(peer) if peer.heartbeat.phase != heartbeat.phase => PeerChange::Phase,
            Some(_) => PeerChange::None,
            None => PeerChange::Up,
        };
        let same_capacity = known.filter(|peer| peer.heartbeat.capacity == heartbeat.capacity);
        let rank =
            same_capacity.map_or_else(|| Rank::new(heartbeat.capacity, address), |peer| peer.rank);
        if let Some(peer) = known.filter(|peer| is_same_process(&peer.heartbeat, &heartbeat)) {
            heartbeat.loads = heartbeat.loads.or_else(|| peer.heartbeat.loads.clone());
        }
        self.peers.insert(address, Peer { heartbeat, last_heard_at: now, rank });
        change
    }

    /// Nodes that were heard within [`SUSPECT_AFTER`].
    pub(super) fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| peer.is_alive(now))
    }

    pub(super) fn members(&self, now: Timestamp) -> impl Iterator<Item = Member> {
        self.alive(now).map(Peer::member)
    }

    pub(super) fn get(&self, address: SocketAddrV4) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// All nodes that are not forgotten, and when they were last heard.
    pub(super) fn last_heard_at(&self) -> impl Iterator<Item = (SocketAddrV4, Timestamp)> {
        self.peers.iter().map(|(address, peer)| (*address, peer.last_heard_at))
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now.since(peer.last_heard_at) < FORGET_AFTER);
    }
}

fn is_same_process(one: &Heartbeat, other: &Heartbeat) -> bool {
    one.incarnation == other.incarnation
}

impl Member {
    /// Whether it accepts client requests.
    pub fn is_ready(&self) -> bool {
        matches!(self.entry.phase, PeerPhase::Ready | PeerPhase::Isolated)
    }

    /// Whether it has lost its links to the servers.
    pub fn is_isolated(&self) -> bool {
        self.entry.phase == PeerPhase::Isolated
    }

    /// Address for messages from other nodes.
    pub fn address(&self) -> SocketAddrV4 {
        self.entry.peer_address
    }
}
