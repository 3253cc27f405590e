//! What a server holds and may come to hold by the orders it was sent.
//!
//! A server counts the orders that it takes, and each order names the count
//! that it expects. So one order at most follows a count: where an order has no
//! answer, the same order is sent again with the same count until a report
//! tells that the count has moved on. A copy of it that is carried out late
//! finds another count and has no effect. Nothing else is ordered meanwhile, so
//! that a server's memory is never promised twice.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Timestamp;

/// A model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Weights {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; none for the model itself.
    pub adapter: Option<String>,
}

impl Weights {
    /// A model.
    pub fn model(name: &str) -> Weights {
        Weights { model: name.to_owned(), adapter: None }
    }

    /// An adapter.
    pub fn adapter(model: &str, adapter: &str) -> Weights {
        Weights { model: model.to_owned(), adapter: Some(adapter.to_owned()) }
    }
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Brings weights into the accelerators' memory.
    Load,
    /// Takes them out.
    Unload,
}

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// What it does.
    pub action: Action,
    /// To what.
    pub weights: Weights,
}

impl ServerOrder {
    /// Whether it brings in an adapter.
    pub fn loads_adapter(&self) -> bool {
        self.action == Action::Load && self.weights.adapter.is_some()
    }

    /// Whether it takes out an adapter.
    pub fn unloads_adapter(&self) -> bool {
        self.action == Action::Unload && self.weights.adapter.is_some()
    }
}

/// An order that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Open {
    order: ServerOrder,
    expected_count: u64,
    /// How long the server is likely to be busy with it.
    takes: Duration,
    /// When an accepted order is likely to be done; none before it is accepted.
    due: Option<Timestamp>,
}

/// What a server tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Orders that it has taken.
    pub count: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// What it holds, adapters under way included.
    pub held: BTreeSet<Weights>,
}

/// Time after which what the registry tells must agree with the last answer.
const REGISTRY_LAG: Duration = Duration::from_secs(3);
/// Time for which a report or an entry may be older than an order's answer.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Time between two questions about an order that takes longer than expected.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(200);

/// One incarnation of a server, as the leader knows it.
#[derive(Clone, Debug, Default)]
pub struct ServerLedger {
    count: Option<u64>,
    open: Option<Open>,
    held: BTreeSet<Weights>,
    last_answer: Option<Timestamp>,
    wants_report: bool,
}

/// What to do with a server next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Its count is not known, or an order is in doubt: ask it.
    RequestReport,
    /// Send an order again whose answer was lost.
    Resend {
        /// The order.
        order: ServerOrder,
        /// The count that it expects.
        expected_count: u64,
    },
    /// It carries out an order.
    Wait,
    /// It can be ordered, with this expected count.
    Idle {
        /// The count that the next order expects.
        expected_count: u64,
    },
}

impl ServerLedger {
    /// What to do next.
    pub fn next_step(&self, now: Timestamp) -> NextStep {
        if self.wants_report {
            return NextStep::RequestReport;
        }
        match (&self.open, self.count) {
            (None, None) => NextStep::RequestReport,
            (None, Some(expected_count)) => NextStep::Idle { expected_count },
            (Some(open), _) => match open.due {
                Some(due) if now >= due => NextStep::RequestReport,
                Some(_) => NextStep::Wait,
                None => NextStep::Resend {
                    order: open.order.clone(),
                    expected_count: open.expected_count,
                },
            },
        }
    }

    /// Notes that an order is sent for the first time. The server is likely to
    /// be busy with it for as long as it `takes`.
    pub fn record_sent(&mut self, order: &ServerOrder, expected_count: u64, takes: Duration) {
        let order = order.clone();
        self.open = Some(Open { order, expected_count, takes, due: None });
    }

    /// Notes that the server took the order. Adapters that come are there at
    /// once, as far as memory is concerned.
    pub fn record_accepted(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        let Some(open) = &mut self.open else { return };
        open.due = Some(now + open.takes);
        self.count = Some(open.expected_count + 1);
        if open.order.loads_adapter() {
            self.finish_open();
        }
    }

