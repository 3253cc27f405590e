//! Derives orders from the difference between a plan and the engines' contents.
//!
//! An unload never removes the last ready copy of a model that is still declared:
//! the old copy is unloaded only after the copy on the new engine or of the new
//! version is ready. If there is no room for both, replicas are replaced one by
//! one.

use std::collections::{BTreeMap, BTreeSet};

use cometmoor_protocol::engine::{Artifact, Inventory, OrderAction, ResidentState};

use crate::placement::{Plan, Requirement};

/// State of an engine that determines its next orders.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// The newest report of the engine.
    pub inventory: Inventory,
    /// Memory that is certainly free, in bytes.
    pub free_bytes: u64,
    /// Artifacts with an order whose effect is not known yet.
    pub unsettled: BTreeSet<Artifact>,
}

impl EngineState {
    fn holds(&self, artifact: &Artifact) -> bool {
        self.inventory.resident.iter().any(|resident| resident.artifact == *artifact)
    }

    fn state_of(&self, artifact: &Artifact) -> Option<ResidentState> {
        let mut resident = self.inventory.resident.iter();
        resident.find(|resident| resident.artifact == *artifact).map(|resident| resident.state)
    }

    fn is_ready(&self, artifact: &Artifact) -> bool {
        self.state_of(artifact) == Some(ResidentState::Ready)
    }

    fn is_unloading(&self, artifact: &Artifact) -> bool {
        self.state_of(artifact) == Some(ResidentState::Unloading)
    }

    fn ready_bases(&self) -> impl Iterator<Item = &Artifact> {
        self.inventory
            .resident
            .iter()
            .filter(|resident| resident.state == ResidentState::Ready)
            .map(|resident| &resident.artifact)
            .filter(|artifact| artifact.adapter.is_none())
    }
}

/// An order for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Name of the engine.
    pub engine: String,
    /// The load or unload to send.
    pub action: OrderAction,
}

/// The orders that may be sent now, at most one for each artifact on each engine.
pub fn next_orders(
    plan: &Plan,
    requirements: &[Requirement],
    engines: &BTreeMap<String, EngineState>,
) -> Vec<EngineOrder> {
    let mut orders = loads(plan, engines);
    orders.extend(UnloadPlanner::new(plan, requirements, engines).collect());
    orders
}

fn loads(plan: &Plan, engines: &BTreeMap<String, EngineState>) -> Vec<EngineOrder> {
    let mut orders = Vec::new();
    for (name, state) in engines {
        let Some(content) = plan.assignments.get(name) else {
            continue;
        };
        let mut free_bytes = state.free_bytes;
        // In the order of artifacts, a base comes before its adapters.
        for (artifact, bytes) in content {
            let pending = state.holds(artifact) || state.unsettled.contains(artifact);
            let base_missing = artifact.adapter.is_some() && !state.holds(&artifact.base());
            if pending || base_missing || *bytes > free_bytes {
                continue;
            }
            free_bytes -= bytes;
            let action = OrderAction::Load { artifact: artifact.clone(), bytes: *bytes };
            orders.push(EngineOrder { engine: name.clone(), action });
        }
    }
    orders
}

/// Plans the unloads while counting the ready copies that remain.
struct UnloadPlanner<'a> {
    plan: &'a Plan,
    engines: &'a BTreeMap<String, EngineState>,
    required: BTreeMap<&'a Artifact, &'a Requirement>,
    /// Ready copies of any version, by model.
    ready_of_model: BTreeMap<&'a str, u32>,
    /// Those of them that also have all adapters required for their version.
    complete_of_model: BTreeMap<&'a str, u32>,
    /// Ready copies with all their adapters, by version.
    complete_of_base: BTreeMap<&'a Artifact, u32>,
    orders: Vec<EngineOrder>,
}

impl<'a> UnloadPlanner<'a> {
    fn new(
        plan: &'a Plan,
        requirements: &'a [Requirement],
        engines: &'a BTreeMap<String, EngineState>,
    ) -> Self {
        let mut planner = UnloadPlanner {
            plan,
            engines,
            required: requirements.iter().map(|r| (&r.base, r)).collect(),
            ready_of_model: BTreeMap::new(),
            complete_of_model: BTreeMap::new(),
            complete_of_base: BTreeMap::new(),
            orders: Vec::new(),
        };
        for state in engines.values().filter(|state| !state.inventory.leaving) {
            for base in state.ready_bases() {
                let complete = u32::from(planner.is_complete(state, base));
                *planner.ready_of_model.entry(&base.model).or_insert(0) += 1;
                *planner.complete_of_model.entry(&base.model).or_insert(0) += complete;
                *planner.complete_of_base.entry(base).or_insert(0) += complete;
            }
        }
        planner
    }

