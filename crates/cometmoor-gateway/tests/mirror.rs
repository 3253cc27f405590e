//! Mirrors that are updated from a peer's copy hold the same items as those that are updated by
//! watch events, also when the store is restored.

use cometmoor_core::gateway::store_position::{StoreEra, StorePosition};
use cometmoor_gateway::dialect::{Item, WatchEvent};
use cometmoor_gateway::mirror::{Mirror, MirrorUpdate};
use cometmoor_gateway::peer::{decode_update, encode_update};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 200;
const STEPS: u64 = 120;
const KEYS: u32 = 6;

fn at(revision: u64) -> StorePosition {
    StorePosition { era: StoreEra::numbered(1), revision }
}

fn written(key: u32, revision: u64) -> WatchEvent {
    let value = revision.to_string().into_bytes();
    WatchEvent::Put(Item {
        key: format!("k{key}"),
        value,
        revision,
        create_revision: revision,
        version: None,
    })
}

#[test]
fn updates_from_peer_lead_to_same_items_as_events() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut watcher = Mirror::from_items(Vec::new(), at(1));
        let mut follower = Mirror::from_items(Vec::new(), at(1));
        for revision in 2..STEPS {
            let key = random.random_range(0..KEYS);
            let event = if random.random_bool(0.3) {
                WatchEvent::Deleted { key: format!("k{key}"), revision }
            } else {
                written(key, revision)
            };
            watcher.apply_events(vec![event]);
            if random.random_bool(0.2) {
                follower.apply_update(watcher.changes_since(follower.position));
                assert_eq!(follower.items, watcher.items, "seed {seed}, revision {revision}");
            }
        }
    }
}

#[test]
fn older_update_changes_nothing_and_update_from_far_back_is_full() {
    let mut mirror = Mirror::from_items(Vec::new(), at(10));
    mirror.apply_events(vec![written(1, 12)]);
    let old = Mirror::from_items(Vec::new(), at(11));
    assert!(!mirror.apply_update(MirrorUpdate::Full(old)));
    assert_eq!(mirror.items.len(), 1);
    assert!(matches!(mirror.changes_since(at(9)), MirrorUpdate::Full(_)));
    assert!(matches!(mirror.changes_since(at(10)), MirrorUpdate::Changes { .. }));
}

#[test]
fn removed_key_is_not_restored_by_older_write() {
    let mut mirror = Mirror::from_items(Vec::new(), at(1));
    mirror.apply_events(vec![written(1, 2)]);
    mirror.apply_events(vec![WatchEvent::Deleted { key: "k1".to_owned(), revision: 5 }]);
    assert!(!mirror.apply_events(vec![written(1, 3)]));
    assert!(mirror.items.is_empty());
    assert!(mirror.apply_events(vec![written(1, 6)]));
}

#[test]
fn encoded_update_is_compressed_and_decodes_to_same_update() {
    let routes: String = (0..2_000)
        .map(|number| format!("{{\"name\":\"route-{number}\",\"host\":\"desk.example\"}},"))
        .collect();
    let item = Item {
        key: "configuration".into(),
        value: routes.into(),
        revision: 4,
        create_revision: 1,
        version: None,
    };
    let mirror = Mirror::from_items(vec![item], at(4));
    let update = mirror.changes_since(at(0));
    let plain = postcard::to_stdvec(&update).unwrap().len();
    let encoded = encode_update(&update);
    assert!(encoded.len() * 4 < plain, "{} of {plain} bytes", encoded.len());
    assert_eq!(decode_update(&encoded), Some(update));
    assert_eq!(decode_update(b"no update"), None);
}

#[test]
fn copy_of_newer_era_replaces_copy_with_higher_revision() {
    let restored = StorePosition { era: StoreEra::numbered(2), revision: 4 };
    let mut old = Mirror::from_items(Vec::new(), at(10));
    old.apply_events(vec![written(1, 12)]);
    let mut new = Mirror::from_items(Vec::new(), restored);
    new.apply_events(vec![written(2, 5)]);
    assert!(matches!(new.changes_since(old.position), MirrorUpdate::Full(_)));
    let outdated = old.changes_since(at(11));
    assert!(old.apply_update(new.changes_since(old.position)));
    assert_eq!((old.position.revision, &old.items), (5, &new.items));
    assert!(!old.apply_update(outdated), "changes of a past era were applied");
    assert!(!old.merge(Mirror::from_items(Vec::new(), at(99))));
}

/// A write of a version of the configuration.
fn write_of_version(version: u64, revision: u64) -> WatchEvent {
    let value = format!("version {version}").into_bytes();
    let (key, version) = ("configuration".to_owned(), Some(version));
    WatchEvent::Put(Item { key, value, revision, create_revision: 1, version })
}

/// A mirror that holds a version of the configuration.
fn mirror_with_version(era: u32, revision: u64, version: u64) -> Mirror {
    let at = StorePosition { era: StoreEra::numbered(era), revision: revision - 1 };
    let mut mirror = Mirror::from_items(Vec::new(), at);
    mirror.apply_events(vec![write_of_version(version, revision)]);
    mirror
}

/// The mirror's version of the configuration, and whether the store has lost it.
fn held_version(mirror: &Mirror) -> (Option<u64>, bool) {
    let item = &mirror.items["configuration"];
    (item.version, item.is_lost)
}

#[test]
fn older_version_never_replaces_newer_one() {
    let mut mirror = mirror_with_version(1, 20, 86);
    assert!(mirror.merge(mirror_with_version(2, 9, 83)));
    assert_eq!((mirror.position.revision, held_version(&mirror)), (9, (Some(86), true)));
    mirror.apply_events(vec![write_of_version(84, 10)]);
    assert_eq!(held_version(&mirror), (Some(86), true));
    mirror
        .apply_events(vec![WatchEvent::Deleted { key: "configuration".to_owned(), revision: 11 }]);
    assert_eq!(held_version(&mirror), (Some(86), true));
    mirror.apply_events(vec![write_of_version(86, 12)]);
    assert_eq!(held_version(&mirror), (Some(86), false));
}

#[test]
fn newer_version_is_adopted_from_older_copy_of_peer() {
    let mut restored = mirror_with_version(2, 9, 83);
    assert!(restored.apply_update(MirrorUpdate::Full(mirror_with_version(1, 20, 86))));
    assert_eq!((restored.position.revision, held_version(&restored)), (9, (Some(86), true)));
    let mut starting = mirror_with_version(2, 9, 83);
    assert!(starting.apply_update(restored.changes_since(StorePosition::default())));
    assert_eq!(held_version(&starting), (Some(86), true));
    assert!(
        !starting.apply_update(restored.changes_since(StorePosition::default())),
        "there was nothing newer to adopt"
    );
}

#[test]
fn item_without_valid_version_counts_as_newest() {
    let mut mirror = mirror_with_version(1, 20, 86);
    let item = Item {
        key: "configuration".to_owned(),
        value: b"?".to_vec(),
        revision: 21,
        create_revision: 1,
        version: None,
    };
    mirror.apply_events(vec![WatchEvent::Put(item)]);
    assert_eq!(mirror.items["configuration"].value, b"?");
}
