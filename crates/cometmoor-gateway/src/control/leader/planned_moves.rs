//! Log lines of planned moves of models.

use cometmoor_core::gateway::planner::{MoveReason, PlacementStrategy, PlannedOrder};
use spdlog::info;

/// Logs a planned load or unload of a model and the reasons for it. A plan contains dozens of
/// orders for adapters, which are logged only when they are answered. `utilization_percent` is 0 for
/// moves with other reasons.
pub(super) fn log_planned_order(
    planned: &PlannedOrder,
    loads_left: usize,
    strategy: PlacementStrategy,
) {
    if planned.order.weights.adapter.is_some() {
        return;
    }
    let server = &*planned.server;
    let action = format!("{:?}", planned.order.action);
    let model = &*planned.order.weights.model;
    let makes_room_for = planned.makes_room_for.as_deref().unwrap_or("-");
    let takes_millis = planned.expected_duration.as_millis() as u64;
    let from_store = planned.from_store;
    let reason = reason_name(planned, strategy);
    let utilization_percent = match planned.reason {
        Some(MoveReason::Utilization { percent }) => percent,
        _ => 0,
    };
    let strategy = strategy.name();
    info!("[leader] a load or unload of a model is planned", kv: { server, action, model, makes_room_for, from_store, takes_millis, loads_left, strategy, reason, utilization_percent });
}

/// Name of the reason of a move, or of the strategy if that gives none.
pub(super) fn reason_name(planned: &PlannedOrder, strategy: PlacementStrategy) -> &'static str {
    planned.reason.map_or(strategy.name(), MoveReason::name)
}
