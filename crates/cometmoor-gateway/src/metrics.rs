//! Metrics of a gateway node, in the Prometheus text format.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::control_traffic::ControlTraffic;

/// Buckets from 1 ms to about 16 s.
const BUCKETS: (f64, f64, u16) = (0.001, 2.0, 15);

/// Labels of an answered request. All values come from the code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// `answered`, `refused`, `unknown`, `cut`, `client_left` or `rejected`.
    pub outcome: &'static str,
    /// Step at which that was decided.
    pub step: &'static str,
    /// Why.
    pub cause: &'static str,
}

/// Labels of a change of what a server reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    /// `limit`, `leaving` or `rest`.
    signal: &'static str,
    /// `set`, `changed` or `ended`.
    event: &'static str,
}

/// Labels of a state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StateLabels {
    /// The state.
    pub state: &'static str,
}

/// Labels of a copy of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CopyLabels {
    /// `configuration` or `servers`.
    pub copy: &'static str,
}

/// Most tenants that are told apart; the others count together, so that configurations
/// which come and go do not grow the metrics.
const MOST_TENANTS: usize = 200;
/// Label of the tenants beyond that.
const OTHER_TENANTS: &str = "other";

/// Labels of a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

/// Requests of tenants by how they ended.
#[derive(Debug, Default)]
struct TenantRequests {
    requests: Family<TenantLabels, Counter>,
    told_apart: Mutex<BTreeSet<String>>,
}

impl TenantRequests {
    /// The label of a tenant.
    fn label(&self, tenant: &str) -> String {
        let mut told_apart = self.told_apart.lock().unwrap_or_else(PoisonError::into_inner);
        if !told_apart.contains(tenant) {
            if told_apart.len() >= MOST_TENANTS {
                return OTHER_TENANTS.to_owned();
            }
            told_apart.insert(tenant.to_owned());
        }
        tenant.to_owned()
    }
}

/// A gauge of a figure that need not be whole.
pub type FloatGauge = Gauge<f64, AtomicU64>;

/// All metrics.
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<OutcomeLabels, Counter>,
    tenants: TenantRequests,
    /// Time until it was decided whether a request lies within its tenant's limit.
    pub quota_time: Histogram,
    /// Tenants for which this node lends.
    pub lending_tenants: Gauge,
    /// Servers for whose limits this node lends.
    pub lending_servers: Gauge,
    /// Age of the proof that the configuration is the newest, in seconds.
    pub proof_age: FloatGauge,
    /// Sends to servers beyond the first of a request.
    pub retries: Counter,
    /// Servers that crashed while requests of this node were there.
    pub server_crashes: Counter,
    /// Contents that were present at crashes, by state: quarantined or suspect.
    pub quarantine: Family<StateLabels, Gauge>,
    signal_changes: Family<SignalLabels, Counter>,
    /// Sends that were held back, by what the server reports of itself.
    pub held_back: Family<StateLabels, Counter>,
    /// Servers by what they report of themselves: limited, leaving or resting.
    pub signaling_servers: Family<StateLabels, Gauge>,
    /// Runs that were stopped to go on at another server, by what came of it.
    pub run_migrations: Family<StateLabels, Counter>,
    /// Time in the queue for a server.
    pub queue_time: Histogram,
    /// Time to get a connection to a server.
    pub connect_time: Histogram,
    /// Time from the request to its first byte of answer.
    pub time_to_first_byte: Histogram,
    /// Time between the pieces of a stream.
    pub event_interval: Histogram,
    /// Time of a whole request.
    pub request_duration: Histogram,
    /// Requests in progress.
    pub in_progress: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// Age of what the store last confirmed, in seconds, by copy.
    pub store_age: Family<CopyLabels, FloatGauge>,
    /// Newest era of the store that this node has heard of.
    pub store_era: Gauge,
    /// Times that the store was seen to have come back from an older copy.
    pub store_losses: Counter,
    /// Whether this node leads.
    pub is_leader: Gauge,
    /// Nodes that take requests.
    pub nodes: Gauge,
    /// Servers by state.
    pub servers: Family<StateLabels, Gauge>,
    /// Entries of the registry that name no server to use.
    pub ignored_entries: Gauge,
    /// Messages to other nodes and the store.
    pub control: ControlTraffic,
    /// Log lines that were dropped.
    pub dropped_lines: Gauge,
}

fn histogram() -> Histogram {
    let (start, factor, length) = BUCKETS;
    Histogram::new(exponential_buckets(start, factor, length))
}

