//! Access checks by key and route, and the quota cost of requests.

use std::time::Duration;

use cometmoor_core::gateway::configuration::{RetryPolicy, Route};
use cometmoor_core::gateway::tenants::{Access, QuotaUnit, Tenant, Tenants, access};
use cometmoor_core::keys::{KeyDigest, KeyFreshness, PresentedKey};

fn route(is_public: bool) -> Route {
    Route {
        name: "route".to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        retry_policy: RetryPolicy::Once,
        timeout: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        max_attempts: 1,
        event_interval_limit: None,
        priority: 2,
        is_public,
        targets: Vec::new(),
    }
}

fn tenant(name: &str) -> Tenant {
    Tenant { name: name.to_owned(), priority: Some(1), limit: None }
}

fn key(text: &str) -> PresentedKey {
    PresentedKey::Key(KeyDigest::of(text.as_bytes()))
}

fn name(access: &Access) -> Option<&str> {
    match access {
        Access::Granted(Some(tenant)) => Some(&tenant.name),
        _ => None,
    }
}

#[test]
fn each_key_grants_access_to_its_tenant_only() {
    let digests = |keys: &[&str]| keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    let tenants = Tenants::new(vec![
        (tenant("linen"), digests(&["k1", "k2"])),
        (tenant("desk"), digests(&["k3"])),
        (tenant("idle"), Vec::new()),
    ]);
    let granted = |text| access(Some(&tenants), &route(false), key(text), KeyFreshness::CURRENT);
    assert_eq!(name(&granted("k1")), Some("linen"));
    assert_eq!(name(&granted("k2")), Some("linen"));
    assert_eq!(name(&granted("k3")), Some("desk"));
    assert_eq!(granted("k4"), Access::Denied);
    assert_eq!((tenants.all().len(), tenants.key_count()), (3, 3));
}

#[test]
fn routes_require_a_key_once_tenants_are_configured_even_an_empty_list() {
    let current = KeyFreshness::CURRENT;
    let no_tenants = Tenants::default();
    let missing = PresentedKey::Missing;
    assert_eq!(access(None, &route(false), missing, current), Access::Granted(None));
    assert_eq!(access(Some(&no_tenants), &route(false), missing, current), Access::Denied);
    assert_eq!(access(Some(&no_tenants), &route(false), key("k"), current), Access::Denied);
    assert_eq!(access(Some(&no_tenants), &route(true), missing, current), Access::Granted(None));
}

#[test]
fn a_public_route_accepts_any_request_and_attributes_valid_keys_to_their_tenant() {
    let tenants = Tenants::new(vec![(tenant("linen"), vec![KeyDigest::of(b"k1")])]);
    let stale = KeyFreshness { admits: false, denies: false };
    let check = |key, freshness| access(Some(&tenants), &route(true), key, freshness);
    assert_eq!(name(&check(key("k1"), KeyFreshness::CURRENT)), Some("linen"));
    assert_eq!(check(key("k2"), KeyFreshness::CURRENT), Access::Granted(None));
    assert_eq!(check(key("k1"), stale), Access::Granted(None));
    assert_eq!(check(PresentedKey::Malformed, KeyFreshness::CURRENT), Access::Granted(None));
}

#[test]
fn a_stale_copy_of_the_keys_leaves_access_undecided() {
    let tenants = Tenants::new(vec![(tenant("linen"), vec![KeyDigest::of(b"k1")])]);
    let stale = KeyFreshness { admits: false, denies: false };
    for text in ["k1", "k2"] {
        let decided = access(Some(&tenants), &route(false), key(text), stale);
        assert_eq!(decided, Access::Undecided, "{text}");
    }
}

#[test]
fn a_request_costs_its_tokens_or_the_default() {
    let tokens = QuotaUnit::Tokens { default_tokens: 200 };
    assert_eq!(tokens.cost(Some(1540)), 1540);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(QuotaUnit::Requests.cost(Some(1540)), 1);
    assert_eq!(QuotaUnit::Requests.cost(None), 1);
}
