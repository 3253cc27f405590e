//! Validation of a change before it is written.
//!
//! The checks run on the catalog of the generation against which the write is
//! compared. Two concurrent changes that are valid alone but not together can
//! therefore not both be written.

use std::net::SocketAddr;

use cometmoor_protocol::resource::{
    AdapterSpec, EngineSpec, GroupSpec, ModelSpec, ModelVersionSpec, Resource, ResourceKey,
    ServiceSpec,
};

use crate::catalog::Catalog;
use crate::placement::{EngineCapacity, Requirement, Shortage, plan, requirements};

/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum number of replicas of one model version.
pub const MAX_REPLICAS: u32 = 256;
/// Number of hexadecimal digits of a SHA-256 hash.
const KEY_HASH_DIGITS: usize = 64;

/// Why a change is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// A field has an invalid value.
    InvalidField {
        /// Path of the field.
        field: &'static str,
        /// Why the value is invalid.
        problem: String,
    },
    /// A referenced resource does not exist.
    DanglingReference {
        /// Path of the field.
        field: &'static str,
        /// The missing resource, as kind and name.
        missing: String,
    },
    /// Callers already use the name for another model, version or adapter.
    NameTaken {
        /// The resource that has the name.
        by: String,
    },
    /// Other resources refer to the one to be deleted.
    StillReferenced {
        /// One of the referring resources.
        by: ResourceKey,
    },
    /// No engine is large enough for one replica.
    LargerThanAnyEngine {
        /// Memory that the replica needs, in bytes.
        needed_bytes: u64,
        /// Usable memory of the largest engine, in bytes.
        largest_engine_bytes: u64,
    },
    /// Not all declared replicas fit on the engines.
    DoesNotFit {
        /// Model version of the first replica that could not be placed.
        model: String,
        /// Memory that this replica needs, in bytes.
        needed_bytes: u64,
        /// Largest free memory of an engine, in bytes.
        largest_free_bytes: u64,
        /// Number of replicas that could not be placed.
        replicas_missing: usize,
    },
    /// There is no room for a new version beside the old one, which has to stay
    /// until the new one is ready.
    NoRoomForVersionChange {
        /// Memory that the new version needs, in bytes.
        needed_bytes: u64,
        /// Largest free memory of an engine beside the old version, in bytes.
        largest_free_bytes: u64,
    },
}

impl Rejection {
    /// Whether the change is well formed but the engines lack memory for it.
    pub fn is_infeasible(&self) -> bool {
        matches!(
            self,
            Rejection::LargerThanAnyEngine { .. }
                | Rejection::DoesNotFit { .. }
                | Rejection::NoRoomForVersionChange { .. }
        )
    }
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Rejection::InvalidField { field, problem } => write!(formatter, "{field}: {problem}"),
            Rejection::DanglingReference { field, missing } => {
                write!(formatter, "{field}: {missing} does not exist")
            }
            Rejection::NameTaken { by } => write!(formatter, "the name is taken by {by}"),
            Rejection::StillReferenced { by } => write!(formatter, "{by} refers to it"),
            Rejection::LargerThanAnyEngine { needed_bytes, largest_engine_bytes } => write!(
                formatter,
                "a replica needs {needed_bytes} bytes, the largest engine has {largest_engine_bytes}"
            ),
            Rejection::DoesNotFit { model, needed_bytes, largest_free_bytes, replicas_missing } => {
                write!(
                    formatter,
                    "{replicas_missing} replicas do not fit, among them {model} with {needed_bytes} \
                 bytes where {largest_free_bytes} are left"
                )
            }
            Rejection::NoRoomForVersionChange { needed_bytes, largest_free_bytes } => write!(
                formatter,
                "the new version needs {needed_bytes} bytes beside the old one where \
                 {largest_free_bytes} are left"
            ),
        }
    }
}

