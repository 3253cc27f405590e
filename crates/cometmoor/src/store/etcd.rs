//! The store over the JSON gateway of the etcd v3 API.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Longest line of a watch, in bytes.
const MAX_WATCH_LINE_BYTES: usize = 4 << 20;

/// A client for one thread.
#[derive(Clone)]
pub struct EtcdStore {
    shared: Rc<Shared>,
}

struct Shared {
    client: awc::Client,
    addresses: Vec<SocketAddr>,
    preferred: Cell<usize>,
    timeout: Duration,
    rate_limiter: CallRateLimiter,
    metrics: Arc<Metrics>,
}

/// Integers of 64 bits are strings in the gateway's JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(from = "NumberOrText")]
struct Long(i64);

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText {
    Number(i64),
    Text(String),
}

impl From<NumberOrText> for Long {
    fn from(value: NumberOrText) -> Long {
        match value {
            NumberOrText::Number(number) => Long(number),
            NumberOrText::Text(text) => Long(text.parse().unwrap_or_default()),
        }
    }
}

impl Long {
    fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or_default()
    }
}

#[derive(Default, Deserialize)]
struct Header {
    #[serde(default)]
    revision: Long,
}

#[derive(Deserialize)]
struct WireKeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: Long,
    #[serde(default)]
    create_revision: Long,
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
    id: Long,
}

#[derive(Deserialize)]
struct WireKeepAlive {
    result: WireLifetime,
}

#[derive(Deserialize)]
struct WireLifetime {
    #[serde(rename = "TTL", default)]
    ttl: Long,
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
    compact_revision: Long,
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

fn decode(text: &str, what: &str) -> Result<Vec<u8>, StoreError> {
    BASE64.decode(text).map_err(|error| malformed(what, error))
}

impl WireKeyValue {
    fn decode_key(&self) -> Result<String, StoreError> {
        let bytes = decode(&self.key, "key")?;
        String::from_utf8(bytes).map_err(|error| malformed("key", error))
    }

    fn into_key_value(self) -> Result<KeyValue, StoreError> {
        let key = self.decode_key()?;
        Ok(KeyValue {
            value: decode(&self.value, &key)?,
            key,
            modified_revision: self.mod_revision.unsigned(),
            created_revision: self.create_revision.unsigned(),
        })
    }
}

/// The first key after all keys with a prefix.
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

fn encode(bytes: impl AsRef<[u8]>) -> String {
    BASE64.encode(bytes)
}

impl EtcdStore {
    /// A client that connects when it is first used.
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
                preferred: Cell::new(0),
                timeout,
                rate_limiter: CallRateLimiter::new(settings.calls_per_second),
                metrics,
            }),
        }
    }

    fn record(&self, path: &str, succeeded: bool) {
        let result = if succeeded { "ok" } else { "failed" };
        let labels = StoreCallLabels { call: path.to_owned(), result };
        self.shared.metrics.store_calls.get_or_create(&labels).inc();
    }

    /// Sends a call to the preferred address, and to the others in turn while
    /// no connection is made. Once a call is sent it is not sent again.
    async fn send(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<
        (String, awc::ClientResponse<impl Stream<Item = ReadResult> + Unpin + use<>>),
        StoreError,
    > {
        if self.shared.rate_limiter.try_acquire().is_err() {
            return Err(StoreError::RateLimited);
        }
        let shared = &self.shared;
        let mut unreachable = None;
        for offset in 0..shared.addresses.len() {
            let index = (shared.preferred.get() + offset) % shared.addresses.len();
            let peer = shared.addresses[index].to_string();
            let request = shared.client.post(format!("http://{peer}{path}")).send_json(body);
            match tokio::time::timeout(shared.timeout, request).await {
                Ok(Ok(response)) => {
                    self.record(path, response.status().is_success());
                    shared.preferred.set(index);
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

    async fn call<Answer: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Answer, StoreError> {
        let (peer, mut response) = self.send(path, body).await?;
        let read = response.body().limit(MAX_ANSWER_BYTES);
        let unanswered = |reason: String| StoreError::NoResponse { peer: peer.clone(), reason };
        let bytes = tokio::time::timeout(self.shared.timeout, read)
            .await
            .map_err(|_| unanswered("the answer was not complete in time".to_owned()))?
            .map_err(|error| unanswered(error.to_string()))?;
        if !response.status().is_success() {
            let reason = format!("{}: {}", response.status(), String::from_utf8_lossy(&bytes));
            // A server error tells nothing of what the call has done.
            return Err(if response.status().is_server_error() {
                unanswered(reason)
            } else {
                StoreError::Refused { peer, reason }
            });
        }
        serde_json::from_slice(&bytes).map_err(|error| malformed(path, error))
    }
}

type ReadResult = Result<bytes::Bytes, awc::error::PayloadError>;

impl ConfigurationStore for EtcdStore {
    async fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError> {
        let body = json!({"key": encode(prefix), "range_end": encode(prefix_end(prefix))});
        let answer: WireRange = self.call("/v3/kv/range", &body).await?;
        let items = answer.kvs.into_iter().map(WireKeyValue::into_key_value);
        Ok(RangeResponse {
            revision: answer.header.revision.unsigned(),
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
                    "key": encode(&compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": compare.modified_revision.to_string(),
                })
            })
            .collect();
        let success: Vec<_> = writes.iter().map(wire_write).collect();
        let body = json!({"compare": compare, "success": success});
        let answer: WireTransaction = self.call("/v3/kv/txn", &body).await?;
        let revision = answer.header.revision.unsigned();
        Ok(if answer.succeeded {
            TransactionResult::Committed { revision }
        } else {
            TransactionResult::Conflict
        })
    }

    async fn watch(&self, prefix: &str, from_revision: u64) -> Result<WatchStream, StoreError> {
        let body = json!({"create_request": {
            "key": encode(prefix),
            "range_end": encode(prefix_end(prefix)),
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
        let answer: WireLease = self.call("/v3/lease/grant", &body).await?;
        Ok(LeaseId(answer.id.0))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let body = json!({"ID": lease.0.to_string()});
        let answer: WireKeepAlive = self.call("/v3/lease/keepalive", &body).await?;
        Ok(answer.result.ttl.0 > 0)
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
            "key": encode(key),
            "value": encode(value),
            "lease": lease.map_or(0, |lease| lease.0).to_string(),
        }}),
        Write::Delete { key } => json!({"request_delete_range": {"key": encode(key)}}),
    }
}

/// Events of one line, grouped by the revision that wrote them.
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
        let revision = event.kv.mod_revision.unsigned();
        if batches.last().map(|batch| batch.revision) != Some(revision) {
            batches.push(WatchBatch { revision, puts: Vec::new(), deletes: Vec::new() });
        }
        if let Some(batch) = batches.last_mut() {
            add_event(batch, event)?;
        }
    }
    let header_revision = result.header.revision.unsigned();
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

/// Ends a watch with an error when the store closes it.
fn with_end_as_error(
    events: WatchStream,
    peer: String,
) -> impl Stream<Item = Result<WatchEvent, StoreError>> {
    let reason = "the watch ended".to_owned();
    let end = async move { Err(StoreError::NoResponse { peer, reason }) };
    events.chain(futures::stream::once(end))
}
