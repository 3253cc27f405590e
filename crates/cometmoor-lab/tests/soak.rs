//! Two short soak runs of real processes: faults from outside them, in series and
//! overlapping, and no promise broken.

use std::path::PathBuf;
use std::time::Duration;

use cometmoor_lab::soak::{SoakReport, SoakRun, run};

/// Plays a seed; its logs stay in the folder that the message names if it falls short.
fn check_seed(seed: u64, seconds: u64, nodes: usize) -> SoakReport {
    let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let soak = SoakRun {
        seed,
        span: Duration::from_secs(seconds),
        nodes,
        program: PathBuf::from(env!("CARGO_BIN_EXE_cometmoor-lab")),
        folder: folder.clone(),
    };
    let report = actix_rt::System::new().block_on(run(&soak)).unwrap();
    assert!(
        report.violations.is_empty(),
        "logs in {}: {:#?}, after {:#?}",
        folder.display(),
        report.violations,
        report.faults
    );
    assert!(report.answered > 100, "{report:?}");
    assert!(report.prompt_crashes > 0, "{report:?}");
    std::fs::remove_dir_all(&folder).unwrap();
    report
}

#[test]
fn processes_keep_the_promises_under_drawn_faults() {
    // The faults of a seed may leave the fleet without a leader for most of its time.
    let reports = [1, 2].map(|seed| check_seed(seed, 12, 4));
    let adapter_runs: usize = reports.iter().map(|report| report.adapter_runs).sum();
    assert!(adapter_runs > 20, "{adapter_runs} runs with adapters");
}

#[test]
fn a_tenant_within_its_limit_is_not_refused_at_one_of_six_nodes_for_seconds() {
    check_seed(23, 15, 6);
}

/// Guards against callers of a node that has lost its links to the servers being served far less
/// often than others.
#[test]
fn callers_of_nodes_without_server_links_are_served_in_two_soak_seeds() {
    [124, 143].into_iter().for_each(|seed| drop(check_seed(seed, 12, 4)));
}
