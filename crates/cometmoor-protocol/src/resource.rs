//! The operators' resources: desired state, as written and as stored.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Identity and versions of a resource.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Metadata {
    /// Unique among the resources of one kind: `a-z`, `0-9`, `-` and `.`.
    pub name: String,
    /// Generation of the configuration at which the resource was last
    /// written. A replace that carries it is refused when it is outdated.
    #[serde(default)]
    pub resource_version: u64,
    /// Counts the changes of the spec.
    #[serde(default)]
    pub generation: u64,
}

/// A resource of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Object<Spec> {
    /// Identity and versions.
    pub metadata: Metadata,
    /// Desired state.
    pub spec: Spec,
}

/// A base model and the version of it that callers get by the model's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelSpec {
    /// Version served under the model's name.
    pub version: String,
    /// Memory of the weights, in bytes.
    pub weights_bytes: u64,
    /// Cache memory that a replica needs beside its weights, in bytes.
    #[serde(default)]
    pub cache_bytes: u64,
    /// Replicas to keep resident, at least 1.
    #[serde(default = "one")]
    pub min_replicas: u32,
    /// Target for the first token, in milliseconds.
    #[serde(default = "default_first_token_millis")]
    pub first_token_target_millis: u32,
    /// Target between tokens, in milliseconds.
    #[serde(default = "default_per_token_millis")]
    pub per_token_target_millis: u32,
}

/// A further version of a model, served beside the current one as
/// `model@version`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelVersionSpec {
    /// Name of the model.
    pub model: String,
    /// Version label.
    pub version: String,
    /// Memory of the weights, in bytes.
    pub weights_bytes: u64,
    /// Replicas to keep resident, at least 1.
    #[serde(default = "one")]
    pub min_replicas: u32,
}

/// An adapter of a model; callers use its name as a model name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct AdapterSpec {
    /// Name of the base model.
    pub model: String,
    /// Memory of the adapter, in bytes.
    pub bytes: u64,
}

/// A group of callers that share an entitlement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct GroupSpec {
    /// Share of the fleet relative to the other groups' numbers, at least 1.
    pub entitlement: u32,
    /// Lower numbers are served first within the engines.
    #[serde(default)]
    pub priority: u32,
    /// SHA-256 of each accepted bearer key, as 64 hexadecimal digits.
    pub key_hashes: Vec<String>,
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EngineSpec {
    /// Socket address, for example `10.0.1.4:9000`.
    pub address: String,
    /// Zone of the machine.
    pub zone: String,
    /// Pool that is planned together.
    #[serde(default = "default_pool")]
    pub pool: String,
    /// Memory of all its accelerators, in bytes.
    pub memory_bytes: u64,
    /// Memory that must stay free for the engine itself, in bytes.
    #[serde(default)]
    pub cache_floor_bytes: u64,
    /// Number of accelerators.
    #[serde(default = "one")]
    pub accelerators: u32,
    /// Requests that the engine generates at the same time.
    #[serde(default = "default_concurrency")]
    pub max_concurrent_requests: u32,
    /// Whether the engine refuses orders below its fence. False is safe.
    #[serde(default)]
    pub checks_fences: bool,
}

/// A call of a plain service that may be sent twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct RepeatableCall {
    /// HTTP method in capital letters.
    pub method: String,
    /// Start of the path, with its leading slash.
    pub path_prefix: String,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Socket addresses of its servers.
    pub addresses: Vec<String>,
    /// Calls that may be repeated; all others run at most once.
    #[serde(default)]
    pub repeatable: Vec<RepeatableCall>,
    /// Time a call may take, in milliseconds.
    #[serde(default = "default_service_timeout_millis")]
    pub timeout_millis: u64,
}

fn one() -> u32 {
    1
}

fn default_first_token_millis() -> u32 {
    840
}

fn default_per_token_millis() -> u32 {
    26
}

fn default_pool() -> String {
    "default".to_owned()
}

fn default_concurrency() -> u32 {
    64
}

fn default_service_timeout_millis() -> u64 {
    10_000
}

/// Kind of a resource.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub enum Kind {
    /// [`ModelSpec`]
    Model,
    /// [`ModelVersionSpec`]
    ModelVersion,
    /// [`AdapterSpec`]
    Adapter,
    /// [`GroupSpec`]
    Group,
    /// [`EngineSpec`]
    Engine,
    /// [`ServiceSpec`]
    Service,
}

impl Kind {
    /// All kinds, in the order in which they can be created.
    pub const ALL: [Kind; 6] =
        [Kind::Engine, Kind::Model, Kind::ModelVersion, Kind::Adapter, Kind::Group, Kind::Service];

