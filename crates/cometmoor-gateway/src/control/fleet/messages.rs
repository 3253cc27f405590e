//! Messages by which other tasks update and query the state of the fleet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use actix::{Context, Handler, Message, MessageResult};
use bytes::Bytes;
use cometmoor_core::gateway::signals::SignalReport;
use cometmoor_core::gateway::staleness::NextCall;
use cometmoor_core::gateway::store_position::{StoreEra, StorePosition};
use cometmoor_core::time::{BootInstant, Timestamp};
use spdlog::{info, warn};

use super::FleetState;
use super::copies::PeerCopies;
use crate::clock;
use crate::control::demand::FleetDemandRates;
use crate::dialect::WatchEvent;
use crate::load::ModelKey;
use crate::membership::{
    Digest, Heartbeat, Member, Membership, Message as PeerMessage, OutgoingMessage, PeerChange,
    Placement,
};
use crate::mirror::{Mirror, MirrorUpdate};
use crate::peer::StorePrefix;
use crate::published::{Phase, ShutdownTimes};

/// Time after its start by which a node has received heartbeats of other nodes.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Result of a full read of a prefix from the store.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReadCompleted {
    /// The prefix.
    pub prefix: StorePrefix,
    /// What was read.
    pub mirror: Mirror,
    /// Position of this node's copy when the read began.
    pub known_position: StorePosition,
    /// When the read began.
    pub requested_at: BootInstant,
}

impl Handler<ReadCompleted> for FleetState {
    type Result = ();

    fn handle(&mut self, mut read: ReadCompleted, _: &mut Context<FleetState>) {
        read.mirror.position =
            self.context.store.eras().classify_read(read.mirror.position, read.known_position);
        let (prefix, era) = (read.prefix, read.mirror.position.era);
        let copy = self.copy(prefix);
        copy.confirm(prefix);
        if copy.update(prefix, MirrorUpdate::Full(read.mirror)) {
            self.apply_copy(prefix);
        }
        self.record_proof(prefix, era, read.requested_at);
    }
}

/// Answer of the store to a watch.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ChangesReceived {
    /// The prefix.
    pub prefix: StorePrefix,
    /// Changes in order; empty if there were none.
    pub events: Vec<WatchEvent>,
    /// Era of the answer.
    pub era: StoreEra,
    /// When the call began.
    pub requested_at: BootInstant,
}

impl Handler<ChangesReceived> for FleetState {
    type Result = ();

    fn handle(&mut self, changed: ChangesReceived, _: &mut Context<FleetState>) {
        let copy = self.copy(changed.prefix);
        if copy.mirror.position.era != changed.era {
            // A copy of a newer era was received from a peer in the meantime.
            return;
        }
        copy.confirm(changed.prefix);
        if copy.mirror.apply_events(changed.events) {
            self.apply_copy(changed.prefix);
            // Nodes that do not read the store learn of the change by the heartbeat.
            self.context.board.heartbeat_wanted.notify_one();
        }
        self.record_proof(changed.prefix, changed.era, changed.requested_at);
    }
}

/// A watch or read of the store failed.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StoreCallFailed {
    /// The prefix.
    pub prefix: StorePrefix,
    /// Why it failed.
    pub reason: String,
}

impl Handler<StoreCallFailed> for FleetState {
    type Result = ();

    fn handle(&mut self, failed: StoreCallFailed, _: &mut Context<FleetState>) {
        let copy = self.copy(failed.prefix);
        if !copy.is_store_failing {
            let age_millis = copy.age_millis();
            let what = failed.prefix.name();
            warn!("[store] call failed; fetching from peers instead", kv: { step = "watch", what, reason = failed.reason, age_millis });
        }
        copy.is_store_failing = true;
    }
}

/// A datagram from another node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerMessageReceived(pub PeerMessage);

impl Handler<PeerMessageReceived> for FleetState {
    type Result = ();

