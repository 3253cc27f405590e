//! Reports and orders on their way to servers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::{Action, ServerOrder, Weights};
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};

use super::engine::{note_accepted, server_report};
use super::{Leader, ORDER_TIMEOUT};
use crate::clock;
use crate::dialect::{EngineReport, ModelName, Order, OrderAnswer, OrderKind};
use crate::http::client::{Answer, CallClient, CallError};

/// Time that a server takes to bring in an adapter.
const ADAPTER_TAKES: Duration = Duration::from_millis(25);

impl Leader {
    /// Tells all nodes that a server has got weights.
    fn announce(&self, server: &Arc<str>, weights: &Weights) {
        let now = self.now();
        self.state.borrow_mut().announcements.came(server, weights, now);
    }

    /// Asks a server for its state.
    pub(super) fn spawn_report(self: &Rc<Leader>, id: Arc<str>) {
        let Some((client, server)) = self.begin_call(&id) else { return };
        let leader = self.clone();
        actix_rt::spawn(async move {
            let asked = leader.now();
            let call = leader.context.dialect.report(&server);
            let result = client.call(&call, ORDER_TIMEOUT).await;
            leader.note_leaving(&id, result.as_ref().ok());
            let report = result.map_err(|error| error.to_string()).and_then(|answer| {
                leader.context.dialect.parse_report(&answer).map_err(|error| error.to_string())
            });
            leader.take_report(&id, report, asked);
            leader.context.plan_wanted.notify_one();
        });
    }

    /// Notes that an incarnation is being called; tells its connections, and the
    /// identifier by which it is addressed.
    fn begin_call(&self, id: &Arc<str>) -> Option<(Rc<CallClient>, Arc<str>)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let engine = state.engines.get_mut(id)?;
        engine.calling = true;
        engine.asked = Some(now);
        Some((engine.client.clone(), engine.record.id.clone()))
    }

    /// Takes that a server is leaving from its answer to a call. Whether it has a limit is told
    /// by answers to requests only.
    fn note_leaving(&self, incarnation: &str, answer: Option<&Answer>) {
        let facts = answer.map(|answer| self.context.dialect.answer_facts(&answer.head));
        if facts.and_then(|facts| facts.signals).is_some_and(|signals| signals.is_leaving) {
            self.context.signals.note_leaving(incarnation, &self.context.settings.node);
        }
    }

    fn take_report(&self, id: &Arc<str>, report: Result<EngineReport, String>, asked: Timestamp) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(engine) = state.engines.get_mut(id) else { return };
        engine.calling = false;
        match report {
            Ok(report) if engine.is_of_another_life(&report) => {
                engine.note_other_life(&report);
                let (server, born) = (&**id, report.started_unix_ms.unwrap_or_default());
                warn!("[leader] a report is of another life of the server", kv: { step = "report", server, born });
            }
            Ok(report) => {
                engine.in_host_memory = report.in_host_memory.iter().cloned().collect();
                engine.on_disk = report.on_disk.iter().cloned().collect();
                let loading = engine.loading();
                engine.ledger.record_report(server_report(&report), asked);
                if let Some(weights) = loading.filter(|weights| engine.holds(weights)) {
                    state.announcements.came(id, &weights, asked);
                }
            }
            Err(reason) => {
                let server = &**id;
                warn!("[leader] a server did not tell its state", kv: { step = "report", server, reason });
            }
        }
    }

    /// Sends an order that is likely to keep the server busy for as long as it
    /// `takes`.
    pub(super) fn first_order(
        self: &Rc<Leader>,
        id: Arc<str>,
        order: ServerOrder,
        expected_count: u64,
        takes: Duration,
        token: u64,
    ) {
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(&id) {
            engine.ledger.record_sent(&order, expected_count, takes);
        }
        self.repeat_order(id, order, expected_count, token);
    }

    /// Sends an order that the ledger has noted.
    pub(super) fn repeat_order(
        self: &Rc<Leader>,
        id: Arc<str>,
        order: ServerOrder,
        expected_count: u64,
        token: u64,
    ) {
        let Some((client, server)) = self.begin_call(&id) else { return };
        let leader = self.clone();
        actix_rt::spawn(async move {
            let result =
                leader.send_order(&client, &id, &server, &order, expected_count, token).await;
            let accepted = matches!(result, Ok(OrderAnswer::Accepted));
            leader.take_order_answer(&id, &order, result, token);
            if accepted && order.loads_adapter() {
                leader.context.plan_wanted.notify_one();
                clock::sleep(ADAPTER_TAKES).await;
                leader.announce(&id, &order.weights);
            }
            leader.context.plan_wanted.notify_one();
        });
    }

    async fn send_order(
        &self,
        client: &CallClient,
        incarnation: &str,
        id: &str,
        order: &ServerOrder,
        expected_count: u64,
        token: u64,
    ) -> Result<OrderAnswer, CallError> {
        let model = ModelName {
            model: order.weights.model.clone(),
            adapter: order.weights.adapter.clone(),
        };
        let call = self.context.dialect.order(&Order {
            server: id,
            kind: match order.action {
                Action::Load => OrderKind::Load,
                Action::Unload => OrderKind::Unload,
            },
            model: &model,
            expected_orders: expected_count,
            holder: &self.context.settings.node,
            fencing_token: token,
        });
        // Between the plan and the connection the lease may have lapsed, most of
        // all on a machine that was slow or frozen meanwhile.
        let may_order = || self.leadership.borrow().fencing_token(self.now()) == Some(token);
        let answer = client.call_if(&call, ORDER_TIMEOUT, may_order).await?;
        self.note_leaving(incarnation, Some(&answer));
        Ok(self.context.dialect.parse_order(&answer))
    }

    fn take_order_answer(
        &self,
        id: &Arc<str>,
        order: &ServerOrder,
        result: Result<OrderAnswer, CallError>,
        token: u64,
    ) {
        let now = self.now();
        log_order(id, order, &result, token);
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(engine) = state.engines.get_mut(id) else { return };
        engine.calling = false;
        match result {
            Ok(OrderAnswer::Accepted) => {
                engine.ledger.record_accepted(now);
                note_accepted(engine, order, now);
                if order.action == Action::Unload {
                    state.announcements.goes(id, &order.weights, now);
                }
            }
            Ok(OrderAnswer::AlreadyDone) => {
                engine.ledger.record_already_done(now);
                match order.action {
                    Action::Load => state.announcements.came(id, &order.weights, now),
                    Action::Unload => state.announcements.goes(id, &order.weights, now),
                }
            }
            Ok(OrderAnswer::OtherServer) => engine.replaced = true,
            Ok(OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Refused(_)) | Err(_) => {
                engine.ledger.record_unknown_outcome();
            }
        }
    }
}

fn log_order(
    server: &str,
    order: &ServerOrder,
    result: &Result<OrderAnswer, CallError>,
    token: u64,
) {
    let action = format!("{:?}", order.action);
    let model = &*order.weights.model;
    let adapter = order.weights.adapter.as_deref().unwrap_or("-");
    match result {
        Ok(answer) => {
            let outcome = format!("{answer:?}");
            info!("[leader] an order was answered", kv: { server, action, model, adapter, token, outcome });
        }
        Err(error) => {
            let reason = error.to_string();
            warn!("[leader] an order is in doubt", kv: { step = "order", server, action, model, adapter, token, reason });
        }
    }
}
