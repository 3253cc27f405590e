//! Connections to servers through peers, for a node whose own links to the servers are cut.
//!
//! A node opens a connection to a peer and names a server; the peer connects to the server itself,
//! never through another node, and from then on copies bytes both ways. All that concerns a request
//! stays with the node that took it from the client: the choice of the server, permits, budgets,
//! deadlines and keys, which are never sent to a server or a peer. To that node a tunnel is a
//! connection to the server: bytes written to it may have reached the server.
//!
//! The end of a tunnel tells less than that of a connection: a peer that is killed closes it like a
//! server that has finished. Where the end of the connection is the end of a response, the node asks
//! the peer how the tunnel has ended; without its word the response is not complete.

mod client;
mod server;

use std::net::SocketAddrV4;

use tokio::net::TcpStream;

pub use self::client::TunnelClient;
pub use self::server::serve;

/// Method of the request for a tunnel.
const METHOD: &str = "CONNECT";
/// Path prefix of the request for a tunnel; the server's incarnation follows.
const PATH: &str = "/tunnel/";
/// Method and path prefix of the question how a tunnel has ended; the address from which it was opened
/// follows.
const END_METHOD: &str = "GET";
const END_PATH: &str = "/tunnel-end/";
/// Header with the identifier of a tunnel, which is in the log lines of both nodes.
const TUNNEL_ID: &str = "tunnel-id";

/// A connection to a server through a peer.
#[derive(Debug)]
pub struct Tunnel {
    /// Its socket, connected to the peer.
    pub stream: TcpStream,
    /// The peer, by its tunnel address.
    pub peer: SocketAddrV4,
}

/// Why there is no tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelError {
    /// The server refuses the peer's connection: it has ended.
    Refused,
    /// No peer has reached the server in time, or none is known to have links to servers.
    Unreachable,
}
