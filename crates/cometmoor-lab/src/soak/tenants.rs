//! Tenants of a run: their keys, which are replaced, and their limits, which change.

use std::time::Duration;

use cometmoor_platform_stand_in::fleet::{limited_by_requests, limited_by_tokens, tenant};
use cometmoor_platform_stand_in::worker::KEY_PREFIX;
use serde_json::{Value, json};

/// Tenant without a limit, whose key is replaced again and again.
pub const DESK: &str = "desk";
/// Tenant that stays well within its limit.
pub const LIBRARY: &str = "library";
/// Tenant without a limit whose key stays.
pub const MONITOR: &str = "monitor";
/// Tenant that at times sends many times its limit.
pub const LAUNDRY: &str = "laundry";
/// Time after which a key that was taken away runs nothing, in the settings of every node.
pub const REVOCATION_BOUND: Duration = Duration::from_secs(2);
/// Span over which limits hold, in the settings of every node.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(8);
/// Part by which limits may be exceeded, in the settings of every node.
pub const LIMIT_EXCESS: f64 = 0.1;
/// Requests a second of the tenant that stays within its limit; the burst is as large.
const LIBRARY_LIMIT: f64 = 20.0;
/// The same of the other one.
const LAUNDRY_LIMIT: f64 = 20.0;
/// Tokens that a request counts as which names none.
const TOKENS_OF_REQUEST: f64 = 10.0;
/// A key that no configuration holds.
pub const UNKNOWN_KEY: &str = "clientkey-of-nobody";

/// What a request shows of who sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key, on a route that needs none.
    Public,
    /// A key of a configuration, by its place among all keys.
    Key(usize),
    /// No key, on a route that needs one.
    Missing,
    /// A key that no configuration has held.
    Unknown,
}

/// A key and when configurations held it.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// Whose it is.
    pub tenant: &'static str,
    /// Its text.
    pub text: String,
    /// When the store took the first configuration with it.
    pub granted: Duration,
    /// When the store took the first one without it.
    pub taken: Option<Duration>,
}

/// Requests a second that a tenant may run, since the store took it. The burst is as large.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRecord {
    /// Whose limit it is.
    pub tenant: &'static str,
    /// Requests a second.
    pub per_second: f64,
    /// When the store took it.
    pub from: Duration,
}

/// The keys and limits of the newest configuration.
#[derive(Clone, Debug, Default)]
pub struct SoakTenants {
    /// All keys that ever were.
    pub keys: Vec<KeyRecord>,
    /// All limits that ever were.
    pub limits: Vec<LimitRecord>,
}

impl SoakTenants {
    /// The tenants as a run starts.
    pub fn new() -> SoakTenants {
        let mut tenants = SoakTenants::default();
        for tenant in [DESK, MONITOR, LIBRARY, LAUNDRY] {
            tenants.add_key(tenant, Duration::ZERO);
        }
        tenants.add_limit(LIBRARY, LIBRARY_LIMIT, Duration::ZERO);
        tenants.add_limit(LAUNDRY, LAUNDRY_LIMIT, Duration::ZERO);
        tenants
    }

    /// The key that a tenant's clients use.
    pub fn key_of(&self, tenant: &str) -> usize {
        let held = |key: &KeyRecord| key.tenant == tenant && key.taken.is_none();
        self.keys.iter().rposition(held).unwrap_or_default()
    }

    /// The key that was taken away last.
    pub fn newest_taken(&self) -> Option<usize> {
        self.keys.iter().rposition(|key| key.taken.is_some())
    }

    /// Puts a new key in the place of the one that a tenant uses.
    pub fn replace_key(&mut self, tenant: &'static str, now: Duration) {
        let old = self.key_of(tenant);
        self.keys[old].taken = Some(now);
        self.add_key(tenant, now);
    }

    /// Sets the limit of the tenant that exceeds it to a part, in hundredths.
    pub fn set_limit(&mut self, hundredths: u32, now: Duration) {
        self.add_limit(LAUNDRY, LAUNDRY_LIMIT * f64::from(hundredths) / 100.0, now);
    }

    /// The tenants as a configuration holds them.
    pub fn configuration(&self) -> Value {
        let limited = |tenant: &str| {
            let limit = self.limits.iter().rfind(|limit| limit.tenant == tenant);
            limit.map_or(0.0, |limit| limit.per_second)
        };
        let tenant = |name| tenant(name, &self.texts(name));
        let library = limited(LIBRARY) * TOKENS_OF_REQUEST;
        json!([
            tenant(DESK),
            tenant(MONITOR),
            limited_by_tokens(tenant(LIBRARY), library, TOKENS_OF_REQUEST),
            limited_by_requests(tenant(LAUNDRY), limited(LAUNDRY)),
        ])
    }

    fn texts(&self, tenant: &str) -> Vec<&str> {
        let held = self.keys.iter().filter(|key| key.tenant == tenant && key.taken.is_none());
        held.map(|key| key.text.as_str()).collect()
    }

    fn add_key(&mut self, tenant: &'static str, granted: Duration) {
        let text = format!("{KEY_PREFIX}{tenant}-{}", self.keys.len());
        self.keys.push(KeyRecord { tenant, text, granted, taken: None });
    }

    fn add_limit(&mut self, tenant: &'static str, per_second: f64, from: Duration) {
        self.limits.push(LimitRecord { tenant, per_second, from });
    }
}
