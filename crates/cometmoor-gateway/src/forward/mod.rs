//! Forwards a client's request to a server and relays the response.
//!
//! A request that may run only once is never resent after its bytes may have reached a server,
//! unless that server states that it did not run it. The status codes that promise "not run"
//! are sent only if no server can have run the request.

mod crash_check;
mod dispatch_board;
mod encode;
mod exchange;
mod logging;
mod migration;
mod outcome;
mod permit;
mod quarantine;
mod queue;
mod queue_log;
mod relay;
mod resumption;
mod send;
mod server_selection;
mod stream;
mod tenant;
mod traffic;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::admission::{DEFAULT_RETRY_AFTER, cap_retry_after, retry_after_queue};
use cometmoor_core::gateway::attempts::{Attempts, Progress, SendFailure};
use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::quarantine::{Fingerprint, PartId};
use cometmoor_core::gateway::tenants::Tenant;
use cometmoor_core::time::BootInstant;
use spdlog::info;
use tokio::net::TcpStream;

pub use self::dispatch_board::DispatchBoard;
use self::exchange::ServerResponse;
use self::migration::Continuation;
use self::outcome::Refusal;
pub use self::outcome::{ConnectionAction, LocalResponse};
use self::quarantine::shared_parts;
use self::queue::QueueContext;
use self::send::SendOutcome;
use self::server_selection::{Estimate, Selection};
use self::stream::StreamState;
pub use self::tenant::{Admitted, check_access};
pub use self::traffic::TrafficContext;
use crate::clients::body::Body;
use crate::clock;
use crate::dialect::RequestMetadata;
use crate::fingerprint::fingerprint;
use crate::http::head::RequestHead;
use crate::load::InFlightGuard;
use crate::published::Phase;
use crate::servers::Server;

/// Retry delay if the key or the limit of a request cannot be decided on. This node or another
/// one obtains a proof that the keys are current within the interval between two queries for
/// it.
const UNDECIDED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Unreachable servers after which a request is given up.
const MAX_UNREACHABLE: usize = 4;
/// Retry delay if a server on hold rejected the request while another server has capacity: the
/// attempt has used up the servers that its route allows.
const OTHER_SERVER_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Selected servers that may turn out to be on hold, for example because their limit is used
/// up, before the request is refused.
const MAX_ON_HOLD: usize = 8;

/// A client's request that is being forwarded.
pub struct ForwardedRequest<'a> {
    /// State that the requests share.
    pub traffic: &'a TrafficContext,
    /// The client's connection.
    pub client: &'a TcpStream,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Body of the request.
    pub body: &'a Body,
    /// Values of the headers that the gateway reads.
    pub metadata: RequestMetadata,
    /// Identifies the request when it is retried, whatever its attempt identifier.
    pub content: Fingerprint,
    /// The parts of its prompt that other requests may share, without duplicates.
    pub parts: Rc<[PartId]>,
    /// Whether it is sent to find out whether its quarantined parts still crash servers.
    is_trial: Cell<bool>,
    /// The route that it matched.
    pub route: Arc<Route>,
    /// The tenant of the request, by the configuration that its key was last checked against.
    tenant: RefCell<Option<Arc<Tenant>>>,
    /// The tenant whose limit the request is charged to; `None` if it is not charged.
    charged_tenant: RefCell<Option<Arc<Tenant>>>,
    /// When its first bytes were received.
    pub received_at: BootInstant,
    attempts: Cell<Attempts>,
    estimate: Cell<Estimate>,
    /// Set once the request has used the dispatch queue.
    queue_context: Cell<Option<QueueContext>>,
    /// Whether the tenant's share in the dispatch queue was charged.
    is_charged: Cell<bool>,
    /// Load on the selected server until the request is sent.
    reservation: RefCell<Option<InFlightGuard>>,
    current_server: RefCell<Option<Arc<str>>>,
    is_finished: Cell<bool>,
}

impl Drop for ForwardedRequest<'_> {
    /// Refunds the quota, and logs a request that did not finish because the client closed its
    /// connection. Its connection to the server is closed with it.
    fn drop(&mut self) {
        self.refund_quota();
        if !self.is_finished.get() {
            let server = self.current_server.borrow().clone();
            let step = self.attempts.get().progress().step();
            let reason = "the client closed its connection";
            self.log_failure("client disconnected", step, server.as_deref().unwrap_or("-"), reason);
        }
    }
}

