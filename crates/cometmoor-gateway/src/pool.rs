//! Connection pool for one incarnation of a server.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use tokio::net::TcpStream;

use crate::clock;
use crate::http::connection::{connect, is_reusable};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout if the server announced none with `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the announced timeout for which a connection may be idle.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// Maximum number of idle connections.
const MAX_IDLE: usize = 64;

struct IdleConnection {
    stream: TcpStream,
    expires_at: BootInstant,
}

/// A connection that was checked out of the pool.
pub struct PooledConnection {
    /// Its socket.
    pub stream: TcpStream,
    /// Whether an earlier request has used it.
    pub reused: bool,
}

/// Idle connections to one incarnation of a server.
pub struct Pool {
    address: SocketAddrV4,
    idle: RefCell<Vec<IdleConnection>>,
    idle_timeout: Cell<Option<Duration>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddrV4) -> Pool {
        Pool { address, idle: RefCell::new(Vec::new()), idle_timeout: Cell::new(None) }
    }

    /// Returns an idle connection, or opens a new one within the timeout.
    pub async fn checkout(&self, timeout: Duration) -> io::Result<PooledConnection> {
        if let Some(stream) = self.take_idle(clock::now()) {
            return Ok(PooledConnection { stream, reused: true });
        }
        let stream = connect(self.address, timeout.min(CONNECT_TIMEOUT)).await?;
        Ok(PooledConnection { stream, reused: false })
    }

    /// Opens a new connection even if there are idle ones.
    pub async fn connect(&self) -> io::Result<TcpStream> {
        connect(self.address, CONNECT_TIMEOUT).await
    }

    /// Returns an unused connection to the pool. Returns false, and closes it, if the server has
    /// closed it or sent something.
    pub fn release_if_open(&self, stream: TcpStream) -> bool {
        let reusable = is_reusable(&stream);
        if reusable {
            self.release(stream, None);
        }
        reusable
    }

    /// Whether there is an idle connection that has not expired.
    pub fn has_idle(&self, now: BootInstant) -> bool {
        self.idle.borrow().iter().any(|idle| idle.expires_at > now)
    }

    fn take_idle(&self, now: BootInstant) -> Option<TcpStream> {
        let mut idle = self.idle.borrow_mut();
        while let Some(candidate) = idle.pop() {
            if candidate.expires_at > now && is_reusable(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_seconds` is the idle
    /// timeout that the server announced with it; `None` keeps the previous one. The connection is
    /// closed if the pool is full.
    pub fn release(&self, stream: TcpStream, keep_alive_seconds: Option<u64>) {
        if let Some(seconds) = keep_alive_seconds {
            self.idle_timeout
                .set(Some(Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_FRACTION)));
        }
        let idle_timeout = self.idle_timeout.get().unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { stream, expires_at: clock::now() + idle_timeout });
        }
    }

    /// Closes connections whose idle timeout has elapsed.
    pub fn close_expired(&self, now: BootInstant) {
        self.idle.borrow_mut().retain(|idle| idle.expires_at > now);
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}