/// Checks that a resource may be created or replaced. Problems of its
/// fields are returned together; whether it fits on the engines is checked only
/// if there are none.
pub fn check_put(catalog: &Catalog, resource: &Resource) -> Result<(), Vec<Rejection>> {
    let mut rejections = check_name(&resource.metadata().name);
    rejections.extend(match resource {
        Resource::Model(object) => check_model(catalog, &object.metadata.name, &object.spec),
        Resource::ModelVersion(object) => {
            check_model_version(catalog, &object.metadata.name, &object.spec)
        }
        Resource::Adapter(object) => check_adapter(catalog, &object.metadata.name, &object.spec),
        Resource::Group(object) => check_group(&object.spec),
        Resource::Engine(object) => check_engine(catalog, &object.metadata.name, &object.spec),
        Resource::Service(object) => check_service(&object.spec),
    });
    if !rejections.is_empty() {
        return Err(rejections);
    }
    if let Some(current) = catalog.get(&resource.key()) {
        check_sizes_unchanged(current, resource)?;
    }
    let mut after = catalog.clone();
    after.insert(std::sync::Arc::new(resource.clone()));
    check_fit(&after)?;
    check_version_change(catalog, &after, resource)
}

/// Checks that a resource may be deleted: nothing refers to it, and the remaining
/// resources still fit.
pub fn check_delete(catalog: &Catalog, key: &ResourceKey) -> Result<(), Vec<Rejection>> {
    if let Some(by) = find_referrer(catalog, key) {
        return Err(vec![Rejection::StillReferenced { by }]);
    }
    let mut after = catalog.clone();
    after.remove(key);
    check_fit(&after)
}

fn check_name(name: &str) -> Vec<Rejection> {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    let first_allowed = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    if name.len() <= MAX_NAME_BYTES && first_allowed && name.bytes().all(allowed) {
        return Vec::new();
    }
    let problem = format!(
        "must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.', starting with a letter or digit"
    );
    vec![Rejection::InvalidField { field: "metadata.name", problem }]
}

fn check_version_label(label: &str) -> Vec<Rejection> {
    check_name(label)
        .into_iter()
        .map(|rejection| match rejection {
            Rejection::InvalidField { problem, .. } => {
                Rejection::InvalidField { field: "spec.version", problem }
            }
            other => other,
        })
        .collect()
}

fn check_replicas(replicas: u32) -> Option<Rejection> {
    let problem = format!("must be 1 to {MAX_REPLICAS}");
    let valid = (1..=MAX_REPLICAS).contains(&replicas);
    (!valid).then_some(Rejection::InvalidField { field: "spec.minReplicas", problem })
}

fn check_positive(field: &'static str, value: u64) -> Option<Rejection> {
    let problem = "must be above 0".to_owned();
    (value == 0).then_some(Rejection::InvalidField { field, problem })
}

fn check_address(field: &'static str, address: &str) -> Option<Rejection> {
    let problem = format!("{address:?} is not an IP number and a port");
    let valid = address.parse::<SocketAddr>().is_ok();
    (!valid).then_some(Rejection::InvalidField { field, problem })
}

fn check_model(catalog: &Catalog, name: &str, spec: &ModelSpec) -> Vec<Rejection> {
    let mut rejections = check_version_label(&spec.version);
    rejections.extend(check_positive("spec.weightsBytes", spec.weights_bytes));
    rejections.extend(check_replicas(spec.min_replicas));
    if catalog.adapter(name).is_some() {
        rejections.push(Rejection::NameTaken { by: format!("adapters/{name}") });
    }
    if catalog.declares_version(name, &spec.version) {
        let by = format!("the ModelVersion {name}@{}", spec.version);
        rejections.push(Rejection::NameTaken { by });
    }
    rejections
}

