//! The system under a soak run: store, servers and ways in this process, nodes as
//! processes of their own.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::fleet::{Fleet, once_route, safe_route, services, stream_route};
use cometmoor_platform_stand_in::store::{Door, DoorHandle};
use cometmoor_platform_stand_in::worker::Worker;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::SoakRun;
use super::history::{Disturbance, History, PlannedStop, RequestRecord, RunRecord, Whom};
use super::processes::NodeProcess;
use super::proxy::Way;
use super::schedule::{Fault, Planned, WayFault};

/// Servers that take work at any time.
pub const SERVERS: usize = 4;
/// The service that all routes lead to, and another one.
const SERVICE: &str = "app";
const OTHER_SERVICE: &str = "other";
/// Time after the end of a server within which its answers may be missing.
const LASTS_FOR_CLIENTS: Duration = Duration::from_secs(4);
/// Work on a request without events.
const WORK: Duration = Duration::from_millis(40);
/// Pause before a process that has ended is started again.
const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time that a started node is not held to bounds of time.
const START: Duration = Duration::from_millis(1500);
/// Time for all to come to rest after the last fault.
const SETTLE: Duration = Duration::from_secs(8);
/// Between two looks at the processes.
const LOOK: Duration = Duration::from_millis(20);
/// Hosts of the nodes, the store, their ways and the servers in the fleet's part of
/// the loopback range.
const FIRST_NODE: u8 = 1;
const STORE_HOST: u8 = 60;
const FIRST_WAY: u8 = 61;
const SERVER_HOST: u8 = 120;

/// A server and the way to it.
struct ServerPlace {
    id: String,
    number: usize,
    way: Way,
}

/// A planned stop that has begun.
struct Stopping {
    at: Duration,
}

struct NodePlace {
    process: NodeProcess,
    way: Way,
    stopping: Option<Stopping>,
    is_frozen: bool,
    restart_at: Option<Instant>,
}

struct Inner {
    started: Instant,
    fleet: Fleet,
    door: DoorHandle,
    nodes: RefCell<Vec<NodePlace>>,
    /// Servers that take work, by place.
    places: RefCell<Vec<ServerPlace>>,
    /// All servers that ever were.
    workers: RefCell<Vec<Worker>>,
    version: Cell<u64>,
    history: RefCell<History>,
}

/// Handle of the system under test.
#[derive(Clone)]
pub struct SoakSystem {
    inner: Rc<Inner>,
}

impl SoakSystem {
    /// Starts store, servers and nodes, and waits until the nodes serve.
    pub async fn start(run: &SoakRun) -> Result<SoakSystem, String> {
        let fleet = Fleet::new();
        let door = fleet.store.open(fleet.host(STORE_HOST)).await;
        let mut nodes = Vec::new();
        for place in 0..run.nodes {
            let number = FIRST_NODE + place as u8;
            let way = Way::open(fleet.host(FIRST_WAY + place as u8), door.address).await;
            let way = way.map_err(|error| format!("way to the store: {error}"))?;
            let settings = fleet.settings(number, way.address, &[FIRST_NODE, FIRST_NODE + 1]);
            let process = NodeProcess::new(run.program.clone(), run.folder.clone(), settings);
            let node =
                NodePlace { process, way, stopping: None, is_frozen: false, restart_at: None };
            nodes.push(node);
        }
        let inner = Inner {
            started: Instant::now(),
            fleet,
            door,
            nodes: RefCell::new(nodes),
            places: RefCell::default(),
            workers: RefCell::default(),
            version: Cell::new(0),
            history: RefCell::default(),
        };
        let system = SoakSystem { inner: Rc::new(inner) };
        system.configure();
        for _ in 0..SERVERS {
            let place = system.new_server(SERVICE).await?;
            system.inner.places.borrow_mut().push(place);
        }
        for node in system.inner.nodes.borrow_mut().iter_mut() {
            node.process.start().map_err(|error| format!("{}: {error}", run.program.display()))?;
        }
        for place in 0..run.nodes {
            system.disturb(Whom::Node(place), START);
        }
        Ok(system)
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.inner.started.elapsed()
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.inner.nodes.borrow().len()
    }

    /// Where clients reach a node.
    pub fn address_of(&self, node: usize) -> SocketAddrV4 {
        self.inner.nodes.borrow()[node].process.settings.client_address
    }

    /// Where a node answers which addresses to use.
    pub fn directory_of(&self, node: usize) -> SocketAddrV4 {
        self.inner.nodes.borrow()[node].process.settings.directory_address
    }

    /// Life of the directory's answers.
    pub fn directory_lifetime(&self) -> Duration {
        self.inner.nodes.borrow()[0].process.settings.directory_lifetime()
    }

    /// The node that clients reach at an address.
    pub fn node_at(&self, address: SocketAddrV4) -> Option<usize> {
        let nodes = self.inner.nodes.borrow();
        nodes.iter().position(|node| node.process.settings.client_address == address)
    }

