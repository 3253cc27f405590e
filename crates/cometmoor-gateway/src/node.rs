//! A gateway node: starts its threads, waits for a stop signal and shuts down gracefully.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use actix::Addr;
use cometmoor_core::gateway::registry::ServerState;
use cometmoor_core::gateway::store_position::StorePosition;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use spdlog::{error, info, warn};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::brittle::BrittleBoard;
use crate::clients::connections::ConnectionSlots;
use crate::clock;
use crate::connector::SERVER_UPDATE_INTERVAL;
use crate::control::fleet::{BeginShutdown, FleetState, GetUpdate, StopAcceptingRequests};
use crate::control::{ControlContext, start as start_control};
use crate::control_traffic::{ControlTraffic, TrafficKind};
use crate::dialect::Dialect;
use crate::directory::addresses;
use crate::forward::TrafficContext;
use crate::frontend;
use crate::http::head::RequestHead;
use crate::http_server::{SimpleResponse, serve};
use crate::links::LinkBoard;
use crate::load::LoadBoard;
use crate::metrics::{CopyLabels, Metrics, ServiceLabels, StateLabels};
use crate::peer::{StorePrefix, lease_from_renewal_path};
use crate::published::{Board, FleetSnapshot, Phase, ShutdownTimes};
use crate::quarantine::{PartBoard, QuarantineBoard};
use crate::quota::QuotaLimiter;
use crate::server_speeds::SpeedBoard;
use crate::settings::{GatewaySettings, SettingsError};
use crate::signals::SignalBoard;
use crate::store::{Store, StoreLease};
use crate::stream_origins::OriginBoard;
use crate::tunnel;

/// Maximum number of connections that wait to be accepted, per listener.
const LISTEN_BACKLOG: u32 = 1024;
/// Size of the kernel's receive buffer of an accepted connection, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Interval of the check whether requests are still in progress during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of lifetimes of a directory response for which some clients use it.
const DIRECTORY_LIFETIMES: u32 = 3;
/// Time that a client may take to connect after it got an address from the directory.
const CLIENT_CONNECT_SLACK: Duration = Duration::from_millis(500);
/// Time by which the node stops before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the grace period after which no new requests are accepted.
const ACCEPT_FRACTION: f64 = 0.8;
/// Content type of the copies that are sent to peers.
const COPY_CONTENT_TYPE: &str = "application/octet-stream";

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings file is unreadable or invalid.
    Settings(SettingsError),
    /// Listening on an address failed.
    Listen {
        /// Address to listen on.
        address: SocketAddrV4,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Installing a signal handler failed.
    Signals(io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Settings(error) => write!(formatter, "{error}"),
            StartError::Listen { address, source } => {
                write!(formatter, "cannot listen on {address}: {source}")
            }
            StartError::Signals(source) => write!(formatter, "cannot handle signals: {source}"),
        }
    }
}

/// Runs a node on the current `actix` system, whose thread becomes the control thread, until a
/// signal stops it. Returns after the graceful shutdown.
pub async fn run(
    settings_file: PathBuf,
    dialect: Arc<dyn Dialect>,
    level: spdlog::Level,
) -> Result<(), StartError> {
    let settings = GatewaySettings::read(&settings_file).map_err(StartError::Settings)?;
    crate::log::init(&settings.node, level);
    let node = Node::start(settings, dialect).await?;
    wait_for_stop_signal(&settings_file, &node.settings).await?;
    node.drain().await;
    crate::log::flush();
    Ok(())
}

/// A running node.
pub struct Node {
    settings: GatewaySettings,
    fleet: Addr<FleetState>,
    board: Arc<Board>,
    loads: LoadBoard,
    quarantine: QuarantineBoard,
}

/// State that the threads of a node share.
#[derive(Clone)]
struct Shared {
    dialect: Arc<dyn Dialect>,
    board: Arc<Board>,
    loads: LoadBoard,
    quarantine: QuarantineBoard,
    signals: SignalBoard,
    brittle: BrittleBoard,
    speeds: SpeedBoard,
    links: LinkBoard,
    metrics: Arc<Metrics>,
}

