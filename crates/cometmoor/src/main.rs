//! The `cometmoor` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    cometmoor::cli::main()
}
