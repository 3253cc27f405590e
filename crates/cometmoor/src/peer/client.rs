//! Calls to other nodes.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use cometmoor_core::configuration::Update;
use cometmoor_protocol::PEER_PROTOCOL_VERSION;
use cometmoor_protocol::peer_capnp::{peer, session};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::convert::{
    Digest, HandedOverTable, read_digest, read_update, write_digest, write_table,
};
use super::counting::Counting;
use super::{PeerError, auth};
use crate::telemetry::metrics::Metrics;

/// Connections to other nodes, opened when they are first used.
pub struct PeerClient {
    node: String,
    secret: String,
    metrics: Arc<Metrics>,
    sessions: RefCell<Sessions>,
    kept_open: RefCell<VecDeque<SocketAddr>>,
}

/// Open connections, the least recently used first.
type Sessions = VecDeque<OpenSession>;

struct OpenSession {
    address: SocketAddr,
    client: session::Client,
    /// Held by every call under way beside the connection itself.
    in_use: Rc<()>,
    _connection: Connection,
}

/// The task that drives a connection. It would go on without any user of the
/// connection, also after an attempt that timed out, so it ends with this.
struct Connection {
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A connection that is in use as long as this value lives.
struct BorrowedSession {
    client: session::Client,
    _in_use: Rc<()>,
}

impl OpenSession {
    fn borrow_for_call(&self) -> BorrowedSession {
        BorrowedSession { client: self.client.clone(), _in_use: self.in_use.clone() }
    }
}

/// Connections that are kept open. Beyond so many peers, most probes open a
/// connection of their own, so that the memory of a node does not follow
/// their number.
const MAX_SESSIONS: usize = 8;

impl PeerClient {
    /// A client without connections.
    pub fn new(node: &str, secret: &str, metrics: Arc<Metrics>) -> PeerClient {
        PeerClient {
            node: node.to_owned(),
            secret: secret.to_owned(),
            metrics,
            sessions: RefCell::default(),
            kept_open: RefCell::default(),
        }
    }

    /// Exchanges digests with a peer.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        digest: &Digest,
        timeout: Duration,
    ) -> Result<Digest, PeerError> {
        let call = async |session: session::Client| {
            let mut request = session.exchange_request();
            write_digest(digest, request.get().init_digest())?;
            let answer = request.send().promise.await?;
            read_digest(answer.get()?.get_digest()?)
        };
        self.call(address, timeout, call).await
    }

    /// Pulls what this node lacks after a generation.
    pub async fn pull_configuration(
        &self,
        address: SocketAddr,
        after: u64,
        timeout: Duration,
    ) -> Result<Option<Update>, PeerError> {
        let call = async |session: session::Client| {
            let mut request = session.pull_configuration_request();
            request.get().set_after_generation(after);
            let answer = request.send().promise.await?;
            read_update(answer.get()?.get_update()?)
        };
        self.call(address, timeout, call).await
    }

    /// Hands a closed idempotency table over.
    pub async fn hand_over(
        &self,
        address: SocketAddr,
        table: &HandedOverTable,
        timeout: Duration,
    ) -> Result<(), PeerError> {
        let call = async |session: session::Client| {
            let mut request = session.hand_over_request();
            write_table(table, request.get().init_table())?;
            request.send().promise.await?;
            Ok(())
        };
        self.call(address, timeout, call).await
    }

    /// Asks a peer whether it reaches another one.
    pub async fn probe_through(
        &self,
        helper: SocketAddr,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<bool, PeerError> {
        let call = async |session: session::Client| {
            let mut request = session.probe_request();
            request.get().set_address(target.to_string());
            let answer = request.send().promise.await?;
            Ok(answer.get()?.get_reached())
        };
        self.call(helper, timeout, call).await
    }

    /// Runs a call on the connection to a peer. A failed call closes the
    /// connection; the next one opens a new one.
    async fn call<Answer>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl AsyncFnOnce(session::Client) -> capnp::Result<Answer>,
    ) -> Result<Answer, PeerError> {
        let peer = address.to_string();
        let failed = |reason: String| PeerError::Failed { peer: peer.clone(), reason };
        let attempt = async {
            let session = self.session(address).await?;
            call(session.client.clone()).await.map_err(|error| failed(error.to_string()))
        };
        let answer = match tokio::time::timeout(timeout, attempt).await {
            Ok(answer) => answer,
            Err(_) => Err(failed(format!("no answer within {timeout:?}"))),
        };
        if answer.is_err() {
            self.close(address);
        }
        answer
    }

