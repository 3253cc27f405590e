//! A whole system on loopback: stand-ins and real nodes.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cometmoor::cli::client::ApiClient;
use cometmoor::node::StopSignal;
use cometmoor::settings::{
    LimitSettings, MachineListSettings, Settings, StoreSettings, TimingSettings, TraceSettings,
    WeightStoreSettings,
};
use cometmoor_protocol::resource::Resource;

use crate::sample::key_hash;
use crate::stand_in::machines::MachinesStandIn;
use crate::stand_in::store::StoreStandIn;

/// The operators' key of every lab system.
pub const OPERATOR_KEY: &str = "operator-key-of-the-lab";
/// Name of every lab system.
pub const SYSTEM: &str = "lab";
/// Zones of the nodes.
pub const ZONES: [&str; 3] = ["z1", "z2", "z3"];

const CLIENT_PORT: u16 = 8080;
const OPERATOR_PORT: u16 = 8081;
const PEER_PORT: u16 = 8082;
/// Environment variable that keeps the logs of nodes.
const KEEP_LOGS: &str = "COMETMOOR_LAB_KEEP_LOGS";
/// Between two looks at something that is awaited.
const POLL: Duration = Duration::from_millis(20);

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// How nodes are run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// On a thread of this process.
    Thread,
    /// As a process of this program, by its `node` command.
    Process(PathBuf),
}

/// One node.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    kind: NodeKind,
    running: Option<RunningNode>,
}

enum RunningNode {
    Thread { stop: StopSignal, thread: std::thread::JoinHandle<()> },
    Process(Child),
}

impl Node {
    /// Starts the node, or a new process in its place.
    pub fn start(&mut self) -> std::io::Result<()> {
        let settings = self.settings.clone();
        self.running = Some(match &self.kind {
            NodeKind::Thread => {
                let stop = StopSignal::default();
                let signal = stop.clone();
                let thread = std::thread::spawn(move || {
                    let run = cometmoor::node::run(settings, signal);
                    if let Err(error) = actix_rt::System::new().block_on(run) {
                        eprintln!("{error}");
                    }
                });
                RunningNode::Thread { stop, thread }
            }
            NodeKind::Process(program) => {
                let file = lab_file(&settings, "json");
                std::fs::write(&file, serde_json::to_vec(&settings)?)?;
                let log = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(lab_file(&settings, "log"))?;
                let child = Command::new(program)
                    .arg("node")
                    .arg("--settings")
                    .arg(&file)
                    .stdin(Stdio::null())
                    .stdout(Stdio::null())
                    .stderr(log)
                    .spawn()?;
                RunningNode::Process(child)
            }
        });
        Ok(())
    }

    /// Whether it was started and has not been seen to end.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Process identifier; none for a thread or a stopped node.
    pub fn process_id(&self) -> Option<u32> {
        match &self.running {
            Some(RunningNode::Process(child)) => Some(child.id()),
            _ => None,
        }
    }

    /// Starts the planned stop.
    pub fn drain(&self) {
        match &self.running {
            Some(RunningNode::Thread { stop, .. }) => stop.drain.notify_one(),
            Some(RunningNode::Process(child)) => signal(child, nix::sys::signal::Signal::SIGTERM),
            None => {}
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        match self.running.take() {
            Some(RunningNode::Thread { stop, thread }) => {
                stop.abort.notify_one();
                let _ = thread.join();
            }
            Some(RunningNode::Process(mut child)) => {
                let _ = child.kill();
                let _ = child.wait();
            }
            None => {}
        }
    }

    /// Stops a process's clock and work until [`Node::resume`].
    pub fn pause(&self) {
        if let Some(RunningNode::Process(child)) = &self.running {
            signal(child, nix::sys::signal::Signal::SIGSTOP);
        }
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        if let Some(RunningNode::Process(child)) = &self.running {
            signal(child, nix::sys::signal::Signal::SIGCONT);
        }
    }

    /// Waits until it has stopped by itself; true if it cut nothing off.
    pub fn wait_stopped(&mut self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let ended = match &mut self.running {
                None => return true,
                Some(RunningNode::Thread { thread, .. }) => thread.is_finished().then_some(true),
                Some(RunningNode::Process(child)) => {
                    child.try_wait().ok().flatten().map(|status| status.success())
                }
            };
            if let Some(clean) = ended {
                self.running = None;
                return clean;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.resume();
        self.kill();
        let keep_logs = std::env::var_os(KEEP_LOGS).is_some() || std::thread::panicking();
        for extension in ["json", "log"] {
            if extension == "json" || !keep_logs {
                // A node on a thread has no files.
                let _ = std::fs::remove_file(lab_file(&self.settings, extension));
            }
        }
    }
}

/// A file of a node that runs as a process.
fn lab_file(settings: &Settings, extension: &str) -> PathBuf {
    let name = format!("cometmoor-lab-{}.{extension}", settings.client_address.ip());
    std::env::temp_dir().join(name)
}

fn signal(child: &Child, signal: nix::sys::signal::Signal) {
    if let Ok(id) = i32::try_from(child.id()) {
        // A process that has ended needs no signal.
        let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(id), signal);
    }
}

/// Short periods, so that tests do not take long.
pub fn quick_timing() -> TimingSettings {
    TimingSettings {
        probe_interval_millis: 100,
        probe_timeout_millis: 300,
        suspicion_millis: 600,
        engine_poll_millis: 100,
        planner_interval_millis: 100,
        lease_millis: 2_000,
        freshness_millis: 2_000,
        directory_lifetime_millis: 1_000,
        key_lifetime_millis: 60_000,
        queue_wait_millis: 5_000,
        connect_timeout_millis: 500,
        first_token_timeout_millis: 3_000,
        token_timeout_millis: 2_000,
        caller_timeout_millis: 10_000,
    }
}

/// The platform and the nodes of a system.
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The key-value service.
    pub store: StoreStandIn,
    /// The list of machines.
    pub machines: MachinesStandIn,
    /// Generation of the newest declaration that was applied.
    applied: AtomicU64,
}

