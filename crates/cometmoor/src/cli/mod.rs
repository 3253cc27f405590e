//! The command line.

pub mod client;
pub mod exit;
pub mod flags;
mod operate;
pub mod run_gateway;
pub mod run_node;
mod table;

use std::process::ExitCode;

use self::exit::Exit;
use self::flags::{Cometmoor, CometmoorCmd};
use crate::settings::Settings;

/// Runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let flags = match Cometmoor::from_env() {
        Ok(flags) => flags,
        Err(error) => return usage(&error),
    };
    run(flags).into()
}

fn run(flags: Cometmoor) -> Exit {
    match &flags.subcommand {
        CometmoorCmd::Node(node) => run_node::run(&node.settings, node.log.as_deref()),
        CometmoorCmd::Gateway(gateway) => {
            run_gateway::run(&gateway.settings, gateway.log.as_deref())
        }
        CometmoorCmd::Explain(explain) => run_gateway::explain_request(&explain.id, &explain.files),
        CometmoorCmd::Check(check) => run_node::check(&check.file),
        CometmoorCmd::SettingsSchema(_) => {
            println!("{:#}", Settings::schema());
            Exit::Success
        }
        CometmoorCmd::Version(_) => {
            println!("cometmoor {}", env!("CARGO_PKG_VERSION"));
            Exit::Success
        }
        _ => operate::run(&flags),
    }
}

fn usage(error: &xflags::Error) -> ExitCode {
    if error.is_help() {
        println!("{error}");
        return Exit::Success.into();
    }
    eprintln!("{error}");
    Exit::Usage.into()
}
