//! Counters of messages to other nodes and of calls to the store, and of their bytes, by kind.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use spdlog::info;

/// Kinds of control traffic that have counters of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrafficKind {
    /// State that a node reports of itself.
    Heartbeat,
    /// State of a zone, from one of its hubs to other hubs.
    ZoneDigest,
    /// State of the fleet, from a hub to a node.
    FleetDigest,
    /// A request for a proof that the configuration is the newest, or the response.
    Proof,
    /// Observations of the servers' speeds.
    ServerSpeeds,
    /// Messages about allowances that nodes lend one another.
    Quota,
    /// Records of, and questions for, the software versions that began streams.
    StreamOrigin,
    /// A copy of the configuration that is sent to a peer.
    ConfigurationCopy,
    /// A copy of the servers' registry entries that is sent to a peer.
    ServersCopy,
    /// A read from the store.
    StoreRead,
    /// A watch of the store.
    StoreWatch,
    /// A write to the store.
    StoreCommit,
    /// A grant, renewal or revocation of a lease in the store.
    StoreLease,
}

impl TrafficKind {
    const ALL: [TrafficKind; 13] = [
        TrafficKind::Heartbeat,
        TrafficKind::ZoneDigest,
        TrafficKind::FleetDigest,
        TrafficKind::Proof,
        TrafficKind::ServerSpeeds,
        TrafficKind::Quota,
        TrafficKind::StreamOrigin,
        TrafficKind::ConfigurationCopy,
        TrafficKind::ServersCopy,
        TrafficKind::StoreRead,
        TrafficKind::StoreWatch,
        TrafficKind::StoreCommit,
        TrafficKind::StoreLease,
    ];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            TrafficKind::Heartbeat => "heartbeat",
            TrafficKind::ZoneDigest => "zone_digest",
            TrafficKind::FleetDigest => "fleet_digest",
            TrafficKind::Proof => "proof",
            TrafficKind::ServerSpeeds => "server_speeds",
            TrafficKind::Quota => "quota",
            TrafficKind::StreamOrigin => "stream_origin",
            TrafficKind::ConfigurationCopy => "configuration_copy",
            TrafficKind::ServersCopy => "servers_copy",
            TrafficKind::StoreRead => "store_read",
            TrafficKind::StoreWatch => "store_watch",
            TrafficKind::StoreCommit => "store_commit",
            TrafficKind::StoreLease => "store_lease",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// Counters of this node's control traffic since the start of its process. Clones share the same
/// counters.
#[derive(Clone, Debug, Default)]
pub struct ControlTraffic {
    messages: Family<KindLabels, Counter>,
    bytes: Family<KindLabels, Counter>,
}

impl ControlTraffic {
    /// Counts sent messages of `bytes_each` bytes. For a call to the store, the bytes of the
    /// response body are counted.
    pub fn count(&self, kind: TrafficKind, messages: usize, bytes_each: usize) {
        let labels = KindLabels { kind: kind.name() };
        let messages = u64::try_from(messages).unwrap_or(u64::MAX);
        let bytes_each = u64::try_from(bytes_each).unwrap_or(u64::MAX);
        self.messages.get_or_create(&labels).inc_by(messages);
        self.bytes.get_or_create(&labels).inc_by(messages.saturating_mul(bytes_each));
    }

    /// Number of messages of a kind so far, and the sum of their bytes.
    pub fn sent(&self, kind: TrafficKind) -> (u64, u64) {
        let labels = KindLabels { kind: kind.name() };
        (self.messages.get_or_create(&labels).get(), self.bytes.get_or_create(&labels).get())
    }

    /// Registers the counters as metrics.
    pub fn register(&self, registry: &mut Registry) {
        let (messages, bytes) = (self.messages.clone(), self.bytes.clone());
        registry.register("control_messages", "Messages sent to peers and the store", messages);
        registry.register("control_bytes", "Bytes of messages between nodes, by sender", bytes);
    }

    /// Logs the counters of all kinds in one line.
    pub fn log(&self) {
        let kinds = TrafficKind::ALL.map(|kind| {
            let (messages, bytes) = self.sent(kind);
            format!("{}={messages}/{bytes}", kind.name())
        });
        let sent = kinds.join(" ");
        info!("[control] messages and bytes sent so far, by kind", kv: { sent });
    }
}
