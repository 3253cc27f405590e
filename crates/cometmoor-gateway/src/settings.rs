//! Settings of a gateway node, which are read from a JSON file.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use cometmoor_core::gateway::overload::{Machine, NodeBounds};
use cometmoor_core::gateway::proof::ProofLimits;
use cometmoor_core::gateway::quota::{MAX_TENANT_FALLBACK_WAIT, QuotaBounds};
use cometmoor_core::gateway::staleness::StalenessLimits;
use serde::{Deserialize, Serialize};

use crate::membership::CapacityClass;

const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(String),
    /// The text is not valid, or the value of a field is out of range.
    Invalid(String),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Unreadable(reason) => write!(formatter, "settings: {reason}"),
            SettingsError::Invalid(reason) => write!(formatter, "settings: {reason}"),
        }
    }
}

/// Settings of a gateway node. Unknown fields are rejected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the node in orders and log lines.
    pub node: String,
    /// Zone in which the node runs.
    pub zone: String,
    /// Address for clients' requests.
    pub client_address: SocketAddrV4,
    /// Address of the readiness endpoint, for the platform.
    pub ready_address: SocketAddrV4,
    /// Address of the directory, which returns the nodes that clients may use.
    pub directory_address: SocketAddrV4,
    /// Address for messages of other nodes, by UDP and TCP. The port is the same on all nodes.
    pub peer_address: SocketAddrV4,
    /// UDP address for messages about allowances that nodes lend one another. The port is the
    /// same on all nodes.
    pub quota_address: SocketAddrV4,
    /// Address at which the node opens connections to servers for nodes that have lost their own
    /// links. The port is the same on all nodes. Without it this node does that for none, and is
    /// served by none.
    #[serde(default)]
    pub tunnel_address: Option<SocketAddrV4>,
    /// UDP address for messages about streams that clients may resume at another node. The port is
    /// the same on all nodes. Without it this node knows only the streams that it has served itself.
    #[serde(default)]
    pub stream_address: Option<SocketAddrV4>,
    /// Address of the metrics endpoint; without it there is no such endpoint.
    #[serde(default)]
    pub metrics_address: Option<SocketAddrV4>,
    /// Peer addresses of some nodes, from which the node learns of the others. They may be
    /// outdated.
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Whether this is the first start of the whole fleet.
    #[serde(default)]
    pub fresh_fleet: bool,
    /// Bounds that the operator guarantees.
    pub bounds: BoundsSettings,
    /// The machine that the node runs on.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Maximum number of concurrent connections of clients. The machine may bear fewer.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Maximum memory for clients' connections and requests, in MB (10^6 bytes). By default what the
    /// machine's memory leaves.
    #[serde(default)]
    pub max_client_megabytes: Option<f64>,
    /// Time for which a response of the directory is valid, in milliseconds.
    #[serde(default = "default_directory_lifetime")]
    pub directory_lifetime_millis: u64,
    /// Mechanisms of the policy, which can be disabled to measure the benefit of each. All are
    /// enabled if the object is missing, and each one whose field is missing.
    #[serde(default)]
    pub mechanisms: MechanismSettings,
}

/// What the node may use of its machine. In a fleet of different machines, hubs, the nodes that read
/// the store and the leader are on those with the most capacity. All machines count as equal where
/// nothing is set. What the node holds for clients is bounded by memory and descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Share of a core that the process may use; above 1 for several cores.
    pub cpu_share: Option<f64>,
    /// Rate of the link, in Mbit/s.
    pub link_megabits: Option<f64>,
    /// Memory of the process, in MB (10^6 bytes), beyond which it may be killed.
    pub memory_megabytes: Option<f64>,
    /// Number of descriptors that the process may open.
    pub max_descriptors: Option<usize>,
}

impl MachineSettings {
    /// Coarse capacity of the machine.
    pub fn capacity(&self) -> CapacityClass {
        CapacityClass::of(self.cpu_share, self.link_megabits)
    }

    fn limits(&self) -> Machine {
        let memory = self.memory_megabytes.map(|megabytes| (megabytes * BYTES_PER_MEGABYTE) as u64);
        Machine { memory, descriptors: self.max_descriptors }
    }
}

