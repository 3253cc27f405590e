//! Log lines of token requests that this node denied as a lender.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quota::{LenderDenial, QuotaKey};
use cometmoor_core::time::BootInstant;
use spdlog::info;

use super::LimitScope;
use crate::clock;
use crate::published::FleetSnapshot;

/// Minimum time between two lines for the same limit. An exhausted limit is requested many times a
/// second.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Logs denials with the state of the account that decided them.
#[derive(Debug, Default)]
pub(super) struct DenialLog {
    /// When a denial of each limit was last logged.
    logged_at: RefCell<HashMap<QuotaKey, BootInstant>>,
}

impl DenialLog {
    /// Logs a denial, unless one for the same limit was logged recently.
    pub(super) fn log(&self, scope: LimitScope, denial: &LenderDenial, fleet: &FleetSnapshot) {
        if !self.is_due(denial.key) {
            return;
        }
        let name = limited_name(scope, denial.key, fleet);
        let (scope, name) = (scope.name(), name.as_deref().unwrap_or("-"));
        let LenderDenial { to, role, cost, level, capacity, per_second, .. } = *denial;
        info!("[quota] denied tokens to a node", kv: { scope, name, to = to.to_string(), role, cost, level, capacity, per_second });
    }

    fn is_due(&self, key: QuotaKey) -> bool {
        let now = clock::now();
        let mut logged_at = self.logged_at.borrow_mut();
        logged_at.retain(|_, at| now.since(*at) < MIN_INTERVAL);
        let is_due = !logged_at.contains_key(&key);
        if is_due {
            logged_at.insert(key, now);
        }
        is_due
    }
}

/// Name of the tenant or server that a limit applies to; `None` if this node does not know it.
fn limited_name(scope: LimitScope, key: QuotaKey, fleet: &FleetSnapshot) -> Option<Arc<str>> {
    if scope != LimitScope::Tenants {
        return fleet.incarnation(key.into());
    }
    let tenants = fleet.configuration.as_ref()?.tenants.as_ref()?;
    let tenant = tenants.all().iter().find(|tenant| QuotaKey::of(&tenant.name) == key)?;
    Some(tenant.name.as_str().into())
}
