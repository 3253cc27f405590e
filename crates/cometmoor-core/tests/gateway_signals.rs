//! Signals of servers, and their exchange between nodes.

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
fn a_limit_is_set_changed_and_lifted() {
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

/// The response to an earlier request may arrive after that to a later one.
#[test]
fn a_response_that_may_be_older_does_not_lift_or_raise_a_limit() {
    let mut table = SignalTable::default();
    table.note_response(server(), limit(2.0), observed(100, 200));
    assert_eq!(table.note_response(server(), limit(9.0), observed(150, 250)), []);
    assert_eq!(table.note_response(server(), ResponseSignals::default(), observed(199, 260)), []);
    let stricter = table.note_response(server(), limit(1.0), observed(150, 270));
    assert_eq!(stricter, [SignalChange::LimitChanged(1.0)]);
    let lifted = table.note_response(server(), ResponseSignals::default(), observed(270, 300));
    assert_eq!(lifted, [SignalChange::LimitLifted]);
    assert_eq!(table.note_response(server(), limit(1.0), observed(10, 269)), [], "older response");
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut table = SignalTable::default();
    let unreadable =
        ResponseSignals { limit: LimitSignal::Unreadable, ..ResponseSignals::default() };
    assert_eq!(table.note_response(server(), unreadable, observed(0, 10)), []);
    table.note_response(server(), limit(2.0), observed(20, 30));
    assert_eq!(table.note_response(server(), unreadable, observed(40, 50)), []);
    assert_eq!(table.counts(at(60)).limited, 1);
}

#[test]
fn the_leaving_signal_is_final_for_an_incarnation() {
    let mut table = SignalTable::default();
    let leaving = ResponseSignals { is_leaving: true, ..ResponseSignals::default() };
    let changes = table.note_response(server(), leaving, observed(0, 10));
    assert_eq!(changes, [SignalChange::Leaving]);
    table.note_response(server(), ResponseSignals::default(), observed(20, 30));
    table.tick(at(600_000));
    assert_eq!(table.counts(at(600_000)).leaving, 1);
}

#[test]
fn a_shorter_rest_does_not_end_an_earlier_one() {
    let mut table = SignalTable::default();
    let rest = |millis| ResponseSignals {
        rest: Some(Duration::from_millis(millis)),
        ..ResponseSignals::default()
    };
    let requested = table.note_response(server(), rest(3000), observed(0, 10));
    assert_eq!(requested, [SignalChange::RestRequested(Duration::from_millis(3000))]);
    assert_eq!(table.note_response(server(), rest(500), observed(20, 30)), []);
    assert_eq!(table.note_response(server(), rest(0), observed(20, 30)), []);
    assert_eq!(table.tick(at(3000)), []);
    assert_eq!(table.counts(at(3000)).resting, 1);
    assert_eq!(table.hold(server(), at(3000)), Some(Hold::Resting(Duration::from_millis(10))));
    assert_eq!(table.hold(server(), at(3010)), None);
    assert_eq!(table.tick(at(3010)), [server()]);
    assert_eq!(table.counts(at(3010)).resting, 0);
}

/// A report carries the age of what it reports. The receiver lifts a limit only on a report that
/// is certainly later.
#[test]
fn a_limit_and_its_end_are_learned_from_other_nodes() {
    let (mut first, mut second) = (SignalTable::default(), SignalTable::default());
    first.note_response(server(), limit(2.0), observed(0, 10));
    let reports = first.next_reports(at(100));
    let changes = second.merge(&reports, at(120));
    assert_eq!(changes, [(server(), SignalChange::LimitSet(2.0))]);
    assert_eq!(second.limit(server()).unwrap().limit.per_second, 2.0);
    assert_eq!(second.merge(&reports, at(140)), [], "repeated report");
    first.note_response(server(), ResponseSignals::default(), observed(200, 210));
    let early = first.next_reports(at(220));
    assert_eq!(second.merge(&early, at(230)), [], "may be older than the known limit");
    first.note_response(server(), ResponseSignals::default(), observed(900, 910));
    let late = first.next_reports(at(920));
    assert_eq!(second.merge(&late, at(930)), [(server(), SignalChange::LimitLifted)]);
    assert!(second.limit(server()).is_none());
}

#[test]
fn a_report_with_an_invalid_limit_changes_nothing() {
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
    for per_second in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(table.merge(&[report(per_second)], at(0)), []);
    }
}

