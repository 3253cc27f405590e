//! The configuration of a gateway: routes, services and limits, and the one
//! that is in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::tenants::Tenants;

/// What may be done with a request whose first attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that may go on at another server.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// One of the services that a route's requests are split between.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the route belongs to, in lower case.
    pub host: String,
    /// Prefix of the paths; the longest one that fits wins.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time for which a request is held.
    pub timeout: Duration,
    /// Time within which an answer (a stream's first event) is wanted.
    pub objective: Duration,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// Longest pause between two events that keeps a stream in time.
    pub event_interval_limit: Option<Duration>,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Whether its requests need no key.
    pub is_public: bool,
    /// Services that answer.
    pub targets: Vec<Target>,
}

impl Route {
    /// The service for a request, by a number drawn evenly from 0 to 2^64.
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// What the names of adapters begin with; a number from 1 follows.
const ADAPTER_PREFIX: &str = "a";

/// A model that a service's engines may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name of the model.
    pub name: String,
    /// Size of its weights, in megabytes.
    pub weights_megabytes: f64,
    /// Number of its adapters.
    pub adapters: u32,
    /// Size of an adapter, in megabytes.
    pub adapter_megabytes: f64,
    /// Time of a load from the weight store.
    pub store_load_time: Duration,
    /// Time of a load from the server's disk.
    pub disk_load_time: Duration,
    /// Time of a load from the server's memory.
    pub memory_load_time: Duration,
}

/// What the engines of a service are like.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Models that the service serves.
    pub models: Vec<ModelProfile>,
    /// Memory for weights and adapters on a server, in megabytes.
    pub weights_megabytes: f64,
    /// Adapters that a server can hold.
    pub adapter_slots: u32,
    /// Requests that run at once on a server.
    pub batch_slots: u32,
    /// Tokens that a server's cache holds.
    pub cache_tokens: u64,
    /// Loads a second that the weight store allows over all servers.
    pub loads_per_second: f64,
    /// Weight copies that a server keeps in host memory, in megabytes.
    pub host_cache_megabytes: f64,
    /// Weight copies that a server keeps on disk, in megabytes.
    pub disk_cache_megabytes: f64,
    /// Whether servers copy the memory of a run to one another.
    pub supports_run_migration: bool,
}

impl ModelProfile {
    /// Name of the adapter with a number from 1.
    pub fn adapter_name(&self, number: u32) -> String {
        format!("{ADAPTER_PREFIX}{number}")
    }

    /// Number of the adapter with a name.
    pub fn adapter_number(&self, name: &str) -> Option<u32> {
        let number = name.strip_prefix(ADAPTER_PREFIX)?.parse().ok()?;
        (1..=self.adapters).contains(&number).then_some(number)
    }
}

impl EngineProfile {
    /// Memory on each server that is kept for adapters, in megabytes.
    pub fn adapter_reserve(&self) -> f64 {
        let largest = self.models.iter().map(|model| model.adapter_megabytes).fold(0.0, f64::max);
        largest * f64::from(self.adapter_slots)
    }
}

/// A service: servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one of its servers takes from all callers together.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<EngineProfile>,
}

/// Bounds on what clients may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Longest rest of a kept connection.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfiguration {
    /// Version; later ones are higher.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Tenants; none where callers need no keys.
    pub tenants: Option<Arc<Tenants>>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    event_pauses: HashMap<String, Duration>,
}

impl GatewayConfiguration {
    /// Builds a configuration.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: ClientLimits,
    ) -> GatewayConfiguration {
        let event_pauses = shortest_pauses(&routes);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service))).collect();
        let tenants = None;
        GatewayConfiguration { version, services, limits, tenants, routes: by_host, event_pauses }
    }

    /// The same with tenants, whose keys callers need from then on.
    pub fn with_tenants(mut self, tenants: Tenants) -> GatewayConfiguration {
        self.tenants = Some(Arc::new(tenants));
        self
    }

    /// The route of a request: the longest prefix of the path among the
    /// routes of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Shortest of the pauses that keep the streams of a service's routes in
    /// time; none where no route tells one.
    pub fn shortest_event_interval_limit(&self, service: &str) -> Option<Duration> {
        self.event_pauses.get(service).copied()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn shortest_pauses(routes: &[Route]) -> HashMap<String, Duration> {
    let mut pauses: HashMap<String, Duration> = HashMap::new();
    for route in routes {
        let Some(pause) = route.event_interval_limit else { continue };
        for target in &route.targets {
            let known = pauses.entry(target.service.clone()).or_insert(pause);
            *known = pause.min(*known);
        }
    }
    pauses
}

/// The configuration in force; its version only rises.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    current: Option<Arc<GatewayConfiguration>>,
}

impl ActiveConfiguration {
    /// Takes a configuration if it is newer; tells whether it was taken.
    pub fn offer(&mut self, configuration: Arc<GatewayConfiguration>) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.current = Some(configuration);
        true
    }

    /// Version in force, 0 where there is none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// The configuration in force.
    pub fn get(&self) -> Option<&Arc<GatewayConfiguration>> {
        self.current.as_ref()
    }
}
