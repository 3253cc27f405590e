//! Log lines on what the node believes of servers and other nodes.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::sync::Arc;

use cometmoor_core::gateway::registry::{ServerEntry, ServerState};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use spdlog::info;

use super::FleetState;
use crate::membership::Member;
use crate::peer::Subject;

/// Most servers or nodes that are logged one by one when they change at once.
const MOST_LINES: usize = 16;

impl FleetState {
    /// Tells which servers came, went or are leaving.
    pub(super) fn log_server_changes(&self, fresh: &ServersByIncarnation) {
        let state = |id: &Arc<str>| self.servers.get(id).map(|known| known.record.state);
        let changed = fresh.iter().filter(|(id, known)| state(id) != Some(known.record.state));
        let changed: Vec<&ServerEntry> = changed.map(|(_, known)| known).collect();
        let gone: Vec<&Arc<str>> =
            self.servers.keys().filter(|id| !fresh.contains_key(*id)).collect();
        if changed.len() + gone.len() > MOST_LINES {
            let (changed, gone, servers) = (changed.len(), gone.len(), fresh.len());
            info!("[servers] many servers came, went or are leaving", kv: { changed, gone, servers });
            return;
        }
        changed.into_iter().for_each(log_server);
        for id in gone {
            info!("[servers] a server is gone", kv: { server = &**id });
        }
    }

    /// Tells which nodes came and went since the last tick.
    pub(super) fn log_member_changes(&mut self) {
        let members: BTreeSet<SocketAddrV4> =
            self.peers.members().iter().map(Member::address).collect();
        let nodes = members.len() + 1;
        let come: Vec<&SocketAddrV4> = members.difference(&self.logged_members).collect();
        let gone: Vec<&SocketAddrV4> = self.logged_members.difference(&members).collect();
        if come.len() + gone.len() > MOST_LINES {
            let (come, gone) = (come.len(), gone.len());
            info!("[peers] many nodes came or went", kv: { come, gone, nodes });
        } else {
            for peer in come {
                info!("[peers] a node is there", kv: { peer = peer.to_string(), nodes });
            }
            for peer in gone {
                info!("[peers] a node is gone", kv: { peer = peer.to_string(), nodes });
            }
        }
        self.logged_members = members;
    }
}

impl FleetState {
    /// Tells which copies this node has begun, or ceased, to read itself.
    pub(super) fn log_reading_changes(&mut self) {
        for subject in Subject::ALL {
            let reads = self.reads(subject);
            if self.logged_reading.insert(subject, reads) == Some(reads) {
                continue;
            }
            let (what, nodes) = (subject.name(), self.peers.members().len() + 1);
            let age_millis = self.copies[&subject].age_millis();
            match reads {
                true => {
                    info!("[store] this node reads it", kv: { what, age_millis, nodes });
                }
                false => {
                    info!("[store] others read it for this node", kv: { what, age_millis, nodes });
                }
            }
        }
    }
}

fn log_server(known: &ServerEntry) {
    let ServerEntry { create_revision: created, ref record, .. } = *known;
    let server = &*record.incarnation;
    let address = record.address.to_string();
    let service = record.service.as_str();
    let software = record.software.as_str();
    match record.state {
        ServerState::Ready => {
            info!("[servers] a server is known", kv: { server, address, service, software, created });
        }
        ServerState::Draining => {
            info!("[servers] a server is leaving", kv: { server, address, service, created });
        }
    }
}
