//! The platform's store: items with revisions, watches, conditional writes and leases.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{Json, base64};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item { value, revision, made, lease } = self;
        format!(
            r#"{{"private_key":"{key}","value":"{value}","revision":{revision},"made":{made},"lease":{lease}}}"#
        )
    }
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key and how a watch tells it.
    changes: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item { value, revision, made, lease };
        self.changes.push((revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let gone = format!(r#"{{"private_key":"{key}","revision":{revision},"gone":true}}"#);
            self.changes.push((revision, key.to_owned(), gone));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }

    fn since(&self, prefix: &str, after: u64) -> Vec<&str> {
        let changes = self.changes.iter();
        let changes = changes.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        changes.map(|(_, _, told)| told.as_str()).collect()
    }
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<Contents>, Condvar)>,
}

impl Store {
    /// Opens it at an address.
    pub fn open(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                store.change(Contents::end_leases);
            }
        });
        Ok(())
    }

    fn change<Output>(&self, act: impl FnOnce(&mut Contents) -> Output) -> Output {
        let output = act(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
        output
    }

    /// Writes an item as the operator or a server does. When this returns, it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|contents| {
            contents.revision += 1;
            contents.put(key, base64(value.as_bytes()), 0);
        });
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(head) = connection.head() {
            let Ok(body) = connection.request_body(&head) else { return };
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let path = head.word(1).split('?').next().unwrap_or_default();
        let lease = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match path {
            "/-/kv-range" => (200, self.range(head)),
            "/-/kv-watch" => (200, self.watch(head)),
            "/-/kv-txn" => self.change(|contents| commit(contents, body)),
            "/-/kv-lease" => {
                let ttl = Json::parse(body).and_then(|body| body.get("ttl_ms")?.number());
                let ttl = ttl.unwrap_or(1000);
                let lifetime = Duration::from_millis(ttl);
                let lease = self.change(|contents| {
                    contents.last_lease += 1;
                    let lease = contents.last_lease;
                    contents.leases.insert(lease, (lifetime, Instant::now() + lifetime));
                    lease
                });
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            _ if path.starts_with("/-/kv-keep/") => {
                let renewed = self.change(|contents| {
                    let (lifetime, end) = contents.leases.get_mut(&lease)?;
                    *end = Instant::now() + *lifetime;
                    Some(lifetime.as_millis())
                });
                match renewed {
                    Some(ttl) => (200, format!(r#"{{"ttl_ms":{ttl}}}"#)),
                    None => (404, "{}".to_owned()),
                }
            }
            _ if path.starts_with("/-/kv-lease-end/") => {
                self.change(|contents| contents.end_lease(lease));
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, head: &Head) -> String {
        let prefix = head.query("path_prefix").unwrap_or_default();
        let after = head.query("after").unwrap_or_default();
        self.change(|contents| {
            let items = contents.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
            let at = contents.revision;
            format!(r#"{{"items":[{}],"more":false,"at":{at}}}"#, items.join(","))
        })
    }

    fn watch(&self, head: &Head) -> String {
        let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let prefix = head.query("path_prefix").unwrap_or_default();
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("wait_ms"));
        let (contents, changed) = &*self.shared;
        let mut contents = contents.lock().unwrap();
        while contents.since(prefix, after).is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            contents = changed.wait_timeout(contents, left).unwrap().0;
        }
        let events = contents.since(prefix, after).join(",");
        format!(r#"{{"events":[{events}],"at":{}}}"#, contents.revision)
    }
}

fn commit(contents: &mut Contents, body: &str) -> (u16, String) {
    let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
    let list = |name| body.get(name).map(Json::items).unwrap_or_default();
    let text = |row: &Json, name: &str| row.get(name).and_then(Json::text).map(str::to_owned);
    let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
    for row in list("expected_count") {
        let key = text(row, "private_key").unwrap_or_default();
        let held = contents.items.get(&key).map_or(0, |item| item.revision);
        if held != number(row, "revision") {
            return (412, r#"{"items":[]}"#.to_owned());
        }
    }
    let lacks_lease = |row: &Json| {
        let lease = number(row, "lease");
        lease != 0 && !contents.leases.contains_key(&lease)
    };
    if list("put").iter().any(lacks_lease) {
        return (404, "{}".to_owned());
    }
    contents.revision += 1;
    for row in list("put") {
        let (key, value) = (text(row, "private_key"), text(row, "value"));
        contents.put(&key.unwrap_or_default(), value.unwrap_or_default(), number(row, "lease"));
    }
    list("remove").iter().filter_map(Json::text).for_each(|key| contents.remove(key));
    (200, format!(r#"{{"revision":{}}}"#, contents.revision))
}
