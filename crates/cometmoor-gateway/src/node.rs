//! One gateway node: starts its threads, waits for the stop, stops in order.

use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use actix::Addr;
use cometmoor_core::gateway::registry::ServerState;
use cometmoor_core::gateway::store_position::StorePosition;
use spdlog::{error, info, warn};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::clock;
use crate::control::fleet::{BeginShutdown, FleetState, GetUpdate, StopAcceptingRequests};
use crate::control::{ControlContext, start as start_control};
use crate::control_traffic::{ControlTraffic, TrafficKind};
use crate::dialect::Dialect;
use crate::directory::addresses;
use crate::forward::TrafficContext;
use crate::frontend;
use crate::http::head::RequestHead;
use crate::http_server::{SimpleResponse, serve as serve_small};
use crate::load::LoadBoard;
use crate::metrics::{CopyLabels, Metrics, StateLabels};
use crate::peer::{StorePrefix, lease_from_renewal_path};
use crate::published::{Board, Phase, ShutdownTimes};
use crate::quarantine::QuarantineBoard;
use crate::quota::QuotaLimiter;
use crate::settings::{GatewaySettings, SettingsError};
use crate::signals::SignalBoard;
use crate::store::{Store, StoreLease};

/// Connections that may wait to be taken.
const BACKLOG: u32 = 1024;
/// Between two looks whether requests are left.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How many lives of an answer some clients keep it.
const DIRECTORY_LIVES: u32 = 3;
/// Time that a client may take to come after it was told an address.
const DIRECTORY_SLACK: Duration = Duration::from_millis(500);
/// Time kept free before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Part of the grace after which no new requests are taken.
const LAST_REQUEST_PART: f64 = 0.8;
/// Between two looks for connections that rested too long.
const POOL_SWEEP: Duration = Duration::from_secs(1);
/// Type of the copies that peers get.
const BINARY: &str = "application/octet-stream";

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings cannot be used.
    Settings(SettingsError),
    /// An address cannot be listened on.
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// What the system said.
        source: io::Error,
    },
    /// Signals cannot be handled.
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

/// Runs a node until a signal stops it, on the current `actix` system, whose
/// thread becomes the control thread.
pub async fn run(
    settings_file: PathBuf,
    dialect: Arc<dyn Dialect>,
    level: spdlog::Level,
) -> Result<(), StartError> {
    let settings = GatewaySettings::read(&settings_file).map_err(StartError::Settings)?;
    crate::log::init(&settings.node, level);
    let node = Node::start(settings, dialect).await?;
    wait_for_stop(&settings_file, &node.settings).await?;
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

/// What a node's threads share.
#[derive(Clone)]
struct Shared {
    dialect: Arc<dyn Dialect>,
    board: Arc<Board>,
    loads: LoadBoard,
    quarantine: QuarantineBoard,
    signals: SignalBoard,
    metrics: Arc<Metrics>,
}

impl Node {
    /// Starts a node on the current `actix` system.
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
            quarantine: QuarantineBoard::default(),
            signals: SignalBoard::new(metrics.clone()),
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

    /// What the node believes of the fleet.
    pub fn board(&self) -> &Arc<Board> {
        &self.board
    }

    /// What the node knows of requests that crash servers.
    pub fn quarantine(&self) -> &QuarantineBoard {
        &self.quarantine
    }

    /// Requests of clients that this node works on.
    pub fn in_progress(&self) -> usize {
        self.loads.in_progress()
    }

    /// The planned stop.
    pub async fn drain(&self) {
        drain(&self.settings, &self.fleet, &self.loads).await;
    }
}

fn listen(address: SocketAddrV4) -> Result<std::net::TcpListener, StartError> {
    let failed = |source| StartError::Listen { address, source };
    let socket = TcpSocket::new_v4().map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    socket.bind(SocketAddr::V4(address)).map_err(failed)?;
    let listener = socket.listen(BACKLOG).map_err(failed)?;
    listener.into_std().map_err(failed)
}

fn start_traffic(settings: &GatewaySettings, shared: &Shared) -> Result<(), StartError> {
    let listener = listen(settings.client_address)?;
    let (settings, dialect) = (settings.clone(), shared.dialect.clone());
    let (board, loads) = (shared.board.clone(), shared.loads.clone());
    let (quarantine, metrics) = (shared.quarantine.clone(), shared.metrics.clone());
    let signals = shared.signals.clone();
    let arbiter = actix_rt::Arbiter::new();
    arbiter.spawn_fn(move || {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(source) => {
                error!("[frontend] cannot take connections", kv: { reason = source.to_string() });
                return;
            }
        };
        let quota = match QuotaLimiter::start(&settings, board.clone(), signals.clone(), metrics.clone()) {
            Ok(quota) => quota,
            Err(source) => {
                let address = settings.quota_address.to_string();
                error!("[quota] cannot be listened on", kv: { address, reason = source.to_string() });
                return;
            }
        };
        let settings = Rc::new(settings);
        let traffic =
            Rc::new(TrafficContext::new(settings, dialect, board, loads, quarantine, signals, quota, metrics));
        actix_rt::spawn(sweep_pools(traffic.clone()));
        actix_rt::spawn(frontend::serve(listener, traffic));
    });
    Ok(())
}

