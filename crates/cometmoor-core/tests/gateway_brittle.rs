//! How much is sent to servers that fail if they reject too much.

use std::time::Duration;

use cometmoor_core::gateway::brittle::{BrittleTable, ServiceHash};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;

const SLOTS: u32 = 4;
const OCCUPANCY: Duration = Duration::from_millis(100);

fn at(millis: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_millis(10_000 + millis))
}

fn keys() -> (ServiceHash, IncarnationHash) {
    (ServiceHash::of("app"), IncarnationHash::of("i-1"))
}

/// A table that knows the server since before its service became brittle at 0 ms.
fn brittle_table() -> BrittleTable {
    let (service, server) = keys();
    let mut table = BrittleTable::default();
    table.note_completed(service, server, OCCUPANCY, at(0));
    assert!(table.note_brittle(service, at(0)));
    table
}

fn rate(table: &mut BrittleTable, millis: u64) -> Option<f64> {
    let (service, server) = keys();
    table.limit(service, server, SLOTS, at(millis)).map(|limit| limit.limit.per_second)
}

#[test]
fn a_brittle_server_gets_about_what_it_can_process() {
    let rate = rate(&mut brittle_table(), 0).unwrap();
    assert!((36.0..=40.0).contains(&rate), "{rate} of 40 a second");
}

#[test]
fn a_service_is_no_longer_brittle_seconds_after_the_last_response_that_says_so() {
    let (service, _) = keys();
    let mut table = brittle_table();
    table.note_brittle(service, at(1000));
    assert!(rate(&mut table, 3900).is_some());
    assert!(rate(&mut table, 4100).is_none());
    assert!(table.report(at(4100)).is_none());
}

#[test]
fn a_rejection_holds_the_server_back_at_all_nodes_and_reduces_its_share() {
    let (service, server) = keys();
    let (mut one, mut other) = (brittle_table(), brittle_table());
    let before = rate(&mut other, 100).unwrap();
    assert!(one.note_rejected(service, server, at(100)).is_some());
    assert!(one.note_rejected(service, server, at(101)).is_none(), "one report for each hold");
    other.merge(&one.report(at(110)).unwrap(), at(120));
    assert!(other.hold(service, server, at(121)).is_some());
    assert!(other.hold(service, server, at(400)).is_none());
    assert!(rate(&mut other, 121).unwrap() < before);
    let after = rate(&mut other, 121).unwrap();
    other.merge(&one.report(at(210)).unwrap(), at(220));
    assert!(rate(&mut other, 220).unwrap() >= after, "the same rejection counts once");
}

#[test]
fn a_server_that_is_back_after_a_fall_is_not_filled_at_once() {
    let (service, _) = keys();
    let mut table = brittle_table();
    let back = IncarnationHash::of("i-1@2");
    let share = |table: &mut BrittleTable, millis| {
        let limit = table.limit(service, back, SLOTS, at(millis)).unwrap();
        limit.limit.per_second * OCCUPANCY.as_secs_f64() / f64::from(SLOTS)
    };
    assert!(share(&mut table, 100) < 0.5);
    for millis in (100..6000).step_by(100) {
        table.note_brittle(service, at(millis));
    }
    assert!(share(&mut table, 6000) > 0.9, "it is used in full seconds later");
}

#[test]
fn a_report_that_is_passed_on_does_not_keep_a_service_brittle() {
    let mut tables = [brittle_table(), BrittleTable::default()];
    for millis in (0..6000).step_by(50) {
        for (from, to) in [(0, 1), (1, 0)] {
            if let Some(report) = tables[from].report(at(millis)) {
                tables[to].merge(&report, at(millis));
            }
        }
    }
    assert_eq!(tables.map(|table| table.count(at(6000))), [0, 0]);
}

#[test]
fn a_server_in_use_keeps_its_share_however_long_its_service_is_brittle() {
    let (service, server) = keys();
    let mut table = brittle_table();
    let mut lowest = f64::MAX;
    for millis in (0..90_000).step_by(500) {
        table.note_brittle(service, at(millis));
        lowest = lowest.min(rate(&mut table, millis).unwrap());
        table.note_completed(service, server, OCCUPANCY, at(millis));
        table.tick(at(millis));
    }
    assert!(lowest >= 36.0, "{lowest} of 40 a second");
}

/// A share that grows back at once meets the next rejection a moment later, and the servers process
/// a tenth less than they could.
#[test]
fn the_share_at_which_a_server_has_rejected_is_reached_again_slowly() {
    let (service, server) = keys();
    let mut table = brittle_table();
    let rejected_at = rate(&mut table, 1000).unwrap();
    table.note_rejected(service, server, at(1000));
    let after = rate(&mut table, 1000).unwrap();
    table.note_brittle(service, at(2500));
    let later = rate(&mut table, 2500).unwrap();
    assert!(after < later && later < rejected_at, "{after} {later} {rejected_at}");
    for millis in (3000..6000).step_by(500) {
        table.note_brittle(service, at(millis));
    }
    assert!(rate(&mut table, 6000).unwrap() > rejected_at, "more is tried in the end");
}
