//! The part of prompts that crashes servers is found among random crowds of requests, and the parts
//! that run beside it are not blamed.

use std::time::Duration;

use cometmoor_core::gateway::quarantine::{
    DOUBTFUL_PART_CRASH_LIMIT, MAX_PARTS_PER_REQUEST, PART_CRASH_LIMIT, PartChange, PartId,
    PartQuarantine, QUARANTINE_LIFETIME, QuarantineStatus, ReportedCrash,
    UNRELATED_PART_CRASH_LIMIT,
};
use cometmoor_core::time::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CRASHING: PartId = PartId(1);
const SOUND: PartId = PartId(2);
const OTHER: PartId = PartId(3);
const SEEDS: u64 = 200;
/// Time by which a crash counts: all nodes have learned what was in flight.
const SETTLED: Duration = Duration::from_millis(200);
/// Time after which one request tells whether a quarantined part still crashes servers.
const TRIAL_DELAY: Duration = Duration::from_secs(120);

fn second(second: u64) -> Timestamp {
    Timestamp(1_000_000 + second * 1000)
}

fn is_quarantined(quarantine: &mut PartQuarantine, part: PartId, now: Timestamp) -> bool {
    quarantine.status(&[part], now + SETTLED) != QuarantineStatus::Allowed
}

fn crash(quarantine: &mut PartQuarantine, server: u32, parts: &[PartId]) {
    let at = second(u64::from(server));
    quarantine.note_crash(server, parts, at, at);
}

#[test]
fn a_part_that_was_in_flight_at_three_crashes_is_quarantined() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..PART_CRASH_LIMIT as u32 {
        assert!(!is_quarantined(&mut quarantine, CRASHING, second(u64::from(server))));
        crash(&mut quarantine, server, &[CRASHING, PartId(100 + u64::from(server))]);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(2)));
    assert!(!is_quarantined(&mut quarantine, PartId(100), second(2)));
    let expected = [PartChange::Quarantined(CRASHING, vec![0, 1, 2])];
    assert_eq!(quarantine.take_changes(), expected);
}

#[test]
fn a_part_that_is_answered_meanwhile_is_not_blamed() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..20 {
        crash(&mut quarantine, server, &[SOUND]);
        quarantine.note_answer(&[SOUND], second(u64::from(server)) + SETTLED);
    }
    assert!(!is_quarantined(&mut quarantine, SOUND, second(20)));
}

/// A rack or a zone that loses power ends all of its servers at once.
#[test]
fn servers_that_crash_together_count_once() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..30 {
        let at = second(0) + Duration::from_millis(u64::from(server) * 3);
        quarantine.note_crash(server, &[SOUND], at, at);
    }
    assert!(!is_quarantined(&mut quarantine, SOUND, second(1)));
}

#[test]
fn parts_that_came_together_so_far_are_told_apart_by_an_answer() {
    let mut quarantine = PartQuarantine::default();
    (0..4).for_each(|server| crash(&mut quarantine, server, &[CRASHING, SOUND]));
    assert!(!is_quarantined(&mut quarantine, CRASHING, second(3)), "it may be either");
    quarantine.note_answer(&[SOUND], second(4));
    assert!(is_quarantined(&mut quarantine, CRASHING, second(4)));
    assert!(!is_quarantined(&mut quarantine, SOUND, second(4)));
}

#[test]
fn parts_that_always_come_together_are_quarantined_together() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..DOUBTFUL_PART_CRASH_LIMIT as u32 {
        crash(&mut quarantine, server, &[CRASHING, OTHER]);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(5)));
    assert!(is_quarantined(&mut quarantine, OTHER, second(5)));
}

#[test]
fn crashes_that_a_quarantined_part_explains_do_not_speak_against_others() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, 0, &[CRASHING]);
    for server in 1..20 {
        crash(&mut quarantine, server, &[CRASHING, SOUND]);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(20)));
    assert!(!is_quarantined(&mut quarantine, SOUND, second(20)));
}

#[test]
fn two_parts_that_crash_servers_are_both_found() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..8 {
        crash(&mut quarantine, server, &[if server % 2 == 0 { CRASHING } else { OTHER }]);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(8)));
    assert!(is_quarantined(&mut quarantine, OTHER, second(8)));
}

/// Its earlier answers must not protect a part for as long as it is remembered that there were any.
#[test]
fn a_part_that_begins_to_crash_servers_is_quarantined_after_five_crashes() {
    let mut quarantine = PartQuarantine::default();
    quarantine.note_answer(&[CRASHING], Timestamp(second(0).0 - 2_000));
    for server in 0..DOUBTFUL_PART_CRASH_LIMIT as u32 {
        assert!(!is_quarantined(&mut quarantine, CRASHING, second(u64::from(server))));
        crash(&mut quarantine, server, &[CRASHING]);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(5)));
}

