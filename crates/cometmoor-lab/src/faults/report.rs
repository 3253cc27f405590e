//! What a run counts.

use std::collections::HashMap;

use serde::Serialize;

use super::FaultRun;
use super::callers::{Callers, MarkedRequest};
use super::operators::Operators;
use super::system::FaultSystem;
use crate::summary::Percentiles;

/// Examples of each violation that are printed.
const EXAMPLES: usize = 5;

/// Counts of a run. The first block must be zero throughout.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FaultReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that were not answered whole in time, and requests with a key
    /// of which nothing was ever told.
    pub lost: u64,
    /// Requests with a key that ran more than once.
    pub doubled: u64,
    /// Streams broken by a planned stop.
    pub cut: u64,
    /// Answers presented as whole that were not.
    pub wrong: u64,
    /// Requests said to be not run that were run.
    pub false_not_run: u64,
    /// Moments at which an engine held more than its memory.
    pub overcommits: u64,
    /// Models and adapters that some node could not reach at the end.
    pub unreachable_models_at_end: u64,
    /// Generations that went down at a node.
    pub reverted_generations: u64,
    /// Nodes that disagreed on the generation at the end.
    pub disagreeing_generations_at_end: u64,
    /// Requests to engines that had been leaving for longer than the grace.
    pub work_to_leaving_after_grace: u64,

    /// Requests that may be repeated.
    pub requests: u64,
    /// Their attempts beyond the first.
    pub repeated_attempts: u64,
    /// Requests with a key.
    pub marked: u64,
    /// Those answered whole.
    pub marked_answered: u64,
    /// Those told to be not run.
    pub marked_not_run: u64,
    /// Those whose outcome stayed unknown to the caller.
    pub marked_unknown: u64,
    /// Configuration changes accepted.
    pub changes_accepted: u64,
    /// Configuration changes refused.
    pub changes_refused: u64,
    /// Configuration changes with unknown outcome.
    pub changes_unknown: u64,
    /// Loads that took effect.
    pub loads: u64,
    /// Times to the first token.
    pub first_token: Percentiles,
}

impl FaultReport {
    /// Whether every invariant held.
    pub fn all_hold(&self) -> bool {
        self.violations().iter().all(|(_, count)| *count == 0)
    }

    /// The counts that must be zero, by name.
    pub fn violations(&self) -> [(&'static str, u64); 10] {
        [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("cut", self.cut),
            ("wrong", self.wrong),
            ("false_not_run", self.false_not_run),
            ("overcommits", self.overcommits),
            ("unreachable_models_at_end", self.unreachable_models_at_end),
            ("reverted_generations", self.reverted_generations),
            ("disagreeing_generations_at_end", self.disagreeing_generations_at_end),
            ("work_to_leaving_after_grace", self.work_to_leaving_after_grace),
        ]
    }
}

/// Collects the counts of a run that has come to its end.
pub async fn collect(
    run: &FaultRun,
    system: &FaultSystem,
    callers: &Callers,
    operators: &Operators,
) -> FaultReport {
    let tally = callers.tally.take();
    let changes = operators.tally.take();
    let records = system.engine_records();
    let service_runs = system.service.runs();
    let runs = |request: &MarkedRequest| runs_of(system, &service_runs, request);
    let doubled: Vec<&MarkedRequest> = tally.marked.iter().filter(|r| runs(r) > 1).collect();
    let false_marked: Vec<&MarkedRequest> =
        tally.marked.iter().filter(|r| r.told_not_run && runs(r) > 0).collect();
    let false_attempts: Vec<&String> = tally
        .not_run
        .iter()
        .map(|attempt| &attempt.prompt)
        .filter(|prompt| system.runs_of_prompt(prompt) > 0)
        .collect();
    let untold: Vec<&MarkedRequest> = tally.marked.iter().filter(|r| !r.told).collect();
    show("lost", &tally.lost);
    show("lost (marked)", &untold);
    show("doubled", &doubled);
    show("cut", &tally.cut);
    show("wrong", &tally.wrong);
    show("false not run", &false_marked);
    show("false not run", &false_attempts);
    let first_token = Percentiles::of(tally.first_tokens.iter().copied());
    FaultReport {
        seed: run.seed,
        lost: (tally.lost.len() + untold.len()) as u64,
        doubled: doubled.len() as u64,
        cut: tally.cut.len() as u64,
        wrong: tally.wrong.len() as u64,
        false_not_run: (false_marked.len() + false_attempts.len()) as u64,
        overcommits: records.iter().map(|record| record.overcommits).sum(),
        unreachable_models_at_end: system.unreachable_models().await,
        disagreeing_generations_at_end: u64::from(!system.generations_agree().await),
        reverted_generations: system.reverted.get(),
        work_to_leaving_after_grace: records.iter().map(|r| r.requests_while_leaving).sum(),
        requests: tally.requests,
        repeated_attempts: tally.repeated_attempts,
        marked: tally.marked.len() as u64,
        marked_answered: count(&tally.marked, |request| request.answered),
        marked_not_run: count(&tally.marked, |request| request.told_not_run),
        marked_unknown: count(&tally.marked, |r| !r.answered && !r.told_not_run),
        changes_accepted: changes.accepted,
        changes_refused: changes.refused,
        changes_unknown: changes.unknown,
        loads: records.iter().map(|record| record.loads).sum(),
        first_token,
    }
}

fn count(marked: &[MarkedRequest], holds: impl Fn(&MarkedRequest) -> bool) -> u64 {
    marked.iter().filter(|request| holds(request)).count() as u64
}

fn runs_of(
    system: &FaultSystem,
    service_runs: &HashMap<String, u32>,
    request: &MarkedRequest,
) -> u32 {
    if request.is_service {
        service_runs.get(&request.counted_by).copied().unwrap_or(0)
    } else {
        system.runs_of_prompt(&request.counted_by)
    }
}

fn show<Example: std::fmt::Debug>(what: &str, examples: &[Example]) {
    for example in examples.iter().take(EXAMPLES) {
        eprintln!("{what}: {example:?}");
    }
}
