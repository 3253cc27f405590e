//! Fleets in virtual time: nodes find one another, notice who is gone, and tell
//! one another of their load, also when datagrams are lost and hubs die.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

use cometmoor_core::time::Timestamp;
use cometmoor_gateway::load::{PendingWork, ServerLoad};
use cometmoor_gateway::membership::{
    CopyVersions, Heartbeat, Member, Membership, Message, PeerPhase, Placement,
};

/// Time between two turns of the world, in milliseconds.
const TURN: u64 = 50;
/// Turns between two heartbeats of a node.
const TURNS_OF_SMALL_FLEET: u64 = 4;
const TURNS_OF_LARGE_FLEET: u64 = 8;
/// Turns between two ticks of a node.
const TURNS_OF_TICK: u64 = 5;
const ZONES: usize = 3;
/// Of a thousand datagrams, how many are lost.
const LOST: u64 = 50;
/// The one server that all nodes put load on.
const SERVER: u32 = 7;

struct Node {
    membership: Membership,
    sequence: u64,
    incarnation: u64,
    load: u32,
    received: u64,
}

struct World {
    now: u64,
    nodes: BTreeMap<SocketAddrV4, Node>,
    leader: Option<SocketAddrV4>,
    /// Whether every second heartbeat leaves the load out, as early ones do.
    leaves_load_out: bool,
    placement: u64,
    /// Zone whose nodes are cut off from all others.
    cut: Option<usize>,
    random: u64,
}

fn address(index: usize) -> SocketAddrV4 {
    let [high, low] = u16::try_from(index).unwrap().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, (index % ZONES) as u8, high, low), 7000)
}

fn zone_of(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[1])
}

impl World {
    fn new(seed: u64) -> World {
        let nodes = BTreeMap::new();
        World {
            now: 0,
            nodes,
            leader: None,
            leaves_load_out: false,
            placement: 1,
            cut: None,
            random: seed | 1,
        }
    }

    /// Starts nodes that know a few of the others, by their seeds or the store.
    fn start(&mut self, indexes: std::ops::Range<usize>) {
        let mut contacts: Vec<SocketAddrV4> = self.nodes.keys().copied().take(ZONES).collect();
        contacts.extend((0..ZONES).map(address));
        for index in indexes {
            let own = address(index);
            let mut membership = Membership::new(own, &format!("zone-{}", zone_of(own)));
            let now = Timestamp(self.now);
            contacts.iter().for_each(|contact| membership.add_contact(*contact, now));
            let node =
                Node { membership, sequence: 0, incarnation: self.now + 1, load: 1, received: 0 };
            self.nodes.insert(own, node);
        }
    }

    /// Next number below a bound, by SplitMix64.
    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn heartbeat(&mut self, own: SocketAddrV4) -> Heartbeat {
        let leads = self.leader == Some(own);
        let node = self.nodes.get_mut(&own).unwrap();
        node.sequence += 1;
        let tells_load = !self.leaves_load_out || node.sequence.is_multiple_of(2);
        let load = ServerLoad { in_flight: node.load, pending: PendingWork::default() };
        Heartbeat {
            node: own.to_string(),
            incarnation: node.incarnation,
            sequence: node.sequence,
            zone: format!("zone-{}", zone_of(own)),
            client_address: own,
            peer_address: own,
            phase: PeerPhase::Ready,
            versions: CopyVersions::default(),
            reads_store: node.membership.is_reader(3),
            store_fails: false,
            loads: tells_load.then(|| vec![(SERVER, load)]),
            demand: Vec::new(),
            waited_for: Vec::new(),
            placement: leads.then(|| Placement {
                token: 5,
                sequence: self.placement,
                leader: own,
                added: vec![(SERVER, self.placement as u32)],
                withdrawn: Vec::new(),
            }),
            members: node.membership.count(),
            known: node.membership.known(node.sequence),
        }
    }

