//! Property test of the active configuration: its version only increases, in whatever order the
//! store and peers offer versions, and it is always the newest version offered.

mod schedules;

use std::sync::Arc;

use bolero::TypeGenerator;
use cometmoor_core::gateway::configuration::{ActiveConfiguration, GatewayConfiguration};

use schedules::for_each_schedule;

const CASES: u64 = 20_000;

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// The store or a peer offers a version.
    Offer { version: u8 },
    /// The process is replaced by a new one without state.
    Restart,
}

#[test]
fn version_only_increases_within_one_process() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut active = ActiveConfiguration::default();
        let mut newest = 0;
        for step in steps {
            match step {
                Step::Offer { version } => {
                    let version = u64::from(*version);
                    let mut configuration = GatewayConfiguration::default();
                    configuration.version = version;
                    let activated = active.offer(Arc::new(configuration));
                    assert_eq!(activated, version > newest);
                    newest = newest.max(version);
                }
                Step::Restart => {
                    active = ActiveConfiguration::default();
                    newest = 0;
                }
            }
            assert_eq!(active.version(), newest);
        }
    });
}
