//! What other parts tell the state of the fleet, and ask of it.

use std::collections::HashSet;
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
    Digest, Heartbeat, Member, Membership, Message as PeerMessage, Outgoing, PeerChange, Placement,
};
use crate::mirror::{Mirror, MirrorUpdate};
use crate::peer::Subject;
use crate::published::{Phase, StopTimes};

/// Time after its start by which a node has heard others.
const OTHERS_KNOWN_AFTER: Duration = Duration::from_secs(1);

/// A full read of a prefix.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyRead {
    /// Which prefix.
    pub subject: Subject,
    /// What was read.
    pub mirror: Mirror,
    /// Point that the copy was of when the store was asked.
    pub known: StorePosition,
    /// When the store was asked.
    pub asked: BootInstant,
}

impl Handler<CopyRead> for FleetState {
    type Result = ();

    fn handle(&mut self, mut read: CopyRead, _: &mut Context<FleetState>) {
        read.mirror.at = self.context.store.eras().classify_read(read.mirror.at, read.known);
        let (subject, era) = (read.subject, read.mirror.at.era);
        let copy = self.copy(subject);
        copy.confirm(subject);
        if copy.update(subject, MirrorUpdate::Whole(read.mirror)) {
            self.take_in(subject);
        }
        self.prove(subject, era, read.asked);
    }
}

/// Changes that a watch told.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyChanged {
    /// Which prefix.
    pub subject: Subject,
    /// Changes in order; none where there were none.
    pub events: Vec<WatchEvent>,
    /// Era of the store that they are of.
    pub era: StoreEra,
    /// When the store was asked.
    pub asked: BootInstant,
}

impl Handler<CopyChanged> for FleetState {
    type Result = ();

    fn handle(&mut self, changed: CopyChanged, _: &mut Context<FleetState>) {
        let copy = self.copy(changed.subject);
        if copy.mirror.at.era != changed.era {
            // A peer has brought a copy of a newer era meanwhile.
            return;
        }
        copy.confirm(changed.subject);
        if copy.mirror.apply(changed.events) {
            self.take_in(changed.subject);
            // Nodes that do not read the store learn of it by the heartbeat.
            self.context.board.heartbeat_wanted.notify_one();
        }
        self.prove(changed.subject, changed.era, changed.asked);
    }
}

/// The store did not answer a watch or a read.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CopyFailed {
    /// Which prefix.
    pub subject: Subject,
    /// What happened.
    pub reason: String,
}

impl Handler<CopyFailed> for FleetState {
    type Result = ();

    fn handle(&mut self, failed: CopyFailed, _: &mut Context<FleetState>) {
        let copy = self.copy(failed.subject);
        if !copy.watch_failing {
            let age_millis = copy.age_millis();
            let what = failed.subject.name();
            warn!("[store] does not answer; peers are asked", kv: { step = "watch", what, reason = failed.reason, age_millis });
        }
        copy.watch_failing = true;
    }
}

/// A datagram of another node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerTold(pub PeerMessage);

impl Handler<PeerTold> for FleetState {
    type Result = ();

    fn handle(&mut self, told: PeerTold, context: &mut Context<FleetState>) {
        match told.0 {
            PeerMessage::Heartbeat(heartbeat) => {
                self.take_heartbeat(heartbeat, context, Membership::receive);
            }
            PeerMessage::HeartbeatToHub(heartbeat, question) => {
                let take = |peers: &mut Membership, heartbeat, now| {
                    peers.receive_question(heartbeat, question, now)
                };
                self.take_heartbeat(heartbeat, context, take);
            }
            PeerMessage::ZoneDigest(digest) => {
                self.take_digest(digest, context, Membership::receive_zone);
            }
            PeerMessage::FleetDigest(digest) => {
                self.take_digest(digest, context, Membership::receive_fleet);
            }
            PeerMessage::ProofAnswer(answer) => self.take_proof(&answer),
            // It is answered at once, not here.
            PeerMessage::ProofRequest(_) => {}
        }
        self.sum_load();
    }
}

