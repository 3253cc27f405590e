//! What each node knows of the servers' load, and the choice that it makes.

use std::time::Duration;

use cometmoor_core::gateway::admission::can_answer_in_time;
use cometmoor_core::gateway::selection::{Candidate, CostModel, RequestProfile, select};
use cometmoor_core::gateway::server_speed::Speed;
use cometmoor_gateway::latency::LatencyEstimates;
use cometmoor_gateway::load::{PendingPrefill, ServerLoad};
use xxhash_rust::xxh3::xxh3_64;

use super::arrivals::Arrival;
use super::engine::Engine;
use super::policy::{Policy, Routing};
use super::scenario::Scenario;

/// Number of a server.
pub type EngineIndex = usize;

/// What was found for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Found {
    /// A server.
    Server(EngineIndex),
    /// A server whose streams would pause for too long.
    Disturbed(EngineIndex),
    /// All would answer too late; the best one after this time.
    TooBusy(Duration),
    /// No server holds the model.
    Nobody,
}

/// One node's knowledge.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    own: Vec<ServerLoad>,
    told: Vec<ServerLoad>,
    /// How fast models are, as this node learned it.
    pub latencies: LatencyEstimates,
}

/// All nodes, each with what it knows.
#[derive(Clone, Debug)]
pub struct Fleet {
    nodes: Vec<NodeView>,
    shortest_pause: Option<f64>,
}

impl Fleet {
    /// Nodes that have sent nothing yet.
    pub fn new(scenario: &Scenario) -> Fleet {
        let none = vec![ServerLoad::default(); scenario.engines.servers];
        let node =
            NodeView { own: none.clone(), told: none, latencies: LatencyEstimates::default() };
        let pauses = scenario.kinds.iter().map(|kind| kind.pause_millis as f64);
        Fleet { nodes: vec![node; scenario.nodes], shortest_pause: pauses.min_by(f64::total_cmp) }
    }

    /// A node's knowledge.
    pub fn node(&mut self, node: usize) -> &mut NodeView {
        &mut self.nodes[node]
    }

    /// A node tells the others what it has sent.
    pub fn tell(&mut self, node: usize) {
        let view = &mut self.nodes[node];
        view.told.clone_from(&view.own);
    }

    /// Notes a request that a node sent, or the part of it that is over.
    pub fn add(&mut self, node: usize, engine: EngineIndex, load: ServerLoad) {
        let own = &mut self.nodes[node].own[engine];
        *own = own.plus(load);
    }

    /// Takes it out again.
    pub fn take(&mut self, node: usize, engine: EngineIndex, load: ServerLoad) {
        let own = &mut self.nodes[node].own[engine];
        *own = own.minus(load);
    }

    /// Load of a server as a node knows it: its own now, that of the others as
    /// they last told it.
    fn load(&self, node: usize, engine: EngineIndex) -> ServerLoad {
        let others = self.nodes.iter().enumerate().filter(|(other, _)| *other != node);
        others.fold(self.nodes[node].own[engine], |sum, (_, view)| sum.plus(view.told[engine]))
    }

    /// The server for a request at its node.
    pub fn pick(
        &self,
        scenario: &Scenario,
        policy: &Policy,
        engines: &[Engine],
        arrival: &Arrival,
        time_left: Duration,
    ) -> Found {
        let able: Vec<EngineIndex> =
            (0..engines.len()).filter(|engine| engines[*engine].serves(arrival.model)).collect();
        let in_flight = |engine: &EngineIndex| self.load(arrival.node, *engine).in_flight;
        if policy.routing == Routing::LeastLoaded {
            return able.into_iter().min_by_key(in_flight).map_or(Found::Nobody, Found::Server);
        }
        let candidates: Vec<Candidate> =
            able.iter().map(|engine| self.candidate(scenario, policy, arrival, *engine)).collect();
        let demand = self.demand(policy, arrival);
        let Some(choice) = select(&candidates, &demand, &CostModel::ENGINE) else {
            return Found::Nobody;
        };
        let objective = Duration::from_millis(scenario.kinds[arrival.kind].objective_millis);
        let expected = Duration::from_secs_f64(choice.cost.max(0.0) / 1000.0);
        let refuses = policy.mechanisms.early_refusal;
        if refuses && !can_answer_in_time(expected, objective, time_left) {
            return Found::TooBusy(expected);
        }
        match choice.delays_streams {
            true => Found::Disturbed(able[choice.index]),
            false => Found::Server(able[choice.index]),
        }
    }

    fn candidate(
        &self,
        scenario: &Scenario,
        policy: &Policy,
        arrival: &Arrival,
        engine: EngineIndex,
    ) -> Candidate {
        let load = self.load(arrival.node, engine);
        let subject = match policy.mechanisms.prompt_affinity {
            true => arrival.subject,
            false => arrival.at as u64,
        };
        Candidate {
            in_flight: load.in_flight,
            pending_millis: load.pending.millis_before(scenario.kinds[arrival.kind].priority),
            backlog_millis: load.pending.total_millis(),
            slots: scenario.engines.slots as u32,
            same_zone: true,
            has_idle_connection: true,
            failure_share: 0.0,
            affinity: xxh3_64(format!("{engine}/{}/{subject}", arrival.model).as_bytes()),
            cached_millis: 0.0,
            speed: Speed::MEAN,
            slowdown: None,
        }
    }

    fn demand(&self, policy: &Policy, arrival: &Arrival) -> RequestProfile {
        let latencies = &self.nodes[arrival.node].latencies;
        let millis = |tokens| {
            latencies.prefill_time(&model_name(arrival.model), tokens).as_secs_f64() * 1000.0
        };
        let shared = match policy.mechanisms.prompt_affinity {
            true => arrival.shared_tokens,
            false => 0,
        };
        let protects = policy.mechanisms.pause_protection;
        RequestProfile {
            prefill_millis: millis(arrival.prompt_tokens),
            shared_prefix_millis: millis(shared),
            unreported_millis: 0.0,
            event_interval_limit_millis: self.shortest_pause.filter(|_| protects),
        }
    }

    /// What a request adds to its server's load.
    pub fn load_of(&self, scenario: &Scenario, arrival: &Arrival) -> ServerLoad {
        let latencies = &self.nodes[arrival.node].latencies;
        let reading = latencies.prefill_time(&model_name(arrival.model), arrival.prompt_tokens);
        let priority = scenario.kinds[arrival.kind].priority;
        ServerLoad { in_flight: 1, pending: PendingPrefill::of(reading, priority) }
    }
}

/// Name of a model by its number.
pub fn model_name(model: usize) -> String {
    format!("model-{model}")
}
