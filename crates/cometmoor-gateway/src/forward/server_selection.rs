//! Selects the server for a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::admission::{
    LateTolerance, QUEUE_POLL_INTERVAL, max_queue_wait, may_send,
};
use cometmoor_core::gateway::planner::PlacementStrategy;
use cometmoor_core::gateway::registry::SoftwareHash;
use cometmoor_core::gateway::selection::{Candidate, CostModel, RequestProfile, select};
use cometmoor_core::gateway::signals::Hold;
use cometmoor_core::time::BootInstant;
use xxhash_rust::xxh3::Xxh3;

use super::ForwardedRequest;
use super::outcome::Refusal;
use super::stream::StreamState;
use crate::clock;
use crate::dialect::ModelName;
use crate::latency::EstimateMethod;
use crate::load::{model_key, server_key};
use crate::published::PlacementView;
use crate::servers::Server;

/// Work that other nodes of a large fleet may have sent to a server without this node knowing
/// of it yet: half a prompt. With eight servers that spend three quarters of their time on
/// prefill and whose load is reported 0.3 s late, 2.0% of the prompts wait for too long instead
/// of 3.8%, and 2.1% with a whole prompt (`core/tests/stale_load.rs`).
const UNREPORTED_WORK_MILLIS: f64 = 60.0;

/// Figures that the selection was based on, for log lines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Expected time to the first byte at the best server, in milliseconds.
    pub(super) expected_millis: f64,
    /// Requests in flight on that server, from all nodes.
    pub(super) in_flight: u32,
    /// Prefill time of the prompts that wait at that server, in milliseconds at mean speed.
    pub(super) backlog_millis: f64,
    /// Whether the prompt is expected to delay events of streams there beyond their target.
    pub(super) delays_streams: bool,
    /// Whether that server is assumed to have the shared parts of the prompt cached.
    pub(super) assumes_cached: bool,
    /// Servers to choose from.
    pub(super) candidates: usize,
    /// Servers that were left out because their signals put them on hold.
    pub(super) on_hold: usize,
}

/// Result of the server selection.
pub(super) enum Selection {
    /// A server that the request may be sent to.
    Server {
        /// The server.
        server: Rc<Server>,
        /// Whether the prompt would delay events of running streams beyond their target.
        delays_streams: bool,
    },
    /// Every server is expected to respond too late, the best one after this time.
    Overloaded(Duration),
    /// Too many requests wait in the dispatch queue; the best server is expected to respond after
    /// this time.
    QueueFull(Duration),
    /// All eligible servers are on hold.
    OnHold {
        /// Time until the first of them is a candidate again.
        recheck_after: Duration,
        /// Time after which a client should retry.
        retry_after: Duration,
    },
    /// No eligible server answers attempts to connect; another one is tried after this time.
    Unreachable(Duration),
    /// No server can run the request.
    Unavailable(Refusal),
}