    /// The newest version of the configuration.
    pub fn newest_configuration(&self) -> u64 {
        self.inner.version.get()
    }

    /// Notes a request that has ended.
    pub fn note_request(&self, request: RequestRecord) {
        self.inner.history.borrow_mut().requests.push(request);
    }

    /// Plays the faults at their times; they overlap.
    pub async fn play(&self, planned: &[Planned]) {
        for Planned { at, fault } in planned {
            self.watch_processes_until(*at).await;
            self.begin(*fault).await;
        }
    }

    /// Waits until everything that was begun is over.
    pub async fn settle(&self) {
        self.watch_processes_until(self.elapsed() + SETTLE).await;
    }

    /// What was seen.
    pub fn history(&self) -> History {
        let mut history = self.inner.history.borrow().clone();
        for (server, worker) in self.inner.workers.borrow().iter().enumerate() {
            let at = |run: Instant| run.saturating_duration_since(self.inner.started);
            let runs = worker.runs().into_iter();
            history.runs.extend(runs.map(|run| RunRecord { id: run.id, server, at: at(run.at) }));
        }
        history
    }

    /// Notes that something is not held to bounds of time from now on for a while.
    fn disturb(&self, whom: Whom, lasts: Duration) {
        let from = self.elapsed();
        let disturbance = Disturbance { whom, from, until: from + lasts };
        self.inner.history.borrow_mut().disturbances.push(disturbance);
    }

    async fn watch_processes_until(&self, until: Duration) {
        while self.elapsed() < until {
            self.watch_processes();
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Notes ends of processes and starts them again.
    fn watch_processes(&self) {
        let now = self.elapsed();
        for (place, node) in self.inner.nodes.borrow_mut().iter_mut().enumerate() {
            if node.process.has_ended() {
                let mut history = self.inner.history.borrow_mut();
                match node.stopping.take() {
                    Some(Stopping { at }) => {
                        history.stops.push(PlannedStop { node: place, at, ended: now });
                        let whom = Whom::Node(place);
                        history.disturbances.push(Disturbance { whom, from: at, until: now });
                    }
                    None => history.own_ends.push((place, now)),
                }
                node.restart_at = Some(Instant::now() + RESTART_AFTER);
            }
            if node.restart_at.is_some_and(|at| at <= Instant::now()) {
                node.restart_at = None;
                if node.process.start().is_err() {
                    self.inner.history.borrow_mut().own_ends.push((place, now));
                }
                self.disturb(Whom::Node(place), START);
            }
        }
    }

    async fn begin(&self, fault: Fault) {
        match fault {
            Fault::Stop(node) => self.stop(node),
            Fault::Kill(node) => self.kill(node),
            Fault::Freeze(node, lasts) => self.freeze(node, lasts),
            Fault::HangUp(node) => self.signal(node, Signal::SIGHUP),
            Fault::StoreWay(node, fault, lasts) => self.strike_store_way(node, fault, lasts),
            Fault::StoreWaysBut(spared, fault, lasts) => {
                let others = (0..self.node_count()).filter(|node| *node != spared);
                others.for_each(|node| self.strike_store_way(node, fault, lasts));
            }
            Fault::StoreBusy(lasts) => self.set_store_door(Door::Busy, lasts),
            Fault::StoreLosesAnswers(lasts) => self.set_store_door(Door::AnswersLost, lasts),
            Fault::StoreForgets(place) => self.forget_with_server(place).await,
            Fault::AddressReused(place) => self.reuse_address(place).await,
            Fault::ServerWay(place, fault, lasts) => self.strike_server_way(place, fault, lasts),
            Fault::Leave(place) => self.replace_server(place, true).await,
            Fault::Vanish(place) => self.replace_server(place, false).await,
            Fault::Configure => self.configure(),
        }
    }

    fn signal(&self, node: usize, signal: Signal) {
        self.inner.nodes.borrow()[node].process.signal(signal);
    }

    fn stop(&self, place: usize) {
        let at = self.elapsed();
        let mut nodes = self.inner.nodes.borrow_mut();
        let node = &mut nodes[place];
        if node.process.is_running() && node.stopping.is_none() && !node.is_frozen {
            node.process.signal(Signal::SIGTERM);
            node.stopping = Some(Stopping { at });
        }
    }

    fn kill(&self, place: usize) {
        let mut nodes = self.inner.nodes.borrow_mut();
        let node = &mut nodes[place];
        if node.process.is_running() && node.stopping.is_none() && !node.is_frozen {
            node.process.kill();
            node.restart_at = Some(Instant::now() + RESTART_AFTER);
            drop(nodes);
            self.disturb(Whom::Node(place), RESTART_AFTER + START);
        }
    }

    fn freeze(&self, place: usize, lasts: Duration) {
        let mut nodes = self.inner.nodes.borrow_mut();
        let node = &mut nodes[place];
        if !node.process.is_running() || node.stopping.is_some() || node.is_frozen {
            return;
        }
        node.process.signal(Signal::SIGSTOP);
        node.is_frozen = true;
        drop(nodes);
        self.disturb(Whom::Node(place), lasts);
        let system = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(lasts).await;
            let mut nodes = system.inner.nodes.borrow_mut();
            nodes[place].process.signal(Signal::SIGCONT);
            nodes[place].is_frozen = false;
        });
    }

