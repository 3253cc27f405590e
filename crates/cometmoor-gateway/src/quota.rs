//! Tenants' limits on the traffic thread: asks the policy of the core, sends its messages,
//! and lets requests wait for its decision.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::quota::lent::{LentMessage, LentQuota};
use cometmoor_core::gateway::quota::{
    Decision, Effects, QuotaKey, QuotaPolicy, Settled, Ticket, VersionedLimit,
};
use cometmoor_core::gateway::tenants::Tenant;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::metrics::Metrics;
use crate::published::Board;
use crate::settings::GatewaySettings;

/// Version of the messages' format.
const FORMAT: u8 = 1;
/// Largest message, in bytes.
const MAX_BYTES: usize = 1024;
/// Time between two ticks of the policy while requests wait.
const BUSY_TICK: Duration = Duration::from_millis(20);
/// The same while none does.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// The tenants' limits as the requests of this node see them.
pub struct QuotaDesk {
    socket: UdpSocket,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    policy: RefCell<LentQuota>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Decision>>>,
    /// Generation of the published state whose nodes the policy has.
    nodes_of: Cell<u64>,
    changed: Notify,
}

impl QuotaDesk {
    /// Opens the socket and begins to take messages.
    pub fn start(
        settings: &GatewaySettings,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
    ) -> io::Result<Rc<QuotaDesk>> {
        let own = settings.quota_address;
        let socket = std::net::UdpSocket::bind(SocketAddr::V4(own))?;
        socket.set_nonblocking(true)?;
        let seeds = settings.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), own.port()));
        let (seeds, bounds) = (seeds.collect(), settings.quota_bounds());
        let policy = LentQuota::new(own, seeds, bounds, rand::random(), clock::now());
        let desk = Rc::new(QuotaDesk {
            socket: UdpSocket::from_std(socket)?,
            board,
            metrics,
            policy: RefCell::new(policy),
            waiting: RefCell::default(),
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
        self.take_nodes();
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        let limit = VersionedLimit { limit, version };
        let decided = self
            .with_policy(|policy, effects| policy.request(key, limit, cost, clock::now(), effects));
        let Decision::Pending(ticket) = decided else { return decided };
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        self.changed.notify_one();
        // The desk outlives the request, and each ticket is settled.
        receiver.await.unwrap_or(Decision::Undecided)
    }

    /// Gives the tokens of a request back that no server has run.
    pub fn give_back(&self, tenant: &Tenant, tokens: Option<u64>) {
        let Some(limit) = tenant.limit else { return };
        let key = QuotaKey::of(&tenant.name);
        let cost = limit.unit.cost(tokens) as f64;
        self.with_policy(|policy, effects| policy.give_back(key, cost, clock::now(), effects));
    }

    fn with_policy<Output>(
        &self,
        act: impl FnOnce(&mut LentQuota, &mut Effects<LentMessage>) -> Output,
    ) -> Output {
        let mut effects = Effects::default();
        let output = act(&mut self.policy.borrow_mut(), &mut effects);
        for Settled { ticket, decision } in effects.settled {
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                // A client that has left waits no more.
                let _ = sender.send(decision);
            }
        }
        for (target, message) in effects.messages {
            self.send(target, &message);
        }
        output
    }

    fn send(&self, target: SocketAddrV4, message: &LentMessage) {
        let bytes = postcard::to_stdvec(&(FORMAT, message)).unwrap_or_default();
        self.metrics.control.count(TrafficKind::Quota, 1, bytes.len());
        // A lost message is sent again, or another node is asked.
        let _ = self.socket.try_send_to(&bytes, SocketAddr::V4(target));
    }

    async fn receive(self: Rc<QuotaDesk>) {
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            // An error tells of an earlier datagram that found nobody.
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer).await
            else {
                continue;
            };
            let Some(message) = decode(&buffer[..length]) else { continue };
            self.take_nodes();
            self.with_policy(|policy, effects| {
                policy.receive(from, message, clock::now(), effects);
            });
        }
    }

    async fn tick(self: Rc<QuotaDesk>) {
        loop {
            self.take_nodes();
            self.with_policy(|policy, effects| policy.tick(clock::now(), effects));
            self.metrics.lends.set(self.policy.borrow().books() as i64);
            if !self.policy.borrow().has_waiting() {
                let _ = clock::timeout(IDLE_TICK, self.changed.notified()).await;
            }
            // Nearly all requests are decided before.
            clock::sleep(BUSY_TICK).await;
        }
    }

    /// Tells the policy which nodes there are, where that may have changed.
    fn take_nodes(&self) {
        let fleet = self.board.fleet.load();
        if self.nodes_of.replace(fleet.generation) == fleet.generation {
            return;
        }
        let port = self.socket.local_addr().map_or(0, |own| own.port());
        let addresses = fleet.nodes.iter().map(|node| SocketAddrV4::new(*node.address.ip(), port));
        let mut alive: Vec<SocketAddrV4> = addresses.collect();
        alive.sort_unstable();
        self.policy.borrow_mut().set_nodes(&alive, clock::now());
    }
}

fn decode(bytes: &[u8]) -> Option<LentMessage> {
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    (format == FORMAT).then(|| postcard::from_bytes(rest).ok())?
}