    async fn session(&self, address: SocketAddr) -> Result<BorrowedSession, PeerError> {
        if let Some(session) = self.reuse(address) {
            return Ok(session);
        }
        let session = self.connect(address).await?;
        let used = session.borrow_for_call();
        let mut sessions = self.sessions.borrow_mut();
        sessions.push_back(session);
        // While all were in use, there may have come to be several too many.
        while sessions.len() > MAX_SESSIONS
            && let Some(index) = self.superfluous(&sessions)
        {
            sessions.remove(index);
        }
        Ok(used)
    }

    /// The least recently used connection that is idle and need not be kept
    /// open.
    fn superfluous(&self, sessions: &Sessions) -> Option<usize> {
        let kept_open = self.kept_open.borrow();
        sessions.iter().position(|session| {
            Rc::strong_count(&session.in_use) == 1 && !kept_open.contains(&session.address)
        })
    }

    /// Keeps connections to a peer open, in place of the one that was wanted
    /// least recently.
    pub fn keep_open(&self, address: SocketAddr) {
        let mut kept_open = self.kept_open.borrow_mut();
        kept_open.retain(|kept| *kept != address);
        kept_open.push_back(address);
        if kept_open.len() >= MAX_SESSIONS {
            kept_open.pop_front();
        }
    }

    fn close(&self, address: SocketAddr) {
        let mut sessions = self.sessions.borrow_mut();
        let index = sessions.iter().position(|known| known.address == address);
        if let Some(index) = index {
            sessions.remove(index);
        }
    }

    fn reuse(&self, address: SocketAddr) -> Option<BorrowedSession> {
        let mut sessions = self.sessions.borrow_mut();
        let index = sessions.iter().position(|known| known.address == address)?;
        let session = sessions.remove(index)?;
        let used = session.borrow_for_call();
        sessions.push_back(session);
        Some(used)
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenSession, PeerError> {
        let peer = address.to_string();
        let stream = tokio::net::TcpStream::connect(address).await.map_err(|error| {
            PeerError::Unreachable { peer: peer.clone(), reason: error.to_string() }
        })?;
        // Delay hurts more than small packets do; failure changes nothing else.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            Counting::new(reader.compat(), self.metrics.clone()),
            Counting::new(writer.compat_write(), self.metrics.clone()),
            rpc_twoparty_capnp::Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let bootstrap: peer::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let driver = actix_rt::spawn(async move {
            // Ends with the connection; the calls on it report the error.
            let _ = system.await;
        });
        let connection = Connection { driver };
        let client = self.authenticate(&peer, bootstrap).await?;
        Ok(OpenSession { address, client, in_use: Rc::default(), _connection: connection })
    }

    async fn authenticate(
        &self,
        peer: &str,
        bootstrap: peer::Client,
    ) -> Result<session::Client, PeerError> {
        let failed = |error: capnp::Error| PeerError::Failed {
            peer: peer.to_owned(),
            reason: error.to_string(),
        };
        let challenge = bootstrap.challenge_request().send().promise.await.map_err(failed)?;
        let challenge = challenge.get().map_err(failed)?;
        let version = challenge.get_protocol_version();
        if version != PEER_PROTOCOL_VERSION {
            return Err(PeerError::OtherVersion { peer: peer.to_owned(), version });
        }
        let nonce = challenge.get_nonce().map_err(failed)?;
        let mut request = bootstrap.authenticate_request();
        request.get().set_node(&self.node);
        request.get().set_proof(&auth::prove(&self.secret, nonce, &self.node));
        let own_nonce = auth::nonce();
        request.get().set_nonce(&own_nonce);
        let answer = request.send().promise.await.map_err(failed)?;
        let answer = answer.get().map_err(failed)?;
        let proof = answer.get_proof().map_err(failed)?;
        if !auth::verify(&self.secret, &own_nonce, auth::SERVER, proof) {
            let reason = "the peer did not prove the shared secret".to_owned();
            return Err(PeerError::Failed { peer: peer.to_owned(), reason });
        }
        answer.get_session().map_err(failed)
    }
}
