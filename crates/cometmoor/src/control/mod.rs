//! The control thread: owns the state of the node and makes all decisions about it.
//!
//! Its actors and tasks run on one thread. The part of their state that the traffic
//! threads need is published as an immutable [`snapshot::Snapshot`].

pub mod configuration;
pub mod engines;
pub mod membership;
pub mod planner;
pub mod relay;
pub mod snapshot;
pub mod writer;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr};
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::configuration::ConfigurationActor;
use self::engines::{EngineMonitor, LeavingEngines};
use self::membership::{AnnounceGeneration, MembershipActor};
use self::planner::Planner;
use self::relay::Relay;
use crate::context::NodeContext;
use crate::machines::MachineWatch;
use crate::peer::client::PeerClient;
use crate::peer::server::{PeerHandlers, serve as serve_peers};
use crate::store::etcd::EtcdStore;

/// Minimum time between two announcements of generations; generations that arrive
/// in between are announced together.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Handles through which the rest of the node uses the control thread.
pub struct ControlHandles {
    /// Actor that owns the configuration.
    pub configuration: Addr<ConfigurationActor>,
    /// Actor that owns the membership.
    pub membership: Addr<MembershipActor>,
    /// Generation of the configuration in force; 0 before the first one.
    pub generations: watch::Receiver<u64>,
    /// Connections to the other nodes.
    pub peers: Rc<PeerClient>,
    /// Client of the configuration store, shared so that the thread has one budget of calls.
    pub store: Rc<EtcdStore>,
}

/// Starts the actors of membership and configuration, the server for peers and the relay,
/// all on the calling thread.
pub fn start(context: &Arc<NodeContext>, listener: TcpListener) -> ControlHandles {
    let settings = &context.settings;
    let (generation_sender, generations) = watch::channel(0);
    let configuration = ConfigurationActor::new(context.clone(), generation_sender).start();
    let peers =
        Rc::new(PeerClient::new(&settings.node, &settings.peer_secret, context.metrics.clone()));
    let membership =
        MembershipActor::new(context.clone(), peers.clone(), configuration.clone()).start();
    let handlers = PeerHandlers {
        context: context.clone(),
        configuration: configuration.clone(),
        membership: membership.clone(),
    };
    actix::spawn(serve_peers(listener, handlers));
    let store = Rc::new(EtcdStore::new(&settings.store, context.metrics.clone()));
    actix::spawn(Relay::new(context.clone(), store.clone(), configuration.clone()).run());
    actix::spawn(announce_generations(generations.clone(), membership.clone()));
    ControlHandles { configuration, membership, generations, peers, store }
}

/// Starts the tasks that deal with engines, on the calling thread: the monitor, the planner
/// and, if there is a machine list, its watch.
pub fn start_engine_tasks(context: &Arc<NodeContext>, store: Rc<EtcdStore>) {
    let leaving = Arc::new(LeavingEngines::default());
    actix::spawn(EngineMonitor::new(context.clone(), leaving.clone()).run());
    actix::spawn(Planner::new(context.clone(), store).run());
    if let Some(list) = &context.settings.machine_list {
        actix::spawn(MachineWatch::new(list.address, leaving).run());
    }
}

/// Announces each new generation to some peers without delay; they announce it to
/// others in turn.
async fn announce_generations(
    mut generations: watch::Receiver<u64>,
    membership: Addr<MembershipActor>,
) {
    while generations.changed().await.is_ok() {
        membership.do_send(AnnounceGeneration);
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
