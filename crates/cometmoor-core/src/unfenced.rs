//! Orders to engines that do not check fences.
//!
//! Such an engine applies every order that arrives, however late, so a late order
//! must be harmless. The record of an engine's orders is kept in the configuration
//! store and is changed by compare-and-swap before anything is sent: one order is
//! open at a time, it is repeated until an answer arrives, and only then is the
//! next one written.
//!
//! Memory stays reserved for a load as long as it may still take effect:
//!
//! - A load of which a copy may be in transit keeps its memory reserved until the
//!   engine restarts, because only a restart ends the connections that could
//!   carry it.
//! - A load that another planner, perhaps a paused one, may still send keeps its
//!   memory reserved also across restarts, until that planner's process is known to
//!   have ended.
//! - An answered load may be delivered again. Its memory stays reserved, also
//!   after an unload, until the planner's clock shows that no duplicate can
//!   arrive any more.

use std::collections::BTreeMap;

use cometmoor_protocol::engine::{Artifact, OrderAction};
use serde::{Deserialize, Serialize};

/// Identifies the process of a planner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerId {
    /// Name of the node.
    pub node: String,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// An order that is not known to have been carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenOrder {
    /// The ordered load or unload.
    pub action: OrderAction,
    /// The planner that wrote the order.
    pub planner: PlannerId,
    /// Whether a copy may have been sent that was not answered.
    pub unanswered_copies: bool,
}

/// A load of which a copy may still arrive at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateLoad {
    /// The artifact.
    pub artifact: Artifact,
    /// Memory that it would occupy, in bytes.
    pub bytes: u64,
    /// The planner that may still send it; none if only copies that were already
    /// sent can arrive.
    pub planner: Option<PlannerId>,
    /// Whether a restart of the engine was observed since the last copy was sent.
    /// A copy may have been sent to the restarted engine before the restart was
    /// noticed, so only the second restart rules out its arrival.
    pub survived_restart: bool,
}

/// An answered load of which a duplicate may still be delivered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredLoad {
    /// The artifact.
    pub artifact: Artifact,
    /// Memory that it occupies, in bytes.
    pub bytes: u64,
}

/// Record of one engine's orders, as kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Incarnation of the engine to which the record applies.
    pub incarnation: u64,
    /// The open order, if any.
    pub open: Option<OpenOrder>,
    /// Loads for which memory stays reserved because a copy may still arrive.
    pub late_loads: Vec<LateLoad>,
    /// Answered loads of which a duplicate may still be delivered.
    #[serde(default)]
    pub answered_loads: Vec<AnsweredLoad>,
}

/// Why an order may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// An order is open and must be repeated first.
    OrderOpen,
    /// The load does not fit into the memory that is certainly free.
    Overcommit {
        /// Memory the load needs, in bytes.
        needed_bytes: u64,
        /// Memory that is certainly free, in bytes.
        free_bytes: u64,
    },
}

impl OrderRecord {
    /// The record after planner `reader` has received a report of the engine.
    /// Copies in transit to an earlier incarnation are lost, but other planners
    /// may still send theirs to the new one.
    pub fn at_incarnation(&self, incarnation: u64, reader: &PlannerId) -> OrderRecord {
        if self.incarnation == incarnation {
            return self.clone();
        }
        let answered_loads = self.answered_loads.clone();
        let mut next = OrderRecord { incarnation, answered_loads, ..OrderRecord::default() };
        let may_arrive = |late: &&LateLoad| late.planner.is_some() || !late.survived_restart;
        next.late_loads.extend(self.late_loads.iter().filter(may_arrive).cloned());
        for late in &mut next.late_loads {
            late.survived_restart = late.planner.is_none();
        }
        match self.open.clone() {
            Some(open) if open.planner != *reader => {
                next.reserve_load(open.action, Some(open.planner), false);
            }
            Some(open) if open.unanswered_copies => next.reserve_load(open.action, None, true),
            _ => {}
        }
        next
    }

    /// The record once the processes of some planners are known to have ended:
    /// only copies that they sent before can still arrive.
    pub fn release_planners(&self, ended: impl Fn(&PlannerId) -> bool) -> OrderRecord {
        let mut next = self.clone();
        for late in &mut next.late_loads {
            late.planner = late.planner.take().filter(|planner| !ended(planner));
        }
        next
    }

