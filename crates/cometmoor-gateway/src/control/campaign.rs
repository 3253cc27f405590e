//! Gets and keeps the lease under which one node leads.

use std::rc::Rc;
use std::time::Duration;

use super::leader::Leader;
use crate::dialect::{Commit, Committed};
use crate::peer::renew_through;
use crate::published::Phase;

/// Key of the leading node.
const LEADER_KEY: &str = "cometmoor/leader";
/// Silence of the leading node after which others try.
const SILENCE: Duration = Duration::from_millis(1500);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(200);
/// Longest random pause before a try, so that nodes rarely try together.
const MOST_JITTER_MILLIS: u64 = 600;
/// Pause before a renewal that failed is tried again.
const RETRY: Duration = Duration::from_millis(200);

/// Campaigns, renews, and campaigns again.
pub async fn run(leader: Rc<Leader>, lease: Duration, renewal: Duration) {
    loop {
        tokio::time::sleep(LOOK).await;
        if !should_try(&leader) {
            continue;
        }
        let jitter = rand::random_range(0..MOST_JITTER_MILLIS);
        tokio::time::sleep(Duration::from_millis(jitter)).await;
        if !should_try(&leader) {
            continue;
        }
        if let Some(lease_id) = acquire(&leader, lease).await {
            keep(&leader, lease_id, renewal).await;
            leader.lost();
        }
    }
}

fn should_try(leader: &Leader) -> bool {
    let fleet = leader.context().board.fleet.load();
    if fleet.phase != Phase::Ready {
        return false;
    }
    let heard = fleet.leader_heard;
    if heard.is_some() {
        leader.saw_predecessor();
    }
    heard.is_none_or(|heard| heard.elapsed() > SILENCE)
}

/// Writes the key under a new lease, if nobody holds it.
async fn acquire(leader: &Leader, lifetime: Duration) -> Option<u64> {
    let context = leader.context();
    let sent = leader.now();
    let lease = context.store.grant_lease(lifetime).await.ok()?;
    let value = format!("{} {}", context.settings.node, context.incarnation).into_bytes();
    let commit = Commit {
        conditions: vec![(LEADER_KEY.to_owned(), 0)],
        puts: vec![(LEADER_KEY.to_owned(), value, lease.id)],
    };
    match context.store.commit(&commit).await {
        Ok(Committed::Done(token)) => {
            leader.acquired(token, sent);
            Some(lease.id)
        }
        Ok(Committed::Conflict | Committed::LeaseOver) => {
            leader.saw_predecessor();
            let _ = context.store.end_lease(lease.id).await;
            None
        }
        // Whether the key was written is not known; the lease runs out.
        Err(_) => {
            leader.saw_predecessor();
            None
        }
    }
}

/// Renews the lease at the store, or through a peer where the store turns this
/// node away.
async fn renew(leader: &Leader, lease_id: u64) -> Result<bool, ()> {
    if let Ok(goes_on) = leader.context().store.renew_lease(lease_id).await {
        return Ok(goes_on);
    }
    for peer in leader.peers().await {
        if let Ok(goes_on) = renew_through(peer, lease_id).await {
            return Ok(goes_on);
        }
    }
    Err(())
}

/// Renews the lease until it is over or the node leaves.
async fn keep(leader: &Leader, lease_id: u64, renewal: Duration) {
    let context = leader.context();
    while leader.leads() {
        tokio::time::sleep(renewal).await;
        if context.board.fleet.load().phase != Phase::Ready {
            leader.lost();
            let _ = context.store.end_lease(lease_id).await;
            return;
        }
        loop {
            let sent = leader.now();
            match renew(leader, lease_id).await {
                Ok(true) => {
                    leader.renewed(sent);
                    break;
                }
                Ok(false) => return,
                Err(_) if leader.leads() => tokio::time::sleep(RETRY).await,
                Err(_) => return,
            }
        }
    }
}
