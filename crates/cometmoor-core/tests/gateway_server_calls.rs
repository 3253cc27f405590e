//! The leader's calls to thousands of servers are bounded, and all servers get theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cometmoor_core::gateway::server_calls::{
    ConnectedServers, MAX_CONCURRENT_CALLS, MAX_CONNECTED_SERVERS, next_calls, pause_after_round,
};
use cometmoor_core::time::Timestamp;

/// File descriptors of a node of the smallest size.
const MIN_DESCRIPTORS: usize = 4_100;
/// Timeout of a call.
const CALL_TIMEOUT_MILLIS: u64 = 800;
/// Time between two calls to a server.
const REPORT_INTERVAL_MILLIS: u64 = 150;

/// A leader on a machine on which each call takes `cost_micros` of processor time, one after the
/// other. Returns the time until all servers have reported, in milliseconds, and the largest
/// numbers of calls in progress and of connections.
fn take_over(servers: usize, cost_micros: u64) -> (u64, usize, usize) {
    let mut waiting: BTreeMap<usize, Option<Timestamp>> =
        (0..servers).map(|server| (server, None)).collect();
    let mut connected = ConnectedServers::default();
    let (mut most_calls, mut most_connections) = (0, 0);
    let mut now = 0;
    while !waiting.is_empty() {
        let is_due = |called: &Option<Timestamp>| {
            called.is_none_or(|at| now >= at.0 + REPORT_INTERVAL_MILLIS)
        };
        let due = waiting.iter().filter(|(_, called)| is_due(called));
        let due = due.map(|(server, called)| (*called, *server)).collect();
        let called: Vec<usize> = next_calls(due, 0).collect();
        most_calls = most_calls.max(called.len());
        most_connections = most_connections.max(connected.len() + called.len());
        let batch_micros = cost_micros * called.len() as u64;
        for (number, server) in called.iter().enumerate() {
            waiting.insert(*server, Some(Timestamp(now)));
            let answered_millis = cost_micros * (number as u64 + 1) / 1000;
            if answered_millis < CALL_TIMEOUT_MILLIS {
                waiting.remove(server);
                connected.record_call(server);
            }
        }
        now += (batch_micros / 1000).max(10);
        assert!(now < 60_000, "{} of {servers} servers have not reported", waiting.len());
    }
    (now, most_calls, most_connections)
}

/// A leader called all servers at once. On an eighth of a core most of the calls then exceeded
/// their timeout, and a connection to each took all descriptors of the process.
#[test]
fn a_new_leader_gets_reports_of_thousands_of_servers_with_few_calls_and_connections() {
    for servers in [12, 300, 4_000, 8_000] {
        let (took, most_calls, most_connections) = take_over(servers, 1_000);
        assert!(took <= 2 * servers as u64 + 20, "{servers} servers: {took} ms");
        assert!(most_calls <= MAX_CONCURRENT_CALLS, "{servers} servers: {most_calls} calls");
        assert!(
            most_connections < MIN_DESCRIPTORS / 4,
            "{servers} servers: {most_connections} connections"
        );
    }
}

/// Servers that do not answer would take all calls if they were asked again before the others.
#[test]
fn servers_that_have_not_been_called_come_before_those_that_did_not_answer() {
    let due = vec![(Some(Timestamp(7)), 1), (None, 2), (Some(Timestamp(3)), 3), (None, 4)];
    assert_eq!(next_calls(due.clone(), 0).collect::<Vec<_>>(), vec![2, 4, 3, 1]);
    assert_eq!(next_calls(due.clone(), MAX_CONCURRENT_CALLS - 1).collect::<Vec<_>>(), vec![2]);
    assert_eq!(next_calls(due, MAX_CONCURRENT_CALLS + 1).count(), 0);
}

#[test]
fn connections_to_the_servers_called_last_are_kept() {
    let mut connected = ConnectedServers::default();
    let mut open = BTreeSet::new();
    for call in 0..3 * MAX_CONNECTED_SERVERS {
        for server in [call, 0] {
            open.insert(server);
            if let Some(closed) = connected.record_call(&server) {
                assert!(open.remove(&closed), "{closed} is closed twice");
                assert_ne!(closed, 0, "the server that is called most is closed");
            }
        }
    }
    assert_eq!(open.len(), MAX_CONNECTED_SERVERS);
    assert!(open.contains(&(3 * MAX_CONNECTED_SERVERS - 1)));
}

/// With rounds one after the other, a leader of thousands of servers had no time for requests and
/// heartbeats.
#[test]
fn rounds_of_the_leader_take_at_most_half_of_its_time() {
    let min = Duration::from_millis(10);
    for (took_millis, pause_millis) in [(0, 10), (10, 10), (120, 120), (500, 500), (9_000, 2_000)] {
        let pause = pause_after_round(Duration::from_millis(took_millis), min);
        assert_eq!(pause, Duration::from_millis(pause_millis));
    }
}
