//! Servers of the fleet, as the registry in the store tells of them.

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
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Names of its adapters that the server holds.
    pub adapters: Vec<String>,
}

/// Name of one incarnation of a server: its identifier, and when the process began,
/// if the server tells that. A server may start again under the identifier it had; it
/// then holds nothing, and no order, count or connection of before is its own.
pub fn incarnation_name(id: &str, started_unix_ms: Option<u64>) -> Arc<str> {
    match started_unix_ms {
        Some(started_unix_ms) => format!("{id}@{started_unix_ms}").into(),
        None => id.into(),
    }
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Identifier of the server, by which it is addressed. No two servers have the
    /// same, but a server may start again under the one it had.
    pub id: Arc<str>,
    /// When the process began, in Unix milliseconds; none where it does not tell.
    pub started_unix_ms: Option<u64>,
    /// Name of the incarnation ([`incarnation_name`]): what is known of a server is
    /// kept under this name.
    pub incarnation: Arc<str>,
    /// Service that it belongs to.
    pub service: String,
    /// Address; another server may get it later.
    pub address: SocketAddrV4,
    /// Zone that it stands in.
    pub zone: String,
    /// Version of its software.
    pub software: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Models in its accelerators' memory.
    pub models: Vec<LoadedModel>,
    /// Models whose weights it keeps in host memory.
    pub in_host_memory: Vec<String>,
    /// Models whose weights it keeps on disk.
    pub on_disk: Vec<String>,
    /// Time until it is gone, if it told one.
    pub remaining: Option<Duration>,
    /// Counts what the process has written of itself.
    pub write_number: u64,
}

/// A server's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Revision of its last change, in the store's era.
    pub revision: u64,
    /// Revision at which it was created, in the store's era.
    pub create_revision: u64,
    /// What it tells.
    pub record: Arc<ServerRecord>,
}

impl ServerRecord {
    /// Whether this entry tells of a later process than another one, which was made
    /// before it where either does not tell when its process began.
    pub fn is_later_than(&self, other: &ServerRecord, was_made_later: bool) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(started_unix_ms), Some(other)) if started_unix_ms != other => {
                started_unix_ms > other
            }
            _ => was_made_later,
        }
    }

    /// The model, if the server holds it.
    pub fn loaded_model(&self, model: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|held| held.name == model)
    }
}
