//! Observed state, worked out from what this node knows.

use cometmoor_core::catalog::base_artifact;
use cometmoor_core::membership::{Member, MemberState};
use cometmoor_core::routing::EngineRoute;
use cometmoor_protocol::engine::Artifact;
use cometmoor_protocol::resource::{
    Condition, EngineSpec, ModelSpec, Object, Resource, ResourceView, Status,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::context::NodeContext;
use crate::control::snapshot::Snapshot;

/// A resource with its status.
pub fn view(snapshot: &Snapshot, resource: &Resource) -> ResourceView {
    let status = Status {
        observed_generation: resource.metadata().generation,
        conditions: conditions(snapshot, resource),
    };
    ResourceView { resource: resource.clone(), status }
}

fn conditions(snapshot: &Snapshot, resource: &Resource) -> Vec<Condition> {
    match resource {
        Resource::Model(object) => model_conditions(snapshot, object),
        Resource::ModelVersion(object) => {
            let base = base_artifact(&object.spec.model, &object.spec.version);
            vec![reachable(snapshot, &base)]
        }
        Resource::Adapter(object) => {
            let Some(resolved) = snapshot.catalog.resolve(&object.metadata.name) else {
                return Vec::new();
            };
            vec![reachable(snapshot, &resolved.artifact)]
        }
        Resource::Engine(object) => vec![engine_condition(snapshot, object)],
        Resource::Group(_) | Resource::Service(_) => {
            vec![condition("Accepted", true, "InForce", "the configuration is in force".to_owned())]
        }
    }
}

fn condition(condition_type: &str, status: bool, reason: &str, message: String) -> Condition {
    Condition {
        condition_type: condition_type.to_owned(),
        status,
        reason: reason.to_owned(),
        message,
    }
}

fn model_conditions(snapshot: &Snapshot, object: &Object<ModelSpec>) -> Vec<Condition> {
    let base = base_artifact(&object.metadata.name, &object.spec.version);
    let ready = snapshot.routes.ready_replicas(&base);
    let wanted = object.spec.min_replicas as usize;
    let complete = ready >= wanted;
    let reason = if complete { "ReplicasReady" } else { "ReplicasMissing" };
    let message = format!("{ready} of {wanted} replicas of version {} are ready", base.version);
    let resolved = snapshot.catalog.resolve(&object.metadata.name);
    let answering = resolved.map_or(0, |resolved| snapshot.routes.candidates(&resolved).1.len());
    vec![reachable_by(answering), condition("Complete", complete, reason, message)]
}

fn reachable(snapshot: &Snapshot, artifact: &Artifact) -> Condition {
    reachable_by(snapshot.routes.ready_replicas(artifact))
}

fn reachable_by(engines: usize) -> Condition {
    let reason = if engines > 0 { "EngineReady" } else { "NoEngineReady" };
    condition("Reachable", engines > 0, reason, format!("{engines} engines can answer"))
}

fn engine_condition(snapshot: &Snapshot, object: &Object<EngineSpec>) -> Condition {
    match snapshot.routes.engine(&object.metadata.name) {
        None => condition("Ready", false, "NoReport", "the engine does not report".to_owned()),
        Some(route) if route.leaving => {
            condition("Ready", false, "Leaving", "the engine is leaving".to_owned())
        }
        Some(route) => {
            let message = format!(
                "{} artifacts are ready, {} requests run or wait",
                route.ready.len(),
                route.reported_load
            );
            condition("Ready", true, "Reporting", message)
        }
    }
}

/// State of a node, as `cometmoor status` shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Generation in force.
    pub generation: u64,
    /// Whether the configuration is current.
    pub freshness: String,
    /// Whether the node is on its way out.
    pub draining: bool,
    /// Requests in progress.
    pub in_progress: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// All known nodes.
    pub members: Vec<MemberStatus>,
    /// All engines that report.
    pub engines: Vec<EngineStatus>,
}

/// A node in [`NodeStatus`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// State.
    pub state: String,
    /// Where callers connect.
    pub client_address: String,
}

/// An engine in [`NodeStatus`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "camelCase")]
pub struct EngineStatus {
    /// Name.
    pub name: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests running or waiting there.
    pub load: u32,
    /// What it can answer with.
    pub ready: Vec<String>,
}

/// The state of this node.
pub fn node_status(node: &NodeContext) -> NodeStatus {
    let snapshot = node.published.load();
    NodeStatus {
        node: node.settings.node.clone(),
        incarnation: node.incarnation,
        generation: snapshot.generation,
        freshness: format!("{:?}", snapshot.freshness),
        draining: node.is_draining(),
        in_progress: node.in_progress(),
        waiting: node.dispatcher.waiting(),
        members: snapshot.members.iter().map(member_status).collect(),
        engines: snapshot.routes.engines().map(|route| engine_status(route)).collect(),
    }
}

fn member_status(member: &Member) -> MemberStatus {
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    };
    MemberStatus {
        name: member.name.clone(),
        zone: member.zone.clone(),
        state: state.to_owned(),
        client_address: member.client_address.clone(),
    }
}

fn engine_status(route: &EngineRoute) -> EngineStatus {
    EngineStatus {
        name: route.name.clone(),
        leaving: route.leaving,
        load: route.reported_load,
        ready: route.ready.iter().map(ToString::to_string).collect(),
    }
}
