//! Orders to an engine that checks fences.

use std::collections::BTreeSet;

use cometmoor_core::ledger::EngineLedger;
use cometmoor_core::reconcile::EngineState;
use cometmoor_protocol::engine::{Fence, Inventory, Order, OrderAction, RaiseFence};
use cometmoor_protocol::resource::EngineSpec;

use super::{ORDER_TIMEOUT, OrderError, usable_bytes};
use crate::engine::http::EngineClient;

/// An engine that checks fences, with its memory account.
pub struct FencedEngine {
    address: String,
    epoch: u64,
    next_sequence: u64,
    ledger: EngineLedger,
    inventory: Option<Inventory>,
}

impl FencedEngine {
    /// An engine that has not reported to this planner.
    pub fn new(spec: &EngineSpec, epoch: u64) -> FencedEngine {
        FencedEngine {
            address: spec.address.clone(),
            epoch,
            next_sequence: 1,
            ledger: EngineLedger::new(usable_bytes(spec)),
            inventory: None,
        }
    }

    /// Takes a changed declaration over.
    pub fn follow(&mut self, spec: &EngineSpec) {
        self.ledger.set_capacity(usable_bytes(spec));
        if self.address != spec.address {
            self.address.clone_from(&spec.address);
            self.inventory = None;
        }
    }

    /// The newest report; none while the engine does not answer.
    pub fn inventory(&self) -> Option<&Inventory> {
        self.inventory.as_ref()
    }

    /// What the next orders depend on.
    pub fn state(&self) -> Option<EngineState> {
        let inventory = self.inventory.clone()?;
        let unsettled: BTreeSet<_> = self.ledger.unsettled_artifacts().cloned().collect();
        Some(EngineState { inventory, free_bytes: self.ledger.free_bytes(), unsettled })
    }

    /// Reads the report. Where the fence of this epoch is missing, or an order
    /// is in doubt, the fence is raised first: the report then settles all
    /// orders that were sent before.
    pub async fn refresh(&mut self, client: &EngineClient) -> Result<(), OrderError> {
        let result = if self.needs_fence() {
            let fence = self.next_fence();
            self.ledger.record_fence(fence);
            client.raise_fence(&self.address, &RaiseFence { fence }, ORDER_TIMEOUT).await
        } else {
            client.inventory(&self.address, ORDER_TIMEOUT).await
        };
        self.take_report(result)
    }

    /// Enters an order into the ledger and sends it.
    pub async fn order(
        &mut self,
        client: &EngineClient,
        action: OrderAction,
    ) -> Result<(), OrderError> {
        let Some(incarnation) = self.ledger.incarnation() else {
            return Err(OrderError::Ledger(cometmoor_core::ledger::LedgerError::NoInventory));
        };
        let fence = self.next_fence();
        self.ledger.record_order(fence, action.clone()).map_err(OrderError::Ledger)?;
        let order = Order { incarnation, fence, action };
        let result = client.order(&self.address, &order, ORDER_TIMEOUT).await;
        self.take_report(result)
    }

    fn needs_fence(&self) -> bool {
        let raised = self.inventory.as_ref().is_some_and(|i| i.fence.epoch == self.epoch);
        !raised || self.ledger.has_open_orders()
    }

    fn next_fence(&mut self) -> Fence {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        Fence { epoch: self.epoch, sequence }
    }

    fn take_report(
        &mut self,
        result: Result<Inventory, crate::engine::EngineError>,
    ) -> Result<(), OrderError> {
        match result {
            Ok(inventory) => {
                self.ledger.apply_report(&inventory);
                self.inventory = Some(inventory);
                Ok(())
            }
            Err(error) => {
                // Until it reports again, nothing is planned on it.
                self.inventory = None;
                Err(OrderError::Engine(error))
            }
        }
    }
}
