//! Records which software version began a stream, here and at a few other nodes, and asks them when
//! a client resumes a stream. Runs on the traffic thread, over UDP.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::registry::SoftwareHash;
use cometmoor_core::gateway::stream_origins::{
    FIRST_ASKED, HOLDERS, OriginAnswer, OriginQuery, ServiceHash, StreamKey, StreamOrigins,
    return_time,
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::metrics::Metrics;
use crate::published::{Board, Phase};
use crate::settings::GatewaySettings;

/// Version of the datagram format. Datagrams of another version are ignored.
const FORMAT_VERSION: u8 = 1;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of origins in a datagram, of up to 29 bytes each.
const MAX_ORIGINS_PER_DATAGRAM: usize = 40;
/// Time to wait for answers, after which those who have not answered are asked again, and further
/// nodes after the first time.
const ANSWER_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(25), Duration::from_millis(50), Duration::from_millis(75)];
/// Nodes that are asked to relay a query if those that were asked first have not recorded the origin.
const RELAYS: usize = 2;
/// Interval at which expired origins are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Largest age of the registry's copy from which it is concluded that a service has one version.
const MAX_REGISTRY_AGE: Duration = Duration::from_secs(3);

/// Datagram between nodes, after the format version.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Origins that the recipient is to record.
    Record(Vec<(StreamKey, SoftwareHash)>),
    /// Asks for the origin of a stream that a client resumes at a service.
    Query { number: u32, key: StreamKey, service: ServiceHash },
    /// Asks for the same, also those that the recipient takes for the holders of the origin: it may
    /// know more nodes.
    RelayedQuery { number: u32, key: StreamKey },
    /// Asks on behalf of another node. It is answered if the origin is recorded.
    QueryFor { asker: SocketAddrV4, number: u32, key: StreamKey },
    /// The answer to the query with the same number.
    Answer { number: u32, answer: OriginAnswer },
}

/// How an origin was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node has recorded it.
    Own,
    /// Another node has recorded it.
    Peer,
    /// The service has had a single version for long enough, as this node knows.
    OnlyVersion,
    /// The same, as other nodes know.
    PeersOnlyVersion,
}

impl OriginSource {
    /// Value of log lines.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::Own => "own",
            OriginSource::Peer => "peer",
            OriginSource::OnlyVersion => "only version",
            OriginSource::PeersOnlyVersion => "only version, by peers",
        }
    }
}

/// The origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The software version that began it.
    Known(SoftwareHash, OriginSource),
    /// No node that was asked knows it.
    Unknown {
        /// Nodes that have not answered.
        unanswered: usize,
    },
}

/// The UDP socket, once for each direction.
struct Sockets {
    receiver: UdpSocket,
    /// Sends at once, also before the runtime has seen that the socket is writable.
    sender: std::net::UdpSocket,
    port: u16,
}

impl Sockets {
    fn bind(address: SocketAddrV4) -> io::Result<Sockets> {
        let sender = std::net::UdpSocket::bind(SocketAddr::V4(address))?;
        sender.set_nonblocking(true)?;
        let receiver = UdpSocket::from_std(sender.try_clone()?)?;
        Ok(Sockets { receiver, sender, port: address.port() })
    }
}

type AnswerSender = mpsc::UnboundedSender<(SocketAddrV4, OriginAnswer)>;

/// Removes a query when it has ended, also if the request is abandoned meanwhile.
struct QueryGuard<'a> {
    queries: &'a RefCell<HashMap<u32, AnswerSender>>,
    number: u32,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        self.queries.borrow_mut().remove(&self.number);
    }
}

/// The origins of streams.
pub struct OriginBoard {
    own_host: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    /// `None` if this node exchanges no origins.
    sockets: Option<Sockets>,
    board: Arc<Board>,
    metrics: Arc<Metrics>,
    origins: RefCell<StreamOrigins>,
    queries: RefCell<HashMap<u32, AnswerSender>>,
    next_number: Cell<u32>,
    has_handed_over: Cell<bool>,
}

