//! A request under which several servers have crashed is quarantined, and what merely ran
//! beside it is not.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::quarantine::{
    CRASH_LIMIT, CrashVerdict, Fingerprint, QUARANTINE_LIFETIME, Quarantine, QuarantineStatus,
    SuspectReport,
};
use cometmoor_core::time::Timestamp;

use schedules::for_each_schedule;

const DEADLY: Fingerprint = Fingerprint(1);
const SOUND: Fingerprint = Fingerprint(2);
const CASES: u64 = 4_000;
/// Largest message, in bytes: what a heartbeat may carry beside all else.
const MOST_REPORTS: usize = 40;

fn second(second: u64) -> Timestamp {
    Timestamp(1_000_000 + second * 1000)
}

fn crashed_under(quarantine: &mut Quarantine, content: Fingerprint, servers: u32) {
    for server in 0..servers {
        quarantine.note_crash(content, server, second(0));
    }
}

#[test]
fn content_is_quarantined_after_three_crashes() {
    let mut quarantine = Quarantine::default();
    assert_eq!(quarantine.note_crash(DEADLY, 10, second(0)), CrashVerdict::Suspect(1));
    assert_eq!(quarantine.note_crash(DEADLY, 11, second(1)), CrashVerdict::Suspect(2));
    assert_eq!(quarantine.status(DEADLY, second(1)), QuarantineStatus::Allowed);
    assert_eq!(quarantine.note_crash(DEADLY, 12, second(2)), CrashVerdict::Quarantined);
    assert_eq!(
        quarantine.status(DEADLY, second(2)),
        QuarantineStatus::Quarantined(QUARANTINE_LIFETIME)
    );
    assert_eq!(quarantine.status(SOUND, second(2)), QuarantineStatus::Allowed);
}

#[test]
fn content_waits_for_open_checks_only_where_they_may_quarantine_it() {
    let mut quarantine = Quarantine::default();
    quarantine.begin_crash_check(DEADLY);
    quarantine.begin_crash_check(DEADLY);
    assert!(!quarantine.is_decision_pending(DEADLY), "two servers may have crashed");
    quarantine.begin_crash_check(DEADLY);
    assert!(quarantine.is_decision_pending(DEADLY) && !quarantine.is_decision_pending(SOUND));
    quarantine.end_crash_check(DEADLY);
    assert!(!quarantine.is_decision_pending(DEADLY), "one of the three has not crashed");
    crashed_under(&mut quarantine, DEADLY, 1);
    assert!(quarantine.is_decision_pending(DEADLY));
    (0..2).for_each(|_| quarantine.end_crash_check(DEADLY));
    assert!(!quarantine.is_decision_pending(DEADLY), "nothing is open");
}

#[test]
fn one_server_counts_once_whoever_saw_it_crash() {
    let mut quarantine = Quarantine::default();
    for _ in 0..CRASH_LIMIT {
        assert_eq!(quarantine.note_crash(DEADLY, 10, second(0)), CrashVerdict::Suspect(1));
    }
    let mut other = Quarantine::default();
    other.note_crash(DEADLY, 10, second(0));
    quarantine.merge(&other.next_reports(second(1)), second(1));
    assert_eq!(quarantine.note_crash(DEADLY, 11, second(2)), CrashVerdict::Suspect(2));
}

#[test]
fn one_that_was_answered_well_since_is_cleared() {
    let mut quarantine = Quarantine::default();
    crashed_under(&mut quarantine, SOUND, 2);
    assert!(quarantine.note_answer(SOUND, second(5)));
    assert!(!quarantine.note_answer(SOUND, second(6)), "there was nothing to clear");
    assert_eq!(quarantine.note_crash(SOUND, 20, second(60)), CrashVerdict::Suspect(1));
}

/// What many callers ask for is at several servers at any time, and would be present at three
/// crashes whenever three servers crash together.
#[test]
fn one_that_others_are_answered_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    quarantine.note_answer(SOUND, second(0));
    for server in 0..12 {
        assert_eq!(quarantine.note_crash(SOUND, server, second(5)), CrashVerdict::Cleared);
    }
    let mut elsewhere = Quarantine::default();
    crashed_under(&mut elsewhere, SOUND, 3);
    quarantine.merge(&elsewhere.next_reports(second(6)), second(6));
    assert_eq!(quarantine.status(SOUND, second(6)), QuarantineStatus::Allowed);
    elsewhere.merge(&quarantine.next_reports(second(7)), second(7));
    assert_eq!(elsewhere.status(SOUND, second(7)), QuarantineStatus::Allowed, "it is told so");
}

