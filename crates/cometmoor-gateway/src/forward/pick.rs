//! Finds the server for a request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use cometmoor_core::gateway::admission::longest_wait;
use cometmoor_core::gateway::selection::{Candidate, CostModel, Demand, select};
use xxhash_rust::xxh3::Xxh3;

use super::relay::StreamState;
use super::{Forward, WAIT_POLL};
use crate::load::server_key;
use crate::published::PlacementView;
use crate::servers::Server;

impl Forward<'_> {
    /// The server with the least expected time; waits a little for one.
    pub(super) async fn wait_for_server(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Option<Rc<Server>> {
        let until = Instant::now() + longest_wait(self.route.objective, self.time_left());
        loop {
            if let Some(server) = self.pick(service, tried) {
                return Some(server);
            }
            // Where a server has failed already, there is no use in waiting.
            let pointless = !tried.is_empty() && !stream.head_sent;
            if pointless || Instant::now() >= until {
                return None;
            }
            tokio::time::sleep(WAIT_POLL).await;
        }
    }

    fn pick(&self, service: &str, tried: &[Arc<str>]) -> Option<Rc<Server>> {
        let fleet = self.traffic.board.fleet.load();
        let mut table = self.traffic.servers.borrow_mut();
        table.update(&fleet);
        let now = Instant::now();
        let placement = self.traffic.board.placement.load();
        let able: Vec<&Rc<Server>> = table
            .of_service(service)
            .iter()
            .filter(|server| server.takes_work() && self.is_able(server, &placement, now))
            .filter(|server| !tried.contains(&server.record().id))
            .collect();
        let reachable: Vec<&Rc<Server>> =
            able.iter().copied().filter(|server| !server.is_paused(now)).collect();
        let servers = if reachable.is_empty() { able } else { reachable };
        let candidates: Vec<Candidate> =
            servers.iter().map(|server| self.candidate(server, now)).collect();
        let index = select(&candidates, &self.demand(), self.cost_model())?;
        Some(servers[index].clone())
    }

    fn is_able(&self, server: &Server, placement: &PlacementView, now: Instant) -> bool {
        self.facts.model.as_ref().is_none_or(|model| server.holds(model, placement, now))
    }

    fn cost_model(&self) -> &'static CostModel {
        match self.facts.model {
            Some(_) => &CostModel::ENGINE,
            None => &CostModel::PLAIN,
        }
    }

    fn demand(&self) -> Demand {
        let shared = self.shared_parts();
        Demand {
            prompt_tokens: self.facts.prompt_tokens,
            shared_tokens: shared.iter().map(|part| part.tokens).sum(),
        }
    }

    /// The leading parts of the prompt, without the request's own one.
    fn shared_parts(&self) -> &[crate::dialect::PromptPart] {
        match self.facts.parts.split_last() {
            Some((_, shared)) => shared,
            None => &[],
        }
    }

    fn candidate(&self, server: &Server, now: Instant) -> Candidate {
        let record = server.record();
        let own = self.traffic.loads.of(&record.id);
        let remote = self.traffic.board.remote_load.load();
        let load = own.plus(remote.get(&server_key(&record.id)).copied().unwrap_or_default());
        Candidate {
            in_flight: load.in_flight,
            pending_prompt_tokens: load.pending_prompt_tokens,
            slots: record.slots,
            cache_tokens_in_use: load.tokens,
            same_zone: record.zone == self.traffic.settings.zone,
            adapter_at_hand: true,
            failure_share: server.failure_share(now),
            affinity: self.affinity(&record.id),
            kept_tokens: 0,
        }
    }

    fn affinity(&self, server: &str) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(server.as_bytes());
        if let Some(model) = &self.facts.model {
            hash.update(model.model.as_bytes());
            hash.update(model.adapter.as_deref().unwrap_or_default().as_bytes());
        }
        for part in self.shared_parts() {
            hash.update(&part.id.to_le_bytes());
        }
        hash.digest()
    }
}