    fn handle(&mut self, received: PeerMessageReceived, context: &mut Context<FleetState>) {
        match received.0 {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(heartbeat, context, Membership::receive_heartbeat);
            }
            PeerMessage::HeartbeatToHub(heartbeat, request) => {
                let receive = |peers: &mut Membership, heartbeat, now| {
                    peers.receive_digest_request(heartbeat, request, now)
                };
                self.handle_heartbeat(heartbeat, context, receive);
            }
            PeerMessage::ZoneDigest(digest) => {
                self.handle_digest(digest, context, Membership::receive_zone_digest);
            }
            PeerMessage::FleetDigest(digest) => {
                self.handle_digest(digest, context, Membership::receive_fleet_digest);
            }
            PeerMessage::Brittle(report) => self.context.brittle.merge(&report),
            PeerMessage::CrashingParts(report) => self.context.quarantine.parts.merge(&report),
            PeerMessage::WaitReport(report) => self.handle_wait_report(report),
            PeerMessage::LoadNotice(notice) => self.handle_load_notice(notice),
            PeerMessage::ServerSpeeds(report) => {
                self.context.speeds.merge(&report, self.peers.report_role());
            }
            PeerMessage::ProofAnswer(answer) => self.handle_proof_answer(&answer),
            // The heartbeat task answers requests by a `GetProof`.
            PeerMessage::ProofRequest(_) => {}
        }
        self.update_remote_load();
    }
}

impl FleetState {
    /// Handles a heartbeat, which `receive` adds to the membership.
    fn handle_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        context: &mut Context<FleetState>,
        receive: impl FnOnce(&mut Membership, Heartbeat, Timestamp) -> PeerChange,
    ) {
        if heartbeat.peer_address == self.context.settings.peer_address {
            return;
        }
        let copies = PeerCopies {
            address: heartbeat.peer_address,
            zone: heartbeat.zone.clone(),
            versions: heartbeat.versions,
        };
        self.catch_up(&copies, context);
        let now = self.now();
        let (node, phase) = (heartbeat.node.clone(), heartbeat.phase);
        self.context.quarantine.merge(&heartbeat.suspects, &node);
        self.merge_signals(&heartbeat.signals, &node);
        self.demand.receive(&heartbeat, now);
        let leads = heartbeat.placement.is_some();
        let has_waiting_requests = !heartbeat.awaited_models.is_empty();
        if !leads && self.peers.leads(heartbeat.peer_address) {
            // It reports itself that it no longer leads, so that a new leader does not have to
            // wait until it has been silent for long enough.
            self.leader_last_heard_at = None;
        }
        let change = receive(&mut self.peers, heartbeat, now);
        if leads {
            self.publish_placement();
        }
        self.request_planning(has_waiting_requests);
        if change != PeerChange::None {
            self.context.quarantine.report_again();
            self.context.quarantine.parts.report_again();
            self.context.signals.report_again();
            info!("[peers] a node is {phase:?}", kv: { node });
            self.publish();
        }
    }

    /// Merges another node's reports on servers.
    fn merge_signals(&self, reports: &[SignalReport], peer: &str) {
        for (server, change) in self.context.signals.merge(reports) {
            let name = self.context.board.fleet.load().incarnation(server);
            let name = name.as_deref().unwrap_or("-");
            self.context.signals.log_change(change, name, "peer", peer);
        }
    }

    /// Handles a digest, which `receive` adds to the membership.
    fn handle_digest(
        &mut self,
        digest: Digest,
        context: &mut Context<FleetState>,
        receive: impl FnOnce(&mut Membership, Digest, Timestamp),
    ) {
        let copies = PeerCopies {
            address: digest.hub,
            zone: digest.zone.clone(),
            versions: digest.versions,
        };
        self.catch_up(&copies, context);
        self.context.quarantine.merge(&digest.suspects, &digest.hub.to_string());
        self.merge_signals(&digest.signals, &digest.hub.to_string());
        let leads = digest.placement.is_some();
        let now = self.now();
        receive(&mut self.peers, digest, now);
        if leads {
            self.publish_placement();
        }
    }
}

/// Peer addresses of nodes, found in the store.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ContactsFound(pub Vec<SocketAddrV4>);

