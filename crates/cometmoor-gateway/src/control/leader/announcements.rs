//! Changes to the weights on servers that the leader announces to all nodes before the registry
//! contains them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::orders::Weights;
use cometmoor_core::time::Timestamp;

use crate::load::{ModelKey, ServerKey, model_key, server_key};
use crate::membership::Placement;

/// Time for which a change is announced, until the registry contains it.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(5);

/// Maximum number of added weights that are announced, the newest ones. The registry soon contains
/// the others; until then their requests go to other servers or wait briefly. With 2,999 servers,
/// 750 were announced at once: 7 KB to every node with each change.
const MAX_ADDED: usize = 256;

/// Weights on a server.
type ServerWeights = (Arc<str>, Weights);

/// The latest change to weights on a server.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Timestamp,
    is_added: bool,
}

/// Changes that the registry may not contain yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    changes: HashMap<ServerWeights, Change>,
    sequence: u64,
    latest: Option<Placement>,
}

impl Announcements {
    /// Records that a server now holds weights.
    pub(super) fn record_added(&mut self, server: &Arc<str>, weights: &Weights, now: Timestamp) {
        self.record(server, weights, true, now);
    }

    /// Records that weights are withdrawn from a server; with a model, its adapters are too.
    pub(super) fn record_withdrawn(
        &mut self,
        server: &Arc<str>,
        weights: &Weights,
        now: Timestamp,
    ) {
        if weights.adapter.is_none() {
            let is_of_model =
                |held: &ServerWeights| held.0 == *server && held.1.model == weights.model;
            self.changes.retain(|held, _| !is_of_model(held));
        }
        self.record(server, weights, false, now);
    }

    fn record(&mut self, server: &Arc<str>, weights: &Weights, is_added: bool, now: Timestamp) {
        self.changes.insert((server.clone(), weights.clone()), Change { at: now, is_added });
    }

    /// The placement to announce. Changes that have been announced for long enough are dropped.
    pub(super) fn placement(
        &mut self,
        leader: SocketAddrV4,
        token: u64,
        now: Timestamp,
    ) -> Placement {
        self.changes.retain(|_, change| now.since(change.at) < ANNOUNCEMENT_TIME);
        let (added, withdrawn) = (self.keys(true, MAX_ADDED), self.keys(false, usize::MAX));
        let sequence = self.sequence;
        let placement = Placement { token, sequence, leader, added, withdrawn };
        self.with_sequence(placement)
    }

    /// Keys of the added or the withdrawn weights, at most `max` of the newest.
    fn keys(&self, is_added: bool, max: usize) -> Vec<(ServerKey, ModelKey)> {
        let changes = self.changes.iter().filter(|(_, change)| change.is_added == is_added);
        let mut changes: Vec<_> = changes
            .map(|((server, weights), change)| {
                let model = model_key(&weights.model, weights.adapter.as_deref());
                (Reverse(change.at), (server_key(server), model))
            })
            .collect();
        changes.sort_unstable();
        changes.truncate(max);
        let mut keys: Vec<_> = changes.into_iter().map(|(_, key)| key).collect();
        keys.sort_unstable();
        keys
    }

    /// The placement with the next sequence number if it differs from the latest one.
    fn with_sequence(&mut self, placement: Placement) -> Placement {
        if self.latest.as_ref() == Some(&placement) {
            return placement;
        }
        self.sequence += 1;
        let placement = Placement { sequence: self.sequence, ..placement };
        self.latest = Some(placement.clone());
        placement
    }
}
