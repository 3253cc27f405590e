//! The engines that can answer a request, and load balancing among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cometmoor_protocol::engine::Artifact;
use rand_core::RngCore;

use crate::catalog::Resolved;
use crate::time::Timestamp;

/// An engine as a target for requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRoute {
    /// Unique name of the engine.
    pub name: String,
    /// Socket address that requests are sent to.
    pub address: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Incarnation, from the latest report.
    pub incarnation: u64,
    /// Maximum number of requests that this node may have in flight there.
    pub node_limit: u32,
    /// Number of requests that the engine processes concurrently.
    pub concurrency: u32,
    /// Requests of all nodes that were running or waiting there at the latest report.
    pub reported_load: u32,
    /// When the latest report arrived.
    pub reported_at: Timestamp,
    /// Whether the engine is leaving and accepts no new requests.
    pub leaving: bool,
    /// Artifacts that are loaded and ready to answer requests.
    pub ready: BTreeSet<Artifact>,
}

/// The engines and the artifacts that they are ready to serve; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    engines: BTreeMap<String, Arc<EngineRoute>>,
    by_artifact: HashMap<Artifact, Vec<String>>,
    versions: BTreeMap<String, BTreeSet<String>>,
}

impl RouteTable {
    /// Builds a table of these engines. Engines that are leaving get no new requests.
    pub fn new(engines: impl IntoIterator<Item = EngineRoute>) -> RouteTable {
        let mut table = RouteTable::default();
        for engine in engines {
            if !engine.leaving {
                table.index(&engine);
            }
            table.engines.insert(engine.name.clone(), Arc::new(engine));
        }
        table
    }

    fn index(&mut self, engine: &EngineRoute) {
        for artifact in &engine.ready {
            let names = self.by_artifact.entry(artifact.clone()).or_default();
            names.push(engine.name.clone());
            let versions = self.versions.entry(artifact.model.clone()).or_default();
            versions.insert(artifact.version.clone());
        }
    }

    /// The engine with this name.
    pub fn engine(&self, name: &str) -> Option<&Arc<EngineRoute>> {
        self.engines.get(name)
    }

    /// All engines, ordered by name.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<EngineRoute>> {
        self.engines.values()
    }

    /// Number of engines that are ready to answer with an artifact.
    pub fn ready_replicas(&self, artifact: &Artifact) -> usize {
        self.by_artifact.get(artifact).map_or(0, Vec::len)
    }

    /// The engines that can answer now, and the artifact that they answer with. If the request
    /// allows any version and the current one is not ready on any engine, the ready version that
    /// sorts last is used.
    pub fn candidates(&self, resolved: &Resolved) -> (Artifact, Vec<&Arc<EngineRoute>>) {
        let current = self.ready_engines(&resolved.artifact);
        if !current.is_empty() || !resolved.any_version {
            return (resolved.artifact.clone(), current);
        }
        let versions = self.versions.get(&resolved.artifact.model);
        for version in versions.into_iter().flatten().rev() {
            let artifact = Artifact { version: version.clone(), ..resolved.artifact.clone() };
            let engines = self.ready_engines(&artifact);
            if !engines.is_empty() {
                return (artifact, engines);
            }
        }
        (resolved.artifact.clone(), Vec::new())
    }

    fn ready_engines(&self, artifact: &Artifact) -> Vec<&Arc<EngineRoute>> {
        let names = self.by_artifact.get(artifact).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.engines.get(name)).collect()
    }
}

/// Time after which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// What a node knows of the load of a candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateLoad {
    /// Requests of this node that are in flight there.
    pub own_in_flight: u32,
    /// Requests of other nodes that were running or waiting there at the latest report.
    pub others_reported: u32,
    /// Age of that report.
    pub report_age: Duration,
    /// Number of requests that the engine processes concurrently.
    pub concurrency: u32,
    /// Whether it is in this node's zone.
    pub same_zone: bool,
}

impl CandidateLoad {
    /// Expected requests per slot. The node's own requests count in full; those of other nodes
    /// count less the older the report is.
    pub fn utilization(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(self.others_reported) * 0.5_f64.powf(half_lives);
        (f64::from(self.own_in_flight) + others) / f64::from(self.concurrency.max(1))
    }
}

/// A load-balancing policy.
pub trait Selector {
    /// Index of the selected candidate; `None` if there are no candidates.
    fn select(&self, candidates: &[CandidateLoad], random: &mut dyn RngCore) -> Option<usize>;
}

/// Selects the less loaded of two random candidates, so that nodes that have the same stale
/// report do not all select the same engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

/// Utilization by which an engine in another zone has to be better to be selected.
const ZONE_PENALTY: f64 = 0.05;

impl Selector for PowerOfTwoChoices {
    fn select(&self, candidates: &[CandidateLoad], random: &mut dyn RngCore) -> Option<usize> {
        let count = candidates.len();
        if count <= 1 {
            return count.checked_sub(1);
        }
        let first = draw(random, count);
        let second = (first + 1 + draw(random, count - 1)) % count;
        let second_is_better = cost(&candidates[second]) < cost(&candidates[first]);
        Some(if second_is_better { second } else { first })
    }
}

/// Selects the candidate with the lowest expected load. Serves as a baseline for comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Selector for LeastLoaded {
    fn select(&self, candidates: &[CandidateLoad], _random: &mut dyn RngCore) -> Option<usize> {
        let indices = 0..candidates.len();
        indices.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
    }
}

fn cost(candidate: &CandidateLoad) -> f64 {
    let zone_penalty = if candidate.same_zone { 0.0 } else { ZONE_PENALTY };
    candidate.utilization() + zone_penalty
}

fn draw(random: &mut dyn RngCore, count: usize) -> usize {
    let range = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(random.next_u64() % range).unwrap_or(0)
}
