//! Servers of the fleet after the store was restored from an older backup, until its registry
//! has been written again.
//!
//! The backup lacks servers that registered after it was made, contains servers that have
//! terminated since, and holds outdated records of others. Running servers write their entries
//! again within two seconds, and the entries of terminated ones expire. Until then, what was
//! known before is not discarded only because the store no longer has it.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::registry::{ServerEntry, ServerState};
use crate::time::BootInstant;

/// Time after a restore within which operators and the running servers that reach the store
/// have written again what it lost: the two seconds that the platform guarantees, and a
/// quarter of that as margin.
pub const REWRITE_WINDOW: Duration = Duration::from_millis(2500);
/// Number of missed heartbeats after which the store removes a server's entry, and one more.
const HEARTBEATS_UNTIL_EXPIRY: u32 = 4;
/// Time for which removed servers are remembered. It exceeds the age of a backup.
const REMOVED_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of removed servers that are remembered: six times the largest fleet.
const MAX_REMOVED: usize = 4096;

/// Entries of servers, by the name of the incarnation.
pub type ServersByIncarnation = HashMap<Arc<str>, ServerEntry>;

/// A restore of the store, and the servers known before it.
#[derive(Clone, Debug)]
struct Restore {
    /// When this node learned of the restore.
    at: BootInstant,
    /// Revision of the first copy that this node read in the new era.
    first_revision: u64,
    /// Servers known before the restore.
    before: ServersByIncarnation,
}

/// Determines which servers to use after a restore of the store, from its entries and from what
/// was known before.
#[derive(Clone, Debug)]
pub struct RestoredRegistry {
    entry_expiry: Duration,
    removed: HashMap<Arc<str>, BootInstant>,
    restore: Option<Restore>,
}

/// The servers to use, by the entries in the store and by what was known before its restore.
#[derive(Clone, Debug, Default)]
pub struct EffectiveServers {
    /// Entries of the servers.
    pub servers: ServersByIncarnation,
    /// Servers that were leaving before the restore, although the restored store lists them as
    /// ready.
    pub still_leaving: Vec<Arc<str>>,
    /// Number of servers that the store has lost and that have not been written again.
    pub unwritten: usize,
    /// Number of ignored entries of servers that had been removed before the restore.
    pub passed_over: usize,
}

impl RestoredRegistry {
    /// Creates a registry for servers that write to the store at the given heartbeat interval.
    pub fn new(heartbeat: Duration) -> RestoredRegistry {
        RestoredRegistry {
            entry_expiry: heartbeat * HEARTBEATS_UNTIL_EXPIRY,
            removed: HashMap::new(),
            restore: None,
        }
    }

    /// Records that the store was restored, with the servers known before and the revision of
    /// the first copy of the new era.
    pub fn note_restore(
        &mut self,
        before: ServersByIncarnation,
        first_revision: u64,
        now: BootInstant,
    ) {
        self.restore = Some(Restore { at: now, first_revision, before });
    }

    /// Records servers that have been removed from the registry.
    pub fn note_removed<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a Arc<str>>,
        now: BootInstant,
    ) {
        self.removed.retain(|_, since| now.since(*since) < REMOVED_RETENTION);
        let room = MAX_REMOVED.saturating_sub(self.removed.len());
        self.removed.extend(servers.take(room).map(|server| (server.clone(), now)));
    }

    /// Whether a restore was so recent that the servers to use change with time.
    pub fn awaits_rewrites(&self) -> bool {
        self.restore.is_some()
    }

    /// Returns the servers to use, by the entries in the store. `removed_ids` are the identifiers
    /// whose entries have been removed since it was restored.
    pub fn effective_servers(
        &mut self,
        entries: ServersByIncarnation,
        removed_ids: &HashSet<&str>,
        now: BootInstant,
    ) -> EffectiveServers {
        let longest = self.entry_expiry.max(REWRITE_WINDOW);
        self.restore.take_if(|restore| now.since(restore.at) >= longest);
        let Some(restore) = &self.restore else {
            return EffectiveServers { servers: entries, ..EffectiveServers::default() };
        };
        let mut effective = EffectiveServers::default();
        for (incarnation, entry) in entries {
            if self.is_of_removed_server(restore, &incarnation, &entry, now) {
                effective.passed_over += 1;
                continue;
            }
            let before = restore.before.get(&incarnation);
            if before.is_some_and(|before| is_ready_again(&before.record.state, &entry)) {
                effective.still_leaving.push(incarnation.clone());
            }
            effective.servers.insert(incarnation, with_later_record(before, entry));
        }
        effective.unwritten = restore.add_unwritten(&mut effective.servers, removed_ids, now);
        effective
    }

    /// Whether an entry had been removed and exists again only because of the restore.
    fn is_of_removed_server(
        &self,
        restore: &Restore,
        incarnation: &Arc<str>,
        entry: &ServerEntry,
        now: BootInstant,
    ) -> bool {
        self.removed.contains_key(incarnation)
            && entry.revision <= restore.first_revision
            && now.since(restore.at) < self.entry_expiry
    }
}

impl Restore {
    /// Adds the servers that the store has lost and that may not have been written again yet.
    /// Returns their number.
    fn add_unwritten(
        &self,
        servers: &mut ServersByIncarnation,
        removed_ids: &HashSet<&str>,
        now: BootInstant,
    ) -> usize {
        if now.since(self.at) >= REWRITE_WINDOW {
            return 0;
        }
        let lost: Vec<_> = self
            .before
            .iter()
            .filter(|(incarnation, _)| !servers.contains_key(*incarnation))
            .filter(|(_, before)| !removed_ids.contains(&*before.record.id))
            .filter(|(_, before)| !self.is_replaced(before, servers))
            .collect();
        let count = lost.len();
        for (incarnation, before) in lost {
            // An entry of the backup at the same address is of a server that ran there earlier.
            servers.retain(|_, entry| entry.record.address != before.record.address);
            servers.insert(incarnation.clone(), before.clone());
        }
        count
    }

    /// Whether a later server has taken the identifier or address of a lost one.
    fn is_replaced(&self, lost: &ServerEntry, servers: &ServersByIncarnation) -> bool {
        servers.values().any(|entry| {
            let record = &entry.record;
            let is_written_since_restore = entry.revision > self.first_revision;
            let has_same_id_or_address =
                record.id == lost.record.id || record.address == lost.record.address;
            has_same_id_or_address && record.is_later_than(&lost.record, is_written_since_restore)
        })
    }
}

/// Whether the entry of a server that was leaving lists it as ready again.
fn is_ready_again(before: &ServerState, entry: &ServerEntry) -> bool {
    *before == ServerState::Draining && entry.record.state == ServerState::Ready
}

/// Returns the entry with the later of two records of one incarnation.
fn with_later_record(before: Option<&ServerEntry>, entry: ServerEntry) -> ServerEntry {
    match before {
        Some(before) if before.record.write_number > entry.record.write_number => {
            ServerEntry { record: before.record.clone(), ..entry }
        }
        _ => entry,
    }
}
