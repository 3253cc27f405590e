//! Log lines on the progress of a request.

use std::time::Duration;

use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::selection::SpeedClass;
use cometmoor_core::gateway::signals::Hold;
use spdlog::{info, warn};

use super::ForwardedRequest;
use super::outcome::Refusal;
use super::stream::StreamState;
use crate::clock;
use crate::dialect::RunMigrationResponse;
use crate::metrics::StateLabels;
use crate::pool::PooledConnection;
use crate::quarantine::parts_label;
use crate::servers::Server;

impl ForwardedRequest<'_> {
    /// Counts a send that begins a run, by the server's speed and whether it delays streams.
    pub(super) fn count_send(&self, server: &Server) {
        let speed = SpeedClass::of(self.traffic.speeds.speed(server.hash()));
        self.traffic.metrics.record_send(speed, self.estimate.get().delays_streams);
    }

    pub(super) fn log_sent(&self, server: &Server, connection: &PooledConnection) {
        if connection.via.is_some() {
            self.traffic.metrics.sends_via_peers.inc();
        }
        if !crate::log::allow_success_line() {
            return;
        }
        let estimate = self.estimate.get();
        let speed = self.traffic.speeds.speed(server.hash()).relative();
        let server = server.record();
        info!("[forward] sent", kv: {
            request = &*self.metadata.id,
            content = self.content.to_string(),
            parts = parts_label(&self.parts),
            route = &*self.route.name,
            tenant = self.tenant_label(),
            tokens = self.metadata.tokens().unwrap_or_default(),
            model = self.metadata.model.as_ref().map_or("-", |model| &*model.model),
            server = &*server.incarnation,
            software = &*server.software,
            speed,
            delays_streams = estimate.delays_streams,
            resumes = self.metadata.resumption.name(),
            reused = connection.reused,
            via = connection.via.map_or_else(|| "-".to_owned(), |peer| peer.to_string()),
            sends = self.attempts.get().sends(),
            expected_millis = estimate.expected_millis,
            in_flight = estimate.in_flight,
            backlog_millis = estimate.backlog_millis,
            candidates = estimate.candidates as u64,
            held = estimate.on_hold as u64,
            servers_age_millis = self.traffic.board.fleet.load().servers_age_millis(),
            time_left_millis = self.time_left().as_millis() as u64,
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
        });
    }

    /// Logs that a selected server is on hold and gets nothing from this node now.
    pub(super) fn log_on_hold(&self, server: &str, hold: Hold) {
        if !crate::log::allow_success_line() {
            return;
        }
        info!("[forward] the selected server is on hold", kv: {
            request = &*self.metadata.id,
            route = &*self.route.name,
            server,
            reason = hold.name(),
            lasts_millis = hold.recheck_after().as_millis() as u64,
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
        });
    }

    pub(super) fn log_completed(&self, server: &str, status: u16) {
        if !self.record_completion() {
            return;
        }
        info!("[forward] answered", kv: {
            request = &*self.metadata.id,
            route = &*self.route.name,
            server,
            status,
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
        });
    }

    /// Logs a complete stream, with the times that can make it late: until its first event, and
    /// the longest interval between two events.
    pub(super) fn log_stream_completed(&self, server: &str, stream: &StreamState) {
        self.traffic.metrics.record_stream_end(stream.end.framing, "complete");
        if !self.record_completion() {
            return;
        }
        let StreamState { intervals, end, .. } = stream;
        info!("[forward] answered", kv: {
            request = &*self.metadata.id,
            route = &*self.route.name,
            server,
            expected_millis = self.estimate.get().expected_millis,
            output_tokens = self.metadata.output_tokens,
            first_event_millis = intervals.time_to_first.as_millis() as u64,
            longest_pause_millis = intervals.longest.as_millis() as u64,
            framing = end.framing,
            events = end.events,
            unfinished_bytes = end.unfinished_bytes as u64,
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
        });
    }

    /// Logs a stream whose server did not complete it, of which the client has a part.
    pub(super) fn log_stream_interrupted(&self, server: &ServerRecord, stream: &StreamState) {
        let end = &stream.end;
        warn!("[forward] stream interrupted", kv: {
            request = &*self.metadata.id,
            content = self.content.to_string(),
            parts = parts_label(&self.parts),
            route = &*self.route.name,
            step = "stream",
            server = &*server.incarnation,
            software = &*server.software,
            resumes = self.metadata.resumption.name(),
            reason = "the stream ended early",
            framing = end.framing,
            events = end.events,
            unfinished_bytes = end.unfinished_bytes as u64,
            last_event = stream.last_event.as_deref().unwrap_or("-"),
            sends = self.attempts.get().sends(),
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
            model = self.metadata.model.as_ref().map_or("-", |model| &*model.model),
        });
    }

    /// Logs and counts a run that was stopped to continue on another server, by the result.
    pub(super) fn log_migration(
        &self,
        from: &ServerRecord,
        to: &ServerRecord,
        reason: &str,
        answer: &RunMigrationResponse,
    ) {
        let outcome = match answer {
            RunMigrationResponse::Copied(_) => "moved",
            RunMigrationResponse::NoRoom(_) => "no room",
            RunMigrationResponse::NotMoved(_) => "not moved",
            RunMigrationResponse::Unknown(_) => "unknown",
        };
        self.traffic.metrics.run_migrations.get_or_create(&StateLabels { state: outcome }).inc();
        info!("[forward] run migration ended", kv: {
            request = &*self.metadata.id,
            route = &*self.route.name,
            model = self.metadata.model.as_ref().map_or("-", |model| &*model.model),
            from = &*from.incarnation,
            from_software = &*from.software,
            to = &*to.incarnation,
            to_software = &*to.software,
            reason,
            outcome,
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
        });
    }

    /// Counts a request as answered; returns whether its log line may be written.
    fn record_completion(&self) -> bool {
        self.record_end("answered", "server", "-");
        self.traffic
            .metrics
            .observe(&self.traffic.metrics.request_duration, clock::elapsed(self.received_at));
        crate::log::allow_success_line()
    }

    /// Logs a refusal with the estimate that it is based on: that of the best server if
    /// servers hold the model. `candidates` is 0 if none does.
    pub(super) fn log_refusal(&self, refusal: Refusal, retry_after: Duration) {
        if refusal == Refusal::OverLimit && !crate::log::allow_over_limit_line() {
            return;
        }
        let reason = refusal.name();
        let fleet = self.traffic.board.fleet.load();
        let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
        let estimate = self.estimate.get();
        let part = self.traffic.quarantine.parts.quarantined_of(&self.parts);
        let part = part.filter(|_| refusal == Refusal::PartQuarantined);
        warn!("[forward] refused", kv: {
            request = &*self.metadata.id,
            content = self.content.to_string(),
            parts = parts_label(&self.parts),
            route = &*self.route.name,
            tenant = self.tenant_label(),
            tokens = self.metadata.tokens().unwrap_or_default(),
            step = refusal.step(),
            reason,
            part = part.map_or_else(|| "-".to_owned(), |part| part.to_string()),
            sends = self.attempts.get().sends(),
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
            model = self.metadata.model.as_ref().map_or("-", |model| &*model.model),
            expected_millis = estimate.expected_millis,
            in_flight = estimate.in_flight,
            backlog_millis = estimate.backlog_millis,
            candidates = estimate.candidates as u64,
            held = estimate.on_hold as u64,
            come_back_millis = retry_after.as_millis() as u64,
            configuration = version,
            servers = fleet.servers.len() as u64,
        });
    }

    pub(super) fn log_failure(&self, what: &str, step: &str, server: &str, reason: &str) {
        let fleet = self.traffic.board.fleet.load();
        let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
        warn!("[forward] {what}", kv: {
            request = &*self.metadata.id,
            content = self.content.to_string(),
            parts = parts_label(&self.parts),
            route = &*self.route.name,
            step,
            server,
            reason,
            sends = self.attempts.get().sends(),
            age_millis = clock::elapsed(self.received_at).as_millis() as u64,
            model = self.metadata.model.as_ref().map_or("-", |model| &*model.model),
            configuration = version,
            servers = fleet.servers.len() as u64,
        });
    }
}
