//! The planner: decides where models sit and orders it.
//!
//! One node at a time has the role, by a lease in the configuration store. The
//! revision at which it took the role is its epoch. Safety does not rest on
//! the lease: engines that check fences refuse an outdated planner, and orders
//! to the others are harmless when they arrive late, see [`unfenced`].

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
use self::role::Role;
use self::unfenced::UnfencedEngine;
use super::relay::read_head;
use crate::context::NodeContext;
use crate::engine::http::EngineClient;
use crate::settings::millis;
use crate::store::layout::Layout;
use crate::store::{ConfigurationStore, StoreError};
use crate::telemetry::log::Part;
use crate::telemetry::metrics::OrderLabels;

/// Comparisons with the store's generation within the lifetime of the lease.
const HEAD_READS_PER_LEASE: u32 = 4;
/// Time for an engine to answer an order or a report.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an order was not confirmed.
#[derive(Debug)]
enum OrderError {
    /// The engine did not confirm it.
    Engine(crate::engine::EngineError),
    /// Its record could not be written.
    Store(StoreError),
    /// Somebody else has changed its record: this planner is outdated.
    Outdated,
    /// The ledger does not allow it.
    Ledger(cometmoor_core::ledger::LedgerError),
    /// The order record does not allow it.
    Record(cometmoor_core::unfenced::RecordError),
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OrderError::Engine(error) => write!(formatter, "{error}"),
            OrderError::Store(error) => write!(formatter, "{error}"),
            OrderError::Outdated => formatter.write_str("another planner has taken over"),
            OrderError::Ledger(error) => write!(formatter, "the ledger refuses: {error:?}"),
            OrderError::Record(error) => write!(formatter, "the record refuses: {error:?}"),
        }
    }
}

/// An engine as the planner deals with it.
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

/// What the planner keeps while it has the role.
struct Tenure {
    role: Role,
    engines: BTreeMap<String, PlannedEngine>,
    limiter: LoadLimiter,
    last_plan: Plan,
    /// When the store's generation was last compared, and what it was.
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
    /// A planner without the role.
    pub fn new(context: Arc<NodeContext>, store: Rc<Store>) -> Self {
        let connect_timeout = millis(context.settings.timing.connect_timeout_millis);
        Planner {
            layout: Layout::new(&context.settings.system),
            client: EngineClient::new(connect_timeout),
            context,
            store,
        }
    }

    /// Seeks the role and plans while it has it, until the process ends.
    pub async fn run(self) {
        let lease = millis(self.context.settings.timing.lease_millis);
        loop {
            if self.may_plan() {
                let node = &self.context.settings.node;
                match Role::seek(&*self.store, &self.layout, node, lease).await {
                    Ok(Some(role)) => self.serve(role).await,
                    Ok(None) => {}
                    Err(error) => warn!("{} seeking the role failed: {error}", Part::Planner),
                }
            }
            let jitter = rand::random_range(0.5..1.0);
            tokio::time::sleep(lease.mul_f64(jitter / 2.0)).await;
        }
    }

    fn may_plan(&self) -> bool {
        !self.context.is_draining() && self.context.published.load().generation > 0
    }

    async fn serve(&self, role: Role) {
        info!("{} this node plans with epoch {}", Part::Planner, role.epoch());
        let settings = &self.context.settings.weight_store;
        let limits = WeightStoreLimits {
            loads_per_second: settings.loads_per_second,
            concurrent_loads: settings.concurrent_loads,
        };
        let mut tenure = Tenure {
            role,
            engines: BTreeMap::new(),
            limiter: LoadLimiter::new(limits, self.context.clock.now()),
            last_plan: Plan::default(),
            head: None,
        };
        let interval = millis(self.context.settings.timing.planner_interval_millis);
        while self.may_plan() && tenure.role.hold(&*self.store).await {
            if self.is_up_to_date(&mut tenure).await {
                self.round(&mut tenure).await;
            }
            tokio::time::sleep(interval).await;
        }
        tenure.role.give_up(&*self.store).await;
        info!("{} this node plans no longer", Part::Planner);
    }

    /// Whether this node has the configuration in force that the store held
    /// lately. By an older one it would unload what was declared since.
    async fn is_up_to_date(&self, tenure: &mut Tenure) -> bool {
        let period = millis(self.context.settings.timing.lease_millis) / HEAD_READS_PER_LEASE;
        if tenure.head.is_none_or(|(read_at, _)| clock::elapsed(read_at) >= period)
            && let Ok((head, _)) = read_head(&*self.store, &self.layout).await
        {
            tenure.head = Some((clock::now(), head.generation));
        }
        let generation = self.context.published.load().generation;
        tenure.head.is_some_and(|(_, needed)| generation >= needed)
    }

