//! The command line's grammar.

#![allow(missing_docs)] // The items are made by the macro.

use std::path::PathBuf;

xflags::xflags! {
    /// Serves many language models on fewer accelerators.
    ///
    /// Examples:
    ///   cometmoor node --settings node.json
    ///   cometmoor --server 10.0.0.1:8081 --server 10.0.0.2:8081 --key-file key get models
    ///   cometmoor --server 10.0.0.1:8081 --key-file key apply -f fleet.json --dry-run
    ///
    /// Servers and key may also come from the environment variables
    /// COMETMOOR_SERVERS (separated by commas) and COMETMOOR_OPERATOR_KEY.
    ///
    /// Exit codes: 0 done, 1 failed, 2 wrong command line, 3 refused without
    /// effect, 4 no server reached, 5 outcome unknown.
    cmd cometmoor {
        /// Operators' address of a node; repeat it for failover.
        repeated --server server: String
        /// File with the operators' bearer key.
        optional --key-file key_file: PathBuf
        /// Output format: table or json.
        optional -o, --output output: String

        /// Runs a node until SIGTERM.
        cmd node {
            /// Settings file of the node.
            required --settings settings: PathBuf
            /// Least severe log lines: error, warn, info or debug.
            optional --log level: String
        }
        /// Runs a gateway node until SIGTERM.
        cmd gateway {
            /// Settings file of the node.
            required --settings settings: PathBuf
            /// Least severe log lines: error, warn, info or debug.
            optional --log level: String
        }
        /// Prints the story of one request from log lines of gateway nodes.
        cmd explain {
            /// Identifier of the request.
            required id: String
            /// Files with log lines; standard input where none is given.
            repeated files: PathBuf
        }
        /// Checks a settings file and prints every mistake.
        cmd check {
            /// Settings file.
            required file: PathBuf
        }
        /// Prints the JSON Schema of the settings file.
        cmd settings-schema {}
        /// Creates or replaces the resources in a file.
        cmd apply {
            /// File with one resource or a list of them; - for standard input.
            required -f, --file file: PathBuf
            /// Only checks whether the change would be accepted.
            optional --dry-run
        }
        /// Lists the resources of a kind, or shows one.
        cmd get {
            /// Kind, for example models.
            required kind: String
            /// Name of the resource.
            optional name: String
        }
        /// Shows a resource with its conditions.
        cmd describe {
            /// Kind, for example models.
            required kind: String
            /// Name of the resource.
            required name: String
        }
        /// Prints changes as they come into force.
        cmd watch {
            /// Starts after this version; 0 starts from nothing.
            optional --from from: u64
        }
        /// Deletes a resource.
        cmd delete {
            /// Kind, for example models.
            required kind: String
            /// Name of the resource.
            required name: String
            /// Only checks whether the change would be accepted.
            optional --dry-run
        }
        /// Tells what became of a change whose outcome was unknown.
        cmd change {
            /// Identifier of the change.
            required id: String
        }
        /// Starts the planned stop of the node at the first server.
        cmd drain {}
        /// Shows the state of the node at the first server that answers.
        cmd status {}
        /// Prints the version.
        cmd version {}
    }
}
