//! Probes peers, takes their updates in and publishes the members.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, AsyncContext, Context, Handler, Message, MessageResult, ResponseFuture};
use actix::{ActorFutureExt, WrapFuture};
use cometmoor_core::freshness::{Connectivity, Freshness, assess};
use cometmoor_core::membership::{
    Member, MemberChange, Membership, MembershipTimes, UPDATES_PER_EXCHANGE,
};
use cometmoor_core::time::Timestamp;
use futures::future::join_all;
use spdlog::{debug, info, warn};

use super::configuration::{ConfigurationActor, NoteStoreRead, Offer, StoreReadAge};
use crate::context::{NodeContext, own_member};
use crate::peer::PeerError;
use crate::peer::client::PeerClient;
use crate::peer::convert::Digest;
use crate::settings::millis;
use crate::telemetry::log::Part;

/// How long a dead member is remembered.
const REMEMBER_DEAD: Duration = Duration::from_secs(600);
/// Time for a peer to send what this node lacks. A whole configuration is
/// large, and when many nodes start at once its sender has many to serve; to
/// ask again early would only add to that.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Least time between two peers that are told everything though they are known.
const WHOLE_INTERVAL: Duration = Duration::from_secs(10);
/// Peers that are told of news at once.
const ANNOUNCE_FAN_OUT: usize = 4;
/// One probe in this many goes to a seed, so that two halves of a system that
/// took each other for dead find together again.
const SEED_EVERY: u64 = 8;

/// Owner of the membership.
pub struct MembershipActor {
    context: Arc<NodeContext>,
    membership: Membership,
    peers: Rc<PeerClient>,
    configuration: Addr<ConfigurationActor>,
    probes: u64,
    /// When a peer that was known was last told everything.
    last_whole: Option<Timestamp>,
    /// Whether a pull of the configuration is under way.
    pulling: bool,
    store_read_age: Option<Duration>,
    freshness: Freshness,
    /// Revision of the members and freshness that were published last.
    published: Option<(u64, Freshness)>,
}

impl MembershipActor {
    /// An actor that knows only its own node.
    pub fn new(
        context: Arc<NodeContext>,
        peers: Rc<PeerClient>,
        configuration: Addr<ConfigurationActor>,
    ) -> Self {
        let own = own_member(&context.settings, context.incarnation);
        let times = MembershipTimes {
            suspicion_timeout: millis(context.settings.timing.suspicion_millis),
            dead_retention: REMEMBER_DEAD,
        };
        MembershipActor {
            membership: Membership::new(own, times),
            peers,
            configuration,
            probes: 0,
            pulling: false,
            last_whole: None,
            store_read_age: None,
            freshness: Freshness::Isolated,
            published: None,
            context,
        }
    }

    fn tick(&mut self, actor_context: &mut Context<Self>) {
        let now = self.context.clock.now();
        for change in self.membership.tick(now) {
            log_change(&change);
        }
        self.refresh_store_age(actor_context);
        self.judge_freshness();
        self.publish();
        self.probe_next(actor_context);
    }

    /// Probes the next peer, or now and then a seed that is not known to be
    /// alive. A node that knows nobody asks a seed every time.
    fn probe_next(&mut self, actor_context: &mut Context<Self>) {
        self.probes += 1;
        let alone = self.membership.peers().next().is_none();
        if alone || self.probes.is_multiple_of(SEED_EVERY) {
            let seeds = self.missing_seeds();
            let turn = usize::try_from(self.probes / SEED_EVERY + self.probes).unwrap_or(0);
            if let Some(seed) = seeds.get(turn % seeds.len().max(1)) {
                self.probe(None, *seed, actor_context);
                return;
            }
        }
        let target = self.membership.next_probe(&mut rand::rng());
        if let Some(member) = target
            && let Ok(address) = member.peer_address.parse()
        {
            self.probe(Some(member.name), address, actor_context);
        }
    }

    /// Seeds at whose addresses no live member is known.
    fn missing_seeds(&self) -> Vec<SocketAddr> {
        let known: BTreeSet<String> =
            self.membership.serving().map(|member| member.peer_address.clone()).collect();
        let seeds = self.context.settings.seeds.iter().copied();
        seeds.filter(|seed| !known.contains(&seed.to_string())).collect()
    }

