//! Dispatch, queueing and load shedding of requests at one node.
//!
//! Each engine has a fixed number of slots at this node. A request takes a slot
//! on an engine that can answer it, or waits in its model's queue. The queues
//! are ordered by start-time fair queueing over the groups: a group that has
//! used more than its entitlement is placed further back, an idle group accrues
//! no credit, and capacity that one group leaves unused goes to the others.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cometmoor_protocol::engine::Artifact;
use rand_core::RngCore;

use crate::catalog::Resolved;
use crate::retry::CircuitBreaker;
use crate::routing::{CandidateLoad, EngineRoute, RouteTable, Selector};
use crate::time::Timestamp;

/// Bounds on the queues and on the age of engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionLimits {
    /// Maximum number of requests that wait for one model.
    pub waiting_per_model: usize,
    /// Maximum number of requests from one group that wait for one model.
    pub waiting_per_group: usize,
    /// Maximum age of an engine's report at which the engine still gets new
    /// requests. After a pause of this node, its reports no longer tell what
    /// the engines hold.
    pub max_report_age: Duration,
}

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Artifact that must answer.
    pub resolved: Resolved,
    /// Group of the caller.
    pub group: String,
    /// Entitlement of the group, at least 1.
    pub entitlement: u32,
    /// Expected work, in tokens.
    pub cost: u64,
    /// When the request is shed if it is still waiting.
    pub deadline: Timestamp,
    /// Engines that have refused this request already.
    pub excluded: BTreeSet<String>,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A slot on an engine, to be returned with [`Admission::release`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The engine.
    pub engine: Arc<EngineRoute>,
    /// The artifact to request from it.
    pub artifact: Artifact,
}

/// Why a request was shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// The queue of the model, or the group's share of it, is full.
    QueueFull,
    /// It cannot be, or was not, dispatched before its deadline.
    DeadlineTooClose,
    /// Every engine that could answer it has refused it.
    NoEngine,
}

/// Reason why a request was shed, and when the caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shed {
    /// Reason for shedding the request.
    pub reason: ShedReason,
    /// Estimated time until a retry can be dispatched, 0.2 to 10 seconds.
    pub retry_after: Duration,
}

/// Result of submitting a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It has a slot.
    Dispatched(Slot),
    /// It is queued; a later [`Decision`] names its ticket.
    Waiting(Ticket),
    /// It is shed.
    Shed(Shed),
}

/// Outcome for a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It has a slot.
    Dispatched(Ticket, Slot),
    /// It is shed.
    Shed(Ticket, Shed),
}

/// Shortest and longest retry delay that is returned to a shed caller.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(10));
/// Weight of the newest interval in the exponential moving average of the time
/// between a model's dispatches.
const INTERVAL_WEIGHT: f64 = 0.2;

#[derive(Debug, Default)]
struct EngineUsage {
    in_flight: u32,
    in_flight_at_report: u32,
    reported_at: Option<Timestamp>,
    /// Whether the engine has refused a request because it is leaving, after
    /// its newest report.
    refused_as_leaving: bool,
    breaker: CircuitBreaker,
}

#[derive(Debug)]
struct Waiting {
    request: AdmissionRequest,
    start_tag: u64,
}

#[derive(Debug, Default)]
struct ModelQueue {
    /// Tickets in dispatch order, by start tag.
    order: BTreeSet<(u64, Ticket)>,
    last_dispatch: Option<Timestamp>,
    mean_interval_millis: Option<f64>,
}

impl ModelQueue {
    fn record_dispatch(&mut self, now: Timestamp) {
        if let Some(last) = self.last_dispatch {
            let interval = now.since(last).as_secs_f64() * 1_000.0;
            let mean = self.mean_interval_millis.unwrap_or(interval);
            self.mean_interval_millis = Some(mean + INTERVAL_WEIGHT * (interval - mean));
        }
        self.last_dispatch = Some(now);
    }

    fn expected_wait(&self) -> Option<Duration> {
        let mean = self.mean_interval_millis?;
        let ahead = self.order.len();
        Some(Duration::from_secs_f64(mean * (ahead as f64) / 1_000.0))
    }

    fn retry_after(&self) -> Duration {
        let (shortest, longest) = RETRY_AFTER_RANGE;
        self.expected_wait().unwrap_or(shortest).clamp(shortest, longest)
    }
}

/// Slots, queues and fair-queueing state of one node.
pub struct Admission<S> {
    limits: AdmissionLimits,
    zone: String,
    selector: S,
    routes: Arc<RouteTable>,
    engines: HashMap<String, EngineUsage>,
    queues: BTreeMap<String, ModelQueue>,
    waiting: HashMap<Ticket, Waiting>,
    group_finish: HashMap<String, u64>,
    virtual_time: u64,
    next_ticket: u64,
}

/// Resolution of the fair-queueing tags: a cost in tokens is multiplied by this
/// factor before the integer division by the entitlement.
const TAG_SCALE: u64 = 1024;

