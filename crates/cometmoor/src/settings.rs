//! The settings file of a node: JSON, checked as a whole before anything runs.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Settings of one node.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Settings {
    /// Name of the system, equal on all its nodes: `a-z`, `0-9` and `-`.
    pub system: String,
    /// Name of this node, unique in the system: `a-z`, `0-9` and `-`.
    pub node: String,
    /// Zone of this machine.
    pub zone: String,
    /// Region of this machine.
    pub region: String,
    /// Where callers connect.
    pub client_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where the other nodes connect.
    pub peer_address: SocketAddr,
    /// Peer addresses of some other nodes, to find the rest through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Secret that all nodes of the system share, at least 16 characters.
    pub peer_secret: String,
    /// SHA-256 of the operators' bearer key, as 64 hexadecimal digits.
    pub operator_key_hash: String,
    /// The configuration store.
    pub store: StoreSettings,
    /// The platform's list of machines, where there is one.
    #[serde(default)]
    pub machine_list: Option<MachineListSettings>,
    /// Limits of the weight store, for the whole fleet.
    pub weight_store: WeightStoreSettings,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Periods and timeouts.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    #[schemars(range(min = 1, max = 256))]
    pub traffic_threads: usize,
    /// Where traces go.
    #[serde(default)]
    pub traces: TraceSettings,
}

/// The configuration store.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct StoreSettings {
    /// Addresses of the store's HTTP gateway, tried in order.
    #[schemars(length(min = 1))]
    pub addresses: Vec<SocketAddr>,
    /// Calls a second that this node may make.
    #[serde(default = "default_store_calls")]
    #[schemars(range(min = 1.0))]
    pub calls_per_second: f64,
    /// Milliseconds after which a call counts as unanswered.
    #[serde(default = "default_store_timeout")]
    #[schemars(range(min = 1))]
    pub timeout_millis: u64,
}

/// The platform's list of machines.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachineListSettings {
    /// Address of the list.
    pub address: SocketAddr,
}

/// Limits of the weight store.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Loads that may start in a second.
    #[schemars(range(min = 0.001))]
    pub loads_per_second: f64,
    /// Loads that may run at the same time.
    #[schemars(range(min = 1))]
    pub concurrent_loads: u32,
}

/// Bounds on callers.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    #[schemars(range(min = 1))]
    pub body_bytes: usize,
    /// Memory for the bodies of all callers together and for what is made of them, in bytes. A
    /// body takes five times its size.
    #[schemars(range(min = 1_048_576))]
    pub client_memory_bytes: usize,
    /// Connections of callers at the same time.
    #[schemars(range(min = 1))]
    pub connections: usize,
    /// Largest answer of an engine or service, in bytes.
    #[schemars(range(min = 1))]
    pub answer_bytes: usize,
    /// Requests that may wait for one model.
    #[schemars(range(min = 1))]
    pub waiting_per_model: usize,
    /// Requests that may wait for one model from one group.
    #[schemars(range(min = 1))]
    pub waiting_per_group: usize,
    /// Attempts beyond the first, as a share of the requests.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retry_share: f64,
    /// Idempotency keys that are remembered at the same time.
    #[schemars(range(min = 1))]
    pub idempotency_keys: usize,
    /// Bytes of the answers remembered for idempotency keys.
    #[schemars(range(min = 1))]
    pub idempotency_bytes: usize,
    /// Nodes that a model's callers are sent to.
    #[schemars(range(min = 1))]
    pub home_nodes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            body_bytes: 1 << 20,
            client_memory_bytes: 128 << 20,
            connections: 2048,
            answer_bytes: 8 << 20,
            waiting_per_model: 512,
            waiting_per_group: 256,
            retry_share: 0.2,
            idempotency_keys: 100_000,
            idempotency_bytes: 64 << 20,
            home_nodes: 3,
        }
    }
}

/// Periods and timeouts, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct TimingSettings {
    /// Between two probes of peers.
    #[schemars(range(min = 10))]
    pub probe_interval_millis: u64,
    /// For a probe's answer.
    #[schemars(range(min = 10))]
    pub probe_timeout_millis: u64,
    /// For a suspected node to refute the suspicion.
    #[schemars(range(min = 10))]
    pub suspicion_millis: u64,
    /// Between two polls of an engine's report.
    #[schemars(range(min = 10))]
    pub engine_poll_millis: u64,
    /// Between two rounds of the planner.
    #[schemars(range(min = 10))]
    pub planner_interval_millis: u64,
    /// Lifetime of the planner's lease.
    #[schemars(range(min = 100))]
    pub lease_millis: u64,
    /// Age up to which a store read counts as current.
    #[schemars(range(min = 100))]
    pub freshness_millis: u64,
    /// For which callers may keep the directory's answer.
    #[schemars(range(min = 100))]
    pub directory_lifetime_millis: u64,
    /// For which an idempotency key can be used.
    #[schemars(range(min = 1000))]
    pub key_lifetime_millis: u64,
    /// Longest wait of a request for a slot.
    #[schemars(range(min = 1))]
    pub queue_wait_millis: u64,
    /// For a connection to an engine or service.
    #[schemars(range(min = 1))]
    pub connect_timeout_millis: u64,
    /// For the first token.
    #[schemars(range(min = 1))]
    pub first_token_timeout_millis: u64,
    /// For every further token.
    #[schemars(range(min = 1))]
    pub token_timeout_millis: u64,
    /// For a caller to take the next part of its answer.
    #[schemars(range(min = 1))]
    pub caller_timeout_millis: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        TimingSettings {
            probe_interval_millis: 500,
            probe_timeout_millis: 500,
            suspicion_millis: 3_000,
            engine_poll_millis: 500,
            planner_interval_millis: 500,
            lease_millis: 5_000,
            freshness_millis: 8_000,
            directory_lifetime_millis: 10_000,
            key_lifetime_millis: 600_000,
            queue_wait_millis: 5_000,
            connect_timeout_millis: 1_000,
            first_token_timeout_millis: 10_000,
            token_timeout_millis: 5_000,
            caller_timeout_millis: 30_000,
        }
    }
}

