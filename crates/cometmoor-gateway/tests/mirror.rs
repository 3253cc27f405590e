//! A copy that learns from a peer's copy comes to the same as one that watches.

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
    WatchEvent::Written(Item {
        key: format!("k{key}"),
        value,
        revision,
        created: revision,
        version: None,
    })
}

#[test]
fn learning_from_a_peer_leads_to_the_same_items() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut watching = Mirror::from_items(Vec::new(), at(1));
        let mut learning = Mirror::from_items(Vec::new(), at(1));
        for revision in 2..STEPS {
            let key = random.random_range(0..KEYS);
            let event = if random.random_bool(0.3) {
                WatchEvent::Gone { key: format!("k{key}"), revision }
            } else {
                written(key, revision)
            };
            watching.apply_events(vec![event]);
            if random.random_bool(0.2) {
                learning.apply_update(watching.changes_since(learning.position));
                assert_eq!(learning.items, watching.items, "seed {seed}, revision {revision}");
            }
        }
    }
}

#[test]
fn an_older_update_changes_nothing_and_a_far_one_is_whole() {
    let mut mirror = Mirror::from_items(Vec::new(), at(10));
    mirror.apply_events(vec![written(1, 12)]);
    let old = Mirror::from_items(Vec::new(), at(11));
    assert!(!mirror.apply_update(MirrorUpdate::Full(old)));
    assert_eq!(mirror.items.len(), 1);
    assert!(matches!(mirror.changes_since(at(9)), MirrorUpdate::Full(_)));
    assert!(matches!(mirror.changes_since(at(10)), MirrorUpdate::Changes { .. }));
}

#[test]
fn a_key_that_is_gone_does_not_come_back_by_an_older_write() {
    let mut mirror = Mirror::from_items(Vec::new(), at(1));
    mirror.apply_events(vec![written(1, 2)]);
    mirror.apply_events(vec![WatchEvent::Gone { key: "k1".to_owned(), revision: 5 }]);
    assert!(!mirror.apply_events(vec![written(1, 3)]));
    assert!(mirror.items.is_empty());
    assert!(mirror.apply_events(vec![written(1, 6)]));
}

#[test]
fn what_a_peer_is_told_is_small_and_read_back_as_it_was() {
    let routes: String = (0..2_000)
        .map(|number| format!("{{\"name\":\"route-{number}\",\"host\":\"desk.example\"}},"))
        .collect();
    let item = Item {
        key: "configuration".into(),
        value: routes.into(),
        revision: 4,
        created: 1,
        version: None,
    };
    let mirror = Mirror::from_items(vec![item], at(4));
    let update = mirror.changes_since(at(0));
    let plain = postcard::to_stdvec(&update).unwrap().len();
    let told = encode_update(&update);
    assert!(told.len() * 4 < plain, "{} of {plain} bytes", told.len());
    assert_eq!(decode_update(&told), Some(update));
    assert_eq!(decode_update(b"no update"), None);
}

#[test]
fn a_copy_of_a_newer_era_replaces_one_with_a_higher_revision() {
    let restored = StorePosition { era: StoreEra::numbered(2), revision: 4 };
    let mut old = Mirror::from_items(Vec::new(), at(10));
    old.apply_events(vec![written(1, 12)]);
    let mut new = Mirror::from_items(Vec::new(), restored);
    new.apply_events(vec![written(2, 5)]);
    assert!(matches!(new.changes_since(old.position), MirrorUpdate::Full(_)));
    let outdated = old.changes_since(at(11));
    assert!(old.apply_update(new.changes_since(old.position)));
    assert_eq!((old.position.revision, &old.items), (5, &new.items));
    assert!(!old.apply_update(outdated), "changes of an era that is over are taken");
    assert!(!old.merge(Mirror::from_items(Vec::new(), at(99))));
}

/// A configuration of a version, written at a revision.
fn version(version: u64, revision: u64) -> WatchEvent {
    let value = format!("version {version}").into_bytes();
    let (key, version) = ("configuration".to_owned(), Some(version));
    WatchEvent::Written(Item { key, value, revision, created: 1, version })
}

/// A copy of an era that holds a version, and the version that it holds then.
fn holding(era: u32, revision: u64, number: u64) -> Mirror {
    let at = StorePosition { era: StoreEra::numbered(era), revision: revision - 1 };
    let mut mirror = Mirror::from_items(Vec::new(), at);
    mirror.apply_events(vec![version(number, revision)]);
    mirror
}

fn held(mirror: &Mirror) -> (Option<u64>, bool) {
    let item = &mirror.items["configuration"];
    (item.version, item.is_lost)
}

#[test]
fn an_older_version_never_replaces_a_newer_one() {
    let mut mirror = holding(1, 20, 86);
    assert!(mirror.merge(holding(2, 9, 83)));
    assert_eq!((mirror.position.revision, held(&mirror)), (9, (Some(86), true)));
    mirror.apply_events(vec![version(84, 10)]);
    assert_eq!(held(&mirror), (Some(86), true));
    mirror.apply_events(vec![WatchEvent::Gone { key: "configuration".to_owned(), revision: 11 }]);
    assert_eq!(held(&mirror), (Some(86), true));
    mirror.apply_events(vec![version(86, 12)]);
    assert_eq!(held(&mirror), (Some(86), false));
}

#[test]
fn a_newer_version_is_taken_from_a_peer_whose_copy_is_older() {
    let mut restored = holding(2, 9, 83);
    assert!(restored.apply_update(MirrorUpdate::Full(holding(1, 20, 86))));
    assert_eq!((restored.position.revision, held(&restored)), (9, (Some(86), true)));
    let mut starting = holding(2, 9, 83);
    assert!(starting.apply_update(restored.changes_since(StorePosition::default())));
    assert_eq!(held(&starting), (Some(86), true));
    assert!(
        !starting.apply_update(restored.changes_since(StorePosition::default())),
        "nothing is new"
    );
}

#[test]
fn a_version_that_cannot_be_read_is_taken_for_the_newest() {
    let mut mirror = holding(1, 20, 86);
    let item = Item {
        key: "configuration".to_owned(),
        value: b"?".to_vec(),
        revision: 21,
        created: 1,
        version: None,
    };
    mirror.apply_events(vec![WatchEvent::Written(item)]);
    assert_eq!(mirror.items["configuration"].value, b"?");
}
