//! Servers of the fleet, as the registry in the store tells of them.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// A model that a server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldModel {
    /// Name of the model.
    pub name: String,
    /// Names of its adapters that the server holds.
    pub adapters: Vec<String>,
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Identifier of the incarnation, found nowhere else.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: String,
    /// Address; another server may get it later.
    pub address: SocketAddrV4,
    /// Zone that it stands in.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Models in its accelerators' memory.
    pub models: Vec<HeldModel>,
    /// Models whose weights it keeps in host memory.
    pub in_host_memory: Vec<String>,
    /// Models whose weights it keeps on disk.
    pub on_disk: Vec<String>,
    /// Time until it is gone, if it told one.
    pub remaining: Option<Duration>,
}

impl ServerRecord {
    /// The model, if the server holds it.
    pub fn held(&self, model: &str) -> Option<&HeldModel> {
        self.models.iter().find(|held| held.name == model)
    }
}

/// What changed in the registry.
#[derive(Clone, Debug, PartialEq)]
pub enum RegistryChange {
    /// A server was written.
    Written(Arc<ServerRecord>),
    /// A server's entry is gone.
    Gone(Arc<str>),
}

/// Servers by identifier, with the store's revision of each entry.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    servers: BTreeMap<Arc<str>, (u64, Arc<ServerRecord>)>,
}

impl Registry {
    /// Takes a change with the revision that the store gave it; an older one
    /// than the entry's is left out. Tells whether anything changed.
    pub fn apply(&mut self, revision: u64, change: RegistryChange) -> bool {
        match change {
            RegistryChange::Written(record) => {
                let known = self.servers.get(&record.id);
                if known.is_some_and(|(known, _)| *known >= revision) {
                    return false;
                }
                self.servers.insert(record.id.clone(), (revision, record));
                true
            }
            RegistryChange::Gone(id) => {
                let known = self.servers.get(&id);
                if known.is_none_or(|(known, _)| *known > revision) {
                    return false;
                }
                self.servers.remove(&id);
                true
            }
        }
    }

    /// Replaces everything by a full read of the store. Tells which servers
    /// are gone by it.
    pub fn replace(&mut self, entries: Vec<(u64, Arc<ServerRecord>)>) -> Vec<Arc<str>> {
        let fresh: BTreeMap<_, _> = entries
            .into_iter()
            .map(|(revision, record)| (record.id.clone(), (revision, record)))
            .collect();
        let gone = self.servers.keys().filter(|id| !fresh.contains_key(*id)).cloned().collect();
        self.servers = fresh;
        gone
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<ServerRecord>> {
        self.servers.values().map(|(_, record)| record)
    }

    /// A server by its identifier.
    pub fn get(&self, id: &str) -> Option<&Arc<ServerRecord>> {
        self.servers.get(id).map(|(_, record)| record)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