impl<S: Selector> Admission<S> {
    /// Creates the state of a node in `zone`, without routes.
    pub fn new(limits: AdmissionLimits, zone: &str, selector: S) -> Self {
        Admission {
            limits,
            zone: zone.to_owned(),
            selector,
            routes: Arc::new(RouteTable::default()),
            engines: HashMap::new(),
            queues: BTreeMap::new(),
            waiting: HashMap::new(),
            group_finish: HashMap::new(),
            virtual_time: 0,
            next_ticket: 0,
        }
    }

    /// Number of requests that wait in the queues.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that this node has running on an engine.
    pub fn in_flight(&self, engine: &str) -> u32 {
        self.engines.get(engine).map_or(0, |usage| usage.in_flight)
    }

    /// Replaces the routes and dispatches the waiting requests that now get a
    /// slot.
    pub fn update_routes(
        &mut self,
        routes: Arc<RouteTable>,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Vec<Decision> {
        for engine in routes.engines() {
            let usage = self.engines.entry(engine.name.clone()).or_default();
            if usage.reported_at != Some(engine.reported_at) {
                usage.reported_at = Some(engine.reported_at);
                usage.in_flight_at_report = usage.in_flight;
                usage.refused_as_leaving = false;
            }
        }
        self.engines.retain(|name, usage| usage.in_flight > 0 || routes.engine(name).is_some());
        self.routes = routes;
        let models: Vec<String> = self.queues.keys().cloned().collect();
        self.dispatch_waiting(models, now, random)
    }

    /// Dispatches, queues or sheds a request. The second value holds the
    /// outcomes of waiting requests that it displaced.
    pub fn submit(
        &mut self,
        request: AdmissionRequest,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> (Arrival, Vec<Decision>) {
        let model = request.resolved.artifact.model.clone();
        let queue_empty = self.queues.get(&model).is_none_or(|queue| queue.order.is_empty());
        if queue_empty && let Some(slot) = self.acquire_slot(&request, now, random) {
            self.charge(&request);
            self.queues.entry(model).or_default().record_dispatch(now);
            return (Arrival::Dispatched(slot), Vec::new());
        }
        if let Some(reason) = self.shed_reason(&request, now) {
            return (Arrival::Shed(self.shed(&model, reason)), Vec::new());
        }
        self.enqueue(request)
    }

    fn shed_reason(&self, request: &AdmissionRequest, now: Timestamp) -> Option<ShedReason> {
        let (_, candidates) = self.routes.candidates(&request.resolved);
        let all_refused = candidates.iter().all(|engine| request.excluded.contains(&engine.name));
        if !candidates.is_empty() && all_refused {
            return Some(ShedReason::NoEngine);
        }
        let model = &request.resolved.artifact.model;
        let wait = self.queues.get(model).and_then(ModelQueue::expected_wait).unwrap_or_default();
        (now + wait >= request.deadline).then_some(ShedReason::DeadlineTooClose)
    }

    /// Appends a request to its model's queue. If the queue is full, the request
    /// with the largest start tag, which may be the new one, is shed; its group is
    /// the one furthest above its entitlement.
    fn enqueue(&mut self, request: AdmissionRequest) -> (Arrival, Vec<Decision>) {
        let model = request.resolved.artifact.model.clone();
        if self.waiting_of_group(&model, &request.group) >= self.limits.waiting_per_group {
            return (Arrival::Shed(self.shed(&model, ShedReason::QueueFull)), Vec::new());
        }
        let start_tag = self.start_tag(&request.group);
        let mut displaced = Vec::new();
        let queue = self.queues.entry(model.clone()).or_default();
        if queue.order.len() >= self.limits.waiting_per_model {
            let last = queue.order.last().copied();
            match last {
                Some((last_tag, ticket)) if last_tag > start_tag => {
                    self.remove(ticket);
                    let shed = self.shed(&model, ShedReason::QueueFull);
                    displaced.push(Decision::Shed(ticket, shed));
                }
                _ => {
                    return (Arrival::Shed(self.shed(&model, ShedReason::QueueFull)), displaced);
                }
            }
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.charge(&request);
        self.queues.entry(model).or_default().order.insert((start_tag, ticket));
        self.waiting.insert(ticket, Waiting { request, start_tag });
        (Arrival::Waiting(ticket), displaced)
    }

    /// Returns a slot and dispatches waiting requests of the models that the
    /// engine holds.
    pub fn release(
        &mut self,
        slot: &Slot,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Vec<Decision> {
        if let Some(usage) = self.engines.get_mut(&slot.engine.name) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
        let ready = slot.engine.ready.iter();
        let models: BTreeSet<String> = ready.map(|artifact| artifact.model.clone()).collect();
        self.dispatch_waiting(models, now, random)
    }

    /// Removes a request from its queue because its caller disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Sheds every waiting request whose deadline has passed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut expired: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.request.deadline <= now)
            .map(|(ticket, _)| *ticket)
            .collect();
        expired.sort();
        let mut decisions = Vec::new();
        for ticket in expired {
            if let Some(waiting) = self.remove(ticket) {
                let model = waiting.request.resolved.artifact.model;
                let shed = self.shed(&model, ShedReason::DeadlineTooClose);
                decisions.push(Decision::Shed(ticket, shed));
            }
        }
        decisions
    }

    /// Circuit breaker of an engine, for recording the result of an attempt.
    pub fn breaker(&mut self, engine: &str) -> &mut CircuitBreaker {
        &mut self.engines.entry(engine.to_owned()).or_default().breaker
    }

    /// Records that an engine refused a request because it is leaving. It gets
    /// no new requests until its next report.
    pub fn mark_leaving(&mut self, engine: &str) {
        self.engines.entry(engine.to_owned()).or_default().refused_as_leaving = true;
    }

    fn acquire_slot(
        &mut self,
        request: &AdmissionRequest,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Option<Slot> {
        let (artifact, candidates) = self.routes.candidates(&request.resolved);
        let available: Vec<&Arc<EngineRoute>> = candidates
            .into_iter()
            .filter(|engine| !request.excluded.contains(&engine.name))
            .filter(|engine| self.has_free_slot(engine, now))
            .collect();
        let loads: Vec<CandidateLoad> =
            available.iter().map(|engine| self.load(engine, now)).collect();
        let chosen = self.selector.select(&loads, random)?;
        let engine = available[chosen].clone();
        let usage = self.engines.entry(engine.name.clone()).or_default();
        usage.in_flight += 1;
        usage.breaker.record_attempt();
        Some(Slot { engine, artifact })
    }

    fn has_free_slot(&self, engine: &EngineRoute, now: Timestamp) -> bool {
        if now.since(engine.reported_at) > self.limits.max_report_age {
            return false;
        }
        let usage = self.engines.get(&engine.name);
        usage.is_none_or(|usage| {
            !usage.refused_as_leaving
                && usage.in_flight < engine.node_limit
                && usage.breaker.allows(now)
        })
    }

    fn load(&self, engine: &EngineRoute, now: Timestamp) -> CandidateLoad {
        let usage = self.engines.get(&engine.name);
        let at_report = usage.map_or(0, |usage| usage.in_flight_at_report);
        CandidateLoad {
            own_in_flight: usage.map_or(0, |usage| usage.in_flight),
            others_reported: engine.reported_load.saturating_sub(at_report),
            report_age: now.since(engine.reported_at),
            concurrency: engine.concurrency,
            same_zone: engine.zone == self.zone,
        }
    }

    fn dispatch_waiting(
        &mut self,
        models: impl IntoIterator<Item = String>,
        now: Timestamp,
        random: &mut dyn RngCore,
    ) -> Vec<Decision> {
        let mut heads: BTreeSet<(u64, Ticket, String)> = BTreeSet::new();
        for model in models {
            heads.extend(self.head(&model));
        }
        let mut decisions = Vec::new();
        // The request with the smallest start tag goes first across models, too.
        while let Some((tag, ticket, model)) = heads.pop_first() {
            let Some(waiting) = self.waiting.get(&ticket) else {
                continue;
            };
            let request = waiting.request.clone();
            let Some(slot) = self.acquire_slot(&request, now, random) else {
                continue;
            };
            self.remove(ticket);
            self.virtual_time = self.virtual_time.max(tag);
            self.queues.entry(model.clone()).or_default().record_dispatch(now);
            decisions.push(Decision::Dispatched(ticket, slot));
            heads.extend(self.head(&model));
        }
        decisions
    }

    fn head(&self, model: &str) -> Option<(u64, Ticket, String)> {
        let (tag, ticket) = *self.queues.get(model)?.order.first()?;
        Some((tag, ticket, model.to_owned()))
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let model = &waiting.request.resolved.artifact.model;
        if let Some(queue) = self.queues.get_mut(model) {
            queue.order.remove(&(waiting.start_tag, ticket));
        }
        Some(waiting)
    }

    fn waiting_of_group(&self, model: &str, group: &str) -> usize {
        let Some(queue) = self.queues.get(model) else {
            return 0;
        };
        queue
            .order
            .iter()
            .filter(|(_, ticket)| {
                self.waiting.get(ticket).is_some_and(|waiting| waiting.request.group == group)
            })
            .count()
    }

    fn start_tag(&self, group: &str) -> u64 {
        self.group_finish.get(group).copied().unwrap_or(0).max(self.virtual_time)
    }

    fn charge(&mut self, request: &AdmissionRequest) {
        let start = self.start_tag(&request.group);
        let entitlement = u64::from(request.entitlement.max(1));
        let span = request.cost.saturating_mul(TAG_SCALE) / entitlement;
        self.group_finish.insert(request.group.clone(), start.saturating_add(span));
        if self.waiting.is_empty() {
            // No request is waiting, so none is overtaken: this use does not count
            // against the group later.
            self.virtual_time = self.virtual_time.max(start);
        }
    }

    fn shed(&self, model: &str, reason: ShedReason) -> Shed {
        let (shortest, _) = RETRY_AFTER_RANGE;
        let retry_after = self.queues.get(model).map_or(shortest, ModelQueue::retry_after);
        Shed { reason, retry_after }
    }
}
