//! Campaigns for leadership: acquires and renews the lease under which one node is the leader.

use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::leadership::{LeadershipState, Predecessor, candidacy};
use cometmoor_core::gateway::store_position::StoreEra;

use super::leader::Leader;
use super::term::{LEADERSHIP_PREFIX, LeadershipKeys, Term, TermEnd, decode_last, encode_last};
use crate::clock;
use crate::dialect::{Commit, CommitResult};
use crate::mirror::MirroredItem;
use crate::published::Phase;
use crate::store::{StoreError, StoreResponse};

/// Time since the last message of the leader after which other nodes try to replace it.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit for reading the leadership keys.
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval between checks whether to campaign.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum random delay before an attempt, so that nodes rarely make one at the same time.
const MAX_JITTER_MILLIS: u64 = 600;
/// The lease divided by this is the renewal interval.
const RENEWAL_DIVISOR: u32 = 3;

/// Campaigns, renews the lease while this node is the leader, and campaigns again. The first
/// attempt of a process in a fleet that has run before is made at once, because this node may have
/// been the leader until shortly before; so is the attempt after the store has lost the lease.
pub async fn run(leader: Rc<Leader>, lease: Duration) {
    while leader.context().board.fleet.load().phase != Phase::Ready {
        clock::sleep(CHECK_INTERVAL / 4).await;
    }
    let mut immediate = !leader.context().settings.fresh_fleet;
    loop {
        if !immediate && !is_time_to_campaign(&leader).await {
            continue;
        }
        match campaign(&leader, lease, immediate).await {
            Ok(Some(mut term)) => {
                let end = term.hold(&leader, lease / RENEWAL_DIVISOR).await;
                match end {
                    TermEnd::Ended => leader.resign(),
                    TermEnd::StoreLoss => leader.record_store_loss(term.lease.era),
                }
                immediate = end == TermEnd::StoreLoss;
            }
            Ok(None) => immediate = false,
            Err(_) => clock::sleep(CHECK_INTERVAL).await,
        }
    }
}

/// Waits for the check interval and, if there is no leader, for a random delay. Returns whether
/// this node should campaign then.
async fn is_time_to_campaign(leader: &Leader) -> bool {
    clock::sleep(CHECK_INTERVAL).await;
    if !should_campaign(leader) {
        return false;
    }
    let jitter = rand::random_range(0..MAX_JITTER_MILLIS);
    clock::sleep(Duration::from_millis(jitter)).await;
    should_campaign(leader)
}

fn should_campaign(leader: &Leader) -> bool {
    let fleet = leader.context().board.fleet.load();
    fleet.phase == Phase::Ready
        && !leader.context().links.is_isolated()
        && fleet.reads_store
        && fleet
            .leader_last_heard_at
            .is_none_or(|last_heard_at| clock::elapsed(last_heard_at) > LEADER_TIMEOUT)
}

/// Reads the leadership keys and, if this node may become the leader, writes them under a new
/// lease. An immediate attempt is made only if no orders of another node may still arrive. Returns
/// the term, `None` if it was not acquired, or an error if the keys could not be read.
async fn campaign(
    leader: &Leader,
    lifetime: Duration,
    immediate: bool,
) -> Result<Option<Term>, StoreError> {
    let read = leader.context().store.read_with_timeout(LEADERSHIP_PREFIX, READ_TIMEOUT).await?;
    let era = read.position.era;
    let keys = LeadershipKeys::of(era);
    let holder = read.items.get(&keys.holder);
    let last = read.items.get(&keys.last);
    let holder_name = holder.map(|item| String::from_utf8_lossy(&item.value));
    let last_leader = last.map(|item| decode_last(&item.value));
    let state = LeadershipState {
        holder: holder_name.as_deref(),
        last: last_leader.as_ref().map(|(name, _)| name.as_str()),
        last_has_waited: last_leader.as_ref().is_some_and(|(_, has_waited)| *has_waited),
    };
    let candidate_context = leader.candidate_context(era);
    let Some(predecessor) = candidacy(&leader.identity(), &state, candidate_context) else {
        return Ok(None);
    };
    if immediate && predecessor.may_still_order() {
        return Ok(None);
    }
    let revision = |item: Option<&MirroredItem>| item.map_or(0, |item| item.revision);
    let conditions =
        vec![(keys.holder.clone(), revision(holder)), (keys.last.clone(), revision(last))];
    let candidate = Candidate { era, keys, conditions, predecessor };
    Ok(acquire(leader, lifetime, candidate).await)
}

/// A candidacy that the store's state in an era allows.
struct Candidate {
    era: StoreEra,
    keys: LeadershipKeys,
    conditions: Vec<(String, u64)>,
    predecessor: Predecessor,
}

async fn acquire(leader: &Leader, lifetime: Duration, candidate: Candidate) -> Option<Term> {
    let Candidate { era, keys, conditions, predecessor } = candidate;
    let store = &leader.context().store;
    let sent = leader.now();
    let lease = store.grant_lease(lifetime).await.ok()?;
    let has_waited = !predecessor.may_still_order();
    let identity = leader.identity();
    let last = encode_last(&identity, has_waited);
    let puts =
        vec![(keys.holder.clone(), identity.into_bytes(), lease.id), (keys.last.clone(), last, 0)];
    let committed = store.commit(&Commit { conditions, puts }).await;
    let is_same_era =
        |committed: &StoreResponse<CommitResult>| committed.era == era && lease.era == era;
    match committed {
        Ok(committed) if !is_same_era(&committed) => None,
        Ok(StoreResponse { content: CommitResult::Committed(revision), .. }) => {
            leader.record_acquired(era.fencing_token(revision), sent, predecessor);
            Some(Term { lease, keys, revision, is_wait_recorded: has_waited })
        }
        Ok(StoreResponse {
            content: CommitResult::Conflict | CommitResult::LeaseExpired, ..
        }) => {
            let _ = store.revoke_lease(lease).await;
            None
        }
        // It is unknown whether the keys were written; the lease expires by itself.
        Err(_) => None,
    }
}