impl Node {
    /// Starts a node on the current `actix` system, whose thread becomes the control thread.
    pub async fn start(
        settings: GatewaySettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Node, StartError> {
        let (board, loads) = (Arc::new(Board::default()), LoadBoard::default());
        let metrics = Arc::new(Metrics::default());
        let shared = Shared {
            dialect,
            board: board.clone(),
            loads: loads.clone(),
            quarantine: QuarantineBoard::new(PartBoard::new(metrics.part_releases.clone())),
            signals: SignalBoard::new(metrics.clone()),
            brittle: BrittleBoard::default(),
            speeds: SpeedBoard::new(settings.mechanisms.server_speeds),
            links: LinkBoard::default(),
            metrics,
        };
        start_traffic(&settings, &shared)?;
        let fleet = start_control_thread(&settings, &shared).await?;
        info!("[node] started", kv: {
            node = &*settings.node,
            zone = &*settings.zone,
            clients = settings.client_address.to_string(),
            store = settings.store_address.to_string(),
            version = env!("CARGO_PKG_VERSION"),
        });
        Ok(Node { settings, fleet, board, loads, quarantine: shared.quarantine })
    }

    /// State of the fleet as this node knows it.
    pub fn board(&self) -> &Arc<Board> {
        &self.board
    }

    /// Quarantine of requests that crash servers.
    pub fn quarantine(&self) -> &QuarantineBoard {
        &self.quarantine
    }

    /// Load and demand that this node counts.
    pub fn loads(&self) -> &LoadBoard {
        &self.loads
    }

    /// Number of requests of clients in progress on this node.
    pub fn in_progress(&self) -> usize {
        self.loads.in_progress()
    }

    /// Shuts the node down gracefully. Returns before the grace period ends, if necessary with
    /// requests still in progress.
    pub async fn drain(&self) {
        drain(&self.settings, &self.fleet, &self.loads).await;
    }
}

fn listen(address: SocketAddrV4) -> Result<std::net::TcpListener, StartError> {
    let failed = |source| StartError::Listen { address, source };
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    // Accepted sockets inherit it. Otherwise the kernel would let input that is not read yet grow to
    // megabytes per connection.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).map_err(failed)?;
    socket.bind(SocketAddr::V4(address)).map_err(failed)?;
    let listener = socket.listen(LISTEN_BACKLOG).map_err(failed)?;
    listener.into_std().map_err(failed)
}

fn start_traffic(settings: &GatewaySettings, shared: &Shared) -> Result<(), StartError> {
    let listener = listen(settings.client_address)?;
    let tunnel_listener = settings.tunnel_address.map(listen).transpose()?;
    let (settings, dialect) = (settings.clone(), shared.dialect.clone());
    let (board, loads) = (shared.board.clone(), shared.loads.clone());
    let (quarantine, metrics) = (shared.quarantine.clone(), shared.metrics.clone());
    let (signals, links) = (shared.signals.clone(), shared.links.clone());
    let (brittle, speeds) = (shared.brittle.clone(), shared.speeds.clone());
    let arbiter = actix_rt::Arbiter::new();
    arbiter.spawn_fn(move || {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(source) => {
                error!("[frontend] cannot accept connections", kv: { reason = source.to_string() });
                return;
            }
        };
        let quota = match QuotaLimiter::start(&settings, board.clone(), signals.clone(), brittle.clone(), metrics.clone()) {
            Ok(quota) => quota,
            Err(source) => {
                let address = settings.quota_address.to_string();
                error!("[quota] cannot listen on the address", kv: { address, reason = source.to_string() });
                return;
            }
        };
        let origins = match OriginBoard::start(&settings, board.clone(), metrics.clone()) {
            Ok(origins) => origins,
            Err(source) => {
                error!("[streams] cannot listen on the address", kv: { reason = source.to_string() });
                return;
            }
        };
        let settings = Rc::new(settings);
        let traffic =
            Rc::new(TrafficContext::new(settings, dialect, board, loads, quarantine, signals, brittle, speeds, links, quota, origins, metrics));
        actix_rt::spawn(update_servers(traffic.clone()));
        match tunnel_listener.map(TcpListener::from_std) {
            Some(Ok(listener)) => {
                actix_rt::spawn(tunnel::serve(listener, traffic.clone()));
            }
            Some(Err(source)) => {
                error!("[tunnel] cannot accept connections", kv: { reason = source.to_string() });
            }
            None => {}
        }
        actix_rt::spawn(frontend::serve(listener, traffic));
    });
    Ok(())
}

