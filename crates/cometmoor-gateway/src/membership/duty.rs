//! What a hub owes the nodes that ask it, and what it has told them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::Timestamp;

use super::leader_word::ToldWord;
use super::message::{Digest, DigestRequest};
use super::roster::Roster;

/// Time between two changes of the list of nodes that a hub tells: what changes
/// meanwhile is told together.
const CHANGES_EACH: Duration = Duration::from_millis(350);
/// Time after which a version of the list is told again to a node that has not said
/// that it has it. Nodes say so by their next heartbeat.
const TOLD_AGAIN_AFTER: Duration = Duration::from_millis(600);
/// Most bytes of whole lists that nodes which know few others are told at once. Where a
/// whole fleet starts, all turn to the same seeds, whose links fill: half of the queue
/// of 128 KB that a small switch has.
const MOST_LIST_BYTES: usize = 64 * 1024;
/// Bytes of a list for each node that it names.
const BYTES_LISTED: usize = 5;
/// Time between two digests for a node that knows few others.
const WHOLE_EACH: Duration = Duration::from_millis(1150);
/// Time for which a node that asked gets digests.
const ANSWERED_FOR: Duration = Duration::from_millis(1500);
/// Time for which the silence of a node that asked tells that it is gone.
const SERVED_FOR: Duration = Duration::from_secs(3);

/// A node that takes this one for its hub.
#[derive(Clone, Copy, Debug)]
struct Asker {
    asked: Timestamp,
    question: DigestRequest,
    /// The version of the list that it was last told, and when.
    told: Option<(u64, Timestamp)>,
}

impl Asker {
    /// Which part of the list to tell it, given the list's version.
    fn lacks(&self, incarnation: u64, version: u64, now: Timestamp) -> ListPart {
        let has = self
            .question
            .known_roster
            .filter(|has| has.incarnation == incarnation)
            .map(|has| has.number);
        let is_on_its_way = |(told, at)| told == version && now.since(at) < TOLD_AGAIN_AFTER;
        match has {
            Some(has) if has == version => ListPart::Nothing,
            _ if self.told.is_some_and(is_on_its_way) => ListPart::Nothing,
            Some(has) => ListPart::Since(has),
            None => ListPart::Whole,
        }
    }
}

/// The part of the list of nodes that a digest tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ListPart {
    Nothing,
    /// What has changed since a version.
    Since(u64),
    Whole,
}

/// Nodes that get the same digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Audience {
    /// Whether they have been told nothing yet.
    pub(super) is_new: bool,
    pub(super) wants_loads: bool,
    pub(super) lacks: ListPart,
}

/// A node that knows few others.
#[derive(Clone, Copy, Debug)]
struct Uninformed {
    noted: Timestamp,
    /// When it was last told the hubs.
    introduced: Option<Timestamp>,
    /// When it was last told of the fleet.
    told: Option<Timestamp>,
}

/// What a node does for those that take it for their hub.
#[derive(Clone, Debug, Default)]
pub(super) struct HubDuty {
    /// Nodes that take this one for their hub.
    asked: BTreeMap<SocketAddrV4, Asker>,
    /// Nodes that need digests and the hubs' addresses until they know more.
    uninformed: BTreeMap<SocketAddrV4, Uninformed>,
    /// Those that asked and have been told nothing yet.
    newcomers: BTreeSet<SocketAddrV4>,
    pub(super) sequence: u64,
    pub(super) roster: Roster,
    pub(super) roster_set: Option<Timestamp>,
    leader_word: ToldWord,
    leader_word_to_hubs: ToldWord,
    pub(super) leader_told: Option<Timestamp>,
}

impl HubDuty {
    /// Notes that a node asked for digests.
    pub(super) fn asked(&mut self, address: SocketAddrV4, question: DigestRequest, now: Timestamp) {
        let told = self.asked.get(&address).and_then(|asker| asker.told);
        if self.asked.insert(address, Asker { asked: now, question, told }).is_none() {
            self.newcomers.insert(address);
        }
    }

    /// Notes that a node knows few others.
    pub(super) fn needs_digest(&mut self, address: SocketAddrV4, now: Timestamp) {
        let fresh = Uninformed { noted: now, introduced: None, told: None };
        self.uninformed.entry(address).or_insert(fresh).noted = now;
    }

    /// Whether a node sends its heartbeats here, so that its silence tells.
    pub(super) fn serves(&self, address: SocketAddrV4, now: Timestamp) -> bool {
        self.asked.get(&address).is_some_and(|asker| now.since(asker.asked) <= SERVED_FOR)
    }

