//! Bounds on what a node holds for its clients, and who yields when a bound is reached.
//!
//! All bounds follow from the machine of the node ([`NodeBounds`]). The memory for clients is one
//! budget ([`MemoryBudget`]), from which connections and the bodies of requests are taken; the
//! connections of each listener have a bound of their own ([`ConnectionTable`]).

mod bounds;
mod connections;
mod memory;

pub use self::bounds::{CONNECTION_BYTES, ListenerBounds, Machine, NodeBounds};
pub use self::connections::{Activity, Admission, ConnectionId, ConnectionTable};
pub use self::memory::{
    BodyId, MemoryBudget, RECEIVE_TIMEOUT, Reservation, SMALL_BODY_BYTES, STALL_TIMEOUT,
    next_piece_size,
};
