//! The planner: decides on which engines models are placed and orders the loads and unloads.
//!
//! One node at a time holds the planner's role, by a lease in the configuration
//! store. The revision at which it acquired the role is its epoch. Safety does not
//! depend on the lease: engines that check fences refuse orders of an outdated
//! planner, and orders to the others are harmless if they arrive late, see
//! [`unfenced`].

mod fenced;
mod role;
mod unfenced;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::catalog::Catalog;
use cometmoor_core::membership::Member;
use cometmoor_core::placement::{EngineCapacity, Plan, plan, requirements};
use cometmoor_core::reconcile::{EngineOrder, EngineState, next_orders};
use cometmoor_core::time::BootInstant;
use cometmoor_core::unfenced::PlannerId;
use cometmoor_core::weight_store::{LoadLimiter, WeightStoreLimits};
use cometmoor_gateway::clock;
use cometmoor_protocol::engine::{Artifact, Inventory, OrderAction, ResidentState};
use cometmoor_protocol::resource::EngineSpec;
use futures::future::join_all;
use spdlog::{info, warn};

use self::fenced::FencedEngine;
use self::role::PlannerRole;
use self::unfenced::UnfencedEngine;
use super::relay::read_head;
use crate::context::NodeContext;
use crate::engine::http::EngineClient;
use crate::settings::millis;
use crate::store::layout::Layout;
use crate::store::{ConfigurationStore, StoreError};
use crate::telemetry::log::Part;
use crate::telemetry::metrics::OrderLabels;

/// Number of reads of the store's generation within the lifetime of the lease.
const HEAD_READS_PER_LEASE: u32 = 4;
/// Timeout of an order to an engine and of a request for its report.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an order was not confirmed.
#[derive(Debug)]
enum OrderError {
    /// The engine could not be reached, refused it, or gave no valid answer.
    Engine(crate::engine::EngineError),
    /// The order record could not be read or written.
    Store(StoreError),
    /// Another process has changed the order record: this planner is outdated.
    Outdated,
    /// The ledger rejected it.
    Ledger(cometmoor_core::ledger::LedgerError),
    /// The order record rejected it.
    Record(cometmoor_core::unfenced::RecordError),
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OrderError::Engine(error) => write!(formatter, "{error}"),
            OrderError::Store(error) => write!(formatter, "{error}"),
            OrderError::Outdated => formatter.write_str("another planner has taken over"),
            OrderError::Ledger(error) => write!(formatter, "the ledger rejected it: {error:?}"),
            OrderError::Record(error) => write!(formatter, "the record rejected it: {error:?}"),
        }
    }
}

/// An engine with the planner's state for it.
enum PlannedEngine {
    Fenced(FencedEngine),
    Unfenced(UnfencedEngine),
}

impl PlannedEngine {
    fn inventory(&self) -> Option<&Inventory> {
        match self {
            PlannedEngine::Fenced(engine) => engine.inventory(),
            PlannedEngine::Unfenced(engine) => engine.inventory(),
        }
    }

    fn state(&self) -> Option<EngineState> {
        match self {
            PlannedEngine::Fenced(engine) => engine.state(),
            PlannedEngine::Unfenced(engine) => engine.state(),
        }
    }
}

/// State of the planner that lasts as long as it holds the role.
struct PlannerTerm {
    role: PlannerRole,
    engines: BTreeMap<String, PlannedEngine>,
    limiter: LoadLimiter,
    last_plan: Plan,
    /// When the store's generation was last read, and its value; none before the first read.
    head: Option<(BootInstant, u64)>,
}

/// The planner task of one node.
pub struct Planner<Store> {
    context: Arc<NodeContext>,
    store: Rc<Store>,
    layout: Layout,
    client: EngineClient,
}

impl<Store: ConfigurationStore> Planner<Store> {
    /// Creates a planner that does not hold the role.
    pub fn new(context: Arc<NodeContext>, store: Rc<Store>) -> Self {
        let connect_timeout = millis(context.settings.timing.connect_timeout_millis);
        Planner {
            layout: Layout::new(&context.settings.system),
            client: EngineClient::new(connect_timeout),
            context,
            store,
        }
    }

    /// Repeatedly tries to acquire the role, and plans while it is held. Does not return.
    pub async fn run(self) {
        let lease = millis(self.context.settings.timing.lease_millis);
        loop {
            if self.may_plan() {
                let node = &self.context.settings.node;
                match PlannerRole::acquire(&*self.store, &self.layout, node, lease).await {
                    Ok(Some(role)) => self.run_term(role).await,
                    Ok(None) => {}
                    Err(error) => warn!("{} acquiring the role failed: {error}", Part::Planner),
                }
            }
            let jitter = rand::random_range(0.5..1.0);
            tokio::time::sleep(lease.mul_f64(jitter / 2.0)).await;
        }
    }

