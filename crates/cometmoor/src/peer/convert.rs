//! Conversion between the core's types and the messages between nodes.

use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::configuration::{Change, Update};
use cometmoor_core::idempotency::{FinishedKey, StoredAnswer};
use cometmoor_core::membership::{Issuer, Member, MemberState};
use cometmoor_core::time::Timestamp;
use cometmoor_protocol::peer_capnp::{
    MemberState as WireState, configuration_update, digest, idempotency_table, member,
};
use cometmoor_protocol::resource::{Kind, ResourceKey, STORED_FORMAT, StoredResource};

/// What two nodes tell each other in an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender.
    pub from: Member,
    /// Generation that the sender has in force.
    pub generation: u64,
    /// Age of the newest store read that the sender knows of.
    pub store_read_age: Option<Duration>,
    /// Updates about other nodes.
    pub members: Vec<Member>,
    /// Members that the sender knows, itself among them.
    pub member_count: u32,
}

/// A closed idempotency table on its way to a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandedOverTable {
    /// Incarnation of a node that issued the keys.
    pub issuer: Issuer,
    /// The issuer's clock at the hand-over.
    pub issuer_time: Timestamp,
    /// The finished keys.
    pub keys: Vec<FinishedKey>,
}

/// Stands for "no store read is known".
const NO_AGE: u64 = u64::MAX;

fn invalid(what: impl ToString) -> capnp::Error {
    capnp::Error::failed(what.to_string())
}

fn text(reader: capnp::Result<capnp::text::Reader<'_>>) -> capnp::Result<String> {
    Ok(reader?.to_string()?)
}

fn list_length(length: usize) -> capnp::Result<u32> {
    u32::try_from(length).map_err(invalid)
}

fn wire_state(state: MemberState) -> WireState {
    match state {
        MemberState::Alive => WireState::Alive,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Dead => WireState::Dead,
    }
}

fn core_state(state: WireState) -> MemberState {
    match state {
        WireState::Alive => MemberState::Alive,
        WireState::Suspect => MemberState::Suspect,
        WireState::Leaving => MemberState::Leaving,
        WireState::Dead => MemberState::Dead,
    }
}

fn write_member(from: &Member, mut to: member::Builder<'_>) -> capnp::Result<()> {
    to.set_name(&from.name);
    to.set_incarnation(from.incarnation);
    to.set_version(from.version);
    to.set_state(wire_state(from.state));
    to.set_client_address(&from.client_address);
    to.set_peer_address(&from.peer_address);
    to.set_zone(&from.zone);
    to.set_region(&from.region);
    let mut adopted = to.init_adopted(list_length(from.adopted.len())?);
    for (index, issuer) in (0..).zip(&from.adopted) {
        let mut entry = adopted.reborrow().get(index);
        entry.set_node(&issuer.node);
        entry.set_incarnation(issuer.incarnation);
    }
    Ok(())
}

fn read_member(from: member::Reader<'_>) -> capnp::Result<Member> {
    let mut adopted = Vec::new();
    for issuer in from.get_adopted()? {
        let node = text(issuer.get_node())?;
        adopted.push(Issuer { node, incarnation: issuer.get_incarnation() });
    }
    Ok(Member {
        name: text(from.get_name())?,
        incarnation: from.get_incarnation(),
        version: from.get_version(),
        state: core_state(from.get_state()?),
        client_address: text(from.get_client_address())?,
        peer_address: text(from.get_peer_address())?,
        zone: text(from.get_zone())?,
        region: text(from.get_region())?,
        adopted,
    })
}

/// Writes a digest into a message.
pub fn write_digest(from: &Digest, mut to: digest::Builder<'_>) -> capnp::Result<()> {
    write_member(&from.from, to.reborrow().init_from())?;
    to.set_generation(from.generation);
    let age = from.store_read_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(NO_AGE));
    to.set_store_age_millis(age.unwrap_or(NO_AGE));
    to.set_member_count(from.member_count);
    let mut members = to.init_members(list_length(from.members.len())?);
    for (index, member) in (0..).zip(&from.members) {
        write_member(member, members.reborrow().get(index))?;
    }
    Ok(())
}

/// Reads a digest from a message.
pub fn read_digest(from: digest::Reader<'_>) -> capnp::Result<Digest> {
    let age = from.get_store_age_millis();
    Ok(Digest {
        from: read_member(from.get_from()?)?,
        generation: from.get_generation(),
        store_read_age: (age != NO_AGE).then_some(Duration::from_millis(age)),
        members: from.get_members()?.iter().map(read_member).collect::<capnp::Result<_>>()?,
        member_count: from.get_member_count(),
    })
}

