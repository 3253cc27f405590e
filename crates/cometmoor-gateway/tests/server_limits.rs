//! Servers' limits over all nodes, in virtual time: what reaches a server in any four seconds
//! stays within what operators allow, whatever fails, and the limit is used under pressure.
//!
//! `COMETMOOR_QUOTA_SEEDS` runs more seeds. `COMETMOOR_QUOTA_TABLE=1` prints the ways side
//! by side (`cargo test --release -p cometmoor-gateway --test server_limits -- --nocapture
//! table`).

mod quota_world;
mod world;

use std::time::Duration;

use cometmoor_core::gateway::quota::QuotaKey;
use cometmoor_core::gateway::quota::lending::LendingPolicy;
use cometmoor_core::gateway::quota::server_limit::{SERVER_LIMIT_BOUNDS, server_limit};
use quota_world::cuts::{cut_a_third, isolate_a_third};
use quota_world::equal::EqualShares;
use quota_world::policy::SimulatedPolicy;
use quota_world::tenants::{Outcome, SimulatedTenant};
use quota_world::{QuotaWorld, WARM, seeds};

/// Seconds that are played.
const PLAYED: u64 = 20;
/// Seconds after which the use of a limit is counted.
const USED_FROM: u64 = 4;
/// Window of the operators' bound.
const WINDOW: Duration = Duration::from_secs(4);
/// Limits that servers name, in requests a second.
const LIMITS: [f64; 4] = [0.5, 1.0, 5.0, 40.0];
/// Requests a second that would go to each server if it had no limit.
const DEMAND: f64 = 60.0;
/// Part of a limit that has to be used under pressure.
const USED_UNDER_PRESSURE: f64 = 0.8;

fn allowed(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

fn servers() -> Vec<SimulatedTenant> {
    let of = |(place, per_second): (usize, &f64)| SimulatedTenant {
        key: QuotaKey::of(&format!("server-{place}")),
        limit: server_limit(*per_second, 1),
        sends: vec![(0, DEMAND / per_second)],
    };
    LIMITS.iter().enumerate().map(of).collect()
}

/// What one server met.
#[derive(Clone, Copy, Debug, Default)]
struct Met {
    per_second: f64,
    most: f64,
    used: f64,
}

struct Shown {
    met: Vec<Met>,
    bytes: f64,
    waits: (f64, f64),
}

impl Shown {
    fn line(&self) -> String {
        let figures: Vec<String> = self
            .met
            .iter()
            .map(|met| format!("{:.0}/{:.0} {:.2}", met.most, allowed(met.per_second), met.used))
            .collect();
        let (bytes, (middle, long)) = (self.bytes, self.waits);
        format!("{} | {bytes:.0} B; {middle:.1} {long:.0} ms", figures.join(" | "))
    }
}

fn play<Policy: SimulatedPolicy>(
    nodes: usize,
    seed: u64,
    happen: impl Fn(&mut QuotaWorld<Policy>, u64),
) -> Shown {
    let mut world = QuotaWorld::with_bounds(nodes, servers(), seed, SERVER_LIMIT_BOUNDS, vec![1.0]);
    world.run_until(WARM);
    world.open_to_callers();
    for second in 0..PLAYED {
        happen(&mut world, second);
        world.run_until(WARM + second + 1);
    }
    let met = |(server, outcome): (&SimulatedTenant, &Outcome)| Met {
        per_second: server.limit.limit.per_second,
        most: outcome.most_in(WINDOW),
        used: outcome.use_of(&server.limit.limit, WARM + USED_FROM, WARM + PLAYED),
    };
    let mut waits = world.waits.clone();
    waits.sort_unstable();
    let wait = |hundredths: usize| waits[waits.len() * hundredths / 100] as f64 / 1000.0;
    Shown {
        met: world.tenants.iter().zip(&world.outcomes).map(met).collect(),
        bytes: world.bytes as f64 / (nodes as u64 * (WARM + PLAYED)) as f64,
        waits: (wait(50), wait(99)),
    }
}

fn freeze_lenders<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    if second % 6 == 2 {
        for server in 0..world.tenants.len() {
            let lender = world.lender(server);
            world.freeze(lender, 3000);
        }
    }
}

fn kill_all<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    match second {
        2 => world.addresses().into_iter().for_each(|node| world.kill(node)),
        3 => world.start(0..world.places()),
        _ => {}
    }
}

/// Starts each node anew in turn, two a second.
fn restart_in_turn<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    for half in 0..2 {
        let place = (2 * second + half) as usize % world.places();
        let node = world.address(place);
        world.kill(node);
        world.start(place..place + 1);
    }
}

fn is_calm<Policy: SimulatedPolicy>(_: &mut QuotaWorld<Policy>, _: u64) {}

fn assert_bound(shown: &Shown, what: &str) {
    for met in &shown.met {
        assert!(met.most <= allowed(met.per_second), "{what}: {}", shown.line());
    }
}

#[test]
fn a_limit_is_held_and_used_by_any_number_of_nodes() {
    for seed in 1..=seeds(1) {
        for nodes in [3, 6, 30, 90] {
            let shown = play::<LendingPolicy>(nodes, seed, is_calm);
            assert_bound(&shown, "calm");
            for met in &shown.met {
                assert!(met.used >= USED_UNDER_PRESSURE, "{nodes} nodes: {}", shown.line());
            }
        }
    }
}

#[test]
fn a_limit_is_held_while_nodes_are_cut_off_frozen_killed_and_started_again() {
    for seed in 1..=seeds(1) {
        for nodes in [6, 30] {
            assert_bound(&play::<LendingPolicy>(nodes, seed, cut_a_third), "cut off together");
            assert_bound(
                &play::<LendingPolicy>(nodes, seed, isolate_a_third),
                "cut off one by one",
            );
            assert_bound(&play::<LendingPolicy>(nodes, seed, freeze_lenders), "lenders frozen");
            assert_bound(&play::<LendingPolicy>(nodes, seed, kill_all), "all killed");
            assert_bound(&play::<LendingPolicy>(nodes, seed, restart_in_turn), "started in turn");
        }
    }
}

fn print<Policy: SimulatedPolicy>(way: &str) {
    type Happen<Policy> = fn(&mut QuotaWorld<Policy>, u64);
    let plays: [(&str, Happen<Policy>); 6] = [
        ("calm", is_calm),
        ("a third cut off together", cut_a_third),
        ("a third cut off one by one", isolate_a_third),
        ("lenders frozen", freeze_lenders),
        ("all killed", kill_all),
        ("started again in turn", restart_in_turn),
    ];
    for (name, happen) in plays {
        for nodes in [3, 6, 30, 90, 300] {
            let mut worst = play::<Policy>(nodes, 1, happen);
            for seed in 2..=seeds(1) {
                let shown = play::<Policy>(nodes, seed, happen);
                for (worst, met) in worst.met.iter_mut().zip(shown.met) {
                    worst.most = worst.most.max(met.most);
                    worst.used = worst.used.min(met.used);
                }
            }
            eprintln!("{way}, {name}, {nodes} nodes | {}", worst.line());
        }
    }
}

#[test]
fn table_of_the_ways() {
    if std::env::var("COMETMOOR_QUOTA_TABLE").is_err() {
        return;
    }
    eprintln!("limits {LIMITS:?}: most in 4 s/allowed, least use; bytes a node and second; waits");
    print::<LendingPolicy>("lent");
    print::<EqualShares>("equal shares");
}
