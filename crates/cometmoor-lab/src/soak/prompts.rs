//! The model servers of a soak run that crash when they begin to answer a request with a certain
//! part in its prompt.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use cometmoor_platform_stand_in::fleet::{Fleet, entry};
use cometmoor_platform_stand_in::prompt_server::{CrashSign, PromptServer, PromptServing};
use cometmoor_platform_stand_in::server::BodyEnd;
use serde_json::json;

use super::history::{Disturbance, History, PromptArrivalRecord, RunRecord, Whom};

/// Service of these servers.
pub(super) const PROMPT_SERVICE: &str = "prompt";
/// The part that crashes them.
pub(super) const CRASHING_PART: &str = "dead";
/// Number of servers.
const SERVERS: usize = 6;
/// Their places among all servers begin here.
const FIRST_PLACE: usize = 2_000;
/// Host of the first server in the fleet's part of the loopback range.
const FIRST_HOST: u8 = 130;
/// Pause between two writes of a server's entry.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Time after a crash until the server's entry goes: three heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_millis(900);
/// Time for which a server is away after a crash.
const AWAY: Duration = Duration::from_millis(2500);

/// The servers.
pub(super) struct PromptServers {
    servers: Vec<PromptServer>,
    registered: RefCell<Option<Instant>>,
}

impl PromptServers {
    pub(super) async fn start(fleet: &Fleet) -> PromptServers {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let ends = [BodyEnd::Connection, BodyEnd::LastChunk];
            let serving = PromptServing {
                prefill: Duration::from_millis(100),
                event_interval: Duration::from_millis(20),
                end: ends[number % ends.len()],
                crashing_part: CRASHING_PART.to_owned(),
                crash_sign: [CrashSign::HeadAndClose(Duration::ZERO), CrashSign::Reset]
                    [number / 2 % 2],
                away: AWAY,
            };
            servers.push(PromptServer::start(fleet.host(FIRST_HOST + number as u8), serving).await);
        }
        PromptServers { servers, registered: RefCell::default() }
    }

    /// Writes the entries of the servers that are up if that is due; each life has an identifier of
    /// its own.
    pub(super) fn register(&self, fleet: &Fleet) {
        let mut registered = self.registered.borrow_mut();
        if registered.is_some_and(|at| at.elapsed() < HEARTBEAT) {
            return;
        }
        *registered = Some(Instant::now());
        for (number, server) in self.servers.iter().enumerate() {
            let prefix = format!("servers/p-{number}-");
            let own = format!("{prefix}{}", server.crashes().len());
            let has_lapsed = server.crashes().last().is_none_or(|at| at.elapsed() >= ENTRY_LAPSE);
            let earlier = fleet.store.keys(&prefix).into_iter().filter(|key| *key != own);
            for key in earlier.filter(|_| has_lapsed) {
                fleet.store.remove(&key);
            }
            if server.is_up() {
                let entry = entry(PROMPT_SERVICE, server.address, "ready", &json!([]));
                fleet.store.put(&own, &entry);
            }
        }
    }

    /// Adds what the servers saw.
    pub(super) fn add_to(&self, history: &mut History, started: Instant) {
        for (number, server) in self.servers.iter().enumerate() {
            let place = FIRST_PLACE + number;
            let since_start = |at: Instant| at.saturating_duration_since(started);
            for arrival in server.arrivals() {
                let (id, at) = (arrival.id, since_start(arrival.at));
                let run =
                    RunRecord { id: id.clone(), server: place, at, tenant: None, shows_key: false };
                history.runs.push(run);
                let crashes = arrival.crashes;
                history.prompt_arrivals.push(PromptArrivalRecord { id, at, crashes });
            }
            for crash in server.crashes().into_iter().map(since_start) {
                history.prompt_crashes.push(crash);
                let whom = Whom::Server(place);
                history.disturbances.push(Disturbance { whom, from: crash, until: crash + AWAY });
            }
        }
        history.prompt_crashes.sort_unstable();
    }
}
