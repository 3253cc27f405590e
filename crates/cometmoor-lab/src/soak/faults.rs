//! What each fault does to the system.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::engine_limits::engine_service;
use cometmoor_platform_stand_in::fleet::{
    once_route, public_route, safe_route, services, stream_route,
};
use cometmoor_platform_stand_in::links::{LinkState, NodeLinks};
use cometmoor_platform_stand_in::store::{Door, LostChange};
use cometmoor_platform_stand_in::worker::{Says, Worker};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::engines::ENGINE_SERVICE;
use super::history::{ServerCut, StoreOutage, Whom};
use super::prompts::PROMPT_SERVICE;
use super::proxy::Way;
use super::schedule::{Fault, WayFault};
use super::system::{LINK_HOST, RESTART_AFTER, START, ServerPlace, SoakSystem, Stopping};
use super::tenants::DESK;

/// The service that all routes lead to, and another one.
pub(super) const SERVICE: &str = "app";
const OTHER_SERVICE: &str = "other";
/// Time after the end of a server within which its answers may be missing.
const LASTS_FOR_CLIENTS: Duration = Duration::from_secs(4);
/// Time in which a node may lose requests to a cut of its links, or to its end.
const CUT_NOTICED: Duration = Duration::from_millis(1500);
/// Work on a request without events.
const WORK: Duration = Duration::from_millis(40);
/// Prefix of the servers' entries.
const SERVERS_PREFIX: &str = "servers/";
/// Time after the store's return by which the operator has written again what it lost.
const OPERATOR_WRITES_AGAIN_AFTER: Duration = Duration::from_millis(60);
/// Pause between two writes of a server's entry.
const SERVER_HEARTBEAT: Duration = Duration::from_millis(300);
/// Host of the servers in the fleet's part of the loopback range.
const SERVER_HOST: u8 = 120;