#[test]
fn a_part_is_found_beside_more_servers_that_crash_by_themselves() {
    let mut quarantine = PartQuarantine::default();
    for server in 0..3 * UNRELATED_PART_CRASH_LIMIT as u32 {
        let parts: &[PartId] = if server % 3 == 0 { &[CRASHING] } else { &[] };
        crash(&mut quarantine, server, parts);
    }
    assert!(is_quarantined(&mut quarantine, CRASHING, second(20)));
}

#[test]
fn another_node_learns_of_crashes_and_of_what_was_quarantined() {
    let mut quarantine = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    crash(&mut quarantine, 0, &[CRASHING]);
    crash(&mut peer, 1, &[CRASHING, SOUND]);
    crash(&mut peer, 2, &[CRASHING]);
    let report = peer.next_report(second(3)).unwrap();
    quarantine.merge(&report, second(3));
    assert!(is_quarantined(&mut quarantine, CRASHING, second(3)));
    let mut joined = PartQuarantine::default();
    quarantine.report_again(second(4));
    joined.merge(&quarantine.next_report(second(4)).unwrap(), second(4));
    assert!(is_quarantined(&mut joined, CRASHING, second(4)));
}

#[test]
fn an_answer_at_another_node_ends_a_wrong_quarantine() {
    let mut quarantine = PartQuarantine::default();
    let mut peer = PartQuarantine::default();
    peer.note_answer(&[SOUND], second(2) + SETTLED);
    (0..3).for_each(|server| crash(&mut quarantine, server, &[SOUND]));
    assert!(is_quarantined(&mut quarantine, SOUND, second(2)));
    let mut now = second(3);
    for _ in 0..3 {
        if let Some(report) = quarantine.next_report(now) {
            peer.merge(&report, now);
        }
        if let Some(report) = peer.next_report(now) {
            quarantine.merge(&report, now);
        }
        now = now + SETTLED;
    }
    assert!(!is_quarantined(&mut quarantine, SOUND, now));
    assert!(!is_quarantined(&mut peer, SOUND, now));
    assert!(quarantine.take_changes().contains(&PartChange::Released(SOUND)));
}

/// Reported ages grow with each node that passes them on.
#[test]
fn two_nodes_do_not_report_to_each_other_for_ever() {
    let mut nodes = [PartQuarantine::default(), PartQuarantine::default()];
    (0..3).for_each(|server| crash(&mut nodes[0], server, &[CRASHING, SOUND]));
    nodes[1].note_answer(&[SOUND], second(3));
    let mut messages = 0;
    for round in 0..500 {
        let now = second(4) + Duration::from_millis(80 * round);
        for sender in 0..2 {
            if let Some(report) = nodes[sender].next_report(now) {
                messages += 1;
                nodes[1 - sender].merge(&report, now + Duration::from_millis(30));
            }
        }
    }
    assert!(messages < 100, "{messages} messages");
    assert!(nodes.iter_mut().all(|node| is_quarantined(node, CRASHING, second(60))));
}

#[test]
fn one_request_tells_whether_a_quarantined_part_still_crashes_servers() {
    let mut quarantine = PartQuarantine::default();
    (0..3).for_each(|server| crash(&mut quarantine, server, &[SOUND]));
    assert!(is_quarantined(&mut quarantine, SOUND, second(2)));
    assert!(!quarantine.begin_trial(&[SOUND], second(60)), "it is not due");
    let due = second(2) + TRIAL_DELAY;
    assert!(quarantine.begin_trial(&[SOUND, OTHER], due));
    assert!(!quarantine.begin_trial(&[SOUND], due), "there is one already");
    quarantine.note_crash(9, &[SOUND], due, due);
    assert!(!quarantine.begin_trial(&[SOUND], due + TRIAL_DELAY), "the time doubles");
    let due = due + 2 * TRIAL_DELAY;
    assert!(quarantine.begin_trial(&[SOUND], due));
    quarantine.note_answer(&[SOUND], due);
    assert_eq!(quarantine.status(&[SOUND], due), QuarantineStatus::Allowed);
}

#[test]
fn a_crash_after_the_quarantine_has_ended_quarantines_again() {
    let mut quarantine = PartQuarantine::default();
    (0..3).for_each(|server| crash(&mut quarantine, server, &[CRASHING]));
    assert!(is_quarantined(&mut quarantine, CRASHING, second(2)));
    let later = second(2) + QUARANTINE_LIFETIME;
    assert_eq!(quarantine.status(&[CRASHING], later), QuarantineStatus::Allowed);
    quarantine.note_crash(9, &[CRASHING], later, later);
    assert!(is_quarantined(&mut quarantine, CRASHING, later));
}

#[test]
fn memory_is_bounded_whatever_parts_clients_name() {
    let mut quarantine = PartQuarantine::default();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for server in 0..1_000 {
        let parts: Vec<PartId> =
            (0..MAX_PARTS_PER_REQUEST * 20).map(|_| PartId(random.random())).collect();
        let at = second(u64::from(server) / 10);
        quarantine.note_crash(server, &parts, at, at);
        quarantine.note_answer(&parts[..MAX_PARTS_PER_REQUEST], at);
        if let Some(report) = quarantine.next_report(at) {
            let suspects = |crash: &ReportedCrash| crash.suspects.len();
            let parts: usize = report.crashes.iter().map(suspects).sum();
            assert!(parts + report.answered.len() + report.quarantined.len() <= 96);
        }
    }
    let (quarantined, suspects) = quarantine.counts(second(200));
    assert!(quarantined <= 256 && suspects <= 256 * 64, "{quarantined}, {suspects}");
}

