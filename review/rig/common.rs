//! Stand-ins of the platform's store, of servers and of clients, and the start of gateway nodes as
//! separate processes. Uses the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

// ---------------------------------------------------------------- record

/// Writes what happened to `record.txt`, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub began: Instant,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), began: Instant::now() })
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }

    /// Writes a line and prints it, too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = parse_value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(text, at)? else { return None };
                        skip(text, at);
                        if *text.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *text.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(out).ok()?));
                    }
                    b'\\' => {
                        *at += 1;
                        let c = *text.get(*at)?;
                        out.push(match c {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                        *at += 1;
                    }
                    c => {
                        out.push(c);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                *at += 1;
            }
            std::str::from_utf8(&text[from..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= part.len() {
                out.push(BASE64[(n >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request or a response as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let raw = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
        Some(unescape(raw))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(b) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(b);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read from it and not used.
pub struct Conn {
    pub stream: TcpStream,
    pub rest: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, rest: Vec::new() }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 65536];
        let read = self.stream.read(&mut buffer)?;
        self.rest.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Message { first, headers, body: Vec::new() }));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads exactly so many bytes of a body.
    pub fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let after = self.rest.split_off(count);
        Ok(std::mem::replace(&mut self.rest, after))
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.rest, b"\r\n") {
                    break end;
                }
                if self.more()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            self.rest.drain(..end + 2);
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let data = self.take(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&data[..size]);
        }
    }

    /// Reads the body that the head announces.
    pub fn body(&mut self, head: &mut Message) -> io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            head.body = self.chunks()?;
        } else if let Some(length) = head.get("content-length").and_then(|l| l.parse().ok()) {
            head.body = self.take(length)?;
        }
        Ok(())
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else { return Ok(None) };
        self.body(&mut head)?;
        Ok(Some(head))
    }
}

pub fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} -\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Accepts connections, each in a thread of its own.
pub fn listen(
    address: SocketAddrV4,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> io::Result<SocketAddrV4> {
    let listener = TcpListener::bind(address)?;
    let std::net::SocketAddr::V4(bound) = listener.local_addr()? else { unreachable!() };
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = thread::Builder::new().stack_size(512 << 10).spawn(move || serve(stream));
        }
    });
    Ok(bound)
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    events: Vec<(u64, String, Option<StoredItem>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = StoredItem { value, revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }
}

fn item_json(key: &str, item: &StoredItem) -> String {
    format!(
        "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        item.value, item.revision, item.made, item.lease
    )
}