impl Handler<ContactsFound> for FleetState {
    type Result = ();

    fn handle(&mut self, found: ContactsFound, _: &mut Context<FleetState>) {
        let now = self.now();
        for address in found.0 {
            self.peers.add_contact(address, now);
        }
    }
}

/// The messages that a node sends next, and what determines the time until it sends again.
pub struct NextMessages {
    /// The messages.
    pub outgoing: Vec<OutgoingMessage>,
    /// Whether all nodes exchange messages directly.
    pub is_small_fleet: bool,
    /// Number of other live nodes.
    pub nodes: u32,
}

/// Requests the messages that this node sends next.
#[derive(Message)]
#[rtype(result = "NextMessages")]
pub struct GetNextMessages;

impl Handler<GetNextMessages> for FleetState {
    type Result = MessageResult<GetNextMessages>;

    fn handle(&mut self, _: GetNextMessages, _: &mut Context<FleetState>) -> Self::Result {
        let outgoing = self.outgoing();
        let is_small_fleet = self.peers.is_small_fleet();
        let nodes = u32::try_from(self.peers.members().len()).unwrap_or(u32::MAX);
        MessageResult(NextMessages { outgoing, is_small_fleet, nodes })
    }
}

/// Begins the planned shutdown: the node reports that it is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginShutdown(pub ShutdownTimes);

impl Handler<BeginShutdown> for FleetState {
    type Result = ();

    fn handle(&mut self, begin: BeginShutdown, _: &mut Context<FleetState>) {
        self.phase = Phase::Draining;
        self.shutdown = Some(begin.0);
        self.publish();
    }
}

/// Makes the node accept no new requests.
#[derive(Message)]
#[rtype(result = "()")]
pub struct StopAcceptingRequests;

impl Handler<StopAcceptingRequests> for FleetState {
    type Result = ();

    fn handle(&mut self, _: StopAcceptingRequests, _: &mut Context<FleetState>) {
        self.phase = Phase::Closing;
        self.publish();
    }
}

/// Requests the changes that a peer's copy lacks, encoded for the peer; `None` if this node has
/// no copy.
#[derive(Message)]
#[rtype(result = "Option<Bytes>")]
pub struct GetUpdate {
    /// The prefix.
    pub prefix: StorePrefix,
    /// Position of the peer's copy.
    pub after: StorePosition,
}

impl Handler<GetUpdate> for FleetState {
    type Result = MessageResult<GetUpdate>;

    fn handle(&mut self, get: GetUpdate, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.copy(get.prefix).encoded_changes_since(get.after))
    }
}

/// Requests what the watcher of a copy does next, and the position of the copy.
#[derive(Message)]
#[rtype(result = "(NextCall, StorePosition)")]
pub struct GetNextCall(pub StorePrefix);

impl Handler<GetNextCall> for FleetState {
    type Result = MessageResult<GetNextCall>;

    fn handle(&mut self, get: GetNextCall, _: &mut Context<FleetState>) -> Self::Result {
        let next = self.staleness.next_call(&self.copy_view(get.0));
        MessageResult((next, self.copies[&get.0].mirror.position))
    }
}

/// Requests the position of a copy.
#[derive(Message)]
#[rtype(result = "StorePosition")]
pub struct GetPosition(pub StorePrefix);

impl Handler<GetPosition> for FleetState {
    type Result = MessageResult<GetPosition>;

    fn handle(&mut self, get: GetPosition, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.copies[&get.0].mirror.position)
    }
}

/// Requests the time for which an open watch of a copy may stay silent.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct GetTimeUntilRefresh(pub StorePrefix);

impl Handler<GetTimeUntilRefresh> for FleetState {
    type Result = MessageResult<GetTimeUntilRefresh>;

    fn handle(&mut self, get: GetTimeUntilRefresh, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.staleness.time_until_refresh(&self.copy_view(get.0)))
    }
}

/// Requests the delay before the next call of the store for a copy, after the given number of
/// failures before the last one.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct GetRetryDelay(pub StorePrefix, pub u32);

