//! Heartbeats between nodes, by UDP: who is there, what each has sent to the
//! servers, and how new each one's view of the store is.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::load::{ModelDemand, ModelKey, ServerKey, ServerLoad};

/// Version of the heartbeat's format.
const FORMAT: u8 = 8;
/// Silence after which a node is not offered to clients any more.
const SUSPECT_AFTER: Duration = Duration::from_millis(1100);
/// Silence after which a node is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Time for which a node counts among those that share a budget.
const SHARE_WINDOW: Duration = Duration::from_secs(20);
/// Most addresses of other nodes that are taken from a heartbeat.
const MAX_KNOWN: usize = 16;
/// Addresses of other nodes that a heartbeat tells.
const TOLD_AT_ONCE: usize = 3;

/// What a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It has no configuration yet.
    Starting,
    /// It serves clients.
    Ready,
    /// It is about to stop.
    Leaving,
}

/// What the node that orders the servers has done lately; the registry tells
/// it later.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing token of the node's term.
    pub token: u64,
    /// Adapters that servers have got.
    pub added: Vec<(ServerKey, ModelKey)>,
    /// Models and adapters that are about to be taken away.
    pub withdrawn: Vec<(ServerKey, ModelKey)>,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Version of this format.
    pub format: u8,
    /// Name of the node.
    pub node: String,
    /// Tells two processes of one node apart; the later one's is higher.
    pub incarnation: u64,
    /// Rises with each heartbeat of a process.
    pub sequence: u64,
    /// Zone.
    pub zone: String,
    /// Where clients reach it.
    pub client_address: SocketAddrV4,
    /// Where nodes reach it.
    pub peer_address: SocketAddrV4,
    /// What it says of itself.
    pub phase: PeerPhase,
    /// Version of its configuration.
    pub configuration_version: u64,
    /// Revision of its copy of the servers.
    pub servers_revision: u64,
    /// Whether it reads the store itself, and the store answers.
    pub reads_store: bool,
    /// Whether the store does not answer it.
    pub store_fails: bool,
    /// Its load on the servers.
    pub loads: Vec<(ServerKey, ServerLoad)>,
    /// Work that it was asked of each model since its process began.
    pub demand: Vec<(ModelKey, ModelDemand)>,
    /// Models and adapters that its requests wait for now.
    pub waited_for: Vec<ModelKey>,
    /// What the node that orders the servers tells of their models.
    pub placement: Option<Placement>,
    /// Some other nodes' addresses.
    pub known: Vec<SocketAddrV4>,
}

impl Heartbeat {
    /// As sent.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// As received.
    pub fn decode(bytes: &[u8]) -> Option<Heartbeat> {
        let heartbeat: Heartbeat = postcard::from_bytes(bytes).ok()?;
        (heartbeat.format == FORMAT).then_some(heartbeat)
    }

    /// Version of the format.
    pub fn format() -> u8 {
        FORMAT
    }
}

/// A node, by its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// When it came.
    pub heard: Timestamp,
    rank: Rank,
}

/// Place of a node in an order that all nodes agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(u64, SocketAddrV4);

impl Rank {
    /// Rank of the node with this address.
    pub fn of(address: SocketAddrV4) -> Rank {
        Rank(xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()), address)
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// Nothing that others need to know.
    None,
    /// The node is new or back.
    Up,
    /// It said something else of itself.
    Phase,
}

/// The other nodes.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: HashMap<SocketAddrV4, Peer>,
    contacts: HashMap<SocketAddrV4, Timestamp>,
}

