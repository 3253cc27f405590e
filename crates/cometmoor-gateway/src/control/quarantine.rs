//! Keeps in the store which contents are quarantined, so that a fleet whose nodes all
//! start again does not lose servers to learn it once more.
//!
//! The node that saw the last crash writes, or the leading node, one key with a lease for
//! each content. A process that starts reads them once, and a node that has lost sight of
//! most others reads them after each crash that it sees: else each of several that are cut
//! off would lose three servers. Between other nodes heartbeats are faster, and go on while
//! the store is away.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{Fingerprint, QUARANTINE_LIFETIME};
use cometmoor_core::gateway::store_position::StoreEra;
use cometmoor_core::time::Timestamp;
use spdlog::{info, warn};

use super::ControlContext;
use crate::clock;
use crate::dialect::{Commit, Committed};
use crate::store::{StoreError, StoreLease};

/// Prefix of the keys; the content's fingerprint follows, in hex.
const PREFIX: &str = "cometmoor/quarantine/";
/// Pause between two looks. A fleet that is killed within it has lost three servers and
/// loses three more.
const LOOK: Duration = Duration::from_millis(500);

/// Starts the task.
pub fn start(context: &Rc<ControlContext>) {
    let keeper =
        Keeper { context: context.clone(), leases: HashMap::new(), era: StoreEra::default() };
    actix_rt::spawn(keeper.run());
}

struct Keeper {
    context: Rc<ControlContext>,
    /// Leases of the keys that this process has written.
    leases: HashMap<Fingerprint, StoreLease>,
    /// Era of the store in which they were written.
    era: StoreEra,
}

impl Keeper {
    async fn run(mut self) {
        // A fleet that starts for the first time has written nothing.
        let mut last_read = self.context.settings.fresh_fleet.then(clock::timestamp);
        let mut was_answered = true;
        loop {
            self.note_era();
            let now = clock::timestamp();
            let step = match last_read.is_none_or(|read| self.lacks_verdicts(read)) {
                true => self.read().await.map(|()| last_read = Some(now)),
                false => self.write().await,
            };
            if let (Err(error), true) = (&step, was_answered) {
                let reason = error.to_string();
                info!("[quarantine] the store does not answer; tried again", kv: { step = "store", reason });
            }
            was_answered = step.is_ok();
            clock::sleep(LOOK).await;
        }
    }

    /// Writes again what a restored store may have lost.
    fn note_era(&mut self) {
        let newest = self.context.store.eras().newest();
        if self.era < newest {
            self.era = newest;
            self.leases.clear();
            self.context.quarantine.clear_stored();
        }
    }

    /// Whether this node has seen a crash since it last read, and hears less than half of
    /// the nodes that were there lately.
    fn lacks_verdicts(&self, last_read: Timestamp) -> bool {
        let fleet = self.context.board.fleet.load();
        let is_cut_off = fleet.nodes_seen <= 1 || 2 * fleet.nodes_heard < fleet.nodes_seen;
        is_cut_off && self.context.quarantine.last_blamed() > Some(last_read)
    }

    async fn read(&self) -> Result<(), StoreError> {
        let stored = self.context.store.read(PREFIX).await?;
        for key in stored.items.keys() {
            match parse_key(key) {
                Some(content) => self.context.quarantine.restore(content),
                None => warn!("[quarantine] a key names no content", kv: { peer = &**key }),
            }
        }
        Ok(())
    }

    async fn write(&mut self) -> Result<(), StoreError> {
        let leads = self.context.board.fleet.load().leads;
        for content in self.context.quarantine.unstored(leads) {
            let lease = self.context.store.grant_lease(QUARANTINE_LIFETIME).await?;
            let puts = vec![(format!("{PREFIX}{content}"), b"quarantined".to_vec(), lease.id)];
            let commit = Commit { conditions: Vec::new(), puts };
            if let Committed::Done(_) = self.context.store.commit(&commit).await?.content {
                self.context.quarantine.note_stored(content);
                self.leases.insert(content, lease);
            }
        }
        self.end_leases_of_cleared().await
    }

    async fn end_leases_of_cleared(&mut self) -> Result<(), StoreError> {
        let quarantine = &self.context.quarantine;
        let cleared =
            self.leases.iter().filter(|(content, _)| !quarantine.is_quarantined(**content));
        let cleared: Vec<(Fingerprint, StoreLease)> =
            cleared.map(|(content, lease)| (*content, *lease)).collect();
        for (content, lease) in cleared {
            self.context.store.end_lease(lease).await?;
            self.leases.remove(&content);
        }
        Ok(())
    }
}

fn parse_key(key: &str) -> Option<Fingerprint> {
    let hex = key.strip_prefix(PREFIX)?;
    u64::from_str_radix(hex, 16).ok().map(Fingerprint)
}