    fn strike_store_way(&self, node: usize, fault: WayFault, lasts: Duration) {
        let way = self.inner.nodes.borrow()[node].way.clone();
        self.strike(&way, Whom::Node(node), fault, lasts);
    }

    fn strike_server_way(&self, place: usize, fault: WayFault, lasts: Duration) {
        let (way, number) = {
            let places = self.inner.places.borrow();
            (places[place].way.clone(), places[place].number)
        };
        self.strike(&way, Whom::Server(number), fault, lasts);
    }

    fn strike(&self, way: &Way, whom: Whom, fault: WayFault, lasts: Duration) {
        way.strike(fault);
        let lasting = matches!(fault, WayFault::Slow | WayFault::Cut | WayFault::CutBack);
        self.disturb(whom, if lasting { lasts } else { Duration::ZERO });
        if lasting {
            let way = way.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep(lasts).await;
                way.heal();
            });
        }
    }

    /// The store treats everybody so for a while.
    fn set_store_door(&self, treats: Door, lasts: Duration) {
        self.inner.door.set(treats);
        (0..self.node_count()).for_each(|node| self.disturb(Whom::Node(node), lasts));
        let door = self.inner.door.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(lasts).await;
            door.set(Door::Open);
        });
    }

    /// No watch tells that the server has gone: the history of it is forgotten.
    async fn forget_with_server(&self, place: usize) {
        let Ok(new) = self.new_server(SERVICE).await else { return };
        let old = std::mem::replace(&mut self.inner.places.borrow_mut()[place], new);
        self.inner.fleet.unregister_and_forget(&old.id);
        self.note_leaving(&old);
    }

    /// The server ends, and its address leads to one of another service.
    async fn reuse_address(&self, place: usize) {
        let (Ok(new), Ok(other)) =
            (self.new_server(SERVICE).await, self.new_server(OTHER_SERVICE).await)
        else {
            return;
        };
        let old = std::mem::replace(&mut self.inner.places.borrow_mut()[place], new);
        self.disturb(Whom::Server(old.number), LASTS_FOR_CLIENTS);
        let workers = self.inner.workers.borrow();
        old.way.lead_to(workers[other.number].address);
        self.inner.fleet.unregister(&old.id);
        self.inner.fleet.register_at(&other.id, OTHER_SERVICE, old.way.address, "ready");
        self.inner.history.borrow_mut().of_other_service.push(other.number);
        self.note_leaving(&old);
    }

    fn note_leaving(&self, server: &ServerPlace) {
        let at = self.elapsed();
        self.inner.history.borrow_mut().leavings.push((server.number, at));
    }

    async fn new_server(&self, service: &str) -> Result<ServerPlace, String> {
        let number = self.inner.workers.borrow().len();
        let id = format!("i-{number}");
        let host = self.inner.fleet.host(SERVER_HOST);
        let worker = Worker::start(host, &id, WORK).await;
        let way = Way::open(host, worker.address).await;
        let way = way.map_err(|error| format!("way to a server: {error}"))?;
        self.inner.fleet.register_at(&id, service, way.address, "ready");
        self.inner.workers.borrow_mut().push(worker);
        Ok(ServerPlace { id, number, way })
    }

    /// A server leaves, with a word or without, and serves on; a new one comes.
    async fn replace_server(&self, place: usize, says_so: bool) {
        let Ok(new) = self.new_server(SERVICE).await else { return };
        let old = std::mem::replace(&mut self.inner.places.borrow_mut()[place], new);
        match says_so {
            true => {
                self.inner.fleet.register_at(&old.id, SERVICE, old.way.address, "draining");
            }
            false => self.inner.fleet.unregister(&old.id),
        }
        self.note_leaving(&old);
    }

    /// The store takes a configuration with a route of its own.
    fn configure(&self) {
        let version = self.inner.version.get() + 1;
        let own = (1..=version).map(|version| safe_route(&format!("v{version}")));
        let lasting = [once_route("once"), safe_route("safe"), stream_route("stream")];
        let routes: Vec<Value> = own.chain(lasting).collect();
        self.inner.fleet.configure(version, &json!(routes), &services());
        self.inner.version.set(version);
        self.inner.history.borrow_mut().configurations.push((version, self.elapsed()));
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        // A frozen process cannot be waited for.
        self.nodes.borrow().iter().for_each(|node| node.process.signal(Signal::SIGCONT));
    }
}