impl FleetState {
    fn take_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        context: &mut Context<FleetState>,
        take: impl FnOnce(&mut Membership, Heartbeat, Timestamp) -> PeerChange,
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
        let waits = !heartbeat.waited_for.is_empty();
        if !leads && self.peers.leads(heartbeat.peer_address) {
            // It says itself that it has stopped; nobody need wait for its silence.
            self.leader_heard = None;
        }
        let change = take(&mut self.peers, heartbeat, now);
        if leads {
            self.publish_placement();
        }
        self.ask_for_plan(waits);
        if change != PeerChange::None {
            self.context.quarantine.report_again();
            self.context.signals.report_again();
            info!("[peers] a node is {phase:?}", kv: { node });
            self.publish();
        }
    }

    /// Takes what another node reports of servers.
    fn merge_signals(&self, reports: &[SignalReport], peer: &str) {
        for (server, change) in self.context.signals.merge(reports) {
            let name = self.context.board.fleet.load().incarnation(server);
            let name = name.as_deref().unwrap_or("-");
            self.context.signals.log_change(change, name, "peer", peer);
        }
    }

    fn take_digest(
        &mut self,
        digest: Digest,
        context: &mut Context<FleetState>,
        take: impl FnOnce(&mut Membership, Digest, Timestamp),
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
        take(&mut self.peers, digest, now);
        if leads {
            self.publish_placement();
        }
    }
}

/// Addresses at which nodes may be.
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

/// What a node sends next, and how long it rests then.
pub struct NextMessages {
    /// The messages.
    pub outgoing: Vec<Outgoing>,
    /// Whether every node tells every other one.
    pub is_small_fleet: bool,
    /// Nodes that are there.
    pub nodes: u32,
}

/// Asks what this node sends next.
#[derive(Message)]
#[rtype(result = "NextMessages")]
pub struct GetNextMessages;

impl Handler<GetNextMessages> for FleetState {
    type Result = MessageResult<GetNextMessages>;

    fn handle(&mut self, _: GetNextMessages, _: &mut Context<FleetState>) -> Self::Result {
        let outgoing = self.outgoing();
        let is_small_fleet = self.peers.is_small();
        let nodes = u32::try_from(self.peers.members().len()).unwrap_or(u32::MAX);
        MessageResult(NextMessages { outgoing, is_small_fleet, nodes })
    }
}

/// Begins the planned stop: the node says that it is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginStop(pub StopTimes);

impl Handler<BeginStop> for FleetState {
    type Result = ();

    fn handle(&mut self, begin: BeginStop, _: &mut Context<FleetState>) {
        self.phase = Phase::Draining;
        self.stop = Some(begin.0);
        self.publish();
    }
}

/// Ends the taking of requests.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CloseToClients;

impl Handler<CloseToClients> for FleetState {
    type Result = ();

    fn handle(&mut self, _: CloseToClients, _: &mut Context<FleetState>) {
        self.phase = Phase::Closing;
        self.publish();
    }
}

/// Asks for what a copy has beyond a point in the store's history, as peers read it; none
/// where nothing was read.
#[derive(Message)]
#[rtype(result = "Option<Bytes>")]
pub struct GetUpdate {
    /// Which prefix.
    pub subject: Subject,
    /// The point.
    pub after: StorePosition,
}

impl Handler<GetUpdate> for FleetState {
    type Result = MessageResult<GetUpdate>;

    fn handle(&mut self, get: GetUpdate, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.copy(get.subject).encoded_since(get.after))
    }
}

/// Asks what the watcher of a copy is to do next, and which point the copy is of.
#[derive(Message)]
#[rtype(result = "(NextCall, StorePosition)")]
pub struct GetNextCall(pub Subject);

impl Handler<GetNextCall> for FleetState {
    type Result = MessageResult<GetNextCall>;

    fn handle(&mut self, get: GetNextCall, _: &mut Context<FleetState>) -> Self::Result {
        let next = self.staleness.next_call(&self.copy_view(get.0));
        MessageResult((next, self.copies[&get.0].mirror.at))
    }
}

/// Asks which point a copy is of.
#[derive(Message)]
#[rtype(result = "StorePosition")]
pub struct GetPosition(pub Subject);

impl Handler<GetPosition> for FleetState {
    type Result = MessageResult<GetPosition>;

    fn handle(&mut self, get: GetPosition, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.copies[&get.0].mirror.at)
    }
}

