//! Orders the servers while this node leads.

mod announcements;
mod calls;
mod engine;

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
    FleetDemand, MAX_PLAN_INTERVAL, MIN_DEMAND_HISTORY, ModelDemand, PlannedOrder, PlannedServer,
    WITHDRAWAL_DELAY, plan,
};
use cometmoor_core::gateway::registry::{ServerRecord, ServerState};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::{BootInstant, Timestamp};
use spdlog::{info, warn};

use self::announcements::Announcements;
use self::engine::{Engine, Withdrawal, believed_weights, fresh_models, leaving_weights};
use super::ControlContext;
use super::fleet::{FleetState, GetDemand, GetPeersReachingStore, SetPlacement};
use crate::clock;
use crate::load::model_key;
use crate::membership::Placement;

/// Time that an order may be on its way.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest pause, where rounds are asked for before they are due.
const SHORTEST_ROUND: Duration = Duration::from_millis(10);
/// Pause between two questions to one server.
const REPORT_PAUSE: Duration = Duration::from_millis(150);
/// Time that most unloads take: the server ends what it runs first.
const UNLOAD_TAKES: Duration = Duration::from_millis(150);
/// Time without a new server after which the fleet counts as known.
const SETTLED_AFTER: Duration = Duration::from_millis(1800);
/// The same in a fleet that was led before.
const SETTLED_AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Time of leading after which orders do not wait for the fleet to be known.
const SETTLE_AT_MOST: Duration = Duration::from_secs(6);
/// Time after a fleet's first start for which a store that knows of no leader had none: the
/// first one comes at once, unless the store fails.
const FLEET_IS_FRESH_FOR: Duration = Duration::from_secs(5);
/// More quiet than the bound asks for, between the orders of two nodes.
const QUIET_SLACK: Duration = Duration::from_millis(400);

#[derive(Default)]
struct LeaderState {
    acquired: Timestamp,
    /// By incarnation.
    engines: HashMap<Arc<str>, Engine>,
    withdrawals: Vec<Withdrawal>,
    announcements: Announcements,
    load_rates: HashMap<String, LoadRateLimiter>,
    first_round: Option<Timestamp>,
    last_new_server: Option<Timestamp>,
}

impl LeaderState {
    /// Whether the servers that are known are likely to be all there are. In a
    /// fleet that was led before, they have registered long ago.
    fn is_settled(&self, predecessor: Predecessor, now: Timestamp) -> bool {
        let rest = match predecessor {
            Predecessor::Nobody => SETTLED_AFTER,
            Predecessor::SameNode
            | Predecessor::OwnTerm
            | Predecessor::OtherNode
            | Predecessor::Unknown => SETTLED_AGAIN_AFTER,
        };
        let quiet = self.last_new_server.is_some_and(|new| now.since(new) >= rest);
        quiet || self.first_round.is_some_and(|first| now.since(first) >= SETTLE_AT_MOST)
    }

    /// What nodes are to know; weights go for as long as their unload is open.
    fn placement(&mut self, leader: SocketAddrV4, token: u64, now: Timestamp) -> Placement {
        for (id, engine) in &self.engines {
            let unload = engine.ledger.open_order().filter(|open| open.action == Action::Unload);
            if let Some(order) = unload {
                self.announcements.goes(id, &order.weights, now);
            }
        }
        self.announcements.placement(leader, token, now)
    }
}

/// Orders the servers while this node leads.
pub struct Leader {
    context: Rc<ControlContext>,
    fleet: Addr<FleetState>,
    started: BootInstant,
    leadership: RefCell<Leadership>,
    state: RefCell<LeaderState>,
    led: Cell<bool>,
    predecessor: Cell<Predecessor>,
}

