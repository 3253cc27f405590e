//! `cometmoor-lab faults`

use std::process::ExitCode;

use super::action::Fault;
use super::report::FaultReport;
use super::{FaultRun, run};
use crate::cluster::NodeKind;

/// Seed where none is given.
const DEFAULT_SEED: u64 = 1;

/// Makes one run with nodes as processes; fails if any invariant is violated.
pub fn main(seed: Option<u64>, fault: Option<&str>, json: bool) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("cannot find this program: {error}");
            return ExitCode::FAILURE;
        }
    };
    let seed = seed.unwrap_or(DEFAULT_SEED);
    let mut schedule = FaultRun::seeded(seed, NodeKind::Process(program));
    if let Some(name) = fault {
        let found = Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name);
        let Some(found) = found else {
            eprintln!("there is no fault {name}; there are {:?}", Fault::ALL);
            return ExitCode::from(2);
        };
        schedule.rounds = vec![vec![found]];
    }
    match actix_rt::System::new().block_on(run(&schedule)) {
        Ok(report) => {
            print(&report, json);
            if report.all_hold() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("the run could not be made: {error}");
            ExitCode::FAILURE
        }
    }
}

fn print(report: &FaultReport, json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(report).unwrap_or_default());
        return;
    }
    for (name, count) in report.violations() {
        println!("{name:32} {count}");
    }
    println!("{report:?}");
}
