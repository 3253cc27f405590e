//! The latest announcement of the leader, and how long ago the leader itself made it.

use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::message::{Placement, PlacementVersion, RelayedPlacement};

/// Age from which on an announcement is ignored. It reaches the nodes of a large fleet through
/// two hubs, each of which relays it after at most 0.42 s. The age is counted from the leader's
/// own message: if each node counted from the time at which it was relayed, hubs would keep the
/// announcement of a dead leader alive among themselves forever.
const MAX_AGE: Duration = Duration::from_millis(2500);
/// Interval at which digests include an unchanged placement in full, for nodes that lost the
/// previous one.
const FULL_PLACEMENT_INTERVAL: Duration = Duration::from_millis(600);

/// A leader's placement, and when the leader sent it.
#[derive(Clone, Debug)]
struct Announcement {
    placement: Placement,
    sent: Timestamp,
}

/// The leader's latest announcement, as far as this node knows.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderAnnouncement {
    latest: Option<Announcement>,
    /// A leader that has stepped down, and the version of its last placement.
    stepped_down: Option<(SocketAddrV4, PlacementVersion)>,
}

impl LeaderAnnouncement {
    /// Handles a node's own heartbeat, which carries a placement only if the node is leader.
    pub(super) fn receive_direct(
        &mut self,
        node: SocketAddrV4,
        placement: Option<&Placement>,
        now: Timestamp,
    ) {
        match (placement, &self.latest) {
            (Some(placement), _) => {
                self.stepped_down = self.stepped_down.filter(|(leader, _)| *leader != node);
                self.accept(Announcement { placement: placement.clone(), sent: now });
            }
            (None, Some(latest)) if latest.placement.leader == node => {
                self.stepped_down = Some((node, latest.placement.version()));
                self.latest = None;
            }
            (None, _) => {}
        }
    }

    /// Handles an announcement that a hub relays.
    pub(super) fn receive_relayed(&mut self, relayed: &RelayedPlacement, now: Timestamp) {
        let age = Duration::from_millis(relayed.age_millis.into());
        let sent = Timestamp(now.0.saturating_sub(u64::from(relayed.age_millis)));
        if age > MAX_AGE || self.has_stepped_down(relayed) {
            return;
        }
        if let Some(placement) = &relayed.placement {
            return self.accept(Announcement { placement: placement.clone(), sent });
        }
        // Changes to the placement since then arrive with another digest.
        if let Some(latest) = &mut self.latest
            && latest.placement.leader == relayed.leader
            && latest.placement.token == relayed.version.token
        {
            latest.sent = latest.sent.max(sent);
        }
    }

    fn has_stepped_down(&self, relayed: &RelayedPlacement) -> bool {
        self.stepped_down
            .is_some_and(|(leader, version)| leader == relayed.leader && relayed.version <= version)
    }

    fn accept(&mut self, new: Announcement) {
        let Some(latest) = &mut self.latest else {
            self.latest = Some(new);
            return;
        };
        let (known, version) = (latest.placement.version(), new.placement.version());
        match known == version && latest.placement.leader == new.placement.leader {
            true => latest.sent = latest.sent.max(new.sent),
            false if version > known || new.sent.since(latest.sent) > MAX_AGE => *latest = new,
            false => {}
        }
    }

    /// Drops an announcement that has expired.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.latest = self.latest.take().filter(|latest| now.since(latest.sent) <= MAX_AGE);
    }

    /// The leader's placement and when the leader sent it; `None` if there is none that is
    /// recent enough.
    pub(super) fn latest(&self, now: Timestamp) -> Option<(&Placement, Timestamp)> {
        let latest = self.latest.as_ref().filter(|latest| now.since(latest.sent) <= MAX_AGE)?;
        Some((&latest.placement, latest.sent))
    }
}

/// When a hub last relayed the placement in full.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementRelay {
    version: Option<PlacementVersion>,
    full_sent_at: Option<Timestamp>,
}

impl PlacementRelay {
    /// Whether the next digest for nodes has to include the placement in full, which is then
    /// recorded as sent. Included in each digest, placements were 97% of the bytes between
    /// hubs and 80% of those to nodes, and saturated the links of 90 nodes (simulated day,
    /// bytes by kind of message).
    pub(super) fn full_is_due(&mut self, version: PlacementVersion, now: Timestamp) -> bool {
        let is_new = self.version != Some(version);
        self.record_if(is_new || self.interval_elapsed(now), version, now)
    }

    /// The same for digests to other hubs. The leader sends its placement to hubs directly, so
    /// the full one is only for hubs that lost that message. With twelve hubs, for 301 nodes,
    /// each change would otherwise be relayed 132 times.
    pub(super) fn full_is_due_for_hubs(
        &mut self,
        version: PlacementVersion,
        now: Timestamp,
    ) -> bool {
        self.record_if(self.interval_elapsed(now), version, now)
    }

    fn interval_elapsed(&self, now: Timestamp) -> bool {
        self.full_sent_at.is_none_or(|sent| now.since(sent) >= FULL_PLACEMENT_INTERVAL)
    }

    fn record_if(&mut self, due: bool, version: PlacementVersion, now: Timestamp) -> bool {
        if due {
            self.version = Some(version);
            self.full_sent_at = Some(now);
        }
        due
    }
}