#[test]
fn after_its_time_one_more_crash_quarantines_it_again() {
    let mut quarantine = Quarantine::default();
    crashed_under(&mut quarantine, DEADLY, 3);
    let later = second(0) + QUARANTINE_LIFETIME;
    assert_eq!(quarantine.status(DEADLY, later), QuarantineStatus::Allowed);
    assert_eq!(quarantine.note_crash(DEADLY, 30, later), CrashVerdict::Quarantined);
}

#[test]
fn crashes_that_are_long_ago_are_forgotten() {
    let mut quarantine = Quarantine::default();
    crashed_under(&mut quarantine, SOUND, 2);
    let later = second(0) + 2 * QUARANTINE_LIFETIME;
    assert_eq!(quarantine.note_crash(SOUND, 30, later), CrashVerdict::Suspect(1));
}

#[test]
fn what_the_store_holds_is_quarantined_and_reported() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.restore(DEADLY, second(0)));
    assert!(!quarantine.restore(DEADLY, second(0)), "it is known");
    assert!(quarantine.unstored(true, second(0)).is_empty());
    assert_ne!(quarantine.status(DEADLY, second(1)), QuarantineStatus::Allowed);
    let mut other = Quarantine::default();
    assert_eq!(other.merge(&quarantine.next_reports(second(1)), second(1)), vec![DEADLY]);
    assert_eq!(other.unstored(true, second(1)), vec![DEADLY]);
    assert!(other.unstored(false, second(1)).is_empty(), "others saw the crashes");
    other.note_crash(DEADLY, 9, second(1));
    assert_eq!(other.unstored(false, second(1)), vec![DEADLY]);
    other.note_stored(DEADLY);
    assert!(other.unstored(true, second(1)).is_empty());
}

#[test]
fn messages_and_records_are_bounded_and_the_worst_come_first() {
    let mut quarantine = Quarantine::default();
    crashed_under(&mut quarantine, DEADLY, 3);
    for content in 100..20_100 {
        quarantine.note_crash(Fingerprint(content), 7, second(1));
    }
    let (quarantined, suspects) = quarantine.counts(second(1));
    assert_eq!(quarantined, 1);
    assert!(suspects <= 4096, "{suspects} records");
    let reports = quarantine.next_reports(second(1));
    assert_eq!(reports.len(), MOST_REPORTS);
    assert_eq!(reports[0].content, DEADLY);
    // Another node takes no more than a message may hold.
    let many: Vec<SuspectReport> =
        (0..200).flat_map(|_| quarantine.next_reports(second(1))).collect();
    let mut other = Quarantine::default();
    other.merge(&many, second(1));
    assert!(other.counts(second(1)).1 <= MOST_REPORTS);
}

#[test]
fn what_has_not_changed_is_not_reported_for_ever() {
    let mut quarantine = Quarantine::default();
    crashed_under(&mut quarantine, DEADLY, 3);
    let reported = (0..100).filter(|_| !quarantine.next_reports(second(1)).is_empty()).count();
    assert!((5..=20).contains(&reported), "{reported} times");
    quarantine.report_again();
    assert!(!quarantine.next_reports(second(2)).is_empty(), "a node has come");
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

/// What truly happened to one content.
#[derive(Clone, Default)]
struct Truth {
    servers: std::collections::BTreeSet<u32>,
}

/// Whatever nodes see, lose and forget: no content is quarantined anywhere under which fewer
/// than three servers have crashed, and when all messages come through, all nodes agree.
#[test]
fn nodes_agree_and_blame_nothing_under_which_too_few_servers_crashed() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut nodes: Vec<Quarantine> = (0..NODES).map(|_| Quarantine::default()).collect();
        let mut truths = vec![Truth::default(); CONTENTS.into()];
        let mut now = 1_000_000;
        for step in steps {
            match *step {
                Step::Pass { tenths } => now += u64::from(tenths) * 100,
                Step::Crash { node, content, server } => {
                    let content = content % CONTENTS;
                    let server = u32::from(server % 8);
                    truths[usize::from(content)].servers.insert(server);
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
            check_blame(&nodes, &truths, Timestamp(now));
        }
        check_agreement(&mut nodes, Timestamp(now));
    });
}

fn check_blame(nodes: &[Quarantine], truths: &[Truth], now: Timestamp) {
    for (content, truth) in truths.iter().enumerate() {
        let content = Fingerprint(content as u64);
        let is_quarantined =
            nodes.iter().any(|node| node.status(content, now) != QuarantineStatus::Allowed);
        assert!(
            !is_quarantined || truth.servers.len() >= CRASH_LIMIT,
            "{content} is blamed wrongly"
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
        let standings: Vec<bool> = nodes
            .iter()
            .map(|node| node.status(content, now) == QuarantineStatus::Allowed)
            .collect();
        assert!(standings.windows(2).all(|pair| pair[0] == pair[1]), "{content}: {standings:?}");
    }
}
