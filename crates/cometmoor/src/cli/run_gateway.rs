//! `cometmoor gateway` and `cometmoor explain`.

use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use cometmoor_gateway::dialect::Dialect;
use cometmoor_gateway::explain::explain;
use cometmoor_platform::PlatformDialect;

use super::exit::Exit;
use super::run_node::log_level_or_default;

/// Runs a gateway node in the foreground.
pub fn run(file: &Path, log_level: Option<&str>) -> Exit {
    run_with(file, log_level, Arc::new(PlatformDialect))
}

/// Runs a gateway node in the foreground that speaks a dialect of its own.
pub fn run_with(file: &Path, log_level: Option<&str>, dialect: Arc<dyn Dialect>) -> Exit {
    let level = match log_level_or_default(log_level) {
        Ok(level) => level,
        Err(exit) => return exit,
    };
    let node = cometmoor_gateway::node::run(file.to_owned(), dialect, level);
    match actix::System::new().block_on(node) {
        Ok(()) => Exit::Success,
        Err(error) => {
            eprintln!("{error}");
            Exit::Failure
        }
    }
}

/// Prints the story of one request from log lines of several nodes.
pub fn explain_request(id: &str, files: &[PathBuf]) -> Exit {
    let text = match read(files) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Failure;
        }
    };
    let story = explain(id, &text);
    if story.is_empty() {
        eprintln!("no line tells of the request {id}");
        return Exit::Failure;
    }
    for line in story {
        println!("{line}");
    }
    Exit::Success
}

fn read(files: &[PathBuf]) -> Result<String, String> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|error| format!("standard input: {error}"))?;
    }
    for file in files {
        let content = std::fs::read_to_string(file)
            .map_err(|error| format!("{}: {error}", file.display()))?;
        text.push_str(&content);
        text.push('\n');
    }
    Ok(text)
}
