//! Opens tunnels for peers that have lost their links to the servers.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use cometmoor_core::gateway::links::Path;
use cometmoor_core::time::BootInstant;
use spdlog::{info, warn};
use tokio::net::{TcpListener, TcpStream};

use super::{END_METHOD, END_PATH, METHOD, PATH, TUNNEL_ID};
use crate::clock;
use crate::connector::PROBE_OPEN_TIME;
use crate::forward::TrafficContext;
use crate::http::connection::{connect, read_some, set_socket_options, write_all};
use crate::http::head::{RequestHead, parse_request_head};
use crate::published::Phase;
use crate::servers::Server;

/// Status of the response if the server refuses connections.
pub(super) const REFUSED_STATUS: u16 = 502;
const NOT_REACHED_STATUS: u16 = 504;
const UNAVAILABLE_STATUS: u16 = 503;
const UNKNOWN_SERVER_STATUS: u16 = 404;
const UNKNOWN_END_STATUS: u16 = 404;
/// Time for which a peer may ask how its tunnel has ended.
const END_LIFETIME: Duration = Duration::from_secs(2);
/// Timeout for connecting to the server. The peer has less than the timeout of a direct connection
/// left, also for asking another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for reading the request for a tunnel.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_HEAD_BYTES: usize = 4 << 10;

/// Tunnels whose servers have closed them cleanly, by the peer's end, with the servers.
#[derive(Default)]
struct CleanEnds {
    ends: RefCell<VecDeque<(BootInstant, SocketAddr, Rc<Server>)>>,
}

impl CleanEnds {
    fn record(&self, from: SocketAddr, server: Rc<Server>) {
        let mut ends = self.ends.borrow_mut();
        let is_old = |end: &(BootInstant, _, _)| clock::elapsed(end.0) >= END_LIFETIME;
        while ends.front().is_some_and(is_old) {
            ends.pop_front();
        }
        ends.push_back((clock::now(), from, server));
    }

    fn take(&self, from: SocketAddr) -> Option<Rc<Server>> {
        let mut ends = self.ends.borrow_mut();
        let place = ends.iter().rposition(|(_, known, _)| *known == from)?;
        ends.remove(place).map(|(_, _, server)| server)
    }

    /// Forgets an earlier tunnel from the same address.
    fn forget(&self, from: SocketAddr) {
        self.ends.borrow_mut().retain(|(_, known, _)| *known != from);
    }
}

/// Opens tunnels for peers until the process ends.
pub async fn serve(listener: TcpListener, traffic: Rc<TrafficContext>) {
    let max_tunnels = traffic.settings.node_bounds().listeners.tunnels;
    let open: Rc<Cell<usize>> = Rc::default();
    let clean_ends: Rc<CleanEnds> = Rc::default();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            clock::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !is_peer(&traffic, from) || open.get() >= max_tunnels {
            if crate::log::allow_connection_line() {
                warn!("[tunnel] a connection was closed", kv: { from = from.to_string(), open = open.get() as u64 });
            }
            continue;
        }
        let (traffic, open, clean_ends) = (traffic.clone(), open.clone(), clean_ends.clone());
        actix_rt::spawn(async move {
            open.set(open.get() + 1);
            traffic.metrics.open_tunnels.inc();
            let guard = traffic.loads.add_in_progress();
            serve_connection(&stream, from, &traffic, &clean_ends).await;
            drop(guard);
            traffic.metrics.open_tunnels.dec();
            open.set(open.get() - 1);
        });
    }
}

/// Whether a connection comes from a node of the fleet. Nobody else may reach servers this way.
fn is_peer(traffic: &TrafficContext, from: SocketAddr) -> bool {
    let fleet = traffic.board.fleet.load();
    fleet.nodes.iter().any(|node| IpAddr::V4(*node.address.ip()) == from.ip())
}

