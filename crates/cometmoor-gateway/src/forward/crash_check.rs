//! Which requests were at a server when it crashed.
//!
//! A connection breaks for many reasons; a server that refuses a new one right after has
//! crashed. Its entry expires 2.6 to 3.4 s later (played day), when three more may have
//! crashed under the same request.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::CrashVerdict;
use spdlog::{info, warn};

use super::ForwardedRequest;
use crate::clock;
use crate::load::server_key;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::quarantine::QuarantineBoard;
use crate::servers::{BrokenRequest, Server};

/// Connections that are tried to a server which neither takes nor refuses them in time.
const PROBES: u32 = 3;
/// Pause between two of them.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Time after which a new connection must still be open: a process that crashes may take
/// one while its sockets are closed one after the other.
const PROBE_RESTS: Duration = Duration::from_millis(30);
/// Longest wait of a request that is to be retried; an address that refuses connections
/// does so within a millisecond.
const LIVENESS_WAIT: Duration = Duration::from_millis(50);
/// Longest wait of a request that may have crashed three servers: several probes' time.
const VERDICT_WAIT: Duration = Duration::from_millis(250);

impl ForwardedRequest<'_> {
    /// Notes that the connection to a server ended before its answer did, and finds out
    /// whether the server has crashed. One that is draining is expected to end.
    pub(super) fn note_broken(&self, server: &Rc<Server>, error: &io::Error) {
        if !is_end_of_connection(error) || !server.takes_work() {
            return;
        }
        self.traffic.quarantine.begin_crash_check(self.content);
        let request = BrokenRequest { content: self.content, request: self.facts.id.clone() };
        let is_first = server.note_broken(request);
        if is_first {
            let check = LivenessCheck {
                server: server.clone(),
                quarantine: self.traffic.quarantine.clone(),
                board: self.traffic.board.clone(),
                metrics: self.traffic.metrics.clone(),
            };
            actix_rt::spawn(check.run());
        }
    }

    /// Waits a moment until it is known whether the server has crashed under the request:
    /// retried before, it could crash the next one without having been blamed.
    pub(super) async fn wait_for_liveness(&self, server: &Server) {
        let _ = clock::timeout(LIVENESS_WAIT, server.probed()).await;
    }

    /// Waits a moment where the request may have crashed enough servers to be quarantined.
    pub(super) async fn wait_for_verdict(&self) {
        let _ = clock::timeout(VERDICT_WAIT, self.traffic.quarantine.decided(self.content)).await;
    }

    /// Notes that a server has answered the request, to the end that it had announced.
    pub(super) fn note_answered_well(&self) {
        self.traffic.quarantine.note_answer(self.content);
    }
}

fn is_end_of_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

/// Finds out whether a server has crashed under the requests that broke there.
struct LivenessCheck {
    server: Rc<Server>,
    quarantine: QuarantineBoard,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl LivenessCheck {
    async fn run(self) {
        let has_crashed = self.has_crashed().await;
        let broken = self.server.take_broken();
        if has_crashed {
            self.metrics.server_crashes.inc();
            broken.iter().for_each(|request| self.blame(request));
            self.board.heartbeat_wanted.notify_one();
        }
        broken.iter().for_each(|request| self.quarantine.end_crash_check(request.content));
        self.server.note_probed();
    }

    async fn has_crashed(&self) -> bool {
        for _ in 0..PROBES {
            match self.server.pool.probe().await {
                Ok(stream) => {
                    self.server.note_probed();
                    clock::sleep(PROBE_RESTS).await;
                    if self.server.pool.keep(stream) {
                        return false;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
                Err(_) => clock::sleep(PROBE_PAUSE).await,
            }
        }
        false
    }

    fn blame(&self, broken: &BrokenRequest) {
        let incarnation = &*self.server.record().incarnation;
        let (request, content) = (&*broken.request, broken.content.to_string());
        match self.quarantine.note_crash(broken.content, server_key(incarnation)) {
            CrashVerdict::Cleared => {
                info!("[quarantine] a server crashed beside a request that others answer", kv: { request, content, server = incarnation });
            }
            CrashVerdict::Suspect(crashes) => {
                warn!("[quarantine] a server crashed while a request was there", kv: { request, content, server = incarnation, crashes });
            }
            CrashVerdict::Quarantined => {
                warn!("[quarantine] no server gets a request from now on", kv: { request, content, server = incarnation, source = "own" });
            }
        }
    }
}
