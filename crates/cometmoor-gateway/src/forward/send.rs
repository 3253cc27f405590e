//! One attempt to send a request to a server, and its outcome.

use std::rc::Rc;

use cometmoor_core::gateway::attempts::Attempts;
use cometmoor_core::gateway::signals::Hold;

use super::exchange::{SendError, ServerResponse};
use super::migration::Continuation;
use super::outcome::Refusal;
use super::relay;
use super::stream::{
    EventIntervals, FirstEventRecorder, RelayError, StreamEnd, StreamState, relay_events,
};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::dialect::{Resumption, RunCopy};
use crate::load::{PendingPrefill, model_key};
use crate::servers::Server;

/// Outcome of one attempt.
pub(super) enum SendOutcome {
    /// The response was sent to the client, as far as possible.
    Finished(ConnectionAction),
    /// Nothing was sent to the server.
    Unreachable,
    /// Nothing was sent to the server, which is on hold for this node.
    OnHold(Hold),
    /// Nothing was sent to the server, because the caller's key is no longer known to be valid.
    KeyRejected(Refusal),
    /// The server did not run the request.
    NotRun { status: u16, misdirected: bool },
    /// The request may have run; nothing was sent to the client.
    Failed(SendError),
    /// The complete response of the server is a server error.
    ServerError(Box<ServerResponse>, Vec<u8>),
    /// The stream ended early, after a part of it was sent to the client.
    StreamInterrupted,
    /// The run was migrated; the stream continues from there.
    Migrated(Continuation),
}

impl SendOutcome {
    /// The outcome for a stream that was to continue from a copy. Whatever failed, the client
    /// has a part of the stream, so another run must not replace it.
    pub(super) fn for_continuation(self) -> SendOutcome {
        match self {
            SendOutcome::Finished(_) | SendOutcome::Migrated(_) => self,
            _ => SendOutcome::StreamInterrupted,
        }
    }
}