async fn serve_connection(
    peer: &TcpStream,
    from: SocketAddr,
    traffic: &TrafficContext,
    clean_ends: &CleanEnds,
) {
    if set_socket_options(peer).is_err() {
        return;
    }
    let Ok(Ok(head)) = clock::timeout(HEAD_TIMEOUT, read_head(peer)).await else { return };
    if head.method == END_METHOD {
        return answer_end_query(peer, &head, traffic, clean_ends).await;
    }
    clean_ends.forget(from);
    let result = open(&head, traffic).await;
    let status = result.as_ref().map_or_else(|status| *status, |_| 200);
    let tunnel = head.headers.get(TUNNEL_ID).unwrap_or("-");
    let server = head.path().strip_prefix(PATH).unwrap_or("-");
    info!("[tunnel] a peer has requested a tunnel", kv: { tunnel, peer = from.to_string(), server, status });
    let response = format!("HTTP/1.1 {status} -\r\n\r\n");
    let is_written = write_all(peer, response.as_bytes()).await.is_ok();
    if let (Ok((server, stream)), true) = (result, is_written)
        && carry(peer, &stream).await == TunnelEnd::ServerClosed
    {
        clean_ends.record(from, server);
    }
}

/// Answers whether the server has closed a tunnel cleanly, and runs on.
async fn answer_end_query(
    peer: &TcpStream,
    head: &RequestHead,
    traffic: &TrafficContext,
    clean_ends: &CleanEnds,
) {
    let tunnel = head.path().strip_prefix(END_PATH).and_then(|from| from.parse().ok());
    let is_clean = match tunnel.and_then(|from| clean_ends.take(from)) {
        Some(server) => traffic.connector.has_completed_response(&server, PROBE_OPEN_TIME).await,
        None => false,
    };
    let status = if is_clean { 200 } else { UNKNOWN_END_STATUS };
    let response = format!("HTTP/1.1 {status} -\r\n\r\n");
    // Without an answer the peer takes the response for broken off.
    let _ = write_all(peer, response.as_bytes()).await;
}

async fn read_head(peer: &TcpStream) -> io::Result<RequestHead> {
    let mut buffer = BytesMut::new();
    loop {
        if read_some(peer, &mut buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let head = parse_request_head(&mut buffer, MAX_HEAD_BYTES)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if let Some(head) = head {
            return Ok(head);
        }
    }
}

/// Connects to the server that the request names; an error is the status of the response.
async fn open(
    head: &RequestHead,
    traffic: &TrafficContext,
) -> Result<(Rc<Server>, TcpStream), u16> {
    let incarnation = head.path().strip_prefix(PATH).filter(|_| head.method == METHOD);
    let fleet = traffic.board.fleet.load_full();
    if fleet.phase != Phase::Ready && fleet.phase != Phase::Draining {
        return Err(UNAVAILABLE_STATUS);
    }
    let server = {
        let mut table = traffic.servers.borrow_mut();
        table.update(&fleet);
        incarnation.and_then(|incarnation| table.get(incarnation)).ok_or(UNKNOWN_SERVER_STATUS)?
    };
    if traffic.links.path(server.hash()) == Path::ViaPeer {
        return Err(UNAVAILABLE_STATUS);
    }
    match connect(server.record().address, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            traffic.connector.note_connected(&server);
            Ok((server, stream))
        }
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            match traffic.connector.reaches_another(&server).await {
                true => Err(REFUSED_STATUS),
                false => Err(UNAVAILABLE_STATUS),
            }
        }
        Err(_) => Err(NOT_REACHED_STATUS),
    }
}

/// How a tunnel has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelEnd {
    /// The server closed its connection, and the peer was sent all that came before.
    ServerClosed,
    /// The peer has left, or either connection was lost.
    Other,
}

/// Copies bytes both ways until either end closes. A connection that the server resets is reset at
/// the peer, too, so that a response which it cuts off does not look complete.
async fn carry(peer: &TcpStream, server: &TcpStream) -> TunnelEnd {
    let to_server = copy(peer, server);
    let to_peer = copy(server, peer);
    tokio::select! {
        _ = to_server => TunnelEnd::Other,
        result = to_peer => match result {
            Ok(()) => TunnelEnd::ServerClosed,
            Err(_) => {
                // The peer notices the reset in any case by the missing end of the response.
                let _ = peer.set_zero_linger();
                TunnelEnd::Other
            }
        }
    }
}

async fn copy(from: &TcpStream, to: &TcpStream) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    while read_some(from, &mut buffer).await? > 0 {
        write_all(to, &buffer).await?;
        buffer.clear();
    }
    Ok(())
}
