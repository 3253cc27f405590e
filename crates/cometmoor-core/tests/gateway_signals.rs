//! What a node knows of servers by what they report of themselves.

mod schedules;

use std::time::Duration;

use bolero::TypeGenerator;
use cometmoor_core::gateway::signals::{
    Denial, Hold, IncarnationHash, LimitReport, LimitSignal, ObservationWindow, ResponseSignals,
    SignalChange, SignalReport, SignalTable,
};
use cometmoor_core::time::BootInstant;

use schedules::for_each_schedule;

fn at(millis: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_millis(1_000_000 + millis))
}

fn observed(sent: u64, received: u64) -> ObservationWindow {
    ObservationWindow { sent: at(sent), received: at(received) }
}

fn server() -> IncarnationHash {
    IncarnationHash::of("i-1@7")
}

fn limit(per_second: f64) -> ResponseSignals {
    ResponseSignals { limit: LimitSignal::PerSecond(per_second), ..ResponseSignals::default() }
}

#[test]
fn a_limit_is_noted_as_it_is_set_changed_and_lifted() {
    let mut table = SignalTable::default();
    let none = ResponseSignals::default();
    assert_eq!(table.note_response(server(), none, observed(0, 10)), []);
    let set = table.note_response(server(), limit(2.0), observed(20, 30));
    assert_eq!(set, [SignalChange::LimitSet(2.0)]);
    assert_eq!(table.note_response(server(), limit(2.0), observed(40, 50)), []);
    let changed = table.note_response(server(), limit(3.0), observed(60, 70));
    assert_eq!(changed, [SignalChange::LimitChanged(3.0)]);
    let lifted = table.note_response(server(), none, observed(80, 90));
    assert_eq!(lifted, [SignalChange::LimitLifted]);
    assert_eq!(table.counts(at(100)).limited, 0);
}

/// The answer to an earlier request may come after that to a later one.
#[test]
fn an_answer_that_may_be_older_does_not_lift_or_raise_a_limit() {
    let mut table = SignalTable::default();
    table.note_response(server(), limit(2.0), observed(100, 200));
    assert_eq!(table.note_response(server(), limit(9.0), observed(150, 250)), []);
    assert_eq!(table.note_response(server(), ResponseSignals::default(), observed(199, 260)), []);
    let stricter = table.note_response(server(), limit(1.0), observed(150, 270));
    assert_eq!(stricter, [SignalChange::LimitChanged(1.0)]);
    let lifted = table.note_response(server(), ResponseSignals::default(), observed(270, 300));
    assert_eq!(lifted, [SignalChange::LimitLifted]);
    assert_eq!(table.note_response(server(), limit(1.0), observed(10, 269)), [], "it is older");
}

#[test]
fn a_limit_that_is_no_number_changes_nothing() {
    let mut table = SignalTable::default();
    let unreadable =
        ResponseSignals { limit: LimitSignal::Unreadable, ..ResponseSignals::default() };
    assert_eq!(table.note_response(server(), unreadable, observed(0, 10)), []);
    table.note_response(server(), limit(2.0), observed(20, 30));
    assert_eq!(table.note_response(server(), unreadable, observed(40, 50)), []);
    assert_eq!(table.counts(at(60)).limited, 1);
}

#[test]
fn a_server_that_leaves_does_so_for_its_life() {
    let mut table = SignalTable::default();
    let leaving = ResponseSignals { is_leaving: true, ..ResponseSignals::default() };
    let heard = table.note_response(server(), leaving, observed(0, 10));
    assert_eq!(heard, [SignalChange::Leaving]);
    table.note_response(server(), ResponseSignals::default(), observed(20, 30));
    table.tick(at(600_000));
    assert_eq!(table.counts(at(600_000)).leaving, 1);
}

