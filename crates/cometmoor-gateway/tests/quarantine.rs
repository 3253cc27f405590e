//! A request that crashes every server that runs it, in fleets of up to a thousand nodes:
//! what still reaches servers after the third has crashed under it, and what is blamed of
//! the requests that ran beside it. Figures of a run are printed with `--nocapture`.

mod world;

use std::net::SocketAddrV4;

use cometmoor_core::gateway::quarantine::{CRASH_LIMIT, Fingerprint, QuarantineStatus};
use cometmoor_core::time::Timestamp;

use world::{Link, World};

/// The request that crashes its servers.
const DEADLY: Fingerprint = Fingerprint(u64::MAX);
/// A link of 20 Mbit/s, and as many bytes as the port of a small switch holds.
const LINK: Link = Link { bytes_per_step: 125_000, queue_bytes: 128 * 1024 };
/// Turns between two heartbeats up to 400 nodes.
const TURNS_OF_HEARTBEAT: u64 = 4;
/// Time for which nodes must have heard of the third crash, in milliseconds.
const CONTACT_MILLIS: u64 = 3_000;
/// Time for which the deadly request comes after the third crash.
const WATCHED_MILLIS: u64 = 6_000;
/// Requests that run beside it where a server crashes.
const BESIDE: u64 = 20;
/// Time after which a caller that was cut comes again, once.
const RETURNS_AFTER: u64 = 500;
/// Time for which a request is at its server.
const RUNS_FOR: u64 = 1_000;

/// What was counted in one fleet.
#[derive(Debug, Default, PartialEq)]
struct Figures {
    /// Servers that crashed before the request was quarantined anywhere.
    crashed_first: u64,
    /// Sends after the third crash, while nodes heard of it.
    sent_soon: u64,
    /// Sends later than the time by which nodes must have heard.
    sent_late: u64,
    /// Sound requests that were present at a crash.
    beside: u64,
    /// Of those, how many were present at two.
    beside_twice: u64,
    /// Of those, how many were refused.
    refused: u64,
}

/// A sound request that was cut, and comes again at this time.
struct Cut {
    content: Fingerprint,
    at: u64,
}

struct Play {
    world: World,
    servers: u64,
    crashed: u64,
    third: Option<u64>,
    next_content: u64,
    cut: Vec<Cut>,
    /// Sound requests that run for the second time, their server, and until when.
    running: Vec<(Fingerprint, u64, u64)>,
    figures: Figures,
}

