//! Messages between nodes, sent over UDP.

use std::net::SocketAddrV4;

use cometmoor_core::gateway::brittle::BrittleReport;
use cometmoor_core::gateway::quarantine::{PartReport, SuspectReport};
use cometmoor_core::gateway::server_speed::SpeedReport;
use cometmoor_core::gateway::signals::SignalReport;
use cometmoor_core::gateway::store_position::{StoreEra, StorePosition};
use serde::{Deserialize, Serialize};

use super::capacity::CapacityClass;
use super::load_notices::{LoadNotice, WaitReport};
use super::packed::PackedZone;
use crate::load::{ModelDemand, ModelKey, ServerKey, ServerLoad};

/// Version of the message format. Messages of another version are dropped.
const FORMAT_VERSION: u8 = 19;

/// Phase of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It has no configuration yet.
    Starting,
    /// It accepts client requests.
    Ready,
    /// It is shutting down.
    Leaving,
    /// It accepts client requests, but has lost its links to the servers.
    Isolated,
}

/// Recent changes to the placement of models, announced by the leader before they appear in the
/// registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Fencing token of the leader's term; 0 while it may not send orders yet.
    pub token: u64,
    /// Increases with each change within a term.
    pub sequence: u64,
    /// Peer address of the leader.
    pub leader: SocketAddrV4,
    /// Models and adapters that servers have loaded.
    pub added: Vec<(ServerKey, ModelKey)>,
    /// Models and adapters that servers are about to unload.
    pub withdrawn: Vec<(ServerKey, ModelKey)>,
}

/// Version by which placements are ordered: a later term's is newer, and within a term the one
/// with the higher sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlacementVersion {
    /// Fencing token of the term.
    pub token: u64,
    /// Sequence number within the term.
    pub sequence: u64,
}

impl Placement {
    /// Version of this placement.
    pub fn version(&self) -> PlacementVersion {
        PlacementVersion { token: self.token, sequence: self.sequence }
    }
}

/// The leader's announcement, as relayed by a hub.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedPlacement {
    /// Peer address of the leader.
    pub leader: SocketAddrV4,
    /// Version of its latest placement.
    pub version: PlacementVersion,
    /// Milliseconds since the leader itself sent it.
    pub age_millis: u32,
    /// The placement; `None` if the hub sent it recently.
    pub placement: Option<Placement>,
}

/// Versions and ages of a node's copies of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyVersions {
    /// Version of its configuration.
    pub configuration: u64,
    /// Position in the store's history of its copy of the servers.
    pub servers: StorePosition,
    /// Age of the store's latest answer, to any node, that confirms this version of the
    /// configuration.
    pub configuration_age: CopyAge,
    /// The same for the servers.
    pub servers_age: CopyAge,
}

/// Milliseconds since the store's latest answer, to any node, that shows that a copy is
/// complete; `None` if none is known.
pub type CopyAge = Option<u32>;

/// A node's regular report on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the node.
    pub node: String,
    /// Distinguishes processes of the same node; later processes have higher numbers.
    pub incarnation: u64,
    /// Increases with each heartbeat of a process.
    pub sequence: u64,
    /// Zone of the node.
    pub zone: String,
    /// Address for clients.
    pub client_address: SocketAddrV4,
    /// Address for messages from other nodes.
    pub peer_address: SocketAddrV4,
    /// Phase of its process.
    pub phase: PeerPhase,
    /// Versions of its copies of the store.
    pub versions: CopyVersions,
    /// Whether it reads the store itself, and the store answers.
    pub reads_store: bool,
    /// Whether the store does not answer it.
    pub store_fails: bool,
    /// Capacity of its machine. [`Message::encode`] appends it to the message, which nodes that do
    /// not know it ignore.
    #[serde(skip)]
    pub capacity: CapacityClass,
    /// Its load on the servers; `None` if it was sent recently.
    pub loads: Option<Vec<(ServerKey, ServerLoad)>>,
    /// Counters of the work requested from models since its process started, for those that
    /// changed recently.
    pub demand: Vec<(ModelKey, ModelDemand)>,
    /// Models and adapters for which its requests wait now.
    pub awaited_models: Vec<ModelKey>,
    /// Content that was in flight during crashes of servers, for records that changed recently.
    pub suspects: Vec<SuspectReport>,
    /// State that servers report about themselves, for records that changed recently.
    pub signals: Vec<SignalReport>,
    /// Its placement, if it is leader.
    pub placement: Option<Placement>,
    /// Number of other nodes that it knows.
    pub member_count: u16,
    /// Addresses of some of the other nodes.
    pub known_peers: Vec<SocketAddrV4>,
}

/// A node in a hub's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Address for messages from other nodes.
    pub peer_address: SocketAddrV4,
    /// Address for clients.
    pub client_address: SocketAddrV4,
    /// Phase of its process.
    pub phase: PeerPhase,
    /// Whether it reads the store itself, and the store answers.
    pub reads_store: bool,
    /// Whether the store does not answer it.
    pub store_fails: bool,
    /// Capacity of its machine; unknown in messages for nodes that use uncommon ports.
    #[serde(skip)]
    pub capacity: CapacityClass,
}

