//! State of the fleet as this node knows it.

mod changes;
mod copies;
mod entries;
mod messages;
mod proofs;
mod published_servers;
mod waits;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context};
use cometmoor_core::gateway::configuration::ActiveConfiguration;
use cometmoor_core::gateway::proof::{ProofLimits, ProofRequests};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use cometmoor_core::gateway::staleness::{CopyView, StalenessLimits};
use cometmoor_core::gateway::stream_origins::{VersionHistory, return_time};
use cometmoor_core::time::{BootInstant, Timestamp};
use spdlog::{error, info, warn};

use self::copies::Copy;
use self::entries::ServerEntries;
pub use self::messages::{
    BeginShutdown, ChangesReceived, ContactsFound, DemandView, GetDemand, GetNextCall,
    GetNextMessages, GetPeersReachingStore, GetPosition, GetReadPlan, GetRetryDelay,
    GetTimeUntilRefresh, GetUpdate, NextMessages, PeerMessageReceived, ReadCompleted, ReadPlan,
    SetPlacement, StopAcceptingRequests, StoreCallFailed,
};
pub use self::proofs::GetProof;
pub use self::published_servers::PublishedServers;
use self::waits::WaitState;
pub use self::waits::{GetUrgentMessages, NotifyWaitingNodes};
use super::ControlContext;
use super::demand::FleetDemandMeter;
use crate::clock::{self, SuspensionDetector};
use crate::load::{ModelDemand, ModelKey, ServerKey, ServerLoad};
use crate::membership::{
    CopyVersions, Heartbeat, Membership, Message, OutgoingMessage, PeerPhase, Placement,
    speed_messages, to_all_recipients,
};
use crate::peer::StorePrefix;
use crate::published::{FleetSnapshot, NodeEndpoint, Phase, PlacementView, ShutdownTimes};

/// Interval of the periodic tasks, among them the detection of silent peers.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of nodes that read the configuration in a small fleet: all of them.
const CONFIGURATION_READERS: usize = 16;
/// Number of nodes that read the store in a large fleet. The others get their copies from
/// peers.
const READERS: usize = 4;
/// Number of nodes that read the servers' entries in a small fleet.
const SMALL_FLEET_SERVER_READERS: usize = 3;
/// Minimum time between two heartbeats that report the load in a large fleet.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(180);
/// Time between two log lines on the control traffic of this node.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between two sums of the other nodes' load.
const REMOTE_LOAD_INTERVAL: Duration = Duration::from_millis(40);

/// The actor that holds the state of the fleet.
pub struct FleetState {
    context: Rc<ControlContext>,
    staleness: StalenessLimits,
    proof_limits: ProofLimits,
    proof_requests: ProofRequests,
    suspensions: SuspensionDetector,
    started: BootInstant,
    phase: Phase,
    copies: HashMap<StorePrefix, Copy>,
    configuration: ActiveConfiguration,
    /// Whether the newest configuration that the store is known to hold is valid.
    is_configuration_valid: bool,
    /// The version of the configuration, while the store has lost it.
    lost_version: Option<u64>,
    entries: ServerEntries,
    servers: ServersByIncarnation,
    published_servers: PublishedServers,
    versions: VersionHistory,
    remote_load_updated: Timestamp,
    servers_fetched: Option<Timestamp>,
    peers: Membership,
    logged_members: BTreeSet<SocketAddrV4>,
    /// Whether this node was a reader of a prefix when that was last logged.
    logged_readers: HashMap<StorePrefix, bool>,
    /// Load on the servers that was last reported to other nodes.
    reported_loads: Vec<(ServerKey, ServerLoad)>,
    loads_reported_at: Option<Timestamp>,
    demand: FleetDemandMeter,
    traffic_logged: Timestamp,
    placement: Option<Placement>,
    waits: WaitState,
    leader_last_heard_at: Option<BootInstant>,
    shutdown: Option<ShutdownTimes>,
    sequence: u64,
    generation: u64,
}

