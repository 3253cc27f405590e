//! State of the fleet as this node believes it.

mod messages;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, AsyncContext, Context};
use cometmoor_core::gateway::configuration::ConfigurationInForce;
use cometmoor_core::gateway::registry::{ServerRecord, ServerState};
use cometmoor_core::time::Timestamp;
use spdlog::{error, info};

use self::messages::PeerCopy;
pub use self::messages::{
    BeginStop, CloseToClients, ContactsFound, CopyChanged, CopyFailed, CopyRead, DemandView,
    GetDemand, GetPeers, GetUpdate, GetWatchPlan, HeartbeatReceived, NextHeartbeat, SetPlacement,
    WatchPlan,
};
use super::ControlContext;
use super::demand::FleetDemandMeter;
use crate::gossip::{Heartbeat, PeerPhase, Peers, Placement};
use crate::mirror::{Mirror, MirroredItem};
use crate::peer::{Subject, fetch_update};
use crate::published::{ClientNode, Phase, PlacementView, Published, StopTimes};

/// How often silent peers are noticed.
const TICK: Duration = Duration::from_millis(250);
/// Age up to which a copy counts as confirmed by the store.
const CONFIRMED_FOR: Duration = Duration::from_secs(13);
/// Nodes that read the store themselves; the others learn from them. In a fleet
/// of up to this size all do.
const READERS: usize = 12;
/// Pause between two requests for a peer's copy.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// A copy of one of the store's prefixes, with what is known of its age.
#[derive(Default)]
struct Copy {
    mirror: Mirror,
    confirmed: Option<Instant>,
    watch_failing: bool,
    fetching: bool,
}

impl Copy {
    /// Milliseconds since the store last confirmed it; -1 where it never did.
    fn age_millis(&self) -> i64 {
        self.confirmed.map_or(-1, |at| i64::try_from(at.elapsed().as_millis()).unwrap_or(i64::MAX))
    }

    /// Notes that the store has answered.
    fn confirm(&mut self, subject: Subject) {
        if self.watch_failing {
            let (what, age_millis) = (subject.name(), self.age_millis());
            info!("[store] answers again", kv: { what, age_millis });
        }
        self.confirmed = Some(Instant::now());
        self.watch_failing = false;
    }
}

/// The actor that holds the state of the fleet.
pub struct FleetState {
    context: Rc<ControlContext>,
    started: Instant,
    phase: Phase,
    copies: HashMap<Subject, Copy>,
    configuration: ConfigurationInForce,
    servers: HashMap<Arc<str>, (u64, Arc<ServerRecord>)>,
    peers: Peers,
    demand: FleetDemandMeter,
    placement: Option<Placement>,
    leader_heard: Option<Instant>,
    stop: Option<StopTimes>,
    sequence: u64,
    generation: u64,
}

