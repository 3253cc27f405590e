//! A request's wait in the dispatch queue.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::admission::{AwaitedResource, queue_wait_limit};
use cometmoor_core::gateway::dispatch_queue::{
    ClassKey, FINAL_TURN_WINDOW, GroupKey, QueuedRequest,
};
use cometmoor_core::time::BootInstant;
use xxhash_rust::xxh3::Xxh3;

use super::ForwardedRequest;
use super::dispatch_board::{QueueEvent, QueuePlace, WaitOutcome};
use super::outcome::Refusal;
use super::server_selection::Selection;
use super::stream::StreamState;
use crate::clock;
use crate::metrics::StateLabels;
use crate::servers::Server;

/// Prompts of fewer tokens count as equally long.
const SHORT_PROMPT_TOKENS: u64 = 1024;

/// The group of the requests for a model, or of those without a model, to a service.
fn group_key(service: &str, model: Option<&str>) -> GroupKey {
    let mut hash = Xxh3::new();
    hash.update(service.as_bytes());
    hash.update(&[0]);
    hash.update(model.unwrap_or_default().as_bytes());
    GroupKey(hash.digest())
}

/// A request whose time left is below its objective times this may be refused where others of its
/// route are sent: the latest expected time is a quarter above the objective and half of the time
/// left.
const DEADLINE_BINDS_BELOW_OBJECTIVES: u32 = 3;

/// What is needed to spread the retries of a request that is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueContext {
    group: GroupKey,
    /// Time in which the servers to choose from take one such request.
    interval: Duration,
}

/// What a request does after it has selected a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Send,
    Wait,
    Refuse,
}

