//! Copies of the store's prefixes, and how they are fetched from peers.

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

/// Delay after a failed fetch from a peer. It is short because the heartbeat of another peer
/// follows soon.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum time between two fetches of a copy of the servers in a large fleet from a node of
/// the same zone. Together with the reader's own delay it is a small part of the time within
/// which a leaving server must get no new work.
const FETCH_INTERVAL_SAME_ZONE: Duration = Duration::from_millis(200);
/// The same from a node of another zone.
const FETCH_INTERVAL_OTHER_ZONE: Duration = Duration::from_millis(600);

/// A copy of one of the store's prefixes, with what is known of its age.
#[derive(Default)]
pub(super) struct Copy {
    pub(super) mirror: Mirror,
    /// When the store last gave an answer, to any node, that shows that the copy lacks nothing.
    /// An open watch that stays silent is not an answer.
    pub(super) confirmed: Option<BootInstant>,
    /// The same, by the reports of other nodes only.
    peer_reported_confirmed: Option<BootInstant>,
    /// The latest time at which the store is known to have held nothing newer: starts of calls
    /// that it answered, and answers of peers counted from the request.
    pub(super) proven: Option<BootInstant>,
    /// Whether the store did not answer this node's last call.
    pub(super) is_store_failing: bool,
    pub(super) is_fetching: bool,
    behind: Option<Behind>,
    encoded: Option<EncodedUpdate>,
    restored: Option<RestoredCopy>,
}

/// The change of the copy when a new era began, to tell which items were written in that era.
#[derive(Clone, Copy)]
struct RestoredCopy {
    /// Revision of this node's first copy of the era.
    first_revision: u64,
    /// Version and revision of the item before the restore, if its writer numbers its versions.
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
fn versioned_item(mirror: &Mirror) -> Option<(u64, u64)> {
    let mut stored = mirror.items.values().filter(|item| !item.is_lost);
    stored.find_map(|item| Some((item.version?, item.revision)))
}

/// Cache of the last update sent to a peer, because several peers often request the same.
struct EncodedUpdate {
    position: StorePosition,
    after: StorePosition,
    bytes: Bytes,
}

/// Since when a peer has been known to have a newer copy than the one at `position`.
#[derive(Clone, Copy)]
struct Behind {
    position: StorePosition,
    since: BootInstant,
}

impl Copy {
    /// Milliseconds since the store last confirmed it; -1 if it never did.
    pub(super) fn age_millis(&self) -> i64 {
        age_millis(self.confirmed)
    }

    /// Time since the store last confirmed it to any node, as far as this node knows; `None` if
    /// it never did.
    pub(super) fn age(&self) -> Option<Duration> {
        self.confirmed.map(clock::elapsed)
    }

    /// Whether the store last confirmed it at least `limit` ago or never, as far as this node
    /// knows.
    pub(super) fn is_older_than(&self, limit: Duration) -> bool {
        self.age().is_none_or(|age| age >= limit)
    }

    /// Time since the store last confirmed it, by the reports of other nodes only.
    pub(super) fn peer_reported_age(&self) -> Option<Duration> {
        self.peer_reported_confirmed.map(clock::elapsed)
    }

    /// The age as reported to other nodes.
    pub(super) fn reported_age(&self) -> CopyAge {
        self.age().and_then(|age| u32::try_from(age.as_millis()).ok())
    }

    /// Time since the copy was proven to be the newest; `None` if it never was.
    pub(super) fn proof_age(&self) -> Option<Duration> {
        self.proven.map(clock::elapsed)
    }

    /// Records that the store held nothing newer at `at`.
    pub(super) fn record_proof(&mut self, at: Option<BootInstant>) {
        self.proven = self.proven.max(at);
    }

    /// Records a peer's report that the store confirmed, `age` ago, a copy no newer than this
    /// one.
    fn confirm_through_peer(&mut self, age: CopyAge) {
        let Some(age) = age else { return };
        let at = clock::now().checked_sub(Duration::from_millis(age.into()));
        self.confirmed = self.confirmed.max(at);
        self.peer_reported_confirmed = self.peer_reported_confirmed.max(at);
    }

