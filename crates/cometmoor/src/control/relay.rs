//! Reads and watches the configuration store on behalf of a zone.
//!
//! Only the first few nodes of each zone do it, so that the number of store
//! calls does not follow the number of nodes; the others learn from peers.

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

/// Nodes of each zone that read the store.
pub const RELAYS_PER_ZONE: usize = 2;
/// Key under which relays are ranked.
const RELAY_RANK_KEY: &str = "relay";
/// Reads of the head within the period for which a read counts as current.
const READS_PER_FRESHNESS: u64 = 4;
/// Time in which a new node waits to hear of others.
const JOIN_PERIOD: Duration = Duration::from_secs(2);
/// Shortest and longest pause after a failed read.
const RETRY_PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(3));

/// The configuration as the store holds it.
#[derive(Clone, Debug)]
pub struct StoredConfiguration {
    /// The head; its default before the first change.
    pub head: ConfigurationHead,
    /// Revision at which the head was written; 0 before the first change.
    pub head_revision: u64,
    /// Revision of the read.
    pub read_revision: u64,
    /// The resources.
    pub resources: Vec<Arc<Resource>>,
}

/// Reads the whole configuration at one revision.
pub async fn read_configuration(
    store: &impl ConfigurationStore,
    layout: &Layout,
) -> Result<StoredConfiguration, StoreError> {
    let answer = store.range(&layout.configuration()).await?;
    let mut stored = StoredConfiguration {
        head: ConfigurationHead::default(),
        head_revision: 0,
        read_revision: answer.revision,
        resources: Vec::new(),
    };
    for item in answer.items {
        if item.key == layout.head() {
            stored.head = parse_head(&item)?;
            stored.head_revision = item.modified_revision;
        } else {
            stored.resources.push(Arc::new(parse_resource(&item)?));
        }
    }
    Ok(stored)
}

/// Reads the head alone, with the revision at which it was written.
pub async fn read_head(
    store: &impl ConfigurationStore,
    layout: &Layout,
) -> Result<(ConfigurationHead, u64), StoreError> {
    let answer = store.range(&layout.head()).await?;
    match answer.items.first() {
        Some(item) => Ok((parse_head(item)?, item.modified_revision)),
        None => Ok((ConfigurationHead::default(), 0)),
    }
}

fn malformed(item: &KeyValue, error: serde_json::Error) -> StoreError {
    StoreError::Malformed { what: item.key.clone(), reason: error.to_string() }
}

/// Formats are checked before the rest, which a newer one may have changed.
#[derive(serde::Deserialize)]
struct FormatOnly {
    format: u32,
}

fn check_format(item: &KeyValue) -> Result<(), StoreError> {
    let parsed: FormatOnly =
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

/// Whether a node is one of its zone's relays.
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

/// Keeps the configuration up to date from the store while this node is a
/// relay.
pub struct Relay<Store> {
    context: Arc<NodeContext>,
    store: Rc<Store>,
    layout: Layout,
    configuration: Addr<ConfigurationActor>,
}

impl<Store: ConfigurationStore> Relay<Store> {
    /// A relay that reads through `store`.
    pub fn new(
        context: Arc<NodeContext>,
        store: Rc<Store>,
        configuration: Addr<ConfigurationActor>,
    ) -> Self {
        let layout = Layout::new(&context.settings.system);
        Relay { context, store, layout, configuration }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        let (shortest, longest) = RETRY_PAUSE;
        let mut pause = shortest;
        loop {
            if !self.is_relay() {
                tokio::time::sleep(shortest).await;
                continue;
            }
            match self.read_and_watch().await {
                Ok(()) => pause = shortest,
                Err(error) => {
                    warn!("{} reading the configuration failed: {error}", Part::Store);
                    let jitter = rand::rng().random_range(0.5..1.0);
                    tokio::time::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    fn is_relay(&self) -> bool {
        let members = self.context.published.load().members.clone();
        // A node that has just started would take itself for its zone's only
        // member: it listens for the others first.
        let knows_others = members.len() > 1 || self.context.settings.seeds.is_empty();
        let waited = self.context.clock.now().since(Timestamp::default()) > JOIN_PERIOD;
        (knows_others || waited) && members.first().is_some_and(|own| is_relay(&members, own))
    }

    /// Reads everything, then follows the changes until the watch is lost or
    /// this node is no relay any more.
    async fn read_and_watch(&self) -> Result<(), StoreError> {
        let stored = read_configuration(&*self.store, &self.layout).await?;
        let from_revision = stored.read_revision + 1;
        let mut generation = stored.head.generation;
        self.note_read();
        self.offer(Update::Full { generation, resources: stored.resources }).await;
        let mut events = self.store.watch(&self.layout.configuration(), from_revision).await?;
        let interval = millis(self.context.settings.timing.freshness_millis / READS_PER_FRESHNESS);
        while self.is_relay() {
            match tokio::time::timeout(interval, events.next()).await {
                Ok(Some(Ok(WatchEvent::Batch(batch)))) => {
                    self.note_read();
                    let Some(change) = self.change_of(batch)? else {
                        continue;
                    };
                    let update = Update::Changes { base: generation, changes: vec![change] };
                    generation += 1;
                    if self.offer(update).await == Applied::Gap {
                        return Ok(());
                    }
                }
                Ok(Some(Ok(WatchEvent::Progress))) => {}
                Ok(Some(Ok(WatchEvent::Compacted)) | None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(error),
                // The watch is silent: the head proves that it missed nothing.
                Err(_) => {
                    let (head, _) = read_head(&*self.store, &self.layout).await?;
                    self.note_read();
                    if head.generation > generation {
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    }

    /// The change that a transaction of a writer made; none where it only
    /// rewrote the head.
    fn change_of(&self, batch: WatchBatch) -> Result<Option<Change>, StoreError> {
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

    fn note_read(&self) {
        self.configuration.do_send(RecordStoreRead(Duration::ZERO));
    }

    async fn offer(&self, update: Update) -> Applied {
        self.configuration.send(ApplyUpdate(update)).await.unwrap_or(Applied::NothingNew)
    }
}
