//! The emulator: days repeat, each request ends once, and the product's planner
//! never takes a server's memory or the weight store beyond their bounds.

use cometmoor_lab::emulator::outcome::DayReport;
use cometmoor_lab::emulator::policy::{Policy, PolicyError};
use cometmoor_lab::emulator::scenario::{Fault, FaultKind, Scenario, ScenarioError, Shift};
use cometmoor_lab::emulator::world::play;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Days with drawn disruptions that are played.
const DRAWN_DAYS: u64 = 12;
/// Window of the weight store's rate, in seconds.
const WINDOW_SECONDS: f64 = 5.0;

fn scenario(name: &str) -> Scenario {
    let text = match name {
        "lab-library-busy" => include_str!("../scenarios/lab-library-busy.json"),
        "lab-library-calm" => include_str!("../scenarios/lab-library-calm.json"),
        _ => include_str!("../scenarios/linen-dispatch-busy.json"),
    };
    Scenario::parse(text).unwrap()
}

fn day(scenario: &Scenario, policy: &str, seed: u64) -> DayReport {
    play(scenario, &Policy::named(policy).unwrap(), seed)
}

fn assert_sound(scenario: &Scenario, report: &DayReport) {
    let shares = report.in_time + report.late + report.refused + report.failed;
    assert!((shares - 1.0).abs() < 1e-9, "each request ends once: {report:?}");
    assert_eq!(report.overcommitted, 0, "{report:?}");
    let most = (scenario.engines.loads_per_second * WINDOW_SECONDS).floor() as usize;
    assert!(report.most_store_loads_in_window <= most, "{report:?}");
}

#[test]
fn a_day_repeats_by_its_seed() {
    let scenario = scenario("lab-library-calm");
    let first = day(&scenario, "product", 3);
    assert_eq!(first, day(&scenario, "product", 3));
    assert_ne!(first.requests, day(&scenario, "product", 4).requests);
}

#[test]
fn every_policy_ends_every_request() {
    for name in ["lab-library-busy", "linen-dispatch-busy"] {
        let scenario = scenario(name);
        for policy in Policy::NAMES {
            assert_sound(&scenario, &day(&scenario, policy, 1));
        }
    }
}

/// Crashes, notices, slow servers, bursts and shifts at drawn moments.
#[test]
fn drawn_disruptions_break_no_bound() {
    let mut scenario = scenario("lab-library-busy");
    scenario.length_seconds = 10.0;
    for seed in 0..DRAWN_DAYS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        scenario.faults = (0..6).map(|_| draw_fault(&mut random)).collect();
        scenario.shifts = (0..3).map(|_| draw_shift(&mut random)).collect();
        assert_sound(&scenario, &day(&scenario, "product", seed));
    }
}

fn draw_fault(random: &mut ChaCha8Rng) -> Fault {
    let servers = random.random_range(1..5);
    let factor = 1.0 + random.random::<f64>() * 4.0;
    let what = match random.random_range(0..4) {
        0 => FaultKind::ServersCrash(servers),
        1 => FaultKind::ServersLeave(servers),
        2 => FaultKind::ServersSlow { servers, factor },
        _ => FaultKind::Burst { kind: None, factor },
    };
    let at_seconds = random.random::<f64>() * 9.0;
    Fault { at_seconds, for_seconds: 2.5 + random.random::<f64>() * 4.0, what }
}

fn draw_shift(random: &mut ChaCha8Rng) -> Shift {
    Shift { at_seconds: random.random::<f64>() * 9.0, places: random.random_range(1..5) }
}

/// What the policies are for: each is worth more than the one with less.
#[test]
fn moving_models_and_refusing_late_requests_pay_on_a_busy_day() {
    let scenario = scenario("lab-library-busy");
    let mean = |policy| (1..=4).map(|seed| day(&scenario, policy, seed).worth).sum::<f64>() / 4.0;
    let product = mean("product");
    assert!(product > mean("reactive"), "the planner pays");
    assert!(mean("reactive") > mean("static"), "models that nobody holds are loaded");
    assert!(product > mean("product-without-earlyRefusal"), "refusals pay");
    assert!(mean("foresight") > product, "no policy beats foresight");
}

#[test]
fn what_cannot_be_played_is_refused() {
    let text = include_str!("../scenarios/lab-library-calm.json");
    let small = text.replace("\"weightsGigabytes\": 230", "\"weightsGigabytes\": 80");
    assert!(matches!(Scenario::parse(&small), Err(ScenarioError::Invalid(_))));
    let misspelt = text.replace("\"clump\"", "\"clumps\"");
    assert!(matches!(Scenario::parse(&misspelt), Err(ScenarioError::Invalid(_))));
    let unknown = Policy::named("product-without-luck");
    assert_eq!(unknown, Err(PolicyError::UnknownMechanism("luck".to_owned())));
}
