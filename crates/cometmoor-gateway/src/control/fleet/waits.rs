//! Weights that requests wait for: reports to the leader, and its notices to the waiting nodes.
//!
//! Heartbeats and digests take up to 0.5 s for both ways in a large fleet. These messages go
//! directly between the leader and the nodes whose requests wait, and are sent within
//! milliseconds. The leader answers a report on weights that it has announced at once, so a lost
//! notice is replaced when the report is repeated.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};
use cometmoor_core::gateway::awaited_weights::{AwaitedWeights, WaitReports};
use cometmoor_core::gateway::orders::Weights;
use cometmoor_core::gateway::planner::PlacementStrategy;

use super::FleetState;
use crate::clock;
use crate::load::{ModelKey, ServerKey, model_key, server_key};
use crate::membership::{
    LoadNotice, LoadNotices, Message as PeerMessage, OutgoingMessage, WaitReport,
};

/// What a node knows of weights that requests wait for.
#[derive(Default)]
pub(super) struct WaitState {
    reports: WaitReports<ModelKey>,
    /// Weights that the nodes wait for; only on the leader.
    awaited: AwaitedWeights<SocketAddrV4, ModelKey>,
    /// Loads that the leader notifies nodes of with the next messages.
    outgoing: BTreeMap<SocketAddrV4, Vec<(ServerKey, ModelKey)>>,
    pub(super) notices: LoadNotices,
}

impl FleetState {
    /// Whether adapters are loaded on demand in any service.
    fn loads_on_demand(&self) -> bool {
        let is_enabled = self.context.settings.mechanisms.balanced_placement;
        let services =
            self.configuration.get().into_iter().flat_map(|known| known.services.values());
        services.filter_map(|service| service.engine.as_ref()).any(|profile| {
            PlacementStrategy::for_profile(profile, is_enabled) == PlacementStrategy::Balanced
        })
    }

    /// Handles a node's report. The leader plans at once, and answers for weights that it has
    /// announced.
    pub(super) fn handle_wait_report(&mut self, report: WaitReport) {
        let now = self.now();
        let Some(placement) = &self.placement else { return };
        self.waits.awaited.expire(now);
        let mut is_new = false;
        for (key, waited_millis) in report.waits {
            let added = placement.added.iter().filter(|(_, added)| *added == key);
            let held: Vec<(ServerKey, ModelKey)> = added.copied().collect();
            match held.is_empty() {
                true => {
                    let waited = Duration::from_millis(waited_millis.into());
                    is_new |= self.waits.awaited.record(report.from, (key, waited), now);
                }
                false => self.waits.outgoing.entry(report.from).or_default().extend(held),
            }
        }
        if !self.waits.outgoing.is_empty() {
            self.context.board.urgent_messages.notify_one();
        }
        self.request_planning(is_new);
    }

    /// Handles the leader's notice of loads.
    pub(super) fn handle_load_notice(&mut self, notice: LoadNotice) {
        let now = self.now();
        self.waits.notices.receive(notice, now);
        self.publish_placement();
    }

    /// Weights that the nodes wait for, with the longest wait.
    pub(super) fn reported_waits(&mut self) -> Vec<(ModelKey, Duration)> {
        let now = self.now();
        self.waits.awaited.expire(now);
        let waits: Vec<(ModelKey, Duration)> = self.waits.awaited.waits(now).collect();
        self.context.metrics.awaited_weights.set(i64::try_from(waits.len()).unwrap_or(i64::MAX));
        waits
    }

    /// Drops what was reported to this node as leader.
    pub(super) fn forget_waits(&mut self) {
        self.waits.awaited = AwaitedWeights::default();
        self.waits.outgoing.clear();
        self.context.metrics.awaited_weights.set(0);
    }

    /// The report on this node's waits. If it leads, they are recorded instead.
    fn wait_report(&mut self) -> Option<OutgoingMessage> {
        let now = self.now();
        let waits = self.waits.reports.due(self.context.loads.waits(clock::now()), now);
        if waits.is_empty() {
            return None;
        }
        let from = self.context.settings.peer_address;
        if self.placement.is_some() {
            self.waits.awaited.expire(now);
            for wait in waits {
                self.waits.awaited.record(from, wait, now);
            }
            self.request_planning(true);
            return None;
        }
        let leader = self.peers.placement(now)?.0.leader;
        let millis = |waited: Duration| u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        let waits = waits.into_iter().map(|(key, waited)| (key, millis(waited))).collect();
        let message = PeerMessage::WaitReport(WaitReport { from, waits });
        Some(OutgoingMessage { message, targets: vec![leader] })
    }

    /// The notices of loads to nodes that wait for them.
    fn load_notices(&mut self) -> Vec<OutgoingMessage> {
        let outgoing = std::mem::take(&mut self.waits.outgoing);
        let Some(placement) = &self.placement else { return Vec::new() };
        let version = placement.version();
        // The placement may have changed since the loads were noted.
        let is_current = |load: &(ServerKey, ModelKey)| placement.added.contains(load);
        let notice = |(node, mut added): (SocketAddrV4, Vec<(ServerKey, ModelKey)>)| {
            added.retain(is_current);
            added.sort_unstable();
            added.dedup();
            let message = PeerMessage::LoadNotice(LoadNotice { version, added });
            OutgoingMessage { message, targets: vec![node] }
        };
        outgoing.into_iter().map(notice).collect()
    }
}

/// Requests the messages that can't wait for the next heartbeat.
#[derive(Message)]
#[rtype(result = "Vec<OutgoingMessage>")]
pub struct GetUrgentMessages;

impl Handler<GetUrgentMessages> for FleetState {
    type Result = MessageResult<GetUrgentMessages>;

    fn handle(&mut self, _: GetUrgentMessages, _: &mut Context<FleetState>) -> Self::Result {
        if !self.loads_on_demand() {
            return MessageResult(Vec::new());
        }
        let mut messages = self.load_notices();
        messages.extend(self.wait_report());
        MessageResult(messages)
    }
}

/// Tells the nodes whose requests wait for an adapter that a server has loaded it. The placement
/// that includes the load has been set before.
#[derive(Message)]
#[rtype(result = "()")]
pub struct NotifyWaitingNodes {
    /// Incarnation of the server.
    pub server: Arc<str>,
    /// The adapter.
    pub weights: Weights,
}

impl Handler<NotifyWaitingNodes> for FleetState {
    type Result = ();

    fn handle(&mut self, loaded: NotifyWaitingNodes, _: &mut Context<FleetState>) {
        let key = model_key(&loaded.weights.model, loaded.weights.adapter.as_deref());
        let added = (server_key(&loaded.server), key);
        let own = self.context.settings.peer_address;
        let Some((nodes, waited)) = self.waits.awaited.end(key, self.now()) else { return };
        let metrics = &self.context.metrics;
        metrics.observe(&metrics.adapter_wait_time, waited);
        for node in nodes.into_iter().filter(|node| *node != own) {
            self.waits.outgoing.entry(node).or_default().push(added);
        }
        self.context.board.urgent_messages.notify_one();
    }
}
