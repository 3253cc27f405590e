//! A key-value service that speaks the JSON gateway of the etcd v3 API.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use super::Running;
use super::store_state::{Event, Operation, StoreData, Stored};

/// Writes that the service takes in a second.
pub const WRITES_PER_SECOND: usize = 100;
/// Reads that the service takes in a second.
pub const READS_PER_SECOND: usize = 2_000;
/// How long a call hangs that is never answered.
const HANG: Duration = Duration::from_secs(20);

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// Calls hang and have no effect; watches end.
    Down,
    /// Calls take this much longer.
    Slow(Duration),
    /// Transactions take effect and their answers are lost.
    LostReplies,
}

/// Calls that the service has counted.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// Range reads.
    pub reads: AtomicU64,
    /// Transactions and lease calls.
    pub writes: AtomicU64,
    /// Watches opened.
    pub watches: AtomicU64,
    /// Calls refused for their rate.
    pub refused: AtomicU64,
}

struct Shared {
    data: Mutex<StoreData>,
    fault: Mutex<StoreFault>,
    recent_writes: Mutex<VecDeque<Instant>>,
    recent_reads: Mutex<VecDeque<Instant>>,
    changed: watch::Sender<u64>,
    calls: StoreCalls,
}

impl Shared {
    fn data(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|version| *version += 1);
    }
}

/// The stand-in.
pub struct StoreStandIn {
    shared: Arc<Shared>,
    running: Running,
}

type State = web::Data<Arc<Shared>>;

impl StoreStandIn {
    /// Starts an empty service on a free port of loopback.
    pub fn start() -> std::io::Result<StoreStandIn> {
        let shared = Arc::new(Shared {
            data: Mutex::default(),
            fault: Mutex::default(),
            recent_writes: Mutex::default(),
            recent_reads: Mutex::default(),
            changed: watch::Sender::new(0),
            calls: StoreCalls::default(),
        });
        let running = Running::serve(shared.clone(), configure)?;
        Ok(StoreStandIn { shared, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        self.shared.notify();
    }

    /// Forgets the history, so that watches from older revisions fail.
    pub fn compact(&self) {
        self.shared.data().compact();
    }

    /// What it holds now.
    pub fn backup(&self) -> StoreData {
        self.shared.data().clone()
    }

    /// Comes back from a backup: what was written since is lost, and its revisions are given
    /// out again.
    pub fn restore(&self, backup: StoreData) {
        *self.shared.data() = backup;
        self.shared.notify();
    }

    /// Calls so far.
    pub fn calls(&self) -> &StoreCalls {
        &self.shared.calls
    }

    /// Writes a value past the protocol.
    pub fn put(&self, key: &str, value: &[u8]) {
        let key = key.as_bytes().to_vec();
        let put = Operation::Put { key, value: value.to_vec(), lease: 0 };
        self.shared.data().transact(&[], &[put]);
        self.shared.notify();
    }
}

fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/txn", web::post().to(transact))
        .route("/v3/watch", web::post().to(open_watch))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(keep_alive))
        .route("/v3/lease/revoke", web::post().to(revoke));
}

/// Lets a call pass, hang or wait, as the fault asks. False when it is refused
/// for its rate.
async fn admit(shared: &Shared, recent: &Mutex<VecDeque<Instant>>, limit: usize) -> bool {
    match shared.fault() {
        StoreFault::Down => actix_rt::time::sleep(HANG).await,
        StoreFault::Slow(delay) => actix_rt::time::sleep(delay).await,
        StoreFault::None | StoreFault::LostReplies => {}
    }
    shared.data().expire_leases();
    let mut recent = recent.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    while recent.front().is_some_and(|at| now.duration_since(*at) > Duration::from_secs(1)) {
        recent.pop_front();
    }
    if recent.len() >= limit {
        shared.calls.refused.fetch_add(1, Ordering::Relaxed);
        return false;
    }
    recent.push_back(now);
    true
}

async fn admit_read(shared: &Shared) -> bool {
    shared.calls.reads.fetch_add(1, Ordering::Relaxed);
    admit(shared, &shared.recent_reads, READS_PER_SECOND).await
}

async fn admit_write(shared: &Shared) -> bool {
    shared.calls.writes.fetch_add(1, Ordering::Relaxed);
    admit(shared, &shared.recent_writes, WRITES_PER_SECOND).await
}

fn too_many() -> HttpResponse {
    HttpResponse::TooManyRequests().json(json!({"error": "rate exceeded", "code": 8}))
}

fn decode(text: &str) -> Vec<u8> {
    BASE64.decode(text).unwrap_or_default()
}

fn wire_key_value(key: &[u8], stored: &Stored) -> Value {
    json!({
        "key": BASE64.encode(key),
        "value": BASE64.encode(&stored.value),
        "mod_revision": stored.modified.to_string(),
        "create_revision": stored.created.to_string(),
        "lease": stored.lease.to_string(),
    })
}

fn header(revision: u64) -> Value {
    json!({"revision": revision.to_string()})
}

#[derive(Deserialize)]
struct RangeBody {
    key: String,
    #[serde(default)]
    range_end: String,
}

async fn range(shared: State, body: web::Json<RangeBody>) -> HttpResponse {
    if !admit_read(&shared).await {
        return too_many();
    }
    let data = shared.data();
    let found = data.range(&decode(&body.key), &decode(&body.range_end));
    let kvs: Vec<Value> = found.iter().map(|(key, stored)| wire_key_value(key, stored)).collect();
    let count = kvs.len().to_string();
    HttpResponse::Ok().json(json!({"header": header(data.revision()), "kvs": kvs, "count": count}))
}

