//! Sends a client's request to a server and the answer back.
//!
//! A request that may run only once is never sent again after its bytes may
//! have reached a server, unless that server says that it did not run it. The
//! statuses that promise "not run" are given only in that case.

mod crash_check;
mod encode;
mod exchange;
mod logging;
mod migration;
mod outcome;
mod permit;
mod relay;
mod send;
mod server_selection;
mod tenant;
mod traffic;

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cometmoor_core::gateway::admission::{DEFAULT_RETRY_AFTER, cap_retry_after, retry_after_queue};
use cometmoor_core::gateway::attempts::{Attempts, Progress, SendFailure};
use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::quarantine::{Fingerprint, QuarantineStatus};
use cometmoor_core::gateway::tenants::Tenant;
use cometmoor_core::time::BootInstant;
use spdlog::info;
use tokio::net::TcpStream;

use self::exchange::Received;
use self::migration::Continuation;
use self::outcome::Refusal;
pub use self::outcome::{ConnectionAction, LocalResponse};
use self::relay::StreamState;
use self::send::Sent;
use self::server_selection::{Estimate, Found};
pub use self::tenant::{Admitted, check_access};
pub use self::traffic::TrafficContext;
use crate::clock;
use crate::dialect::RequestFacts;
use crate::fingerprint::fingerprint;
use crate::http::head::RequestHead;
use crate::published::Phase;
use crate::servers::Server;

/// When a client should come back whose key cannot be decided on: a proof comes within the
/// time between two questions for one, here or at another node.
const COME_BACK_SOON: Duration = Duration::from_millis(500);
/// Servers that are tried one after another when they cannot be reached.
const MAX_UNREACHABLE: usize = 4;
/// When a client should come back whose request was turned away by a server that rests, while
/// another one has room: its route allows one server to each attempt.
const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(50);
/// Servers that are asked one after another whose limits turn out to be used up.
const MAX_HELD: usize = 8;

/// A client's request on its way.
pub struct ForwardedRequest<'a> {
    /// What requests share.
    pub traffic: &'a TrafficContext,
    /// The client's connection.
    pub client: &'a TcpStream,
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Body of the request.
    pub body: &'a Bytes,
    /// What its headers tell.
    pub facts: RequestFacts,
    /// What tells it when it comes again.
    pub content: Fingerprint,
    /// Its route.
    pub route: Arc<Route>,
    /// The tenant whose request it is, by the configuration that decided last.
    tenant: RefCell<Option<Arc<Tenant>>>,
    /// The tenant to whose limit it is charged, where it is.
    charged: RefCell<Option<Arc<Tenant>>>,
    /// When it began to arrive.
    pub received: BootInstant,
    attempts: Cell<Attempts>,
    estimate: Cell<Estimate>,
    server: RefCell<Option<Arc<str>>>,
    ended: Cell<bool>,
}

impl Drop for ForwardedRequest<'_> {
    /// The client has left while its request was being served: what serves it
    /// is dropped, and the server's connection with it.
    fn drop(&mut self) {
        self.give_quota_back();
        if !self.ended.get() {
            let server = self.server.borrow().clone();
            let step = self.attempts.get().progress().step();
            let reason = "the client closed its connection";
            self.log_failure("client left", step, server.as_deref().unwrap_or("-"), reason);
        }
    }
}

