//! Detects server crashes and records the requests that were in flight.
//!
//! A connection can be lost for many reasons; a server that refuses a new connection right
//! afterwards has crashed. Its registry entry expires only 2.6 to 3.4 s later (simulated day),
//! by when the same request may have crashed three more servers.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::links::Path;
use cometmoor_core::gateway::quarantine::{CrashVerdict, Fingerprint, PartId};
use cometmoor_core::time::BootInstant;
use spdlog::{info, warn};

use super::ForwardedRequest;
use crate::clock;
use crate::connector::{Connector, DECISIVE_PROBE_OPEN_TIME, PROBE_OPEN_TIME};
use crate::http::connection::connect;
use crate::links::LinkBoard;
use crate::load::{ServerKey, server_key};
use crate::metrics::Metrics;
use crate::published::Board;
use crate::quarantine::{QuarantineBoard, parts_label};
use crate::servers::{InterruptedRequest, Server};

/// Connection attempts to a server that neither accepts nor refuses them in time.
const MAX_PROBES: u32 = 3;
/// Timeout of each of them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two of these attempts.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a retry waits for a crash check; an address that refuses connections does
/// so within a millisecond.
const MAX_CRASH_CHECK_WAIT: Duration = Duration::from_millis(50);
/// Number of events of a stream that show that its server has not crashed when it began to answer: the
/// first one may be sent before the crash.
pub(super) const MIN_EVENTS_OF_BEGUN_ANSWER: u64 = 2;

impl ForwardedRequest<'_> {
    /// Records that the connection to a server ended before its response did, after a number of
    /// complete events, and starts to check whether the server has crashed. A draining server is
    /// expected to end.
    pub(super) fn record_lost_connection(
        &self,
        server: &Rc<Server>,
        error: &io::Error,
        events: u64,
    ) {
        if !is_end_of_connection(error) || !server.accepts_requests() {
            return;
        }
        self.is_trial.set(false);
        self.traffic.quarantine.begin_crash_check(self.content);
        let has_begun = events >= MIN_EVENTS_OF_BEGUN_ANSWER;
        if !has_begun {
            let key = server_key(&server.record().incarnation);
            self.traffic.quarantine.parts.begin_crash_check(key, &self.parts);
        }
        let request = InterruptedRequest {
            content: self.content,
            parts: self.parts.clone(),
            has_begun,
            request_id: self.metadata.id.clone(),
        };
        let is_first = server.record_interrupted(request);
        if is_first {
            let check = CrashCheck {
                server: server.clone(),
                content: self.content,
                connector: self.traffic.connector.clone(),
                links: self.traffic.links.clone(),
                started_at: clock::now(),
                quarantine: self.traffic.quarantine.clone(),
                board: self.traffic.board.clone(),
                metrics: self.traffic.metrics.clone(),
            };
            actix_rt::spawn(check.run());
        }
    }

    /// Waits briefly until it is known whether the server has crashed. A request that is retried
    /// earlier could crash the next server before it is blamed for this one.
    pub(super) async fn wait_for_crash_check(&self, server: &Server) {
        let _ = clock::timeout(MAX_CRASH_CHECK_WAIT, server.wait_for_probe()).await;
    }
}

fn is_end_of_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

/// Checks whether a server has crashed, and blames the requests that lost their connection.
struct CrashCheck {
    server: Rc<Server>,
    /// The request that lost its connection first.
    content: Fingerprint,
    connector: Rc<Connector>,
    links: LinkBoard,
    started_at: BootInstant,
    quarantine: QuarantineBoard,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl CrashCheck {
    async fn run(self) {
        let has_crashed = self.has_crashed().await;
        let interrupted = self.server.take_interrupted();
        if has_crashed {
            self.server.mark_ended();
            self.metrics.server_crashes.inc();
            interrupted.iter().for_each(|request| self.blame(request));
            self.blame_parts(&interrupted);
            self.board.heartbeat_wanted.notify_one();
        }
        interrupted.iter().for_each(|request| self.quarantine.end_crash_check(request.content));
        self.quarantine.parts.end_crash_check(self.server_key());
        self.server.record_probe();
    }

    async fn has_crashed(&self) -> bool {
        let ended = |error: io::Error| async move {
            self.connector.has_server_ended(&self.server, &error, self.started_at).await
        };
        if self.links.path(self.server.hash()) == Path::ViaPeer {
            return ended(io::ErrorKind::NotConnected.into()).await;
        }
        for _ in 0..MAX_PROBES {
            match connect(self.server.record().address, PROBE_TIMEOUT).await {
                Ok(stream) => {
                    self.server.record_probe();
                    clock::sleep(self.probe_open_time()).await;
                    if self.server.pool.release_if_open(stream, None) {
                        return false;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return ended(error).await;
                }
                Err(_) => clock::sleep(PROBE_INTERVAL).await,
            }
        }
        false
    }

    fn probe_open_time(&self) -> Duration {
        let is_decisive = self.quarantine.is_decision_pending(self.content)
            || self.quarantine.parts.is_check_decisive(self.server_key());
        if is_decisive { DECISIVE_PROBE_OPEN_TIME } else { PROBE_OPEN_TIME }
    }

    fn server_key(&self) -> ServerKey {
        server_key(&self.server.record().incarnation)
    }

    /// Blames the parts of the prompts of requests whose responses had not begun.
    fn blame_parts(&self, interrupted: &[InterruptedRequest]) {
        if interrupted.iter().all(|request| request.parts.is_empty()) {
            return;
        }
        let not_begun = interrupted.iter().filter(|request| !request.has_begun);
        let parts: Vec<PartId> =
            not_begun.clone().flat_map(|one| one.parts.iter().copied()).collect();
        let key = self.server_key();
        let summary = self.quarantine.parts.note_crash(key, &parts, self.started_at);
        warn!("[quarantine] a server crashed", kv: {
            server = &*self.server.record().incarnation,
            key = format!("{key:08x}"),
            requests = interrupted.len() as u64,
            begun = (interrupted.len() - not_begun.count()) as u64,
            suspects = parts_label(&summary.suspects),
            answered = parts_label(&summary.answered),
        });
    }

    fn blame(&self, interrupted: &InterruptedRequest) {
        let incarnation = &*self.server.record().incarnation;
        let (request, content) = (&*interrupted.request_id, interrupted.content.to_string());
        let parts = parts_label(&interrupted.parts);
        match self.quarantine.note_crash(interrupted.content, server_key(incarnation)) {
            CrashVerdict::Cleared => {
                info!("[quarantine] a server crashed; the request is cleared as other servers answer it", kv: { request, content, parts, server = incarnation });
            }
            CrashVerdict::Suspect(crashes) => {
                warn!("[quarantine] a server crashed while the request was in flight", kv: { request, content, parts, server = incarnation, crashes });
            }
            CrashVerdict::Quarantined => {
                warn!("[quarantine] the request is quarantined", kv: { request, content, parts, server = incarnation, source = "own" });
            }
        }
    }
}
