//! What the control thread publishes to the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use cometmoor_core::catalog::Catalog;
use cometmoor_core::freshness::Freshness;
use cometmoor_core::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};
use cometmoor_core::membership::Member;
use cometmoor_core::routing::RouteTable;

/// The group that a request's key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAccess {
    /// Name of the group.
    pub group: String,
    /// Share of the capacity that the group is entitled to, relative to other groups.
    pub entitlement: u32,
    /// Priority of the group's requests.
    pub priority: u32,
}

/// State of the node at one point in time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation of the configuration in force; 0 before the first one.
    pub generation: u64,
    /// The declared resources.
    pub catalog: Arc<Catalog>,
    /// Keys of the groups, by digest.
    pub access: Arc<KeyRing<GroupAccess>>,
    /// The engines and the artifacts that they are ready to serve.
    pub routes: Arc<RouteTable>,
    /// All known nodes, this one first.
    pub members: Arc<Vec<Member>>,
    /// Whether the configuration may still be served.
    pub freshness: Freshness,
}

impl Snapshot {
    /// Checks a bearer key. A node that may not serve its configuration neither admits nor
    /// rejects a key, because its copy of the keys may be out of date.
    pub fn authenticate(&self, key: PresentedKey) -> KeyCheck<'_, GroupAccess> {
        let may_serve = self.freshness.may_serve();
        self.access.check(key, KeyFreshness { admits: may_serve, denies: may_serve })
    }
}

/// Collects the keys of a catalog's groups. Hashes that cannot be parsed are skipped.
pub fn group_access(catalog: &Catalog) -> KeyRing<GroupAccess> {
    let keys = catalog.groups().flat_map(|group| {
        let access = GroupAccess {
            group: group.metadata.name.clone(),
            entitlement: group.spec.entitlement,
            priority: group.spec.priority,
        };
        let digests = group.spec.key_hashes.iter().filter_map(|text| KeyDigest::from_hex(text));
        digests.map(move |digest| (digest, access.clone()))
    });
    keys.collect()
}

/// Holds the latest snapshot. Only the control thread writes it.
pub struct Published {
    snapshot: ArcSwap<Snapshot>,
}

impl Published {
    /// Creates the initial snapshot: no configuration, this node as the only member, and
    /// [`Freshness::Isolated`], so that nothing is served yet.
    pub fn new(own: Member) -> Published {
        Published {
            snapshot: ArcSwap::from_pointee(Snapshot {
                generation: 0,
                catalog: Arc::default(),
                access: Arc::default(),
                routes: Arc::default(),
                members: Arc::new(vec![own]),
                freshness: Freshness::Isolated,
            }),
        }
    }

    /// Returns the latest snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Applies `change` to a copy of the latest snapshot and publishes the copy.
    pub fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut next = Snapshot::clone(&self.snapshot.load());
        change(&mut next);
        self.snapshot.store(Arc::new(next));
    }
}
