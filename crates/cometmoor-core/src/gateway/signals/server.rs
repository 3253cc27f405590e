//! What a node knows of one server by what it reports of itself.

use std::time::Duration;

use super::limit::{KnownLimit, LimitReport, limit_change};
use super::{Denial, Hold, IncarnationHash, SignalChange, SignalReport};
use crate::gateway::quota::VersionedLimit;
use crate::gateway::quota::server_limit::{denial_backoff, server_limit};
use crate::time::BootInstant;

/// Time for which it is remembered that a server leaves: longer than one takes to be gone.
pub(super) const LEAVING_REMEMBERED_FOR: Duration = Duration::from_secs(3600);
/// Time for which it is remembered that a server has no limit any more: answers that are
/// still on their way are older.
const UNLIMITED_REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Messages that carry a record after it has changed. Of datagrams one in twenty may be
/// lost, and hubs pass on what they are sent.
const REPORTS: u32 = 12;
/// Time over which a server comes back into use after its limit or rest has ended, and the
/// share of requests that it begins with.
const EASED_FOR: Duration = Duration::from_secs(2);
const LEAST_EASED_SHARE: f64 = 0.05;

/// A part of a limit that was refused.
#[derive(Clone, Copy, Debug)]
struct Denied {
    recheck_at: BootInstant,
    retry_at: BootInstant,
}

/// What is known of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerSignals {
    limit: Option<KnownLimit>,
    /// Since when it is known to be leaving.
    leaving: Option<BootInstant>,
    rest_until: Option<BootInstant>,
    /// Set while its limit is used up, as far as this node was told.
    denied: Option<Denied>,
    /// Least limit under which a request of this node was granted, and none refused since:
    /// such a limit holds nothing back here.
    ample_from: Option<f64>,
    /// When a limit or a rest of it last ended that may have held requests back.
    eased: Option<BootInstant>,
    /// Number of the last change of its limit.
    revision: u64,
    /// Messages that are yet to carry the record.
    reports_left: u32,
    /// When anything was last learned.
    learned: BootInstant,
}

impl ServerSignals {
    pub(super) fn per_second(&self) -> Option<f64> {
        self.limit.and_then(|limit| limit.per_second)
    }

    pub(super) fn take_limit(&mut self, word: KnownLimit, revision: u64) -> Option<SignalChange> {
        let before = self.per_second();
        match &mut self.limit {
            Some(known) => known.take(word),
            None => self.limit = Some(word),
        }
        let change = limit_change(before, self.per_second())?;
        let was_ample = self.ample_from.is_some() && before >= self.ample_from;
        if change == SignalChange::LimitLifted && !was_ample {
            self.eased = Some(self.learned);
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

    pub(super) fn take_leaving(&mut self, now: BootInstant) -> Option<SignalChange> {
        if self.leaving.is_some() {
            return None;
        }
        self.leaving = Some(now);
        self.reports_left = REPORTS;
        Some(SignalChange::Leaving)
    }

    /// Takes a rest; a longer one that was asked before goes on.
    pub(super) fn take_rest(&mut self, rest: Duration, asked: BootInstant) -> Option<SignalChange> {
        let until = asked + rest;
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

    pub(super) fn is_remembered(&self, now: BootInstant) -> bool {
        let knows_leaving =
            self.leaving.is_some_and(|since| now.since(since) < LEAVING_REMEMBERED_FOR);
        let knows_limit = self.limit.is_some_and(|limit| {
            let age = now.since(limit.observed.received);
            limit.per_second.is_some() || age < UNLIMITED_REMEMBERED_FOR
        });
        let is_eased = self.eased.is_some_and(|ended| now.since(ended) < EASED_FOR);
        knows_leaving || knows_limit || is_eased || self.rest_until.is_some()
    }

    /// Whether it is leaving by its own word.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Its limit, as a quota of all nodes.
    pub(super) fn quota(&self) -> Option<VersionedLimit> {
        self.per_second().map(|per_second| server_limit(per_second, self.revision))
    }

    /// Notes that a part of its limit was granted to this node.
    pub(super) fn note_granted(&mut self) {
        let Some(limit) = self.per_second() else { return };
        self.ample_from = Some(self.ample_from.map_or(limit, |known| known.min(limit)));
    }

    /// Notes that a part of its limit was denied to one of so many nodes.
    pub(super) fn note_denied(&mut self, nodes: usize, denial: Denial, now: BootInstant) {
        if matches!(denial, Denial::Exhausted(_)) {
            self.ample_from = None;
        }
        let Some(limit) = self.quota() else { return };
        let retry_after = denial.retry_after();
        let recheck_at = now + denial_backoff(&limit, nodes, retry_after);
        self.denied = Some(Denied { recheck_at, retry_at: now + retry_after });
    }

    /// Share of requests that it takes part in the choice for.
    pub(super) fn slow_start_share(&self, now: BootInstant) -> f64 {
        let ended = self.rest_until.filter(|until| now >= *until).max(self.eased);
        let Some(ended) = ended else { return 1.0 };
        let part = now.since(ended).as_secs_f64() / EASED_FOR.as_secs_f64();
        (LEAST_EASED_SHARE + (1.0 - LEAST_EASED_SHARE) * part).min(1.0)
    }

    /// Ends its rest if that is over; tells whether it was.
    pub(super) fn end_rest(&mut self, now: BootInstant) -> bool {
        let is_over = self.rest_until.is_some_and(|until| now >= until);
        if is_over {
            self.eased = self.rest_until.take();
        }
        is_over
    }

    /// Messages that are yet to carry the record.
    pub(super) fn reports_left(&self) -> u32 {
        self.reports_left
    }

    /// Has the next messages carry the record.
    pub(super) fn report_again(&mut self) {
        self.reports_left = REPORTS;
    }

    /// The record for a message that carries it.
    pub(super) fn next_report(
        &mut self,
        server: IncarnationHash,
        now: BootInstant,
    ) -> SignalReport {
        self.reports_left = self.reports_left.saturating_sub(1);
        self.report(server, now)
    }

    /// When anything was last learned.
    pub(super) fn learned(&self) -> BootInstant {
        self.learned
    }

    /// Notes that something may be learned now.
    pub(super) fn note_learned(&mut self, now: BootInstant) {
        self.learned = now;
    }
}
