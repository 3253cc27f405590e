//! Gets and keeps the lease under which one node leads.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::leadership::{Predecessor, Standing, candidacy};
use cometmoor_core::time::Timestamp;
use futures::future::{Either, select};

use super::leader::Leader;
use crate::clock;
use crate::dialect::{Commit, Committed};
use crate::mirror::MirroredItem;
use crate::peer::renew_through;
use crate::published::Phase;
use crate::store::StoreError;

/// Prefix of both keys.
const LEADERSHIP_PREFIX: &str = "cometmoor/leadership/";
/// Key of the leading node, which goes with its lease.
const HOLDER_KEY: &str = "cometmoor/leadership/holder";
/// Key of the node that led last, which stays.
const LAST_KEY: &str = "cometmoor/leadership/last";
/// Silence of the leading node after which others try.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time for the store to tell who led.
const READ_TIME: Duration = Duration::from_millis(600);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// Longest random pause before a try, so that nodes rarely try together.
const MOST_JITTER_MILLIS: u64 = 600;
/// Part of the lease after which it is renewed.
const RENEWAL_PART: u32 = 3;
/// Time for the store to answer a renewal before peers are asked to renew too.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(250);
/// Pause before a renewal that failed is tried again.
const RETRY: Duration = Duration::from_millis(200);

/// Campaigns, renews, and campaigns again. The first try of a process in a
/// fleet that ran before is made at once, for this node may have led until a
/// moment ago.
pub async fn run(leader: Rc<Leader>, lease: Duration) {
    while leader.context().board.fleet.load().phase != Phase::Ready {
        clock::sleep(LOOK / 4).await;
    }
    let mut only_own = !leader.context().settings.fresh_fleet;
    loop {
        if !only_own && !is_time(&leader).await {
            continue;
        }
        match campaign(&leader, lease, only_own).await {
            Ok(Some(lease_id)) => {
                keep(&leader, lease_id, lease / RENEWAL_PART).await;
                leader.lost();
                only_own = false;
            }
            Ok(None) => only_own = false,
            Err(_) => clock::sleep(LOOK).await,
        }
    }
}

/// Waits a moment; whether this node should try to lead then.
async fn is_time(leader: &Leader) -> bool {
    clock::sleep(LOOK).await;
    if !should_try(leader) {
        return false;
    }
    let jitter = rand::random_range(0..MOST_JITTER_MILLIS);
    clock::sleep(Duration::from_millis(jitter)).await;
    should_try(leader)
}

fn should_try(leader: &Leader) -> bool {
    let fleet = leader.context().board.fleet.load();
    fleet.phase == Phase::Ready
        && fleet.reads_store
        && fleet.leader_heard.is_none_or(|heard| clock::elapsed(heard) > SILENCE)
}

/// Looks who led last and writes the leader's keys under a new lease, if this
/// node may. Returns the lease; an error where the store did not tell.
async fn campaign(
    leader: &Leader,
    lifetime: Duration,
    only_own: bool,
) -> Result<Option<u64>, StoreError> {
    let keys = leader.context().store.read_within(LEADERSHIP_PREFIX, READ_TIME).await?;
    let holder = keys.items.get(HOLDER_KEY);
    let last = keys.items.get(LAST_KEY);
    let name = |item: Option<&MirroredItem>| {
        item.map(|item| String::from_utf8_lossy(&item.value).into_owned())
    };
    let (holder_name, last_name) = (name(holder), name(last));
    let standing = Standing { holder: holder_name.as_deref(), last: last_name.as_deref() };
    let Some(predecessor) = candidacy(&identity(leader), &standing) else { return Ok(None) };
    if only_own && predecessor != Predecessor::SameNode {
        return Ok(None);
    }
    let revision = |item: Option<&MirroredItem>| item.map_or(0, |item| item.revision);
    let conditions =
        vec![(HOLDER_KEY.to_owned(), revision(holder)), (LAST_KEY.to_owned(), revision(last))];
    Ok(acquire(leader, lifetime, conditions, predecessor).await)
}

/// What tells this machine apart from all others; its processes share it.
fn identity(leader: &Leader) -> String {
    let settings = &leader.context().settings;
    format!("{} {}", settings.node, settings.peer_address)
}

async fn acquire(
    leader: &Leader,
    lifetime: Duration,
    conditions: Vec<(String, u64)>,
    predecessor: Predecessor,
) -> Option<u64> {
    let context = leader.context();
    let sent = leader.now();
    let lease = context.store.grant_lease(lifetime).await.ok()?;
    let identity = identity(leader).into_bytes();
    let puts = vec![
        (HOLDER_KEY.to_owned(), identity.clone(), lease.id),
        (LAST_KEY.to_owned(), identity, 0),
    ];
    match context.store.commit(&Commit { conditions, puts }).await {
        Ok(Committed::Done(token)) => {
            leader.acquired(token, sent, predecessor);
            Some(lease.id)
        }
        Ok(Committed::Conflict | Committed::LeaseOver) => {
            let _ = context.store.end_lease(lease.id).await;
            None
        }
        // Whether the keys were written is not known; the lease runs out.
        Err(_) => None,
    }
}

/// What a renewal led to.
struct Renewal {
    /// Whether the lease goes on.
    goes_on: bool,
    /// When the call was sent that was answered.
    sent: Timestamp,
}

/// Renews the lease at the store, and through peers where the store does not
/// answer this node soon.
async fn renew(leader: &Leader, lease_id: u64) -> Option<Renewal> {
    let through_peers = async {
        clock::sleep(ASK_PEERS_AFTER).await;
        renew_through_peers(leader, lease_id).await
    };
    match select(pin!(renew_directly(leader, lease_id)), pin!(through_peers)).await {
        Either::Left((None, others)) => others.await,
        Either::Right((None, direct)) => direct.await,
        Either::Left((renewal, _)) | Either::Right((renewal, _)) => renewal,
    }
}

async fn renew_directly(leader: &Leader, lease_id: u64) -> Option<Renewal> {
    let sent = leader.now();
    let goes_on = leader.context().store.renew_lease(lease_id).await.ok()?;
    Some(Renewal { goes_on, sent })
}

async fn renew_through_peers(leader: &Leader, lease_id: u64) -> Option<Renewal> {
    for peer in leader.peers().await {
        let sent = leader.now();
        if let Ok(goes_on) = renew_through(peer, lease_id).await {
            return Some(Renewal { goes_on, sent });
        }
    }
    None
}

/// Renews the lease until it is over or the node leaves.
async fn keep(leader: &Leader, lease_id: u64, renewal: Duration) {
    let context = leader.context();
    while leader.leads() {
        clock::sleep(renewal).await;
        if context.board.fleet.load().phase != Phase::Ready {
            leader.lost();
            let _ = context.store.end_lease(lease_id).await;
            return;
        }
        loop {
            match renew(leader, lease_id).await {
                Some(renewal) if renewal.goes_on => {
                    leader.renewed(renewal.sent);
                    break;
                }
                Some(_) => return,
                None if leader.leads() => clock::sleep(RETRY).await,
                None => return,
            }
        }
    }
}