    /// Name in URLs and on the command line, in the plural.
    pub fn plural(self) -> &'static str {
        match self {
            Kind::Model => "models",
            Kind::ModelVersion => "modelversions",
            Kind::Adapter => "adapters",
            Kind::Group => "groups",
            Kind::Engine => "engines",
            Kind::Service => "services",
        }
    }

    /// Parses the plural or singular name, ignoring case. None if there is no such kind.
    pub fn parse(text: &str) -> Option<Kind> {
        let lower = text.to_ascii_lowercase();
        Kind::ALL.into_iter().find(|kind| {
            lower == kind.plural() || Some(lower.as_str()) == kind.plural().strip_suffix('s')
        })
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Any resource, with its kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "kind")]
pub enum Resource {
    /// A base model.
    Model(Object<ModelSpec>),
    /// A further version of a model.
    ModelVersion(Object<ModelVersionSpec>),
    /// An adapter.
    Adapter(Object<AdapterSpec>),
    /// A group of callers.
    Group(Object<GroupSpec>),
    /// A model engine.
    Engine(Object<EngineSpec>),
    /// A plain service.
    Service(Object<ServiceSpec>),
}

impl Resource {
    /// Kind of the resource.
    pub fn kind(&self) -> Kind {
        match self {
            Resource::Model(_) => Kind::Model,
            Resource::ModelVersion(_) => Kind::ModelVersion,
            Resource::Adapter(_) => Kind::Adapter,
            Resource::Group(_) => Kind::Group,
            Resource::Engine(_) => Kind::Engine,
            Resource::Service(_) => Kind::Service,
        }
    }

    /// Identity and versions.
    pub fn metadata(&self) -> &Metadata {
        match self {
            Resource::Model(object) => &object.metadata,
            Resource::ModelVersion(object) => &object.metadata,
            Resource::Adapter(object) => &object.metadata,
            Resource::Group(object) => &object.metadata,
            Resource::Engine(object) => &object.metadata,
            Resource::Service(object) => &object.metadata,
        }
    }

    /// Mutable identity and versions.
    pub fn metadata_mut(&mut self) -> &mut Metadata {
        match self {
            Resource::Model(object) => &mut object.metadata,
            Resource::ModelVersion(object) => &mut object.metadata,
            Resource::Adapter(object) => &mut object.metadata,
            Resource::Group(object) => &mut object.metadata,
            Resource::Engine(object) => &mut object.metadata,
            Resource::Service(object) => &mut object.metadata,
        }
    }

    /// Kind and name.
    pub fn key(&self) -> ResourceKey {
        ResourceKey { kind: self.kind(), name: self.metadata().name.clone() }
    }

    /// Whether the desired state equals another resource's.
    pub fn same_spec(&self, other: &Resource) -> bool {
        match (self, other) {
            (Resource::Model(a), Resource::Model(b)) => a.spec == b.spec,
            (Resource::ModelVersion(a), Resource::ModelVersion(b)) => a.spec == b.spec,
            (Resource::Adapter(a), Resource::Adapter(b)) => a.spec == b.spec,
            (Resource::Group(a), Resource::Group(b)) => a.spec == b.spec,
            (Resource::Engine(a), Resource::Engine(b)) => a.spec == b.spec,
            (Resource::Service(a), Resource::Service(b)) => a.spec == b.spec,
            _ => false,
        }
    }
}

/// Kind and name of a resource.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct ResourceKey {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
}

impl std::fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}/{}", self.kind.plural(), self.name)
    }
}

/// A statement about the observed state of a resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct Condition {
    /// What the statement is about, for example `Reachable`.
    #[serde(rename = "type")]
    pub condition_type: String,
    /// Whether it holds.
    pub status: bool,
    /// One word in camel case.
    pub reason: String,
    /// One sentence with figures.
    pub message: String,
}

/// Observed state, worked out by the answering node and never stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    /// `metadata.generation` that the node has in force.
    pub observed_generation: u64,
    /// Statements about the resource.
    pub conditions: Vec<Condition>,
}

/// A resource with its status, as the resource API answers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ResourceView {
    /// The resource.
    #[serde(flatten)]
    pub resource: Resource,
    /// Observed state.
    pub status: Status,
}

/// Answer to a list, at one generation of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct ResourceList {
    /// Generation of the configuration; a watch may start from it.
    pub resource_version: u64,
    /// The resources.
    pub items: Vec<ResourceView>,
}

/// Format version of [`StoredResource`] and [`ConfigurationHead`] values that this build writes.
pub const STORED_FORMAT: u32 = 1;

/// A resource as kept in the configuration store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Format version of the value. Nodes refuse versions newer than they know.
    pub format: u32,
    /// The resource.
    pub resource: Resource,
}

/// Value of the store key that every configuration change rewrites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationHead {
    /// Format version of the value.
    pub format: u32,
    /// Number of changes made so far.
    pub generation: u64,
    /// Most recent changes, oldest first. A writer whose response was lost finds out from them
    /// whether its change was made.
    pub recent_changes: Vec<RecentChange>,
}

/// One of the newest changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct RecentChange {
    /// Identifier chosen by the writer.
    pub change_id: String,
    /// Generation that the change made.
    pub generation: u64,
    /// Resource that was written or deleted.
    pub key: ResourceKey,
}