    /// Exchanges updates with one peer; a seed need not be known by name. Who
    /// does not know this node yet answers with everything.
    fn probe(
        &mut self,
        name: Option<String>,
        address: SocketAddr,
        actor_context: &mut Context<Self>,
    ) {
        let digest = self.digest(name.as_deref(), false);
        let peers = self.peers.clone();
        let timeout = self.probe_timeout();
        let exchange = async move { peers.exchange(address, &digest, timeout).await };
        actor_context.spawn(exchange.into_actor(self).map(move |answer, actor, actor_context| {
            match answer {
                Ok(answer) => actor.take_in(answer, Some(address), actor_context),
                Err(error) => {
                    if let Some(name) = name {
                        actor.ask_helpers(name, address, &error, actor_context);
                    }
                }
            }
        }));
    }

    /// Lets other peers probe one that did not answer this node.
    fn ask_helpers(
        &mut self,
        name: String,
        target: SocketAddr,
        error: &PeerError,
        actor_context: &mut Context<Self>,
    ) {
        debug!("{} probing {name} failed: {error}", Part::Membership);
        let helpers = self.membership.indirect_probers(&name, &mut rand::rng());
        let addresses: Vec<SocketAddr> =
            helpers.iter().filter_map(|helper| helper.peer_address.parse().ok()).collect();
        let peers = self.peers.clone();
        // The helper's own probe takes up to the same time.
        let timeout = 2 * self.probe_timeout();
        let reached_by_any = async move {
            let probes =
                addresses.iter().map(|helper| peers.probe_through(*helper, target, timeout));
            join_all(probes).await.into_iter().any(|reached| reached == Ok(true))
        };
        actor_context.spawn(reached_by_any.into_actor(self).map(move |reached, actor, _| {
            if !reached {
                actor.probe_failed(&name);
            }
        }));
    }

    fn probe_failed(&mut self, name: &str) {
        if let Some(change) = self.membership.probe_failed(name, self.context.clock.now()) {
            log_change(&change);
            self.publish();
        }
    }

    fn probe_timeout(&self) -> Duration {
        millis(self.context.settings.timing.probe_timeout_millis)
    }

    fn member_count(&self) -> u32 {
        u32::try_from(self.membership.members().count()).unwrap_or(u32::MAX)
    }

    /// Whether a peer is told everything: a new one, and now and then one that
    /// knows fewer members, because an update has passed it by.
    fn is_told_everything(&mut self, peer: &Digest) -> bool {
        if self.membership.member(&peer.from.name).is_none() {
            return true;
        }
        let now = self.context.clock.now();
        let due = self.last_whole.is_none_or(|last| now.since(last) >= WHOLE_INTERVAL);
        let lacks_some = peer.member_count < self.member_count();
        if due && lacks_some {
            self.last_whole = Some(now);
        }
        due && lacks_some
    }

    fn digest(&mut self, peer: Option<&str>, whole: bool) -> Digest {
        Digest {
            from: self.membership.own().clone(),
            generation: self.context.published.load().generation,
            store_read_age: self.store_read_age,
            members: self.membership.updates(peer, whole),
            member_count: self.member_count(),
        }
    }

    /// Takes a peer's digest in, and pulls its configuration if it is newer.
    fn take_in(
        &mut self,
        digest: Digest,
        address: Option<SocketAddr>,
        actor_context: &mut Context<Self>,
    ) {
        let now = self.context.clock.now();
        let name = digest.from.name.clone();
        let peer_address = address.or_else(|| digest.from.peer_address.parse().ok());
        let is_whole = digest.members.len() > UPDATES_PER_EXCHANGE;
        let mut changes: Vec<MemberChange> = Vec::new();
        changes.extend(self.membership.merge(digest.from, now));
        for member in digest.members {
            changes.extend(if is_whole {
                self.membership.merge_without_gossip(member, now)
            } else {
                self.membership.merge(member, now)
            });
        }
        changes.iter().for_each(log_change);
        self.membership.record_contact(&name, now);
        if let Some(age) = digest.store_read_age {
            self.configuration.do_send(NoteStoreRead(age));
        }
        let behind = digest.generation > self.context.published.load().generation;
        if let Some(peer_address) = peer_address.filter(|_| behind && !self.pulling) {
            self.pull(peer_address, actor_context);
        }
        self.publish();
    }