#[derive(Deserialize)]
struct TransactionBody {
    #[serde(default)]
    compare: Vec<CompareBody>,
    #[serde(default)]
    success: Vec<OperationBody>,
}

#[derive(Deserialize)]
struct CompareBody {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct OperationBody {
    request_put: Option<PutBody>,
    request_delete_range: Option<DeleteBody>,
}

#[derive(Deserialize)]
struct PutBody {
    key: String,
    value: String,
    #[serde(default)]
    lease: String,
}

#[derive(Deserialize)]
struct DeleteBody {
    key: String,
}

impl OperationBody {
    fn operations(self) -> impl Iterator<Item = Operation> {
        let put = self.request_put.map(|put| Operation::Put {
            key: decode(&put.key),
            value: decode(&put.value),
            lease: put.lease.parse().unwrap_or_default(),
        });
        let delete =
            self.request_delete_range.map(|delete| Operation::Delete { key: decode(&delete.key) });
        put.into_iter().chain(delete)
    }
}

async fn transact(shared: State, body: web::Json<TransactionBody>) -> HttpResponse {
    if !admit_write(&shared).await {
        return too_many();
    }
    let body = body.into_inner();
    let compares: Vec<(Vec<u8>, u64)> = body
        .compare
        .iter()
        .map(|compare| (decode(&compare.key), compare.mod_revision.parse().unwrap_or_default()))
        .collect();
    let operations: Vec<Operation> =
        body.success.into_iter().flat_map(OperationBody::operations).collect();
    let (succeeded, revision) = {
        let mut data = shared.data();
        (data.transact(&compares, &operations), data.revision())
    };
    shared.notify();
    if shared.fault() == StoreFault::LostReplies {
        actix_rt::time::sleep(HANG).await;
    }
    HttpResponse::Ok().json(json!({"header": header(revision), "succeeded": succeeded}))
}

#[derive(Deserialize)]
struct WatchBody {
    create_request: WatchCreate,
}

#[derive(Deserialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
}

struct WatchReader {
    shared: Arc<Shared>,
    changed: watch::Receiver<u64>,
    start: Vec<u8>,
    end: Vec<u8>,
    next_revision: u64,
    created: bool,
}

async fn open_watch(shared: State, body: web::Json<WatchBody>) -> HttpResponse {
    shared.calls.watches.fetch_add(1, Ordering::Relaxed);
    if !admit_read(&shared).await {
        return too_many();
    }
    let create = body.into_inner().create_request;
    let shared = shared.get_ref().clone();
    let reader = WatchReader {
        changed: shared.changed.subscribe(),
        shared,
        start: decode(&create.key),
        end: decode(&create.range_end),
        next_revision: create.start_revision.parse().unwrap_or_default(),
        created: false,
    };
    let lines = futures::stream::unfold(reader, |mut reader| async move {
        let line = reader.next().await?;
        Some((Ok::<Bytes, std::io::Error>(line), reader))
    });
    HttpResponse::Ok().content_type("application/json").streaming(Box::pin(lines))
}

impl WatchReader {
    async fn next(&mut self) -> Option<Bytes> {
        if !self.created {
            self.created = true;
            let revision = self.shared.data().revision();
            return Some(line(json!({"header": header(revision), "created": true})));
        }
        loop {
            if self.shared.fault() == StoreFault::Down {
                return None;
            }
            let (events, revision) = {
                let data = self.shared.data();
                let events = data.events_from(&self.start, &self.end, self.next_revision);
                (events, data.revision())
            };
            let Some(events) = events else {
                let revision = revision.to_string();
                return Some(line(json!({"canceled": true, "compact_revision": revision})));
            };
            if !events.is_empty() {
                self.next_revision = revision + 1;
                let events: Vec<Value> = events.iter().map(wire_event).collect();
                return Some(line(json!({"header": header(revision), "events": events})));
            }
            self.changed.changed().await.ok()?;
        }
    }
}

fn line(result: Value) -> Bytes {
    Bytes::from(json!({"result": result}).to_string() + "\n")
}

fn wire_event(event: &Event) -> Value {
    match &event.stored {
        Some(stored) => json!({"type": "PUT", "kv": wire_key_value(&event.key, stored)}),
        None => json!({"type": "DELETE", "kv": {
            "key": BASE64.encode(&event.key),
            "mod_revision": event.revision.to_string(),
        }}),
    }
}

#[derive(Deserialize)]
struct GrantBody {
    #[serde(rename = "TTL")]
    ttl: String,
}

async fn grant(shared: State, body: web::Json<GrantBody>) -> HttpResponse {
    if !admit_write(&shared).await {
        return too_many();
    }
    let seconds = body.ttl.parse().unwrap_or(1);
    let id = shared.data().grant(Duration::from_secs(seconds));
    HttpResponse::Ok().json(json!({"ID": id.to_string(), "TTL": body.ttl}))
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "ID")]
    id: String,
}

async fn keep_alive(shared: State, body: web::Json<LeaseBody>) -> HttpResponse {
    if !admit_write(&shared).await {
        return too_many();
    }
    let lifetime = shared.data().keep_alive(body.id.parse().unwrap_or_default());
    let ttl = lifetime.as_secs().to_string();
    HttpResponse::Ok().json(json!({"result": {"ID": body.id, "TTL": ttl}}))
}

async fn revoke(shared: State, body: web::Json<LeaseBody>) -> HttpResponse {
    if !admit_write(&shared).await {
        return too_many();
    }
    shared.data().revoke(body.id.parse().unwrap_or_default());
    shared.notify();
    HttpResponse::Ok().json(json!({}))
}
