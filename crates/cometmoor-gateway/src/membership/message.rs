//! What nodes tell one another by UDP.

use std::net::SocketAddrV4;

use cometmoor_core::gateway::quarantine::SuspectReport;
use cometmoor_core::gateway::signals::SignalReport;
use cometmoor_core::gateway::store_position::{StoreEra, StorePosition};
use serde::{Deserialize, Serialize};

use super::packed::PackedZone;
use crate::load::{ModelDemand, ModelKey, ServerKey, ServerLoad};

/// Version of the messages' format.
const FORMAT: u8 = 19;

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing token of the node's term; 0 while it may not order yet.
    pub token: u64,
    /// Rises with each change within a term.
    pub sequence: u64,
    /// The node.
    pub leader: SocketAddrV4,
    /// Models and adapters that servers have got.
    pub added: Vec<(ServerKey, ModelKey)>,
    /// Models and adapters that are about to be taken away.
    pub withdrawn: Vec<(ServerKey, ModelKey)>,
}

/// Tells the newer of two placements: a later term's, or within a term the one with
/// the higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlacementVersion {
    /// Fencing token of the term.
    pub token: u64,
    /// Number within the term.
    pub sequence: u64,
}

impl Placement {
    /// What tells it from others.
    pub fn version(&self) -> PlacementVersion {
        PlacementVersion { token: self.token, sequence: self.sequence }
    }
}

/// What a hub passes on of the leader's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPlacement {
    /// The leader.
    pub leader: SocketAddrV4,
    /// Which placement it told last.
    pub version: PlacementVersion,
    /// Milliseconds since the leader itself said so.
    pub age_millis: u32,
    /// The placement; left out where it was told a moment ago.
    pub whole: Option<Placement>,
}

/// How new a node's copies of the store are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyVersions {
    /// Version of its configuration.
    pub configuration: u64,
    /// Point in the store's history that its copy of the servers is of.
    pub servers: StorePosition,
    /// Age of the store's last answer by which the configuration is of that
    /// version, whoever got it.
    pub configuration_age: CopyAge,
    /// The same of the servers.
    pub servers_age: CopyAge,
}

/// Milliseconds since the store last answered anybody in a way that shows that a
/// copy lacks nothing; none where that is not known.
pub type CopyAge = Option<u32>;

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
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
    /// How new its copies are.
    pub versions: CopyVersions,
    /// Whether it reads the store itself, and the store answers.
    pub reads_store: bool,
    /// Whether the store does not answer it.
    pub store_fails: bool,
    /// Its load on the servers; left out where it was told a moment ago.
    pub loads: Option<Vec<(ServerKey, ServerLoad)>>,
    /// Work that it was asked of each model since its process began.
    pub demand: Vec<(ModelKey, ModelDemand)>,
    /// Models and adapters that its requests wait for now.
    pub awaited_models: Vec<ModelKey>,
    /// Contents that were present at crashes of servers, where that has changed lately.
    pub suspects: Vec<SuspectReport>,
    /// What servers report of themselves, where that has changed lately.
    pub signals: Vec<SignalReport>,
    /// What it tells of the servers' models while it orders them.
    pub placement: Option<Placement>,
    /// How many other nodes it knows.
    pub member_count: u16,
    /// Some other nodes' addresses.
    pub known_peers: Vec<SocketAddrV4>,
}

/// A node, as a hub tells of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Where nodes reach it.
    pub peer_address: SocketAddrV4,
    /// Where clients reach it.
    pub client_address: SocketAddrV4,
    /// What it says of itself.
    pub phase: PeerPhase,
    /// Whether it reads the store itself, and the store answers.
    pub reads_store: bool,
    /// Whether the store does not answer it.
    pub store_fails: bool,
}

/// The nodes of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedZone", into = "PackedZone")]
pub struct ZoneMembers {
    /// The zone.
    pub zone: String,
    /// Its nodes.
    pub members: Vec<MemberEntry>,
}

/// A version of a hub's list of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterVersion {
    /// Tells two processes of the hub apart.
    pub incarnation: u64,
    /// Rises with each change of the list.
    pub number: u64,
}

/// What a node asks of a hub.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestRequest {
    /// The version of the hub's list that the node has.
    pub known_roster: Option<RosterVersion>,
    /// Whether it wants the servers' load too; one hub is enough for that.
    pub wants_loads: bool,
}

/// What leads from one version of a hub's list of nodes to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// The version that it leads to.
    pub version: u64,
    /// The version that it starts from; none where it is the whole list.
    pub base_version: Option<u64>,
    /// Nodes that are new or changed.
    pub updated: Vec<ZoneMembers>,
    /// Nodes that have gone.
    pub removed: Vec<SocketAddrV4>,
}

/// What a hub tells of many nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Where nodes reach the hub.
    pub hub: SocketAddrV4,
    /// Zone of the hub.
    pub zone: String,
    /// Tells two processes of the hub apart.
    pub incarnation: u64,
    /// Rises with each digest of a process.
    pub sequence: u64,
    /// How new the hub's copies are.
    pub versions: CopyVersions,
    /// The nodes of the hub's zone, for other hubs.
    pub zones: Option<Vec<ZoneMembers>>,
    /// What a node that asked lacks of the hub's list of the fleet; left out where it
    /// lacks nothing.
    pub roster: Option<RosterUpdate>,
    /// Load on the servers of all nodes that the digest is about, the busiest
    /// servers first; left out where it was told a moment ago.
    pub loads: Option<Vec<(ServerKey, ServerLoad)>>,
    /// The newest that was heard of the node that orders the servers.
    pub placement: Option<ToldPlacement>,
    /// Contents that were present at crashes of servers, where that has changed lately.
    pub suspects: Vec<SuspectReport>,
    /// What servers report of themselves, where that has changed lately.
    pub signals: Vec<SignalReport>,
}

/// Asks a node since when it knows that its configuration is the store's newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofRequest {
    /// Where the answer goes.
    pub from: SocketAddrV4,
    /// Tells the answer from those to other requests.
    pub number: u64,
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAnswer {
    /// Number of the request.
    pub number: u64,
    /// Version of the configuration in force at the node that answers.
    pub configuration: u64,
    /// Era of the store that told so.
    pub era: StoreEra,
    /// Milliseconds since the store is known to have held nothing newer; none where that
    /// is not known.
    pub age_millis: Option<u32>,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A node tells of itself.
    Heartbeat(Heartbeat),
    /// A node tells a hub of itself, and asks for digests of the fleet.
    HeartbeatToHub(Heartbeat, DigestRequest),
    /// A hub tells other hubs of its zone.
    ZoneDigest(Digest),
    /// A hub tells a node of the fleet.
    FleetDigest(Digest),
    /// A node asks since when its configuration is the newest.
    ProofRequest(ProofRequest),
    /// The answer.
    ProofAnswer(ProofAnswer),
}

impl Message {
    /// As sent: the format's version, then the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(&(FORMAT, self)).unwrap_or_default()
    }

    /// As received.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
        if format != FORMAT {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}
