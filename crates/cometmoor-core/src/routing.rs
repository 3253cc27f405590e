//! Which engines can answer a request, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cometmoor_protocol::engine::Artifact;
use rand_core::RngCore;

use crate::catalog::Resolved;
use crate::time::Timestamp;

/// An engine as requests see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRoute {
    /// Name of the engine.
    pub name: String,
    /// Socket address.
    pub address: String,
    /// Zone.
    pub zone: String,
    /// Incarnation at the newest report.
    pub incarnation: u64,
    /// Requests that this node may have running there.
    pub node_limit: u32,
    /// Requests that the engine generates at the same time.
    pub concurrency: u32,
    /// Requests running or waiting there, of all nodes, when it reported.
    pub reported_load: u32,
    /// When the report arrived.
    pub reported_at: Timestamp,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Artifacts that answer requests.
    pub ready: BTreeSet<Artifact>,
}

/// The routes of all artifacts; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    engines: BTreeMap<String, Arc<EngineRoute>>,
    by_artifact: HashMap<Artifact, Vec<String>>,
    versions: BTreeMap<String, BTreeSet<String>>,
}

impl RouteTable {
    /// A table of these engines. Leaving ones get no new requests.
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

    /// An engine by name.
    pub fn engine(&self, name: &str) -> Option<&Arc<EngineRoute>> {
        self.engines.get(name)
    }

    /// All engines by name.
    pub fn engines(&self) -> impl Iterator<Item = &Arc<EngineRoute>> {
        self.engines.values()
    }

    /// Number of engines that can answer with an artifact.
    pub fn ready_replicas(&self, artifact: &Artifact) -> usize {
        self.by_artifact.get(artifact).map_or(0, Vec::len)
    }

    /// The engines that can answer now, with the artifact that they answer
    /// with. Another version serves a model's name while the current one is
    /// not ready anywhere.
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

/// Time over which a load report loses most of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// What a node knows of a candidate when it chooses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateLoad {
    /// Requests of this node running there.
    pub own_in_flight: u32,
    /// Requests of other nodes running or waiting there, when it reported.
    pub others_reported: u32,
    /// Age of the report.
    pub report_age: Duration,
    /// Requests that the engine generates at the same time.
    pub concurrency: u32,
    /// Whether it is in this node's zone.
    pub same_zone: bool,
}

impl CandidateLoad {
    /// Expected requests per slot. Own requests count in full, those of other
    /// nodes less the older the report is.
    pub fn utilization(&self) -> f64 {
        let half_lives = self.report_age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        let others = f64::from(self.others_reported) * 0.5_f64.powf(half_lives);
        (f64::from(self.own_in_flight) + others) / f64::from(self.concurrency.max(1))
    }
}

/// A policy for choosing among engines that can all answer.
pub trait Selector {
    /// Index of the chosen candidate; none if there are no candidates.
    fn select(&self, candidates: &[CandidateLoad], random: &mut dyn RngCore) -> Option<usize>;
}

/// Takes the less loaded of two candidates drawn at random, so that nodes
/// which all see the same old report do not all choose the same engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

/// Utilization that an engine in another zone must be better by.
const ZONE_PENALTY: f64 = 0.05;

impl Selector for PowerOfTwoChoices {
    fn select(&self, candidates: &[CandidateLoad], random: &mut dyn RngCore) -> Option<usize> {
        let count = candidates.len();
        if count <= 1 {
            return count.checked_sub(1);
        }
        let first = draw(random, count);
        let second = (first + 1 + draw(random, count - 1)) % count;
        let better_second = cost(&candidates[second]) < cost(&candidates[first]);
        Some(if better_second { second } else { first })
    }
}

/// Takes the candidate with the least expected load. A baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Selector for LeastLoaded {
    fn select(&self, candidates: &[CandidateLoad], _random: &mut dyn RngCore) -> Option<usize> {
        let indices = 0..candidates.len();
        indices.min_by(|left, right| cost(&candidates[*left]).total_cmp(&cost(&candidates[*right])))
    }
}

fn cost(candidate: &CandidateLoad) -> f64 {
    let zone = if candidate.same_zone { 0.0 } else { ZONE_PENALTY };
    candidate.utilization() + zone
}

fn draw(random: &mut dyn RngCore, count: usize) -> usize {
    let range = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(random.next_u64() % range).unwrap_or(0)
}
