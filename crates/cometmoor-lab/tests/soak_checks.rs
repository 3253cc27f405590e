//! Each check of a soak run reports the violation that is planted, and nothing on
//! a history in which the same was allowed.

use std::time::Duration;

use cometmoor_lab::soak::check::check;
use cometmoor_lab::soak::command::parse_seeds;
use cometmoor_lab::soak::history::{
    ArrivalRecord, Disturbance, Ended, History, Kind, PlannedStop, PromptArrivalRecord,
    RequestRecord, RunRecord, Says, ServerCut, StoreOutage, StreamRecord, Whom,
};
use cometmoor_lab::soak::schedule::draw;
use cometmoor_lab::soak::tenants::{Credential, KeyRecord, LAUNDRY, LIBRARY, LimitRecord};

fn seconds(tenths: u64) -> Duration {
    Duration::from_millis(tenths * 100)
}

fn request(id: &str, kind: Kind, sent: u64, ended: Ended) -> RequestRecord {
    let (sent, done) = (seconds(sent), seconds(sent + 1));
    let credential = Credential::Public;
    RequestRecord { id: id.to_owned(), kind, credential, node: 0, sent, done, ended }
}

fn run(id: &str, at: u64) -> RunRecord {
    RunRecord { id: id.to_owned(), server: 0, at: seconds(at), tenant: None, shows_key: false }
}

/// A history in which enough requests are answered.
fn calm() -> History {
    let answered = (0..8).map(|number| request(&format!("a{number}"), Kind::Safe, 1, Ended::Whole));
    History { requests: answered.collect(), ..History::default() }
}

fn promises(history: &History) -> Vec<&'static str> {
    check(history).into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn nothing_is_reported_on_a_calm_history() {
    assert_eq!(promises(&calm()), Vec::<&str>::new());
}

#[test]
fn a_request_that_ran_twice_is_reported_unless_it_may() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Once, 50, Ended::Whole));
    history.runs = vec![run("x", 50), run("x", 51)];
    assert_eq!(promises(&history), ["at most once"]);
    history.requests[8].kind = Kind::Safe;
    assert_eq!(promises(&history), Vec::<&str>::new());
}

#[test]
fn a_request_that_was_told_not_run_and_ran_is_reported() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Once, 50, Ended::NotRun(503)));
    assert_eq!(promises(&history), Vec::<&str>::new());
    history.runs = vec![run("x", 60)];
    assert_eq!(promises(&history), ["not run is true"]);
}

#[test]
fn an_answer_that_is_not_the_requests_own_is_reported() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Once, 50, Ended::Wrong("ran y".to_owned())));
    assert_eq!(promises(&history), ["each caller its own whole answer"]);
}

#[test]
fn work_for_a_leaving_server_is_reported_where_the_node_could_know() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Once, 90, Ended::Whole));
    history.runs = vec![run("x", 90)];
    history.leavings = vec![(0, seconds(70))];
    assert_eq!(promises(&history), Vec::<&str>::new(), "within the bound");
    history.leavings = vec![(0, seconds(50))];
    assert_eq!(promises(&history), ["a leaving server gets no new work"]);
    let (from, until) = (seconds(55), seconds(65));
    history.disturbances = vec![Disturbance { whom: Whom::Node(0), from, until }];
    assert_eq!(promises(&history), Vec::<&str>::new(), "its way to the store was cut");
    history.disturbances = vec![Disturbance { whom: Whom::Node(1), from, until }];
    assert_eq!(promises(&history), ["a leaving server gets no new work"], "another one's was");
}

#[test]
fn a_configuration_that_comes_late_or_goes_back_is_reported() {
    let mut history = calm();
    history.configurations = vec![(7, seconds(10))];
    history.requests.push(request("x", Kind::Probe(7), 30, Ended::NoRoute));
    assert_eq!(promises(&history), Vec::<&str>::new(), "within the bound");
    history.requests.push(request("y", Kind::Probe(7), 60, Ended::NoRoute));
    assert_eq!(promises(&history), ["a configuration is in force in time"]);
    history.requests[9] = request("y", Kind::Probe(7), 20, Ended::Whole);
    assert_eq!(promises(&history), ["a configuration never reverts"]);
}

