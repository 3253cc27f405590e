//! Log lines that tell a request's story.

use std::time::Duration;

use cometmoor_core::gateway::signals::Hold;
use spdlog::{info, warn};

use super::ForwardedRequest;
use super::outcome::Refusal;
use super::relay::EventPauses;
use crate::clock;
use crate::dialect::RunMoveAnswer;
use crate::metrics::StateLabels;

impl ForwardedRequest<'_> {
    pub(super) fn log_sent(&self, server: &str, reused: bool) {
        if !crate::log::may_tell_good() {
            return;
        }
        let estimate = self.estimate.get();
        info!("[forward] sent", kv: {
            request = &*self.facts.id,
            content = self.content.to_string(),
            route = &*self.route.name,
            tenant = self.tenant_label(),
            tokens = self.facts.tokens().unwrap_or_default(),
            model = self.facts.model.as_ref().map_or("-", |model| &*model.model),
            server,
            reused,
            sends = self.attempts.get().sends(),
            expected_millis = estimate.expected_millis,
            in_flight = estimate.in_flight,
            backlog_millis = estimate.backlog_millis,
            candidates = estimate.servers as u64,
            held = estimate.held as u64,
            servers_age_millis = self.traffic.board.fleet.load().servers_age_millis(),
            time_left_millis = self.time_left().as_millis() as u64,
            age_millis = clock::elapsed(self.received).as_millis() as u64,
        });
    }

    /// A server that was picked and then turned out to take nothing from this node now.
    pub(super) fn log_held(&self, server: &str, hold: Hold) {
        if !crate::log::may_tell_good() {
            return;
        }
        info!("[forward] held back", kv: {
            request = &*self.facts.id,
            route = &*self.route.name,
            server,
            reason = hold.name(),
            lasts_millis = hold.recheck_after().as_millis() as u64,
            age_millis = clock::elapsed(self.received).as_millis() as u64,
        });
    }

    pub(super) fn log_answered(&self, server: &str, status: u16) {
        if !self.note_answered() {
            return;
        }
        info!("[forward] answered", kv: {
            request = &*self.facts.id,
            route = &*self.route.name,
            server,
            status,
            age_millis = clock::elapsed(self.received).as_millis() as u64,
        });
    }

    /// A stream that ended whole, with what makes it late: its first event, and
    /// the longest pause between two events.
    pub(super) fn log_stream_answered(&self, server: &str, pauses: &EventPauses) {
        if !self.note_answered() {
            return;
        }
        info!("[forward] answered", kv: {
            request = &*self.facts.id,
            route = &*self.route.name,
            server,
            expected_millis = self.estimate.get().expected_millis,
            output_tokens = self.facts.output_tokens,
            first_event_millis = pauses.until_first.as_millis() as u64,
            longest_pause_millis = pauses.longest.as_millis() as u64,
            age_millis = clock::elapsed(self.received).as_millis() as u64,
        });
    }

    /// A run that was stopped to go on elsewhere, with the answer to its move.
    pub(super) fn log_move(&self, from: &str, to: &str, reason: &str, answer: &RunMoveAnswer) {
        let outcome = match answer {
            RunMoveAnswer::Copied(_) => "moved",
            RunMoveAnswer::NoRoom(_) => "no room",
            RunMoveAnswer::NotMoved(_) => "not moved",
        };
        self.traffic.metrics.run_moves.get_or_create(&StateLabels { state: outcome }).inc();
        info!("[forward] a run is moved", kv: {
            request = &*self.facts.id,
            route = &*self.route.name,
            model = self.facts.model.as_ref().map_or("-", |model| &*model.model),
            from,
            to,
            reason,
            outcome,
            age_millis = clock::elapsed(self.received).as_millis() as u64,
        });
    }

    /// Counts a good answer; tells whether its line may be written.
    fn note_answered(&self) -> bool {
        self.ended("answered", "server", "-");
        self.traffic.metrics.observe(&self.traffic.metrics.whole, clock::elapsed(self.received));
        crate::log::may_tell_good()
    }

    /// A refusal with what decided it. Where servers held the model, the best of
    /// them is told; `candidates` is 0 where none did.
    pub(super) fn log_refused(&self, refusal: Refusal, come_back: Duration) {
        if refusal == Refusal::OverLimit && !crate::log::may_tell_over_limit() {
            return;
        }
        let reason = refusal.name();
        let fleet = self.traffic.board.fleet.load();
        let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
        let estimate = self.estimate.get();
        warn!("[forward] refused", kv: {
            request = &*self.facts.id,
            content = self.content.to_string(),
            route = &*self.route.name,
            tenant = self.tenant_label(),
            tokens = self.facts.tokens().unwrap_or_default(),
            step = refusal.step(),
            reason,
            sends = self.attempts.get().sends(),
            age_millis = clock::elapsed(self.received).as_millis() as u64,
            model = self.facts.model.as_ref().map_or("-", |model| &*model.model),
            expected_millis = estimate.expected_millis,
            in_flight = estimate.in_flight,
            backlog_millis = estimate.backlog_millis,
            candidates = estimate.servers as u64,
            held = estimate.held as u64,
            come_back_millis = come_back.as_millis() as u64,
            configuration = version,
            servers = fleet.servers.len() as u64,
        });
    }

    pub(super) fn log_failure(&self, what: &str, step: &str, server: &str, reason: &str) {
        let fleet = self.traffic.board.fleet.load();
        let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
        warn!("[forward] {what}", kv: {
            request = &*self.facts.id,
            content = self.content.to_string(),
            route = &*self.route.name,
            step,
            server,
            reason,
            sends = self.attempts.get().sends(),
            age_millis = clock::elapsed(self.received).as_millis() as u64,
            model = self.facts.model.as_ref().map_or("-", |model| &*model.model),
            configuration = version,
            servers = fleet.servers.len() as u64,
        });
    }
}
