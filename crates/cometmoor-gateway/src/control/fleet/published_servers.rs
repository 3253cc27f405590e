//! The list of servers that is published to the node's other threads.

use std::collections::HashSet;
use std::sync::Arc;

use cometmoor_core::gateway::registry::{ServerRecord, ServerState, SoftwareHash};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::gateway::stream_origins::ServiceHash;

/// The servers in the registry, as leaving if they report that themselves. The state of the fleet is
/// published several times a second and a fleet has thousands of servers, so the list is built only
/// when it changes.
#[derive(Default)]
pub struct PublishedServers {
    list: Arc<Vec<Arc<ServerRecord>>>,
    software: HashSet<(ServiceHash, SoftwareHash)>,
    leaving: HashSet<IncarnationHash>,
}

impl PublishedServers {
    /// Builds the list from the registry, after the registry has changed.
    pub fn replace(&mut self, servers: &ServersByIncarnation) {
        let record = |record: &Arc<ServerRecord>| with_own_state(record, &self.leaving);
        self.list = Arc::new(servers.values().map(|entry| record(&entry.record)).collect());
        let software =
            |record: &Arc<ServerRecord>| (ServiceHash::of(&record.service), record.software_hash());
        self.software = self.list.iter().map(software).collect();
    }

    /// Sets the servers that have reported that they are leaving, because the store may deliver that
    /// change many seconds later. The list is built again only if they differ from the former ones.
    pub fn set_leaving(
        &mut self,
        leaving: HashSet<IncarnationHash>,
        servers: &ServersByIncarnation,
    ) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.replace(servers);
        }
    }

    /// The list. It is the same allocation until it changes.
    pub fn list(&self) -> &Arc<Vec<Arc<ServerRecord>>> {
        &self.list
    }

    /// The software versions of the servers, with their services.
    pub fn software(&self) -> impl Iterator<Item = (ServiceHash, SoftwareHash)> {
        self.software.iter().copied()
    }
}

/// A server's record, as leaving if it is among those that have reported that.
fn with_own_state(
    record: &Arc<ServerRecord>,
    leaving: &HashSet<IncarnationHash>,
) -> Arc<ServerRecord> {
    if leaving.is_empty() || !leaving.contains(&IncarnationHash::of(&record.incarnation)) {
        return record.clone();
    }
    Arc::new(ServerRecord { state: ServerState::Draining, ..ServerRecord::clone(record) })
}
