//! Load that nodes put on the servers, and demand for models and adapters.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Number of priorities that are counted separately; lower ones count as the last of them.
const PRIORITIES: usize = 3;

/// Time that a server takes for the prefill of prompts, by the priority of their requests: servers
/// admit requests of higher priority first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingPrefill {
    /// In microseconds, highest priority first.
    micros: [u64; PRIORITIES],
}

impl PendingPrefill {
    /// The pending prefill of one request; priority 0 is the highest.
    pub fn of(prefill: Duration, priority: u8) -> PendingPrefill {
        let mut micros = [0; PRIORITIES];
        micros[level(priority)] = u64::try_from(prefill.as_micros()).unwrap_or(0);
        PendingPrefill { micros }
    }

    /// The sum by priority.
    fn plus(self, other: PendingPrefill) -> PendingPrefill {
        PendingPrefill {
            micros: std::array::from_fn(|level| self.micros[level] + other.micros[level]),
        }
    }

    /// The difference by priority, at least zero.
    fn minus(self, part: PendingPrefill) -> PendingPrefill {
        let left = |level: usize| self.micros[level].saturating_sub(part.micros[level]);
        PendingPrefill { micros: std::array::from_fn(left) }
    }

    /// Whether no prompt is pending.
    pub fn is_zero(self) -> bool {
        self == PendingPrefill::default()
    }

    /// Total of all priorities, in milliseconds.
    pub fn total_millis(self) -> f64 {
        self.micros.iter().sum::<u64>() as f64 / 1000.0
    }

    /// Prefill time of the prompts that are processed before a new request of this priority, in
    /// milliseconds.
    pub fn millis_before(self, priority: u8) -> f64 {
        self.micros[..=level(priority)].iter().sum::<u64>() as f64 / 1000.0
    }
}

fn level(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

/// Load on a server from one or more nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Number of requests sent and not completed.
    pub in_flight: u32,
    /// Prefill of the requests whose first event has not been received.
    pub pending: PendingPrefill,
}

impl ServerLoad {
    /// The sum of both loads.
    pub fn plus(self, other: ServerLoad) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight + other.in_flight,
            pending: self.pending.plus(other.pending),
        }
    }

    /// The load without `part` of it, at least zero.
    pub fn minus(self, part: ServerLoad) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            pending: self.pending.minus(part.pending),
        }
    }
}

/// Hash that identifies a server in messages between nodes.
pub type ServerKey = u32;

/// The key of the server with this identifier.
pub fn server_key(id: &str) -> ServerKey {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    (hash & u64::from(u32::MAX)) as u32
}

/// Hash that identifies a model or adapter in messages between nodes.
pub type ModelKey = u32;

/// The key of a model, or of one of its adapters.
pub fn model_key(model: &str, adapter: Option<&str>) -> ModelKey {
    match adapter {
        Some(adapter) => server_key(&format!("{model}/{adapter}")),
        None => server_key(model),
    }
}

/// Demand for a model or adapter, summed since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Number of requests.
    pub requests: u64,
    /// Prefill time of their prompts, in microseconds.
    pub prefill_micros: u64,
    /// Expected time for which they occupy a slot of a server's batch, in microseconds.
    pub slot_micros: u64,
}

/// Expected demand of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestDemand {
    /// Prefill time of its prompt.
    pub prefill: Duration,
    /// Time for which it occupies a slot of the batch.
    pub slot_time: Duration,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// How long a request's wait for weights is reported to other nodes.
const WAIT_REPORTED_FOR: Duration = Duration::from_millis(300);
/// Time for which a request counts as waiting after it has reported to wait. Requests report it
/// again while they wait, every [`QUEUE_POLL_INTERVAL`].
///
/// [`QUEUE_POLL_INTERVAL`]: cometmoor_core::gateway::admission::QUEUE_POLL_INTERVAL
const WAIT_IS_CURRENT_FOR: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct RecordedDemand {
    demand: ModelDemand,
    changed_at: BootInstant,
}

/// Requests that wait for a model or adapter.
#[derive(Clone, Copy, Debug)]
struct RecordedWait {
    /// When the first of them began to wait.
    since: BootInstant,
    /// When one of them last waited.
    last: BootInstant,
}

#[derive(Debug, Default)]
struct LoadState {
    servers: HashMap<Arc<str>, ServerLoad>,
    models: HashMap<ModelKey, RecordedDemand>,
    /// By model or adapter.
    awaited_models: HashMap<ModelKey, RecordedWait>,
    in_progress: usize,
}

