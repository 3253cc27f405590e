//! Connection pool for one incarnation of a server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::time::Duration;

use cometmoor_core::time::BootInstant;
use tokio::net::TcpStream;

use crate::clock;
use crate::http::connection::is_reusable;

/// Idle timeout if the server announced none with `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction of the announced timeout for which a connection may be idle.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;
/// Maximum number of idle connections.
const MAX_IDLE: usize = 64;

struct IdleConnection {
    stream: TcpStream,
    via: Option<SocketAddrV4>,
    expires_at: BootInstant,
}

/// A connection to a server.
pub struct PooledConnection {
    /// Its socket.
    pub stream: TcpStream,
    /// Whether an earlier request has used it.
    pub reused: bool,
    /// Tunnel address of the peer that it goes through; `None` for a direct connection.
    pub via: Option<SocketAddrV4>,
}

/// Idle connections to one incarnation of a server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<IdleConnection>>,
    idle_timeout: Cell<Option<Duration>>,
}

impl Pool {
    /// Returns an unused connection to the pool. Returns false, and closes it, if the server has
    /// closed it or sent something.
    pub fn release_if_open(&self, stream: TcpStream, via: Option<SocketAddrV4>) -> bool {
        let reusable = is_reusable(&stream);
        if reusable {
            self.release(stream, None, via);
        }
        reusable
    }

    /// Whether there is an idle connection that has not expired.
    pub fn has_idle(&self, now: BootInstant) -> bool {
        self.idle.borrow().iter().any(|idle| idle.expires_at > now)
    }

    /// Removes an idle connection that can be used; those through peers that `is_usable` rejects
    /// are closed.
    pub fn take_idle(
        &self,
        now: BootInstant,
        is_usable: impl Fn(SocketAddrV4) -> bool,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(IdleConnection { stream, via, expires_at }) = idle.pop() {
            if expires_at > now && via.is_none_or(&is_usable) && is_reusable(&stream) {
                return Some(PooledConnection { stream, reused: true, via });
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_seconds` is the idle
    /// timeout that the server announced with it; `None` keeps the previous one. The connection is
    /// closed if the pool is full.
    pub fn release(
        &self,
        stream: TcpStream,
        keep_alive_seconds: Option<u64>,
        via: Option<SocketAddrV4>,
    ) {
        if let Some(seconds) = keep_alive_seconds {
            self.idle_timeout
                .set(Some(Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_FRACTION)));
        }
        let idle_timeout = self.idle_timeout.get().unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection { stream, via, expires_at: clock::now() + idle_timeout });
        }
    }

    /// Closes connections whose idle timeout has elapsed, and those through peers that `is_usable`
    /// rejects: a peer that is stopping waits for them.
    pub fn close_unusable(&self, now: BootInstant, is_usable: impl Fn(SocketAddrV4) -> bool) {
        let is_kept =
            |idle: &IdleConnection| idle.expires_at > now && idle.via.is_none_or(&is_usable);
        self.idle.borrow_mut().retain(is_kept);
    }

    /// Closes the idle connections through peers.
    pub fn close_tunnels(&self) {
        self.idle.borrow_mut().retain(|idle| idle.via.is_none());
    }

    /// Closes the idle connections through one peer.
    pub fn close_tunnels_through(&self, peer: SocketAddrV4) {
        self.idle.borrow_mut().retain(|idle| idle.via != Some(peer));
    }

    /// Closes the idle direct connections.
    pub fn close_direct(&self) {
        self.idle.borrow_mut().retain(|idle| idle.via.is_some());
    }

    /// Closes all idle connections.
    pub fn close_all(&self) {
        self.idle.borrow_mut().clear();
    }
}