impl FleetState {
    /// The state of a node that has just started.
    pub fn new(context: Rc<ControlContext>) -> FleetState {
        let settings = &context.settings;
        let mut peers =
            Membership::new(settings.peer_address, &settings.zone, settings.machine.capacity());
        settings.seeds.iter().for_each(|seed| peers.add_contact(*seed, Timestamp(0)));
        let staleness = settings.staleness_limits();
        let proof_limits = settings.proof_limits();
        let heartbeat = settings.server_heartbeat();
        let history_begins_at = (!context.settings.fresh_fleet).then(clock::now);
        FleetState {
            context,
            staleness,
            proof_limits,
            proof_requests: ProofRequests::new(rand::random::<u64>() >> 1),
            suspensions: SuspensionDetector::start(),
            started: clock::now(),
            phase: Phase::Starting,
            copies: HashMap::from_iter(StorePrefix::ALL.map(|prefix| (prefix, Copy::default()))),
            configuration: ActiveConfiguration::default(),
            is_configuration_valid: true,
            lost_version: None,
            entries: ServerEntries::new(heartbeat),
            servers: HashMap::new(),
            published_servers: PublishedServers::default(),
            versions: VersionHistory::new(history_begins_at),
            remote_load_updated: Timestamp(0),
            servers_fetched: None,
            peers,
            logged_members: BTreeSet::new(),
            logged_readers: HashMap::new(),
            reported_loads: Vec::new(),
            loads_reported_at: None,
            demand: FleetDemandMeter::default(),
            traffic_logged: Timestamp(0),
            placement: None,
            waits: WaitState::default(),
            leader_last_heard_at: None,
            shutdown: None,
            sequence: 0,
            generation: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(u64::try_from(clock::elapsed(self.started).as_millis()).unwrap_or(u64::MAX))
    }

    /// Whether this node is one of those that read a prefix from the store. There are few
    /// readers of the servers' entries, which change often: each change costs a call per reader.
    fn is_reader(&self, prefix: StorePrefix) -> bool {
        let readers = match prefix {
            StorePrefix::Configuration if self.peers.is_small_fleet() => CONFIGURATION_READERS,
            StorePrefix::Servers if self.peers.is_small_fleet() => SMALL_FLEET_SERVER_READERS,
            StorePrefix::Configuration | StorePrefix::Servers => READERS,
        };
        self.peers.is_reader(readers)
    }

    /// Whether the store does not answer this node.
    fn is_store_failing(&self) -> bool {
        self.copies.values().any(|copy| copy.is_store_failing)
    }

    fn copy(&mut self, prefix: StorePrefix) -> &mut Copy {
        self.copies.entry(prefix).or_default()
    }

    /// Updates the state from a copy that has changed, and publishes it.
    fn apply_copy(&mut self, prefix: StorePrefix) {
        match prefix {
            StorePrefix::Configuration => self.apply_configuration(),
            StorePrefix::Servers => self.apply_servers(),
        }
        self.publish();
    }

    fn apply_configuration(&mut self) {
        let dialect = self.context.dialect.clone();
        let key = dialect.configuration_key().to_owned();
        let copy = self.copy(StorePrefix::Configuration);
        let Some(item) = copy.mirror.items.get(&key) else { return };
        let lost_version = item.is_lost.then_some(item.version).flatten();
        let parsed = dialect.parse_configuration(&item.value);
        self.is_configuration_valid = parsed.is_ok();
        match parsed {
            Ok(configuration) => {
                let version = configuration.version;
                let routes = configuration.route_count();
                if self.configuration.offer(Arc::new(configuration)) {
                    info!("[configuration] version {version} is in force", kv: { version, routes });
                    // Entries of servers are valid only if their services are configured.
                    self.apply_servers();
                }
            }
            Err(reason) => {
                let reason = reason.to_string();
                error!("[configuration] the stored configuration is invalid; the current one stays in force", kv: { step = "parse", peer = "store", reason });
            }
        }
        if let (Some(version), true) = (lost_version, lost_version != self.lost_version) {
            warn!("[configuration] the store has lost version {version}; it stays in use", kv: { version });
        }
        self.lost_version = lost_version;
        if self.phase == Phase::Starting && self.configuration.get().is_some() {
            self.phase = Phase::Ready;
        }
    }

    fn apply_servers(&mut self) {
        let copy = &self.copies[&StorePrefix::Servers].mirror;
        let configuration = self.configuration.get().map(Arc::as_ref);
        let effective = self.entries.effective_servers(
            copy,
            &*self.context.dialect,
            configuration,
            &self.servers,
        );
        for incarnation in &effective.still_leaving {
            self.context.signals.note_leaving(incarnation, "the store before its restore");
        }
        self.log_server_changes(&effective.servers);
        self.servers = effective.servers;
        self.published_servers.replace(&self.servers);
    }

    fn publish(&mut self) {
        let now = self.now();
        self.generation += 1;
        let return_time = return_time(self.configuration.get().map(Arc::as_ref));
        let leaving = self.context.signals.leaving_servers();
        self.published_servers.set_leaving(leaving, &self.servers);
        self.versions.record(self.published_servers.software(), return_time, clock::now());
        let copy = &self.copies[&StorePrefix::Configuration];
        let snapshot = FleetSnapshot {
            generation: self.generation,
            phase: self.phase,
            configuration: self.configuration.get().cloned(),
            configuration_proven: self.configuration_proven(),
            proof_limits: self.proof_limits,
            is_known_behind: copy.is_known_behind(),
            ignored_entries: self.entries.ignored_count(),
            servers: self.published_servers.list().clone(),
            versions: self.versions.clone(),
            nodes: self.client_endpoints(),
            configuration_confirmed: copy.confirmed,
            servers_confirmed: self.copies[&StorePrefix::Servers].confirmed,
            reads_store: self.is_reader(StorePrefix::Servers),
            is_large_fleet: !self.peers.is_small_fleet(),
            leads: self.placement.is_some(),
            leader_last_heard_at: self.leader_last_heard_at,
            shutdown: self.shutdown,
            recent_nodes: self.peers.recent_peer_count(now) + 1,
            live_nodes: self.peers.members().len() + 1,
        };
        self.context.board.fleet.store(Arc::new(snapshot));
    }

    /// Addresses for clients of the nodes that are ready, in order of address.
    fn client_endpoints(&self) -> Vec<NodeEndpoint> {
        let ready = self.peers.members().iter().filter(|member| member.is_ready());
        let mut endpoints: Vec<NodeEndpoint> = ready
            .map(|member| NodeEndpoint {
                address: member.entry.client_address,
                zone: member.zone.clone(),
                is_isolated: member.is_isolated(),
            })
            .collect();
        if self.phase == Phase::Ready {
            endpoints.push(NodeEndpoint {
                address: self.context.settings.client_address,
                zone: self.context.settings.zone.clone(),
                is_isolated: self.context.links.reports_isolation(),
            });
        }
        endpoints.sort_by_key(|endpoint| endpoint.address);
        endpoints
    }

    /// The versions of this node's copies, and the ages of their last confirmation.
    fn versions(&self) -> CopyVersions {
        CopyVersions {
            configuration: self.configuration.version(),
            configuration_age: self.copies[&StorePrefix::Configuration].reported_age(),
            servers: self.copies[&StorePrefix::Servers].mirror.position,
            servers_age: self.copies[&StorePrefix::Servers].reported_age(),
        }
    }

    /// Age of a copy from which on this node calls the store itself.
    fn refresh_age(&self) -> Duration {
        self.staleness.refresh_age(self.peers.preceding_nodes(), self.peers.is_small_fleet())
    }

    /// What this node knows of one of its copies and of its role in the fleet.
    fn copy_view(&self, prefix: StorePrefix) -> CopyView {
        let copy = &self.copies[&prefix];
        CopyView {
            exists: copy.mirror.exists(),
            is_superseded: copy.mirror.position.era < self.context.store.eras().newest(),
            is_reader: self.is_reader(prefix),
            preceding_nodes: self.peers.preceding_nodes(),
            is_small_fleet: self.peers.is_small_fleet(),
            age: copy.age(),
            peer_reported_age: copy.peer_reported_age(),
            time_until_proof_refresh: match prefix {
                StorePrefix::Configuration => self.time_until_proof_refresh(),
                StorePrefix::Servers => None,
            },
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let reports_loads = self.load_report_is_due();
        let settings = &self.context.settings;
        let reads_store = self.is_reader(StorePrefix::Servers) && !self.is_store_failing();
        Heartbeat {
            node: settings.node.clone(),
            incarnation: self.context.incarnation,
            sequence: self.sequence,
            zone: settings.zone.clone(),
            client_address: settings.client_address,
            peer_address: settings.peer_address,
            phase: match self.phase {
                Phase::Starting => PeerPhase::Starting,
                Phase::Ready if self.context.links.reports_isolation() => PeerPhase::Isolated,
                Phase::Ready => PeerPhase::Ready,
                Phase::Draining | Phase::Closing => PeerPhase::Leaving,
            },
            versions: self.versions(),
            reads_store,
            store_fails: self.is_store_failing(),
            capacity: settings.machine.capacity(),
            loads: reports_loads.then(|| self.context.loads.server_loads()),
            demand: if reports_loads { self.recent_demand() } else { Vec::new() },
            awaited_models: self.context.loads.awaited_models(clock::now()),
            suspects: self.context.quarantine.next_reports(),
            signals: self.context.signals.next_reports(),
            placement: self.placement.clone(),
            member_count: self.peers.member_count(),
            known_peers: self.peers.known_peers(self.sequence),
        }
    }

    /// The messages that this node sends to others now.
    fn outgoing(&mut self) -> Vec<OutgoingMessage> {
        let now = self.now();
        let heartbeat = self.heartbeat();
        self.demand.receive(&heartbeat, now);
        self.request_planning(!heartbeat.awaited_models.is_empty());
        let mut outgoing = self.peers.outgoing(&heartbeat, now);
        let brittle = self.context.brittle.report().map(Message::Brittle);
        let parts = self.context.quarantine.parts.next_report().map(Message::CrashingParts);
        let reports = brittle.into_iter().chain(parts);
        let reports: Vec<OutgoingMessage> =
            reports.map(|report| to_all_recipients(report, &outgoing)).collect();
        outgoing.extend(reports);
        if heartbeat.loads.is_some()
            && !outgoing.is_empty()
            && let Some(report) = self.context.speeds.next_report()
        {
            outgoing.extend(speed_messages(&outgoing, &report, self.peers.report_role()));
        }
        outgoing.extend(self.proof_request());
        if let Some(loads) = heartbeat.loads {
            self.reported_loads = loads;
        }
        outgoing
    }

    fn recent_demand(&self) -> Vec<(ModelKey, ModelDemand)> {
        self.context.loads.recent_demand(clock::now(), self.peers.demand_report_period())
    }

    /// Whether the next heartbeat reports this node's load and demand, and records that it does.
    /// In a large fleet, a heartbeat that is sent early omits them.
    fn load_report_is_due(&mut self) -> bool {
        let now = self.now();
        let is_due = self.loads_reported_at.is_none_or(|at| now.since(at) >= LOAD_REPORT_INTERVAL);
        if is_due {
            self.loads_reported_at = Some(now);
        }
        is_due || self.peers.is_small_fleet()
    }

    /// Requests a round of planning if requests wait for weights and this node leads.
    fn request_planning(&self, has_waiting_requests: bool) {
        if has_waiting_requests && self.placement.is_some() {
            self.context.plan_wanted.notify_one();
        }
    }

    /// Publishes the newest placement that a leader reports, this node included.
    fn publish_placement(&mut self) {
        let now = self.now();
        let boot_instant = |at: Timestamp| clock::now().checked_sub(now.since(at));
        let reported = self.peers.placement(now);
        let own = self.placement.as_ref().map(|placement| (placement, now));
        if let Some((_, at)) = reported.into_iter().chain(own).max_by_key(|(_, at)| *at) {
            self.leader_last_heard_at = self.leader_last_heard_at.max(boot_instant(at));
        }
        let known = reported.into_iter().chain(own).map(|(placement, _)| placement);
        let newest = known.max_by_key(|placement| placement.version());
        let mut view = newest.map_or_else(PlacementView::default, |placement| PlacementView {
            token: placement.token,
            added: placement.added.iter().copied().collect(),
            withdrawn: placement.withdrawn.iter().copied().collect(),
        });
        for added in self.waits.notices.newer_than(newest.map(Placement::version), now) {
            view.withdrawn.remove(&added);
            view.added.insert(added);
        }
        self.context.board.placement.store(Arc::new(view));
    }

    /// Sums the other nodes' load and publishes it, at most once per interval.
    fn update_remote_load(&mut self) {
        let now = self.now();
        if now.since(self.remote_load_updated) >= REMOTE_LOAD_INTERVAL {
            self.remote_load_updated = now;
            let load = self.peers.remote_load(&self.reported_loads, now);
            self.context.board.remote_load.store(Arc::new(load));
        }
    }

    fn tick(&mut self) {
        self.suspensions.check();
        self.context.signals.tick();
        self.context.brittle.tick();
        let now = self.now();
        self.peers.tick(now);
        if self.entries.awaits_rewrites() {
            self.apply_servers();
        }
        self.log_member_changes();
        self.log_reader_changes();
        self.update_remote_load();
        self.publish_placement();
        self.publish();
        self.context.speeds.evaluate(&self.context.board.fleet.load());
        self.log_traffic(now);
    }

    /// Logs the control traffic of this node at an interval.
    fn log_traffic(&mut self, now: Timestamp) {
        if now.since(self.traffic_logged) >= TRAFFIC_LOG_INTERVAL {
            self.traffic_logged = now;
            self.context.traffic.log();
        }
    }
}

impl Actor for FleetState {
    type Context = Context<FleetState>;

    fn started(&mut self, context: &mut Context<FleetState>) {
        context.run_interval(TICK_INTERVAL, |fleet, _| fleet.tick());
    }
}
