//! What a node concludes from its connections to servers and those of its peers.

use std::time::Duration;

use cometmoor_core::gateway::links::{LinkChange, LinkTable, Path};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;

fn server(number: usize) -> IncarnationHash {
    IncarnationHash::of(&format!("i-{number}"))
}

fn at(millis: u64) -> BootInstant {
    BootInstant::after_boot(Duration::from_millis(millis))
}

#[test]
fn one_cut_link_does_not_isolate_a_node_and_two_do() {
    let mut links = LinkTable::default();
    assert_eq!(links.note_cut(server(1), at(10)), Some(LinkChange::Cut));
    assert_eq!((links.path(server(1)), links.path(server(2))), (Path::ViaPeer, Path::Direct));
    assert!(!links.is_isolated());
    assert_eq!(links.note_cut(server(2), at(20)), Some(LinkChange::Isolated));
    assert_eq!(links.path(server(3)), Path::ViaPeer, "an isolated node tries no other link");
}

#[test]
fn a_node_that_reaches_any_server_in_between_is_not_isolated() {
    let mut links = LinkTable::default();
    for number in 1..10 {
        links.note_cut(server(number), at(number as u64 * 100));
        links.note_connected(server(20), at(number as u64 * 100 + 50));
        assert!(!links.is_isolated());
    }
    assert_eq!(links.cut_count(), 9);
}

#[test]
fn servers_that_no_peer_reaches_either_do_not_isolate_a_node() {
    let mut links = LinkTable::default();
    (0..10).for_each(|number| links.note_unreached(server(number), at(10)));
    assert!(!links.is_isolated());
    assert_eq!((links.cut_count(), links.unreached_count()), (0, 10));
}

#[test]
fn the_end_of_a_cut_is_found_by_few_probes_and_then_by_one_for_each_link() {
    let mut links = LinkTable::default();
    (0..50).for_each(|number| {
        links.note_cut(server(number), at(0));
    });
    let mut probed = 0;
    for millis in (0..5000).step_by(100) {
        probed += links.next_probes(at(millis)).len();
    }
    assert_eq!(probed, 20, "two each half second");
    assert_eq!(links.note_connected(server(3), at(5000)), Some(LinkChange::Rejoined));
    assert!(!links.is_isolated());
    assert_eq!(links.path(server(4)), Path::ViaPeer, "each link is used once it was seen to work");
    assert_eq!(links.next_probes(at(5000)).len(), 49);
}

#[test]
fn a_node_whose_links_come_and_go_does_not_move_its_callers_each_time() {
    let mut links = LinkTable::default();
    for second in 0..10 {
        links.note_cut(server(1), at(second * 1000 + 1));
        links.note_cut(server(2), at(second * 1000 + 2));
        assert!(links.reports_isolation(at(second * 1000 + 3)));
        links.note_connected(server(1), at(second * 1000 + 500));
        links.note_connected(server(2), at(second * 1000 + 501));
        assert!(links.reports_isolation(at(second * 1000 + 999)));
    }
    assert!(!links.reports_isolation(at(12_000)));
}

#[test]
fn a_node_is_not_isolated_by_servers_that_have_left() {
    let mut links = LinkTable::default();
    links.note_cut(server(1), at(1));
    links.note_cut(server(2), at(2));
    links.retain(|_| false, at(3));
    assert!(!links.is_isolated());
    assert_eq!(links.path(server(1)), Path::Direct);
}