/// Mechanisms of the policy, each of which is enabled by default. They are disabled only to
/// measure their benefit: with any of them disabled, the node serves requests worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct MechanismSettings {
    /// Servers that have processed the same prefix of a prompt before are preferred, by a hash of
    /// the model and the prefix's parts.
    pub prompt_affinity: bool,
    /// A request that no server would answer within its latency objective is refused immediately
    /// instead of being sent.
    pub early_refusal: bool,
    /// A request for which no server is available waits briefly for one.
    pub wait_for_server: bool,
    /// The leader moves models between servers. Adapters are moved even if this is disabled.
    pub model_moves: bool,
    /// A prompt whose prefill would pause the running streams of a server for too long is sent to
    /// another server, or waits briefly.
    pub pause_protection: bool,
    /// Running streams are migrated to other servers before their model is unloaded or their
    /// server leaves.
    pub run_migration: bool,
    /// Where models load fast enough to follow demand, replicas are placed so that the utilization
    /// of servers is balanced.
    pub balanced_placement: bool,
    /// The speed of each server, measured from its streams, decides on placement and on the
    /// selection of servers.
    pub server_speeds: bool,
    /// Where the configuration has tenants, requests wait for servers in a queue that is fair to
    /// tenants.
    pub dispatch_queue: bool,
}

impl Default for MechanismSettings {
    fn default() -> MechanismSettings {
        MechanismSettings {
            prompt_affinity: true,
            early_refusal: true,
            wait_for_server: true,
            model_moves: true,
            pause_protection: true,
            run_migration: true,
            balanced_placement: true,
            server_speeds: true,
            dispatch_queue: true,
        }
    }
}

/// Bounds that the operator guarantees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct BoundsSettings {
    /// Seconds from the stop signal until the process is killed.
    pub grace_seconds: f64,
    /// Retries per request to a service.
    pub retry_ratio: f64,
    /// Retries per window in addition to the ratio, over all nodes.
    pub retry_extra: f64,
    /// Length of the sliding window in which retries are counted, in seconds.
    pub retry_window_seconds: f64,
    /// Lifetime of the leader's lease, under which it sends orders to servers, in milliseconds.
    pub lease_millis: u64,
    /// Length of the window in which loads from the weight store are counted, in seconds.
    pub load_window_seconds: f64,
    /// Interval between two writes of a server's registry entry, in milliseconds.
    #[serde(default = "default_server_heartbeat_millis")]
    pub server_heartbeat_millis: u64,
    /// Maximum time in milliseconds from the store's response to the write that marks a server as
    /// leaving until the server gets no new work.
    #[serde(default = "default_bound_millis")]
    pub drain_millis: u64,
    /// Maximum time in milliseconds from the store's response to the write of a configuration
    /// until it is in force.
    #[serde(default = "default_bound_millis")]
    pub apply_millis: u64,
    /// Maximum time in milliseconds from the store's response to the revocation of a key until no
    /// node runs requests with it, including nodes that are partitioned from the store. `None` if
    /// that is guaranteed only for nodes that the store answers.
    #[serde(default)]
    pub revoke_millis: Option<u64>,
    /// Length of the window for which the bounds on tenants' limits hold, in seconds.
    #[serde(default = "default_quota_window")]
    pub quota_window_seconds: f64,
    /// Fraction of a tenant's allowance by which all nodes together may exceed it.
    #[serde(default = "default_quota_excess")]
    pub quota_excess: f64,
    /// Fixed amount beyond the allowance and its excess, in the limit's unit.
    #[serde(default)]
    pub quota_slack: f64,
}

fn default_quota_window() -> f64 {
    10.0
}

fn default_quota_excess() -> f64 {
    0.1
}

fn default_bound_millis() -> u64 {
    2000
}

fn default_server_heartbeat_millis() -> u64 {
    1200
}

fn default_max_connections() -> usize {
    1500
}

