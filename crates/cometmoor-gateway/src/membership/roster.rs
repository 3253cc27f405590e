//! A hub's list of the nodes of the fleet. Nodes that request digests are sent changes to it,
//! and the full list only if they have no version of it or one that is too old.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use super::message::{MemberEntry, RosterUpdate, ZoneMembers};

/// Maximum number of removed nodes that are kept. A node with an older version is sent the full
/// list: with 1,000 nodes it takes minutes until that many have left, and a node sends a
/// request twice a second.
const MAX_REMOVED: usize = 512;

#[derive(Clone, Debug)]
struct ListedMember {
    zone: String,
    entry: MemberEntry,
    /// Version of the roster in which it last changed.
    changed_in: u64,
}

/// A hub's versioned list of nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    version: u64,
    members: BTreeMap<SocketAddrV4, ListedMember>,
    /// Removed nodes and the versions that removed them, oldest first.
    removed: VecDeque<(u64, SocketAddrV4)>,
    /// Removals up to this version are no longer all kept.
    dropped_up_to: u64,
}

impl Roster {
    /// The current version; 0 until the list is first set.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the list. The version increases if any node changed.
    pub(super) fn replace(&mut self, zones: &[ZoneMembers]) {
        let next = self.version + 1;
        let mut members = BTreeMap::new();
        let mut has_changed = self.version == 0;
        for zone in zones {
            for entry in &zone.members {
                let known = self.members.remove(&entry.peer_address);
                let same = known.filter(|known| known.entry == *entry && known.zone == zone.zone);
                has_changed |= same.is_none();
                let listed = same.unwrap_or_else(|| ListedMember {
                    zone: zone.zone.clone(),
                    entry: *entry,
                    changed_in: next,
                });
                members.insert(entry.peer_address, listed);
            }
        }
        for (address, _) in std::mem::replace(&mut self.members, members) {
            self.removed.push_back((next, address));
            has_changed = true;
        }
        while self.removed.len() > MAX_REMOVED {
            self.dropped_up_to =
                self.removed.pop_front().map_or(self.dropped_up_to, |(version, _)| version);
        }
        if has_changed {
            self.version = next;
        }
    }

    /// The update for a node that has version `known` of the list; `None` if that is the
    /// current one.
    pub(super) fn update_since(&self, known: Option<u64>) -> Option<RosterUpdate> {
        let base_version =
            known.filter(|known| *known >= self.dropped_up_to && *known <= self.version);
        if base_version == Some(self.version) {
            return None;
        }
        let after = base_version.unwrap_or_default();
        let mut zones: BTreeMap<&str, Vec<MemberEntry>> = BTreeMap::new();
        for listed in self.members.values().filter(|listed| listed.changed_in > after) {
            zones.entry(&listed.zone).or_default().push(listed.entry);
        }
        let removed = self.removed.iter().filter(|(version, address)| {
            base_version.is_some() && *version > after && !self.members.contains_key(address)
        });
        Some(RosterUpdate {
            version: self.version,
            base_version,
            updated: zones
                .into_iter()
                .map(|(zone, members)| ZoneMembers { zone: zone.to_owned(), members })
                .collect(),
            removed: removed.map(|(_, address)| *address).collect(),
        })
    }
}