impl SoakSystem {
    /// Begins a fault; one that lasts ends by itself.
    pub(super) async fn begin(&self, fault: Fault) {
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
            Fault::StoreRestore { age, away } => self.restore_store(age, away),
            Fault::StoreForgets(place) => self.forget_with_server(place).await,
            Fault::AddressReused(place) => self.reuse_address(place).await,
            Fault::ServerWay(place, fault, lasts) => self.strike_server_way(place, fault, lasts),
            Fault::Leave(place) => self.replace_server(place, true).await,
            Fault::Vanish(place) => self.replace_server(place, false).await,
            Fault::Configure => self.configure(),
            Fault::ReplaceKey => self.replace_key(),
            Fault::Limit(hundredths) => self.set_limit(hundredths),
            Fault::Flood(lasts) => self.flood(lasts),
            Fault::NameLimit(place, tenths, lasts) => {
                let limit = Some(f64::from(tenths) / 10.0);
                self.say(place, Says { limit, ..Says::default() }, lasts);
            }
            Fault::AskRest(place, millis, lasts) => {
                let rest = Some(Duration::from_millis(millis));
                self.say(place, Says { rest, ..Says::default() }, lasts);
            }
            Fault::CutServers(node, state, lasts) => self.cut_servers(node, state, lasts),
            Fault::SayLeaving(place, lasts) => self.say_leaving(place, lasts).await,
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

    /// A node loses its links to all servers for a while. From [`CALM`] on it is held to the same
    /// bounds as others.
    fn cut_servers(&self, node: usize, state: LinkState, lasts: Duration) {
        let links = self.inner.nodes.borrow()[node].links.clone();
        links.set(state);
        self.disturb(Whom::Node(node), CUT_NOTICED);
        let (at, until) = (self.elapsed(), self.elapsed() + lasts);
        self.inner.history.borrow_mut().cuts.push(ServerCut { node, from: at, until });
        let system = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(lasts).await;
            links.set(LinkState::Open);
            system.disturb(Whom::Node(node), CUT_NOTICED);
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
        self.note_store_outage();
        (0..self.node_count()).for_each(|node| self.disturb(Whom::Node(node), lasts));
        let system = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(lasts).await;
            system.inner.door.set(Door::Open);
            system.note_store_outage_end();
        });
    }

    fn note_store_outage(&self) {
        let from = self.elapsed();
        let outages = &mut self.inner.history.borrow_mut().store_outages;
        if outages.last().is_none_or(|outage| outage.until.is_some()) {
            outages.push(StoreOutage { from, until: None });
        }
    }

    fn note_store_outage_end(&self) {
        let until = self.elapsed();
        let outages = &mut self.inner.history.borrow_mut().store_outages;
        if let Some(StoreOutage { until: open @ None, .. }) = outages.last_mut() {
            *open = Some(until);
        }
    }

    /// The store is away, and comes back as it was; the operator writes what was lost again at
    /// once, and each server within a heartbeat.
    fn restore_store(&self, age: Duration, away: Duration) {
        let Some(copy) = self.copy_of_age(age) else { return };
        self.set_store_door(Door::Away, away);
        let system = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(away).await;
            let store = &system.inner.fleet.store;
            let lost = store.restore(copy);
            system.inner.history.borrow_mut().store_restores.push(system.elapsed());
            let (of_operator, of_servers): (Vec<LostChange>, Vec<LostChange>) =
                lost.into_iter().partition(|change| !change.key.starts_with(SERVERS_PREFIX));
            tokio::time::sleep(OPERATOR_WRITES_AGAIN_AFTER).await;
            of_operator.iter().for_each(|change| store.write_again(change));
            for change in of_servers {
                tokio::time::sleep(SERVER_HEARTBEAT / 8).await;
                let id = change.key.trim_start_matches(SERVERS_PREFIX);
                // A server that has left since writes nothing.
                if !(change.is_write() && system.inner.fleet.is_unregistered(id)) {
                    store.write_again(&change);
                }
            }
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
        self.register(&other, OTHER_SERVICE, old.way.address, "ready");
        self.inner.history.borrow_mut().of_other_service.push(other.number);
        self.note_leaving(&old);
    }

    fn note_leaving(&self, server: &ServerPlace) {
        let at = self.elapsed();
        self.inner.history.borrow_mut().leavings.push((server.number, at));
    }

    /// Starts a server of a service, and registers the way to it.
    pub(super) async fn new_server(&self, service: &str) -> Result<ServerPlace, String> {
        let number = self.inner.workers.borrow().len();
        let id = format!("i-{number}");
        let host = self.inner.fleet.host(SERVER_HOST);
        let worker = Worker::start(host, &id, software_of(number), WORK).await;
        let way = Way::open(host, worker.address).await;
        let way = way.map_err(|error| format!("way to a server: {error}"))?;
        for links in &self.links_of_nodes() {
            links.add(self.inner.fleet.host(LINK_HOST), way.address).await;
        }
        self.inner.workers.borrow_mut().push(worker);
        let server = ServerPlace { id, number, way };
        self.register(&server, service, server.way.address, "ready");
        Ok(server)
    }

    fn register(&self, server: &ServerPlace, service: &str, address: SocketAddrV4, state: &str) {
        let software = software_of(server.number);
        self.inner.fleet.register_version_at(&server.id, service, address, state, software);
    }

    fn links_of_nodes(&self) -> Vec<NodeLinks> {
        self.inner.nodes.borrow().iter().map(|node| node.links.clone()).collect()
    }

    /// A server leaves, with a word or without, and serves on; a new one comes.
    async fn replace_server(&self, place: usize, says_so: bool) {
        let Ok(new) = self.new_server(SERVICE).await else { return };
        let old = std::mem::replace(&mut self.inner.places.borrow_mut()[place], new);
        match says_so {
            true => {
                self.register(&old, SERVICE, old.way.address, "draining");
            }
            false => self.inner.fleet.unregister(&old.id),
        }
        self.note_leaving(&old);
    }

    /// A server says something of itself for a while, unless it says something else by then.
    fn say(&self, place: usize, says: Says, lasts: Duration) {
        let number = self.inner.places.borrow()[place].number;
        let worker = self.inner.workers.borrow()[number].clone();
        worker.say(says);
        actix_rt::spawn(async move {
            tokio::time::sleep(lasts).await;
            if worker.says() == says {
                worker.say(Says::default());
            }
        });
    }

    /// A server says in its answers that it leaves, and a new one comes; its entry follows.
    async fn say_leaving(&self, place: usize, entry_after: Duration) {
        let Ok(new) = self.new_server(SERVICE).await else { return };
        let old = std::mem::replace(&mut self.inner.places.borrow_mut()[place], new);
        let worker = self.inner.workers.borrow()[old.number].clone();
        worker.say(Says { leaves: true, ..Says::default() });
        let system = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(entry_after).await;
            system.register(&old, SERVICE, old.way.address, "draining");
            system.note_leaving(&old);
        });
    }

    /// The store takes a configuration with a route of its own.
    pub(super) fn configure(&self) {
        let version = self.inner.version.get() + 1;
        let own = (1..=version).map(|version| safe_route(&format!("v{version}")));
        let mut resume = stream_route("resume");
        resume["resumable"] = json!(true);
        resume["attempts"] = json!(2);
        let lasting = [once_route("once"), safe_route("safe"), stream_route("stream"), resume];
        let mut model = once_route("model");
        model["service"] = json!(ENGINE_SERVICE);
        let open = public_route(once_route("open"));
        let mut prompt = public_route(stream_route("prompt"));
        prompt["service"] = json!(PROMPT_SERVICE);
        let routes: Vec<Value> = own.chain(lasting).chain([open, model, prompt]).collect();
        let tenants = self.inner.tenants.borrow().configuration();
        let mut prompt_service = services()[0].clone();
        prompt_service["name"] = json!(PROMPT_SERVICE);
        let services = json!([services()[0], engine_service(ENGINE_SERVICE), prompt_service]);
        self.inner.fleet.configure_tenants(version, &json!(routes), &services, &tenants);
        self.inner.version.set(version);
        self.inner.history.borrow_mut().configurations.push((version, self.elapsed()));
    }

    /// The store takes a configuration in which a key has another one's place.
    fn replace_key(&self) {
        let now = self.elapsed();
        self.inner.tenants.borrow_mut().replace_key(DESK, now);
        self.configure();
    }

    fn set_limit(&self, hundredths: u32) {
        let now = self.elapsed();
        self.inner.tenants.borrow_mut().set_limit(hundredths, now);
        self.configure();
    }

    fn flood(&self, lasts: Duration) {
        self.inner.flood_until.set(self.elapsed() + lasts);
    }
}

/// Software version of a server, by its place among all that ever were.
fn software_of(number: usize) -> &'static str {
    if number.is_multiple_of(2) { "v1" } else { "v2" }
}
