//! Callers that pause while they read an answer, at a node whose settings file has just changed.

#[path = "common.rs"]
mod common;

use common::*;
use std::fs;
use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: u8 = 3;
const CALLERS: usize = 8;
/// Size of an answer: more than the first window of a connection takes.
const ANSWER: usize = 1_000_000;
/// Pause of a caller after it has read the first bytes of its answer.
const PAUSE: Duration = Duration::from_millis(3500);
const DEADLINE: Duration = Duration::from_secs(15);
/// `apply_ms`: for so long after a SIGHUP, the answers to new requests must not be cut off.
const APPLY: Duration = Duration::from_secs(2);

/// What a server did with one request.
#[derive(Clone)]
struct Run {
    attempt: String,
    /// Whether the server could hand over its whole answer.
    answered: bool,
}

type Runs = Arc<Mutex<Vec<Run>>>;

fn start_servers(case: &Case, store: &Store, runs: &Runs) {
    for number in 1..=3u8 {
        let (id, runs, record) = (format!("i-{number:08x}"), runs.clone(), case.record.clone());
        let own = id.clone();
        let address = listen(SocketAddrV4::new(host(100 + number), 0), move |stream| {
            let mut conn = Conn::new(stream);
            while let Ok(Some(request)) = conn.request() {
                let attempt = request.get("X-Attempt-Id").unwrap_or("").to_owned();
                let id_header = ("X-Attempt-Id", attempt.clone());
                if request.get("X-Expect-Instance").is_some_and(|expected| expected != own) {
                    let _ = conn.stream.write_all(&response(421, &[id_header], b""));
                    continue;
                }
                thread::sleep(Duration::from_millis(15));
                let seal = ("X-Server-Seal", format!("{own}.{attempt}"));
                let bytes = response(200, &[id_header, seal], &vec![b'm'; ANSWER]);
                let answered = conn.stream.write_all(&bytes).is_ok();
                record.line(&format!("{own} has run {attempt}; whole answer sent: {answered}"));
                runs.lock().unwrap().push(Run { attempt, answered });
                if !answered {
                    return;
                }
            }
        })
        .expect("a server's address");
        register(store, &id, move |sequence| {
            format!(
                "{{\"service\":\"manifests\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence}}}"
            )
        });
    }
}

const CONFIGURATION: &str = "{\"version\":1,\"routes\":[{\"name\":\"r-manifest\",\
\"host\":\"manifests.example\",\"path_prefix\":\"/manifest/\",\"type\":\"non_idempotent\",\
\"timeout_ms\":15000,\"slo_ms\":8000,\"priority\":0,\"service\":\"manifests\",\"attempts\":1}],\
\"services\":[{\"name\":\"manifests\",\"health_path\":\"/healthz\",\"max_conns\":360,\
\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\
\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// What a caller saw.
struct Seen {
    attempt: String,
    sent: Instant,
    ended: Instant,
    /// `None` for the whole answer.
    cut: Option<String>,
}

/// Sends a request on a new connection, and reads its answer with a pause behind the head.
fn call(address: SocketAddrV4, pause: Duration) -> Result<Seen, String> {
    let connect = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1));
    let mut conn = Conn::new(connect.map_err(|error| format!("no connection: {error}"))?);
    let _ = conn.stream.set_read_timeout(Some(DEADLINE));
    let (attempt, sent) = (attempt_id(), Instant::now());
    let cut = ask(&mut conn, &attempt, pause).err();
    Ok(Seen { attempt, sent, ended: Instant::now(), cut })
}

fn ask(conn: &mut Conn, attempt: &str, pause: Duration) -> Result<(), String> {
    let millis = DEADLINE.as_millis();
    let request = format!(
        "POST /manifest/{attempt} HTTP/1.1\r\nHost: manifests.example\r\n\
X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {millis}\r\nContent-Length: 4\r\n\r\nscan"
    );
    conn.stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
    let head = conn.head().map_err(|error| format!("{:?}", error.kind()))?;
    let mut head = head.ok_or("closed before the answer")?;
    if head.status() != 200 || head.get("X-Server-Seal").is_none() {
        return Err(format!("status {}", head.status()));
    }
    thread::sleep(pause);
    conn.body(&mut head).map_err(|error| {
        format!("{:?} after {} of {ANSWER} bytes", error.kind(), conn.rest.len())
    })?;
    if head.body.len() != ANSWER {
        return Err(format!("{} of {ANSWER} bytes", head.body.len()));
    }
    Ok(())
}

