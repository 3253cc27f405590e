//! A copy of the store's items under a prefix, which only moves forward.
//!
//! An item whose writer numbers its versions is never replaced by an older version, also
//! where the store itself has come back with one.

use std::collections::BTreeMap;

use cometmoor_core::gateway::store_position::StorePosition;
use serde::{Deserialize, Serialize};

use crate::dialect::{Item, WatchEvent};

/// An item's revision and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirroredItem {
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub create_revision: u64,
    /// Version that its writer gives it; none where it gives none.
    pub version: Option<u64>,
    /// Value.
    pub value: Vec<u8>,
    /// Whether the store has lost this version: its own item is older, or gone.
    pub is_lost: bool,
}

impl From<Item> for MirroredItem {
    fn from(item: Item) -> MirroredItem {
        let Item { value, revision, created: create_revision, version, .. } = item;
        MirroredItem { revision, create_revision, version, value, is_lost: false }
    }
}

impl MirroredItem {
    /// Whether it is a newer version than another item. One that cannot be read may be the
    /// newest.
    fn outlives(&self, other: &MirroredItem) -> bool {
        other.version.is_some() && self.version > other.version
    }

    /// The item, where the store has lost it and is of a revision.
    fn lost_at(self, revision: u64) -> MirroredItem {
        MirroredItem { revision, is_lost: true, ..self }
    }
}

/// A copy of the items under a prefix, as of a point in the store's history. Revisions in it
/// are of that point's era.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mirror {
    /// The point that the copy is of; its revision is 0 where nothing was read.
    pub position: StorePosition,
    /// Items by key.
    pub items: BTreeMap<String, MirroredItem>,
    /// Keys that are gone, with the revision of their end, as far back as is
    /// remembered.
    removed: BTreeMap<String, u64>,
    /// Changes up to this revision are not remembered one by one.
    forgotten: u64,
}

/// Keys that are gone and still remembered: more than end within a minute at the
/// largest size. A peer that lags further back is told everything.
const MAX_GONE: usize = 2048;

/// What changed in a copy since an earlier point, for a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorUpdate {
    /// The changes.
    Changes {
        /// Items that were written.
        written: Vec<(String, MirroredItem)>,
        /// Keys that are gone, with the revision of their end.
        removed: Vec<(String, u64)>,
        /// Point that the changes lead to; they start from an earlier one of its era.
        position: StorePosition,
    },
    /// Everything, because changes so far back are not remembered.
    Full(Mirror),
}

impl Mirror {
    /// A copy from a full read, which holds at least what was there at `position`.
    pub fn from_items(items: Vec<Item>, position: StorePosition) -> Mirror {
        let items = items.into_iter().map(|item| (item.key.clone(), item.into())).collect();
        Mirror { position, items, removed: BTreeMap::new(), forgotten: position.revision }
    }

    /// Whether anything was read.
    pub fn exists(&self) -> bool {
        self.position.revision > 0
    }

    /// Keys that are gone, as far back as is remembered.
    pub fn removed_keys(&self) -> impl Iterator<Item = &str> {
        self.removed.keys().map(String::as_str)
    }

    /// What a copy as of `after` lacks.
    pub fn changes_since(&self, after: StorePosition) -> MirrorUpdate {
        if after.era != self.position.era || after.revision < self.forgotten {
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

    /// Takes what a peer's copy had beyond this one; tells whether an item
    /// changed.
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

    /// Takes another copy if it is newer, and of an older one the versions that are newer;
    /// tells whether anything was taken.
    pub fn merge(&mut self, other: Mirror) -> bool {
        if other.position <= self.position {
            return self.take_newer_versions(other.items);
        }
        let before = std::mem::replace(self, other);
        self.take_newer_versions(before.items);
        true
    }

    /// Takes the items of another copy that are newer versions than this copy has; tells
    /// whether there were any.
    fn take_newer_versions(&mut self, items: BTreeMap<String, MirroredItem>) -> bool {
        let mut taken = false;
        for (key, item) in items.into_iter().filter(|(_, item)| item.version.is_some()) {
            let revision = match self.items.get(&key) {
                Some(own) if item.outlives(own) => own.revision,
                Some(_) => continue,
                None => self.position.revision,
            };
            self.items.insert(key, item.lost_at(revision));
            taken = true;
        }
        taken
    }

    /// Takes changes of the copy's era; tells whether an item changed. Changes that
    /// another copy has already brought are passed over. The copy is then of the last
    /// change's revision, not of the one that the store names beside them: a store that
    /// hands changes out late may name one beyond a change that it has yet to tell.
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
            WatchEvent::Written(item) => self.write(item.key.clone(), item.into()),
            WatchEvent::Gone { key, revision } => self.remove(key, revision),
        }
    }

    fn write(&mut self, key: String, item: MirroredItem) -> bool {
        let known = self.items.get(&key).map(|known| known.revision);
        let ended = self.removed.get(&key).copied();
        if known.max(ended).is_some_and(|known| known >= item.revision) {
            return false;
        }
        self.removed.remove(&key);
        let item = match self.items.remove(&key) {
            Some(known) if known.outlives(&item) => known.lost_at(item.revision),
            _ => item,
        };
        self.items.insert(key, item);
        true
    }

    fn remove(&mut self, key: String, revision: u64) -> bool {
        let known = self.items.get(&key);
        if known.is_none_or(|known| known.revision > revision) {
            return false;
        }
        let removed = self.items.remove(&key);
        if let Some(versioned) = removed.filter(|item| item.version.is_some()) {
            self.items.insert(key, versioned.lost_at(revision));
            return true;
        }
        self.removed.insert(key, revision);
        self.forget_oldest();
        true
    }

    fn forget_oldest(&mut self) {
        if self.removed.len() <= MAX_GONE {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
        if let Some((key, revision)) = oldest.map(|(key, revision)| (key.clone(), *revision)) {
            self.removed.remove(&key);
            self.forgotten = self.forgotten.max(revision);
        }
    }
}