#[test]
fn what_a_planned_stop_cuts_is_reported_unless_something_else_did() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Stream, 50, Ended::Cut));
    history.stops = vec![PlannedStop { node: 0, at: seconds(45), ended: seconds(51) }];
    assert_eq!(promises(&history), Vec::<&str>::new(), "the node never took it");
    history.runs = vec![run("x", 50)];
    assert_eq!(promises(&history), ["a planned stop cuts nothing off"]);
    let (from, until) = (seconds(49), seconds(50));
    history.disturbances = vec![Disturbance { whom: Whom::Server(0), from, until }];
    assert_eq!(promises(&history), Vec::<&str>::new(), "the server's way was cut");
}

#[test]
fn an_order_that_exceeds_a_server_is_reported() {
    let history = History { excess_orders: vec!["a fifth adapter".to_owned()], ..calm() };
    assert_eq!(promises(&history), ["orders fit into the servers"]);
}

#[test]
fn a_process_that_ends_and_a_system_that_does_not_serve_are_reported() {
    let mut history = calm();
    history.own_ends = vec![(1, seconds(20))];
    assert_eq!(promises(&history), ["processes go on"]);
    history = History::default();
    history.requests.push(request("x", Kind::Safe, 50, Ended::Failed(502)));
    assert_eq!(promises(&history), ["most requests are answered"]);
}

#[test]
fn unanswered_requests_with_keys_are_reported_unless_the_store_proves_nothing() {
    let mut history = with_key(LIBRARY, Ended::NotRun(503));
    history.requests.extend((0..9).map(|_| history.requests[8].clone()).collect::<Vec<_>>());
    let few = ["most requests are answered"];
    assert_eq!(promises(&history), few);
    let outage = |from, until| StoreOutage { from: seconds(from), until: Some(seconds(until)) };
    history.store_outages = vec![outage(81, 95)];
    assert_eq!(promises(&history), few, "a proof holds for a second");
    history.store_outages = vec![outage(79, 85)];
    assert_eq!(promises(&history), few, "nodes ask again within half a second");
    history.store_outages = vec![outage(79, 95)];
    assert_eq!(promises(&history), Vec::<&str>::new());
    history.store_outages = vec![outage(70, 75)];
    history.store_restores = vec![seconds(75)];
    assert_eq!(promises(&history), Vec::<&str>::new(), "nothing is known to be written again");
    history.store_restores = vec![seconds(59)];
    assert_eq!(promises(&history), few);
    history.store_outages = vec![outage(79, 95)];
    history.requests.iter_mut().for_each(|request| request.ended = Ended::NotRun(503));
    assert_eq!(promises(&history), few, "what needs no key is served all the same");
}

#[test]
fn work_for_a_client_that_has_left_is_reported_after_the_bound() {
    let mut history = calm();
    history.requests.push(request("x", Kind::Safe, 50, Ended::Left));
    history.runs = vec![run("x", 71)];
    assert_eq!(promises(&history), Vec::<&str>::new(), "within the bound");
    history.runs = vec![run("x", 72)];
    assert_eq!(promises(&history), ["a client that has left gets no new work"]);
    history.disturbances =
        vec![Disturbance { whom: Whom::Server(0), from: seconds(49), until: seconds(50) }];
    assert_eq!(promises(&history), Vec::<&str>::new(), "the server's way was cut");
}

#[test]
fn a_request_that_runs_at_another_service_is_reported() {
    let mut history = calm();
    history.runs = vec![run("a1", 1)];
    assert_eq!(promises(&history), Vec::<&str>::new());
    history.of_other_service = vec![0];
    assert_eq!(promises(&history), ["requests run at their own service"]);
}