/// Load that this node puts on the servers, and the demand that it receives. Shared by its
/// threads.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    state: Arc<Mutex<LoadState>>,
    load_reduced: Arc<Notify>,
}

impl LoadBoard {
    fn lock(&self) -> MutexGuard<'_, LoadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notified when load of this node has gone from a server.
    pub fn load_reduced(&self) -> &Notify {
        &self.load_reduced
    }

    /// Load on one server from this node.
    pub fn server_load(&self, server: &str) -> ServerLoad {
        self.lock().servers.get(server).copied().unwrap_or_default()
    }

    /// Load from this node on all servers to which it has requests in flight.
    pub fn server_loads(&self) -> Vec<(ServerKey, ServerLoad)> {
        self.lock().servers.iter().map(|(id, load)| (server_key(id), *load)).collect()
    }

    /// Demand for the models and adapters whose demand has changed within `period`.
    pub fn recent_demand(
        &self,
        now: BootInstant,
        period: Duration,
    ) -> Vec<(ModelKey, ModelDemand)> {
        let state = self.lock();
        let recent =
            state.models.iter().filter(|(_, recorded)| now.since(recorded.changed_at) < period);
        recent.map(|(key, recorded)| (*key, recorded.demand)).collect()
    }

    /// Adds the demand of a request for a model or adapter.
    pub fn record_demand(&self, key: ModelKey, request: RequestDemand, now: BootInstant) {
        let new = RecordedDemand { demand: ModelDemand::default(), changed_at: now };
        let mut state = self.lock();
        let recorded = state.models.entry(key).or_insert(new);
        recorded.changed_at = now;
        recorded.demand.requests += 1;
        recorded.demand.prefill_micros += micros(request.prefill);
        recorded.demand.slot_micros += micros(request.slot_time);
    }

    /// Records that a request is waiting for a model or adapter to be loaded.
    pub fn record_wait(&self, key: ModelKey, now: BootInstant) {
        let mut state = self.lock();
        let new = RecordedWait { since: now, last: now };
        let wait = state.awaited_models.entry(key).or_insert(new);
        if now.since(wait.last) >= WAIT_IS_CURRENT_FOR {
            wait.since = now;
        }
        wait.last = now;
    }

    /// Models and adapters that requests have recently waited for.
    pub fn awaited_models(&self, now: BootInstant) -> Vec<ModelKey> {
        let mut state = self.lock();
        state.awaited_models.retain(|_, wait| now.since(wait.last) < WAIT_REPORTED_FOR);
        state.awaited_models.keys().copied().collect()
    }

    /// Models and adapters that requests wait for now, and for how long they have.
    pub fn waits(&self, now: BootInstant) -> Vec<(ModelKey, Duration)> {
        let state = self.lock();
        let waits = state.awaited_models.iter();
        let current = waits.filter(|(_, wait)| now.since(wait.last) < WAIT_IS_CURRENT_FOR);
        current.map(|(key, wait)| (*key, now.since(wait.since))).collect()
    }

    /// Number of client requests that this node is processing.
    pub fn in_progress(&self) -> usize {
        self.lock().in_progress
    }

    /// Counts a client request as in progress until the guard is dropped.
    pub fn add_in_progress(&self) -> InProgressGuard {
        self.lock().in_progress += 1;
        InProgressGuard { board: self.clone() }
    }

    /// Counts a request to a server as in flight until the guard is dropped.
    pub fn add_in_flight(&self, server: &Arc<str>, pending: PendingPrefill) -> InFlightGuard {
        let mut state = self.lock();
        let load = state.servers.entry(server.clone()).or_default();
        load.in_flight += 1;
        load.pending = load.pending.plus(pending);
        InFlightGuard { board: self.clone(), server: server.clone(), pending }
    }
}

/// Counts a client request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    board: LoadBoard,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.board.lock().in_progress -= 1;
    }
}

/// Counts a request to a server as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    board: LoadBoard,
    server: Arc<str>,
    pending: PendingPrefill,
}

impl InFlightGuard {
    /// Records the first event, at which the prefill of the prompt is complete.
    pub fn record_first_event(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        if pending.is_zero() {
            return;
        }
        if let Some(load) = self.board.lock().servers.get_mut(&self.server) {
            load.pending = load.pending.minus(pending);
        }
        self.board.load_reduced.notify_one();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.board.lock();
        let Some(load) = state.servers.get_mut(&self.server) else { return };
        load.in_flight -= 1;
        load.pending = load.pending.minus(self.pending);
        if load.in_flight == 0 {
            state.servers.remove(&self.server);
        }
        self.board.load_reduced.notify_one();
    }
}
