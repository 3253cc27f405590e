//! Tenants of a configuration: who may send, with which urgency, and how much.

use std::sync::Arc;

use super::configuration::Route;
use crate::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};

/// What a limit is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests, each one alike.
    Requests,
    /// Tokens of the prompt and of the longest answer together.
    Tokens {
        /// What a request counts that names no tokens.
        default_tokens: u64,
    },
}

impl QuotaUnit {
    /// What a request counts that names so many tokens.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens),
        }
    }
}

/// How much a tenant may run on all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimit {
    /// Amount a second.
    pub per_second: f64,
    /// Amount on top, at once.
    pub burst: f64,
    /// What both are counted in.
    pub unit: QuotaUnit,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, as servers are told it.
    pub name: String,
    /// Rank of its requests, 0 is the most urgent; none where that is the route's.
    pub priority: Option<u8>,
    /// Its limit; none where it has none.
    pub limit: Option<TenantLimit>,
}

/// The tenants of a configuration, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    all: Vec<Arc<Tenant>>,
    keys: KeyRing<Arc<Tenant>>,
}

impl Tenants {
    /// Tenants with the digests of their keys.
    pub fn new(tenants: Vec<(Tenant, Vec<KeyDigest>)>) -> Tenants {
        let tenants: Vec<(Arc<Tenant>, Vec<KeyDigest>)> =
            tenants.into_iter().map(|(tenant, keys)| (Arc::new(tenant), keys)).collect();
        let held = tenants
            .iter()
            .flat_map(|(tenant, keys)| keys.iter().map(|digest| (*digest, tenant.clone())));
        let keys = held.collect();
        Tenants { all: tenants.into_iter().map(|(tenant, _)| tenant).collect(), keys }
    }

    /// All tenants.
    pub fn all(&self) -> &[Arc<Tenant>] {
        &self.all
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Decides on a key.
    fn check(&self, key: PresentedKey, knowledge: KeyFreshness) -> KeyCheck<'_, Arc<Tenant>> {
        self.keys.check(key, knowledge)
    }
}

/// Whether a request may run, by the key that it carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// It may, as a request of this tenant, or of none.
    Granted(Option<Arc<Tenant>>),
    /// Its key is nobody's.
    Denied,
    /// The copy of the keys is too old to tell.
    Undecided,
}

/// Decides whether a request of a route may run. Without tenants all may; on a public
/// route those without a valid key run as requests of no tenant.
pub fn access(
    tenants: Option<&Tenants>,
    route: &Route,
    key: PresentedKey,
    knowledge: KeyFreshness,
) -> Access {
    let Some(tenants) = tenants else { return Access::Granted(None) };
    match tenants.check(key, knowledge) {
        KeyCheck::Admitted(tenant) => Access::Granted(Some(tenant.clone())),
        _ if route.is_public => Access::Granted(None),
        KeyCheck::Unknown => Access::Denied,
        KeyCheck::Undecided => Access::Undecided,
    }
}
