//! What the control thread publishes to the traffic threads.

use std::sync::Arc;

use arc_swap::ArcSwap;
use cometmoor_core::catalog::Catalog;
use cometmoor_core::freshness::Freshness;
use cometmoor_core::keys::{KeyCheck, KeyDigest, KeyFreshness, KeyRing, PresentedKey};
use cometmoor_core::membership::Member;
use cometmoor_core::routing::RouteTable;

/// A group as a request's credentials tell it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAccess {
    /// Name of the group.
    pub group: String,
    /// Entitlement of the group.
    pub entitlement: u32,
    /// Priority of the group.
    pub priority: u32,
}

/// The state of the node at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Generation of the configuration in force; 0 before the first one.
    pub generation: u64,
    /// The declared resources.
    pub catalog: Arc<Catalog>,
    /// Accepted keys of the groups.
    pub access: Arc<KeyRing<GroupAccess>>,
    /// Which engines can answer with what.
    pub routes: Arc<RouteTable>,
    /// All known nodes, this one first.
    pub members: Arc<Vec<Member>>,
    /// Whether the configuration may still be served.
    pub freshness: Freshness,
}

impl Snapshot {
    /// Decides on a bearer key. A node that may not serve its configuration cannot tell.
    pub fn authenticate(&self, key: PresentedKey) -> KeyCheck<'_, GroupAccess> {
        let may_serve = self.freshness.may_serve();
        self.access.check(key, KeyFreshness { admits: may_serve, denies: may_serve })
    }
}

/// The accepted keys of a catalog's groups.
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

/// The newest snapshot; written by the control thread only.
pub struct Published {
    snapshot: ArcSwap<Snapshot>,
}

impl Published {
    /// Starts with a node that knows only itself.
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

    /// The newest snapshot.
    pub fn load(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Publishes a changed copy.
    pub fn update(&self, change: impl FnOnce(&mut Snapshot)) {
        let mut next = Snapshot::clone(&self.snapshot.load());
        change(&mut next);
        self.snapshot.store(Arc::new(next));
    }
}