#[test]
fn a_rest_goes_on_until_the_last_one_asked_for_ends() {
    let mut table = SignalTable::default();
    let rest = |millis| ResponseSignals {
        rest: Some(Duration::from_millis(millis)),
        ..ResponseSignals::default()
    };
    let asked = table.note_response(server(), rest(3000), observed(0, 10));
    assert_eq!(asked, [SignalChange::RestRequested(Duration::from_millis(3000))]);
    assert_eq!(table.note_response(server(), rest(500), observed(20, 30)), []);
    assert_eq!(table.note_response(server(), rest(0), observed(20, 30)), []);
    assert_eq!(table.tick(at(3000)), []);
    assert_eq!(table.counts(at(3000)).resting, 1);
    assert_eq!(table.hold(server(), at(3000)), Some(Hold::Resting(Duration::from_millis(10))));
    assert_eq!(table.hold(server(), at(3010)), None);
    assert_eq!(table.tick(at(3010)), [server()]);
    assert_eq!(table.counts(at(3010)).resting, 0);
}

/// What one node has heard comes to another one with its age, and only what is certainly
/// later lifts a limit there.
#[test]
fn a_limit_and_its_end_are_heard_from_other_nodes() {
    let (mut first, mut second) = (SignalTable::default(), SignalTable::default());
    first.note_response(server(), limit(2.0), observed(0, 10));
    let reports = first.next_reports(at(100));
    let changes = second.merge(&reports, at(120));
    assert_eq!(changes, [(server(), SignalChange::LimitSet(2.0))]);
    assert_eq!(second.limit(server()).unwrap().limit.per_second, 2.0);
    assert_eq!(second.merge(&reports, at(140)), [], "it is told again");
    first.note_response(server(), ResponseSignals::default(), observed(200, 210));
    let early = first.next_reports(at(220));
    assert_eq!(second.merge(&early, at(230)), [], "it may be older, for what is known here");
    first.note_response(server(), ResponseSignals::default(), observed(900, 910));
    let late = first.next_reports(at(920));
    assert_eq!(second.merge(&late, at(930)), [(server(), SignalChange::LimitLifted)]);
    assert!(second.limit(server()).is_none());
}

#[test]
fn a_report_without_a_figure_changes_nothing() {
    let mut table = SignalTable::default();
    let report = |per_second| SignalReport {
        server: server(),
        limit: Some(LimitReport {
            per_second: Some(per_second),
            sent_age_millis: 0,
            received_age_millis: 0,
        }),
        is_leaving: false,
    };
    for figure in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(table.merge(&[report(figure)], at(0)), []);
    }
}

/// A machine that has just started hears of what was said before: the limit holds there, too.
#[test]
fn a_report_from_before_the_start_of_the_machine_counts() {
    let mut table = SignalTable::default();
    let limit = Some(LimitReport {
        per_second: Some(1.0),
        sent_age_millis: 9_000,
        received_age_millis: 8_900,
    });
    let report = SignalReport { server: server(), limit, is_leaving: true };
    let started = BootInstant::after_boot(Duration::from_millis(400));
    let changes = table.merge(&[report], started).into_iter().map(|(_, change)| change);
    assert!(changes.eq([SignalChange::LimitSet(1.0), SignalChange::Leaving]));
}

/// Messages stay small, and each change goes out with several of them.
#[test]
fn reports_are_bounded_and_end() {
    let mut table = SignalTable::default();
    for number in 0..100 {
        let server = IncarnationHash::of(&format!("i-{number}"));
        table.note_response(server, limit(1.0), observed(0, 10));
    }
    let mut carried = 0;
    for _ in 0..100 {
        let reports = table.next_reports(at(20));
        assert!(reports.len() <= 40);
        carried += reports.len();
    }
    assert_eq!(carried, 100 * 12);
    table.report_again();
    assert_eq!(table.next_reports(at(30)).len(), 40);
}

#[test]
fn a_denied_server_is_held_until_there_may_be_room() {
    let mut table = SignalTable::default();
    table.note_response(server(), limit(1.0), observed(0, 10));
    assert!(table.hold(server(), at(20)).is_none());
    table.note_denied(server(), 4, Denial::Exhausted(Duration::from_secs(3)), at(20));
    let recheck_after = Duration::from_millis(500);
    let retry_after = Duration::from_secs(3);
    assert_eq!(table.hold(server(), at(20)), Some(Hold::OverLimit { recheck_after, retry_after }));
    assert!(table.hold(server(), at(520)).is_none());
    table.note_denied(server(), 4, Denial::Exhausted(Duration::from_secs(3)), at(600));
    table.note_response(server(), ResponseSignals::default(), observed(610, 620));
    assert!(table.hold(server(), at(630)).is_none(), "the limit has ended");
}

