//! The real program as separate processes under drawn faults from outside them.
//!
//! A seed draws the faults; the promises are checked from what clients and servers
//! saw. See `docs/design/soak.md`.

pub mod check;
pub mod clients;
pub mod command;
mod engines;
mod faults;
pub mod history;
pub mod processes;
mod prompt_checks;
mod prompts;
mod proofs;
pub mod proxy;
pub mod schedule;
mod signal_checks;
pub mod system;
mod tenant_checks;
pub mod tenants;

use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

use self::check::{Violation, answered, check};
use self::history::{Ended, History};
use self::system::SoakSystem;

/// A run to make.
#[derive(Clone, Debug)]
pub struct SoakRun {
    /// Decides the faults and the load.
    pub seed: u64,
    /// Time for which faults come.
    pub span: Duration,
    /// Node processes.
    pub nodes: usize,
    /// Program that has a `gateway` command.
    pub program: PathBuf,
    /// Where settings and logs lie.
    pub folder: PathBuf,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Faults, as drawn.
    pub faults: Vec<String>,
    /// Requests that clients sent.
    pub requests: usize,
    /// Those that were answered whole.
    pub answered: usize,
    /// Those that were told not run.
    pub not_run: usize,
    /// Those that nodes had to answer, as far as anything can be answered under faults.
    pub owed: usize,
    /// Those of them that were answered whole.
    pub owed_answered: usize,
    /// Runs with adapters at the model servers.
    pub adapter_runs: usize,
    /// Crashes of model servers under requests with a certain part in their prompts.
    pub prompt_crashes: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// Ends the nodes' processes with the run.
struct ProcessesEnd(SoakSystem);

impl Drop for ProcessesEnd {
    fn drop(&mut self) {
        self.0.end_processes();
    }
}

/// Makes a run; an error means that it could not be made at all.
pub async fn run(run: &SoakRun) -> Result<SoakReport, String> {
    let planned = schedule::draw(run.seed, run.span, run.nodes, system::SERVERS);
    let faults = planned.iter().map(ToString::to_string).collect();
    let system = SoakSystem::start(run).await?;
    // Clients and faults hold the system, too, where the run is broken off.
    let _ends_with_run = ProcessesEnd(system.clone());
    let clients = clients::start(&system, run.seed);
    system.play(&planned).await;
    system.settle().await;
    clients.stop().await;
    let history = system.history();
    Ok(report(run.seed, faults, &history))
}

fn report(seed: u64, faults: Vec<String>, history: &History) -> SoakReport {
    let count = |wanted: fn(&Ended) -> bool| {
        history.requests.iter().filter(|request| wanted(&request.ended)).count()
    };
    let (owed_answered, owed) = answered(history.owed());
    SoakReport {
        seed,
        faults,
        requests: history.requests.len(),
        answered: count(|ended| matches!(ended, Ended::Whole)),
        not_run: count(|ended| matches!(ended, Ended::NotRun(_))),
        owed,
        owed_answered,
        adapter_runs: history.runs.iter().filter(|run| run.server >= engines::FIRST_PLACE).count(),
        prompt_crashes: history.prompt_crashes.len(),
        violations: check(history),
    }
}
