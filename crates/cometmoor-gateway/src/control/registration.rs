//! Registers the node in the store, so that nodes whose seeds are all gone
//! find one another.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;

use super::ControlContext;
use super::fleet::{ContactsFound, FleetState};
use crate::clock;
use crate::dialect::Commit;
use crate::store::{StoreError, StoreLease};

/// Prefix of the nodes' keys.
const NODES_PREFIX: &str = "cometmoor/nodes/";
/// Life of a registration.
const LIFETIME: Duration = Duration::from_secs(45);
/// Pause between renewals.
const INTERVAL: Duration = Duration::from_secs(12);
/// Pause of a node that need not register before it looks again.
const LOOK: Duration = Duration::from_secs(2);
/// Nodes up to which others may not have been found by heartbeats.
const FEW_NODES: usize = 2;
/// Time for a node that starts to find others by its seeds.
const SEEDS_FIRST: Duration = Duration::from_millis(1500);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// Starts the task.
pub fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) {
    actix_rt::spawn(run(context.clone(), fleet.clone()));
}

async fn run(context: Rc<ControlContext>, fleet: Addr<FleetState>) {
    let mut lease = None;
    clock::sleep(SEEDS_FIRST).await;
    loop {
        if !is_needed(&context) {
            clock::sleep(LOOK).await;
            continue;
        }
        let pause = match step(&context, &fleet, &mut lease).await {
            Ok(()) => INTERVAL,
            Err(_) => FAILURE_PAUSE,
        };
        // A restored store may have lost the registration.
        let _ = clock::timeout(pause, context.store.eras().begins()).await;
    }
}

/// Whether the node has to be found in the store: those that read it are
/// enough for a node that knows nobody, which itself looks there.
fn is_needed(context: &ControlContext) -> bool {
    let fleet = context.board.fleet.load();
    fleet.reads_store || fleet.recent_nodes <= FEW_NODES
}

async fn step(
    context: &ControlContext,
    fleet: &Addr<FleetState>,
    lease: &mut Option<StoreLease>,
) -> Result<(), StoreError> {
    let goes_on = match lease {
        Some(lease) => context.store.renew_lease(*lease).await?,
        None => false,
    };
    if !goes_on {
        *lease = None;
        let granted = context.store.grant_lease(LIFETIME).await?;
        let address = context.settings.peer_address.to_string();
        let key = format!("{NODES_PREFIX}{}-{}", context.settings.node, context.incarnation);
        let puts = vec![(key, address.into_bytes(), granted.id)];
        context.store.commit(&Commit { conditions: Vec::new(), puts }).await?;
        *lease = Some(granted);
    }
    if context.board.fleet.load().recent_nodes > FEW_NODES {
        return Ok(());
    }
    let nodes = context.store.read(NODES_PREFIX).await?;
    let addresses = nodes.items.values().filter_map(|item| parse_address(&item.value)).collect();
    fleet.do_send(ContactsFound(addresses));
    Ok(())
}

fn parse_address(value: &[u8]) -> Option<SocketAddrV4> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