    /// Whether any node has lately sent its heartbeats here.
    pub(super) fn serves_any(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Whether nodes take this one for their hub.
    pub(super) fn is_on_duty(&self, now: Timestamp) -> bool {
        self.asked.values().any(|asker| now.since(asker.asked) <= ANSWERED_FOR)
    }

    /// Forgets nodes that have not asked for long; whether any are left to tell.
    pub(super) fn has_audience(&mut self, now: Timestamp) -> bool {
        self.asked.retain(|_, asker| now.since(asker.asked) <= SERVED_FOR);
        self.uninformed.retain(|_, node| now.since(node.noted) <= ANSWERED_FOR);
        !self.uninformed.is_empty() || self.is_on_duty(now)
    }

    /// Whether the list may be set anew now.
    pub(super) fn roster_may_be_set(&self, now: Timestamp) -> bool {
        let has_rested = self.roster_set.is_none_or(|set| now.since(set) >= CHANGES_EACH);
        has_rested || !self.newcomers.is_empty()
    }

    /// Nodes that get digests now, by what they get; notes that they do.
    pub(super) fn audiences(
        &mut self,
        informed: &[SocketAddrV4],
        incarnation: u64,
        now: Timestamp,
    ) -> BTreeMap<Audience, Vec<SocketAddrV4>> {
        let version = self.roster.version();
        let newcomers = std::mem::take(&mut self.newcomers);
        let mut audiences: BTreeMap<Audience, Vec<SocketAddrV4>> = BTreeMap::new();
        let mut add = |address: SocketAddrV4, wants_loads: bool, lacks: ListPart| {
            let is_new = newcomers.contains(&address);
            let audience = Audience { is_new, wants_loads, lacks };
            audiences.entry(audience).or_default().push(address);
        };
        for (address, asker) in &mut self.asked {
            if now.since(asker.asked) > ANSWERED_FOR {
                continue;
            }
            let lacks = asker.lacks(incarnation, version, now);
            if lacks != ListPart::Nothing {
                asker.told = Some((version, now));
            }
            add(*address, asker.question.wants_loads, lacks);
        }
        for address in informed {
            add(*address, false, ListPart::Whole);
        }
        audiences
    }

    /// Nodes that know few others and are told the hubs now; notes that they are.
    pub(super) fn introduced_now(&mut self, now: Timestamp) -> Vec<SocketAddrV4> {
        let is_due = |node: &Uninformed| {
            node.introduced.is_none_or(|introduced| now.since(introduced) >= WHOLE_EACH)
        };
        let due = self.uninformed.iter_mut().filter(|(_, node)| is_due(node));
        due.map(|(address, node)| {
            node.introduced = Some(now);
            *address
        })
        .collect()
    }

    /// Nodes that know few others and are told of the fleet now, those first that have
    /// waited longest; notes that they are.
    pub(super) fn informed_now(&mut self, members: usize, now: Timestamp) -> Vec<SocketAddrV4> {
        let is_due = |node: &Uninformed| node.told.is_none_or(|at| now.since(at) >= WHOLE_EACH);
        let waiting = self.uninformed.iter().filter(|(_, node)| is_due(node));
        let waiting = waiting.filter(|(address, _)| !self.asked.contains_key(*address));
        let mut waiting: Vec<_> = waiting.map(|(address, node)| (node.told, *address)).collect();
        waiting.sort_unstable();
        waiting.truncate(MOST_LIST_BYTES / (members.max(1) * BYTES_LISTED));
        let informed: Vec<SocketAddrV4> = waiting.into_iter().map(|(_, address)| address).collect();
        for address in &informed {
            if let Some(node) = self.uninformed.get_mut(address) {
                node.told = Some(now);
            }
        }
        informed
    }

    /// A digest for nodes, without the leader's placement where that was told a moment
    /// ago.
    pub(super) fn for_nodes(&mut self, mut digest: Digest, now: Timestamp) -> Digest {
        if let Some(told) = &mut digest.placement
            && !self.leader_word.whole_is_due(told.version, now)
        {
            told.whole = None;
        }
        digest
    }

    /// The same for other hubs.
    pub(super) fn for_hubs(&mut self, mut digest: Digest, now: Timestamp) -> Digest {
        if let Some(told) = &mut digest.placement
            && !self.leader_word_to_hubs.whole_is_due_to_hubs(told.version, now)
        {
            told.whole = None;
        }
        digest
    }
}
