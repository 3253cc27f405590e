//! State of the fleet as this node believes it.

mod changes;
mod copies;
mod entries;
mod messages;
mod proofs;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use cometmoor_core::gateway::configuration::ActiveConfiguration;
use cometmoor_core::gateway::proof::{ProofLimits, ProofRequests};
use cometmoor_core::gateway::registry::{ServerEntry, ServerRecord, ServerState};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::gateway::staleness::{CopyView, StalenessLimits};
use cometmoor_core::time::{BootInstant, Timestamp};
use spdlog::{error, info, warn};

use self::copies::Copy;
use self::entries::ServerEntries;
pub use self::messages::{
    BeginStop, CloseToClients, ContactsFound, CopyChanged, CopyFailed, CopyRead, DemandView,
    GetDemand, GetNextCall, GetNextMessages, GetPatienceLeft, GetPeers, GetPosition, GetReadPlan,
    GetRetryPause, GetUpdate, NextMessages, PeerTold, ReadPlan, SetPlacement,
};
pub use self::proofs::GetProof;
use super::ControlContext;
use super::demand::FleetDemandMeter;
use crate::clock::{self, SuspensionWatch};
use crate::load::{ModelDemand, ModelKey, ServerKey, ServerLoad};
use crate::membership::{CopyVersions, Heartbeat, Membership, Outgoing, PeerPhase, Placement};
use crate::peer::Subject;
use crate::published::{ClientNode, Phase, PlacementView, Published, StopTimes};

/// How often silent peers are noticed.
const TICK: Duration = Duration::from_millis(250);
/// Nodes that read the configuration in a small fleet: all of them.
const READERS_OF_CONFIGURATION: usize = 16;
/// Nodes that read the store in a larger fleet; the others learn from them.
const READERS: usize = 4;
/// Nodes that read the servers' entries in a small fleet.
const READERS_OF_SMALL_FLEET: usize = 3;
/// Least time between two heartbeats that tell the load in a large fleet.
const LOADS_EACH: Duration = Duration::from_millis(180);
/// Time between two log lines on what this node has sent.
const TRAFFIC_LINE_EACH: Duration = Duration::from_secs(10);
/// Time between two sums of the other nodes' load.
const LOAD_PAUSE: Duration = Duration::from_millis(40);

/// The actor that holds the state of the fleet.
pub struct FleetState {
    context: Rc<ControlContext>,
    staleness: StalenessLimits,
    proof_limits: ProofLimits,
    proof_requests: ProofRequests,
    suspensions: SuspensionWatch,
    started: BootInstant,
    phase: Phase,
    copies: HashMap<Subject, Copy>,
    configuration: ActiveConfiguration,
    /// Whether the newest configuration that the store is known to hold can be read.
    is_readable: bool,
    /// The newest version, while the store has lost it.
    lost_version: Option<u64>,
    entries: ServerEntries,
    /// By incarnation.
    servers: ServersByIncarnation,
    load_summed: Timestamp,
    servers_fetched: Option<Timestamp>,
    peers: Membership,
    logged_members: BTreeSet<SocketAddrV4>,
    /// Copies that this node was last logged to read itself.
    logged_reading: HashMap<Subject, bool>,
    /// Load on the servers that was last told to others.
    told_loads: Vec<(ServerKey, ServerLoad)>,
    loads_told: Option<Timestamp>,
    demand: FleetDemandMeter,
    traffic_logged: Timestamp,
    placement: Option<Placement>,
    leader_heard: Option<BootInstant>,
    stop: Option<StopTimes>,
    sequence: u64,
    generation: u64,
}

impl FleetState {
    /// The state of a node that knows nothing yet.
    pub fn new(context: Rc<ControlContext>) -> FleetState {
        let settings = &context.settings;
        let mut peers = Membership::new(settings.peer_address, &settings.zone);
        settings.seeds.iter().for_each(|seed| peers.add_contact(*seed, Timestamp(0)));
        let staleness = settings.staleness();
        let proof_limits = settings.proof_limits();
        let heartbeat = settings.server_heartbeat();
        FleetState {
            context,
            staleness,
            proof_limits,
            proof_requests: ProofRequests::new(rand::random::<u64>() >> 1),
            suspensions: SuspensionWatch::start(),
            started: clock::now(),
            phase: Phase::Starting,
            copies: HashMap::from_iter(Subject::ALL.map(|subject| (subject, Copy::default()))),
            configuration: ActiveConfiguration::default(),
            is_readable: true,
            lost_version: None,
            entries: ServerEntries::new(heartbeat),
            servers: HashMap::new(),
            load_summed: Timestamp(0),
            servers_fetched: None,
            peers,
            logged_members: BTreeSet::new(),
            logged_reading: HashMap::new(),
            told_loads: Vec::new(),
            loads_told: None,
            demand: FleetDemandMeter::default(),
            traffic_logged: Timestamp(0),
            placement: None,
            leader_heard: None,
            stop: None,
            sequence: 0,
            generation: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(clock::elapsed(self.started).as_millis()).unwrap_or(u64::MAX))
    }

