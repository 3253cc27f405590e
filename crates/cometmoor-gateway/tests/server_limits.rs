//! Simulation of server limits that all nodes share, in virtual time. The requests that reach a
//! server in any four seconds stay within the operators' bound, whatever fails, and the limit is
//! used when demand exceeds it.
//!
//! `COMETMOOR_QUOTA_SEEDS` sets the number of seeds. `COMETMOOR_QUOTA_TABLE=1` prints a
//! comparison of the policies (`cargo test --release -p cometmoor-gateway --test server_limits
//! -- --nocapture table`).

mod quota_world;
mod world;

use std::time::Duration;

use cometmoor_core::gateway::quota::QuotaKey;
use cometmoor_core::gateway::quota::lending::LendingPolicy;
use cometmoor_core::gateway::quota::server_limit::{SERVER_LIMIT_BOUNDS, server_limit};
use quota_world::equal_shares::EqualSharesPolicy;
use quota_world::partitions::{isolate_every_third_node, isolate_zone};
use quota_world::simulated_policy::SimulatedPolicy;
use quota_world::tenants::{Outcome, SimulatedTenant};
use quota_world::{QuotaWorld, WARM_UP_SECONDS, seed_count};

/// Simulated seconds after the warm-up.
const SIMULATED_SECONDS: u64 = 20;
/// Second after the warm-up from which the use of a limit is measured.
const MEASURED_FROM: u64 = 4;
/// Window of the operators' bound.
const WINDOW: Duration = Duration::from_secs(4);
/// Limits of the servers, in requests per second.
const LIMITS: [f64; 4] = [0.5, 1.0, 5.0, 40.0];
/// Requests per second that each server would receive if it had no limit.
const DEMAND: f64 = 60.0;
/// Share of a limit that has to be used when demand exceeds it.
const MIN_UTILIZATION: f64 = 0.8;

/// Requests that may reach a server in one window.
fn max_in_window(per_second: f64) -> f64 {
    1.5 * per_second * WINDOW.as_secs_f64() + 5.0
}

/// Servers as holders of limits; demand is given as a multiple of the limit.
fn servers() -> Vec<SimulatedTenant> {
    let server = |(index, per_second): (usize, &f64)| SimulatedTenant {
        key: QuotaKey::of(&format!("server-{index}")),
        limit: server_limit(*per_second, 1),
        demand: vec![(0, DEMAND / per_second)],
    };
    LIMITS.iter().enumerate().map(server).collect()
}

/// Results for one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerResult {
    per_second: f64,
    /// Most requests that reached the server in any window.
    peak_usage: f64,
    /// Share of the limit that was used.
    utilization: f64,
}

struct SimulationResult {
    servers: Vec<ServerResult>,
    /// Message bytes per node and second.
    bytes: f64,
    /// Median and 99th percentile of the wait for a decision, in milliseconds.
    waits: (f64, f64),
}

impl SimulationResult {
    fn line(&self) -> String {
        let figures: Vec<String> = self
            .servers
            .iter()
            .map(|server| {
                format!(
                    "{:.0}/{:.0} {:.2}",
                    server.peak_usage,
                    max_in_window(server.per_second),
                    server.utilization
                )
            })
            .collect();
        let (bytes, (median, p99)) = (self.bytes, self.waits);
        format!("{} | {bytes:.0} B; {median:.1} {p99:.0} ms", figures.join(" | "))
    }
}

/// Runs a simulation; `inject_faults` is called at the start of each second after the warm-up.
fn simulate<Policy: SimulatedPolicy>(
    nodes: usize,
    seed: u64,
    inject_faults: impl Fn(&mut QuotaWorld<Policy>, u64),
) -> SimulationResult {
    let mut world = QuotaWorld::with_bounds(nodes, servers(), seed, SERVER_LIMIT_BOUNDS, vec![1.0]);
    world.run_until(WARM_UP_SECONDS);
    world.start_traffic();
    for second in 0..SIMULATED_SECONDS {
        inject_faults(&mut world, second);
        world.run_until(WARM_UP_SECONDS + second + 1);
    }
    let result = |(server, outcome): (&SimulatedTenant, &Outcome)| ServerResult {
        per_second: server.limit.limit.per_second,
        peak_usage: outcome.peak_usage(WINDOW),
        utilization: outcome.utilization(
            &server.limit.limit,
            WARM_UP_SECONDS + MEASURED_FROM,
            WARM_UP_SECONDS + SIMULATED_SECONDS,
        ),
    };
    let mut waits = world.waits.clone();
    waits.sort_unstable();
    let percentile = |percent: usize| waits[waits.len() * percent / 100] as f64 / 1000.0;
    SimulationResult {
        servers: world.tenants.iter().zip(&world.outcomes).map(result).collect(),
        bytes: world.sent_bytes as f64
            / (nodes as u64 * (WARM_UP_SECONDS + SIMULATED_SECONDS)) as f64,
        waits: (percentile(50), percentile(99)),
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
        3 => world.start(0..world.started_count()),
        _ => {}
    }
}

