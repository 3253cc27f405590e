//! Sends and receives heartbeats.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use tokio::net::UdpSocket;

use super::ControlContext;
use super::fleet::{FleetState, HeartbeatReceived, NextHeartbeat};
use crate::gossip::Heartbeat;

/// Pause between heartbeats in a fleet of up to `SMALL_FLEET` nodes; it grows
/// with the fleet, so that a node's part of the work stays the same.
const INTERVAL: Duration = Duration::from_millis(200);
/// Shortest pause, where a heartbeat is wanted before it is due.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(20);
/// Nodes up to which the interval is not stretched.
const SMALL_FLEET: usize = 12;
/// Longest pause between heartbeats.
const LONGEST_INTERVAL: Duration = Duration::from_millis(400);
/// Largest heartbeat, in bytes.
const MAX_BYTES: usize = 60_000;

/// Starts both tasks.
pub async fn start(context: &Rc<ControlContext>, fleet: &Addr<FleetState>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(SocketAddr::V4(context.settings.peer_address)).await?);
    actix_rt::spawn(receive(socket.clone(), fleet.clone()));
    actix_rt::spawn(send(context.clone(), socket, fleet.clone()));
    Ok(())
}

async fn receive(socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        // An error tells of an earlier datagram that found nobody.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        if let Some(heartbeat) = Heartbeat::decode(&buffer[..length]) {
            fleet.do_send(HeartbeatReceived(heartbeat));
        }
    }
}

async fn send(context: Rc<ControlContext>, socket: Rc<UdpSocket>, fleet: Addr<FleetState>) {
    loop {
        let Ok((heartbeat, targets)) = fleet.send(NextHeartbeat).await else { return };
        let bytes = heartbeat.encode();
        for target in &targets {
            // A lost heartbeat is followed by the next one.
            let _ = socket.try_send_to(&bytes, SocketAddr::V4(*target));
        }
        tokio::time::sleep(SHORTEST_INTERVAL).await;
        let rest = interval(targets.len()) - SHORTEST_INTERVAL;
        let _ = tokio::time::timeout(rest, context.board.heartbeat_wanted.notified()).await;
    }
}

fn interval(targets: usize) -> Duration {
    let stretch = (targets as f64 / SMALL_FLEET as f64).max(1.0);
    INTERVAL.mul_f64(stretch).min(LONGEST_INTERVAL)
}
