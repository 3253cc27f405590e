//! Content that was in flight during the crashes of several servers is quarantined, and
//! requests that were only in flight beside it are not.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::quarantine::{
    CRASH_LIMIT, CrashVerdict, Fingerprint, QUARANTINE_LIFETIME, Quarantine, QuarantineStatus,
    SuspectReport,
};
use cometmoor_core::time::Timestamp;

use schedules::for_each_schedule;

const CRASHING: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);
const CASES: u64 = 4_000;
/// Maximum number of reports in one message, so that they fit into a heartbeat beside the
/// rest of it.
const MAX_REPORTS_PER_MESSAGE: usize = 40;

fn second(second: u64) -> Timestamp {
    Timestamp(1_000_000 + second * 1000)
}

fn note_crashes(quarantine: &mut Quarantine, content: Fingerprint, servers: u32) {
    for server in 0..servers {
        quarantine.note_crash(content, server, second(0));
    }
}

#[test]
fn content_is_quarantined_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.note_crash(CRASHING, 10, second(0)), CrashVerdict::Suspect(1));
    assert_eq!(quarantine.note_crash(CRASHING, 11, second(1)), CrashVerdict::Suspect(2));
    assert_eq!(quarantine.status(CRASHING, second(1)), QuarantineStatus::Allowed);
    assert_eq!(quarantine.note_crash(CRASHING, 12, second(2)), CrashVerdict::Quarantined);
    assert_eq!(
        quarantine.status(CRASHING, second(2)),
        QuarantineStatus::Quarantined(QUARANTINE_LIFETIME)
    );
    assert_eq!(quarantine.status(HARMLESS, second(2)), QuarantineStatus::Allowed);
}

#[test]
fn a_decision_is_pending_only_if_open_checks_can_reach_the_crash_limit() {
    let mut quarantine = Quarantine::default();
    quarantine.begin_crash_check(CRASHING);
    quarantine.begin_crash_check(CRASHING);
    assert!(!quarantine.is_decision_pending(CRASHING), "two servers may have crashed");
    quarantine.begin_crash_check(CRASHING);
    assert!(quarantine.is_decision_pending(CRASHING) && !quarantine.is_decision_pending(HARMLESS));
    quarantine.end_crash_check(CRASHING);
    assert!(!quarantine.is_decision_pending(CRASHING), "one of the three has not crashed");
    note_crashes(&mut quarantine, CRASHING, 1);
    assert!(quarantine.is_decision_pending(CRASHING));
    (0..2).for_each(|_| quarantine.end_crash_check(CRASHING));
    assert!(!quarantine.is_decision_pending(CRASHING), "no check is pending");
}

#[test]
fn a_crash_counts_once_whichever_nodes_observed_it() {
    let mut quarantine = Quarantine::default();
    for _ in 0..CRASH_LIMIT {
        assert_eq!(quarantine.note_crash(CRASHING, 10, second(0)), CrashVerdict::Suspect(1));
    }
    let mut other = Quarantine::default();
    other.note_crash(CRASHING, 10, second(0));
    quarantine.merge(&other.next_reports(second(1)), second(1));
    assert_eq!(quarantine.note_crash(CRASHING, 11, second(2)), CrashVerdict::Suspect(2));
}

#[test]
fn content_answered_after_a_crash_is_cleared() {
    let mut quarantine = Quarantine::default();
    note_crashes(&mut quarantine, HARMLESS, 2);
    assert!(quarantine.note_answer(HARMLESS, second(5)));
    assert!(!quarantine.note_answer(HARMLESS, second(6)), "there was nothing to clear");
    assert_eq!(quarantine.note_crash(HARMLESS, 20, second(60)), CrashVerdict::Suspect(1));
}

/// Content that many clients request is in flight on several servers at any time. Without the
/// clearing it would be quarantined whenever three servers crash together.
#[test]
fn recently_answered_content_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    quarantine.note_answer(HARMLESS, second(0));
    for server in 0..12 {
        assert_eq!(quarantine.note_crash(HARMLESS, server, second(5)), CrashVerdict::Cleared);
    }
    let mut elsewhere = Quarantine::default();
    note_crashes(&mut elsewhere, HARMLESS, 3);
    quarantine.merge(&elsewhere.next_reports(second(6)), second(6));
    assert_eq!(quarantine.status(HARMLESS, second(6)), QuarantineStatus::Allowed);
    elsewhere.merge(&quarantine.next_reports(second(7)), second(7));
    assert_eq!(
        elsewhere.status(HARMLESS, second(7)),
        QuarantineStatus::Allowed,
        "the clearing is reported"
    );
}

#[test]
fn one_crash_after_the_quarantine_has_ended_quarantines_again() {
    let mut quarantine = Quarantine::default();
    note_crashes(&mut quarantine, CRASHING, 3);
    let later = second(0) + QUARANTINE_LIFETIME;
    assert_eq!(quarantine.status(CRASHING, later), QuarantineStatus::Allowed);
    assert_eq!(quarantine.note_crash(CRASHING, 30, later), CrashVerdict::Quarantined);
}

#[test]
fn expired_crashes_do_not_count() {
    let mut quarantine = Quarantine::default();
    note_crashes(&mut quarantine, HARMLESS, 2);
    let later = second(0) + 2 * QUARANTINE_LIFETIME;
    assert_eq!(quarantine.note_crash(HARMLESS, 30, later), CrashVerdict::Suspect(1));
}