/// A machine that has just booted applies limits observed before its boot.
#[test]
fn a_report_from_before_the_boot_of_the_machine_counts() {
    let mut table = SignalTable::default();
    let limit = Some(LimitReport {
        per_second: Some(1.0),
        sent_age_millis: 9_000,
        received_age_millis: 8_900,
    });
    let report = SignalReport { server: server(), limit, is_leaving: true };
    let booted = BootInstant::after_boot(Duration::from_millis(400));
    let changes = table.merge(&[report], booted).into_iter().map(|(_, change)| change);
    assert!(changes.eq([SignalChange::LimitSet(1.0), SignalChange::Leaving]));
}

/// Messages are bounded in size, and each change is sent with several of them.
#[test]
fn reports_and_their_transmissions_are_bounded() {
    let mut table = SignalTable::default();
    for number in 0..100 {
        let server = IncarnationHash::of(&format!("i-{number}"));
        table.note_response(server, limit(1.0), observed(0, 10));
    }
    let mut sent = 0;
    for _ in 0..100 {
        let reports = table.next_reports(at(20));
        assert!(reports.len() <= 40);
        sent += reports.len();
    }
    assert_eq!(sent, 100 * 12);
    table.report_again();
    assert_eq!(table.next_reports(at(30)).len(), 40);
}

#[test]
fn a_denied_server_is_on_hold_until_the_recheck() {
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
    assert!(table.hold(server(), at(630)).is_none(), "the limit was lifted");
}

#[test]
fn the_leaving_signal_is_learned_from_other_nodes_and_final() {
    let (mut first, mut second) = (SignalTable::default(), SignalTable::default());
    let leaving = ResponseSignals { is_leaving: true, ..ResponseSignals::default() };
    first.note_response(server(), leaving, observed(0, 10));
    let reports = first.next_reports(at(20));
    assert_eq!(second.merge(&reports, at(30)), [(server(), SignalChange::Leaving)]);
    second.note_response(server(), ResponseSignals::default(), observed(40, 50));
    assert_eq!(second.hold(server(), at(60)), Some(Hold::Leaving));
    assert!(second.is_leaving(server()));
    let next_incarnation = IncarnationHash::of("i-1@8");
    assert!(!second.is_leaving(next_incarnation));
}

#[test]
fn a_server_starts_slowly_after_a_hold() {
    let mut table = SignalTable::default();
    assert_eq!(table.slow_start_share(server(), at(0)), 1.0);
    let rest = Some(Duration::from_millis(1000));
    let resting = ResponseSignals { rest, ..ResponseSignals::default() };
    table.note_response(server(), resting, observed(0, 10));
    let shares: Vec<f64> =
        [1010, 1510, 2010, 3010].map(|millis| table.slow_start_share(server(), at(millis))).into();
    assert!(shares.is_sorted() && shares[0] < 0.1 && shares[3] == 1.0, "{shares:?}");
    table.tick(at(1600));
    assert_eq!(table.slow_start_share(server(), at(2010)), shares[2], "unchanged by a tick");
    table.note_response(server(), limit(1.0), observed(5000, 5010));
    table.note_response(server(), ResponseSignals::default(), observed(5020, 5030));
    assert!(table.slow_start_share(server(), at(5030)) < 0.1);
}

/// A server that set and lifted its limit again and again used to begin a slow start each time,
/// although the limit had not held any request back, and got too few requests.
#[test]
fn a_nonbinding_limit_ends_without_a_slow_start() {
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
    assert!(share_after(100.0, &|_| ()) < 0.1, "not known whether the limit was binding");
    assert_eq!(share_after(100.0, &granted), 1.0);
    assert_eq!(share_after(200.0, &|_| ()), 1.0, "higher limit");
    assert!(share_after(50.0, &|_| ()) < 0.1, "lower limit");
    assert_eq!(
        share_after(200.0, &undecided),
        1.0,
        "an undecided request does not make the limit binding"
    );
    assert!(share_after(200.0, &denied) < 0.1);
}

const NODES: usize = 3;
const CASES: u64 = 4_000;
/// Maximum transit time of a report in tenths of a second, below the 500 ms that nodes allow for.
const MAX_TRANSIT_TENTHS: u8 = 4;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Advance {
        tenths: u8,
    },
    /// The server names this limit from now on; 0 is none.
    SetLimit {
        limit: u8,
    },
    /// A node receives the response to a request sent `sent_ago` tenths of a second ago. The server
    /// wrote it `written_ago` tenths ago, after the request was sent.
    Response {
        node: u8,
        sent_ago: u8,
        written_ago: u8,
    },
    /// A node sends its reports to another one, where they arrive later or are lost.
    Report {
        from: u8,
        to: u8,
        transit: u8,
        is_lost: bool,
    },
}

