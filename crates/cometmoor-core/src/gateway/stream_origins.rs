//! Which software version began a stream that a client resumes after a broken attempt.
//!
//! The node that serves the first attempt records the version, and so do a few others, chosen by a
//! hash of the attempt's name, so that any node finds them. A version that no node has recorded is
//! not guessed: it is known only if the service has had a single one for as long as a client may
//! return to a stream.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::configuration::{GatewayConfiguration, RetryPolicy};
use super::registry::SoftwareHash;
use crate::time::BootInstant;

/// Number of nodes, besides the one that serves the stream, that record its origin.
pub const HOLDERS: usize = 3;
/// Number of nodes that are asked first for an origin: nodes may differ in the nodes that they
/// know.
pub const FIRST_ASKED: usize = HOLDERS + 1;
/// Number of nodes that are asked at all.
pub const MAX_ASKED: usize = 2 * FIRST_ASKED;
/// Shortest and longest time for which a client may return to a stream.
const RETURN_TIME: (Duration, Duration) = (Duration::from_secs(30), Duration::from_secs(3600));
/// Routes' timeouts for which a client may return: it makes several attempts within its own
/// deadline.
const TIMEOUTS_UNTIL_RETURN: u32 = 2;
/// Largest number of origins that a node keeps, of about 100 bytes each.
const MAX_ORIGINS: usize = 50_000;

/// Identifies a stream by the name of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// The key of a tenant's stream. Another tenant that names the same attempt has another key.
    pub fn of(attempt: &str, tenant: Option<&str>) -> StreamKey {
        let mut hash = Xxh3::new();
        hash.update(attempt.as_bytes());
        if let Some(tenant) = tenant {
            hash.update(&[0]);
            hash.update(tenant.as_bytes());
        }
        StreamKey(hash.digest128())
    }

    /// The nodes that record the origin of the stream, the first of those that are asked for it.
    /// All nodes agree on their order.
    pub fn holders(self, nodes: impl Iterator<Item = SocketAddrV4>) -> Vec<SocketAddrV4> {
        let mut ranked: Vec<(u64, SocketAddrV4)> =
            nodes.map(|node| (self.rank_of(node), node)).collect();
        ranked.sort_unstable();
        ranked.truncate(MAX_ASKED);
        ranked.into_iter().map(|(_, node)| node).collect()
    }

    fn rank_of(self, node: SocketAddrV4) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(&self.0.to_le_bytes());
        hash.update(&node.ip().octets());
        hash.update(&node.port().to_le_bytes());
        hash.digest()
    }
}

/// Time for which a client may return to a stream, by the timeouts of the routes.
pub fn return_time(configuration: Option<&GatewayConfiguration>) -> Duration {
    let routes = configuration.into_iter().flat_map(GatewayConfiguration::routes);
    let resumable = routes.filter(|route| route.retry_policy == RetryPolicy::ResumableStream);
    let longest = resumable.map(|route| route.timeout).max().unwrap_or_default();
    longest.saturating_mul(TIMEOUTS_UNTIL_RETURN).clamp(RETURN_TIME.0, RETURN_TIME.1)
}

/// The origins of streams that a node has recorded.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_key: HashMap<StreamKey, (SoftwareHash, BootInstant)>,
    by_expiry: BTreeSet<(BootInstant, StreamKey)>,
}

impl StreamOrigins {
    /// Records an origin until it expires. The first one that was recorded for a stream stays; its
    /// lifetime is extended.
    pub fn record(&mut self, key: StreamKey, software: SoftwareHash, expires_at: BootInstant) {
        let known = self.by_key.get(&key).copied();
        let (software, expires_at) = match known {
            Some((first, until)) => (first, until.max(expires_at)),
            None => (software, expires_at),
        };
        if let Some((_, until)) = known {
            self.by_expiry.remove(&(until, key));
        }
        self.by_key.insert(key, (software, expires_at));
        self.by_expiry.insert((expires_at, key));
        while self.by_key.len() > MAX_ORIGINS {
            self.remove_first();
        }
    }

