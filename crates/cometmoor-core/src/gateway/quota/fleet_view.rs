//! A node's view of the fleet, and the ranking of the nodes that lend for each limit.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use super::QuotaKey;
use crate::time::BootInstant;

/// Time for which a departed node still counts among those that share a limit. It may be
/// partitioned and keep using its share until its keys expire or the partition heals.
const DEPARTED_LIFETIME: Duration = Duration::from_secs(12);
/// Minimum time for which a node has to observe the fleet after it starts, or resumes from a
/// suspension, before its view is stable.
const MIN_OBSERVATION: Duration = Duration::from_millis(600);
/// Time without significant growth after which the view counts as complete.
const STABLE_AFTER: Duration = Duration::from_millis(400);
/// Growth of the view, as a factor, up to which it is not significant.
const MAX_STABLE_GROWTH: f64 = 1.05;
/// Number of lenders that are ranked for each limit.
const RANKED_LENDERS: usize = 4;

/// The fleet as this node sees it.
#[derive(Clone, Debug)]
pub struct FleetView {
    own: SocketAddrV4,
    /// Configured nodes that every node knows from its start, whether or not they are running.
    seeds: Vec<SocketAddrV4>,
    alive: Vec<SocketAddrV4>,
    /// When each node was last alive.
    last_seen: HashMap<SocketAddrV4, BootInstant>,
    /// Nodes that do not respond or do not lend yet, with the end of the time for which they are
    /// skipped.
    skipped_until: HashMap<SocketAddrV4, BootInstant>,
    /// The highest-ranked nodes for each limit that was requested since the set of live nodes
    /// changed.
    ranked_lenders: HashMap<QuotaKey, Vec<SocketAddrV4>>,
    started: BootInstant,
    /// Size of the view at its last significant growth, and when that was.
    last_growth: (usize, BootInstant),
}

