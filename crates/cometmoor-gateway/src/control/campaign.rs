//! Gets and keeps the lease under which one node leads.

use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::leadership::{LeadershipState, Predecessor, candidacy};
use cometmoor_core::gateway::store_position::StoreEra;

use super::leader::Leader;
use super::term::{LEADERSHIP_PREFIX, LeadershipKeys, Term, TermEnd, decode_last, encode_last};
use crate::clock;
use crate::dialect::{Commit, Committed};
use crate::mirror::MirroredItem;
use crate::published::Phase;
use crate::store::{InEra, StoreError};

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

/// Campaigns, renews, and campaigns again. The first try of a process in a
/// fleet that ran before is made at once, for this node may have led until a
/// moment ago, and so is one after the store has lost this node's lease.
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
            Ok(Some(mut term)) => {
                let end = term.keep(&leader, lease / RENEWAL_PART).await;
                match end {
                    TermEnd::Over => leader.lost(),
                    TermEnd::StoreLoss => leader.lost_by_store(term.lease.era),
                }
                only_own = end == TermEnd::StoreLoss;
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
/// node may. Returns the term; an error where the store did not tell.
async fn campaign(
    leader: &Leader,
    lifetime: Duration,
    only_own: bool,
) -> Result<Option<Term>, StoreError> {
    let found = leader.context().store.read_within(LEADERSHIP_PREFIX, READ_TIME).await?;
    let era = found.position.era;
    let keys = LeadershipKeys::of(era);
    let holder = found.items.get(&keys.holder);
    let last = found.items.get(&keys.last);
    let holder_name = holder.map(|item| String::from_utf8_lossy(&item.value));
    let last_leader = last.map(|item| decode_last(&item.value));
    let standing = LeadershipState {
        holder: holder_name.as_deref(),
        last: last_leader.as_ref().map(|(name, _)| name.as_str()),
        last_has_waited: last_leader.as_ref().is_some_and(|(_, has_waited)| *has_waited),
    };
    let knowledge = leader.candidate_context(era);
    let Some(predecessor) = candidacy(&leader.identity(), &standing, knowledge) else {
        return Ok(None);
    };
    if only_own && predecessor.may_still_order() {
        return Ok(None);
    }
    let revision = |item: Option<&MirroredItem>| item.map_or(0, |item| item.revision);
    let conditions =
        vec![(keys.holder.clone(), revision(holder)), (keys.last.clone(), revision(last))];
    let candidate = Candidate { era, keys, conditions, predecessor };
    Ok(acquire(leader, lifetime, candidate).await)
}

/// A node that may lead, by what the store told in an era.
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
    let is_of_one_era = |committed: &InEra<Committed>| committed.era == era && lease.era == era;
    match committed {
        Ok(committed) if !is_of_one_era(&committed) => None,
        Ok(InEra { content: Committed::Done(revision), .. }) => {
            leader.acquired(era.fencing_token(revision), sent, predecessor);
            Some(Term { lease, keys, revision, has_noted_wait: has_waited })
        }
        Ok(InEra { content: Committed::Conflict | Committed::LeaseOver, .. }) => {
            let _ = store.end_lease(lease).await;
            None
        }
        // Whether the keys were written is not known; the lease runs out.
        Err(_) => None,
    }
}