    fn is_complete(&self, state: &EngineState, base: &Artifact) -> bool {
        let requirement = self.required.get(base);
        requirement.is_none_or(|r| r.adapters.keys().all(|adapter| state.is_ready(adapter)))
    }

    fn collect(mut self) -> Vec<EngineOrder> {
        for (name, state) in self.engines {
            for resident in &state.inventory.resident {
                let artifact = &resident.artifact;
                if self.is_planned(name, artifact) {
                    continue;
                }
                if artifact.adapter.is_none() {
                    self.try_unload_base(name, state, artifact);
                } else if self.is_planned(name, &artifact.base()) || !state.holds(&artifact.base())
                {
                    // The base stays or has been unloaded already.
                    self.order(name, state, artifact);
                }
            }
        }
        self.orders
    }

    /// UnloadPlanner a base after its adapters, if enough ready copies remain.
    fn try_unload_base(&mut self, engine: &str, state: &'a EngineState, base: &'a Artifact) {
        let ready = !state.inventory.leaving && state.is_ready(base);
        if !self.may_unload(engine, base, ready) {
            return;
        }
        if ready {
            let complete = u32::from(self.is_complete(state, base));
            subtract(&mut self.ready_of_model, base.model.as_str(), 1);
            subtract(&mut self.complete_of_model, base.model.as_str(), complete);
            subtract(&mut self.complete_of_base, base, complete);
        }
        let adapters = state.inventory.resident.iter().map(|resident| &resident.artifact);
        for adapter in adapters.filter(|a| a.adapter.is_some() && a.base() == *base) {
            self.order(engine, state, adapter);
        }
        self.order(engine, state, base);
    }

    fn order(&mut self, engine: &str, state: &EngineState, artifact: &Artifact) {
        if state.is_unloading(artifact) || state.unsettled.contains(artifact) {
            return;
        }
        let action = OrderAction::Unload { artifact: artifact.clone() };
        self.orders.push(EngineOrder { engine: engine.to_owned(), action });
    }

    fn is_planned(&self, engine: &str, artifact: &Artifact) -> bool {
        let content = self.plan.assignments.get(engine);
        content.is_some_and(|content| content.contains_key(artifact))
    }

    fn may_unload(&self, engine: &str, base: &Artifact, ready: bool) -> bool {
        let model = base.model.as_str();
        let declared = self.required.keys().any(|required| required.model == model);
        if !declared || !ready {
            return true;
        }
        let own_complete =
            self.engines.get(engine).is_some_and(|state| self.is_complete(state, base));
        let others = count(&self.ready_of_model, model) - 1;
        let others_complete = count(&self.complete_of_model, model) - u32::from(own_complete);
        // If another artifact needs the memory, a remaining copy without all its
        // adapters is sufficient.
        let memory_needed = self.needs_memory(engine);
        (others_complete > 0 && (memory_needed || self.replicas_ready_without(base, own_complete)))
            || (others > 0 && memory_needed)
    }

    /// Whether every required version of the model has all its replicas ready,
    /// not counting this copy.
    fn replicas_ready_without(&self, base: &Artifact, own_complete: bool) -> bool {
        self.required.values().filter(|required| required.base.model == base.model).all(
            |required| {
                let ready = self.complete_of_base.get(&required.base).copied().unwrap_or(0);
                let own = u32::from(own_complete && required.base == *base);
                ready.saturating_sub(own) >= required.replicas
            },
        )
    }

    /// Whether a planned artifact does not fit into the engine's free memory.
    fn needs_memory(&self, engine: &str) -> bool {
        let (Some(state), Some(content)) =
            (self.engines.get(engine), self.plan.assignments.get(engine))
        else {
            return false;
        };
        content.iter().any(|(artifact, bytes)| {
            !state.holds(artifact)
                && !state.unsettled.contains(artifact)
                && *bytes > state.free_bytes
        })
    }
}

fn count(counts: &BTreeMap<&str, u32>, model: &str) -> u32 {
    counts.get(model).copied().unwrap_or(0)
}

fn subtract<Key: Ord>(counts: &mut BTreeMap<Key, u32>, key: Key, amount: u32) {
    if let Some(count) = counts.get_mut(&key) {
        *count = count.saturating_sub(amount);
    }
}
