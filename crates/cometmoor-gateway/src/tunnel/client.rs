//! Opens tunnels through peers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_core::time::BootInstant;
use rand::seq::IndexedRandom;
use tokio::net::{TcpSocket, TcpStream};

use super::door::REFUSED_STATUS;
use super::{METHOD, PATH, TUNNEL_ID, Tunnel, TunnelError};
use crate::clock;
use crate::http::connection::{read_some, set_socket_options, write_all};
use crate::http::head::parse_response_head;
use crate::published::{Board, NodeEndpoint};
use crate::settings::GatewaySettings;

/// Timeout for connecting to a peer, after which another one is tried.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a peer that has not opened a tunnel is not asked again.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Peers that are asked for one tunnel.
const MAX_PEERS: usize = 4;
const MAX_HEAD_BYTES: usize = 4 << 10;

/// Opens tunnels through peers.
pub struct TunnelClient {
    settings: Rc<GatewaySettings>,
    board: Arc<Board>,
    /// Peers that are not asked until these times.
    backoffs: RefCell<HashMap<SocketAddrV4, BootInstant>>,
    opened: Cell<u64>,
}

impl TunnelClient {
    /// A client that has opened no tunnel.
    pub fn new(settings: Rc<GatewaySettings>, board: Arc<Board>) -> TunnelClient {
        TunnelClient { settings, board, backoffs: RefCell::default(), opened: Cell::new(0) }
    }

    /// Opens a tunnel to a server, through a peer of this node's zone if possible.
    pub async fn open(&self, incarnation: &str) -> Result<Tunnel, TunnelError> {
        for _ in 0..MAX_PEERS {
            let Some(peer) = self.pick_peer() else { return Err(TunnelError::Unreachable) };
            match self.open_via(peer, incarnation).await {
                Err(TunnelError::Unreachable) => self.back_off(peer),
                result => return result,
            }
        }
        Err(TunnelError::Unreachable)
    }

    /// Opens a tunnel to a server through one peer.
    pub async fn open_via(
        &self,
        peer: SocketAddrV4,
        incarnation: &str,
    ) -> Result<Tunnel, TunnelError> {
        let connecting = clock::timeout(PEER_CONNECT_TIMEOUT, self.connect(peer));
        let Ok(Ok(stream)) = connecting.await else { return Err(TunnelError::Unreachable) };
        match self.request(&stream, peer, incarnation).await {
            Ok(200) => Ok(Tunnel { stream, peer }),
            Ok(REFUSED_STATUS) => Err(TunnelError::Refused),
            Ok(_) | Err(_) => Err(TunnelError::Unreachable),
        }
    }

    /// Stops asking a peer for a while.
    pub fn back_off(&self, peer: SocketAddrV4) {
        self.backoffs.borrow_mut().insert(peer, clock::now() + PEER_BACKOFF);
    }

    /// Whether tunnels through a peer may be used: it is alive, not leaving, and has links.
    pub fn is_usable(&self, peer: SocketAddrV4) -> bool {
        let fleet = self.board.fleet.load();
        let mut nodes = fleet.nodes.iter();
        nodes.any(|node| !node.is_isolated && self.tunnel_address(node) == Some(peer))
            && !self.is_backing_off(peer)
    }

    fn is_backing_off(&self, peer: SocketAddrV4) -> bool {
        let now = clock::now();
        self.backoffs.borrow().get(&peer).is_some_and(|until| now < *until)
    }

    fn tunnel_address(&self, node: &NodeEndpoint) -> Option<SocketAddrV4> {
        let own = self.settings.tunnel_address?;
        Some(SocketAddrV4::new(*node.address.ip(), own.port()))
    }

    /// A peer that has links to servers, one of this zone if there are any.
    fn pick_peer(&self) -> Option<SocketAddrV4> {
        let fleet = self.board.fleet.load();
        let own = self.settings.client_address;
        let others = fleet.nodes.iter().filter(|node| node.address != own && !node.is_isolated);
        let usable: Vec<(SocketAddrV4, bool)> = others
            .filter_map(|node| {
                let is_in_zone = node.zone == self.settings.zone;
                Some((self.tunnel_address(node)?, is_in_zone))
            })
            .filter(|(peer, _)| !self.is_backing_off(*peer))
            .collect();
        let local: Vec<SocketAddrV4> =
            usable.iter().filter(|(_, is_in_zone)| *is_in_zone).map(|(peer, _)| *peer).collect();
        let all: Vec<SocketAddrV4> = usable.iter().map(|(peer, _)| *peer).collect();
        let candidates = if local.is_empty() { all } else { local };
        candidates.choose(&mut rand::rng()).copied()
    }

    /// Connects from this node's own address, by which the peer knows it.
    async fn connect(&self, peer: SocketAddrV4) -> io::Result<TcpStream> {
        let own = SocketAddrV4::new(*self.settings.peer_address.ip(), 0);
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::V4(own))?;
        let stream = socket.connect(SocketAddr::V4(peer)).await?;
        set_socket_options(&stream)?;
        Ok(stream)
    }

    /// Requests a tunnel; returns the status of the response.
    async fn request(
        &self,
        stream: &TcpStream,
        peer: SocketAddrV4,
        incarnation: &str,
    ) -> io::Result<u16> {
        let number = self.opened.get() + 1;
        self.opened.set(number);
        let node = &self.settings.node;
        let head = format!(
            "{METHOD} {PATH}{incarnation} HTTP/1.1\r\nHost: {peer}\r\n{TUNNEL_ID}: {node}-{number}\r\n\r\n"
        );
        write_all(stream, head.as_bytes()).await?;
        let mut buffer = BytesMut::new();
        loop {
            if read_some(stream, &mut buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let head = parse_response_head(&mut buffer, MAX_HEAD_BYTES, true);
            if let Some(head) = head.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))? {
                // Servers send nothing before a request.
                let is_clean = buffer.is_empty();
                return if is_clean {
                    Ok(head.status)
                } else {
                    Err(io::ErrorKind::InvalidData.into())
                };
            }
        }
    }
}
