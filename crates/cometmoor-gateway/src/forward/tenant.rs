//! Whose request it is, and whether its key still holds.

use std::sync::Arc;

use cometmoor_core::gateway::configuration::Route;
use cometmoor_core::gateway::tenants::{Access, Tenant, access};

use super::Forward;
use super::outcome::Refusal;
use crate::dialect::RequestFacts;
use crate::published::Published;

/// A request that may run, as far as its route and its key are concerned.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The tenant whose request it is; none where callers need no keys.
    pub tenant: Option<Arc<Tenant>>,
}

/// Decides by the configuration in force whether a request of a route may run.
pub fn access_to(fleet: &Published, route: &Route, facts: &RequestFacts) -> Access {
    let tenants = fleet.configuration.as_ref().and_then(|known| known.tenants.as_deref());
    access(tenants, route, facts.key, fleet.key_knowledge())
}

impl Forward<'_> {
    /// Decides once more whether the request may run, by the configuration in force now: a
    /// key may have been taken away, or the proof have become too old, while the request
    /// waited.
    pub(super) fn check_key(&self) -> Result<(), Refusal> {
        let fleet = self.traffic.board.fleet.load();
        match access_to(&fleet, &self.route, &self.facts) {
            Access::Granted(tenant) => {
                self.tenant.replace(tenant);
                Ok(())
            }
            Access::Denied => Err(Refusal::KeyTakenAway),
            Access::Undecided => Err(Refusal::KeyUndecided),
        }
    }

    /// Name of the tenant whose request it is.
    pub(super) fn tenant_name(&self) -> Option<String> {
        self.tenant.borrow().as_ref().map(|tenant| tenant.name.clone())
    }

    /// Rank of the request: the tenant's, or else the route's; 0 is the most urgent.
    pub(super) fn urgency(&self) -> u8 {
        let of_tenant = self.tenant.borrow().as_ref().and_then(|tenant| tenant.priority);
        of_tenant.unwrap_or(self.route.priority)
    }
}
