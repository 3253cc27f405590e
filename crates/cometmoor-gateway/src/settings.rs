//! Settings of a gateway node.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use cometmoor_core::gateway::proof::ProofLimits;
use cometmoor_core::gateway::quota::{MAX_TENANT_FALLBACK_WAIT, QuotaBounds};
use cometmoor_core::gateway::staleness::StalenessLimits;
use serde::{Deserialize, Serialize};

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable(String),
    /// A field is wrong.
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

/// Settings of a gateway node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the node, used in orders and logs.
    pub node: String,
    /// Zone that the node stands in.
    pub zone: String,
    /// Address for clients' requests.
    pub client_address: SocketAddrV4,
    /// Address at which the platform asks whether the node is ready.
    pub ready_address: SocketAddrV4,
    /// Address at which clients ask which nodes to use.
    pub directory_address: SocketAddrV4,
    /// Address for other nodes, by UDP and TCP; its port is the same on all.
    pub peer_address: SocketAddrV4,
    /// Address at which nodes lend one another allowances of tenants, by UDP; its port is
    /// the same on all.
    pub quota_address: SocketAddrV4,
    /// Address for metrics; none where it is missing.
    #[serde(default)]
    pub metrics_address: Option<SocketAddrV4>,
    /// Peer addresses of some nodes, which may be outdated.
    pub seeds: Vec<SocketAddrV4>,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Whether this is the first start of the whole fleet.
    #[serde(default)]
    pub fresh_fleet: bool,
    /// Bounds that the operator promises.
    pub bounds: BoundsSettings,
    /// Most connections of clients at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Life of the directory's answers, in milliseconds.
    #[serde(default = "default_directory_lifetime")]
    pub directory_lifetime_millis: u64,
    /// Mechanisms of the policy that may be switched off to measure what each
    /// is worth; all are on where the object or a field is missing.
    #[serde(default)]
    pub mechanisms: MechanismSettings,
}

/// Mechanisms of the policy, each on unless switched off. Only for measuring
/// what one is worth: with any of them off, the node serves worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct MechanismSettings {
    /// Servers that read the same leading parts of a prompt before are
    /// preferred, by a hash of the model and those parts.
    pub prompt_affinity: bool,
    /// A request that every server would answer after its objective is
    /// refused at once instead of being sent.
    pub early_refusal: bool,
    /// A request that finds no server waits a little for one.
    pub wait_for_server: bool,
    /// The leader moves models between servers; adapters move either way.
    pub model_moves: bool,
    /// A prompt that would make the running streams of a server pause for too
    /// long goes to another one, or waits a little.
    pub pause_protection: bool,
    /// Running streams move to other servers before their model is unloaded or
    /// their server leaves.
    pub run_migration: bool,
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
        }
    }
}

/// Bounds that the operator promises.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct BoundsSettings {
    /// Seconds from the signal to stop until the process is killed.
    pub grace_seconds: f64,
    /// Repeated sends for each request to a service.
    pub retry_ratio: f64,
    /// Repeated sends beyond the ratio, over all nodes.
    pub retry_extra: f64,
    /// Window of both, in seconds.
    pub retry_window_seconds: f64,
    /// Life of the lease under which servers are ordered, in milliseconds.
    pub lease_millis: u64,
    /// Window in which loads from the weight store are counted, in seconds.
    pub load_window_seconds: f64,
    /// Milliseconds between two writes of a server's entry.
    #[serde(default = "default_server_heartbeat_millis")]
    pub server_heartbeat_millis: u64,
    /// Milliseconds from the store's answer until a leaving server gets no new
    /// work.
    #[serde(default = "default_bound_millis")]
    pub drain_millis: u64,
    /// Milliseconds from the store's answer until a configuration is in force.
    #[serde(default = "default_bound_millis")]
    pub apply_millis: u64,
    /// Milliseconds from the store's answer until a key that was taken away runs nothing,
    /// also on nodes that are cut off; left out where that is promised for nodes in touch
    /// with the store only.
    #[serde(default)]
    pub revoke_millis: Option<u64>,
    /// Window in which what a tenant runs is counted, in seconds.
    #[serde(default = "default_quota_window")]
    pub quota_window_seconds: f64,
    /// Part of a limit by which all nodes together may exceed it.
    #[serde(default = "default_quota_excess")]
    pub quota_excess: f64,
    /// Amount beyond that, in the limit's unit.
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
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<GatewaySettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(format!("{}: {error}", path.display())))?;
        GatewaySettings::parse(&text)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let settings: GatewaySettings = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|error| SettingsError::Invalid(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
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
        ];
        for (name, value) in positive {
            let usable = value > 0.0 && Duration::try_from_secs_f64(value).is_ok();
            if !usable {
                return Err(SettingsError::Invalid(format!("{name} must be above zero")));
            }
        }
        let shares = [
            ("bounds.retryRatio", self.bounds.retry_ratio),
            ("bounds.retryExtra", self.bounds.retry_extra),
            ("bounds.quotaExcess", self.bounds.quota_excess),
            ("bounds.quotaSlack", self.bounds.quota_slack),
        ];
        for (name, value) in shares {
            if !(value.is_finite() && value >= 0.0) {
                return Err(SettingsError::Invalid(format!("{name} must not be negative")));
            }
        }
        Ok(())
    }

    /// Life of the directory's answers.
    pub fn directory_lifetime(&self) -> Duration {
        Duration::from_millis(self.directory_lifetime_millis)
    }

    /// Pause between two writes of a server's entry.
    pub fn server_heartbeat(&self) -> Duration {
        Duration::from_millis(self.bounds.server_heartbeat_millis)
    }

    /// How old this node's copies of the store may become.
    pub fn staleness_limits(&self) -> StalenessLimits {
        let millis = self.bounds.drain_millis.min(self.bounds.apply_millis);
        StalenessLimits::new(Duration::from_millis(millis))
    }

    /// For how long this node's copy of the configuration counts after it was shown to be
    /// the newest.
    pub fn proof_limits(&self) -> ProofLimits {
        let revoke = self.bounds.revoke_millis.map(Duration::from_millis);
        ProofLimits::new(Duration::from_millis(self.bounds.apply_millis), revoke)
    }

    /// What operators promise of tenants' limits.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.bounds.quota_window_seconds),
            excess: self.bounds.quota_excess,
            slack: self.bounds.quota_slack,
            max_fallback_wait: MAX_TENANT_FALLBACK_WAIT,
        }
    }

    /// Window in which repeated sends are counted.
    pub fn retry_window(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.retry_window_seconds)
    }

    /// Time from the signal to stop until the process is killed.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_seconds)
    }
}
