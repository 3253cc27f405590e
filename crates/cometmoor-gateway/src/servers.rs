//! The servers from the view of a traffic thread: their registry entries, what their responses
//! have shown, and the connections to them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{Fingerprint, PartId};
use cometmoor_core::gateway::registry::{ServerRecord, ServerState};
use cometmoor_core::gateway::response_end::Departure;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;

use tokio::sync::Notify;

use crate::clock;
use crate::dialect::{ModelName, ReportedLoad};
use crate::http::client::CallClient;
use crate::load::{ModelKey, ServerKey, model_key, server_key};
use crate::pool::Pool;
use crate::published::{FleetSnapshot, PlacementView};
use crate::signals::SignalBoard;

/// Backoff after the first failure to connect to a server.
const INITIAL_CONNECT_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum backoff after failures to connect.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(2);
/// Initial and maximum backoff after a server has rejected a request. Without it the server is
/// selected again at once because it looks idle: 88 of 708 clients were not served while two other
/// servers had free capacity.
const INITIAL_REJECTION_BACKOFF: Duration = Duration::from_millis(100);
const MAX_REJECTION_BACKOFF: Duration = Duration::from_millis(1600);
/// Time in which the weight of a failure halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of the newest response in the moving average of failures.
const NEWEST_RESPONSE_WEIGHT: f64 = 0.15;
/// Time for which a model counts as missing after the server has reported that it does not hold it:
/// about the lag of its registry entry.
const INITIAL_MISSING_TIME: Duration = Duration::from_millis(700);
/// Maximum of that time when the server keeps reporting it while its entry still lists the model:
/// entries are not updated while the store is down. Each such response fails a request that may be
/// sent to one server only.
const MAX_MISSING_TIME: Duration = Duration::from_secs(12);

/// Time for which a server's report on the slowdown of its machine counts. The slowdown changes many
/// times a second.
const SLOWDOWN_LIFETIME: Duration = Duration::from_millis(250);

/// A server's report that it does not hold a model.
#[derive(Clone, Copy, Debug)]
struct MissingModel {
    reported_at: BootInstant,
    duration: Duration,
}

impl MissingModel {
    fn new(now: BootInstant) -> MissingModel {
        MissingModel { reported_at: now, duration: INITIAL_MISSING_TIME }
    }

    /// Whether the model still counts as missing. If the leader has announced that the server
    /// holds it, the report counts only for as long as it may have crossed that announcement.
    fn is_valid(self, now: BootInstant, was_added: bool) -> bool {
        let duration = if was_added { INITIAL_MISSING_TIME } else { self.duration };
        now < self.reported_at + duration
    }

    /// The report after the server has repeated it. The time doubles if the model was tried again
    /// after the previous report had expired.
    fn repeated(self, now: BootInstant) -> MissingModel {
        if self.is_valid(now, false) {
            return self;
        }
        let duration = (self.duration * 2).min(MAX_MISSING_TIME);
        MissingModel { reported_at: now, duration }
    }
}

/// A request whose connection to a server was lost before the response was complete.
#[derive(Clone, Debug)]
pub struct InterruptedRequest {
    /// Fingerprint of its content.
    pub content: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Rc<[PartId]>,
    /// Whether the server had sent so much of the response that it had not crashed when it began.
    pub has_begun: bool,
    /// Identifier of the attempt.
    pub request_id: String,
}

/// One incarnation of a server.
pub struct Server {
    record: RefCell<Arc<ServerRecord>>,
    hash: IncarnationHash,
    signals: SignalBoard,
    /// Connections for requests.
    pub pool: Pool,
    /// Client for calls other than forwarded requests.
    pub call_client: CallClient,
    /// Whether the incarnation was replaced or has left the registry.
    is_removed: Cell<bool>,
    /// When it became known that it leaves as announced.
    leaving_since: Cell<Option<BootInstant>>,
    /// Whether its process was seen to have ended.
    has_ended: Cell<bool>,
    backoff_until: Cell<Option<BootInstant>>,
    /// Consecutive failures to connect.
    connect_failures: Cell<u32>,
    /// Whether the last attempt to connect got no answer.
    is_unresponsive: Cell<bool>,
    /// Consecutive rejections, at most one counted for each backoff.
    rejections: Cell<u32>,
    failure_share: Cell<f64>,
    failure_share_updated: Cell<BootInstant>,
    /// The load in its latest response, and when that was received.
    reported_load: Cell<Option<(ReportedLoad, BootInstant)>>,
    missing_models: RefCell<HashMap<ModelKey, MissingModel>>,
    /// Requests interrupted since the last check whether the server has crashed.
    interrupted: RefCell<Vec<InterruptedRequest>>,
    /// Whether a probe has completed since the first of them.
    is_probed: Cell<bool>,
    probe_completed: Notify,
    /// When a byte last came over a direct connection.
    heard_at: Cell<BootInstant>,
    /// When the link was last checked.
    link_checked_at: Cell<Option<BootInstant>>,
    /// How often the connections of each path were given up: direct ones, and those through each
    /// peer.
    losses: RefCell<HashMap<Option<SocketAddrV4>, u64>>,
    path_lost: Notify,
}

