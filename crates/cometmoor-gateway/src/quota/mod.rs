//! Enforces the limits of tenants and servers on the traffic thread.
//!
//! The core's lending policy makes the decisions. This module exchanges its messages with the other
//! nodes over UDP and holds requests until they are decided.

mod denial_log;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::brittle::BRITTLE_BOUNDS;
use cometmoor_core::gateway::quota::lending::{LendingMessage, LendingPolicy, TokenRequest};
use cometmoor_core::gateway::quota::server_limit::SERVER_LIMIT_BOUNDS;
use cometmoor_core::gateway::quota::{
    Decision, Effects, QuotaBounds, QuotaKey, QuotaPolicy, Settled, Ticket, VersionedLimit,
};
use cometmoor_core::gateway::signals::{IncarnationHash, SignalReport};
use cometmoor_core::gateway::tenants::Tenant;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use self::denial_log::DenialLog;
use crate::brittle::BrittleBoard;
use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::settings::GatewaySettings;
use crate::signals::SignalBoard;

/// Version of the datagram format. Datagrams of another version are ignored.
const FORMAT_VERSION: u8 = 2;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1024;
/// Interval between two ticks of the policy while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// Additional pause between two ticks while no request waits. It ends when one starts to wait.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// What a limit applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitScope {
    /// A tenant. The limit comes from the configuration.
    Tenants,
    /// A server. The limit comes from its responses.
    Servers,
    /// A server that must not have to reject requests. The limit follows from its slots.
    BrittleServers,
}

impl LimitScope {
    /// Name for log lines.
    fn name(self) -> &'static str {
        match self {
            LimitScope::Tenants => "tenant",
            LimitScope::Servers => "server",
            LimitScope::BrittleServers => "brittle_server",
        }
    }
}

/// Datagram between nodes, after the format version.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    scope: LimitScope,
    message: LendingMessage,
    /// What the sender knows of the server, in token requests for its limit: the recipient may not
    /// know the limit, or know an outdated one.
    signal: Option<SignalReport>,
}

/// A request whose decision is pending.
struct WaitingRequest {
    key: QuotaKey,
    cost: f64,
    sender: oneshot::Sender<Decision>,
}

/// The policy for one scope, with the requests that wait for its decisions.
struct PolicyState {
    policy: RefCell<LendingPolicy>,
    waiting: RefCell<HashMap<Ticket, WaitingRequest>>,
    denials: DenialLog,
}

impl PolicyState {
    fn new(own: SocketAddrV4, seeds: Vec<SocketAddrV4>, bounds: QuotaBounds) -> PolicyState {
        let policy = LendingPolicy::new(own, seeds, bounds, rand::random(), clock::now());
        PolicyState {
            policy: RefCell::new(policy),
            waiting: RefCell::default(),
            denials: DenialLog::default(),
        }
    }
}

/// Decides whether requests of this node are within the limits of their tenants and servers.
pub struct QuotaLimiter {
    socket: UdpSocket,
    board: Arc<Board>,
    signals: SignalBoard,
    brittle: BrittleBoard,
    metrics: Arc<Metrics>,
    tenants: PolicyState,
    servers: PolicyState,
    brittle_servers: PolicyState,
    /// Generation of the fleet snapshot that the policies' set of live nodes comes from.
    nodes_generation: Cell<u64>,
    /// Notified when a policy starts to await requests or responses, so that ticks become frequent.
    wake_tick: Notify,
}