/// A request that runs at a server.
struct Run {
    server: usize,
    parts: Vec<PartId>,
    begins_at: u64,
    ends_at: u64,
    has_begun: bool,
}

/// Requests and servers of a simulation. Times are in milliseconds.
struct Crowd {
    servers: usize,
    /// Requests a second.
    sound_rate: u64,
    /// Number of parts at the first and at the second place of prompts.
    parts: (u64, u64),
    /// Time between two requests with the crashing part; `None` for no such requests.
    crashing_interval: Option<u64>,
    /// Time between two crashes without a cause in a request; `None` for none.
    own_crash_interval: Option<u64>,
}

struct Outcome {
    crashes: usize,
    quarantined: Vec<PartId>,
}

/// Plays 30 s of a crowd. One table knows what all nodes know.
fn play(crowd: &Crowd, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut quarantine = PartQuarantine::default();
    let mut runs: Vec<Run> = Vec::new();
    let mut away_until = vec![0; crowd.servers];
    let mut outcome = Outcome { crashes: 0, quarantined: Vec::new() };
    for now in (0_u64..30_000).step_by(5) {
        let at = Timestamp(1_000_000 + now);
        let mut crashed: Vec<usize> = Vec::new();
        for run in &mut runs {
            if run.has_begun || now < run.begins_at {
                continue;
            }
            run.has_begun = true;
            match run.parts.contains(&CRASHING) {
                true => crashed.push(run.server),
                false => quarantine.note_answer(&run.parts, at),
            }
        }
        if crowd.own_crash_interval.is_some_and(|interval| now % interval == 0 && now > 0) {
            crashed.push(random.random_range(0..crowd.servers));
        }
        for server in crashed {
            if now < away_until[server] {
                continue;
            }
            away_until[server] = now + 2_500;
            outcome.crashes += 1;
            let suspects = runs.iter().filter(|run| run.server == server);
            let suspects = suspects.filter(|run| !run.has_begun || run.parts.contains(&CRASHING));
            let parts: Vec<PartId> = suspects.flat_map(|run| run.parts.clone()).collect();
            quarantine.note_crash(outcome.crashes as u32, &parts, at, at);
            runs.retain(|run| run.server != server);
        }
        runs.retain(|run| run.ends_at > now);
        let is_due = |interval: u64| now % interval == 0;
        let mut arrivals: Vec<bool> = Vec::new();
        arrivals.extend(random.random_bool(crowd.sound_rate as f64 * 0.005).then_some(false));
        arrivals.extend(crowd.crashing_interval.filter(|at| is_due(*at)).map(|_| true));
        for is_crashing in arrivals {
            let up: Vec<usize> =
                (0..crowd.servers).filter(|server| now >= away_until[*server]).collect();
            let Some(server) = up.get(random.random_range(0..up.len().max(1))) else { continue };
            let first = PartId(100 + random.random_range(0..crowd.parts.0));
            let second = PartId(1_000 + random.random_range(0..crowd.parts.1));
            let parts = vec![first, if is_crashing { CRASHING } else { second }];
            if quarantine.status(&parts, at) != QuarantineStatus::Allowed {
                continue;
            }
            let begins_at = now + random.random_range(50..400);
            let ends_at = begins_at + random.random_range(50..2_000);
            runs.push(Run { server: *server, parts, begins_at, ends_at, has_begun: false });
        }
    }
    for change in quarantine.take_changes() {
        if let PartChange::Quarantined(part, _) = change {
            outcome.quarantined.push(part);
        }
    }
    outcome
}

#[test]
fn the_crashing_part_alone_is_found_in_random_crowds() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed + 1_000_000);
        let crowd = Crowd {
            servers: random.random_range(6..60),
            sound_rate: random.random_range(10..100),
            parts: (random.random_range(1..5), random.random_range(2..3_000)),
            crashing_interval: Some(5 * random.random_range(50..300)),
            own_crash_interval: random.random_bool(0.3).then_some(5_000),
        };
        let outcome = play(&crowd, seed);
        assert_eq!(outcome.quarantined, [CRASHING], "seed {seed}, {} crashes", outcome.crashes);
    }
}

#[test]
fn no_part_is_blamed_in_random_crowds_whose_servers_crash_by_themselves() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed + 2_000_000);
        let crowd = Crowd {
            servers: random.random_range(6..60),
            sound_rate: random.random_range(10..100),
            parts: (random.random_range(1..5), random.random_range(2..3_000)),
            crashing_interval: None,
            own_crash_interval: Some(5 * random.random_range(100..1_000)),
        };
        let outcome = play(&crowd, seed);
        assert!(outcome.crashes > 5 && outcome.quarantined.is_empty(), "seed {seed}");
    }
}
