//! Metrics of a gateway node, in the Prometheus text format.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cometmoor_core::gateway::planner::AdapterOrderReason;
use cometmoor_core::gateway::selection::SpeedClass;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::clients::metrics::ClientMetrics;
use crate::control_traffic::ControlTraffic;

/// Start in seconds, factor and number of the histograms' buckets: from 1 ms to about 16 s.
const BUCKETS: (f64, f64, u16) = (0.001, 2.0, 15);

/// Labels of a request that has ended. All values are constants, so that their number is bounded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome: `answered`, `refused`, `unknown`, `cut`, `client_left` or `rejected`.
    pub outcome: &'static str,
    /// Processing step that determined the outcome.
    pub step: &'static str,
    /// Reason of the outcome.
    pub cause: &'static str,
}

/// Labels of a change of a server's signals about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    /// `limit`, `leaving` or `rest`.
    signal: &'static str,
    /// `set`, `changed` or `ended`.
    event: &'static str,
}

/// Labels of a server's part of a stream that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamEndLabels {
    /// How the server indicates the end of the body: `length`, `chunked`, `connection` or `empty`.
    framing: &'static str,
    /// `complete`, `inside_event` or `between_events`.
    end: &'static str,
}

/// Labels of a send that begins a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    /// Speed of the server: `slow`, `mean` or `fast`.
    speed: &'static str,
    /// Whether the prompt was expected to delay streams: `yes` or `no`.
    delays_streams: &'static str,
}

/// Label of a metric that is divided by state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StateLabels {
    /// State, of the values that the metric documents.
    pub state: &'static str,
}

/// Label of the loads of adapters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    /// `awaited`, `demand`, `reachability`, or `planned` if the loads are not on demand.
    reason: &'static str,
}

/// Label of a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Metrics of the placement of models, of the node that is the leader.
#[derive(Clone, Debug, Default)]
pub struct PlacementMetrics {
    /// Planned loads of models by reason: that of the move, or `saved_requests`.
    moves: Family<ReasonLabels, Counter>,
    highest_pressure: Family<ServiceLabels, FloatGauge>,
    /// Reports and orders that had to wait because too many calls to servers were in progress.
    pub deferred_calls: Counter,
}

impl PlacementMetrics {
    fn register(&self, registry: &mut Registry) {
        let moves = self.moves.clone();
        registry.register("planned_moves", "Planned loads of models by reason", moves);
        let pressure = self.highest_pressure.clone();
        let help = "Highest mean utilization of a model's servers";
        registry.register("highest_model_pressure", help, pressure);
        let deferred = self.deferred_calls.clone();
        registry.register("deferred_server_calls", "Calls beyond the leader's limit", deferred);
    }

    /// Counts a planned load of a model.
    pub fn record_move(&self, reason: &'static str) {
        self.moves.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Sets the highest pressure of a service's models; `None` if it is not known.
    pub fn set_highest_pressure(&self, service: &str, pressure: Option<f64>) {
        let labels = ServiceLabels { service: service.to_owned() };
        match pressure {
            Some(pressure) => {
                self.highest_pressure.get_or_create(&labels).set(pressure);
            }
            None => {
                self.highest_pressure.remove(&labels);
            }
        }
    }

    /// Removes what only the leader knows.
    pub fn clear_pressure(&self) {
        self.highest_pressure.clear();
    }
}

/// Label of a copy of the store's items.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CopyLabels {
    /// Which copy: `configuration` or `servers`.
    pub copy: &'static str,
}

/// Maximum number of tenants with a label of their own. All others share one label, so that the
/// metrics do not grow without bound as configurations change.
const MAX_TENANTS: usize = 200;
/// Label of the tenants beyond [`MAX_TENANTS`].
const OTHER_TENANTS: &str = "other";

/// Labels of a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabels {
    tenant: String,
    outcome: &'static str,
}

/// Requests by tenant and outcome.
#[derive(Debug, Default)]
struct TenantRequests {
    requests: Family<TenantLabels, Counter>,
    /// Tenants that have a label of their own.
    labeled: Mutex<BTreeSet<String>>,
}

