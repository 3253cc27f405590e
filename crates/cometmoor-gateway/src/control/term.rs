//! A term of leadership: its keys in the store, and the lease that it lasts with.

use std::pin::pin;
use std::time::Duration;

use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::Timestamp;
use futures::future::{Either, select};

use super::leader::Leader;
use crate::clock;
use crate::dialect::{Commit, Committed};
use crate::peer::renew_via_peer;
use crate::published::Phase;
use crate::store::StoreLease;

/// Time for the store to answer a renewal before peers are asked to renew too.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(250);
/// Pause before a renewal that failed is tried again.
const RETRY: Duration = Duration::from_millis(200);
/// Prefix of the keys of all eras.
pub(super) const LEADERSHIP_PREFIX: &str = "cometmoor/leadership/";
/// Stands behind a leader's name while it waits for the orders of the one before to end.
const WAITS: &str = " waits";

/// Keys of leadership in an era of the store.
#[derive(Clone, Debug)]
pub(super) struct LeadershipKeys {
    /// Names the leading node, and goes with its lease.
    pub(super) holder: String,
    /// Names the node that led last, and stays.
    pub(super) last: String,
}

impl LeadershipKeys {
    pub(super) fn of(era: StoreEra) -> LeadershipKeys {
        let prefix = format!("{LEADERSHIP_PREFIX}{}", era.number());
        LeadershipKeys { holder: format!("{prefix}/holder"), last: format!("{prefix}/last") }
    }
}

/// What the key of the last leader holds.
pub(super) fn encode_last(name: &str, has_waited: bool) -> Vec<u8> {
    let suffix = if has_waited { "" } else { WAITS };
    format!("{name}{suffix}").into_bytes()
}

/// The name in the key of the last leader, and whether that node has waited.
pub(super) fn decode_last(value: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(value);
    match text.strip_suffix(WAITS) {
        Some(name) => (name.to_owned(), false),
        None => (text.into_owned(), true),
    }
}

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TermEnd {
    /// The lease is over, or the node leaves.
    Over,
    /// The store has lost the lease.
    StoreLoss,
}

/// A term that this node holds.
pub(super) struct Term {
    /// Its lease.
    pub(super) lease: StoreLease,
    /// Its keys.
    pub(super) keys: LeadershipKeys,
    /// Revision at which the key of the leading node was written.
    pub(super) revision: u64,
    /// Whether the store knows that this node has waited.
    pub(super) has_noted_wait: bool,
}

/// What a renewal led to.
struct Renewal {
    /// Whether the lease goes on.
    goes_on: bool,
    /// When the call was sent that was answered.
    sent: Timestamp,
}

impl Term {
    /// Renews the lease until it is over, the store has lost it, or the node leaves.
    pub(super) async fn keep(&mut self, leader: &Leader, renewal: Duration) -> TermEnd {
        let context = leader.context();
        let eras = context.store.eras();
        while leader.leads() {
            let _ = clock::timeout(renewal, eras.wait_for_new_era()).await;
            if context.board.fleet.load().phase != Phase::Ready {
                leader.lost();
                let _ = context.store.end_lease(self.lease).await;
                return TermEnd::Over;
            }
            if let Err(end) = self.renew_once(leader).await {
                return end;
            }
            self.note_wait(leader).await;
        }
        TermEnd::Over
    }

    /// Renews the lease, however often the store has to be asked.
    async fn renew_once(&self, leader: &Leader) -> Result<(), TermEnd> {
        let eras = leader.context().store.eras();
        loop {
            match renew(leader, self.lease).await {
                Some(renewal) if renewal.goes_on => {
                    leader.renewed(renewal.sent);
                    return Ok(());
                }
                Some(_) if eras.newest() > self.lease.era => return Err(TermEnd::StoreLoss),
                None if leader.leads() => clock::sleep(RETRY).await,
                Some(_) | None => return Err(TermEnd::Over),
            }
        }
    }

    /// Notes in the store that this node has waited: its next process need not.
    async fn note_wait(&mut self, leader: &Leader) {
        if self.has_noted_wait || !leader.may_order() {
            return;
        }
        let conditions = vec![(self.keys.holder.clone(), self.revision)];
        let puts = vec![(self.keys.last.clone(), encode_last(&leader.identity(), true), 0)];
        let committed = leader.context().store.commit(&Commit { conditions, puts }).await;
        // A call without an answer is made again after the next renewal.
        self.has_noted_wait = committed.is_ok_and(|committed| {
            matches!(committed.content, Committed::Done(_) | Committed::Conflict)
        });
    }
}

/// Renews the lease at the store, and through peers where the store does not
/// answer this node soon.
async fn renew(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    let through_peers = async {
        clock::sleep(ASK_PEERS_AFTER).await;
        renew_through_peers(leader, lease).await
    };
    match select(pin!(renew_directly(leader, lease)), pin!(through_peers)).await {
        Either::Left((None, others)) => others.await,
        Either::Right((None, direct)) => direct.await,
        Either::Left((renewal, _)) | Either::Right((renewal, _)) => renewal,
    }
}

async fn renew_directly(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    let sent = leader.now();
    let goes_on = leader.context().store.renew_lease(lease).await.ok()?;
    Some(Renewal { goes_on, sent })
}

async fn renew_through_peers(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    for peer in leader.peers().await {
        let sent = leader.now();
        if let Ok(goes_on) = renew_via_peer(peer, lease).await {
            return Some(Renewal { goes_on, sent });
        }
    }
    None
}
