//! State of a node as a hub: the nodes that request digests from it, and what they were sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::leader_announcement::PlacementRelay;
use super::message::{Digest, DigestRequest};
use super::roster::Roster;

/// Minimum time between two versions of the roster. Changes in between are batched.
const ROSTER_UPDATE_INTERVAL: Duration = Duration::from_millis(350);
/// Time after which a version of the roster is sent again to a node that has not acknowledged
/// it. Nodes acknowledge it with their next heartbeat.
const ROSTER_RESEND_DELAY: Duration = Duration::from_millis(600);
/// Maximum number of bytes of full rosters that are sent to uninformed nodes at once: half of
/// the 128 KB queue of a small switch. When a whole fleet starts, all nodes turn to the same
/// seeds, whose links saturate.
const MAX_FULL_ROSTER_BYTES: usize = 64 * 1024;
/// Bytes that a roster takes for each node.
const BYTES_PER_MEMBER: usize = 5;
/// Minimum time between two digests, and two introductions, for an uninformed node.
const UNINFORMED_DIGEST_INTERVAL: Duration = Duration::from_millis(1150);
/// Time for which a node is sent digests after its last request, or after its last heartbeat that
/// showed it to be uninformed.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_millis(1500);
/// Time after its last request for which the silence of a node shows that it is gone.
const SUBSCRIBER_RETENTION: Duration = Duration::from_secs(3);

/// A node that uses this one as a hub.
#[derive(Clone, Copy, Debug)]
struct Subscriber {
    requested_at: Timestamp,
    request: DigestRequest,
    /// Version of the roster that it was last sent, and when.
    sent_roster: Option<(u64, Timestamp)>,
}

impl Subscriber {
    /// The part of the roster that it has to be sent, given the roster's version.
    fn missing_roster(&self, incarnation: u64, version: u64, now: Timestamp) -> RosterPart {
        let known = self
            .request
            .known_roster
            .filter(|known| known.incarnation == incarnation)
            .map(|known| known.number);
        let is_in_transit = |(sent, at)| sent == version && now.since(at) < ROSTER_RESEND_DELAY;
        match known {
            Some(known) if known == version => RosterPart::None,
            _ if self.sent_roster.is_some_and(is_in_transit) => RosterPart::None,
            Some(known) => RosterPart::ChangesSince(known),
            None => RosterPart::Full,
        }
    }
}

/// The part of the roster that a digest includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum RosterPart {
    None,
    /// Changes since a version.
    ChangesSince(u64),
    Full,
}

/// Nodes that are sent the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecipientGroup {
    /// Whether this is the first digest for these nodes.
    pub(super) is_new: bool,
    pub(super) wants_loads: bool,
    pub(super) missing_roster: RosterPart,
}

/// A node that knows far fewer nodes than this one.
#[derive(Clone, Copy, Debug)]
struct UninformedNode {
    noted_at: Timestamp,
    /// When it was last sent the addresses of the hubs.
    introduced_at: Option<Timestamp>,
    /// When it was last sent a digest of the fleet.
    digest_sent_at: Option<Timestamp>,
}

/// What a node keeps for the nodes that use it as a hub.
#[derive(Clone, Debug, Default)]
pub(super) struct HubState {
    /// Nodes that request digests from this one.
    subscribers: BTreeMap<SocketAddrV4, Subscriber>,
    /// Nodes that need digests and the addresses of the hubs until they know more nodes.
    uninformed: BTreeMap<SocketAddrV4, UninformedNode>,
    /// Subscribers that have not been sent any digest yet.
    new_subscribers: BTreeSet<SocketAddrV4>,
    pub(super) sequence: u64,
    pub(super) roster: Roster,
    pub(super) roster_updated: Option<Timestamp>,
    relay_to_subscribers: PlacementRelay,
    relay_to_hubs: PlacementRelay,
    pub(super) leader_notified: Option<Timestamp>,
}

impl HubState {
    /// Adds or refreshes a subscriber.
    pub(super) fn subscribe(
        &mut self,
        address: SocketAddrV4,
        request: DigestRequest,
        now: Timestamp,
    ) {
        let sent_roster =
            self.subscribers.get(&address).and_then(|subscriber| subscriber.sent_roster);
        if self
            .subscribers
            .insert(address, Subscriber { requested_at: now, request, sent_roster })
            .is_none()
        {
            self.new_subscribers.insert(address);
        }
    }

    /// Records that a node knows far fewer nodes than this one.
    pub(super) fn note_uninformed(&mut self, address: SocketAddrV4, now: Timestamp) {
        let new = UninformedNode { noted_at: now, introduced_at: None, digest_sent_at: None };
        self.uninformed.entry(address).or_insert(new).noted_at = now;
    }

    /// Whether a node has sent its heartbeats here until recently, so that silence shows that it
    /// is gone.
    pub(super) fn has_subscriber(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.subscribers
            .get(&address)
            .is_some_and(|subscriber| now.since(subscriber.requested_at) <= SUBSCRIBER_RETENTION)
    }

