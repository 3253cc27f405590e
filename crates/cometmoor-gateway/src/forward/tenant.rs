//! The tenant of a request: its key, its quota and its priority.

use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::quota::Decision;
use cometmoor_core::gateway::tenants::{Access, Tenant, access};

use super::outcome::Refusal;
use super::{ForwardedRequest, UNDECIDED_RETRY_AFTER};
use crate::clock;
use crate::dialect::RequestMetadata;
use crate::published::FleetSnapshot;

/// Shortest retry delay for a request over its tenant's limit.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The route and tenant of a request whose key is valid for its route.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The tenant of the request; `None` if callers need no keys.
    pub tenant: Option<Arc<Tenant>>,
}

/// Decides by the active configuration whether the key of a request gives access to a route.
pub fn check_access(fleet: &FleetSnapshot, route: &Route, metadata: &RequestMetadata) -> Access {
    let tenants = fleet.configuration.as_ref().and_then(|known| known.tenants.as_deref());
    access(tenants, route, metadata.key, fleet.key_freshness())
}

impl ForwardedRequest<'_> {
    /// Checks the key again by the active configuration: while the request waited, the key may
    /// have been revoked, or the proof that the configuration is current may have become too
    /// old.
    pub(super) fn check_key(&self) -> Result<(), Refusal> {
        let fleet = self.traffic.board.fleet.load();
        match check_access(&fleet, &self.route, &self.metadata) {
            Access::Granted(tenant) => {
                self.tenant.replace(tenant);
                Ok(())
            }
            Access::Denied => Err(Refusal::KeyRevoked),
            Access::Undecided => Err(Refusal::KeyUndecided),
        }
    }

    /// Charges the request to its tenant's limit. The error is the refusal and the retry delay.
    pub(super) async fn acquire_quota(&self) -> Result<(), (Refusal, Duration)> {
        let Some(tenant) = self.tenant.borrow().clone() else { return Ok(()) };
        let version = {
            let fleet = self.traffic.board.fleet.load();
            fleet.configuration.as_ref().map_or(0, |known| known.version)
        };
        let started = clock::now();
        let decision = self.traffic.quota.acquire(&tenant, version, self.metadata.tokens()).await;
        self.traffic.metrics.observe(&self.traffic.metrics.quota_time, clock::elapsed(started));
        match decision {
            Decision::Granted => {
                self.charged_tenant.replace(Some(tenant));
                Ok(())
            }
            Decision::Refused(after) => Err((Refusal::OverLimit, after.max(MIN_RETRY_AFTER))),
            Decision::Undecided | Decision::Pending(_) => {
                Err((Refusal::LimitUndecided, UNDECIDED_RETRY_AFTER))
            }
        }
    }

    /// Refunds what the request was charged, if no server can have run it.
    pub(super) fn refund_quota(&self) {
        if self.attempts.get().is_known_not_run()
            && let Some(tenant) = self.charged_tenant.take()
        {
            self.traffic.quota.refund(&tenant, self.metadata.tokens());
        }
    }

    /// Counts the request by its outcome, also for its tenant.
    pub(super) fn record_end(
        &self,
        outcome: &'static str,
        step: &'static str,
        cause: &'static str,
    ) {
        self.traffic.metrics.record_outcome(outcome, step, cause);
        if let Some(tenant) = &*self.tenant.borrow() {
            self.traffic.metrics.record_tenant_outcome(&tenant.name, outcome);
        }
    }

    /// Name of the request's tenant.
    pub(super) fn tenant_name(&self) -> Option<String> {
        self.tenant.borrow().as_ref().map(|tenant| tenant.name.clone())
    }

    /// Name of the request's tenant for log lines; `-` if there is none.
    pub(super) fn tenant_label(&self) -> String {
        self.tenant_name().unwrap_or_else(|| "-".to_owned())
    }

    /// Priority of the request: the tenant's, or else the route's; 0 is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let tenant_priority = self.tenant.borrow().as_ref().and_then(|tenant| tenant.priority);
        tenant_priority.unwrap_or(self.route.priority)
    }
}
