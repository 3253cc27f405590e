//! Which servers there are while a store that came back from an older copy has not been
//! written again.
//!
//! The copy lacks the servers that registered after it was made, has others again that have
//! ended, and tells of some what was true earlier. Live servers write their entries again
//! within two seconds, and the entries of ended ones run out. Until then what was known
//! before is not unlearned only because the store no longer has it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::registry::{ServerEntry, ServerState};
use crate::time::BootInstant;

/// Time within which operators, and live servers that reach the store, have written again
/// what a restored store has lost: two seconds, as the platform promises, and a quarter of
/// that.
pub const REWRITE_WINDOW: Duration = Duration::from_millis(2500);
/// Heartbeats of silence after which the store drops a server's entry, and one more.
const HEARTBEATS_OF_ENDED_SERVER: u32 = 4;
/// Time for which a server that has gone is remembered: more than a copy is old.
const GONE_REMEMBERED_FOR: Duration = Duration::from_secs(120);
/// Servers that have gone and are remembered: all of the largest fleet, six times over.
const MOST_GONE: usize = 4096;

/// Servers by incarnation.
pub type ServersByIncarnation = HashMap<Arc<str>, ServerEntry>;

/// What was known before the restore.
#[derive(Clone, Debug)]
struct Restore {
    /// When this node learned of it.
    at: BootInstant,
    /// Revision of the first copy of the new era that this node took.
    first_revision: u64,
    /// Servers that there were.
    before: ServersByIncarnation,
}

/// Remembers which servers there were, for the case that the store is restored.
#[derive(Clone, Debug)]
pub struct RestoredRegistry {
    ended_entry_lasts: Duration,
    gone: HashMap<Arc<str>, BootInstant>,
    restore: Option<Restore>,
}

/// Which servers there are, by the store and by what was known before it was restored.
#[derive(Clone, Debug, Default)]
pub struct EffectiveServers {
    /// The servers.
    pub servers: ServersByIncarnation,
    /// Servers that are leaving, though the restored store says that they are ready.
    pub still_leaving: Vec<Arc<str>>,
    /// Number of servers that the store has lost.
    pub unwritten: usize,
    /// Number of entries of servers that had gone before the restore.
    pub passed_over: usize,
}

impl RestoredRegistry {
    /// For servers that write to the store so often.
    pub fn new(heartbeat: Duration) -> RestoredRegistry {
        RestoredRegistry {
            ended_entry_lasts: heartbeat * HEARTBEATS_OF_ENDED_SERVER,
            gone: HashMap::new(),
            restore: None,
        }
    }

    /// Notes that the store was restored; the first copy of its new era is of a revision.
    pub fn note_restore(
        &mut self,
        before: ServersByIncarnation,
        first_revision: u64,
        now: BootInstant,
    ) {
        self.restore = Some(Restore { at: now, first_revision, before });
    }

    /// Notes that servers are not there any more.
    pub fn note_removed<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Arc<str>>,
        now: BootInstant,
    ) {
        self.gone.retain(|_, since| now.since(*since) < GONE_REMEMBERED_FOR);
        let room = MOST_GONE.saturating_sub(self.gone.len());
        self.gone.extend(servers.take(room).map(|server| (server.clone(), now)));
    }

    /// Whether what is believed changes with time.
    pub fn awaits_rewrites(&self) -> bool {
        self.restore.is_some()
    }

    /// Which servers there are, by the entries in the store. `ended` are the identifiers whose
    /// entries have gone since it was restored.
    pub fn effective_servers(
        &mut self,
        entries: ServersByIncarnation,
        ended: &HashSet<&str>,
        now: BootInstant,
    ) -> EffectiveServers {
        let longest = self.ended_entry_lasts.max(REWRITE_WINDOW);
        self.restore.take_if(|restore| now.since(restore.at) >= longest);
        let Some(restore) = &self.restore else {
            return EffectiveServers { servers: entries, ..EffectiveServers::default() };
        };
        let mut believed = EffectiveServers::default();
        for (incarnation, entry) in entries {
            if self.is_of_ended_server(restore, &incarnation, &entry, now) {
                believed.passed_over += 1;
                continue;
            }
            let before = restore.before.get(&incarnation);
            if before.is_some_and(|before| is_taken_back(&before.record.state, &entry)) {
                believed.still_leaving.push(incarnation.clone());
            }
            believed.servers.insert(incarnation, newer_of(before, entry));
        }
        believed.unwritten = restore.add_unwritten(&mut believed.servers, ended, now);
        believed
    }

    /// Whether an entry is one that had gone and is there again only by the restore.
    fn is_of_ended_server(
        &self,
        restore: &Restore,
        incarnation: &Arc<str>,
        entry: &ServerEntry,
        now: BootInstant,
    ) -> bool {
        self.gone.contains_key(incarnation)
            && entry.revision <= restore.first_revision
            && now.since(restore.at) < self.ended_entry_lasts
    }
}

impl Restore {
    /// Adds the servers that the store has lost and that may not have written again yet;
    /// returns their number.
    fn add_unwritten(
        &self,
        servers: &mut ServersByIncarnation,
        ended: &HashSet<&str>,
        now: BootInstant,
    ) -> usize {
        if now.since(self.at) >= REWRITE_WINDOW {
            return 0;
        }
        let lost: Vec<_> = self
            .before
            .iter()
            .filter(|(incarnation, _)| !servers.contains_key(*incarnation))
            .filter(|(_, before)| !ended.contains(&*before.record.id))
            .filter(|(_, before)| !self.is_replaced(before, servers))
            .collect();
        let count = lost.len();
        for (incarnation, before) in lost {
            // An entry of the copy at the same address is of the server before this one.
            servers.retain(|_, entry| entry.record.address != before.record.address);
            servers.insert(incarnation.clone(), before.clone());
        }
        count
    }

    /// Whether another server has a lost one's identifier or address now.
    fn is_replaced(&self, lost: &ServerEntry, servers: &ServersByIncarnation) -> bool {
        servers.values().any(|entry| {
            let record = &entry.record;
            let is_written_since = entry.revision > self.first_revision;
            let is_in_its_place =
                record.id == lost.record.id || record.address == lost.record.address;
            is_in_its_place && record.is_later_than(&lost.record, is_written_since)
        })
    }
}

/// Whether the entry of a server that was leaving says that it is ready.
fn is_taken_back(before: &ServerState, entry: &ServerEntry) -> bool {
    *before == ServerState::Draining && entry.record.state == ServerState::Ready
}

/// The entry with the later of two records of one incarnation.
fn newer_of(before: Option<&ServerEntry>, entry: ServerEntry) -> ServerEntry {
    match before {
        Some(before) if before.record.write_number > entry.record.write_number => {
            ServerEntry { record: before.record.clone(), ..entry }
        }
        _ => entry,
    }
}
