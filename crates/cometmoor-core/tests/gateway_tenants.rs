//! Who may run a request of a route, and what it counts.

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
fn each_key_of_a_tenant_is_its_own_and_a_tenant_without_keys_runs_nothing() {
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
fn routes_need_keys_where_tenants_are_listed_even_if_there_are_none() {
    let current = KeyFreshness::CURRENT;
    let nobody = Tenants::default();
    let missing = PresentedKey::Missing;
    assert_eq!(access(None, &route(false), missing, current), Access::Granted(None));
    assert_eq!(access(Some(&nobody), &route(false), missing, current), Access::Denied);
    assert_eq!(access(Some(&nobody), &route(false), key("k"), current), Access::Denied);
    assert_eq!(access(Some(&nobody), &route(true), missing, current), Access::Granted(None));
}

#[test]
fn a_public_route_runs_for_anybody_and_for_a_tenant_where_the_key_holds() {
    let tenants = Tenants::new(vec![(tenant("linen"), vec![KeyDigest::of(b"k1")])]);
    let too_old = KeyFreshness { admits: false, denies: false };
    let of = |key, knowledge| access(Some(&tenants), &route(true), key, knowledge);
    assert_eq!(name(&of(key("k1"), KeyFreshness::CURRENT)), Some("linen"));
    assert_eq!(of(key("k2"), KeyFreshness::CURRENT), Access::Granted(None));
    assert_eq!(of(key("k1"), too_old), Access::Granted(None));
    assert_eq!(of(PresentedKey::Malformed, KeyFreshness::CURRENT), Access::Granted(None));
}

#[test]
fn a_copy_that_is_too_old_decides_nothing() {
    let tenants = Tenants::new(vec![(tenant("linen"), vec![KeyDigest::of(b"k1")])]);
    let too_old = KeyFreshness { admits: false, denies: false };
    for text in ["k1", "k2"] {
        let decided = access(Some(&tenants), &route(false), key(text), too_old);
        assert_eq!(decided, Access::Undecided, "{text}");
    }
}

#[test]
fn a_request_counts_its_tokens_or_what_one_without_them_counts() {
    let tokens = QuotaUnit::Tokens { default_tokens: 200 };
    assert_eq!(tokens.cost(Some(1540)), 1540);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(QuotaUnit::Requests.cost(Some(1540)), 1);
    assert_eq!(QuotaUnit::Requests.cost(None), 1);
}