fn check_model_version(catalog: &Catalog, name: &str, spec: &ModelVersionSpec) -> Vec<Rejection> {
    let mut rejections = check_version_label(&spec.version);
    rejections.extend(check_positive("spec.weightsBytes", spec.weights_bytes));
    rejections.extend(check_replicas(spec.min_replicas));
    match catalog.model(&spec.model) {
        None => rejections.push(missing_model(&spec.model)),
        Some(model) if model.spec.version == spec.version => {
            let by = format!("models/{}, whose current version it is", spec.model);
            rejections.push(Rejection::NameTaken { by });
        }
        Some(_) => {}
    }
    let duplicate = catalog.model_versions().find(|other| {
        other.metadata.name != name
            && other.spec.model == spec.model
            && other.spec.version == spec.version
    });
    if let Some(duplicate) = duplicate {
        let by = format!("modelversions/{}", duplicate.metadata.name);
        rejections.push(Rejection::NameTaken { by });
    }
    rejections
}

fn missing_model(model: &str) -> Rejection {
    Rejection::DanglingReference { field: "spec.model", missing: format!("models/{model}") }
}

fn check_adapter(catalog: &Catalog, name: &str, spec: &AdapterSpec) -> Vec<Rejection> {
    let mut rejections = Vec::new();
    rejections.extend(check_positive("spec.bytes", spec.bytes));
    if catalog.model(&spec.model).is_none() {
        rejections.push(missing_model(&spec.model));
    }
    if catalog.model(name).is_some() {
        rejections.push(Rejection::NameTaken { by: format!("models/{name}") });
    }
    rejections
}

/// Checks that sizes are unchanged. A resident artifact has the size with which it
/// was loaded, so a different size needs a new version or a new adapter.
fn check_sizes_unchanged(before: &Resource, after: &Resource) -> Result<(), Vec<Rejection>> {
    let field = match (before, after) {
        (Resource::Model(old), Resource::Model(new)) => {
            let sizes = |spec: &ModelSpec| (spec.weights_bytes, spec.cache_bytes);
            let same_version = old.spec.version == new.spec.version;
            (same_version && sizes(&old.spec) != sizes(&new.spec)).then_some("spec.weightsBytes")
        }
        (Resource::ModelVersion(old), Resource::ModelVersion(new)) => {
            let same_version = old.spec.version == new.spec.version;
            let same_size = old.spec.weights_bytes == new.spec.weights_bytes;
            (same_version && !same_size).then_some("spec.weightsBytes")
        }
        (Resource::Adapter(old), Resource::Adapter(new)) => {
            (old.spec.bytes != new.spec.bytes).then_some("spec.bytes")
        }
        _ => None,
    };
    match field {
        None => Ok(()),
        Some(field) => {
            let problem = "cannot change under the same version or name".to_owned();
            Err(vec![Rejection::InvalidField { field, problem }])
        }
    }
}

