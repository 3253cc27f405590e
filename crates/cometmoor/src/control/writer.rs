//! Writes one accepted change to the configuration store.
//!
//! Every change rewrites the head in the same transaction, on the condition
//! that nobody else has, and is checked against exactly the configuration that
//! this head stands for. So racing operators cannot together declare what each
//! could declare alone. A change carries an identifier that stays in the head
//! for a while, so that a lost answer can be cleared up by reading.

use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::catalog::Catalog;
use cometmoor_core::validation::{Rejection, check_delete, check_put};
use cometmoor_protocol::resource::{
    ConfigurationHead, RecentChange, Resource, ResourceKey, STORED_FORMAT, StoredResource,
};
use rand::Rng;

use super::relay::{read_configuration, read_head};
use crate::store::layout::Layout;
use crate::store::{Compare, ConfigurationStore, StoreError, TransactionResult, Write};

/// Changes that the head remembers. Relays read the head every few seconds, so
/// its size counts.
pub const RECENT_CHANGES: usize = 64;
/// Attempts at a change while other writers are faster.
const ATTEMPTS: u32 = 8;
/// Longest pause before a further attempt.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(50);
/// Attempts at clearing up what became of a change.
const SETTLE_ATTEMPTS: u32 = 3;

/// What is to be changed.
#[derive(Clone, Debug)]
pub enum ChangeRequest {
    /// Creates a resource; it must not exist.
    Create(Resource),
    /// Replaces a resource, or creates it. A `resourceVersion` in it must be
    /// the current one.
    Apply(Resource),
    /// Deletes a resource, at the given `resourceVersion` where it is not 0.
    Delete {
        /// The resource.
        key: ResourceKey,
        /// Expected version.
        resource_version: u64,
    },
}

impl ChangeRequest {
    /// The resource that the change is about.
    pub fn key(&self) -> ResourceKey {
        match self {
            ChangeRequest::Create(resource) | ChangeRequest::Apply(resource) => resource.key(),
            ChangeRequest::Delete { key, .. } => key.clone(),
        }
    }
}

/// A change that is in the store, or would be.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Generation of the configuration with the change.
    pub generation: u64,
    /// The resource as written; none when it was deleted.
    pub resource: Option<Resource>,
}

/// Why a change was not made, or is not known to be.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteError {
    /// The resource is not there.
    NotFound,
    /// The resource exists already.
    AlreadyExists,
    /// The resource was changed since the version that the writer has seen.
    OutdatedVersion {
        /// Version that the writer has seen.
        seen: u64,
        /// Current version.
        current: u64,
    },
    /// The change does not pass the checks.
    Rejected(Vec<Rejection>),
    /// Other writers were faster, too often.
    Contended,
    /// The store has lost generations that are in force. A change made on top of what it holds
    /// would come into force nowhere.
    StoreLostGenerations {
        /// Generation that the store holds.
        stored: u64,
        /// Generation in force at this node.
        in_force: u64,
    },
    /// The change was not made.
    Store(StoreError),
    /// The change may have been made; ask about its identifier.
    Unknown {
        /// Identifier of the change.
        change_id: String,
        /// What happened.
        source: StoreError,
    },
}

/// A configuration that this node has in force.
#[derive(Clone, Debug)]
pub struct KnownConfiguration {
    /// Its generation.
    pub generation: u64,
    /// Its resources.
    pub catalog: Arc<Catalog>,
}

/// What a change is checked against and written on top of.
struct Basis {
    head: ConfigurationHead,
    head_revision: u64,
    catalog: Arc<Catalog>,
}

/// Reads what a change is to be based on. The resources are read only if the
/// node does not have them in force already, because they are large.
async fn read_basis(
    store: &impl ConfigurationStore,
    layout: &Layout,
    known: &KnownConfiguration,
) -> Result<Basis, WriteError> {
    let (head, head_revision) = read_head(store, layout).await.map_err(WriteError::Store)?;
    let (stored, in_force) = (head.generation, known.generation);
    if stored < in_force {
        return Err(WriteError::StoreLostGenerations { stored, in_force });
    }
    if head.generation == known.generation {
        return Ok(Basis { head, head_revision, catalog: known.catalog.clone() });
    }
    let stored = read_configuration(store, layout).await.map_err(WriteError::Store)?;
    let catalog = Arc::new(stored.resources.into_iter().collect());
    Ok(Basis { head: stored.head, head_revision: stored.head_revision, catalog })
}

/// Makes a change, or with `dry_run` checks whether it could be made.
pub async fn write_change(
    store: &impl ConfigurationStore,
    layout: &Layout,
    known: &KnownConfiguration,
    change_id: &str,
    request: &ChangeRequest,
    dry_run: bool,
) -> Result<Accepted, WriteError> {
    for _ in 0..ATTEMPTS {
        let basis = read_basis(store, layout, known).await?;
        let prepared = prepare(&basis, request)?;
        if dry_run || prepared.unchanged {
            return Ok(prepared.accepted);
        }
        let (compares, writes) = transaction(layout, &basis, change_id, request, &prepared)?;
        match store.transact(&compares, &writes).await {
            Ok(TransactionResult::Committed { .. }) => return Ok(prepared.accepted),
            Ok(TransactionResult::Conflict) => pause().await,
            Err(source) if source.may_have_taken_effect() => {
                match settle(store, layout, change_id, &basis).await {
                    Settled::Made => return Ok(prepared.accepted),
                    Settled::NotMade => {}
                    Settled::Unknown => {
                        let change_id = change_id.to_owned();
                        return Err(WriteError::Unknown { change_id, source });
                    }
                }
            }
            Err(source) => return Err(WriteError::Store(source)),
        }
    }
    Err(WriteError::Contended)
}

