//! HTTP/1.1 at the level of connections.
//!
//! The gateway has to tell a request that was not sent from one that may have
//! run, a reset end of an answer from a clean one, and surplus bytes behind an
//! answer; `docs/design/gateway-http.md` tells why the codec stands here and
//! not in a client or server library.

pub mod body;
pub mod client;
pub mod connection;
pub mod head;
