//! `cometmoor-lab experiment` and `cometmoor-lab compare`.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

use serde::Serialize;

use super::outcome::DayReport;
use super::policy::{Policy, PolicyError};
use super::scenario::{Scenario, ScenarioError};
use super::world::play;

/// Seed where none is given.
const DEFAULT_SEED: u64 = 1;
/// Seeds where none are given.
const DEFAULT_SEEDS: &str = "1..8";

/// Why an experiment cannot be made.
#[derive(Debug)]
pub enum ExperimentError {
    /// The scenario.
    Scenario(ScenarioError),
    /// The policy.
    Policy(PolicyError),
    /// The seeds: `FIRST..LAST` is wanted.
    Seeds(String),
}

impl fmt::Display for ExperimentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ExperimentError::Scenario(error) => write!(formatter, "the scenario {error}"),
            ExperimentError::Policy(error) => error.fmt(formatter),
            ExperimentError::Seeds(text) => write!(formatter, "{text} is not FIRST..LAST"),
        }
    }
}

/// Plays one day and prints its report.
pub fn experiment(
    scenario: &Path,
    policy: Option<&str>,
    seed: Option<u64>,
    json: bool,
) -> ExitCode {
    let played = read(scenario).and_then(|scenario| {
        let policy = named(policy.unwrap_or("product"))?;
        Ok(play(&scenario, &policy, seed.unwrap_or(DEFAULT_SEED)))
    });
    match played {
        Ok(report) if json => print_json(&report),
        Ok(report) => print_day(&report),
        Err(error) => return fail(&error),
    }
    ExitCode::SUCCESS
}

/// Plays the same days under several policies and prints their means.
pub fn compare(
    scenario: &Path,
    policies: Option<&str>,
    seeds: Option<&str>,
    json: bool,
) -> ExitCode {
    let names = policies.map_or_else(
        || Policy::NAMES.map(str::to_owned).to_vec(),
        |list| list.split(',').map(str::to_owned).collect(),
    );
    let rows = match rows(scenario, &names, seeds.unwrap_or(DEFAULT_SEEDS)) {
        Ok(rows) => rows,
        Err(error) => return fail(&error),
    };
    if json {
        print_json(&rows)
    } else {
        print_rows(&rows)
    }
    ExitCode::SUCCESS
}

fn read(scenario: &Path) -> Result<Scenario, ExperimentError> {
    Scenario::read(scenario).map_err(ExperimentError::Scenario)
}

fn named(policy: &str) -> Result<Policy, ExperimentError> {
    Policy::named(policy).map_err(ExperimentError::Policy)
}

/// Both ends are played.
fn parse_seeds(text: &str) -> Result<Vec<u64>, ExperimentError> {
    let invalid = || ExperimentError::Seeds(text.to_owned());
    let (first, last) = text.split_once("..").ok_or_else(invalid)?;
    let first: u64 = first.parse().map_err(|_| invalid())?;
    let last: u64 = last.parse().map_err(|_| invalid())?;
    if first > last { Err(invalid()) } else { Ok((first..=last).collect()) }
}

/// A policy over several seeds.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ComparisonRow {
    /// Name of the policy.
    pub policy: String,
    /// Days played.
    pub days: usize,
    /// Mean worth.
    pub worth: f64,
    /// Standard deviation of the worth between days.
    pub spread: f64,
    /// Mean of the worst seconds.
    pub worst_seconds: f64,
    /// Mean share answered in time.
    pub in_time: f64,
    /// Mean share refused.
    pub refused: f64,
    /// Mean share failed.
    pub failed: f64,
    /// Mean moves of models a day.
    pub moves: f64,
}

fn rows(
    scenario: &Path,
    names: &[String],
    seeds: &str,
) -> Result<Vec<ComparisonRow>, ExperimentError> {
    let seeds = parse_seeds(seeds)?;
    let scenario = read(scenario)?;
    let policies: Result<Vec<Policy>, ExperimentError> =
        names.iter().map(|name| named(name)).collect();
    Ok(policies?.into_iter().map(|policy| row(&scenario, policy, &seeds)).collect())
}

fn row(scenario: &Scenario, policy: Policy, seeds: &[u64]) -> ComparisonRow {
    let days: Vec<DayReport> = seeds.iter().map(|seed| play(scenario, &policy, *seed)).collect();
    let mean = |of: fn(&DayReport) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
    let worth = mean(|day| day.worth);
    let squares: f64 = days.iter().map(|day| (day.worth - worth).powi(2)).sum();
    ComparisonRow {
        policy: policy.name,
        days: days.len(),
        worth,
        spread: (squares / days.len().saturating_sub(1).max(1) as f64).sqrt(),
        worst_seconds: mean(|day| day.worst_seconds),
        in_time: mean(|day| day.in_time),
        refused: mean(|day| day.refused),
        failed: mean(|day| day.failed),
        moves: mean(|day| day.moves as f64),
    }
}

fn print_json<Value: Serialize>(value: &Value) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn print_day(day: &DayReport) {
    println!("{} under {}, seed {}", day.scenario, day.policy, day.seed);
    println!(
        "worth {:.3}: day {:.3}, worst seconds {:.3}, worst kind {:.3}",
        day.worth, day.day, day.worst_seconds, day.worst_kind
    );
    println!(
        "{} requests: in time {:.3}, late {:.3}, refused {:.3}, failed {:.3}",
        day.requests, day.in_time, day.late, day.refused, day.failed
    );
    println!(
        "{} moves, {} loads from the store, {} runs moved, {} prompt tokens read",
        day.moves, day.store_loads, day.moved_runs, day.tokens_read
    );
}

fn print_rows(rows: &[ComparisonRow]) {
    println!(
        "{:40} {:>4} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6}",
        "policy", "days", "worth", "spread", "worst", "in time", "refused", "failed", "moves"
    );
    for row in rows {
        println!(
            "{:40} {:>4} {:>6.3} {:>6.3} {:>6.3} {:>7.3} {:>7.3} {:>6.3} {:>6.1}",
            row.policy,
            row.days,
            row.worth,
            row.spread,
            row.worst_seconds,
            row.in_time,
            row.refused,
            row.failed,
            row.moves
        );
    }
}

fn fail(error: &ExperimentError) -> ExitCode {
    eprintln!("the experiment cannot be made: {error}");
    ExitCode::FAILURE
}
