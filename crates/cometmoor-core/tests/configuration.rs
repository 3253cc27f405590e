//! Tests of the configuration: its generation never decreases, whatever updates
//! arrive in whatever order.

mod schedules;

use std::sync::Arc;

use bolero::TypeGenerator;
use cometmoor_core::configuration::{Applied, CHANGE_LOG_CAPACITY, Change, Configuration, Update};
use cometmoor_protocol::resource::{AdapterSpec, Kind, Metadata, Object, Resource, ResourceKey};
use schedules::for_each_schedule;

const CASES: u64 = 3_000;
const HISTORY: u64 = 60;
const NAMES: u64 = 5;

fn key(generation: u64) -> ResourceKey {
    ResourceKey { kind: Kind::Adapter, name: format!("a{}", generation % NAMES) }
}

/// The change that produces a generation in a fixed history.
fn change(generation: u64) -> Change {
    let key = key(generation);
    let resource = (!generation.is_multiple_of(7)).then(|| {
        let metadata =
            Metadata { name: key.name.clone(), resource_version: generation, generation };
        let spec = AdapterSpec { model: "m".to_owned(), bytes: generation };
        Arc::new(Resource::Adapter(Object { metadata, spec }))
    });
    Change { generation, key, resource }
}

fn changes(base: u64, end: u64) -> Update {
    Update::Changes { base, changes: (base + 1..=end).map(change).collect() }
}

/// The configuration at a generation of the history, applied in order.
fn reference(generation: u64) -> Configuration {
    let mut configuration = Configuration::default();
    if generation > 0 {
        assert_eq!(configuration.apply(changes(0, generation)), Applied::Advanced);
    }
    configuration
}

fn full(generation: u64) -> Update {
    let resources = reference(generation).catalog().iter().cloned().collect();
    Update::Full { generation, resources }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Full {
        generation: u8,
    },
    Changes {
        base: u8,
        count: u8,
    },
    /// A peer at generation `peer` sends the changes that this node lacks.
    Pull {
        peer: u8,
    },
}

#[test]
fn generation_never_decreases_and_content_matches_the_generation() {
    for_each_schedule::<Step>(CASES, |steps| {
        let mut configuration = Configuration::default();
        for step in steps {
            let before = configuration.generation();
            let update = match *step {
                Step::Full { generation } => Some(full(u64::from(generation) % HISTORY + 1)),
                Step::Changes { base, count } => {
                    let base = u64::from(base) % HISTORY;
                    Some(changes(base, (base + u64::from(count) % 8).min(HISTORY)))
                }
                Step::Pull { peer } => {
                    reference(u64::from(peer) % (HISTORY + 1)).update_since(before)
                }
            };
            let Some(update) = update else { continue };
            let applied = configuration.apply(update);
            let after = configuration.generation();
            assert_eq!(applied == Applied::Advanced, after > before);
            assert!(after >= before);
            let expected: Vec<_> = reference(after).catalog().iter().cloned().collect();
            let actual: Vec<_> = configuration.catalog().iter().cloned().collect();
            assert_eq!(actual, expected);
        }
    });
}

#[test]
fn update_with_a_gap_is_reported_and_not_applied() {
    let mut configuration = reference(10);
    assert_eq!(configuration.apply(changes(11, 14)), Applied::Gap);
    let with_gap = Update::Changes { base: 10, changes: vec![change(11), change(13)] };
    assert_eq!(configuration.apply(with_gap), Applied::Gap);
    assert_eq!(configuration.generation(), 10);
    assert_eq!(configuration.apply(changes(5, 10)), Applied::NothingNew);
    assert_eq!(configuration.apply(changes(8, 12)), Applied::Advanced);
    assert_eq!(configuration.generation(), 12);
}

#[test]
fn peer_behind_the_change_log_gets_the_full_configuration() {
    let capacity = CHANGE_LOG_CAPACITY as u64;
    let newest = reference(capacity + 5);
    assert!(matches!(newest.update_since(4), Some(Update::Full { .. })));
    assert!(matches!(newest.update_since(5), Some(Update::Changes { base: 5, .. })));
    assert!(newest.update_since(capacity + 5).is_none());
}