/// The platform's store, by PROTOCOL.md.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> io::Result<(Store, SocketAddrV4)> {
        let store = Store::default();
        store.inner.0.lock().unwrap().revision = 1;
        let shared = store.clone();
        let bound = listen(address, move |stream| {
            let mut conn = Conn::new(stream);
            while let Ok(Some(request)) = conn.request() {
                let (status, body) = shared.answer(&request);
                let headers = [("Content-Type", "application/json".to_owned())];
                if conn.stream.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                    return;
                }
            }
        })?;
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            shared.expire();
        });
        Ok((store, bound))
    }

    fn expire(&self) {
        let mut contents = self.inner.0.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> =
            contents.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(&mut contents, id);
        }
    }

    fn end_lease(&self, contents: &mut Contents, id: u64) {
        contents.leases.remove(&id);
        let keys: Vec<String> = contents
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            contents.revision += 1;
            keys.iter().for_each(|key| contents.remove(key));
            self.inner.1.notify_all();
        }
    }

    /// A write of the operator or of a server.
    pub fn write(&self, key: &str, value: &str) {
        let mut contents = self.inner.0.lock().unwrap();
        contents.revision += 1;
        contents.put(key, base64(value.as_bytes()), 0);
        self.inner.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut contents = self.inner.0.lock().unwrap();
        contents.revision += 1;
        contents.remove(key);
        self.inner.1.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        match (request.method(), path.as_str()) {
            ("GET", "/-/kv-key") => {
                let key = request.query("private_key").unwrap_or_default();
                let contents = self.inner.0.lock().unwrap();
                match contents.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let after = request.query("after");
                let contents = self.inner.0.lock().unwrap();
                let all: Vec<String> = contents
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let more = all.len() > 500;
                let items = all[..all.len().min(500)].join(",");
                (200, format!("{{\"items\":[{items}],\"more\":{more},\"at\":{}}}", contents.revision))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let number = |name| request.query(name).and_then(|v| v.parse().ok()).unwrap_or(0);
                let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
                let until = Instant::now() + wait;
                let mut contents = self.inner.0.lock().unwrap();
                loop {
                    let events: Vec<String> = contents
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"private_key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = events.join(",");
                        return (200, format!("{{\"events\":[{body}],\"at\":{}}}", contents.revision));
                    }
                    contents = self.inner.1.wait_timeout(contents, left).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => self.commit(&request.body),
            ("POST", "/-/kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body.get("ttl_ms").map_or(0, Json::number).max(1000);
                let mut contents = self.inner.0.lock().unwrap();
                contents.next_lease += 1;
                let id = contents.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                contents.leases.insert(id, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut contents = self.inner.0.lock().unwrap();
                match contents.leases.get_mut(&id) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut contents = self.inner.0.lock().unwrap();
                self.end_lease(&mut contents, id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let empty = Json::List(Vec::new());
        let rows = |name| body.get(name).unwrap_or(&empty).list().to_vec();
        let mut contents = self.inner.0.lock().unwrap();
        let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
        for row in rows("expected_count") {
            let key = field(&row, "private_key").text().to_owned();
            let revision = contents.items.get(&key).map_or(0, |item| item.revision);
            if revision != field(&row, "revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for row in rows("put") {
            let lease = field(&row, "lease").number();
            if lease != 0 && !contents.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        contents.revision += 1;
        for row in rows("put") {
            let value = field(&row, "value").text().to_owned();
            let key = field(&row, "private_key").text().to_owned();
            contents.put(&key, value, field(&row, "lease").number());
        }
        for key in rows("remove") {
            contents.remove(key.text());
        }
        self.inner.1.notify_all();
        (200, format!("{{\"revision\":{}}}", contents.revision))
    }
}

/// Keeps a server's entry in the store, as servers do.
pub fn register(store: &Store, id: &str, entry: impl Fn(u64) -> String + Send + 'static) {
    let (store, key) = (store.clone(), format!("servers/{id}"));
    thread::spawn(move || {
        let mut sequence = 1;
        loop {
            store.write(&key, &entry(sequence));
            sequence += 1;
            thread::sleep(Duration::from_millis(1200));
        }
    });
}

// ---------------------------------------------------------------- nodes

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new name for an attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000 + NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Part of the loopback range that only this process uses.
pub fn host(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 20 + (process / 200 % 200) as u8, 1 + (process % 200) as u8, number)
}

pub const CLIENT_PORT: u16 = 17149;
pub const READY_PORT: u16 = 17141;

/// A gateway node, which runs as a process of its own.
pub struct Node {
    pub name: String,
    pub host: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, two: u64, three: u64, four: u64, five: u64) -> i32;
}

/// Ends this process when the one that started it ends.
pub fn end_with_parent() {
    // SAFETY: the call takes numbers only.
    unsafe {
        prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
    }
}

/// Bounds of a small deployment, as SYSTEM.md has them.
pub const BOUNDS: &str = "\"graceSeconds\":8,\"retryRatio\":0.2,\"retryExtra\":52,\
\"retryWindowSeconds\":10,\"leaseMillis\":3000,\"loadWindowSeconds\":5,\
\"serverHeartbeatMillis\":1200,\"drainMillis\":2000,\"applyMillis\":2000";

impl Node {
    pub fn new(
        folder: &Path,
        program: &Path,
        number: u8,
        seeds: &[u8],
        store: SocketAddrV4,
    ) -> Node {
        let (host_, name) = (host(number), format!("edge-{number}"));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{}:17144\"", host(*s))).collect();
        let text = |fresh: bool| {
            format!(
                "{{\"node\":\"{name}\",\"zone\":\"zone-a\",\"clientAddress\":\"{host_}:{CLIENT_PORT}\",\
\"readyAddress\":\"{host_}:{READY_PORT}\",\"directoryAddress\":\"{host_}:17143\",\
\"peerAddress\":\"{host_}:17144\",\"quotaAddress\":\"{host_}:17380\",\
\"tunnelAddress\":\"{host_}:17395\",\"streamAddress\":\"{host_}:17395\",\
\"metricsAddress\":\"{host_}:19464\",\"seeds\":[{}],\"storeAddress\":\"{store}\",\
\"freshFleet\":{fresh},\"machine\":{{\"cpuShare\":0.25,\"linkMegabits\":1000.0}},\
\"bounds\":{{{BOUNDS}}}}}",
                seeds.join(",")
            )
        };
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text(true)).expect("settings");
        fs::write(folder.join(format!("{name}.again.json")), text(false)).expect("settings");
        let log = folder.join(format!("{name}.log"));
        Node { name, host: host_, settings, log, program: program.to_owned(), child: None }
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        // A node ends with this process, also if that is killed.
        // SAFETY: the call takes numbers only and is allowed between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .env("COMETMOOR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        // The platform says `bootstrap` at the very first start only.
        self.settings = self.settings.with_file_name(format!("{}.again.json", self.name));
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory in use, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|kb| kb.parse().ok());
        kb.unwrap_or(0u64) * 1024
    }

    /// Sends a signal by its name, to this process only.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        }
    }

    pub fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.host, CLIENT_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddrV4::new(self.host, READY_PORT);
        let Ok(stream) = TcpStream::connect_timeout(&address.into(), Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut conn = Conn::new(stream);
        let question = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        conn.stream.write_all(question).is_ok()
            && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

// ---------------------------------------------------------------- case

/// Folders and the switch of a case.
pub struct Case {
    pub record: Record,
    pub folder: PathBuf,
    pub program: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

impl Case {
    /// Arguments: the program under test, the case's folder and a temporary folder.
    pub fn open() -> Case {
        let arguments: Vec<String> = std::env::args().collect();
        if arguments.len() < 4 {
            eprintln!("arguments: PROGRAM CASE-FOLDER TEMPORARY-FOLDER");
            std::process::exit(EXIT_NOT_RUN);
        }
        let folder = PathBuf::from(&arguments[3]);
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        match Record::open(&Path::new(&arguments[2]).join("record.txt")) {
            Ok(record) => {
                Case { record, folder, program: PathBuf::from(&arguments[1]), trouble }
            }
            Err(error) => {
                eprintln!("record.txt: {error}");
                std::process::exit(EXIT_NOT_RUN);
            }
        }
    }

    /// Ends the run: nodes are dropped by the caller before.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        self.record.say(verdict);
        std::process::exit(code);
    }
}

/// A switch that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
