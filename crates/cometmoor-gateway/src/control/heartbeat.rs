//! Sends and receives the UDP messages between nodes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use tokio::net::UdpSocket;

use super::ControlContext;
use super::fleet::{FleetState, GetNextMessages, GetProof, GetUrgentMessages, PeerMessageReceived};
use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::membership::{Message, OutgoingMessage, ProofRequest};

/// Interval between two heartbeats in a small fleet. Nodes that learn of each other's load
/// sooner send their prompts to the same server less often: compared with 200 ms, one in fifty
/// more live streams meets its deadlines (seven nodes, simulated days), at a cost in bytes and
/// CPU time of 0.0006 of the simulation's score.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(80);
/// The same in a large fleet, in which hubs relay load: a node's view of the others' load is at
/// most three intervals old. With a view that is 0.3 s old, half as many prompts queue at busy
/// servers as with 0.6 s (`core/tests/stale_load.rs`). At 300 nodes a hub sends a sixth of the
/// capacity of a 20 Mbit/s link.
const LARGE_FLEET_INTERVAL: Duration = Duration::from_millis(200);
/// The interval for each node of a fleet of more than 400 nodes, in which it grows with the
/// fleet: a hub sends more bytes the more hubs there are.
const LARGE_FLEET_INTERVAL_PER_NODE: Duration = Duration::from_micros(500);
/// Maximum interval: three heartbeats are sent before a node is suspected.
const LARGE_FLEET_MAX_INTERVAL: Duration = Duration::from_millis(420);
/// Minimum interval in a small fleet, if a heartbeat is requested before it is due.
const SMALL_FLEET_MIN_INTERVAL: Duration = Duration::from_millis(20);
/// The same in a large fleet: the leader's announcement changes with each order, and hubs relay
/// it to their nodes. With 60 ms, each node was sent 12 digests/s instead of five on a busy day
/// of 295 nodes, and each of 301 nodes with 2,999 servers sent 281 KB/s.
const LARGE_FLEET_MIN_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval between messages about awaited weights. What is reported meanwhile is sent
/// together.
const URGENT_MESSAGE_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a message that is received, in bytes.
const MAX_MESSAGE_BYTES: usize = 60_000;

/// Binds the peer address and starts the tasks that send and receive. Fails if the address
/// cannot be bound.
pub async fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(SocketAddr::V4(context.settings.peer_address)).await?);
    actix_rt::spawn(receive(context.clone(), socket.clone(), fleet.clone()));
    actix_rt::spawn(send_urgent(context.clone(), socket.clone(), fleet.clone()));
    actix_rt::spawn(send(context.clone(), socket, fleet.clone()));
    Ok(())
}

fn traffic_kind(message: &Message) -> TrafficKind {
    match message {
        Message::Heartbeat(_)
        | Message::HeartbeatToHub(..)
        | Message::Brittle(_)
        | Message::CrashingParts(_)
        | Message::WaitReport(_)
        | Message::LoadNotice(_) => TrafficKind::Heartbeat,
        Message::ServerSpeeds(_) => TrafficKind::ServerSpeeds,
        Message::ZoneDigest(_) => TrafficKind::ZoneDigest,
        Message::FleetDigest(_) => TrafficKind::FleetDigest,
        Message::ProofRequest(_) | Message::ProofAnswer(_) => TrafficKind::Proof,
    }
}

fn heartbeat_interval(nodes: u32, is_small_fleet: bool) -> Duration {
    match is_small_fleet {
        true => SMALL_FLEET_INTERVAL,
        false => (LARGE_FLEET_INTERVAL_PER_NODE * nodes)
            .clamp(LARGE_FLEET_INTERVAL, LARGE_FLEET_MAX_INTERVAL),
    }
}

async fn receive(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        // An error refers to a datagram that was sent earlier and could not be delivered.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        match Message::decode(&buffer[..length]) {
            Some(Message::ProofRequest(request)) => {
                actix_rt::spawn(answer_proof(
                    context.clone(),
                    socket.clone(),
                    fleet.clone(),
                    request,
                ));
            }
            Some(message) => fleet.do_send(PeerMessageReceived(message)),
            None => {}
        }
    }
}

/// Answers a node's request for a proof that the configuration is the newest.
async fn answer_proof(
    context: Rc<ControlContext>,
    socket: Rc<UdpSocket>,
    fleet: Addr<FleetState>,
    request: ProofRequest,
) {
    let Ok(answer) = fleet.send(GetProof(request)).await else { return };
    let bytes = Message::ProofAnswer(answer).encode();
    context.traffic.count(TrafficKind::Proof, 1, bytes.len());
    // If the answer is lost, the node sends another request.
    let _ = socket.try_send_to(&bytes, SocketAddr::V4(request.from));
}

fn send_messages(context: &ControlContext, socket: &UdpSocket, messages: &[OutgoingMessage]) {
    for outgoing in messages {
        let bytes = outgoing.message.encode();
        let kind = traffic_kind(&outgoing.message);
        context.traffic.count(kind, outgoing.targets.len(), bytes.len());
        for target in &outgoing.targets {
            // A lost message is made up for by the next one.
            let _ = socket.try_send_to(&bytes, SocketAddr::V4(*target));
        }
    }
}

/// Sends the messages about awaited weights.
async fn send_urgent(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    loop {
        context.board.urgent_messages.notified().await;
        let Ok(messages) = fleet.send(GetUrgentMessages).await else { return };
        send_messages(&context, &socket, &messages);
        clock::sleep(URGENT_MESSAGE_INTERVAL).await;
    }
}

async fn send(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    loop {
        let Ok(next) = fleet.send(GetNextMessages).await else { return };
        send_messages(&context, &socket, &next.outgoing);
        let min_interval =
            if next.is_small_fleet { SMALL_FLEET_MIN_INTERVAL } else { LARGE_FLEET_MIN_INTERVAL };
        let interval = heartbeat_interval(next.nodes, next.is_small_fleet);
        clock::sleep(min_interval).await;
        let wanted = context.board.heartbeat_wanted.notified();
        let _ = clock::timeout(interval - min_interval, wanted).await;
    }
}
