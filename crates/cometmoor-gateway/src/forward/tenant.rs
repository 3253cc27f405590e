//! Whose request it is, and whether its key still holds.

use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::quota::Decision;
use cometmoor_core::gateway::tenants::{Access, Tenant, access};

use super::outcome::Refusal;
use super::{COME_BACK_SOON, ForwardedRequest};
use crate::clock;
use crate::dialect::RequestFacts;
use crate::published::Published;

/// Shortest time after which a caller is told to come back that met a limit.
const SHORTEST_COME_BACK: Duration = Duration::from_millis(20);

/// A request that may run, as far as its route and its key are concerned.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The tenant whose request it is; none where callers need no keys.
    pub tenant: Option<Arc<Tenant>>,
}

/// Decides by the configuration in force whether a request of a route may run.
pub fn check_access(fleet: &Published, route: &Route, facts: &RequestFacts) -> Access {
    let tenants = fleet.configuration.as_ref().and_then(|known| known.tenants.as_deref());
    access(tenants, route, facts.key, fleet.key_freshness())
}

impl ForwardedRequest<'_> {
    /// Decides once more whether the request may run, by the configuration in force now: a
    /// key may have been taken away, or the proof have become too old, while the request
    /// waited.
    pub(super) fn check_key(&self) -> Result<(), Refusal> {
        let fleet = self.traffic.board.fleet.load();
        match check_access(&fleet, &self.route, &self.facts) {
            Access::Granted(tenant) => {
                self.tenant.replace(tenant);
                Ok(())
            }
            Access::Denied => Err(Refusal::KeyTakenAway),
            Access::Undecided => Err(Refusal::KeyUndecided),
        }
    }

    /// Charges the request to its tenant's limit; tells why and when to come back where that
    /// does not allow it.
    pub(super) async fn acquire_quota(&self) -> Result<(), (Refusal, Duration)> {
        let Some(tenant) = self.tenant.borrow().clone() else { return Ok(()) };
        let version = {
            let fleet = self.traffic.board.fleet.load();
            fleet.configuration.as_ref().map_or(0, |known| known.version)
        };
        let asked = clock::now();
        let decision = self.traffic.quota.acquire(&tenant, version, self.facts.tokens()).await;
        self.traffic.metrics.observe(&self.traffic.metrics.quota, clock::elapsed(asked));
        match decision {
            Decision::Granted => {
                self.charged.replace(Some(tenant));
                Ok(())
            }
            Decision::Refused(after) => Err((Refusal::OverLimit, after.max(SHORTEST_COME_BACK))),
            Decision::Undecided | Decision::Pending(_) => {
                Err((Refusal::LimitUndecided, COME_BACK_SOON))
            }
        }
    }

    /// Gives back what the request was charged, if no server can have run it.
    pub(super) fn give_quota_back(&self) {
        if self.attempts.get().is_known_not_run()
            && let Some(tenant) = self.charged.take()
        {
            self.traffic.quota.give_back(&tenant, self.facts.tokens());
        }
    }

    /// Notes how the request ended.
    pub(super) fn ended(&self, outcome: &'static str, step: &'static str, cause: &'static str) {
        self.traffic.metrics.ended(outcome, step, cause);
        if let Some(tenant) = &*self.tenant.borrow() {
            self.traffic.metrics.ended_for_tenant(&tenant.name, outcome);
        }
    }

    /// Name of the tenant whose request it is.
    pub(super) fn tenant_name(&self) -> Option<String> {
        self.tenant.borrow().as_ref().map(|tenant| tenant.name.clone())
    }

    /// The same for log lines.
    pub(super) fn tenant_label(&self) -> String {
        self.tenant_name().unwrap_or_else(|| "-".to_owned())
    }

    /// Rank of the request: the tenant's, or else the route's; 0 is the most urgent.
    pub(super) fn urgency(&self) -> u8 {
        let of_tenant = self.tenant.borrow().as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }
}
