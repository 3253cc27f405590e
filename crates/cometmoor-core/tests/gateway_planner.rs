//! Plans keep every model reachable and never exceed the memory of a server.

mod schedules;

use std::collections::BTreeSet;
use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::configuration::{EngineProfile, ModelProfile};
use cometmoor_core::gateway::orders::{Action, Weights};
use cometmoor_core::gateway::planner::PlacementStrategy::{self, Balanced, SavedRequests};
use cometmoor_core::gateway::planner::{FleetDemand, ModelDemand, PlannedServer, plan};

use schedules::for_each_schedule;

const CASES: u64 = 2_000;
const STRATEGIES: [PlacementStrategy; 2] = [SavedRequests, Balanced];
const MODELS: usize = 6;
const SERVERS: usize = 4;
const MODEL_MEGABYTES: f64 = 60.0;
const SERVER_MEGABYTES: f64 = 200.0;
const ADAPTER_SLOTS: usize = 4;

fn profile() -> EngineProfile {
    let model = |index: usize| ModelProfile {
        name: format!("m{index}"),
        weights_megabytes: MODEL_MEGABYTES,
        adapters: if index == 0 { 3 } else { 0 },
        adapter_megabytes: 1.0,
        store_load_time: Duration::from_secs(9),
        disk_load_time: Duration::from_secs(2),
        memory_load_time: Duration::from_secs(1),
    };
    EngineProfile {
        models: (0..MODELS).map(model).collect(),
        weights_megabytes: SERVER_MEGABYTES,
        adapter_slots: ADAPTER_SLOTS as u32,
        batch_slots: 64,
        cache_tokens: 100_000,
        loads_per_second: 1.0,
        host_cache_megabytes: 100.0,
        disk_cache_megabytes: 400.0,
        supports_run_migration: false,
    }
}

