//! The configuration in force at a node, and how it moves forward.
//!
//! Every accepted change raises the generation by one. A node takes updates
//! from the store, from relays and from any peer, in any order and repeatedly;
//! [`Configuration::apply`] lets the generation only rise.

use std::collections::VecDeque;
use std::sync::Arc;

use cometmoor_protocol::resource::{Resource, ResourceKey};

use crate::catalog::Catalog;

/// Changes kept for peers that lag behind. A peer that lags further gets the
/// whole configuration.
pub const CHANGE_LOG_CAPACITY: usize = 1024;

/// One accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Generation that the change made.
    pub generation: u64,
    /// Resource that was written or deleted.
    pub key: ResourceKey,
    /// The resource as written; none when it was deleted.
    pub resource: Option<Arc<Resource>>,
}

/// An offer of newer state.
#[derive(Clone, Debug)]
pub enum Update {
    /// The changes that lead from `base` onwards, one for each generation.
    Changes {
        /// Generation before the first change.
        base: u64,
        /// Changes without gaps, oldest first.
        changes: Vec<Change>,
    },
    /// The whole configuration.
    Full {
        /// Its generation.
        generation: u64,
        /// Its resources.
        resources: Vec<Arc<Resource>>,
    },
}

/// What became of an offered update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The generation rose.
    Advanced,
    /// The update held nothing newer and was dropped.
    NothingNew,
    /// The changes start after the generation in force, or have a gap: pull
    /// again from the generation in force.
    Gap,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    generation: u64,
    catalog: Arc<Catalog>,
    log: VecDeque<Change>,
}

impl Configuration {
    /// Number of changes that this configuration contains.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The resources.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Takes an update in if it is newer, and never goes back.
    pub fn apply(&mut self, update: Update) -> Applied {
        match update {
            Update::Full { generation, resources } => self.apply_full(generation, resources),
            Update::Changes { base, changes } => self.apply_changes(base, changes),
        }
    }

    fn apply_full(&mut self, generation: u64, resources: Vec<Arc<Resource>>) -> Applied {
        if generation <= self.generation {
            return Applied::NothingNew;
        }
        self.generation = generation;
        self.catalog = Arc::new(resources.into_iter().collect());
        // The log must lead without gaps up to the generation in force.
        self.log.clear();
        Applied::Advanced
    }

    fn apply_changes(&mut self, base: u64, changes: Vec<Change>) -> Applied {
        let contiguous = changes
            .iter()
            .zip(base.saturating_add(1)..)
            .all(|(change, expected)| change.generation == expected);
        if base > self.generation || !contiguous {
            return Applied::Gap;
        }
        let current = self.generation;
        let newer: Vec<Change> =
            changes.into_iter().filter(|change| change.generation > current).collect();
        if newer.is_empty() {
            return Applied::NothingNew;
        }
        for change in newer {
            self.apply_one(change);
        }
        Applied::Advanced
    }

    fn apply_one(&mut self, change: Change) {
        let catalog = Arc::make_mut(&mut self.catalog);
        match &change.resource {
            Some(resource) => catalog.insert(resource.clone()),
            None => catalog.remove(&change.key),
        }
        self.generation = change.generation;
        self.log.push_back(change);
        if self.log.len() > CHANGE_LOG_CAPACITY {
            self.log.pop_front();
        }
    }

    /// What a peer at `generation` needs; none when it lacks nothing.
    pub fn update_since(&self, generation: u64) -> Option<Update> {
        if generation >= self.generation {
            return None;
        }
        let missing = usize::try_from(self.generation - generation).unwrap_or(usize::MAX);
        if missing > self.log.len() {
            let resources = self.catalog.iter().cloned().collect();
            return Some(Update::Full { generation: self.generation, resources });
        }
        let changes = self.log.iter().skip(self.log.len() - missing).cloned().collect();
        Some(Update::Changes { base: generation, changes })
    }
}
