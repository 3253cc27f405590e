//! Client of the configuration store, over the JSON gateway of the etcd v3 API.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use futures::{Stream, StreamExt, TryStreamExt};
use serde::Deserialize;
use serde_json::json;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::rate_limiter::CallRateLimiter;
use super::{
    Compare, ConfigurationStore, KeyValue, LeaseId, RangeResponse, StoreError, TransactionResult,
    WatchBatch, WatchEvent, WatchStream, Write,
};
use crate::settings::StoreSettings;
use crate::telemetry::metrics::{Metrics, StoreCallLabels};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum length of a line of a watch stream, in bytes. Each line is one JSON message.
const MAX_WATCH_LINE_BYTES: usize = 4 << 20;

/// A client for one thread; clones share connections and the rate limit.
#[derive(Clone)]
pub struct EtcdStore {
    shared: Rc<Shared>,
}

struct Shared {
    client: awc::Client,
    addresses: Vec<SocketAddr>,
    /// Index of the address that responded last; calls try it first.
    preferred_index: Cell<usize>,
    timeout: Duration,
    rate_limiter: CallRateLimiter,
    metrics: Arc<Metrics>,
}

/// A 64-bit integer, which the gateway writes as a string in JSON. Text that is no number counts as
/// 0.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(from = "NumberOrText")]
struct JsonInt64(i64);

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText {
    Number(i64),
    Text(String),
}

impl From<NumberOrText> for JsonInt64 {
    fn from(value: NumberOrText) -> JsonInt64 {
        match value {
            NumberOrText::Number(number) => JsonInt64(number),
            NumberOrText::Text(text) => JsonInt64(text.parse().unwrap_or_default()),
        }
    }
}

impl JsonInt64 {
    /// The value, or 0 if it is negative.
    fn to_u64(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

#[derive(Default, Deserialize)]
struct Header {
    #[serde(default)]
    revision: JsonInt64,
}

#[derive(Deserialize)]
struct WireKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: JsonInt64,
    #[serde(default)]
    create_revision: JsonInt64,
}

#[derive(Deserialize)]
struct WireRange {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

#[derive(Deserialize)]
struct WireTransaction {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct WireLease {
    #[serde(rename = "ID")]
    id: JsonInt64,
}

#[derive(Deserialize)]
struct WireKeepAlive {
    result: WireLifetime,
}

#[derive(Deserialize)]
struct WireLifetime {
    #[serde(rename = "TTL", default)]
    ttl: JsonInt64,
}

#[derive(Deserialize)]
struct WireWatch {
    result: WireWatchResult,
}

#[derive(Deserialize)]
struct WireWatchResult {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    compact_revision: JsonInt64,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    #[serde(rename = "type", default)]
    event_type: String,
    kv: WireKeyValue,
}

fn malformed(what: &str, reason: impl ToString) -> StoreError {
    StoreError::Malformed { what: what.to_owned(), reason: reason.to_string() }
}

fn decode_base64(text: &str, what: &str) -> Result<Vec<u8>, StoreError> {
    BASE64.decode(text).map_err(|error| malformed(what, error))
}

impl WireKeyValue {
    fn decode_key(&self) -> Result<String, StoreError> {
        let bytes = decode_base64(&self.key, "key")?;
        String::from_utf8(bytes).map_err(|error| malformed("key", error))
    }

