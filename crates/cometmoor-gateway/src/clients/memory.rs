//! The memory for clients of a node, and the bodies that are held in it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use bytes::BytesMut;
use cometmoor_core::gateway::overload::{BodyId, MemoryBudget, Reservation, next_piece_size};
use tokio::sync::Notify;

use super::body::Body;
use crate::clock;
use crate::metrics::Metrics;

/// There is no memory for more of a body, or it was needed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// The memory for clients.
pub struct ClientMemory {
    budget: RefCell<MemoryBudget>,
    /// Bodies that are being received, and may be evicted.
    partial_bodies: RefCell<HashMap<BodyId, Rc<PartialBody>>>,
    metrics: Arc<Metrics>,
}

/// What was received of a body.
#[derive(Default)]
struct PartialBody {
    pieces: RefCell<Vec<BytesMut>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl ClientMemory {
    /// Memory of `limit` bytes of which nothing is used.
    pub fn new(limit: usize, metrics: Arc<Metrics>) -> Rc<ClientMemory> {
        metrics.clients.memory_limit.set(limit as i64);
        Rc::new(ClientMemory {
            budget: RefCell::new(MemoryBudget::new(limit)),
            partial_bodies: RefCell::default(),
            metrics,
        })
    }

    /// Size in bytes of the largest body that the node can hold.
    pub fn max_body(&self) -> usize {
        self.budget.borrow().max_body()
    }

    /// Reserves memory for a connection. Returns whether there is enough.
    pub fn add_connection(&self) -> bool {
        let is_added = self.budget.borrow_mut().add_connection();
        self.update_metrics();
        is_added
    }

    /// Releases the memory of a connection.
    pub fn remove_connection(&self) {
        self.budget.borrow_mut().remove_connection();
        self.update_metrics();
    }

    /// Begins to receive a body; `length` in bytes if it is known.
    pub fn begin_body(self: &Rc<Self>, length: Option<usize>) -> BodyReceiver {
        let id = self.budget.borrow_mut().begin_body(clock::now());
        let partial = Rc::new(PartialBody::default());
        self.partial_bodies.borrow_mut().insert(id, partial.clone());
        let held = HeldMemory { memory: self.clone(), id };
        BodyReceiver { held, partial, length, allocated: 0, received: 0 }
    }

    fn reserve(&self, id: BodyId, additional: usize) -> Result<(), OutOfMemory> {
        let reservation = self.budget.borrow_mut().reserve(id, additional, clock::now());
        match reservation {
            Reservation::Granted(evicted) => {
                evicted.iter().for_each(|other| self.evict(*other));
                self.update_metrics();
                Ok(())
            }
            Reservation::Refused => Err(OutOfMemory),
        }
    }

    /// Frees a body that is being received. Its request is refused once its task runs.
    fn evict(&self, id: BodyId) {
        if let Some(partial) = self.partial_bodies.borrow_mut().remove(&id) {
            partial.pieces.take();
            partial.is_evicted.set(true);
            partial.evicted.notify_one();
            self.metrics.clients.evicted_bodies.inc();
        }
    }

    fn update_metrics(&self) {
        self.metrics.clients.memory.set(self.budget.borrow().used() as i64);
    }
}

/// Memory of one body, which is released when this is dropped.
pub struct HeldMemory {
    memory: Rc<ClientMemory>,
    id: BodyId,
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.partial_bodies.borrow_mut().remove(&self.id);
        self.memory.budget.borrow_mut().release(self.id);
        self.memory.update_metrics();
    }
}

/// Collects a body as it is received.
pub struct BodyReceiver {
    held: HeldMemory,
    partial: Rc<PartialBody>,
    length: Option<usize>,
    allocated: usize,
    received: usize,
}

impl BodyReceiver {
    /// Number of bytes that were received.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Reserves memory for something else that is held as long as the body.
    pub fn reserve(&self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes == 0 {
            return Ok(());
        }
        self.held.memory.reserve(self.held.id, bytes)
    }

    /// Appends bytes. Memory is reserved before it is allocated.
    pub fn push(&mut self, mut data: &[u8]) -> Result<(), OutOfMemory> {
        let HeldMemory { memory, id } = &self.held;
        memory.budget.borrow_mut().record_received(*id, data.len(), clock::now());
        while !data.is_empty() {
            let free = self.allocated - self.received;
            if free == 0 {
                let remaining = self.length.map(|length| length.saturating_sub(self.received));
                let size = next_piece_size(self.allocated, remaining);
                self.held.memory.reserve(self.held.id, size)?;
                self.partial.pieces.borrow_mut().push(BytesMut::with_capacity(size));
                self.allocated += size;
                continue;
            }
            let (part, rest) = data.split_at(free.min(data.len()));
            let mut pieces = self.partial.pieces.borrow_mut();
            // An evicted body has no pieces left.
            pieces.last_mut().ok_or(OutOfMemory)?.extend_from_slice(part);
            self.received += part.len();
            data = rest;
        }
        Ok(())
    }

    /// Waits until the memory is needed for another body.
    pub async fn wait_for_eviction(&self) {
        while !self.partial.is_evicted.get() {
            self.partial.evicted.notified().await;
        }
    }

    /// The complete body, which cannot be evicted.
    pub fn complete(self) -> Result<Body, OutOfMemory> {
        if self.partial.is_evicted.get() {
            return Err(OutOfMemory);
        }
        let BodyReceiver { held, partial, .. } = self;
        held.memory.partial_bodies.borrow_mut().remove(&held.id);
        held.memory.budget.borrow_mut().complete(held.id);
        let pieces = partial.pieces.take().into_iter().map(BytesMut::freeze).collect();
        Ok(Body::held(pieces, held))
    }
}
