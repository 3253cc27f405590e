//! Orders to an engine that does not check who gives them.
//!
//! See [`cometmoor_core::unfenced`] for why a late order does no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cometmoor_core::reconcile::EngineState;
use cometmoor_core::time::BootInstant;
use cometmoor_core::unfenced::{OrderRecord, PlannerId};
use cometmoor_gateway::clock;
use cometmoor_protocol::engine::{Artifact, Fence, Inventory, Order, OrderAction};
use cometmoor_protocol::resource::EngineSpec;

use super::{ORDER_TIMEOUT, OrderError, usable_bytes};
use crate::engine::EngineError;
use crate::engine::http::EngineClient;
use crate::store::{Compare, ConfigurationStore, StoreError, Transaction, Write};

/// Time after which an answered order is not delivered a second time, counted
/// from when this planner first saw the answer in the record.
const DUPLICATE_WINDOW: Duration = Duration::from_secs(10);

/// The record of an engine's orders as it stands in the store.
struct StoredRecord {
    record: OrderRecord,
    revision: u64,
}

/// An engine that does not check fences, with the record of its orders.
pub struct UnfencedEngine {
    key: String,
    address: String,
    capacity_bytes: u64,
    planner: PlannerId,
    stored: Option<StoredRecord>,
    inventory: Option<Inventory>,
    /// Whether copies of the open order may be on their way of which the
    /// record does not tell, because it could not be written.
    unrecorded_copies: bool,
    /// When each answered load of the record was first seen.
    answered_since: BTreeMap<Artifact, BootInstant>,
}

impl UnfencedEngine {
    /// An engine whose record has not been read.
    pub fn new(key: String, spec: &EngineSpec, planner: PlannerId) -> UnfencedEngine {
        UnfencedEngine {
            key,
            address: spec.address.clone(),
            capacity_bytes: usable_bytes(spec),
            planner,
            stored: None,
            inventory: None,
            // An earlier tenure of this process may have sent some.
            unrecorded_copies: true,
            answered_since: BTreeMap::new(),
        }
    }

    /// Takes a changed declaration over.
    pub fn follow(&mut self, spec: &EngineSpec) {
        self.capacity_bytes = usable_bytes(spec);
        if self.address != spec.address {
            self.address.clone_from(&spec.address);
            self.inventory = None;
        }
    }

    /// The newest report; none while the engine does not answer.
    pub fn inventory(&self) -> Option<&Inventory> {
        self.inventory.as_ref()
    }

    /// What the next orders depend on. While an order is open there is no
    /// room for another.
    pub fn state(&self) -> Option<EngineState> {
        let inventory = self.inventory.clone()?;
        let record = &self.stored.as_ref()?.record;
        let committed = record.committed_bytes(&resident_bytes(&inventory));
        let free_bytes = self.capacity_bytes.saturating_sub(committed);
        let open = record.open.iter().map(|open| open.action.artifact().clone());
        Some(EngineState { free_bytes, unsettled: open.collect::<BTreeSet<_>>(), inventory })
    }

    /// Reads the record where it is not known, the report always, and repeats
    /// an open order. `ended` tells of planners whose processes are over.
    pub async fn refresh(
        &mut self,
        client: &EngineClient,
        store: &impl ConfigurationStore,
        ended: impl Fn(&PlannerId) -> bool,
    ) -> Result<(), OrderError> {
        self.read_record(store).await?;
        let result = client.inventory(&self.address, ORDER_TIMEOUT).await;
        let incarnation = self.take_report(result)?;
        self.bring_up_to_date(store, incarnation, ended).await?;
        self.repeat_open_order(client, store).await
    }

    /// Writes an order to the record and sends it.
    pub async fn order(
        &mut self,
        client: &EngineClient,
        store: &impl ConfigurationStore,
        action: OrderAction,
    ) -> Result<(), OrderError> {
        let (Some(inventory), Some(stored)) = (&self.inventory, &self.stored) else {
            return Ok(());
        };
        let resident = resident_bytes(inventory);
        let next = stored
            .record
            .open_order(action, &self.planner, self.capacity_bytes, &resident)
            .map_err(OrderError::Record)?;
        self.write_record(store, next).await?;
        self.send_open_order(client, store).await
    }

    async fn read_record(&mut self, store: &impl ConfigurationStore) -> Result<(), OrderError> {
        if self.stored.is_some() {
            return Ok(());
        }
        let answer = store.range(&self.key).await.map_err(OrderError::Store)?;
        let item = answer.items.into_iter().find(|item| item.key == self.key);
        let stored = match item {
            None => StoredRecord { record: OrderRecord::default(), revision: 0 },
            Some(item) => StoredRecord {
                record: serde_json::from_slice(&item.value).map_err(|error| {
                    let reason = error.to_string();
                    OrderError::Store(StoreError::Malformed { what: self.key.clone(), reason })
                })?,
                revision: item.modified_revision,
            },
        };
        self.stored = Some(stored);
        Ok(())
    }

