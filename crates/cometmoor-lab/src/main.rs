//! The lab's command.

use std::process::ExitCode;
use std::time::Duration;

use cometmoor_lab::emulator::command::{compare, experiment};
use cometmoor_lab::flags::{CometmoorLab, CometmoorLabCmd};
use cometmoor_lab::scale::ScaleRun;
use cometmoor_lab::soak::command::{SoakOptions, parse_seeds};

/// Engines and models of the size to design for.
const FLEET_ENGINES: usize = 690;
const FLEET_MODELS: usize = 720;
/// Warm-up of a scale run, in seconds.
const WARM_UP_SECONDS: u64 = 150;

fn main() -> ExitCode {
    match CometmoorLab::from_env_or_exit().subcommand {
        CometmoorLabCmd::Node(node) => cometmoor::cli::run_node::run(&node.settings, None).into(),
        CometmoorLabCmd::Gateway(node) => {
            cometmoor::cli::run_gateway::run(&node.settings, None).into()
        }
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
        CometmoorLabCmd::Scale(scale) => {
            let run = ScaleRun {
                nodes: scale.nodes,
                engines: scale.engines.unwrap_or(FLEET_ENGINES),
                models: scale.models.unwrap_or(FLEET_MODELS),
                warm_up: Duration::from_secs(scale.warm_up.unwrap_or(WARM_UP_SECONDS)),
            };
            cometmoor_lab::scale::main(run, scale.json)
        }
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
