//! Two short soak runs of real processes: faults from outside them, in series and
//! overlapping, and no promise broken.

use std::path::PathBuf;
use std::time::Duration;

use cometmoor_lab::soak::{SoakRun, run};

#[test]
fn processes_keep_the_promises_under_drawn_faults() {
    for seed in [1, 2] {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let soak = SoakRun {
            seed,
            span: Duration::from_secs(12),
            nodes: 4,
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
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
