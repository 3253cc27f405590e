//! Tenants of a configuration: their keys, priorities and quotas.

use std::sync::Arc;

use super::configuration::Route;
use crate::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};

/// The unit of a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as 1.
    Requests,
    /// A request counts as its prompt tokens plus its maximum number of output tokens.
    Tokens {
        /// Tokens charged for a request that does not state a number of tokens.
        default_tokens: u64,
    },
}

impl QuotaUnit {
    /// Cost of a request that states this number of tokens.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// The rate limit of a tenant over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Sustained rate, in units per second.
    pub per_second: f64,
    /// Units that may be used at once in addition to the rate.
    pub burst: f64,
    /// Unit of the rate and the burst.
    pub unit: QuotaUnit,
}

/// A group of clients with its own keys, priority and rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name, as sent to servers.
    pub name: String,
    /// Priority of its requests, 0 is the most urgent; `None` to use the route's priority.
    pub priority: Option<u8>,
    /// Rate limit; `None` if its requests are not limited.
    pub limit: Option<TenantLimit>,
}

/// The tenants of a configuration, with their keys.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    keys: KeyRing<Arc<Tenant>>,
}

impl Tenants {
    /// Creates the set from tenants and the digests of their keys.
    pub fn new(tenants: Vec<(Tenant, Vec<KeyDigest>)>) -> Tenants {
        let tenants: Vec<(Arc<Tenant>, Vec<KeyDigest>)> =
            tenants.into_iter().map(|(tenant, keys)| (Arc::new(tenant), keys)).collect();
        let key_owners = tenants
            .iter()
            .flat_map(|(tenant, keys)| keys.iter().map(|digest| (*digest, tenant.clone())));
        let keys = key_owners.collect();
        Tenants { all: tenants.into_iter().map(|(tenant, _)| tenant).collect(), keys }
    }

    /// All tenants.
    pub fn all(&self) -> &[Arc<Tenant>] {
        &self.all
    }

    /// Number of keys of all tenants.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Looks up the tenant of a key.
    fn check(&self, key: PresentedKey, freshness: KeyFreshness) -> KeyCheck<'_, Arc<Tenant>> {
        self.keys.check(key, freshness)
    }
}

/// Result of the access check of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The request may run, on behalf of this tenant or without a tenant.
    Granted(Option<Arc<Tenant>>),
    /// The key belongs to no tenant.
    Denied,
    /// The node's copy of the keys is too old to decide.
    Undecided,
}

/// Decides whether a request of a route may run. If the configuration has no tenants, every
/// request may run. On a public route a request without a valid key runs without a tenant.
pub fn access(
    tenants: Option<&Tenants>,
    route: &Route,
    key: PresentedKey,
    freshness: KeyFreshness,
) -> Access {
    let Some(tenants) = tenants else { return Access::Granted(None) };
    match tenants.check(key, freshness) {
        KeyCheck::Admitted(tenant) => Access::Granted(Some(tenant.clone())),
        _ if route.is_public => Access::Granted(None),
        KeyCheck::Unknown => Access::Denied,
        KeyCheck::Undecided => Access::Undecided,
    }
}