impl Server {
    fn new(record: Arc<ServerRecord>, signals: SignalBoard) -> Server {
        let pool = Pool::default();
        let call_client = CallClient::new(record.address);
        Server {
            hash: IncarnationHash::of(&record.incarnation),
            record: RefCell::new(record),
            signals,
            pool,
            call_client,
            is_removed: Cell::new(false),
            leaving_since: Cell::default(),
            has_ended: Cell::new(false),
            backoff_until: Cell::new(None),
            connect_failures: Cell::new(0),
            is_unresponsive: Cell::new(false),
            rejections: Cell::new(0),
            failure_share: Cell::new(0.0),
            failure_share_updated: Cell::new(clock::now()),
            reported_load: Cell::default(),
            missing_models: RefCell::new(HashMap::new()),
            interrupted: RefCell::new(Vec::new()),
            is_probed: Cell::new(true),
            probe_completed: Notify::new(),
            heard_at: Cell::new(clock::now()),
            link_checked_at: Cell::default(),
            losses: RefCell::default(),
            path_lost: Notify::new(),
        }
    }

    /// Identifies the incarnation in messages between nodes.
    pub fn hash(&self) -> IncarnationHash {
        self.hash
    }

    /// Its latest registry entry.
    pub fn record(&self) -> Arc<ServerRecord> {
        self.record.borrow().clone()
    }

    /// Whether it accepts new requests, according to the registry and its own responses.
    pub fn accepts_requests(&self) -> bool {
        let is_ready = self.record.borrow().state == ServerState::Ready;
        !self.is_removed.get() && is_ready && !self.signals.is_leaving(self.hash)
    }

    /// How it leaves. What it has announced counts after its entry is gone, too.
    pub fn departure(&self) -> Departure {
        let record = self.record.borrow();
        if record.remaining.is_some() {
            return Departure::ShortNotice;
        }
        if record.state == ServerState::Draining || self.signals.is_leaving(self.hash) {
            let since = self.leaving_since.get().unwrap_or_else(clock::now);
            return Departure::Announced { since };
        }
        if self.is_removed.get() { Departure::Unannounced } else { Departure::None }
    }

    /// Whether its process was seen to have ended, and has not completed a response since.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Records that its process was seen to have ended.
    pub fn mark_ended(&self) {
        self.has_ended.set(true);
    }

    /// Whether other servers are preferred because it was unreachable or rejected a request.
    pub fn is_backing_off(&self, now: BootInstant) -> bool {
        self.backoff_until.get().is_some_and(|until| now < until)
    }

    /// Share of recent requests that failed, from 0 to 1, which decays over time.
    pub fn failure_share(&self, now: BootInstant) -> f64 {
        let age = now.since(self.failure_share_updated.get());
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share.get() * 0.5_f64.powf(half_lives)
    }

    fn update_failure_share(&self, now: BootInstant, failed: f64) {
        let share = self.failure_share(now);
        self.failure_share.set(share + NEWEST_RESPONSE_WEIGHT * (failed - share));
        self.failure_share_updated.set(now);
    }

    /// Records the load that it has reported with a response.
    pub fn record_load(&self, load: ReportedLoad, now: BootInstant) {
        self.reported_load.set(Some((load, now)));
    }

    /// How long work takes on its machine as a multiple of the usual time, if its latest response
    /// said so and is recent.
    pub fn reported_slowdown(&self, now: BootInstant) -> Option<f64> {
        let (load, received_at) = self.reported_load.get()?;
        let is_recent = now.since(received_at) <= SLOWDOWN_LIFETIME;
        load.slowdown_percent.filter(|_| is_recent).map(|percent| f64::from(percent) / 100.0)
    }

    /// Records a successful response, which ends any backoff.
    pub fn record_success(&self, now: BootInstant) {
        self.update_failure_share(now, 0.0);
        self.backoff_until.set(None);
        self.connect_failures.set(0);
        self.is_unresponsive.set(false);
        self.rejections.set(0);
        self.has_ended.set(false);
    }

    /// Records an error response or an interrupted one.
    pub fn record_failure(&self, now: BootInstant) {
        self.update_failure_share(now, 1.0);
    }

