//! The links of this node to the servers, shared by its threads.

use std::sync::{Arc, Mutex, PoisonError};

use cometmoor_core::gateway::links::LinkTable;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;
use spdlog::{info, warn};

use crate::clock;

/// The links of this node to the servers. The traffic thread records its connections; the control
/// thread reports what follows to other nodes.
#[derive(Clone, Debug, Default)]
pub struct LinkBoard {
    table: Arc<Mutex<LinkTable>>,
}

impl LinkBoard {
    fn with<Output>(&self, act: impl FnOnce(&mut LinkTable, BootInstant) -> Output) -> Output {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut table, clock::now())
    }

    /// Records that a connection to a server was established.
    pub fn note_connected(&self, server: IncarnationHash, incarnation: &str) {
        let (had_lost_servers, unreached) =
            self.with(|table, now| (table.note_connected(server, now), table.unreached_count()));
        if had_lost_servers {
            info!("[links] a server was reached again", kv: { server = incarnation, unreached = unreached as u64 });
        }
    }

    /// Records that a server could not be reached.
    pub fn note_unreached(&self, server: IncarnationHash, incarnation: &str) {
        let (has_lost_servers, unreached, last_connected) = self.with(|table, now| {
            let has_lost_servers = table.note_unreached(server, now);
            (has_lost_servers, table.unreached_count(), table.last_connected(now))
        });
        if has_lost_servers {
            let connected_age_millis = last_connected.map_or(-1, |age| age.as_millis() as i64);
            warn!("[links] no server was reached lately", kv: { server = incarnation, unreached = unreached as u64, connected_age_millis });
        }
    }

    /// Forgets servers that have left the registry.
    pub fn retain(&self, is_registered: impl Fn(IncarnationHash) -> bool) {
        self.with(|table, _| table.retain(is_registered));
    }

    /// Number of servers that the last attempt failed to reach.
    pub fn unreached_count(&self) -> usize {
        self.with(|table, _| table.unreached_count())
    }
}
