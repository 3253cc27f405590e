//! Registers the node in the store, so that nodes find one another even if none of their seeds
//! is running.

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
/// Time to live of a registration's lease.
const LEASE_TTL: Duration = Duration::from_secs(45);
/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(12);
/// Time after which a node that need not register checks again.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Number of known nodes up to which there may be others that heartbeats have not found.
const FEW_NODES: usize = 2;
/// Time that a starting node has to find others by its seeds.
const SEED_DISCOVERY_TIME: Duration = Duration::from_millis(1500);
/// Delay after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Starts the task that registers the node.
pub fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) {
    actix_rt::spawn(run(context.clone(), fleet.clone()));
}

async fn run(context: Rc<ControlContext>, fleet: Addr<FleetState>) {
    let mut lease = None;
    clock::sleep(SEED_DISCOVERY_TIME).await;
    loop {
        if !is_needed(&context) {
            clock::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let delay = match register(&context, &fleet, &mut lease).await {
            Ok(()) => RENEWAL_INTERVAL,
            Err(_) => RETRY_DELAY,
        };
        // A restored store may have lost the registration.
        let _ = clock::timeout(delay, context.store.eras().wait_for_new_era()).await;
    }
}

/// Whether the node has to register. It suffices that the readers of the store do: a node that
/// knows no other one finds them in the store.
fn is_needed(context: &ControlContext) -> bool {
    let fleet = context.board.fleet.load();
    fleet.reads_store || fleet.recent_nodes <= FEW_NODES
}

/// Renews or writes the registration. A node that knows few others also looks for registered
/// nodes in the store.
async fn register(
    context: &ControlContext,
    fleet: &Addr<FleetState>,
    lease: &mut Option<StoreLease>,
) -> Result<(), StoreError> {
    let is_valid = match lease {
        Some(lease) => context.store.renew_lease(*lease).await?,
        None => false,
    };
    if !is_valid {
        *lease = None;
        let granted = context.store.grant_lease(LEASE_TTL).await?;
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
