//! Copies of a store that comes back from older copies, by calls that are answered late and
//! through peers, come to hold what the store holds, and no older version.

use std::collections::BTreeMap;

use cometmoor_core::gateway::store_position::{AnswerEra, KnownEra, StoreEra, StorePosition};
use cometmoor_gateway::dialect::{Item, WatchEvent};
use cometmoor_gateway::mirror::{Mirror, MirrorUpdate};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 2_000;
const STEPS: usize = 150;
const NODES: usize = 4;
const KEYS: u32 = 4;
/// Key of the item whose versions are numbered.
const NUMBERED: &str = "configuration";

/// What the store holds, and the changes that led there.
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
        let item = Item { key: key.to_owned(), value, revision, created: revision, version };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(WatchEvent::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(WatchEvent::Gone { key: key.to_owned(), revision });
        }
    }

    fn since(&self, after: u64) -> Option<Vec<WatchEvent>> {
        let later = |event: &&WatchEvent| event.revision() > after;
        (after <= self.revision).then(|| self.history.iter().filter(later).cloned().collect())
    }
}

struct Store {
    /// Number of the era, where the store tells one.
    era: Option<u32>,
    contents: Contents,
    /// What it held at some times before.
    copies: Vec<Contents>,
    newest_version: u64,
}

/// What the store answered at some time, which reaches a node later.
#[derive(Clone)]
enum Answer {
    Read { items: Vec<Item>, at: u64, known: StorePosition },
    Watch { events: Option<Vec<WatchEvent>>, after: StorePosition },
}

#[derive(Clone)]
enum Message {
    Store { node: usize, number: Option<u32>, newest_then: StoreEra, answer: Answer },
    Peer { node: usize, era: StoreEra, update: MirrorUpdate },
}

#[derive(Clone, Default)]
struct Node {
    mirror: Mirror,
    era: KnownEra,
    version: u64,
}

impl Node {
    fn take(&mut self, message: Message) {
        match message {
            Message::Store { number, newest_then, answer, .. } => {
                let era = match self.era.note_answer(number, newest_then) {
                    AnswerEra::Newest(era) | AnswerEra::New { era, .. } => era,
                    AnswerEra::Past(_) => return,
                };
                self.take_answer(era, answer);
            }
            Message::Peer { era, update, .. } => {
                self.era.note(era);
                self.mirror.apply_update(update);
            }
        }
        let version = self.mirror.items.get(NUMBERED).and_then(|item| item.version);
        assert!(version.unwrap_or(0) >= self.version, "{version:?} after {}", self.version);
        self.version = version.unwrap_or(0);
    }

    fn take_answer(&mut self, era: StoreEra, answer: Answer) {
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
    on_the_way: Vec<Message>,
}

impl World {
    fn new(seed: u64, numbers_eras: bool) -> World {
        let store = Store {
            era: numbers_eras.then_some(1),
            contents: Contents::default(),
            copies: Vec::new(),
            newest_version: 0,
        };
        let nodes = vec![Node::default(); NODES];
        let mut world =
            World { random: StdRng::seed_from_u64(seed), store, nodes, on_the_way: Vec::new() };
        world.write_version();
        world
    }

    fn write_version(&mut self) {
        self.store.newest_version += 1;
        self.store.contents.write(NUMBERED, Some(self.store.newest_version));
    }

    fn change(&mut self) {
        let key = format!("server-{}", self.random.random_range(0..KEYS));
        match self.random.random_range(0..6) {
            0 => self.write_version(),
            1 => self.store.contents.remove(&key),
            _ => self.store.contents.write(&key, None),
        }
    }

    /// The store comes back as of an earlier time.
    fn restore(&mut self) {
        if self.store.copies.is_empty() {
            return;
        }
        let place = self.random.random_range(0..self.store.copies.len());
        self.store.contents = self.store.copies[place].clone();
        self.store.copies.truncate(place + 1);
        self.store.era = self.store.era.map(|era| era + 1);
    }

    fn ask(&mut self, node: usize) -> Message {
        let known = self.nodes[node].mirror.position;
        let newest_then = self.nodes[node].era.newest();
        let reads = known.era < newest_then || !self.nodes[node].mirror.exists();
        let answer = if reads || self.random.random_bool(0.3) {
            self.read(known)
        } else {
            Answer::Watch { events: self.store.contents.since(known.revision), after: known }
        };
        Message::Store { node, number: self.store.era, newest_then, answer }
    }

    fn read(&self, known: StorePosition) -> Answer {
        let contents = &self.store.contents;
        let items = contents.items.values().cloned().collect();
        Answer::Read { items, at: contents.revision, known }
    }

    fn tell(&mut self, node: usize) -> Option<Message> {
        let from = self.random.random_range(0..NODES);
        let (teller, listener) = (&self.nodes[from].mirror, &self.nodes[node].mirror);
        if from == node || !teller.exists() {
            return None;
        }
        let after =
            if self.random.random_bool(0.5) { listener.position } else { Default::default() };
        Some(Message::Peer { node, era: teller.position.era, update: teller.changes_since(after) })
    }

    fn deliver(&mut self, message: Message) {
        let (Message::Store { node, .. } | Message::Peer { node, .. }) = &message;
        let node = *node;
        self.nodes[node].take(message);
    }

    fn step(&mut self) {
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..20) {
            0..6 => self.change(),
            6 => self.store.copies.push(self.store.contents.clone()),
            7 => self.restore(),
            8..13 => {
                let message = self.ask(node);
                self.on_the_way.push(message);
            }
            13..16 => {
                let message = self.tell(node);
                self.on_the_way.extend(message);
            }
            _ if self.on_the_way.is_empty() => {}
            _ => {
                let place = self.random.random_range(0..self.on_the_way.len());
                let message = self.on_the_way.swap_remove(place);
                self.deliver(message);
            }
        }
    }

    /// All that is on the way arrives, the operator writes the newest version again, and each
    /// node asks until its copy leads on to what the store holds.
    fn settle(&mut self) {
        while let Some(message) = self.on_the_way.pop() {
            self.deliver(message);
        }
        self.store.contents.write(NUMBERED, Some(self.store.newest_version));
        for node in 0..NODES {
            for _ in 0..3 {
                let known = self.nodes[node].mirror.position;
                let newest_then = self.nodes[node].era.newest();
                let answer = self.read(known);
                let number = self.store.era;
                self.deliver(Message::Store { node, number, newest_then, answer });
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
fn copies_hold_what_a_store_that_numbers_its_eras_holds() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, true);
        (0..STEPS).for_each(|_| world.step());
        world.settle();
        world.check(seed);
    }
}
