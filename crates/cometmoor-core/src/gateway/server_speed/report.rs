//! Reports of observations between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::intervals::EventInterval;
use crate::gateway::signals::IncarnationHash;
use crate::time::BootInstant;

/// Maximum number of records in a message, at most 0.4 KB.
pub const MAX_RECORDS: usize = 40;
/// Unit of ages in messages.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// Three bytes that identify a server or a model, of a hash of its name. In messages and tables of
/// speeds, a false match of two servers or models costs little, and bytes do: of fleets with 90
/// servers, one in 4,000 has two with the same key, with 1,024 servers one in 32.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ShortKey([u8; 3]);

impl ShortKey {
    /// The key of a 32-bit hash.
    pub fn of(hash: u32) -> ShortKey {
        let [first, second, third, _] = hash.to_le_bytes();
        ShortKey([first, second, third])
    }

    /// The bytes, to be hashed.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl From<IncarnationHash> for ShortKey {
    fn from(server: IncarnationHash) -> ShortKey {
        ShortKey::of(server.low_bits())
    }
}

/// Role of a node in the exchange of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportRole {
    /// It passes reports of other nodes on.
    Hub,
    /// It reports its own observations only: other nodes receive reports as it does.
    Node,
}

/// The shortest interval that was observed for a server and model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedRecord {
    /// Key of the server's incarnation.
    pub server: ShortKey,
    /// Key of the model.
    pub model: ShortKey,
    /// The interval.
    pub interval: EventInterval,
    /// Age of the observation at the time of sending, in units of 100 ms, rounded up. Rounded
    /// down, an observation would not age between nodes that pass it on to each other at once, and
    /// would never expire.
    age: u8,
}

impl SpeedRecord {
    /// The record of an observation at `observed_at`, as sent at `now`.
    pub fn new(
        server: ShortKey,
        model: ShortKey,
        interval: EventInterval,
        observed_at: BootInstant,
        now: BootInstant,
    ) -> SpeedRecord {
        let age = now.since(observed_at).as_millis().div_ceil(AGE_UNIT.as_millis());
        SpeedRecord { server, model, interval, age: u8::try_from(age).unwrap_or(u8::MAX) }
    }

    /// Age of the observation at the time of sending.
    pub fn age(&self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }
}

/// The part of a record that differs between the servers of a model; 5 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ServerRecord {
    server: ShortKey,
    interval: EventInterval,
    age: u8,
}

/// The records of one model; 4 bytes in addition to those of the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ModelRecords {
    model: ShortKey,
    servers: Vec<ServerRecord>,
}

/// What a node has observed or learned of the servers' speeds since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Whether a hub has sent it, to all other hubs too.
    is_from_hub: bool,
    models: Vec<ModelRecords>,
}

impl SpeedReport {
    /// A report with these records, of which those of one model should follow one another; `None`
    /// without any.
    fn new(records: impl Iterator<Item = SpeedRecord>, is_from_hub: bool) -> Option<SpeedReport> {
        let records: Vec<SpeedRecord> = records.collect();
        let of_models = records.chunk_by(|one, other| one.model == other.model);
        let models = of_models.map(|records| ModelRecords {
            model: records[0].model,
            servers: records.iter().map(ServerRecord::from).collect(),
        });
        let report = SpeedReport { is_from_hub, models: models.collect() };
        (!records.is_empty()).then_some(report)
    }

    /// Whether all hubs receive it.
    pub fn is_from_hub(&self) -> bool {
        self.is_from_hub
    }

    /// The records.
    pub fn records(&self) -> impl Iterator<Item = SpeedRecord> {
        self.models.iter().flat_map(|of_model| {
            of_model.servers.iter().map(|record| SpeedRecord {
                server: record.server,
                model: of_model.model,
                interval: record.interval,
                age: record.age,
            })
        })
    }
}

impl From<&SpeedRecord> for ServerRecord {
    fn from(record: &SpeedRecord) -> ServerRecord {
        let SpeedRecord { server, interval, age, .. } = *record;
        ServerRecord { server, interval, age }
    }
}

/// A record that a node has to report now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueRecord {
    /// The record.
    pub record: SpeedRecord,
    /// Whether it is sent also to nodes that receive it from another hub, in case that a message
    /// of that one is lost.
    pub is_for_all_nodes: bool,
    /// Whether hubs may not have received it from another hub. What is new is sent to hubs by several of
    /// them, in case that a message is lost.
    pub is_for_hubs: bool,
}

/// The records that a node has to report now, at most [`MAX_RECORDS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueReport {
    /// The records.
    pub records: Vec<DueRecord>,
}

impl DueReport {
    /// The report for a group of recipients; `None` if it has no records.
    pub fn for_recipients(&self, group: RecipientGroup, role: ReportRole) -> Option<SpeedReport> {
        let is_included = |due: &&DueRecord| match group {
            RecipientGroup::Hubs => due.is_for_hubs,
            RecipientGroup::Nodes => true,
            RecipientGroup::NodesOfOtherHubs => due.is_for_all_nodes,
        };
        let records = self.records.iter().filter(is_included).map(|due| due.record);
        SpeedReport::new(records, role == ReportRole::Hub)
    }
}

/// Recipients of the same records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecipientGroup {
    /// Hubs, and in a small fleet all nodes: they receive a record from the node that has observed
    /// it or from the first hub.
    Hubs,
    /// Nodes that receive all records from this hub.
    Nodes,
    /// Nodes that receive all records from another hub.
    NodesOfOtherHubs,
}