#[test]
fn that_a_server_leaves_is_heard_from_other_nodes_and_stays() {
    let (mut first, mut second) = (SignalTable::default(), SignalTable::default());
    let leaving = ResponseSignals { is_leaving: true, ..ResponseSignals::default() };
    first.note_response(server(), leaving, observed(0, 10));
    let reports = first.next_reports(at(20));
    assert_eq!(second.merge(&reports, at(30)), [(server(), SignalChange::Leaving)]);
    second.note_response(server(), ResponseSignals::default(), observed(40, 50));
    assert_eq!(second.hold(server(), at(60)), Some(Hold::Leaving));
    assert!(second.is_leaving(server()));
    let next_life = IncarnationHash::of("i-1@8");
    assert!(!second.is_leaving(next_life));
}

#[test]
fn a_server_comes_back_into_use_by_and_by() {
    let mut table = SignalTable::default();
    assert_eq!(table.slow_start_share(server(), at(0)), 1.0);
    let rest = Some(Duration::from_millis(1000));
    let asks = ResponseSignals { rest, ..ResponseSignals::default() };
    table.note_response(server(), asks, observed(0, 10));
    let shares: Vec<f64> =
        [1010, 1510, 2010, 3010].map(|millis| table.slow_start_share(server(), at(millis))).into();
    assert!(shares.is_sorted() && shares[0] < 0.1 && shares[3] == 1.0, "{shares:?}");
    table.tick(at(1600));
    assert_eq!(table.slow_start_share(server(), at(2010)), shares[2], "the same after a tick");
    table.note_response(server(), limit(1.0), observed(5000, 5010));
    table.note_response(server(), ResponseSignals::default(), observed(5020, 5030));
    assert!(table.slow_start_share(server(), at(5030)) < 0.1);
}

/// Each end of a limit that came and went once began the easing anew.
#[test]
fn a_limit_that_has_held_nothing_back_ends_without_easing() {
    let mut table = SignalTable::default();
    let mut at_millis = 0;
    let mut share_after = |per_second: f64, decide: &dyn Fn(&mut SignalTable)| {
        at_millis += 5000;
        table.note_response(server(), limit(per_second), observed(at_millis, at_millis + 10));
        decide(&mut table);
        let lifted = observed(at_millis + 20, at_millis + 30);
        table.note_response(server(), ResponseSignals::default(), lifted);
        table.slow_start_share(server(), at(at_millis + 30))
    };
    let granted = |table: &mut SignalTable| table.note_granted(server());
    let denied = |table: &mut SignalTable| {
        table.note_denied(server(), 3, Denial::Exhausted(Duration::from_millis(100)), at(0));
    };
    let undecided = |table: &mut SignalTable| {
        table.note_denied(server(), 3, Denial::Undecided(Duration::from_millis(100)), at(0));
    };
    assert!(share_after(100.0, &|_| ()) < 0.1, "whether it held anything back is not known");
    assert_eq!(share_after(100.0, &granted), 1.0);
    assert_eq!(share_after(200.0, &|_| ()), 1.0, "a higher one");
    assert!(share_after(50.0, &|_| ()) < 0.1, "a lower one");
    assert_eq!(share_after(200.0, &undecided), 1.0, "nobody said that it holds anything back");
    assert!(share_after(200.0, &denied) < 0.1);
}

const NODES: usize = 3;
const CASES: u64 = 4_000;
/// Longest time that a report takes from node to node, in tenths of a second: what nodes
/// allow for without knowing it.
const MOST_TRANSIT: u8 = 4;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Pass {
        tenths: u8,
    },
    /// The server names another limit from now on; 0 is none.
    Change {
        limit: u8,
    },
    /// A node reads an answer whose request was sent so long ago; it was written on the way.
    Answer {
        node: u8,
        sent_ago: u8,
        written_ago: u8,
    },
    /// A node reports what it knows; the report comes after a while, or is lost.
    Report {
        from: u8,
        to: u8,
        transit: u8,
        is_lost: bool,
    },
}

