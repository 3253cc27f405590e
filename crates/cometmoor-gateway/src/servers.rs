//! The servers as the traffic thread sees them: the registry's record, what
//! their answers told, and the connections to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::Fingerprint;
use cometmoor_core::gateway::registry::{ServerRecord, ServerState};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;

use tokio::sync::Notify;

use crate::clock;
use crate::dialect::ModelName;
use crate::http::client::CallClient;
use crate::load::{ModelKey, ServerKey, model_key, server_key};
use crate::pool::Pool;
use crate::published::{FleetSnapshot, PlacementView};
use crate::signals::SignalBoard;

/// First pause after a server could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// First and longest pause after a server has turned a request away. Without one it is
/// chosen again at once, since it looks idle: of 708 callers 88 were not served while two
/// other servers had room.
const FIRST_SHED_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_SHED_PAUSE: Duration = Duration::from_millis(1600);
/// Time in which a failure loses half of its weight.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest answer among the recent ones.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time for which a model counts as missing after the server said so: about as
/// long as its entry may lag behind.
const MISSING_FOR: Duration = Duration::from_millis(700);
/// The same at the most, where it says so again and again while its entry tells
/// otherwise: entries stand still while the store is down. Each such answer
/// refuses a request that may go to one server only.
const MISSING_FOR_AT_MOST: Duration = Duration::from_secs(12);

/// A model that a server said it does not hold.
#[derive(Clone, Copy, Debug)]
struct Missing {
    noted: BootInstant,
    pause: Duration,
}

impl Missing {
    fn first(now: BootInstant) -> Missing {
        Missing { noted: now, pause: MISSING_FOR }
    }

    /// Whether the model counts as missing. Where the leader tells that the
    /// server has just got it, only for as long as that may cross the denial.
    fn counts(self, now: BootInstant, was_added: bool) -> bool {
        let pause = if was_added { MISSING_FOR } else { self.pause };
        now < self.noted + pause
    }

    /// The server has said so once more, after the model was tried again.
    fn again(self, now: BootInstant) -> Missing {
        if self.counts(now, false) {
            return self;
        }
        let pause = (self.pause * 2).min(MISSING_FOR_AT_MOST);
        Missing { noted: now, pause }
    }
}

/// A request whose connection to a server ended before its answer did.
#[derive(Clone, Debug)]
pub struct InterruptedRequest {
    /// Its content.
    pub content: Fingerprint,
    /// Identifier of the attempt.
    pub request_id: String,
}

/// One incarnation of a server.
pub struct Server {
    record: RefCell<Arc<ServerRecord>>,
    hash: IncarnationHash,
    signals: SignalBoard,
    /// Connections to it.
    pub pool: Pool,
    /// Calls beside the requests.
    pub call_client: CallClient,
    gone: Cell<bool>,
    paused_until: Cell<Option<BootInstant>>,
    pauses: Cell<u32>,
    /// Requests in a row that it has turned away, one for each pause.
    sheds: Cell<u32>,
    failure_share: Cell<f64>,
    failure_noted: Cell<BootInstant>,
    missing: RefCell<HashMap<ModelKey, Missing>>,
    /// Requests that broke while it is not known whether the server has ended.
    broken: RefCell<Vec<InterruptedRequest>>,
    /// Whether a probe has been answered since the first of them.
    is_probed: Cell<bool>,
    probed: Notify,
}

impl Server {
    fn new(record: Arc<ServerRecord>, signals: SignalBoard) -> Server {
        let pool = Pool::new(record.address);
        let call_client = CallClient::new(record.address);
        Server {
            hash: IncarnationHash::of(&record.incarnation),
            record: RefCell::new(record),
            signals,
            pool,
            call_client,
            gone: Cell::new(false),
            paused_until: Cell::new(None),
            pauses: Cell::new(0),
            sheds: Cell::new(0),
            failure_share: Cell::new(0.0),
            failure_noted: Cell::new(clock::now()),
            missing: RefCell::new(HashMap::new()),
            broken: RefCell::new(Vec::new()),
            is_probed: Cell::new(true),
            probed: Notify::new(),
        }
    }

    /// Identifies the incarnation in messages between nodes.
    pub fn hash(&self) -> IncarnationHash {
        self.hash
    }

    /// What the registry tells.
    pub fn record(&self) -> Arc<ServerRecord> {
        self.record.borrow().clone()
    }

    /// Whether it may get new work, by the registry and by its own answers.
    pub fn accepts_requests(&self) -> bool {
        let is_ready = self.record.borrow().state == ServerState::Ready;
        !self.gone.get() && is_ready && !self.signals.is_leaving(self.hash)
    }

    /// Whether others are preferred: it could not be reached, or turned requests away.
    pub fn is_backing_off(&self, now: BootInstant) -> bool {
        self.paused_until.get().is_some_and(|until| now < until)
    }

    /// Share of recent answers that failed.
    pub fn failure_share(&self, now: BootInstant) -> f64 {
        let age = now.since(self.failure_noted.get());
        let halves = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share.get() * 0.5_f64.powf(halves)
    }

    fn note(&self, now: BootInstant, failed: f64) {
        let share = self.failure_share(now);
        self.failure_share.set(share + NEWEST_WEIGHT * (failed - share));
        self.failure_noted.set(now);
    }

    /// Notes a good answer.
    pub fn record_success(&self, now: BootInstant) {
        self.note(now, 0.0);
        self.paused_until.set(None);
        self.pauses.set(0);
        self.sheds.set(0);
    }

    /// Notes an answer that tells of a failure, or a broken one.
    pub fn record_failure(&self, now: BootInstant) {
        self.note(now, 1.0);
    }