/// Restarts one node after the other, two per second.
fn rolling_restart<Policy: SimulatedPolicy>(world: &mut QuotaWorld<Policy>, second: u64) {
    for half in 0..2 {
        let index = (2 * second + half) as usize % world.started_count();
        let node = world.address(index);
        world.kill(node);
        world.start(index..index + 1);
    }
}

fn no_faults<Policy: SimulatedPolicy>(_: &mut QuotaWorld<Policy>, _: u64) {}

fn assert_bound(result: &SimulationResult, scenario: &str) {
    for server in &result.servers {
        assert!(
            server.peak_usage <= max_in_window(server.per_second),
            "{scenario}: {}",
            result.line()
        );
    }
}

#[test]
fn limit_is_enforced_and_used_at_any_fleet_size() {
    for seed in 1..=seed_count(1) {
        for nodes in [3, 6, 30, 90] {
            let result = simulate::<LendingPolicy>(nodes, seed, no_faults);
            assert_bound(&result, "no faults");
            for server in &result.servers {
                assert!(server.utilization >= MIN_UTILIZATION, "{nodes} nodes: {}", result.line());
            }
        }
    }
}

#[test]
fn limit_is_enforced_during_partitions_freezes_and_restarts() {
    for seed in 1..=seed_count(1) {
        for nodes in [6, 30] {
            assert_bound(&simulate::<LendingPolicy>(nodes, seed, isolate_zone), "partition");
            assert_bound(
                &simulate::<LendingPolicy>(nodes, seed, isolate_every_third_node),
                "isolated nodes",
            );
            assert_bound(&simulate::<LendingPolicy>(nodes, seed, freeze_lenders), "lenders frozen");
            assert_bound(&simulate::<LendingPolicy>(nodes, seed, kill_all), "all nodes killed");
            assert_bound(
                &simulate::<LendingPolicy>(nodes, seed, rolling_restart),
                "rolling restart",
            );
        }
    }
}

fn print<Policy: SimulatedPolicy>(policy: &str) {
    type InjectFaults<Policy> = fn(&mut QuotaWorld<Policy>, u64);
    let scenarios: [(&str, InjectFaults<Policy>); 6] = [
        ("no faults", no_faults),
        ("partition of a third", isolate_zone),
        ("a third isolated", isolate_every_third_node),
        ("lenders frozen", freeze_lenders),
        ("all nodes killed", kill_all),
        ("rolling restart", rolling_restart),
    ];
    for (name, inject_faults) in scenarios {
        for nodes in [3, 6, 30, 90, 300] {
            let mut worst = simulate::<Policy>(nodes, 1, inject_faults);
            for seed in 2..=seed_count(1) {
                let result = simulate::<Policy>(nodes, seed, inject_faults);
                for (worst, server) in worst.servers.iter_mut().zip(result.servers) {
                    worst.peak_usage = worst.peak_usage.max(server.peak_usage);
                    worst.utilization = worst.utilization.min(server.utilization);
                }
            }
            eprintln!("{policy}, {name}, {nodes} nodes | {}", worst.line());
        }
    }
}

#[test]
fn table_of_the_policies() {
    if std::env::var("COMETMOOR_QUOTA_TABLE").is_err() {
        return;
    }
    eprintln!(
        "limits {LIMITS:?}: most in 4 s/allowed, least share used; bytes per node and second; waits"
    );
    print::<LendingPolicy>("lending");
    print::<EqualSharesPolicy>("equal shares");
}
