//! Finds the server for a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::admission::{QUEUE_POLL_INTERVAL, can_answer_in_time, max_queue_wait};
use cometmoor_core::gateway::selection::{Candidate, CostModel, RequestProfile, select};
use cometmoor_core::time::BootInstant;
use xxhash_rust::xxh3::Xxh3;

use super::ForwardedRequest;
use super::outcome::Refusal;
use super::relay::StreamState;
use crate::clock;
use crate::dialect::ModelName;
use crate::load::{model_key, server_key};
use crate::published::PlacementView;
use crate::servers::Server;

/// Work that other nodes may have sent to a server before this node hears of it, in a
/// large fleet: half a prompt. Eight servers that read prompts for three quarters of their
/// time, told of 0.3 s late: 2.0% of the prompts wait for too long instead of 3.8%, and
/// 2.1% with a whole prompt (`core/tests/stale_load.rs`).
const UNSEEN_MILLIS: f64 = 60.0;

/// What decided on a server, for log lines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Expected time to the first byte at the best server, in milliseconds.
    pub(super) expected_millis: f64,
    /// Requests that were there, from all nodes.
    pub(super) in_flight: u32,
    /// Time to read the prompts that wait there, in milliseconds.
    pub(super) backlog_millis: f64,
    /// Servers that could have answered.
    pub(super) servers: usize,
    /// Servers that were held back by what they report of themselves.
    pub(super) held: usize,
}

/// What was found for a request.
pub(super) enum Found {
    /// A server that is expected to answer in time.
    Server {
        /// The server.
        server: Rc<Server>,
        /// Whether streams that run there would pause for too long.
        disturbs: bool,
    },
    /// Every server would answer too late; the best one after this time.
    TooBusy(Duration),
    /// All servers that could answer are held back.
    Held {
        /// When the first of them is considered again.
        lasts: Duration,
        /// When a caller should come back.
        come_back: Duration,
    },
    /// No server can answer.
    Nobody(Refusal),
}