impl TenantRequests {
    /// Returns the label of a tenant.
    fn label(&self, tenant: &str) -> String {
        let mut labeled = self.labeled.lock().unwrap_or_else(PoisonError::into_inner);
        if !labeled.contains(tenant) {
            if labeled.len() >= MAX_TENANTS {
                return OTHER_TENANTS.to_owned();
            }
            labeled.insert(tenant.to_owned());
        }
        tenant.to_owned()
    }
}

/// A gauge with a floating-point value.
pub type FloatGauge = Gauge<f64, AtomicU64>;

/// All metrics of a node. Ages and states of the fleet are updated when the metrics are read.
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    tenants: TenantRequests,
    /// Time until a request was admitted or rejected by its tenant's limit.
    pub quota_time: Histogram,
    /// Number of tenants for whose limits this node is the lender.
    pub lending_tenants: Gauge,
    /// Number of servers for whose limits this node is the lender.
    pub lending_servers: Gauge,
    /// Age in seconds of the proof that the configuration is the newest; infinite without a proof.
    pub proof_age: FloatGauge,
    /// Sends to servers after the first send of a request.
    pub retries: Counter,
    sends: Family<SendLabels, Counter>,
    /// Servers that crashed while they processed requests of this node.
    pub server_crashes: Counter,
    /// Request contents and parts of prompts that were in progress at crashes of servers, by state:
    /// `quarantined`, `suspect`, `quarantined_part` or `suspect_part`.
    pub quarantine: Family<StateLabels, Gauge>,
    /// Parts of prompts that were answered after they had been quarantined.
    pub part_releases: Counter,
    signal_changes: Family<SignalLabels, Counter>,
    /// Sends that were held back because of a server's signals, by the kind of hold.
    pub held_back: Family<StateLabels, Counter>,
    /// Servers by signal: `limited`, `leaving` or `resting`.
    pub signaling_servers: Family<StateLabels, Gauge>,
    /// Runs that were stopped to be migrated to another server, by result.
    pub run_migrations: Family<StateLabels, Counter>,
    stream_ends: Family<StreamEndLabels, Counter>,
    /// Streams that clients resumed, by how the software version was learned, or why it was not:
    /// `unknown`, `ended` or `malformed`.
    pub resumptions: Family<StateLabels, Counter>,
    /// Streams of which this node has recorded the software version.
    pub stream_origins: Gauge,
    /// Time that a request waited in the queue for a server.
    pub queue_time: Histogram,
    /// Number of requests in the dispatch queue.
    pub queue_length: Gauge,
    /// Time that requests spent in the dispatch queue, by how that ended: `sent`, `refused` or
    /// `left`.
    pub queue_waits: Family<StateLabels, Histogram, fn() -> Histogram>,
    /// Requests that were refused because no server could take them, by reason, where the dispatch
    /// queue is in use.
    pub queue_refusals: Family<StateLabels, Counter>,
    /// Time until a connection to a server was available, or could not be established.
    pub connect_time: Histogram,
    /// Time from the receipt of a request to the first byte of its response.
    pub time_to_first_byte: Histogram,
    /// Time between two events of a streamed response.
    pub event_interval: Histogram,
    /// Time from the receipt of a request to the end of its response; only of answered requests.
    pub request_duration: Histogram,
    /// Number of requests of clients in progress.
    pub in_progress: Gauge,
    /// Version of the configuration in force; 0 if there is none.
    pub configuration_version: Gauge,
    /// Time in seconds since the store last confirmed a copy, by copy; infinite if it never did.
    pub store_age: Family<CopyLabels, FloatGauge>,
    /// Newest era of the store that this node knows of.
    pub store_era: Gauge,
    /// Number of times that the store was found to be restored from an older backup.
    pub store_losses: Counter,
    /// Whether this node is the leader: 1 or 0.
    pub is_leader: Gauge,
    /// Number of nodes that accept requests.
    pub nodes: Gauge,
    /// Servers by state: `ready` or `draining`.
    pub servers: Family<StateLabels, Gauge>,
    /// Software versions of the servers of a service.
    pub software_versions: Family<ServiceLabels, Gauge>,
    /// Servers that are not reached directly, by state: `cut` if a peer reaches them, else
    /// `unreached`.
    pub unlinked_servers: Family<StateLabels, Gauge>,
    /// Servers whose speed was compared with that of others.
    pub observed_servers: Gauge,
    /// Speed of the `slowest` and the `fastest` of them, relative to the mean of their service.
    pub server_speed: Family<StateLabels, FloatGauge>,
    /// Streams from which the speed of their server was measured.
    pub measured_streams: Counter,
    /// Services whose servers are brittle.
    pub brittle_services: Gauge,
    /// Requests that brittle servers have rejected, at most one for each hold that follows.
    pub brittle_rejections: Counter,
    /// Whether this node has lost its links to the servers: 1 or 0.
    pub is_isolated: Gauge,
    /// Connections to servers that were opened through peers.
    pub tunnels: Counter,
    /// Requests that were sent over such connections.
    pub sends_via_peers: Counter,
    /// Open connections to servers for peers.
    pub open_tunnels: Gauge,
    /// Registry entries that are ignored because they describe no usable server.
    pub ignored_entries: Gauge,
    adapter_loads: Family<ReasonLabels, Counter>,
    /// Models and adapters that requests wait for, as far as reported to this node as leader.
    pub awaited_weights: Gauge,
    /// Time from the first wait for an adapter until it was loaded.
    pub adapter_wait_time: Histogram,
    /// Messages to other nodes and calls to the store.
    pub control: ControlTraffic,
    /// Placement of models.
    pub placement: PlacementMetrics,
    /// What the node holds for clients.
    pub clients: ClientMetrics,
    /// Number of log lines that were dropped because the queue was full.
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
            sends: Family::default(),
            server_crashes: Counter::default(),
            quarantine: Family::default(),
            part_releases: Counter::default(),
            signal_changes: Family::default(),
            held_back: Family::default(),
            signaling_servers: Family::default(),
            run_migrations: Family::default(),
            stream_ends: Family::default(),
            resumptions: Family::default(),
            stream_origins: Gauge::default(),
            queue_time: histogram(),
            queue_length: Gauge::default(),
            queue_waits: Family::new_with_constructor(histogram),
            queue_refusals: Family::default(),
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
            software_versions: Family::default(),
            unlinked_servers: Family::default(),
            observed_servers: Gauge::default(),
            server_speed: Family::default(),
            measured_streams: Counter::default(),
            brittle_services: Gauge::default(),
            brittle_rejections: Counter::default(),
            is_isolated: Gauge::default(),
            tunnels: Counter::default(),
            sends_via_peers: Counter::default(),
            open_tunnels: Gauge::default(),
            ignored_entries: Gauge::default(),
            adapter_loads: Family::default(),
            awaited_weights: Gauge::default(),
            adapter_wait_time: histogram(),
            control: ControlTraffic::default(),
            placement: PlacementMetrics::default(),
            clients: ClientMetrics::default(),
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
        let sends = self.sends.clone();
        registry.register("sends", "Sends by server speed and delay of streams", sends);
        registry.register("run_moves", "Runs moved to other servers", self.run_migrations.clone());
        let ends = self.stream_ends.clone();
        registry.register("stream_ends", "Servers' parts of streams by how they ended", ends);
        let resumptions = self.resumptions.clone();
        registry.register("resumptions", "Streams that clients resumed", resumptions);
        let crashes = self.server_crashes.clone();
        registry.register("server_crashes", "Servers that crashed under requests", crashes);
        let quarantine = self.quarantine.clone();
        registry.register("quarantine", "Contents and parts present at crashes", quarantine);
        let releases = self.part_releases.clone();
        registry.register("part_releases", "Quarantined parts that were answered", releases);
        let changes = self.signal_changes.clone();
        registry.register("signal_changes", "Changes of what servers report", changes);
        let held_back = self.held_back.clone();
        registry.register("held_back", "Sends held back by what servers report", held_back);
        let signaling = self.signaling_servers.clone();
        registry.register("signaling_servers", "Servers by what they report", signaling);
        let waits = self.queue_waits.clone();
        registry.register("queue_wait_seconds", "Time in the queue by how it ended", waits);
        let refusals = self.queue_refusals.clone();
        registry.register("queue_refusals", "Refusals for lack of servers by reason", refusals);
        let times = [
            ("quota_seconds", "Time to decide on a tenant's limit", &self.quota_time),
            ("queue_seconds", "Time in the queue for a server", &self.queue_time),
            ("connect_seconds", "Time to get a connection to a server", &self.connect_time),
            ("first_byte_seconds", "Time to the first byte of an answer", &self.time_to_first_byte),
            ("between_events_seconds", "Time between pieces of a stream", &self.event_interval),
            ("adapter_wait_seconds", "Time from a wait to the load", &self.adapter_wait_time),
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
            ("queue_length", "Requests that wait for servers", &self.queue_length),
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
            ("observed_servers", "Servers of known speed", &self.observed_servers),
            ("brittle_services", "Services with brittle servers", &self.brittle_services),
            ("isolated", "Whether this node has lost its links to servers", &self.is_isolated),
            ("open_tunnels", "Connections to servers for peers", &self.open_tunnels),
            ("stream_origins", "Streams whose software version is known", &self.stream_origins),
            ("awaited_weights", "Weights that requests wait for", &self.awaited_weights),
            ("ignored_entries", "Entries that name no server to use", &self.ignored_entries),
            ("dropped_log_lines", "Log lines that were dropped", &self.dropped_lines),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let versions = self.software_versions.clone();
        registry.register("software_versions", "Software versions of a service", versions);
        let unlinked = self.unlinked_servers.clone();
        registry.register("unlinked_servers", "Servers not reached directly", unlinked);
        let speed = self.server_speed.clone();
        registry.register("server_speed", "Speed of a server relative to the mean", speed);
        let measured = self.measured_streams.clone();
        registry.register("measured_streams", "Streams that show a server's speed", measured);
        let rejections = self.brittle_rejections.clone();
        registry.register("brittle_rejections", "Rejections by brittle servers", rejections);
        let tunnels = self.tunnels.clone();
        registry.register("tunnels", "Connections to servers through peers", tunnels);
        let sends = self.sends_via_peers.clone();
        registry.register("sends_via_peers", "Requests sent through peers", sends);
        let loads = self.adapter_loads.clone();
        registry.register("adapter_loads", "Loads of adapters by reason", loads);
        let losses = self.store_losses.clone();
        registry.register("store_losses", "Times the store came back from an older copy", losses);
        let proof_age = self.proof_age.clone();
        registry.register("proof_age_seconds", "Age of the configuration's proof", proof_age);
        registry.register("store_age_seconds", "Age of the store's view", self.store_age.clone());
        registry.register("servers", "Servers by state", self.servers.clone());
        self.control.register(registry);
        self.placement.register(registry);
        self.clients.register(registry);
    }

    /// Counts a request that has ended.
    pub fn record_outcome(&self, outcome: &'static str, step: &'static str, cause: &'static str) {
        self.requests.get_or_create(&OutcomeLabels { outcome, step, cause }).inc();
    }

    /// Counts a request of a tenant that has ended.
    pub fn record_tenant_outcome(&self, tenant: &str, outcome: &'static str) {
        let tenant = self.tenants.label(tenant);
        self.tenants.requests.get_or_create(&TenantLabels { tenant, outcome }).inc();
    }

    /// Counts a send that begins a run, by the server's speed and whether the prompt was expected to
    /// delay streams there.
    pub fn record_send(&self, speed: SpeedClass, delays_streams: bool) {
        let delays_streams = if delays_streams { "yes" } else { "no" };
        self.sends.get_or_create(&SendLabels { speed: speed.name(), delays_streams }).inc();
    }

    /// Counts the load of an adapter; without a reason if it is not on demand.
    pub fn record_adapter_load(&self, reason: Option<AdapterOrderReason>) {
        let reason = reason.map_or("planned", AdapterOrderReason::name);
        self.adapter_loads.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a change of a server's signals.
    pub fn record_signal_change(&self, signal: &'static str, event: &'static str) {
        self.signal_changes.get_or_create(&SignalLabels { signal, event }).inc();
    }

    /// Counts a server's part of a stream that has ended.
    pub fn record_stream_end(&self, framing: &'static str, end: &'static str) {
        self.stream_ends.get_or_create(&StreamEndLabels { framing, end }).inc();
    }

    /// Adds a duration to a histogram, in seconds.
    pub fn observe(&self, histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
