//! Opens connections to servers, directly or through a peer, and watches the links that they use.

mod response_end;

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::io;
use std::net::SocketAddrV4;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::links::{LinkChange, Path};
use cometmoor_core::time::BootInstant;
use futures::StreamExt;
use futures::stream;
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;

pub use self::response_end::{DECISIVE_PROBE_OPEN_TIME, PROBE_OPEN_TIME};
use crate::clock;
use crate::http::connection::connect;
use crate::links::LinkBoard;
use crate::metrics::Metrics;
use crate::pool::PooledConnection;
use crate::published::Board;
use crate::servers::{Server, ServerTable};
use crate::tunnel::{Tunnel, TunnelClient, TunnelError};

/// Timeout for opening a connection, on all paths together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a direct connection after which one through a peer is opened beside it.
const HEDGE_DELAY: Duration = Duration::from_millis(100);
/// Time without a byte from any server after which a request that waits has its link checked.
const SILENCE_BEFORE_CHECK: Duration = Duration::from_millis(500);
/// Time without a response to a request after which its link is checked although other servers
/// respond: only some links may be cut. Many first events take less.
const WAIT_BEFORE_CHECK: Duration = Duration::from_millis(1500);
/// Time without a byte from any server after which idle connections are not used unchecked.
const MAX_UNHEARD: Duration = Duration::from_secs(1);
/// Minimum time between two checks of the link to a server: each opens a connection.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a node with cut links looks whether probes are due.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Further servers that are tried once the link to one is found to be cut.
const FURTHER_CHECKS: usize = 2;
/// Timeout for learning whether any server is reached. A peer that asks has less than the timeout
/// of a direct connection left, also for asking another node.
const REACH_TIMEOUT: Duration = Duration::from_millis(150);
/// Servers that are tried to learn whether any is reached: many may have ended at once.
const MAX_REACH_CHECKS: usize = 16;
/// Number of them that are tried at a time.
const PARALLEL_REACH_CHECKS: usize = 4;
/// Time without an answer of a peer after which a refusing server is judged without it. A request
/// that waits for the verdict waits longer than this.
const PEER_VERDICT_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the table of servers is updated also without requests.
pub const SERVER_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens connections to servers.
pub struct Connector {
    links: LinkBoard,
    tunnels: TunnelClient,
    board: Arc<Board>,
    servers: Rc<RefCell<ServerTable>>,
    metrics: Arc<Metrics>,
    /// When a byte last came over a direct connection, or one was opened, to any server.
    heard_at: Cell<BootInstant>,
    is_probing: Cell<bool>,
    /// Time for which a server that leaves goes on serving.
    drain_time: Duration,
}

impl Connector {
    /// A connector that has opened no connection.
    pub fn new(
        links: LinkBoard,
        tunnels: TunnelClient,
        board: Arc<Board>,
        servers: Rc<RefCell<ServerTable>>,
        metrics: Arc<Metrics>,
        drain_time: Duration,
    ) -> Connector {
        let heard_at = Cell::new(clock::now());
        let is_probing = Cell::new(false);
        Connector { links, tunnels, board, servers, metrics, heard_at, is_probing, drain_time }
    }

    /// Returns an idle connection to a server, or opens a new one within the timeout. If the
    /// node has received nothing from any server for [`MAX_UNHEARD`], its links may be cut silently,
    /// and a request written to an idle connection would be lost; then it opens a new one.
    pub async fn checkout(
        self: &Rc<Self>,
        server: &Rc<Server>,
        timeout: Duration,
    ) -> io::Result<PooledConnection> {
        let is_unheard = clock::elapsed(self.heard_at.get()) >= MAX_UNHEARD;
        if is_unheard && self.links.path(server.hash()) == Path::Direct {
            return self.open(server, timeout).await;
        }
        let is_usable = |peer| self.tunnels.is_usable(peer);
        match server.pool.take_idle(clock::now(), is_usable) {
            Some(connection) => Ok(connection),
            None => self.open(server, timeout).await,
        }
    }

    /// Updates the table of servers to the registry.
    pub fn update_servers(&self) {
        self.servers.borrow_mut().update(&self.board.fleet.load());
    }

