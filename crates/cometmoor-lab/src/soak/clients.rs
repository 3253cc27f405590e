//! Clients that send requests to the nodes and note what becomes of them.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::caller::{Caller, ask_directory};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::history::{Kind, RequestRecord};
use super::system::SoakSystem;

/// Clients of a run.
const CLIENTS: u64 = 12;
/// Longest pause between two requests of a client.
const MOST_PAUSE_MILLIS: u64 = 120;
/// Time between two probes of a node.
const PROBE_EACH: Duration = Duration::from_millis(250);
/// Most events that a stream asks for: it ends well within the grace.
const MOST_EVENTS: u64 = 20;

/// The clients of a run.
pub struct Clients {
    stopping: Rc<Cell<bool>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

impl Clients {
    /// Lets them finish what they have begun.
    pub async fn stop(self) {
        self.stopping.set(true);
        futures::future::join_all(self.tasks).await;
    }
}

/// Starts clients, and one prober for each node.
pub fn start(system: &SoakSystem, seed: u64) -> Clients {
    let stopping: Rc<Cell<bool>> = Rc::default();
    let client = |number: u64| {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ 0xc11e);
        actix_rt::spawn(send_requests(system.clone(), stopping.clone(), number, random))
    };
    let prober = |node: usize| actix_rt::spawn(probe(system.clone(), stopping.clone(), node));
    let tasks = (0..CLIENTS).map(client).chain((0..system.node_count()).map(prober)).collect();
    Clients { stopping, tasks }
}

/// What a client keeps of the directory's answers.
struct Directory {
    addresses: Vec<SocketAddrV4>,
    asked: Option<Instant>,
    lifetime: Duration,
}

impl Directory {
    /// An address to use; a new answer is asked for when the last one is over.
    async fn pick(&mut self, system: &SoakSystem, random: &mut ChaCha8Rng) -> Option<SocketAddrV4> {
        if self.asked.is_none_or(|asked| asked.elapsed() > self.lifetime) {
            let node = random.random_range(0..system.node_count());
            if let Some(addresses) = ask_directory(system.directory_of(node)).await {
                self.addresses = addresses;
                self.asked = Some(Instant::now());
            }
        }
        self.addresses.choose(random).copied()
    }
}

async fn send_requests(
    system: SoakSystem,
    stopping: Rc<Cell<bool>>,
    number: u64,
    mut random: ChaCha8Rng,
) {
    let mut caller = Caller::default();
    let lifetime = system.directory_lifetime();
    let mut directory = Directory { addresses: Vec::new(), asked: None, lifetime };
    for count in 0_u64.. {
        if stopping.get() {
            return;
        }
        let pause = random.random_range(0..MOST_PAUSE_MILLIS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let picked = directory.pick(&system, &mut random).await;
        // A connection is kept until the node ends it.
        let Some(address) = caller.connected_to().or(picked) else { continue };
        let (kind, path) = draw_request(&mut random, count);
        let id = format!("c{number}-{count}");
        send(&system, &mut caller, address, kind, &path, id).await;
    }
}

fn draw_request(random: &mut ChaCha8Rng, count: u64) -> (Kind, String) {
    match random.random_range(0..3) {
        0 => (Kind::Once, format!("/once/{count}")),
        1 => (Kind::Safe, format!("/safe/{count}")),
        _ => {
            let events = random.random_range(1..=MOST_EVENTS);
            (Kind::Stream, format!("/stream/events-{events}"))
        }
    }
}

/// Asks one node again and again for the newest route.
async fn probe(system: SoakSystem, stopping: Rc<Cell<bool>>, node: usize) {
    let mut caller = Caller::default();
    for count in 0_u64.. {
        if stopping.get() {
            return;
        }
        tokio::time::sleep(PROBE_EACH).await;
        let version = system.newest_configuration();
        let (path, id) = (format!("/v{version}/{count}"), format!("p{node}-{count}"));
        let address = system.address_of(node);
        send(&system, &mut caller, address, Kind::Probe(version), &path, id).await;
    }
}

async fn send(
    system: &SoakSystem,
    caller: &mut Caller,
    address: SocketAddrV4,
    kind: Kind,
    path: &str,
    id: String,
) {
    let Some(node) = system.node_at(address) else { return };
    let sent = system.elapsed();
    let ended = caller.call(address, path, &id).await;
    system.note_request(RequestRecord { id, kind, node, sent, done: system.elapsed(), ended });
}