impl ForwardedRequest<'_> {
    /// Selects the server with the lowest expected cost. Waits a limited time for one.
    pub(super) async fn wait_for_server(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Selection {
        if self.uses_dispatch_queue() {
            return self.wait_in_queue(service, tried, stream).await;
        }
        let started = clock::now();
        let mechanisms = self.traffic.settings.mechanisms;
        let max_wait = match mechanisms.wait_for_server {
            true => max_queue_wait(self.route.objective, self.time_left()),
            false => Duration::ZERO,
        };
        let wait_until = started + max_wait;
        loop {
            let selection = self.select_server(service, tried, stream);
            // There is no use in waiting once a server has failed the request.
            let has_failed = !tried.is_empty() && !stream.head_sent;
            let done = match selection {
                Selection::Server { delays_streams, .. } => !delays_streams,
                Selection::OnHold { recheck_after, .. } => {
                    clock::now() + recheck_after > wait_until
                }
                Selection::Unreachable(_) | Selection::Unavailable(Refusal::NoVersion) => true,
                Selection::Overloaded(_) | Selection::QueueFull(_) | Selection::Unavailable(_) => {
                    false
                }
            };
            if let Selection::Unavailable(Refusal::NoAdapter) = selection {
                self.report_wait();
            }
            if done || has_failed || clock::now() >= wait_until {
                self.traffic
                    .metrics
                    .observe(&self.traffic.metrics.queue_time, clock::elapsed(started));
                return selection;
            }
            clock::sleep(QUEUE_POLL_INTERVAL).await;
        }
    }

    /// Reports to the node that orders the servers that a request waits for weights.
    pub(super) fn report_wait(&self) {
        let Some(model) = &self.metadata.model else { return };
        let key = model_key(&model.model, model.adapter.as_deref());
        self.traffic.loads.record_wait(key, clock::now());
        self.traffic.board.heartbeat_wanted.notify_one();
        self.traffic.board.urgent_messages.notify_one();
    }

    pub(super) fn select_server(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Selection {
        let fleet = self.traffic.board.fleet.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let now = clock::now();
        let placement = self.traffic.board.placement.load();
        let mut eligible: Vec<&Rc<Server>> = self
            .eligible_servers(table.of_service(service), stream.software, &placement, now)
            .filter(|server| !tried.contains(&server.record().incarnation))
            .collect();
        let mut holds = Vec::new();
        eligible.retain(|server| {
            let hold = self.hold(server, now);
            holds.extend(hold);
            hold.is_none()
        });
        if eligible.is_empty()
            && let Some(recheck_after) = holds.iter().map(|hold| hold.recheck_after()).min()
            && let Some(retry_after) = holds.iter().map(|hold| hold.retry_after()).min()
        {
            self.estimate.set(Estimate { on_hold: holds.len(), ..Estimate::default() });
            return Selection::OnHold { recheck_after, retry_after };
        }
        let reachable: Vec<&Rc<Server>> =
            eligible.iter().copied().filter(|server| !server.is_backing_off(now)).collect();
        let unresponsive = eligible.iter().map(|server| server.unresponsive_for(now));
        let unresponsive: Option<Vec<Duration>> = unresponsive.collect();
        if let Some(retry_after) = unresponsive.and_then(|times| times.into_iter().min()) {
            return Selection::Unreachable(retry_after);
        }
        let servers = if reachable.is_empty() { eligible } else { reachable };
        let servers = self.apply_slow_start(servers, now);
        let candidates: Vec<Candidate> =
            servers.iter().map(|server| self.candidate(server, now)).collect();
        let configuration = fleet.configuration.as_ref();
        let event_interval_limit =
            configuration.and_then(|known| known.shortest_event_interval_limit(service));
        let Some(choice) = select(
            &candidates,
            &self.request_profile(event_interval_limit, fleet.is_large_fleet),
            self.cost_model(),
        ) else {
            return Selection::Unavailable(self.unavailable_reason(
                table.of_service(service),
                stream.software,
                &placement,
                now,
            ));
        };
        let expected = Duration::from_secs_f64(choice.cost.max(0.0) / 1000.0);
        let chosen = &candidates[choice.index];
        self.estimate.set(Estimate {
            expected_millis: choice.cost.round(),
            in_flight: chosen.in_flight,
            backlog_millis: chosen.backlog_millis.round(),
            delays_streams: choice.delays_streams,
            assumes_cached: choice.assumes_cached,
            candidates: candidates.len(),
            on_hold: holds.len(),
        });
        let may_be_late =
            stream.software.is_some() || !self.traffic.settings.mechanisms.early_refusal;
        let tolerance = self.late_tolerance();
        if may_be_late || may_send(expected, self.route.objective, self.time_left(), tolerance) {
            let server = servers[choice.index].clone();
            return Selection::Server {
                server,
                delays_streams: choice.delays_streams && !may_be_late,
            };
        }
        Selection::Overloaded(expected)
    }

    /// Whether requests that are slightly late are sent: where the dispatch queue is in effect.
    fn late_tolerance(&self) -> LateTolerance {
        match self.uses_dispatch_queue() {
            true => LateTolerance::Quarter,
            false => LateTolerance::None,
        }
    }

    /// Why a server gets no request of this node now.
    pub(super) fn hold(&self, server: &Server, now: BootInstant) -> Option<Hold> {
        let signaled = self.traffic.signals.hold(server.hash(), now);
        signaled.or_else(|| {
            let left = self.traffic.brittle.hold(&server.record(), now)?;
            Some(Hold::OverLimit { recheck_after: left, retry_after: left })
        })
    }

    /// Excludes servers in slow start, whose limit or rest has just ended, for a share of the
    /// requests, unless there are no other servers.
    fn apply_slow_start<'s>(
        &self,
        servers: Vec<&'s Rc<Server>>,
        now: BootInstant,
    ) -> Vec<&'s Rc<Server>> {
        let is_included = |server: &&Rc<Server>| {
            let share = self.traffic.signals.slow_start_share(server.hash(), now);
            share >= 1.0 || share > self.hash_share(&server.record().id)
        };
        let included: Vec<&Rc<Server>> = servers.iter().copied().filter(is_included).collect();
        if included.is_empty() { servers } else { included }
    }

    /// A pseudo-random number from 0 to 1 that is fixed for the request and the server.
    fn hash_share(&self, server: &str) -> f64 {
        let mut hash = Xxh3::new();
        hash.update(server.as_bytes());
        hash.update(self.metadata.id.as_bytes());
        hash.digest() as f64 / u64::MAX as f64
    }

    fn unavailable_reason(
        &self,
        servers: &[Rc<Server>],
        software: Option<SoftwareHash>,
        placement: &PlacementView,
        now: BootInstant,
    ) -> Refusal {
        let servers: Vec<&Rc<Server>> =
            servers.iter().filter(|server| runs_software(server, software)).collect();
        let accepts_requests = |server: &&Rc<Server>| server.accepts_requests();
        if software.is_some() && !servers.iter().any(accepts_requests) {
            return Refusal::NoVersion;
        }
        let Some(model) = &self.metadata.model else { return Refusal::NoServer };
        let base = ModelName { model: model.model.clone(), adapter: None };
        let holds =
            |server: &&Rc<Server>| server.accepts_requests() && server.holds(&base, placement, now);
        match servers.iter().any(holds) {
            true if model.adapter.is_some() => Refusal::NoAdapter,
            true => Refusal::ServerRefused,
            false => Refusal::NoModel,
        }
    }

    /// Servers that accept requests, run the software version if one is required, and are believed
    /// to hold the requested model and adapter.
    pub(super) fn eligible_servers<'t>(
        &self,
        servers: &'t [Rc<Server>],
        software: Option<SoftwareHash>,
        placement: &PlacementView,
        now: BootInstant,
    ) -> impl Iterator<Item = &'t Rc<Server>> {
        let eligible = move |server: &&Rc<Server>| {
            server.accepts_requests()
                && runs_software(server, software)
                && self.is_eligible(server, placement, now)
        };
        servers.iter().filter(eligible)
    }

    fn is_eligible(&self, server: &Server, placement: &PlacementView, now: BootInstant) -> bool {
        self.metadata.model.as_ref().is_none_or(|model| server.holds(model, placement, now))
    }

    pub(super) fn cost_model(&self) -> &'static CostModel {
        match self.metadata.model {
            Some(_) => &CostModel::ENGINE,
            None => &CostModel::PLAIN,
        }
    }

    pub(super) fn request_profile(
        &self,
        event_interval_limit: Option<Duration>,
        is_large_fleet: bool,
    ) -> RequestProfile {
        let shared = match self.traffic.settings.mechanisms.prompt_affinity {
            true => self.metadata.shared_parts().iter().map(|part| part.tokens).sum(),
            false => 0,
        };
        let event_interval_limit = match self.traffic.settings.mechanisms.pause_protection {
            true => event_interval_limit,
            false => None,
        };
        RequestProfile {
            unreported_millis: if is_large_fleet { UNREPORTED_WORK_MILLIS } else { 0.0 },
            event_interval_limit_millis: event_interval_limit
                .map(|limit| limit.as_secs_f64() * 1000.0),
            prefill_millis: self.prefill_time(self.metadata.prompt_tokens).as_secs_f64() * 1000.0,
            shared_prefix_millis: self.prefill_time(shared).as_secs_f64() * 1000.0,
        }
    }

    /// Tokens of the prompt that the selected server is assumed to have cached.
    pub(super) fn assumed_cached_tokens(&self) -> u64 {
        match self.estimate.get().assumes_cached {
            true => self.metadata.shared_parts().iter().map(|part| part.tokens).sum(),
            false => 0,
        }
    }

    /// How the latencies of the model are estimated: by a quantile where replicas follow demand,
    /// since a model whose servers were overloaded for a time gets further ones.
    pub(super) fn estimate_method(&self) -> EstimateMethod {
        let fleet = self.traffic.board.fleet.load();
        let is_enabled = self.traffic.settings.mechanisms.balanced_placement;
        let services = self.route.targets.iter().filter_map(|target| {
            fleet.configuration.as_ref()?.services.get(&target.service)?.engine.as_ref()
        });
        let mut strategies =
            services.map(|profile| PlacementStrategy::for_profile(profile, is_enabled));
        match strategies.any(|strategy| strategy == PlacementStrategy::Balanced) {
            true => EstimateMethod::Quantile,
            false => EstimateMethod::MovingAverage,
        }
    }

    /// Prefill time of a number of prompt tokens at mean speed; zero if the request names no model.
    pub(super) fn prefill_time(&self, tokens: u64) -> Duration {
        let Some(model) = &self.metadata.model else { return Duration::ZERO };
        self.traffic.latencies.borrow().prefill_time(&model.model, tokens)
    }

    pub(super) fn candidate(&self, server: &Server, now: BootInstant) -> Candidate {
        let record = server.record();
        let own = self.traffic.loads.server_load(&record.incarnation);
        let remote = self.traffic.board.remote_load.load();
        let load =
            own.plus(remote.get(&server_key(&record.incarnation)).copied().unwrap_or_default());
        Candidate {
            in_flight: load.in_flight,
            pending_millis: load.pending.millis_before(self.priority()),
            backlog_millis: load.pending.total_millis(),
            slots: record.slots,
            same_zone: record.zone == self.traffic.settings.zone,
            has_idle_connection: server.pool.has_idle(now),
            failure_share: server.failure_share(now),
            affinity: self.affinity(&record.id),
            cached_millis: 0.0,
            speed: self.traffic.speeds.speed(server.hash()),
            slowdown: server.reported_slowdown(now),
        }
    }

    fn affinity(&self, server: &str) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(server.as_bytes());
        let model = self.metadata.model.as_ref();
        let has_affinity = self.traffic.settings.mechanisms.prompt_affinity;
        let Some(model) = model.filter(|_| has_affinity) else {
            // Ties are broken by a hash of the request: a server without a model caches nothing
            // of requests, and one that all nodes preferred would be full before the others.
            hash.update(self.metadata.id.as_bytes());
            return hash.digest();
        };
        hash.update(model.model.as_bytes());
        hash.update(model.adapter.as_deref().unwrap_or_default().as_bytes());
        for part in self.metadata.shared_parts() {
            hash.update(&part.id.to_le_bytes());
        }
        hash.digest()
    }
}

/// Whether a server runs the software version, if one is required.
fn runs_software(server: &Server, software: Option<SoftwareHash>) -> bool {
    software.is_none_or(|required| server.record().software_hash() == required)
}