fn call_all(case: &Case, node: &Node, pause: Duration) -> Vec<Result<Seen, String>> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let address = node.address();
            thread::spawn(move || call(address, pause))
        })
        .collect();
    let seen: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    for one in &seen {
        match one {
            Ok(Seen { attempt, cut, sent, ended }) => {
                let (name, took) = (&node.name, ended.duration_since(*sent).as_secs_f64());
                let end = cut.as_deref().unwrap_or("whole answer");
                case.record.line(&format!("client {attempt} at {name}: {end}, {took:.2} s"));
            }
            Err(reason) => case.record.line(&format!("client at {}: {reason}", node.name)),
        }
    }
    seen
}

fn main() {
    let case = Case::open();
    let pause = if case.trouble { PAUSE } else { Duration::ZERO };
    let runs = Runs::default();
    let Ok((store, store_address)) = Store::start(SocketAddrV4::new(host(200), 0)) else {
        case.end(EXIT_NOT_RUN, "not run: no address for the store");
    };
    start_servers(&case, &store, &runs);
    store.write("op/config", CONFIGURATION);
    let seeds: Vec<u8> = (1..=MACHINES).collect();
    let mut nodes = Vec::new();
    for number in 1..=MACHINES {
        let mut node = Node::new(&case.folder, &case.program, number, &seeds, store_address);
        if let Err(error) = node.start() {
            case.end(EXIT_NOT_RUN, &format!("not run: {error}"));
        }
        nodes.push(node);
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(15))) {
        drop(nodes);
        case.end(EXIT_NOT_RUN, "not run: the nodes were not ready after 15 s");
    }
    thread::sleep(Duration::from_secs(4));

    // Callers that do not pause, before anything is planned.
    let calm = call_all(&case, &nodes[0], Duration::ZERO);
    if calm.iter().any(|seen| !matches!(seen, Ok(Seen { cut: None, .. }))) {
        drop(nodes);
        case.end(EXIT_NOT_RUN, "not run: callers were not served before");
    }

    // For information: at another node, with nothing planned. No rule counts these.
    let elsewhere = call_all(&case, &nodes[1], pause);
    let cut = elsewhere.iter().flatten().filter(|seen| seen.cut.is_some()).count();
    case.record.say(&format!("cut off at a node without planned work: {cut} of {CALLERS}"));

    // The settings file changes, and the platform says so.
    let file = case.folder.join(format!("{}.again.json", nodes[0].name));
    let text = fs::read_to_string(&file).unwrap_or_default();
    let _ = fs::write(&file, text.replace("\"retryExtra\":52", "\"retryExtra\":54"));
    let first = case.folder.join(format!("{}.json", nodes[0].name));
    let text = fs::read_to_string(&first).unwrap_or_default();
    let _ = fs::write(&first, text.replace("\"retryExtra\":52", "\"retryExtra\":54"));
    let hup = Instant::now();
    nodes[0].signal("HUP");
    case.record.line(&format!("{}: its settings file has changed; SIGHUP", nodes[0].name));
    thread::sleep(Duration::from_millis(300));
    let seen = call_all(&case, &nodes[0], pause);
    let has_ended = nodes[0].has_ended();
    drop(nodes);

    // RULES.md, LOST: a process has read a whole request, and the connection ends without a
    // complete answer, once the request was passed on to a server, around a SIGHUP; not counted if
    // the server broke off or the deadline was reached.
    let runs = runs.lock().unwrap();
    let mut lost = 0;
    let mut whole = 0;
    let mut handed_over = 0;
    for seen in seen.iter().flatten() {
        let Some(cut) = &seen.cut else {
            whole += 1;
            continue;
        };
        let run = runs.iter().find(|run| run.attempt == seen.attempt);
        let is_planned = seen.sent.duration_since(hup) <= APPLY;
        let in_time = seen.ended.duration_since(seen.sent) < DEADLINE;
        let is_cut = !cut.starts_with("status ");
        // The servers here break nothing off.
        if let (true, true, true, Some(run)) = (is_planned, in_time, is_cut, run) {
            lost += 1;
            handed_over += usize::from(run.answered);
        }
    }
    case.record.say(&format!(
        "after the SIGHUP: {whole} whole, {lost} lost although servers ran them, {handed_over} of these after the whole answer was handed over, of {CALLERS}; node ended: {has_ended}"
    ));
    if whole + lost == 0 {
        case.end(EXIT_NOT_RUN, "not run: no request was served after the SIGHUP");
    }
    match lost > 0 {
        true => case.end(EXIT_BROKEN, "broken: LOST"),
        false => case.end(EXIT_HELD, "held"),
    }
}
