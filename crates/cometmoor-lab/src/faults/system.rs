//! The system under test: nodes, engines, a service, and the platform.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_protocol::resource::Resource;

use super::SharedSystem;
use crate::cluster::{Cluster, NodeKind};
use crate::sample::{GIB, adapter, engine, group, model, service};
use crate::stand_in::engine::EngineStandIn;
use crate::stand_in::engine_state::{EngineConfig, EngineRecord};
use crate::stand_in::service::ServiceStandIn;

/// Nodes of the system.
pub const NODES: u8 = 4;
/// Engines that check fences, and such that do not.
const ENGINES: [bool; 5] = [true, true, true, false, false];
/// Memory of each engine.
const ENGINE_GIB: u64 = 14;
/// Models of the system.
pub const MODELS: usize = 8;
const ADAPTERS: usize = 10;
const MODEL_GIB: u64 = 4;
/// Bearer keys of the two groups.
pub const GROUP_KEYS: [&str; 2] = ["key-of-the-first-group", "key-of-the-second-group"];
/// Time for the first placement.
const PLACEMENT: Duration = Duration::from_secs(40);
/// Time for a status call to one node.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of the system.
pub struct FaultSystem {
    /// Platform and nodes.
    pub cluster: RefCell<Cluster>,
    /// Engines.
    pub engines: Vec<EngineStandIn>,
    /// Plain service.
    pub service: ServiceStandIn,
    /// Callers' addresses, which do not change.
    pub addresses: Vec<String>,
    /// Nodes that are draining, by address.
    pub draining: RefCell<Vec<String>>,
    /// Highest generation seen at each incarnation of each node.
    generations: RefCell<HashMap<(String, u64), u64>>,
    /// Generations that went down.
    pub reverted: Cell<u64>,
}

fn engine_config(checks_fences: bool) -> EngineConfig {
    EngineConfig {
        capacity_bytes: ENGINE_GIB * GIB,
        checks_fences,
        first_token: Duration::from_millis(15),
        token_interval: Duration::from_millis(4),
        batch_slowdown: 0.02,
        max_running: 48,
        load_time: Duration::from_millis(150),
    }
}

/// Name of a model.
pub fn model_name(index: usize) -> String {
    format!("model-{index}")
}

/// Declaration of a model at a version.
pub fn declared_model(index: usize, version: u64) -> Resource {
    let replicas = 1 + u32::from(index.is_multiple_of(2));
    model(&model_name(index), &format!("v{version}"), MODEL_GIB, replicas)
}

fn declarations(engines: &[EngineStandIn], service_address: SocketAddr) -> Vec<Resource> {
    let mut all = Vec::new();
    for (index, stand_in) in engines.iter().enumerate() {
        let zone = format!("z{}", index % 3 + 1);
        let name = format!("engine-{index}");
        all.push(engine(&name, stand_in.address(), &zone, ENGINE_GIB, ENGINES[index]));
    }
    all.extend((0..MODELS).map(|index| declared_model(index, 1)));
    for index in 0..ADAPTERS {
        let base = model_name(index % MODELS);
        all.push(adapter(&format!("adapter-{index}"), &base, GIB / 4));
    }
    for (index, key) in GROUP_KEYS.iter().enumerate() {
        all.push(group(&format!("group-{index}"), 1 + index as u32, key));
    }
    all.push(service("booking", service_address));
    all
}

impl FaultSystem {
    /// Starts everything and waits until all models can be reached.
    pub async fn start(nodes: &NodeKind) -> Result<SharedSystem, String> {
        let failed = |error: std::io::Error| error.to_string();
        let engines: Vec<EngineStandIn> = ENGINES
            .iter()
            .map(|checks_fences| EngineStandIn::start(engine_config(*checks_fences)))
            .collect::<Result<_, _>>()
            .map_err(failed)?;
        let service = ServiceStandIn::start().map_err(failed)?;
        let cluster = Cluster::start(NODES, nodes, |_| {}).map_err(failed)?;
        cluster.apply(&declarations(&engines, service.address())).await?;
        cluster.wait_reachable(PLACEMENT).await?;
        Ok(Rc::new(FaultSystem {
            addresses: cluster.client_addresses(),
            cluster: RefCell::new(cluster),
            engines,
            service,
            draining: RefCell::default(),
            generations: RefCell::default(),
            reverted: Cell::new(0),
        }))
    }

    /// Reads every node's generation and counts those that went down.
    pub async fn sample_generations(&self) -> BTreeMap<String, u64> {
        let mut current = BTreeMap::new();
        for index in 0..self.addresses.len() {
            let operator = self.cluster.borrow().operator_of(index);
            let status = tokio::time::timeout(STATUS_TIMEOUT, operator.status()).await;
            let Ok(Ok(status)) = status else { continue };
            let mut generations = self.generations.borrow_mut();
            let highest = generations.entry((status.node.clone(), status.incarnation)).or_insert(0);
            if status.generation < *highest {
                self.reverted.set(self.reverted.get() + 1);
            }
            *highest = (*highest).max(status.generation);
            current.insert(status.node, status.generation);
        }
        current
    }

    /// Whether all nodes answer and have the same generation in force.
    pub async fn generations_agree(&self) -> bool {
        let generations = self.sample_generations().await;
        let first = generations.values().next();
        generations.len() == self.addresses.len()
            && generations.values().all(|generation| Some(generation) == first)
    }

    /// Models and adapters that some node cannot reach.
    pub async fn unreachable_models(&self) -> u64 {
        use cometmoor_protocol::resource::Kind;
        let mut worst = 0;
        for index in 0..self.addresses.len() {
            let operator = self.cluster.borrow().operator_of(index);
            let mut unreachable = 0;
            for kind in [Kind::Model, Kind::Adapter] {
                let Ok(Ok(list)) = tokio::time::timeout(STATUS_TIMEOUT, operator.list(kind)).await
                else {
                    unreachable += 1;
                    continue;
                };
                let reachable = |view: &&cometmoor_protocol::resource::ResourceView| {
                    view.status.conditions.iter().all(|condition| condition.status)
                };
                let found = list.items.iter().filter(reachable).count();
                let declared = if kind == Kind::Model { MODELS } else { ADAPTERS };
                unreachable += declared.saturating_sub(found) as u64;
            }
            worst = worst.max(unreachable);
        }
        worst
    }

    /// What the engines have recorded, added up.
    pub fn engine_records(&self) -> Vec<EngineRecord> {
        self.engines.iter().map(|engine| engine.state.record()).collect()
    }

    /// Runs of a prompt at all engines.
    pub fn runs_of_prompt(&self, prompt: &str) -> u32 {
        let records = self.engine_records();
        records.iter().filter_map(|record| record.runs.get(prompt)).sum()
    }
}
