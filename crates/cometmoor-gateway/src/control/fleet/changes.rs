//! Logs changes in what this node knows of servers and other nodes.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use cometmoor_core::gateway::registry::{ServerEntry, ServerState};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use spdlog::info;

use super::FleetState;
use crate::membership::Member;
use crate::peer::StorePrefix;

/// Maximum number of servers or nodes that are logged individually if they change at once.
const MAX_LINES: usize = 16;

impl FleetState {
    /// Logs which servers were added or removed or have changed their state, compared to the
    /// current ones.
    pub(super) fn log_server_changes(&self, new_servers: &ServersByIncarnation) {
        let state = |id: &Arc<str>| self.servers.get(id).map(|entry| entry.record.state);
        let changed =
            new_servers.iter().filter(|(id, entry)| state(id) != Some(entry.record.state));
        let changed: Vec<&ServerEntry> = changed.map(|(_, entry)| entry).collect();
        let gone: Vec<&Arc<str>> =
            self.servers.keys().filter(|id| !new_servers.contains_key(*id)).collect();
        if changed.len() + gone.len() > MAX_LINES {
            let (changed, gone, servers) = (changed.len(), gone.len(), new_servers.len());
            info!("[servers] many servers were added, removed or changed state", kv: { changed, gone, servers });
            return;
        }
        changed.into_iter().for_each(log_server);
        for id in gone {
            info!("[servers] server removed", kv: { server = &**id });
        }
    }

    /// Logs which nodes joined or left since the last tick.
    pub(super) fn log_member_changes(&mut self) {
        let members: BTreeSet<SocketAddrV4> =
            self.peers.members().iter().map(Member::address).collect();
        let nodes = members.len() + 1;
        let come: Vec<&SocketAddrV4> = members.difference(&self.logged_members).collect();
        let gone: Vec<&SocketAddrV4> = self.logged_members.difference(&members).collect();
        if come.len() + gone.len() > MAX_LINES {
            let (come, gone) = (come.len(), gone.len());
            info!("[peers] many nodes joined or left", kv: { come, gone, nodes });
        } else {
            for peer in come {
                info!("[peers] node joined", kv: { peer = peer.to_string(), nodes });
            }
            for peer in gone {
                info!("[peers] node left", kv: { peer = peer.to_string(), nodes });
            }
        }
        self.logged_members = members;
    }
}

impl FleetState {
    /// Logs for which prefixes this node has become, or is no longer, a reader.
    pub(super) fn log_reader_changes(&mut self) {
        for prefix in StorePrefix::ALL {
            let is_reader = self.is_reader(prefix);
            if self.logged_readers.insert(prefix, is_reader) == Some(is_reader) {
                continue;
            }
            let (what, nodes) = (prefix.name(), self.peers.members().len() + 1);
            let age_millis = self.copies[&prefix].age_millis();
            match is_reader {
                true => {
                    info!("[store] this node reads the prefix from the store", kv: { what, age_millis, nodes });
                }
                false => {
                    info!("[store] other nodes read the prefix for this node", kv: { what, age_millis, nodes });
                }
            }
        }
    }
}

fn log_server(entry: &ServerEntry) {
    let ServerEntry { create_revision: created, ref record, .. } = *entry;
    let server = &*record.incarnation;
    let address = record.address.to_string();
    let service = record.service.as_str();
    let software = record.software.as_str();
    match record.state {
        ServerState::Ready => {
            info!("[servers] server ready", kv: { server, address, service, software, created });
        }
        ServerState::Draining => {
            info!("[servers] server leaving", kv: { server, address, service, created });
        }
    }
}