impl OriginBoard {
    /// Binds the UDP socket and starts the tasks that receive messages and remove expired origins.
    /// Fails if the address cannot be bound.
    pub fn start(
        settings: &GatewaySettings,
        board: Arc<Board>,
        metrics: Arc<Metrics>,
    ) -> io::Result<Rc<OriginBoard>> {
        let sockets = settings.stream_address.map(Sockets::bind).transpose()?;
        let origins = Rc::new(OriginBoard {
            own_host: *settings.client_address.ip(),
            seeds: settings.seeds.iter().map(|seed| *seed.ip()).collect(),
            sockets,
            board,
            metrics,
            origins: RefCell::default(),
            queries: RefCell::default(),
            next_number: Cell::new(0),
            has_handed_over: Cell::new(false),
        });
        actix_rt::spawn(origins.clone().receive());
        actix_rt::spawn(origins.clone().update());
        Ok(origins)
    }

    /// Records the version that began a stream, here and at other nodes.
    pub fn announce(&self, key: StreamKey, software: SoftwareHash) {
        self.record(&[(key, software)]);
        for node in key.holders(self.peers()).into_iter().take(HOLDERS) {
            self.send(node, &Message::Record(vec![(key, software)]));
        }
    }

    /// Finds the version that began a stream which a client resumes at a service.
    pub async fn find(&self, key: StreamKey, service: ServiceHash) -> Origin {
        if let Some(software) = self.origins.borrow().get(key, clock::now()) {
            return Origin::Known(software, OriginSource::Own);
        }
        let query = self.ask_peers(key, service).await;
        if let Some(software) = query.recorded() {
            return Origin::Known(software, OriginSource::Peer);
        }
        if let Some(software) = self.only_version(service) {
            return Origin::Known(software, OriginSource::OnlyVersion);
        }
        match query.only_version() {
            Some(software) if self.recorded_version(service) == Some(software) => {
                Origin::Known(software, OriginSource::PeersOnlyVersion)
            }
            _ => Origin::Unknown { unanswered: query.unanswered().len() },
        }
    }

    async fn ask_peers(&self, key: StreamKey, service: ServiceHash) -> OriginQuery {
        let nodes = key.holders(self.peers());
        let (first, others) = nodes.split_at(nodes.len().min(FIRST_ASKED));
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.queries.borrow_mut().insert(number, sender);
        let _guard = QueryGuard { queries: &self.queries, number };
        let mut query = OriginQuery::default();
        for (round, timeout) in ANSWER_TIMEOUTS.into_iter().enumerate() {
            match round {
                0 => query.ask(first),
                1 => query.ask(others),
                _ => {}
            }
            if round > 0 {
                for node in nodes.iter().take(RELAYS) {
                    self.send(*node, &Message::RelayedQuery { number, key });
                }
            }
            for node in query.unanswered() {
                self.send(*node, &Message::Query { number, key, service });
            }
            let deadline = clock::now() + timeout;
            let is_open = |query: &OriginQuery| {
                let awaits_relays = round == 1 && !nodes.is_empty();
                query.recorded().is_none() && (awaits_relays || !query.unanswered().is_empty())
            };
            while is_open(&query) {
                match clock::timeout_at(deadline, answers.recv()).await {
                    Ok(Some((from, answer))) => query.answer(from, answer),
                    Ok(None) | Err(_) => break,
                }
            }
            if query.recorded().is_some() {
                break;
            }
        }
        query
    }

    /// The only version of a service, if this node knows that there is one only.
    pub fn only_version(&self, service: ServiceHash) -> Option<SoftwareHash> {
        let fleet = self.board.fleet.load();
        let confirmed = fleet.servers_confirmed?;
        let is_recent = clock::elapsed(confirmed) <= MAX_REGISTRY_AGE;
        let return_time = return_time(fleet.configuration.as_deref());
        let only = fleet.versions.only_version(service, return_time, clock::now());
        only.filter(|_| is_recent)
    }

    fn recorded_version(&self, service: ServiceHash) -> Option<SoftwareHash> {
        self.board.fleet.load().versions.recorded_version(service)
    }

    fn record(&self, origins: &[(StreamKey, SoftwareHash)]) {
        let fleet = self.board.fleet.load();
        let expires_at = clock::now() + return_time(fleet.configuration.as_deref());
        let mut recorded = self.origins.borrow_mut();
        for (key, software) in origins {
            recorded.record(*key, *software, expires_at);
        }
        self.metrics.stream_origins.set(recorded.len() as i64);
    }