impl TimingSettings {
    /// Time for an engine to answer a poll.
    pub fn poll_timeout(&self) -> Duration {
        millis(self.engine_poll_millis.max(self.connect_timeout_millis))
    }

    /// Age of an engine's report up to which it gets new requests: two polls,
    /// of which each may last until another engine's poll has timed out.
    pub fn max_report_age(&self) -> Duration {
        2 * (millis(self.engine_poll_millis) + self.poll_timeout())
    }
}

/// Where traces go.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct TraceSettings {
    /// OTLP collector, as `http://ADDRESS/v1/traces`.
    pub collector_url: Option<String>,
    /// File that spans are appended to, a JSON object a line.
    pub file: Option<String>,
}

fn default_traffic_threads() -> usize {
    2
}

fn default_store_calls() -> f64 {
    20.0
}

fn default_store_timeout() -> u64 {
    2_000
}

/// Milliseconds of a setting as a duration.
pub fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// One mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsMistake {
    /// JSON pointer to the value; empty for the file as a whole.
    pub path: String,
    /// What is wrong.
    pub problem: String,
}

impl std::fmt::Display for SettingsMistake {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let path = if self.path.is_empty() { "/" } else { &self.path };
        write!(formatter, "{path}: {}", self.problem)
    }
}

/// Why settings cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Its path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file has mistakes.
    Mistakes(Vec<SettingsMistake>),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Unreadable { path, source } => write!(formatter, "{path}: {source}"),
            SettingsError::Mistakes(mistakes) => {
                let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
                write!(formatter, "{}", lines.join("\n"))
            }
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Checks settings and returns every mistake at once.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let value: serde_json::Value = serde_json::from_str(text)
            .map_err(|error| mistakes_of(vec![mistake("", error.to_string())]))?;
        let mistakes = schema_mistakes(&value);
        if !mistakes.is_empty() {
            return Err(mistakes_of(mistakes));
        }
        let settings: Settings = serde_path_to_error::deserialize(&value).map_err(|error| {
            let path = format!("/{}", error.path().to_string().replace('.', "/"));
            mistakes_of(vec![mistake(&path, error.into_inner().to_string())])
        })?;
        let mistakes = settings.further_mistakes();
        if mistakes.is_empty() { Ok(settings) } else { Err(mistakes_of(mistakes)) }
    }

    /// The JSON Schema of a settings file.
    pub fn schema() -> serde_json::Value {
        schemars::schema_for!(Settings).to_value()
    }

    /// Mistakes that a schema cannot tell.
    fn further_mistakes(&self) -> Vec<SettingsMistake> {
        let mut mistakes = Vec::new();
        for (path, name) in [("/system", &self.system), ("/node", &self.node)] {
            if !is_name(name) {
                mistakes.push(mistake(path, "must be 1 to 63 of a-z, 0-9 and '-'".to_owned()));
            }
        }
        if self.peer_secret.len() < MIN_SECRET_CHARACTERS {
            let problem = format!("must have at least {MIN_SECRET_CHARACTERS} characters");
            mistakes.push(mistake("/peerSecret", problem));
        }
        if hex::decode(&self.operator_key_hash).map(|hash| hash.len()) != Ok(SHA256_BYTES) {
            let problem = "must be 64 hexadecimal digits".to_owned();
            mistakes.push(mistake("/operatorKeyHash", problem));
        }
        let addresses = [self.client_address, self.operator_address, self.peer_address];
        let distinct: std::collections::BTreeSet<SocketAddr> = addresses.into_iter().collect();
        if distinct.len() != addresses.len() {
            let problem = "must differ from the other addresses of this node".to_owned();
            mistakes.push(mistake("/clientAddress", problem));
        }
        if self.timing.freshness_millis < 2 * self.timing.probe_interval_millis {
            let problem = "must be at least twice probeIntervalMillis".to_owned();
            mistakes.push(mistake("/timing/freshnessMillis", problem));
        }
        mistakes
    }
}

/// Shortest secret that nodes may share.
const MIN_SECRET_CHARACTERS: usize = 16;
/// Length of a SHA-256.
const SHA256_BYTES: usize = 32;
/// Longest name of a system or node.
const MAX_NAME_BYTES: usize = 63;

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}

fn mistake(path: &str, problem: String) -> SettingsMistake {
    SettingsMistake { path: path.to_owned(), problem }
}

fn mistakes_of(mistakes: Vec<SettingsMistake>) -> SettingsError {
    SettingsError::Mistakes(mistakes)
}

fn schema_mistakes(value: &serde_json::Value) -> Vec<SettingsMistake> {
    let schema = Settings::schema();
    match jsonschema::validator_for(&schema) {
        Ok(validator) => validator
            .iter_errors(value)
            .map(|error| mistake(&error.instance_path().to_string(), error.to_string()))
            .collect(),
        Err(error) => vec![mistake("", error.to_string())],
    }
}