    fn turn(&mut self) {
        self.now += TURN;
        let turn = self.now / TURN;
        let now = Timestamp(self.now);
        let addresses: Vec<SocketAddrV4> = self.nodes.keys().copied().collect();
        for (index, own) in addresses.into_iter().enumerate() {
            let membership = &mut self.nodes.get_mut(&own).unwrap().membership;
            if (turn + index as u64).is_multiple_of(TURNS_OF_TICK) {
                membership.tick(now);
            }
            let turns =
                if membership.is_small() { TURNS_OF_SMALL_FLEET } else { TURNS_OF_LARGE_FLEET };
            if (turn + index as u64).is_multiple_of(turns) {
                self.send(own, now);
            }
        }
    }

    fn send(&mut self, own: SocketAddrV4, now: Timestamp) {
        let heartbeat = self.heartbeat(own);
        let membership = &mut self.nodes.get_mut(&own).unwrap().membership;
        let outgoing = membership.outgoing(&heartbeat, now);
        for outgoing in outgoing {
            let bytes = outgoing.message.encode();
            for target in outgoing.targets {
                assert_ne!(target, own, "a node tells itself");
                if self.draw(1000) >= LOST {
                    self.deliver(own, target, &bytes, now);
                }
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, bytes: &[u8], now: Timestamp) {
        let is_cut = |zone: usize| (zone_of(from) == zone) != (zone_of(to) == zone);
        if self.cut.is_some_and(is_cut) {
            return;
        }
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.received += 1;
        match Message::decode(bytes).unwrap() {
            Message::Heartbeat(heartbeat) => {
                node.membership.receive(heartbeat, false, now);
            }
            Message::HeartbeatToHub(heartbeat) => {
                node.membership.receive(heartbeat, true, now);
            }
            Message::ZoneDigest(digest) => node.membership.receive_zone(digest, now),
            Message::FleetDigest(digest) => node.membership.receive_fleet(digest, now),
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1000 / TURN {
            self.turn();
        }
    }

    /// Runs until all nodes know just the others, and tells who does not within
    /// the time. A node of which three heartbeats in a row were lost is taken for
    /// gone for a moment, so that it need not hold at a certain one.
    fn misinformed_after(&mut self, seconds: u64) -> Vec<String> {
        let end = self.now + seconds * 1000;
        loop {
            let misinformed = self.misinformed();
            if misinformed.is_empty() || self.now >= end {
                return misinformed;
            }
            self.turn();
        }
    }

    /// Nodes that do not know just the others that are there.
    fn misinformed(&self) -> Vec<String> {
        let all: BTreeSet<SocketAddrV4> = self.nodes.keys().copied().collect();
        let told = self.nodes.iter().filter_map(|(own, node)| {
            let known: BTreeSet<SocketAddrV4> =
                node.membership.members().iter().map(Member::address).collect();
            let mut others = all.clone();
            others.remove(own);
            let missing: Vec<&SocketAddrV4> = others.difference(&known).collect();
            let extra: Vec<&SocketAddrV4> = known.difference(&others).collect();
            (known != others).then(|| format!("{own}: {missing:?} missing, {extra:?} extra"))
        });
        told.collect()
    }
}

#[test]
fn nodes_of_small_and_large_fleets_find_one_another() {
    for (count, seed) in [(2, 1), (9, 2), (16, 3), (17, 4), (40, 5), (130, 6)] {
        let mut world = World::new(seed);
        world.start(0..count);
        assert_eq!(world.misinformed_after(8), Vec::<String>::new(), "{count} nodes");
    }
}

#[test]
fn nodes_that_die_are_dropped_and_others_take_over_their_part() {
    for seed in 1..=8 {
        let mut world = World::new(seed * 7919);
        world.start(0..60);
        world.run(8);
        for _ in 0..20 {
            let victim = world.draw(world.nodes.len() as u64) as usize;
            let victim = *world.nodes.keys().nth(victim).unwrap();
            world.nodes.remove(&victim);
        }
        assert_eq!(world.misinformed_after(6), Vec::<String>::new(), "seed {seed}");
        world.start(60..70);
        assert_eq!(world.misinformed_after(6), Vec::<String>::new(), "seed {seed}, ten more");
    }
}

#[test]
fn a_fleet_that_was_cut_in_two_for_a_minute_becomes_one_again() {
    let mut world = World::new(11);
    world.start(0..45);
    world.run(8);
    world.cut = Some(1);
    world.run(60);
    let near = world.nodes.iter().find(|(own, _)| zone_of(**own) == 1).unwrap().1;
    assert_eq!(near.membership.members().len(), 14, "only its own zone");
    world.cut = None;
    assert_eq!(world.misinformed_after(12), Vec::<String>::new());
}

/// Nodes that do not reckon with one request of each other node, or that do not
/// know the leader.
fn nodes_with_wrong_load(world: &World) -> Vec<String> {
    let now = Timestamp(world.now);
    let others = world.nodes.len() as u32 - 1;
    let told = [(SERVER, ServerLoad { in_flight: 1, pending: PendingWork::default() })];
    let check = |(own, node): (&SocketAddrV4, &Node)| {
        let load: HashMap<u32, ServerLoad> = node.membership.load(&told, now);
        let in_flight = load.get(&SERVER).map_or(0, |load| load.in_flight);
        let leader = node.membership.placement(now).map(|(placement, _)| placement.leader);
        let knows_leader = Some(*own) == world.leader || leader == world.leader;
        (in_flight != others || !knows_leader).then(|| format!("{own}: {in_flight}, {leader:?}"))
    };
    world.nodes.iter().filter_map(check).collect()
}

#[test]
fn nodes_know_the_load_of_all_others_and_what_the_leader_tells() {
    for (count, leaves_load_out) in [(8, false), (60, false), (60, true)] {
        let mut world = World::new(3);
        world.leaves_load_out = leaves_load_out;
        world.start(0..count);
        world.leader = Some(address(5));
        // As with who is there, a moment is waited for in which no loss shows.
        let is_wrong = |world: &World| !nodes_with_wrong_load(world).is_empty();
        while world.now < 12_000 && is_wrong(&world) {
            world.turn();
        }
        assert_eq!(nodes_with_wrong_load(&world), Vec::<String>::new(), "{count} nodes");
    }
}

/// Hubs pass on what other hubs told: a change within the leader's term has to
/// replace what was told before at every node, and at once.
#[test]
fn a_change_that_the_leader_tells_replaces_what_hubs_told_before() {
    for seed in 1..=4 {
        let mut world = World::new(seed);
        world.start(0..60);
        world.leader = Some(address(0));
        world.run(6);
        for placement in 2..=6 {
            world.placement = placement;
            world.run(2);
            let now = Timestamp(world.now);
            let heard = |node: &Node| node.membership.placement(now).map(|(told, _)| told.sequence);
            let others = world.nodes.iter().filter(|(own, _)| **own != address(0));
            let late = others.filter(|(_, node)| heard(node) != Some(placement)).count();
            assert_eq!(late, 0, "seed {seed}: nodes that go by placement {placement}'s forerunner");
        }
    }
}

/// Hubs pass the leader's word on to one another: once it has died, none may keep it
/// alive for the others, or nobody takes its place.
#[test]
fn the_word_of_a_leader_that_died_is_forgotten() {
    for (seed, count) in [(1, 8), (2, 60), (3, 120)] {
        let mut world = World::new(seed);
        world.start(0..count);
        world.leader = Some(address(0));
        world.run(6);
        world.nodes.remove(&address(0));
        world.run(8);
        let now = Timestamp(world.now);
        let believing =
            world.nodes.values().filter(|node| node.membership.placement(now).is_some()).count();
        assert_eq!(believing, 0, "of {count} nodes, eight seconds later");
    }
}

#[test]
fn readers_of_the_store_are_the_same_few_for_all_nodes() {
    let mut world = World::new(5);
    world.start(0..60);
    world.run(8);
    let readers = world.nodes.values().filter(|node| node.membership.is_reader(6)).count();
    assert_eq!(readers, 6);
}

#[test]
fn messages_for_a_node_do_not_grow_with_the_fleet() {
    let mut most = Vec::new();
    for count in [60, 240] {
        let mut world = World::new(9);
        world.start(0..count);
        world.run(10);
        world.nodes.values_mut().for_each(|node| node.received = 0);
        world.run(10);
        let mut received: Vec<u64> = world.nodes.values().map(|node| node.received).collect();
        received.sort_unstable();
        most.push(received[count / 2]);
    }
    // A node gets what one hub sends: some 25 digests in ten seconds.
    assert!(most.iter().all(|received| *received <= 40), "{most:?} in ten seconds");
}
