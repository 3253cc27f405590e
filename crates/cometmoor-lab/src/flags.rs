//! The grammar of the lab's command line.

#![allow(missing_docs)] // The items are made by the macro.

use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins, load and experiments for cometmoor.
    cmd cometmoor-lab {
        /// Runs a node, for experiments that need it as a process.
        cmd node {
            /// Settings file of the node.
            required --settings settings: PathBuf
        }
        /// Runs a gateway node, for experiments that need it as a process.
        cmd gateway {
            /// Settings file of the node.
            required --settings settings: PathBuf
        }
        /// Plays drawn faults from outside against gateway processes.
        cmd soak {
            /// One seed, or the first and the last as in 1..50.
            optional --seeds seeds: String
            /// Seconds of faults.
            optional --seconds seconds: u64
            /// Node processes.
            optional --processes processes: usize
            /// Folder for schedule, verdict and logs of seeds that fall short.
            optional --out out: PathBuf
            /// Program with a gateway command, in place of this one.
            optional --program program: PathBuf
            /// Prints JSON.
            optional --json
        }
        /// Starts a whole system on loopback and sends it requests.
        cmd quickstart {
            /// Stays up and prints commands to try.
            optional --keep
        }
        /// Measures what a node adds to an engine's answer.
        cmd overhead {
            /// Prints JSON.
            optional --json
        }
        /// Plays an emulated day under one policy.
        cmd experiment {
            /// Scenario file.
            required --scenario scenario: PathBuf
            /// Seed of the arrivals.
            optional --seed seed: u64
            /// product, least-loaded, static, reactive, foresight, or
            /// product-without-MECHANISM.
            optional --policy policy: String
            /// Prints JSON.
            optional --json
        }
        /// Plays the same emulated days under several policies.
        cmd compare {
            /// Scenario file.
            required --scenario scenario: PathBuf
            /// First and last seed, as in 1..8.
            optional --seeds seeds: String
            /// Names of policies, separated by commas; all without it.
            optional --policies policies: String
            /// Prints JSON.
            optional --json
        }
        /// Sends a system through a schedule of faults and counts violations.
        cmd faults {
            /// Seed of the schedule.
            optional --seed seed: u64
            /// Only this fault, by its name.
            optional --fault fault: String
            /// Prints JSON.
            optional --json
        }
    }
}
