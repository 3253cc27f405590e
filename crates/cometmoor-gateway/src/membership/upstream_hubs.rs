//! The hubs from which a node requests digests, and which of them are unresponsive.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use cometmoor_core::time::Timestamp;

use super::peers::SUSPECT_AFTER;
use super::received_digests::ReceivedDigests;

/// The hubs from which this node requests digests.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamHubs {
    /// When the node started to request digests from each hub.
    requested_since: BTreeMap<SocketAddrV4, Timestamp>,
    unresponsive: BTreeSet<SocketAddrV4>,
}

impl UpstreamHubs {
    /// Replaces the set of hubs. The state of hubs that stay in it is kept.
    pub(super) fn set(&mut self, hubs: &[SocketAddrV4], now: Timestamp) {
        self.requested_since.retain(|hub, _| hubs.contains(hub));
        self.unresponsive.retain(|hub| hubs.contains(hub));
        for hub in hubs {
            self.requested_since.entry(*hub).or_insert(now);
        }
    }

    /// Records that a hub sent a digest.
    pub(super) fn note_digest(&mut self, hub: SocketAddrV4) {
        self.unresponsive.remove(&hub);
    }

    /// Upstream hubs that send digests.
    pub(super) fn responsive(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.requested_since.keys().copied().filter(|hub| !self.is_unresponsive(*hub))
    }

    /// Whether digests are requested from a hub that sends none.
    pub(super) fn is_unresponsive(&self, hub: SocketAddrV4) -> bool {
        self.unresponsive.contains(&hub)
    }

    /// Marks the hubs that have sent no digest for longer than [`SUSPECT_AFTER`].
    pub(super) fn update_unresponsive(&mut self, received: &ReceivedDigests, now: Timestamp) {
        for (hub, since) in &self.requested_since {
            let last_heard_at =
                received.last_heard_at(*hub).map_or(*since, |heard_at| heard_at.max(*since));
            if now.since(last_heard_at) > SUSPECT_AFTER {
                self.unresponsive.insert(*hub);
            }
        }
    }
}
