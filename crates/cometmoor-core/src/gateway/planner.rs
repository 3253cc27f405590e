//! Which server should hold which model and adapter.
//!
//! A plan is a list of next orders, at most one for each server that is idle.
//! It is made anew from what the servers hold and what is asked for, so that it
//! needs no memory of its own. Every model keeps a copy; models that are asked
//! for more get more copies, where those that are asked for less have spare
//! ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::configuration::{EngineProfile, ModelProfile};
use super::orders::{Action, ServerOrder, Weights};

/// A server as the planner sees it.
#[derive(Clone, Debug, Default)]
pub struct PlannedServer {
    /// Its identifier.
    pub id: Arc<str>,
    /// Whether it can be ordered now.
    pub idle: bool,
    /// What it holds for certain.
    pub held: BTreeSet<Weights>,
    /// What it holds or may come to hold.
    pub reserved: BTreeSet<Weights>,
    /// Models whose weights it has in host memory.
    pub in_host_memory: BTreeSet<String>,
    /// Models whose weights it has on disk.
    pub on_disk: BTreeSet<String>,
    /// Models that it got so lately that they should stay.
    pub fresh: BTreeSet<String>,
    /// Weights that are being taken away; they do not count as a copy.
    pub leaving: Option<Weights>,
}

impl PlannedServer {
    /// Whether it has the weights, or will have them.
    fn will_hold(&self, weights: &Weights) -> bool {
        self.reserved.contains(weights) && self.leaving.as_ref() != Some(weights)
    }

    /// Whether it can answer with the weights now, and will stay able to.
    fn serves(&self, weights: &Weights) -> bool {
        self.held.contains(weights) && self.leaving.as_ref() != Some(weights)
    }
}

/// What is asked for.
#[derive(Clone, Debug, Default)]
pub struct FleetDemand {
    /// Whether it was watched for long enough to take copies away by it.
    pub is_known: bool,
    /// Work asked of each model, in servers that it would keep busy.
    pub models: BTreeMap<String, f64>,
    /// Requests a second for each adapter.
    pub adapters: BTreeMap<Weights, f64>,
}

/// An order for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The server.
    pub server: Arc<str>,
    /// The order.
    pub order: ServerOrder,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// Share of a server that one copy of a model should be kept busy at most.
const BUSY_PART: f64 = 0.3;
/// Most copies, as a share of the servers.
const MOST_COPIES_PART: f64 = 0.7;
/// Work below which a model counts as not asked for.
const NO_WORK: f64 = 0.01;

/// Copies that a model should have.
fn wanted_copies(work: f64, servers: usize, busy_part: f64) -> usize {
    let most = ((servers as f64 * MOST_COPIES_PART).floor() as usize).max(1);
    ((work / busy_part).ceil() as usize).clamp(1, most)
}

struct Planner<'a> {
    profile: &'a EngineProfile,
    servers: &'a [PlannedServer],
    demand: &'a FleetDemand,
    copies: BTreeMap<&'a str, usize>,
    serving: BTreeMap<&'a str, usize>,
    plan: Vec<PlannedOrder>,
    used: BTreeSet<Arc<str>>,
    loads_left: usize,
}

/// The next orders. `loads_left` bounds those that come from the weight store.
pub fn plan(
    profile: &EngineProfile,
    servers: &[PlannedServer],
    demand: &FleetDemand,
    loads_left: usize,
) -> Vec<PlannedOrder> {
    let mut planner = Planner {
        profile,
        servers,
        demand,
        copies: copies(profile, servers, PlannedServer::will_hold),
        serving: copies(profile, servers, PlannedServer::serves),
        plan: Vec::new(),
        used: BTreeSet::new(),
        loads_left,
    };
    planner.bring_missing_models();
    planner.bring_adapters();
    if demand.is_known {
        planner.bring_more_copies();
    }
    planner.plan
}

fn copies<'a>(
    profile: &'a EngineProfile,
    servers: &[PlannedServer],
    has: impl Fn(&PlannedServer, &Weights) -> bool,
) -> BTreeMap<&'a str, usize> {
    let count = |name: &str| {
        let weights = Weights::model(name);
        servers.iter().filter(|server| has(server, &weights)).count()
    };
    profile.models.iter().map(|model| (model.name.as_str(), count(&model.name))).collect()
}

impl<'a> Planner<'a> {
    fn work(&self, model: &str) -> f64 {
        self.demand.models.get(model).copied().unwrap_or(0.0)
    }

