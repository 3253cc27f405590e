//! Load of the servers: what this node has sent them, and what others have.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Load that one node, or several together, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests sent and not finished.
    pub in_flight: u32,
    /// Prompt tokens of those whose first event has not come.
    pub pending_prompt_tokens: u64,
    /// Tokens of all of them.
    pub tokens: u64,
}

impl ServerLoad {
    /// The sum.
    pub fn plus(self, other: ServerLoad) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight + other.in_flight,
            pending_prompt_tokens: self.pending_prompt_tokens + other.pending_prompt_tokens,
            tokens: self.tokens + other.tokens,
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

/// Work asked of a model since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Requests.
    pub requests: u64,
    /// Tokens of their prompts.
    pub prompt_tokens: u64,
}

#[derive(Debug, Default)]
struct Board {
    servers: HashMap<Arc<str>, ServerLoad>,
    models: HashMap<String, ModelDemand>,
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
    pub fn of(&self, server: &str) -> ServerLoad {
        self.lock().servers.get(server).copied().unwrap_or_default()
    }

    /// Load on all servers that have any.
    pub fn all(&self) -> Vec<(ServerKey, ServerLoad)> {
        self.lock().servers.iter().map(|(id, load)| (server_key(id), *load)).collect()
    }

    /// Work asked of each model, as far as this node was asked.
    pub fn demand(&self) -> HashMap<String, ModelDemand> {
        self.lock().models.clone()
    }

    /// Notes that a model was asked for.
    pub fn record_demand(&self, model: &str, prompt_tokens: u64) {
        let mut board = self.lock();
        if !board.models.contains_key(model) {
            board.models.insert(model.to_owned(), ModelDemand::default());
        }
        if let Some(demand) = board.models.get_mut(model) {
            demand.requests += 1;
            demand.prompt_tokens += prompt_tokens;
        }
    }

    /// Requests of clients that this node works on.
    pub fn in_progress(&self) -> usize {
        self.lock().in_progress
    }

    /// Notes a client's request until the guard is dropped.
    pub fn enter(&self) -> InProgress {
        self.lock().in_progress += 1;
        InProgress { board: self.clone() }
    }

    /// Notes a request at a server until the guard is dropped.
    pub fn sent(&self, server: &Arc<str>, prompt_tokens: u64, output_tokens: u64) -> Sent {
        let tokens = prompt_tokens + output_tokens;
        let mut board = self.lock();
        let load = board.servers.entry(server.clone()).or_default();
        load.in_flight += 1;
        load.pending_prompt_tokens += prompt_tokens;
        load.tokens += tokens;
        Sent { board: self.clone(), server: server.clone(), pending: prompt_tokens, tokens }
    }
}

/// A client's request in progress.
#[derive(Debug)]
pub struct InProgress {
    board: LoadBoard,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.board.lock().in_progress -= 1;
    }
}

/// A request at a server.
#[derive(Debug)]
pub struct Sent {
    board: LoadBoard,
    server: Arc<str>,
    pending: u64,
    tokens: u64,
}

impl Sent {
    /// Notes the first event: the prompt was read.
    pub fn first_event(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        if pending == 0 {
            return;
        }
        if let Some(load) = self.board.lock().servers.get_mut(&self.server) {
            load.pending_prompt_tokens -= pending;
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let mut board = self.board.lock();
        let Some(load) = board.servers.get_mut(&self.server) else { return };
        load.in_flight -= 1;
        load.pending_prompt_tokens -= self.pending;
        load.tokens -= self.tokens;
        if load.in_flight == 0 {
            board.servers.remove(&self.server);
        }
    }
}
