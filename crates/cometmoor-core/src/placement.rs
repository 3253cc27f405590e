//! Placement of model versions on engines.
//!
//! A plan is plain data: [`crate::reconcile`] compares it with what the engines
//! hold and derives orders. Validation of a resource runs the same code on an
//! empty fleet, so that everything that is accepted can be placed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cometmoor_protocol::engine::Artifact;
use cometmoor_protocol::resource::EngineSpec;

use crate::catalog::{Catalog, base_artifact};

/// A model version that must be resident, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// The model version.
    pub base: Artifact,
    /// Memory for weights and cache, in bytes.
    pub base_bytes: u64,
    /// Adapters with their sizes in bytes; each replica holds all of them.
    pub adapters: BTreeMap<Artifact, u64>,
    /// Number of replicas to keep.
    pub replicas: u32,
}

impl Requirement {
    /// Memory of one replica with its adapters, in bytes.
    pub fn replica_bytes(&self) -> u64 {
        self.adapters.values().fold(self.base_bytes, |sum, bytes| sum.saturating_add(*bytes))
    }
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCapacity {
    /// Name of the engine.
    pub name: String,
    /// Zone of the engine.
    pub zone: String,
    /// Memory that artifacts may occupy, in bytes.
    pub usable_bytes: u64,
    /// Artifacts that it holds already, with their sizes in bytes.
    pub held: BTreeMap<Artifact, u64>,
}

impl EngineCapacity {
    /// Creates the capacity of an engine that holds no artifact.
    pub fn empty(name: &str, spec: &EngineSpec) -> EngineCapacity {
        EngineCapacity {
            name: name.to_owned(),
            zone: spec.zone.clone(),
            usable_bytes: spec.memory_bytes.saturating_sub(spec.cache_floor_bytes),
            held: BTreeMap::new(),
        }
    }
}

/// A replica for which no engine has room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The model version.
    pub base: Artifact,
    /// Memory that the replica needs, in bytes.
    pub needed_bytes: u64,
    /// Largest free memory of any engine without a replica of it, in bytes.
    pub largest_free_bytes: u64,
}

/// Desired contents of the engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Artifacts with their sizes in bytes, by engine name.
    pub assignments: BTreeMap<String, BTreeMap<Artifact, u64>>,
    /// Replicas that could not be placed.
    pub shortages: Vec<Shortage>,
}

/// Requirements of the declared resources.
pub fn requirements(catalog: &Catalog) -> Vec<Requirement> {
    let mut requirements = Vec::new();
    for model in catalog.models() {
        let name = &model.metadata.name;
        let base = base_artifact(name, &model.spec.version);
        requirements.push(Requirement {
            base_bytes: model.spec.weights_bytes.saturating_add(model.spec.cache_bytes),
            adapters: adapters_on(catalog, &base),
            base,
            replicas: model.spec.min_replicas,
        });
    }
    for object in catalog.model_versions() {
        let cache_bytes = catalog.model(&object.spec.model).map_or(0, |m| m.spec.cache_bytes);
        requirements.push(Requirement {
            base: base_artifact(&object.spec.model, &object.spec.version),
            base_bytes: object.spec.weights_bytes.saturating_add(cache_bytes),
            adapters: BTreeMap::new(),
            replicas: object.spec.min_replicas,
        });
    }
    requirements
}

fn adapters_on(catalog: &Catalog, base: &Artifact) -> BTreeMap<Artifact, u64> {
    catalog
        .adapters()
        .filter(|adapter| adapter.spec.model == base.model)
        .map(|adapter| {
            let artifact =
                Artifact { adapter: Some(adapter.metadata.name.clone()), ..base.clone() };
            (artifact, adapter.spec.bytes)
        })
        .collect()
}

/// How the engine for a new replica is chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fit {
    /// Worst fit, the engine with the most free memory: spreads load.
    MostFree,
    /// Best fit, the engine with the least sufficient free memory: least
    /// fragmentation.
    LeastFree,
}

/// Plans the placement on all engines. It keeps replicas where they are, spreads
/// new ones over zones, and repacks only if keeping everything leaves a shortage.
/// The last passes ignore what the engines hold, as validation does, so that
/// everything that was accepted has a plan.
pub fn plan(requirements: &[Requirement], engines: &[EngineCapacity]) -> Plan {
    let empty =
        |engine: &EngineCapacity| EngineCapacity { held: BTreeMap::new(), ..engine.clone() };
    let emptied: Vec<EngineCapacity> = engines.iter().map(empty).collect();
    let passes = [
        (engines, true, Fit::MostFree),
        (engines, true, Fit::LeastFree),
        (engines, false, Fit::LeastFree),
        (&emptied, false, Fit::MostFree),
        (&emptied, false, Fit::LeastFree),
    ];
    let mut best: Option<Plan> = None;
    for (engines, keep, fit) in passes {
        let plan = Packing::new(engines).pack(requirements, keep, fit);
        if plan.shortages.is_empty() {
            return plan;
        }
        if best.as_ref().is_none_or(|best| plan.shortages.len() < best.shortages.len()) {
            best = Some(plan);
        }
    }
    best.unwrap_or_default()
}

