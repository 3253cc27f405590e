//! The leader: plans and sends orders to the servers while this node holds the lease.

mod adapters;
mod announcements;
mod calls;
mod engine;
mod planned_moves;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use cometmoor_core::gateway::configuration::{EngineProfile, GatewayConfiguration};
use cometmoor_core::gateway::leadership::{
    CandidateContext, Leadership, LeadershipTiming, Predecessor,
};
use cometmoor_core::gateway::load_rate::LoadRateLimiter;
use cometmoor_core::gateway::orders::{Action, NextStep, Weights};
use cometmoor_core::gateway::planner::{
    FleetDemand, MAX_PLAN_INTERVAL, MIN_DEMAND_HISTORY, ModelDemand, PlacementStrategy,
    PlannedOrder, PlannedServer, WITHDRAWAL_DELAY, plan_round,
};
use cometmoor_core::gateway::registry::{ServerRecord, ServerState};
use cometmoor_core::gateway::server_calls::{
    ConnectedServers, MAX_CONCURRENT_CALLS, next_calls, pause_after_round,
};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::{BootInstant, Timestamp};
use spdlog::{info, warn};

use self::announcements::Announcements;
use self::engine::{
    Engine, Withdrawal, held_and_reserved_weights, recently_loaded, unloading_weights,
};
use self::planned_moves::{log_planned_order, reason_name};
use super::ControlContext;
use super::fleet::{FleetState, GetDemand, GetPeersReachingStore, SetPlacement};
use crate::clock;
use crate::load::{ModelKey, model_key};
use crate::membership::Placement;

/// Time after which an order that has not been answered is given up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Minimum time between two rounds, which may be requested before they are due.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time from a call to a server until a report is requested or an order is sent again.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time that most unloads take: the server completes its running requests first.
const UNLOAD_TIME: Duration = Duration::from_millis(150);
/// Time without a new server after which all servers count as known, in a fleet that had no leader
/// before.
const INITIAL_SETTLE_TIME: Duration = Duration::from_millis(1800);
/// The same in a fleet that has had a leader.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time as leader after which orders no longer wait until all servers count as known.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time after the first start of a fleet in which a store without a record of a leader has never
/// had one: the first leader is elected at once, unless the store fails.
const NEW_FLEET_TIME: Duration = Duration::from_secs(5);
/// Margin by which the handover delay, the time without orders between those of two nodes, exceeds
/// its required minimum, the lease.
const HANDOVER_MARGIN: Duration = Duration::from_millis(400);

#[derive(Default)]
struct LeaderState {
    acquired_at: Timestamp,
    /// By incarnation.
    engines: HashMap<Arc<str>, Engine>,
    /// Servers to which idle connections are kept, by incarnation.
    connected: ConnectedServers<Arc<str>>,
    withdrawals: Vec<Withdrawal>,
    announcements: Announcements,
    load_rates: HashMap<String, LoadRateLimiter>,
    /// Since when requests wait for weights, by model or adapter.
    awaited_since: HashMap<ModelKey, Timestamp>,
    first_round: Option<Timestamp>,
    last_new_server: Option<Timestamp>,
}

impl LeaderState {
    /// Whether the known servers are probably all servers. In a fleet that has had a leader, they
    /// registered long ago.
    fn is_settled(&self, predecessor: Predecessor, now: Timestamp) -> bool {
        let settle_time = match predecessor {
            Predecessor::Nobody => INITIAL_SETTLE_TIME,
            Predecessor::SameNode
            | Predecessor::OwnTerm
            | Predecessor::OtherNode
            | Predecessor::Unknown => SETTLE_TIME,
        };
        let is_stable =
            self.last_new_server.is_some_and(|registered| now.since(registered) >= settle_time);
        is_stable || self.first_round.is_some_and(|first| now.since(first) >= MAX_SETTLE_TIME)
    }

    /// Number of calls to servers that have not ended.
    fn calls_in_progress(&self) -> usize {
        self.engines.values().filter(|engine| engine.call_in_progress).count()
    }

