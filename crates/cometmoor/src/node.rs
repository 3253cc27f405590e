//! One node: starts its parts, waits for the stop, and stops in order.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use actix_web::dev::ServerHandle;
use nix::time::{ClockId, clock_gettime};
use spdlog::{error, info, warn};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::context::NodeContext;
use crate::control::membership::AnnounceLeaving;
use crate::control::{ControlHandles, start as start_control, start_engine_tasks};
use crate::operator::server::{OperatorHandles, start as start_operator_server};
use crate::settings::{Settings, millis};
use crate::telemetry::log::Part;
use crate::telemetry::traces::TraceError;
use crate::traffic::server::start as start_traffic_server;

/// How often the drain looks whether requests are left.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Between two looks at the control thread's processor time.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a peer to take a table of idempotency keys over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen {
        /// Which of the node's addresses.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Traces cannot be exported.
    Traces(TraceError),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Listen { what, address, source } => {
                write!(formatter, "cannot listen on the {what} address {address}: {source}")
            }
            StartError::Traces(error) => write!(formatter, "{error}"),
        }
    }
}

/// Tells a running node to stop.
#[derive(Clone, Default)]
pub struct StopSignal {
    /// Starts the planned stop: nothing in progress is cut off.
    pub drain: Arc<Notify>,
    /// Stops at once.
    pub abort: Arc<Notify>,
}

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All requests in progress were finished.
    Drained,
    /// This number of requests in progress was cut off.
    Cut(usize),
}

/// Runs a node until it is told to stop. It must be called on a thread with
/// an `actix` system, which becomes the control thread.
pub async fn run(settings: Settings, signal: StopSignal) -> Result<Stopped, StartError> {
    let context =
        Arc::new(NodeContext::new(settings, new_incarnation()).map_err(StartError::Traces)?);
    let parts = start(&context, &signal).await?;
    info!(
        "{} {} serves callers at {}",
        Part::Node,
        context.settings.node,
        context.settings.client_address
    );
    let stopped = tokio::select! {
        () = signal.drain.notified() => {
            tokio::select! {
                () = drain(&context, &parts) => Stopped::Drained,
                () = signal.abort.notified() => Stopped::Cut(context.in_progress()),
            }
        }
        () = signal.abort.notified() => Stopped::Cut(context.in_progress()),
    };
    match stopped {
        Stopped::Drained => info!("{} stopped; nothing was cut off", Part::Node),
        Stopped::Cut(requests) => warn!("{} stopped; {requests} requests were cut off", Part::Node),
    }
    let graceful = stopped == Stopped::Drained;
    parts.traffic.stop(graceful).await;
    parts.operator.stop(graceful).await;
    context.tracing.stop();
    Ok(stopped)
}

/// Milliseconds since 1970, so that a later process of the same name has a
/// higher incarnation.
fn new_incarnation() -> u64 {
    let elapsed = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// The running parts that the stop needs.
struct Parts {
    control: ControlHandles,
    traffic: ServerHandle,
    operator: ServerHandle,
}

async fn start(context: &Arc<NodeContext>, signal: &StopSignal) -> Result<Parts, StartError> {
    let settings = &context.settings;
    let address = settings.peer_address;
    let listen = |what, address| move |source| StartError::Listen { what, address, source };
    let listener = TcpListener::bind(address).await.map_err(listen("peer", address))?;
    let control = start_control(context, listener);
    let handles = OperatorHandles {
        node: context.clone(),
        configuration: control.configuration.clone(),
        generations: control.generations.clone(),
        drain: signal.drain.clone(),
    };
    let address = settings.operator_address;
    let operator = start_operator_server(handles).map_err(listen("operator", address))?;
    let address = settings.client_address;
    let traffic = start_traffic_server(context.clone()).map_err(listen("client", address))?;
    start_engine_tasks(context, control.store.clone());
    let parts = Parts { control, traffic: traffic.handle(), operator: operator.handle() };
    actix::spawn(watch_server("client", traffic));
    actix::spawn(watch_server("operator", operator));
    actix::spawn(measure_control_thread(context.clone()));
    Ok(parts)
}

async fn watch_server(what: &'static str, server: actix_web::dev::Server) {
    if let Err(error) = server.await {
        error!("{} the {what} server failed: {error}", Part::Node);
    }
}

/// Notes the processor time of the thread that it runs on.
async fn measure_control_thread(context: Arc<NodeContext>) {
    let mut noted = Duration::ZERO;
    loop {
        tokio::time::sleep(MEASURE_INTERVAL).await;
        let Ok(time) = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID) else { return };
        let used = Duration::from(time);
        context.metrics.control_seconds.inc_by(used.saturating_sub(noted).as_secs_f64());
        noted = used;
    }
}

/// The planned stop. Callers keep the directory's answer for a while, so the
/// node goes on taking work for that long after it has left the directory.
async fn drain(context: &Arc<NodeContext>, parts: &Parts) {
    info!("{} leaving; callers are sent elsewhere", Part::Node);
    context.start_draining();
    // The actor ends only with the process.
    let _ = parts.control.membership.send(AnnounceLeaving).await;
    tokio::time::sleep(millis(context.settings.timing.directory_lifetime_millis)).await;
    context.keys.close();
    while context.in_progress() > 0 || context.keys.has_running() {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    hand_over_keys(context, parts).await;
}

/// Gives the idempotency keys to one peer. No second one is tried when the
/// answer is lost, because then two nodes could run a key.
async fn hand_over_keys(context: &Arc<NodeContext>, parts: &Parts) {
    let members = context.published.load().members.clone();
    let own = &context.settings.node;
    let successor = members.iter().find(|member| {
        member.name != *own && member.state == cometmoor_core::membership::MemberState::Alive
    });
    let Some(successor) = successor else {
        warn!("{} there is no node to hand the idempotency keys to", Part::Node);
        return;
    };
    let Ok(address) = successor.peer_address.parse() else {
        return;
    };
    for table in context.keys.export() {
        let result = parts.control.peers.hand_over(address, &table, HAND_OVER_TIMEOUT).await;
        match result {
            Ok(()) => info!(
                "{} {} holds {} idempotency keys of {} now",
                Part::Node,
                successor.name,
                table.keys.len(),
                table.issuer.node
            ),
            Err(error) => warn!("{} handing over the keys failed: {error}", Part::Node),
        }
    }
}
