//! Servers of the fleet as recorded in the registry of the store.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new work.
    Ready,
    /// It is about to leave and must not get new work.
    Draining,
}

/// A model that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: String,
    /// Names of its adapters that the server has loaded.
    pub adapters: Vec<String>,
}

/// Name of one incarnation of a server: its identifier, and the start time of its process if
/// the server reports one. A server may restart under the same identifier. It then has nothing
/// loaded, and the orders, counts and connections of the previous incarnation do not apply to
/// it.
pub fn incarnation_name(id: &str, started_unix_ms: Option<u64>) -> Arc<str> {
    match started_unix_ms {
        Some(started_unix_ms) => format!("{id}@{started_unix_ms}").into(),
        None => id.into(),
    }
}

/// Identifies a software version of a service. What two versions write to a stream does not fit
/// together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareHash(pub u64);

impl SoftwareHash {
    /// Hashes the names of the service and of the version.
    pub fn of(service: &str, version: &str) -> SoftwareHash {
        let mut hash = Xxh3::new();
        hash.update(service.as_bytes());
        hash.update(&[0]);
        hash.update(version.as_bytes());
        SoftwareHash(hash.digest())
    }
}

/// One incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Identifier by which the server is addressed. It is unique among running servers, but a
    /// server may restart under the same identifier.
    pub id: Arc<str>,
    /// Start time of the process, in Unix milliseconds; `None` if the server does not report
    /// it.
    pub started_unix_ms: Option<u64>,
    /// Name of the incarnation ([`incarnation_name`]), the key for all state that is kept about
    /// a server.
    pub incarnation: Arc<str>,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address, which another server may use later.
    pub address: SocketAddrV4,
    /// Zone that it runs in.
    pub zone: String,
    /// Version of its software.
    pub software: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Models loaded into the memory of its accelerators.
    pub models: Vec<LoadedModel>,
    /// Names of the models whose weights are in host memory.
    pub in_host_memory: Vec<String>,
    /// Names of the models whose weights are on disk.
    pub on_disk: Vec<String>,
    /// Time until it terminates; `None` if it has not announced that.
    pub remaining: Option<Duration>,
    /// Number of times that the process has written its record; later records have greater
    /// numbers.
    pub write_number: u64,
}

/// A server's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Revision of its last change, in the era of the store.
    pub revision: u64,
    /// Revision at which it was created, in the era of the store.
    pub create_revision: u64,
    /// Content of the entry.
    pub record: Arc<ServerRecord>,
}

impl ServerRecord {
    /// Identifies the version of its software.
    pub fn software_hash(&self) -> SoftwareHash {
        SoftwareHash::of(&self.service, &self.software)
    }

    /// Whether this record is of a later process than `other`. If either does not report the
    /// start time of its process, `was_created_later` decides: whether this record was created
    /// after the other one.
    pub fn is_later_than(&self, other: &ServerRecord, was_created_later: bool) -> bool {
        match (self.started_unix_ms, other.started_unix_ms) {
            (Some(started_unix_ms), Some(other)) if started_unix_ms != other => {
                started_unix_ms > other
            }
            _ => was_created_later,
        }
    }

    /// The loaded model with this name; `None` if the server has not loaded it.
    pub fn loaded_model(&self, model: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|loaded| loaded.name == model)
    }
}
