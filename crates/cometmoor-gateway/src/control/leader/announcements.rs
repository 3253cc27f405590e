//! What the leader tells all nodes of the servers' weights, ahead of the
//! registry.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::Weights;
use cometmoor_core::time::Timestamp;

use crate::load::{ModelKey, ServerKey, model_key, server_key};
use crate::membership::Placement;

/// Time for which a change is told, until the registry tells it.
const TOLD_FOR: Duration = Duration::from_secs(5);

/// Most weights that servers have got and that are told, the newest. The registry tells
/// the others soon; without them their requests go to other servers or wait a moment. At
/// 2,999 servers 750 were told at once, 7 KB to every node with each change.
const MOST_ADDED: usize = 256;

/// Weights on a server.
type Place = (Arc<str>, Weights);

/// The newest change of weights on a server.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Timestamp,
    is_there: bool,
}

/// Changes that the registry may not tell yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    changes: HashMap<Place, Change>,
    sequence: u64,
    told: Option<Placement>,
}

impl Announcements {
    /// Notes that a server has got weights.
    pub(super) fn came(&mut self, server: &Arc<str>, weights: &Weights, now: Timestamp) {
        self.note(server, weights, true, now);
    }

    /// Notes that a server loses weights; a model takes its adapters along.
    pub(super) fn goes(&mut self, server: &Arc<str>, weights: &Weights, now: Timestamp) {
        if weights.adapter.is_none() {
            let with_it = |place: &Place| place.0 == *server && place.1.model == weights.model;
            self.changes.retain(|place, _| !with_it(place));
        }
        self.note(server, weights, false, now);
    }

    fn note(&mut self, server: &Arc<str>, weights: &Weights, is_there: bool, now: Timestamp) {
        self.changes.insert((server.clone(), weights.clone()), Change { at: now, is_there });
    }

    /// What nodes are to know; changes that are told for long enough are dropped.
    pub(super) fn placement(
        &mut self,
        leader: SocketAddrV4,
        token: u64,
        now: Timestamp,
    ) -> Placement {
        self.changes.retain(|_, change| now.since(change.at) < TOLD_FOR);
        let (added, withdrawn) = (self.keys(true, MOST_ADDED), self.keys(false, usize::MAX));
        let sequence = self.sequence;
        let placement = Placement { token, sequence, leader, added, withdrawn };
        self.numbered(placement)
    }

    /// Weights that servers have got, or lose: the newest so many.
    fn keys(&self, is_there: bool, most: usize) -> Vec<(ServerKey, ModelKey)> {
        let told = self.changes.iter().filter(|(_, change)| change.is_there == is_there);
        let mut told: Vec<_> = told
            .map(|((server, weights), change)| {
                let model = model_key(&weights.model, weights.adapter.as_deref());
                (Reverse(change.at), (server_key(server), model))
            })
            .collect();
        told.sort_unstable();
        told.truncate(most);
        let mut keys: Vec<_> = told.into_iter().map(|(_, key)| key).collect();
        keys.sort_unstable();
        keys
    }

    /// The placement with the next number, where it differs from the last one.
    fn numbered(&mut self, placement: Placement) -> Placement {
        if self.told.as_ref() == Some(&placement) {
            return placement;
        }
        self.sequence += 1;
        let placement = Placement { sequence: self.sequence, ..placement };
        self.told = Some(placement.clone());
        placement
    }
}
