//! The membership actor: probes peers, merges their updates and publishes the
//! members and the freshness of the configuration.

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

use super::configuration::{ApplyUpdate, ConfigurationActor, RecordStoreRead, StoreReadAge};
use crate::context::{NodeContext, own_member};
use crate::peer::PeerError;
use crate::peer::client::PeerClient;
use crate::peer::convert::Digest;
use crate::settings::millis;
use crate::telemetry::log::Part;

/// How long a dead member is kept before it is removed.
const DEAD_RETENTION: Duration = Duration::from_secs(600);
/// Timeout for pulling an update from a peer. A full configuration is large, and
/// when many nodes start at once its sender serves many of them; an early retry
/// would only add to its load.
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum time between two full exchanges with peers that are already known.
const FULL_EXCHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of peers to which urgent updates are pushed.
const ANNOUNCE_FAN_OUT: usize = 4;
/// One probe in this many goes to a seed that is not known to be alive, so that
/// two halves of a system that consider each other dead merge again.
const SEED_PROBE_INTERVAL: u64 = 8;

/// Owns this node's view of the members and exchanges updates with peers.
pub struct MembershipActor {
    context: Arc<NodeContext>,
    membership: Membership,
    peers: Rc<PeerClient>,
    configuration: Addr<ConfigurationActor>,
    /// Counts the ticks; determines when and which seed is probed.
    probes: u64,
    /// When the full state was last sent to a peer that was already known.
    last_full_exchange: Option<Timestamp>,
    /// Whether a pull of the configuration is in progress; only one runs at a time.
    pulling: bool,
    /// Age of the newest store read known, as of the last tick; none before the
    /// first read.
    store_read_age: Option<Duration>,
    freshness: Freshness,
    /// Revision of the members and freshness as last published.
    published: Option<(u64, Freshness)>,
}

impl MembershipActor {
    /// Starts with a view that contains only this node.
    pub fn new(
        context: Arc<NodeContext>,
        peers: Rc<PeerClient>,
        configuration: Addr<ConfigurationActor>,
    ) -> Self {
        let own = own_member(&context.settings, context.incarnation);
        let times = MembershipTimes {
            suspicion_timeout: millis(context.settings.timing.suspicion_millis),
            dead_retention: DEAD_RETENTION,
        };
        MembershipActor {
            membership: Membership::new(own, times),
            peers,
            configuration,
            probes: 0,
            pulling: false,
            last_full_exchange: None,
            store_read_age: None,
            freshness: Freshness::Isolated,
            published: None,
            context,
        }
    }

    fn tick(&mut self, actor_context: &mut Context<Self>) {
        let now = self.context.clock.now();
        for change in self.membership.tick(now) {
            log_state_change(&change);
        }
        self.refresh_store_age(actor_context);
        self.assess_freshness();
        self.publish();
        self.probe_next(actor_context);
    }

