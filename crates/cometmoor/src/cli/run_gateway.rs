//! `cometmoor gateway`.

use std::path::Path;
use std::sync::Arc;

use cometmoor_platform::PlatformDialect;

use super::exit::Exit;

/// Log level where none is given.
const DEFAULT_LEVEL: &str = "info";

/// Runs a gateway node in the foreground.
pub fn run(file: &Path, log_level: Option<&str>) -> Exit {
    let level: spdlog::Level = match log_level.unwrap_or(DEFAULT_LEVEL).parse() {
        Ok(level) => level,
        Err(error) => {
            eprintln!("--log: {error}");
            return Exit::Usage;
        }
    };
    cometmoor_gateway::log::start(level);
    let node = cometmoor_gateway::node::run(file.to_owned(), Arc::new(PlatformDialect));
    match actix::System::new().block_on(node) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("{error}");
            Exit::Failure
        }
    }
}