impl Peers {
    /// Takes a heartbeat, unless a later one came before it.
    pub fn receive(&mut self, heartbeat: Heartbeat, now: Timestamp) -> PeerChange {
        let address = heartbeat.peer_address;
        for known in heartbeat.known.iter().take(MAX_KNOWN) {
            self.contacts.entry(*known).or_insert(now);
        }
        let order = |beat: &Heartbeat| (beat.incarnation, beat.sequence);
        let change = match self.peers.get(&address) {
            Some(peer) if order(&peer.heartbeat) >= order(&heartbeat) => return PeerChange::None,
            Some(peer) if now.since(peer.heard) > SUSPECT_AFTER => PeerChange::Up,
            Some(peer) if peer.heartbeat.phase != heartbeat.phase => PeerChange::Phase,
            Some(_) => PeerChange::None,
            None => PeerChange::Up,
        };
        let rank = self.peers.get(&address).map_or_else(|| Rank::of(address), |peer| peer.rank);
        self.peers.insert(address, Peer { heartbeat, heard: now, rank });
        change
    }

    /// Notes an address at which a node may be.
    pub fn add_contact(&mut self, address: SocketAddrV4, now: Timestamp) {
        self.contacts.insert(address, now);
    }

    /// Drops nodes and addresses that were silent for long.
    pub fn forget(&mut self, now: Timestamp) {
        self.peers.retain(|_, peer| now.since(peer.heard) < FORGET_AFTER);
        self.contacts.retain(|_, noted| now.since(*noted) < FORGET_AFTER);
    }

    /// Nodes that were heard lately.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.heard) <= SUSPECT_AFTER)
    }

    /// Nodes, besides this one, that may be spending a common budget.
    pub fn sharing(&self, now: Timestamp) -> usize {
        self.peers.values().filter(|peer| now.since(peer.heard) <= SHARE_WINDOW).count()
    }

    /// Where heartbeats go.
    pub fn targets(&self) -> Vec<SocketAddrV4> {
        let mut targets: Vec<SocketAddrV4> = self.peers.keys().copied().collect();
        targets.extend(self.contacts.keys().filter(|address| !self.peers.contains_key(address)));
        targets
    }

    /// Addresses that a heartbeat passes on: a few, others each time, so that
    /// all are told within some heartbeats.
    pub fn known(&self, sequence: u64, now: Timestamp) -> Vec<SocketAddrV4> {
        let mut alive: Vec<SocketAddrV4> =
            self.alive(now).map(|peer| peer.heartbeat.peer_address).collect();
        if alive.is_empty() {
            return alive;
        }
        alive.sort_unstable();
        let turn = (sequence as usize).wrapping_mul(TOLD_AT_ONCE) % alive.len();
        alive.rotate_left(turn);
        alive.truncate(TOLD_AT_ONCE);
        alive
    }

    /// Whether the fleet has at most so many nodes, as far as was heard lately.
    pub fn is_small(&self, most: usize, now: Timestamp) -> bool {
        self.alive(now).count() < most
    }

    /// Whether the node with this rank is among the readers of the store: the
    /// first so many by rank, among itself and those heard lately whom the store
    /// answers.
    pub fn is_reader(&self, own: Rank, readers: usize, now: Timestamp) -> bool {
        let answered = self.alive(now).filter(|peer| !peer.heartbeat.store_fails);
        answered.filter(|peer| peer.rank < own).count() < readers
    }

    /// Whether the node led when it was last heard.
    pub fn leads(&self, address: SocketAddrV4) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.heartbeat.placement.is_some())
    }

    /// What the leading node tells, by the newest term.
    pub fn placement(&self, now: Timestamp) -> Option<&Placement> {
        let told = self.alive(now).filter_map(|peer| peer.heartbeat.placement.as_ref());
        told.max_by_key(|placement| placement.token)
    }

    /// Models and adapters that requests of other nodes wait for.
    pub fn waited_for(&self, now: Timestamp) -> HashSet<ModelKey> {
        self.alive(now).flat_map(|peer| peer.heartbeat.waited_for.iter().copied()).collect()
    }

    /// Load of all other nodes by server.
    pub fn load(&self, now: Timestamp) -> HashMap<ServerKey, ServerLoad> {
        let mut sum: HashMap<ServerKey, ServerLoad> = HashMap::new();
        for (key, load) in self.alive(now).flat_map(|peer| &peer.heartbeat.loads) {
            let entry = sum.entry(*key).or_default();
            *entry = entry.plus(*load);
        }
        sum
    }
}