    /// Closes idle connections that expire or must not be used any more.
    pub fn close_idle_connections(&self) {
        let is_usable = |peer| self.tunnels.is_usable(peer);
        self.servers.borrow().close_idle_connections(clock::now(), is_usable);
    }

    /// Opens a connection to a server within the timeout, through a peer if the link is cut.
    async fn open(
        self: &Rc<Self>,
        server: &Rc<Server>,
        timeout: Duration,
    ) -> io::Result<PooledConnection> {
        server.begin_connect(clock::now(), CONNECT_TIMEOUT);
        let opening = async {
            match self.links.path(server.hash()) {
                Path::Direct => self.open_direct_first(server).await,
                Path::ViaPeer => self.open_via_peer_first(server).await,
            }
        };
        let result = clock::timeout(timeout.min(CONNECT_TIMEOUT), opening).await;
        let result = result.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match &result {
            Ok(_) => server.record_connected(),
            Err(_) => self.links.note_unreached(server.hash()),
        }
        result
    }

    async fn open_direct_first(
        self: &Rc<Self>,
        server: &Rc<Server>,
    ) -> io::Result<PooledConnection> {
        let record = server.record();
        let mut direct = pin!(connect(record.address, CONNECT_TIMEOUT));
        let early = tokio::select! {
            result = &mut direct => Some(result),
            () = clock::sleep(HEDGE_DELAY) => None,
        };
        let error = match early {
            Some(Ok(stream)) => return Ok(self.direct_connection(server, stream)),
            Some(Err(error)) => Some(error),
            None => None,
        };
        let mut tunnel = pin!(self.tunnels.open(&record.incarnation));
        let Some(error) = error else {
            return tokio::select! {
                result = &mut direct => match result {
                    Ok(stream) => Ok(self.direct_connection(server, stream)),
                    Err(error) => self.tunnel_connection(server, tunnel.await, error),
                },
                result = &mut tunnel => match result {
                    Ok(tunnel) => {
                        let error = io::ErrorKind::TimedOut.into();
                        self.tunnel_connection(server, Ok(tunnel), error)
                    }
                    Err(_) => Ok(self.direct_connection(server, direct.await?)),
                },
            };
        };
        self.tunnel_connection(server, tunnel.await, error)
    }

    async fn open_via_peer_first(
        self: &Rc<Self>,
        server: &Rc<Server>,
    ) -> io::Result<PooledConnection> {
        let record = server.record();
        match self.tunnels.open(&record.incarnation).await {
            Err(TunnelError::Unreachable) => {
                let stream = connect(record.address, CONNECT_TIMEOUT).await?;
                Ok(self.direct_connection(server, stream))
            }
            result => {
                let error = io::ErrorKind::ConnectionRefused.into();
                self.tunnel_connection(server, result, error)
            }
        }
    }

    fn direct_connection(&self, server: &Rc<Server>, stream: TcpStream) -> PooledConnection {
        self.note_connected(server);
        PooledConnection { stream, reused: false, via: None }
    }

    /// The connection through a peer, which shows that the link is cut; `error` is that of the
    /// direct connection.
    fn tunnel_connection(
        self: &Rc<Self>,
        server: &Rc<Server>,
        tunnel: Result<Tunnel, TunnelError>,
        error: io::Error,
    ) -> io::Result<PooledConnection> {
        let Ok(Tunnel { stream, peer }) = tunnel else { return Err(error) };
        self.metrics.tunnels.inc();
        self.note_cut(server, peer, &error);
        Ok(PooledConnection { stream, reused: false, via: Some(peer) })
    }

    /// Records that a direct connection to a server was established.
    pub fn note_connected(&self, server: &Server) {
        self.heard_at.set(clock::now());
        let change = self.links.note_connected(server.hash(), &server.record().incarnation);
        if change.is_some() {
            server.pool.close_tunnels();
            self.board.heartbeat_wanted.notify_one();
        }
    }