    fn may_plan(&self) -> bool {
        !self.context.is_draining() && self.context.published.load().generation > 0
    }

    async fn run_term(&self, role: PlannerRole) {
        info!("{} this node is the planner, with epoch {}", Part::Planner, role.epoch());
        let settings = &self.context.settings.weight_store;
        let limits = WeightStoreLimits {
            loads_per_second: settings.loads_per_second,
            concurrent_loads: settings.concurrent_loads,
        };
        let mut term = PlannerTerm {
            role,
            engines: BTreeMap::new(),
            limiter: LoadLimiter::new(limits, self.context.clock.now()),
            last_plan: Plan::default(),
            head: None,
        };
        let interval = millis(self.context.settings.timing.planner_interval_millis);
        while self.may_plan() && term.role.renew_if_due(&*self.store).await {
            if self.is_up_to_date(&mut term).await {
                self.run_round(&mut term).await;
            }
            tokio::time::sleep(interval).await;
        }
        term.role.release(&*self.store).await;
        info!("{} this node is no longer the planner", Part::Planner);
    }

    /// Whether this node's configuration is at least as new as the store's was at the
    /// last read. With an older one it would unload what has been declared since.
    async fn is_up_to_date(&self, term: &mut PlannerTerm) -> bool {
        let period = millis(self.context.settings.timing.lease_millis) / HEAD_READS_PER_LEASE;
        if term.head.is_none_or(|(read_at, _)| clock::elapsed(read_at) >= period)
            && let Ok((head, _)) = read_head(&*self.store, &self.layout).await
        {
            term.head = Some((clock::now(), head.generation));
        }
        let generation = self.context.published.load().generation;
        term.head.is_some_and(|(_, needed)| generation >= needed)
    }

    /// Runs one planning round: requests reports, computes the plan and sends the orders.
    async fn run_round(&self, term: &mut PlannerTerm) {
        let catalog = self.context.published.load().catalog.clone();
        self.sync_engines(term, &catalog);
        self.refresh(term).await;
        let required = requirements(&catalog);
        let next_plan = plan(&required, &capacities(term, &catalog));
        if next_plan.shortages != term.last_plan.shortages {
            for shortage in &next_plan.shortages {
                warn!(
                    "{} no room for a replica of {}: it needs {} bytes, at most {} are free",
                    Part::Planner,
                    shortage.base,
                    shortage.needed_bytes,
                    shortage.largest_free_bytes
                );
            }
        }
        let states: BTreeMap<String, EngineState> = term
            .engines
            .iter()
            .filter_map(|(name, engine)| Some((name.clone(), engine.state()?)))
            .collect();
        let orders = next_orders(&next_plan, &required, &states);
        term.last_plan = next_plan;
        self.send_orders(term, orders).await;
    }

    /// Adds, updates and removes engines to match the catalog.
    fn sync_engines(&self, term: &mut PlannerTerm, catalog: &Catalog) {
        let epoch = term.role.epoch();
        term.engines.retain(|name, _| catalog.engine(name).is_some());
        for object in catalog.engines() {
            let name = &object.metadata.name;
            let spec = &object.spec;
            let known = term.engines.get(name);
            let same_kind = known.is_some_and(|engine| {
                matches!(engine, PlannedEngine::Fenced(_)) == spec.checks_fences
            });
            if !same_kind {
                let engine = self.new_engine(name, spec, epoch);
                term.engines.insert(name.clone(), engine);
            }
            match term.engines.get_mut(name) {
                Some(PlannedEngine::Fenced(engine)) => engine.update_spec(spec),
                Some(PlannedEngine::Unfenced(engine)) => engine.update_spec(spec),
                None => {}
            }
        }
    }

    fn new_engine(&self, name: &str, spec: &EngineSpec, epoch: u64) -> PlannedEngine {
        if spec.checks_fences {
            return PlannedEngine::Fenced(FencedEngine::new(spec, epoch));
        }
        let key = self.layout.order_record(name);
        let planner = PlannerId {
            node: self.context.settings.node.clone(),
            incarnation: self.context.incarnation,
        };
        PlannedEngine::Unfenced(UnfencedEngine::new(key, spec, planner))
    }

