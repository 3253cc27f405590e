//! A copy of the store's items under a prefix, which never goes back to an earlier position.
//!
//! An item whose writer numbers its versions is never replaced by an older version, even if the
//! store was restored from a backup with an older version.

use std::collections::BTreeMap;

use cometmoor_core::gateway::store_position::StorePosition;
use serde::{Deserialize, Serialize};

use crate::dialect::{Item, WatchEvent};

/// An item of the copy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirroredItem {
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Version number that its writer assigns; `None` if the writer assigns none, or if the item
    /// is invalid.
    pub version: Option<u64>,
    /// Value as stored.
    pub value: Vec<u8>,
    /// Whether the store has lost this version: the store's own item is older, or removed.
    pub is_lost: bool,
}

impl From<Item> for MirroredItem {
    fn from(item: Item) -> MirroredItem {
        let Item { value, revision, create_revision, version, .. } = item;
        MirroredItem { revision, create_revision, version, value, is_lost: false }
    }
}

impl MirroredItem {
    /// Whether it is a newer version than another item. An item without a version counts as the
    /// newest, because an invalid one may be.
    fn is_newer_than(&self, other: &MirroredItem) -> bool {
        other.version.is_some() && self.version > other.version
    }

    /// The item marked as lost by the store, with `revision` in place of its own.
    fn lost_at(self, revision: u64) -> MirroredItem {
        MirroredItem { revision, is_lost: true, ..self }
    }
}

/// A copy of the items under a prefix at a position in the store's history. Its revisions are
/// counted in the era of that position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mirror {
    /// The position of the copy; its revision is 0 if nothing has been read.
    pub position: StorePosition,
    /// Items by key.
    pub items: BTreeMap<String, MirroredItem>,
    /// Removed keys with the revision of their removal, as far back as they are kept.
    removed: BTreeMap<String, u64>,
    /// Revision up to which individual changes are no longer known.
    compacted: u64,
}

/// Maximum number of removed keys that are kept: more than are removed within a minute at the
/// largest fleet size. A peer that lags further behind gets a full copy.
const MAX_REMOVED: usize = 2048;

/// The changes of a copy since an earlier position, for a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorUpdate {
    /// Individual changes.
    Changes {
        /// Items that were written.
        written: Vec<(String, MirroredItem)>,
        /// Removed keys with the revision of their removal.
        removed: Vec<(String, u64)>,
        /// Position after the changes. They start from an earlier one of the same era.
        position: StorePosition,
    },
    /// The full copy, because the peer's position is of another era or too far back.
    Full(Mirror),
}

impl Mirror {
    /// Creates a copy from a full read, which contains at least the changes up to `position`.
    pub fn from_items(items: Vec<Item>, position: StorePosition) -> Mirror {
        let items = items.into_iter().map(|item| (item.key.clone(), item.into())).collect();
        Mirror { position, items, removed: BTreeMap::new(), compacted: position.revision }
    }

    /// Whether anything was read.
    pub fn exists(&self) -> bool {
        self.position.revision > 0
    }

    /// Removed keys, as far back as they are kept.
    pub fn removed_keys(&self) -> impl Iterator<Item = &str> {
        self.removed.keys().map(String::as_str)
    }

    /// The changes that a copy at position `after` lacks.
    pub fn changes_since(&self, after: StorePosition) -> MirrorUpdate {
        if after.era != self.position.era || after.revision < self.compacted {
            return MirrorUpdate::Full(self.clone());
        }
        let written = self.items.iter().filter(|(_, item)| item.revision > after.revision);
        let removed = self.removed.iter().filter(|(_, revision)| **revision > after.revision);
        MirrorUpdate::Changes {
            written: written.map(|(key, item)| (key.clone(), item.clone())).collect(),
            removed: removed.map(|(key, revision)| (key.clone(), *revision)).collect(),
            position: self.position,
        }
    }

    /// Applies an update from a peer's copy. Returns whether an item changed.
    pub fn apply_update(&mut self, update: MirrorUpdate) -> bool {
        match update {
            MirrorUpdate::Full(mirror) => self.merge(mirror),
            MirrorUpdate::Changes { position, .. }
                if position.era != self.position.era || position <= self.position =>
            {
                false
            }
            MirrorUpdate::Changes { written, removed, position } => {
                let mut changed = false;
                for (key, item) in written {
                    changed |= self.write(key, item);
                }
                for (key, revision) in removed {
                    changed |= self.remove(key, revision);
                }
                self.position = position;
                changed
            }
        }
    }

    /// Merges another copy: the copy at the later position is kept, with the newer versions of
    /// items from the other one. Returns whether anything changed.
    pub fn merge(&mut self, other: Mirror) -> bool {
        if other.position <= self.position {
            return self.keep_newer_versions(other.items);
        }
        let before = std::mem::replace(self, other);
        self.keep_newer_versions(before.items);
        true
    }

    /// Adds the items of another copy that have newer versions than in this one. Returns whether
    /// there were any.
    fn keep_newer_versions(&mut self, items: BTreeMap<String, MirroredItem>) -> bool {
        let mut changed = false;
        for (key, item) in items.into_iter().filter(|(_, item)| item.version.is_some()) {
            let revision = match self.items.get(&key) {
                Some(own) if item.is_newer_than(own) => own.revision,
                Some(_) => continue,
                None => self.position.revision,
            };
            self.items.insert(key, item.lost_at(revision));
            changed = true;
        }
        changed
    }

    /// Applies changes in the copy's era. Returns whether an item changed. Changes that are
    /// already in the copy, because it was updated by a peer, are skipped. The copy's new
    /// revision is that of the last change and not the store's revision in the same answer: a
    /// store that delivers changes late may report a revision beyond a change that it has not
    /// delivered yet.
    pub fn apply_events(&mut self, events: Vec<WatchEvent>) -> bool {
        let mut changed = false;
        for event in events {
            self.position.revision = self.position.revision.max(event.revision());
            changed |= self.apply_event(event);
        }
        changed
    }

    fn apply_event(&mut self, event: WatchEvent) -> bool {
        match event {
            WatchEvent::Put(item) => self.write(item.key.clone(), item.into()),
            WatchEvent::Deleted { key, revision } => self.remove(key, revision),
        }
    }

    fn write(&mut self, key: String, item: MirroredItem) -> bool {
        let written_at = self.items.get(&key).map(|current| current.revision);
        let removed_at = self.removed.get(&key).copied();
        if written_at.max(removed_at).is_some_and(|last| last >= item.revision) {
            return false;
        }
        self.removed.remove(&key);
        let item = match self.items.remove(&key) {
            Some(current) if current.is_newer_than(&item) => current.lost_at(item.revision),
            _ => item,
        };
        self.items.insert(key, item);
        true
    }

    fn remove(&mut self, key: String, revision: u64) -> bool {
        let current = self.items.get(&key);
        if current.is_none_or(|current| current.revision > revision) {
            return false;
        }
        let removed = self.items.remove(&key);
        if let Some(versioned) = removed.filter(|item| item.version.is_some()) {
            self.items.insert(key, versioned.lost_at(revision));
            return true;
        }
        self.removed.insert(key, revision);
        self.evict_oldest_removed();
        true
    }

    fn evict_oldest_removed(&mut self) {
        if self.removed.len() <= MAX_REMOVED {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
        if let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision)) {
            self.removed.remove(&key);
            self.compacted = self.compacted.max(revision);
        }
    }
}