    /// Records that it rejected a request, and starts a backoff unless one is in progress.
    pub fn record_rejection(&self, now: BootInstant) {
        if self.is_backing_off(now) {
            return;
        }
        let backoff = INITIAL_REJECTION_BACKOFF * (1 << self.rejections.get().min(8));
        self.rejections.set(self.rejections.get() + 1);
        self.backoff_until.set(Some(now + backoff.min(MAX_REJECTION_BACKOFF)));
    }

    /// Time until another connection is to be tried, if the last one got no answer; each try takes as
    /// long as its timeout.
    pub fn unresponsive_for(&self, now: BootInstant) -> Option<Duration> {
        let until = self.backoff_until.get().filter(|_| self.is_unresponsive.get())?;
        (now < until).then(|| until.since(now))
    }

    /// Records that a connection is tried. While the server is unresponsive, no other one is.
    pub fn begin_connect(&self, now: BootInstant, timeout: Duration) {
        if self.is_unresponsive.get() {
            self.backoff_until.set(Some(now + timeout));
        }
    }

    /// Records that a connection was established, which ends the backoff of an unresponsive server.
    pub fn record_connected(&self) {
        if self.is_unresponsive.take() {
            self.backoff_until.set(None);
        }
    }

    /// Records a failure to connect: starts a backoff and closes the idle connections.
    pub fn record_unreachable(&self, error: io::ErrorKind, now: BootInstant) {
        self.is_unresponsive.set(error == io::ErrorKind::TimedOut);
        self.update_failure_share(now, 1.0);
        let backoff = INITIAL_CONNECT_BACKOFF * (1 << self.connect_failures.get().min(4));
        self.connect_failures.set(self.connect_failures.get() + 1);
        self.backoff_until.set(Some(now + backoff.min(MAX_CONNECT_BACKOFF)));
        self.pool.close_all();
    }

    /// Records an interrupted request. Returns whether it is the first since the last call of
    /// [`Server::take_interrupted`].
    pub fn record_interrupted(&self, request: InterruptedRequest) -> bool {
        let mut interrupted = self.interrupted.borrow_mut();
        interrupted.push(request);
        let is_first = interrupted.len() == 1;
        if is_first {
            self.is_probed.set(false);
        }
        is_first
    }

    /// Removes and returns the interrupted requests.
    pub fn take_interrupted(&self) -> Vec<InterruptedRequest> {
        self.interrupted.take()
    }

    /// Records that a probe has shown whether the server accepts connections.
    pub fn record_probe(&self) {
        self.is_probed.set(true);
        self.probe_completed.notify_waiters();
    }

    /// Waits until a probe has shown whether the server accepts connections. Returns at once unless
    /// a request was interrupted since the last probe.
    pub async fn wait_for_probe(&self) {
        while !self.is_probed.get() {
            self.probe_completed.notified().await;
        }
    }

    /// When a byte last came over a direct connection, or the server became known.
    pub fn heard_at(&self) -> BootInstant {
        self.heard_at.get()
    }

    /// Records that bytes have come over a direct connection.
    pub fn note_heard(&self, now: BootInstant) {
        self.heard_at.set(now);
    }

    /// Whether the link is to be checked now: it was not within the interval.
    pub fn begin_link_check(&self, now: BootInstant, interval: Duration) -> bool {
        let is_early = self.link_checked_at.get().is_some_and(|at| now.since(at) < interval);
        if !is_early {
            self.link_checked_at.set(Some(now));
        }
        !is_early
    }

    /// Gives up the direct connections, because nothing comes over them any more.
    pub fn end_direct_connections(&self) {
        self.pool.close_direct();
        self.record_loss(None);
    }

    /// Gives up the connections through a peer.
    pub fn end_tunnels(&self, peer: SocketAddrV4) {
        self.pool.close_tunnels_through(peer);
        self.record_loss(Some(peer));
    }

    fn record_loss(&self, path: Option<SocketAddrV4>) {
        *self.losses.borrow_mut().entry(path).or_default() += 1;
        self.path_lost.notify_waiters();
    }

    fn loss_count(&self, path: Option<SocketAddrV4>) -> u64 {
        self.losses.borrow().get(&path).copied().unwrap_or_default()
    }

    /// Waits until the connections of a path, direct or through a peer, are given up.
    pub async fn wait_for_loss(&self, path: Option<SocketAddrV4>) {
        let before = self.loss_count(path);
        loop {
            let lost = self.path_lost.notified();
            if self.loss_count(path) != before {
                return;
            }
            lost.await;
        }
    }

    /// Records that the incarnation is no longer at its address.
    pub fn mark_replaced(&self) {
        self.is_removed.set(true);
        self.pool.close_all();
    }

