//! Simulation of nodes whose mirrors follow a store that is restored from older backups. Answers
//! of the store and updates from peers arrive late and out of order. The mirrors must end up
//! with what the store holds, and never go back to an older version of the configuration.

use std::collections::BTreeMap;

use cometmoor_core::gateway::store_position::{AnswerEra, KnownEra, StoreEra, StorePosition};
use cometmoor_gateway::dialect::{Item, WatchEvent};
use cometmoor_gateway::mirror::{Mirror, MirrorUpdate};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 2_000;
const STEPS: usize = 150;
const NODES: usize = 4;
const KEYS: u32 = 4;
/// Key of the item whose writer numbers its versions.
const VERSIONED_KEY: &str = "configuration";

/// The items in the store, and the changes that led to them.
#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<WatchEvent>,
}

impl Contents {
    fn write(&mut self, key: &str, version: Option<u64>) {
        self.revision += 1;
        let revision = self.revision;
        let value = format!("{key} {version:?} {revision}").into_bytes();
        let item =
            Item { key: key.to_owned(), value, revision, create_revision: revision, version };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(WatchEvent::Put(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(WatchEvent::Deleted { key: key.to_owned(), revision });
        }
    }

    fn changes_since(&self, after: u64) -> Option<Vec<WatchEvent>> {
        let later = |event: &&WatchEvent| event.revision() > after;
        (after <= self.revision).then(|| self.history.iter().filter(later).cloned().collect())
    }
}

struct Store {
    /// Number of the era, if the store sends one.
    era: Option<u32>,
    contents: Contents,
    /// Backups, oldest first.
    backups: Vec<Contents>,
    newest_version: u64,
}

/// An answer of the store, which reaches the node later.
#[derive(Clone)]
enum Answer {
    Read { items: Vec<Item>, at: u64, known: StorePosition },
    Watch { events: Option<Vec<WatchEvent>>, after: StorePosition },
}

#[derive(Clone)]
enum Message {
    Store { node: usize, number: Option<u32>, newest_at_call: StoreEra, answer: Answer },
    Peer { node: usize, era: StoreEra, update: MirrorUpdate },
}

#[derive(Clone, Default)]
struct Node {
    mirror: Mirror,
    era: KnownEra,
    version: u64,
}

impl Node {
    fn handle(&mut self, message: Message) {
        match message {
            Message::Store { number, newest_at_call, answer, .. } => {
                let era = match self.era.note_answer(number, newest_at_call) {
                    AnswerEra::Newest(era) | AnswerEra::New { era, .. } => era,
                    AnswerEra::Past(_) => return,
                };
                self.handle_answer(era, answer);
            }
            Message::Peer { era, update, .. } => {
                self.era.note(era);
                self.mirror.apply_update(update);
            }
        }
        let version = self.mirror.items.get(VERSIONED_KEY).and_then(|item| item.version);
        assert!(version.unwrap_or(0) >= self.version, "{version:?} after {}", self.version);
        self.version = version.unwrap_or(0);
    }

    fn handle_answer(&mut self, era: StoreEra, answer: Answer) {
        match answer {
            Answer::Read { items, at, known } => {
                let read = StorePosition { era, revision: at };
                let era = match self.era.classify_read(read, known) {
                    AnswerEra::Newest(era) | AnswerEra::New { era, .. } => era,
                    AnswerEra::Past(_) => return,
                };
                self.mirror.merge(Mirror::from_items(items, StorePosition { era, ..read }));
            }
            Answer::Watch { events: Some(events), after } => {
                if after.era == era && self.mirror.position.era == era {
                    self.mirror.apply_events(events);
                }
            }
            Answer::Watch { events: None, .. } => {}
        }
    }
}

struct World {
    random: StdRng,
    store: Store,
    nodes: Vec<Node>,
    in_transit: Vec<Message>,
}

impl World {
    fn new(seed: u64, numbers_eras: bool) -> World {
        let store = Store {
            era: numbers_eras.then_some(1),
            contents: Contents::default(),
            backups: Vec::new(),
            newest_version: 0,
        };
        let nodes = vec![Node::default(); NODES];
        let mut world =
            World { random: StdRng::seed_from_u64(seed), store, nodes, in_transit: Vec::new() };
        world.write_new_version();
        world
    }

