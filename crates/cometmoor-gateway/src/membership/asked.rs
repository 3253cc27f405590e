//! The hubs that a node asks for digests, and those that give it none.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

use cometmoor_core::time::Timestamp;

use super::peers::SUSPECT_AFTER;
use super::told::ToldByHubs;

/// The hubs that are asked, and which of them are silent.
#[derive(Clone, Debug, Default)]
pub(super) struct AskedHubs {
    /// Since when each is asked.
    asked: BTreeMap<SocketAddrV4, Timestamp>,
    silent: BTreeSet<SocketAddrV4>,
}

impl AskedHubs {
    /// Notes which hubs are asked now.
    pub(super) fn ask(&mut self, hubs: &[SocketAddrV4], now: Timestamp) {
        self.asked.retain(|hub, _| hubs.contains(hub));
        self.silent.retain(|hub| hubs.contains(hub));
        for hub in hubs {
            self.asked.entry(*hub).or_insert(now);
        }
    }

    /// Notes that a hub gave a digest.
    pub(super) fn heard(&mut self, hub: SocketAddrV4) {
        self.silent.remove(&hub);
    }

    /// Hubs that are asked and give digests.
    pub(super) fn answering(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.asked.keys().copied().filter(|hub| !self.is_silent(*hub))
    }

    /// Whether a hub is asked and gives no digests.
    pub(super) fn is_silent(&self, hub: SocketAddrV4) -> bool {
        self.silent.contains(&hub)
    }

    /// Notes which hubs have been silent for too long.
    pub(super) fn check(&mut self, told: &ToldByHubs, now: Timestamp) {
        for (hub, since) in &self.asked {
            let heard = told.heard(*hub).map_or(*since, |heard| heard.max(*since));
            if now.since(heard) > SUSPECT_AFTER {
                self.silent.insert(*hub);
            }
        }
    }
}
