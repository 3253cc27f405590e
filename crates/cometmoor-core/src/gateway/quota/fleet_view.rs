//! The nodes of the fleet as a node sees them, and which of them lends for which limit.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::QuotaKey;
use crate::time::BootInstant;

/// Time for which a node that is not there any more counts among those that share a limit:
/// it may be cut off and go on by its share, until its keys lapse or the cut ends.
const SHARES_FOR: Duration = Duration::from_secs(12);
/// Shortest time after its start, or after it has slept, for which a node has to have
/// watched the others.
const SETTLES_FOR: Duration = Duration::from_millis(600);
/// Time for which a node's view must not have grown much before it counts as whole.
const STEADY_FOR: Duration = Duration::from_millis(400);
/// Growth of the view that is not much.
const STEADY_GROWTH: f64 = 1.05;
/// Nodes that are ranked for each limit.
const RANKED: usize = 4;

/// The nodes as one of them sees them.
#[derive(Clone, Debug)]
pub struct FleetView {
    own: SocketAddrV4,
    /// Nodes that all know from the start, if they are there.
    seeds: Vec<SocketAddrV4>,
    alive: Vec<SocketAddrV4>,
    /// When each node was last there.
    seen: HashMap<SocketAddrV4, BootInstant>,
    /// Until when nodes that do not answer are passed over.
    silent: HashMap<SocketAddrV4, BootInstant>,
    /// The first nodes for each limit that was asked for since the view changed.
    ranked: HashMap<QuotaKey, Vec<SocketAddrV4>>,
    began: BootInstant,
    /// Size of the view when it last grew much, and when.
    grown: (usize, BootInstant),
}

/// Rank of a node for a limit; the highest is the first.
fn score(key: QuotaKey, node: SocketAddrV4) -> u64 {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&key.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&node.ip().octets());
    bytes[12..].copy_from_slice(&node.port().to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

impl FleetView {
    /// A node that knows no other one but the seeds.
    pub fn new(own: SocketAddrV4, seeds: Vec<SocketAddrV4>, now: BootInstant) -> FleetView {
        FleetView {
            own,
            seeds,
            alive: vec![own],
            seen: HashMap::new(),
            silent: HashMap::new(),
            ranked: HashMap::new(),
            began: now,
            grown: (1, now),
        }
    }

    /// This node.
    pub fn own(&self) -> SocketAddrV4 {
        self.own
    }

    /// Takes the nodes that are there.
    pub fn set_alive(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        if alive.len() as f64 > self.grown.0 as f64 * STEADY_GROWTH {
            self.grown = (alive.len(), now);
        }
        for node in alive {
            self.seen.insert(*node, now);
        }
        self.seen.retain(|_, seen| now.since(*seen) <= SHARES_FOR);
        self.silent.retain(|_, until| now < *until);
        if self.alive != alive {
            self.alive = alive.to_vec();
            self.ranked.clear();
        }
    }

    /// Notes that this node has slept: it has to watch the others anew.
    pub fn reset_stability(&mut self, now: BootInstant) {
        self.began = now;
        self.grown = (self.alive.len(), now);
        self.silent.clear();
    }

    /// Whether this node has watched the others for long enough to lend.
    pub fn is_stable(&self, now: BootInstant) -> bool {
        now.since(self.began) >= SETTLES_FOR && now.since(self.grown.1) >= STEADY_FOR
    }

    /// Time since this node began, or woke.
    pub fn time_since_start(&self, now: BootInstant) -> Duration {
        now.since(self.began)
    }

    /// Part of a limit that the nodes which are there may use: the others may be cut off
    /// and use theirs.
    pub fn live_share(&self, now: BootInstant) -> f64 {
        let alive = self.alive.len().max(1);
        alive as f64 / self.sharing_count(now) as f64
    }

    /// Nodes that may be using a part of a limit.
    pub fn sharing_count(&self, now: BootInstant) -> usize {
        let seen = self.seen.values().filter(|seen| now.since(**seen) <= SHARES_FOR).count();
        seen.max(self.alive.len()).max(1)
    }

    /// The nodes that lend for a limit, the first one first.
    pub fn lenders(&mut self, key: QuotaKey) -> &[SocketAddrV4] {
        let alive = &self.alive;
        self.ranked.entry(key).or_insert_with(|| {
            let mut ranked = alive.clone();
            ranked.sort_unstable_by_key(|node| std::cmp::Reverse(score(key, *node)));
            ranked.truncate(RANKED);
            ranked
        })
    }

    /// The nodes to ask for a limit, the best first: those that lend, or the seeds while
    /// this node knows too little of the others. A seed knows who lends, or does so itself
    /// while the whole fleet starts.
    pub fn lender_candidates(&mut self, key: QuotaKey, now: BootInstant) -> Vec<SocketAddrV4> {
        let mut nodes = Vec::new();
        if !self.is_stable(now) {
            nodes.clone_from(&self.seeds);
            nodes.sort_unstable_by_key(|node| std::cmp::Reverse(score(key, *node)));
        }
        nodes.extend(self.lenders(key));
        nodes
    }

    /// The nodes that are there, without this one.
    pub fn others(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.alive.iter().copied().filter(|node| *node != self.own)
    }

    /// The seeds, without this node.
    pub fn other_seeds(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.seeds.iter().copied().filter(|seed| *seed != self.own)
    }

    /// Whether this node is a seed.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.own)
    }

    /// The first of the nodes that lend for a limit.
    pub fn first_lender(&mut self, key: QuotaKey) -> Option<SocketAddrV4> {
        self.lenders(key).first().copied()
    }

    /// The nodes that are asked before this one for a limit.
    pub fn lenders_above_own(&mut self, key: QuotaKey) -> Vec<SocketAddrV4> {
        let own = self.own;
        self.lenders(key).iter().copied().take_while(|node| *node != own).collect()
    }

    /// Whether a node comes before another one for a limit.
    pub fn ranks_above(&self, key: QuotaKey, node: SocketAddrV4, other: SocketAddrV4) -> bool {
        score(key, node) > score(key, other)
    }

    /// The best of the nodes that have gone lately and come before this one.
    pub fn departed_lender_above_own(
        &self,
        key: QuotaKey,
        now: BootInstant,
    ) -> Option<SocketAddrV4> {
        let own = score(key, self.own);
        let gone = self.seen.iter().filter(|(node, seen)| {
            now.since(**seen) <= SHARES_FOR && !self.alive.contains(node) && **node != self.own
        });
        let ahead = gone.map(|(node, _)| (score(key, *node), *node));
        ahead.filter(|(score, _)| *score > own).max().map(|(_, node)| node)
    }

    /// Passes a node over for a while that does not answer or does not lend yet.
    pub fn skip_for(&mut self, node: SocketAddrV4, time: Duration, now: BootInstant) {
        self.silent.insert(node, now + time);
    }

    /// Notes that a node has answered.
    pub fn note_response(&mut self, node: SocketAddrV4) {
        self.silent.remove(&node);
    }

    /// Whether a node is passed over.
    pub fn is_skipped(&self, node: SocketAddrV4, now: BootInstant) -> bool {
        self.silent.get(&node).is_some_and(|until| now < *until)
    }
}
