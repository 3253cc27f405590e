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
use cometmoor_core::gateway::quota::server_limit::denial_backoff;
use cometmoor_core::gateway::signals::{Denial, Hold, IncarnationHash};

use super::ForwardedRequest;
use crate::clock;
use crate::metrics::StateLabels;
use crate::quota::{LimitScope, QuotaLimiter};
use crate::servers::Server;

/// Timeout of the decision on a server's limit, after which another server is tried. Most
/// decisions take up to 3 ms, or up to 45 ms if a datagram is lost.
const DECISION_TIMEOUT: Duration = Duration::from_millis(100);
/// Divisor of the backoff after a denial for a brittle server, whose limit has hardly a burst: what
/// no node requests in time is lost.
const BRITTLE_BACKOFF_DIVISOR: u32 = 3;
/// Time for which a server gets no requests after its limit could not be decided on.
const UNDECIDED_HOLD: Duration = Duration::from_millis(100);

/// Permits one request to be sent to a server. Dropping an unused permit refunds it.
pub(super) struct SendPermit {
    quota: Rc<QuotaLimiter>,
    server: IncarnationHash,
    /// Limits of the server of which a part is used.
    limits: Vec<LimitScope>,
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
        if !self.is_sent.get() {
            self.limits.iter().for_each(|scope| self.quota.refund_send(*scope, self.server));
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
        if let Some(hold) = self.hold(server, clock::now()) {
            return Err(hold);
        }
        let quota = self.traffic.quota.clone();
        let is_sent = Cell::new(false);
        let mut permit = SendPermit { quota, server: key, limits: Vec::new(), is_sent };
        self.acquire_brittle(server, &mut permit).await?;
        self.acquire_limited(server, &mut permit).await?;
        // The server may have been put on hold in the meantime.
        match permit.limits.is_empty() {
            true => Ok(permit),
            false => self.hold(server, clock::now()).map_or(Ok(permit), Err),
        }
    }

    /// Acquires a part of what a server that must not have to reject requests can process.
    async fn acquire_brittle(&self, server: &Server, permit: &mut SendPermit) -> Result<(), Hold> {
        let scope = LimitScope::BrittleServers;
        let Some(limit) = self.traffic.brittle.limit(&server.record()) else { return Ok(()) };
        let decision = self.traffic.quota.acquire_send(scope, server.hash(), limit);
        let retry_after = match clock::timeout(DECISION_TIMEOUT, decision).await {
            Ok(Decision::Granted) => {
                permit.limits.push(scope);
                return Ok(());
            }
            Ok(Decision::Refused(retry_after)) => retry_after,
            Ok(Decision::Undecided | Decision::Pending(_)) | Err(_) => UNDECIDED_HOLD,
        };
        let nodes = self.traffic.board.fleet.load().live_nodes;
        let recheck_after = denial_backoff(&limit, nodes, retry_after) / BRITTLE_BACKOFF_DIVISOR;
        self.traffic.brittle.note_denied(&server.record(), recheck_after);
        Err(Hold::OverLimit { recheck_after, retry_after })
    }

    /// Acquires a part of the limit that a server names.
    async fn acquire_limited(&self, server: &Server, permit: &mut SendPermit) -> Result<(), Hold> {
        let key = server.hash();
        let signals = &self.traffic.signals;
        let Some(limit) = signals.limit(key) else { return Ok(()) };
        let decision = self.traffic.quota.acquire_send(LimitScope::Servers, key, limit);
        let denial = match clock::timeout(DECISION_TIMEOUT, decision).await {
            Ok(Decision::Granted) => {
                signals.note_granted(key);
                permit.limits.push(LimitScope::Servers);
                return Ok(());
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
