//! The planner's role: a key in the configuration store that is bound to a lease.

use std::time::Duration;

use crate::store::layout::Layout;
use crate::store::{Compare, ConfigurationStore, LeaseId, StoreError, TransactionResult, Write};
use cometmoor_core::time::BootInstant;
use cometmoor_gateway::clock;

/// Number of renewals within the lifetime of a lease.
const RENEWALS_PER_LEASE: u32 = 4;
/// Fraction of the lease's lifetime, counted from the latest renewal, after which the
/// holder stops on its own, before the lease expires in the store.
const USABLE_LEASE_FRACTION: f64 = 0.75;

/// The planner's role as this node last acquired it.
#[derive(Debug)]
pub struct PlannerRole {
    lease: LeaseId,
    epoch: u64,
    lifetime: Duration,
    /// When the latest successful grant or renewal was requested.
    renewed_at: BootInstant,
    lost: bool,
}

impl PlannerRole {
    /// Tries to acquire the role; none if another node holds it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or rejects a call.
    pub async fn acquire(
        store: &impl ConfigurationStore,
        layout: &Layout,
        node: &str,
        lifetime: Duration,
    ) -> Result<Option<PlannerRole>, StoreError> {
        let key = layout.planner_role();
        // The role is usually held by another node, so it is read before anything is written.
        if !store.range(&key).await?.items.is_empty() {
            return Ok(None);
        }
        let renewed_at = clock::now();
        let lease = store.grant_lease(lifetime.as_secs().max(1)).await?;
        let compare = Compare { key: key.clone(), modified_revision: 0 };
        let put = Write::Put { key, value: node.as_bytes().to_vec(), lease: Some(lease) };
        match store.transact(&[compare], &[put]).await {
            Ok(TransactionResult::Committed { revision }) => {
                Ok(Some(PlannerRole { lease, epoch: revision, lifetime, renewed_at, lost: false }))
            }
            Ok(TransactionResult::Conflict) => {
                store.revoke(lease).await?;
                Ok(None)
            }
            // The role may be bound to this lease now. It is not renewed, so both expire.
            Err(error) => Err(error),
        }
    }

    /// Revision of the store at which the role was acquired.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the role is not known to be lost and, by this node's clock, its lease cannot
    /// have expired.
    pub fn is_held(&self) -> bool {
        !self.lost && clock::elapsed(self.renewed_at) < self.lifetime.mul_f64(USABLE_LEASE_FRACTION)
    }

    /// Records that another node has taken the role over.
    pub fn mark_lost(&mut self) {
        self.lost = true;
    }

    /// Renews the lease if a renewal is due, and returns whether the role is still held.
    pub async fn renew_if_due(&mut self, store: &impl ConfigurationStore) -> bool {
        if clock::elapsed(self.renewed_at) < self.lifetime / RENEWALS_PER_LEASE {
            return self.is_held();
        }
        let sent_at = clock::now();
        match store.keep_alive(self.lease).await {
            Ok(true) => self.renewed_at = sent_at,
            Ok(false) => self.lost = true,
            // Without an answer, the lease remains valid until it expires.
            Err(_) => {}
        }
        self.is_held()
    }

    /// Releases the role, so that another node need not wait for the lease to expire.
    pub async fn release(self, store: &impl ConfigurationStore) {
        // If the call fails, the lease expires without it.
        let _ = store.revoke(self.lease).await;
    }
}
