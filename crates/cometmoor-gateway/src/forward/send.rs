//! One send of a request to a server, and what becomes of it.

use std::rc::Rc;

use cometmoor_core::gateway::attempts::Attempts;
use cometmoor_core::gateway::signals::Hold;

use super::exchange::{Received, SendError};
use super::migration::Continuation;
use super::outcome::Refusal;
use super::relay::{self, EventPauses, FirstEvent, RelayError, StreamState};
use super::{ConnectionAction, ForwardedRequest};
use crate::clock;
use crate::dialect::RunCopy;
use crate::load::PendingWork;
use crate::servers::Server;

/// What became of one send.
pub(super) enum Sent {
    /// The client has its answer, or what there is of it.
    Finished(ConnectionAction),
    /// Nothing left for the server.
    Unreachable,
    /// Nothing left for the server, which takes nothing from this node now.
    Held(Hold),
    /// Nothing left for the server, since the caller's key does not hold any more.
    KeyLapsed(Refusal),
    /// The server did not run the request.
    NotRun { status: u16, misdirected: bool },
    /// The request may have run; nothing went to the client.
    Failed(SendError),
    /// The server's own failure, whole.
    ServerError(Box<Received>, Vec<u8>),
    /// The stream broke after events went to the client.
    Broken,
    /// The run was moved; the stream goes on there.
    Moved(Continuation),
}

impl Sent {
    /// The same for a stream that was to go on from a copy: whatever failed, the
    /// client has a part of it, and another run may not take its place.
    pub(super) fn of_continuation(self) -> Sent {
        match self {
            Sent::Finished(_) | Sent::Moved(_) => self,
            _ => Sent::Broken,
        }
    }
}