    fn into_key_value(self) -> Result<KeyValue, StoreError> {
        let key = self.decode_key()?;
        Ok(KeyValue {
            value: decode_base64(&self.value, &key)?,
            key,
            modified_revision: self.mod_revision.to_u64(),
            created_revision: self.create_revision.to_u64(),
        })
    }
}

/// The first key after all keys with a prefix, as the exclusive end of a range: the last byte below
/// 255 is incremented and the bytes after it are dropped.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

fn encode_base64(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

impl EtcdStore {
    /// Creates a client, which connects at the first call.
    pub fn new(settings: &StoreSettings, metrics: Arc<Metrics>) -> EtcdStore {
        let timeout = Duration::from_millis(settings.timeout_millis);
        let client = awc::Client::builder()
            .connector(awc::Connector::new().timeout(timeout))
            .disable_timeout()
            .disable_redirects()
            .finish();
        EtcdStore {
            shared: Rc::new(Shared {
                client,
                addresses: settings.addresses.clone(),
                preferred_index: Cell::new(0),
                timeout,
                rate_limiter: CallRateLimiter::new(settings.calls_per_second),
                metrics,
            }),
        }
    }

    /// Counts a call that was sent.
    fn record(&self, path: &str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        let labels = StoreCallLabels { call: path.to_owned(), result };
        self.shared.metrics.store_calls.get_or_create(&labels).inc();
    }

    /// Sends a call to the preferred address, and to the other addresses in turn if no connection
    /// can be made. A call that was sent is never retried, since it may have taken effect.
    async fn send(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<
        (String, awc::ClientResponse<impl Stream<Item = BodyChunk> + Unpin + use<>>),
        StoreError,
    > {
        if self.shared.rate_limiter.try_acquire().is_err() {
            return Err(StoreError::RateLimited);
        }
        let shared = &self.shared;
        let mut unreachable = None;
        for offset in 0..shared.addresses.len() {
            let index = (shared.preferred_index.get() + offset) % shared.addresses.len();
            let peer = shared.addresses[index].to_string();
            let request = shared.client.post(format!("http://{peer}{path}")).send_json(body);
            match tokio::time::timeout(shared.timeout, request).await {
                Ok(Ok(response)) => {
                    self.record(path, response.status().is_success());
                    shared.preferred_index.set(index);
                    return Ok((peer, response));
                }
                Ok(Err(awc::error::SendRequestError::Connect(error))) => {
                    let reason = error.to_string();
                    unreachable = Some(StoreError::Unreachable { peer, reason });
                }
                Ok(Err(error)) => {
                    self.record(path, false);
                    let reason = error.to_string();
                    return Err(StoreError::NoResponse { peer, reason });
                }
                Err(_) => {
                    self.record(path, false);
                    let reason = format!("nothing within {:?}", shared.timeout);
                    return Err(StoreError::NoResponse { peer, reason });
                }
            }
        }
        Err(unreachable.unwrap_or(StoreError::RateLimited))
    }

    async fn call<Response: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Response, StoreError> {
        let (peer, mut response) = self.send(path, body).await?;
        let read = response.body().limit(MAX_RESPONSE_BYTES);
        let no_response = |reason: String| StoreError::NoResponse { peer: peer.clone(), reason };
        let bytes = tokio::time::timeout(self.shared.timeout, read)
            .await
            .map_err(|_| no_response("the answer was not complete in time".to_owned()))?
            .map_err(|error| no_response(error.to_string()))?;
        if !response.status().is_success() {
            let reason = format!("{}: {}", response.status(), String::from_utf8_lossy(&bytes));
            // After a server error it is unknown whether the call took effect.
            return Err(if response.status().is_server_error() {
                no_response(reason)
            } else {
                StoreError::Refused { peer, reason }
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| malformed(path, error))
    }
}

type BodyChunk = Result<bytes::Bytes, awc::error::PayloadError>;

impl ConfigurationStore for EtcdStore {
    async fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError> {
        let body =
            json!({"key": encode_base64(prefix), "range_end": encode_base64(prefix_end(prefix))});
        let response: WireRange = self.call("/v3/kv/range", &body).await?;
        let items = response.kvs.into_iter().map(WireKeyValue::into_key_value);
        Ok(RangeResponse {
            revision: response.header.revision.to_u64(),
            items: items.collect::<Result<_, _>>()?,
        })
    }

    async fn transact(
        &self,
        compares: &[Compare],
        writes: &[Write],
    ) -> Result<TransactionResult, StoreError> {
        let compare: Vec<_> = compares
            .iter()
            .map(|compare| {
                json!({
                    "key": encode_base64(&compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": compare.modified_revision.to_string(),
                })
            })
            .collect();
        let success: Vec<_> = writes.iter().map(wire_write).collect();
        let body = json!({"compare": compare, "success": success});
        let response: WireTransaction = self.call("/v3/kv/txn", &body).await?;
        let revision = response.header.revision.to_u64();
        Ok(if response.succeeded {
            TransactionResult::Committed { revision }
        } else {
            TransactionResult::Conflict
        })
    }

    async fn watch(&self, prefix: &str, from_revision: u64) -> Result<WatchStream, StoreError> {
        let body = json!({"create_request": {
            "key": encode_base64(prefix),
            "range_end": encode_base64(prefix_end(prefix)),
            "start_revision": from_revision.to_string(),
            "progress_notify": true,
        }});
        let (peer, response) = self.send("/v3/watch", &body).await?;
        if !response.status().is_success() {
            let reason = response.status().to_string();
            return Err(StoreError::Refused { peer, reason });
        }
        let reader = StreamReader::new(response.map_err(std::io::Error::other));
        let codec = LinesCodec::new_with_max_length(MAX_WATCH_LINE_BYTES);
        let lines = FramedRead::new(reader, codec);
        let events = lines
            .map(|line| match line {
                Ok(line) => parse_watch_line(&line),
                Err(error) => Err(malformed("watch", error)),
            })
            .flat_map(|parsed| {
                futures::stream::iter(match parsed {
                    Ok(events) => events.into_iter().map(Ok).collect(),
                    Err(error) => vec![Err(error)],
                })
            });
        Ok(Box::pin(with_end_as_error(Box::pin(events), peer)))
    }

    async fn grant_lease(&self, seconds: u64) -> Result<LeaseId, StoreError> {
        let body = json!({"TTL": seconds.to_string(), "ID": "0"});
        let response: WireLease = self.call("/v3/lease/grant", &body).await?;
        Ok(LeaseId(response.id.0))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let body = json!({"ID": lease.0.to_string()});
        let response: WireKeepAlive = self.call("/v3/lease/keepalive", &body).await?;
        Ok(response.result.ttl.0 > 0)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let body = json!({"ID": lease.0.to_string()});
        let _: serde_json::Value = self.call("/v3/lease/revoke", &body).await?;
        Ok(())
    }
}

fn wire_write(write: &Write) -> serde_json::Value {
    match write {
        Write::Put { key, value, lease } => json!({"request_put": {
            "key": encode_base64(key),
            "value": encode_base64(value),
            "lease": lease.map_or(0, |lease| lease.0).to_string(),
        }}),
        Write::Delete { key } => json!({"request_delete_range": {"key": encode_base64(key)}}),
    }
}

/// Parses one line of a watch stream. Its changes are grouped by revision.
fn parse_watch_line(line: &str) -> Result<Vec<WatchEvent>, StoreError> {
    let watch: WireWatch = serde_json::from_str(line).map_err(|error| malformed("watch", error))?;
    let result = watch.result;
    if result.compact_revision.0 > 0 {
        return Ok(vec![WatchEvent::Compacted]);
    }
    if result.canceled {
        return Err(malformed("watch", "cancelled by the store"));
    }
    if result.events.is_empty() {
        return Ok(vec![WatchEvent::Progress]);
    }
    let mut batches: Vec<WatchBatch> = Vec::new();
    for event in result.events {
        let revision = event.kv.mod_revision.to_u64();
        if batches.last().map(|batch| batch.revision) != Some(revision) {
            batches.push(WatchBatch { revision, puts: Vec::new(), deletes: Vec::new() });
        }
        if let Some(batch) = batches.last_mut() {
            add_event(batch, event)?;
        }
    }
    let header_revision = result.header.revision.to_u64();
    debug_assert!(batches.iter().all(|batch| batch.revision <= header_revision));
    Ok(batches.into_iter().map(WatchEvent::Batch).collect())
}

fn add_event(batch: &mut WatchBatch, event: WireEvent) -> Result<(), StoreError> {
    if event.event_type == "DELETE" {
        batch.deletes.push(event.kv.decode_key()?);
    } else {
        batch.puts.push(event.kv.into_key_value()?);
    }
    Ok(())
}

/// Appends an error to the events, so that a watch that the store closes ends with an error.
fn with_end_as_error(
    events: WatchStream,
    peer: String,
) -> impl Stream<Item = Result<WatchEvent, StoreError>> {
    let reason = "the watch stream was closed".to_owned();
    let end = async move { Err(StoreError::NoResponse { peer, reason }) };
    events.chain(futures::stream::once(end))
}
