//! Limits of tenants and servers on the traffic thread: asks the policy of the core, sends its
//! messages, and lets requests wait for its decision.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

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

use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::settings::GatewaySettings;
use crate::signals::SignalBoard;

/// Version of the messages' format.
const FORMAT: u8 = 2;
/// Largest message, in bytes.
const MAX_BYTES: usize = 1024;
/// Time between two ticks of the policy while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// The same while none does.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Whose limits are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Holder {
    /// Tenants', by the configuration.
    Tenants,
    /// Servers', by their answers.
    Servers,
}

/// A datagram between nodes.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    holder: Holder,
    message: LendingMessage,
    /// What the sender knows of the server, with a question for its limit: the node that is
    /// asked may not have heard of it, or of another limit.
    signal: Option<SignalReport>,
}

/// A request that waits for its decision.
struct Waiting {
    key: QuotaKey,
    cost: f64,
    sender: oneshot::Sender<Decision>,
}

/// The limits of one kind of holders.
struct Ledger {
    policy: RefCell<LendingPolicy>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
}

impl Ledger {
    fn new(own: SocketAddrV4, seeds: Vec<SocketAddrV4>, bounds: QuotaBounds) -> Ledger {
        let policy = LendingPolicy::new(own, seeds, bounds, rand::random(), clock::now());
        Ledger { policy: RefCell::new(policy), waiting: RefCell::default() }
    }
}

/// The limits as the requests of this node see them.
pub struct QuotaLimiter {
    socket: UdpSocket,
    board: Arc<Board>,
    signals: SignalBoard,
    metrics: Arc<Metrics>,
    tenants: Ledger,
    servers: Ledger,
    /// Generation of the published state whose nodes the policies have.
    nodes_of: Cell<u64>,
    changed: Notify,
}

