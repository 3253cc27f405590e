//! The dispatch queue of a traffic thread: wakes its waiting requests in their order.
//!
//! One task drives the queue while requests wait. It starts a round when load has gone from a
//! server, and at an interval, because models, servers and the load from other nodes change as
//! well. Within a round the requests pass the turn on to each other.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::admission::QUEUE_POLL_INTERVAL;
use cometmoor_core::gateway::dispatch_queue::{
    DispatchQueue, Entry, GroupKey, QueuedRequest, RetrySpread, Ticket,
};
use cometmoor_core::gateway::quarantine::Fingerprint;
use cometmoor_core::time::BootInstant;
use tokio::sync::Notify;

use super::queue_log::QueueLog;
use crate::clock;
use crate::load::LoadBoard;
use crate::metrics::{Metrics, StateLabels};
use crate::published::Board;

/// Shortest pause between two rounds.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause between two rounds. With the round and the wait for a change it stays within the
/// window in which a request has its final turn.
const MAX_ROUND_PAUSE: Duration = QUEUE_POLL_INTERVAL;
/// Multiple of a round's duration for which the next one is delayed, up to the longest pause, so
/// that short rounds take at most a quarter of the thread's time.
const ROUND_PAUSE_FACTOR: u32 = 3;
/// Time before the end of a wait at which a round is started for its final turn.
const FINAL_ROUND_LEAD: Duration = Duration::from_millis(10);
/// Time before the deadline of a shutdown at which all waits end, so that the refusals are sent.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(150);

/// What happens to a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueEvent {
    /// It may select a server now.
    Turn {
        /// Whether this is the last time.
        is_final: bool,
    },
    /// Its wait has ended.
    Ended,
    /// It had to leave because the queue is full.
    Displaced,
}

/// How a wait has ended, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitOutcome {
    Sent,
    Refused,
    /// The caller has left.
    Left,
}

impl WaitOutcome {
    fn name(self) -> &'static str {
        match self {
            WaitOutcome::Sent => "sent",
            WaitOutcome::Refused => "refused",
            WaitOutcome::Left => "left",
        }
    }
}

#[derive(Debug, Default)]
struct Waiter {
    event: Cell<Option<QueueEvent>>,
    changed: Notify,
}

impl Waiter {
    fn wake(&self, event: QueueEvent) {
        self.event.set(Some(event));
        self.changed.notify_one();
    }
}