    fn note_cut(self: &Rc<Self>, server: &Rc<Server>, peer: SocketAddrV4, error: &io::Error) {
        let incarnation = server.record().incarnation.clone();
        let peer = peer.to_string();
        let change = self.links.note_cut(server.hash(), &incarnation, &peer, &error.to_string());
        match change {
            Some(LinkChange::Isolated) => {
                self.servers.borrow().all().for_each(|server| end_silent_connections(server));
                self.board.heartbeat_wanted.notify_one();
            }
            Some(LinkChange::Cut) => {
                end_silent_connections(server);
                self.check_others();
            }
            _ => {}
        }
        if !self.is_probing.replace(true) {
            actix_rt::spawn(self.clone().probe_until_restored());
        }
    }

    /// Checks the links to a few other servers, to learn whether this node is isolated.
    fn check_others(self: &Rc<Self>) {
        let is_direct = |server: &Rc<Server>| self.links.path(server.hash()) == Path::Direct;
        for server in self.pick_servers(FURTHER_CHECKS, is_direct) {
            self.check_link(&server);
        }
    }

    /// Random servers of those that accept requests and that `is_candidate` accepts.
    fn pick_servers(
        &self,
        count: usize,
        is_candidate: impl Fn(&Rc<Server>) -> bool,
    ) -> Vec<Rc<Server>> {
        let servers = self.servers.borrow();
        let candidates = servers.all().filter(|server| server.accepts_requests());
        let candidates = candidates.filter(|server| is_candidate(server)).cloned();
        candidates.choose_multiple(&mut rand::rng(), count)
    }

    /// Whether this node reaches a server other than one that refuses it. Otherwise its own links
    /// may be cut, and the refusal says nothing of the server. True if there is no other server.
    pub async fn reaches_another(&self, refusing: &Server) -> bool {
        let is_other = |server: &Rc<Server>| server.hash() != refusing.hash();
        let others = self.pick_servers(MAX_REACH_CHECKS, is_other);
        if others.is_empty() {
            return true;
        }
        let attempts = stream::iter(others).map(|other| async move {
            let connection = connect(other.record().address, REACH_TIMEOUT).await;
            (other, connection)
        });
        let mut attempts = pin!(attempts.buffer_unordered(PARALLEL_REACH_CHECKS));
        let reaching = async {
            while let Some((other, connection)) = attempts.next().await {
                if let Ok(connection) = connection {
                    self.note_connected(&other);
                    other.pool.release(connection, None, None);
                    return true;
                }
            }
            false
        };
        clock::timeout(REACH_TIMEOUT, reaching).await.unwrap_or(false)
    }

    /// Checks the link to a server by a new connection, at most once per [`MIN_CHECK_INTERVAL`].
    pub fn check_link(self: &Rc<Self>, server: &Rc<Server>) {
        if !server.begin_link_check(clock::now(), MIN_CHECK_INTERVAL) {
            return;
        }
        let (connector, server) = (self.clone(), server.clone());
        actix_rt::spawn(async move {
            if let Ok(connection) = connector.open(&server, CONNECT_TIMEOUT).await {
                server.pool.release(connection.stream, None, connection.via);
            }
        });
    }

    /// Tries direct connections to servers whose links are cut, until all are restored.
    async fn probe_until_restored(self: Rc<Self>) {
        while self.links.counts().cut > 0 {
            for server in self.links.next_probes() {
                let server = self.servers.borrow().by_hash(server);
                if let Some(server) = server {
                    actix_rt::spawn(self.clone().probe(server));
                }
            }
            clock::sleep(PROBE_POLL_INTERVAL).await;
        }
        self.is_probing.set(false);
    }

    async fn probe(self: Rc<Self>, server: Rc<Server>) {
        if let Ok(stream) = connect(server.record().address, CONNECT_TIMEOUT).await {
            self.note_connected(&server);
            server.pool.release(stream, None, None);
        }
    }

    /// Watches a connection on which a response is awaited since `sent_at`, and checks its link
    /// if nothing comes. Returns once the link is found to be cut; then the response is lost.
    pub async fn watch(
        self: &Rc<Self>,
        server: &Rc<Server>,
        via: Option<SocketAddrV4>,
        sent_at: BootInstant,
    ) {
        let lost = server.wait_for_loss(via);
        let check = async {
            clock::sleep(SILENCE_BEFORE_CHECK).await;
            if via.is_some() || self.heard_at.get() <= sent_at {
                self.check_path(server, via);
            }
            clock::sleep(WAIT_BEFORE_CHECK - SILENCE_BEFORE_CHECK).await;
            self.check_path(server, via);
            pending::<()>().await;
        };
        tokio::select! {
            () = lost => {}
            () = check => {}
        }
    }

