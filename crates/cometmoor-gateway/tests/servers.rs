//! What a node remembers of a server in addition to its registry entry.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::registry::{LoadedModel, ServerRecord, ServerState};
use cometmoor_gateway::dialect::{ModelName, ReportedLoad};
use cometmoor_gateway::published::{FleetSnapshot, PlacementView};
use cometmoor_gateway::servers::ServerTable;
use cometmoor_gateway::signals::SignalBoard;

fn record(models: &[&str]) -> ServerRecord {
    let held = |name: &&str| LoadedModel { name: (*name).to_owned(), adapters: Vec::new() };
    ServerRecord {
        id: "i-1".into(),
        started_unix_ms: None,
        incarnation: "i-1".into(),
        service: "app".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        models: models.iter().map(held).collect(),
        in_host_memory: Vec::new(),
        on_disk: Vec::new(),
        remaining: None,
        write_number: 0,
    }
}

fn publish(table: &mut ServerTable, models: &[&str]) {
    let servers = Arc::new(vec![Arc::new(record(models))]);
    table.update(&FleetSnapshot { servers, ..FleetSnapshot::default() });
}

/// While the store is down, a server's entry still lists a model that was unloaded. Requests for it
/// are sent there at growing intervals, and again at once when a newer entry lists other models.
#[test]
fn a_model_repeatedly_reported_missing_is_tried_at_growing_intervals() {
    let mut table = ServerTable::new(SignalBoard::new(Arc::default()));
    publish(&mut table, &["m", "n"]);
    let server = table.of_service("app")[0].clone();
    let model = ModelName { model: "m".to_owned(), adapter: None };
    let view = PlacementView::default();
    let mut now = cometmoor_gateway::clock::now();
    let mut tries = 0;
    for _ in 0..200 {
        now = now + Duration::from_millis(100);
        if server.holds(&model, &view, now) {
            tries += 1;
            server.record_missing(&model, now);
            server.record_missing(&model, now);
        }
    }
    assert!((4..=6).contains(&tries), "{tries} tries in 20 s; 28 with a fixed interval of 0.7 s");
    let other = ModelName { model: "n".to_owned(), adapter: None };
    assert!(server.holds(&other, &view, now));
    publish(&mut table, &["m"]);
    assert!(server.holds(&model, &view, now), "the entry is newer than the report");
}

/// The slowdown changes many times a second, so an old report says nothing.
#[test]
fn a_reported_slowdown_counts_for_a_quarter_of_a_second() {
    let mut table = ServerTable::new(SignalBoard::new(Arc::default()));
    publish(&mut table, &["m"]);
    let server = table.of_service("app")[0].clone();
    let now = cometmoor_gateway::clock::now();
    assert_eq!(server.reported_slowdown(now), None);
    let load = ReportedLoad { running: 1, waiting: 0, slots: 8, slowdown_percent: Some(250) };
    server.record_load(load, now);
    assert_eq!(server.reported_slowdown(now + Duration::from_millis(250)), Some(2.5));
    assert_eq!(server.reported_slowdown(now + Duration::from_millis(251)), None);
    server.record_load(ReportedLoad { slowdown_percent: None, ..load }, now);
    assert_eq!(server.reported_slowdown(now), None, "the latest response counts");
}
