//! Copies of the store's prefixes, and how they come from peers.

use std::net::SocketAddrV4;
use std::time::Duration;

use actix::{AsyncContext, Context, Handler, Message};
use bytes::Bytes;
use cometmoor_core::gateway::store_position::StorePosition;
use cometmoor_core::time::BootInstant;
use spdlog::info;

use super::FleetState;
use crate::clock;
use crate::membership::{CopyAge, CopyVersions, Member};
use crate::mirror::{Mirror, MirrorUpdate, MirroredItem};
use crate::peer::{StorePrefix, encode_update, fetch_update};
use crate::published::age_millis;

/// Pause after a peer did not give its copy; another one's heartbeat comes soon.
const FETCH_PAUSE: Duration = Duration::from_millis(50);
/// Time between two fetches of a copy of the servers from a node of the same
/// zone. With the reader's own pause it is a small part of the time within
/// which a leaving server must get no new work.
const GATHER_NEAR: Duration = Duration::from_millis(200);
/// The same from a node of another zone.
const GATHER_FAR: Duration = Duration::from_millis(600);

/// A copy of one of the store's prefixes, with what is known of its age.
#[derive(Default)]
pub(super) struct Copy {
    pub(super) mirror: Mirror,
    /// When the store last gave an answer, to anybody, by which the copy lacks
    /// nothing; an open watch that says nothing is no answer.
    pub(super) confirmed: Option<BootInstant>,
    /// The same, as far as other nodes told of it.
    confirmed_to_peers: Option<BootInstant>,
    /// The latest point at which the store is known to have held nothing newer: begins of
    /// calls that it answered, and answers of peers counted from the question.
    pub(super) proven: Option<BootInstant>,
    /// Whether the store left this node's last call without an answer.
    pub(super) watch_failing: bool,
    pub(super) fetching: bool,
    behind: Option<Behind>,
    encoded: Option<EncodedUpdate>,
    restored: Option<RestoredCopy>,
}

/// How a copy of a new era differed from the one before.
#[derive(Clone, Copy)]
struct RestoredCopy {
    /// Revision of the first copy of the era that this node took.
    first_revision: u64,
    /// Version and revision of the item before, if its writer numbers its versions.
    before: Option<(u64, u64)>,
}

impl RestoredCopy {
    /// Whether an item has certainly been written in the new era.
    fn is_rewritten(&self, item: &MirroredItem) -> bool {
        let is_same_version_at_another_revision = self.before.is_some_and(|(version, revision)| {
            item.version == Some(version) && item.revision != revision
        });
        item.revision > self.first_revision || is_same_version_at_another_revision
    }
}

/// Version and revision of the item of a copy that the store has not lost and whose writer
/// numbers its versions.
fn numbered_item(mirror: &Mirror) -> Option<(u64, u64)> {
    let mut known = mirror.items.values().filter(|item| !item.is_lost);
    known.find_map(|item| Some((item.version?, item.revision)))
}

/// What was last told to a peer; others often ask for the same.
struct EncodedUpdate {
    at: StorePosition,
    after: StorePosition,
    bytes: Bytes,
}

/// Since when a peer has been known to have more than a copy as of this point.
#[derive(Clone, Copy)]
struct Behind {
    at: StorePosition,
    since: BootInstant,
}

impl Copy {
    /// Milliseconds since the store last confirmed it; -1 where it never did.
    pub(super) fn age_millis(&self) -> i64 {
        age_millis(self.confirmed)
    }

    /// Time since the store last confirmed it; none where it never did.
    pub(super) fn age(&self) -> Option<Duration> {
        self.confirmed.map(clock::elapsed)
    }

    /// Whether the store last confirmed it longer ago than `patience`, as far as
    /// is known here.
    pub(super) fn is_older_than(&self, patience: Duration) -> bool {
        self.age().is_none_or(|age| age >= patience)
    }

    /// Time since the store last confirmed it, by what other nodes told.
    pub(super) fn age_told_by_peers(&self) -> Option<Duration> {
        self.confirmed_to_peers.map(clock::elapsed)
    }

    /// As others are told of its age.
    pub(super) fn told_age(&self) -> CopyAge {
        self.age().and_then(|age| u32::try_from(age.as_millis()).ok())
    }

    /// Time since the copy was shown to be the newest.
    pub(super) fn proof_age(&self) -> Option<Duration> {
        self.proven.map(clock::elapsed)
    }

