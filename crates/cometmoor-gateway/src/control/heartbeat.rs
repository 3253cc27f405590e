//! Sends and receives what nodes tell one another.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use tokio::net::UdpSocket;

use super::ControlContext;
use super::fleet::{FleetState, GetNextMessages, GetProof, PeerMessageReceived};
use crate::clock;
use crate::control_traffic::TrafficKind;
use crate::membership::{Message, ProofRequest};

/// Pause between two heartbeats in a small fleet. Nodes that hear of one
/// another's load sooner do not send their prompts to one server at once: one
/// live stream in fifty more is in time than with 200 ms (seven nodes, played
/// days), for 0.0006 of the worth in bytes and processor time.
const SMALL_FLEET_INTERVAL: Duration = Duration::from_millis(80);
/// The same in a large fleet, whose hubs repeat what they hear: what nodes know of one
/// another's load is three of these pauses old at the most. With word that is 0.3 s old
/// half as many prompts pile up at busy servers as with 0.6 s
/// (`core/tests/stale_load.rs`); at 300 nodes a hub sends a sixth of what a link of
/// 20 Mbit/s carries.
const INTERVAL: Duration = Duration::from_millis(200);
/// The same for each node beyond 400: a hub's bytes grow with the hubs.
const INTERVAL_FOR_NODE: Duration = Duration::from_micros(500);
/// Longest pause: three heartbeats come before a node is suspected.
const LONGEST_INTERVAL: Duration = Duration::from_millis(420);
/// Shortest pause in a small fleet, where a heartbeat is wanted before it is due.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(20);
/// The same in a large one: the leader's word changes with each order, and hubs pass it
/// on to their nodes. With 60 ms, 12 digests a second and node were sent instead of five
/// on a heavy day of 295 nodes, and 301 nodes before 2,999 servers sent 281 KB/s each.
const LARGE_SHORTEST_INTERVAL: Duration = Duration::from_millis(150);
/// Largest message, in bytes.
const MAX_BYTES: usize = 60_000;

/// Starts both tasks.
pub async fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(SocketAddr::V4(context.settings.peer_address)).await?);
    actix_rt::spawn(receive(context.clone(), socket.clone(), fleet.clone()));
    actix_rt::spawn(send(context.clone(), socket, fleet.clone()));
    Ok(())
}

fn kind_of(message: &Message) -> TrafficKind {
    match message {
        Message::Heartbeat(_) | Message::HeartbeatToHub(..) => TrafficKind::Heartbeat,
        Message::ZoneDigest(_) => TrafficKind::ZoneDigest,
        Message::FleetDigest(_) => TrafficKind::FleetDigest,
        Message::ProofRequest(_) | Message::ProofAnswer(_) => TrafficKind::Proof,
    }
}

fn interval(nodes: u32, is_small_fleet: bool) -> Duration {
    match is_small_fleet {
        true => SMALL_FLEET_INTERVAL,
        false => (INTERVAL_FOR_NODE * nodes).clamp(INTERVAL, LONGEST_INTERVAL),
    }
}

async fn receive(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        // An error tells of an earlier datagram that found nobody.
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

/// Tells a node since when the configuration is known to be the newest.
async fn answer_proof(
    context: Rc<ControlContext>,
    socket: Rc<UdpSocket>,
    fleet: Addr<FleetState>,
    request: ProofRequest,
) {
    let Ok(answer) = fleet.send(GetProof(request)).await else { return };
    let bytes = Message::ProofAnswer(answer).encode();
    context.traffic.count(TrafficKind::Proof, 1, bytes.len());
    // A lost answer is asked for again.
    let _ = socket.try_send_to(&bytes, SocketAddr::V4(request.from));
}

async fn send(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    loop {
        let Ok(next) = fleet.send(GetNextMessages).await else { return };
        for outgoing in &next.outgoing {
            let bytes = outgoing.message.encode();
            let kind = kind_of(&outgoing.message);
            context.traffic.count(kind, outgoing.targets.len(), bytes.len());
            for target in &outgoing.targets {
                // A lost message is followed by the next one.
                let _ = socket.try_send_to(&bytes, SocketAddr::V4(*target));
            }
        }
        let shortest =
            if next.is_small_fleet { SHORTEST_INTERVAL } else { LARGE_SHORTEST_INTERVAL };
        let interval = interval(next.nodes, next.is_small_fleet);
        clock::sleep(shortest).await;
        let wanted = context.board.heartbeat_wanted.notified();
        let _ = clock::timeout(interval - shortest, wanted).await;
    }
}
