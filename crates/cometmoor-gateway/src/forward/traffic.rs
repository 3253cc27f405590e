//! What the traffic thread's requests share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use cometmoor_core::gateway::retry_budget::{FleetRetryBudget, RetryBounds};
use cometmoor_core::time::{BootInstant, Timestamp};

use crate::clock;
use crate::dialect::Dialect;
use crate::load::{LoadBoard, server_key};
use crate::metrics::Metrics;
use crate::pace::{FEW_RUNNING, PaceTable};
use crate::published::Board;
use crate::quarantine::QuarantineBoard;
use crate::quota::QuotaDesk;
use crate::servers::ServerTable;
use crate::settings::GatewaySettings;
use crate::signals::SignalBoard;

/// What the traffic thread's requests share.
pub struct TrafficContext {
    /// Settings.
    pub settings: Rc<GatewaySettings>,
    /// The platform's formats.
    pub dialect: Arc<dyn Dialect>,
    /// What the control thread publishes.
    pub board: Arc<Board>,
    /// What this node does.
    pub loads: LoadBoard,
    /// Requests that crash servers.
    pub quarantine: QuarantineBoard,
    /// What servers report of themselves.
    pub signals: SignalBoard,
    /// Tenants' limits.
    pub quota: Rc<QuotaDesk>,
    /// The servers.
    pub servers: RefCell<ServerTable>,
    pub(super) started: BootInstant,
    budgets: RefCell<HashMap<String, FleetRetryBudget>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// How fast each model reads prompts.
    pub paces: RefCell<PaceTable>,
}

impl TrafficContext {
    /// The traffic thread's state.
    #[expect(clippy::too_many_arguments, reason = "each is a part of the thread's state")]
    pub fn new(
        settings: Rc<GatewaySettings>,
        dialect: Arc<dyn Dialect>,
        board: Arc<Board>,
        loads: LoadBoard,
        quarantine: QuarantineBoard,
        signals: SignalBoard,
        quota: Rc<QuotaDesk>,
        metrics: Arc<Metrics>,
    ) -> TrafficContext {
        TrafficContext {
            settings,
            dialect,
            board,
            loads,
            quarantine,
            servers: RefCell::new(ServerTable::new(signals.clone())),
            signals,
            quota,
            metrics,
            started: clock::now(),
            budgets: RefCell::default(),
            paces: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(clock::elapsed(self.started).as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn with_budget<Result>(
        &self,
        service: &str,
        act: impl FnOnce(&mut FleetRetryBudget) -> Result,
    ) -> Result {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_insert_with(|| {
            let bounds = RetryBounds {
                ratio: self.settings.bounds.retry_ratio,
                window: self.settings.retry_window(),
                extra: self.settings.bounds.retry_extra,
            };
            let fresh = self.settings.fresh_fleet;
            FleetRetryBudget::new(bounds, Timestamp(0), fresh)
        });
        act(budget)
    }

    /// Whether a prompt would wait for no other one at the server.
    pub(super) fn is_idle(&self, server: &str) -> bool {
        let remote = self.board.remote_load.load();
        let load = self.loads.of(server);
        let load = load.plus(remote.get(&server_key(server)).copied().unwrap_or_default());
        load.pending.is_none() && load.in_flight < FEW_RUNNING
    }

    /// Takes a repeated send out of the fleet's budget.
    pub(super) fn may_repeat(&self, service: &str) -> bool {
        let nodes = self.board.fleet.load().nodes_seen;
        let now = self.now();
        self.with_budget(service, |budget| budget.try_retry(now, nodes))
    }
}
