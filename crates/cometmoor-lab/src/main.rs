//! The lab's command.

use std::process::ExitCode;

use cometmoor_lab::emulator::command::{compare, experiment};
use cometmoor_lab::flags::{CometmoorLab, CometmoorLabCmd};
use cometmoor_lab::soak::command::{SoakOptions, parse_seeds};
use cometmoor_lab::soak::processes::LINKS_VARIABLE;
use cometmoor_platform_stand_in::links::dialect_of_file;

fn main() -> ExitCode {
    match CometmoorLab::from_env_or_exit().subcommand {
        CometmoorLabCmd::Node(node) => cometmoor::cli::run_node::run(&node.settings, None).into(),
        CometmoorLabCmd::Gateway(node) => match std::env::var_os(LINKS_VARIABLE) {
            Some(file) => {
                let dialect = dialect_of_file(file.into());
                cometmoor::cli::run_gateway::run_with(&node.settings, None, dialect).into()
            }
            None => cometmoor::cli::run_gateway::run(&node.settings, None).into(),
        },
        CometmoorLabCmd::Soak(soak) => {
            let Some(seeds) = parse_seeds(soak.seeds.as_deref().unwrap_or("1")) else {
                eprintln!("seeds are one number, or two as in 1..50");
                return ExitCode::from(2);
            };
            cometmoor_lab::soak::command::main(&SoakOptions {
                seeds,
                seconds: soak.seconds,
                nodes: soak.processes,
                out: soak.out,
                program: soak.program,
                json: soak.json,
            })
        }
        CometmoorLabCmd::Quickstart(quickstart) => cometmoor_lab::quickstart::main(quickstart.keep),
        CometmoorLabCmd::Overhead(overhead) => cometmoor_lab::overhead::main(overhead.json),
        CometmoorLabCmd::Experiment(run) => {
            experiment(&run.scenario, run.policy.as_deref(), run.seed, run.json)
        }
        CometmoorLabCmd::Compare(run) => {
            compare(&run.scenario, run.policies.as_deref(), run.seeds.as_deref(), run.json)
        }
        CometmoorLabCmd::Faults(faults) => {
            cometmoor_lab::faults::command::main(faults.seed, faults.fault.as_deref(), faults.json)
        }
    }
}
