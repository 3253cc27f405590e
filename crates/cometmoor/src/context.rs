//! What all threads of a node share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use cometmoor_core::membership::{Member, MemberState};

use crate::clock::Clock;
use crate::control::snapshot::Published;
use crate::settings::Settings;
use crate::telemetry::metrics::Metrics;
use crate::telemetry::traces::{TraceError, Tracing};
use crate::traffic::body_memory::{BodyMemory, HeldBody};
use crate::traffic::dispatcher::Dispatcher;
use crate::traffic::keys::KeyRegistry;

/// State shared by the control thread and the traffic threads.
pub struct NodeContext {
    /// Checked settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// Tells this process from earlier ones of the same name.
    pub incarnation: u64,
    /// State published by the control thread.
    pub published: Published,
    /// Slots and queues.
    pub dispatcher: Arc<Dispatcher>,
    /// Memory for callers' bodies.
    pub body_memory: Arc<BodyMemory>,
    /// Idempotency keys.
    pub keys: KeyRegistry,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Traces.
    pub tracing: Tracing,
    draining: AtomicBool,
    in_progress: Arc<AtomicUsize>,
}

impl NodeContext {
    /// The context of a node that starts now.
    pub fn new(settings: Settings, incarnation: u64) -> Result<NodeContext, TraceError> {
        let clock = Clock::start();
        let own = own_member(&settings, incarnation);
        Ok(NodeContext {
            metrics: Arc::default(),
            tracing: Tracing::start(&settings)?,
            clock,
            incarnation,
            published: Published::new(own),
            dispatcher: Arc::new(Dispatcher::new(&settings, clock)),
            body_memory: Arc::new(BodyMemory::new(settings.limits.client_memory_bytes)),
            keys: KeyRegistry::new(&settings, incarnation, clock),
            draining: AtomicBool::new(false),
            in_progress: Arc::default(),
            settings,
        })
    }

    /// Whether the node is on its way out.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts the node's way out.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        RequestGuard { in_progress: self.in_progress.clone(), body: None }
    }

    /// Whether callers can be served: there is a configuration and it may be
    /// served. A draining node still serves, but is not ready for new callers.
    pub fn may_serve(&self) -> bool {
        let snapshot = self.published.load();
        snapshot.generation > 0 && snapshot.freshness.may_serve()
    }
}

/// Counts one request in progress, and holds the memory of its body.
pub struct RequestGuard {
    in_progress: Arc<AtomicUsize>,
    body: Option<Arc<HeldBody>>,
}

impl RequestGuard {
    /// Holds the memory of the request's body until the guard is dropped.
    pub fn hold_body(&mut self, body: Arc<HeldBody>) {
        self.body = Some(body);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The entry of this node in the membership.
pub fn own_member(settings: &Settings, incarnation: u64) -> Member {
    Member {
        name: settings.node.clone(),
        incarnation,
        version: 1,
        state: MemberState::Alive,
        client_address: settings.client_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        adopted: Vec::new(),
    }
}