    /// Notes a point at which the store is known to have held nothing newer.
    pub(super) fn prove(&mut self, at: Option<BootInstant>) {
        self.proven = self.proven.max(at);
    }

    /// Takes a peer's word that the store confirmed a copy no newer than this one
    /// so long ago.
    fn confirm_through_peer(&mut self, age: CopyAge) {
        let Some(age) = age else { return };
        let at = clock::now().checked_sub(Duration::from_millis(age.into()));
        self.confirmed = self.confirmed.max(at);
        self.confirmed_to_peers = self.confirmed_to_peers.max(at);
    }

    /// What a copy as of `after` lacks, as sent to peers; none where nothing was read.
    pub(super) fn encoded_since(&mut self, after: StorePosition) -> Option<Bytes> {
        let at = self.mirror.at;
        let known = self.encoded.as_ref().filter(|known| (known.at, known.after) == (at, after));
        if let Some(known) = known {
            return Some(known.bytes.clone());
        }
        if !self.mirror.exists() {
            return None;
        }
        let bytes = Bytes::from(encode_update(&self.mirror.since(after)));
        self.encoded = Some(EncodedUpdate { at, after, bytes: bytes.clone() });
        Some(bytes)
    }

    /// Takes what leads on from this copy, the store's or a peer's; tells whether an item
    /// changed.
    pub(super) fn update(&mut self, subject: StorePrefix, update: MirrorUpdate) -> bool {
        let (before, item_before) = (self.mirror.at, numbered_item(&self.mirror));
        let changed = self.mirror.update(update);
        if changed {
            self.encoded = None;
        }
        if before.era != self.mirror.at.era {
            let first_revision = self.mirror.at.revision;
            self.restored = Some(RestoredCopy { first_revision, before: item_before });
            self.log_new_era(subject, before);
        }
        changed
    }

    /// Whether an item has certainly been written since the store was restored; true where it
    /// never was.
    pub(super) fn is_rewritten(&self, item: &MirroredItem) -> bool {
        self.restored.is_none_or(|restored| restored.is_rewritten(item))
    }

    fn log_new_era(&self, subject: StorePrefix, before: StorePosition) {
        if before.revision > 0 {
            let (what, age_millis) = (subject.name(), self.age_millis());
            let (at, before) = (self.mirror.at.to_string(), before.to_string());
            let items = self.mirror.items.len();
            info!("[store] a copy of a new era replaces the one before", kv: { what, at, before, items, age_millis });
        }
    }

    /// Whether a peer is known to have a newer copy.
    pub(super) fn is_known_behind(&self) -> bool {
        self.behind.is_some_and(|behind| behind.at == self.mirror.at)
    }

    /// Notes that a peer has a newer copy; whether one has had it for so long
    /// while this copy stood still. A watch that the store has forgotten, or
    /// whose answer a partition holds up, does not fail for many seconds.
    fn is_behind_for(&mut self, span: Duration) -> bool {
        let (at, now) = (self.mirror.at, clock::now());
        match self.behind {
            Some(behind) if behind.at == at => now.since(behind.since) >= span,
            _ => {
                self.behind = Some(Behind { at, since: now });
                false
            }
        }
    }

    /// Notes that the store has answered a call.
    pub(super) fn confirm(&mut self, subject: StorePrefix) {
        if self.watch_failing {
            let (what, age_millis) = (subject.name(), self.age_millis());
            info!("[store] answers again", kv: { what, age_millis });
        }
        self.confirmed = Some(clock::now());
        self.watch_failing = false;
    }
}

/// How new a peer's copies are.
pub(super) struct PeerCopies {
    pub(super) address: SocketAddrV4,
    pub(super) zone: String,
    pub(super) versions: CopyVersions,
}

