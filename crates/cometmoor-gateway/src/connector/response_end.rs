//! Whether a server that has closed a connection cleanly had completed the response on it.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::response_end::{Probe, ServerFacts};

use super::{Connector, SERVER_UPDATE_INTERVAL};
use crate::clock;
use crate::http::connection::connect;
use crate::pool::PooledConnection;
use crate::servers::Server;

/// Connections that are opened to a server which has closed one cleanly, if it closes them, too, or
/// does not answer.
const MAX_CLOSE_PROBES: u32 = 2;
/// Timeout of each of them.
const CLOSE_PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a new connection must stay open: a process that ends may still accept one while
/// its sockets are closed one after the other.
pub const PROBE_OPEN_TIME: Duration = Duration::from_millis(30);
/// The same where more depends on it: the process may also be descheduled while its sockets are
/// closed.
pub const DECISIVE_PROBE_OPEN_TIME: Duration = Duration::from_millis(100);

impl Connector {
    /// Whether a server that has closed a connection cleanly had completed the response on it: a
    /// process that is killed closes its connections in the same way. A connection to the process
    /// must stay open for `open_time`.
    pub async fn has_completed_response(&self, server: &Server, open_time: Duration) -> bool {
        let probe = self.probe_process(server, open_time).await;
        self.update_servers();
        let facts = ServerFacts {
            departure: server.departure(),
            is_gone: server.has_ended() || self.is_address_taken_over(server),
            // It may have been known for an interval that the server leaves.
            drain_time: self.drain_time.saturating_sub(SERVER_UPDATE_INTERVAL),
        };
        facts.has_completed_response(probe, clock::now())
    }

    /// Looks whether the process of a server runs: by a connection that was opened to it before, or
    /// else by a new one, which another process at its address may accept.
    async fn probe_process(&self, server: &Server, open_time: Duration) -> Probe {
        let known = server.pool.take_idle(clock::now(), |_| false);
        if let Some(PooledConnection { stream, .. }) = known {
            clock::sleep(open_time).await;
            if server.pool.release_if_open(stream, None) {
                return Probe::Open;
            }
        }
        let mut probe = Probe::NoAnswer;
        for _ in 0..MAX_CLOSE_PROBES {
            match connect(server.record().address, CLOSE_PROBE_TIMEOUT).await {
                Ok(stream) => {
                    clock::sleep(open_time).await;
                    if server.pool.release_if_open(stream, None) {
                        return Probe::Open;
                    }
                    // It accepts connections and closes them, like one with too many.
                    probe = Probe::Open;
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return Probe::Refused;
                }
                Err(_) => probe = Probe::NoAnswer,
            }
        }
        probe
    }

    /// Whether another incarnation is registered at the address of a server.
    fn is_address_taken_over(&self, server: &Server) -> bool {
        let own = server.record();
        let fleet = self.board.fleet.load();
        let is_other = |record: &Arc<ServerRecord>| {
            record.address == own.address && record.incarnation != own.incarnation
        };
        fleet.servers.iter().any(is_other)
    }
}
