//! The scenes of the cases.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::gateways::{Place, Process, start_nodes, start_server};
use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

/// Events of each long answer.
const EVENTS: u32 = 24;
/// Time between two events, in milliseconds.
const GAP: u64 = 200;
/// Gateway nodes, as many as the site has machines.
const NODES: u8 = 6;
/// Servers: one of them is less than the share that the site lets crash, and that it empties.
const SERVERS: u8 = 8;
/// Long answers.
const STREAMS: u8 = 12;
/// Time between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Plays a scene and returns the exit code.
pub fn play(scene: &str, gateway: &str, record: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(record) else { return 2 };
    record.note(&format!("scene {scene}, TROUBLE={}", u8::from(has_trouble)));
    let result = match scene {
        "leaving" => leaving(gateway, &record, has_trouble),
        "frozen" => frozen(gateway, &record, has_trouble),
        _ => Err("no such scene".to_owned()),
    };
    match result {
        Ok(true) => {
            record.note("the rule held");
            0
        }
        Ok(false) => {
            record.note("the rule was broken");
            1
        }
        Err(reason) => {
            record.note(&format!("the scene could not be played: {reason}"));
            2
        }
    }
}

/// What a client has seen of its answer.
#[derive(Debug)]
struct Outcome {
    attempt: String,
    status: String,
    seal: String,
    events: u32,
    looks_complete: bool,
}

