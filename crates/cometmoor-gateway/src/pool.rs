//! Connections to one incarnation of a server.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use tokio::net::TcpStream;

use crate::clock;
use crate::http::connection::{connect, is_reusable};

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Rest of a connection whose server told no time.
const DEFAULT_REST: Duration = Duration::from_secs(4);
/// Part of the told time that a connection may rest.
const REST_PART: f64 = 0.85;
/// Most resting connections.
const MAX_IDLE: usize = 64;

struct Idle {
    stream: TcpStream,
    until: BootInstant,
}

/// A connection, and whether it was used before.
pub struct PooledConnection {
    /// The connection.
    pub stream: TcpStream,
    /// Whether an earlier request went over it.
    pub reused: bool,
}

/// Connections to one incarnation of a server.
pub struct Pool {
    address: SocketAddrV4,
    idle: RefCell<Vec<Idle>>,
    told_rest: Cell<Option<Duration>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddrV4) -> Pool {
        Pool { address, idle: RefCell::new(Vec::new()), told_rest: Cell::new(None) }
    }

    /// A resting connection, or a new one.
    pub async fn checkout(&self, within: Duration) -> io::Result<PooledConnection> {
        if let Some(stream) = self.take_idle(clock::now()) {
            return Ok(PooledConnection { stream, reused: true });
        }
        let stream = connect(self.address, within.min(CONNECT_TIMEOUT)).await?;
        Ok(PooledConnection { stream, reused: false })
    }

    /// Opens a connection whatever rests.
    pub async fn connect(&self) -> io::Result<TcpStream> {
        connect(self.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection for the next request if it is still open; tells whether it is.
    pub fn release_if_open(&self, stream: TcpStream) -> bool {
        let is_open = is_reusable(&stream);
        if is_open {
            self.release(stream, None);
        }
        is_open
    }

    /// Whether a connection rests.
    pub fn has_idle(&self, now: BootInstant) -> bool {
        self.idle.borrow().iter().any(|idle| idle.until > now)
    }

    fn take_idle(&self, now: BootInstant) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(candidate) = idle.pop() {
            if candidate.until > now && is_reusable(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    /// Takes a connection back whose last answer was whole.
    pub fn release(&self, stream: TcpStream, keep_alive_seconds: Option<u64>) {
        if let Some(seconds) = keep_alive_seconds {
            self.told_rest.set(Some(Duration::from_secs(seconds).mul_f64(REST_PART)));
        }
        let rest = self.told_rest.get().unwrap_or(DEFAULT_REST);
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { stream, until: clock::now() + rest });
        }
    }

    /// Closes connections that have rested for too long.
    pub fn close_expired(&self, now: BootInstant) {
        self.idle.borrow_mut().retain(|idle| idle.until > now);
    }

    /// Closes all resting connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}
