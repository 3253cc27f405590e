//! Recipients of reports of the servers' speeds.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use cometmoor_core::gateway::server_speed::{DueReport, RecipientGroup, ReportRole};

use super::hubs::OutgoingMessage;
use super::message::Message;

/// The groups, in the order in which they take precedence for nodes that belong to several.
const GROUPS: [RecipientGroup; 3] =
    [RecipientGroup::Hubs, RecipientGroup::Nodes, RecipientGroup::NodesOfOtherHubs];

/// The messages that send a report to the recipients of `others`, the messages that this node sends
/// now, which have to include its load. Sent by all hubs to all recipients, reports would take a
/// fifth of the bytes between nodes: nodes receive all records only from the hub from which they
/// request the servers' load, and hubs only what no other hub has sent them.
pub fn speed_messages(
    others: &[OutgoingMessage],
    report: &DueReport,
    role: ReportRole,
) -> Vec<OutgoingMessage> {
    let mut done: BTreeSet<SocketAddrV4> = BTreeSet::new();
    let messages = GROUPS.into_iter().filter_map(|group| {
        let others = others.iter().filter(|other| group_of(&other.message) == group);
        let targets: BTreeSet<SocketAddrV4> =
            others.flat_map(|other| &other.targets).copied().collect();
        let targets: Vec<SocketAddrV4> = targets.difference(&done).copied().collect();
        done.extend(&targets);
        let report = report.for_recipients(group, role).filter(|_| !targets.is_empty())?;
        Some(OutgoingMessage { message: Message::ServerSpeeds(report), targets })
    });
    messages.collect()
}

fn group_of(message: &Message) -> RecipientGroup {
    match message {
        Message::FleetDigest(digest) if digest.loads.is_none() => RecipientGroup::NodesOfOtherHubs,
        Message::FleetDigest(_) => RecipientGroup::Nodes,
        _ => RecipientGroup::Hubs,
    }
}
