//! Keeps requests from servers that crash under them, and records which requests do not.

use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{MAX_PARTS_PER_REQUEST, PartId, QuarantineStatus};

use super::ForwardedRequest;
use super::outcome::Refusal;
use crate::clock;
use crate::dialect::RequestMetadata;

/// Longest time that a request which may have crashed three servers waits for the verdict: the
/// time of several probes.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(250);
/// Pause between two looks at whether a request that waits for a server is quarantined by now.
const QUARANTINE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The parts of a prompt that other requests may share, without duplicates.
pub(super) fn shared_parts(metadata: &RequestMetadata) -> Rc<[PartId]> {
    let mut parts: Vec<PartId> = Vec::new();
    for part in metadata.shared_parts().iter().map(|part| PartId(part.id)) {
        if parts.len() < MAX_PARTS_PER_REQUEST && !parts.contains(&part) {
            parts.push(part);
        }
    }
    parts.into()
}

impl ForwardedRequest<'_> {
    /// Waits briefly for the verdict if the request may have crashed enough servers to be
    /// quarantined.
    pub(super) async fn wait_for_verdict(&self) {
        let _ = clock::timeout(
            MAX_VERDICT_WAIT,
            self.traffic.quarantine.wait_for_decision(self.content, &self.parts),
        )
        .await;
    }

    /// Why the request must not be sent to any server now, and when it may be; `None` if it may be
    /// sent. The leading node sends a request at times to find out whether its parts still crash
    /// servers.
    pub(super) fn quarantine_refusal(&self) -> Option<(Refusal, Duration)> {
        let quarantine = &self.traffic.quarantine;
        if let QuarantineStatus::Quarantined(left) = quarantine.status(self.content) {
            return Some((Refusal::Quarantined, left));
        }
        let QuarantineStatus::Quarantined(left) = quarantine.parts.status(&self.parts) else {
            return None;
        };
        if !self.is_trial.get() && self.traffic.board.fleet.load().leads {
            self.is_trial.set(quarantine.parts.begin_trial(&self.parts, &self.metadata.id));
        }
        (!self.is_trial.get()).then_some((Refusal::PartQuarantined, left))
    }

    /// Whether the request must not be sent to any server. Like
    /// [`ForwardedRequest::quarantine_refusal`], it may begin a trial.
    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantine_refusal().is_some()
    }

    /// Waits until the request must not be sent to any server.
    pub(super) async fn wait_for_quarantine(&self) {
        while !self.is_quarantined() {
            clock::sleep(QUARANTINE_POLL_INTERVAL).await;
        }
    }

    /// Records that a server has answered the request, or goes on after it has begun to: none of
    /// the parts of its prompt crashes servers.
    pub(super) fn record_harmless_parts(&self) {
        self.traffic.quarantine.parts.note_answer(&self.parts);
    }

    /// Records a complete response, which clears the request of suspicion.
    pub(super) fn record_complete_response(&self) {
        self.traffic.quarantine.note_answer(self.content);
    }
}
