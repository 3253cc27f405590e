//! Keeps in the store which content and which parts of prompts are quarantined, so that a fleet whose
//! nodes are all restarted does not lose servers again until they are quarantined once more.
//!
//! The node that observed the last crash, or the leader, writes one key with a lease for each
//! of them. A starting process reads the keys once, and a node that no longer
//! hears from most of the others reads them after each crash that it observes. Otherwise, each
//! of several partitioned nodes would lose three servers. Among other nodes, heartbeats are
//! faster and also work while the store is unavailable.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{Fingerprint, PartId, QUARANTINE_LIFETIME};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};

use super::ControlContext;
use crate::clock;
use crate::dialect::{Commit, CommitResult};
use crate::quarantine::QuarantineBoard;
use crate::store::{StoreError, StoreLease};

/// Prefix of all keys, which are read by one call.
const KEY_PREFIX: &str = "cometmoor/quarantine";
/// Prefix of the keys of contents; the fingerprint follows, in hexadecimal.
const CONTENT_PREFIX: &str = "cometmoor/quarantine/";
/// Prefix of the keys of parts; the identifier follows, in hexadecimal.
const PART_PREFIX: &str = "cometmoor/quarantine-parts/";
/// Interval between two synchronizations. If all nodes of a fleet are killed within it, the
/// fleet has lost three servers and loses three more.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// What a key stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Content(Fingerprint),
    Part(PartId),
}

impl Entry {
    fn key(self) -> String {
        match self {
            Entry::Content(content) => format!("{CONTENT_PREFIX}{content}"),
            Entry::Part(part) => format!("{PART_PREFIX}{part}"),
        }
    }

    fn parse(key: &str) -> Option<Entry> {
        let number = |hex| u64::from_str_radix(hex, 16).ok();
        if let Some(hex) = key.strip_prefix(CONTENT_PREFIX) {
            return number(hex).map(|content| Entry::Content(Fingerprint(content)));
        }
        number(key.strip_prefix(PART_PREFIX)?).map(|part| Entry::Part(PartId(part)))
    }

    fn restore(self, quarantine: &QuarantineBoard) {
        match self {
            Entry::Content(content) => quarantine.restore(content),
            Entry::Part(part) => quarantine.parts.restore(part),
        }
    }

    fn note_stored(self, quarantine: &QuarantineBoard) {
        match self {
            Entry::Content(content) => quarantine.note_stored(content),
            Entry::Part(part) => quarantine.parts.note_stored(part),
        }
    }

    fn is_quarantined(self, quarantine: &QuarantineBoard) -> bool {
        match self {
            Entry::Content(content) => quarantine.is_quarantined(content),
            Entry::Part(part) => quarantine.parts.quarantined_of(&[part]).is_some(),
        }
    }

    /// What the store does not hold yet and this node has to write.
    fn unstored(quarantine: &QuarantineBoard, leads: bool) -> Vec<Entry> {
        let contents = quarantine.unstored(leads).into_iter().map(Entry::Content);
        contents.chain(quarantine.parts.unstored(leads).into_iter().map(Entry::Part)).collect()
    }
}

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
    leases: HashMap<Entry, StoreLease>,
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
            self.context.quarantine.parts.clear_stored();
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
            match Entry::parse(key) {
                Some(entry) => entry.restore(&self.context.quarantine),
                None => warn!("[quarantine] invalid key in the store", kv: { peer = &**key }),
            }
        }
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let leads = self.context.board.fleet.load().leads;
        for entry in Entry::unstored(&self.context.quarantine, leads) {
            let lease = self.context.store.grant_lease(QUARANTINE_LIFETIME).await?;
            let puts = vec![(entry.key(), b"quarantined".to_vec(), lease.id)];
            let commit = Commit { conditions: Vec::new(), puts };
            if let CommitResult::Committed(_) = self.context.store.commit(&commit).await?.content {
                entry.note_stored(&self.context.quarantine);
                self.leases.insert(entry, lease);
            }
        }
        self.revoke_leases_of_cleared().await
    }

    async fn revoke_leases_of_cleared(&mut self) -> Result<(), StoreError> {
        let quarantine = &self.context.quarantine;
        let cleared = self.leases.iter().filter(|(entry, _)| !entry.is_quarantined(quarantine));
        let cleared: Vec<(Entry, StoreLease)> =
            cleared.map(|(entry, lease)| (*entry, *lease)).collect();
        for (entry, lease) in cleared {
            self.context.store.revoke_lease(lease).await?;
            self.leases.remove(&entry);
        }
        Ok(())
    }
}