    /// One round: reports, plan, orders.
    async fn round(&self, tenure: &mut Tenure) {
        let catalog = self.context.published.load().catalog.clone();
        self.follow_engines(tenure, &catalog);
        self.refresh(tenure).await;
        let required = requirements(&catalog);
        let next_plan = plan(&required, &capacities(tenure, &catalog));
        if next_plan.shortages != tenure.last_plan.shortages {
            for shortage in &next_plan.shortages {
                warn!(
                    "{} {} has no place: it needs {} bytes, {} are left",
                    Part::Planner,
                    shortage.base,
                    shortage.needed_bytes,
                    shortage.largest_free_bytes
                );
            }
        }
        let states: BTreeMap<String, EngineState> = tenure
            .engines
            .iter()
            .filter_map(|(name, engine)| Some((name.clone(), engine.state()?)))
            .collect();
        let orders = next_orders(&next_plan, &required, &states);
        tenure.last_plan = next_plan;
        self.send_orders(tenure, orders).await;
    }

    /// Adds and removes engines as they are declared.
    fn follow_engines(&self, tenure: &mut Tenure, catalog: &Catalog) {
        let epoch = tenure.role.epoch();
        tenure.engines.retain(|name, _| catalog.engine(name).is_some());
        for object in catalog.engines() {
            let name = &object.metadata.name;
            let spec = &object.spec;
            let known = tenure.engines.get(name);
            let same_kind = known.is_some_and(|engine| {
                matches!(engine, PlannedEngine::Fenced(_)) == spec.checks_fences
            });
            if !same_kind {
                let engine = self.new_engine(name, spec, epoch);
                tenure.engines.insert(name.clone(), engine);
            }
            match tenure.engines.get_mut(name) {
                Some(PlannedEngine::Fenced(engine)) => engine.follow(spec),
                Some(PlannedEngine::Unfenced(engine)) => engine.follow(spec),
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

    /// Reads all reports and settles what is in doubt, all engines at once.
    async fn refresh(&self, tenure: &mut Tenure) {
        let members = self.context.published.load().members.clone();
        let members = &members;
        let refreshes = tenure.engines.iter_mut().map(|(name, engine)| async move {
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
                spdlog::debug!("{} {name} has no report: {error}", Part::Planner);
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

    async fn send_orders(&self, tenure: &mut Tenure, orders: Vec<EngineOrder>) {
        let mut loading = loads_running(tenure);
        for order in orders {
            if !tenure.role.is_held() {
                return;
            }
            let is_load = matches!(order.action, OrderAction::Load { .. });
            let now = self.context.clock.now();
            if is_load && !tenure.limiter.try_start(loading, now) {
                continue;
            }
            loading += u32::from(is_load);
            let Some(engine) = tenure.engines.get_mut(&order.engine) else {
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
                tenure.role.lose();
                return;
            }
        }
    }
}

/// Whether a planner's process is over: another one has its node's name. That
/// a node is thought dead proves nothing, it may only be paused.
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
        Ok(()) => info!("{} {engine} confirmed to {action} {artifact}", Part::Planner),
        Err(error) => {
            warn!("{} {engine} did not confirm to {action} {artifact}: {error}", Part::Planner);
        }
    }
}

/// Loads that run, or may run because their orders are in doubt.
fn loads_running(tenure: &Tenure) -> u32 {
    let running = tenure.engines.values().map(|engine| {
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

/// Engines that models may be placed on: those that report and stay.
fn capacities(tenure: &Tenure, catalog: &Catalog) -> Vec<EngineCapacity> {
    let mut capacities = Vec::new();
    for object in catalog.engines() {
        let name = &object.metadata.name;
        let inventory = tenure.engines.get(name).and_then(PlannedEngine::inventory);
        let Some(inventory) = inventory.filter(|inventory| !inventory.leaving) else {
            continue;
        };
        let mut capacity = EngineCapacity::empty(name, &object.spec);
        capacity.held = held(inventory);
        capacities.push(capacity);
    }
    capacities
}

/// What an engine holds and is not giving up already.
fn held(inventory: &Inventory) -> BTreeMap<Artifact, u64> {
    inventory
        .resident
        .iter()
        .filter(|resident| resident.state != ResidentState::Unloading)
        .map(|resident| (resident.artifact.clone(), resident.bytes))
        .collect()
}

/// Usable memory of an engine, in bytes.
fn usable_bytes(spec: &EngineSpec) -> u64 {
    spec.memory_bytes.saturating_sub(spec.cache_floor_bytes)
}