    fn pull(&mut self, address: SocketAddr, actor_context: &mut Context<Self>) {
        self.pulling = true;
        let peers = self.peers.clone();
        let configuration = self.configuration.clone();
        let after = self.context.published.load().generation;
        let pull = async move {
            match peers.pull_configuration(address, after, PULL_TIMEOUT).await {
                Ok(Some(update)) => configuration.do_send(Offer(update)),
                Ok(None) => {}
                Err(error) => warn!("{} pulling from {address} failed: {error}", Part::Peer),
            }
        };
        actor_context.spawn(pull.into_actor(self).map(|(), actor, _| actor.pulling = false));
    }

    fn refresh_store_age(&mut self, actor_context: &mut Context<Self>) {
        let age = self.configuration.send(StoreReadAge);
        actor_context.spawn(age.into_actor(self).map(|age, actor, _| {
            actor.store_read_age = age.ok().flatten();
        }));
    }

    fn judge_freshness(&mut self) {
        let now = self.context.clock.now();
        let tolerance = millis(self.context.settings.timing.freshness_millis);
        let connections = Connectivity {
            store_read_age: self.store_read_age,
            known_peers: self.membership.expected_peers(),
            reachable_peers: self.membership.contacted_within(tolerance, now),
        };
        let freshness = assess(connections, tolerance);
        if freshness != self.freshness {
            info!("{} the configuration's state is {freshness:?}", Part::Membership);
            self.freshness = freshness;
        }
    }

    fn publish(&mut self) {
        let current = (self.membership.revision(), self.freshness);
        if self.published == Some(current) {
            return;
        }
        self.published = Some(current);
        let members: Vec<Member> = self.membership.members().cloned().collect();
        let freshness = self.freshness;
        self.context.published.update(|snapshot| {
            snapshot.members = Arc::new(members);
            snapshot.freshness = freshness;
        });
    }

    /// Tells the neighbours at once, instead of waiting for probes. Each of
    /// them tells others, so that the news spreads to all in a few steps.
    fn announce(&mut self, actor_context: &mut Context<Self>) {
        let neighbours = self.membership.gossip_targets(ANNOUNCE_FAN_OUT);
        let targets: Vec<Member> = neighbours.into_iter().cloned().collect();
        for target in targets {
            if let Ok(address) = target.peer_address.parse() {
                self.peers.keep_open(address);
                self.probe(Some(target.name), address, actor_context);
            }
        }
    }
}

fn log_change(change: &MemberChange) {
    info!("{} {} is {:?}", Part::Membership, change.name, change.state);
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, actor_context: &mut Context<Self>) {
        let interval = millis(self.context.settings.timing.probe_interval_millis);
        actor_context.run_interval(interval, MembershipActor::tick);
    }
}

/// A peer's digest, to be answered by this node's.
#[derive(Message)]
#[rtype(result = "Digest")]
pub struct Exchange(pub Digest);

impl Handler<Exchange> for MembershipActor {
    type Result = MessageResult<Exchange>;

    fn handle(&mut self, exchange: Exchange, actor_context: &mut Context<Self>) -> Self::Result {
        let name = exchange.0.from.name.clone();
        let whole = self.is_told_everything(&exchange.0);
        self.take_in(exchange.0, None, actor_context);
        MessageResult(self.digest(Some(&name), whole))
    }
}

/// Asks whether this node reaches another one.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Probe(pub SocketAddr);

impl Handler<Probe> for MembershipActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, probe: Probe, _: &mut Context<Self>) -> Self::Result {
        let digest = self.digest(None, false);
        let peers = self.peers.clone();
        let timeout = self.probe_timeout();
        Box::pin(async move { peers.exchange(probe.0, &digest, timeout).await.is_ok() })
    }
}

/// Asks to tell all peers of a new generation at once.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceGeneration;

impl Handler<AnnounceGeneration> for MembershipActor {
    type Result = ();

    fn handle(&mut self, _: AnnounceGeneration, actor_context: &mut Context<Self>) {
        self.announce(actor_context);
    }
}

/// Asks to announce that this node is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceLeaving;

impl Handler<AnnounceLeaving> for MembershipActor {
    type Result = ();

    fn handle(&mut self, _: AnnounceLeaving, actor_context: &mut Context<Self>) {
        self.membership.announce_leaving();
        self.publish();
        self.announce(actor_context);
    }
}

/// Asks to announce the stopped nodes whose idempotency keys are held here.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceAdopted;

impl Handler<AnnounceAdopted> for MembershipActor {
    type Result = ();

    fn handle(&mut self, _: AnnounceAdopted, actor_context: &mut Context<Self>) {
        self.membership.announce_adopted(self.context.keys.adopted());
        self.publish();
        self.announce(actor_context);
    }
}
