//! Permits to send a request to a server, checked directly before its first byte is sent.
//!
//! Every send needs one: first attempts, retries, streams that resume as another run, and
//! requests that waited in the queue or for a connection. A run that continues from its copy
//! does not: its source has stopped it, so holding it back would interrupt the stream. Runs
//! are only migrated to servers without a limit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quota::Decision;
use cometmoor_core::gateway::signals::{Denial, Hold, IncarnationHash};

use super::ForwardedRequest;
use crate::clock;
use crate::metrics::StateLabels;
use crate::quota::QuotaLimiter;
use crate::servers::Server;

/// Timeout of the decision on a server's limit, after which another server is tried. Most
/// decisions take up to 3 ms, or up to 45 ms if a datagram is lost.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a server gets no requests after its limit could not be decided on.
const UNDECIDED_HOLD: Duration = Duration::from_millis(100);

/// Permits one request to be sent to a server. Dropping an unused permit refunds it.
pub(super) struct SendPermit {
    quota: Rc<QuotaLimiter>,
    /// The server, if it has a limit.
    limited_server: Option<IncarnationHash>,
    /// Whether the request may have reached the server.
    is_sent: Cell<bool>,
}

impl SendPermit {
    /// Sets whether the request may have reached the server, so that the permit is used up.
    pub(super) fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if let Some(server) = self.limited_server.filter(|_| !self.is_sent.get()) {
            self.quota.refund_send(server);
        }
    }
}

impl ForwardedRequest<'_> {
    /// Requests a permit for the server; returns why it is on hold if there is none now.
    pub(super) async fn acquire_send_permit(&self, server: &Server) -> Result<SendPermit, Hold> {
        let permit = self.decide_send_permit(server).await;
        if let Err(hold) = &permit {
            let state = hold.name();
            self.traffic.metrics.held_back.get_or_create(&StateLabels { state }).inc();
        }
        permit
    }

    async fn decide_send_permit(&self, server: &Server) -> Result<SendPermit, Hold> {
        let key = server.hash();
        let signals = &self.traffic.signals;
        let permit = |limited_server| SendPermit {
            quota: self.traffic.quota.clone(),
            limited_server,
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
                // The server may have been put on hold in the meantime.
                return signals.hold(key, clock::now()).map_or(Ok(permit), Err);
            }
            Ok(Decision::Refused(retry_after)) => Denial::Exhausted(retry_after),
            Ok(Decision::Undecided | Decision::Pending(_)) | Err(_) => {
                Denial::Undecided(UNDECIDED_HOLD)
            }
        };
        signals.note_denied(key, self.traffic.board.fleet.load().live_nodes, denial);
        let retry_after = denial.retry_after();
        let denied = Hold::OverLimit { recheck_after: retry_after, retry_after };
        Err(signals.hold(key, clock::now()).unwrap_or(denied))
    }
}
