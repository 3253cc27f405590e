//! Bounds that follow from the machine of a node.

/// Memory that is charged for an open connection, in bytes: its receive buffer in the kernel, the
/// buffers for a head and for a part of a response, and the state of its task.
pub const CONNECTION_BYTES: usize = 64 << 10;

/// Memory in bytes of a machine that names none.
const DEFAULT_MEMORY: u64 = 256_000_000;
/// Descriptors of a machine that names none.
const DEFAULT_DESCRIPTORS: usize = 4096;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory in bytes for the process itself, its copies of the fleet's state and the connections to
/// its other listeners, where the machine is large enough.
const CONTROL_MEMORY: u64 = 45_000_000;
/// The same on a small machine, as a fraction of its memory.
const MAX_CONTROL_FRACTION: f64 = 0.4;
/// Fraction of the remaining memory that is given out. The allocator needs the rest.
const USABLE_FRACTION: f64 = 0.75;

/// Fraction of the memory for clients that their connections may take.
const CONNECTIONS_FRACTION: f64 = 0.5;
/// Fractions of the descriptors for sockets that the listeners may take. What is left is enough for
/// a connection to a server for each client, and for the connections to peers and to the store.
const CLIENT_DESCRIPTORS: f64 = 0.35;
const DIRECTORY_DESCRIPTORS: f64 = 0.05;
const PEER_DESCRIPTORS: f64 = 0.1;
const PROBE_DESCRIPTORS: f64 = 0.02;
/// Each tunnel takes two descriptors.
const TUNNEL_DESCRIPTORS: f64 = 0.1;
/// Maximum number of tunnels, whatever the machine.
const MAX_TUNNELS: usize = 512;
/// Minimum number of connections of a listener.
const MIN_CONNECTIONS: usize = 4;

/// What the machine of a node allows its process; `None` if it is not known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Memory in bytes.
    pub memory: Option<u64>,
    /// Number of descriptors.
    pub descriptors: Option<usize>,
}

/// Maximum number of connections of each listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerBounds {
    /// For clients' requests.
    pub clients: usize,
    /// For the directory.
    pub directory: usize,
    /// For messages of other nodes.
    pub peers: usize,
    /// For readiness probes, and the same for metrics.
    pub probes: usize,
    /// For tunnels of other nodes.
    pub tunnels: usize,
}

/// Bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeBounds {
    /// Memory for clients, in bytes: their connections and the bodies of their requests.
    pub client_memory: usize,
    /// Maximum number of connections.
    pub listeners: ListenerBounds,
}

impl NodeBounds {
    /// The bounds on a machine. `max_client_memory` (in bytes) and `max_connections` (of clients)
    /// are upper limits that the operator sets.
    pub fn new(
        machine: Machine,
        max_client_memory: Option<usize>,
        max_connections: usize,
    ) -> NodeBounds {
        let client_memory = client_memory(machine.memory.unwrap_or(DEFAULT_MEMORY));
        let client_memory = client_memory.min(max_client_memory.unwrap_or(usize::MAX));
        let descriptors = machine.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_memory = fraction(client_memory, CONNECTIONS_FRACTION) / CONNECTION_BYTES;
        let clients = fraction(sockets, CLIENT_DESCRIPTORS).min(by_memory).min(max_connections);
        let at_least_some = |count: usize| count.max(MIN_CONNECTIONS);
        let listeners = ListenerBounds {
            clients: at_least_some(clients),
            directory: at_least_some(fraction(sockets, DIRECTORY_DESCRIPTORS)),
            peers: at_least_some(fraction(sockets, PEER_DESCRIPTORS)),
            probes: at_least_some(fraction(sockets, PROBE_DESCRIPTORS)),
            tunnels: (fraction(sockets, TUNNEL_DESCRIPTORS) / 2).min(MAX_TUNNELS),
        };
        NodeBounds { client_memory, listeners }
    }
}

fn client_memory(memory: u64) -> usize {
    let control = CONTROL_MEMORY.min((memory as f64 * MAX_CONTROL_FRACTION) as u64);
    ((memory - control) as f64 * USABLE_FRACTION) as usize
}

fn fraction(whole: usize, fraction: f64) -> usize {
    (whole as f64 * fraction) as usize
}