/// Entries of servers, which they write again with each heartbeat.
#[derive(Clone)]
struct Entries {
    store: Store,
    held: Arc<Mutex<Vec<(String, SocketAddr, &'static str)>>>,
}

impl Entries {
    fn new(store: &Store) -> Entries {
        let entries = Entries { store: store.clone(), held: Arc::default() };
        let beating = entries.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                sleep(HEARTBEAT);
                let held = beating.held.lock().unwrap();
                for (id, address, state) in held.iter() {
                    beating.write(id, *address, state, sequence);
                }
            }
        });
        entries
    }

    fn write(&self, id: &str, address: SocketAddr, state: &str, sequence: u64) {
        let entry = format!(
            r#"{{"service":"desk","address":"{address}","zone":"lat-krabang","version":"v1","slots":8,"state":"{state}","cold_left_ms":0,"sequence":{sequence}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Sets the state of a server; the store has taken it when this returns.
    fn set(&self, id: &str, address: SocketAddr, state: &'static str) {
        let mut held = self.held.lock().unwrap();
        held.retain(|(known, _, _)| known != id);
        held.push((id.to_owned(), address, state));
        self.write(id, address, state, 1);
    }

    /// The server writes no more.
    fn silence(&self, id: &str) {
        self.held.lock().unwrap().retain(|(known, _, _)| known != id);
    }
}

/// A small deployment that has started.
struct Deployment {
    record: Record,
    place: Place,
    entries: Entries,
    nodes: Vec<Process>,
    servers: Vec<(String, SocketAddr, Process)>,
    folder: PathBuf,
}

impl Deployment {
    fn start(gateway: &str, record: &Record) -> Result<Deployment, String> {
        let place = Place::find().ok_or("no free ports")?;
        let text = |error: std::io::Error| error.to_string();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(text)?;
        let store = Store::default();
        store.open(place.store()).map_err(text)?;
        store.put(
            "op/config",
            r#"{"version":1,"routes":[{"name":"drafts","host":"desk.example","path_prefix":"/drafts/","type":"streaming","timeout_ms":15000,"slo_ms":800,"itl_target_ms":400,"priority":1,"service":"desk","attempts":1}],"services":[{"name":"desk","health_path":"/healthz","max_conns":96}],"limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":2000,"idle_timeout_ms":10000}}"#,
        );
        let entries = Entries::new(&store);
        let mut servers = Vec::new();
        for number in 1..=SERVERS {
            let (id, address) = (format!("i-{number}"), place.address(9 + number, 0));
            let (listens, listening) = channel();
            let process = start_server(address, &id, GAP, record, move |line| {
                if line == "listens" {
                    let _ = listens.send(());
                }
            });
            let process = process.map_err(text)?;
            listening.recv_timeout(Duration::from_secs(5)).map_err(|_| "a server did not start")?;
            entries.set(&id, address, "ready");
            servers.push((id, address, process));
        }
        let nodes = start_nodes(gateway, place, NODES, &folder).map_err(text)?;
        let record = record.clone();
        let deployment = Deployment { record, place, entries, nodes, servers, folder };
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(20);
        while !(1..=NODES).all(|node| is_ready(self.place.ready(node))) {
            if Instant::now() > end || self.nodes.iter().any(Process::has_ended) {
                return Err("the nodes are not ready".to_owned());
            }
            sleep(Duration::from_millis(100));
        }
        // Traffic starts some seconds after the machines do.
        sleep(Duration::from_secs(4));
        self.record.note("all nodes are ready");
        Ok(())
    }

    /// Place of the server with a seal.
    fn place_of(&self, seal: &str) -> Result<usize, String> {
        let place = self.servers.iter().position(|(id, _, _)| seal == format!("seal-{id}"));
        place.ok_or_else(|| "no such server".to_owned())
    }

    /// Sends a request to a node and reads its answer in a thread. Sends the server's seal with
    /// the first event, and the outcome.
    fn ask(&self, node: u8, attempt: &str, events: u32) -> (Receiver<String>, Receiver<Outcome>) {
        let (begun, has_begun) = channel();
        let (ended, outcome) = channel();
        let (record, address) = (self.record.clone(), self.place.clients(node));
        let attempt = attempt.to_owned();
        thread::spawn(move || {
            record.note(&format!("client: sends {attempt} to node {node}"));
            let read = ask(&record, address, &attempt, events, |seal| {
                let _ = begun.send(seal.to_owned());
            });
            match read {
                Ok(read) => {
                    let _ = ended.send(read);
                }
                Err(error) => record.note(&format!("client: {attempt} got no answer: {error}")),
            }
        });
        (has_begun, outcome)
    }
}

impl Deployment {
    /// Sends a short request to each node by turns, twenty a second in all, until the flag falls.
    fn keep_asking(&self) -> Arc<AtomicBool> {
        let goes_on = Arc::new(AtomicBool::new(true));
        let (flag, record, place) = (goes_on.clone(), self.record.clone(), self.place);
        thread::spawn(move || {
            for number in 0..400_u32 {
                if !flag.load(Ordering::Relaxed) {
                    return;
                }
                let (record, address) = (record.clone(), place.clients((number % u32::from(NODES)) as u8 + 1));
                thread::spawn(move || {
                    let attempt = format!("c{number}");
                    if let Err(error) = ask(&record, address, &attempt, 1, |_| {}) {
                        record.note(&format!("client: {attempt} got no answer: {error}"));
                    }
                });
                sleep(Duration::from_millis(50));
            }
        });
        goes_on
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        self.servers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect(address) else { return false };
    let mut connection = Connection::new(stream);
    let request = b"GET /-/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    let sent = connection.stream.write_all(request);
    sent.is_ok() && connection.head().is_ok_and(|head| head.word(1) == "200")
}

fn ask(
    record: &Record,
    address: SocketAddr,
    attempt: &str,
    asked_events: u32,
    begun: impl Fn(&str),
) -> std::io::Result<Outcome> {
    let mut connection = Connection::new(TcpStream::connect(address)?);
    let body = "draft a manifest";
    let request = format!(
        "POST /drafts/{asked_events}/{attempt} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.stream.write_all(request.as_bytes())?;
    let head = connection.head()?;
    let status = head.word(1).to_owned();
    let seal = head.get("X-Server-Seal").unwrap_or("-").to_owned();
    record.note(&format!("client: {attempt} gets {status}, seal {seal}"));
    let mut read = String::new();
    let events = AtomicU32::new(0);
    let (how, looks_complete) = connection.response_body(&head, |part| {
        read.push_str(&String::from_utf8_lossy(part));
        let count = read.matches("\n\n").count() as u32;
        if count > events.swap(count, Ordering::Relaxed) {
            record.note(&format!("client: {attempt} has {count} events"));
            begun(&seal);
        }
    });
    let events = events.into_inner();
    record.note(&format!("client: {attempt} ends with {how} after {events} events"));
    let attempt = attempt.to_owned();
    Ok(Outcome { attempt, status, seal, events, looks_complete })
}

/// Whether no answer that lacks events looks complete, and those of the other server are whole.
fn judge(record: &Record, outcomes: &[Outcome], struck: &str) -> bool {
    let mut holds = true;
    for outcome in outcomes {
        let Outcome { attempt, status, seal, events, looks_complete } = outcome;
        let is_short = *looks_complete && status == "200" && *events < EVENTS;
        if is_short {
            record.note(&format!(
                "BROKEN: {attempt} ({seal}) looks complete with {events} of {EVENTS} events"
            ));
            holds = false;
        }
        let is_whole = *looks_complete && *events == EVENTS;
        if !is_whole && *seal != format!("seal-{struck}") {
            record.note(&format!("{attempt} of an undisturbed server is not whole"));
        }
    }
    holds
}

/// Waits until all streams have begun. Returns the seal of the first one's server.
fn first_server(asked: &[(Receiver<String>, Receiver<Outcome>)]) -> Result<String, String> {
    let wait = Duration::from_secs(5);
    let begun = asked.iter().map(|(begun, _)| begun.recv_timeout(wait));
    let seals: Vec<String> =
        begun.collect::<Result<_, _>>().map_err(|_| "a stream did not begin".to_owned())?;
    seals.into_iter().next().ok_or_else(|| "no stream".to_owned())
}

/// A server that says that it leaves is killed before the time is over for which it serves on.
fn leaving(gateway: &str, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::start(gateway, record)?;
    let asked: Vec<_> = (0..STREAMS)
        .map(|number| deployment.ask(number % NODES + 1, &format!("a{number}"), EVENTS))
        .collect();
    let struck = first_server(&asked)?;
    let (id, address, process) = &deployment.servers[deployment.place_of(&struck)?];
    deployment.entries.set(id, *address, "draining");
    let said = Instant::now();
    let traffic = deployment.keep_asking();
    record.note(&format!("store: has taken that {id} is draining"));
    if has_trouble {
        sleep(Duration::from_millis(1800));
        process.kill();
        deployment.entries.silence(id);
        let after = said.elapsed().as_millis();
        record.note(&format!("server {id} is killed, {after} ms after that"));
    }
    let outcomes = outcomes(asked)?;
    traffic.store(false, Ordering::Relaxed);
    // The last short answers end before the processes do.
    sleep(Duration::from_millis(600));
    if !has_trouble {
        // It ends once it has served on for its time and its last answer is complete.
        process.kill();
        deployment.entries.silence(id);
        record.note(&format!("server {id} has ended, {} ms after that", said.elapsed().as_millis()));
    }
    Ok(judge(record, &outcomes, id))
}

fn outcomes(asked: Vec<(Receiver<String>, Receiver<Outcome>)>) -> Result<Vec<Outcome>, String> {
    let wait = Duration::from_secs(20);
    let read = |(_, outcome): (Receiver<String>, Receiver<Outcome>)| outcome.recv_timeout(wait);
    asked.into_iter().map(read).collect::<Result<_, _>>().map_err(|_| "no outcome".to_owned())
}

/// A node is frozen while a server crashes and starts again at its address.
fn frozen(gateway: &str, record: &Record, has_trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(gateway, record)?;
    let asked: Vec<_> =
        (0..STREAMS).map(|number| deployment.ask(1, &format!("b{number}"), EVENTS)).collect();
    let struck = first_server(&asked)?;
    let place = deployment.place_of(&struck)?;
    let (id, address) = (deployment.servers[place].0.clone(), deployment.servers[place].1);
    if has_trouble {
        deployment.nodes[0].signal("STOP");
        record.note("node 1 is frozen");
        sleep(Duration::from_millis(400));
        deployment.servers[place].2.kill();
        deployment.entries.silence(&id);
        record.note(&format!("server {id} crashes"));
        sleep(Duration::from_millis(1000));
        let listens = Arc::new(AtomicBool::new(false));
        let told = listens.clone();
        let process = start_server(address, "i-new", GAP, record, move |line| {
            told.fetch_or(line == "listens", Ordering::Relaxed);
        });
        deployment.servers[place].2 = process.map_err(|error| error.to_string())?;
        let entries = deployment.entries.clone();
        let noted = record.clone();
        thread::spawn(move || {
            // Its entry comes with its first heartbeat.
            sleep(HEARTBEAT);
            entries.set("i-new", address, "ready");
            noted.note("store: has taken the entry of i-new");
        });
        sleep(Duration::from_millis(500));
        if !listens.load(Ordering::Relaxed) {
            return Err("the server did not start again".to_owned());
        }
        deployment.nodes[0].signal("CONT");
        record.note("node 1 wakes");
    }
    let outcomes = outcomes(asked)?;
    Ok(judge(record, &outcomes, &id))
}