    /// The encoded changes that a copy at position `after` lacks; `None` if this node has no
    /// copy.
    pub(super) fn encoded_changes_since(&mut self, after: StorePosition) -> Option<Bytes> {
        let position = self.mirror.position;
        let cached = self
            .encoded
            .as_ref()
            .filter(|cached| (cached.position, cached.after) == (position, after));
        if let Some(cached) = cached {
            return Some(cached.bytes.clone());
        }
        if !self.mirror.exists() {
            return None;
        }
        let bytes = Bytes::from(encode_update(&self.mirror.changes_since(after)));
        self.encoded = Some(EncodedUpdate { position, after, bytes: bytes.clone() });
        Some(bytes)
    }

    /// Applies an update from the store or a peer. Returns whether an item changed.
    pub(super) fn update(&mut self, prefix: StorePrefix, update: MirrorUpdate) -> bool {
        let (before, item_before) = (self.mirror.position, versioned_item(&self.mirror));
        let changed = self.mirror.apply_update(update);
        if changed {
            self.encoded = None;
        }
        if before.era != self.mirror.position.era {
            let first_revision = self.mirror.position.revision;
            self.restored = Some(RestoredCopy { first_revision, before: item_before });
            self.log_new_era(prefix, before);
        }
        changed
    }

    /// Whether an item has certainly been written since the store was restored; true if it
    /// never was.
    pub(super) fn is_rewritten(&self, item: &MirroredItem) -> bool {
        self.restored.is_none_or(|restored| restored.is_rewritten(item))
    }

    fn log_new_era(&self, prefix: StorePrefix, before: StorePosition) {
        if before.revision > 0 {
            let (what, age_millis) = (prefix.name(), self.age_millis());
            let (at, before) = (self.mirror.position.to_string(), before.to_string());
            let items = self.mirror.items.len();
            info!("[store] replaced the copy by one of a new era", kv: { what, at, before, items, age_millis });
        }
    }

    /// Whether a peer is known to have a newer copy.
    pub(super) fn is_known_behind(&self) -> bool {
        self.behind.is_some_and(|behind| behind.position == self.mirror.position)
    }

    /// Records that a peer has a newer copy. Returns whether a peer has had one for at least
    /// `span` while this copy did not change. A watch that the store has dropped, or whose
    /// answer a partition delays, does not fail for many seconds.
    fn is_behind_for(&mut self, span: Duration) -> bool {
        let (position, now) = (self.mirror.position, clock::now());
        match self.behind {
            Some(behind) if behind.position == position => now.since(behind.since) >= span,
            _ => {
                self.behind = Some(Behind { position, since: now });
                false
            }
        }
    }

    /// Records that the store has answered a call of this node.
    pub(super) fn confirm(&mut self, prefix: StorePrefix) {
        if self.is_store_failing {
            let (what, age_millis) = (prefix.name(), self.age_millis());
            info!("[store] answers again", kv: { what, age_millis });
        }
        self.confirmed = Some(clock::now());
        self.is_store_failing = false;
    }
}

/// The versions of a peer's copies.
pub(super) struct PeerCopies {
    pub(super) address: SocketAddrV4,
    pub(super) zone: String,
    pub(super) versions: CopyVersions,
}

impl FleetState {
    /// Fetches a peer's copy if it is newer and this node does not get the changes from the
    /// store itself.
    pub(super) fn catch_up(&mut self, peer: &PeerCopies, context: &mut Context<FleetState>) {
        let versions = peer.versions;
        if versions.servers.revision > 0 {
            self.context.store.eras().note_peer_era(versions.servers.era);
        }
        let refresh_age = self.refresh_age();
        let comparisons = [
            (
                StorePrefix::Configuration,
                versions.configuration > self.configuration.version(),
                versions.configuration_age,
            ),
            (
                StorePrefix::Servers,
                versions.servers > self.copies[&StorePrefix::Servers].mirror.position,
                versions.servers_age,
            ),
        ];
        for (prefix, is_newer, age) in comparisons {
            let relies_on_peers = !self.is_reader(prefix);
            let copy = self.copy(prefix);
            if !is_newer {
                copy.confirm_through_peer(age);
                copy.is_store_failing &= !relies_on_peers || copy.is_older_than(refresh_age);
                continue;
            }
            let was_known = copy.is_known_behind();
            let is_stalled = copy.is_behind_for(watch_head_start(prefix));
            let is_unanswered = copy.is_store_failing || copy.is_older_than(refresh_age);
            let needs_fetch = relies_on_peers || is_unanswered || is_stalled;
            let is_fetching = copy.is_fetching;
            if prefix == StorePrefix::Configuration && !was_known {
                self.publish();
            }
            if needs_fetch && !is_fetching && self.may_fetch(prefix, peer) {
                self.copy(prefix).is_fetching = true;
                let source = self.fetch_source(prefix, peer);
                self.fetch(prefix, source, context);
            }
        }
    }

