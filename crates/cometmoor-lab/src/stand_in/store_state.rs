//! The key-value service's data: keys, revisions, leases and watches.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A stored key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last write.
    pub modified: u64,
    /// Revision of the first write.
    pub created: u64,
    /// Lease that the key is bound to; 0 for none.
    pub lease: i64,
}

/// One event of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Revision.
    pub revision: u64,
    /// Key.
    pub key: Vec<u8>,
    /// The key as written; none when it was deleted.
    pub stored: Option<Stored>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    lifetime: Duration,
    renewed: Instant,
}

/// A write of a transaction.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Writes a key.
    Put {
        /// Key.
        key: Vec<u8>,
        /// Value.
        value: Vec<u8>,
        /// Lease; 0 for none.
        lease: i64,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        key: Vec<u8>,
    },
}

/// The data of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreData {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    history: Vec<Event>,
    compacted_below: u64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl StoreData {
    /// Newest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Keys from `start` up to `end`, or the one key where `end` is empty.
    pub fn range(&self, start: &[u8], end: &[u8]) -> Vec<(Vec<u8>, Stored)> {
        let selected = self.keys.range(start.to_vec()..);
        let inside = |key: &[u8]| {
            if end.is_empty() { key == start } else { key < end }
        };
        selected
            .take_while(|(key, _)| inside(key))
            .map(|(key, stored)| (key.clone(), stored.clone()))
            .collect()
    }

    /// Runs a transaction; true when its conditions held.
    pub fn transact(&mut self, compares: &[(Vec<u8>, u64)], operations: &[Operation]) -> bool {
        let holds = |(key, modified): &(Vec<u8>, u64)| {
            self.keys.get(key).map_or(0, |stored| stored.modified) == *modified
        };
        if !compares.iter().all(holds) {
            return false;
        }
        if !operations.is_empty() {
            self.revision += 1;
        }
        for operation in operations {
            self.write(operation);
        }
        true
    }

    fn write(&mut self, operation: &Operation) {
        let revision = self.revision;
        match operation {
            Operation::Put { key, value, lease } => {
                let created = self.keys.get(key).map_or(revision, |stored| stored.created);
                let stored =
                    Stored { value: value.clone(), modified: revision, created, lease: *lease };
                self.keys.insert(key.clone(), stored.clone());
                self.history.push(Event { revision, key: key.clone(), stored: Some(stored) });
            }
            Operation::Delete { key } => {
                if self.keys.remove(key).is_some() {
                    self.history.push(Event { revision, key: key.clone(), stored: None });
                }
            }
        }
    }

    /// Events of a range from a revision on; none when they are gone.
    pub fn events_from(&self, start: &[u8], end: &[u8], revision: u64) -> Option<Vec<Event>> {
        if revision < self.compacted_below {
            return None;
        }
        let events = self.history.iter().filter(|event| event.revision >= revision);
        let inside = |event: &&Event| event.key.as_slice() >= start && event.key.as_slice() < end;
        Some(events.filter(inside).cloned().collect())
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_below = self.revision + 1;
    }

    /// Grants a lease.
    pub fn grant(&mut self, lifetime: Duration) -> i64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Lease { lifetime, renewed: Instant::now() });
        self.next_lease
    }

    /// Renews a lease; its lifetime, or zero when it has lapsed.
    pub fn keep_alive(&mut self, id: i64) -> Duration {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.renewed = Instant::now();
                lease.lifetime
            }
            None => Duration::ZERO,
        }
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound = self.keys.iter().filter(|(_, stored)| stored.lease == id);
        let keys: Vec<Vec<u8>> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.write(&Operation::Delete { key });
        }
    }

    /// Lets overdue leases lapse.
    pub fn expire_leases(&mut self) {
        let overdue = |lease: &Lease| lease.renewed.elapsed() > lease.lifetime;
        let lapsed: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| overdue(lease)).map(|(id, _)| *id).collect();
        for id in lapsed {
            self.revoke(id);
        }
    }
}
