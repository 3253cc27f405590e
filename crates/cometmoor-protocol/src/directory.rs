//! Response of the directory: the addresses that a client should connect to.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An address of the system with its share of a client's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct DirectoryAddress {
    /// Socket address, for example `10.0.0.7:8080`.
    pub address: String,
    /// Relative share of requests, at least 1.
    pub weight: u32,
}

/// Response to `GET /v1/directory`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct DirectoryAnswer {
    /// Addresses to use, in order of preference.
    pub addresses: Vec<DirectoryAddress>,
    /// Addresses to try, in order, if none of `addresses` can be reached.
    pub fallbacks: Vec<String>,
    /// Seconds for which clients may cache this response.
    pub lifetime_seconds: u64,
    /// Prefix for the `Idempotency-Key` of requests that must not be repeated. The client appends a
    /// part that is unique for each request. None while the responding node is shutting down: the
    /// client has to ask at another address.
    pub idempotency_key_prefix: Option<String>,
    /// Address of the node that runs requests with this prefix itself. Other nodes forward them to
    /// it.
    pub idempotency_address: String,
    /// Seconds after which keys with this prefix are refused.
    pub idempotency_key_lifetime_seconds: u64,
    /// Generation of the configuration that is in force at the responding node.
    pub generation: u64,
}