    /// Whether a peer's copy may be fetched now. Servers change often: in a large fleet, changes
    /// shortly after one another are fetched together, preferably from a node of the same zone.
    fn may_fetch(&mut self, prefix: StorePrefix, peer: &PeerCopies) -> bool {
        let now = self.now();
        if prefix == StorePrefix::Configuration || self.peers.is_small_fleet() {
            return true;
        }
        let is_same_zone = peer.zone == self.context.settings.zone;
        let interval =
            if is_same_zone { FETCH_INTERVAL_SAME_ZONE } else { FETCH_INTERVAL_OTHER_ZONE };
        let is_due = self.servers_fetched.is_none_or(|fetched| now.since(fetched) >= interval);
        if is_due {
            self.servers_fetched = Some(now);
        }
        is_due
    }

    /// The node whose copy is fetched. A configuration may be large, and all nodes that learn of
    /// it from one hub request it at once. They spread their requests over the hubs that have it
    /// and the nodes of their own zone that read the store; hubs request it from any node that
    /// reads the store. When all nodes used only the four nodes that read the store, 301 nodes
    /// with 2,999 servers had the configuration in force after 2.6 s (simulated day), and most
    /// of the traffic crossed zones.
    fn fetch_source(&self, prefix: StorePrefix, peer: &PeerCopies) -> SocketAddrV4 {
        if prefix == StorePrefix::Servers || self.peers.is_small_fleet() {
            return peer.address;
        }
        let is_hub = self.peers.is_hub();
        let is_source = |member: &&Member| {
            member.entry.reads_store && (is_hub || member.zone == self.context.settings.zone)
        };
        let readers = self.peers.members().iter().filter(is_source);
        let readers: Vec<SocketAddrV4> = readers.map(Member::address).collect();
        let index = rand::random_range(0..=readers.len());
        readers.get(index).copied().unwrap_or(peer.address)
    }

    fn fetch(&self, prefix: StorePrefix, peer: SocketAddrV4, context: &mut Context<FleetState>) {
        let fleet = context.address();
        // The configuration is a single item, and its newest version may be one that the store
        // has lost.
        let after = match prefix {
            StorePrefix::Configuration => StorePosition::default(),
            StorePrefix::Servers => self.copies[&prefix].mirror.position,
        };
        actix_rt::spawn(async move {
            let result = fetch_update(peer, prefix, after).await;
            if result.is_err() {
                clock::sleep(FETCH_RETRY_DELAY).await;
            }
            fleet.do_send(FetchCompleted { prefix, peer, update: result.ok() });
        });
    }
}

/// Time that this node's own watch has to deliver a change that a peer already has, before the
/// peer's copy is fetched.
fn watch_head_start(prefix: StorePrefix) -> Duration {
    match prefix {
        StorePrefix::Configuration => Duration::from_millis(400),
        StorePrefix::Servers => Duration::from_millis(450),
    }
}

/// Result of a fetch from a peer.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FetchCompleted {
    pub(super) prefix: StorePrefix,
    pub(super) peer: SocketAddrV4,
    /// `None` if the fetch failed.
    pub(super) update: Option<MirrorUpdate>,
}

impl Handler<FetchCompleted> for FleetState {
    type Result = ();

    fn handle(&mut self, fetched: FetchCompleted, _: &mut Context<FleetState>) {
        let copy = self.copy(fetched.prefix);
        copy.is_fetching = false;
        let Some(update) = fetched.update else { return };
        if copy.update(fetched.prefix, update) {
            let (what, at) = (fetched.prefix.name(), copy.mirror.position.to_string());
            info!("[peers] updated the copy from a peer", kv: { what, peer = fetched.peer.to_string(), at });
            self.apply_copy(fetched.prefix);
            if fetched.prefix == StorePrefix::Configuration {
                // Nodes that request digests from this node wait for it.
                self.context.board.heartbeat_wanted.notify_one();
            }
        }
    }
}
