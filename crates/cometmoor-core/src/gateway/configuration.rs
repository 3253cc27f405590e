//! The configuration of a gateway (routes, services, limits and tenants) and the version that
//! is active.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::tenants::Tenants;

/// How a request may be retried after an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The response is an event stream, and the request may run at most once.
    Stream,
    /// The response is an event stream that another server can resume.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may already have run can be sent again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A weighted service among those that share a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests relative to the route's other targets.
    pub weight: u32,
}

/// A route from a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that the route matches, in lower case.
    pub host: String,
    /// Path prefix that the route matches; the longest matching prefix wins.
    pub path_prefix: String,
    /// How requests may be retried.
    pub retry_policy: RetryPolicy,
    /// Time limit for a request.
    pub timeout: Duration,
    /// Latency objective of the response, or of the first event of a stream.
    pub objective: Duration,
    /// Maximum number of servers that one request is sent to.
    pub max_attempts: u32,
    /// Longest interval between two events with which a stream meets its target; `None` if it
    /// has no target.
    pub event_interval_limit: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Services that answer the requests.
    pub targets: Vec<Target>,
}

impl Route {
    /// The service for a request, chosen by `draw`, which is uniform over all `u64` values. If
    /// all weights are 0, the first service is chosen; `None` if there are no targets.
    pub fn target(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| target.service.as_str());
        }
        let mut remaining = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Prefix of adapter names; a number from 1 follows.
const ADAPTER_PREFIX: &str = "a";

/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelProfile {
    /// Name of the model.
    pub name: String,
    /// Size of the weights, in megabytes.
    pub weights_megabytes: f64,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Size of an adapter, in megabytes.
    pub adapter_megabytes: f64,
    /// Load time from the weight store.
    pub store_load_time: Duration,
    /// Load time from a copy on the server's disk.
    pub disk_load_time: Duration,
    /// Load time from a copy in the server's host memory.
    pub memory_load_time: Duration,
}

/// Properties of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Models that the service offers.
    pub models: Vec<ModelProfile>,
    /// Accelerator memory for weights and adapters on each server, in megabytes.
    pub weights_megabytes: f64,
    /// Number of adapters that a server can have loaded.
    pub adapter_slots: u32,
    /// Number of requests that a server runs concurrently.
    pub batch_slots: u32,
    /// Capacity of a server's cache, in tokens.
    pub cache_tokens: u64,
    /// Loads per second that the weight store allows, over all servers.
    pub loads_per_second: f64,
    /// Capacity for copies of weights in a server's host memory, in megabytes.
    pub host_cache_megabytes: f64,
    /// Capacity for copies of weights on a server's disk, in megabytes.
    pub disk_cache_megabytes: f64,
    /// Whether servers can migrate a running request by copying its memory to another server.
    pub supports_run_migration: bool,
}

impl ModelProfile {
    /// Name of the adapter with this number; numbers start at 1.
    pub fn adapter_name(&self, number: u32) -> String {
        format!("{ADAPTER_PREFIX}{number}")
    }

    /// Number of the adapter with this name; `None` if the model has no such adapter.
    pub fn adapter_number(&self, name: &str) -> Option<u32> {
        adapter_number(name, self.adapters)
    }
}

fn adapter_number(name: &str, adapters: u32) -> Option<u32> {
    let number = name.strip_prefix(ADAPTER_PREFIX)?.parse().ok()?;
    (1..=adapters).contains(&number).then_some(number)
}

impl EngineProfile {
    /// Memory reserved for adapters on each server, in megabytes: every slot can take the largest
    /// adapter.
    pub fn adapter_reserve(&self) -> f64 {
        let largest = self.models.iter().map(|model| model.adapter_megabytes).fold(0.0, f64::max);
        largest * f64::from(self.adapter_slots)
    }
}

/// A group of servers that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of connections that each server accepts from all clients together.
    pub max_connections: u32,
    /// Properties of the model engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle persistent connection is closed.
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

/// A complete configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfiguration {
    /// Version; later ones are higher.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<String, Arc<Service>>,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// Tenants; `None` if clients need no keys.
    pub tenants: Option<Arc<Tenants>>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    event_interval_limits: HashMap<String, Duration>,
    /// Number of adapters of each model, the highest of all services.
    adapters: HashMap<String, u32>,
}

impl GatewayConfiguration {
    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(Arc::as_ref)
    }

    /// Builds a configuration without tenants.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: ClientLimits,
    ) -> GatewayConfiguration {
        let event_interval_limits = shortest_event_interval_limits(&routes);
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let adapters = adapters_by_model(&services);
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service))).collect();
        let tenants = None;
        GatewayConfiguration {
            version,
            services,
            limits,
            tenants,
            routes: by_host,
            event_interval_limits,
            adapters,
        }
    }

    /// Adds tenants. With tenants, clients need a key for routes that are not public.
    pub fn with_tenants(mut self, tenants: Tenants) -> GatewayConfiguration {
        self.tenants = Some(Arc::new(tenants));
        self
    }

    /// The route of a request: the one with the longest matching path prefix among the routes of
    /// the host. `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether a service declares a model, and the adapter of it.
    pub fn declares(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(adapters) = self.adapters.get(model) else { return false };
        adapter.is_none_or(|name| adapter_number(name, *adapters).is_some())
    }

    /// The shortest event interval limit of the routes to a service; `None` if no route has one.
    pub fn shortest_event_interval_limit(&self, service: &str) -> Option<Duration> {
        self.event_interval_limits.get(service).copied()
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn adapters_by_model(services: &[Service]) -> HashMap<String, u32> {
    let mut adapters: HashMap<String, u32> = HashMap::new();
    for model in services.iter().flat_map(|service| &service.engine).flat_map(|it| &it.models) {
        let known = adapters.entry(model.name.clone()).or_default();
        *known = model.adapters.max(*known);
    }
    adapters
}

fn shortest_event_interval_limits(routes: &[Route]) -> HashMap<String, Duration> {
    let mut limits: HashMap<String, Duration> = HashMap::new();
    for route in routes {
        let Some(limit) = route.event_interval_limit else { continue };
        for target in &route.targets {
            let shortest = limits.entry(target.service.clone()).or_insert(limit);
            *shortest = limit.min(*shortest);
        }
    }
    limits
}

/// The active configuration. Its version only increases.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    current: Option<Arc<GatewayConfiguration>>,
}

impl ActiveConfiguration {
    /// Activates a configuration if it is newer than the active one, and returns whether it was.
    pub fn offer(&mut self, configuration: Arc<GatewayConfiguration>) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.current = Some(configuration);
        true
    }

    /// The active version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// The active configuration; `None` before the first one.
    pub fn get(&self) -> Option<&Arc<GatewayConfiguration>> {
        self.current.as_ref()
    }
}