fn server(index: usize, models: &[usize]) -> PlannedServer {
    let held: BTreeSet<Weights> =
        models.iter().map(|model| Weights::model(&format!("m{model}"))).collect();
    PlannedServer {
        id: format!("s{index}").into(),
        is_idle: true,
        reserved: held.clone(),
        held,
        ..PlannedServer::default()
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A planning round. One in four orders is left open.
    Round {
        left_open: u8,
    },
    Demand {
        model: u8,
        tenths: u8,
    },
    /// A server is replaced by an empty one.
    Crash {
        server: u8,
    },
}

struct World {
    profile: EngineProfile,
    servers: Vec<PlannedServer>,
    demand: FleetDemand,
    strategy: PlacementStrategy,
}

impl World {
    fn new(strategy: PlacementStrategy) -> World {
        let servers = vec![
            server(0, &[0, 1, 2]),
            server(1, &[0, 3, 4]),
            server(2, &[0, 5]),
            server(3, &[1, 2]),
        ];
        World {
            profile: profile(),
            servers,
            demand: FleetDemand { has_enough_history: true, ..FleetDemand::default() },
            strategy,
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Round { left_open } => self.round(left_open),
            Step::Demand { model, tenths } => {
                let name = format!("m{}", usize::from(model) % MODELS);
                self.set_demand(&name, f64::from(tenths % 30) / 10.0);
            }
            Step::Crash { server: index } => {
                let index = usize::from(index) % SERVERS;
                self.servers[index] = server(index, &[]);
            }
        }
    }

    /// Sets the demand for a model: the offered load in servers, at ten requests per second each.
    fn set_demand(&mut self, model: &str, offered_load: f64) {
        self.demand.models.insert(
            model.to_owned(),
            ModelDemand {
                offered_load,
                requests_per_second: 10.0 * offered_load,
                ..ModelDemand::default()
            },
        );
    }

    fn round(&mut self, left_open: u8) {
        let orders = plan(&self.profile, &self.servers, &self.demand, 5, self.strategy);
        for (number, planned) in orders.iter().enumerate() {
            let server = self.servers.iter_mut().find(|s| s.id == planned.server).unwrap();
            assert!(server.is_idle, "{planned:?} to a busy server");
            match planned.order.action {
                Action::Load => server.reserved.insert(planned.order.weights.clone()),
                Action::Unload => {
                    self.check_not_last_copy(planned.server.as_ref(), &planned.order.weights)
                }
            };
            let server = self.servers.iter_mut().find(|s| s.id == planned.server).unwrap();
            if number % 4 == usize::from(left_open % 4) {
                server.is_idle = false;
                continue;
            }
            if planned.order.action == Action::Unload {
                let weights = &planned.order.weights;
                let is_unloaded = |held: &Weights| match weights.adapter {
                    Some(_) => held == weights,
                    None => held.model == weights.model,
                };
                server.reserved.retain(|held| !is_unloaded(held));
            }
            server.held = server.reserved.clone();
        }
        for server in &mut self.servers {
            server.is_idle = true;
            server.held = server.reserved.clone();
        }
    }

    /// Checks that a model unloaded from a server has another copy.
    fn check_not_last_copy(&self, server: &str, weights: &Weights) -> bool {
        if weights.adapter.is_none() {
            let others = self
                .servers
                .iter()
                .filter(|other| &*other.id != server && other.held.contains(weights));
            assert!(others.count() > 0, "the last copy of {weights:?} would be unloaded");
        }
        true
    }

    fn check(&self) {
        for server in &self.servers {
            let models = server.reserved.iter().filter(|held| held.adapter.is_none()).count();
            let adapters = server.reserved.len() - models;
            let megabytes = models as f64 * MODEL_MEGABYTES + adapters as f64;
            assert!(megabytes <= SERVER_MEGABYTES, "{megabytes} MB on {}", server.id);
            assert!(adapters <= ADAPTER_SLOTS, "{adapters} adapters on {}", server.id);
        }
    }
}

#[test]
fn no_plan_overcommits_a_server_or_unloads_a_last_copy() {
    for strategy in STRATEGIES {
        for_each_schedule::<Step>(CASES, |steps| {
            let mut world = World::new(strategy);
            for step in steps {
                world.run(*step);
                world.check();
            }
        });
    }
}

#[test]
fn models_and_adapters_without_a_copy_are_reloaded_after_crashes() {
    for strategy in STRATEGIES {
        let mut world = World::new(strategy);
        for server in 0..2 {
            world.run(Step::Crash { server });
        }
        for _ in 0..30 {
            world.round(3);
        }
        for model in 0..MODELS {
            let weights = Weights::model(&format!("m{model}"));
            assert!(
                world.servers.iter().any(|server| server.held.contains(&weights)),
                "{weights:?}"
            );
        }
        for adapter in 1..=3 {
            let weights = Weights::adapter("m0", &format!("a{adapter}"));
            assert!(
                world.servers.iter().any(|server| server.held.contains(&weights)),
                "{weights:?}"
            );
        }
    }
}

#[test]
fn a_model_in_demand_gets_copies_in_place_of_spare_ones() {
    for strategy in STRATEGIES {
        let mut world = World::new(strategy);
        world.servers[3] = server(3, &[0, 1, 2]);
        world.set_demand("m5", 0.9);
        for _ in 0..10 {
            world.round(3);
        }
        let weights = Weights::model("m5");
        let copies = world.servers.iter().filter(|server| server.held.contains(&weights)).count();
        assert!(copies >= 2, "{copies} copies");
    }
}

/// A fleet with fewer places than models left those in demand without any copy.
#[test]
fn a_requested_model_replaces_an_idle_one_where_the_servers_cannot_hold_all_models() {
    for (servers, models) in [(1, 4), (300, 901), (1_000, 3_001)] {
        let mut profile = profile();
        let first = profile.models[1].clone();
        let model = |index: usize| ModelProfile { name: format!("m{index}"), ..first.clone() };
        profile.models = (0..models).map(model).collect();
        let servers: Vec<PlannedServer> = (0..servers)
            .map(|index| server(index, &[3 * index, 3 * index + 1, 3 * index + 2]))
            .collect();
        let missing = models - 1;
        let of = |requests_per_second| ModelDemand {
            offered_load: requests_per_second / 10.0,
            requests_per_second,
            ..ModelDemand::default()
        };
        let mut demand = FleetDemand { has_enough_history: true, ..FleetDemand::default() };
        let nothing_requested = plan(&profile, &servers, &demand, 5, SavedRequests);
        assert_eq!(nothing_requested, Vec::new(), "idle models replace one another");
        demand.models.insert(format!("m{missing}"), of(0.4));
        for busy in (0..missing).filter(|model| model % 3 != 1) {
            demand.models.insert(format!("m{busy}"), of(0.4));
        }
        let orders = plan(&profile, &servers, &demand, 5, SavedRequests);
        let unloads: Vec<usize> = orders
            .iter()
            .filter(|planned| planned.makes_room_for == Some(format!("m{missing}")))
            .map(|planned| planned.order.weights.model[1..].parse().unwrap())
            .collect();
        assert_eq!(unloads.len(), 1, "{orders:?}");
        assert_eq!(unloads[0] % 3, 1, "a busy model is unloaded: {orders:?}");
    }
}

/// While one of two copies was being unloaded, the next round unloaded the other one: 191 requests
/// found no server with their model (tnpto-ride, quiet-1).
#[test]
fn a_copy_being_unloaded_or_loaded_does_not_make_another_one_spare() {
    for strategy in STRATEGIES {
        let mut world = World::new(strategy);
        world.set_demand("m5", 2.0);
        world.profile.models[0].adapters = 0;
        for (unloading, loading) in [(true, false), (false, true)] {
            let mut servers = vec![server(0, &[0, 1, 2]), server(1, &[0, 3, 4]), server(2, &[5])];
            let weights = Weights::model("m0");
            servers[1].is_idle = false;
            if unloading {
                servers[1].unloading = Some(weights.clone());
            }
            if loading {
                servers[1].held.remove(&weights);
            }
            let orders = plan(&world.profile, &servers, &world.demand, 5, world.strategy);
            let is_unloaded = orders.iter().any(|planned| {
                planned.order.action == Action::Unload && planned.order.weights == weights
            });
            assert!(!is_unloaded, "unloading {unloading}, loading {loading}: {orders:?}");
        }
    }
}

/// With short prompts and long responses, batches are full long before prefill takes all of a
/// server's time.
#[test]
fn full_batches_count_as_load_as_well_as_prefill() {
    let long_responses = ModelDemand::new(0.4, 1.6, 30.0);
    assert!(long_responses.offered_load > 1.0);
    let long_prompts = ModelDemand::new(0.9, 0.3, 7.0);
    let expected = ModelDemand {
        offered_load: 0.9,
        requests_per_second: 7.0,
        mean_prefill_seconds: 0.9 / 7.0,
    };
    assert_eq!(long_prompts, expected);
}