    /// Probes the next peer, or once in [`SEED_PROBE_INTERVAL`] probes a seed that
    /// is not known to be alive. A node without known peers probes a seed every
    /// time.
    fn probe_next(&mut self, actor_context: &mut Context<Self>) {
        self.probes += 1;
        let has_no_peers = self.membership.peers().next().is_none();
        if has_no_peers || self.probes.is_multiple_of(SEED_PROBE_INTERVAL) {
            let seeds = self.missing_seeds();
            let index =
                usize::try_from(self.probes / SEED_PROBE_INTERVAL + self.probes).unwrap_or(0);
            if let Some(seed) = seeds.get(index % seeds.len().max(1)) {
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

    /// Seeds whose addresses belong to no member that is alive or suspected.
    fn missing_seeds(&self) -> Vec<SocketAddr> {
        let known: BTreeSet<String> =
            self.membership.serving().map(|member| member.peer_address.clone()).collect();
        let seeds = self.context.settings.seeds.iter().copied();
        seeds.filter(|seed| !known.contains(&seed.to_string())).collect()
    }

    /// Probes a peer by exchanging updates with it. `name` is none for a seed,
    /// whose name need not be known. A peer that does not know this node yet
    /// answers with its full state.
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
                Ok(answer) => actor.merge_digest(answer, Some(address), actor_context),
                Err(error) => {
                    if let Some(name) = name {
                        actor.probe_indirectly(name, address, &error, actor_context);
                    }
                }
            }
        }));
    }

    /// Asks other peers to probe one that did not answer this node. If none of
    /// them reaches it, the probe has failed.
    fn probe_indirectly(
        &mut self,
        name: String,
        target: SocketAddr,
        error: &PeerError,
        actor_context: &mut Context<Self>,
    ) {
        debug!("{} probing {name} failed: {error}", Part::Membership);
        let probers = self.membership.indirect_probers(&name, &mut rand::rng());
        let addresses: Vec<SocketAddr> =
            probers.iter().filter_map(|prober| prober.peer_address.parse().ok()).collect();
        let peers = self.peers.clone();
        // The prober's own probe may take as long as a direct one, in addition to
        // the call to the prober.
        let timeout = 2 * self.probe_timeout();
        let reached_by_any = async move {
            let probes =
                addresses.iter().map(|prober| peers.probe_through(*prober, target, timeout));
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
            log_state_change(&change);
            self.publish();
        }
    }

    fn probe_timeout(&self) -> Duration {
        millis(self.context.settings.timing.probe_timeout_millis)
    }

    fn member_count(&self) -> u32 {
        u32::try_from(self.membership.members().count()).unwrap_or(u32::MAX)
    }

    /// Whether a peer gets the full state: if it is new, or if it knows fewer
    /// members because it missed an update, though the latter at most once per
    /// [`FULL_EXCHANGE_INTERVAL`].
    fn needs_full_state(&mut self, peer: &Digest) -> bool {
        if self.membership.member(&peer.from.name).is_none() {
            return true;
        }
        let now = self.context.clock.now();
        let due =
            self.last_full_exchange.is_none_or(|last| now.since(last) >= FULL_EXCHANGE_INTERVAL);
        let lacks_members = peer.member_count < self.member_count();
        if due && lacks_members {
            self.last_full_exchange = Some(now);
        }
        due && lacks_members
    }

    /// This node's digest for a peer; with `full`, it contains all members.
    fn digest(&mut self, peer: Option<&str>, full: bool) -> Digest {
        Digest {
            from: self.membership.own().clone(),
            generation: self.context.published.load().generation,
            store_read_age: self.store_read_age,
            members: self.membership.updates(peer, full),
            member_count: self.member_count(),
        }
    }

    /// Merges a peer's digest, and pulls its configuration if that is newer.
    fn merge_digest(
        &mut self,
        digest: Digest,
        address: Option<SocketAddr>,
        actor_context: &mut Context<Self>,
    ) {
        let now = self.context.clock.now();
        let name = digest.from.name.clone();
        let peer_address = address.or_else(|| digest.from.peer_address.parse().ok());
        let is_full = digest.members.len() > UPDATES_PER_EXCHANGE;
        let mut changes: Vec<MemberChange> = Vec::new();
        changes.extend(self.membership.merge(digest.from, now));
        for member in digest.members {
            changes.extend(if is_full {
                self.membership.merge_without_gossip(member, now)
            } else {
                self.membership.merge(member, now)
            });
        }
        changes.iter().for_each(log_state_change);
        self.membership.record_contact(&name, now);
        if let Some(age) = digest.store_read_age {
            self.configuration.do_send(RecordStoreRead(age));
        }
        let is_behind = digest.generation > self.context.published.load().generation;
        if let Some(peer_address) = peer_address.filter(|_| is_behind && !self.pulling) {
            self.pull(peer_address, actor_context);
        }
        self.publish();
    }

    /// Pulls the changes since the current generation from a peer.
    fn pull(&mut self, address: SocketAddr, actor_context: &mut Context<Self>) {
        self.pulling = true;
        let peers = self.peers.clone();
        let configuration = self.configuration.clone();
        let after = self.context.published.load().generation;
        let pull = async move {
            match peers.pull_configuration(address, after, PULL_TIMEOUT).await {
                Ok(Some(update)) => configuration.do_send(ApplyUpdate(update)),
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

    fn assess_freshness(&mut self) {
        let now = self.context.clock.now();
        let tolerance = millis(self.context.settings.timing.freshness_millis);
        let connections = Connectivity {
            store_read_age: self.store_read_age,
            known_peers: self.membership.expected_peers(),
            reachable_peers: self.membership.contacted_within(tolerance, now),
        };
        let freshness = assess(connections, tolerance);
        if freshness != self.freshness {
            info!("{} configuration freshness is {freshness:?}", Part::Membership);
            self.freshness = freshness;
        }
    }

    /// Publishes the members and freshness if either has changed.
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

    /// Pushes updates to the gossip targets at once instead of waiting for the
    /// next probes. The targets pass them on, so that they reach all nodes in a
    /// few hops.
    fn announce(&mut self, actor_context: &mut Context<Self>) {
        let targets = self.membership.gossip_targets(ANNOUNCE_FAN_OUT);
        let targets: Vec<Member> = targets.into_iter().cloned().collect();
        for target in targets {
            if let Ok(address) = target.peer_address.parse() {
                self.peers.keep_open(address);
                self.probe(Some(target.name), address, actor_context);
            }
        }
    }
}

fn log_state_change(change: &MemberChange) {
    info!("{} {} is {:?}", Part::Membership, change.name, change.state);
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, actor_context: &mut Context<Self>) {
        let interval = millis(self.context.settings.timing.probe_interval_millis);
        actor_context.run_interval(interval, MembershipActor::tick);
    }
}

/// An exchange started by a peer: carries its digest and returns this node's.
#[derive(Message)]
#[rtype(result = "Digest")]
pub struct Exchange(pub Digest);

impl Handler<Exchange> for MembershipActor {
    type Result = MessageResult<Exchange>;

    fn handle(&mut self, exchange: Exchange, actor_context: &mut Context<Self>) -> Self::Result {
        let name = exchange.0.from.name.clone();
        let full = self.needs_full_state(&exchange.0);
        self.merge_digest(exchange.0, None, actor_context);
        MessageResult(self.digest(Some(&name), full))
    }
}

/// Probes an address on behalf of another node; returns whether it answered.
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

/// Pushes a new generation to the gossip targets at once.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceGeneration;

impl Handler<AnnounceGeneration> for MembershipActor {
    type Result = ();

    fn handle(&mut self, _: AnnounceGeneration, actor_context: &mut Context<Self>) {
        self.announce(actor_context);
    }
}

/// Announces that this node is leaving.
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

/// Announces the stopped issuers whose idempotency tables this node holds.
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
