//! The system under a soak run: store, servers and ways in this process, nodes as
//! processes of their own.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::fleet::Fleet;
use cometmoor_platform_stand_in::links::NodeLinks;
use cometmoor_platform_stand_in::store::{DoorHandle, EraTold, StoreCopy};
use cometmoor_platform_stand_in::worker::{KEY_PREFIX, Worker};
use nix::sys::signal::Signal;

use super::SoakRun;
use super::engines::Engines;
use super::faults::SERVICE;
use super::history::{
    ArrivalRecord, Disturbance, History, PlannedStop, RequestRecord, RunRecord, StreamRecord, Whom,
};
use super::processes::NodeProcess;
use super::prompts::PromptServers;
use super::proxy::Way;
use super::schedule::Planned;
use super::tenants::{LIMIT_EXCESS, LIMIT_WINDOW, REVOCATION_BOUND, SoakTenants};

/// Servers that take work at any time.
pub const SERVERS: usize = 4;
/// Pause before a process that has ended is started again.
pub(super) const RESTART_AFTER: Duration = Duration::from_millis(300);
/// Time that a started node is not held to bounds of time.
pub(super) const START: Duration = Duration::from_millis(1500);
/// Time for all to come to rest after the last fault.
const SETTLE: Duration = Duration::from_secs(8);
/// Between two looks at the processes.
const LOOK: Duration = Duration::from_millis(20);
/// Pause between two copies of what the store holds.
const COPY_EACH: Duration = Duration::from_millis(250);
/// Time for which they are kept.
const COPY_KEPT: Duration = Duration::from_secs(8);
/// Hosts of the nodes, the store and the ways to it in the fleet's part of
/// the loopback range.
const FIRST_NODE: u8 = 1;
const STORE_HOST: u8 = 60;
const FIRST_WAY: u8 = 61;
/// Host of the nodes' links to the servers.
pub(super) const LINK_HOST: u8 = 121;

/// A server and the way to it.
pub(super) struct ServerPlace {
    pub(super) id: String,
    /// Its place among all servers that ever were.
    pub(super) number: usize,
    pub(super) way: Way,
}

/// A planned stop that has begun.
pub(super) struct Stopping {
    pub(super) at: Duration,
}

/// A node's process and the way from it to the store.
pub(super) struct NodePlace {
    pub(super) process: NodeProcess,
    pub(super) way: Way,
    /// Its links to the servers.
    pub(super) links: NodeLinks,
    pub(super) stopping: Option<Stopping>,
    pub(super) is_frozen: bool,
    pub(super) restart_at: Option<Instant>,
}

/// What the handles of a system share.
pub(super) struct Inner {
    pub(super) started: Instant,
    pub(super) fleet: Fleet,
    pub(super) door: DoorHandle,
    pub(super) nodes: RefCell<Vec<NodePlace>>,
    /// Servers that take work, by place.
    pub(super) places: RefCell<Vec<ServerPlace>>,
    /// All servers that ever were.
    pub(super) workers: RefCell<Vec<Worker>>,
    /// The model servers.
    pub(super) engines: Engines,
    /// The model servers that some prompts crash.
    pub(super) prompt_servers: PromptServers,
    pub(super) version: Cell<u64>,
    pub(super) tenants: RefCell<SoakTenants>,
    /// Until when a tenant sends many times its limit.
    pub(super) flood_until: Cell<Duration>,
    pub(super) history: RefCell<History>,
    /// What the store held at some times, the latest last.
    copies: RefCell<VecDeque<(Duration, StoreCopy)>>,
}

/// Handle of the system under test.
#[derive(Clone)]
pub struct SoakSystem {
    pub(super) inner: Rc<Inner>,
}

