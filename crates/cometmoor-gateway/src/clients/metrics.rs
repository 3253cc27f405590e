//! Metrics of what the node holds for clients.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Labels of the connections of a listener.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ListenerLabels {
    /// `clients`, `directory`, `readiness`, `metrics` or `peers`.
    listener: &'static str,
}

/// Labels of connections that were closed for want of room.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionEventLabels {
    listener: &'static str,
    /// `evicted` for a new one, or `refused`.
    event: &'static str,
}

/// Metrics of what the node holds for clients.
#[derive(Clone, Debug, Default)]
pub struct ClientMetrics {
    /// Memory in use for connections and bodies, in bytes.
    pub memory: Gauge,
    /// Bound of that memory, in bytes.
    pub memory_limit: Gauge,
    /// Bodies that were not received completely and had to make room for others.
    pub evicted_bodies: Counter,
    connections: Family<ListenerLabels, Gauge>,
    connection_limits: Family<ListenerLabels, Gauge>,
    closed_connections: Family<ConnectionEventLabels, Counter>,
}

impl ClientMetrics {
    /// Registers them.
    pub fn register(&self, registry: &mut Registry) {
        let memory = self.memory.clone();
        registry.register("client_memory_bytes", "Memory in use for clients", memory);
        let limit = self.memory_limit.clone();
        registry.register("client_memory_limit_bytes", "Bound of that memory", limit);
        let evicted = self.evicted_bodies.clone();
        registry.register("evicted_bodies", "Unfinished bodies that made room", evicted);
        let connections = self.connections.clone();
        registry.register("connections", "Open connections by listener", connections);
        let limits = self.connection_limits.clone();
        registry.register("connection_limit", "Bound of the connections by listener", limits);
        let closed = self.closed_connections.clone();
        registry.register("closed_connections", "Connections closed for want of room", closed);
    }

    /// Sets the number of connections of a listener.
    pub fn set_connections(&self, listener: &'static str, count: usize) {
        self.connections.get_or_create(&ListenerLabels { listener }).set(count as i64);
    }

    /// Sets the maximum number of connections of a listener.
    pub fn set_connection_limit(&self, listener: &'static str, limit: usize) {
        self.connection_limits.get_or_create(&ListenerLabels { listener }).set(limit as i64);
    }

    /// Counts a connection that was closed for want of room.
    pub fn record_connection(&self, listener: &'static str, event: &'static str) {
        self.closed_connections.get_or_create(&ConnectionEventLabels { listener, event }).inc();
    }
}
