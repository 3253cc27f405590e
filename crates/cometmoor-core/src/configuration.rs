//! The current configuration of a node and its updates.
//!
//! Every accepted change raises the generation by one. A node receives updates
//! from the store, from relays and from any peer, in any order and possibly more
//! than once; [`Configuration::apply`] never lowers the generation.

use std::collections::VecDeque;
use std::sync::Arc;

use cometmoor_protocol::resource::{Resource, ResourceKey};

use crate::catalog::Catalog;

/// Number of changes kept for peers that lag behind. A peer that lags further
/// gets the whole configuration.
pub const CHANGE_LOG_CAPACITY: usize = 1024;

/// One accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Generation that the change produced.
    pub generation: u64,
    /// Key of the resource that was written or deleted.
    pub key: ResourceKey,
    /// The resource as written; none if it was deleted.
    pub resource: Option<Arc<Resource>>,
}

/// Newer configuration state offered to a node.
#[derive(Clone, Debug)]
pub enum Update {
    /// The changes that follow generation `base`, one for each generation.
    Changes {
        /// Generation before the first change.
        base: u64,
        /// Changes of consecutive generations, oldest first.
        changes: Vec<Change>,
    },
    /// The whole configuration at one generation.
    Full {
        /// Generation of the configuration.
        generation: u64,
        /// All resources at that generation.
        resources: Vec<Arc<Resource>>,
    },
}

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The update was applied and the generation rose.
    Advanced,
    /// The update contained nothing newer and was ignored.
    NothingNew,
    /// The changes start after the current generation or skip one. Pull again
    /// from the current generation.
    Gap,
}

/// The current configuration with a log of its newest changes.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    generation: u64,
    catalog: Arc<Catalog>,
    change_log: VecDeque<Change>,
}

impl Configuration {
    /// Number of changes that led to this configuration.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The resources at the current generation.
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Applies an update if it is newer; the generation never decreases.
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
        // The log must reach the current generation without gaps.
        self.change_log.clear();
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
        self.change_log.push_back(change);
        if self.change_log.len() > CHANGE_LOG_CAPACITY {
            self.change_log.pop_front();
        }
    }

    /// The update that brings a peer from `generation` to the current one; none
    /// if the peer is up to date.
    pub fn update_since(&self, generation: u64) -> Option<Update> {
        if generation >= self.generation {
            return None;
        }
        let missing = usize::try_from(self.generation - generation).unwrap_or(usize::MAX);
        if missing > self.change_log.len() {
            let resources = self.catalog.iter().cloned().collect();
            return Some(Update::Full { generation: self.generation, resources });
        }
        let changes =
            self.change_log.iter().skip(self.change_log.len() - missing).cloned().collect();
        Some(Update::Changes { base: generation, changes })
    }
}
