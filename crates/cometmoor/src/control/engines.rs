//! Polls the engines for their reports and publishes the routes that follow from them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cometmoor_core::routing::{EngineRoute, RouteTable};
use cometmoor_protocol::engine::{Inventory, ResidentState};
use cometmoor_protocol::resource::{EngineSpec, Object};
use futures::future::join_all;
use spdlog::{info, warn};

use crate::context::NodeContext;
use crate::engine::http::EngineClient;
use crate::settings::millis;
use crate::telemetry::log::Part;

/// Number of consecutive failed polls after which an engine gets no new requests.
const FAILED_POLLS_UNTIL_REMOVED: u32 = 3;
/// Ratio of a node's limit to its equal share of an engine's concurrency. It is
/// above 1, so that a node can use capacity that other nodes leave idle.
const OVERCOMMIT_RATIO: f64 = 2.0;
/// Lower bound of a node's limit on requests in flight at an engine.
const MIN_NODE_LIMIT: u32 = 2;

/// Polls all declared engines on behalf of one node.
pub struct EngineMonitor {
    context: Arc<NodeContext>,
    client: EngineClient,
    routes: BTreeMap<String, EngineRoute>,
    /// Consecutive failed polls of each engine; no entry after a successful poll.
    failed_polls: BTreeMap<String, u32>,
    leaving: Arc<LeavingEngines>,
}

/// Addresses that the platform lists as leaving. The list is updated with a delay.
#[derive(Default)]
pub struct LeavingEngines {
    addresses: arc_swap::ArcSwap<BTreeSet<String>>,
}

impl LeavingEngines {
    /// Replaces all addresses.
    pub fn replace(&self, addresses: BTreeSet<String>) {
        self.addresses.store(Arc::new(addresses));
    }

    fn contains(&self, address: &str) -> bool {
        self.addresses.load().contains(address)
    }
}

impl EngineMonitor {
    /// Creates a monitor without routes; an engine gets one after its first report.
    pub fn new(context: Arc<NodeContext>, leaving: Arc<LeavingEngines>) -> Self {
        let connect_timeout = millis(context.settings.timing.connect_timeout_millis);
        EngineMonitor {
            client: EngineClient::new(connect_timeout),
            context,
            routes: BTreeMap::new(),
            failed_polls: BTreeMap::new(),
            leaving,
        }
    }

    /// Polls the engines and publishes their routes at regular intervals. Does not return.
    pub async fn run(mut self) {
        let interval = millis(self.context.settings.timing.engine_poll_millis);
        loop {
            self.poll_all().await;
            self.publish();
            tokio::time::sleep(interval).await;
        }
    }

    async fn poll_all(&mut self) {
        let catalog = self.context.published.load().catalog.clone();
        let timeout = self.context.settings.timing.poll_timeout();
        let polls = catalog.engines().map(|engine| {
            let client = self.client.clone();
            async move { (engine, client.inventory(&engine.spec.address, timeout).await) }
        });
        let results = join_all(polls).await;
        let declared: BTreeSet<&String> =
            catalog.engines().map(|engine| &engine.metadata.name).collect();
        self.routes.retain(|name, _| declared.contains(name));
        for (engine, result) in results {
            match result {
                Ok(inventory) => self.record_report(engine, &inventory),
                Err(error) => self.record_failure(&engine.metadata.name, &error.to_string()),
            }
        }
    }

    fn record_report(&mut self, engine: &Object<EngineSpec>, inventory: &Inventory) {
        let name = &engine.metadata.name;
        self.failed_polls.remove(name);
        let route = self.route(engine, inventory);
        let previous = self.routes.insert(name.clone(), route.clone());
        if previous.is_none_or(|previous| previous.leaving != route.leaving) {
            let state = if route.leaving { "is leaving" } else { "accepts requests" };
            info!("{} {name} {state}", Part::Engines);
        }
    }

    fn record_failure(&mut self, name: &str, reason: &str) {
        let failures = self.failed_polls.entry(name.to_owned()).or_insert(0);
        *failures += 1;
        if *failures == FAILED_POLLS_UNTIL_REMOVED {
            warn!(
                "{} polls of {name} keep failing; it gets no new requests: {reason}",
                Part::Engines
            );
            self.routes.remove(name);
        }
    }

    fn route(&self, engine: &Object<EngineSpec>, inventory: &Inventory) -> EngineRoute {
        let ready = inventory
            .resident
            .iter()
            .filter(|resident| resident.state == ResidentState::Ready)
            .map(|resident| resident.artifact.clone())
            .collect();
        EngineRoute {
            name: engine.metadata.name.clone(),
            address: engine.spec.address.clone(),
            zone: engine.spec.zone.clone(),
            incarnation: inventory.incarnation,
            node_limit: self.node_limit(engine.spec.max_concurrent_requests),
            concurrency: engine.spec.max_concurrent_requests,
            reported_load: inventory.running + inventory.waiting,
            reported_at: self.context.clock.now(),
            leaving: inventory.leaving || self.leaving.contains(&engine.spec.address),
            ready,
        }
    }

    fn node_limit(&self, concurrency: u32) -> u32 {
        let nodes = self.context.published.load().members.len().max(1);
        let limit = f64::from(concurrency) * OVERCOMMIT_RATIO / nodes as f64;
        (limit.ceil() as u32).clamp(MIN_NODE_LIMIT, concurrency.max(MIN_NODE_LIMIT))
    }

    fn publish(&self) {
        let routes = Arc::new(RouteTable::new(self.routes.values().cloned()));
        self.context.published.update(|snapshot| snapshot.routes = routes.clone());
        self.context.dispatcher.update_routes(routes);
    }
}