    /// Records that a call to a server has ended, and closes idle connections that are too many.
    fn record_call_ended(&mut self, server: &Arc<str>) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.call_in_progress = false;
        }
        let closed = self.connected.record_call(server);
        if let Some(engine) = closed.and_then(|server| self.engines.get(&server)) {
            engine.client.close_idle();
        }
    }

    /// The placement to announce. Weights stay withdrawn for as long as their unload is open.
    fn placement(&mut self, leader: SocketAddrV4, token: u64, now: Timestamp) -> Placement {
        for (id, engine) in &self.engines {
            let unload = engine.ledger.open_order().filter(|open| open.action == Action::Unload);
            if let Some(order) = unload {
                self.announcements.record_withdrawn(id, &order.weights, now);
            }
        }
        self.announcements.placement(leader, token, now)
    }
}

/// Plans and sends orders to the servers while this node is the leader.
pub struct Leader {
    context: Rc<ControlContext>,
    fleet: Addr<FleetState>,
    started: BootInstant,
    leadership: RefCell<Leadership>,
    state: RefCell<LeaderState>,
    /// Whether this node was the leader in the last round.
    was_leader: Cell<bool>,
    predecessor: Cell<Predecessor>,
}

/// Starts the task that sends orders to the servers while this node is the leader.
pub fn start(
    context: &Rc<ControlContext>,
    fleet: &Addr<FleetState>,
    lease: Duration,
) -> Rc<Leader> {
    let timing = LeadershipTiming {
        lease,
        handover_delay: lease + HANDOVER_MARGIN,
        order_timeout: ORDER_TIMEOUT,
    };
    let leader = Rc::new(Leader {
        context: context.clone(),
        fleet: fleet.clone(),
        started: clock::now(),
        leadership: RefCell::new(Leadership::new(timing)),
        state: RefCell::default(),
        was_leader: Cell::new(false),
        predecessor: Cell::new(Predecessor::OtherNode),
    });
    actix_rt::spawn(leader.clone().run());
    leader
}

