//! State of the traffic thread that its requests share.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use cometmoor_core::gateway::retry_budget::{FleetRetryBudget, RetryBounds};
use cometmoor_core::time::{BootInstant, Timestamp};

use super::dispatch_board::DispatchBoard;
use crate::brittle::BrittleBoard;
use crate::clients::memory::ClientMemory;
use crate::clock;
use crate::connector::Connector;
use crate::dialect::Dialect;
use crate::latency::{LatencyEstimates, MAX_RUNNING_FOR_PREFILL_SAMPLE};
use crate::links::LinkBoard;
use crate::load::{LoadBoard, server_key};
use crate::metrics::Metrics;
use crate::published::Board;
use crate::quarantine::QuarantineBoard;
use crate::quota::QuotaLimiter;
use crate::server_speeds::SpeedBoard;
use crate::servers::ServerTable;
use crate::settings::GatewaySettings;
use crate::signals::SignalBoard;
use crate::stream_origins::OriginBoard;
use crate::tunnel::TunnelClient;

/// State of the traffic thread that its requests share.
pub struct TrafficContext {
    /// Settings of the node.
    pub settings: Rc<GatewaySettings>,
    /// Message formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// State that the control thread publishes.
    pub board: Arc<Board>,
    /// Load that this node puts on the servers.
    pub loads: LoadBoard,
    /// Quarantine for requests that crash servers.
    pub quarantine: QuarantineBoard,
    /// Signals that servers send in their responses.
    pub signals: SignalBoard,
    /// Servers that must not have to reject requests.
    pub brittle: BrittleBoard,
    /// Speeds of the servers.
    pub speeds: SpeedBoard,
    /// Links of this node to the servers.
    pub links: LinkBoard,
    /// Limits of tenants and servers.
    pub quota: Rc<QuotaLimiter>,
    /// The software versions that began streams.
    pub origins: Rc<OriginBoard>,
    /// The servers in the registry, with this node's connections to them.
    pub servers: Rc<RefCell<ServerTable>>,
    /// Opens connections to them.
    pub connector: Rc<Connector>,
    /// Requests that wait for servers.
    pub dispatch: Rc<DispatchBoard>,
    /// Memory for clients' connections and requests.
    pub memory: Rc<ClientMemory>,
    pub(super) started_at: BootInstant,
    retry_budgets: RefCell<HashMap<String, FleetRetryBudget>>,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Prefill and generation speed of each model.
    pub latencies: RefCell<LatencyEstimates>,
}

impl TrafficContext {
    /// Creates the state of a traffic thread that has sent nothing yet.
    #[expect(clippy::too_many_arguments, reason = "each is a part of the thread's state")]
    pub fn new(
        settings: Rc<GatewaySettings>,
        dialect: Arc<dyn Dialect>,
        board: Arc<Board>,
        loads: LoadBoard,
        quarantine: QuarantineBoard,
        signals: SignalBoard,
        brittle: BrittleBoard,
        speeds: SpeedBoard,
        links: LinkBoard,
        quota: Rc<QuotaLimiter>,
        origins: Rc<OriginBoard>,
        metrics: Arc<Metrics>,
    ) -> TrafficContext {
        let servers = Rc::new(RefCell::new(ServerTable::new(signals.clone())));
        let tunnels = TunnelClient::new(settings.clone(), board.clone());
        let connector = Connector::new(
            links.clone(),
            tunnels,
            board.clone(),
            servers.clone(),
            metrics.clone(),
            settings.drain_time(),
        );
        let memory = ClientMemory::new(settings.node_bounds().client_memory, metrics.clone());
        let dispatch = DispatchBoard::new(loads.clone(), board.clone(), metrics.clone());
        TrafficContext {
            settings,
            dialect,
            board,
            loads,
            quarantine,
            servers,
            connector: Rc::new(connector),
            signals,
            brittle,
            speeds,
            links,
            quota,
            origins,
            metrics,
            dispatch: Rc::new(dispatch),
            memory,
            started_at: clock::now(),
            retry_budgets: RefCell::default(),
            latencies: RefCell::default(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(clock::elapsed(self.started_at).as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn with_retry_budget<Result>(
        &self,
        service: &str,
        act: impl FnOnce(&mut FleetRetryBudget) -> Result,
    ) -> Result {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.to_owned()).or_insert_with(|| {
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

    /// Whether the server has no queued prompts and few running requests, so that a prompt
    /// would be processed at once and at about full speed.
    pub(super) fn is_lightly_loaded(&self, server: &str) -> bool {
        let remote = self.board.remote_load.load();
        let load = self.loads.server_load(server);
        let load = load.plus(remote.get(&server_key(server)).copied().unwrap_or_default());
        load.pending.is_zero() && load.in_flight < MAX_RUNNING_FOR_PREFILL_SAMPLE
    }

    /// Consumes a retry of the service's budget, which the fleet shares; returns false if it is
    /// used up.
    pub(super) fn try_retry(&self, service: &str) -> bool {
        let nodes = self.board.fleet.load().recent_nodes;
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.try_retry(now, nodes))
    }
}
