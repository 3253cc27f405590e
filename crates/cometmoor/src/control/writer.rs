//! Validates a change and writes it to the configuration store.
//!
//! Each transaction also rewrites the head, on the condition that the head has
//! not been modified since it was read, and the change is validated against
//! exactly the configuration of that head. So two concurrent changes that are
//! valid separately but not together cannot both be committed. The head keeps
//! the identifiers of recent changes, so that a writer whose transaction was not
//! answered can find out by reading whether it was committed.

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

/// Number of recent changes kept in the head. It is limited because relays read
/// the head every few seconds.
pub const RECENT_CHANGES: usize = 64;
/// Maximum number of attempts at a change that conflicts with other writers.
const MAX_ATTEMPTS: u32 = 8;
/// Upper bound of the random delay before a further attempt.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts to find out whether an unanswered transaction was
/// committed.
const MAX_RESOLVE_ATTEMPTS: u32 = 3;

/// A requested change of one resource.
#[derive(Clone, Debug)]
pub enum ChangeRequest {
    /// Creates a resource, which must not exist yet.
    Create(Resource),
    /// Replaces a resource, or creates it. Its `resourceVersion` must be the
    /// current one, unless it is 0.
    Apply(Resource),
    /// Deletes a resource, which must have the given `resourceVersion`, unless
    /// that is 0.
    Delete {
        /// Key of the resource.
        key: ResourceKey,
        /// Expected version; 0 for any.
        resource_version: u64,
    },
}

impl ChangeRequest {
    /// Key of the resource to be changed.
    pub fn key(&self) -> ResourceKey {
        match self {
            ChangeRequest::Create(resource) | ChangeRequest::Apply(resource) => resource.key(),
            ChangeRequest::Delete { key, .. } => key.clone(),
        }
    }
}

/// A change that was committed, or with a dry run passed validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Generation of the configuration that contains the change; the current one
    /// if the resource already had the requested spec.
    pub generation: u64,
    /// The resource as stored; none if it was deleted.
    pub resource: Option<Resource>,
}

/// Why a change was not made, or may not have been made.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteError {
    /// The resource does not exist.
    NotFound,
    /// The resource to be created already exists.
    AlreadyExists,
    /// The resource has been modified since the version that the writer has seen.
    OutdatedVersion {
        /// Version that the writer has last seen.
        seen: u64,
        /// Current version.
        current: u64,
    },
    /// The change failed validation.
    Rejected(Vec<Rejection>),
    /// All attempts conflicted with other writers.
    Contended,
    /// The store has lost generations that are in force. A change based on the older generation
    /// that it holds would not come into force on any node.
    StoreLostGenerations {
        /// Generation that the store holds.
        stored: u64,
        /// Generation in force at this node.
        in_force: u64,
    },
    /// A call to the store failed; the change was not made.
    Store(StoreError),
    /// The change may have been made; [`find_change`] with its identifier can
    /// tell.
    Unknown {
        /// Identifier of the change.
        change_id: String,
        /// The failure of the call.
        source: StoreError,
    },
}

/// The configuration in force at this node.
#[derive(Clone, Debug)]
pub struct KnownConfiguration {
    /// Generation of the configuration.
    pub generation: u64,
    /// All resources.
    pub catalog: Arc<Catalog>,
}

/// The configuration that a change is validated against and based on.
struct BaseConfiguration {
    head: ConfigurationHead,
    head_revision: u64,
    catalog: Arc<Catalog>,
}

/// Reads the configuration that a change is to be based on. The resources are
/// large, so they are read only if this node has another generation in force.
async fn read_base(
    store: &impl ConfigurationStore,
    layout: &Layout,
    known: &KnownConfiguration,
) -> Result<BaseConfiguration, WriteError> {
    let (head, head_revision) = read_head(store, layout).await.map_err(WriteError::Store)?;
    let (stored, in_force) = (head.generation, known.generation);
    if stored < in_force {
        return Err(WriteError::StoreLostGenerations { stored, in_force });
    }
    if head.generation == known.generation {
        return Ok(BaseConfiguration { head, head_revision, catalog: known.catalog.clone() });
    }
    let configuration = read_configuration(store, layout).await.map_err(WriteError::Store)?;
    let catalog = Arc::new(configuration.resources.into_iter().collect());
    Ok(BaseConfiguration {
        head: configuration.head,
        head_revision: configuration.head_revision,
        catalog,
    })
}