impl QuotaLimiter {
    /// Opens the socket and begins to take messages.
    pub fn start(
        settings: &GatewaySettings,
        board: Arc<Board>,
        signals: SignalBoard,
        metrics: Arc<Metrics>,
    ) -> io::Result<Rc<QuotaLimiter>> {
        let own = settings.quota_address;
        let socket = std::net::UdpSocket::bind(SocketAddr::V4(own))?;
        socket.set_nonblocking(true)?;
        let seeds = settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), own.port()));
        let seeds: Vec<SocketAddrV4> = seeds.collect();
        let desk = Rc::new(QuotaLimiter {
            socket: UdpSocket::from_std(socket)?,
            board,
            signals,
            metrics,
            tenants: Ledger::new(own, seeds.clone(), settings.quota_bounds()),
            servers: Ledger::new(own, seeds, SERVER_LIMIT_BOUNDS),
            nodes_of: Cell::new(0),
            changed: Notify::new(),
        });
        actix_rt::spawn(desk.clone().receive());
        actix_rt::spawn(desk.clone().tick());
        Ok(desk)
    }

    /// Asks whether a request of a tenant that names so many tokens may run; waits for the
    /// answer of another node where that is needed. What a tenant without a limit sends is
    /// granted.
    pub async fn acquire(&self, tenant: &Tenant, version: u64, tokens: Option<u64>) -> Decision {
        let Some(limit) = tenant.limit else { return Decision::Granted };
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        self.decide(Holder::Tenants, key, VersionedLimit { limit, version }, cost).await
    }

    /// Gives the tokens of a request back that no server has run.
    pub fn refund(&self, tenant: &Tenant, tokens: Option<u64>) {
        let Some(limit) = tenant.limit else { return };
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        self.return_tokens(Holder::Tenants, key, cost);
    }

    /// Asks whether a server with a limit may get a request.
    pub async fn acquire_send(&self, server: IncarnationHash, limit: VersionedLimit) -> Decision {
        self.decide(Holder::Servers, server.into(), limit, 1.0).await
    }

    /// Gives the allowance for a request back that did not reach its server.
    pub fn refund_send(&self, server: IncarnationHash) {
        self.return_tokens(Holder::Servers, server.into(), 1.0);
    }

    fn ledger(&self, holder: Holder) -> &Ledger {
        match holder {
            Holder::Tenants => &self.tenants,
            Holder::Servers => &self.servers,
        }
    }

    async fn decide(
        &self,
        holder: Holder,
        key: QuotaKey,
        limit: VersionedLimit,
        cost: f64,
    ) -> Decision {
        self.take_nodes();
        let now = clock::now();
        let ask = |policy: &mut LendingPolicy, effects: &mut Effects<LendingMessage>| {
            policy.request(key, limit, cost, now, effects)
        };
        let decided = self.with_policy(holder, ask);
        let Decision::Pending(ticket) = decided else { return decided };
        let (sender, receiver) = oneshot::channel();
        self.ledger(holder).waiting.borrow_mut().insert(ticket, Waiting { key, cost, sender });
        self.changed.notify_one();
        // The desk outlives the request, and each ticket is settled.
        receiver.await.unwrap_or(Decision::Undecided)
    }

    fn return_tokens(&self, holder: Holder, key: QuotaKey, cost: f64) {
        self.with_policy(holder, |policy, effects| {
            policy.refund(key, cost, clock::now(), effects);
        });
    }

    fn with_policy<Output>(
        &self,
        holder: Holder,
        act: impl FnOnce(&mut LendingPolicy, &mut Effects<LendingMessage>) -> Output,
    ) -> Output {
        let ledger = self.ledger(holder);
        let mut effects = Effects::default();
        let output = act(&mut ledger.policy.borrow_mut(), &mut effects);
        for Settled { ticket, decision } in effects.settled {
            let Some(waiting) = ledger.waiting.borrow_mut().remove(&ticket) else { continue };
            // Whoever has left needs no tokens; others wait for them.
            if waiting.sender.send(decision).is_err() && decision == Decision::Granted {
                self.return_tokens(holder, waiting.key, waiting.cost);
            }
        }
        for (target, message) in effects.messages {
            self.send(holder, target, message);
        }
        output
    }

    fn send(&self, holder: Holder, target: SocketAddrV4, message: LendingMessage) {
        let signal = match (holder, &message) {
            (Holder::Servers, LendingMessage::Request(ask)) => self.signals.report(ask.key.into()),
            _ => None,
        };
        let datagram = Datagram { holder, message, signal };
        let bytes = postcard::to_stdvec(&(FORMAT, &datagram)).unwrap_or_default();
        self.metrics.control.count(TrafficKind::Quota, 1, bytes.len());
        // A lost message is sent again, or another node is asked.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(target));
    }

    /// Puts the limit that this node knows of a server in place of the one that is asked by:
    /// versions of different nodes cannot be compared.
    fn with_known_limit(
        &self,
        from: SocketAddrV4,
        mut ask: TokenRequest,
        signal: Option<SignalReport>,
    ) -> TokenRequest {
        let server = ask.key.into();
        let reports = signal.filter(|report| report.server == server);
        for (_, change) in self.signals.merge(reports.as_slice()) {
            let name = self.board.fleet.load().incarnation(server);
            let name = name.as_deref().unwrap_or("-");
            self.signals.log_change(change, name, "peer", &from.to_string());
        }
        match self.signals.limit(server) {
            Some(limit) => ask.limit = limit.into(),
            None => ask.limit.version = 0,
        }
        ask
    }

    async fn receive(self: Rc<QuotaLimiter>) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            // An error tells of an earlier datagram that found nobody.
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await
            else {
                continue;
            };
            let Some(Datagram { holder, message, signal }) = decode(&buffer[..length]) else {
                continue;
            };
            self.take_nodes();
            let message = match (holder, message) {
                (Holder::Servers, LendingMessage::Request(ask)) => {
                    LendingMessage::Request(self.with_known_limit(from, ask, signal))
                }
                (_, message) => message,
            };
            self.with_policy(holder, |policy, effects| {
                policy.receive(from, message, clock::now(), effects);
            });
            if self.ledger(holder).policy.borrow().has_waiting() {
                self.changed.notify_one();
            }
        }
    }

    async fn tick(self: Rc<QuotaLimiter>) {
        loop {
            self.take_nodes();
            for holder in [Holder::Tenants, Holder::Servers] {
                self.with_policy(holder, |policy, effects| policy.tick(clock::now(), effects));
            }
            self.metrics.lends.set(self.tenants.policy.borrow().lending_count() as i64);
            self.metrics.lends_for_servers.set(self.servers.policy.borrow().lending_count() as i64);
            let has_waiting = |ledger: &Ledger| ledger.policy.borrow().has_waiting();
            if !has_waiting(&self.tenants) && !has_waiting(&self.servers) {
                let _ = clock::timeout(IDLE_TICK, self.changed.notified()).await;
            }
            // Nearly all requests are decided before.
            clock::sleep(BUSY_TICK).await;
        }
    }

    /// Tells the policies which nodes there are, where that may have changed.
    fn take_nodes(&self) {
        let fleet = self.board.fleet.load();
        if self.nodes_of.replace(fleet.generation) == fleet.generation {
            return;
        }
        let port = self.socket.local_addr().map_or(0, |own| own.port());
        let addresses = fleet.nodes.iter().map(|node| SocketAddrV4::new(*node.address.ip(), port));
        let mut alive: Vec<SocketAddrV4> = addresses.collect();
        alive.sort_unstable();
        for ledger in [&self.tenants, &self.servers] {
            ledger.policy.borrow_mut().set_nodes(&alive, clock::now());
        }
    }
}

fn decode(bytes: &[u8]) -> Option<Datagram> {
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    (format == FORMAT).then(|| postcard::from_bytes(rest).ok())?
}
