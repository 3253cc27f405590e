//! Tracks the orders sent to a server, and the weights that it holds or may hold because of them.
//!
//! A server counts the orders that it accepts, and each order carries the count that it expects,
//! so at most one order is accepted for each count. If an order gets no answer, the same order
//! is sent again with the same count until a report shows that the count has increased. A copy
//! that arrives late finds a different count and has no effect. No other order is sent in the
//! meantime, so a server's memory is never allocated twice.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::time::Timestamp;

/// A model, or an adapter of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Weights {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    pub adapter: Option<String>,
}

impl Weights {
    /// The weights of a model.
    pub fn model(name: &str) -> Weights {
        Weights { model: name.to_owned(), adapter: None }
    }

    /// The weights of an adapter of a model.
    pub fn adapter(model: &str, adapter: &str) -> Weights {
        Weights { model: model.to_owned(), adapter: Some(adapter.to_owned()) }
    }
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Loads weights into accelerator memory.
    Load,
    /// Removes weights from accelerator memory.
    Unload,
}

/// An order to load or unload weights on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// Whether to load or to unload.
    pub action: Action,
    /// The weights to load or unload.
    pub weights: Weights,
}

impl ServerOrder {
    /// Whether it loads an adapter.
    pub fn loads_adapter(&self) -> bool {
        self.action == Action::Load && self.weights.adapter.is_some()
    }

    /// Whether it unloads an adapter.
    pub fn unloads_adapter(&self) -> bool {
        self.action == Action::Unload && self.weights.adapter.is_some()
    }
}

/// An order that was sent and is not known to be completed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenOrder {
    order: ServerOrder,
    expected_count: u64,
    /// Expected time for which the server is busy with it.
    expected_duration: Duration,
    /// Expected completion of an accepted order; `None` until it is accepted.
    expected_end: Option<Timestamp>,
}

/// A server's report of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Number of orders that it has accepted.
    pub count: u64,
    /// Whether it is executing an order.
    pub busy: bool,
    /// Weights that it holds, including adapters that are being loaded.
    pub held: BTreeSet<Weights>,
}

/// Time since the last answer after which a registry entry that disagrees with the ledger is
/// resolved by a report.
const REGISTRY_LAG: Duration = Duration::from_secs(3);
/// Time since the last answer within which a report or a registry entry may be older than the
/// answer.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// Interval between requests for a report on an order that takes longer than expected.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The leader's record of one incarnation of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerLedger {
    count: Option<u64>,
    open: Option<OpenOrder>,
    held: BTreeSet<Weights>,
    last_answer: Option<Timestamp>,
    needs_report: bool,
}

/// What the leader has to do next for a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Request a report, because the count or the outcome of an order is unknown.
    RequestReport,
    /// Send an order again because its answer was lost.
    Resend {
        /// The order.
        order: ServerOrder,
        /// The count that the order expects.
        expected_count: u64,
    },
    /// Wait while the server executes an order.
    Wait,
    /// A new order can be sent, with this expected count.
    Idle {
        /// The count that the next order expects.
        expected_count: u64,
    },
}

impl ServerLedger {
    /// The next step at `now`.
    pub fn next_step(&self, now: Timestamp) -> NextStep {
        if self.needs_report {
            return NextStep::RequestReport;
        }
        match (&self.open, self.count) {
            (None, None) => NextStep::RequestReport,
            (None, Some(expected_count)) => NextStep::Idle { expected_count },
            (Some(open), _) => match open.expected_end {
                Some(end) if now >= end => NextStep::RequestReport,
                Some(_) => NextStep::Wait,
                None => NextStep::Resend {
                    order: open.order.clone(),
                    expected_count: open.expected_count,
                },
            },
        }
    }

    /// Records that an order is sent for the first time. The server is expected to be busy with
    /// it for `expected_duration`.
    pub fn record_sent(
        &mut self,
        order: &ServerOrder,
        expected_count: u64,
        expected_duration: Duration,
    ) {
        let order = order.clone();
        self.open =
            Some(OpenOrder { order, expected_count, expected_duration, expected_end: None });
    }

