//! Notices of loads that the leader sends directly to the nodes whose requests wait for them.

use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use super::message::PlacementVersion;
use crate::load::{ModelKey, ServerKey};

/// Time for which a notice counts if no placement that includes its loads is received.
const NOTICE_LIFETIME: Duration = Duration::from_millis(2500);

/// Maximum number of notices that are kept, the newest ones.
const MAX_NOTICES: usize = 256;

/// A node's report to the leader on weights that its requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitReport {
    /// Peer address of the node.
    pub from: SocketAddrV4,
    /// Models or adapters, and the time of the longest wait for each in milliseconds.
    pub waits: Vec<(ModelKey, u32)>,
}

/// The leader's notice of loads, ahead of the placement that includes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNotice {
    /// Version of the placement that includes the loads.
    pub version: PlacementVersion,
    /// Models and adapters that servers have loaded.
    pub added: Vec<(ServerKey, ModelKey)>,
}

/// The notices that are newer than the placement that this node knows.
#[derive(Clone, Debug, Default)]
pub struct LoadNotices {
    notices: Vec<(LoadNotice, Timestamp)>,
}

impl LoadNotices {
    /// Records a notice.
    pub fn receive(&mut self, notice: LoadNotice, now: Timestamp) {
        if self.notices.len() >= MAX_NOTICES {
            self.notices.remove(0);
        }
        self.notices.push((notice, now));
    }

    /// Drops the notices that a placement of this version includes or supersedes, and those that
    /// have expired. Returns the loads of the others.
    pub fn newer_than(
        &mut self,
        version: Option<PlacementVersion>,
        now: Timestamp,
    ) -> impl Iterator<Item = (ServerKey, ModelKey)> {
        self.notices.retain(|(notice, received)| {
            Some(notice.version) > version && now.since(*received) < NOTICE_LIFETIME
        });
        self.notices.iter().flat_map(|(notice, _)| notice.added.iter().copied())
    }
}
