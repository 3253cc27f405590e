//! Which models are reported first if there is more to report than a report holds.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::report::ShortKey;

/// Seed of the order that is the same at all nodes.
const COMMON_SEED: u64 = 0;

/// How much a model tells of the speed of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// It belongs to a few models by which all servers can be compared with others.
    Covering,
    /// It was observed at several servers.
    Shared,
    /// It was observed at one server, which cannot be compared by it.
    Single,
}

/// Order of the models of a table in reports.
#[derive(Clone, Debug, Default)]
pub struct ModelPriorities {
    holders: HashMap<ShortKey, usize>,
    covering: HashSet<ShortKey>,
    salt: u64,
}

impl ModelPriorities {
    /// Determines the tiers from the observed pairs of a server and a model. Nodes with the same
    /// observations find the same tiers. `salt` determines the order within a tier. It should
    /// differ between nodes, so that a node learns different records from each of its hubs.
    pub fn new(observed: impl Iterator<Item = (ShortKey, ShortKey)>, salt: u64) -> ModelPriorities {
        let mut servers: HashMap<ShortKey, Vec<ShortKey>> = HashMap::new();
        for (server, model) in observed {
            servers.entry(model).or_default().push(server);
        }
        let holders = servers.iter().map(|(model, servers)| (*model, servers.len())).collect();
        let mut shared: Vec<(ShortKey, Vec<ShortKey>)> =
            servers.into_iter().filter(|(_, servers)| servers.len() > 1).collect();
        shared.sort_unstable_by_key(|(model, servers)| {
            (Reverse(servers.len()), xxh3_64_with_seed(model.bytes(), COMMON_SEED))
        });
        let mut covered: HashSet<ShortKey> = HashSet::new();
        let mut covering: HashSet<ShortKey> = HashSet::new();
        for (model, servers) in shared {
            if servers.iter().any(|server| !covered.contains(server)) {
                covering.insert(model);
                covered.extend(servers);
            }
        }
        ModelPriorities { holders, covering, salt }
    }

    /// The tier of a model.
    pub fn tier(&self, model: ShortKey) -> Tier {
        if self.covering.contains(&model) {
            Tier::Covering
        } else if self.holders.get(&model).is_some_and(|holders| *holders > 1) {
            Tier::Shared
        } else {
            Tier::Single
        }
    }

    /// Position of a model: records of one model follow one another.
    pub fn order(&self, model: ShortKey) -> (Tier, u64) {
        (self.tier(model), xxh3_64_with_seed(model.bytes(), self.salt))
    }
}
