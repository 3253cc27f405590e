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
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use tokio::net::{TcpSocket, TcpStream};

use super::server::REFUSED_STATUS;
use super::{END_METHOD, END_PATH, METHOD, PATH, TUNNEL_ID, Tunnel, TunnelError};
use crate::clock;
use crate::http::connection::{read_some, set_socket_options, write_all};
use crate::http::head::parse_response_head;
use crate::published::{Board, NodeEndpoint};
use crate::settings::GatewaySettings;

/// Timeout for connecting to a peer, after which another one is tried.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a peer that has not opened a tunnel is not asked again.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Time without an answer of a peer after which another one is asked, too.
const PEER_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Timeout for learning how a tunnel has ended.
const END_TIMEOUT: Duration = Duration::from_millis(400);
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

    /// Opens a tunnel to a server, through a peer of this node's zone if possible. A peer that does
    /// not answer soon may be cut off itself, like others of its zone, so that one of another zone
    /// is asked beside it.
    pub async fn open(&self, incarnation: &str) -> Result<Tunnel, TunnelError> {
        let mut peers = self.pick_peers().into_iter();
        let mut asked: Vec<(SocketAddrV4, BootInstant)> = Vec::new();
        let mut requests = FuturesUnordered::new();
        loop {
            if let Some(peer) = peers.next() {
                asked.push((peer, clock::now()));
                requests.push(async move { (peer, self.open_via(peer, incarnation).await) });
            }
            let result = match peers.len() {
                0 => requests.next().await,
                _ => match clock::timeout(PEER_HEDGE_DELAY, requests.next()).await {
                    Ok(result) => result,
                    Err(_) => continue,
                },
            };
            let Some((peer, result)) = result else { return Err(TunnelError::Unreachable) };
            asked.retain(|(known, _)| *known != peer);
            match result {
                Err(TunnelError::Unreachable) => self.back_off(peer),
                result => {
                    let is_slow = |at: &BootInstant| clock::elapsed(*at) >= PEER_HEDGE_DELAY;
                    let slow = asked.iter().filter(|(_, at)| is_slow(at));
                    slow.for_each(|(peer, _)| self.back_off(*peer));
                    return result;
                }
            }
        }
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

    /// Whether a tunnel through a peer, opened from this node's address `own`, has ended because the
    /// server closed its connection and runs on.
    pub async fn has_server_closed(&self, peer: SocketAddrV4, own: SocketAddr) -> bool {
        let question = async {
            let stream = self.connect(peer).await?;
            let head = format!("{END_METHOD} {END_PATH}{own} HTTP/1.1\r\nHost: {peer}\r\n\r\n");
            read_status(&stream, &head).await
        };
        matches!(clock::timeout(END_TIMEOUT, question).await, Ok(Ok(200)))
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

    /// Peers to ask in order, of those that have links to servers: one of this zone first, and then
    /// by turns of other zones and of this one.
    fn pick_peers(&self) -> Vec<SocketAddrV4> {
        let fleet = self.board.fleet.load();
        let own = self.settings.client_address;
        let others = fleet.nodes.iter().filter(|node| node.address != own && !node.is_isolated);
        let (mut local, mut remote) = (Vec::new(), Vec::new());
        for node in others {
            let Some(peer) = self.tunnel_address(node) else { continue };
            if !self.is_backing_off(peer) {
                let is_local = node.zone == self.settings.zone;
                if is_local { &mut local } else { &mut remote }.push(peer);
            }
        }
        let random = &mut rand::rng();
        local.shuffle(random);
        remote.shuffle(random);
        let mut picked: Vec<SocketAddrV4> = Vec::with_capacity(MAX_PEERS);
        while picked.len() < MAX_PEERS && !(local.is_empty() && remote.is_empty()) {
            picked.extend(local.pop().into_iter().chain(remote.pop()));
        }
        picked.truncate(MAX_PEERS);
        picked
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
        read_status(stream, &head).await
    }
}

/// Sends a request to a peer and reads the status of the response.
async fn read_status(stream: &TcpStream, request: &str) -> io::Result<u16> {
    write_all(stream, request.as_bytes()).await?;
    let mut buffer = BytesMut::new();
    loop {
        if read_some(stream, &mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let head = parse_response_head(&mut buffer, MAX_HEAD_BYTES, true);
        if let Some(head) = head.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))? {
            // Servers send nothing before a request.
            let is_clean = buffer.is_empty();
            return if is_clean { Ok(head.status) } else { Err(io::ErrorKind::InvalidData.into()) };
        }
    }
}
