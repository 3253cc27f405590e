//! The faults, and how each is induced and ended.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::SharedSystem;
use super::system::NODES;
use crate::stand_in::engine_state::EngineFault;
use crate::stand_in::service::ServiceFault;
use crate::stand_in::store::StoreFault;

/// How long a fault lasts that is not over by itself.
const DURATION: Duration = Duration::from_secs(3);
/// Longer than the planner's lease.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Time after which a killed node's replacement starts.
const REPLACEMENT: Duration = Duration::from_secs(1);
/// Time for a planned stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Time for callers to notice a broken stream.
const NOTICE: Duration = Duration::from_millis(300);
/// Tokens after which streams are cut.
const CUT_AFTER: u64 = 5;
/// Delay of late and doubled orders.
const ORDER_DELAY: Duration = Duration::from_millis(800);
/// Time that a leaving engine stays before it is replaced.
const LEAVING: Duration = Duration::from_secs(6);

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node's process is killed and replaced.
    NodeKilled,
    /// A node's process is paused for longer than its lease.
    NodePaused,
    /// A node is stopped as planned and replaced.
    PlannedStop,
    /// The key-value service does not answer.
    StoreDown,
    /// The key-value service is slow.
    StoreSlow,
    /// The key-value service takes writes and loses the answers.
    StoreRepliesLost,
    /// Orders to an engine are lost.
    OrdersLost,
    /// Orders to an engine arrive late.
    OrdersLate,
    /// Orders to an engine arrive twice.
    OrdersDoubled,
    /// An engine restarts empty.
    EngineRestarted,
    /// An engine answers nothing for a while.
    EngineFrozen,
    /// An engine leaves.
    EngineLeaving,
    /// Streams break.
    StreamsCut,
    /// Parts of streams arrive out of order.
    StreamsDisordered,
    /// A service runs calls and loses the answers.
    ServiceRepliesLost,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 15] = [
        Fault::NodeKilled,
        Fault::NodePaused,
        Fault::PlannedStop,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::StoreRepliesLost,
        Fault::OrdersLost,
        Fault::OrdersLate,
        Fault::OrdersDoubled,
        Fault::EngineRestarted,
        Fault::EngineFrozen,
        Fault::EngineLeaving,
        Fault::StreamsCut,
        Fault::StreamsDisordered,
        Fault::ServiceRepliesLost,
    ];

    /// Induces the fault and returns when it is over.
    pub async fn induce(self, system: &SharedSystem, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let node = usize::from(random.random_range(0..NODES));
        let engine = random.random_range(0..system.engines.len());
        match self {
            Fault::NodeKilled => kill_node(system, node).await,
            Fault::NodePaused => pause_node(system, node).await,
            Fault::PlannedStop => stop_node(system, node).await,
            Fault::StoreDown => store_fault(system, StoreFault::Down).await,
            Fault::StoreSlow => {
                store_fault(system, StoreFault::Slow(Duration::from_millis(300))).await;
            }
            Fault::StoreRepliesLost => store_fault(system, StoreFault::LostReplies).await,
            Fault::OrdersLost => engine_fault(system, engine, EngineFault::LostOrders).await,
            Fault::OrdersLate => {
                engine_fault(system, engine, EngineFault::LateOrders(ORDER_DELAY)).await;
            }
            Fault::OrdersDoubled => {
                engine_fault(system, engine, EngineFault::DoubledOrders(ORDER_DELAY)).await;
            }
            Fault::EngineRestarted => system.engines[engine].state.restart(),
            Fault::EngineFrozen => engine_fault(system, engine, EngineFault::Frozen).await,
            Fault::EngineLeaving => leave_engine(system, engine).await,
            Fault::StreamsCut => {
                engine_fault(system, engine, EngineFault::CutStreams(CUT_AFTER)).await;
            }
            Fault::StreamsDisordered => {
                engine_fault(system, engine, EngineFault::DisorderedStreams).await;
            }
            Fault::ServiceRepliesLost => {
                system.service.set_fault(ServiceFault::LostReplies);
                actix_rt::time::sleep(DURATION).await;
                system.service.set_fault(ServiceFault::None);
            }
        }
    }
}

async fn store_fault(system: &SharedSystem, fault: StoreFault) {
    system.cluster.borrow().store.set_fault(fault);
    actix_rt::time::sleep(DURATION).await;
    system.cluster.borrow().store.set_fault(StoreFault::None);
}

async fn engine_fault(system: &SharedSystem, engine: usize, fault: EngineFault) {
    let state = &system.engines[engine].state;
    state.set_fault(fault);
    actix_rt::time::sleep(DURATION).await;
    state.set_fault(EngineFault::None);
}

async fn leave_engine(system: &SharedSystem, engine: usize) {
    let stand_in = &system.engines[engine];
    stand_in.state.set_leaving(true);
    system.cluster.borrow().machines.set_leaving(&[stand_in.address()]);
    actix_rt::time::sleep(LEAVING).await;
    // The machine is replaced by one with the same address.
    stand_in.state.restart();
    stand_in.state.set_leaving(false);
    system.cluster.borrow().machines.set_leaving(&[]);
}

async fn kill_node(system: &SharedSystem, node: usize) {
    system.cluster.borrow_mut().nodes[node].kill();
    actix_rt::time::sleep(REPLACEMENT).await;
    start_node(system, node);
    actix_rt::time::sleep(DURATION - REPLACEMENT).await;
}

async fn pause_node(system: &SharedSystem, node: usize) {
    system.cluster.borrow().nodes[node].pause();
    actix_rt::time::sleep(PAUSE).await;
    system.cluster.borrow().nodes[node].resume();
}

/// A node that another fault has stopped already is left alone.
async fn stop_node(system: &SharedSystem, node: usize) {
    if !system.cluster.borrow().nodes[node].is_running() {
        return;
    }
    let address = system.addresses[node].clone();
    system.draining.borrow_mut().push(address.clone());
    system.cluster.borrow().nodes[node].drain();
    let deadline = std::time::Instant::now() + DRAIN_LIMIT;
    while std::time::Instant::now() < deadline {
        let stopped = system.cluster.borrow_mut().nodes[node].wait_stopped(Duration::ZERO);
        if stopped {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    // Streams that the stop broke are noticed by their callers a little later.
    actix_rt::time::sleep(NOTICE).await;
    system.draining.borrow_mut().retain(|draining| *draining != address);
    start_node(system, node);
}

fn start_node(system: &SharedSystem, node: usize) {
    let mut cluster = system.cluster.borrow_mut();
    if !cluster.nodes[node].is_running()
        && let Err(error) = cluster.nodes[node].start()
    {
        eprintln!("node {node} does not start: {error}");
    }
}
