//! Quarantine for what crashes the servers that process it (queries of death): whole requests, and
//! parts of prompts that many requests share.

mod answered_parts;
mod contents;
mod evidence;
mod part_exchange;
mod part_report;
mod parts;
mod quarantined_part;

use std::time::Duration;

pub use self::contents::{CRASH_LIMIT, CrashVerdict, Fingerprint, Quarantine, SuspectReport};
pub use self::evidence::{DOUBTFUL_PART_CRASH_LIMIT, PART_CRASH_LIMIT, UNRELATED_PART_CRASH_LIMIT};
pub use self::part_report::{PartReport, ReportedCrash};
pub use self::parts::{CrashSummary, MAX_PARTS_PER_REQUEST, PartChange, PartId, PartQuarantine};

/// Time for which content or a part stays quarantined after its last crash. A client that still
/// sends it afterwards crashes one more server.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_secs(600);
/// Time for which records of suspects and of what was quarantined are kept.
const RECORD_RETENTION: Duration = Duration::from_secs(1200);
/// Number of messages that carry a record after it has changed. One datagram in twenty may
/// be lost, and hubs forward the reports they receive.
const REPORT_REPEATS: u32 = 12;

/// Key that identifies one incarnation of a server.
pub type IncarnationKey = u32;

/// Whether content may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It is not quarantined. It may still be a suspect.
    Allowed,
    /// It must not be sent to any server for the given remaining time.
    Quarantined(Duration),
}