    /// Requests the reports of all engines concurrently, which also settles orders whose
    /// outcome is unknown.
    async fn refresh(&self, term: &mut PlannerTerm) {
        let members = self.context.published.load().members.clone();
        let members = &members;
        let refreshes = term.engines.iter_mut().map(|(name, engine)| async move {
            let ended = |planner: &PlannerId| has_ended(members, planner);
            let result = match engine {
                PlannedEngine::Fenced(engine) => engine.refresh(&self.client).await,
                PlannedEngine::Unfenced(engine) => {
                    engine.refresh(&self.client, &*self.store, ended).await
                }
            };
            (name, result)
        });
        for (name, result) in join_all(refreshes).await {
            if let Err(error) = result {
                spdlog::debug!("{} refreshing the state of {name} failed: {error}", Part::Planner);
            }
        }
    }

    fn count_order(&self, is_load: bool, confirmed: bool) {
        let labels = OrderLabels {
            action: if is_load { "load" } else { "unload" },
            result: if confirmed { "confirmed" } else { "unconfirmed" },
        };
        self.context.metrics.orders.get_or_create(&labels).inc();
    }

    async fn send_orders(&self, term: &mut PlannerTerm, orders: Vec<EngineOrder>) {
        let mut loading = count_running_loads(term);
        for order in orders {
            if !term.role.is_held() {
                return;
            }
            let is_load = matches!(order.action, OrderAction::Load { .. });
            let now = self.context.clock.now();
            if is_load && !term.limiter.try_start(loading, now) {
                continue;
            }
            loading += u32::from(is_load);
            let Some(engine) = term.engines.get_mut(&order.engine) else {
                continue;
            };
            let result = match engine {
                PlannedEngine::Fenced(engine) => {
                    engine.order(&self.client, order.action.clone()).await
                }
                PlannedEngine::Unfenced(engine) => {
                    engine.order(&self.client, &*self.store, order.action.clone()).await
                }
            };
            log_order(&order, &result);
            self.count_order(is_load, result.is_ok());
            if matches!(result, Err(OrderError::Outdated)) {
                term.role.mark_lost();
                return;
            }
        }
    }
}

/// Whether a planner's process has ended, which is certain only once a newer process
/// has its node's name. A node that is considered dead may just be paused.
fn has_ended(members: &[Member], planner: &PlannerId) -> bool {
    let successor = members.iter().find(|member| member.name == planner.node);
    successor.is_some_and(|member| member.incarnation > planner.incarnation)
}

fn log_order(order: &EngineOrder, result: &Result<(), OrderError>) {
    let action = match &order.action {
        OrderAction::Load { .. } => "load",
        OrderAction::Unload { .. } => "unload",
    };
    let artifact = order.action.artifact();
    let engine = &order.engine;
    match result {
        Ok(()) => info!("{} {engine} confirmed the {action} of {artifact}", Part::Planner),
        Err(error) => {
            warn!("{} {engine} did not confirm the {action} of {artifact}: {error}", Part::Planner);
        }
    }
}

/// Upper bound of the number of running loads: those that engines report, and every
/// artifact with an order whose outcome is unknown.
fn count_running_loads(term: &PlannerTerm) -> u32 {
    let running = term.engines.values().map(|engine| {
        let reported = engine.inventory().map_or(0, |inventory| {
            let loading = |resident: &&cometmoor_protocol::engine::Resident| {
                resident.state == ResidentState::Loading
            };
            inventory.resident.iter().filter(loading).count()
        });
        let unsettled = engine.state().map_or(0, |state| state.unsettled.len());
        reported + unsettled
    });
    u32::try_from(running.sum::<usize>()).unwrap_or(u32::MAX)
}

/// Engines on which models may be placed: those that report and are not leaving.
fn capacities(term: &PlannerTerm, catalog: &Catalog) -> Vec<EngineCapacity> {
    let mut capacities = Vec::new();
    for object in catalog.engines() {
        let name = &object.metadata.name;
        let inventory = term.engines.get(name).and_then(PlannedEngine::inventory);
        let Some(inventory) = inventory.filter(|inventory| !inventory.leaving) else {
            continue;
        };
        let mut capacity = EngineCapacity::empty(name, &object.spec);
        capacity.held = held_artifacts(inventory);
        capacities.push(capacity);
    }
    capacities
}

/// Artifacts that an engine holds and is not unloading, with their sizes in bytes.
fn held_artifacts(inventory: &Inventory) -> BTreeMap<Artifact, u64> {
    inventory
        .resident
        .iter()
        .filter(|resident| resident.state != ResidentState::Unloading)
        .map(|resident| (resident.artifact.clone(), resident.bytes))
        .collect()
}

/// Memory of an engine that is available for models, in bytes. It leaves out
/// what must stay free for the engine itself.
fn usable_bytes(spec: &EngineSpec) -> u64 {
    spec.memory_bytes.saturating_sub(spec.cache_floor_bytes)
}
