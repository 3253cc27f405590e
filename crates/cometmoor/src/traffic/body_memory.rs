//! The memory that a node holds for the bodies of all callers together.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cometmoor_core::gateway::overload::{BodyId, MemoryBudget, Reservation};
use cometmoor_gateway::clock;
use tokio::sync::Notify;

/// Number of copies of a body that exist at a time: as received, as parsed, as a prompt, and as
/// the request to an engine, before and after it is encoded.
const COPIES: usize = 5;

/// There is no memory for more of a body, or it was needed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

struct State {
    budget: MemoryBudget,
    /// Bodies that are being received, and may be evicted.
    partial_bodies: HashMap<BodyId, Arc<Notify>>,
}

/// The memory for bodies, shared by all traffic threads.
pub struct BodyMemory {
    state: Mutex<State>,
}

impl BodyMemory {
    /// Memory of `limit` bytes of which nothing is used.
    pub fn new(limit: usize) -> BodyMemory {
        let budget = MemoryBudget::new(limit);
        BodyMemory { state: Mutex::new(State { budget, partial_bodies: HashMap::new() }) }
    }

    /// Size in bytes of the largest body that can be held.
    pub fn max_body(&self) -> usize {
        self.lock().budget.max_body() / COPIES
    }

    /// Begins to receive a body.
    pub fn begin_body(self: &Arc<Self>) -> HeldBody {
        let mut state = self.lock();
        let id = state.budget.begin_body(clock::now());
        let evicted = Arc::new(Notify::new());
        state.partial_bodies.insert(id, evicted.clone());
        HeldBody { memory: self.clone(), id, evicted }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of one body and of what is made of it, which is released when this is dropped.
pub struct HeldBody {
    memory: Arc<BodyMemory>,
    id: BodyId,
    evicted: Arc<Notify>,
}

impl HeldBody {
    /// Reserves memory for further bytes that were received.
    pub fn grow(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let now = clock::now();
        let mut state = self.memory.lock();
        match state.budget.reserve(self.id, bytes * COPIES, now) {
            Reservation::Granted(evicted) => {
                state.budget.record_received(self.id, bytes, now);
                let evicted = evicted.iter().filter_map(|id| state.partial_bodies.remove(id));
                evicted.collect::<Vec<_>>().iter().for_each(|other| other.notify_one());
                Ok(())
            }
            Reservation::Refused => Err(OutOfMemory),
        }
    }

    /// Waits until the memory is needed for another body.
    pub async fn wait_for_eviction(&self) {
        self.evicted.notified().await;
    }

    /// Marks the body as complete, so that it is not evicted any more. Fails if it was.
    pub fn complete(&self) -> Result<(), OutOfMemory> {
        let mut state = self.memory.lock();
        state.partial_bodies.remove(&self.id).ok_or(OutOfMemory)?;
        state.budget.complete(self.id);
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.partial_bodies.remove(&self.id);
        state.budget.release(self.id);
    }
}