    fn copies_of(&self, model: &str) -> usize {
        self.copies.get(model).copied().unwrap_or(0)
    }

    fn is_free(&self, server: &PlannedServer) -> bool {
        server.idle && !self.used.contains(&server.id)
    }

    fn profile_of(&self, model: &str) -> Option<&'a ModelProfile> {
        self.profile.models.iter().find(|profile| profile.name == model)
    }

    fn bring_missing_models(&mut self) {
        let mut missing: Vec<&ModelProfile> =
            self.profile.models.iter().filter(|model| self.copies_of(&model.name) == 0).collect();
        missing.sort_by(|left, right| self.work(&right.name).total_cmp(&self.work(&left.name)));
        for model in missing {
            self.bring(model);
        }
    }

    fn bring_more_copies(&mut self) {
        let mut short: Vec<(f64, &ModelProfile)> = self
            .profile
            .models
            .iter()
            .filter(|model| {
                let wanted = wanted_copies(self.work(&model.name), self.servers.len(), BUSY_PART);
                self.copies_of(&model.name) < wanted
            })
            .map(|model| {
                let copies = self.copies_of(&model.name).max(1);
                (self.work(&model.name) / copies as f64, model)
            })
            .collect();
        short.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, model) in short {
            self.bring(model);
        }
    }

    /// Orders the load of a model where it is cheapest, or the unload that
    /// makes room for it.
    fn bring(&mut self, model: &'a ModelProfile) {
        let weights = Weights::model(&model.name);
        let mut best: Option<(f64, usize, Option<String>)> = None;
        for (index, server) in self.servers.iter().enumerate() {
            if !self.is_free(server) || server.reserved.contains(&weights) {
                continue;
            }
            let from_store = is_from_store(server, &model.name);
            if from_store && self.loads_left == 0 {
                continue;
            }
            let Some(victim) = self.room(server, model) else { continue };
            let cost = self.cost(server, model, victim.as_deref());
            if best.as_ref().is_none_or(|(known, _, _)| cost < *known) {
                best = Some((cost, index, victim));
            }
        }
        let Some((_, index, victim)) = best else { return };
        let server = &self.servers[index];
        let order = match victim {
            Some(victim) => {
                for counts in [&mut self.copies, &mut self.serving] {
                    if let Some(copies) = counts.get_mut(victim.as_str()) {
                        *copies = copies.saturating_sub(1);
                    }
                }
                ServerOrder { action: Action::Unload, weights: Weights::model(&victim) }
            }
            None => ServerOrder { action: Action::Load, weights },
        };
        self.push(server, order, &model.name);
    }

    fn push(&mut self, server: &PlannedServer, order: ServerOrder, model: &str) {
        let loads_model = order.action == Action::Load && order.weights.adapter.is_none();
        let from_store = loads_model && is_from_store(server, model);
        if from_store {
            self.loads_left -= 1;
        }
        self.used.insert(server.id.clone());
        self.plan.push(PlannedOrder { server: server.id.clone(), order, from_store });
    }

    /// Whether the model fits on the server: at once (no victim), or after the
    /// unload of a victim.
    fn room(&self, server: &PlannedServer, model: &ModelProfile) -> Option<Option<String>> {
        let free = self.profile.weights_megabytes - self.megabytes(&server.reserved);
        if model.weights_megabytes + self.adapter_reserve() <= free {
            return Some(None);
        }
        let victim = server
            .held
            .iter()
            .filter(|weights| weights.adapter.is_none())
            .filter(|weights| !server.fresh.contains(&weights.model))
            .filter(|weights| self.is_spare(&weights.model))
            .min_by(|left, right| {
                self.work_per_copy(&left.model).total_cmp(&self.work_per_copy(&right.model))
            })?;
        Some(Some(victim.model.clone()))
    }

    /// Whether a model keeps enough copies without one of them, counting only
    /// those that serve: a copy that is on its way may take long, or fail.
    fn is_spare(&self, model: &str) -> bool {
        let serving = self.serving.get(model).copied().unwrap_or(0);
        serving > wanted_copies(self.work(model), self.servers.len(), BUSY_PART).max(1)
    }

    fn work_per_copy(&self, model: &str) -> f64 {
        self.work(model) / self.copies_of(model).max(1) as f64
    }

    /// Room that is kept for adapters.
    fn adapter_reserve(&self) -> f64 {
        let largest =
            self.profile.models.iter().map(|model| model.adapter_megabytes).fold(0.0, f64::max);
        largest * f64::from(self.profile.adapter_slots)
    }

    fn megabytes(&self, held: &BTreeSet<Weights>) -> f64 {
        held.iter()
            .filter(|weights| weights.adapter.is_none())
            .filter_map(|weights| self.profile_of(&weights.model))
            .map(|model| model.weights_megabytes)
            .sum()
    }

    /// Seconds until the copy serves, and what the server has to do besides.
    fn cost(&self, server: &PlannedServer, model: &ModelProfile, victim: Option<&str>) -> f64 {
        let load = if server.in_host_memory.contains(&model.name) {
            model.load_from_memory
        } else if server.on_disk.contains(&model.name) {
            model.load_from_disk
        } else {
            model.load
        };
        let others: f64 = server
            .held
            .iter()
            .filter(|weights| weights.adapter.is_none())
            .filter(|weights| Some(weights.model.as_str()) != victim)
            .map(|weights| self.work_per_copy(&weights.model))
            .sum();
        load.as_secs_f64() + 10.0 * others + if victim.is_some() { 1.0 } else { 0.0 }
    }

    fn bring_adapters(&mut self) {
        let mut wishes = self.adapter_wishes();
        wishes.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, weights) in wishes {
            self.bring_adapter(&weights);
        }
    }

    /// Adapters that should be on one more server, the most wanted first: those
    /// that no server holds, then those that are asked for.
    fn adapter_wishes(&self) -> Vec<(f64, Weights)> {
        let mut wishes = Vec::new();
        for model in &self.profile.models {
            for number in 1..=model.adapters {
                let weights = Weights::adapter(&model.name, &format!("a{number}"));
                let holders =
                    self.servers.iter().filter(|server| server.reserved.contains(&weights)).count();
                let asked = self.demand.adapters.get(&weights).copied().unwrap_or(0.0);
                if holders == 0 {
                    wishes.push((1000.0 + asked, weights));
                } else if holders < self.copies_of(&model.name) && asked > 0.0 {
                    wishes.push((asked / holders as f64, weights));
                }
            }
        }
        wishes
    }

    fn bring_adapter(&mut self, weights: &Weights) {
        let model = Weights::model(&weights.model);
        let slots = self.profile.adapter_slots as usize;
        let adapters = |server: &PlannedServer| {
            server.reserved.iter().filter(|held| held.adapter.is_some()).count()
        };
        let holder = |server: &&PlannedServer| {
            server.held.contains(&model) && !server.reserved.contains(weights)
        };
        let with_room = self
            .servers
            .iter()
            .filter(holder)
            .filter(|server| adapters(server) < slots)
            .min_by_key(|server| (!self.is_free(server), adapters(server)));
        if let Some(server) = with_room {
            if self.is_free(server) {
                let order = ServerOrder { action: Action::Load, weights: weights.clone() };
                self.push(server, order, &weights.model);
            }
            return;
        }
        if self.servers.iter().any(|server| server.reserved.contains(weights)) {
            return;
        }
        self.make_room_for_adapter(&model, self.adapter_value(weights));
    }

    /// Takes out the least wanted adapter that another server holds too, or
    /// that is asked for less than the one that needs its place.
    fn make_room_for_adapter(&mut self, model: &Weights, value: f64) {
        let candidates = self
            .servers
            .iter()
            .filter(|server| self.is_free(server) && server.held.contains(model));
        let victim = candidates
            .flat_map(|server| server.held.iter().map(move |held| (server, held)))
            .filter(|(_, held)| held.adapter.is_some() && self.is_spare_adapter(held, value))
            .min_by(|left, right| {
                self.adapter_value(left.1).total_cmp(&self.adapter_value(right.1))
            });
        if let Some((server, held)) = victim {
            let order = ServerOrder { action: Action::Unload, weights: held.clone() };
            let name = held.model.clone();
            self.push(server, order, &name);
        }
    }

    fn is_spare_adapter(&self, weights: &Weights, value: f64) -> bool {
        let holders = self.servers.iter().filter(|server| server.held.contains(weights)).count();
        holders > 1 || self.adapter_value(weights) + NO_WORK < value
    }

    fn adapter_value(&self, weights: &Weights) -> f64 {
        self.demand.adapters.get(weights).copied().unwrap_or(0.0)
    }
}

fn is_from_store(server: &PlannedServer, model: &str) -> bool {
    !server.in_host_memory.contains(model) && !server.on_disk.contains(model)
}