impl Leader {
    pub(super) fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(clock::elapsed(self.started).as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn context(&self) -> &ControlContext {
        &self.context
    }

    pub(super) fn leads(&self) -> bool {
        self.leadership.borrow().leads(self.now())
    }

    /// Identifies this machine among the nodes; successive processes on it share the identity.
    pub(super) fn identity(&self) -> String {
        let settings = &self.context.settings;
        format!("{} {}", settings.node, settings.peer_address)
    }

    /// Whether this node may currently send orders to servers.
    pub(super) fn may_send_orders(&self) -> bool {
        self.leadership.borrow().fencing_token(self.now()).is_some()
    }

    /// Addresses of the live peers that can reach the store, those that read it first; empty if
    /// they can't be determined.
    pub(super) async fn peers_reaching_store(&self) -> Vec<SocketAddrV4> {
        self.fleet.send(GetPeersReachingStore).await.unwrap_or_default()
    }

    /// Records that this node has acquired the lease, whose grant was requested at `lease_sent`.
    pub(super) fn record_acquired(
        &self,
        token: u64,
        lease_sent: Timestamp,
        predecessor: Predecessor,
    ) {
        let now = self.now();
        self.predecessor.set(predecessor);
        self.leadership.borrow_mut().acquire(token, lease_sent, now, predecessor);
        // Earlier state of orders and loads is valid only if no other node could send orders since.
        if predecessor != Predecessor::OwnTerm {
            *self.state.borrow_mut() = LeaderState { acquired_at: now, ..LeaderState::default() };
        }
        let follows = format!("{predecessor:?}");
        info!("[leader] this node is now the leader", kv: { token, follows });
    }

    /// Records that the lease was renewed by a call sent at `sent`.
    pub(super) fn record_renewed(&self, sent: Timestamp) {
        self.leadership.borrow_mut().renew(sent, self.now());
    }

    /// Ends the term because the lease has ended or this node is shutting down.
    pub(super) fn resign(&self) {
        self.leadership.borrow_mut().resign();
        self.withdraw_placement();
    }

    /// Ends the term because the store has lost the lease, which it granted in `era`.
    pub(super) fn record_store_loss(&self, era: StoreEra) {
        self.leadership.borrow_mut().note_store_loss(era);
        self.withdraw_placement();
    }

    /// What this node knows about leadership in addition to the keys that the store holds in `era`.
    pub(super) fn candidate_context(&self, era: StoreEra) -> CandidateContext {
        let is_new =
            self.context.settings.fresh_fleet && clock::elapsed(self.started) < NEW_FLEET_TIME;
        CandidateContext {
            fleet_began_in_era: is_new && self.context.store.eras().latest_restore().is_none(),
            own_term_runs: self.leadership.borrow().lost_term_runs(era, self.now()),
        }
    }

    /// Withdraws the announced placement and logs the change if this node was the leader until now.
    fn withdraw_placement(&self) {
        if self.was_leader.replace(false) {
            warn!("[leader] this node is no longer the leader");
            self.fleet.do_send(SetPlacement(None));
            self.context.metrics.placement.clear_pressure();
        }
    }

    async fn run(self: Rc<Leader>) {
        loop {
            let began = clock::now();
            self.round().await;
            let took = clock::elapsed(began);
            clock::sleep(pause_after_round(took, MIN_ROUND_INTERVAL)).await;
            let _ = clock::timeout(MAX_PLAN_INTERVAL, self.context.plan_wanted.notified()).await;
        }
    }

    async fn round(self: &Rc<Leader>) {
        if !self.leads() {
            return self.withdraw_placement();
        }
        self.was_leader.set(true);
        self.announce_placement();
        let fleet = self.context.board.fleet.load_full();
        let Some(configuration) = fleet.configuration.clone() else { return };
        self.update_servers(&configuration, &fleet.servers);
        let token = self.leadership.borrow().fencing_token(self.now());
        self.continue_orders(token);
        let Some(token) = token else { return };
        self.unload_withdrawn(token);
        for service in configuration.services.values() {
            if let Some(profile) = &service.engine {
                let limit = configuration.shortest_event_interval_limit(&service.name);
                self.plan_service(&service.name, profile, limit, token).await;
            }
        }
        self.announce_placement();
    }

    /// Announces to the nodes what the registry will contain later.
    fn announce_placement(&self) {
        let now = self.now();
        let token = self.leadership.borrow().fencing_token(now).unwrap_or_default();
        let leader = self.context.settings.peer_address;
        let placement = self.state.borrow_mut().placement(leader, token, now);
        self.fleet.do_send(SetPlacement(Some(placement)));
    }

    /// Updates the state of the servers from the registry.
    fn update_servers(&self, configuration: &GatewayConfiguration, servers: &[Arc<ServerRecord>]) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_engine = |record: &ServerRecord| {
            configuration
                .services
                .get(&record.service)
                .is_some_and(|service| service.engine.is_some())
        };
        let known: BTreeSet<Arc<str>> =
            servers.iter().map(|record| record.incarnation.clone()).collect();
        state.engines.retain(|id, _| known.contains(id));
        state.withdrawals.retain(|withdrawal| known.contains(&withdrawal.server));
        state.first_round.get_or_insert(now);
        for record in servers.iter().filter(|record| is_engine(record)) {
            if !state.engines.contains_key(&record.incarnation) {
                state.last_new_server = Some(now);
            }
            let engine = state
                .engines
                .entry(record.incarnation.clone())
                .or_insert_with(|| Engine::new(record.clone()));
            engine.update_record(record, now);
        }
    }

    /// Requests the reports that are due, and sends orders with an unknown outcome again.
    fn continue_orders(self: &Rc<Leader>, token: Option<u64>) {
        let now = self.now();
        let mut steps = Vec::new();
        let mut reports = Vec::new();
        for (id, engine) in &self.state.borrow().engines {
            if !engine.call_in_progress && !engine.is_replaced {
                steps.push((id.clone(), engine.ledger.next_step(now), engine.last_call));
            }
        }
        for (id, step, last_call) in steps {
            let is_due = last_call.is_none_or(|called_at| now.since(called_at) >= REPORT_INTERVAL);
            match step {
                NextStep::RequestReport if is_due => reports.push((last_call, id)),
                NextStep::Resend { order, expected_count } if is_due => {
                    if let Some(token) = token {
                        self.spawn_order(id, order, expected_count, token);
                    }
                }
                _ => {}
            }
        }
        let in_progress = self.state.borrow().calls_in_progress();
        let due = reports.len();
        let mut requested = 0;
        for id in next_calls(reports, in_progress) {
            self.spawn_report(id);
            requested += 1;
        }
        self.context.metrics.placement.deferred_calls.inc_by((due - requested) as u64);
    }