impl ForwardedRequest<'_> {
    /// Sends the request to a server, or lets it go on there from a copy.
    pub(super) async fn send(
        &self,
        server: &Rc<Server>,
        stream: &mut StreamState,
        copy: Option<&RunCopy>,
    ) -> Sent {
        let record = server.record();
        let asked = clock::now();
        let checkout = server.pool.checkout(self.time_left()).await;
        self.traffic.metrics.observe(&self.traffic.metrics.connect, clock::elapsed(asked));
        let lent = match checkout {
            Ok(lent) => lent,
            Err(error) => {
                server.note_unreachable(clock::now());
                self.log_failure("unreachable", "connect", &record.incarnation, &error.to_string());
                return Sent::Unreachable;
            }
        };
        let permit = match copy {
            Some(_) => None,
            None => match self.send_permit(server).await {
                Ok(permit) => Some(permit),
                Err(hold) => {
                    server.pool.keep(lent.stream);
                    return Sent::Held(hold);
                }
            },
        };
        // Both may have changed while a connection or the permit was awaited.
        let is_quarantined = self.traffic.quarantine.is_quarantined(self.content);
        if !server.takes_work() || is_quarantined {
            return Sent::Unreachable;
        }
        // A run that goes on from its copy was sent before.
        if copy.is_none()
            && let Err(refusal) = self.check_key()
        {
            return Sent::KeyLapsed(refusal);
        }
        let waits_for_nobody = copy.is_none() && self.traffic.is_idle(&record.incarnation);
        let sent_at = waits_for_nobody.then(clock::now);
        let pending = match copy {
            Some(_) => PendingWork::default(),
            None => self.pending_work(),
        };
        let mut guard = self.traffic.loads.sent(&record.incarnation, pending);
        // A run that goes on from its copy is no further attempt.
        let note = |change: fn(&mut Attempts)| {
            if copy.is_none() {
                self.note(change);
            }
        };
        note(Attempts::begin_send);
        self.server.replace(Some(record.incarnation.clone()));
        self.log_sent(&record.incarnation, lent.reused);
        let exchange = self.exchange(server, &record, lent, stream.last_event.as_deref(), copy);
        let is_sent = |is_sent| permit.iter().for_each(|permit| permit.set_sent(is_sent));
        is_sent(true);
        let exchanged = exchange.await;
        let received = match exchanged {
            Ok(received) => received,
            Err(SendError::NotSent(_)) => {
                note(Attempts::record_not_sent);
                is_sent(false);
                return Sent::Unreachable;
            }
            Err(error) => {
                server.note_failure(clock::now());
                self.note_broken(server, error.source());
                return Sent::Failed(error);
            }
        };
        self.traffic
            .metrics
            .observe(&self.traffic.metrics.first_byte, clock::elapsed(self.received));
        let facts = self.traffic.dialect.answer_facts(&received.head);
        if facts.not_run {
            let (status, misdirected) = (received.head.status, facts.misdirected);
            self.note_not_run(server, misdirected);
            let _ = received.drain(&server.pool).await;
            note(Attempts::record_not_run);
            return Sent::NotRun { status, misdirected };
        }
        let success = (200..300).contains(&received.head.status);
        if self.route.retry_policy.is_stream() && success {
            let mut meter = FirstEvent { guard: &mut guard, sent_at };
            return self.relay_stream(server, received, stream, &mut meter).await;
        }
        guard.first_event();
        self.relay_answer(server, received, stream).await
    }

    /// The prompt as work that waits at a server.
    fn pending_work(&self) -> PendingWork {
        PendingWork::of(self.reading(self.facts.prompt_tokens), self.urgency())
    }

    fn note_not_run(&self, server: &Server, misdirected: bool) {
        let now = clock::now();
        match (&self.facts.model, misdirected) {
            (Some(model), true) => server.note_missing(model, now),
            (None, true) => server.note_replaced(),
            (_, false) => server.note_shed(now),
        }
    }

    /// Learns for how long the model's streams hold a slot.
    fn learn_stream(&self, pauses: &EventPauses) {
        let Some(model) = &self.facts.model else { return };
        let running = clock::elapsed(self.received).saturating_sub(pauses.until_first);
        let mut paces = self.traffic.paces.borrow_mut();
        paces.record_stream(&model.model, self.facts.output_tokens, running);
    }

    async fn relay_stream(
        &self,
        server: &Rc<Server>,
        received: Received,
        stream: &mut StreamState,
        meter: &mut FirstEvent<'_>,
    ) -> Sent {
        let has_announced_end = !received.decoder.ends_with_connection();
        match relay::stream(self, received, stream, meter, server).await {
            Ok(finish) => {
                if has_announced_end {
                    self.note_answered_well();
                }
                server.note_success(clock::now());
                self.learn_stream(&stream.pauses);
                self.log_stream_answered(&server.record().incarnation, &stream.pauses);
                Sent::Finished(finish)
            }
            Err(RelayError::Client) => {
                let reason = "the client takes no more bytes";
                self.log_failure("client left", "stream", &server.record().incarnation, reason);
                Sent::Finished(ConnectionAction::Abort)
            }
            Err(RelayError::Moved(continuation)) => Sent::Moved(continuation),
            Err(RelayError::Server(error)) => {
                server.note_failure(clock::now());
                self.note_broken(server, &error);
                if stream.head_sent { Sent::Broken } else { Sent::Failed(SendError::Broken(error)) }
            }
        }
    }

    async fn relay_answer(
        &self,
        server: &Rc<Server>,
        mut received: Received,
        stream: &StreamState,
    ) -> Sent {
        let status = received.head.status;
        if stream.head_sent {
            // A stream that went on elsewhere got a failure for an answer.
            return Sent::Broken;
        }
        let collected = match relay::collect(&mut received).await {
            Ok(collected) => collected,
            Err(error) => {
                server.note_failure(clock::now());
                self.note_broken(server, &error);
                return Sent::Failed(SendError::Broken(error));
            }
        };
        if !collected.whole {
            let finish = relay::pass_long(self, received, collected.bytes).await;
            return Sent::Finished(finish);
        }
        let has_announced_end = !received.decoder.ends_with_connection();
        let received = received.settle(&server.pool);
        if status < 500 {
            server.note_success(clock::now());
            if has_announced_end {
                self.note_answered_well();
            }
            self.log_answered(&server.record().incarnation, status);
            return Sent::Finished(self.pass_whole(received, collected.bytes).await);
        }
        server.note_failure(clock::now());
        self.log_failure(
            "server error",
            "answer",
            &server.record().incarnation,
            &status.to_string(),
        );
        if self.route.retry_policy.allows_rerun() {
            return Sent::ServerError(Box::new(received), collected.bytes);
        }
        Sent::Finished(self.pass_whole(received, collected.bytes).await)
    }
}