    /// Notes that the order is done already. A server that takes an unused
    /// adapter out at once says so too, and counts that order.
    pub fn record_already_done(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        if let Some(open) = self.open.take_if(|open| open.order.unloads_adapter()) {
            self.count = Some(open.expected_count + 1);
            self.held.remove(&open.order.weights);
            return;
        }
        self.finish_open();
        self.count = None;
        self.wants_report = true;
    }

    /// Notes that the order was refused, or that its answer was lost: only a
    /// report tells whether it, or an earlier copy of it, was taken.
    pub fn record_unknown_outcome(&mut self) {
        self.wants_report = true;
    }

    fn finish_open(&mut self) {
        let Some(open) = self.open.take() else { return };
        match open.order.action {
            Action::Load => {
                self.held.insert(open.order.weights);
            }
            Action::Unload => self.remove(&open.order.weights),
        }
    }

    fn remove(&mut self, weights: &Weights) {
        if weights.adapter.is_some() {
            self.held.remove(weights);
        } else {
            self.held.retain(|held| held.model != weights.model);
        }
    }

    /// Takes a report that was asked for. `asked` is when the question was
    /// sent: a report that may be older than the last answer is not believed. A
    /// report with the count that the last answer led to is newer than it.
    pub fn record_report(&mut self, report: ServerReport, asked: Timestamp) {
        let is_old = match self.count {
            Some(count) => report.count < count,
            None => self.last_answer.is_some_and(|answer| asked.since(answer) < REPORT_LAG),
        };
        if is_old {
            return;
        }
        let taken = self.open.as_ref().is_some_and(|open| report.count > open.expected_count);
        if report.busy && !taken {
            // Somebody else's order is under way; what it leads to is not known.
            self.count = None;
            self.wants_report = true;
            return;
        }
        self.wants_report = false;
        self.count = Some(report.count);
        if report.busy {
            self.mark_accepted(taken, asked);
            return;
        }
        if taken {
            self.open = None;
        }
        self.held = report.held;
    }

    fn mark_accepted(&mut self, taken: bool, now: Timestamp) {
        if let Some(open) = self.open.as_mut().filter(|_| taken) {
            open.due = Some(now + ASK_AGAIN_AFTER);
        }
    }

    /// Takes what the registry tells of the models that the server holds,
    /// unless it may be older than the last answer.
    pub fn record_registry(&mut self, models: &BTreeSet<String>, now: Timestamp) {
        if self.last_answer.is_some_and(|answer| now.since(answer) < REPORT_LAG) {
            return;
        }
        let finished = self.open.as_ref().is_some_and(|open| {
            let there = models.contains(&open.order.weights.model);
            open.due.is_some() && there == (open.order.action == Action::Load)
        });
        if finished {
            self.finish_open();
        }
        let differs = self.open.is_none() && self.count.is_some() && !self.agrees(models);
        let settled = self.last_answer.is_none_or(|answer| now.since(answer) > REGISTRY_LAG);
        self.wants_report |= differs && settled;
    }

    fn agrees(&self, models: &BTreeSet<String>) -> bool {
        let own = self.held.iter().filter(|held| held.adapter.is_none()).map(|held| &held.model);
        own.eq(models.iter())
    }

    /// What the server holds for certain.
    pub fn held(&self) -> &BTreeSet<Weights> {
        &self.held
    }

    /// What it holds or may come to hold: loads that are open count, unloads
    /// that are open do not.
    pub fn reserved(&self) -> BTreeSet<Weights> {
        let mut reserved = self.held.clone();
        if let Some(open) = &self.open
            && open.order.action == Action::Load
        {
            reserved.insert(open.order.weights.clone());
        }
        reserved
    }

    /// Time until the open order is likely to be done.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        let Some(open) = &self.open else { return Duration::ZERO };
        open.due.map_or(open.takes, |due| due.since(now))
    }

    /// The order that is open.
    pub fn open_order(&self) -> Option<&ServerOrder> {
        self.open.as_ref().map(|open| &open.order)
    }

    /// Whether a report has told what the server holds.
    pub fn is_known(&self) -> bool {
        self.count.is_some()
    }
}
