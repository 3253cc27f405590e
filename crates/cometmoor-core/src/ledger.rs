//! Conservative accounting of one engine's memory while orders are in flight.
//!
//! An order without an answer may have taken effect, or may do so later. A load
//! therefore counts from the moment it is sent, and an unload only once a report
//! newer than the order shows the memory as free. On engines that check fences,
//! a report settles every order up to its fence: an order whose effect it does
//! not show will never take effect.

use std::collections::BTreeMap;

use cometmoor_protocol::engine::{Artifact, Fence, Inventory, OrderAction};

/// Why an order may not be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The load does not fit into the memory that is certainly free.
    Overcommit {
        /// Memory the load needs, in bytes.
        needed_bytes: u64,
        /// Memory that is certainly free, in bytes.
        free_bytes: u64,
    },
    /// The fence of the order is not higher than all earlier ones.
    StaleFence,
    /// The ledger has not received any report of the engine.
    NoInventory,
    /// The engine's newest report shows a fence of another epoch, so orders of
    /// an earlier epoch may still take effect after it.
    FenceNotRaised,
}

/// Memory ledger of an engine that checks fences.
#[derive(Clone, Debug)]
pub struct EngineLedger {
    capacity_bytes: u64,
    incarnation: Option<u64>,
    reported_fence: Fence,
    highest_sent: Fence,
    resident: BTreeMap<Artifact, u64>,
    open_orders: BTreeMap<Fence, OrderAction>,
}

impl EngineLedger {
    /// Creates a ledger for `capacity_bytes` usable bytes. It refuses orders until
    /// the first report.
    pub fn new(capacity_bytes: u64) -> EngineLedger {
        EngineLedger {
            capacity_bytes,
            incarnation: None,
            reported_fence: Fence::default(),
            highest_sent: Fence::default(),
            resident: BTreeMap::new(),
            open_orders: BTreeMap::new(),
        }
    }

    /// Sets the usable bytes. A lower capacity prevents loads but unloads nothing.
    pub fn set_capacity(&mut self, capacity_bytes: u64) {
        self.capacity_bytes = capacity_bytes;
    }

    /// Incarnation of the engine in its newest report; none before the first.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Memory of everything that is or may become resident, in bytes.
    pub fn committed_bytes(&self) -> u64 {
        total(&self.committed())
    }

    /// Upper bound of the memory that each artifact may occupy, in bytes: the
    /// size in the report, or that of a larger open load, which takes effect if
    /// an unload precedes it.
    fn committed(&self) -> BTreeMap<&Artifact, u64> {
        let mut committed: BTreeMap<&Artifact, u64> =
            self.resident.iter().map(|(artifact, bytes)| (artifact, *bytes)).collect();
        for action in self.open_orders.values() {
            count_load(&mut committed, action);
        }
        committed
    }

    /// Memory that is certainly free, in bytes.
    pub fn free_bytes(&self) -> u64 {
        self.capacity_bytes.saturating_sub(self.committed_bytes())
    }

    /// Artifacts with an open order, whose effect is not known yet.
    pub fn unsettled_artifacts(&self) -> impl Iterator<Item = &Artifact> {
        self.open_orders.values().map(OrderAction::artifact)
    }

    /// Whether any order is open.
    pub fn has_open_orders(&self) -> bool {
        !self.open_orders.is_empty()
    }

    /// Records an order before it is sent. On an error the order must not be sent.
    pub fn record_order(&mut self, fence: Fence, action: OrderAction) -> Result<(), LedgerError> {
        if self.incarnation.is_none() {
            return Err(LedgerError::NoInventory);
        }
        if fence <= self.highest_sent || fence <= self.reported_fence {
            return Err(LedgerError::StaleFence);
        }
        if self.reported_fence.epoch != fence.epoch {
            return Err(LedgerError::FenceNotRaised);
        }
        let mut committed = self.committed();
        let before = total(&committed);
        count_load(&mut committed, &action);
        let after = total(&committed);
        if after > before && after > self.capacity_bytes {
            return Err(LedgerError::Overcommit {
                needed_bytes: after - before,
                free_bytes: self.free_bytes(),
            });
        }
        self.highest_sent = fence;
        self.open_orders.insert(fence, action);
        Ok(())
    }

    /// Records a fence that was sent to the engine, whether or not it confirmed it.
    pub fn record_fence(&mut self, fence: Fence) {
        self.highest_sent = self.highest_sent.max(fence);
    }

    /// Applies a report of the engine. A report of the same incarnation with an
    /// older fence is ignored.
    pub fn apply_report(&mut self, report: &Inventory) {
        let same = self.incarnation == Some(report.incarnation);
        if same && report.fence < self.reported_fence {
            return;
        }
        if !same {
            // Orders name the incarnation they are meant for, so an order sent
            // before the restart no longer takes effect.
            self.incarnation = Some(report.incarnation);
            self.open_orders.clear();
        }
        self.reported_fence = report.fence;
        self.open_orders.retain(|fence, _| *fence > report.fence);
        self.resident = report
            .resident
            .iter()
            .map(|resident| (resident.artifact.clone(), resident.bytes))
            .collect();
    }
}

fn count_load<'a>(committed: &mut BTreeMap<&'a Artifact, u64>, action: &'a OrderAction) {
    if let OrderAction::Load { artifact, bytes } = action {
        let counted = committed.entry(artifact).or_insert(0);
        *counted = (*counted).max(*bytes);
    }
}

fn total(committed: &BTreeMap<&Artifact, u64>) -> u64 {
    committed.values().fold(0, |sum, bytes| sum.saturating_add(*bytes))
}
