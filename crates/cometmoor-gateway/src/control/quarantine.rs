//! Keeps in the store which contents are quarantined, so that a fleet whose nodes all
//! start again does not lose servers to learn it once more.
//!
//! The leading node writes, one key with a lease for each content; a process that starts
//! reads them once. Between running nodes heartbeats are faster, and go on while the store
//! is away.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use cometmoor_core::gateway::quarantine::{Fingerprint, QUARANTINE_LIFETIME};
use spdlog::{info, warn};

use super::ControlContext;
use crate::clock;
use crate::dialect::{Commit, Committed};
use crate::store::StoreError;

/// Prefix of the keys; the content's fingerprint follows, in hex.
const PREFIX: &str = "cometmoor/quarantine/";
/// Pause between two looks. A fleet that is killed within it has lost three servers and
/// loses three more.
const LOOK: Duration = Duration::from_millis(500);

/// Starts the task.
pub fn start(context: &Rc<ControlContext>) {
    let keeper = Keeper { context: context.clone(), leases: HashMap::new() };
    actix_rt::spawn(keeper.run());
}

struct Keeper {
    context: Rc<ControlContext>,
    /// Leases of the keys that this process has written.
    leases: HashMap<Fingerprint, u64>,
}

impl Keeper {
    async fn run(mut self) {
        // A fleet that starts for the first time has written nothing.
        let mut is_read = self.context.settings.fresh_fleet;
        let mut was_answered = true;
        loop {
            let step = match is_read {
                false => self.read().await.map(|()| is_read = true),
                true if self.context.board.fleet.load().leads => self.write().await,
                true => Ok(()),
            };
            if let (Err(error), true) = (&step, was_answered) {
                let reason = error.to_string();
                info!("[quarantine] the store does not answer; tried again", kv: { step = "store", reason });
            }
            was_answered = step.is_ok();
            clock::sleep(LOOK).await;
        }
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
        for content in self.context.quarantine.unstored() {
            let lease = self.context.store.grant_lease(QUARANTINE_LIFETIME).await?;
            let puts = vec![(format!("{PREFIX}{content}"), b"quarantined".to_vec(), lease.id)];
            let commit = Commit { conditions: Vec::new(), puts };
            if let Committed::Done(_) = self.context.store.commit(&commit).await? {
                self.context.quarantine.note_stored(content);
                self.leases.insert(content, lease.id);
            }
        }
        self.end_leases_of_cleared().await
    }

    async fn end_leases_of_cleared(&mut self) -> Result<(), StoreError> {
        let quarantine = &self.context.quarantine;
        let cleared =
            self.leases.iter().filter(|(content, _)| !quarantine.is_quarantined(**content));
        let cleared: Vec<(Fingerprint, u64)> = cleared.map(|(key, id)| (*key, *id)).collect();
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
