//! Which software version began a stream: where it is recorded, and when it is known without a
//! record.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::registry::{ServerRecord, ServerState, SoftwareHash};
use cometmoor_core::gateway::stream_origins::{
    HOLDERS, OriginAnswer, OriginQuery, ServiceHash, StreamKey, StreamOrigins, VersionHistory,
};
use cometmoor_core::time::BootInstant;

const SERVICE: &str = "app";
const RETURN_TIME: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_secs(1000 + seconds))
}

fn version(name: &str) -> SoftwareHash {
    SoftwareHash::of(SERVICE, name)
}

fn nodes(count: u16) -> Vec<SocketAddrV4> {
    (0..count).map(|n| SocketAddrV4::new(Ipv4Addr::from(0x0a00_0000 + u32::from(n)), 7)).collect()
}

fn server(software: &str) -> ServerRecord {
    let id: Arc<str> = format!("i-{software}").into();
    ServerRecord {
        id: id.clone(),
        started_unix_ms: None,
        incarnation: id,
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
        zone: "zone-a".to_owned(),
        software: software.to_owned(),
        slots: 1,
        state: ServerState::Ready,
        models: Vec::new(),
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
        remaining: None,
        write_number: 1,
    }
}

fn holders(key: StreamKey, nodes: &[SocketAddrV4]) -> HashSet<SocketAddrV4> {
    key.holders(nodes.iter().copied()).into_iter().take(HOLDERS).collect()
}

#[test]
fn holders_change_only_with_the_nodes_that_join_or_leave() {
    for count in [4, 12, 30, 90, 350] {
        let known = nodes(count);
        let (left, rest) = known.split_last().unwrap();
        for number in 0..200 {
            let key = StreamKey::of(&format!("try-{number}"), None);
            let (before, after) = (holders(key, &known), holders(key, rest));
            assert_eq!(before.len(), HOLDERS);
            let lost = before.difference(&after).collect::<Vec<_>>();
            match before.contains(left) {
                true => assert_eq!(lost, [left]),
                false => assert!(lost.is_empty()),
            }
        }
    }
}

#[test]
fn holders_are_spread_over_the_nodes() {
    let known = nodes(30);
    let mut counts = std::collections::HashMap::new();
    for number in 0..3000 {
        for holder in holders(StreamKey::of(&format!("try-{number}"), None), &known) {
            *counts.entry(holder).or_insert(0) += 1;
        }
    }
    let mean = 3000 * HOLDERS / 30;
    assert!(counts.values().all(|count| (mean / 2..2 * mean).contains(count)), "{counts:?}");
}

#[test]
fn tenants_do_not_share_the_names_of_their_attempts() {
    let keys = [
        StreamKey::of("try-1", None),
        StreamKey::of("try-1", Some("linen")),
        StreamKey::of("try-1", Some("library")),
        StreamKey::of("try-1linen", None),
    ];
    assert_eq!(keys.iter().collect::<HashSet<_>>().len(), keys.len());
}

#[test]
fn the_first_version_of_a_stream_stays_until_it_expires() {
    let mut origins = StreamOrigins::default();
    let key = StreamKey::of("try-1", None);
    origins.record(key, version("v1"), at(10));
    origins.record(key, version("v2"), at(20));
    assert_eq!(origins.get(key, at(15)), Some(version("v1")), "its lifetime is extended");
    origins.record(key, version("v1"), at(12));
    assert_eq!(origins.get(key, at(19)), Some(version("v1")), "its lifetime is not shortened");
    assert_eq!(origins.get(key, at(20)), None);
    origins.expire(at(20));
    assert!(origins.is_empty());
}

#[test]
fn the_number_of_origins_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..60_000 {
        let key = StreamKey::of(&format!("try-{number}"), None);
        origins.record(key, version("v1"), at(10 + number));
    }
    assert_eq!(origins.len(), 50_000);
    assert_eq!(origins.get(StreamKey::of("try-9999", None), at(0)), None, "the oldest are gone");
    assert!(origins.get(StreamKey::of("try-10000", None), at(0)).is_some());
}

/// Records versions in the registry, each second from one time until another.
fn record(history: &mut VersionHistory, versions: &[&str], from: u64, until: u64) {
    let servers: Vec<ServerRecord> = versions.iter().map(|version| server(version)).collect();
    for second in from..=until {
        let software = |server: &ServerRecord| (ServiceHash::of(SERVICE), server.software_hash());
        history.record(servers.iter().map(software), RETURN_TIME, at(second));
    }
}

#[test]
fn a_single_version_is_known_once_all_others_have_gone_for_long_enough() {
    let mut history = VersionHistory::new(None);
    let service = ServiceHash::of(SERVICE);
    let only =
        |history: &VersionHistory, second| history.only_version(service, RETURN_TIME, at(second));
    assert_eq!(only(&history, 0), None);
    record(&mut history, &["v1"], 0, 5);
    assert_eq!(only(&history, 5), Some(version("v1")));
    record(&mut history, &["v1", "v2"], 6, 8);
    assert_eq!(only(&history, 8), None);
    record(&mut history, &["v2"], 9, 38);
    assert_eq!(only(&history, 38), None, "streams of the other one may still be taken up");
    record(&mut history, &["v2"], 39, 39);
    assert_eq!(only(&history, 39), Some(version("v2")));
}

#[test]
fn a_node_that_has_just_started_does_not_know_the_versions_before_it() {
    let mut history = VersionHistory::new(Some(at(0)));
    let service = ServiceHash::of(SERVICE);
    record(&mut history, &["v1"], 0, 29);
    assert_eq!(history.only_version(service, RETURN_TIME, at(29)), None);
    assert_eq!(history.recorded_version(service), Some(version("v1")));
    record(&mut history, &["v1"], 30, 30);
    assert_eq!(history.only_version(service, RETURN_TIME, at(30)), Some(version("v1")));
}

#[test]
fn peers_that_know_different_single_versions_tell_none() {
    let asked = nodes(3);
    let vouches = |name| OriginAnswer { recorded: None, only_version: Some(version(name)) };
    let mut query = OriginQuery::default();
    query.ask(&asked);
    query.answer(asked[0], vouches("v1"));
    assert_eq!((query.only_version(), query.unanswered().len()), (Some(version("v1")), 2));
    query.answer(asked[1], vouches("v2"));
    assert_eq!(query.only_version(), None);
    let recorded = OriginAnswer { recorded: Some(version("v2")), only_version: None };
    query.answer(asked[2], recorded);
    assert_eq!(query.recorded(), Some(version("v2")));
}