    /// Writes the record on condition that nobody else has changed it. After
    /// any failure it is read again before the next order.
    async fn write_record(
        &mut self,
        store: &impl ConfigurationStore,
        record: OrderRecord,
    ) -> Result<(), OrderError> {
        let revision = self.stored.take().map_or(0, |stored| stored.revision);
        let value = serde_json::to_vec(&record).map_err(|error| {
            let reason = error.to_string();
            OrderError::Store(StoreError::Malformed { what: self.key.clone(), reason })
        })?;
        let compare = Compare { key: self.key.clone(), modified_revision: revision };
        let put = Write::Put { key: self.key.clone(), value, lease: None };
        match store.transact(&[compare], &[put]).await.map_err(OrderError::Store)? {
            Transaction::Conflict => Err(OrderError::Outdated),
            Transaction::Committed { revision } => {
                self.stored = Some(StoredRecord { record, revision });
                Ok(())
            }
        }
    }

    /// Brings the record up to what is known now, before anything is sent.
    async fn bring_up_to_date(
        &mut self,
        store: &impl ConfigurationStore,
        incarnation: u64,
        ended: impl Fn(&PlannerId) -> bool,
    ) -> Result<(), OrderError> {
        let Some(stored) = &self.stored else {
            return Ok(());
        };
        let answered: BTreeSet<Artifact> =
            stored.record.answered_loads.iter().map(|load| load.artifact.clone()).collect();
        self.answered_since.retain(|artifact, _| answered.contains(artifact));
        for artifact in answered {
            self.answered_since.entry(artifact).or_insert_with(clock::now);
        }
        let is_over = |artifact: &Artifact| {
            let since = self.answered_since.get(artifact);
            since.is_some_and(|since| clock::elapsed(*since) >= DUPLICATE_WINDOW)
        };
        let mut next = stored.record.drop_answered_loads(is_over);
        if self.unrecorded_copies {
            next = next.mark_unanswered();
        }
        next = next
            .at_incarnation(incarnation, &self.planner)
            .release_planners(|planner| *planner == self.planner || ended(planner))
            .adopt_open_order(&self.planner);
        if next != stored.record {
            self.write_record(store, next).await?;
        }
        self.unrecorded_copies = false;
        Ok(())
    }

    async fn repeat_open_order(
        &mut self,
        client: &EngineClient,
        store: &impl ConfigurationStore,
    ) -> Result<(), OrderError> {
        let open = self.stored.as_ref().is_some_and(|stored| stored.record.open.is_some());
        if open { self.send_open_order(client, store).await } else { Ok(()) }
    }

    async fn send_open_order(
        &mut self,
        client: &EngineClient,
        store: &impl ConfigurationStore,
    ) -> Result<(), OrderError> {
        let Some(record) = self.stored.as_ref().map(|stored| stored.record.clone()) else {
            return Ok(());
        };
        let Some(open) = &record.open else {
            return Ok(());
        };
        let order = Order {
            incarnation: record.incarnation,
            fence: Fence::default(),
            action: open.action.clone(),
        };
        let result = client.order(&self.address, &order, ORDER_TIMEOUT).await;
        match &result {
            Ok(_) | Err(EngineError::Refused { .. }) => {
                let closed = record.close_order(&self.planner, !self.unrecorded_copies);
                self.write_record(store, closed).await?;
            }
            Err(EngineError::Unreachable { .. }) => {}
            Err(_) if open.unanswered_copies => {}
            Err(_) => {
                self.unrecorded_copies = true;
                self.write_record(store, record.mark_unanswered()).await?;
                self.unrecorded_copies = false;
            }
        }
        self.take_report(result).map(|_| ())
    }

    fn take_report(&mut self, result: Result<Inventory, EngineError>) -> Result<u64, OrderError> {
        match result {
            Ok(inventory) => {
                let incarnation = inventory.incarnation;
                self.inventory = Some(inventory);
                Ok(incarnation)
            }
            Err(error) => {
                if !matches!(error, EngineError::Refused { .. }) {
                    self.inventory = None;
                }
                Err(OrderError::Engine(error))
            }
        }
    }
}

fn resident_bytes(inventory: &Inventory) -> BTreeMap<Artifact, u64> {
    inventory.resident.iter().map(|resident| (resident.artifact.clone(), resident.bytes)).collect()
}