/// Writes an update of the configuration into a message.
pub fn write_update(from: &Update, mut to: configuration_update::Builder<'_>) -> capnp::Result<()> {
    let (base, generation, changes) = match from {
        Update::Changes { base, changes } => {
            let generation = changes.last().map_or(*base, |change| change.generation);
            (*base, generation, changes.clone())
        }
        Update::Full { generation, resources } => {
            let changes = resources.iter().map(|resource| Change {
                generation: *generation,
                key: resource.key(),
                resource: Some(resource.clone()),
            });
            (0, *generation, changes.collect())
        }
    };
    to.set_generation(generation);
    to.set_base_generation(base);
    to.set_whole(matches!(from, Update::Full { .. }));
    let mut list = to.init_changes(list_length(changes.len())?);
    for (index, change) in (0..).zip(&changes) {
        let mut entry = list.reborrow().get(index);
        entry.set_generation(change.generation);
        entry.set_kind(change.key.kind.plural());
        entry.set_name(&change.key.name);
        if let Some(resource) = &change.resource {
            let stored =
                StoredResource { format: STORED_FORMAT, resource: resource.as_ref().clone() };
            entry.set_value(&serde_json::to_vec(&stored).map_err(invalid)?);
        }
    }
    Ok(())
}

/// Reads an update of the configuration from a message; none if it is empty.
pub fn read_update(from: configuration_update::Reader<'_>) -> capnp::Result<Option<Update>> {
    let mut changes = Vec::new();
    for entry in from.get_changes()? {
        let kind_name = text(entry.get_kind())?;
        let kind =
            Kind::parse(&kind_name).ok_or_else(|| invalid(format!("unknown kind {kind_name}")))?;
        let key = ResourceKey { kind, name: text(entry.get_name())? };
        let resource = read_stored(entry.get_value()?)?;
        changes.push(Change { generation: entry.get_generation(), key, resource });
    }
    if from.get_whole() {
        let resources = changes.into_iter().filter_map(|change| change.resource).collect();
        return Ok(Some(Update::Full { generation: from.get_generation(), resources }));
    }
    let base = from.get_base_generation();
    Ok((!changes.is_empty()).then_some(Update::Changes { base, changes }))
}

fn read_stored(value: &[u8]) -> capnp::Result<Option<Arc<cometmoor_protocol::resource::Resource>>> {
    if value.is_empty() {
        return Ok(None);
    }
    let stored: StoredResource = serde_json::from_slice(value).map_err(invalid)?;
    if stored.format > STORED_FORMAT {
        return Err(invalid(format!("format {} is newer than this version", stored.format)));
    }
    Ok(Some(Arc::new(stored.resource)))
}

/// Writes a closed idempotency table into a message.
pub fn write_table(
    from: &HandedOverTable,
    mut to: idempotency_table::Builder<'_>,
) -> capnp::Result<()> {
    to.set_issuer(&from.issuer.node);
    to.set_incarnation(from.issuer.incarnation);
    to.set_issuer_millis(from.issuer_time.0);
    let mut entries = to.init_entries(list_length(from.keys.len())?);
    for (index, finished) in (0..).zip(&from.keys) {
        let mut entry = entries.reborrow().get(index);
        entry.set_key(&finished.key);
        entry.set_expires_at_millis(finished.expires_at.0);
        entry.set_fingerprint(finished.fingerprint);
        entry.set_complete(finished.answer.is_some());
        if let Some(answer) = &finished.answer {
            entry.set_status(answer.status);
            entry.set_content_type(&answer.content_type);
            entry.set_body(&answer.body);
        }
    }
    Ok(())
}

/// Reads a closed idempotency table from a message.
pub fn read_table(from: idempotency_table::Reader<'_>) -> capnp::Result<HandedOverTable> {
    let mut keys = Vec::new();
    for entry in from.get_entries()? {
        let answer = StoredAnswer {
            status: entry.get_status(),
            content_type: text(entry.get_content_type())?,
            body: entry.get_body()?.to_vec(),
        };
        keys.push(FinishedKey {
            key: text(entry.get_key())?,
            expires_at: Timestamp(entry.get_expires_at_millis()),
            fingerprint: entry.get_fingerprint(),
            answer: entry.get_complete().then_some(answer),
        });
    }
    Ok(HandedOverTable {
        issuer: Issuer { node: text(from.get_issuer())?, incarnation: from.get_incarnation() },
        issuer_time: Timestamp(from.get_issuer_millis()),
        keys,
    })
}