async fn pause() {
    let millis = rand::rng().random_range(0..ATTEMPT_PAUSE.as_millis());
    tokio::time::sleep(Duration::from_millis(u64::try_from(millis).unwrap_or(0))).await;
}

/// A change that passed all checks.
struct Prepared {
    accepted: Accepted,
    unchanged: bool,
}

fn prepare(basis: &Basis, request: &ChangeRequest) -> Result<Prepared, WriteError> {
    let catalog = &basis.catalog;
    let generation = basis.head.generation + 1;
    let current = catalog.get(&request.key());
    match request {
        ChangeRequest::Create(_) if current.is_some() => Err(WriteError::AlreadyExists),
        ChangeRequest::Create(resource) | ChangeRequest::Apply(resource) => {
            prepare_put(catalog, current, resource, generation)
        }
        ChangeRequest::Delete { key, resource_version } => {
            let Some(current) = current else {
                return Err(WriteError::NotFound);
            };
            check_version(*resource_version, current)?;
            check_delete(catalog, key).map_err(WriteError::Rejected)?;
            let accepted = Accepted { generation, resource: None };
            Ok(Prepared { accepted, unchanged: false })
        }
    }
}

fn prepare_put(
    catalog: &Catalog,
    current: Option<&Resource>,
    resource: &Resource,
    generation: u64,
) -> Result<Prepared, WriteError> {
    if let Some(current) = current {
        check_version(resource.metadata().resource_version, current)?;
        if current.same_spec(resource) {
            let accepted = Accepted { generation: generation - 1, resource: Some(current.clone()) };
            return Ok(Prepared { accepted, unchanged: true });
        }
    } else if resource.metadata().resource_version != 0 {
        return Err(WriteError::NotFound);
    }
    check_put(catalog, resource).map_err(WriteError::Rejected)?;
    let mut written = resource.clone();
    let metadata = written.metadata_mut();
    metadata.resource_version = generation;
    metadata.generation = current.map_or(0, |current| current.metadata().generation) + 1;
    let accepted = Accepted { generation, resource: Some(written) };
    Ok(Prepared { accepted, unchanged: false })
}

fn check_version(seen: u64, current: &Resource) -> Result<(), WriteError> {
    let current = current.metadata().resource_version;
    if seen != 0 && seen != current {
        return Err(WriteError::OutdatedVersion { seen, current });
    }
    Ok(())
}

fn transaction(
    layout: &Layout,
    basis: &Basis,
    change_id: &str,
    request: &ChangeRequest,
    prepared: &Prepared,
) -> Result<(Vec<Compare>, Vec<Write>), WriteError> {
    let key = request.key();
    let mut head = basis.head.clone();
    head.format = STORED_FORMAT;
    head.generation = prepared.accepted.generation;
    head.recent_changes.push(RecentChange {
        change_id: change_id.to_owned(),
        generation: head.generation,
        key: key.clone(),
    });
    let excess = head.recent_changes.len().saturating_sub(RECENT_CHANGES);
    head.recent_changes.drain(..excess);
    let store_key = layout.resource(&key);
    let write = match &prepared.accepted.resource {
        Some(resource) => {
            let stored = StoredResource { format: STORED_FORMAT, resource: resource.clone() };
            Write::Put { key: store_key, value: encode(&stored)?, lease: None }
        }
        None => Write::Delete { key: store_key },
    };
    Ok((vec![head_unchanged(layout, basis)], vec![write, put_head(layout, &head)?]))
}

fn head_unchanged(layout: &Layout, basis: &Basis) -> Compare {
    Compare { key: layout.head(), modified_revision: basis.head_revision }
}

fn put_head(layout: &Layout, head: &ConfigurationHead) -> Result<Write, WriteError> {
    Ok(Write::Put { key: layout.head(), value: encode(head)?, lease: None })
}

fn encode(value: &impl serde::Serialize) -> Result<Vec<u8>, WriteError> {
    serde_json::to_vec(value).map_err(|error| {
        let reason = error.to_string();
        WriteError::Store(StoreError::Malformed { what: "value to write".to_owned(), reason })
    })
}

/// What became of a transaction whose answer was lost.
enum Settled {
    Made,
    NotMade,
    Unknown,
}

/// Clears up what became of a transaction whose answer was lost. While the
/// head is as it was, the transaction may still arrive; rewriting the head
/// makes its condition fail for ever.
async fn settle(
    store: &impl ConfigurationStore,
    layout: &Layout,
    change_id: &str,
    before: &Basis,
) -> Settled {
    for _ in 0..SETTLE_ATTEMPTS {
        pause().await;
        let Ok((head, revision)) = read_head(store, layout).await else {
            continue;
        };
        if head.recent_changes.iter().any(|change| change.change_id == change_id) {
            return Settled::Made;
        }
        if revision != before.head_revision {
            return Settled::NotMade;
        }
        let Ok(rewrite) = put_head(layout, &head) else {
            continue;
        };
        let compares = [head_unchanged(layout, before)];
        if let Ok(TransactionResult::Committed { .. }) = store.transact(&compares, &[rewrite]).await
        {
            return Settled::NotMade;
        }
    }
    Settled::Unknown
}

/// Looks a change up by its identifier.
pub async fn find_change(
    store: &impl ConfigurationStore,
    layout: &Layout,
    change_id: &str,
) -> Result<Option<RecentChange>, StoreError> {
    let (head, _) = read_head(store, layout).await?;
    Ok(head.recent_changes.into_iter().find(|change| change.change_id == change_id))
}