impl<'a> ForwardedRequest<'a> {
    /// A request that was read whole.
    pub fn new(
        traffic: &'a TrafficContext,
        client: &'a TcpStream,
        head: &'a RequestHead,
        body: &'a Bytes,
        facts: RequestFacts,
        admitted: Admitted,
        received: BootInstant,
    ) -> ForwardedRequest<'a> {
        let Admitted { route, tenant } = admitted;
        let attempts = Cell::new(Attempts::new(route.retry_policy, route.max_attempts));
        ForwardedRequest {
            traffic,
            client,
            head,
            body,
            facts,
            content: fingerprint(head, body),
            route,
            tenant: RefCell::new(tenant),
            charged: RefCell::default(),
            received,
            attempts,
            estimate: Cell::default(),
            server: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// When the client must have its answer.
    fn end(&self) -> BootInstant {
        let deadline = self.facts.deadline.unwrap_or(Duration::MAX).min(self.route.timeout);
        self.received + deadline.min(Duration::from_secs(3600))
    }

    fn time_left(&self) -> Duration {
        self.end().since(clock::now())
    }

    fn keeps_connection(&self) -> bool {
        let draining =
            matches!(self.traffic.board.fleet.load().phase, Phase::Draining | Phase::Closing);
        self.head.keeps_connection() && !draining
    }

    /// Serves the request within its time.
    pub async fn serve(self, service: &str) -> ConnectionAction {
        let end = self.end();
        let finish = match clock::timeout_at(end, self.run(service)).await {
            Ok(finish) => finish,
            Err(_) => self.out_of_time().await,
        };
        self.ended.set(true);
        finish
    }

    async fn out_of_time(&self) -> ConnectionAction {
        let progress = self.attempts.get().progress();
        let server = self.server.borrow().clone();
        let server = server.as_deref().unwrap_or("-");
        self.log_failure("out of time", progress.step(), server, "the time is over");
        if progress != Progress::Waiting {
            self.ended("unknown", progress.step(), "out of time");
        }
        match progress {
            Progress::Waiting => self.refuse(Refusal::OutOfTime, DEFAULT_RETRY_AFTER).await,
            Progress::Sent => self.answer(LocalResponse::gateway_timeout()).await,
            Progress::Responding => ConnectionAction::Abort,
        }
    }

    async fn run(&self, service: &str) -> ConnectionAction {
        if let Err((refusal, come_back)) = self.acquire_quota().await {
            return self.refuse(refusal, come_back).await;
        }
        let now = self.traffic.now();
        self.traffic.with_budget(service, |budget| budget.record_request(now));
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut unreachable = 0;
        let mut held = 0;
        let mut stream = StreamState::default();
        let mut kept_error = None;
        let mut moved: Option<Continuation> = None;
        loop {
            if let Some(Continuation { server, copy }) = moved.take() {
                match self.send(&server, &mut stream, Some(&copy)).await.of_continuation() {
                    Sent::Finished(finish) => return finish,
                    Sent::Moved(continuation) => moved = Some(continuation),
                    _ if self.may_follow_broken_stream(service, &server).await => {}
                    _ => return ConnectionAction::Abort,
                }
                continue;
            }
            self.wait_for_verdict().await;
            if let QuarantineStatus::Quarantined(left) =
                self.traffic.quarantine.status(self.content)
            {
                return self.no_server(kept_error, &stream, Refusal::Quarantined, left).await;
            }
            let server = match self.wait_for_server(service, &tried, &stream).await {
                Found::Server { server, .. } => server,
                Found::TooBusy(expected) => {
                    let after = retry_after_queue(expected, self.route.objective);
                    return self.no_server(kept_error, &stream, Refusal::TooBusy, after).await;
                }
                Found::Held { come_back, .. } => {
                    let refusal = Refusal::ServersHeld;
                    return self.no_server(kept_error, &stream, refusal, come_back).await;
                }
                Found::Nobody(refusal) => {
                    return self.no_server(kept_error, &stream, refusal, DEFAULT_RETRY_AFTER).await;
                }
            };
            let record = server.record();
            tried.push(record.incarnation.clone());
            match self.send(&server, &mut stream, None).await {
                // It may be asked again once it takes requests.
                Sent::Held(hold) if held < MAX_HELD => {
                    held += 1;
                    tried.pop();
                    self.log_held(&record.incarnation, hold);
                }
                Sent::Held(hold) => {
                    let refusal = Refusal::ServersHeld;
                    return self.no_server(kept_error, &stream, refusal, hold.retry_after()).await;
                }
                Sent::Finished(finish) => return finish,
                Sent::Moved(continuation) => moved = Some(continuation),
                Sent::Unreachable => {
                    unreachable += 1;
                    if unreachable >= MAX_UNREACHABLE {
                        let refusal = Refusal::NoServer;
                        return self
                            .no_server(kept_error, &stream, refusal, DEFAULT_RETRY_AFTER)
                            .await;
                    }
                    continue;
                }
                Sent::KeyLapsed(refusal) => {
                    return self.no_server(kept_error, &stream, refusal, COME_BACK_SOON).await;
                }
                Sent::NotRun { status, misdirected } => {
                    let id = &*record.incarnation;
                    let request = &*self.facts.id;
                    info!("[forward] the server did not run it", kv: { request, server = id, status, misdirected });
                    if !self.may_send_again(service, &server, SendFailure::NotRun).await {
                        let refusal = Refusal::ServerRefused;
                        let come_back = self.come_back_after(service, &server, &tried, &stream);
                        return self.no_server(kept_error, &stream, refusal, come_back).await;
                    }
                }
                Sent::Failed(error) => {
                    self.log_failure("failed", "server", &record.incarnation, &error.to_string());
                    if !self.may_send_again(service, &server, SendFailure::ConnectionLost).await {
                        self.ended("unknown", "server", "broken after the send");
                        return self.answer(LocalResponse::bad_gateway()).await;
                    }
                }
                Sent::ServerError(received, body) => {
                    if !self.may_send_again(service, &server, SendFailure::ServerError).await {
                        return self.pass_whole(*received, body).await;
                    }
                    kept_error = Some((received, body));
                }
                Sent::Broken => {
                    if !self.may_follow_broken_stream(service, &server).await {
                        return ConnectionAction::Abort;
                    }
                }
            }
        }
    }

    /// When a client should come back whose request a server turned away.
    fn come_back_after(
        &self,
        service: &str,
        server: &Server,
        tried: &[Arc<str>],
        stream: &StreamState,
    ) -> Duration {
        if self.traffic.signals.hold(server.hash(), clock::now()).is_none() {
            return DEFAULT_RETRY_AFTER;
        }
        match self.pick(service, tried, stream) {
            Found::Server { .. } => COME_BACK_ELSEWHERE,
            Found::Held { come_back, .. } => come_back,
            Found::TooBusy(expected) => retry_after_queue(expected, self.route.objective),
            Found::Nobody(_) => DEFAULT_RETRY_AFTER,
        }
    }

    /// Whether a stream of which the client has a part may go on as another run.
    async fn may_follow_broken_stream(&self, service: &str, server: &Server) -> bool {
        self.log_failure("broken", "stream", &server.record().incarnation, "the stream broke off");
        let follows = self.may_send_again(service, server, SendFailure::StreamInterrupted).await;
        if !follows {
            self.ended("cut", "stream", "the stream broke off");
        }
        follows
    }

    /// Whether the request may go to another server after a failure at this one.
    async fn may_send_again(&self, service: &str, server: &Server, failure: SendFailure) -> bool {
        if !self.attempts.get().can_retry(failure) {
            return false;
        }
        if matches!(failure, SendFailure::ConnectionLost | SendFailure::StreamInterrupted) {
            self.wait_for_liveness(server).await;
        }
        let is_quarantined = self.traffic.quarantine.is_quarantined(self.content);
        let allowed = !is_quarantined && self.traffic.may_repeat(service);
        if allowed {
            self.traffic.metrics.repeats.inc();
        }
        allowed
    }

    /// Notes what became of the request at a server.
    fn note(&self, change: impl FnOnce(&mut Attempts)) {
        let mut attempts = self.attempts.get();
        change(&mut attempts);
        self.attempts.set(attempts);
    }

    /// The answer where no server is left to try.
    async fn no_server(
        &self,
        kept_error: Option<(Box<Received>, Vec<u8>)>,
        stream: &StreamState,
        refusal: Refusal,
        come_back: Duration,
    ) -> ConnectionAction {
        if stream.head_sent {
            return ConnectionAction::Abort;
        }
        if let Some((received, body)) = kept_error {
            return self.pass_whole(*received, body).await;
        }
        match self.attempts.get().is_known_not_run() {
            true => self.refuse(refusal, come_back).await,
            false => self.answer(LocalResponse::bad_gateway()).await,
        }
    }

    async fn pass_whole(&self, received: Received, body: Vec<u8>) -> ConnectionAction {
        self.note(Attempts::record_response_started);
        let keep = self.keeps_connection();
        let bytes = encode::whole_answer(&received.head, &body, self.head.method == "HEAD", keep);
        self.write(&bytes, keep).await
    }

    async fn write(&self, bytes: &[u8], keep: bool) -> ConnectionAction {
        match crate::http::connection::write_all(self.client, bytes).await {
            Ok(()) if keep => ConnectionAction::KeepAlive,
            Ok(()) => ConnectionAction::Close,
            Err(_) => ConnectionAction::Abort,
        }
    }

    /// Tells the client that the request was not run and when to come back.
    async fn refuse(&self, refusal: Refusal, come_back: Duration) -> ConnectionAction {
        let after = match refusal {
            // Earlier, it would be refused again.
            Refusal::Quarantined => come_back,
            _ => cap_retry_after(come_back, self.client_time_left()),
        };
        self.log_refused(refusal, after);
        let outcome = if refusal == Refusal::OverLimit { "over_limit" } else { "refused" };
        self.ended(outcome, refusal.step(), refusal.name());
        let answer = match refusal {
            Refusal::KeyTakenAway => LocalResponse::unauthorized(),
            Refusal::OverLimit => LocalResponse::over_limit(after),
            _ => LocalResponse::not_run(after),
        };
        self.answer(answer).await
    }

    fn client_time_left(&self) -> Duration {
        let deadline = self.facts.deadline.unwrap_or(self.route.timeout);
        (self.received + deadline).since(clock::now())
    }

    async fn answer(&self, answer: LocalResponse) -> ConnectionAction {
        let keep = self.keeps_connection();
        let bytes = answer.encode(&*self.traffic.dialect, &self.facts.id, keep);
        self.write(&bytes, keep).await
    }
}