/// A history with a key of a tenant, and a request that shows it.
fn with_key(tenant: &'static str, ended: Ended) -> History {
    let mut history = calm();
    let text = "clientkey-x".to_owned();
    history.keys = vec![KeyRecord { tenant, text, granted: Duration::ZERO, taken: None }];
    let credential = Credential::Key(0);
    history.requests.push(RequestRecord { credential, ..request("x", Kind::Once, 90, ended) });
    history
}

fn run_for(tenant: &str, at: u64) -> RunRecord {
    RunRecord { tenant: Some(tenant.to_owned()), ..run("x", at) }
}

#[test]
fn a_run_for_another_tenant_or_without_a_key_is_reported() {
    let mut history = with_key(LIBRARY, Ended::Whole);
    history.runs = vec![run_for(LIBRARY, 90)];
    assert_eq!(promises(&history), Vec::<&str>::new());
    history.runs = vec![run_for(LAUNDRY, 90)];
    assert_eq!(promises(&history), ["servers are told the key's tenant"]);
    history.runs = vec![run("x", 90)];
    history.requests[8].credential = Credential::Unknown;
    assert_eq!(promises(&history), ["nothing runs without a key"]);
}

#[test]
fn a_run_with_a_key_that_was_taken_away_is_reported_after_the_bound() {
    let mut history = with_key(LIBRARY, Ended::Whole);
    history.runs = vec![run_for(LIBRARY, 90)];
    history.keys[0].taken = Some(seconds(75));
    assert_eq!(promises(&history), Vec::<&str>::new(), "within the bound");
    history.keys[0].taken = Some(seconds(65));
    assert_eq!(promises(&history), ["a key that was taken away runs nothing"]);
}

#[test]
fn a_key_that_holds_and_is_denied_is_reported() {
    let mut history = with_key(LAUNDRY, Ended::Unauthorized);
    assert_eq!(promises(&history), ["a key that holds is let in"]);
    history.keys[0].granted = seconds(80);
    assert_eq!(promises(&history), Vec::<&str>::new(), "it is new");
}

#[test]
fn a_refusal_within_a_limit_and_a_limit_that_is_exceeded_are_reported() {
    let refused = with_key(LIBRARY, Ended::NotRun(429));
    assert_eq!(promises(&refused), ["nobody within a limit is refused for it"]);
    let mut history = with_key(LAUNDRY, Ended::Whole);
    history.limits = vec![LimitRecord { tenant: LAUNDRY, per_second: 1.0, from: Duration::ZERO }];
    for number in 0..10 {
        let id = format!("f{number}");
        let credential = Credential::Key(0);
        let sent = request(&id, Kind::Once, 90 + number, Ended::Whole);
        history.requests.push(RequestRecord { credential, ..sent });
        history.runs.push(RunRecord { id, ..run_for(LAUNDRY, 90 + number) });
    }
    assert_eq!(promises(&history), ["a limit holds over all nodes"], "9.9 may run");
    history.runs.pop();
    assert_eq!(promises(&history), Vec::<&str>::new());
}

#[test]
fn a_key_that_a_server_or_a_log_shows_is_reported() {
    let mut history = with_key(LIBRARY, Ended::Whole);
    history.runs = vec![RunRecord { shows_key: true, ..run_for(LIBRARY, 90) }];
    assert_eq!(promises(&history), ["a key reaches no server"]);
    history.runs.clear();
    history.logged_keys = vec!["a line".to_owned()];
    assert_eq!(promises(&history), ["a key reaches no log"]);
}

fn arrival(id: &str, at: u64, says: Says) -> ArrivalRecord {
    ArrivalRecord { id: id.to_owned(), server: 0, at: seconds(at), says }
}