impl ForwardedRequest<'_> {
    /// Sends the request to a server, or continues its run there from a copy.
    pub(super) async fn send(
        &self,
        server: &Rc<Server>,
        stream: &mut StreamState,
        copy: Option<&RunCopy>,
    ) -> SendOutcome {
        let record = server.record();
        let started = clock::now();
        let checkout = self.traffic.connector.checkout(server, self.time_left()).await;
        self.traffic.metrics.observe(&self.traffic.metrics.connect_time, clock::elapsed(started));
        let connection = match checkout {
            Ok(connection) => connection,
            Err(error) => {
                server.record_unreachable(error.kind(), clock::now());
                self.log_failure("unreachable", "connect", &record.incarnation, &error.to_string());
                return SendOutcome::Unreachable;
            }
        };
        let permit = match copy {
            Some(_) => None,
            None => match self.acquire_send_permit(server).await {
                Ok(permit) => Some(permit),
                Err(hold) => {
                    server.pool.release_if_open(connection.stream, connection.via);
                    return SendOutcome::OnHold(hold);
                }
            },
        };
        // Both may have changed while waiting for the connection or the permit.
        if !server.accepts_requests() || self.is_quarantined() {
            return SendOutcome::Unreachable;
        }
        self.check_deadline().await;
        // A run that continues from its copy was sent before, so its key was checked.
        if copy.is_none()
            && let Err(refusal) = self.check_key()
        {
            return SendOutcome::KeyRejected(refusal);
        }
        self.release_reservation();
        let is_prompt_alone = copy.is_none() && self.traffic.is_lightly_loaded(&record.incarnation);
        let sent_at = is_prompt_alone.then(clock::now);
        let pending = match copy {
            Some(_) => PendingPrefill::default(),
            None => self.pending_prefill(),
        };
        let mut guard = self.traffic.loads.add_in_flight(&record.incarnation, pending);
        // A run that continues from its copy is not another attempt.
        let record_attempt = |change: fn(&mut Attempts)| {
            if copy.is_none() {
                self.update_attempts(change);
            }
        };
        record_attempt(Attempts::begin_send);
        self.current_server.replace(Some(record.incarnation.clone()));
        if copy.is_none() {
            self.count_send(server);
        }
        self.log_sent(server, &connection);
        let exchange =
            self.exchange(server, &record, connection, stream.last_event.as_deref(), copy);
        let begun_at = clock::now();
        let set_sent = |is_sent| permit.iter().for_each(|permit| permit.set_sent(is_sent));
        set_sent(true);
        let result = exchange.await;
        let response = match result {
            Ok(response) => response,
            Err(SendError::NotSent(_)) => {
                record_attempt(Attempts::record_not_sent);
                set_sent(false);
                return SendOutcome::Unreachable;
            }
            Err(error) => {
                server.record_failure(clock::now());
                self.record_lost_connection(server, error.source(), 0);
                stream.end = StreamEnd::default();
                return Self::failure_outcome(error, stream);
            }
        };
        self.traffic
            .metrics
            .observe(&self.traffic.metrics.time_to_first_byte, clock::elapsed(self.received_at));
        let metadata = self.traffic.dialect.response_metadata(&response.head);
        if metadata.not_run {
            let (status, misdirected) = (response.head.status, metadata.misdirected);
            self.record_rejection(server, misdirected);
            let _ = response.discard(&server.pool).await;
            record_attempt(Attempts::record_not_run);
            return SendOutcome::NotRun { status, misdirected };
        }
        let is_success = (200..300).contains(&response.head.status);
        let outcome = if self.route.retry_policy.is_stream() && is_success {
            let speed = self.traffic.speeds.speed(server.hash());
            let mut recorder = FirstEventRecorder { guard: &mut guard, sent_at, speed };
            self.relay_stream(server, response, stream, &mut recorder).await
        } else {
            guard.record_first_event();
            self.relay_response(server, response, stream).await
        };
        if matches!(outcome, SendOutcome::Finished(_)) && copy.is_none() {
            self.traffic.brittle.note_completed(&record, clock::elapsed(begun_at));
        }
        outcome
    }

    /// Prefill work that the request adds to the queue of a server.
    pub(super) fn pending_prefill(&self) -> PendingPrefill {
        PendingPrefill::of(self.prefill_time(self.metadata.prompt_tokens), self.priority())
    }

    fn record_rejection(&self, server: &Server, misdirected: bool) {
        let now = clock::now();
        match (&self.metadata.model, misdirected) {
            (Some(model), true) => server.record_missing(model, now),
            (None, true) => server.mark_replaced(),
            (_, false) => {
                server.record_rejection(now);
                if self.traffic.brittle.note_rejected(&server.record(), &self.metadata.id) {
                    self.traffic.metrics.brittle_rejections.inc();
                    self.traffic.board.heartbeat_wanted.notify_one();
                }
            }
        }
    }

    /// Records for how long a stream of the model has held a slot.
    fn record_stream_duration(&self, intervals: &EventIntervals) {
        let Some(model) = &self.metadata.model else { return };
        let running = clock::elapsed(self.received_at).saturating_sub(intervals.time_to_first);
        let mut latencies = self.traffic.latencies.borrow_mut();
        let output_tokens = self.metadata.output_tokens;
        latencies.record_generation(&model.model, output_tokens, running, self.estimate_method());
    }

    /// Records the speed of a server, which has sent the whole stream.
    fn record_server_speed(&self, server: &Server, intervals: &EventIntervals) {
        let Some(model) = &self.metadata.model else { return };
        let Some(shortest) = intervals.shortest.shortest() else { return };
        if !self.traffic.settings.mechanisms.server_speeds {
            return;
        }
        let model = model_key(&model.model, None);
        self.traffic.speeds.record_stream(server.hash(), model, shortest);
        self.traffic.metrics.measured_streams.inc();
    }

    async fn relay_stream(
        &self,
        server: &Rc<Server>,
        response: ServerResponse,
        stream: &mut StreamState,
        recorder: &mut FirstEventRecorder<'_>,
    ) -> SendOutcome {
        let is_new = stream.is_new() && self.metadata.resumption == Resumption::None;
        match relay_events(self, response, stream, recorder, server).await {
            Ok(action) => {
                self.record_complete_response();
                self.record_harmless_parts();
                server.record_success(clock::now());
                self.record_stream_duration(&stream.intervals);
                if is_new {
                    self.record_server_speed(server, &stream.intervals);
                }
                self.log_stream_completed(&server.record().incarnation, stream);
                SendOutcome::Finished(action)
            }
            Err(RelayError::Client) => {
                let reason = "writing to the client failed";
                self.log_failure(
                    "client disconnected",
                    "stream",
                    &server.record().incarnation,
                    reason,
                );
                SendOutcome::Finished(ConnectionAction::Abort)
            }
            Err(RelayError::Migrated(continuation)) => SendOutcome::Migrated(continuation),
            Err(RelayError::Server(error)) => {
                server.record_failure(clock::now());
                self.record_lost_connection(server, &error, stream.end.events);
                self.traffic.metrics.record_stream_end(stream.end.framing, stream.end.place());
                Self::failure_outcome(SendError::ConnectionLost(error), stream)
            }
        }
    }

    /// The outcome if the server did not complete its response.
    fn failure_outcome(error: SendError, stream: &StreamState) -> SendOutcome {
        if stream.head_sent { SendOutcome::StreamInterrupted } else { SendOutcome::Failed(error) }
    }

    async fn relay_response(
        &self,
        server: &Rc<Server>,
        mut response: ServerResponse,
        stream: &StreamState,
    ) -> SendOutcome {
        let status = response.head.status;
        if stream.head_sent {
            // The response to a stream that was to continue is not a stream.
            return SendOutcome::StreamInterrupted;
        }
        let buffered = match relay::buffer_body(&mut response).await {
            Ok(buffered) => buffered,
            Err(error) => {
                server.record_failure(clock::now());
                self.record_lost_connection(server, &error, 0);
                return SendOutcome::Failed(SendError::ConnectionLost(error));
            }
        };
        if !buffered.is_complete {
            let action = relay::relay_large_body(self, response, buffered.bytes).await;
            return SendOutcome::Finished(action);
        }
        // Beside load, a server that crashes when it begins to write may pass for one that runs on.
        let has_proven_end = !response.decoder.ends_with_connection() || !buffered.bytes.is_empty();
        let response = response.release_connection(&server.pool);
        if status < 500 {
            server.record_success(clock::now());
            if has_proven_end {
                self.record_complete_response();
            }
            if has_proven_end && status < 300 {
                self.record_harmless_parts();
            }
            self.log_completed(&server.record().incarnation, status);
            return SendOutcome::Finished(self.relay_buffered(response, buffered.bytes).await);
        }
        server.record_failure(clock::now());
        self.log_failure(
            "server error",
            "answer",
            &server.record().incarnation,
            &status.to_string(),
        );
        if self.route.retry_policy.allows_rerun() {
            return SendOutcome::ServerError(Box::new(response), buffered.bytes);
        }
        SendOutcome::Finished(self.relay_buffered(response, buffered.bytes).await)
    }
}
