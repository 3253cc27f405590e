//! The newest that is known of the node that orders the servers, and how long ago
//! it said so itself.

use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::message::{Placement, PlacementVersion, ToldPlacement};

/// Age of the leader's word from which on it counts no more. It reaches nodes of a
/// large fleet through two hubs, each of which passes it on after 0.42 s at most.
/// Nodes go by the age: were each to take it as said when it was passed on, hubs
/// would keep the word of a leader that has died alive for one another for ever.
const LIFE: Duration = Duration::from_millis(2500);
/// Time between two digests that tell an unchanged placement whole, for those whose
/// last one was lost.
const WHOLE_EACH: Duration = Duration::from_millis(600);

/// What a leader said, and when.
#[derive(Clone, Debug)]
struct Said {
    placement: Placement,
    at: Timestamp,
}

/// The leader's word, as this node knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaderWord {
    newest: Option<Said>,
    /// A leader that said that it has stopped, and what it had told until then.
    stopped: Option<(SocketAddrV4, PlacementVersion)>,
}

impl LeaderWord {
    /// Takes what a node says of itself: that it leads, or that it does not.
    pub(super) fn hear(
        &mut self,
        node: SocketAddrV4,
        placement: Option<&Placement>,
        now: Timestamp,
    ) {
        match (placement, &self.newest) {
            (Some(placement), _) => {
                self.stopped = self.stopped.filter(|(stopped, _)| *stopped != node);
                self.take(Said { placement: placement.clone(), at: now });
            }
            (None, Some(said)) if said.placement.leader == node => {
                self.stopped = Some((node, said.placement.version()));
                self.newest = None;
            }
            (None, _) => {}
        }
    }

    /// Takes what a hub passes on.
    pub(super) fn take_told(&mut self, told: &ToldPlacement, now: Timestamp) {
        let age = Duration::from_millis(told.age_millis.into());
        let at = Timestamp(now.0.saturating_sub(u64::from(told.age_millis)));
        if age > LIFE || self.has_stopped(told) {
            return;
        }
        if let Some(placement) = &told.whole {
            return self.take(Said { placement: placement.clone(), at });
        }
        // What it has told meanwhile comes with another digest.
        if let Some(said) = &mut self.newest
            && said.placement.leader == told.leader
            && said.placement.token == told.version.token
        {
            said.at = said.at.max(at);
        }
    }

    fn has_stopped(&self, told: &ToldPlacement) -> bool {
        self.stopped
            .is_some_and(|(leader, version)| leader == told.leader && told.version <= version)
    }

    fn take(&mut self, said: Said) {
        let Some(newest) = &mut self.newest else {
            self.newest = Some(said);
            return;
        };
        let (known, version) = (newest.placement.version(), said.placement.version());
        match known == version && newest.placement.leader == said.placement.leader {
            true => newest.at = newest.at.max(said.at),
            false if version > known || said.at.since(newest.at) > LIFE => *newest = said,
            false => {}
        }
    }

    /// Drops a word that is too old.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.newest = self.newest.take().filter(|said| now.since(said.at) <= LIFE);
    }

    /// What the leader told, and when.
    pub(super) fn newest(&self, now: Timestamp) -> Option<(&Placement, Timestamp)> {
        let said = self.newest.as_ref().filter(|said| now.since(said.at) <= LIFE)?;
        Some((&said.placement, said.at))
    }
}

/// What a hub has told of the leader's word.
#[derive(Clone, Debug, Default)]
pub(super) struct ToldWord {
    version: Option<PlacementVersion>,
    whole_at: Option<Timestamp>,
}

impl ToldWord {
    /// Whether a placement is to be told whole now; notes that it is. Told in each
    /// digest, it was 97% of the bytes between hubs and 80% of those to nodes, and
    /// filled the links of 90 nodes (played day, bytes by kind of message).
    pub(super) fn whole_is_due(&mut self, version: PlacementVersion, now: Timestamp) -> bool {
        let is_new = self.version != Some(version);
        self.note_if(is_new || self.has_rested(now), version, now)
    }

    /// The same for other hubs, whom the leader tells itself: they are told whole only
    /// for those who missed its last word. Between the twelve hubs of 301 nodes each
    /// change would be passed on 132 times.
    pub(super) fn whole_is_due_to_hubs(
        &mut self,
        version: PlacementVersion,
        now: Timestamp,
    ) -> bool {
        self.note_if(self.has_rested(now), version, now)
    }

    fn has_rested(&self, now: Timestamp) -> bool {
        self.whole_at.is_none_or(|told| now.since(told) >= WHOLE_EACH)
    }

    fn note_if(&mut self, due: bool, version: PlacementVersion, now: Timestamp) -> bool {
        if due {
            self.version = Some(version);
            self.whole_at = Some(now);
        }
        due
    }
}