    /// Notes that it turned a request away, and prefers others for a while.
    pub fn record_rejection(&self, now: BootInstant) {
        if self.is_backing_off(now) {
            return;
        }
        let pause = FIRST_SHED_PAUSE * (1 << self.sheds.get().min(8));
        self.sheds.set(self.sheds.get() + 1);
        self.paused_until.set(Some(now + pause.min(LONGEST_SHED_PAUSE)));
    }

    /// Notes that it could not be reached, and leaves it alone for a while.
    pub fn record_unreachable(&self, now: BootInstant) {
        self.note(now, 1.0);
        let pause = FIRST_PAUSE * (1 << self.pauses.get().min(4));
        self.pauses.set(self.pauses.get() + 1);
        self.paused_until.set(Some(now + pause.min(LONGEST_PAUSE)));
        self.pool.close_all();
    }

    /// Notes a request that broke; tells whether it is the first since they were taken.
    pub fn record_interrupted(&self, request: InterruptedRequest) -> bool {
        let mut broken = self.broken.borrow_mut();
        broken.push(request);
        let is_first = broken.len() == 1;
        if is_first {
            self.is_probed.set(false);
        }
        is_first
    }

    /// Takes the requests that broke.
    pub fn take_interrupted(&self) -> Vec<InterruptedRequest> {
        self.broken.take()
    }

    /// Notes that a probe has told whether the server takes connections.
    pub fn record_probe(&self) {
        self.is_probed.set(true);
        self.probed.notify_waiters();
    }

    /// Waits until a probe has told whether the server takes connections, where requests
    /// broke there.
    pub async fn wait_for_probe(&self) {
        while !self.is_probed.get() {
            self.probed.notified().await;
        }
    }

    /// Notes that the incarnation is no longer at its address.
    pub fn mark_replaced(&self) {
        self.gone.set(true);
        self.pool.close_all();
    }

    /// Notes that the server said it does not hold the model or adapter.
    pub fn record_missing(&self, model: &ModelName, now: BootInstant) {
        let key = model_key(&model.model, model.adapter.as_deref());
        let mut missing = self.missing.borrow_mut();
        let known = missing.get(&key).map(|known| known.again(now));
        missing.insert(key, known.unwrap_or_else(|| Missing::first(now)));
    }

    /// Takes its newer entry; what it said before is forgotten where that tells
    /// of other models.
    fn take_record(&self, record: &Arc<ServerRecord>) {
        if self.record.borrow().models != record.models {
            self.missing.borrow_mut().clear();
        }
        self.record.replace(record.clone());
    }

    /// Whether it holds the model, and the adapter where one is named, as far
    /// as is known.
    pub fn holds(&self, model: &ModelName, placement: &PlacementView, now: BootInstant) -> bool {
        let record = self.record.borrow();
        let server = server_key(&record.incarnation);
        let base = model_key(&model.model, None);
        let held = record.loaded_model(&model.model);
        let has_base = held.is_some() || placement.added.contains(&(server, base));
        if !has_base || !self.has(server, base, placement, now) {
            return false;
        }
        let Some(adapter) = &model.adapter else { return true };
        let key = model_key(&model.model, Some(adapter));
        let told = held.is_some_and(|held| held.adapters.contains(adapter));
        (told || placement.added.contains(&(server, key))) && self.has(server, key, placement, now)
    }

    fn has(
        &self,
        server: ServerKey,
        key: ModelKey,
        placement: &PlacementView,
        now: BootInstant,
    ) -> bool {
        let place = (server, key);
        let was_added = placement.added.contains(&place);
        let missing = self.missing.borrow().get(&key).copied();
        let is_missing = missing.is_some_and(|missing| missing.counts(now, was_added));
        !is_missing && !placement.withdrawn.contains(&place)
    }
}

/// All servers in the registry.
pub struct ServerTable {
    signals: SignalBoard,
    generation: u64,
    by_incarnation: HashMap<Arc<str>, Rc<Server>>,
    by_service: HashMap<String, Vec<Rc<Server>>>,
}

impl ServerTable {
    /// A table without servers.
    pub fn new(signals: SignalBoard) -> ServerTable {
        let (by_incarnation, by_service) = (HashMap::new(), HashMap::new());
        ServerTable { signals, generation: 0, by_incarnation, by_service }
    }

    /// Takes a newer publication in.
    pub fn update(&mut self, fleet: &FleetSnapshot) {
        if fleet.generation == self.generation {
            return;
        }
        self.generation = fleet.generation;
        let mut by_incarnation = HashMap::with_capacity(fleet.servers.len());
        let mut by_service: HashMap<String, Vec<Rc<Server>>> = HashMap::new();
        for record in &fleet.servers {
            let server = match self.by_incarnation.remove(&record.incarnation) {
                Some(server) => {
                    server.take_record(record);
                    server
                }
                None => Rc::new(Server::new(record.clone(), self.signals.clone())),
            };
            by_service.entry(record.service.clone()).or_default().push(server.clone());
            by_incarnation.insert(record.incarnation.clone(), server);
        }
        for server in self.by_incarnation.values() {
            server.gone.set(true);
            server.pool.close_all();
        }
        self.by_incarnation = by_incarnation;
        self.by_service = by_service;
    }

    /// Servers of a service.
    pub fn of_service(&self, service: &str) -> &[Rc<Server>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// Closes connections that have rested for too long.
    pub fn close_idle_connections(&self, now: BootInstant) {
        for server in self.by_incarnation.values() {
            server.pool.close_old(now);
        }
    }
}