    /// The version that began a stream.
    pub fn get(&self, key: StreamKey, now: BootInstant) -> Option<SoftwareHash> {
        let (software, expires_at) = self.by_key.get(&key)?;
        (now < *expires_at).then_some(*software)
    }

    /// Removes the origins that have expired.
    pub fn expire(&mut self, now: BootInstant) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_first();
        }
    }

    /// All origins.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, SoftwareHash)> {
        self.by_key.iter().map(|(key, (software, _))| (*key, *software))
    }

    /// Number of origins.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.by_key.remove(&key);
        }
    }
}

/// Identifies a service in messages between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceHash(u64);

impl ServiceHash {
    /// Hashes the name of a service.
    pub fn of(service: &str) -> ServiceHash {
        ServiceHash(xxhash_rust::xxh3::xxh3_64(service.as_bytes()))
    }
}

/// The software versions that services have had.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// When the history begins; `None` if nothing was before it.
    begins_at: Option<BootInstant>,
    /// When each version was last in the registry.
    last_seen: HashMap<ServiceHash, HashMap<SoftwareHash, BootInstant>>,
}

impl VersionHistory {
    /// An empty history that begins now, or with the fleet.
    pub fn new(begins_at: Option<BootInstant>) -> VersionHistory {
        VersionHistory { begins_at, last_seen: HashMap::new() }
    }

    /// Records the versions in the registry, and forgets those that were last there before the
    /// return time.
    pub fn record(
        &mut self,
        software: impl Iterator<Item = (ServiceHash, SoftwareHash)>,
        return_time: Duration,
        now: BootInstant,
    ) {
        for (service, version) in software {
            self.last_seen.entry(service).or_default().insert(version, now);
        }
        for versions in self.last_seen.values_mut() {
            versions.retain(|_, seen| now.since(*seen) <= return_time);
        }
        self.last_seen.retain(|_, versions| !versions.is_empty());
    }

    /// The version of all streams of a service to which a client may return; `None` if there may
    /// be several.
    pub fn only_version(
        &self,
        service: ServiceHash,
        return_time: Duration,
        now: BootInstant,
    ) -> Option<SoftwareHash> {
        let is_long_enough = self.begins_at.is_none_or(|begin| now.since(begin) >= return_time);
        self.recorded_version(service).filter(|_| is_long_enough)
    }

    /// The version of a service if the history, however short, holds no other.
    pub fn recorded_version(&self, service: ServiceHash) -> Option<SoftwareHash> {
        let versions = self.last_seen.get(&service)?;
        let mut versions = versions.keys();
        versions.next().copied().filter(|_| versions.next().is_none())
    }
}

/// What a node answers to a question for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version that it has recorded.
    pub recorded: Option<SoftwareHash>,
    /// The only version of the service, where it knows that there is one only.
    pub only_version: Option<SoftwareHash>,
}

/// A question for the origin of a stream to several nodes.
#[derive(Clone, Debug, Default)]
pub struct OriginQuery {
    unanswered: Vec<SocketAddrV4>,
    recorded: Option<SoftwareHash>,
    only_versions: Vec<SoftwareHash>,
}

impl OriginQuery {
    /// Records that nodes are asked.
    pub fn ask(&mut self, nodes: &[SocketAddrV4]) {
        self.unanswered.extend_from_slice(nodes);
    }

    /// Records an answer. One that comes through a relay is from a node that was not asked.
    pub fn answer(&mut self, from: SocketAddrV4, answer: OriginAnswer) {
        self.unanswered.retain(|node| *node != from);
        self.recorded = self.recorded.or(answer.recorded);
        self.only_versions.extend(answer.only_version);
    }

    /// Nodes that have not answered.
    pub fn unanswered(&self) -> &[SocketAddrV4] {
        &self.unanswered
    }

    /// The version that a node has recorded.
    pub fn recorded(&self) -> Option<SoftwareHash> {
        self.recorded
    }

    /// The only version of the service, if nodes know one and agree.
    pub fn only_version(&self) -> Option<SoftwareHash> {
        let (first, rest) = self.only_versions.split_first()?;
        rest.iter().all(|other| other == first).then_some(*first)
    }
}