    /// Addresses of the other nodes for these messages. A node that has just started knows few of
    /// them, and takes the seeds of its settings for nodes.
    fn peers(&self) -> impl Iterator<Item = SocketAddrV4> {
        let Some(Sockets { port, .. }) = &self.sockets else { return Vec::new().into_iter() };
        let fleet = self.board.fleet.load();
        let mut hosts: Vec<Ipv4Addr> = fleet.nodes.iter().map(|node| *node.address.ip()).collect();
        if hosts.len() <= FIRST_ASKED {
            hosts.extend(&self.seeds);
            hosts.sort_unstable();
            hosts.dedup();
        }
        hosts.retain(|host| *host != self.own_host);
        let peers: Vec<SocketAddrV4> =
            hosts.into_iter().map(|host| SocketAddrV4::new(host, *port)).collect();
        peers.into_iter()
    }

    fn send(&self, target: SocketAddrV4, message: &Message) {
        let Some(Sockets { sender, .. }) = &self.sockets else { return };
        let bytes = postcard::to_stdvec(&(FORMAT_VERSION, message)).unwrap_or_default();
        self.metrics.control.count(TrafficKind::StreamOrigin, 1, bytes.len());
        // Origins are sent to several nodes, and questions are repeated.
        let _ = sender.send_to(&bytes, SocketAddr::V4(target));
    }

    async fn receive(self: Rc<OriginBoard>) {
        let Some(Sockets { receiver, .. }) = &self.sockets else { return };
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram was undeliverable. The socket stays usable.
            let Ok((length, SocketAddr::V4(from))) = receiver.recv_from(&mut buffer).await else {
                continue;
            };
            match decode(&buffer[..length]) {
                Some(Message::Record(origins)) => self.record(&origins),
                Some(Message::Query { number, key, service }) => {
                    let answer = self.answer(key, service);
                    self.send(from, &Message::Answer { number, answer });
                }
                Some(Message::RelayedQuery { number, key }) => {
                    for node in key.holders(self.peers()).into_iter().take(FIRST_ASKED) {
                        self.send(node, &Message::QueryFor { asker: from, number, key });
                    }
                }
                Some(Message::QueryFor { asker, number, key }) => {
                    if let Some(software) = self.origins.borrow().get(key, clock::now()) {
                        let answer = OriginAnswer { recorded: Some(software), only_version: None };
                        self.send(asker, &Message::Answer { number, answer });
                    }
                }
                Some(Message::Answer { number, answer }) => {
                    if let Some(query) = self.queries.borrow().get(&number) {
                        // The request that asked may have been abandoned.
                        let _ = query.send((from, answer));
                    }
                }
                None => {}
            }
        }
    }

    fn answer(&self, key: StreamKey, service: ServiceHash) -> OriginAnswer {
        let recorded = self.origins.borrow().get(key, clock::now());
        OriginAnswer { recorded, only_version: self.only_version(service) }
    }

    async fn update(self: Rc<OriginBoard>) {
        loop {
            clock::sleep(EXPIRY_INTERVAL).await;
            let fleet = self.board.fleet.load();
            self.origins.borrow_mut().expire(clock::now());
            self.metrics.stream_origins.set(self.origins.borrow().len() as i64);
            let is_leaving = matches!(fleet.phase, Phase::Draining | Phase::Closing);
            if is_leaving && !self.has_handed_over.replace(true) {
                self.hand_over();
            }
        }
    }

    /// Has other nodes record what this one knows, before it ends.
    fn hand_over(&self) {
        let mut by_holder: HashMap<SocketAddrV4, Vec<(StreamKey, SoftwareHash)>> = HashMap::new();
        for (key, software) in self.origins.borrow().iter() {
            for node in key.holders(self.peers()).into_iter().take(HOLDERS) {
                by_holder.entry(node).or_default().push((key, software));
            }
        }
        for (node, origins) in by_holder {
            for part in origins.chunks(MAX_ORIGINS_PER_DATAGRAM) {
                self.send(node, &Message::Record(part.to_vec()));
            }
        }
    }
}

/// The message in these bytes; `None` if its version is unknown or it is malformed.
fn decode(bytes: &[u8]) -> Option<Message> {
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    (format == FORMAT_VERSION).then(|| postcard::from_bytes(rest).ok())?
}