/// The nodes of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PackedZone", into = "PackedZone")]
pub struct ZoneMembers {
    /// Name of the zone.
    pub zone: String,
    /// Its nodes.
    pub members: Vec<MemberEntry>,
}

/// A version of a hub's roster, its list of the nodes of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterVersion {
    /// Distinguishes processes of the hub.
    pub incarnation: u64,
    /// Increases with each change to the roster.
    pub number: u64,
}

/// A node's request to a hub for digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestRequest {
    /// The version of the hub's roster that the node has; `None` if it has none.
    pub known_roster: Option<RosterVersion>,
    /// Whether digests are to include the servers' load, which is needed from one hub only.
    pub wants_loads: bool,
}

/// The changes from one version of a hub's roster to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// Version after the update.
    pub version: u64,
    /// Version on which the update is based; `None` if it is the full roster.
    pub base_version: Option<u64>,
    /// Nodes that are new or changed.
    pub updated: Vec<ZoneMembers>,
    /// Nodes that are no longer in the roster.
    pub removed: Vec<SocketAddrV4>,
}

/// A hub's report on many nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Peer address of the hub.
    pub hub: SocketAddrV4,
    /// Zone of the hub.
    pub zone: String,
    /// Distinguishes processes of the hub.
    pub incarnation: u64,
    /// Increases with each round of digests of a process.
    pub sequence: u64,
    /// Versions of the hub's copies of the store.
    pub versions: CopyVersions,
    /// The nodes of the hub's zone, in digests for other hubs.
    pub zones: Option<Vec<ZoneMembers>>,
    /// The changes to the roster that the recipient lacks; `None` if it lacks none.
    pub roster: Option<RosterUpdate>,
    /// Load on the servers from all nodes that the digest covers, busiest servers first; `None`
    /// if it was sent recently or is not requested.
    pub loads: Option<Vec<(ServerKey, ServerLoad)>>,
    /// The leader's latest announcement.
    pub placement: Option<RelayedPlacement>,
    /// Content that was in flight during crashes of servers, for records that changed recently.
    pub suspects: Vec<SuspectReport>,
    /// State that servers report about themselves, for records that changed recently.
    pub signals: Vec<SignalReport>,
}

/// Asks a node for the age of its proof that its configuration is the store's newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofRequest {
    /// Address to which the answer is sent.
    pub from: SocketAddrV4,
    /// Request number, which the answer repeats.
    pub number: u64,
}

/// The answer to a [`ProofRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofAnswer {
    /// Number of the request.
    pub number: u64,
    /// Version of the configuration in force on the answering node.
    pub configuration: u64,
    /// Era of the store that proved it.
    pub era: StoreEra,
    /// Milliseconds since the store is known to have held nothing newer; `None` if there is no
    /// proof.
    pub age_millis: Option<u32>,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A node's heartbeat.
    Heartbeat(Heartbeat),
    /// A node's heartbeat to a hub, with a request for digests of the fleet.
    HeartbeatToHub(Heartbeat, DigestRequest),
    /// A hub's digest of its zone, for other hubs.
    ZoneDigest(Digest),
    /// A hub's digest of the fleet, for a node that requested it.
    FleetDigest(Digest),
    /// A node's request for a proof of the configuration.
    ProofRequest(ProofRequest),
    /// The answer to a request for a proof.
    ProofAnswer(ProofAnswer),
    /// What a node knows of brittle servers, for the recipients of its other messages. Nodes that
    /// do not know this message drop it.
    Brittle(BrittleReport),
    /// A node's report to the leader on weights that its requests wait for. Nodes that do not know
    /// this message or the next one drop it.
    WaitReport(WaitReport),
    /// The leader's notice of loads to a node whose requests wait for them.
    LoadNotice(LoadNotice),
    /// What a node has learned of the servers' speeds, for the recipients of its other messages.
    /// Nodes that do not know this message drop it.
    ServerSpeeds(SpeedReport),
    /// What a node knows of parts of prompts that may crash servers, for the recipients of its other
    /// messages. Nodes that do not know this message drop it.
    CrashingParts(PartReport),
}

impl Message {
    /// Encodes the format version and the message with `postcard`, and after a heartbeat the
    /// capacity of its node's machine.
    pub fn encode(&self) -> Vec<u8> {
        let mut encoded = postcard::to_stdvec(&(FORMAT_VERSION, self)).unwrap_or_default();
        if let Message::Heartbeat(heartbeat) | Message::HeartbeatToHub(heartbeat, _) = self {
            encoded.push(heartbeat.capacity.bits());
        }
        encoded
    }

    /// Decodes a datagram; `None` if it is malformed or has another format version.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
        if format != FORMAT_VERSION {
            return None;
        }
        let (mut message, rest) = postcard::take_from_bytes::<Message>(rest).ok()?;
        if let Message::Heartbeat(heartbeat) | Message::HeartbeatToHub(heartbeat, _) = &mut message
        {
            heartbeat.capacity =
                CapacityClass::from_bits(rest.first().copied().unwrap_or_default());
        }
        Some(message)
    }
}
