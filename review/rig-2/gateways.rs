//! Gateway nodes and servers as processes.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::record::Record;

/// Ports that a node uses.
const NODE_PORTS: u16 = 8;

/// A process that ends with the scene.
pub struct Process {
    child: Arc<Mutex<Child>>,
}

impl Process {
    fn start(mut command: Command) -> std::io::Result<Process> {
        let child = command.stdin(Stdio::null()).spawn()?;
        Ok(Process { child: Arc::new(Mutex::new(child)) })
    }

    /// Kills it (`SIGKILL`).
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.lock().unwrap().id();
        let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {id} 2>/dev/null")).status();
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.child.lock().unwrap().try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// The hosts and ports of a scene.
#[derive(Clone, Copy)]
pub struct Place {
    network: u8,
    port: u16,
}

impl Place {
    /// A place whose ports are free.
    pub fn find() -> Option<Place> {
        let id = std::process::id();
        (0..50_u32).find_map(|number| {
            let network = (20 + (id + number) % 200) as u8;
            let place = Place { network, port: 20_000 + ((id + number * 97) % 12_000) as u16 };
            let hosts = (1..=20_u8).map(|host| place.host(host));
            let mut sockets =
                hosts.flat_map(|host| (0..NODE_PORTS).map(move |port| (host, place.port + port)));
            let is_free = sockets.all(|socket| {
                TcpListener::bind(socket).is_ok() && UdpSocket::bind(socket).is_ok()
            });
            is_free.then_some(place)
        })
    }

    fn host(&self, number: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.network, 7, number))
    }

    /// An address.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(host), self.port + port)
    }

    /// Where a node takes clients' requests.
    pub fn clients(&self, node: u8) -> SocketAddr {
        self.address(node, 0)
    }

    /// Where the platform asks whether a node is ready.
    pub fn ready(&self, node: u8) -> SocketAddr {
        self.address(node, 1)
    }

    /// The store's address.
    pub fn store(&self) -> SocketAddr {
        self.address(19, 0)
    }

    /// Settings of a node, as the template of the deploy file gives them at the site.
    pub fn settings(&self, node: u8, nodes: u8) -> String {
        let at = |port| self.address(node, port);
        let seeds: Vec<String> =
            (1..=nodes.min(3)).map(|seed| format!("\"{}\"", self.address(seed, 3))).collect();
        format!(
            r#"{{"node":"edge-{node}","zone":"lat-krabang","clientAddress":"{}","readyAddress":"{}",
"directoryAddress":"{}","peerAddress":"{}","quotaAddress":"{}","tunnelAddress":"{}",
"streamAddress":"{}","metricsAddress":"{}","seeds":[{}],"storeAddress":"{}","freshFleet":true,
"machine":{{"cpuShare":0.25,"linkMegabits":1000.0,"memoryMegabytes":260,"maxDescriptors":4100}},
"bounds":{{"graceSeconds":8,"retryRatio":0.2,"retryExtra":52,"retryWindowSeconds":10,
"leaseMillis":3000,"loadWindowSeconds":5,"serverHeartbeatMillis":1200,"drainMillis":2000,
"applyMillis":2000}}}}"#,
            at(0), at(1), at(2), at(3), at(4), at(5), at(5), at(6), seeds.join(","), self.store()
        )
    }
}

/// Starts gateway nodes; their output is in files of the folder.
pub fn start_nodes(
    gateway: &str,
    place: Place,
    nodes: u8,
    folder: &Path,
) -> std::io::Result<Vec<Process>> {
    let start = |node: u8| {
        let file: PathBuf = folder.join(format!("node-{node}.json"));
        std::fs::write(&file, place.settings(node, nodes))?;
        let log = std::fs::File::create(folder.join(format!("node-{node}.log")))?;
        let mut command = Command::new(gateway);
        command.arg("gateway").arg("--settings").arg(&file);
        command.stdout(log.try_clone()?).stderr(log);
        Process::start(command)
    };
    (1..=nodes).map(start).collect()
}

/// Starts a server process. Its output is noted, and handed on.
pub fn start_server(
    address: SocketAddr,
    id: &str,
    gap: u64,
    record: &Record,
    mut told: impl FnMut(&str) + Send + 'static,
) -> std::io::Result<Process> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["serve", &address.to_string(), id, &gap.to_string()]);
    command.stdout(Stdio::piped());
    let process = Process::start(command)?;
    let output = process.child.lock().unwrap().stdout.take();
    let (record, id) = (record.clone(), id.to_owned());
    if let Some(output) = output {
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.note(&format!("server {id}: {line}"));
                told(&line);
            }
        });
    }
    Ok(process)
}
