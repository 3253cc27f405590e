//! What became of the requests of a day, and what that is worth.

use serde::Serialize;

use super::arrivals::{Arrival, Micros, SECOND};
use super::scenario::Scenario;

/// Length of the spans of which the two worst count.
const SPAN: Micros = 2 * SECOND;
/// Part of a request's worth that a second refusal costs.
const REFUSED_AGAIN: f64 = 0.3;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered whole, the first event and all pauses within their times.
    InTime,
    /// The same, after a refusal of the first try.
    InTimeAfterRefusal,
    /// Answered whole, but late.
    Late,
    /// Told that it did not run.
    Refused,
    /// The same, twice.
    RefusedAgain,
    /// Broken off, or given up by its client.
    Failed,
}

/// A day's result.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct DayReport {
    /// Name of the policy.
    pub policy: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Seed.
    pub seed: u64,
    /// Worth earned against the worth of all requests, by the scenario's weights.
    pub worth: f64,
    /// The whole day's part of it.
    pub day: f64,
    /// The two worst spans of two seconds.
    pub worst_seconds: f64,
    /// The worst kind.
    pub worst_kind: f64,
    /// Requests.
    pub requests: usize,
    /// Share that was answered in time.
    pub in_time: f64,
    /// Share that was answered late.
    pub late: f64,
    /// Share that was refused in the end.
    pub refused: f64,
    /// Share that failed.
    pub failed: f64,
    /// Loads from the weight store.
    pub store_loads: usize,
    /// Most loads from the weight store that began within one window.
    pub most_store_loads_in_window: usize,
    /// Loads that would have taken a server's memory beyond its size; always 0.
    pub overcommitted: usize,
    /// Loads and unloads of models.
    pub moves: usize,
    /// Runs that were moved to another server.
    pub moved_runs: usize,
    /// Prompt tokens read.
    pub tokens_read: u64,
}

fn credit(scenario: &Scenario, arrival: &Arrival, outcome: Outcome) -> f64 {
    let kind = &scenario.kinds[arrival.kind];
    match outcome {
        Outcome::InTime => kind.worth,
        Outcome::InTimeAfterRefusal => (kind.worth + kind.late_worth) / 2.0,
        Outcome::Late => kind.late_worth,
        Outcome::Refused | Outcome::Failed => 0.0,
        Outcome::RefusedAgain => -REFUSED_AGAIN * kind.worth,
    }
}

/// Worth earned and owed.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    earned: f64,
    owed: f64,
}

impl Account {
    fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    fn share(&self) -> f64 {
        if self.owed > 0.0 { (self.earned / self.owed).max(0.0) } else { 1.0 }
    }
}

/// The result by what became of each request.
pub fn report(scenario: &Scenario, arrivals: &[Arrival], outcomes: &[Outcome]) -> DayReport {
    let spans = (scenario.length_seconds * SECOND as f64) as Micros / SPAN + 1;
    let mut by_span = vec![Account::default(); spans as usize];
    let mut by_kind = vec![Account::default(); scenario.kinds.len()];
    let mut day = Account::default();
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        let earned = credit(scenario, arrival, *outcome);
        let owed = scenario.kinds[arrival.kind].worth;
        let span = (arrival.at / SPAN).clamp(0, spans - 1) as usize;
        for account in [&mut day, &mut by_span[span], &mut by_kind[arrival.kind]] {
            account.add(earned, owed);
        }
    }
    let mut shares: Vec<f64> = by_span.iter().map(Account::share).collect();
    shares.sort_by(f64::total_cmp);
    let worst: Vec<f64> = shares.into_iter().take(2).collect();
    let worst_seconds = worst.iter().sum::<f64>() / worst.len().max(1) as f64;
    let worst_kind = by_kind.iter().map(Account::share).fold(1.0, f64::min);
    let weights = scenario.weights;
    let share = |matches: fn(&Outcome) -> bool| {
        outcomes.iter().filter(|outcome| matches(outcome)).count() as f64
            / outcomes.len().max(1) as f64
    };
    DayReport {
        scenario: scenario.name.clone(),
        worth: weights.day * day.share()
            + weights.worst_seconds * worst_seconds
            + weights.worst_kind * worst_kind,
        day: day.share(),
        worst_seconds,
        worst_kind,
        requests: arrivals.len(),
        in_time: share(|outcome| matches!(outcome, Outcome::InTime | Outcome::InTimeAfterRefusal)),
        late: share(|outcome| *outcome == Outcome::Late),
        refused: share(|outcome| matches!(outcome, Outcome::Refused | Outcome::RefusedAgain)),
        failed: share(|outcome| *outcome == Outcome::Failed),
        ..DayReport::default()
    }
}