    /// Records that the server accepted the order. An adapter occupies its memory as soon as its
    /// load is accepted, so that order counts as completed.
    pub fn record_accepted(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        let Some(open) = &mut self.open else { return };
        open.expected_end = Some(now + open.expected_duration);
        self.count = Some(open.expected_count + 1);
        if open.order.loads_adapter() {
            self.finish_open();
        }
    }

    /// Records that the server reported the order as already done. A server also reports this if
    /// it removes an unused adapter at once; it counts that order.
    pub fn record_already_done(&mut self, now: Timestamp) {
        self.last_answer = Some(now);
        if let Some(open) = self.open.take_if(|open| open.order.unloads_adapter()) {
            self.count = Some(open.expected_count + 1);
            self.held.remove(&open.order.weights);
            return;
        }
        self.finish_open();
        self.count = None;
        self.needs_report = true;
    }

    /// Records that the order was refused or that its answer was lost. Only a report shows whether
    /// the order, or an earlier copy of it, was accepted.
    pub fn record_unknown_outcome(&mut self) {
        self.needs_report = true;
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

    /// Applies a report that was requested at `requested_at`. A report that may be older than the
    /// last answer is ignored; one with at least the count that followed from the last answer is
    /// newer than it.
    pub fn record_report(&mut self, report: ServerReport, requested_at: Timestamp) {
        let is_stale = match self.count {
            Some(count) => report.count < count,
            None => self.last_answer.is_some_and(|answer| requested_at.since(answer) < REPORT_LAG),
        };
        if is_stale {
            return;
        }
        let accepted = self.open.as_ref().is_some_and(|open| report.count > open.expected_count);
        if report.busy && !accepted {
            // The server executes an order of another sender, whose effect is unknown.
            self.count = None;
            self.needs_report = true;
            return;
        }
        self.needs_report = false;
        self.count = Some(report.count);
        if report.busy {
            self.mark_accepted(accepted, requested_at);
            return;
        }
        if accepted {
            self.open = None;
        }
        self.held = report.held;
    }

    fn mark_accepted(&mut self, accepted: bool, now: Timestamp) {
        if let Some(open) = self.open.as_mut().filter(|_| accepted) {
            open.expected_end = Some(now + REPORT_POLL_INTERVAL);
        }
    }

    /// Applies the models that the server holds according to the registry, unless the entry may
    /// be older than the last answer.
    pub fn record_registry(&mut self, models: &BTreeSet<String>, now: Timestamp) {
        if self.last_answer.is_some_and(|answer| now.since(answer) < REPORT_LAG) {
            return;
        }
        let finished = self.open.as_ref().is_some_and(|open| {
            let is_present = models.contains(&open.order.weights.model);
            open.expected_end.is_some() && is_present == (open.order.action == Action::Load)
        });
        if finished {
            self.finish_open();
        }
        let differs = self.open.is_none() && self.count.is_some() && !self.matches_registry(models);
        let settled = self.last_answer.is_none_or(|answer| now.since(answer) > REGISTRY_LAG);
        self.needs_report |= differs && settled;
    }

    fn matches_registry(&self, models: &BTreeSet<String>) -> bool {
        let own = self.held.iter().filter(|held| held.adapter.is_none()).map(|held| &held.model);
        own.eq(models.iter())
    }

    /// Weights that the server is known to hold.
    pub fn held(&self) -> &BTreeSet<Weights> {
        &self.held
    }

    /// Weights that the server holds or may hold: the load of an open order is included, and the
    /// weights of an open unload are not removed.
    pub fn reserved(&self) -> BTreeSet<Weights> {
        let mut reserved = self.held.clone();
        if let Some(open) = &self.open
            && open.order.action == Action::Load
        {
            reserved.insert(open.order.weights.clone());
        }
        reserved
    }

    /// Expected time until the open order is completed; zero if there is none.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        let Some(open) = &self.open else { return Duration::ZERO };
        open.expected_end.map_or(open.expected_duration, |end| end.since(now))
    }

    /// The open order, if there is one.
    pub fn open_order(&self) -> Option<&ServerOrder> {
        self.open.as_ref().map(|open| &open.order)
    }

    /// Whether the server's count, and therefore what it holds, is known.
    pub fn is_known(&self) -> bool {
        self.count.is_some()
    }
}