/// State of one packing pass.
struct Packing<'a> {
    engines: &'a [EngineCapacity],
    /// Unassigned memory of each engine, in bytes.
    free_bytes: Vec<u64>,
    /// Memory of the artifacts that each engine holds and is to unload, in bytes.
    /// It may stay occupied until a replacement is ready on another engine.
    unload_bytes: Vec<u64>,
    /// Engines that already hold a model version.
    holders: HashMap<&'a Artifact, Vec<usize>>,
    /// Engines to which a model version is assigned.
    hosts: HashMap<Artifact, Vec<usize>>,
    plan: Plan,
}

impl<'a> Packing<'a> {
    fn new(engines: &'a [EngineCapacity]) -> Self {
        let mut holders: HashMap<&Artifact, Vec<usize>> = HashMap::new();
        for (index, engine) in engines.iter().enumerate() {
            for artifact in engine.held.keys().filter(|artifact| artifact.adapter.is_none()) {
                holders.entry(artifact).or_default().push(index);
            }
        }
        Packing {
            engines,
            free_bytes: engines.iter().map(|engine| engine.usable_bytes).collect(),
            unload_bytes: engines.iter().map(|engine| engine.held.values().sum()).collect(),
            holders,
            hosts: HashMap::new(),
            plan: Plan::default(),
        }
    }

    fn pack(mut self, requirements: &[Requirement], keep: bool, fit: Fit) -> Plan {
        let mut order: Vec<&Requirement> = requirements.iter().collect();
        order.sort_by(|left, right| {
            right.replica_bytes().cmp(&left.replica_bytes()).then(left.base.cmp(&right.base))
        });
        if keep {
            for requirement in &order {
                self.keep_held(requirement);
            }
        }
        self.place_missing(&order, fit);
        self.plan
    }

    /// Keeps replicas where they are, up to the required number.
    fn keep_held(&mut self, requirement: &Requirement) {
        let holders = self.holders.get(&requirement.base).cloned().unwrap_or_default();
        for index in holders {
            if self.placed(requirement) >= requirement.replicas {
                return;
            }
            if self.free_bytes[index] >= requirement.replica_bytes() {
                self.assign(index, requirement);
            }
        }
    }

    /// Places missing replicas: the first of every model version before the second
    /// of any.
    fn place_missing(&mut self, order: &[&Requirement], fit: Fit) {
        let rounds = order.iter().map(|requirement| requirement.replicas).max().unwrap_or(0);
        for round in 1..=rounds {
            for requirement in order.iter().filter(|r| r.replicas >= round) {
                if self.placed(requirement) < round {
                    self.place_one(requirement, fit);
                }
            }
        }
    }

    fn place_one(&mut self, requirement: &Requirement, fit: Fit) {
        let needed_bytes = requirement.replica_bytes();
        let hosts = self.hosts.get(&requirement.base).cloned().unwrap_or_default();
        let zones: BTreeSet<&str> =
            hosts.iter().map(|host| self.engines[*host].zone.as_str()).collect();
        let candidates = (0..self.engines.len()).filter(|index| !hosts.contains(index));
        let chosen = candidates
            .clone()
            .filter(|index| self.free_bytes[*index] >= needed_bytes)
            .min_by_key(|index| {
                let free = self.free_bytes[*index];
                let room = if fit == Fit::MostFree { u64::MAX - free } else { free };
                let needs_unload = free < needed_bytes.saturating_add(self.unload_bytes[*index]);
                (needs_unload, zones.contains(self.engines[*index].zone.as_str()), room)
            });
        match chosen {
            Some(index) => self.assign(index, requirement),
            None => {
                let largest = candidates.map(|index| self.free_bytes[index]).max();
                self.plan.shortages.push(Shortage {
                    base: requirement.base.clone(),
                    needed_bytes,
                    largest_free_bytes: largest.unwrap_or(0),
                });
            }
        }
    }

    fn assign(&mut self, index: usize, requirement: &Requirement) {
        let engine = &self.engines[index];
        self.free_bytes[index] -= requirement.replica_bytes();
        self.hosts.entry(requirement.base.clone()).or_default().push(index);
        let content = self.plan.assignments.entry(engine.name.clone()).or_default();
        let base = std::iter::once((&requirement.base, &requirement.base_bytes));
        for (artifact, bytes) in base.chain(&requirement.adapters) {
            let held_bytes = engine.held.get(artifact).copied().unwrap_or(0);
            self.unload_bytes[index] = self.unload_bytes[index].saturating_sub(held_bytes);
            content.insert(artifact.clone(), *bytes);
        }
    }

    fn placed(&self, requirement: &Requirement) -> u32 {
        let hosts = self.hosts.get(&requirement.base).map_or(0, Vec::len);
        u32::try_from(hosts).unwrap_or(u32::MAX)
    }
}
