//! HTTP/1.1 codec and connections.
//!
//! The gateway has to distinguish a request that was not sent from one that may have run, and a
//! response that ends with a connection reset from one that ends cleanly, and it has to detect
//! surplus bytes after a response. `docs/design/gateway-http.md` explains why it therefore has its
//! own codec instead of using a client or server library.

pub mod body;
pub mod client;
pub mod connection;
pub mod events;
pub mod head;
pub mod send_timeout;
