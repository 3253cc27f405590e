//! Reads and watches the configuration store on behalf of a zone.
//!
//! Only a few nodes of each zone, its relays, do so, which keeps the number of
//! store calls independent of the number of nodes; the other nodes pull from
//! peers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use cometmoor_core::configuration::{Applied, Change, Update};
use cometmoor_core::homes::{HomeCandidate, home_nodes};
use cometmoor_core::membership::{Member, MemberState};
use cometmoor_core::time::Timestamp;
use cometmoor_protocol::resource::{ConfigurationHead, Resource, STORED_FORMAT, StoredResource};
use futures::StreamExt;
use rand::Rng;
use spdlog::warn;

use super::configuration::{ApplyUpdate, ConfigurationActor, RecordStoreRead};
use crate::context::NodeContext;
use crate::settings::millis;
use crate::store::layout::Layout;
use crate::store::{ConfigurationStore, KeyValue, StoreError, WatchBatch, WatchEvent};
use crate::telemetry::log::Part;

/// Number of nodes per zone that read the store.
pub const RELAYS_PER_ZONE: usize = 2;
/// Key of the rendezvous hash that ranks the nodes of a zone as relays.
const RELAY_RANK_KEY: &str = "relay";
/// Number of reads of the head within `freshnessMillis`, the period for which a
/// read counts as current, while the watch delivers nothing.
const HEAD_READS_PER_FRESHNESS_PERIOD: u64 = 4;
/// How long a new node without known peers waits before it may become a relay.
const JOIN_WAIT: Duration = Duration::from_secs(2);
/// Minimum and maximum delay after a failed read, before jitter. The minimum is
/// also the interval at which a node checks whether it has become a relay.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// The configuration as read from the store.
#[derive(Clone, Debug)]
pub struct StoredConfiguration {
    /// The head; the default before the first change.
    pub head: ConfigurationHead,
    /// Revision at which the head was written; 0 before the first change.
    pub head_revision: u64,
    /// Revision of the store at which everything was read.
    pub read_revision: u64,
    /// All resources.
    pub resources: Vec<Arc<Resource>>,
}

/// Reads the entire configuration at one revision. Fails if a value cannot be
/// parsed or has a newer format.
pub async fn read_configuration(
    store: &impl ConfigurationStore,
    layout: &Layout,
) -> Result<StoredConfiguration, StoreError> {
    let response = store.range(&layout.configuration()).await?;
    let mut stored = StoredConfiguration {
        head: ConfigurationHead::default(),
        head_revision: 0,
        read_revision: response.revision,
        resources: Vec::new(),
    };
    for item in response.items {
        if item.key == layout.head() {
            stored.head = parse_head(&item)?;
            stored.head_revision = item.modified_revision;
        } else {
            stored.resources.push(Arc::new(parse_resource(&item)?));
        }
    }
    Ok(stored)
}

/// Reads only the head, with the revision at which it was written; the default
/// and 0 before the first change.
pub async fn read_head(
    store: &impl ConfigurationStore,
    layout: &Layout,
) -> Result<(ConfigurationHead, u64), StoreError> {
    let response = store.range(&layout.head()).await?;
    match response.items.first() {
        Some(item) => Ok((parse_head(item)?, item.modified_revision)),
        None => Ok((ConfigurationHead::default(), 0)),
    }
}

fn malformed(item: &KeyValue, error: serde_json::Error) -> StoreError {
    StoreError::Malformed { what: item.key.clone(), reason: error.to_string() }
}

/// The format of a stored value. It is parsed first, because a newer format may
/// have changed the other fields.
#[derive(serde::Deserialize)]
struct StoredFormat {
    format: u32,
}

fn check_format(item: &KeyValue) -> Result<(), StoreError> {
    let parsed: StoredFormat =
        serde_json::from_slice(&item.value).map_err(|error| malformed(item, error))?;
    if parsed.format > STORED_FORMAT {
        return Err(StoreError::NewerFormat { key: item.key.clone(), format: parsed.format });
    }
    Ok(())
}

fn parse_head(item: &KeyValue) -> Result<ConfigurationHead, StoreError> {
    check_format(item)?;
    serde_json::from_slice(&item.value).map_err(|error| malformed(item, error))
}

fn parse_resource(item: &KeyValue) -> Result<Resource, StoreError> {
    check_format(item)?;
    let stored: StoredResource =
        serde_json::from_slice(&item.value).map_err(|error| malformed(item, error))?;
    Ok(stored.resource)
}