    fn check_path(self: &Rc<Self>, server: &Rc<Server>, via: Option<SocketAddrV4>) {
        match via {
            None if self.links.path(server.hash()) == Path::ViaPeer => {
                server.end_direct_connections();
            }
            None => self.check_link(server),
            Some(peer) => self.check_peer(server, peer),
        }
    }

    /// Opens another tunnel through a peer; if that fails, the tunnels through it are given up.
    fn check_peer(self: &Rc<Self>, server: &Rc<Server>, peer: SocketAddrV4) {
        if !server.begin_link_check(clock::now(), MIN_CHECK_INTERVAL) {
            return;
        }
        let (connector, server) = (self.clone(), server.clone());
        actix_rt::spawn(async move {
            let incarnation = server.record().incarnation.clone();
            let opening = connector.tunnels.open_via(peer, &incarnation);
            match clock::timeout(CONNECT_TIMEOUT, opening).await {
                Ok(Ok(tunnel)) => server.pool.release(tunnel.stream, None, Some(tunnel.peer)),
                Ok(Err(TunnelError::Refused)) => {}
                Ok(Err(TunnelError::Unreachable)) | Err(_) => {
                    connector.tunnels.back_off(peer);
                    connector.servers.borrow().all().for_each(|server| server.end_tunnels(peer));
                }
            }
        });
    }

    /// Whether a server that refuses a direct connection has ended, as far as peers tell: they are
    /// refused, too. Without a peer that tells, a server of a node that reaches others has ended.
    pub async fn has_server_ended(
        self: &Rc<Self>,
        server: &Rc<Server>,
        error: &io::Error,
        since: BootInstant,
    ) -> bool {
        let incarnation = server.record().incarnation.clone();
        let opening = clock::timeout(PEER_VERDICT_TIMEOUT, self.tunnels.open(&incarnation));
        match opening.await {
            Ok(Ok(Tunnel { peer, .. })) => {
                self.note_cut(server, peer, error);
                false
            }
            Ok(Err(TunnelError::Refused)) => true,
            Ok(Err(TunnelError::Unreachable)) | Err(_) => {
                let is_alone = self.board.fleet.load().nodes.len() <= 1;
                is_alone || self.heard_at.get() > since || self.reaches_another(server).await
            }
        }
    }
}

/// Ends the direct connections to a server whose link is cut, unless they still carry responses.
fn end_silent_connections(server: &Server) {
    if clock::elapsed(server.heard_at()) >= SILENCE_BEFORE_CHECK {
        server.end_direct_connections();
    }
}

/// A connection to a server as its reader sees it.
#[derive(Clone)]
pub struct LinkObserver {
    connector: Rc<Connector>,
    server: Rc<Server>,
    /// Tunnel address of the peer that it goes through; `None` for a direct connection.
    pub via: Option<SocketAddrV4>,
}

impl LinkObserver {
    /// An observer of a connection.
    pub fn new(
        connector: &Rc<Connector>,
        server: &Rc<Server>,
        via: Option<SocketAddrV4>,
    ) -> LinkObserver {
        LinkObserver { connector: connector.clone(), server: server.clone(), via }
    }

    /// Whether the server has closed the connection, which was read to its end, and runs on. Through
    /// a peer that is for the peer to say.
    pub async fn has_server_closed(&self, stream: &TcpStream, open_time: Duration) -> bool {
        match (self.via, stream.local_addr()) {
            (None, _) => self.connector.has_completed_response(&self.server, open_time).await,
            (Some(peer), Ok(own)) => self.connector.tunnels.has_server_closed(peer, own).await,
            (Some(_), Err(_)) => false,
        }
    }

    /// Records that bytes have come.
    pub fn note_heard(&self) {
        if self.via.is_none() {
            let now = clock::now();
            self.server.note_heard(now);
            self.connector.heard_at.set(now);
        }
    }
}
