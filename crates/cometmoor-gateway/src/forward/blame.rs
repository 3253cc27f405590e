//! Which requests were at a server when it ended.
//!
//! A connection that breaks has many causes; a server that refuses new ones right after
//! has ended. Its entry goes 2.6 to 3.4 s later, when three more may have ended under the
//! request that ended it.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::Verdict;
use spdlog::{info, warn};

use super::Forward;
use crate::clock;
use crate::load::server_key;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::quarantine::QuarantineBoard;
use crate::servers::{BrokenRequest, Server};

/// Looks whether a server has ended, where connecting takes too long.
const LOOKS: u32 = 3;
/// Pause between two of them.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait of a request that is to be sent again; an address that refuses connections
/// does so within a millisecond.
const INQUIRY_WAIT: Duration = Duration::from_millis(50);

impl Forward<'_> {
    /// Notes that the connection to a server ended before its answer did, and finds out
    /// whether the server has ended. One that leaves is expected to end.
    pub(super) fn note_broken(&self, server: &Rc<Server>, error: &io::Error) {
        if !is_end_of_connection(error) || !server.takes_work() {
            return;
        }
        let request = BrokenRequest { content: self.content, request: self.facts.id.clone() };
        let is_first = server.note_broken(request);
        if is_first {
            let inquiry = Inquiry {
                server: server.clone(),
                quarantine: self.traffic.quarantine.clone(),
                board: self.traffic.board.clone(),
                metrics: self.traffic.metrics.clone(),
            };
            actix_rt::spawn(inquiry.run());
        }
    }

    /// Waits a moment until it is known whether the server has ended under the request:
    /// sent again before, it could end the next one without having been blamed.
    pub(super) async fn wait_for_inquiry(&self, server: &Server) {
        let _ = clock::timeout(INQUIRY_WAIT, server.inquired()).await;
    }

    /// Notes that a server has answered the request well, to the end that it had announced.
    pub(super) fn note_answered_well(&self) {
        self.traffic.quarantine.note_answer(self.content);
    }
}

fn is_end_of_connection(error: &io::Error) -> bool {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, UnexpectedEof};
    matches!(error.kind(), BrokenPipe | ConnectionAborted | ConnectionReset | UnexpectedEof)
}

/// Finds out whether a server has ended under the requests that broke there.
struct Inquiry {
    server: Rc<Server>,
    quarantine: QuarantineBoard,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
}

impl Inquiry {
    async fn run(self) {
        let has_ended = self.has_ended().await;
        if has_ended {
            self.metrics.servers_ended.inc();
            self.server.broken().iter().for_each(|request| self.blame(request));
            self.board.heartbeat_wanted.notify_one();
        }
        self.server.forget_broken();
    }

    async fn has_ended(&self) -> bool {
        for _ in 0..LOOKS {
            match self.server.pool.probe().await {
                Ok(()) => return false,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return true,
                Err(_) => clock::sleep(LOOK_PAUSE).await,
            }
        }
        false
    }

    fn blame(&self, broken: &BrokenRequest) {
        let incarnation = &*self.server.record().incarnation;
        let (request, content) = (&*broken.request, broken.content.to_string());
        match self.quarantine.note_end(broken.content, server_key(incarnation)) {
            Verdict::Cleared => {
                info!("[quarantine] a server ended beside a request that others answer", kv: { request, content, server = incarnation });
            }
            Verdict::Suspect(ends) => {
                warn!("[quarantine] a server ended while a request was there", kv: { request, content, server = incarnation, ends });
            }
            Verdict::Kept => {
                warn!("[quarantine] a request is kept from all servers", kv: { request, content, server = incarnation, source = "own" });
            }
        }
    }
}