impl Handler<GetRetryDelay> for FleetState {
    type Result = MessageResult<GetRetryDelay>;

    fn handle(&mut self, get: GetRetryDelay, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.staleness.retry_delay(get.1, &self.copy_view(get.0)))
    }
}

/// How a node gets its first copy of a large prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPlan {
    /// Read it from the store.
    Read,
    /// Wait for a peer's copy.
    WaitForPeers,
    /// A peer's copy has arrived.
    HasCopy,
}

/// Requests how to get the first copy of a large prefix.
#[derive(Message)]
#[rtype(result = "ReadPlan")]
pub struct GetReadPlan(pub StorePrefix);

impl Handler<GetReadPlan> for FleetState {
    type Result = MessageResult<GetReadPlan>;

    fn handle(&mut self, get: GetReadPlan, _: &mut Context<FleetState>) -> Self::Result {
        let has_copy = self.copies[&get.0].mirror.exists();
        // Before a node has heard from others, it considers itself a reader.
        let knows_peers = clock::elapsed(self.started) >= PEER_DISCOVERY_TIME;
        MessageResult(match (has_copy, knows_peers && self.is_reader(get.0)) {
            (true, _) => ReadPlan::HasCopy,
            (false, true) => ReadPlan::Read,
            (false, false) => ReadPlan::WaitForPeers,
        })
    }
}

/// Sets the placement that this node reports while it leads; `None` when it no longer leads.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetPlacement(pub Option<Placement>);

impl Handler<SetPlacement> for FleetState {
    type Result = ();

    fn handle(&mut self, set: SetPlacement, _: &mut Context<FleetState>) {
        if self.placement != set.0 {
            self.placement = set.0;
            if self.placement.is_none() {
                self.forget_waits();
            }
            self.publish_placement();
            self.context.board.heartbeat_wanted.notify_one();
        }
    }
}

/// The demand of the whole fleet at a time.
pub struct DemandView {
    /// Demand for each model, per second.
    pub rates: FleetDemandRates,
    /// Time of the view, at which the rates are evaluated.
    pub now: Timestamp,
    /// When the first request was counted; `None` if there was none.
    pub first_request: Option<Timestamp>,
    /// Models and adapters that requests wait for now.
    pub awaited_models: HashSet<ModelKey>,
    /// The longest wait for each model or adapter, as far as nodes report it.
    pub longest_waits: HashMap<ModelKey, Duration>,
}

/// Requests the demand of the whole fleet.
#[derive(Message)]
#[rtype(result = "DemandView")]
pub struct GetDemand;

impl Handler<GetDemand> for FleetState {
    type Result = MessageResult<GetDemand>;

    fn handle(&mut self, _: GetDemand, _: &mut Context<FleetState>) -> Self::Result {
        let rates = self.demand.rates().clone();
        let first_request = self.demand.first_request();
        let now = self.now();
        let mut awaited_models = self.peers.awaited_models(now);
        awaited_models.extend(self.context.loads.awaited_models(clock::now()));
        let longest_waits: HashMap<ModelKey, Duration> =
            self.reported_waits().into_iter().collect();
        awaited_models.extend(longest_waits.keys());
        MessageResult(DemandView { rates, now, first_request, awaited_models, longest_waits })
    }
}

/// Requests the peer addresses of the live nodes that the store answers, the readers of the
/// store first.
#[derive(Message)]
#[rtype(result = "Vec<SocketAddrV4>")]
pub struct GetPeersReachingStore;

impl Handler<GetPeersReachingStore> for FleetState {
    type Result = MessageResult<GetPeersReachingStore>;

    fn handle(&mut self, _: GetPeersReachingStore, _: &mut Context<FleetState>) -> Self::Result {
        let members = self.peers.members().iter().filter(|member| !member.entry.store_fails);
        // The store is known to answer the nodes that read it.
        let (readers, others): (Vec<&Member>, Vec<&Member>) =
            members.partition(|member| member.entry.reads_store);
        MessageResult(readers.into_iter().chain(others).map(Member::address).collect())
    }
}
