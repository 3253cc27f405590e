//! What a node knows of servers by what they report of themselves.

use std::time::Duration;

use cometmoor_core::gateway::signals::{
    AnswerSignals, IncarnationHash, LimitSignal, Observed, SignalChange, SignalTable,
};
use cometmoor_core::time::BootInstant;

fn at(millis: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_millis(1_000_000 + millis))
}

fn observed(sent: u64, received: u64) -> Observed {
    Observed { sent: at(sent), received: at(received) }
}

fn server() -> IncarnationHash {
    IncarnationHash::of("i-1@7")
}

fn limit(per_second: f64) -> AnswerSignals {
    AnswerSignals { limit: LimitSignal::PerSecond(per_second), ..AnswerSignals::default() }
}

#[test]
fn a_limit_is_noted_as_it_is_set_changed_and_lifted() {
    let mut table = SignalTable::default();
    let none = AnswerSignals::default();
    assert_eq!(table.note_answer(server(), none, observed(0, 10)), []);
    let set = table.note_answer(server(), limit(2.0), observed(20, 30));
    assert_eq!(set, [SignalChange::LimitSet(2.0)]);
    assert_eq!(table.note_answer(server(), limit(2.0), observed(40, 50)), []);
    let changed = table.note_answer(server(), limit(3.0), observed(60, 70));
    assert_eq!(changed, [SignalChange::LimitChanged(3.0)]);
    let lifted = table.note_answer(server(), none, observed(80, 90));
    assert_eq!(lifted, [SignalChange::LimitLifted]);
    assert_eq!(table.counts(at(100)).limited, 0);
}

/// The answer to an earlier request may come after that to a later one.
#[test]
fn an_answer_that_may_be_older_does_not_lift_or_raise_a_limit() {
    let mut table = SignalTable::default();
    table.note_answer(server(), limit(2.0), observed(100, 200));
    assert_eq!(table.note_answer(server(), limit(9.0), observed(150, 250)), []);
    assert_eq!(table.note_answer(server(), AnswerSignals::default(), observed(199, 260)), []);
    let stricter = table.note_answer(server(), limit(1.0), observed(150, 270));
    assert_eq!(stricter, [SignalChange::LimitChanged(1.0)]);
    let lifted = table.note_answer(server(), AnswerSignals::default(), observed(270, 300));
    assert_eq!(lifted, [SignalChange::LimitLifted]);
    assert_eq!(table.note_answer(server(), limit(1.0), observed(10, 269)), [], "it is older");
}

#[test]
fn a_limit_that_is_no_number_changes_nothing() {
    let mut table = SignalTable::default();
    let unreadable = AnswerSignals { limit: LimitSignal::Unreadable, ..AnswerSignals::default() };
    assert_eq!(table.note_answer(server(), unreadable, observed(0, 10)), []);
    table.note_answer(server(), limit(2.0), observed(20, 30));
    assert_eq!(table.note_answer(server(), unreadable, observed(40, 50)), []);
    assert_eq!(table.counts(at(60)).limited, 1);
}

#[test]
fn a_server_that_leaves_does_so_for_its_life() {
    let mut table = SignalTable::default();
    let leaving = AnswerSignals { is_leaving: true, ..AnswerSignals::default() };
    let heard = table.note_answer(server(), leaving, observed(0, 10));
    assert_eq!(heard, [SignalChange::Leaving]);
    table.note_answer(server(), AnswerSignals::default(), observed(20, 30));
    table.tick(at(600_000));
    assert_eq!(table.counts(at(600_000)).leaving, 1);
}

#[test]
fn a_rest_goes_on_until_the_last_one_asked_for_ends() {
    let mut table = SignalTable::default();
    let rest = |millis| AnswerSignals {
        rest: Some(Duration::from_millis(millis)),
        ..AnswerSignals::default()
    };
    let asked = table.note_answer(server(), rest(3000), observed(0, 10));
    assert_eq!(asked, [SignalChange::RestAsked(Duration::from_millis(3000))]);
    assert_eq!(table.note_answer(server(), rest(500), observed(20, 30)), []);
    assert_eq!(table.note_answer(server(), rest(0), observed(20, 30)), []);
    assert_eq!(table.tick(at(3000)), []);
    assert_eq!(table.counts(at(3000)).resting, 1);
    assert_eq!(table.tick(at(3010)), [server()]);
    assert_eq!(table.counts(at(3010)).resting, 0);
}