#[test]
fn content_restored_from_the_store_is_quarantined_and_reported() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.restore(CRASHING, second(0)));
    assert!(!quarantine.restore(CRASHING, second(0)), "it was restored before");
    assert!(quarantine.unstored(true, second(0)).is_empty());
    assert_ne!(quarantine.status(CRASHING, second(1)), QuarantineStatus::Allowed);
    let mut other = Quarantine::default();
    assert_eq!(other.merge(&quarantine.next_reports(second(1)), second(1)), vec![CRASHING]);
    assert_eq!(other.unstored(true, second(1)), vec![CRASHING]);
    assert!(other.unstored(false, second(1)).is_empty(), "this node observed none of the crashes");
    other.note_crash(CRASHING, 9, second(1));
    assert_eq!(other.unstored(false, second(1)), vec![CRASHING]);
    other.note_stored(CRASHING);
    assert!(other.unstored(true, second(1)).is_empty());
}

#[test]
fn messages_and_records_are_bounded_and_quarantined_content_comes_first() {
    let mut quarantine = Quarantine::default();
    note_crashes(&mut quarantine, CRASHING, 3);
    for content in 100..20_100 {
        quarantine.note_crash(Fingerprint(content), 7, second(1));
    }
    let (quarantined, suspects) = quarantine.counts(second(1));
    assert_eq!(quarantined, 1);
    assert!(suspects <= 4096, "{suspects} records");
    let reports = quarantine.next_reports(second(1));
    assert_eq!(reports.len(), MAX_REPORTS_PER_MESSAGE);
    assert_eq!(reports[0].content, CRASHING);
    // The receiver ignores reports beyond the limit of a message.
    let many: Vec<SuspectReport> =
        (0..200).flat_map(|_| quarantine.next_reports(second(1))).collect();
    let mut other = Quarantine::default();
    other.merge(&many, second(1));
    assert!(other.counts(second(1)).1 <= MAX_REPORTS_PER_MESSAGE);
}

#[test]
fn an_unchanged_record_is_reported_a_limited_number_of_times() {
    let mut quarantine = Quarantine::default();
    note_crashes(&mut quarantine, CRASHING, 3);
    let reported = (0..100).filter(|_| !quarantine.next_reports(second(1)).is_empty()).count();
    assert!((5..=20).contains(&reported), "{reported} times");
    quarantine.report_again();
    assert!(!quarantine.next_reports(second(2)).is_empty(), "a node has joined");
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Pass { tenths: u8 },
    Crash { node: u8, content: u8, server: u8 },
    Answer { node: u8, content: u8 },
    Message { from: u8, to: u8, is_lost: bool },
    Restart { node: u8 },
}

const NODES: usize = 3;
const CONTENTS: u8 = 4;

/// Servers that crashed while one content was in flight.
#[derive(Clone, Default)]
struct ActualCrashes {
    servers: std::collections::BTreeSet<u32>,
}

/// Whatever nodes observe, lose and forget: no node quarantines content with fewer than three
/// server crashes, and once all messages arrive, all nodes agree.
#[test]
fn nodes_agree_and_quarantine_nothing_below_the_crash_limit() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut nodes: Vec<Quarantine> = (0..NODES).map(|_| Quarantine::default()).collect();
        let mut actual_crashes = vec![ActualCrashes::default(); CONTENTS.into()];
        let mut now = 1_000_000;
        for step in steps {
            match *step {
                Step::Pass { tenths } => now += u64::from(tenths) * 100,
                Step::Crash { node, content, server } => {
                    let content = content % CONTENTS;
                    let server = u32::from(server % 8);
                    actual_crashes[usize::from(content)].servers.insert(server);
                    let node = &mut nodes[usize::from(node) % NODES];
                    node.note_crash(Fingerprint(content.into()), server, Timestamp(now));
                }
                Step::Answer { node, content } => {
                    let content = Fingerprint((content % CONTENTS).into());
                    nodes[usize::from(node) % NODES].note_answer(content, Timestamp(now));
                }
                Step::Message { from, to, is_lost } => {
                    let reports = nodes[usize::from(from) % NODES].next_reports(Timestamp(now));
                    if !is_lost {
                        nodes[usize::from(to) % NODES].merge(&reports, Timestamp(now));
                    }
                }
                Step::Restart { node } => nodes[usize::from(node) % NODES] = Quarantine::default(),
            }
            check_crash_limit(&nodes, &actual_crashes, Timestamp(now));
        }
        check_agreement(&mut nodes, Timestamp(now));
    });
}

fn check_crash_limit(nodes: &[Quarantine], actual_crashes: &[ActualCrashes], now: Timestamp) {
    for (content, actual) in actual_crashes.iter().enumerate() {
        let content = Fingerprint(content as u64);
        let is_quarantined =
            nodes.iter().any(|node| node.status(content, now) != QuarantineStatus::Allowed);
        assert!(
            !is_quarantined || actual.servers.len() >= CRASH_LIMIT,
            "{content} is quarantined below the crash limit"
        );
    }
}

fn check_agreement(nodes: &mut [Quarantine], now: Timestamp) {
    let now = now + Duration::from_secs(1);
    for _ in 0..4 {
        nodes.iter_mut().for_each(Quarantine::report_again);
        for from in 0..nodes.len() {
            let reports = nodes[from].next_reports(now);
            nodes.iter_mut().for_each(|node| drop(node.merge(&reports, now)));
        }
    }
    for content in 0..CONTENTS {
        let content = Fingerprint(content.into());
        let allowed: Vec<bool> = nodes
            .iter()
            .map(|node| node.status(content, now) == QuarantineStatus::Allowed)
            .collect();
        assert!(allowed.windows(2).all(|pair| pair[0] == pair[1]), "{content}: {allowed:?}");
    }
}