/// Starts the task that orders while this node leads.
pub fn start(
    context: &Rc<ControlContext>,
    fleet: &Addr<FleetState>,
    lease: Duration,
) -> Rc<Leader> {
    let times = LeadershipTiming {
        lease,
        handover_delay: lease + QUIET_SLACK,
        order_timeout: ORDER_TIMEOUT,
    };
    let leader = Rc::new(Leader {
        context: context.clone(),
        fleet: fleet.clone(),
        started: clock::now(),
        leadership: RefCell::new(Leadership::new(times)),
        state: RefCell::default(),
        led: Cell::new(false),
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

    /// What tells this machine apart from all others; its processes share it.
    pub(super) fn identity(&self) -> String {
        let settings = &self.context.settings;
        format!("{} {}", settings.node, settings.peer_address)
    }

    /// Whether this node may order servers now.
    pub(super) fn may_order(&self) -> bool {
        self.leadership.borrow().fencing_token(self.now()).is_some()
    }

    /// Nodes that were heard lately.
    pub(super) async fn peers(&self) -> Vec<SocketAddrV4> {
        self.fleet.send(GetPeersReachingStore).await.unwrap_or_default()
    }

    /// Notes that this node got the lease.
    pub(super) fn acquired(&self, token: u64, lease_sent: Timestamp, predecessor: Predecessor) {
        let now = self.now();
        self.predecessor.set(predecessor);
        self.leadership.borrow_mut().acquire(token, lease_sent, now, predecessor);
        // What this process knows of orders and loads holds while nobody else could order.
        if predecessor != Predecessor::OwnTerm {
            *self.state.borrow_mut() = LeaderState { acquired: now, ..LeaderState::default() };
        }
        let follows = format!("{predecessor:?}");
        info!("[leader] this node leads", kv: { token, follows });
    }

    /// Notes that the lease was renewed by a call sent at `sent`.
    pub(super) fn renewed(&self, sent: Timestamp) {
        self.leadership.borrow_mut().renew(sent, self.now());
    }

    /// Notes that the lease is over.
    pub(super) fn lost(&self) {
        self.leadership.borrow_mut().resign();
        self.note_end();
    }

    /// Notes that the store has lost the lease, which it granted in this era.
    pub(super) fn lost_by_store(&self, era: StoreEra) {
        self.leadership.borrow_mut().note_store_loss(era);
        self.note_end();
    }

    /// What this node knows of leadership beside what the store tells in this era.
    pub(super) fn candidate_context(&self, era: StoreEra) -> CandidateContext {
        let is_fresh =
            self.context.settings.fresh_fleet && clock::elapsed(self.started) < FLEET_IS_FRESH_FOR;
        CandidateContext {
            fleet_began_in_era: is_fresh && self.context.store.eras().latest_restore().is_none(),
            own_term_runs: self.leadership.borrow().lost_term_runs(era, self.now()),
        }
    }

    fn note_end(&self) {
        if self.led.replace(false) {
            warn!("[leader] this node does not lead any more");
            self.fleet.do_send(SetPlacement(None));
        }
    }

    async fn run(self: Rc<Leader>) {
        loop {
            self.round().await;
            clock::sleep(SHORTEST_ROUND).await;
            let _ = clock::timeout(MAX_PLAN_INTERVAL, self.context.plan_wanted.notified()).await;
        }
    }

    async fn round(self: &Rc<Leader>) {
        if !self.leads() {
            return self.note_end();
        }
        self.led.set(true);
        self.tell_placement();
        let fleet = self.context.board.fleet.load_full();
        let Some(configuration) = fleet.configuration.clone() else { return };
        self.take_servers(&configuration, &fleet.servers);
        let token = self.leadership.borrow().fencing_token(self.now());
        self.continue_orders(token);
        let Some(token) = token else { return };
        self.finish_withdrawals(token);
        for service in configuration.services.values() {
            if let Some(profile) = &service.engine {
                self.plan_service(&service.name, profile, token).await;
            }
        }
        self.tell_placement();
    }

    /// Tells the nodes what the registry will tell later.
    fn tell_placement(&self) {
        let now = self.now();
        let token = self.leadership.borrow().fencing_token(now).unwrap_or_default();
        let leader = self.context.settings.peer_address;
        let placement = self.state.borrow_mut().placement(leader, token, now);
        self.fleet.do_send(SetPlacement(Some(placement)));
    }

    fn take_servers(&self, configuration: &GatewayConfiguration, servers: &[Arc<ServerRecord>]) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_engine = |record: &ServerRecord| {
            configuration.services.get(&record.service).is_some_and(|known| known.engine.is_some())
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
            engine.take_record(record, now);
        }
    }

    /// Asks servers that have to be asked, and repeats orders in doubt.
    fn continue_orders(self: &Rc<Leader>, token: Option<u64>) {
        let now = self.now();
        let mut steps = Vec::new();
        for (id, engine) in &self.state.borrow().engines {
            if !engine.calling && !engine.replaced {
                steps.push((id.clone(), engine.ledger.next_step(now), engine.asked));
            }
        }
        for (id, step, asked) in steps {
            let rested = asked.is_none_or(|asked| now.since(asked) >= REPORT_PAUSE);
            match step {
                NextStep::RequestReport if rested => self.spawn_report(id),
                NextStep::Resend { order, expected_count } if rested => {
                    if let Some(token) = token {
                        self.repeat_order(id, order, expected_count, token);
                    }
                }
                _ => {}
            }
        }
    }

    fn finish_withdrawals(self: &Rc<Leader>, token: u64) {
        let now = self.now();
        let mut due = Vec::new();
        self.state.borrow_mut().withdrawals.retain(|withdrawal| {
            let over = now.since(withdrawal.since) >= WITHDRAWAL_DELAY;
            if over {
                due.push((withdrawal.server.clone(), withdrawal.order.clone()));
            }
            !over
        });
        for (server, order) in due {
            if let Some(expected_count) = self.idle_count(&server) {
                self.first_order(server, order, expected_count, UNLOAD_TAKES, token);
            }
        }
    }

    fn idle_count(&self, server: &str) -> Option<u64> {
        let state = self.state.borrow();
        let engine = state.engines.get(server)?;
        match engine.ledger.next_step(self.now()) {
            NextStep::Idle { expected_count } if !engine.calling && !engine.replaced => {
                Some(expected_count)
            }
            _ => None,
        }
    }

    async fn plan_service(self: &Rc<Leader>, service: &str, profile: &EngineProfile, token: u64) {
        let Some(demand) = self.demand(profile).await else { return };
        let servers = self.planned_servers(service);
        let settled = self.state.borrow().is_settled(self.predecessor.get(), self.now());
        if servers.is_empty() || !settled {
            return;
        }
        let loads_left = self.loads_left(service, profile);
        let moves_models = self.context.settings.mechanisms.model_moves;
        for planned in plan(profile, &servers, &demand, loads_left) {
            if !moves_models && planned.order.weights.adapter.is_none() {
                continue;
            }
            log_planned(&planned, loads_left);
            let now = self.now();
            let unloads_model =
                planned.order.action == Action::Unload && planned.order.weights.adapter.is_none();
            if unloads_model {
                self.withdraw(planned);
                continue;
            }
            let Some(expected_count) = self.idle_count(&planned.server) else { continue };
            if planned.order.loads_adapter() && !self.may_load_adapter(&planned.server) {
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
                engine.promised = None;
            }
            self.first_order(
                planned.server,
                planned.order,
                expected_count,
                planned.expected_duration,
                token,
            );
        }
    }

    /// Whether one more adapter may be on its way to a server; notes it then.
    fn may_load_adapter(&self, server: &str) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.engines.get_mut(server).is_some_and(|engine| engine.take_adapter_place(now))
    }

    /// Tells all nodes that weights go, and unloads them a little later.
    fn withdraw(&self, planned: PlannedOrder) {
        let now = self.now();
        let PlannedOrder { server, order, makes_room_for, .. } = planned;
        let mut state = self.state.borrow_mut();
        state.announcements.goes(&server, &order.weights, now);
        if let Some(engine) = state.engines.get_mut(&server)
            && makes_room_for.is_some()
        {
            engine.promised = makes_room_for;
        }
        state.withdrawals.push(Withdrawal { server, order, since: now });
    }

    fn loads_left(&self, service: &str, profile: &EngineProfile) -> usize {
        let now = self.now();
        let window = Duration::from_secs_f64(self.context.settings.bounds.load_window_seconds);
        let mut state = self.state.borrow_mut();
        // What was ordered in earlier terms was ordered before this one began.
        let acquired = state.acquired;
        let first = self.predecessor.get() == Predecessor::Nobody;
        let rate = state.load_rates.entry(service.to_owned()).or_insert_with(|| {
            LoadRateLimiter::new(profile.loads_per_second, window, acquired, first)
        });
        rate.available(now)
    }

    async fn demand(&self, profile: &EngineProfile) -> Option<FleetDemand> {
        let view = self.fleet.send(GetDemand).await.ok()?;
        let now = view.now;
        let watched =
            view.first_request.is_some_and(|first| now.since(first) >= MIN_DEMAND_HISTORY);
        let mut demand = FleetDemand { has_enough_history: watched, ..FleetDemand::default() };
        for model in &profile.models {
            let key = model_key(&model.name, None);
            let asked = ModelDemand::new(
                view.rates.prefill(key, now),
                view.rates.occupied_slots(key, now) / f64::from(profile.batch_slots.max(1)),
                view.rates.requests_per_second(key, now),
            );
            demand.models.insert(model.name.clone(), asked);
            for number in 1..=model.adapters {
                let adapter = format!("a{number}");
                let key = model_key(&model.name, Some(&adapter));
                let weights = Weights { model: model.name.clone(), adapter: Some(adapter) };
                if view.awaited_models.contains(&key) {
                    demand.awaited_adapters.insert(weights.clone());
                }
                demand.adapters.insert(weights, view.rates.requests_per_second(key, now));
            }
        }
        Some(demand)
    }

    fn planned_servers(&self, service: &str) -> Vec<PlannedServer> {
        let now = self.now();
        let state = self.state.borrow();
        let withdrawing =
            |id: &Arc<str>| state.withdrawals.iter().any(|withdrawal| withdrawal.server == *id);
        let mut servers: Vec<PlannedServer> = state
            .engines
            .values()
            .filter(|engine| engine.record.service == service && !engine.replaced)
            .filter(|engine| engine.record.state == ServerState::Ready)
            .map(|engine| {
                let id = &engine.record.incarnation;
                let idle = matches!(engine.ledger.next_step(now), NextStep::Idle { .. });
                let (held, reserved) = believed_weights(engine);
                PlannedServer {
                    id: id.clone(),
                    is_idle: idle && !engine.calling && !withdrawing(id),
                    held,
                    reserved,
                    in_host_memory: engine.in_host_memory.clone(),
                    on_disk: engine.on_disk.clone(),
                    recently_loaded: fresh_models(engine, now),
                    unloading: leaving_weights(engine, &state.withdrawals),
                    load_time_left: engine.ledger.time_left(now),
                    pending_load: engine.promised.clone(),
                }
            })
            .collect();
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        servers
    }
}

/// One line for each move of a model that a plan holds, with what decided it.
/// Adapters come in dozens a plan and are told by their answers alone.
fn log_planned(planned: &PlannedOrder, loads_left: usize) {
    if planned.order.weights.adapter.is_some() {
        return;
    }
    let server = &*planned.server;
    let action = format!("{:?}", planned.order.action);
    let model = &*planned.order.weights.model;
    let makes_room_for = planned.makes_room_for.as_deref().unwrap_or("-");
    let takes_millis = planned.expected_duration.as_millis() as u64;
    let from_store = planned.from_store;
    info!("[leader] a move is planned", kv: { server, action, model, makes_room_for, from_store, takes_millis, loads_left });
}
