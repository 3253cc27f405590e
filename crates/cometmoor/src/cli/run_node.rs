//! `cometmoor node` and `cometmoor check`.

use std::path::Path;

use spdlog::warn;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::exit::Exit;
use crate::node::{StopSignal, Stopped, run as run_node};
use crate::settings::Settings;
use crate::telemetry::log::Part;

/// Checks a settings file.
pub fn check(file: &Path) -> Exit {
    match Settings::read(file) {
        Ok(_) => {
            println!("{}: no mistakes", file.display());
            Exit::Success
        }
        Err(error) => {
            eprintln!("{error}");
            Exit::Failure
        }
    }
}

/// Log level where none is given.
const DEFAULT_LEVEL: &str = "info";

/// The log level of the command line; a wrong one is told and ends the command.
pub(super) fn log_level_or_default(text: Option<&str>) -> Result<spdlog::Level, Exit> {
    text.unwrap_or(DEFAULT_LEVEL).parse().map_err(|error| {
        eprintln!("--log: {error}");
        Exit::Usage
    })
}

/// Runs a node in the foreground.
pub fn run(file: &Path, log_level: Option<&str>) -> Exit {
    let level = match log_level_or_default(log_level) {
        Ok(level) => level,
        Err(exit) => return exit,
    };
    let settings = match Settings::read(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Failure;
        }
    };
    crate::telemetry::log::start(level);
    actix::System::new().block_on(async {
        let stop = StopSignal::default();
        if let Err(error) = handle_signals(stop.clone()) {
            eprintln!("cannot handle signals: {error}");
            return Exit::Failure;
        }
        match run_node(settings, stop).await {
            Ok(Stopped::Drained) => Exit::Success,
            Ok(Stopped::Cut(_)) => Exit::Failure,
            Err(error) => {
                eprintln!("{error}");
                Exit::Failure
            }
        }
    })
}

/// The first signal drains the node, the second one stops it at once.
fn handle_signals(stop: StopSignal) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    actix::spawn(async move {
        next_signal(&mut terminate, &mut interrupt).await;
        warn!("{} draining; a second signal stops at once", Part::Node);
        stop.drain.notify_one();
        next_signal(&mut terminate, &mut interrupt).await;
        stop.abort.notify_one();
    });
    Ok(())
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