/// A history in which requests reach a server each tenth of a second.
fn with_arrivals(tenths: std::ops::Range<u64>, says: Says) -> History {
    let mut history = calm();
    for tenth in tenths {
        let id = format!("s{tenth}");
        history.requests.push(request(&id, Kind::Safe, tenth, Ended::Whole));
        history.arrivals.push(arrival(&id, tenth, says));
    }
    history
}

#[test]
fn requests_beyond_a_limit_that_a_server_names_are_reported() {
    let says = Says { limit: Some(1.0), ..Says::default() };
    let history = with_arrivals(100..131, says);
    assert_eq!(promises(&history), Vec::<&str>::new(), "three seconds are not counted");
    let history = with_arrivals(100..141, says);
    assert_eq!(promises(&history), Vec::<&str>::new(), "11 in 4 s are allowed");
    let history = with_arrivals(100..142, says);
    assert_eq!(promises(&history), ["a server's limit holds over all nodes"]);
    let higher = Says { limit: Some(2.0), ..Says::default() };
    assert_eq!(promises(&with_arrivals(100..142, higher)), Vec::<&str>::new());
}

#[test]
fn requests_to_a_server_that_says_it_leaves_are_reported_after_the_bound() {
    let says = Says { leaves: true, ..Says::default() };
    let mut history = with_arrivals(100..101, says);
    history.requests.push(request("late", Kind::Safe, 140, Ended::Whole));
    history.arrivals.push(arrival("late", 140, says));
    assert_eq!(promises(&history), Vec::<&str>::new(), "within the bound");
    history.requests.push(request("later", Kind::Safe, 141, Ended::Whole));
    history.arrivals.push(arrival("later", 141, says));
    assert_eq!(promises(&history), ["a server that says it leaves gets no new work"]);
    let (from, until) = (seconds(120), seconds(121));
    history.disturbances = vec![Disturbance { whom: Whom::Node(0), from, until }];
    assert_eq!(promises(&history), Vec::<&str>::new(), "the node was started again");
}

#[test]
fn requests_within_a_rest_are_reported_beyond_two() {
    let rest = Some(Duration::from_secs(3));
    let mut history = with_arrivals(100..101, Says { rest, ..Says::default() });
    for tenth in [104, 110, 120] {
        let id = format!("r{tenth}");
        history.requests.push(request(&id, Kind::Safe, tenth, Ended::NotRun(503)));
        history.arrivals.push(arrival(&id, tenth, Says::default()));
    }
    assert_eq!(promises(&history), Vec::<&str>::new(), "one of three came at once, two may");
    history.requests.push(request("x", Kind::Safe, 125, Ended::NotRun(503)));
    history.arrivals.push(arrival("x", 125, Says::default()));
    assert_eq!(promises(&history), ["a server gets the rest it asks for"]);
    history.requests.last_mut().unwrap().node = 1;
    assert_eq!(promises(&history), Vec::<&str>::new(), "another node was not asked");
}

#[test]
fn callers_of_a_cut_node_that_are_served_far_worse_than_others_are_reported() {
    let mut history = calm();
    history.cuts = vec![ServerCut { node: 1, from: seconds(100), until: seconds(200) }];
    for number in 0..60 {
        let sent = 140 + number % 50;
        let ended = if number % 2 == 0 { Ended::Whole } else { Ended::NotRun(503) };
        let mut at_cut = request(&format!("c{number}"), Kind::Safe, sent, ended);
        at_cut.node = 1;
        history.requests.push(at_cut);
        history.requests.push(request(&format!("o{number}"), Kind::Safe, sent, Ended::Whole));
    }
    assert_eq!(promises(&history), ["callers of a node without links to servers are served"]);
    let edge = Disturbance { whom: Whom::Node(1), from: seconds(200), until: seconds(215) };
    history.disturbances = vec![edge];
    assert_eq!(promises(&history).len(), 1, "the cut itself excuses nothing");
    history.disturbances.push(Disturbance { from: seconds(150), until: seconds(160), ..edge });
    assert_eq!(promises(&history), Vec::<&str>::new(), "another fault at the node does");
}