fn check_group(spec: &GroupSpec) -> Vec<Rejection> {
    let mut rejections = Vec::new();
    rejections.extend(check_positive("spec.entitlement", u64::from(spec.entitlement)));
    let is_hash = |hash: &String| {
        hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    if !spec.key_hashes.iter().all(is_hash) {
        let problem = "must each be 64 hexadecimal digits".to_owned();
        rejections.push(Rejection::InvalidField { field: "spec.keyHashes", problem });
    }
    rejections
}

fn check_engine(catalog: &Catalog, name: &str, spec: &EngineSpec) -> Vec<Rejection> {
    let mut rejections = Vec::new();
    rejections.extend(check_address("spec.address", &spec.address));
    rejections.extend(check_positive("spec.accelerators", u64::from(spec.accelerators)));
    let concurrency = u64::from(spec.max_concurrent_requests);
    rejections.extend(check_positive("spec.maxConcurrentRequests", concurrency));
    if spec.cache_floor_bytes >= spec.memory_bytes {
        let problem = "must be below spec.memoryBytes".to_owned();
        rejections.push(Rejection::InvalidField { field: "spec.cacheFloorBytes", problem });
    }
    let duplicate = catalog
        .engines()
        .find(|other| other.metadata.name != name && other.spec.address == spec.address);
    if let Some(duplicate) = duplicate {
        let problem = format!("is the address of engines/{}", duplicate.metadata.name);
        rejections.push(Rejection::InvalidField { field: "spec.address", problem });
    }
    rejections
}

fn check_service(spec: &ServiceSpec) -> Vec<Rejection> {
    let mut rejections = Vec::new();
    if spec.addresses.is_empty() {
        let problem = "must not be empty".to_owned();
        rejections.push(Rejection::InvalidField { field: "spec.addresses", problem });
    }
    for address in &spec.addresses {
        rejections.extend(check_address("spec.addresses", address));
    }
    rejections.extend(check_positive("spec.timeoutMillis", spec.timeout_millis));
    if !spec.repeatable.iter().all(|call| call.path_prefix.starts_with('/')) {
        let problem = "must start with a slash".to_owned();
        rejections.push(Rejection::InvalidField { field: "spec.repeatable.pathPrefix", problem });
    }
    rejections
}

fn find_referrer(catalog: &Catalog, key: &ResourceKey) -> Option<ResourceKey> {
    use cometmoor_protocol::resource::Kind;
    if key.kind != Kind::Model {
        return None;
    }
    let adapter = catalog.adapters().find(|adapter| adapter.spec.model == key.name);
    if let Some(adapter) = adapter {
        return Some(ResourceKey { kind: Kind::Adapter, name: adapter.metadata.name.clone() });
    }
    let version = catalog.model_versions().find(|version| version.spec.model == key.name);
    version.map(|version| ResourceKey {
        kind: Kind::ModelVersion,
        name: version.metadata.name.clone(),
    })
}

fn empty_engines(catalog: &Catalog) -> Vec<EngineCapacity> {
    catalog
        .engines()
        .map(|engine| EngineCapacity::empty(&engine.metadata.name, &engine.spec))
        .collect()
}

fn check_fit(catalog: &Catalog) -> Result<(), Vec<Rejection>> {
    let required = requirements(catalog);
    let engines = empty_engines(catalog);
    let largest = engines.iter().map(|engine| engine.usable_bytes).max().unwrap_or(0);
    let too_large: Vec<Rejection> = required
        .iter()
        .filter(|requirement| requirement.replica_bytes() > largest)
        .map(|requirement| Rejection::LargerThanAnyEngine {
            needed_bytes: requirement.replica_bytes(),
            largest_engine_bytes: largest,
        })
        .collect();
    if !too_large.is_empty() {
        return Err(too_large);
    }
    let shortages = plan(&required, &engines).shortages;
    match shortages.first() {
        None => Ok(()),
        Some(first) => Err(vec![does_not_fit(first, shortages.len())]),
    }
}

fn does_not_fit(shortage: &Shortage, replicas_missing: usize) -> Rejection {
    Rejection::DoesNotFit {
        model: shortage.base.to_string(),
        needed_bytes: shortage.needed_bytes,
        largest_free_bytes: shortage.largest_free_bytes,
        replicas_missing,
    }
}

/// Checks that a version change is possible. With a single replica, one replica of
/// the new version has to fit beside the old one.
fn check_version_change(
    before: &Catalog,
    after: &Catalog,
    resource: &Resource,
) -> Result<(), Vec<Rejection>> {
    let Resource::Model(new) = resource else {
        return Ok(());
    };
    let Some(old) = before.model(&new.metadata.name) else {
        return Ok(());
    };
    if old.spec.version == new.spec.version || old.spec.min_replicas > 1 {
        return Ok(());
    }
    let mut required: Vec<Requirement> = requirements(after);
    let old_requirements = requirements(before);
    required.extend(old_requirements.into_iter().filter(|requirement| {
        requirement.base.model == new.metadata.name && requirement.base.version == old.spec.version
    }));
    match plan(&required, &empty_engines(after)).shortages.first() {
        None => Ok(()),
        Some(shortage) => Err(vec![Rejection::NoRoomForVersionChange {
            needed_bytes: shortage.needed_bytes,
            largest_free_bytes: shortage.largest_free_bytes,
        }]),
    }
}
