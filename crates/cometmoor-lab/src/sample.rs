//! Sample declarations for tests and the quickstart.

use std::net::SocketAddr;

use cometmoor_protocol::resource::{
    AdapterSpec, EngineSpec, GroupSpec, Metadata, ModelSpec, Object, RepeatableCall, Resource,
    ServiceSpec,
};
use sha2::{Digest, Sha256};

/// One gibibyte.
pub const GIB: u64 = 1 << 30;
/// Concurrency of the sample engines.
pub const ENGINE_CONCURRENCY: u32 = 32;

/// Metadata of a new resource.
pub fn named(name: &str) -> Metadata {
    Metadata { name: name.to_owned(), ..Metadata::default() }
}

/// SHA-256 of a key as the settings and groups want it.
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// A model with one replica of `gib` gibibytes.
pub fn model(name: &str, version: &str, gib: u64, replicas: u32) -> Resource {
    Resource::Model(Object {
        metadata: named(name),
        spec: ModelSpec {
            version: version.to_owned(),
            weights_bytes: gib * GIB,
            cache_bytes: 0,
            min_replicas: replicas,
            first_token_target_millis: 840,
            per_token_target_millis: 26,
        },
    })
}

/// An adapter of a model.
pub fn adapter(name: &str, model: &str, bytes: u64) -> Resource {
    let spec = AdapterSpec { model: model.to_owned(), bytes };
    Resource::Adapter(Object { metadata: named(name), spec })
}

/// A group with one key.
pub fn group(name: &str, entitlement: u32, key: &str) -> Resource {
    let spec = GroupSpec { entitlement, priority: 1, key_hashes: vec![key_hash(key)] };
    Resource::Group(Object { metadata: named(name), spec })
}

/// An engine of `gib` gibibytes.
pub fn engine(
    name: &str,
    address: SocketAddr,
    zone: &str,
    gib: u64,
    checks_fences: bool,
) -> Resource {
    Resource::Engine(Object {
        metadata: named(name),
        spec: EngineSpec {
            address: address.to_string(),
            zone: zone.to_owned(),
            pool: "default".to_owned(),
            memory_bytes: gib * GIB,
            cache_floor_bytes: 0,
            accelerators: 1,
            max_concurrent_requests: ENGINE_CONCURRENCY,
            checks_fences,
        },
    })
}

/// A fenced engine that takes many requests at the same time.
pub fn engine_for(name: &str, address: SocketAddr, concurrency: u32) -> Resource {
    let mut resource = engine(name, address, "z1", 16, true);
    if let Resource::Engine(object) = &mut resource {
        object.spec.max_concurrent_requests = concurrency;
    }
    resource
}

/// A plain service whose GET calls may be repeated.
pub fn service(name: &str, address: SocketAddr) -> Resource {
    let repeatable = vec![RepeatableCall { method: "GET".to_owned(), path_prefix: "/".to_owned() }];
    let spec =
        ServiceSpec { addresses: vec![address.to_string()], repeatable, timeout_millis: 3_000 };
    Resource::Service(Object { metadata: named(name), spec })
}
