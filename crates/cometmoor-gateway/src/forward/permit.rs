//! The last check before a request's first byte leaves for a server.
//!
//! Every send passes it: first ones, repeats, streams that go on as another run, requests
//! that waited or whose connection was being opened. A run that goes on from its copy does
//! not: its source has stopped, and holding it back would cut the stream. It only moves to a
//! server without a limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quota::Decision;
use cometmoor_core::gateway::signals::{Denial, Hold, IncarnationHash};

use super::ForwardedRequest;
use crate::clock;
use crate::metrics::StateLabels;
use crate::quota::QuotaDesk;
use crate::servers::Server;

/// Longest wait for the decision on a server's limit; another server is tried then. Most
/// come within 3 ms, or within 45 ms where a datagram is lost.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a server is left alone on whose limit nobody could decide.
const UNDECIDED_FOR: Duration = Duration::from_millis(100);

/// Allows one request to be sent to a server. What is not used goes back.
pub(super) struct SendPermit {
    desk: Rc<QuotaDesk>,
    /// The server, where it has a limit.
    limited: Option<IncarnationHash>,
    /// Whether the request may have reached the server.
    is_sent: Cell<bool>,
}

impl SendPermit {
    /// Notes whether the request may have reached the server.
    pub(super) fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(server) = self.limited.filter(|_| !self.is_sent.get()) {
            self.desk.give_send_back(server);
        }
    }
}

impl ForwardedRequest<'_> {
    /// Asks whether the server may get the request now.
    pub(super) async fn send_permit(&self, server: &Server) -> Result<SendPermit, Hold> {
        let permit = self.ask_for_permit(server).await;
        if let Err(hold) = &permit {
            let state = hold.name();
            self.traffic.metrics.held_back.get_or_create(&StateLabels { state }).inc();
        }
        permit
    }

    async fn ask_for_permit(&self, server: &Server) -> Result<SendPermit, Hold> {
        let key = server.hash();
        let signals = &self.traffic.signals;
        let permit = |limited| SendPermit {
            desk: self.traffic.quota.clone(),
            limited,
            is_sent: Cell::new(false),
        };
        if let Some(hold) = signals.hold(key, clock::now()) {
            return Err(hold);
        }
        let Some(limit) = signals.limit(key) else { return Ok(permit(None)) };
        let decision = self.traffic.quota.acquire_send(key, limit);
        let denial = match clock::timeout(DECISION_TIMEOUT, decision).await {
            Ok(Decision::Granted) => {
                signals.note_granted(key);
                let permit = permit(Some(key));
                // It may have been heard meanwhile that the server takes nothing.
                return signals.hold(key, clock::now()).map_or(Ok(permit), Err);
            }
            Ok(Decision::Refused(room)) => Denial::Exhausted(room),
            Ok(Decision::Undecided | Decision::Pending(_)) | Err(_) => {
                Denial::Undecided(UNDECIDED_FOR)
            }
        };
        signals.note_denied(key, self.traffic.board.fleet.load().nodes_heard, denial);
        let room = denial.retry_after();
        let denied = Hold::OverLimit { recheck_after: room, retry_after: room };
        Err(signals.hold(key, clock::now()).unwrap_or(denied))
    }
}