async fn sweep_pools(traffic: Rc<TrafficContext>) {
    loop {
        clock::sleep(POOL_SWEEP).await;
        traffic.servers.borrow().close_idle_connections(clock::now());
    }
}

async fn start_control_thread(
    settings: &GatewaySettings,
    shared: &Shared,
) -> Result<Addr<FleetState>, StartError> {
    let Shared { dialect, board, loads, quarantine, signals, metrics } = shared;
    let context = Rc::new(ControlContext {
        settings: settings.clone(),
        dialect: dialect.clone(),
        board: board.clone(),
        loads: loads.clone(),
        quarantine: quarantine.clone(),
        signals: signals.clone(),
        traffic: metrics.control.clone(),
        store: Store::new(dialect.clone(), settings.store_address, metrics.clone()),
        incarnation: new_incarnation(),
        plan_wanted: tokio::sync::Notify::new(),
    });
    let failed = |source| StartError::Listen { address: settings.peer_address, source };
    let fleet = start_control(context.clone()).await.map_err(failed)?;
    spawn_small(settings.ready_address, ready_answer(board, dialect))?;
    spawn_small(settings.directory_address, directory_response(settings, board, dialect))?;
    if let Some(address) = settings.metrics_address {
        spawn_small(address, metrics_answer(shared))?;
    }
    spawn_peer_server(settings.peer_address, &fleet, &context)?;
    Ok(fleet)
}

/// Milliseconds since 1970, so that a later process is told from an earlier
/// one; nothing else relies on the time of day.
fn new_incarnation() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

type Answering = Rc<dyn Fn(&RequestHead) -> SimpleResponse>;

fn spawn_small(address: SocketAddrV4, answer: Answering) -> Result<(), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::from_std(listen(address)?).map_err(failed)?;
    actix_rt::spawn(serve_small(listener, answer));
    Ok(())
}

fn ready_answer(board: &Arc<Board>, dialect: &Arc<dyn Dialect>) -> Answering {
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

/// Metrics as text; the states are read when they are asked for.
fn metrics_answer(shared: &Shared) -> Answering {
    let Shared { board, loads, quarantine, signals, metrics, .. } = shared.clone();
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
        for (subject, confirmed) in copies {
            let age = confirmed.map_or(f64::INFINITY, |at| clock::elapsed(at).as_secs_f64());
            metrics.store_age.get_or_create(&CopyLabels { copy: subject.name() }).set(age);
        }
        let proof_age = fleet.proof_age().map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics.proof_age.set(proof_age);
        let draining = fleet.servers.iter().filter(|s| s.state == ServerState::Draining).count();
        let state = |state| metrics.servers.get_or_create(&StateLabels { state });
        state("draining").set(draining as i64);
        state("ready").set((fleet.servers.len() - draining) as i64);
        let (quarantined, suspects) = quarantine.counts();
        let contents = |state| metrics.quarantine.get_or_create(&StateLabels { state });
        contents("quarantined").set(quarantined as i64);
        contents("suspect").set(suspects as i64);
        let counts = signals.counts();
        let signaling = |state| metrics.signaling_servers.get_or_create(&StateLabels { state });
        signaling("limited").set(counts.limited as i64);
        signaling("leaving").set(counts.leaving as i64);
        signaling("resting").set(counts.resting as i64);
        metrics.ignored_entries.set(fleet.ignored_entries as i64);
        metrics.dropped_lines.set(i64::try_from(crate::log::dropped_lines()).unwrap_or(i64::MAX));
        let body = metrics.text().into_bytes();
        SimpleResponse { status: 200, content_type: "text/plain", body }
    })
}

