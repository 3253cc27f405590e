//! The memory that a node holds for its clients, as one budget.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::bounds::CONNECTION_BYTES;
use crate::time::BootInstant;

/// Bodies up to this size in bytes count as small. A part of the budget is kept for them and for
/// connections, so that large bodies cannot keep ordinary requests out.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// A body that has grown by less than [`MIN_PROGRESS`] in this time is stalled. It yields to others.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A body that takes longer than this to be received yields to others, also while it grows.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// In bytes.
const MIN_PROGRESS: usize = 16 << 10;

/// Fraction of the budget that large bodies leave to small ones.
const SMALL_FRACTION: usize = 8;
/// Fraction of the budget that large bodies leave to connections, also while these need less.
const CONNECTIONS_FRACTION: usize = 4;
/// Fraction of the budget that connections may take.
const MAX_CONNECTIONS_FRACTION: usize = 2;

/// Sizes in bytes of the pieces in which bodies are held.
const FIRST_PIECE: usize = 4 << 10;
const MAX_PIECE: usize = 64 << 10;

/// Size in bytes of the next piece of a body that holds `allocated` bytes. `remaining` is what is
/// left of a body whose length is known.
pub fn next_piece_size(allocated: usize, remaining: Option<usize>) -> usize {
    match remaining {
        Some(remaining) => remaining.clamp(1, MAX_PIECE),
        None => allocated.clamp(FIRST_PIECE, MAX_PIECE),
    }
}

/// Identifies a body. Later bodies have higher identifiers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Whether memory for a body is available.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It is, without the memory of these bodies, which must be freed at once. Their requests were
    /// not received completely, and will not run.
    Granted(Vec<BodyId>),
    /// It is not. The request will not run.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Body {
    /// In bytes, as allocated.
    size: usize,
    began_at: BootInstant,
    /// Bytes received since `progress_at`.
    new_bytes: usize,
    /// When it had last grown by [`MIN_PROGRESS`].
    progress_at: BootInstant,
    is_complete: bool,
}

impl Body {
    fn is_small(&self) -> bool {
        self.size <= SMALL_BODY_BYTES
    }

    fn is_late(&self, now: BootInstant) -> bool {
        now.since(self.began_at) > RECEIVE_TIMEOUT
    }

    fn is_stalled(&self, now: BootInstant) -> bool {
        now.since(self.progress_at) > STALL_TIMEOUT || self.is_late(now)
    }
}

/// Bytes in use, by what binds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    connections: usize,
    small_bodies: usize,
    large_bodies: usize,
}

impl Usage {
    fn total(&self) -> usize {
        self.connections + self.small_bodies + self.large_bodies
    }

    fn add_body(&mut self, size: usize) {
        *self.bodies_of_size(size) += size;
    }

    fn remove_body(&mut self, size: usize) {
        *self.bodies_of_size(size) -= size;
    }

    fn bodies_of_size(&mut self, size: usize) -> &mut usize {
        if size <= SMALL_BODY_BYTES { &mut self.small_bodies } else { &mut self.large_bodies }
    }

    /// Whether all bounds hold for a budget of `limit` bytes.
    fn is_within(&self, limit: usize) -> bool {
        let connections = self.connections.max(limit / CONNECTIONS_FRACTION);
        let for_large_bodies = limit - limit / SMALL_FRACTION - connections;
        self.total() <= limit && self.large_bodies <= for_large_bodies
    }
}

/// The memory that a node holds for its clients.
///
/// Memory is reserved before it is allocated, and released by its last holder. If it is used up, bodies that are still being received yield to others: stalled ones first, the largest of
/// them before others, and then the newest ones, unless the one that needs memory is newer. A small
/// body takes precedence over any large one that is being received. Complete bodies never yield.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit: usize,
    usage: Usage,
    bodies: BTreeMap<BodyId, Body>,
    next_id: u64,
}

impl MemoryBudget {
    /// A budget of `limit` bytes of which nothing is used.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, usage: Usage::default(), bodies: BTreeMap::new(), next_id: 0 }
    }

    /// The budget, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.usage.total()
    }

    /// Size in bytes of the largest body that is always accepted while there is no other one.
    pub fn max_body(&self) -> usize {
        self.limit - self.limit / SMALL_FRACTION - self.limit / MAX_CONNECTIONS_FRACTION
    }

    /// Reserves memory for a connection. Returns whether there is enough.
    pub fn add_connection(&mut self) -> bool {
        let mut usage = self.usage;
        usage.connections += CONNECTION_BYTES;
        let is_within = usage.is_within(self.limit)
            && usage.connections <= self.limit / MAX_CONNECTIONS_FRACTION;
        if is_within {
            self.usage = usage;
        }
        is_within
    }

    /// Releases the memory of a connection.
    pub fn remove_connection(&mut self) {
        self.usage.connections -= CONNECTION_BYTES;
    }

    /// Adds a body of which nothing has been received.
    pub fn begin_body(&mut self, now: BootInstant) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body =
            Body { size: 0, began_at: now, new_bytes: 0, progress_at: now, is_complete: false };
        self.bodies.insert(id, body);
        id
    }

    /// Reserves `additional` bytes for a body that is being received.
    pub fn reserve(&mut self, id: BodyId, additional: usize, now: BootInstant) -> Reservation {
        let Some(body) = self.bodies.get(&id).copied() else { return Reservation::Refused };
        let size = body.size + additional;
        let mut usage = self.usage;
        usage.remove_body(body.size);
        usage.add_body(size);
        let grown = Body { size, ..body };
        let mut evicted = Vec::new();
        for (other, candidate) in self.yielding_bodies(id, &grown, now) {
            if usage.is_within(self.limit) {
                break;
            }
            // A small body makes no room where only the bound of large ones is exceeded.
            if candidate.is_small() && usage.total() <= self.limit {
                continue;
            }
            usage.remove_body(candidate.size);
            evicted.push(other);
        }
        if !usage.is_within(self.limit) {
            return Reservation::Refused;
        }
        self.usage = usage;
        self.bodies.retain(|other, _| !evicted.contains(other));
        self.bodies.insert(id, grown);
        Reservation::Granted(evicted)
    }

    /// The bodies that yield to one that needs memory, in this order.
    fn yielding_bodies(&self, id: BodyId, body: &Body, now: BootInstant) -> Vec<(BodyId, Body)> {
        let yields = |other: BodyId, candidate: &Body| {
            let is_newer = other > id && !body.is_late(now);
            let is_larger = body.is_small() && !candidate.is_small();
            candidate.is_stalled(now) || is_newer || is_larger
        };
        let others = self.bodies.iter().map(|(other, candidate)| (*other, *candidate));
        let mut yielding: Vec<(BodyId, Body)> = others
            .filter(|(other, candidate)| {
                *other != id && !candidate.is_complete && yields(*other, candidate)
            })
            .collect();
        yielding.sort_by_key(|(other, candidate)| {
            let size = if candidate.is_stalled(now) { candidate.size } else { 0 };
            (!candidate.is_stalled(now), Reverse(size), Reverse(*other))
        });
        yielding
    }

    /// Records that bytes of a body were received.
    pub fn record_received(&mut self, id: BodyId, bytes: usize, now: BootInstant) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.new_bytes += bytes;
        if body.new_bytes >= MIN_PROGRESS {
            body.new_bytes = 0;
            body.progress_at = now;
        }
    }

    /// Records that a body was received completely.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Releases the memory of a body. An evicted one holds nothing any more.
    pub fn release(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.usage.remove_body(body.size);
        }
    }
}
