//! A copy of the store's items under a prefix, which only moves forward.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::dialect::{Item, WatchEvent};

/// An item's revision and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirroredItem {
    /// Revision of its last change.
    pub revision: u64,
    /// Revision at which it was created.
    pub created: u64,
    /// Value.
    pub value: Vec<u8>,
}

impl From<Item> for MirroredItem {
    fn from(item: Item) -> MirroredItem {
        MirroredItem { revision: item.revision, created: item.created, value: item.value }
    }
}

/// A copy of the items under a prefix, as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mirror {
    /// Revision of the store that the copy is of; 0 where nothing was read.
    pub at: u64,
    /// Items by key.
    pub items: BTreeMap<String, MirroredItem>,
}

impl Mirror {
    /// A copy from a full read, which holds at least what was there at `at`.
    pub fn from_items(items: Vec<Item>, at: u64) -> Mirror {
        let items = items.into_iter().map(|item| (item.key.clone(), item.into())).collect();
        Mirror { at, items }
    }

    /// Takes another copy if it is newer; tells whether it was taken.
    pub fn offer(&mut self, other: Mirror) -> bool {
        if other.at <= self.at {
            return false;
        }
        *self = other;
        true
    }

    /// Takes changes up to a revision; tells whether an item changed. Changes
    /// that another copy has already brought are passed over.
    pub fn apply(&mut self, events: Vec<WatchEvent>, at: u64) -> bool {
        let mut changed = false;
        for event in events {
            changed |= self.apply_one(event);
        }
        self.at = self.at.max(at);
        changed
    }

    fn apply_one(&mut self, event: WatchEvent) -> bool {
        match event {
            WatchEvent::Written(item) => {
                let known = self.items.get(&item.key);
                if known.is_some_and(|known| known.revision >= item.revision) {
                    return false;
                }
                self.items.insert(item.key.clone(), item.into());
                true
            }
            WatchEvent::Gone { key, revision } => {
                let known = self.items.get(&key);
                if known.is_none_or(|known| known.revision > revision) {
                    return false;
                }
                self.items.remove(&key);
                true
            }
        }
    }
}
