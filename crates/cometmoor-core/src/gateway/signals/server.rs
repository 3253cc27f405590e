//! The signals of one server as known to this node.

use std::time::Duration;

use super::limit::{KnownLimit, LimitReport, limit_change};
use super::{Denial, Hold, IncarnationHash, SignalChange, SignalReport};
use crate::gateway::quota::VersionedLimit;
use crate::gateway::quota::server_limit::{denial_backoff, server_limit};
use crate::time::BootInstant;

/// How long the leaving signal of a server is retained: longer than a server takes to shut down.
pub(super) const LEAVING_RETENTION: Duration = Duration::from_secs(3600);
/// How long the end of a server's limit is retained, so that older responses and reports still in
/// transit do not restore the limit.
const UNLIMITED_RETENTION: Duration = Duration::from_secs(60);
/// Number of messages that carry a record after it has changed. One in twenty datagrams may be
/// lost, and hubs forward the records they receive.
const TRANSMISSIONS: u32 = 12;
/// Duration of the slow start of a server after its limit or rest has ended.
const SLOW_START: Duration = Duration::from_secs(2);
/// Share of requests at the beginning of a slow start.
const MIN_SLOW_START_SHARE: f64 = 0.05;

/// A denied part of a server's limit. Until `recheck_at` this node does not ask for another one;
/// from `retry_at` on there may be one for a client that retries.
#[derive(Clone, Copy, Debug)]
struct Denied {
    recheck_at: BootInstant,
    retry_at: BootInstant,
}

/// The signals of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerSignals {
    limit: Option<KnownLimit>,
    /// When this node learned that the server is leaving.
    leaving: Option<BootInstant>,
    rest_until: Option<BootInstant>,
    /// The last denial under the current limit.
    denied: Option<Denied>,
    /// The lowest limit under which a request of this node was granted since the last exhaustion.
    /// A limit at least this high is taken not to restrict this node.
    nonbinding_limit: Option<f64>,
    /// When the last limit or rest ended that may have held requests back.
    slow_start_from: Option<BootInstant>,
    /// The table's revision at the last change of the limit.
    revision: u64,
    /// Number of messages still to carry the record.
    transmissions_left: u32,
    /// When a signal was last received.
    updated_at: BootInstant,
}

impl ServerSignals {
    pub(super) fn per_second(&self) -> Option<f64> {
        self.limit.and_then(|limit| limit.per_second)
    }

    pub(super) fn update_limit(&mut self, new: KnownLimit, revision: u64) -> Option<SignalChange> {
        let before = self.per_second();
        match &mut self.limit {
            Some(known) => known.merge(new),
            None => self.limit = Some(new),
        }
        let change = limit_change(before, self.per_second())?;
        let was_nonbinding = self.nonbinding_limit.is_some() && before >= self.nonbinding_limit;
        if change == SignalChange::LimitLifted && !was_nonbinding {
            self.slow_start_from = Some(self.updated_at);
        }
        self.revision = revision;
        self.report_again();
        self.denied = None;
        Some(change)
    }

    pub(super) fn hold(&self, now: BootInstant) -> Option<Hold> {
        if self.leaving.is_some() {
            return Some(Hold::Leaving);
        }
        if let Some(until) = self.rest_until.filter(|until| now < *until) {
            return Some(Hold::Resting(until.since(now)));
        }
        let denied = self.denied.filter(|denied| now < denied.recheck_at)?;
        let (recheck_after, retry_after) =
            (denied.recheck_at.since(now), denied.retry_at.since(now));
        Some(Hold::OverLimit { recheck_after, retry_after })
    }

    pub(super) fn mark_leaving(&mut self, now: BootInstant) -> Option<SignalChange> {
        if self.leaving.is_some() {
            return None;
        }
        self.leaving = Some(now);
        self.transmissions_left = TRANSMISSIONS;
        Some(SignalChange::Leaving)
    }