#[test]
fn a_seed_draws_the_same_faults_each_time() {
    let span = Duration::from_secs(30);
    assert_eq!(draw(7, span, 5, 4), draw(7, span, 5, 4));
    assert_ne!(draw(7, span, 5, 4), draw(8, span, 5, 4));
    assert!(draw(7, span, 5, 4).iter().all(|planned| planned.at < span));
    assert_eq!(parse_seeds("3..9"), Some((3, 9)));
    assert_eq!(parse_seeds("9..3"), None);
}

fn stream(events: &[(u64, &str)], whole: u64, is_complete: bool) -> StreamRecord {
    let events = events.iter().map(|(number, version)| (*number, (*version).to_owned()));
    StreamRecord { attempts: Vec::new(), events: events.collect(), whole, is_complete }
}

#[test]
fn a_stream_of_two_software_versions_is_reported() {
    let mut history = calm();
    history.streams.push(stream(&[(1, "v1"), (2, "v1")], 3, false));
    assert_eq!(promises(&history), Vec::<&str>::new());
    history.streams.push(stream(&[(1, "v1"), (2, "v2")], 2, true));
    assert_eq!(promises(&history), ["a stream goes on only at its software version"]);
}

#[test]
fn a_stream_that_lacks_or_repeats_an_event_is_reported() {
    for (events, is_complete) in
        [(&[(1, "v1")][..], true), (&[(1, "v1"), (1, "v1")], false), (&[(2, "v1")], false)]
    {
        let mut history = calm();
        history.streams.push(stream(events, 2, is_complete));
        assert_eq!(promises(&history), ["each caller its own whole answer"], "{events:?}");
    }
}

/// A history in which servers crash under prompts each second from 10 s on, with sound prompts
/// before and after.
fn crashing_prompts(crashes: u64) -> History {
    let mut history = calm();
    let sound = |number: u64| {
        let sent = if number < 20 { 10 } else { 400 };
        request(&format!("s{number}"), Kind::Prompt { crashes: false }, sent, Ended::Whole)
    };
    history.requests.extend((0..40).map(sound));
    for number in 0..crashes {
        let (id, sent) = (format!("x{number}"), 100 + 10 * number);
        let failed = Ended::Failed(502);
        history.requests.push(request(&id, Kind::Prompt { crashes: true }, sent, failed));
        history.prompt_arrivals.push(PromptArrivalRecord { id, at: seconds(sent), crashes: true });
        history.prompt_crashes.push(seconds(sent));
    }
    history
}

#[test]
fn a_crashing_part_that_reaches_servers_after_nodes_must_know_of_it_is_reported() {
    let late = "a part that crashes servers is kept from them";
    assert_eq!(promises(&crashing_prompts(9)), Vec::<&str>::new());
    let mut history = crashing_prompts(13);
    assert_eq!(promises(&history), [late]);
    let disturbed = Disturbance { whom: Whom::Node(0), from: seconds(190), until: seconds(230) };
    history.disturbances.push(disturbed);
    assert_eq!(promises(&history), Vec::<&str>::new(), "the node may not have heard of it");
}

#[test]
fn sound_prompts_that_are_served_less_than_half_as_often_as_before_are_reported() {
    let unserved = "prompts that share parts with one that crashes servers are served";
    let mut history = crashing_prompts(5);
    let after = |request: &&mut RequestRecord| request.sent == seconds(400);
    let refused = |count: usize, history: &mut History| {
        let prompts = history.requests.iter_mut().filter(after).take(count);
        prompts.for_each(|request| request.ended = Ended::NotRun(503));
    };
    refused(10, &mut history);
    assert_eq!(promises(&history), Vec::<&str>::new());
    refused(11, &mut history);
    assert_eq!(promises(&history), [unserved]);
}