    /// Whether this node reads a prefix of the store itself. Entries of servers
    /// change often, and each change costs each reader a call.
    fn reads(&self, subject: Subject) -> bool {
        let readers = match subject {
            Subject::Configuration if self.peers.is_small() => READERS_OF_CONFIGURATION,
            Subject::Servers if self.peers.is_small() => READERS_OF_SMALL_FLEET,
            Subject::Configuration | Subject::Servers => READERS,
        };
        self.peers.is_reader(readers)
    }

    /// Whether the store does not answer this node.
    fn store_fails(&self) -> bool {
        self.copies.values().any(|copy| copy.watch_failing)
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
        let lost = item.is_lost.then_some(item.version).flatten();
        let parsed = dialect.parse_configuration(&item.value);
        self.is_readable = parsed.is_ok();
        match parsed {
            Ok(configuration) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                if self.configuration.offer(Arc::new(configuration)) {
                    info!("[configuration] version {version} is in force", kv: { version, routes });
                    // It tells which services there are.
                    self.take_in_servers();
                }
            }
            Err(reason) => {
                let reason = reason.to_string();
                error!("[configuration] cannot be read; the last one stays in force", kv: { step = "parse", peer = "store", reason });
            }
        }
        if let (Some(version), true) = (lost, lost != self.lost_version) {
            warn!("[configuration] the store has lost version {version}, which stays", kv: { version });
        }
        self.lost_version = lost;
        if self.phase == Phase::Starting && self.configuration.get().is_some() {
            self.phase = Phase::Ready;
        }
    }

    fn take_in_servers(&mut self) {
        let copy = &self.copies[&Subject::Servers].mirror;
        let configuration = self.configuration.get().map(Arc::as_ref);
        let believed =
            self.entries.believe(copy, &*self.context.dialect, configuration, &self.servers);
        for incarnation in &believed.still_leaving {
            self.context.signals.note_leaving(incarnation, "the store before its restore");
        }
        self.log_server_changes(&believed.servers);
        self.servers = believed.servers;
    }

    fn publish(&mut self) {
        let now = self.now();
        self.generation += 1;
        let copy = &self.copies[&Subject::Configuration];
        let published = Published {
            generation: self.generation,
            phase: self.phase,
            configuration: self.configuration.get().cloned(),
            configuration_proven: self.configuration_proven(),
            proof_limits: self.proof_limits,
            is_known_behind: copy.is_known_behind(),
            ignored_entries: self.entries.ignored(),
            servers: self.servers.values().map(|known| self.as_it_says(known)).collect(),
            nodes: self.client_nodes(),
            confirmed: copy.confirmed,
            servers_confirmed: self.copies[&Subject::Servers].confirmed,
            reads_store: self.reads(Subject::Servers),
            is_large_fleet: !self.peers.is_small(),
            leads: self.placement.is_some(),
            leader_heard: self.leader_heard,
            stop: self.stop,
            nodes_seen: self.peers.sharing(now) + 1,
            nodes_heard: self.peers.members().len() + 1,
        };
        self.context.board.fleet.store(Arc::new(published));
    }

    /// A server's entry, as leaving where the server says so itself: the store may tell that
    /// many seconds later.
    fn as_it_says(&self, known: &ServerEntry) -> Arc<ServerRecord> {
        let record = &known.record;
        if !self.context.signals.is_leaving(IncarnationHash::of(&record.incarnation)) {
            return record.clone();
        }
        Arc::new(ServerRecord { state: ServerState::Draining, ..ServerRecord::clone(record) })
    }

    fn client_nodes(&self) -> Vec<ClientNode> {
        let ready = self.peers.members().iter().filter(|member| member.is_ready());
        let mut nodes: Vec<ClientNode> = ready
            .map(|member| ClientNode {
                address: member.entry.client_address,
                zone: member.zone.clone(),
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

    /// How new this node's copies are, and when the store last said so.
    fn versions(&self) -> CopyVersions {
        CopyVersions {
            configuration: self.configuration.version(),
            configuration_age: self.copies[&Subject::Configuration].told_age(),
            servers: self.copies[&Subject::Servers].mirror.at,
            servers_age: self.copies[&Subject::Servers].told_age(),
        }
    }

    /// Age of a copy from which on this node asks the store itself.
    fn patience(&self) -> Duration {
        self.staleness.refresh_age(self.peers.place(), self.peers.is_small())
    }

    /// What this node knows of one of its copies, and of its part in the fleet.
    fn copy_view(&self, subject: Subject) -> CopyView {
        let copy = &self.copies[&subject];
        CopyView {
            exists: copy.mirror.exists(),
            is_superseded: copy.mirror.at.era < self.context.store.eras().newest(),
            is_reader: self.reads(subject),
            preceding_nodes: self.peers.place(),
            is_small_fleet: self.peers.is_small(),
            age: copy.age(),
            peer_reported_age: copy.age_told_by_peers(),
            time_until_proof_refresh: match subject {
                Subject::Configuration => self.time_until_proof_refresh(),
                Subject::Servers => None,
            },
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tells_loads = self.loads_are_due();
        let settings = &self.context.settings;
        let reads_store = self.reads(Subject::Servers) && !self.store_fails();
        Heartbeat {
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
            versions: self.versions(),
            reads_store,
            store_fails: self.store_fails(),
            loads: tells_loads.then(|| self.context.loads.all()),
            demand: if tells_loads { self.recent_demand() } else { Vec::new() },
            waited_for: self.context.loads.waited_for(clock::now()),
            suspects: self.context.quarantine.next_reports(),
            signals: self.context.signals.next_reports(),
            placement: self.placement.clone(),
            members: self.peers.count(),
            known: self.peers.known(self.sequence),
        }
    }

    /// What this node sends to others now.
    fn outgoing(&mut self) -> Vec<Outgoing> {
        let now = self.now();
        let heartbeat = self.heartbeat();
        self.demand.receive(&heartbeat, now);
        self.ask_for_plan(!heartbeat.waited_for.is_empty());
        let mut outgoing = self.peers.outgoing(&heartbeat, now);
        outgoing.extend(self.proof_request());
        if let Some(loads) = heartbeat.loads {
            self.told_loads = loads;
        }
        outgoing
    }

    fn recent_demand(&self) -> Vec<(ModelKey, ModelDemand)> {
        self.context.loads.recent_demand(clock::now())
    }

    /// Whether a heartbeat tells this node's load and demand now; notes that it
    /// does. In a large fleet, one that is sent early leaves them out.
    fn loads_are_due(&mut self) -> bool {
        let now = self.now();
        let due = self.loads_told.is_none_or(|told| now.since(told) >= LOADS_EACH);
        if due {
            self.loads_told = Some(now);
        }
        due || self.peers.is_small()
    }

    /// Asks this node's leader for a plan where requests wait for weights.
    fn ask_for_plan(&self, waits: bool) {
        if waits && self.placement.is_some() {
            self.context.plan_wanted.notify_one();
        }
    }

    /// Publishes what the newest leading node tells, this one included.
    fn publish_placement(&mut self) {
        let now = self.now();
        let said = |at: Timestamp| clock::now().checked_sub(now.since(at));
        let told = self.peers.placement(now);
        let own = self.placement.as_ref().map(|placement| (placement, now));
        if let Some((_, at)) = told.into_iter().chain(own).max_by_key(|(_, at)| *at) {
            self.leader_heard = self.leader_heard.max(said(at));
        }
        let known = told.into_iter().chain(own).map(|(placement, _)| placement);
        let newest = known.max_by_key(|placement| placement.version());
        let view = newest.map_or_else(PlacementView::default, |placement| PlacementView {
            token: placement.token,
            added: placement.added.iter().copied().collect(),
            withdrawn: placement.withdrawn.iter().copied().collect(),
        });
        self.context.board.placement.store(Arc::new(view));
    }

    /// Sums the other nodes' load, unless that was done a moment ago.
    fn sum_load(&mut self) {
        let now = self.now();
        if now.since(self.load_summed) >= LOAD_PAUSE {
            self.load_summed = now;
            let load = self.peers.load(&self.told_loads, now);
            self.context.board.remote_load.store(Arc::new(load));
        }
    }

    fn tick(&mut self) {
        self.suspensions.look();
        self.context.signals.tick();
        let now = self.now();
        self.peers.tick(now);
        if self.entries.awaits_rewrites() {
            self.take_in_servers();
        }
        self.log_member_changes();
        self.log_reading_changes();
        self.sum_load();
        self.publish_placement();
        self.publish();
        self.log_traffic(now);
    }

    /// Tells now and then what this node has sent.
    fn log_traffic(&mut self, now: Timestamp) {
        if now.since(self.traffic_logged) >= TRAFFIC_LINE_EACH {
            self.traffic_logged = now;
            self.context.traffic.log();
        }
    }
}

impl Actor for FleetState {
    type Context = Context<FleetState>;

    fn started(&mut self, context: &mut Context<FleetState>) {
        context.run_interval(TICK, |fleet, _| fleet.tick());
    }
}
