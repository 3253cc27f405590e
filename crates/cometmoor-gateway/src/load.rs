//! Load of the servers: what this node has sent them, and what others have.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use serde::{Deserialize, Serialize};

/// Ranks of urgency that are told apart; what is less urgent counts as the last.
const RANKS: usize = 3;

/// Time that a server takes to read prompts, in microseconds, by the rank of
/// the requests: servers admit the more urgent ones first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingPrefill {
    micros: [u64; RANKS],
}

impl PendingPrefill {
    /// Work of one request.
    pub fn of(reading: Duration, urgency: u8) -> PendingPrefill {
        let mut micros = [0; RANKS];
        micros[rank(urgency)] = u64::try_from(reading.as_micros()).unwrap_or(0);
        PendingPrefill { micros }
    }

    /// The sum.
    fn plus(self, other: PendingPrefill) -> PendingPrefill {
        PendingPrefill {
            micros: std::array::from_fn(|rank| self.micros[rank] + other.micros[rank]),
        }
    }

    /// What is left without a part of it.
    fn minus(self, part: PendingPrefill) -> PendingPrefill {
        let left = |rank: usize| self.micros[rank].saturating_sub(part.micros[rank]);
        PendingPrefill { micros: std::array::from_fn(left) }
    }

    /// Whether nothing waits.
    pub fn is_zero(self) -> bool {
        self == PendingPrefill::default()
    }

    /// Time that all of it takes, in milliseconds.
    pub fn total_millis(self) -> f64 {
        self.micros.iter().sum::<u64>() as f64 / 1000.0
    }

    /// Time before a request of this urgency is read, in milliseconds.
    pub fn millis_before(self, urgency: u8) -> f64 {
        self.micros[..=rank(urgency)].iter().sum::<u64>() as f64 / 1000.0
    }
}

fn rank(urgency: u8) -> usize {
    usize::from(urgency).min(RANKS - 1)
}

/// Load that one node, or several together, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests sent and not finished.
    pub in_flight: u32,
    /// Prompts of those whose first event has not come.
    pub pending: PendingPrefill,
}

impl ServerLoad {
    /// The sum.
    pub fn plus(self, other: ServerLoad) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight + other.in_flight,
            pending: self.pending.plus(other.pending),
        }
    }

    /// What is left without a part of it.
    pub fn minus(self, part: ServerLoad) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight.saturating_sub(part.in_flight),
            pending: self.pending.minus(part.pending),
        }
    }
}

/// Key of a server in messages between nodes.
pub type ServerKey = u32;

/// The key of a server.
pub fn server_key(id: &str) -> ServerKey {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    (hash & u64::from(u32::MAX)) as u32
}

/// The key of a model, or of an adapter, in messages between nodes.
pub type ModelKey = u32;

/// The key of a model, or of an adapter of it.
pub fn model_key(model: &str, adapter: Option<&str>) -> ModelKey {
    match adapter {
        Some(adapter) => server_key(&format!("{model}/{adapter}")),
        None => server_key(model),
    }
}

/// Work asked of a model or adapter since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Requests.
    pub requests: u64,
    /// Time that a server takes to read their prompts, in microseconds.
    pub prefill_micros: u64,
    /// Time for which they are likely to hold a slot of a server's batch, in
    /// microseconds.
    pub slot_micros: u64,
}

/// What one request is likely to take of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestDemand {
    /// Time to read its prompt.
    pub prefill: Duration,
    /// Time for which it holds a slot of the batch.
    pub slot_time: Duration,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// How long requests are told to wait for weights.
const WAIT_TOLD_FOR: Duration = Duration::from_millis(300);
/// How long a change of demand is told to other nodes.
const DEMAND_TOLD_FOR: Duration = Duration::from_millis(1200);

#[derive(Clone, Copy, Debug)]
struct NotedDemand {
    demand: ModelDemand,
    changed: BootInstant,
}

#[derive(Debug, Default)]
struct Board {
    servers: HashMap<Arc<str>, ServerLoad>,
    models: HashMap<ModelKey, NotedDemand>,
    waited_for: HashMap<ModelKey, BootInstant>,
    in_progress: usize,
}

/// What this node does, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    board: Arc<Mutex<Board>>,
}

impl LoadBoard {
    fn lock(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Load on one server.
    pub fn server_load(&self, server: &str) -> ServerLoad {
        self.lock().servers.get(server).copied().unwrap_or_default()
    }

    /// Load on all servers that have any.
    pub fn server_loads(&self) -> Vec<(ServerKey, ServerLoad)> {
        self.lock().servers.iter().map(|(id, load)| (server_key(id), *load)).collect()
    }

    /// Work asked of models and adapters, where it changed lately.
    pub fn recent_demand(&self, now: BootInstant) -> Vec<(ModelKey, ModelDemand)> {
        let board = self.lock();
        let recent =
            board.models.iter().filter(|(_, noted)| now.since(noted.changed) < DEMAND_TOLD_FOR);
        recent.map(|(key, noted)| (*key, noted.demand)).collect()
    }

    /// Notes that a model or adapter was asked for.
    pub fn record_demand(&self, key: ModelKey, work: RequestDemand, now: BootInstant) {
        let fresh = NotedDemand { demand: ModelDemand::default(), changed: now };
        let mut board = self.lock();
        let noted = board.models.entry(key).or_insert(fresh);
        noted.changed = now;
        noted.demand.requests += 1;
        noted.demand.prefill_micros += micros(work.prefill);
        noted.demand.slot_micros += micros(work.slot_time);
    }

    /// Notes that a request waits for a model or adapter.
    pub fn record_wait(&self, key: ModelKey, now: BootInstant) {
        self.lock().waited_for.insert(key, now);
    }

    /// Models and adapters that requests waited for a moment ago.
    pub fn awaited_models(&self, now: BootInstant) -> Vec<ModelKey> {
        let mut board = self.lock();
        board.waited_for.retain(|_, noted| now.since(*noted) < WAIT_TOLD_FOR);
        board.waited_for.keys().copied().collect()
    }

    /// Requests of clients that this node works on.
    pub fn in_progress(&self) -> usize {
        self.lock().in_progress
    }

    /// Notes a client's request until the guard is dropped.
    pub fn add_in_progress(&self) -> InProgressGuard {
        self.lock().in_progress += 1;
        InProgressGuard { board: self.clone() }
    }

    /// Notes a request at a server until the guard is dropped.
    pub fn add_in_flight(&self, server: &Arc<str>, pending: PendingPrefill) -> InFlightGuard {
        let mut board = self.lock();
        let load = board.servers.entry(server.clone()).or_default();
        load.in_flight += 1;
        load.pending = load.pending.plus(pending);
        InFlightGuard { board: self.clone(), server: server.clone(), pending }
    }
}

/// A client's request in progress.
#[derive(Debug)]
pub struct InProgressGuard {
    board: LoadBoard,
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.board.lock().in_progress -= 1;
    }
}

/// A request at a server.
#[derive(Debug)]
pub struct InFlightGuard {
    board: LoadBoard,
    server: Arc<str>,
    pending: PendingPrefill,
}

impl InFlightGuard {
    /// Notes the first event: the prompt was read.
    pub fn record_first_event(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        if pending.is_zero() {
            return;
        }
        if let Some(load) = self.board.lock().servers.get_mut(&self.server) {
            load.pending = load.pending.minus(pending);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut board = self.board.lock();
        let Some(load) = board.servers.get_mut(&self.server) else { return };
        load.in_flight -= 1;
        load.pending = load.pending.minus(self.pending);
        if load.in_flight == 0 {
            board.servers.remove(&self.server);
        }
    }
}