impl ForwardedRequest<'_> {
    /// The server with the least expected time; waits a little for one.
    pub(super) async fn wait_for_server(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Found {
        let asked = clock::now();
        let mechanisms = self.traffic.settings.mechanisms;
        let longest = match mechanisms.wait_for_server {
            true => max_queue_wait(self.route.objective, self.time_left()),
            false => Duration::ZERO,
        };
        let until = asked + longest;
        loop {
            let found = self.pick(service, tried, stream);
            // Where a server has failed already, there is no use in waiting.
            let pointless = !tried.is_empty() && !stream.head_sent;
            let done = match found {
                Found::Server { disturbs, .. } => !disturbs,
                Found::Held { lasts, .. } => clock::now() + lasts > until,
                Found::TooBusy(_) | Found::Nobody(_) => false,
            };
            if let Found::Nobody(Refusal::NoAdapter) = found {
                self.note_wait();
            }
            if done || pointless || clock::now() >= until {
                self.traffic.metrics.observe(&self.traffic.metrics.queue, clock::elapsed(asked));
                return found;
            }
            clock::sleep(QUEUE_POLL_INTERVAL).await;
        }
    }

    /// Tells the node that orders the servers that a request waits for weights.
    fn note_wait(&self) {
        let Some(model) = &self.facts.model else { return };
        let key = model_key(&model.model, model.adapter.as_deref());
        self.traffic.loads.record_wait(key, clock::now());
        self.traffic.board.heartbeat_wanted.notify_one();
    }

    pub(super) fn pick(&self, service: &str, tried: &[Arc<str>], stream: &StreamState) -> Found {
        let fleet = self.traffic.board.fleet.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let now = clock::now();
        let placement = self.traffic.board.placement.load();
        let mut able: Vec<&Rc<Server>> = self
            .able_servers(table.of_service(service), &placement, now)
            .filter(|server| !tried.contains(&server.record().incarnation))
            .collect();
        let mut holds = Vec::new();
        able.retain(|server| {
            let hold = self.traffic.signals.hold(server.hash(), now);
            holds.extend(hold);
            hold.is_none()
        });
        if able.is_empty()
            && let Some(lasts) = holds.iter().map(|hold| hold.recheck_after()).min()
            && let Some(come_back) = holds.iter().map(|hold| hold.retry_after()).min()
        {
            self.estimate.set(Estimate { held: holds.len(), ..Estimate::default() });
            return Found::Held { lasts, come_back };
        }
        let reachable: Vec<&Rc<Server>> =
            able.iter().copied().filter(|server| !server.is_paused(now)).collect();
        let servers = if reachable.is_empty() { able } else { reachable };
        let servers = self.without_eased(servers, now);
        let candidates: Vec<Candidate> =
            servers.iter().map(|server| self.candidate(server, now)).collect();
        let configuration = fleet.configuration.as_ref();
        let event_pause =
            configuration.and_then(|known| known.shortest_event_interval_limit(service));
        let Some(choice) =
            select(&candidates, &self.demand(event_pause, fleet.is_large_fleet), self.cost_model())
        else {
            return Found::Nobody(self.why_nobody(table.of_service(service), &placement, now));
        };
        let expected = Duration::from_secs_f64(choice.cost.max(0.0) / 1000.0);
        let chosen = &candidates[choice.index];
        self.estimate.set(Estimate {
            expected_millis: choice.cost.round(),
            in_flight: chosen.in_flight,
            backlog_millis: chosen.backlog_millis.round(),
            servers: candidates.len(),
            held: holds.len(),
        });
        let begun = stream.head_sent || !self.traffic.settings.mechanisms.early_refusal;
        if begun || can_answer_in_time(expected, self.route.objective, self.time_left()) {
            let server = servers[choice.index].clone();
            return Found::Server { server, disturbs: choice.delays_streams && !begun };
        }
        Found::TooBusy(expected)
    }

    /// Leaves out, for a part of the requests, servers whose limit or rest has just ended,
    /// unless there are no others.
    fn without_eased<'s>(
        &self,
        servers: Vec<&'s Rc<Server>>,
        now: BootInstant,
    ) -> Vec<&'s Rc<Server>> {
        let takes_part = |server: &&Rc<Server>| {
            let share = self.traffic.signals.eased_share(server.hash(), now);
            share >= 1.0 || share > self.draw(&server.record().id)
        };
        let part: Vec<&Rc<Server>> = servers.iter().copied().filter(takes_part).collect();
        if part.is_empty() { servers } else { part }
    }

    /// A number from 0 to 1, drawn for the request and a server.
    fn draw(&self, server: &str) -> f64 {
        let mut hash = Xxh3::new();
        hash.update(server.as_bytes());
        hash.update(self.facts.id.as_bytes());
        hash.digest() as f64 / u64::MAX as f64
    }

    fn why_nobody(
        &self,
        servers: &[Rc<Server>],
        placement: &PlacementView,
        now: BootInstant,
    ) -> Refusal {
        let Some(model) = &self.facts.model else { return Refusal::NoServer };
        let base = ModelName { model: model.model.clone(), adapter: None };
        let holds =
            |server: &Rc<Server>| server.takes_work() && server.holds(&base, placement, now);
        match servers.iter().any(holds) {
            true if model.adapter.is_some() => Refusal::NoAdapter,
            true => Refusal::ServerRefused,
            false => Refusal::NoModel,
        }
    }

    /// Servers that take work and hold what is asked for, as far as is known.
    pub(super) fn able_servers<'t>(
        &self,
        servers: &'t [Rc<Server>],
        placement: &PlacementView,
        now: BootInstant,
    ) -> impl Iterator<Item = &'t Rc<Server>> {
        let able =
            move |server: &&Rc<Server>| server.takes_work() && self.is_able(server, placement, now);
        servers.iter().filter(able)
    }

    fn is_able(&self, server: &Server, placement: &PlacementView, now: BootInstant) -> bool {
        self.facts.model.as_ref().is_none_or(|model| server.holds(model, placement, now))
    }

    pub(super) fn cost_model(&self) -> &'static CostModel {
        match self.facts.model {
            Some(_) => &CostModel::ENGINE,
            None => &CostModel::PLAIN,
        }
    }

    pub(super) fn demand(
        &self,
        event_pause: Option<Duration>,
        is_large_fleet: bool,
    ) -> RequestProfile {
        let shared = match self.traffic.settings.mechanisms.prompt_affinity {
            true => self.shared_parts().iter().map(|part| part.tokens).sum(),
            false => 0,
        };
        let event_pause = match self.traffic.settings.mechanisms.pause_protection {
            true => event_pause,
            false => None,
        };
        RequestProfile {
            unreported_millis: if is_large_fleet { UNSEEN_MILLIS } else { 0.0 },
            event_interval_limit_millis: event_pause.map(|pause| pause.as_secs_f64() * 1000.0),
            prefill_millis: self.reading(self.facts.prompt_tokens).as_secs_f64() * 1000.0,
            shared_prefix_millis: self.reading(shared).as_secs_f64() * 1000.0,
        }
    }

    /// Time that a server takes to read so many tokens of the prompt.
    pub(super) fn reading(&self, tokens: u64) -> Duration {
        let Some(model) = &self.facts.model else { return Duration::ZERO };
        self.traffic.paces.borrow().work(&model.model, tokens)
    }

    /// The leading parts of the prompt, without the request's own one.
    fn shared_parts(&self) -> &[crate::dialect::PromptPart] {
        match self.facts.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    pub(super) fn candidate(&self, server: &Server, now: BootInstant) -> Candidate {
        let record = server.record();
        let own = self.traffic.loads.of(&record.incarnation);
        let remote = self.traffic.board.remote_load.load();
        let load =
            own.plus(remote.get(&server_key(&record.incarnation)).copied().unwrap_or_default());
        Candidate {
            in_flight: load.in_flight,
            pending_millis: load.pending.millis_ahead_of(self.urgency()),
            backlog_millis: load.pending.millis(),
            slots: record.slots,
            same_zone: record.zone == self.traffic.settings.zone,
            has_idle_connection: server.pool.has_idle(now),
            failure_share: server.failure_share(now),
            affinity: self.affinity(&record.id),
            cached_millis: 0.0,
        }
    }

    fn affinity(&self, server: &str) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(server.as_bytes());
        let model = self.facts.model.as_ref();
        let has_affinity = self.traffic.settings.mechanisms.prompt_affinity;
        let Some(model) = model.filter(|_| has_affinity) else {
            // Ties go to a server drawn for each request alone: a plain service keeps nothing
            // of requests, and one favourite of all nodes would be full before the others.
            hash.update(self.facts.id.as_bytes());
            return hash.digest();
        };
        hash.update(model.model.as_bytes());
        hash.update(model.adapter.as_deref().unwrap_or_default().as_bytes());
        for part in self.shared_parts() {
            hash.update(&part.id.to_le_bytes());
        }
        hash.digest()
    }
}
