//! Assignment of models to home nodes, to which their callers are directed.
//!
//! Each model has a small set of home nodes, chosen by rendezvous hashing. Only
//! these need current load and in-flight counts of the model, and a node that
//! joins or fails moves only its own share of the models. See
//! `docs/CAPACITY.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node that can be a home node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
}

/// Up to `count` home nodes of a model, highest rank first. The best node of each
/// zone comes before the second of any zone.
pub fn home_nodes<'a>(
    model: &str,
    nodes: &'a [HomeCandidate],
    count: usize,
) -> Vec<&'a HomeCandidate> {
    let mut ranked: Vec<(u64, &HomeCandidate)> =
        nodes.iter().map(|node| (rank(model, &node.name), node)).collect();
    ranked.sort_by(|left, right| right.0.cmp(&left.0).then_with(|| left.1.name.cmp(&right.1.name)));
    let mut homes: Vec<&HomeCandidate> = Vec::new();
    let mut same_zone = Vec::new();
    for (_, node) in ranked {
        if homes.iter().any(|home| home.zone == node.zone) {
            same_zone.push(node);
        } else {
            homes.push(node);
        }
    }
    homes.extend(same_zone);
    homes.truncate(count);
    homes
}

fn rank(model: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(node.as_bytes(), 0);
    xxh3_64_with_seed(model.as_bytes(), seed)
}
