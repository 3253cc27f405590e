//! The configuration in force only rises, in whatever order versions are
//! offered by the store and by peers, and is always the newest one offered.

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
    /// The process ends; another one starts, which knows nothing.
    Restart,
}

#[test]
fn versions_only_rise_within_one_life() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut in_force = ActiveConfiguration::default();
        let mut newest = 0;
        for step in steps {
            match step {
                Step::Offer { version } => {
                    let version = u64::from(*version);
                    let mut configuration = GatewayConfiguration::default();
                    configuration.version = version;
                    let taken = in_force.offer(Arc::new(configuration));
                    assert_eq!(taken, version > newest);
                    newest = newest.max(version);
                }
                Step::Restart => {
                    in_force = ActiveConfiguration::default();
                    newest = 0;
                }
            }
            assert_eq!(in_force.version(), newest);
        }
    });
}