/// The dispatch queue of a traffic thread.
pub struct DispatchBoard {
    queue: RefCell<DispatchQueue>,
    spread: RefCell<RetrySpread>,
    waiters: RefCell<HashMap<Ticket, Rc<Waiter>>>,
    log: RefCell<QueueLog>,
    is_driven: Cell<bool>,
    round_ended: Notify,
    loads: LoadBoard,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl DispatchBoard {
    /// Creates an empty queue.
    pub fn new(loads: LoadBoard, board: Arc<Board>, metrics: Arc<Metrics>) -> DispatchBoard {
        DispatchBoard {
            queue: RefCell::default(),
            spread: RefCell::default(),
            waiters: RefCell::default(),
            log: RefCell::default(),
            is_driven: Cell::new(false),
            round_ended: Notify::new(),
            loads,
            board,
            metrics,
        }
    }

    pub(super) fn has_waiting(&self, group: GroupKey) -> bool {
        self.queue.borrow().has_waiting(group)
    }

    /// Adds a request to the queue; `None` if the queue is full.
    pub(super) fn enter(self: &Rc<Self>, request: QueuedRequest) -> Option<QueuePlace> {
        let now = clock::now();
        let Entry::Waiting { ticket, displaced } = self.queue.borrow_mut().enter(request, now)
        else {
            return None;
        };
        if let Some(displaced) = displaced {
            self.wake(displaced, QueueEvent::Displaced);
        }
        let waiter = Rc::new(Waiter::default());
        self.waiters.borrow_mut().insert(ticket, waiter.clone());
        self.update_length();
        if !self.is_driven.replace(true) {
            actix_rt::spawn(drive(self.clone()));
        }
        let outcome = Cell::new(WaitOutcome::Left);
        Some(QueuePlace { board: self.clone(), ticket, waiter, entered_at: now, outcome })
    }

    /// Charges the tenant of a request that is sent without having waited.
    pub(super) fn charge(&self, priority: u8, tenant: &str, tokens: Option<u64>) {
        self.queue.borrow_mut().charge(priority, &tenant.into(), tokens, clock::now());
    }

    /// Gives the requests of some groups a turn now.
    pub(super) fn start_group_rounds(&self, groups: impl IntoIterator<Item = GroupKey>) {
        let mut queue = self.queue.borrow_mut();
        groups.into_iter().for_each(|group| queue.start_group_round(group));
        drop(queue);
        self.advance();
    }

    /// Records a refusal, and returns the retry delay that spreads the retries.
    pub(super) fn refused(
        &self,
        content: Fingerprint,
        group: GroupKey,
        retry_after: Duration,
        interval: Duration,
    ) -> Duration {
        let now = clock::now();
        self.queue.borrow_mut().record_refusal(content, now);
        self.spread.borrow_mut().delay(group, retry_after, interval, now)
    }

    fn wake(&self, ticket: Ticket, event: QueueEvent) {
        if let Some(waiter) = self.waiters.borrow().get(&ticket) {
            waiter.wake(event);
        }
    }

    /// Wakes the request that has the next turn, unless another one still has its own.
    fn advance(&self) {
        let turn = self.queue.borrow_mut().next_turn(clock::now());
        if let Some(turn) = turn {
            self.wake(turn.ticket, QueueEvent::Turn { is_final: turn.is_final });
        }
        if !self.queue.borrow().is_in_round() {
            self.round_ended.notify_one();
        }
    }

    fn update_length(&self) {
        let length = self.queue.borrow().len();
        self.metrics.queue_length.set(i64::try_from(length).unwrap_or(i64::MAX));
    }

    /// Ends the waits that are over, and starts a round.
    fn start_round(&self, now: BootInstant) {
        let shutdown = self.board.fleet.load().shutdown;
        let stops = shutdown.is_some_and(|times| now + SHUTDOWN_MARGIN >= times.deadline);
        let ended = match stops {
            true => self.queue.borrow_mut().take_all(),
            false => self.queue.borrow_mut().take_ended(now),
        };
        ended.iter().for_each(|ticket| self.wake(*ticket, QueueEvent::Ended));
        self.log.borrow_mut().observe(&self.queue.borrow(), now);
        self.queue.borrow_mut().start_round();
        self.advance();
    }

    /// Waits until load has gone from a server, a wait is about to end, or the interval has passed.
    async fn wait_for_change(&self) {
        let now = clock::now();
        let next_end = self.queue.borrow().next_end();
        let final_turn = next_end.and_then(|end| end.checked_sub(FINAL_ROUND_LEAD));
        let due = now + QUEUE_POLL_INTERVAL;
        let due = final_turn.filter(|at| *at > now).map_or(due, |at| at.min(due));
        let _ = clock::timeout_at(due, self.loads.load_reduced().notified()).await;
    }

    async fn wait_for_round_end(&self) {
        while self.queue.borrow().is_in_round() {
            self.round_ended.notified().await;
        }
    }
}

/// Drives the queue until it is empty.
async fn drive(board: Rc<DispatchBoard>) {
    while !board.queue.borrow().is_empty() {
        board.wait_for_change().await;
        let started = clock::now();
        board.start_round(started);
        board.wait_for_round_end().await;
        let pause = clock::elapsed(started) * ROUND_PAUSE_FACTOR;
        clock::sleep(pause.clamp(MIN_ROUND_PAUSE, MAX_ROUND_PAUSE)).await;
    }
    board.log.borrow_mut().end(clock::now());
    board.is_driven.set(false);
}

/// The place of a request in the queue, which is free once this is dropped.
pub(super) struct QueuePlace {
    board: Rc<DispatchBoard>,
    ticket: Ticket,
    waiter: Rc<Waiter>,
    entered_at: BootInstant,
    outcome: Cell<WaitOutcome>,
}

impl QueuePlace {
    /// Waits for what happens to the request next. An answer is due to a turn: [`Self::decline`],
    /// [`Self::grant`] or dropping the place.
    pub(super) async fn next_event(&self) -> QueueEvent {
        loop {
            if let Some(event) = self.waiter.event.take() {
                return event;
            }
            self.waiter.changed.notified().await;
        }
    }

    /// Passes the turn on, because no server can take the request.
    pub(super) fn decline(&self) {
        self.board.queue.borrow_mut().decline(self.ticket);
        self.board.advance();
    }

    /// Takes the request out of the queue to be sent; false if its wait has ended meanwhile.
    pub(super) fn grant(&self) -> bool {
        self.board.queue.borrow_mut().grant(self.ticket, clock::now())
    }

    /// Frees the place, with how the wait has ended. The next request gets its turn.
    pub(super) fn finish(self, outcome: WaitOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let board = &self.board;
        board.queue.borrow_mut().leave(self.ticket);
        board.waiters.borrow_mut().remove(&self.ticket);
        let outcome = self.outcome.get();
        board.log.borrow_mut().count(outcome);
        let waits = board.metrics.queue_waits.get_or_create(&StateLabels { state: outcome.name() });
        waits.observe(clock::elapsed(self.entered_at).as_secs_f64());
        board.update_length();
        board.advance();
    }
}