impl Play {
    fn new(nodes: usize, servers: u64, seed: u64) -> Play {
        let mut world = World::new(seed);
        world.link = Some(LINK);
        world.large_fleet_heartbeat_steps = TURNS_OF_HEARTBEAT;
        world.start(0..nodes);
        world.run(5);
        Play {
            world,
            servers,
            crashed: 0,
            third: None,
            next_content: 0,
            cut: Vec::new(),
            running: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn any_node(&mut self) -> SocketAddrV4 {
        let place = self.world.random_below(self.world.nodes.len() as u64) as usize;
        *self.world.nodes.keys().nth(place).unwrap()
    }

    fn may_be_sent(&mut self, node: SocketAddrV4, content: Fingerprint) -> bool {
        let now = Timestamp(self.world.now);
        self.world.nodes[&node].quarantine.status(content, now) == QuarantineStatus::Allowed
    }

    /// The deadly request comes at any node.
    fn deadly_comes(&mut self) {
        let node = self.any_node();
        if !self.may_be_sent(node, DEADLY) {
            return;
        }
        match self.third {
            None => self.figures.crashed_first += 1,
            Some(third) if self.world.now - third <= CONTACT_MILLIS => self.figures.sent_soon += 1,
            Some(_) => self.figures.sent_late += 1,
        }
        let place = self.world.random_below(self.servers);
        self.server_crashes(node, place);
        if self.crashed == CRASH_LIMIT as u64 {
            self.third = Some(self.world.now);
        }
    }

    /// A server crashes while the deadly request, others that are new and those that run for
    /// the second time are there. Each node blames what it sent.
    fn server_crashes(&mut self, node: SocketAddrV4, place: u64) {
        self.crashed += 1;
        let incarnation = self.crashed as u32;
        let now = self.world.now;
        self.blame(node, DEADLY, incarnation);
        for _ in 0..BESIDE {
            self.next_content += 1;
            let content = Fingerprint(self.next_content);
            let sender = self.any_node();
            self.blame(sender, content, incarnation);
            self.figures.beside += 1;
            self.cut.push(Cut { content, at: now + RETURNS_AFTER });
        }
        let running = std::mem::take(&mut self.running);
        let (hit, others) = running.into_iter().partition(|(_, server, _)| *server == place);
        self.running = others;
        let hit: Vec<(Fingerprint, u64, u64)> = hit;
        for (content, _, _) in hit {
            let sender = self.any_node();
            self.blame(sender, content, incarnation);
            self.figures.beside_twice += 1;
        }
    }

    fn blame(&mut self, node: SocketAddrV4, content: Fingerprint, incarnation: u32) {
        let now = Timestamp(self.world.now);
        let node = self.world.nodes.get_mut(&node).unwrap();
        node.quarantine.note_crash(content, incarnation, now);
    }

    /// Those that were cut come again, and are answered unless their server crashes.
    fn cut_ones_return(&mut self) {
        let now = self.world.now;
        let cut = std::mem::take(&mut self.cut);
        let (due, later) = cut.into_iter().partition(|cut| cut.at <= now);
        self.cut = later;
        let due: Vec<Cut> = due;
        for Cut { content, .. } in due {
            let node = self.any_node();
            if !self.may_be_sent(node, content) {
                self.figures.refused += 1;
                continue;
            }
            let place = self.world.random_below(self.servers);
            self.running.push((content, place, now + RUNS_FOR));
        }
        let running = std::mem::take(&mut self.running);
        let (answered, running) = running.into_iter().partition(|(_, _, end)| *end <= now);
        self.running = running;
        let answered: Vec<(Fingerprint, u64, u64)> = answered;
        for (content, _, _) in answered {
            let node = self.any_node();
            let now = Timestamp(now);
            self.world.nodes.get_mut(&node).unwrap().quarantine.note_answer(content, now);
        }
    }

    /// Plays returns of the deadly request, so many milliseconds apart.
    fn run(mut self, pause: u64) -> Figures {
        let mut next = self.world.now;
        while self.third.is_none_or(|third| self.world.now < third + WATCHED_MILLIS) {
            if self.world.now >= next {
                next += pause;
                self.deadly_comes();
            }
            self.cut_ones_return();
            self.world.step();
        }
        self.figures
    }
}

fn play(nodes: usize, servers: u64, pause: u64) -> Figures {
    let figures = Play::new(nodes, servers, 7).run(pause);
    eprintln!("{nodes} nodes, {servers} servers, comes every {pause} ms: {figures:?}");
    figures
}

/// Where a request came again each second, at any of six nodes, six more of twelve servers
/// crashed under it later than three seconds after the third. Each node has to hear of a
/// crash that another saw before the request comes there.
#[test]
fn no_server_gets_the_request_when_nodes_must_have_heard_of_the_third_end() {
    for (nodes, servers) in [(6, 12), (9, 18), (30, 60), (100, 120)] {
        for pause in [50, 200, 1_000] {
            let figures = play(nodes, servers, pause);
            assert_eq!(figures.sent_late, 0, "{nodes} nodes, every {pause} ms");
            assert_eq!(figures.refused, 0, "{nodes} nodes, every {pause} ms");
        }
    }
}

/// One that comes again each second crashes three servers and no fourth, at any size.
#[test]
fn a_request_that_comes_every_second_crashes_three_servers() {
    for (nodes, servers) in [(6, 12), (30, 60), (300, 240)] {
        let figures = play(nodes, servers, 1_000);
        assert_eq!((figures.crashed_first, figures.sent_soon), (3, 0), "{nodes} nodes");
    }
}

/// A node that starts again knows nothing. Others report to it what is quarantined, also when
/// that has not changed for long.
#[test]
fn a_node_that_starts_again_is_told_what_is_quarantined() {
    for nodes in [6, 100] {
        let mut play = Play::new(nodes, 12, 11);
        while play.third.is_none() {
            play.deadly_comes();
            play.world.run(1);
        }
        play.world.run(5);
        let restarted: Vec<SocketAddrV4> = play.world.nodes.keys().copied().take(2).collect();
        restarted.iter().for_each(|node| drop(play.world.nodes.remove(node)));
        play.world.run(2);
        play.world.start(0..nodes.min(4));
        play.world.run(4);
        let nodes: Vec<SocketAddrV4> = play.world.nodes.keys().copied().collect();
        for node in nodes {
            assert!(!play.may_be_sent(node, DEADLY), "{node} does not know");
        }
    }
}