    /// Whether there are any subscribers, including those that have stopped their requests but
    /// are still retained.
    pub(super) fn has_subscribers(&self) -> bool {
        !self.subscribers.is_empty()
    }

    /// Whether any node uses this one as a hub now.
    pub(super) fn has_active_subscribers(&self, now: Timestamp) -> bool {
        self.subscribers
            .values()
            .any(|subscriber| now.since(subscriber.requested_at) <= SUBSCRIPTION_LIFETIME)
    }

    /// Drops nodes that have not sent requests for some time, and returns whether any are left
    /// that need digests.
    pub(super) fn has_recipients(&mut self, now: Timestamp) -> bool {
        self.subscribers
            .retain(|_, subscriber| now.since(subscriber.requested_at) <= SUBSCRIBER_RETENTION);
        self.uninformed.retain(|_, node| now.since(node.noted_at) <= SUBSCRIPTION_LIFETIME);
        !self.uninformed.is_empty() || self.has_active_subscribers(now)
    }

    /// Whether a new version of the roster may be created now. New subscribers do not wait for
    /// the interval.
    pub(super) fn roster_update_is_due(&self, now: Timestamp) -> bool {
        let interval_elapsed =
            self.roster_updated.is_none_or(|updated| now.since(updated) >= ROSTER_UPDATE_INTERVAL);
        interval_elapsed || !self.new_subscribers.is_empty()
    }

    /// The nodes that are sent digests now, grouped by the content of the digest. The roster is
    /// recorded as sent to them.
    pub(super) fn recipient_groups(
        &mut self,
        uninformed: &[SocketAddrV4],
        incarnation: u64,
        now: Timestamp,
    ) -> BTreeMap<RecipientGroup, Vec<SocketAddrV4>> {
        let version = self.roster.version();
        let new_subscribers = std::mem::take(&mut self.new_subscribers);
        let mut groups: BTreeMap<RecipientGroup, Vec<SocketAddrV4>> = BTreeMap::new();
        let mut add = |address: SocketAddrV4, wants_loads: bool, missing_roster: RosterPart| {
            let is_new = new_subscribers.contains(&address);
            let group = RecipientGroup { is_new, wants_loads, missing_roster };
            groups.entry(group).or_default().push(address);
        };
        for (address, subscriber) in &mut self.subscribers {
            if now.since(subscriber.requested_at) > SUBSCRIPTION_LIFETIME {
                continue;
            }
            let missing_roster = subscriber.missing_roster(incarnation, version, now);
            if missing_roster != RosterPart::None {
                subscriber.sent_roster = Some((version, now));
            }
            add(*address, subscriber.request.wants_loads, missing_roster);
        }
        for address in uninformed {
            add(*address, false, RosterPart::Full);
        }
        groups
    }

    /// Uninformed nodes that are sent the addresses of the hubs now, which is recorded.
    pub(super) fn next_introductions(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let is_due = |node: &UninformedNode| {
            node.introduced_at
                .is_none_or(|introduced| now.since(introduced) >= UNINFORMED_DIGEST_INTERVAL)
        };
        let due = self.uninformed.iter_mut().filter(|(_, node)| is_due(node));
        due.map(|(address, node)| {
            node.introduced_at = Some(now);
            *address
        })
        .collect()
    }

    /// Uninformed nodes that are sent a digest of the fleet now, which is recorded. Nodes that
    /// have waited longest come first.
    pub(super) fn next_uninformed(&mut self, members: usize, now: Timestamp) -> Vec<SocketAddrV4> {
        let is_due = |node: &UninformedNode| {
            node.digest_sent_at.is_none_or(|at| now.since(at) >= UNINFORMED_DIGEST_INTERVAL)
        };
        let waiting = self.uninformed.iter().filter(|(_, node)| is_due(node));
        let waiting = waiting.filter(|(address, _)| !self.subscribers.contains_key(*address));
        let mut waiting: Vec<_> =
            waiting.map(|(address, node)| (node.digest_sent_at, *address)).collect();
        waiting.sort_unstable();
        waiting.truncate(MAX_FULL_ROSTER_BYTES / (members.max(1) * BYTES_PER_MEMBER));
        let next: Vec<SocketAddrV4> = waiting.into_iter().map(|(_, address)| address).collect();
        for address in &next {
            if let Some(node) = self.uninformed.get_mut(address) {
                node.digest_sent_at = Some(now);
            }
        }
        next
    }

    /// A digest for subscribers, without the leader's placement if they were sent it recently.
    pub(super) fn for_subscribers(&mut self, mut digest: Digest, now: Timestamp) -> Digest {
        if let Some(relayed) = &mut digest.placement
            && !self.relay_to_subscribers.full_is_due(relayed.version, now)
        {
            relayed.placement = None;
        }
        digest
    }

    /// The same for a digest to other hubs.
    pub(super) fn for_hubs(&mut self, mut digest: Digest, now: Timestamp) -> Digest {
        if let Some(relayed) = &mut digest.placement
            && !self.relay_to_hubs.full_is_due_for_hubs(relayed.version, now)
        {
            relayed.placement = None;
        }
        digest
    }
}