/// Notes changes of servers that no request looks at, and closes connections that were idle for too
/// long.
async fn update_servers(traffic: Rc<TrafficContext>) {
    loop {
        clock::sleep(SERVER_UPDATE_INTERVAL).await;
        traffic.connector.update_servers();
        traffic.connector.close_idle_connections();
        traffic.links.retain(&traffic.board.fleet.load());
    }
}

async fn start_control_thread(
    settings: &GatewaySettings,
    shared: &Shared,
) -> Result<Addr<FleetState>, StartError> {
    let Shared { dialect, board, loads, quarantine, signals, brittle, speeds, links, metrics } =
        shared;
    let context = Rc::new(ControlContext {
        settings: settings.clone(),
        dialect: dialect.clone(),
        board: board.clone(),
        loads: loads.clone(),
        quarantine: quarantine.clone(),
        signals: signals.clone(),
        brittle: brittle.clone(),
        speeds: speeds.clone(),
        links: links.clone(),
        traffic: metrics.control.clone(),
        metrics: metrics.clone(),
        store: Store::new(dialect.clone(), settings.store_address, metrics.clone()),
        incarnation: new_incarnation(),
        plan_wanted: tokio::sync::Notify::new(),
    });
    let failed = |source| StartError::Listen { address: settings.peer_address, source };
    let fleet = start_control(context.clone()).await.map_err(failed)?;
    let bounds = settings.node_bounds().listeners;
    let slots = |listener, limit| ConnectionSlots::new(listener, limit, None, metrics.clone());
    let readiness = readiness_handler(board, dialect);
    spawn_http_server(settings.ready_address, slots("readiness", bounds.probes), readiness)?;
    let directory = directory_handler(settings, board, dialect);
    spawn_http_server(settings.directory_address, slots("directory", bounds.directory), directory)?;
    if let Some(address) = settings.metrics_address {
        spawn_http_server(address, slots("metrics", bounds.probes), metrics_handler(shared))?;
    }
    spawn_peer_server(settings.peer_address, slots("peers", bounds.peers), &fleet, &context)?;
    Ok(fleet)
}

/// Returns a number that distinguishes this process from earlier ones of the same node:
/// milliseconds of Unix time. Nothing else relies on the time of day.
fn new_incarnation() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

type Handler = Rc<dyn Fn(&RequestHead) -> SimpleResponse>;

fn spawn_http_server(
    address: SocketAddrV4,
    slots: Rc<ConnectionSlots>,
    handler: Handler,
) -> Result<(), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::from_std(listen(address)?).map_err(failed)?;
    actix_rt::spawn(serve(listener, slots, handler));
    Ok(())
}

fn readiness_handler(board: &Arc<Board>, dialect: &Arc<dyn Dialect>) -> Handler {
    let (board, dialect) = (board.clone(), dialect.clone());
    Rc::new(move |head| {
        let ready = board.fleet.load().phase == Phase::Ready;
        match (head.path() == dialect.ready_path(), ready) {
            (false, _) => SimpleResponse::status(404),
            (true, true) => SimpleResponse::status(200),
            (true, false) => SimpleResponse::status(503),
        }
    })
}

