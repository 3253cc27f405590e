//! What nodes report to each other on parts of prompts that may crash servers.

use serde::{Deserialize, Serialize};

use super::{IncarnationKey, PartId};

/// Maximum number of parts of all lists of a report, which take at most 1.3 KB.
pub(super) const MAX_PARTS_PER_REPORT: usize = 96;
/// Maximum number of crashes in a report.
pub(super) const MAX_CRASHES_PER_REPORT: usize = 24;

/// A node's report. Ages are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Crashes of servers.
    pub crashes: Vec<ReportedCrash>,
    /// Suspects that servers have answered, and the ages of their last answers.
    pub answered: Vec<(PartId, u32)>,
    /// Quarantined parts, and the ages of the crashes that their quarantine is counted from.
    pub quarantined: Vec<(PartId, u32)>,
}

impl PartReport {
    /// Whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.quarantined.is_empty()
    }
}

/// A server's crash as a node reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The server.
    pub server: IncarnationKey,
    /// Age of the crash.
    pub age: u32,
    /// Parts that may have caused it.
    pub suspects: Vec<PartId>,
}
