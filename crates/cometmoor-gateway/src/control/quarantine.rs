//! Keeps in the store which content is quarantined, so that a fleet whose nodes are all
//! restarted does not lose servers again until the content is quarantined once more.
//!
//! The node that observed the last crash, or the leader, writes one key with a lease for each
//! quarantined content. A starting process reads the keys once, and a node that no longer
//! hears from most of the others reads them after each crash that it observes. Otherwise, each
//! of several partitioned nodes would lose three servers. Among other nodes, heartbeats are
//! faster and also work while the store is unavailable.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{Fingerprint, QUARANTINE_LIFETIME};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};

use super::ControlContext;
use crate::clock;
use crate::dialect::{Commit, CommitResult};
use crate::store::{StoreError, StoreLease};

/// Prefix of the keys; the content's fingerprint follows, in hexadecimal.
const KEY_PREFIX: &str = "cometmoor/quarantine/";
/// Interval between two synchronizations. If all nodes of a fleet are killed within it, the
/// fleet has lost three servers and loses three more.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the task that synchronizes the quarantine with the store.
pub fn start(context: &Rc<ControlContext>) {
    let task = QuarantineSync {
        context: context.clone(),
        leases: HashMap::new(),
        era: StoreEra::default(),
    };
    actix_rt::spawn(task.run());
}

struct QuarantineSync {
    context: Rc<ControlContext>,
    /// Leases of the keys that this process has written.
    leases: HashMap<Fingerprint, StoreLease>,
    /// Era of the store in which they were written.
    era: StoreEra,
}

impl QuarantineSync {
    async fn run(mut self) {
        // A fleet that starts for the first time has not written any keys.
        let mut last_read = self.context.settings.fresh_fleet.then(clock::timestamp);
        let mut has_succeeded = true;
        loop {
            self.check_era();
            let now = clock::timestamp();
            let result = match last_read.is_none_or(|read| self.may_lack_verdicts(read)) {
                true => self.read().await.map(|()| last_read = Some(now)),
                false => self.write().await,
            };
            if let (Err(error), true) = (&result, has_succeeded) {
                let reason = error.to_string();
                info!("[quarantine] store call failed; retrying", kv: { step = "store", reason });
            }
            has_succeeded = result.is_ok();
            clock::sleep(SYNC_INTERVAL).await;
        }
    }

    /// In a new era of the store, schedules everything to be written again, because a restored
    /// store may have lost it.
    fn check_era(&mut self) {
        let newest = self.context.store.eras().newest();
        if self.era < newest {
            self.era = newest;
            self.leases.clear();
            self.context.quarantine.clear_stored();
        }
    }

    /// Whether this node has observed a crash since it last read the keys, and hears from less
    /// than half of the recent nodes, so that it may not know of crashes at others.
    fn may_lack_verdicts(&self, last_read: Timestamp) -> bool {
        let fleet = self.context.board.fleet.load();
        let is_partitioned = fleet.recent_nodes <= 1 || 2 * fleet.live_nodes < fleet.recent_nodes;
        is_partitioned && self.context.quarantine.last_blamed() > Some(last_read)
    }

    async fn read(&self) -> Result<(), StoreError> {
        let stored = self.context.store.read(KEY_PREFIX).await?;
        for key in stored.items.keys() {
            match parse_key(key) {
                Some(content) => self.context.quarantine.restore(content),
                None => warn!("[quarantine] invalid key in the store", kv: { peer = &**key }),
            }
        }
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let leads = self.context.board.fleet.load().leads;
        for content in self.context.quarantine.unstored(leads) {
            let lease = self.context.store.grant_lease(QUARANTINE_LIFETIME).await?;
            let puts = vec![(format!("{KEY_PREFIX}{content}"), b"quarantined".to_vec(), lease.id)];
            let commit = Commit { conditions: Vec::new(), puts };
            if let CommitResult::Committed(_) = self.context.store.commit(&commit).await?.content {
                self.context.quarantine.note_stored(content);
                self.leases.insert(content, lease);
            }
        }
        self.revoke_leases_of_cleared().await
    }

    async fn revoke_leases_of_cleared(&mut self) -> Result<(), StoreError> {
        let quarantine = &self.context.quarantine;
        let cleared =
            self.leases.iter().filter(|(content, _)| !quarantine.is_quarantined(**content));
        let cleared: Vec<(Fingerprint, StoreLease)> =
            cleared.map(|(content, lease)| (*content, *lease)).collect();
        for (content, lease) in cleared {
            self.context.store.revoke_lease(lease).await?;
            self.leases.remove(&content);
        }
        Ok(())
    }
}

fn parse_key(key: &str) -> Option<Fingerprint> {
    let hex = key.strip_prefix(KEY_PREFIX)?;
    u64::from_str_radix(hex, 16).ok().map(Fingerprint)
}