/// Returns the metrics as text. Metrics of states and ages are updated at each request.
fn metrics_handler(shared: &Shared) -> Handler {
    let Shared { board, loads, quarantine, signals, brittle, speeds, links, metrics, .. } =
        shared.clone();
    Rc::new(move |_| {
        let fleet = board.fleet.load();
        let version = fleet.configuration.as_ref().map_or(0, |known| known.version);
        metrics.configuration_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        metrics.in_progress.set(loads.in_progress() as i64);
        metrics.nodes.set(fleet.nodes.len() as i64);
        metrics.is_leader.set(i64::from(fleet.leads));
        let copies = [
            (StorePrefix::Configuration, fleet.configuration_confirmed),
            (StorePrefix::Servers, fleet.servers_confirmed),
        ];
        for (prefix, confirmed) in copies {
            let age = confirmed.map_or(f64::INFINITY, |at| clock::elapsed(at).as_secs_f64());
            metrics.store_age.get_or_create(&CopyLabels { copy: prefix.name() }).set(age);
        }
        let proof_age = fleet.proof_age().map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics.proof_age.set(proof_age);
        let draining = fleet.servers.iter().filter(|s| s.state == ServerState::Draining).count();
        let servers = |state| metrics.servers.get_or_create(&StateLabels { state });
        servers("draining").set(draining as i64);
        servers("ready").set((fleet.servers.len() - draining) as i64);
        update_software_versions(&metrics.software_versions, &fleet);
        let (quarantined, suspects) = quarantine.counts();
        let quarantine_gauge = |state| metrics.quarantine.get_or_create(&StateLabels { state });
        quarantine_gauge("quarantined").set(quarantined as i64);
        quarantine_gauge("suspect").set(suspects as i64);
        let (quarantined, suspects) = quarantine.parts.counts();
        quarantine_gauge("quarantined_part").set(quarantined as i64);
        quarantine_gauge("suspect_part").set(suspects as i64);
        let counts = signals.counts();
        let signaling = |state| metrics.signaling_servers.get_or_create(&StateLabels { state });
        signaling("limited").set(counts.limited as i64);
        signaling("leaving").set(counts.leaving as i64);
        signaling("resting").set(counts.resting as i64);
        let unlinked = |state| metrics.unlinked_servers.get_or_create(&StateLabels { state });
        unlinked("cut").set(links.counts().cut as i64);
        unlinked("unreached").set(links.counts().unreached as i64);
        metrics.brittle_services.set(brittle.count() as i64);
        let speeds = speeds.summary();
        metrics.observed_servers.set(speeds.observed as i64);
        let server_speed = |state| metrics.server_speed.get_or_create(&StateLabels { state });
        server_speed("slowest").set(speeds.slowest.relative());
        server_speed("fastest").set(speeds.fastest.relative());
        metrics.is_isolated.set(i64::from(links.is_isolated()));
        metrics.ignored_entries.set(fleet.ignored_entries as i64);
        metrics.dropped_lines.set(i64::try_from(crate::log::dropped_lines()).unwrap_or(i64::MAX));
        let body = metrics.text().into_bytes();
        SimpleResponse { status: 200, content_type: "text/plain", body }
    })
}

fn update_software_versions(gauges: &Family<ServiceLabels, Gauge>, fleet: &FleetSnapshot) {
    let mut versions: HashMap<&str, HashSet<&str>> = HashMap::new();
    for server in fleet.servers.iter() {
        versions.entry(&server.service).or_default().insert(&server.software);
    }
    gauges.clear();
    for (service, versions) in versions {
        let labels = ServiceLabels { service: service.to_owned() };
        gauges.get_or_create(&labels).set(versions.len() as i64);
    }
}

fn directory_handler(
    settings: &GatewaySettings,
    board: &Arc<Board>,
    dialect: &Arc<dyn Dialect>,
) -> Handler {
    let (board, dialect) = (board.clone(), dialect.clone());
    let lifetime = settings.directory_lifetime();
    Rc::new(move |head| {
        if head.path() != dialect.directory_path() {
            return SimpleResponse::status(404);
        }
        let fleet = board.fleet.load();
        let addresses = addresses(&fleet.nodes, dialect.directory_zone(head));
        if addresses.is_empty() {
            return SimpleResponse::status(503);
        }
        let body = dialect.directory_response(&addresses, lifetime);
        SimpleResponse { status: 200, content_type: "application/json", body }
    })
}