    /// Records the server's report that it does not hold the model or adapter.
    pub fn record_missing(&self, model: &ModelName, now: BootInstant) {
        let key = model_key(&model.model, model.adapter.as_deref());
        let mut missing = self.missing_models.borrow_mut();
        let repeated = missing.get(&key).map(|known| known.repeated(now));
        missing.insert(key, repeated.unwrap_or_else(|| MissingModel::new(now)));
    }

    /// Updates the registry entry. If it lists other models than before, earlier reports of missing
    /// models are dropped.
    fn update_record(&self, record: &Arc<ServerRecord>) {
        if self.record.borrow().models != record.models {
            self.missing_models.borrow_mut().clear();
        }
        if record.state == ServerState::Draining && self.leaving_since.get().is_none() {
            self.leaving_since.set(Some(clock::now()));
        }
        self.record.replace(record.clone());
    }

    /// Whether it is believed to hold the model, and the adapter if one is named.
    pub fn holds(&self, model: &ModelName, placement: &PlacementView, now: BootInstant) -> bool {
        let record = self.record.borrow();
        let server = server_key(&record.incarnation);
        let base = model_key(&model.model, None);
        let held = record.loaded_model(&model.model);
        let has_base = held.is_some() || placement.added.contains(&(server, base));
        if !has_base || !self.has_weights(server, base, placement, now) {
            return false;
        }
        let Some(adapter) = &model.adapter else { return true };
        let key = model_key(&model.model, Some(adapter));
        let is_listed = held.is_some_and(|held| held.adapters.contains(adapter));
        (is_listed || placement.added.contains(&(server, key)))
            && self.has_weights(server, key, placement, now)
    }

    /// Whether weights that the registry or the leader lists are neither missing nor withdrawn.
    fn has_weights(
        &self,
        server: ServerKey,
        key: ModelKey,
        placement: &PlacementView,
        now: BootInstant,
    ) -> bool {
        let held = (server, key);
        let was_added = placement.added.contains(&held);
        let missing = self.missing_models.borrow().get(&key).copied();
        let is_missing = missing.is_some_and(|missing| missing.is_valid(now, was_added));
        !is_missing && !placement.withdrawn.contains(&held)
    }
}

/// All servers in the registry, by incarnation and by service.
pub struct ServerTable {
    signals: SignalBoard,
    /// The list from which the table was last updated.
    list: Arc<Vec<Arc<ServerRecord>>>,
    by_incarnation: HashMap<Arc<str>, Rc<Server>>,
    by_service: HashMap<String, Vec<Rc<Server>>>,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new(signals: SignalBoard) -> ServerTable {
        let (by_incarnation, by_service) = (HashMap::new(), HashMap::new());
        ServerTable { signals, list: Arc::default(), by_incarnation, by_service }
    }

    /// Updates the table from a fleet snapshot, unless its list of servers is still the same. Servers
    /// that are still in the registry keep their state and connections.
    pub fn update(&mut self, fleet: &FleetSnapshot) {
        if Arc::ptr_eq(&self.list, &fleet.servers) {
            return;
        }
        self.list = fleet.servers.clone();
        let mut by_incarnation = HashMap::with_capacity(fleet.servers.len());
        let mut by_service: HashMap<String, Vec<Rc<Server>>> = HashMap::new();
        for record in fleet.servers.iter() {
            let server = match self.by_incarnation.remove(&record.incarnation) {
                Some(server) => {
                    server.update_record(record);
                    server
                }
                None => Rc::new(Server::new(record.clone(), self.signals.clone())),
            };
            by_service.entry(record.service.clone()).or_default().push(server.clone());
            by_incarnation.insert(record.incarnation.clone(), server);
        }
        for server in self.by_incarnation.values() {
            server.is_removed.set(true);
            server.pool.close_all();
        }
        self.by_incarnation = by_incarnation;
        self.by_service = by_service;
    }

    /// Servers of a service; empty if it has none.
    pub fn of_service(&self, service: &str) -> &[Rc<Server>] {
        self.by_service.get(service).map(Vec::as_slice).unwrap_or_default()
    }

    /// The server with an incarnation's name.
    pub fn get(&self, incarnation: &str) -> Option<Rc<Server>> {
        self.by_incarnation.get(incarnation).cloned()
    }

    /// The server with the hash of an incarnation's name.
    pub fn by_hash(&self, hash: IncarnationHash) -> Option<Rc<Server>> {
        self.all().find(|server| server.hash() == hash).cloned()
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_incarnation.values()
    }

    /// Closes connections that have been idle for too long, and those through peers that
    /// `is_usable` rejects.
    pub fn close_idle_connections(
        &self,
        now: BootInstant,
        is_usable: impl Fn(SocketAddrV4) -> bool,
    ) {
        for server in self.by_incarnation.values() {
            server.pool.close_unusable(now, &is_usable);
        }
    }
}
