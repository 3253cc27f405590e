//! Tests of membership: nodes discover each other, bad links evict no node, and
//! dead nodes are detected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cometmoor_core::membership::{
    Issuer, Member, MemberState, Membership, MembershipTimes, UPDATES_PER_EXCHANGE,
};
use cometmoor_core::time::Timestamp;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const NODES: usize = 40;
const ROUND: Duration = Duration::from_millis(500);
const TIMES: MembershipTimes = MembershipTimes {
    suspicion_timeout: Duration::from_secs(3),
    dead_retention: Duration::from_secs(600),
};

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        name: format!("n{index}"),
        incarnation,
        version: 1,
        state: MemberState::Alive,
        client_address: String::new(),
        peer_address: index.to_string(),
        zone: format!("z{}", index % 3),
        region: "r".to_owned(),
        adopted: Vec::new(),
    }
}

/// A simulated network in which nodes may be down and links broken.
struct Network {
    nodes: Vec<Membership>,
    down: BTreeSet<usize>,
    broken_links: BTreeSet<(usize, usize)>,
    random: ChaCha8Rng,
    now: Timestamp,
    deaths: BTreeMap<String, u32>,
    most_updates: usize,
}

impl Network {
    fn new(count: usize) -> Network {
        let nodes = (0..count).map(|index| Membership::new(member(index, 1), TIMES)).collect();
        let mut network = Network {
            nodes,
            down: BTreeSet::new(),
            broken_links: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(7),
            now: Timestamp(0),
            deaths: BTreeMap::new(),
            most_updates: 0,
        };
        for index in 1..count {
            network.exchange(index, 0, true);
        }
        network
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let link = (from.min(to), from.max(to));
        !self.down.contains(&to) && !self.broken_links.contains(&link)
    }

    fn exchange(&mut self, from: usize, to: usize, full: bool) {
        let now = self.now;
        for (sender, receiver, full) in [(from, to, false), (to, from, full)] {
            let peer = self.nodes[receiver].own().name.clone();
            let updates = self.nodes[sender].updates(Some(&peer), full);
            if !full {
                self.most_updates = self.most_updates.max(updates.len());
            }
            let own = self.nodes[sender].own().clone();
            let name = own.name.clone();
            for update in std::iter::once(own).chain(updates) {
                let receiver = &mut self.nodes[receiver];
                let change = if full {
                    receiver.merge_without_gossip(update, now)
                } else {
                    receiver.merge(update, now)
                };
                if let Some(change) = change.filter(|c| c.state == MemberState::Dead) {
                    *self.deaths.entry(change.name).or_insert(0) += 1;
                }
            }
            self.nodes[receiver].record_contact(&name, now);
        }
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        for index in 0..self.nodes.len() {
            if self.down.contains(&index) {
                continue;
            }
            for change in self.nodes[index].tick(self.now) {
                if change.state == MemberState::Dead {
                    *self.deaths.entry(change.name).or_insert(0) += 1;
                }
            }
            let Some(target) = self.nodes[index].next_probe(&mut self.random) else {
                continue;
            };
            let to: usize = target.peer_address.parse().unwrap();
            if self.reachable(index, to) {
                self.exchange(index, to, false);
            } else if !self.reaches_indirectly(index, to) {
                self.nodes[index].probe_failed(&target.name, self.now);
            }
        }
    }

    fn reaches_indirectly(&mut self, from: usize, to: usize) -> bool {
        let name = format!("n{to}");
        let probers = self.nodes[from].indirect_probers(&name, &mut self.random);
        probers.iter().any(|prober| {
            let prober: usize = prober.peer_address.parse().unwrap();
            self.reachable(from, prober) && self.reachable(prober, to)
        })
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.round();
        }
    }

    fn states_of(&self, name: &str) -> BTreeMap<Option<MemberState>, usize> {
        let mut states = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if !self.down.contains(&index) && node.own().name != name {
                let state = node.member(name).map(|member| member.state);
                *states.entry(state).or_insert(0) += 1;
            }
        }
        states
    }
}