/// Starts the server for peers. It sends them copies of the store's items, and renews leases for
/// nodes that cannot reach the store.
fn spawn_peer_server(
    address: SocketAddrV4,
    slots: Rc<ConnectionSlots>,
    fleet: &Addr<FleetState>,
    context: &Rc<ControlContext>,
) -> Result<(), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::from_std(listen(address)?).map_err(failed)?;
    let (fleet, context) = (fleet.clone(), context.clone());
    actix_rt::spawn(crate::http_server::serve_async(listener, slots, move |head: RequestHead| {
        let (fleet, context) = (fleet.clone(), context.clone());
        async move {
            if let Some(lease) = lease_from_renewal_path(head.path()) {
                return renewal_response(&context, lease).await;
            }
            match StorePrefix::from_mirror_path(head.path()) {
                Some((prefix, after)) => {
                    copy_response(&fleet, &context.traffic, prefix, after).await
                }
                None => SimpleResponse::status(404),
            }
        }
    }));
    Ok(())
}

async fn copy_response(
    fleet: &Addr<FleetState>,
    traffic: &ControlTraffic,
    prefix: StorePrefix,
    after: StorePosition,
) -> SimpleResponse {
    let kind = match prefix {
        StorePrefix::Configuration => TrafficKind::ConfigurationCopy,
        StorePrefix::Servers => TrafficKind::ServersCopy,
    };
    match fleet.send(GetUpdate { prefix, after }).await {
        Ok(Some(body)) => {
            traffic.count(kind, 1, body.len());
            SimpleResponse { status: 200, content_type: COPY_CONTENT_TYPE, body: body.to_vec() }
        }
        _ => SimpleResponse::status(503),
    }
}

async fn renewal_response(context: &ControlContext, lease: StoreLease) -> SimpleResponse {
    match context.store.renew_lease(lease).await {
        Ok(true) => SimpleResponse::status(200),
        Ok(false) => SimpleResponse::status(404),
        Err(_) => SimpleResponse::status(503),
    }
}

/// Waits for SIGTERM or SIGINT. SIGHUP reads the settings file again and logs whether it changed.
async fn wait_for_stop_signal(file: &Path, settings: &GatewaySettings) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => check_settings(file, settings),
        }
    }
}

fn check_settings(file: &Path, settings: &GatewaySettings) {
    match GatewaySettings::read(file) {
        Ok(read) if read == *settings => {
            info!("[node] settings file was read again; settings are unchanged")
        }
        Ok(_) => info!("[node] settings file has changed; changes take effect at the next start"),
        Err(reason) => {
            warn!("[node] settings file cannot be used; current settings stay in force", kv: { step = "reload", reason = reason.to_string() });
        }
    }
}

/// Shuts the node down gracefully. The node leaves the directory immediately. It still accepts
/// requests as long as clients may hold directory responses that list it, and then waits until
/// the requests in progress have ended.
async fn drain(settings: &GatewaySettings, fleet: &Addr<FleetState>, loads: &LoadBoard) {
    let started = clock::now();
    info!("[node] shutting down; clients are directed to other nodes", kv: { in_progress = loads.in_progress() as u64 });
    let grace_period = settings.grace_period();
    let deadline = started + grace_period.saturating_sub(KILL_MARGIN);
    let _ = fleet.send(BeginShutdown(ShutdownTimes { started, deadline })).await;
    let directory_use = settings.directory_lifetime() * DIRECTORY_LIFETIMES + CLIENT_CONNECT_SLACK;
    clock::sleep(directory_use.min(grace_period.mul_f64(ACCEPT_FRACTION))).await;
    let _ = fleet.send(StopAcceptingRequests).await;
    while loads.in_progress() > 0 && clock::now() < deadline {
        clock::sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!("[node] stopped", kv: { cut_off = loads.in_progress() as u64, age_millis = clock::elapsed(started).as_millis() as u64 });
}
