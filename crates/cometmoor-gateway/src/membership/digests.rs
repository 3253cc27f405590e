//! What hubs tell of many nodes together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use cometmoor_core::time::Timestamp;

use super::message::{Digest, Heartbeat, MemberEntry, ToldPlacement, ZoneMembers};
use super::{Membership, add};
use crate::load::{ServerKey, ServerLoad};

/// Most servers whose load a digest tells.
const MAX_LOADS: usize = 256;

impl Membership {
    /// A digest that tells only how new copies are, and what the node says that
    /// orders the servers.
    pub(super) fn brief_digest(&self, own: &Heartbeat, now: Timestamp) -> Digest {
        Digest {
            hub: self.own,
            zone: self.zone.clone(),
            incarnation: own.incarnation,
            sequence: self.hub.sequence,
            versions: own.versions,
            zones: None,
            roster: None,
            loads: None,
            placement: self.told_placement(own, now),
            suspects: own.suspects.clone(),
            signals: own.signals.clone(),
        }
    }

    /// The newest of the leader's word, its own where this node leads, whole.
    fn told_placement(&self, own: &Heartbeat, now: Timestamp) -> Option<ToldPlacement> {
        let own = own.placement.as_ref().map(|placement| (placement, now));
        let known = own.into_iter().chain(self.placement(now));
        let (placement, said) = known.max_by_key(|(placement, _)| placement.version())?;
        let age = now.since(said).as_millis();
        Some(ToldPlacement {
            leader: placement.leader,
            version: placement.version(),
            age_millis: u32::try_from(age).unwrap_or(u32::MAX),
            whole: Some(placement.clone()),
        })
    }

    /// The nodes of this zone and their load, by their own heartbeats only.
    pub(super) fn zone_digest(&self, own: &Heartbeat, brief: &Digest, now: Timestamp) -> Digest {
        let in_zone = self.direct.alive(now).filter(|peer| peer.heartbeat.zone == self.zone);
        let mut members: Vec<MemberEntry> = in_zone.map(|peer| peer.entry()).collect();
        members.push(entry_of(own));
        members.sort_by_key(|member| member.peer_address);
        let zones = Some(vec![ZoneMembers { zone: self.zone.clone(), members }]);
        let loads = Some(busiest(self.with_own(own, self.zone_load(now))));
        Digest { zones, loads, ..brief.clone() }
    }

    /// Load of all nodes.
    pub(super) fn fleet_loads(
        &self,
        own: &Heartbeat,
        now: Timestamp,
    ) -> Vec<(ServerKey, ServerLoad)> {
        busiest(self.with_own(own, self.load_of_others(now)))
    }

    /// All nodes, by their own heartbeats and what hubs of other zones told. What
    /// other nodes' digests of the fleet tell is left out: two nodes that take
    /// each other for hubs would keep those that are gone.
    pub(super) fn fleet_zones(&self, own: &Heartbeat, now: Timestamp) -> Vec<ZoneMembers> {
        let mut zones: BTreeMap<&str, BTreeMap<SocketAddrV4, MemberEntry>> = BTreeMap::new();
        for member in self.zones.values().flat_map(|told| told.members(now)) {
            zones.entry(&member.zone).or_default().insert(member.address(), member.entry);
        }
        for peer in self.direct.alive(now) {
            let zone = zones.entry(&peer.heartbeat.zone).or_default();
            zone.insert(peer.heartbeat.peer_address, peer.entry());
        }
        zones.entry(&self.zone).or_default().insert(self.own, entry_of(own));
        let zones = zones.into_iter();
        zones
            .map(|(zone, members)| ZoneMembers {
                zone: zone.to_owned(),
                members: members.into_values().collect(),
            })
            .collect()
    }

    /// Load with this node's own added, where its heartbeat tells it.
    fn with_own(
        &self,
        own: &Heartbeat,
        mut loads: HashMap<ServerKey, ServerLoad>,
    ) -> HashMap<ServerKey, ServerLoad> {
        own.loads.iter().flatten().for_each(|load| add(&mut loads, load));
        loads
    }
}

fn entry_of(own: &Heartbeat) -> MemberEntry {
    MemberEntry {
        peer_address: own.peer_address,
        client_address: own.client_address,
        phase: own.phase,
        reads_store: own.reads_store,
        store_fails: own.store_fails,
    }
}

/// The servers with most load, the busiest first.
fn busiest(loads: HashMap<ServerKey, ServerLoad>) -> Vec<(ServerKey, ServerLoad)> {
    let mut loads: Vec<(ServerKey, ServerLoad)> = loads.into_iter().collect();
    loads.sort_unstable_by_key(|(server, load)| (Reverse(load.in_flight), *server));
    loads.truncate(MAX_LOADS);
    loads
}