    /// Starts a rest, unless an earlier one ends no sooner.
    pub(super) fn start_rest(
        &mut self,
        rest: Duration,
        requested: BootInstant,
    ) -> Option<SignalChange> {
        let until = requested + rest;
        if rest.is_zero() || self.rest_until.is_some_and(|known| known >= until) {
            return None;
        }
        self.rest_until = Some(until);
        Some(SignalChange::RestRequested(rest))
    }

    pub(super) fn report(&self, server: IncarnationHash, now: BootInstant) -> SignalReport {
        let limit = self.limit.as_ref().map(|limit| LimitReport::of(limit, now));
        SignalReport { server, limit, is_leaving: self.leaving.is_some() }
    }

    pub(super) fn is_resting(&self, now: BootInstant) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_retained(&self, now: BootInstant) -> bool {
        let retains_leaving =
            self.leaving.is_some_and(|since| now.since(since) < LEAVING_RETENTION);
        let retains_limit = self.limit.is_some_and(|limit| {
            let age = now.since(limit.observed.received);
            limit.per_second.is_some() || age < UNLIMITED_RETENTION
        });
        let is_slow_starting =
            self.slow_start_from.is_some_and(|ended| now.since(ended) < SLOW_START);
        retains_leaving || retains_limit || is_slow_starting || self.rest_until.is_some()
    }

    /// Whether the server has announced that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// The limit as a quota shared by all nodes.
    pub(super) fn quota(&self) -> Option<VersionedLimit> {
        self.per_second().map(|per_second| server_limit(per_second, self.revision))
    }

    /// Records that this node was granted a part of the limit.
    pub(super) fn note_granted(&mut self) {
        let Some(limit) = self.per_second() else { return };
        self.nonbinding_limit = Some(self.nonbinding_limit.map_or(limit, |known| known.min(limit)));
    }

    /// Records that this node, one of `nodes`, was denied a part of the limit.
    pub(super) fn note_denied(&mut self, nodes: usize, denial: Denial, now: BootInstant) {
        if matches!(denial, Denial::Exhausted(_)) {
            self.nonbinding_limit = None;
        }
        let Some(limit) = self.quota() else { return };
        let retry_after = denial.retry_after();
        let recheck_at = now + denial_backoff(&limit, nodes, retry_after);
        self.denied = Some(Denied { recheck_at, retry_at: now + retry_after });
    }

    /// Share of requests for which the server is a candidate: 1 outside of a slow start.
    pub(super) fn slow_start_share(&self, now: BootInstant) -> f64 {
        let ended = self.rest_until.filter(|until| now >= *until).max(self.slow_start_from);
        let Some(ended) = ended else { return 1.0 };
        let progress = now.since(ended).as_secs_f64() / SLOW_START.as_secs_f64();
        (MIN_SLOW_START_SHARE + (1.0 - MIN_SLOW_START_SHARE) * progress).min(1.0)
    }

    /// Clears a rest that is over and returns whether there was one.
    pub(super) fn end_rest(&mut self, now: BootInstant) -> bool {
        let is_over = self.rest_until.is_some_and(|until| now >= until);
        if is_over {
            self.slow_start_from = self.rest_until.take();
        }
        is_over
    }

    /// Number of messages still to carry the record.
    pub(super) fn transmissions_left(&self) -> u32 {
        self.transmissions_left
    }

    /// Schedules the record for the next messages again.
    pub(super) fn report_again(&mut self) {
        self.transmissions_left = TRANSMISSIONS;
    }

    /// Returns the record for one message and counts the transmission.
    pub(super) fn next_report(
        &mut self,
        server: IncarnationHash,
        now: BootInstant,
    ) -> SignalReport {
        self.transmissions_left = self.transmissions_left.saturating_sub(1);
        self.report(server, now)
    }

    /// When a signal was last received.
    pub(super) fn updated_at(&self) -> BootInstant {
        self.updated_at
    }

    /// Records that a signal was received.
    pub(super) fn touch(&mut self, now: BootInstant) {
        self.updated_at = now;
    }
}