fn default_directory_lifetime() -> u64 {
    1000
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<GatewaySettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(format!("{}: {error}", path.display())))?;
        GatewaySettings::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: GatewaySettings = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| SettingsError::Invalid(error.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        let positive = [
            ("bounds.graceSeconds", self.bounds.grace_seconds),
            ("bounds.retryWindowSeconds", self.bounds.retry_window_seconds),
            ("bounds.leaseMillis", self.bounds.lease_millis as f64),
            ("bounds.loadWindowSeconds", self.bounds.load_window_seconds),
            ("bounds.serverHeartbeatMillis", self.bounds.server_heartbeat_millis as f64),
            ("bounds.drainMillis", self.bounds.drain_millis as f64),
            ("bounds.applyMillis", self.bounds.apply_millis as f64),
            ("bounds.quotaWindowSeconds", self.bounds.quota_window_seconds),
            ("bounds.revokeMillis", self.bounds.revoke_millis.unwrap_or(1) as f64),
            ("directoryLifetimeMillis", self.directory_lifetime_millis as f64),
            ("maxConnections", self.max_connections as f64),
            ("machine.cpuShare", self.machine.cpu_share.unwrap_or(1.0)),
            ("machine.linkMegabits", self.machine.link_megabits.unwrap_or(1.0)),
            ("machine.memoryMegabytes", self.machine.memory_megabytes.unwrap_or(1.0)),
            ("machine.maxDescriptors", self.machine.max_descriptors.unwrap_or(1) as f64),
            ("maxClientMegabytes", self.max_client_megabytes.unwrap_or(1.0)),
        ];
        for (name, value) in positive {
            let is_valid = value > 0.0 && Duration::try_from_secs_f64(value).is_ok();
            if !is_valid {
                return Err(SettingsError::Invalid(format!("{name} must be above zero")));
            }
        }
        let non_negative = [
            ("bounds.retryRatio", self.bounds.retry_ratio),
            ("bounds.retryExtra", self.bounds.retry_extra),
            ("bounds.quotaExcess", self.bounds.quota_excess),
            ("bounds.quotaSlack", self.bounds.quota_slack),
        ];
        for (name, value) in non_negative {
            if !(value.is_finite() && value >= 0.0) {
                return Err(SettingsError::Invalid(format!("{name} must not be negative")));
            }
        }
        Ok(())
    }

    /// Bounds on what the node holds for clients.
    pub fn node_bounds(&self) -> NodeBounds {
        let bytes = |megabytes: f64| (megabytes * BYTES_PER_MEGABYTE) as usize;
        let max_client_memory = self.max_client_megabytes.map(bytes);
        NodeBounds::new(self.machine.limits(), max_client_memory, self.max_connections)
    }

    /// Time for which a response of the directory is valid.
    pub fn directory_lifetime(&self) -> Duration {
        Duration::from_millis(self.directory_lifetime_millis)
    }

    /// Interval between two writes of a server's registry entry.
    pub fn server_heartbeat(&self) -> Duration {
        Duration::from_millis(self.bounds.server_heartbeat_millis)
    }

    /// Limits on the age of this node's copies of the store, by the stricter one of the drain and
    /// the apply bound.
    pub fn staleness_limits(&self) -> StalenessLimits {
        let millis = self.bounds.drain_millis.min(self.bounds.apply_millis);
        StalenessLimits::new(Duration::from_millis(millis))
    }

    /// Limits on the age of the proof that this node's copy of the configuration is the newest.
    pub fn proof_limits(&self) -> ProofLimits {
        let revoke = self.bounds.revoke_millis.map(Duration::from_millis);
        ProofLimits::new(Duration::from_millis(self.bounds.apply_millis), revoke)
    }

    /// Bounds on the usage of tenants beyond their limits.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.bounds.quota_window_seconds),
            excess: self.bounds.quota_excess,
            slack: self.bounds.quota_slack,
            max_fallback_wait: MAX_TENANT_FALLBACK_WAIT,
        }
    }

    /// Time for which a server that leaves goes on serving.
    pub fn drain_time(&self) -> Duration {
        Duration::from_millis(self.bounds.drain_millis)
    }

    /// Length of the sliding window in which retries are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.retry_window_seconds)
    }

    /// Time from the stop signal until the process is killed.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_seconds)
    }
}
