//! The nodes of the fleet as a hub lists them for those that ask it: told by change,
//! whole only to a node that has no version of the list, or one too old.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

use super::message::{MemberEntry, RosterUpdate, ZoneMembers};

/// Nodes that have gone and are still listed as such. A node whose version is older is
/// told the whole list: at 1,000 nodes that many go within minutes, and a node asks
/// anew twice a second.
const MAX_GONE: usize = 512;

#[derive(Clone, Debug)]
struct Listed {
    zone: String,
    entry: MemberEntry,
    /// Version of the list by which it was last changed.
    changed: u64,
}

/// A hub's list of nodes.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    version: u64,
    members: BTreeMap<SocketAddrV4, Listed>,
    /// Nodes that have gone, with the version by which they did, oldest first.
    gone: VecDeque<(u64, SocketAddrV4)>,
    /// Nodes that went by this version or before are no longer listed as gone.
    forgotten: u64,
}

impl Roster {
    /// The version of the list; 0 before it was ever set.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Sets the list to these nodes.
    pub(super) fn set(&mut self, zones: &[ZoneMembers]) {
        let next = self.version + 1;
        let mut members = BTreeMap::new();
        let mut has_changed = self.version == 0;
        for zone in zones {
            for entry in &zone.members {
                let known = self.members.remove(&entry.peer_address);
                let same = known.filter(|known| known.entry == *entry && known.zone == zone.zone);
                has_changed |= same.is_none();
                let listed = same.unwrap_or_else(|| Listed {
                    zone: zone.zone.clone(),
                    entry: *entry,
                    changed: next,
                });
                members.insert(entry.peer_address, listed);
            }
        }
        for (address, _) in std::mem::replace(&mut self.members, members) {
            self.gone.push_back((next, address));
            has_changed = true;
        }
        while self.gone.len() > MAX_GONE {
            self.forgotten = self.gone.pop_front().map_or(self.forgotten, |(version, _)| version);
        }
        if has_changed {
            self.version = next;
        }
    }

    /// What a node lacks that has a version of the list; none where that is the newest.
    pub(super) fn update_since(&self, known: Option<u64>) -> Option<RosterUpdate> {
        let since = known.filter(|known| *known >= self.forgotten && *known <= self.version);
        if since == Some(self.version) {
            return None;
        }
        let after = since.unwrap_or_default();
        let mut zones: BTreeMap<&str, Vec<MemberEntry>> = BTreeMap::new();
        for listed in self.members.values().filter(|listed| listed.changed > after) {
            zones.entry(&listed.zone).or_default().push(listed.entry);
        }
        let gone = self.gone.iter().filter(|(version, address)| {
            since.is_some() && *version > after && !self.members.contains_key(address)
        });
        Some(RosterUpdate {
            version: self.version,
            base_version: since,
            updated: zones
                .into_iter()
                .map(|(zone, members)| ZoneMembers { zone: zone.to_owned(), members })
                .collect(),
            removed: gone.map(|(_, address)| *address).collect(),
        })
    }
}
