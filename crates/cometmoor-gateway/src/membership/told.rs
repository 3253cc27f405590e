//! What hubs told of many nodes, and for how long it counts.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::message::{Digest, RosterUpdate, RosterVersion, ZoneMembers};
use super::peers::{HUB_SUSPECT_AFTER, Member, Rank};

/// Time for which the members that a silent hub told still count, where no hub that is
/// heard tells about as many. Where all hubs of a zone die at once, the next nodes by
/// rank find them silent, take over, hear their zone and are told of the others: up to
/// 2 s and four messages, 0.42 s apart at the most. Without this, the zone knows nobody
/// meanwhile.
const KEPT_FOR: Duration = Duration::from_millis(3500);

/// Time for which a hub that takes over may not have heard all its nodes: two
/// heartbeats.
const SETTLED_AFTER: Duration = Duration::from_millis(850);

/// The newest digest of a hub, the members that it lists, and when it was heard.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) digest: Digest,
    members: BTreeMap<SocketAddrV4, Member>,
    /// Version of the hub's list that the members are of; 0 where it has none.
    roster: u64,
    pub(super) heard: Timestamp,
    /// When it was first heard.
    since: Timestamp,
    /// When it last told the servers' load.
    loads_heard: Option<Timestamp>,
}

impl Told {
    pub(super) fn is_alive(&self, now: Timestamp) -> bool {
        now.since(self.heard) <= HUB_SUSPECT_AFTER
    }
}

/// What hubs told, by hub.
#[derive(Clone, Debug, Default)]
pub(super) struct ToldByHubs {
    hubs: BTreeMap<SocketAddrV4, Told>,
}

impl ToldByHubs {
    /// Takes a digest, unless a later one of the same hub came before it.
    pub(super) fn take(&mut self, mut digest: Digest, now: Timestamp) {
        let order = |digest: &Digest| (digest.incarnation, digest.sequence);
        let known = self.hubs.remove(&digest.hub);
        if let Some(known) = known.as_ref().filter(|known| order(&known.digest) >= order(&digest)) {
            self.hubs.insert(known.digest.hub, known.clone());
            return;
        }
        let is_same_process = |known: &Told| known.digest.incarnation == digest.incarnation;
        let since = known.as_ref().map_or(now, |known| known.since);
        let (mut members, mut roster, loads, mut loads_heard) = match known {
            Some(known) if is_same_process(&known) => {
                (known.members, known.roster, known.digest.loads, known.loads_heard)
            }
            Some(known) => (known.members, 0, None, None),
            None => (BTreeMap::new(), 0, None, None),
        };
        if let Some(zones) = &digest.zones {
            members = members_of(zones).collect();
        }
        if let Some(update) = digest.roster.take() {
            roster = apply(&mut members, roster, update);
        }
        match digest.loads {
            Some(_) => loads_heard = Some(now),
            None => digest.loads = loads,
        }
        self.hubs
            .insert(digest.hub, Told { digest, members, roster, heard: now, since, loads_heard });
    }

    /// The version of a hub's list that this node has.
    pub(super) fn roster_of(&self, hub: SocketAddrV4) -> Option<RosterVersion> {
        let told = self.hubs.get(&hub).filter(|told| told.roster > 0)?;
        Some(RosterVersion { incarnation: told.digest.incarnation, number: told.roster })
    }

    /// When a hub was last heard.
    pub(super) fn heard(&self, hub: SocketAddrV4) -> Option<Timestamp> {
        self.hubs.get(&hub).map(|told| told.heard)
    }

    /// Hubs that were heard lately.
    pub(super) fn alive_hubs(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> {
        self.alive(now).map(|told| told.digest.hub)
    }

    /// Whether a hub that was heard lately lists a node.
    pub(super) fn is_listed(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.alive(now).any(|told| told.members.contains_key(&address))
    }

    /// Drops what was told too long ago.
    pub(super) fn forget(&mut self, now: Timestamp) {
        self.hubs.retain(|_, told| now.since(told.heard) <= KEPT_FOR);
    }

    /// What hubs told that were heard lately.
    pub(super) fn alive(&self, now: Timestamp) -> impl Iterator<Item = &Told> {
        self.hubs.values().filter(move |told| told.is_alive(now))
    }

    /// The newest digest of a hub that tells the servers' load.
    pub(super) fn newest_loads(&self, now: Timestamp) -> Option<&Digest> {
        let telling = self.alive(now).filter(|told| told.loads_heard.is_some());
        telling.max_by_key(|told| told.loads_heard).map(|told| &told.digest)
    }

    /// The members that count. What a silent hub told counts only while none that has
    /// been heard for a while tells two thirds as many: one that takes over knows only a
    /// part at first, and where more have died at once they are to be forgotten soon.
    pub(super) fn members(&self, now: Timestamp) -> impl Iterator<Item = &Member> {
        let settled = self.alive(now).filter(|told| now.since(told.since) >= SETTLED_AFTER);
        let most = settled.map(|told| told.members.len()).max().unwrap_or_default();
        let counts = move |told: &&Told| {
            let is_kept = now.since(told.heard) <= KEPT_FOR && 2 * told.members.len() > 3 * most;
            told.is_alive(now) || is_kept
        };
        self.hubs.values().filter(counts).flat_map(|told| told.members.values())
    }
}

/// Applies a change to the members of a version of a hub's list; tells the version that
/// they are of then. A change that starts from a later version is not applied.
fn apply(members: &mut BTreeMap<SocketAddrV4, Member>, known: u64, update: RosterUpdate) -> u64 {
    match update.base_version {
        Some(since) if known == 0 || since > known => return known,
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
            let rank = Rank::of(entry.peer_address);
            let member = Member { zone: zone.zone.clone(), entry: *entry, rank };
            (entry.peer_address, member)
        })
    })
}