    /// Orders the unloads that were announced long enough ago.
    fn unload_withdrawn(self: &Rc<Leader>, token: u64) {
        let now = self.now();
        let mut due = Vec::new();
        self.state.borrow_mut().withdrawals.retain(|withdrawal| {
            let is_due = now.since(withdrawal.announced_at) >= WITHDRAWAL_DELAY;
            if is_due {
                due.push((withdrawal.server.clone(), withdrawal.order.clone()));
            }
            !is_due
        });
        for (server, order) in due {
            if let Some(expected_count) = self.idle_count(&server) {
                self.start_order(server, order, expected_count, UNLOAD_TIME, token);
            }
        }
    }

    /// The count that a server expects of its next order; `None` if it can't take one.
    fn idle_count(&self, server: &str) -> Option<u64> {
        let state = self.state.borrow();
        let engine = state.engines.get(server)?;
        match engine.ledger.next_step(self.now()) {
            NextStep::Idle { expected_count }
                if !engine.call_in_progress && !engine.is_replaced =>
            {
                Some(expected_count)
            }
            _ => None,
        }
    }

    async fn plan_service(
        self: &Rc<Leader>,
        service: &str,
        profile: &EngineProfile,
        event_interval_limit: Option<Duration>,
        token: u64,
    ) {
        let Some(demand) = self.demand(profile, event_interval_limit).await else { return };
        let servers = self.planned_servers(service);
        let is_settled = self.state.borrow().is_settled(self.predecessor.get(), self.now());
        if servers.is_empty() || !is_settled {
            return;
        }
        let loads_left = self.loads_left(service, profile);
        let moves_models = self.context.settings.mechanisms.model_moves;
        let balanced_is_enabled = self.context.settings.mechanisms.balanced_placement;
        let strategy = PlacementStrategy::for_profile(profile, balanced_is_enabled);
        let planned_round = plan_round(profile, &servers, &demand, loads_left, strategy);
        let metrics = &self.context.metrics.placement;
        metrics.set_highest_pressure(service, planned_round.highest_pressure);
        let in_progress = self.state.borrow().calls_in_progress();
        let mut calls_left = MAX_CONCURRENT_CALLS.saturating_sub(in_progress);
        for planned in planned_round.orders {
            if !moves_models && planned.order.weights.adapter.is_none() {
                continue;
            }
            let unloads_model =
                planned.order.action == Action::Unload && planned.order.weights.adapter.is_none();
            // Orders beyond the limit are planned again in the next round.
            if !unloads_model && calls_left == 0 {
                metrics.deferred_calls.inc();
                continue;
            }
            log_planned_order(&planned, loads_left, strategy);
            if planned.loads_model() {
                metrics.record_move(reason_name(&planned, strategy));
            }
            let now = self.now();
            if unloads_model {
                self.withdraw(planned);
                continue;
            }
            let Some(expected_count) = self.idle_count(&planned.server) else { continue };
            if planned.order.loads_adapter() && !self.try_add_adapter_load(&planned) {
                continue;
            }
            if planned.from_store
                && let Some(rate) = self.state.borrow_mut().load_rates.get_mut(service)
            {
                rate.record(now);
            }
            if planned.order.weights.adapter.is_none()
                && let Some(engine) = self.state.borrow_mut().engines.get_mut(&planned.server)
            {
                engine.pending_load = None;
            }
            if let Some(engine) = self.state.borrow_mut().engines.get_mut(&planned.server) {
                engine.adapters.reason = planned.adapter_reason;
            }
            calls_left -= 1;
            self.start_order(
                planned.server,
                planned.order,
                expected_count,
                planned.expected_duration,
                token,
            );
        }
    }

