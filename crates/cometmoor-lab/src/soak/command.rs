//! `cometmoor-lab soak`

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use super::{SoakReport, SoakRun, run};

/// Seconds of faults where no other number is given.
const DEFAULT_SECONDS: u64 = 20;
/// Nodes where no other number is given.
const DEFAULT_NODES: usize = 5;
/// Most nodes: their hosts have a part of the fleet's loopback range.
const MOST_NODES: usize = 50;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// First and last seed.
    pub seeds: (u64, u64),
    /// Seconds of faults.
    pub seconds: Option<u64>,
    /// Node processes.
    pub nodes: Option<usize>,
    /// Where seeds that fall short leave schedule, verdict and logs.
    pub out: Option<PathBuf>,
    /// The program; this one where none is given.
    pub program: Option<PathBuf>,
    /// Whether reports are printed as JSON.
    pub json: bool,
}

/// First and last of `A..B`, or of one number.
pub fn parse_seeds(text: &str) -> Option<(u64, u64)> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let seeds = (first.parse().ok()?, last.parse().ok()?);
    (seeds.0 <= seeds.1).then_some(seeds)
}

/// Makes the runs one after the other; fails if any promise is broken.
pub fn main(options: &SoakOptions) -> ExitCode {
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES);
    if !(2..=MOST_NODES).contains(&nodes) {
        eprintln!("nodes must be from 2 to {MOST_NODES}");
        return ExitCode::from(2);
    }
    let program = match options.program.clone().map_or_else(std::env::current_exe, Ok) {
        Ok(program) => program,
        Err(error) => {
            eprintln!("cannot find this program: {error}");
            return ExitCode::FAILURE;
        }
    };
    let out = options.out.clone().unwrap_or_else(std::env::temp_dir);
    let seconds = options.seconds.unwrap_or(DEFAULT_SECONDS);
    let mut broken = 0;
    for seed in options.seeds.0..=options.seeds.1 {
        let folder = out.join(format!("soak-{seed}-{}", std::process::id()));
        let span = Duration::from_secs(seconds);
        let soak = SoakRun { seed, span, nodes, program: program.clone(), folder: folder.clone() };
        match play(&soak, options.json) {
            Ok(true) => {
                let _ = std::fs::remove_dir_all(&folder);
            }
            Ok(false) => broken += 1,
            Err(error) => {
                eprintln!("seed {seed} could not be played: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{broken} seeds fall short");
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Makes a run and prints its report; tells whether every promise was kept.
fn play(soak: &SoakRun, json: bool) -> Result<bool, String> {
    std::fs::create_dir_all(&soak.folder).map_err(|error| error.to_string())?;
    let report = actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
        // The processes end with what is dropped here.
        tokio::select! {
            report = run(soak) => report,
            _ = tokio::signal::ctrl_c() => Err("broken off".to_owned()),
            _ = terminate.recv() => Err("broken off".to_owned()),
        }
    })?;
    print(&report, json);
    if report.violations.is_empty() {
        return Ok(true);
    }
    keep(&report, &soak.folder).map_err(|error| error.to_string())?;
    Ok(false)
}

fn print(report: &SoakReport, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
        return;
    }
    println!(
        "seed {}: {} faults, {} requests, {} answered, {} told not run, {} of {} owed answered, {} violations",
        report.seed,
        report.faults.len(),
        report.requests,
        report.answered,
        report.not_run,
        report.owed_answered,
        report.owed,
        report.violations.len(),
    );
    for violation in &report.violations {
        println!("  {}: {}", violation.promise, violation.what);
    }
}

/// Leaves schedule and verdict beside the logs.
fn keep(report: &SoakReport, folder: &Path) -> std::io::Result<()> {
    println!("  kept in {}", folder.display());
    std::fs::write(folder.join("report.json"), serde_json::to_vec_pretty(report)?)
}