impl Cluster {
    /// Starts the platform and `count` nodes in three zones.
    pub fn start(
        count: u8,
        kind: &NodeKind,
        adjust: impl Fn(&mut Settings),
    ) -> std::io::Result<Cluster> {
        let store = StoreStandIn::start()?;
        let machines = MachinesStandIn::start(Duration::from_secs(2))?;
        let network = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
        let mut nodes = Vec::new();
        for index in 0..count {
            let mut settings = node_settings(index, network, &store, &machines);
            adjust(&mut settings);
            let mut node = Node { settings, kind: kind.clone(), running: None };
            node.start()?;
            nodes.push(node);
        }
        Ok(Cluster { nodes, store, machines, applied: AtomicU64::new(1) })
    }

    /// Callers' addresses of all nodes.
    pub fn client_addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.settings.client_address.to_string()).collect()
    }

    /// Operators' addresses of all nodes.
    pub fn operator_addresses(&self) -> Vec<String> {
        self.nodes.iter().map(|node| node.settings.operator_address.to_string()).collect()
    }

    /// An operators' client of all nodes.
    pub fn operator(&self) -> ApiClient {
        ApiClient::new(self.operator_addresses(), OPERATOR_KEY)
    }

    /// An operators' client of one node.
    pub fn operator_of(&self, node: usize) -> ApiClient {
        let address = self.nodes[node].settings.operator_address.to_string();
        ApiClient::new(vec![address], OPERATOR_KEY)
    }

    /// Applies declarations in order, once a node answers.
    pub async fn apply(&self, resources: &[Resource]) -> Result<(), String> {
        let operator = self.operator();
        wait_for("an operators' address", Duration::from_secs(20), async || {
            operator.status().await.is_ok()
        })
        .await?;
        for resource in resources {
            let view = operator
                .apply(resource, false)
                .await
                .map_err(|error| format!("{}: {error}", resource.key()))?;
            self.applied.fetch_max(view.resource.metadata().resource_version, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until every running node has in force what was applied, and
    /// reports that all models and adapters are reachable and none is missing
    /// replicas.
    pub async fn wait_reachable(&self, timeout: Duration) -> Result<(), String> {
        for index in 0..self.nodes.len() {
            if self.nodes[index].running.is_none() {
                continue;
            }
            let operator = self.operator_of(index);
            let what = format!("reachable models at {}", self.nodes[index].settings.node);
            let applied = self.applied.load(Ordering::Relaxed);
            wait_for(&what, timeout, async || all_reachable(&operator, applied).await).await?;
        }
        Ok(())
    }
}

async fn all_reachable(operator: &ApiClient, generation: u64) -> bool {
    use cometmoor_protocol::resource::Kind;
    for kind in [Kind::Model, Kind::ModelVersion, Kind::Adapter] {
        let Ok(list) = operator.list(kind).await else {
            return false;
        };
        let conditions = list.items.iter().flat_map(|view| &view.status.conditions);
        if list.resource_version < generation
            || !conditions.into_iter().all(|condition| condition.status)
        {
            return false;
        }
    }
    true
}

/// Waits until something holds.
pub async fn wait_for(
    what: &str,
    timeout: Duration,
    holds: impl AsyncFn() -> bool,
) -> Result<(), String> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if holds().await {
            return Ok(());
        }
        actix_rt::time::sleep(POLL).await;
    }
    Err(format!("waited {timeout:?} for {what}"))
}

fn node_settings(
    index: u8,
    network: u8,
    store: &StoreStandIn,
    machines: &MachinesStandIn,
) -> Settings {
    // A network of its own within loopback, so that systems that run at the
    // same time do not meet.
    let process = std::process::id();
    let address = |node: u8, port: u16| -> SocketAddr {
        let second = 16 + (process % 200) as u8;
        let third = network.wrapping_add((process / 200 % 32) as u8 * 8);
        (Ipv4Addr::new(127, second, third, node + 1), port).into()
    };
    Settings {
        system: SYSTEM.to_owned(),
        node: format!("node-{}", index + 1),
        zone: ZONES[usize::from(index) % ZONES.len()].to_owned(),
        region: "r1".to_owned(),
        client_address: address(index, CLIENT_PORT),
        operator_address: address(index, OPERATOR_PORT),
        peer_address: address(index, PEER_PORT),
        seeds: (0..3).map(|seed| address(seed, PEER_PORT)).collect(),
        peer_secret: "a secret of the lab's nodes".to_owned(),
        operator_key_hash: key_hash(OPERATOR_KEY),
        store: StoreSettings {
            addresses: vec![store.address()],
            calls_per_second: 50.0,
            timeout_millis: 500,
        },
        machine_list: Some(MachineListSettings { address: machines.address() }),
        weight_store: WeightStoreSettings { loads_per_second: 50.0, concurrent_loads: 15 },
        limits: LimitSettings::default(),
        timing: quick_timing(),
        traffic_threads: 1,
        traces: TraceSettings::default(),
    }
}
