//! The model servers of a soak run, whose models and adapters the leader orders.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::engine_limits::{ADAPTERS, MODELS};
use cometmoor_platform_stand_in::fleet::Fleet;
use cometmoor_platform_stand_in::server::{Server, signed};
use cometmoor_platform_stand_in::worker::{Run, whole_body};

use super::history::{History, RunRecord};

/// Service of the model servers.
pub(super) const ENGINE_SERVICE: &str = "engine";
/// Number of model servers.
const ENGINES: usize = 3;
/// Their places among all servers begin here.
pub(super) const FIRST_PLACE: usize = 1_000;
/// Host of the model servers in the fleet's part of the loopback range.
const ENGINE_HOST: u8 = 119;
/// Pause between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// Runs, with the places of their servers.
type Runs = Rc<RefCell<Vec<(usize, Run)>>>;

/// The model servers.
pub(super) struct Engines {
    servers: Vec<Server>,
    runs: Runs,
    registered: RefCell<Option<Instant>>,
}

impl Engines {
    pub(super) async fn start(fleet: &Fleet) -> Engines {
        let runs = Runs::default();
        let mut servers = Vec::new();
        for number in 0..ENGINES {
            let runs = runs.clone();
            let server = Server::start(fleet.host(ENGINE_HOST), move |seen| {
                let run = Run::begin(seen);
                let reply = signed(seen, 200, &whole_body(&run.id));
                runs.borrow_mut().push((FIRST_PLACE + number, run));
                reply
            })
            .await;
            server.check_limits();
            servers.push(server);
        }
        Engines { servers, runs, registered: RefCell::default() }
    }

    /// Writes the servers' entries if that is due: what they hold, as real ones do.
    pub(super) fn register(&self, fleet: &Fleet) {
        let mut registered = self.registered.borrow_mut();
        if registered.is_some_and(|at| at.elapsed() < HEARTBEAT) {
            return;
        }
        *registered = Some(Instant::now());
        for (number, server) in self.servers.iter().enumerate() {
            let id = format!("e-{number}");
            fleet.register_with(&id, ENGINE_SERVICE, server, "ready", &server.models());
        }
    }

    /// Adds what the servers saw.
    pub(super) fn add_to(&self, history: &mut History, started: Instant) {
        history.runs.extend(self.runs.borrow().iter().map(|(server, run)| RunRecord {
            id: run.id.clone(),
            server: *server,
            at: run.at.saturating_duration_since(started),
            tenant: run.tenant.clone(),
            shows_key: run.shows_key,
        }));
        history.excess_orders = self.servers.iter().flat_map(Server::excess_orders).collect();
    }
}

/// The name of a model's adapter, drawn by a number.
pub(super) fn adapter_name(drawn: u32) -> String {
    format!("m{}/a{}", drawn % MODELS + 1, drawn / MODELS % ADAPTERS + 1)
}