fn directory_response(
    settings: &GatewaySettings,
    board: &Arc<Board>,
    dialect: &Arc<dyn Dialect>,
) -> Answering {
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

/// Answers peers: with copies of the store's items, and by renewing leases for
/// nodes that the store turns away.
fn spawn_peer_server(
    address: SocketAddrV4,
    fleet: &Addr<FleetState>,
    context: &Rc<ControlContext>,
) -> Result<(), StartError> {
    let failed = |source| StartError::Listen { address, source };
    let listener = TcpListener::from_std(listen(address)?).map_err(failed)?;
    let (fleet, context) = (fleet.clone(), context.clone());
    actix_rt::spawn(crate::http_server::serve_async(listener, move |head: RequestHead| {
        let (fleet, context) = (fleet.clone(), context.clone());
        async move {
            if let Some(lease) = lease_from_renewal_path(head.path()) {
                return renewal_answer(&context, lease).await;
            }
            match StorePrefix::from_mirror_path(head.path()) {
                Some((subject, after)) => {
                    copy_answer(&fleet, &context.traffic, subject, after).await
                }
                None => SimpleResponse::status(404),
            }
        }
    }));
    Ok(())
}

async fn copy_answer(
    fleet: &Addr<FleetState>,
    traffic: &ControlTraffic,
    subject: StorePrefix,
    after: StorePosition,
) -> SimpleResponse {
    let kind = match subject {
        StorePrefix::Configuration => TrafficKind::ConfigurationCopy,
        StorePrefix::Servers => TrafficKind::ServersCopy,
    };
    match fleet.send(GetUpdate { prefix: subject, after }).await {
        Ok(Some(body)) => {
            traffic.count(kind, 1, body.len());
            SimpleResponse { status: 200, content_type: BINARY, body: body.to_vec() }
        }
        _ => SimpleResponse::status(503),
    }
}

async fn renewal_answer(context: &ControlContext, lease: StoreLease) -> SimpleResponse {
    match context.store.renew_lease(lease).await {
        Ok(true) => SimpleResponse::status(200),
        Ok(false) => SimpleResponse::status(404),
        Err(_) => SimpleResponse::status(503),
    }
}

/// Waits for the signal to stop; a hang-up reads the settings again.
async fn wait_for_stop(file: &Path, settings: &GatewaySettings) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signals)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(file, settings),
        }
    }
}

fn reload(file: &Path, settings: &GatewaySettings) {
    match GatewaySettings::read(file) {
        Ok(read) if read == *settings => info!("[node] settings read again; nothing changed"),
        Ok(_) => info!("[node] settings changed; they take effect at the next start"),
        Err(reason) => {
            warn!("[node] settings cannot be used; the last ones stay in force", kv: { step = "reload", reason = reason.to_string() });
        }
    }
}

/// The planned stop: the node leaves the directory at once and goes on taking
/// requests while clients may hold answers that name it, then finishes what
/// is left.
async fn drain(settings: &GatewaySettings, fleet: &Addr<FleetState>, loads: &LoadBoard) {
    let started = clock::now();
    info!("[node] leaving; clients are sent elsewhere", kv: { in_progress = loads.in_progress() as u64 });
    let grace = settings.grace_period();
    let ends = started + grace.saturating_sub(KILL_MARGIN);
    let _ = fleet.send(BeginShutdown(ShutdownTimes { started, deadline: ends })).await;
    let answers_kept = settings.directory_lifetime() * DIRECTORY_LIVES + DIRECTORY_SLACK;
    clock::sleep(answers_kept.min(grace.mul_f64(LAST_REQUEST_PART))).await;
    let _ = fleet.send(StopAcceptingRequests).await;
    while loads.in_progress() > 0 && clock::now() < ends {
        clock::sleep(DRAIN_POLL).await;
    }
    info!("[node] stopped", kv: { cut_off = loads.in_progress() as u64, age_millis = clock::elapsed(started).as_millis() as u64 });
}