impl FleetState {
    /// Asks a peer for its copy where the store does not answer this node and
    /// the peer's copy is newer.
    pub(super) fn catch_up(&mut self, peer: &PeerCopies, context: &mut Context<FleetState>) {
        let told = peer.versions;
        if told.servers.revision > 0 {
            self.context.store.eras().note_peer(told.servers.era);
        }
        let patience = self.patience();
        let newer = [
            (
                StorePrefix::Configuration,
                told.configuration > self.configuration.version(),
                told.configuration_age,
            ),
            (
                StorePrefix::Servers,
                told.servers > self.copies[&StorePrefix::Servers].mirror.at,
                told.servers_age,
            ),
        ];
        for (subject, newer, age) in newer {
            let learns = !self.reads(subject);
            let copy = self.copy(subject);
            if !newer {
                copy.confirm_through_peer(age);
                copy.watch_failing &= !learns || copy.is_older_than(patience);
                continue;
            }
            let was_known = copy.is_known_behind();
            let stands_still = copy.is_behind_for(watch_lead(subject));
            let unanswered = copy.watch_failing || copy.is_older_than(patience);
            let lagging = learns || unanswered || stands_still;
            let fetching = copy.fetching;
            if subject == StorePrefix::Configuration && !was_known {
                self.publish();
            }
            if lagging && !fetching && self.may_fetch(subject, peer) {
                self.copy(subject).fetching = true;
                let source = self.source_of(subject, peer);
                self.fetch(subject, source, context);
            }
        }
    }

    /// Whether a peer's copy is asked for now. Changes of the servers come often:
    /// in a large fleet, those of a moment are asked for together, at a node of
    /// the same zone if one has them soon.
    fn may_fetch(&mut self, subject: StorePrefix, peer: &PeerCopies) -> bool {
        let now = self.now();
        if subject == StorePrefix::Configuration || self.peers.is_small_fleet() {
            return true;
        }
        let near = peer.zone == self.context.settings.zone;
        let pause = if near { GATHER_NEAR } else { GATHER_FAR };
        let due = self.servers_fetched.is_none_or(|fetched| now.since(fetched) >= pause);
        if due {
            self.servers_fetched = Some(now);
        }
        due
    }

    /// The node whose copy is fetched. A configuration may be large, and all nodes
    /// that hear of it from one hub want it at once: they spread over the hubs that have it,
    /// which ask the nodes that read the store, and over such nodes of their own zone. From
    /// the four nodes that read the store alone, 301 nodes before 2,999 servers had a
    /// configuration in force after 2.6 s (played day), and most of it crossed zones.
    fn source_of(&self, subject: StorePrefix, peer: &PeerCopies) -> SocketAddrV4 {
        if subject == StorePrefix::Servers || self.peers.is_small_fleet() {
            return peer.address;
        }
        let is_hub = self.peers.is_hub();
        let reads_near = |member: &&Member| {
            member.entry.reads_store && (is_hub || member.zone == self.context.settings.zone)
        };
        let readers = self.peers.members().iter().filter(reads_near);
        let readers: Vec<SocketAddrV4> = readers.map(Member::address).collect();
        let place = rand::random_range(0..=readers.len());
        readers.get(place).copied().unwrap_or(peer.address)
    }

    fn fetch(&self, subject: StorePrefix, peer: SocketAddrV4, context: &mut Context<FleetState>) {
        let fleet = context.address();
        // A configuration is one item, and its newest version need not be the store's.
        let after = match subject {
            StorePrefix::Configuration => StorePosition::default(),
            StorePrefix::Servers => self.copies[&subject].mirror.at,
        };
        actix_rt::spawn(async move {
            let result = fetch_update(peer, subject, after).await;
            if result.is_err() {
                clock::sleep(FETCH_PAUSE).await;
            }
            fleet.do_send(PeerCopy { subject, peer, update: result.ok() });
        });
    }
}

/// Time that this node's own watch has to bring what a peer already has.
fn watch_lead(subject: StorePrefix) -> Duration {
    match subject {
        StorePrefix::Configuration => Duration::from_millis(400),
        StorePrefix::Servers => Duration::from_millis(450),
    }
}

/// A peer's copy, or none where it did not answer.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct PeerCopy {
    pub(super) subject: StorePrefix,
    pub(super) peer: SocketAddrV4,
    pub(super) update: Option<MirrorUpdate>,
}

impl Handler<PeerCopy> for FleetState {
    type Result = ();

    fn handle(&mut self, answer: PeerCopy, _: &mut Context<FleetState>) {
        let copy = self.copy(answer.subject);
        copy.fetching = false;
        let Some(update) = answer.update else { return };
        if copy.update(answer.subject, update) {
            let (what, at) = (answer.subject.name(), copy.mirror.at.to_string());
            info!("[peers] a newer copy was taken", kv: { what, peer = answer.peer.to_string(), at });
            self.take_in(answer.subject);
            if answer.subject == StorePrefix::Configuration {
                // Those that ask this node for digests wait for it.
                self.context.board.heartbeat_wanted.notify_one();
            }
        }
    }
}