/// Asks how long an open watch of a copy may go on saying nothing.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct GetPatienceLeft(pub Subject);

impl Handler<GetPatienceLeft> for FleetState {
    type Result = MessageResult<GetPatienceLeft>;

    fn handle(&mut self, get: GetPatienceLeft, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.staleness.time_until_refresh(&self.copy_view(get.0)))
    }
}

/// Asks how long to wait before the store is asked again about a copy, after so
/// many failures before the last one.
#[derive(Message)]
#[rtype(result = "Duration")]
pub struct GetRetryPause(pub Subject, pub u32);

impl Handler<GetRetryPause> for FleetState {
    type Result = MessageResult<GetRetryPause>;

    fn handle(&mut self, get: GetRetryPause, _: &mut Context<FleetState>) -> Self::Result {
        MessageResult(self.staleness.retry_delay(get.1, &self.copy_view(get.0)))
    }
}

/// How a node comes to its first copy of a prefix that is large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPlan {
    /// Read it from the store.
    Read,
    /// Wait for a peer's copy.
    LeaveToPeers,
    /// A peer's copy has come.
    HasCopy,
}

/// Asks whether a large prefix is to be read.
#[derive(Message)]
#[rtype(result = "ReadPlan")]
pub struct GetReadPlan(pub Subject);

impl Handler<GetReadPlan> for FleetState {
    type Result = MessageResult<GetReadPlan>;

    fn handle(&mut self, get: GetReadPlan, _: &mut Context<FleetState>) -> Self::Result {
        let has_copy = self.copies[&get.0].mirror.exists();
        // Before it has heard the others, every node takes itself for a reader.
        let knows_others = clock::elapsed(self.started) >= OTHERS_KNOWN_AFTER;
        MessageResult(match (has_copy, knows_others && self.reads(get.0)) {
            (true, _) => ReadPlan::HasCopy,
            (false, true) => ReadPlan::Read,
            (false, false) => ReadPlan::LeaveToPeers,
        })
    }
}

/// Sets what this node tells of the servers' models while it leads.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetPlacement(pub Option<Placement>);

impl Handler<SetPlacement> for FleetState {
    type Result = ();

    fn handle(&mut self, set: SetPlacement, _: &mut Context<FleetState>) {
        if self.placement != set.0 {
            self.placement = set.0;
            self.publish_placement();
            self.context.board.heartbeat_wanted.notify_one();
        }
    }
}

/// The demand over the fleet, as of a time.
pub struct DemandView {
    /// What is asked for a second.
    pub rates: FleetDemandRates,
    /// The time that its rates are asked for.
    pub now: Timestamp,
    /// When the first request was counted.
    pub first_demand: Option<Timestamp>,
    /// Models and adapters that requests wait for now.
    pub waited_for: HashSet<ModelKey>,
}

/// Asks for the demand over the fleet.
#[derive(Message)]
#[rtype(result = "DemandView")]
pub struct GetDemand;

impl Handler<GetDemand> for FleetState {
    type Result = MessageResult<GetDemand>;

    fn handle(&mut self, _: GetDemand, _: &mut Context<FleetState>) -> Self::Result {
        let rates = self.demand.rates().clone();
        let first_demand = self.demand.first();
        let now = self.now();
        let mut waited_for = self.peers.waited_for(now);
        waited_for.extend(self.context.loads.waited_for(clock::now()));
        MessageResult(DemandView { rates, now, first_demand, waited_for })
    }
}

/// Asks for the peer addresses of the nodes that were heard lately and that the
/// store answers.
#[derive(Message)]
#[rtype(result = "Vec<SocketAddrV4>")]
pub struct GetPeers;

impl Handler<GetPeers> for FleetState {
    type Result = MessageResult<GetPeers>;

    fn handle(&mut self, _: GetPeers, _: &mut Context<FleetState>) -> Self::Result {
        let members = self.peers.members().iter().filter(|member| !member.entry.store_fails);
        // Those that read the store are known to be answered by it.
        let (readers, others): (Vec<&Member>, Vec<&Member>) =
            members.partition(|member| member.entry.reads_store);
        MessageResult(readers.into_iter().chain(others).map(Member::address).collect())
    }
}