impl<'a> ForwardedRequest<'a> {
    /// A request that was read completely.
    pub fn new(
        traffic: &'a TrafficContext,
        client: &'a TcpStream,
        head: &'a RequestHead,
        body: &'a Body,
        metadata: RequestMetadata,
        admitted: Admitted,
        received_at: BootInstant,
    ) -> ForwardedRequest<'a> {
        let Admitted { route, tenant } = admitted;
        let attempts = Cell::new(Attempts::new(route.retry_policy, route.max_attempts));
        ForwardedRequest {
            traffic,
            client,
            head,
            body,
            content: fingerprint(head, body),
            parts: shared_parts(&metadata),
            is_trial: Cell::new(false),
            metadata,
            route,
            tenant: RefCell::new(tenant),
            charged_tenant: RefCell::default(),
            received_at,
            attempts,
            estimate: Cell::default(),
            queue_context: Cell::default(),
            is_charged: Cell::new(false),
            reservation: RefCell::default(),
            current_server: RefCell::default(),
            is_finished: Cell::new(false),
        }
    }

    /// When the client must have its response, at most an hour after the request.
    fn deadline(&self) -> BootInstant {
        let deadline = self.metadata.deadline.unwrap_or(Duration::MAX).min(self.route.timeout);
        self.received_at + deadline.min(Duration::from_secs(3600))
    }

    fn time_left(&self) -> Duration {
        self.deadline().since(clock::now())
    }

    fn keeps_connection(&self) -> bool {
        let is_draining =
            matches!(self.traffic.board.fleet.load().phase, Phase::Draining | Phase::Closing);
        self.head.keeps_connection() && !is_draining
    }

    /// Serves the request until its deadline.
    pub async fn serve(self, service: &str) -> ConnectionAction {
        let deadline = self.deadline();
        let action = match clock::timeout_at(deadline, self.run(service)).await {
            Ok(action) => action,
            Err(_) => self.handle_deadline().await,
        };
        self.is_finished.set(true);
        action
    }

    async fn handle_deadline(&self) -> ConnectionAction {
        let progress = self.attempts.get().progress();
        let server = self.current_server.borrow().clone();
        let server = server.as_deref().unwrap_or("-");
        self.log_failure("deadline exceeded", progress.step(), server, "the deadline has passed");
        if progress != Progress::Waiting {
            self.record_end("unknown", progress.step(), "out of time");
        }
        match progress {
            Progress::Waiting => self.refuse(Refusal::DeadlineExceeded, DEFAULT_RETRY_AFTER).await,
            Progress::Sent => self.respond(LocalResponse::gateway_timeout()).await,
            Progress::Responding => ConnectionAction::Abort,
        }
    }

    async fn run(&self, service: &str) -> ConnectionAction {
        if let Err((refusal, retry_after)) = self.acquire_quota().await {
            return self.refuse(refusal, retry_after).await;
        }
        let resumed = match self.find_resumed_stream(service).await {
            Ok(resumed) => resumed,
            Err(error) => return self.reject_resumption(error).await,
        };
        let software = resumed.as_ref().map(|stream| stream.software);
        let service = resumed.as_ref().map_or(service, |stream| &*stream.service);
        let now = self.traffic.now();
        self.traffic.with_retry_budget(service, |budget| budget.record_request(now));
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut unreachable = 0;
        let mut on_hold = 0;
        let mut stream = StreamState::new(software);
        let mut last_error = None;
        let mut continuation: Option<Continuation> = None;
        loop {
            if let Some(Continuation { server, copy }) = continuation.take() {
                match self.send(&server, &mut stream, Some(&copy)).await.for_continuation() {
                    SendOutcome::Finished(action) => return action,
                    SendOutcome::Migrated(next) => continuation = Some(next),
                    _ if self.may_resume_stream(service, &server, &stream).await => {}
                    _ => return ConnectionAction::Abort,
                }
                continue;
            }
            self.wait_for_verdict().await;
            if let Some((refusal, left)) = self.quarantine_refusal() {
                return self.finish_without_server(last_error, &stream, refusal, left).await;
            }
            let selection = tokio::select! {
                biased;
                selection = self.wait_for_server(service, &tried, &stream) => selection,
                () = self.wait_for_quarantine() => continue,
            };
            let server = match selection {
                Selection::Server { server, .. } => server,
                Selection::Overloaded(expected) => {
                    let after = retry_after_queue(expected, self.route.objective);
                    return self
                        .finish_without_server(last_error, &stream, Refusal::Overloaded, after)
                        .await;
                }
                Selection::QueueFull(expected) => {
                    let after = retry_after_queue(expected, self.route.objective);
                    return self
                        .finish_without_server(last_error, &stream, Refusal::QueueFull, after)
                        .await;
                }
                Selection::OnHold { retry_after, .. } => {
                    let refusal = Refusal::ServersOnHold;
                    return self
                        .finish_without_server(last_error, &stream, refusal, retry_after)
                        .await;
                }
                Selection::Unreachable(after) => {
                    return self
                        .finish_without_server(last_error, &stream, Refusal::NotReached, after)
                        .await;
                }
                Selection::Unavailable(refusal) => {
                    let was_reached = unreachable == 0 || refusal != Refusal::ServerRefused;
                    let refusal = if was_reached { refusal } else { Refusal::NotReached };
                    return self
                        .finish_without_server(last_error, &stream, refusal, DEFAULT_RETRY_AFTER)
                        .await;
                }
            };
            let record = server.record();
            tried.push(record.incarnation.clone());
            match self.send(&server, &mut stream, None).await {
                // The server may be selected again once it accepts requests.
                SendOutcome::OnHold(hold) if on_hold < MAX_ON_HOLD => {
                    on_hold += 1;
                    tried.pop();
                    self.log_on_hold(&record.incarnation, hold);
                }
                SendOutcome::OnHold(hold) => {
                    let refusal = Refusal::ServersOnHold;
                    return self
                        .finish_without_server(last_error, &stream, refusal, hold.retry_after())
                        .await;
                }
                SendOutcome::Finished(action) => return action,
                SendOutcome::Migrated(next) => continuation = Some(next),
                SendOutcome::Unreachable => {
                    unreachable += 1;
                    if unreachable >= MAX_UNREACHABLE {
                        let refusal = Refusal::NotReached;
                        return self
                            .finish_without_server(
                                last_error,
                                &stream,
                                refusal,
                                DEFAULT_RETRY_AFTER,
                            )
                            .await;
                    }
                    continue;
                }
                SendOutcome::KeyRejected(refusal) => {
                    return self
                        .finish_without_server(last_error, &stream, refusal, UNDECIDED_RETRY_AFTER)
                        .await;
                }
                SendOutcome::NotRun { status, misdirected } => {
                    let id = &*record.incarnation;
                    let request = &*self.metadata.id;
                    info!("[forward] the server did not run the request", kv: { request, server = id, status, misdirected });
                    if !self.may_retry(service, &server, SendFailure::NotRun).await {
                        let refusal = Refusal::ServerRefused;
                        let retry_after =
                            self.retry_after_rejection(service, &server, &tried, &stream);
                        return self
                            .finish_without_server(last_error, &stream, refusal, retry_after)
                            .await;
                    }
                }
                SendOutcome::Failed(error) => {
                    self.log_failure("failed", "server", &record.incarnation, &error.to_string());
                    if !self.may_retry(service, &server, SendFailure::ConnectionLost).await {
                        self.record_end("unknown", "server", "broken after the send");
                        return self.respond(LocalResponse::bad_gateway()).await;
                    }
                }
                SendOutcome::ServerError(response, body) => {
                    if !self.may_retry(service, &server, SendFailure::ServerError).await {
                        return self.relay_buffered(*response, body).await;
                    }
                    last_error = Some((response, body));
                }
                SendOutcome::StreamInterrupted => {
                    if !self.may_resume_stream(service, &server, &stream).await {
                        return ConnectionAction::Abort;
                    }
                }
            }
        }
    }

    /// Retry delay for a request that a server has rejected.
    fn retry_after_rejection(
        &self,
        service: &str,
        server: &Server,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Duration {
        if self.traffic.signals.hold(server.hash(), clock::now()).is_none() {
            return DEFAULT_RETRY_AFTER;
        }
        match self.select_server(service, tried, stream) {
            Selection::Server { .. } => OTHER_SERVER_RETRY_AFTER,
            Selection::OnHold { retry_after, .. } => retry_after,
            Selection::Overloaded(expected) | Selection::QueueFull(expected) => {
                retry_after_queue(expected, self.route.objective)
            }
            Selection::Unreachable(retry_after) => retry_after,
            Selection::Unavailable(_) => DEFAULT_RETRY_AFTER,
        }
    }

    /// Whether an interrupted stream, of which the client has a part, may resume as another run.
    async fn may_resume_stream(
        &self,
        service: &str,
        server: &Server,
        stream: &StreamState,
    ) -> bool {
        self.log_stream_interrupted(&server.record(), stream);
        let may_resume = self.may_retry(service, server, SendFailure::StreamInterrupted).await;
        if !may_resume {
            self.record_end("cut", "stream", "the stream broke off");
        }
        may_resume
    }

    /// Whether the request may be sent to another server after a failure at this one. Consumes
    /// a retry of the budget if so.
    async fn may_retry(&self, service: &str, server: &Server, failure: SendFailure) -> bool {
        if !self.attempts.get().can_retry(failure) {
            return false;
        }
        if matches!(failure, SendFailure::ConnectionLost | SendFailure::StreamInterrupted) {
            self.wait_for_crash_check(server).await;
        }
        let is_allowed = !self.is_quarantined() && self.traffic.try_retry(service);
        if is_allowed {
            self.traffic.metrics.retries.inc();
        }
        is_allowed
    }

    /// Updates the state of the request's attempts.
    fn update_attempts(&self, change: impl FnOnce(&mut Attempts)) {
        let mut attempts = self.attempts.get();
        change(&mut attempts);
        self.attempts.set(attempts);
    }

    /// Responds to the client when there is no server left to try.
    async fn finish_without_server(
        &self,
        last_error: Option<(Box<ServerResponse>, Vec<u8>)>,
        stream: &StreamState,
        refusal: Refusal,
        retry_after: Duration,
    ) -> ConnectionAction {
        if stream.head_sent {
            return ConnectionAction::Abort;
        }
        if let Some((response, body)) = last_error {
            return self.relay_buffered(*response, body).await;
        }
        match self.attempts.get().is_known_not_run() {
            true => self.refuse(refusal, retry_after).await,
            false => self.respond(LocalResponse::bad_gateway()).await,
        }
    }

    async fn relay_buffered(&self, response: ServerResponse, body: Vec<u8>) -> ConnectionAction {
        self.update_attempts(Attempts::record_response_started);
        let keep = self.keeps_connection();
        let bytes = encode::full_response(&response.head, &body, self.head.method == "HEAD", keep);
        self.write_response(&bytes, keep).await
    }

    async fn write_response(&self, bytes: &[u8], keep: bool) -> ConnectionAction {
        match crate::http::connection::write_all(self.client, bytes).await {
            Ok(()) if keep => ConnectionAction::KeepAlive,
            Ok(()) => ConnectionAction::Close,
            Err(_) => ConnectionAction::Abort,
        }
    }

    /// Responds that the request was not run and when to retry.
    async fn refuse(&self, refusal: Refusal, retry_after: Duration) -> ConnectionAction {
        self.release_reservation();
        let after = match refusal {
            // An earlier retry would be refused again.
            Refusal::Quarantined | Refusal::PartQuarantined => retry_after,
            _ => {
                let spread = self.spread_retry_after(refusal, retry_after);
                cap_retry_after(spread, self.client_time_left())
            }
        };
        self.log_refusal(refusal, after);
        let outcome = if refusal == Refusal::OverLimit { "over_limit" } else { "refused" };
        self.record_end(outcome, refusal.step(), refusal.name());
        let response = match refusal {
            Refusal::KeyRevoked => LocalResponse::unauthorized(),
            Refusal::OverLimit => LocalResponse::over_limit(after),
            _ => LocalResponse::not_run(after),
        };
        self.respond(response).await
    }

    fn client_time_left(&self) -> Duration {
        let deadline = self.metadata.deadline.unwrap_or(self.route.timeout);
        (self.received_at + deadline).since(clock::now())
    }

    async fn respond(&self, response: LocalResponse) -> ConnectionAction {
        let keep = self.keeps_connection();
        let bytes = response.encode(&*self.traffic.dialect, &self.metadata.id, keep);
        self.write_response(&bytes, keep).await
    }
}
