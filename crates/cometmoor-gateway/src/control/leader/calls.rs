//! Calls to servers: requests for reports, and orders.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::{Action, ServerOrder, Weights};
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};

use super::engine::{record_accepted_order, server_report};
use super::{Leader, ORDER_TIMEOUT};
use crate::clock;
use crate::dialect::{EngineReport, ModelName, Order, OrderKind, OrderResponse};
use crate::http::client::{CallClient, CallError, Response};

/// Time that a server takes to load an adapter.
pub(super) const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);

impl Leader {
    /// Announces to all nodes that a server holds weights.
    pub(super) fn announce(&self, server: &Arc<str>, weights: &Weights) {
        let now = self.now();
        self.state.borrow_mut().announcements.record_added(server, weights, now);
    }

    /// Requests a report from a server in a new task.
    pub(super) fn spawn_report(self: &Rc<Leader>, id: Arc<str>) {
        let Some((client, server)) = self.begin_call(&id) else { return };
        let leader = self.clone();
        actix_rt::spawn(async move {
            let requested_at = leader.now();
            let call = leader.context.dialect.report(&server);
            let result = client.call(&call, ORDER_TIMEOUT).await;
            leader.note_leaving(&id, result.as_ref().ok());
            let report = result.map_err(|error| error.to_string()).and_then(|response| {
                leader.context.dialect.parse_report(&response).map_err(|error| error.to_string())
            });
            leader.apply_report(&id, report, requested_at);
            leader.context.plan_wanted.notify_one();
        });
    }

    /// Marks an incarnation as being called. Returns its client and the identifier by which calls
    /// address the server; `None` if the incarnation is unknown.
    fn begin_call(&self, id: &Arc<str>) -> Option<(Rc<CallClient>, Arc<str>)> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let engine = state.engines.get_mut(id)?;
        engine.call_in_progress = true;
        engine.last_call = Some(now);
        Some((engine.client.clone(), engine.record.id.clone()))
    }

    /// Records that a server is leaving if its response to a call says so. Limits are signaled in
    /// responses to forwarded requests only.
    fn note_leaving(&self, incarnation: &str, response: Option<&Response>) {
        let metadata =
            response.map(|response| self.context.dialect.response_metadata(&response.head));
        if metadata.and_then(|metadata| metadata.signals).is_some_and(|signals| signals.is_leaving)
        {
            self.context.signals.note_leaving(incarnation, &self.context.settings.node);
        }
    }

    fn apply_report(
        &self,
        id: &Arc<str>,
        report: Result<EngineReport, String>,
        requested_at: Timestamp,
    ) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.record_call_ended(id);
        let Some(engine) = state.engines.get_mut(id) else { return };
        match report {
            Ok(report) if engine.is_from_other_incarnation(&report) => {
                engine.record_other_incarnation(&report);
                let (server, born) = (&**id, report.started_unix_ms.unwrap_or_default());
                warn!("[leader] a report is from another incarnation of the server", kv: { step = "report", server, born });
            }
            Ok(report) => {
                engine.in_host_memory = report.in_host_memory.iter().cloned().collect();
                engine.on_disk = report.on_disk.iter().cloned().collect();
                let loading = engine.loading();
                engine.ledger.record_report(server_report(&report), requested_at);
                if let Some(weights) = loading.filter(|weights| engine.holds(weights)) {
                    state.announcements.record_added(id, &weights, requested_at);
                }
            }
            Err(reason) => {
                let server = &**id;
                warn!("[leader] a server did not report its state", kv: { step = "report", server, reason });
            }
        }
    }

    /// Records a new order in the ledger and sends it. The server is expected to be busy with it for
    /// `expected_duration`.
    pub(super) fn start_order(
        self: &Rc<Leader>,
        id: Arc<str>,
        order: ServerOrder,
        expected_count: u64,
        expected_duration: Duration,
        token: u64,
    ) {
        if let Some(engine) = self.state.borrow_mut().engines.get_mut(&id) {
            engine.ledger.record_sent(&order, expected_count, expected_duration);
        }
        self.spawn_order(id, order, expected_count, token);
    }

    /// Sends an order that is recorded in the ledger, in a new task.
    pub(super) fn spawn_order(
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
            let accepted = matches!(result, Ok(OrderResponse::Accepted));
            leader.apply_order_result(&id, &order, result, token);
            if accepted && order.loads_adapter() {
                leader.context.plan_wanted.notify_one();
                clock::sleep(ADAPTER_LOAD_TIME).await;
                if leader.holds(&id, &order.weights) {
                    leader.announce_adapter(&id, &order.weights);
                }
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
    ) -> Result<OrderResponse, CallError> {
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
        // The lease may have expired between the plan and the connection, in particular if the
        // machine was slow or suspended in between.
        let may_send_orders = || self.leadership.borrow().fencing_token(self.now()) == Some(token);
        let response = client.call_if(&call, ORDER_TIMEOUT, may_send_orders).await?;
        self.note_leaving(incarnation, Some(&response));
        Ok(self.context.dialect.parse_order(&response))
    }

    fn apply_order_result(
        &self,
        id: &Arc<str>,
        order: &ServerOrder,
        result: Result<OrderResponse, CallError>,
        token: u64,
    ) {
        let now = self.now();
        log_order(id, order, &result, token, self.order_cause(id, order));
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.record_call_ended(id);
        let Some(engine) = state.engines.get_mut(id) else { return };
        match result {
            Ok(OrderResponse::Accepted) => {
                engine.ledger.record_accepted(now);
                if order.loads_adapter() {
                    self.context.metrics.record_adapter_load(engine.adapters.reason);
                }
                record_accepted_order(engine, order, now);
                if order.action == Action::Unload {
                    state.announcements.record_withdrawn(id, &order.weights, now);
                }
            }
            Ok(OrderResponse::AlreadyDone) => {
                engine.ledger.record_already_done(now);
                match order.action {
                    Action::Load => state.announcements.record_added(id, &order.weights, now),
                    Action::Unload => state.announcements.record_withdrawn(id, &order.weights, now),
                }
            }
            Ok(OrderResponse::OtherServer) => engine.is_replaced = true,
            Ok(OrderResponse::Conflict | OrderResponse::Fenced | OrderResponse::Refused(_))
            | Err(_) => {
                engine.ledger.record_unknown_outcome();
            }
        }
    }
}

fn log_order(
    server: &str,
    order: &ServerOrder,
    result: &Result<OrderResponse, CallError>,
    token: u64,
    (cause, waited_millis): (&'static str, i64),
) {
    let action = format!("{:?}", order.action);
    let model = &*order.weights.model;
    let adapter = order.weights.adapter.as_deref().unwrap_or("-");
    match result {
        Ok(response) => {
            let outcome = format!("{response:?}");
            info!("[leader] a server has answered an order", kv: { server, action, model, adapter, cause, waited_millis, token, outcome });
        }
        Err(error) => {
            let reason = error.to_string();
            warn!("[leader] the outcome of an order is unknown", kv: { step = "order", server, action, model, adapter, cause, waited_millis, token, reason });
        }
    }
}