impl FleetState {
    /// The state of a node that knows nothing yet.
    pub fn new(context: Rc<ControlContext>) -> FleetState {
        let mut peers = Peers::default();
        for contact in &context.settings.seeds {
            if *contact != context.settings.peer_address {
                peers.add_contact(*contact, Timestamp(0));
            }
        }
        FleetState {
            context,
            started: Instant::now(),
            phase: Phase::Starting,
            copies: HashMap::from_iter(Subject::ALL.map(|subject| (subject, Copy::default()))),
            configuration: ConfigurationInForce::default(),
            servers: HashMap::new(),
            peers,
            demand: FleetDemandMeter::default(),
            placement: None,
            leader_heard: None,
            stop: None,
            sequence: 0,
            generation: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    fn is_reader(&self) -> bool {
        self.peers.is_reader(self.context.settings.peer_address, READERS, self.now())
    }

    fn copy(&mut self, subject: Subject) -> &mut Copy {
        self.copies.entry(subject).or_default()
    }

    /// Takes what a copy holds into the state.
    fn take_in(&mut self, subject: Subject) {
        match subject {
            Subject::Configuration => self.take_in_configuration(),
            Subject::Servers => self.take_in_servers(),
        }
        self.publish();
    }

    fn take_in_configuration(&mut self) {
        let dialect = self.context.dialect.clone();
        let key = dialect.configuration_key().to_owned();
        let copy = self.copy(Subject::Configuration);
        let Some(item) = copy.mirror.items.get(&key) else { return };
        match dialect.parse_configuration(&item.value) {
            Ok(configuration) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                if self.configuration.offer(Arc::new(configuration)) {
                    info!("[configuration] version {version} is in force", kv: { version, routes });
                }
            }
            Err(reason) => {
                let reason = reason.to_string();
                error!("[configuration] cannot be read; the last one stays in force", kv: { step = "parse", peer = "store", reason });
            }
        }
        if self.phase == Phase::Starting && self.configuration.get().is_some() {
            self.phase = Phase::Ready;
        }
    }

    fn take_in_servers(&mut self) {
        let dialect = self.context.dialect.clone();
        let items: Vec<(String, MirroredItem)> =
            self.copy(Subject::Servers).mirror.items.clone().into_iter().collect();
        let mut servers = HashMap::new();
        for (key, item) in items {
            match dialect.parse_server(&key, &item.value) {
                Ok(record) => {
                    servers.insert(record.id.clone(), (item.created, Arc::new(record)));
                }
                Err(reason) => {
                    let reason = reason.to_string();
                    error!("[servers] an entry cannot be read", kv: { step = "parse", peer = key, reason });
                }
            }
        }
        drop_replaced(&mut servers);
        self.log_server_changes(&servers);
        self.servers = servers;
    }

    fn log_server_changes(&self, fresh: &HashMap<Arc<str>, (u64, Arc<ServerRecord>)>) {
        for (id, (created, record)) in fresh {
            let created = *created;
            let known = self.servers.get(id).map(|(_, known)| known.state);
            if known == Some(record.state) {
                continue;
            }
            let address = record.address.to_string();
            let service = record.service.as_str();
            match record.state {
                ServerState::Ready => {
                    info!("[servers] a server is known", kv: { server = &**id, address, service, created });
                }
                ServerState::Draining => {
                    info!("[servers] a server is leaving", kv: { server = &**id, address, service, created });
                }
            }
        }
        for id in self.servers.keys().filter(|id| !fresh.contains_key(*id)) {
            info!("[servers] a server is gone", kv: { server = &**id });
        }
    }

    fn publish(&mut self) {
        let now = self.now();
        self.generation += 1;
        let copy = self.copy(Subject::Configuration);
        let current = !copy.watch_failing
            && copy.confirmed.is_some_and(|confirmed| confirmed.elapsed() < CONFIRMED_FOR);
        let confirmed = copy.confirmed;
        let published = Published {
            generation: self.generation,
            phase: self.phase,
            configuration: self.configuration.get().cloned(),
            configuration_is_current: current,
            servers: self.servers.values().map(|(_, record)| record.clone()).collect(),
            nodes: self.client_nodes(now),
            confirmed,
            reads_store: self.is_reader(),
            leads: self.placement.is_some(),
            leader_heard: self.leader_heard,
            stop: self.stop,
            nodes_seen: self.peers.sharing(now) + 1,
        };
        self.context.board.fleet.store(Arc::new(published));
    }

    fn client_nodes(&self, now: Timestamp) -> Vec<ClientNode> {
        let mut nodes: Vec<ClientNode> = self
            .peers
            .alive(now)
            .map(|peer| &peer.heartbeat)
            .filter(|heartbeat| heartbeat.phase == PeerPhase::Ready)
            .map(|heartbeat| ClientNode {
                address: heartbeat.client_address,
                zone: heartbeat.zone.clone(),
            })
            .collect();
        if self.phase == Phase::Ready {
            nodes.push(ClientNode {
                address: self.context.settings.client_address,
                zone: self.context.settings.zone.clone(),
            });
        }
        nodes.sort_by_key(|node| node.address);
        nodes
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let now = self.now();
        let settings = &self.context.settings;
        Heartbeat {
            format: Heartbeat::format(),
            node: settings.node.clone(),
            incarnation: self.context.incarnation,
            sequence: self.sequence,
            zone: settings.zone.clone(),
            client_address: settings.client_address,
            peer_address: settings.peer_address,
            phase: match self.phase {
                Phase::Starting => PeerPhase::Starting,
                Phase::Ready => PeerPhase::Ready,
                Phase::Draining | Phase::Closing => PeerPhase::Leaving,
            },
            configuration_version: self.configuration.version(),
            servers_revision: self.copies[&Subject::Servers].mirror.at,
            reads_store: self.is_reader() && !self.copies.values().any(|copy| copy.watch_failing),
            loads: self.context.loads.all(),
            demand: self.context.loads.recent_demand(Instant::now()),
            placement: self.placement.clone(),
            known: self.peers.known(now),
        }
    }

    /// Publishes what the newest leading node tells, this one included.
    fn publish_placement(&mut self) {
        let now = self.now();
        let told = self.peers.placement(now);
        if told.is_some() || self.placement.is_some() {
            self.leader_heard = Some(Instant::now());
        }
        let newest = told.into_iter().chain(&self.placement).max_by_key(|known| known.token);
        let view = newest.map_or_else(PlacementView::default, |placement| PlacementView {
            token: placement.token,
            added: placement.added.iter().copied().collect(),
            withdrawn: placement.withdrawn.iter().copied().collect(),
        });
        self.context.board.placement.store(Arc::new(view));
    }

    /// Asks a peer for its copy where the store does not answer this node and
    /// the peer's copy is newer.
    fn catch_up(&mut self, heartbeat: &Heartbeat, context: &mut Context<FleetState>) {
        let newer = [
            (
                Subject::Configuration,
                heartbeat.configuration_version > self.configuration.version(),
            ),
            (
                Subject::Servers,
                heartbeat.servers_revision > self.copies[&Subject::Servers].mirror.at,
            ),
        ];
        let learns = !self.is_reader();
        for (subject, newer) in newer {
            let copy = self.copy(subject);
            if learns && heartbeat.reads_store && !newer {
                copy.confirmed = Some(Instant::now());
                copy.watch_failing = false;
            }
            let lagging = learns || copy.watch_failing || copy.confirmed.is_none();
            if newer && lagging && !copy.fetching {
                copy.fetching = true;
                self.fetch(subject, heartbeat.peer_address, context);
            }
        }
    }

    fn fetch(&self, subject: Subject, peer: SocketAddrV4, context: &mut Context<FleetState>) {
        let fleet = context.address();
        let after = self.copies[&subject].mirror.at;
        actix_rt::spawn(async move {
            let result = fetch_update(peer, subject, after).await;
            if result.is_err() {
                tokio::time::sleep(FETCH_PAUSE).await;
            }
            fleet.do_send(PeerCopy { subject, peer, update: result.ok() });
        });
    }

    fn tick(&mut self) {
        let now = self.now();
        self.peers.forget(now);
        self.context.board.remote_load.store(Arc::new(self.peers.load(now)));
        self.publish_placement();
        self.publish();
    }
}

/// Drops servers whose address a later one has: they have ended, though their
/// entries have not run out yet.
fn drop_replaced(servers: &mut HashMap<Arc<str>, (u64, Arc<ServerRecord>)>) {
    let mut newest: HashMap<SocketAddrV4, u64> = HashMap::new();
    for (created, record) in servers.values() {
        let latest = newest.entry(record.address).or_default();
        *latest = (*latest).max(*created);
    }
    servers.retain(|_, (created, record)| newest.get(&record.address) == Some(created));
}

impl Actor for FleetState {
    type Context = Context<FleetState>;

    fn started(&mut self, context: &mut Context<FleetState>) {
        context.run_interval(TICK, |fleet, _| fleet.tick());
    }
}
