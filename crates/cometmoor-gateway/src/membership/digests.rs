//! Digests: what hubs report about many nodes together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

use cometmoor_core::time::Timestamp;

use super::message::{Digest, Heartbeat, MemberEntry, RelayedPlacement, ZoneMembers};
use super::{Membership, add};
use crate::load::{ServerKey, ServerLoad};

/// Maximum number of servers whose load a digest includes.
const MAX_SERVER_LOADS: usize = 256;

impl Membership {
    /// A digest with the versions of this node's copies, the leader's placement and the reports
    /// of the node's own heartbeat, but without members and load.
    pub(super) fn base_digest(&self, own: &Heartbeat, now: Timestamp) -> Digest {
        Digest {
            hub: self.own,
            zone: self.zone.clone(),
            incarnation: own.incarnation,
            sequence: self.hub.sequence,
            versions: own.versions,
            zones: None,
            roster: None,
            loads: None,
            placement: self.relayed_placement(own, now),
            suspects: own.suspects.clone(),
            signals: own.signals.clone(),
        }
    }

    /// The latest placement in full, which is this node's own if it is the latest leader.
    fn relayed_placement(&self, own: &Heartbeat, now: Timestamp) -> Option<RelayedPlacement> {
        let own = own.placement.as_ref().map(|placement| (placement, now));
        let known = own.into_iter().chain(self.placement(now));
        let (placement, sent_at) = known.max_by_key(|(placement, _)| placement.version())?;
        let age = now.since(sent_at).as_millis();
        Some(RelayedPlacement {
            leader: placement.leader,
            version: placement.version(),
            age_millis: u32::try_from(age).unwrap_or(u32::MAX),
            placement: Some(placement.clone()),
        })
    }

    /// The digest of this zone's nodes and their load, taken only from their own heartbeats.
    pub(super) fn zone_digest(&self, own: &Heartbeat, base: &Digest, now: Timestamp) -> Digest {
        let in_zone = self.direct.alive(now).filter(|peer| peer.heartbeat.zone == self.zone);
        let mut members: Vec<MemberEntry> = in_zone.map(|peer| peer.entry()).collect();
        members.push(own_entry(own));
        members.sort_by_key(|member| member.peer_address);
        let zones = Some(vec![ZoneMembers { zone: self.zone.clone(), members }]);
        let loads = Some(busiest(self.with_own_load(own, self.heartbeat_load(now))));
        Digest { zones, loads, ..base.clone() }
    }

    /// Load of all nodes on the busiest servers.
    pub(super) fn fleet_loads(
        &self,
        own: &Heartbeat,
        now: Timestamp,
    ) -> Vec<(ServerKey, ServerLoad)> {
        busiest(self.with_own_load(own, self.summed_remote_load(now)))
    }

    /// All nodes, taken from their own heartbeats and from the zone digests of other hubs. Fleet
    /// digests are ignored: two nodes that use each other as hubs would keep nodes that are gone
    /// alive between them.
    pub(super) fn fleet_members(&self, own: &Heartbeat, now: Timestamp) -> Vec<ZoneMembers> {
        let mut zones: BTreeMap<&str, BTreeMap<SocketAddrV4, MemberEntry>> = BTreeMap::new();
        for member in self.zone_digests.values().flat_map(|received| received.members(now)) {
            zones.entry(&member.zone).or_default().insert(member.address(), member.entry);
        }
        for peer in self.direct.alive(now) {
            let zone = zones.entry(&peer.heartbeat.zone).or_default();
            zone.insert(peer.heartbeat.peer_address, peer.entry());
        }
        zones.entry(&self.zone).or_default().insert(self.own, own_entry(own));
        let zones = zones.into_iter();
        zones
            .map(|(zone, members)| ZoneMembers {
                zone: zone.to_owned(),
                members: members.into_values().collect(),
            })
            .collect()
    }

    /// Adds this node's own load, if its heartbeat includes it.
    fn with_own_load(
        &self,
        own: &Heartbeat,
        mut loads: HashMap<ServerKey, ServerLoad>,
    ) -> HashMap<ServerKey, ServerLoad> {
        own.loads.iter().flatten().for_each(|load| add(&mut loads, load));
        loads
    }
}

fn own_entry(own: &Heartbeat) -> MemberEntry {
    MemberEntry {
        peer_address: own.peer_address,
        client_address: own.client_address,
        phase: own.phase,
        reads_store: own.reads_store,
        store_fails: own.store_fails,
        capacity: own.capacity,
    }
}

/// The [`MAX_SERVER_LOADS`] servers with the most requests in flight, busiest first.
fn busiest(loads: HashMap<ServerKey, ServerLoad>) -> Vec<(ServerKey, ServerLoad)> {
    let mut loads: Vec<(ServerKey, ServerLoad)> = loads.into_iter().collect();
    loads.sort_unstable_by_key(|(server, load)| (Reverse(load.in_flight), *server));
    loads.truncate(MAX_SERVER_LOADS);
    loads
}
