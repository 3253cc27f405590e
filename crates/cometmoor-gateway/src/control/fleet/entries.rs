//! The servers' entries in the store, and which of them name a server to use.

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

/// Most entries whose faults are logged one by one when they come at once.
const MOST_LINES: usize = 16;

/// An entry that names no server to use.
struct IgnoredEntry {
    /// Revision of the entry.
    revision: u64,
    reason: String,
}

/// All entries as they were last read, those of ended servers included.
pub(super) struct ServerEntries {
    /// Era of the store that the revisions below are of.
    era: StoreEra,
    readable: HashMap<String, ServerEntry>,
    ignored: HashMap<String, IgnoredEntry>,
    restored: RestoredRegistry,
}

impl ServerEntries {
    /// No entries, of servers that write theirs so often.
    pub(super) fn new(heartbeat: Duration) -> ServerEntries {
        ServerEntries {
            era: StoreEra::default(),
            readable: HashMap::new(),
            ignored: HashMap::new(),
            restored: RestoredRegistry::new(heartbeat),
        }
    }

    /// Whether what is believed of the servers changes with time.
    pub(super) fn awaits_rewrites(&self) -> bool {
        self.restored.awaits_rewrites()
    }

    /// Tells the servers to use by a copy of the store, and by what was believed until now.
    pub(super) fn believe(
        &mut self,
        copy: &Mirror,
        dialect: &dyn Dialect,
        configuration: Option<&GatewayConfiguration>,
        until_now: &ServersByIncarnation,
    ) -> EffectiveServers {
        let now = clock::now();
        let is_restored = !self.readable.is_empty() && self.era < copy.at.era;
        if is_restored {
            self.restored.note_restore(until_now.clone(), copy.at.revision, now);
        }
        let entries = self.read(copy, dialect, configuration);
        let prefix = dialect.servers_prefix();
        let ended = copy.gone().filter_map(|key| key.strip_prefix(prefix)).collect();
        let believed = self.restored.effective_servers(entries, &ended, now);
        if is_restored {
            log_restore(&believed);
        }
        let gone = until_now.keys().filter(|server| !believed.servers.contains_key(*server));
        self.restored.note_removed(gone, now);
        believed
    }

    /// Reads the entries of a copy of the store; tells the servers to use, by
    /// incarnation. Other writers may leave entries there: one that cannot be read, or
    /// whose service nobody configured, names no server and displaces none. An entry
    /// that was good and no longer is takes its server away until it is good again.
    fn read(
        &mut self,
        copy: &Mirror,
        dialect: &dyn Dialect,
        configuration: Option<&GatewayConfiguration>,
    ) -> ServersByIncarnation {
        let is_configured = |record: &ServerRecord| {
            configuration.is_none_or(|known| known.services.contains_key(&record.service))
        };
        let mut readable = HashMap::with_capacity(copy.items.len());
        let mut ignored = HashMap::new();
        let same_era = self.era == copy.at.era;
        for (key, item) in &copy.items {
            let revision = item.revision;
            let is_same = |known: &&ServerEntry| same_era && known.revision == revision;
            let known = self.readable.get(key).filter(is_same);
            let parsed = match known {
                Some(known) => Ok(known.record.clone()),
                None => dialect.parse_server(key, &item.value).map(Arc::new),
            };
            let reason = match parsed {
                Ok(record) if is_configured(&record) => {
                    let created = item.created;
                    readable.insert(
                        key.clone(),
                        ServerEntry { revision, create_revision: created, record },
                    );
                    continue;
                }
                Ok(record) => format!("service {:?} is not configured", record.service),
                Err(error) => error.to_string(),
            };
            ignored.insert(key.clone(), IgnoredEntry { revision, reason });
        }
        self.log_newly_ignored(&ignored);
        self.ignored = ignored;
        let servers = without_replaced(&readable);
        self.readable = readable;
        self.era = copy.at.era;
        servers
    }

    /// Number of entries that name no server to use.
    pub(super) fn ignored(&self) -> usize {
        self.ignored.len()
    }

    /// One line for each entry when it begins to be ignored, or is written anew.
    fn log_newly_ignored(&self, ignored: &HashMap<String, IgnoredEntry>) {
        let is_new = |(key, entry): &(&String, &IgnoredEntry)| {
            self.ignored.get(*key).is_none_or(|known| known.revision != entry.revision)
        };
        let fresh: Vec<_> = ignored.iter().filter(is_new).collect();
        for (key, entry) in fresh.iter().take(MOST_LINES) {
            let (peer, reason, revision) = (key.as_str(), entry.reason.as_str(), entry.revision);
            warn!("[servers] an entry names no server to use", kv: { step = "parse", peer, revision, reason });
        }
        if fresh.len() > MOST_LINES {
            let entries = fresh.len();
            warn!("[servers] many entries name no server to use", kv: { step = "parse", entries });
        }
    }
}

fn log_restore(believed: &EffectiveServers) {
    let servers = believed.servers.len();
    let (unwritten, passed_over) = (believed.unwritten, believed.passed_over);
    let still_leaving = believed.still_leaving.len();
    info!("[servers] the store was restored; they are taken by what was known before, too", kv: { servers, unwritten, passed_over, still_leaving });
}

/// The servers by incarnation, without those whose address a later one has: they have
/// ended, though their entries have not run out yet.
fn without_replaced(entries: &HashMap<String, ServerEntry>) -> ServersByIncarnation {
    let mut latest: HashMap<SocketAddrV4, &ServerEntry> = HashMap::new();
    for known in entries.values() {
        let holder = latest.entry(known.record.address).or_insert(known);
        if known
            .record
            .is_later_than(&holder.record, known.create_revision > holder.create_revision)
        {
            *holder = known;
        }
    }
    let servers = latest.into_values();
    servers.map(|known| (known.record.incarnation.clone(), known.clone())).collect()
}
