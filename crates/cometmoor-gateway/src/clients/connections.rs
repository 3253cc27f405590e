//! The connections of a listener, of which one that waits for its client is closed for a new one
//! at the limit.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use cometmoor_core::gateway::overload::{Activity, Admission, ConnectionId, ConnectionTable};
use spdlog::warn;
use tokio::sync::Notify;

use super::memory::ClientMemory;
use crate::clock;
use crate::metrics::Metrics;

/// The connections of a listener.
pub struct ConnectionSlots {
    listener: &'static str,
    table: RefCell<ConnectionTable>,
    evictions: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// From which their memory is taken; `None` if it is not counted.
    memory: Option<Rc<ClientMemory>>,
    metrics: Arc<Metrics>,
}

impl ConnectionSlots {
    /// Slots for up to `limit` connections. `listener` is the label of metrics and log lines.
    pub fn new(
        listener: &'static str,
        limit: usize,
        memory: Option<Rc<ClientMemory>>,
        metrics: Arc<Metrics>,
    ) -> Rc<ConnectionSlots> {
        metrics.clients.set_connection_limit(listener, limit);
        Rc::new(ConnectionSlots {
            listener,
            table: RefCell::new(ConnectionTable::new(limit)),
            evictions: RefCell::default(),
            memory,
            metrics,
        })
    }

    /// Returns a slot for a new connection; `None` if it must be closed. A connection that yields to
    /// it closes once its task runs, for which this waits.
    pub async fn admit(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let has_memory = self.memory.as_ref().is_none_or(|memory| memory.add_connection());
        let admission = self.table.borrow_mut().admit(has_memory, clock::now());
        let id = match admission {
            Admission::Admitted(id) => id,
            Admission::Replaces { new, evicted } => {
                self.evict(evicted);
                if let Some(memory) = self.memory.as_ref().filter(|_| !has_memory) {
                    memory.add_connection();
                }
                new
            }
            Admission::Refused => {
                if let Some(memory) = self.memory.as_ref().filter(|_| has_memory) {
                    memory.remove_connection();
                }
                self.log("refused");
                return None;
            }
        };
        let evicted = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, evicted.clone());
        self.update_metrics();
        let slot = ConnectionSlot { slots: self.clone(), id, evicted };
        if matches!(admission, Admission::Replaces { .. }) {
            tokio::task::yield_now().await;
        }
        Some(slot)
    }

    fn evict(&self, id: ConnectionId) {
        if let Some(evicted) = self.evictions.borrow_mut().remove(&id) {
            evicted.notify_one();
        }
        if let Some(memory) = &self.memory {
            memory.remove_connection();
        }
        self.log("evicted");
    }

    fn log(&self, event: &'static str) {
        self.metrics.clients.record_connection(self.listener, event);
        if crate::log::allow_connection_line() {
            let limit = self.table.borrow().limit() as u64;
            warn!("[clients] a connection was closed for want of room", kv: { listener = self.listener, event, limit });
        }
    }

    fn update_metrics(&self) {
        self.metrics.clients.set_connections(self.listener, self.table.borrow().len());
    }
}

/// The slot of an open connection.
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    id: ConnectionId,
    evicted: Rc<Notify>,
}

impl ConnectionSlot {
    /// Records what the connection does now.
    pub fn set_activity(&self, activity: Activity) {
        self.slots.table.borrow_mut().set_activity(self.id, activity);
    }

    /// Runs the work of the connection until it ends, or until the connection yields to another one.
    pub async fn run(&self, work: impl Future<Output = ()>) {
        tokio::select! {
            biased;
            () = self.evicted.notified() => {}
            () = work => {}
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.evictions.borrow_mut().remove(&self.id);
        let was_counted = self.slots.table.borrow_mut().remove(self.id);
        if let Some(memory) = self.slots.memory.as_ref().filter(|_| was_counted) {
            memory.remove_connection();
        }
        self.slots.update_metrics();
    }
}
