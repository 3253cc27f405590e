//! Answers other nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use cometmoor_protocol::PEER_PROTOCOL_VERSION;
use cometmoor_protocol::peer_capnp::{peer, session};
use spdlog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::auth;
use super::convert::{read_digest, read_table, write_digest, write_update};
use super::counting::Counting;
use crate::context::NodeContext;
use crate::control::configuration::{ConfigurationActor, UpdateSince};
use crate::control::membership::{AnnounceAdopted, Exchange, MembershipActor, Probe};
use crate::telemetry::log::Part;

/// What the server passes calls on to.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Shared state of the node.
    pub context: Arc<NodeContext>,
    /// Owner of the configuration.
    pub configuration: Addr<ConfigurationActor>,
    /// Owner of the membership.
    pub membership: Addr<MembershipActor>,
}

/// Accepts connections until the process ends.
pub async fn serve(listener: TcpListener, handlers: PeerHandlers) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_connection(stream, handlers.clone()),
            Err(error) => {
                warn!("{} accepting a connection failed: {error}", Part::Peer);
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

fn serve_connection(stream: TcpStream, handlers: PeerHandlers) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        Counting::new(reader.compat(), handlers.context.metrics.clone()),
        Counting::new(writer.compat_write(), handlers.context.metrics.clone()),
        rpc_twoparty_capnp::Side::Server,
        Default::default(),
    );
    let stranger = Stranger { handlers, nonce: RefCell::default() };
    let bootstrap: peer::Client = capnp_rpc::new_client(stranger);
    let system = RpcSystem::new(Box::new(network), Some(bootstrap.client));
    actix::spawn(async move {
        // A connection that breaks is opened anew by the other side.
        let _ = system.await;
    });
}

/// A connection that has not proved the secret yet.
struct Stranger {
    handlers: PeerHandlers,
    nonce: RefCell<Vec<u8>>,
}

impl peer::Server for Stranger {
    async fn challenge(
        self: Rc<Self>,
        _: peer::ChallengeParams,
        mut results: peer::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce = auth::nonce();
        results.get().set_nonce(&nonce);
        results.get().set_protocol_version(PEER_PROTOCOL_VERSION);
        self.nonce.replace(nonce);
        Ok(())
    }

    async fn authenticate(
        self: Rc<Self>,
        params: peer::AuthenticateParams,
        mut results: peer::AuthenticateResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let node = params.get_node()?.to_string()?;
        // A nonce is good for one attempt.
        let nonce = self.nonce.take();
        let secret = &self.handlers.context.settings.peer_secret;
        if nonce.is_empty() || !auth::verify(secret, &nonce, &node, params.get_proof()?) {
            warn!("{} a connection failed to authenticate", Part::Peer);
            return Err(capnp::Error::failed("authentication failed".to_owned()));
        }
        let session = PeerSession { handlers: self.handlers.clone() };
        results.get().set_proof(&auth::prove(secret, params.get_nonce()?, auth::SERVER));
        results.get().set_session(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// A connection from a node of this system.
struct PeerSession {
    handlers: PeerHandlers,
}

fn stopped(error: actix::MailboxError) -> capnp::Error {
    capnp::Error::failed(format!("the node is stopping: {error}"))
}

impl session::Server for PeerSession {
    async fn exchange(
        self: Rc<Self>,
        params: session::ExchangeParams,
        mut results: session::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let digest = read_digest(params.get()?.get_digest()?)?;
        let answer = self.handlers.membership.send(Exchange(digest)).await.map_err(stopped)?;
        write_digest(&answer, results.get().init_digest())
    }

    async fn pull_configuration(
        self: Rc<Self>,
        params: session::PullConfigurationParams,
        mut results: session::PullConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let after = params.get()?.get_after_generation();
        let update = self.handlers.configuration.send(UpdateSince(after)).await.map_err(stopped)?;
        match update {
            Some(update) => write_update(&update, results.get().init_update()),
            None => Ok(()),
        }
    }

    async fn probe(
        self: Rc<Self>,
        params: session::ProbeParams,
        mut results: session::ProbeResults,
    ) -> Result<(), capnp::Error> {
        let address = params.get()?.get_address()?.to_string()?;
        let address = address.parse().map_err(|_| capnp::Error::failed("no address".to_owned()))?;
        let reached = self.handlers.membership.send(Probe(address)).await.map_err(stopped)?;
        results.get().set_reached(reached);
        Ok(())
    }

    async fn hand_over(
        self: Rc<Self>,
        params: session::HandOverParams,
        _: session::HandOverResults,
    ) -> Result<(), capnp::Error> {
        let table = read_table(params.get()?.get_table()?)?;
        self.handlers.context.keys.adopt(table);
        self.handlers.membership.send(AnnounceAdopted).await.map_err(stopped)
    }
}