impl Default for Metrics {
    fn default() -> Metrics {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("cometmoor"),
            requests: Family::default(),
            tenants: TenantRequests::default(),
            quota_time: histogram(),
            lending_tenants: Gauge::default(),
            lending_servers: Gauge::default(),
            proof_age: FloatGauge::default(),
            retries: Counter::default(),
            server_crashes: Counter::default(),
            quarantine: Family::default(),
            signal_changes: Family::default(),
            held_back: Family::default(),
            signaling_servers: Family::default(),
            run_migrations: Family::default(),
            queue_time: histogram(),
            connect_time: histogram(),
            time_to_first_byte: histogram(),
            event_interval: histogram(),
            request_duration: histogram(),
            in_progress: Gauge::default(),
            configuration_version: Gauge::default(),
            store_age: Family::default(),
            store_era: Gauge::default(),
            store_losses: Counter::default(),
            is_leader: Gauge::default(),
            nodes: Gauge::default(),
            servers: Family::default(),
            ignored_entries: Gauge::default(),
            control: ControlTraffic::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register_requests();
        metrics.register_state();
        metrics
    }
}

impl Metrics {
    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        let tenants = self.tenants.requests.clone();
        registry.register("tenant_requests", "Requests of tenants by how they ended", tenants);
        registry.register("repeats", "Sends beyond a request's first", self.retries.clone());
        registry.register("run_moves", "Runs moved to other servers", self.run_migrations.clone());
        let crashes = self.server_crashes.clone();
        registry.register("server_crashes", "Servers that crashed under requests", crashes);
        let quarantine = self.quarantine.clone();
        registry.register("quarantine", "Contents that were present at crashes", quarantine);
        let changes = self.signal_changes.clone();
        registry.register("signal_changes", "Changes of what servers report", changes);
        let held_back = self.held_back.clone();
        registry.register("held_back", "Sends held back by what servers report", held_back);
        let signaling = self.signaling_servers.clone();
        registry.register("signaling_servers", "Servers by what they report", signaling);
        let times = [
            ("quota_seconds", "Time to decide on a tenant's limit", &self.quota_time),
            ("queue_seconds", "Time in the queue for a server", &self.queue_time),
            ("connect_seconds", "Time to get a connection to a server", &self.connect_time),
            ("first_byte_seconds", "Time to the first byte of an answer", &self.time_to_first_byte),
            ("between_events_seconds", "Time between pieces of a stream", &self.event_interval),
            ("whole_seconds", "Time of a whole request", &self.request_duration),
        ];
        for (name, help, histogram) in times {
            registry.register(name, help, histogram.clone());
        }
    }

    fn register_state(&mut self) {
        let registry = &mut self.registry;
        let gauges = [
            ("in_progress", "Requests in progress", &self.in_progress),
            ("configuration_version", "Version in force", &self.configuration_version),
            ("lends", "Tenants for which this node lends", &self.lending_tenants),
            (
                "lends_for_servers",
                "Servers for whose limits this node lends",
                &self.lending_servers,
            ),
            ("store_era", "Newest era of the store", &self.store_era),
            ("leads", "Whether this node orders the servers", &self.is_leader),
            ("nodes", "Nodes that take requests", &self.nodes),
            ("ignored_entries", "Entries that name no server to use", &self.ignored_entries),
            ("dropped_log_lines", "Log lines that were dropped", &self.dropped_lines),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let losses = self.store_losses.clone();
        registry.register("store_losses", "Times the store came back from an older copy", losses);
        let proof_age = self.proof_age.clone();
        registry.register("proof_age_seconds", "Age of the configuration's proof", proof_age);
        registry.register("store_age_seconds", "Age of the store's view", self.store_age.clone());
        registry.register("servers", "Servers by state", self.servers.clone());
        self.control.register(registry);
    }

    /// Notes how a request ended.
    pub fn record_outcome(&self, outcome: &'static str, step: &'static str, cause: &'static str) {
        self.requests.get_or_create(&OutcomeLabels { outcome, step, cause }).inc();
    }

    /// Notes how a request of a tenant ended.
    pub fn record_tenant_outcome(&self, tenant: &str, outcome: &'static str) {
        let tenant = self.tenants.label(tenant);
        self.tenants.requests.get_or_create(&TenantLabels { tenant, outcome }).inc();
    }

    /// Notes that a server reports something new of itself.
    pub fn record_signal_change(&self, signal: &'static str, event: &'static str) {
        self.signal_changes.get_or_create(&SignalLabels { signal, event }).inc();
    }

    /// Notes a time.
    pub fn observe(&self, histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