/// Validates and commits a change; with `dry_run`, only validates it. A change
/// to the spec that a resource already has is accepted without a write.
pub async fn write_change(
    store: &impl ConfigurationStore,
    layout: &Layout,
    known: &KnownConfiguration,
    change_id: &str,
    request: &ChangeRequest,
    dry_run: bool,
) -> Result<Accepted, WriteError> {
    for _ in 0..MAX_ATTEMPTS {
        let base = read_base(store, layout, known).await?;
        let validated = validate(&base, request)?;
        if dry_run || validated.unchanged {
            return Ok(validated.accepted);
        }
        let (compares, writes) = transaction(layout, &base, change_id, request, &validated)?;
        match store.transact(&compares, &writes).await {
            Ok(TransactionResult::Committed { .. }) => return Ok(validated.accepted),
            Ok(TransactionResult::Conflict) => random_delay().await,
            Err(source) if source.may_have_taken_effect() => {
                match resolve_transaction(store, layout, change_id, &base).await {
                    TransactionOutcome::Committed => return Ok(validated.accepted),
                    TransactionOutcome::NotCommitted => {}
                    TransactionOutcome::Unknown => {
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

async fn random_delay() {
    let millis = rand::rng().random_range(0..MAX_RETRY_DELAY.as_millis());
    tokio::time::sleep(Duration::from_millis(u64::try_from(millis).unwrap_or(0))).await;
}

/// A change that passed validation.
struct ValidatedChange {
    accepted: Accepted,
    /// Whether the resource already has the requested spec, so that nothing needs
    /// to be written.
    unchanged: bool,
}

fn validate(
    base: &BaseConfiguration,
    request: &ChangeRequest,
) -> Result<ValidatedChange, WriteError> {
    let catalog = &base.catalog;
    let generation = base.head.generation + 1;
    let current = catalog.get(&request.key());
    match request {
        ChangeRequest::Create(_) if current.is_some() => Err(WriteError::AlreadyExists),
        ChangeRequest::Create(resource) | ChangeRequest::Apply(resource) => {
            validate_put(catalog, current, resource, generation)
        }
        ChangeRequest::Delete { key, resource_version } => {
            let Some(current) = current else {
                return Err(WriteError::NotFound);
            };
            check_resource_version(*resource_version, current)?;
            check_delete(catalog, key).map_err(WriteError::Rejected)?;
            let accepted = Accepted { generation, resource: None };
            Ok(ValidatedChange { accepted, unchanged: false })
        }
    }
}

fn validate_put(
    catalog: &Catalog,
    current: Option<&Resource>,
    resource: &Resource,
    generation: u64,
) -> Result<ValidatedChange, WriteError> {
    if let Some(current) = current {
        check_resource_version(resource.metadata().resource_version, current)?;
        if current.same_spec(resource) {
            let accepted = Accepted { generation: generation - 1, resource: Some(current.clone()) };
            return Ok(ValidatedChange { accepted, unchanged: true });
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
    Ok(ValidatedChange { accepted, unchanged: false })
}

fn check_resource_version(seen: u64, current: &Resource) -> Result<(), WriteError> {
    let current = current.metadata().resource_version;
    if seen != 0 && seen != current {
        return Err(WriteError::OutdatedVersion { seen, current });
    }
    Ok(())
}

fn transaction(
    layout: &Layout,
    base: &BaseConfiguration,
    change_id: &str,
    request: &ChangeRequest,
    validated: &ValidatedChange,
) -> Result<(Vec<Compare>, Vec<Write>), WriteError> {
    let key = request.key();
    let mut head = base.head.clone();
    head.format = STORED_FORMAT;
    head.generation = validated.accepted.generation;
    head.recent_changes.push(RecentChange {
        change_id: change_id.to_owned(),
        generation: head.generation,
        key: key.clone(),
    });
    let excess = head.recent_changes.len().saturating_sub(RECENT_CHANGES);
    head.recent_changes.drain(..excess);
    let store_key = layout.resource(&key);
    let write = match &validated.accepted.resource {
        Some(resource) => {
            let stored = StoredResource { format: STORED_FORMAT, resource: resource.clone() };
            Write::Put { key: store_key, value: encode(&stored)?, lease: None }
        }
        None => Write::Delete { key: store_key },
    };
    Ok((vec![head_unmodified(layout, base)], vec![write, put_head(layout, &head)?]))
}

fn head_unmodified(layout: &Layout, base: &BaseConfiguration) -> Compare {
    Compare { key: layout.head(), modified_revision: base.head_revision }
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

/// Outcome of a transaction whose answer was lost or malformed.
enum TransactionOutcome {
    Committed,
    NotCommitted,
    Unknown,
}

/// Determines whether a transaction whose answer was lost or malformed was
/// committed. While the head is unmodified, the transaction may still be
/// committed later. Rewriting the head changes its revision, so that the
/// transaction's condition can never hold again.
async fn resolve_transaction(
    store: &impl ConfigurationStore,
    layout: &Layout,
    change_id: &str,
    before: &BaseConfiguration,
) -> TransactionOutcome {
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        random_delay().await;
        let Ok((head, revision)) = read_head(store, layout).await else {
            continue;
        };
        if head.recent_changes.iter().any(|change| change.change_id == change_id) {
            return TransactionOutcome::Committed;
        }
        if revision != before.head_revision {
            return TransactionOutcome::NotCommitted;
        }
        let Ok(rewrite) = put_head(layout, &head) else {
            continue;
        };
        let compares = [head_unmodified(layout, before)];
        if let Ok(TransactionResult::Committed { .. }) = store.transact(&compares, &[rewrite]).await
        {
            return TransactionOutcome::NotCommitted;
        }
    }
    TransactionOutcome::Unknown
}

/// Looks up a change by its identifier among the [`RECENT_CHANGES`] newest; none
/// if it is not among them.
pub async fn find_change(
    store: &impl ConfigurationStore,
    layout: &Layout,
    change_id: &str,
) -> Result<Option<RecentChange>, StoreError> {
    let (head, _) = read_head(store, layout).await?;
    Ok(head.recent_changes.into_iter().find(|change| change.change_id == change_id))
}
