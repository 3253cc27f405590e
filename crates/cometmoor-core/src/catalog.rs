//! Declared resources at one generation of the configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use cometmoor_protocol::engine::Artifact;
use cometmoor_protocol::resource::{
    AdapterSpec, EngineSpec, GroupSpec, Kind, ModelSpec, ModelVersionSpec, Object, Resource,
    ResourceKey, ServiceSpec,
};
use imbl::OrdMap;

/// Maximum number of names suggested for an unknown one.
const MAX_SUGGESTIONS: usize = 3;
/// Minimum Jaro-Winkler similarity, from 0 to 1, of a suggested name.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// A set of resources, kept in a persistent map: cloning takes constant time,
/// and a changed clone shares all but one path of the tree with the original.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    resources: OrdMap<ResourceKey, Arc<Resource>>,
}

/// The artifact that a caller's model name refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The artifact to answer with.
    pub artifact: Artifact,
    /// Whether an older version of the model may answer while this one is not
    /// ready on any engine. False if the caller named the version.
    pub any_version: bool,
}

macro_rules! typed_access {
    ($get:ident, $iterate:ident, $kind:ident, $spec:ty) => {
        #[doc = concat!("The ", stringify!($kind), " with this name.")]
        pub fn $get(&self, name: &str) -> Option<&Object<$spec>> {
            match self.get(&ResourceKey { kind: Kind::$kind, name: name.to_owned() }) {
                Some(Resource::$kind(object)) => Some(object),
                _ => None,
            }
        }

        #[doc = concat!("All resources of kind ", stringify!($kind), ", by name.")]
        pub fn $iterate(&self) -> impl Iterator<Item = &Object<$spec>> {
            self.of_kind(Kind::$kind).filter_map(|resource| match resource.as_ref() {
                Resource::$kind(object) => Some(object),
                _ => None,
            })
        }
    };
}

impl Catalog {
    typed_access!(model, models, Model, ModelSpec);
    typed_access!(model_version, model_versions, ModelVersion, ModelVersionSpec);
    typed_access!(adapter, adapters, Adapter, AdapterSpec);
    typed_access!(group, groups, Group, GroupSpec);
    typed_access!(engine, engines, Engine, EngineSpec);
    typed_access!(service, services, Service, ServiceSpec);

    /// Looks up a resource by kind and name.
    pub fn get(&self, key: &ResourceKey) -> Option<&Resource> {
        self.resources.get(key).map(Arc::as_ref)
    }

    /// All resources, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.resources.values()
    }

    /// All resources of one kind, by name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        let first = ResourceKey { kind, name: String::new() };
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, resource)| resource)
    }

    /// Number of resources.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Whether the catalog holds no resource.
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Adds or replaces a resource.
    pub fn insert(&mut self, resource: Arc<Resource>) {
        self.resources.insert(resource.key(), resource);
    }

    /// Removes a resource; does nothing if it does not exist.
    pub fn remove(&mut self, key: &ResourceKey) {
        self.resources.remove(key);
    }

    /// Resolves a model name as callers write it: a model, `model@version` or an
    /// adapter. None if it names nothing that is declared.
    pub fn resolve(&self, name: &str) -> Option<Resolved> {
        if let Some(model) = self.model(name) {
            let artifact = base_artifact(name, &model.spec.version);
            return Some(Resolved { artifact, any_version: true });
        }
        if let Some((model, version)) = name.split_once('@') {
            return self.resolve_version(model, version);
        }
        let adapter = self.adapter(name)?;
        let model = self.model(&adapter.spec.model)?;
        let mut artifact = base_artifact(&adapter.spec.model, &model.spec.version);
        artifact.adapter = Some(name.to_owned());
        Some(Resolved { artifact, any_version: true })
    }

    fn resolve_version(&self, model: &str, version: &str) -> Option<Resolved> {
        let is_current = self.model(model).is_some_and(|object| object.spec.version == version);
        if !is_current && !self.declares_version(model, version) {
            return None;
        }
        Some(Resolved { artifact: base_artifact(model, version), any_version: false })
    }

    /// Whether a `ModelVersion` resource declares this version of a model.
    pub fn declares_version(&self, model: &str, version: &str) -> bool {
        self.model_versions()
            .any(|object| object.spec.model == model && object.spec.version == version)
    }

    /// All names that callers may use as a model.
    pub fn callable_names(&self) -> BTreeSet<String> {
        let models = self.models().map(|model| model.metadata.name.clone());
        let adapters = self.adapters().map(|adapter| adapter.metadata.name.clone());
        let versions = self
            .model_versions()
            .map(|object| format!("{}@{}", object.spec.model, object.spec.version));
        models.chain(adapters).chain(versions).collect()
    }

    /// Up to three callable names that resemble an unknown one, best match first.
    pub fn similar_names(&self, unknown: &str) -> Vec<String> {
        let mut scored: Vec<(f64, String)> = self
            .callable_names()
            .into_iter()
            .map(|name| (strsim::jaro_winkler(&name, unknown), name))
            .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
            .collect();
        scored.sort_by(|left, right| right.0.total_cmp(&left.0));
        scored.into_iter().take(MAX_SUGGESTIONS).map(|(_, name)| name).collect()
    }
}

impl FromIterator<Arc<Resource>> for Catalog {
    fn from_iter<Resources: IntoIterator<Item = Arc<Resource>>>(resources: Resources) -> Catalog {
        let mut catalog = Catalog::default();
        for resource in resources {
            catalog.insert(resource);
        }
        catalog
    }
}

/// Artifact of a model version without an adapter.
pub fn base_artifact(model: &str, version: &str) -> Artifact {
    Artifact { model: model.to_owned(), version: version.to_owned(), adapter: None }
}