    /// Counts one more adapter load on a server if it may start. Returns whether it may.
    fn try_add_adapter_load(&self, planned: &PlannedOrder) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let engine = state.engines.get_mut(&planned.server);
        engine.is_some_and(|engine| engine.adapters.try_add_load(planned.adapter_reason, now))
    }

    /// Announces to all nodes that weights are withdrawn; they are unloaded after a delay.
    fn withdraw(&self, planned: PlannedOrder) {
        let now = self.now();
        let PlannedOrder { server, order, makes_room_for, .. } = planned;
        let mut state = self.state.borrow_mut();
        state.announcements.record_withdrawn(&server, &order.weights, now);
        if let Some(engine) = state.engines.get_mut(&server)
            && makes_room_for.is_some()
        {
            engine.pending_load = makes_room_for;
        }
        state.withdrawals.push(Withdrawal { server, order, announced_at: now });
    }

    /// Number of loads from the weight store that the service's rate limit currently allows.
    fn loads_left(&self, service: &str, profile: &EngineProfile) -> usize {
        let now = self.now();
        let window = Duration::from_secs_f64(self.context.settings.bounds.load_window_seconds);
        let mut state = self.state.borrow_mut();
        // Loads of earlier terms were ordered before this term started.
        let acquired_at = state.acquired_at;
        let is_first_term = self.predecessor.get() == Predecessor::Nobody;
        let rate = state.load_rates.entry(service.to_owned()).or_insert_with(|| {
            LoadRateLimiter::new(profile.loads_per_second, window, acquired_at, is_first_term)
        });
        rate.available(now)
    }

    async fn demand(
        &self,
        profile: &EngineProfile,
        event_interval_limit: Option<Duration>,
    ) -> Option<FleetDemand> {
        let view = self.fleet.send(GetDemand).await.ok()?;
        let now = view.now;
        let has_enough_history =
            view.first_request.is_some_and(|first| now.since(first) >= MIN_DEMAND_HISTORY);
        let mut demand =
            FleetDemand { has_enough_history, event_interval_limit, ..FleetDemand::default() };
        for model in &profile.models {
            let key = model_key(&model.name, None);
            let base = key;
            let model_demand = ModelDemand::new(
                view.rates.prefill(key, now),
                view.rates.occupied_slots(key, now) / f64::from(profile.batch_slots.max(1)),
                view.rates.requests_per_second(key, now),
            );
            demand.models.insert(model.name.clone(), model_demand);
            for number in 1..=model.adapters {
                let adapter = format!("a{number}");
                let key = model_key(&model.name, Some(&adapter));
                let weights = Weights { model: model.name.clone(), adapter: Some(adapter) };
                if view.awaited_models.contains(&key) {
                    demand.awaited_adapters.insert(weights.clone());
                }
                let left = view.rates.run_time_left(key, base, now);
                if !left.is_zero() {
                    demand.adapter_run_time_left.insert(weights.clone(), left);
                }
                demand.adapters.insert(weights, view.rates.requests_per_second(key, now));
            }
        }
        self.record_waits(view.longest_waits);
        Some(demand)
    }

    fn planned_servers(&self, service: &str) -> Vec<PlannedServer> {
        let now = self.now();
        let state = self.state.borrow();
        let is_withdrawing =
            |id: &Arc<str>| state.withdrawals.iter().any(|withdrawal| withdrawal.server == *id);
        let mut servers: Vec<PlannedServer> = state
            .engines
            .values()
            .filter(|engine| engine.record.service == service && !engine.is_replaced)
            .filter(|engine| engine.record.state == ServerState::Ready)
            .map(|engine| {
                let id = &engine.record.incarnation;
                let is_idle = matches!(engine.ledger.next_step(now), NextStep::Idle { .. });
                let (held, reserved) = held_and_reserved_weights(engine);
                PlannedServer {
                    id: id.clone(),
                    is_idle: is_idle && !engine.call_in_progress && !is_withdrawing(id),
                    held,
                    reserved,
                    in_host_memory: engine.in_host_memory.clone(),
                    on_disk: engine.on_disk.clone(),
                    recently_loaded: recently_loaded(engine, now),
                    unloading: unloading_weights(engine, &state.withdrawals),
                    load_time_left: engine.ledger.time_left(now),
                    // While the server takes an order for an adapter, the model for which memory was
                    // freed is not being loaded.
                    pending_load: match engine.awaits_adapter_answer() {
                        true => None,
                        false => engine.pending_load.clone(),
                    },
                    speed: self.context.speeds.speed(IncarnationHash::of(id)),
                    recently_loaded_adapters: engine.adapters.recently_loaded(now),
                    pending_adapter_loads: engine.adapters.pending_loads(now),
                    awaits_adapter_answer: engine.awaits_adapter_answer(),
                }
            })
            .collect();
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        servers
    }
}