/// Several nodes, one server, and the reports in transit.
struct Fleet {
    now: u64,
    /// Limits that the server has named, with the time of each change.
    server_limits: Vec<(u64, Option<f64>)>,
    nodes: Vec<SignalTable>,
    /// When each node last received a response with a limit itself.
    last_limited: Vec<Option<u64>>,
    in_transit: Vec<(u64, usize, Vec<SignalReport>)>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            now: 10_000,
            server_limits: vec![(0, None)],
            nodes: vec![SignalTable::default(); NODES],
            last_limited: vec![None; NODES],
            in_transit: Vec::new(),
        }
    }

    fn limit_at(&self, time: u64) -> Option<f64> {
        self.server_limits
            .iter()
            .rev()
            .find(|(since, _)| *since <= time)
            .and_then(|(_, limit)| *limit)
    }

    /// Whether the server was without a limit at any time since `time`. In the millisecond of a
    /// change, both the old and the new value apply.
    fn was_unlimited_since(&self, time: u64) -> bool {
        let later =
            self.server_limits.iter().any(|(since, limit)| *since >= time && limit.is_none());
        later || self.limit_at(time - 1).is_none()
    }

    fn advance(&mut self, millis: u64) {
        self.now += millis;
        let now = self.now;
        let (due, rest) = self.in_transit.drain(..).partition(|(when, _, _)| *when <= now);
        self.in_transit = rest;
        let due: Vec<(u64, usize, Vec<SignalReport>)> = due;
        for (when, to, reports) in due {
            self.nodes[to].merge(&reports, at(when));
        }
    }

    fn respond(&mut self, node: usize, sent_ago: u64, written_ago: u64) {
        let named = self.limit_at(self.now - written_ago);
        let signals = named.map_or(ResponseSignals::default(), limit);
        let window = observed(self.now - sent_ago, self.now);
        self.nodes[node].note_response(server(), signals, window);
        if named.is_some() {
            self.last_limited[node] = Some(self.now);
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Advance { tenths } => self.advance(u64::from(tenths % 20) * 100),
            Step::SetLimit { limit } => {
                let limit = Some(f64::from(limit % 4)).filter(|limit| *limit > 0.0);
                self.server_limits.push((self.now, limit));
            }
            Step::Response { node, sent_ago, written_ago } => {
                let sent_ago = u64::from(sent_ago % 30) * 100;
                let written_ago = (u64::from(written_ago % 30) * 100).min(sent_ago);
                self.respond(usize::from(node) % NODES, sent_ago, written_ago);
            }
            Step::Report { from, to, transit, is_lost } => {
                let reports = self.nodes[usize::from(from) % NODES].next_reports(at(self.now));
                if !is_lost {
                    let when = self.now + u64::from(transit % (MAX_TRANSIT_TENTHS + 1)) * 100;
                    self.in_transit.push((when, usize::from(to) % NODES, reports));
                }
            }
        }
    }

    /// Checks that no limit was lifted by an observation older than the node's last response with a
    /// limit.
    fn check_lifts(&self) {
        for (node, last_limited) in self.nodes.iter().zip(&self.last_limited) {
            let Some(last_limited) = last_limited else { continue };
            let is_lifted = node.limit(server()).is_none();
            assert!(
                !is_lifted || self.was_unlimited_since(*last_limited),
                "lifted by an older observation"
            );
        }
    }
}

/// Responses and reports arrive out of order. A limit that a node has received is lifted only if
/// the server had none afterwards. Once the server's limit has been unchanged for a while, a node
/// that receives a response adopts it.
#[test]
fn limits_follow_the_server_when_messages_are_reordered() {
    for_each_schedule(CASES, |steps: &[Step]| {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.run(*step);
            fleet.check_lifts();
        }
        fleet.advance(5_000);
        for node in 0..NODES {
            fleet.respond(node, 100, 50);
            let known = fleet.nodes[node].limit(server()).map(|limit| limit.limit.per_second);
            assert_eq!(known, fleet.limit_at(fleet.now));
        }
    });
}