impl ForwardedRequest<'_> {
    /// Whether requests wait in the dispatch queue: the configuration in force has tenants.
    pub(super) fn uses_dispatch_queue(&self) -> bool {
        let mechanisms = self.traffic.settings.mechanisms;
        let fleet = self.traffic.board.fleet.load();
        let has_tenants = fleet.configuration.as_ref().is_some_and(|known| known.tenants.is_some());
        mechanisms.dispatch_queue && mechanisms.wait_for_server && has_tenants
    }

    /// Selects a server, after other requests that wait for the same. Waits a limited time for one.
    pub(super) async fn wait_in_queue(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Selection {
        let started = clock::now();
        self.release_reservation();
        let selection = self.wait_for_turn(service, tried, stream).await;
        if let Selection::Server { server, .. } = &selection {
            self.reserve(server);
        }
        let metrics = &self.traffic.metrics;
        metrics.observe(&metrics.queue_time, clock::elapsed(started));
        selection
    }

    async fn wait_for_turn(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Selection {
        let group = self.queue_group(service);
        let selection = self.select_server(service, tried, stream);
        self.queue_context.set(Some(self.context(group, service)));
        // There is no use in waiting once a server has failed the request.
        let has_failed = !tried.is_empty() && !stream.head_sent;
        let limit = self.wait_limit(&selection, stream);
        let end = clock::now() + limit;
        // A wait that is shorter than the window may have no other turn.
        let is_final = limit <= FINAL_TURN_WINDOW;
        let step = self.next_step(&selection, service, is_final, end);
        let competing = self.competing_groups(&selection, service, group);
        let is_sent = step == Step::Send && competing.is_empty();
        if is_sent || step == Step::Refuse || has_failed || limit.is_zero() {
            self.charge_if_sent(&selection);
            return selection;
        }
        let class = self.queue_class(service, tried, stream, &selection);
        let Some(place) = self.traffic.dispatch.enter(self.queued(class, group, end)) else {
            return Selection::QueueFull(self.expected_time());
        };
        if step == Step::Send {
            self.traffic.dispatch.start_group_rounds(competing.into_iter().chain([group]));
        }
        self.report_adapter_wait(&selection);
        let select = || self.select_server(service, tried, stream);
        self.wait_at(place, service, end, selection, select).await
    }

    /// Waits at a place of the queue until a server is selected or the wait has ended.
    async fn wait_at(
        &self,
        place: QueuePlace,
        service: &str,
        end: BootInstant,
        mut selection: Selection,
        select: impl Fn() -> Selection,
    ) -> Selection {
        loop {
            match place.next_event().await {
                QueueEvent::Turn { is_final } => {
                    selection = select();
                    self.report_adapter_wait(&selection);
                    match self.next_step(&selection, service, is_final, end) {
                        Step::Wait => place.decline(),
                        Step::Send if place.grant() => {
                            // The next request gets its turn when the load of this one counts.
                            if let Selection::Server { server, .. } = &selection {
                                self.reserve(server);
                            }
                            self.is_charged.set(true);
                            place.finish(WaitOutcome::Sent);
                            return selection;
                        }
                        Step::Send | Step::Refuse => {
                            place.finish(WaitOutcome::Refused);
                            return self.without_server(selection);
                        }
                    }
                }
                QueueEvent::Ended => {
                    place.finish(WaitOutcome::Refused);
                    return self.without_server(selection);
                }
                QueueEvent::Displaced => {
                    place.finish(WaitOutcome::Refused);
                    return Selection::QueueFull(self.expected_time());
                }
            }
        }
    }

    fn next_step(
        &self,
        selection: &Selection,
        service: &str,
        is_final: bool,
        end: BootInstant,
    ) -> Step {
        match selection {
            Selection::Server { delays_streams, .. } if *delays_streams && !is_final => Step::Wait,
            Selection::Server { .. } => Step::Send,
            Selection::OnHold { recheck_after, .. } if clock::now() + *recheck_after > end => {
                Step::Refuse
            }
            Selection::Unreachable(_) | Selection::Unavailable(Refusal::NoVersion) => Step::Refuse,
            Selection::Unavailable(Refusal::NoModel) if !self.may_be_loaded(service) => {
                Step::Refuse
            }
            Selection::QueueFull(_) => Step::Refuse,
            Selection::OnHold { .. } | Selection::Overloaded(_) | Selection::Unavailable(_) => {
                Step::Wait
            }
        }
    }

    /// Whether the requested model, which no server holds, may be about to be loaded: the service
    /// offers it, and has a server. Only the leader knows which loads are in progress.
    fn may_be_loaded(&self, service: &str) -> bool {
        let fleet = self.traffic.board.fleet.load();
        let known = fleet.configuration.as_ref().and_then(|known| known.services.get(service));
        let engine = known.and_then(|service| service.engine.as_ref());
        let is_offered = match (engine, &self.metadata.model) {
            (Some(engine), Some(model)) => engine.models.iter().any(|m| m.name == model.model),
            _ => true,
        };
        let table = self.traffic.servers.borrow();
        is_offered && table.of_service(service).iter().any(|server| server.accepts_requests())
    }

    fn report_adapter_wait(&self, selection: &Selection) {
        if let Selection::Unavailable(Refusal::NoAdapter) = selection {
            self.report_wait();
        }
    }

    /// Longest time that the request may wait, by what it waits for.
    fn wait_limit(&self, selection: &Selection, stream: &StreamState) -> Duration {
        let awaited = match selection {
            Selection::Unavailable(Refusal::NoAdapter) => AwaitedResource::Adapter,
            _ => AwaitedResource::Server,
        };
        // The objective of a stream is that of its first event, which the client has.
        let shortest = match stream.head_sent {
            true => Duration::ZERO,
            false => self.age() + self.prefill_time(self.metadata.prompt_tokens),
        };
        queue_wait_limit(awaited, self.route.objective, shortest, self.time_left())
    }

    /// The selection of a request whose wait has ended: a server that it had selected is not used.
    fn without_server(&self, selection: Selection) -> Selection {
        match selection {
            Selection::Server { .. } => Selection::Overloaded(self.expected_time()),
            selection => selection,
        }
    }

    fn expected_time(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.get().expected_millis.max(0.0) / 1000.0)
    }

    fn age(&self) -> Duration {
        clock::elapsed(self.received_at)
    }

    fn charge_if_sent(&self, selection: &Selection) {
        if let Selection::Server { .. } = selection {
            let tokens = self.uncharged_tokens();
            self.traffic.dispatch.charge(self.priority(), &self.tenant_label(), tokens);
            self.is_charged.set(true);
        }
    }

    /// Tokens to charge when the request is sent. Another attempt is not charged again.
    fn uncharged_tokens(&self) -> Option<u64> {
        if self.is_charged.get() { Some(0) } else { self.metadata.tokens() }
    }

    /// Groups with waiting requests that may be able to use the selected server: those of its
    /// models, and the request's own.
    fn competing_groups(
        &self,
        selection: &Selection,
        service: &str,
        own: GroupKey,
    ) -> Vec<GroupKey> {
        let Selection::Server { server, .. } = selection else { return Vec::new() };
        let record = server.record();
        let models = record.models.iter().map(|model| group_key(service, Some(&model.name)));
        let mut groups: Vec<GroupKey> = models.chain([own]).collect();
        groups.sort_unstable();
        groups.dedup();
        groups.retain(|group| self.traffic.dispatch.has_waiting(*group));
        groups
    }

    /// Never returns if the request's time has passed, for example while the node was suspended, so
    /// that it is refused instead of being sent.
    pub(super) async fn check_deadline(&self) {
        if self.queue_context.get().is_some() && self.time_left().is_zero() {
            std::future::pending::<()>().await;
        }
    }

    /// Counts the request as load of the selected server from now on, so that the next one sees it
    /// before this one has a connection.
    fn reserve(&self, server: &Rc<Server>) {
        let mut reservation = self.reservation.borrow_mut();
        if reservation.is_none() {
            let server = &server.record().incarnation;
            *reservation = Some(self.traffic.loads.add_in_flight(server, self.pending_prefill()));
        }
    }

    /// Ends the reservation: the request is sent now and counts by itself, or it is not sent.
    pub(super) fn release_reservation(&self) {
        drop(self.reservation.take());
    }

    fn queued(&self, class: ClassKey, group: GroupKey, end: BootInstant) -> QueuedRequest {
        QueuedRequest {
            class,
            group,
            priority: self.priority(),
            tenant: self.tenant_label().into(),
            tokens: self.uncharged_tokens(),
            content: self.content,
            end,
        }
    }

    /// Requests for the same model, or without a model to the same service.
    fn queue_group(&self, service: &str) -> GroupKey {
        group_key(service, self.metadata.model.as_ref().map(|model| &*model.model))
    }

    /// Requests that can use the same servers, have the same objective, prompts of about the same
    /// length and deadlines that bind alike, so that a server which is too busy for one of them is
    /// so for all.
    fn queue_class(
        &self,
        service: &str,
        tried: &[Arc<str>],
        stream: &StreamState,
        selection: &Selection,
    ) -> ClassKey {
        let mut hash = Xxh3::new();
        hash.update(&self.queue_group(service).0.to_le_bytes());
        let delays_streams = matches!(selection, Selection::Server { delays_streams: true, .. });
        let length = (self.metadata.prompt_tokens / SHORT_PROMPT_TOKENS).checked_ilog2();
        hash.update(&[u8::from(delays_streams), length.map_or(0, |length| length as u8 + 1)]);
        hash.update(&[self.deadline_bucket()]);
        let model = self.metadata.model.as_ref();
        let adapter = model.and_then(|model| model.adapter.as_deref());
        let mut add_part = |part: &[u8]| {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        };
        add_part(adapter.unwrap_or_default().as_bytes());
        add_part(self.route.name.as_bytes());
        add_part(&stream.software.map_or(0, |software| software.0).to_le_bytes());
        tried.iter().for_each(|server| add_part(server.as_bytes()));
        ClassKey(hash.digest())
    }

    /// Power of two of the time left in milliseconds where it binds more than the objective; the
    /// same value for all requests whose objective binds.
    fn deadline_bucket(&self) -> u8 {
        let time_left = self.time_left();
        if time_left >= self.route.objective * DEADLINE_BINDS_BELOW_OBJECTIVES {
            return u8::MAX;
        }
        time_left.as_millis().checked_ilog2().map_or(0, |power| power as u8)
    }

    fn context(&self, group: GroupKey, service: &str) -> QueueContext {
        let fleet = self.traffic.board.fleet.load();
        let known = fleet.configuration.as_ref().and_then(|known| known.services.get(service));
        let engine = known.and_then(|service| service.engine.as_ref());
        let slots = engine.map_or(1, |engine| engine.batch_slots.max(1));
        let servers = u32::try_from(self.estimate.get().candidates).unwrap_or(u32::MAX).max(1);
        let prefill = self.prefill_time(self.metadata.prompt_tokens) / servers;
        let slot_time = self.slot_time() / servers.saturating_mul(slots);
        QueueContext { group, interval: prefill.max(slot_time) }
    }

    /// Time for which the request occupies a server's slot: without a model, its objective.
    fn slot_time(&self) -> Duration {
        let Some(model) = &self.metadata.model else { return self.route.objective };
        self.traffic.latencies.borrow().slot_time(&model.model, self.metadata.output_tokens)
    }

    /// Records a refusal by the dispatch queue, and returns the retry delay that spreads retries.
    pub(super) fn spread_retry_after(&self, refusal: Refusal, retry_after: Duration) -> Duration {
        let Some(QueueContext { group, interval }) = self.queue_context.get() else {
            return retry_after;
        };
        if !refusal.is_for_lack_of_servers() {
            return retry_after;
        }
        let reason = StateLabels { state: refusal.name() };
        self.traffic.metrics.queue_refusals.get_or_create(&reason).inc();
        self.traffic.dispatch.refused(self.content, group, retry_after, interval)
    }
}