/// Rendezvous hash of a limit and a node. The node with the highest score ranks first.
fn score(key: QuotaKey, node: SocketAddrV4) -> u64 {
    let mut bytes = [0; 14];
    bytes[..8].copy_from_slice(&key.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&node.ip().octets());
    bytes[12..].copy_from_slice(&node.port().to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

impl FleetView {
    /// The view of a node that has just started and knows only the seeds.
    pub fn new(own: SocketAddrV4, seeds: Vec<SocketAddrV4>, now: BootInstant) -> FleetView {
        FleetView {
            own,
            seeds,
            alive: vec![own],
            last_seen: HashMap::new(),
            skipped_until: HashMap::new(),
            ranked_lenders: HashMap::new(),
            started: now,
            last_growth: (1, now),
        }
    }

    /// Address of this node.
    pub fn own(&self) -> SocketAddrV4 {
        self.own
    }

    /// Updates the set of live nodes.
    pub fn set_alive(&mut self, alive: &[SocketAddrV4], now: BootInstant) {
        if alive.len() as f64 > self.last_growth.0 as f64 * MAX_STABLE_GROWTH {
            self.last_growth = (alive.len(), now);
        }
        for node in alive {
            self.last_seen.insert(*node, now);
        }
        self.last_seen.retain(|_, last_seen| now.since(*last_seen) <= DEPARTED_LIFETIME);
        self.skipped_until.retain(|_, until| now < *until);
        if self.alive != alive {
            self.alive = alive.to_vec();
            self.ranked_lenders.clear();
        }
    }

    /// Restarts the observation after this node was suspended, and stops skipping nodes.
    pub fn reset_stability(&mut self, now: BootInstant) {
        self.started = now;
        self.last_growth = (self.alive.len(), now);
        self.skipped_until.clear();
    }

    /// Whether this node has observed the fleet for long enough to lend.
    pub fn is_stable(&self, now: BootInstant) -> bool {
        now.since(self.started) >= MIN_OBSERVATION && now.since(self.last_growth.1) >= STABLE_AFTER
    }

    /// Time since this node started or resumed from a suspension.
    pub fn time_since_start(&self, now: BootInstant) -> Duration {
        now.since(self.started)
    }

    /// Fraction of a limit that the live nodes may use. The other nodes may be partitioned and use
    /// the rest.
    pub fn live_share(&self, now: BootInstant) -> f64 {
        let alive = self.alive.len().max(1);
        alive as f64 / self.sharing_count(now) as f64
    }

    /// Number of nodes that may be using a part of a limit: those alive now or seen recently. At
    /// least one.
    pub fn sharing_count(&self, now: BootInstant) -> usize {
        let last_seen = self
            .last_seen
            .values()
            .filter(|last_seen| now.since(**last_seen) <= DEPARTED_LIFETIME)
            .count();
        last_seen.max(self.alive.len()).max(1)
    }

    /// The nodes that lend for a limit, highest-ranked first.
    pub fn lenders(&mut self, key: QuotaKey) -> &[SocketAddrV4] {
        let alive = &self.alive;
        self.ranked_lenders.entry(key).or_insert_with(|| {
            let mut ranked_lenders = alive.clone();
            ranked_lenders.sort_unstable_by_key(|node| std::cmp::Reverse(score(key, *node)));
            ranked_lenders.truncate(RANKED_LENDERS);
            ranked_lenders
        })
    }

    /// The nodes to send a token request to, in order of preference: the lenders, preceded by the
    /// seeds while the view of this node is not stable. A seed knows the lender, or lends itself
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

    /// The live nodes except this one.
    pub fn others(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.alive.iter().copied().filter(|node| *node != self.own)
    }

    /// The seeds except this node.
    pub fn other_seeds(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.seeds.iter().copied().filter(|seed| *seed != self.own)
    }

    /// Whether this node is a seed.
    pub fn is_seed(&self) -> bool {
        self.seeds.contains(&self.own)
    }

    /// The highest-ranked lender for a limit; None if no node is alive.
    pub fn first_lender(&mut self, key: QuotaKey) -> Option<SocketAddrV4> {
        self.lenders(key).first().copied()
    }

    /// The lenders that rank above this node for a limit.
    pub fn lenders_above_own(&mut self, key: QuotaKey) -> Vec<SocketAddrV4> {
        let own = self.own;
        self.lenders(key).iter().copied().take_while(|node| *node != own).collect()
    }

    /// Whether a node ranks above another one for a limit.
    pub fn ranks_above(&self, key: QuotaKey, node: SocketAddrV4, other: SocketAddrV4) -> bool {
        score(key, node) > score(key, other)
    }

    /// The highest-ranked of the recently departed nodes that rank above this one for a limit.
    pub fn departed_lender_above_own(
        &self,
        key: QuotaKey,
        now: BootInstant,
    ) -> Option<SocketAddrV4> {
        let own = score(key, self.own);
        let departed = self.last_seen.iter().filter(|(node, last_seen)| {
            now.since(**last_seen) <= DEPARTED_LIFETIME
                && !self.alive.contains(node)
                && **node != self.own
        });
        let ahead = departed.map(|(node, _)| (score(key, *node), *node));
        ahead.filter(|(score, _)| *score > own).max().map(|(_, node)| node)
    }

    /// Skips a node that does not respond or does not lend yet, for the given time.
    pub fn skip_for(&mut self, node: SocketAddrV4, time: Duration, now: BootInstant) {
        self.skipped_until.insert(node, now + time);
    }

    /// Records a response of a node, so that it is no longer skipped.
    pub fn note_response(&mut self, node: SocketAddrV4) {
        self.skipped_until.remove(&node);
    }

    /// Whether a node is currently skipped.
    pub fn is_skipped(&self, node: SocketAddrV4, now: BootInstant) -> bool {
        self.skipped_until.get(&node).is_some_and(|until| now < *until)
    }
}
