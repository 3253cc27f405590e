//! Digests received from hubs, and how long they are valid.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::message::{Digest, RosterUpdate, RosterVersion, ZoneMembers};
use super::peers::{HUB_SUSPECT_AFTER, Member, Rank};

/// Time for which the members listed by an unresponsive hub stay valid, if no responsive hub
/// lists about as many. If all hubs of a zone die at once, the next nodes by rank have to
/// detect that, take over, hear from the nodes of their zone and learn of the other zones:
/// up to 2 s and four messages, at most 0.42 s apart. Without this retention, the zone would
/// know no other node in the meantime.
const DIGEST_RETENTION: Duration = Duration::from_millis(3500);

/// Time for which a new hub may not have heard from all of its nodes: two heartbeats.
const HUB_SETTLING_TIME: Duration = Duration::from_millis(850);

/// The latest digest of a hub and the members that the hub lists.
#[derive(Clone, Debug)]
pub(super) struct ReceivedDigest {
    pub(super) digest: Digest,
    members: BTreeMap<SocketAddrV4, Member>,
    /// Version of the hub's roster to which `members` corresponds; 0 if none was received.
    roster_version: u64,
    pub(super) last_heard_at: Timestamp,
    /// When the hub was first heard.
    first_heard_at: Timestamp,
    /// When a digest of the hub last included the servers' load.
    loads_received: Option<Timestamp>,
}

impl ReceivedDigest {
    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.last_heard_at) <= HUB_SUSPECT_AFTER
    }
}

/// The latest digest of each hub.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedDigests {
    hubs: BTreeMap<SocketAddrV4, ReceivedDigest>,
}

impl ReceivedDigests {
    /// Stores a digest, unless a later one of the same hub was received before.
    pub(super) fn receive(&mut self, mut digest: Digest, now: Timestamp) {
        let order = |digest: &Digest| (digest.incarnation, digest.sequence);
        let known = self.hubs.remove(&digest.hub);
        if let Some(known) = known.as_ref().filter(|known| order(&known.digest) >= order(&digest)) {
            self.hubs.insert(known.digest.hub, known.clone());
            return;
        }
        let is_same_process =
            |known: &ReceivedDigest| known.digest.incarnation == digest.incarnation;
        let first_heard_at = known.as_ref().map_or(now, |known| known.first_heard_at);
        let (mut members, mut roster_version, loads, mut loads_received) = match known {
            Some(known) if is_same_process(&known) => {
                (known.members, known.roster_version, known.digest.loads, known.loads_received)
            }
            Some(known) => (known.members, 0, None, None),
            None => (BTreeMap::new(), 0, None, None),
        };
        if let Some(zones) = &digest.zones {
            members = members_of(zones).collect();
        }
        if let Some(update) = digest.roster.take() {
            roster_version = apply(&mut members, roster_version, update);
        }
        match digest.loads {
            Some(_) => loads_received = Some(now),
            None => digest.loads = loads,
        }
        self.hubs.insert(
            digest.hub,
            ReceivedDigest {
                digest,
                members,
                roster_version,
                last_heard_at: now,
                first_heard_at,
                loads_received,
            },
        );
    }

    /// The version of a hub's roster that this node has; `None` if it has none.
    pub(super) fn roster_version(&self, hub: SocketAddrV4) -> Option<RosterVersion> {
        let received = self.hubs.get(&hub).filter(|received| received.roster_version > 0)?;
        Some(RosterVersion {
            incarnation: received.digest.incarnation,
            number: received.roster_version,
        })
    }

    /// When a hub was last heard.
    pub(super) fn last_heard_at(&self, hub: SocketAddrV4) -> Option<Timestamp> {
        self.hubs.get(&hub).map(|received| received.last_heard_at)
    }

    /// Hubs that were heard recently.
    pub(super) fn alive_hubs(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> {
        self.alive(now).map(|received| received.digest.hub)
    }

    /// Whether a recently heard hub lists a node.
    pub(super) fn is_listed(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.alive(now).any(|received| received.members.contains_key(&address))
    }

    /// Drops digests that are older than [`DIGEST_RETENTION`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.hubs.retain(|_, received| now.since(received.last_heard_at) <= DIGEST_RETENTION);
    }

    /// Digests of hubs that were heard recently.
    pub(super) fn alive(&self, now: Timestamp) -> impl Iterator<Item = &ReceivedDigest> {
        self.hubs.values().filter(move |received| received.is_alive(now))
    }

    /// The digest of the recently heard hub whose servers' load was received last.
    pub(super) fn latest_loads(&self, now: Timestamp) -> Option<&Digest> {
        let with_loads = self.alive(now).filter(|received| received.loads_received.is_some());
        with_loads.max_by_key(|received| received.loads_received).map(|received| &received.digest)
    }

    /// The members that are considered valid. Those listed by an unresponsive hub are valid only
    /// while no hub that has settled lists at least two thirds as many: a new hub knows only
    /// some of the nodes at first, and if more nodes have died together, they have to be
    /// dropped soon.
    pub(super) fn members(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let settled = self
            .alive(now)
            .filter(|received| now.since(received.first_heard_at) >= HUB_SETTLING_TIME);
        let most = settled.map(|received| received.members.len()).max().unwrap_or_default();
        let is_valid = move |received: &&ReceivedDigest| {
            let is_retained = now.since(received.last_heard_at) <= DIGEST_RETENTION
                && 2 * received.members.len() > 3 * most;
            received.is_alive(now) || is_retained
        };
        self.hubs.values().filter(is_valid).flat_map(|received| received.members.values())
    }
}

/// Applies a roster update to the members of version `known`, and returns the version to which
/// they correspond afterwards. An update that is based on a later version is not applied.
fn apply(members: &mut BTreeMap<SocketAddrV4, Member>, known: u64, update: RosterUpdate) -> u64 {
    match update.base_version {
        Some(base) if known == 0 || base > known => return known,
        Some(_) if update.version < known => return known,
        Some(_) => update.removed.iter().for_each(|address| drop(members.remove(address))),
        None => members.clear(),
    }
    members.extend(members_of(&update.updated));
    update.version
}

fn members_of(zones: &[ZoneMembers]) -> impl Iterator<Item = (SocketAddrV4, Member)> {
    zones.iter().flat_map(|zone| {
        zone.members.iter().map(|entry| {
            let rank = Rank::new(entry.capacity, entry.peer_address);
            let member = Member { zone: zone.zone.clone(), entry: *entry, rank };
            (entry.peer_address, member)
        })
    })
}