#[test]
fn all_members_discover_each_other_through_one_node() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    for node in &network.nodes {
        assert_eq!(node.serving().count(), NODES, "{} does not know all members", node.own().name);
    }
    assert!(network.most_updates <= UPDATES_PER_EXCHANGE);
    assert!(network.deaths.is_empty());
}

#[test]
fn bad_links_evict_no_node() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    for index in 0..6 {
        network.broken_links.insert((index, index + 20));
    }
    network.rounds(200);
    assert_eq!(network.deaths, BTreeMap::new());
}

/// A node that does not answer for a short time is suspected, and refutes the
/// suspicion before it is declared dead.
#[test]
fn suspicion_after_a_short_pause_is_refuted() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    network.down.insert(5);
    network.rounds(3);
    assert!(network.states_of("n5").contains_key(&Some(MemberState::Suspect)));
    network.down.remove(&5);
    network.rounds(60);
    assert_eq!(network.deaths, BTreeMap::new());
    assert_eq!(network.states_of("n5"), BTreeMap::from([(Some(MemberState::Alive), NODES - 1)]));
}

#[test]
fn dead_node_is_detected_by_all_and_its_new_process_joins() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    network.down.insert(5);
    let mut rounds = 0;
    while network.states_of("n5").get(&Some(MemberState::Dead)) != Some(&(NODES - 1)) {
        network.round();
        rounds += 1;
        assert!(rounds < 60, "{:?}", network.states_of("n5"));
    }
    network.down.remove(&5);
    network.nodes[5] = Membership::new(member(5, 2), TIMES);
    network.exchange(5, 0, true);
    network.rounds(20);
    assert_eq!(network.states_of("n5"), BTreeMap::from([(Some(MemberState::Alive), NODES - 1)]));
}

#[test]
fn paused_node_rejoins_by_refuting_its_death() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    network.down.insert(5);
    network.rounds(60);
    network.down.remove(&5);
    // The answers to its own probes tell it that it is considered dead.
    network.rounds(40);
    assert_eq!(network.states_of("n5"), BTreeMap::from([(Some(MemberState::Alive), NODES - 1)]));
}

#[test]
fn leaving_node_is_known_as_leaving_and_then_as_dead() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    network.nodes[5].announce_leaving();
    network.rounds(15);
    assert_eq!(network.states_of("n5"), BTreeMap::from([(Some(MemberState::Leaving), NODES - 1)]));
    network.down.insert(5);
    network.rounds(40);
    assert_eq!(network.states_of("n5"), BTreeMap::from([(Some(MemberState::Dead), NODES - 1)]));
}

/// Dead peers still count as expected, because an isolated node would otherwise
/// take itself for the whole system. Peers that announced their shutdown do not
/// count.
#[test]
fn isolated_node_still_expects_its_peers() {
    let mut network = Network::new(NODES);
    network.rounds(20);
    network.nodes[1].announce_leaving();
    network.rounds(15);
    network.down = (1..NODES).collect();
    network.rounds(200);
    let isolated = &network.nodes[0];
    assert_eq!(isolated.peers().count(), 0);
    assert_eq!(isolated.expected_peers(), NODES - 2);
    assert_eq!(isolated.contacted_within(Duration::from_secs(5), network.now), 0);
}

#[test]
fn adopter_holds_the_keys_of_a_stopped_issuer() {
    let issuer = Issuer { node: "n1".to_owned(), incarnation: 1 };
    let mut members = vec![member(0, 1), member(1, 1)];
    let holder = |members: &[Member]| Membership::key_holder(members, &issuer).cloned();
    assert_eq!(holder(&members).unwrap().name, "n1");
    members[1].incarnation = 2;
    assert_eq!(holder(&members), None, "a later process does not know the keys");
    members[0].adopted.push(issuer.clone());
    assert_eq!(holder(&members).unwrap().name, "n0");
    members[0].state = MemberState::Dead;
    assert_eq!(holder(&members), None);
}
