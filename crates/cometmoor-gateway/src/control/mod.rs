//! Control thread: the state of the fleet, and the tasks that keep it up to date.

pub mod campaign;
pub mod demand;
pub mod fleet;
pub mod heartbeat;
pub mod leader;
pub mod quarantine;
pub mod registration;
mod term;
pub mod watcher;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use tokio::sync::Notify;

use self::fleet::FleetState;
use crate::brittle::BrittleBoard;
use crate::control_traffic::ControlTraffic;
use crate::dialect::Dialect;
use crate::links::LinkBoard;
use crate::load::LoadBoard;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::quarantine::QuarantineBoard;
use crate::server_speeds::SpeedBoard;
use crate::settings::GatewaySettings;
use crate::signals::SignalBoard;
use crate::store::Store;

/// State that the tasks of the control thread share.
pub struct ControlContext {
    /// Settings of the node.
    pub settings: GatewaySettings,
    /// Message formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// State that is published to the traffic threads.
    pub board: Arc<Board>,
    /// Load and demand, as counted by the traffic threads.
    pub loads: LoadBoard,
    /// Quarantine of requests that crash servers.
    pub quarantine: QuarantineBoard,
    /// Signals that servers send about themselves in their responses.
    pub signals: SignalBoard,
    /// Servers that must not have to reject requests.
    pub brittle: BrittleBoard,
    /// Speeds of the servers.
    pub speeds: SpeedBoard,
    /// Links of this node to the servers.
    pub links: LinkBoard,
    /// Counters of messages to other nodes and to the store.
    pub traffic: ControlTraffic,
    /// Metrics of the node.
    pub metrics: Arc<Metrics>,
    /// Client of the store.
    pub store: Store,
    /// Distinguishes processes of the same node.
    pub incarnation: u64,
    /// Requests a round of planning before it is due.
    pub plan_wanted: Notify,
}

/// Starts the tasks of the control thread on the current `actix` system.
pub async fn start(context: Rc<ControlContext>) -> std::io::Result<Addr<FleetState>> {
    let fleet = FleetState::new(context.clone()).start();
    heartbeat::start(&context, &fleet).await?;
    watcher::start(&context, &fleet);
    registration::start(&context, &fleet);
    quarantine::start(&context);
    let lease = Duration::from_millis(context.settings.bounds.lease_millis);
    let leader = leader::start(&context, &fleet, lease);
    actix_rt::spawn(campaign::run(leader, lease));
    Ok(fleet)
}
