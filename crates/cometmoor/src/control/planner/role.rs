//! The planner's role: a key in the store, bound to a lease.

use std::time::Duration;

use crate::store::layout::Layout;
use crate::store::{Compare, ConfigurationStore, LeaseId, StoreError, TransactionResult, Write};
use cometmoor_core::time::BootInstant;
use cometmoor_gateway::clock;

/// Renewals within the lifetime of a lease.
const RENEWALS_PER_LIFETIME: u32 = 4;
/// Part of the lifetime after which the holder stops by itself, before the
/// store lets the lease lapse.
const STOP_AFTER: f64 = 0.75;

/// The role, held by this node as far as it knows.
#[derive(Debug)]
pub struct Role {
    lease: LeaseId,
    epoch: u64,
    lifetime: Duration,
    renewed_at: BootInstant,
    lost: bool,
}

impl Role {
    /// Tries to get the role; none when another node has it.
    pub async fn seek(
        store: &impl ConfigurationStore,
        layout: &Layout,
        node: &str,
        lifetime: Duration,
    ) -> Result<Option<Role>, StoreError> {
        let key = layout.planner_role();
        // Most seekers find the role taken: they read before they write.
        if !store.range(&key).await?.items.is_empty() {
            return Ok(None);
        }
        let renewed_at = clock::now();
        let lease = store.grant_lease(lifetime.as_secs().max(1)).await?;
        let compare = Compare { key: key.clone(), modified_revision: 0 };
        let put = Write::Put { key, value: node.as_bytes().to_vec(), lease: Some(lease) };
        match store.transact(&[compare], &[put]).await {
            Ok(TransactionResult::Committed { revision }) => {
                Ok(Some(Role { lease, epoch: revision, lifetime, renewed_at, lost: false }))
            }
            Ok(TransactionResult::Conflict) => {
                store.revoke(lease).await?;
                Ok(None)
            }
            // The role may be bound to this lease now: without renewal it lapses.
            Err(error) => Err(error),
        }
    }

    /// Revision of the store at which the role was taken.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the lease cannot have lapsed by this node's clock.
    pub fn is_held(&self) -> bool {
        !self.lost && clock::elapsed(self.renewed_at) < self.lifetime.mul_f64(STOP_AFTER)
    }

    /// Notes that another node has the role.
    pub fn lose(&mut self) {
        self.lost = true;
    }

    /// Renews the lease where it is time, and tells whether it is held.
    pub async fn hold(&mut self, store: &impl ConfigurationStore) -> bool {
        if clock::elapsed(self.renewed_at) < self.lifetime / RENEWALS_PER_LIFETIME {
            return self.is_held();
        }
        let asked_at = clock::now();
        match store.keep_alive(self.lease).await {
            Ok(true) => self.renewed_at = asked_at,
            Ok(false) => self.lost = true,
            // Without an answer the lease goes on until it lapses.
            Err(_) => {}
        }
        self.is_held()
    }

    /// Gives the role back, so that another node need not wait for the lease.
    pub async fn give_up(self, store: &impl ConfigurationStore) {
        // On a failure the lease lapses by itself.
        let _ = store.revoke(self.lease).await;
    }
}