    fn write_new_version(&mut self) {
        self.store.newest_version += 1;
        self.store.contents.write(VERSIONED_KEY, Some(self.store.newest_version));
    }

    fn change(&mut self) {
        let key = format!("server-{}", self.random.random_range(0..KEYS));
        match self.random.random_range(0..6) {
            0 => self.write_new_version(),
            1 => self.store.contents.remove(&key),
            _ => self.store.contents.write(&key, None),
        }
    }

    /// Restores the store from a random backup.
    fn restore(&mut self) {
        if self.store.backups.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.store.backups.len());
        self.store.contents = self.store.backups[index].clone();
        self.store.backups.truncate(index + 1);
        self.store.era = self.store.era.map(|era| era + 1);
    }

    fn call_store(&mut self, node: usize) -> Message {
        let known = self.nodes[node].mirror.position;
        let newest_at_call = self.nodes[node].era.newest();
        let reads = known.era < newest_at_call || !self.nodes[node].mirror.exists();
        let answer = if reads || self.random.random_bool(0.3) {
            self.read(known)
        } else {
            Answer::Watch {
                events: self.store.contents.changes_since(known.revision),
                after: known,
            }
        };
        Message::Store { node, number: self.store.era, newest_at_call, answer }
    }

    fn read(&self, known: StorePosition) -> Answer {
        let contents = &self.store.contents;
        let items = contents.items.values().cloned().collect();
        Answer::Read { items, at: contents.revision, known }
    }

    /// An update for a node from a random one; `None` if that is itself or has no copy.
    fn fetch_from_peer(&mut self, node: usize) -> Option<Message> {
        let from = self.random.random_range(0..NODES);
        let (source, own) = (&self.nodes[from].mirror, &self.nodes[node].mirror);
        if from == node || !source.exists() {
            return None;
        }
        let after = if self.random.random_bool(0.5) { own.position } else { Default::default() };
        Some(Message::Peer { node, era: source.position.era, update: source.changes_since(after) })
    }

    fn deliver(&mut self, message: Message) {
        let (Message::Store { node, .. } | Message::Peer { node, .. }) = &message;
        let node = *node;
        self.nodes[node].handle(message);
    }

    fn step(&mut self) {
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..20) {
            0..6 => self.change(),
            6 => self.store.backups.push(self.store.contents.clone()),
            7 => self.restore(),
            8..13 => {
                let message = self.call_store(node);
                self.in_transit.push(message);
            }
            13..16 => {
                let message = self.fetch_from_peer(node);
                self.in_transit.extend(message);
            }
            _ if self.in_transit.is_empty() => {}
            _ => {
                let index = self.random.random_range(0..self.in_transit.len());
                let message = self.in_transit.swap_remove(index);
                self.deliver(message);
            }
        }
    }

    /// Delivers all messages in transit, writes the newest version again as the operator does,
    /// and lets each node read the store until its copy is up to date.
    fn settle(&mut self) {
        while let Some(message) = self.in_transit.pop() {
            self.deliver(message);
        }
        self.store.contents.write(VERSIONED_KEY, Some(self.store.newest_version));
        for node in 0..NODES {
            for _ in 0..3 {
                let known = self.nodes[node].mirror.position;
                let newest_at_call = self.nodes[node].era.newest();
                let answer = self.read(known);
                let number = self.store.era;
                self.deliver(Message::Store { node, number, newest_at_call, answer });
            }
        }
    }

    fn check(&self, seed: u64) {
        for node in &self.nodes {
            let held: Vec<&Vec<u8>> = node.mirror.items.values().map(|item| &item.value).collect();
            let stored: Vec<&Vec<u8>> =
                self.store.contents.items.values().map(|item| &item.value).collect();
            assert_eq!(held, stored, "seed {seed}");
            assert!(node.mirror.items.values().all(|item| !item.is_lost), "seed {seed}");
        }
    }
}

#[test]
fn mirrors_converge_to_restored_store_with_numbered_eras() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, true);
        (0..STEPS).for_each(|_| world.step());
        world.settle();
        world.check(seed);
    }
}