/// Whether a node is one of the relays of its zone: the highest ranked of the
/// members that are alive or suspected.
pub fn is_relay(members: &[Member], own: &Member) -> bool {
    let candidates: Vec<HomeCandidate> = members
        .iter()
        .filter(|member| member.zone == own.zone)
        .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
        .map(HomeCandidate::from)
        .collect();
    let relays = home_nodes(RELAY_RANK_KEY, &candidates, RELAYS_PER_ZONE);
    relays.iter().any(|relay| relay.name == own.name)
}

/// Task that applies changes from the store while this node is a relay.
pub struct Relay<Store> {
    context: Arc<NodeContext>,
    store: Rc<Store>,
    layout: Layout,
    configuration: Addr<ConfigurationActor>,
}

impl<Store: ConfigurationStore> Relay<Store> {
    /// Creates the task; it reads through `store`.
    pub fn new(
        context: Arc<NodeContext>,
        store: Rc<Store>,
        configuration: Addr<ConfigurationActor>,
    ) -> Self {
        let layout = Layout::new(&context.settings.system);
        Relay { context, store, layout, configuration }
    }

    /// Runs until the process exits. Failed reads are retried with exponential
    /// backoff and jitter.
    pub async fn run(self) {
        let (min_delay, max_delay) = RETRY_DELAY;
        let mut delay = min_delay;
        loop {
            if !self.is_relay() {
                tokio::time::sleep(min_delay).await;
                continue;
            }
            match self.read_and_watch().await {
                Ok(()) => delay = min_delay,
                Err(error) => {
                    warn!("{} reading the configuration failed: {error}", Part::Store);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(delay.mul_f64(jitter)).await;
                    delay = (delay * 2).min(max_delay);
                }
            }
        }
    }

    fn is_relay(&self) -> bool {
        let members = self.context.published.load().members.clone();
        // A node that has just started would consider itself the only member of
        // its zone, so it first waits to learn of the others.
        let knows_others = members.len() > 1 || self.context.settings.seeds.is_empty();
        let join_period_over = self.context.clock.now().since(Timestamp::default()) > JOIN_WAIT;
        (knows_others || join_period_over)
            && members.first().is_some_and(|own| is_relay(&members, own))
    }

    /// Reads the configuration, then applies the changes from a watch. Returns if
    /// the watch is lost, changes were missed or this node is no longer a relay.
    async fn read_and_watch(&self) -> Result<(), StoreError> {
        let stored = read_configuration(&*self.store, &self.layout).await?;
        let from_revision = stored.read_revision + 1;
        let mut generation = stored.head.generation;
        self.record_store_read();
        self.apply(Update::Full { generation, resources: stored.resources }).await;
        let mut events = self.store.watch(&self.layout.configuration(), from_revision).await?;
        let interval =
            millis(self.context.settings.timing.freshness_millis / HEAD_READS_PER_FRESHNESS_PERIOD);
        while self.is_relay() {
            match tokio::time::timeout(interval, events.next()).await {
                Ok(Some(Ok(WatchEvent::Batch(batch)))) => {
                    self.record_store_read();
                    let Some(change) = self.parse_change(batch)? else {
                        continue;
                    };
                    let update = Update::Changes { base: generation, changes: vec![change] };
                    generation += 1;
                    if self.apply(update).await == Applied::Gap {
                        return Ok(());
                    }
                }
                Ok(Some(Ok(WatchEvent::Progress))) => {}
                Ok(Some(Ok(WatchEvent::Compacted)) | None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(error),
                // No event within the interval: reading the head shows whether the
                // watch has missed a change.
                Err(_) => {
                    let (head, _) = read_head(&*self.store, &self.layout).await?;
                    self.record_store_read();
                    if head.generation > generation {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// The change that a writer's transaction made; none if it only rewrote the
    /// head, which a writer does to resolve an unanswered transaction.
    fn parse_change(&self, batch: WatchBatch) -> Result<Option<Change>, StoreError> {
        let head_key = self.layout.head();
        let mut generation = None;
        let mut written = None;
        for item in &batch.puts {
            if item.key == head_key {
                generation = Some(parse_head(item)?.generation);
            } else {
                let resource = parse_resource(item)?;
                written = Some((resource.key(), Some(Arc::new(resource))));
            }
        }
        for key in &batch.deletes {
            written = self.layout.parse_resource(key).map(|key| (key, None));
        }
        Ok(generation.zip(written).map(|(generation, (key, resource))| Change {
            generation,
            key,
            resource,
        }))
    }

    fn record_store_read(&self) {
        self.configuration.do_send(RecordStoreRead(Duration::ZERO));
    }

    async fn apply(&self, update: Update) -> Applied {
        self.configuration.send(ApplyUpdate(update)).await.unwrap_or(Applied::NothingNew)
    }
}
