//! Whether a request is forwarded, by the configuration and the state of the node.

use std::time::Duration;

use cometmoor_core::gateway::admission::finishes_before_stop;
use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::tenants::Access;
use cometmoor_core::keys::PresentedKey;

use crate::clock;
use crate::dialect::RequestMetadata;
use crate::forward::{Admitted, LocalResponse, TrafficContext, check_access};
use crate::http::head::RequestHead;
use crate::published::{FleetSnapshot, Phase};

/// Retry delay if the node cannot serve the request now.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay while the node has no configuration: fetching it may take as long as the timeout of
/// one call to the store.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Retry delay if another node should serve the request.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(20);

/// How a request is handled.
pub(super) enum Decision {
    /// Respond without forwarding it.
    Respond(LocalResponse),
    /// Forward the request to the named service.
    Forward(Admitted, String),
}

/// Whether the route of a request requires a key and the request has no valid one.
pub(super) fn is_unauthorized(
    traffic: &TrafficContext,
    head: &RequestHead,
    metadata: &RequestMetadata,
) -> bool {
    let fleet = traffic.board.fleet.load();
    let Some(configuration) = &fleet.configuration else { return false };
    let host = head.host().unwrap_or_default();
    let Some(route) = configuration.route(&host, head.path()) else { return false };
    check_access(&fleet, route, metadata) == Access::Denied
}

/// Decides how a request that was read completely is handled.
pub(super) fn decide(
    fleet: &FleetSnapshot,
    head: &RequestHead,
    metadata: &RequestMetadata,
) -> Decision {
    let refusal = Decision::Respond(LocalResponse::not_run(RETRY_AFTER));
    let Some(configuration) = &fleet.configuration else {
        return Decision::Respond(LocalResponse::not_run(STARTING_RETRY_AFTER));
    };
    if fleet.phase == Phase::Closing {
        return refusal;
    }
    let host = head.host().unwrap_or_default();
    let Some(route) = configuration.route(&host, head.path()) else {
        let is_current = fleet.configuration_is_current();
        return if is_current { Decision::Respond(LocalResponse::no_route()) } else { refusal };
    };
    let tenant = match check_access(fleet, route, metadata) {
        Access::Granted(tenant) => tenant,
        Access::Denied => return Decision::Respond(LocalResponse::unauthorized()),
        Access::Undecided => return refusal,
    };
    if !finishes_before_shutdown(fleet, route, metadata) {
        return Decision::Respond(LocalResponse::not_run(OTHER_NODE_RETRY_AFTER));
    }
    match route.target(rand::random()) {
        Some(service) => {
            Decision::Forward(Admitted { route: route.clone(), tenant }, service.to_owned())
        }
        None => refusal,
    }
}

/// How the key was presented, for log lines.
pub(super) fn key_presence(key: &PresentedKey) -> &'static str {
    match key {
        PresentedKey::Missing => "missing",
        PresentedKey::Malformed => "malformed",
        PresentedKey::Key(_) => "present",
    }
}

/// Whether the request will finish before the deadline of a planned shutdown.
fn finishes_before_shutdown(
    fleet: &FleetSnapshot,
    route: &Route,
    metadata: &RequestMetadata,
) -> bool {
    let Some(shutdown) = fleet.shutdown else { return true };
    let now = clock::now();
    finishes_before_stop(
        now.since(shutdown.started),
        shutdown.deadline.since(now),
        route.timeout.min(metadata.deadline.unwrap_or(route.timeout)),
        metadata.declares_tokens.then_some(metadata.output_tokens),
    )
}
