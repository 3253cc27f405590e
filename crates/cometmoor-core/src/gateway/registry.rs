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
    /// Version of its software.
    pub software: String,
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
