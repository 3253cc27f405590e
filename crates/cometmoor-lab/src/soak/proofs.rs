//! When nodes could show that a key still holds, by when the store answered.

use std::time::Duration;

use super::history::{History, RequestRecord};
use super::tenants::REVOCATION_BOUND;

/// Time for which nodes have to admit keys that the store answers no more. They do so for three
/// quarters of the bound on revocation, by a proof that is up to a quarter old.
const ADMITTED_FOR: Duration = Duration::from_millis(REVOCATION_BOUND.as_millis() as u64 / 2);
/// Time for which a store that has come back from an older copy proves nothing, as the operator
/// may still have to write again that a key was taken away.
const UNPROVEN_AFTER_RESTORE: Duration = Duration::from_millis(2500);
/// Time by which all nodes have a proof again once the store can give one.
const PROVEN_AGAIN_AFTER: Duration = Duration::from_millis(500);

impl History {
    /// Whether nodes could not show, at some time of a request, that its key still held.
    pub(super) fn may_be_unproven(&self, request: &RequestRecord) -> bool {
        self.spans_without_proof().into_iter().any(|(from, until)| {
            request.done > from + ADMITTED_FOR
                && request.sent < until.saturating_add(PROVEN_AGAIN_AFTER)
        })
    }

    /// When the store proved nothing. What it proves in a shorter span than nodes need to ask
    /// for it does not end one.
    fn spans_without_proof(&self) -> Vec<(Duration, Duration)> {
        let outages = self.store_outages.iter();
        let outages = outages.map(|outage| (outage.from, outage.until.unwrap_or(Duration::MAX)));
        let restores = self.store_restores.iter();
        let restores = restores.map(|restored| (*restored, *restored + UNPROVEN_AFTER_RESTORE));
        let mut spans: Vec<(Duration, Duration)> = outages.chain(restores).collect();
        spans.sort_unstable();
        let mut merged: Vec<(Duration, Duration)> = Vec::new();
        for (from, until) in spans {
            match merged.last_mut() {
                Some(last) if from <= last.1.saturating_add(PROVEN_AGAIN_AFTER) => {
                    last.1 = last.1.max(until);
                }
                _ => merged.push((from, until)),
            }
        }
        merged
    }
}
