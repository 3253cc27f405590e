//! The list of servers that a node publishes to its threads.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use cometmoor_core::gateway::registry::{ServerEntry, ServerRecord, ServerState};
use cometmoor_core::gateway::restored_registry::ServersByIncarnation;
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_gateway::control::fleet::PublishedServers;

fn registry(servers: usize) -> ServersByIncarnation {
    let entry = |index: usize| {
        let id: Arc<str> = format!("i-{index}").into();
        let record = Arc::new(ServerRecord {
            id: id.clone(),
            started_unix_ms: None,
            incarnation: id.clone(),
            service: "app".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
            zone: "zone-a".to_owned(),
            software: format!("v{}", index % 2),
            slots: 8,
            state: ServerState::Ready,
            models: Vec::new(),
            in_host_memory: Vec::new(),
            on_disk: Vec::new(),
            remaining: None,
            write_number: 0,
        });
        (id, ServerEntry { revision: 1, create_revision: 1, record })
    };
    (0..servers).map(entry).collect()
}

/// Building the list and the versions of 4,000 servers four times a second took half of the
/// processor time of each node.
#[test]
fn an_unchanged_list_of_thousands_of_servers_is_not_built_again() {
    for servers in [4_000, 8_000] {
        let registry = registry(servers);
        let mut published = PublishedServers::default();
        published.replace(&registry);
        let first = published.list().clone();
        assert_eq!(first.len(), servers);
        published.set_leaving(HashSet::new(), &registry);
        assert!(Arc::ptr_eq(&first, published.list()), "nothing has changed");
        assert_eq!(published.software().count(), 2);
    }
}

#[test]
fn a_server_that_reports_that_it_is_leaving_is_published_as_leaving() {
    let registry = registry(3);
    let mut published = PublishedServers::default();
    published.replace(&registry);
    let leaving = HashSet::from([IncarnationHash::of("i-1")]);
    let draining = |published: &PublishedServers| -> Vec<Arc<str>> {
        let records = published.list().iter();
        let draining = records.filter(|record| record.state == ServerState::Draining);
        draining.map(|record| record.incarnation.clone()).collect()
    };
    assert!(draining(&published).is_empty());
    published.set_leaving(leaving.clone(), &registry);
    assert_eq!(draining(&published), vec!["i-1".into()]);
    published.replace(&registry);
    assert_eq!(draining(&published), vec!["i-1".into()], "its entry does not end that");
    published.set_leaving(HashSet::new(), &registry);
    assert!(draining(&published).is_empty());
}
