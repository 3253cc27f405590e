//! A term of leadership: its keys in the store, and the lease that it depends on.

use std::pin::pin;
use std::time::Duration;

use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::Timestamp;
use futures::future::{Either, select};

use super::leader::Leader;
use crate::clock;
use crate::dialect::{Commit, CommitResult};
use crate::peer::renew_via_peer;
use crate::published::Phase;
use crate::store::StoreLease;

/// Time after which a renewal that the store has not answered is also requested through peers.
const PEER_RENEWAL_DELAY: Duration = Duration::from_millis(250);
/// Delay before a failed renewal is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Prefix of the leadership keys of all eras.
pub(super) const LEADERSHIP_PREFIX: &str = "cometmoor/leadership/";
/// Suffix of the last leader's name while it waits for the orders of its predecessor to end.
const WAITING_SUFFIX: &str = " waits";

/// The leadership keys in an era of the store.
#[derive(Clone, Debug)]
pub(super) struct LeadershipKeys {
    /// Key of the leader's name; it expires with the lease.
    pub(super) holder: String,
    /// Key of the last leader's name; it does not expire.
    pub(super) last: String,
}

impl LeadershipKeys {
    pub(super) fn of(era: StoreEra) -> LeadershipKeys {
        let prefix = format!("{LEADERSHIP_PREFIX}{}", era.number());
        LeadershipKeys { holder: format!("{prefix}/holder"), last: format!("{prefix}/last") }
    }
}

/// Encodes the value of the last leader's key.
pub(super) fn encode_last(name: &str, has_waited: bool) -> Vec<u8> {
    let suffix = if has_waited { "" } else { WAITING_SUFFIX };
    format!("{name}{suffix}").into_bytes()
}

/// Decodes the value of the last leader's key into its name and whether it has waited.
pub(super) fn decode_last(value: &[u8]) -> (String, bool) {
    let text = String::from_utf8_lossy(value);
    match text.strip_suffix(WAITING_SUFFIX) {
        Some(name) => (name.to_owned(), false),
        None => (text.into_owned(), true),
    }
}

/// How a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TermEnd {
    /// The lease has ended, or the node is shutting down.
    Ended,
    /// The store has lost the lease.
    StoreLoss,
}

/// A term that this node holds.
pub(super) struct Term {
    /// The lease that it depends on.
    pub(super) lease: StoreLease,
    /// The keys written for it.
    pub(super) keys: LeadershipKeys,
    /// Revision at which the holder's key was written.
    pub(super) revision: u64,
    /// Whether the last leader's key says that this node has waited.
    pub(super) is_wait_recorded: bool,
}

/// The result of a renewal that was answered.
struct Renewal {
    /// Whether the lease was extended.
    is_extended: bool,
    /// When the answered call was sent.
    sent: Timestamp,
}

impl Term {
    /// Renews the lease at the given interval until it ends, the store loses it, or the node shuts
    /// down. Also renews it when a new era of the store begins.
    pub(super) async fn hold(&mut self, leader: &Leader, interval: Duration) -> TermEnd {
        let context = leader.context();
        let eras = context.store.eras();
        while leader.leads() {
            let _ = clock::timeout(interval, eras.wait_for_new_era()).await;
            // A leader without links to the servers could not order any.
            let is_isolated = context.links.is_isolated();
            if is_isolated || context.board.fleet.load().phase != Phase::Ready {
                leader.resign();
                let _ = context.store.revoke_lease(self.lease).await;
                return TermEnd::Ended;
            }
            if let Err(end) = self.renew_once(leader).await {
                return end;
            }
            self.record_wait(leader).await;
        }
        TermEnd::Ended
    }

    /// Renews the lease once, and retries until a call is answered or the term ends.
    async fn renew_once(&self, leader: &Leader) -> Result<(), TermEnd> {
        let eras = leader.context().store.eras();
        loop {
            match renew(leader, self.lease).await {
                Some(renewal) if renewal.is_extended => {
                    leader.record_renewed(renewal.sent);
                    return Ok(());
                }
                Some(_) if eras.newest() > self.lease.era => return Err(TermEnd::StoreLoss),
                None if leader.leads() => clock::sleep(RETRY_DELAY).await,
                Some(_) | None => return Err(TermEnd::Ended),
            }
        }
    }

    /// Records in the store that this node has waited, so that its next process need not.
    async fn record_wait(&mut self, leader: &Leader) {
        if self.is_wait_recorded || !leader.may_send_orders() {
            return;
        }
        let conditions = vec![(self.keys.holder.clone(), self.revision)];
        let puts = vec![(self.keys.last.clone(), encode_last(&leader.identity(), true), 0)];
        let committed = leader.context().store.commit(&Commit { conditions, puts }).await;
        // A call that was not answered is repeated after the next renewal.
        self.is_wait_recorded = committed.is_ok_and(|committed| {
            matches!(committed.content, CommitResult::Committed(_) | CommitResult::Conflict)
        });
    }
}

/// Renews the lease at the store, and also through peers if the store does not answer this node
/// soon. `None` if neither succeeded.
async fn renew(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    let via_peers = async {
        clock::sleep(PEER_RENEWAL_DELAY).await;
        renew_via_peers(leader, lease).await
    };
    match select(pin!(renew_directly(leader, lease)), pin!(via_peers)).await {
        Either::Left((None, via_peers)) => via_peers.await,
        Either::Right((None, direct)) => direct.await,
        Either::Left((renewal, _)) | Either::Right((renewal, _)) => renewal,
    }
}

async fn renew_directly(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    let sent = leader.now();
    let is_extended = leader.context().store.renew_lease(lease).await.ok()?;
    Some(Renewal { is_extended, sent })
}

async fn renew_via_peers(leader: &Leader, lease: StoreLease) -> Option<Renewal> {
    for peer in leader.peers_reaching_store().await {
        let sent = leader.now();
        if let Ok(is_extended) = renew_via_peer(peer, lease).await {
            return Some(Renewal { is_extended, sent });
        }
    }
    None
}
