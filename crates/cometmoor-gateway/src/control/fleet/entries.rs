//! The servers' entries in the store, and which of them are valid.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::configuration::GatewayConfiguration;
use cometmoor_core::gateway::registry::{ServerEntry, ServerRecord};
use cometmoor_core::gateway::restored_registry::{
    EffectiveServers, RestoredRegistry, ServersByIncarnation,
};
use cometmoor_core::gateway::store_position::StoreEra;
use spdlog::{info, warn};

use crate::clock;
use crate::dialect::Dialect;
use crate::mirror::Mirror;

/// Maximum number of invalid entries that are logged individually if they appear at once.
const MAX_LINES: usize = 16;

/// An entry that is ignored because it is invalid.
struct IgnoredEntry {
    /// Revision of the entry.
    revision: u64,
    reason: String,
}

/// All entries of the last copy, including those of terminated servers.
pub(super) struct ServerEntries {
    /// Era of the store in which the revisions below were counted.
    era: StoreEra,
    valid: HashMap<String, ServerEntry>,
    ignored: HashMap<String, IgnoredEntry>,
    restored_registry: RestoredRegistry,
}

impl ServerEntries {
    /// Creates an empty set for servers that write their entries at the given heartbeat
    /// interval.
    pub(super) fn new(heartbeat: Duration) -> ServerEntries {
        ServerEntries {
            era: StoreEra::default(),
            valid: HashMap::new(),
            ignored: HashMap::new(),
            restored_registry: RestoredRegistry::new(heartbeat),
        }
    }

    /// Whether a restore of the store was so recent that the servers to use change with time.
    pub(super) fn awaits_rewrites(&self) -> bool {
        self.restored_registry.awaits_rewrites()
    }

    /// Returns the servers to use, by a copy of the store's entries and by the `previous` ones.
    pub(super) fn effective_servers(
        &mut self,
        copy: &Mirror,
        dialect: &dyn Dialect,
        configuration: Option<&GatewayConfiguration>,
        previous: &ServersByIncarnation,
    ) -> EffectiveServers {
        let now = clock::now();
        let is_restored = !self.valid.is_empty() && self.era < copy.position.era;
        if is_restored {
            self.restored_registry.note_restore(previous.clone(), copy.position.revision, now);
        }
        let entries = self.parse(copy, dialect, configuration);
        let prefix = dialect.servers_prefix();
        let removed_ids = copy.removed_keys().filter_map(|key| key.strip_prefix(prefix)).collect();
        let effective = self.restored_registry.effective_servers(entries, &removed_ids, now);
        if is_restored {
            log_restore(&effective);
        }
        let removed = previous.keys().filter(|server| !effective.servers.contains_key(*server));
        self.restored_registry.note_removed(removed, now);
        effective
    }

    /// Parses the entries of a copy of the store and returns the servers by incarnation.
    /// Others may write entries there: one that cannot be parsed, or whose service is not
    /// configured, is ignored and replaces no server. If an entry becomes invalid, its server
    /// is not used until the entry is valid again.
    fn parse(
        &mut self,
        copy: &Mirror,
        dialect: &dyn Dialect,
        configuration: Option<&GatewayConfiguration>,
    ) -> ServersByIncarnation {
        let is_configured = |record: &ServerRecord| {
            configuration.is_none_or(|current| current.services.contains_key(&record.service))
        };
        let mut valid = HashMap::with_capacity(copy.items.len());
        let mut ignored = HashMap::new();
        let is_same_era = self.era == copy.position.era;
        for (key, item) in &copy.items {
            let revision = item.revision;
            let is_unchanged = |entry: &&ServerEntry| is_same_era && entry.revision == revision;
            let unchanged = self.valid.get(key).filter(is_unchanged);
            let parsed = match unchanged {
                Some(entry) => Ok(entry.record.clone()),
                None => dialect.parse_server(key, &item.value).map(Arc::new),
            };
            let reason = match parsed {
                Ok(record) if is_configured(&record) => {
                    let create_revision = item.create_revision;
                    valid.insert(key.clone(), ServerEntry { revision, create_revision, record });
                    continue;
                }
                Ok(record) => format!("service {:?} is not configured", record.service),
                Err(error) => error.to_string(),
            };
            ignored.insert(key.clone(), IgnoredEntry { revision, reason });
        }
        self.log_newly_ignored(&ignored);
        self.ignored = ignored;
        let servers = without_replaced(&valid);
        self.valid = valid;
        self.era = copy.position.era;
        servers
    }

    /// Number of entries that are ignored because they are invalid.
    pub(super) fn ignored_count(&self) -> usize {
        self.ignored.len()
    }

    /// Logs each entry that is newly ignored, or that is ignored and has been written again.
    fn log_newly_ignored(&self, ignored: &HashMap<String, IgnoredEntry>) {
        let is_new = |(key, entry): &(&String, &IgnoredEntry)| {
            self.ignored.get(*key).is_none_or(|previous| previous.revision != entry.revision)
        };
        let new: Vec<_> = ignored.iter().filter(is_new).collect();
        for (key, entry) in new.iter().take(MAX_LINES) {
            let (peer, reason, revision) = (key.as_str(), entry.reason.as_str(), entry.revision);
            warn!("[servers] ignoring an invalid entry", kv: { step = "parse", peer, revision, reason });
        }
        if new.len() > MAX_LINES {
            let entries = new.len();
            warn!("[servers] ignoring many invalid entries", kv: { step = "parse", entries });
        }
    }
}

fn log_restore(effective: &EffectiveServers) {
    let servers = effective.servers.len();
    let (unwritten, passed_over) = (effective.unwritten, effective.passed_over);
    let still_leaving = effective.still_leaving.len();
    info!("[servers] the store was restored; the servers known before are taken into account", kv: { servers, unwritten, passed_over, still_leaving });
}

/// The servers by incarnation, without those whose address a later one has: these have
/// terminated, although their entries have not expired yet.
fn without_replaced(entries: &HashMap<String, ServerEntry>) -> ServersByIncarnation {
    let mut latest: HashMap<SocketAddrV4, &ServerEntry> = HashMap::new();
    for entry in entries.values() {
        let holder = latest.entry(entry.record.address).or_insert(entry);
        if entry
            .record
            .is_later_than(&holder.record, entry.create_revision > holder.create_revision)
        {
            *holder = entry;
        }
    }
    let servers = latest.into_values();
    servers.map(|entry| (entry.record.incarnation.clone(), entry.clone())).collect()
}