impl SoakSystem {
    /// Starts store, servers and node processes. The nodes serve a moment later:
    /// until then they are held to no bounds of time.
    pub async fn start(run: &SoakRun) -> Result<SoakSystem, String> {
        let fleet = Fleet::new();
        let door = fleet.store.open(fleet.host(STORE_HOST)).await;
        let mut nodes = Vec::new();
        for place in 0..run.nodes {
            let number = FIRST_NODE + place as u8;
            let way = Way::open(fleet.host(FIRST_WAY + place as u8), door.address).await;
            let way = way.map_err(|error| format!("way to the store: {error}"))?;
            let mut settings = fleet.settings(number, way.address, &[FIRST_NODE, FIRST_NODE + 1]);
            settings.bounds.revoke_millis = Some(REVOCATION_BOUND.as_millis() as u64);
            settings.bounds.quota_window_seconds = LIMIT_WINDOW.as_secs_f64();
            settings.bounds.quota_excess = LIMIT_EXCESS;
            let process = NodeProcess::new(run.program.clone(), run.folder.clone(), settings);
            let links = NodeLinks::in_file(process.links_file());
            let node = NodePlace {
                process,
                way,
                links,
                stopping: None,
                is_frozen: false,
                restart_at: None,
            };
            nodes.push(node);
        }
        let engines = Engines::start(&fleet).await;
        let prompt_servers = PromptServers::start(&fleet).await;
        let inner = Inner {
            started: Instant::now(),
            fleet,
            door,
            nodes: RefCell::new(nodes),
            places: RefCell::default(),
            workers: RefCell::default(),
            engines,
            prompt_servers,
            version: Cell::new(0),
            tenants: RefCell::new(SoakTenants::new()),
            flood_until: Cell::default(),
            history: RefCell::default(),
            copies: RefCell::default(),
        };
        inner.fleet.store.tell_era(EraTold::Numbered(1));
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

    /// Notes a stream that a client has stopped to resume.
    pub fn note_stream(&self, stream: StreamRecord) {
        self.inner.history.borrow_mut().streams.push(stream);
    }

    /// Plays the faults at their times; they overlap.
    pub async fn play(&self, planned: &[Planned]) {
        for Planned { at, fault } in planned {
            self.watch_processes_until(*at).await;
            self.begin(*fault).await;
        }
    }

    /// Ends all nodes' processes at once.
    pub(super) fn end_processes(&self) {
        self.inner.nodes.borrow_mut().iter_mut().for_each(|node| node.process.kill());
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
            history.runs.extend(worker.runs().into_iter().map(|run| RunRecord {
                id: run.id,
                server,
                at: at(run.at),
                tenant: run.tenant,
                shows_key: run.shows_key,
            }));
            history.arrivals.extend(worker.arrivals().into_iter().map(|arrival| ArrivalRecord {
                id: arrival.id,
                server,
                at: at(arrival.at),
                says: arrival.says,
            }));
        }
        self.inner.engines.add_to(&mut history, self.inner.started);
        self.inner.prompt_servers.add_to(&mut history, self.inner.started);
        let tenants = self.inner.tenants.borrow();
        history.keys.clone_from(&tenants.keys);
        history.limits.clone_from(&tenants.limits);
        history.logged_keys = self.logged_keys();
        history
    }

    /// Lines of the nodes' logs that hold a client's key.
    fn logged_keys(&self) -> Vec<String> {
        let nodes = self.inner.nodes.borrow();
        let lines = nodes.iter().flat_map(|node| node.process.log_lines_with(KEY_PREFIX));
        lines.collect()
    }

    /// The keys of the run.
    pub fn tenants(&self) -> std::cell::Ref<'_, SoakTenants> {
        self.inner.tenants.borrow()
    }

    /// Whether a tenant sends many times its limit now.
    pub fn is_flooded(&self) -> bool {
        self.elapsed() < self.inner.flood_until.get()
    }

    /// Keeps what the store holds now, for a while.
    fn keep_copy(&self) {
        let now = self.elapsed();
        let mut copies = self.inner.copies.borrow_mut();
        if copies.back().is_none_or(|(at, _)| now - *at >= COPY_EACH) {
            copies.push_back((now, self.inner.fleet.store.copy()));
        }
        while copies.front().is_some_and(|(at, _)| now - *at > COPY_KEPT) {
            copies.pop_front();
        }
    }

    /// What the store held so long ago; none before the first copy.
    pub(super) fn copy_of_age(&self, age: Duration) -> Option<StoreCopy> {
        let until = self.elapsed().checked_sub(age)?;
        let copies = self.inner.copies.borrow();
        let before = copies.iter().rev().find(|(at, _)| *at <= until);
        before.map(|(_, copy)| copy.clone())
    }

    /// Notes that something is not held to bounds of time from now on for a while.
    pub(super) fn disturb(&self, whom: Whom, lasts: Duration) {
        let from = self.elapsed();
        let disturbance = Disturbance { whom, from, until: from + lasts };
        self.inner.history.borrow_mut().disturbances.push(disturbance);
    }

    async fn watch_processes_until(&self, until: Duration) {
        while self.elapsed() < until {
            self.watch_processes();
            self.keep_copy();
            self.inner.engines.register(&self.inner.fleet);
            self.inner.prompt_servers.register(&self.inner.fleet);
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
}

impl Drop for Inner {
    fn drop(&mut self) {
        // A frozen process cannot be waited for.
        self.nodes.borrow().iter().for_each(|node| node.process.signal(Signal::SIGCONT));
    }
}