    /// The record once no duplicate of some answered loads can be delivered any
    /// more.
    pub fn drop_answered_loads(&self, no_duplicates: impl Fn(&Artifact) -> bool) -> OrderRecord {
        let mut next = self.clone();
        next.answered_loads.retain(|load| !no_duplicates(&load.artifact));
        next
    }

    fn add_answered(&mut self, action: OrderAction) {
        let OrderAction::Load { artifact, bytes } = action else {
            return;
        };
        self.answered_loads.retain(|load| load.artifact != artifact);
        self.answered_loads.push(AnsweredLoad { artifact, bytes });
    }

    /// The record after planner `reader` has found another planner's order open.
    /// It is to be stored before `reader` repeats the order, because from then on
    /// either planner may send it.
    pub fn adopt_open_order(&self, reader: &PlannerId) -> OrderRecord {
        let mut next = self.clone();
        if let Some(open) = next.open.clone().filter(|open| open.planner != *reader) {
            next.reserve_load(open.action.clone(), Some(open.planner.clone()), false);
            next.open = Some(OpenOrder { planner: reader.clone(), ..open });
        }
        next
    }

    fn reserve_load(
        &mut self,
        action: OrderAction,
        planner: Option<PlannerId>,
        survived_restart: bool,
    ) {
        let OrderAction::Load { artifact, bytes } = action else {
            return;
        };
        let known = self.late_loads.iter_mut().find(|late| late.artifact == artifact);
        match known {
            Some(late) => {
                late.bytes = late.bytes.max(bytes);
                late.planner = planner.or(late.planner.take());
                late.survived_restart &= survived_restart;
            }
            None => {
                let late = LateLoad { artifact, bytes, planner, survived_restart };
                self.late_loads.push(late);
            }
        }
    }

    /// Memory that is or may become occupied, in bytes. Each artifact counts with
    /// the largest size with which it may be loaded.
    pub fn committed_bytes(&self, resident: &BTreeMap<Artifact, u64>) -> u64 {
        let mut committed = resident.clone();
        let mut count = |artifact: &Artifact, bytes: u64| {
            let counted = committed.entry(artifact.clone()).or_insert(0);
            *counted = (*counted).max(bytes);
        };
        for late in &self.late_loads {
            count(&late.artifact, late.bytes);
        }
        for answered in &self.answered_loads {
            count(&answered.artifact, answered.bytes);
        }
        if let Some(OpenOrder { action: OrderAction::Load { artifact, bytes }, .. }) = &self.open {
            count(artifact, *bytes);
        }
        committed.values().fold(0, |sum, bytes| sum.saturating_add(*bytes))
    }

    /// The record with a new open order. It is to be stored before the order is
    /// sent.
    pub fn open_order(
        &self,
        action: OrderAction,
        planner: &PlannerId,
        capacity_bytes: u64,
        resident: &BTreeMap<Artifact, u64>,
    ) -> Result<OrderRecord, RecordError> {
        if self.open.is_some() {
            return Err(RecordError::OrderOpen);
        }
        let mut next = self.clone();
        next.open = Some(OpenOrder {
            action: action.clone(),
            planner: planner.clone(),
            unanswered_copies: false,
        });
        if let OrderAction::Load { bytes, .. } = action {
            let free_bytes = capacity_bytes.saturating_sub(self.committed_bytes(resident));
            let fits = next.committed_bytes(resident) <= capacity_bytes;
            if !fits {
                return Err(RecordError::Overcommit { needed_bytes: bytes, free_bytes });
            }
        }
        Ok(next)
    }

    /// The record after an answer to the open order. `certain` is false if a copy
    /// of the order may still be in transit. A load that another planner wrote
    /// may still be sent by that planner.
    pub fn close_order(&self, reader: &PlannerId, certain: bool) -> OrderRecord {
        let mut next = self.clone();
        let Some(open) = next.open.take() else {
            return next;
        };
        if open.planner != *reader {
            next.reserve_load(open.action, Some(open.planner), false);
        } else if !certain || open.unanswered_copies {
            next.reserve_load(open.action, None, false);
        } else {
            next.add_answered(open.action);
        }
        next
    }

    /// The record after an attempt that got no answer.
    pub fn mark_unanswered(&self) -> OrderRecord {
        let mut next = self.clone();
        if let Some(open) = &mut next.open {
            open.unanswered_copies = true;
        }
        next
    }
}
