//! Hands out the slots on the engines to the requests of all traffic threads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cometmoor_core::admission::{
    Admission, AdmissionLimits, AdmissionRequest, Arrival, Decision, Shed, ShedReason, Slot, Ticket,
};
use cometmoor_core::retry::RetryBudget;
use cometmoor_core::routing::{PowerOfTwoChoices, RouteTable};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::settings::Settings;

/// Retries that may be saved up.
const MAX_SAVED_RETRIES: f64 = 20.0;

type Verdict = Result<Slot, Shed>;

struct State {
    admission: Admission<PowerOfTwoChoices>,
    waiters: HashMap<Ticket, oneshot::Sender<Verdict>>,
    retries: RetryBudget,
}

/// Slots, queues and the retry budget of one node.
pub struct Dispatcher {
    clock: Clock,
    state: Mutex<State>,
}

/// How an attempt at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The engine answered as it should.
    Success,
    /// The engine failed.
    Failure,
    /// The engine said that it is leaving.
    Leaving,
    /// The attempt told nothing of the engine.
    Abandoned,
}

impl Dispatcher {
    /// A dispatcher without routes.
    pub fn new(settings: &Settings, clock: Clock) -> Dispatcher {
        let limits = AdmissionLimits {
            waiting_per_model: settings.limits.waiting_per_model,
            waiting_per_group: settings.limits.waiting_per_group,
            max_report_age: settings.timing.max_report_age(),
        };
        let state = State {
            admission: Admission::new(limits, &settings.zone, PowerOfTwoChoices),
            waiters: HashMap::new(),
            retries: RetryBudget::new(settings.limits.retry_share, MAX_SAVED_RETRIES),
        };
        Dispatcher { clock, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes new routes into use.
    pub fn update_routes(&self, routes: Arc<RouteTable>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let decisions = state.admission.update_routes(routes, now, &mut rand::rng());
        state.announce(decisions, self);
    }

    /// Waits for a slot until the request's deadline.
    pub async fn acquire(self: &Arc<Self>, request: AdmissionRequest) -> Result<SlotGuard, Shed> {
        let deadline = request.deadline;
        let now = self.clock.now();
        let (ticket, receiver) = {
            let mut state = self.lock();
            let (arrival, decisions) = state.admission.submit(request, now, &mut rand::rng());
            state.announce(decisions, self);
            match arrival {
                Arrival::Dispatched(slot) => return Ok(SlotGuard::new(self.clone(), slot)),
                Arrival::Shed(shed) => return Err(shed),
                Arrival::Waiting(ticket) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(ticket, sender);
                    (ticket, receiver)
                }
            }
        };
        let mut waiting = WaitingGuard { dispatcher: self.clone(), ticket, receiver };
        let verdict = tokio::time::timeout(deadline.since(now), &mut waiting.receiver).await;
        match verdict {
            Ok(Ok(verdict)) => verdict.map(|slot| SlotGuard::new(self.clone(), slot)),
            _ => Err(Shed {
                reason: ShedReason::DeadlineTooClose,
                retry_after: deadline.since(now).max(Duration::from_millis(1)),
            }),
        }
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lock().admission.waiting()
    }

    /// Counts a request's first attempt towards the retry budget.
    pub fn record_request(&self) {
        self.lock().retries.record_request();
    }

    /// Takes a retry from the budget.
    pub fn try_retry(&self) -> bool {
        self.lock().retries.try_retry()
    }

    fn note_end(&self, engine: &str, end: AttemptEnd) {
        let now = self.clock.now();
        let mut state = self.lock();
        match end {
            AttemptEnd::Success => state.admission.breaker(engine).record_success(),
            AttemptEnd::Failure => state.admission.breaker(engine).record_failure(now),
            AttemptEnd::Abandoned => state.admission.breaker(engine).record_abandoned(),
            AttemptEnd::Leaving => state.admission.mark_leaving(engine),
        }
    }

    fn release(&self, slot: &Slot) {
        let now = self.clock.now();
        let mut state = self.lock();
        let decisions = state.admission.release(slot, now, &mut rand::rng());
        state.announce(decisions, self);
    }
}

impl State {
    /// Tells the waiting requests what was decided. A slot for a request that
    /// has gone away goes to the next one.
    fn announce(&mut self, decisions: Vec<Decision>, dispatcher: &Dispatcher) {
        let mut pending = decisions;
        while let Some(decision) = pending.pop() {
            let (ticket, verdict) = match decision {
                Decision::Dispatched(ticket, slot) => (ticket, Ok(slot)),
                Decision::Shed(ticket, shed) => (ticket, Err(shed)),
            };
            let undelivered = match self.waiters.remove(&ticket) {
                Some(sender) => sender.send(verdict).err(),
                None => Some(verdict),
            };
            if let Some(Ok(slot)) = undelivered {
                let now = dispatcher.clock.now();
                pending.extend(self.admission.release(&slot, now, &mut rand::rng()));
            }
        }
    }
}

/// Takes a request out of the queue when its caller goes away, and gives back
/// a slot that arrived at that moment.
struct WaitingGuard {
    dispatcher: Arc<Dispatcher>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Verdict>,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        state.waiters.remove(&self.ticket);
        state.admission.cancel(self.ticket);
        self.receiver.close();
        if let Ok(Ok(slot)) = self.receiver.try_recv() {
            let now = self.dispatcher.clock.now();
            let decisions = state.admission.release(&slot, now, &mut rand::rng());
            state.announce(decisions, &self.dispatcher);
        }
    }
}

/// A slot on an engine, given back when it is dropped.
pub struct SlotGuard {
    dispatcher: Arc<Dispatcher>,
    slot: Slot,
    ended: bool,
}

impl SlotGuard {
    fn new(dispatcher: Arc<Dispatcher>, slot: Slot) -> SlotGuard {
        SlotGuard { dispatcher, slot, ended: false }
    }

    /// The engine and the artifact to ask it for.
    pub fn slot(&self) -> &Slot {
        &self.slot
    }

    /// Notes how the attempt went.
    pub fn note_end(&mut self, end: AttemptEnd) {
        self.ended = true;
        self.dispatcher.note_end(&self.slot.engine.name, end);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.note_end(AttemptEnd::Abandoned);
        }
        self.dispatcher.release(&self.slot);
    }
}