/// The server, and the reports that are on their way.
struct Fleet {
    now: u64,
    /// Limits that it has named, and since when.
    truth: Vec<(u64, Option<f64>)>,
    nodes: Vec<SignalTable>,
    /// Latest answer with a limit that each node has read itself.
    read_limit: Vec<Option<u64>>,
    on_their_way: Vec<(u64, usize, Vec<SignalReport>)>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            now: 10_000,
            truth: vec![(0, None)],
            nodes: vec![SignalTable::default(); NODES],
            read_limit: vec![None; NODES],
            on_their_way: Vec::new(),
        }
    }

    fn limit_at(&self, time: u64) -> Option<f64> {
        self.truth.iter().rev().find(|(since, _)| *since <= time).and_then(|(_, limit)| *limit)
    }

    /// Whether the server had no limit at some moment since a time. In the millisecond of a
    /// change it has both, one after the other.
    fn had_none_since(&self, time: u64) -> bool {
        let later = self.truth.iter().any(|(since, limit)| *since >= time && limit.is_none());
        later || self.limit_at(time - 1).is_none()
    }

    fn pass(&mut self, millis: u64) {
        self.now += millis;
        let now = self.now;
        let (due, rest) = self.on_their_way.drain(..).partition(|(when, _, _)| *when <= now);
        self.on_their_way = rest;
        let due: Vec<(u64, usize, Vec<SignalReport>)> = due;
        for (when, to, reports) in due {
            self.nodes[to].merge(&reports, at(when));
        }
    }

    fn answer(&mut self, node: usize, sent_ago: u64, written_ago: u64) {
        let said = self.limit_at(self.now - written_ago);
        let signals = said.map_or(ResponseSignals::default(), limit);
        let span = observed(self.now - sent_ago, self.now);
        self.nodes[node].note_response(server(), signals, span);
        if said.is_some() {
            self.read_limit[node] = Some(self.now);
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Pass { tenths } => self.pass(u64::from(tenths % 20) * 100),
            Step::Change { limit } => {
                let limit = Some(f64::from(limit % 4)).filter(|limit| *limit > 0.0);
                self.truth.push((self.now, limit));
            }
            Step::Answer { node, sent_ago, written_ago } => {
                let sent_ago = u64::from(sent_ago % 30) * 100;
                let written_ago = (u64::from(written_ago % 30) * 100).min(sent_ago);
                self.answer(usize::from(node) % NODES, sent_ago, written_ago);
            }
            Step::Report { from, to, transit, is_lost } => {
                let reports = self.nodes[usize::from(from) % NODES].next_reports(at(self.now));
                if !is_lost {
                    let when = self.now + u64::from(transit % (MOST_TRANSIT + 1)) * 100;
                    self.on_their_way.push((when, usize::from(to) % NODES, reports));
                }
            }
        }
    }

    /// Nothing that is older than an answer with a limit has lifted that limit.
    fn check_lifts(&self) {
        for (node, read) in self.nodes.iter().zip(&self.read_limit) {
            let Some(read) = read else { continue };
            let is_lifted = node.limit(server()).is_none();
            assert!(!is_lifted || self.had_none_since(*read), "lifted by what is older");
        }
    }
}

/// Answers and reports overtake one another. A limit that a node has read is lifted only
/// where the server had none after that; and once the server says the same for a while, a
/// node that reads an answer believes it.
#[test]
fn limits_follow_the_server_whatever_overtakes_what() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.take(*step);
            fleet.check_lifts();
        }
        fleet.pass(5_000);
        for node in 0..NODES {
            fleet.answer(node, 100, 50);
            let believed = fleet.nodes[node].limit(server()).map(|limit| limit.limit.per_second);
            assert_eq!(believed, fleet.limit_at(fleet.now));
        }
    });
}