impl QuotaLimiter {
    /// Binds the UDP socket and starts the tasks that receive messages and tick the policies. Fails
    /// if the address cannot be bound.
    pub fn start(
        settings: &GatewaySettings,
        board: Arc<Board>,
        signals: SignalBoard,
        brittle: BrittleBoard,
        metrics: Arc<Metrics>,
    ) -> io::Result<Rc<QuotaLimiter>> {
        let own = settings.quota_address;
        let socket = std::net::UdpSocket::bind(SocketAddr::V4(own))?;
        socket.set_nonblocking(true)?;
        let seeds = settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), own.port()));
        let seeds: Vec<SocketAddrV4> = seeds.collect();
        let limiter = Rc::new(QuotaLimiter {
            socket: UdpSocket::from_std(socket)?,
            board,
            signals,
            brittle,
            metrics,
            tenants: PolicyState::new(own, seeds.clone(), settings.quota_bounds()),
            servers: PolicyState::new(own, seeds.clone(), SERVER_LIMIT_BOUNDS),
            brittle_servers: PolicyState::new(own, seeds, BRITTLE_BOUNDS),
            nodes_generation: Cell::new(0),
            wake_tick: Notify::new(),
        });
        actix_rt::spawn(limiter.clone().receive());
        actix_rt::spawn(limiter.clone().tick());
        Ok(limiter)
    }

    /// Acquires quota for a tenant's request with the given number of tokens, if it states one.
    /// `version` is that of the configuration that the tenant's limit comes from. Waits for the
    /// response of another node if necessary. Requests of tenants without a limit are granted.
    pub async fn acquire(&self, tenant: &Tenant, version: u64, tokens: Option<u64>) -> Decision {
        let Some(limit) = tenant.limit else { return Decision::Granted };
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        self.decide(LimitScope::Tenants, key, VersionedLimit { limit, version }, cost).await
    }

    /// Refunds the quota of a tenant's request that no server has run. `tokens` has to be the same
    /// as for [`Self::acquire`].
    pub fn refund(&self, tenant: &Tenant, tokens: Option<u64>) {
        let Some(limit) = tenant.limit else { return };
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        self.refund_tokens(LimitScope::Tenants, key, cost);
    }

    /// Acquires quota for sending one request to a server with a limit.
    pub async fn acquire_send(
        &self,
        scope: LimitScope,
        server: IncarnationHash,
        limit: VersionedLimit,
    ) -> Decision {
        self.decide(scope, server.into(), limit, 1.0).await
    }

    /// Refunds the quota of a request that did not reach its server.
    pub fn refund_send(&self, scope: LimitScope, server: IncarnationHash) {
        self.refund_tokens(scope, server.into(), 1.0);
    }

    fn state(&self, scope: LimitScope) -> &PolicyState {
        match scope {
            LimitScope::Tenants => &self.tenants,
            LimitScope::Servers => &self.servers,
            LimitScope::BrittleServers => &self.brittle_servers,
        }
    }

    async fn decide(
        &self,
        scope: LimitScope,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
    ) -> Decision {
        self.update_nodes();
        let now = clock::now();
        let request = |policy: &mut LendingPolicy, effects: &mut Effects<LendingMessage>| {
            policy.request(key, limit, cost, now, effects)
        };
        let decision = self.with_policy(scope, request);
        let Decision::Pending(ticket) = decision else { return decision };
        let (sender, receiver) = oneshot::channel();
        self.state(scope).waiting.borrow_mut().insert(ticket, WaitingRequest { key, cost, sender });
        self.wake_tick.notify_one();
        // The limiter outlives the request, and every ticket is settled.
        receiver.await.unwrap_or(Decision::Undecided)
    }

    fn refund_tokens(&self, scope: LimitScope, key: QuotaKey, cost: f64) {
        self.with_policy(scope, |policy, effects| {
            policy.refund(key, cost, clock::now(), effects);
        });
    }

    fn with_policy<Output>(
        &self,
        scope: LimitScope,
        act: impl FnOnce(&mut LendingPolicy, &mut Effects<LendingMessage>) -> Output,
    ) -> Output {
        let state = self.state(scope);
        let mut effects = Effects::default();
        let output = act(&mut state.policy.borrow_mut(), &mut effects);
        for Settled { ticket, decision } in effects.settled {
            let Some(waiting) = state.waiting.borrow_mut().remove(&ticket) else { continue };
            // The request was abandoned while it waited. Other requests need its tokens.
            if waiting.sender.send(decision).is_err() && decision == Decision::Granted {
                self.refund_tokens(scope, waiting.key, waiting.cost);
            }
        }
        for (target, message) in effects.messages {
            self.send(scope, target, message);
        }
        let fleet = self.board.fleet.load();
        effects.denials.iter().for_each(|denial| state.denials.log(scope, denial, &fleet));
        output
    }

    fn send(&self, scope: LimitScope, target: SocketAddrV4, message: LendingMessage) {
        let signal = match (scope, &message) {
            (LimitScope::Servers, LendingMessage::Request(request)) => {
                self.signals.report(request.key.into())
            }
            _ => None,
        };
        let datagram = Datagram { scope, message, signal };
        let bytes = postcard::to_stdvec(&(FORMAT_VERSION, &datagram)).unwrap_or_default();
        self.metrics.control.count(TrafficKind::Quota, 1, bytes.len());
        // The policy resends a lost message or asks another node.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(target));
    }

    /// Replaces the limit in a token request for a server by the one that this node knows, after it
    /// has merged the sender's report: versions of different nodes cannot be compared. Version 0
    /// stands for no known limit.
    fn with_local_limit(
        &self,
        from: SocketAddrV4,
        mut request: TokenRequest,
        signal: Option<SignalReport>,
    ) -> TokenRequest {
        let server = request.key.into();
        let reports = signal.filter(|report| report.server == server);
        for (_, change) in self.signals.merge(reports.as_slice()) {
            let name = self.board.fleet.load().incarnation(server);
            let name = name.as_deref().unwrap_or("-");
            self.signals.log_change(change, name, "peer", &from.to_string());
        }
        match self.signals.limit(server) {
            Some(limit) => request.limit = limit.into(),
            None => request.limit.version = 0,
        }
        request
    }

    /// Replaces the limit in a token request for a brittle server by this node's own estimate, if it
    /// knows that the server is brittle.
    fn with_own_estimate(&self, mut request: TokenRequest) -> TokenRequest {
        let server = request.key.into();
        let fleet = self.board.fleet.load();
        let mut records = fleet.servers.iter();
        let record = records.find(|record| IncarnationHash::of(&record.incarnation) == server);
        if let Some(limit) = record.and_then(|record| self.brittle.limit(record)) {
            request.limit = limit.into();
        }
        request
    }

    async fn receive(self: Rc<QuotaLimiter>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was undeliverable. The socket stays usable.
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await
            else {
                continue;
            };
            let Some(Datagram { scope, message, signal }) = decode(&buffer[..length]) else {
                continue;
            };
            self.update_nodes();
            let message = match (scope, message) {
                (LimitScope::Servers, LendingMessage::Request(request)) => {
                    LendingMessage::Request(self.with_local_limit(from, request, signal))
                }
                (LimitScope::BrittleServers, LendingMessage::Request(request)) => {
                    LendingMessage::Request(self.with_own_estimate(request))
                }
                (_, message) => message,
            };
            self.with_policy(scope, |policy, effects| {
                policy.receive(from, message, clock::now(), effects);
            });
            if self.state(scope).policy.borrow().has_waiting() {
                self.wake_tick.notify_one();
            }
        }
    }

    async fn tick(self: Rc<QuotaLimiter>) {
        loop {
            self.update_nodes();
            for scope in [LimitScope::Tenants, LimitScope::Servers, LimitScope::BrittleServers] {
                self.with_policy(scope, |policy, effects| policy.tick(clock::now(), effects));
            }
            self.metrics.lending_tenants.set(self.tenants.policy.borrow().lending_count() as i64);
            self.metrics.lending_servers.set(self.servers.policy.borrow().lending_count() as i64);
            let has_waiting = |state: &PolicyState| state.policy.borrow().has_waiting();
            let states = [&self.tenants, &self.servers, &self.brittle_servers];
            if !states.into_iter().any(has_waiting) {
                let _ = clock::timeout(IDLE_TICK, self.wake_tick.notified()).await;
            }
            // Messages settle nearly all requests before the next tick.
            clock::sleep(BUSY_TICK).await;
        }
    }

    /// Passes the live nodes to the policies if a new fleet snapshot was published.
    fn update_nodes(&self) {
        let fleet = self.board.fleet.load();
        if self.nodes_generation.replace(fleet.generation) == fleet.generation {
            return;
        }
        let port = self.socket.local_addr().map_or(0, |own| own.port());
        let addresses = fleet.nodes.iter().map(|node| SocketAddrV4::new(*node.address.ip(), port));
        let mut live_nodes: Vec<SocketAddrV4> = addresses.collect();
        live_nodes.sort_unstable();
        for state in [&self.tenants, &self.servers, &self.brittle_servers] {
            state.policy.borrow_mut().set_nodes(&live_nodes, clock::now());
        }
    }
}

/// The datagram in these bytes; None if its version is unknown or it is malformed.
fn decode(bytes: &[u8]) -> Option<Datagram> {
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    (format == FORMAT_VERSION).then(|| postcard::from_bytes(rest).ok())?
}
