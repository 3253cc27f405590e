//! Speeds of the servers, shared by the node's threads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use cometmoor_core::gateway::registry::ServerRecord;
use cometmoor_core::gateway::server_speed::{
    DueReport, EventInterval, ObservedServer, Pace, PaceChange, PaceTracker, RelativeSpeed,
    ReportRole, ShortKey, Speed, SpeedReport, SpeedTable, relative_speeds,
};
use cometmoor_core::gateway::signals::IncarnationHash;
use cometmoor_core::time::BootInstant;
use spdlog::info;

use crate::clock;
use crate::load::ModelKey;
use crate::published::FleetSnapshot;

/// Maximum time between two evaluations of the observations, after which old ones are found to have
/// expired.
const MAX_EVALUATION_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of log lines on servers for each evaluation, of which there are at most four a
/// second.
const MAX_LINES_PER_EVALUATION: usize = 1;

/// Speeds that were evaluated last.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSummary {
    /// Number of servers that were compared with others.
    pub observed: usize,
    /// The lowest speed of them; the mean speed if there are none.
    pub slowest: Speed,
    /// The highest speed of them; the mean speed if there are none.
    pub fastest: Speed,
}

#[derive(Debug, Default)]
struct State {
    table: SpeedTable,
    paces: PaceTracker,
    summary: SpeedSummary,
    /// Whether the table has changed since the last evaluation.
    has_changed: bool,
    evaluated_at: Option<BootInstant>,
}

/// Speeds of the servers. The traffic thread records streams; the control thread exchanges
/// reports with other nodes and evaluates them.
#[derive(Clone, Debug, Default)]
pub struct SpeedBoard {
    /// Without it, nothing is recorded or reported, and all servers have the mean speed.
    is_enabled: bool,
    state: Arc<Mutex<State>>,
    /// Speeds that differ from the mean.
    speeds: Arc<ArcSwap<HashMap<IncarnationHash, Speed>>>,
}

impl SpeedBoard {
    /// Creates a board without observations, which stays so unless it is enabled.
    pub fn new(is_enabled: bool) -> SpeedBoard {
        let table = SpeedTable::new(rand::random());
        let state = Arc::new(Mutex::new(State { table, ..State::default() }));
        SpeedBoard { is_enabled, state, ..SpeedBoard::default() }
    }

    fn with<Output>(&self, act: impl FnOnce(&mut State, BootInstant) -> Output) -> Output {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut state, clock::now())
    }

    /// Records the shortest interval between two events of a stream that a server completed.
    pub fn record_stream(
        &self,
        server: IncarnationHash,
        model: ModelKey,
        shortest_interval: Duration,
    ) {
        if !self.is_enabled {
            return;
        }
        let interval = EventInterval::new(shortest_interval);
        self.with(|state, now| {
            state.table.record_stream(server, model, interval, now);
            state.has_changed = true;
        });
    }

    /// Speed of a server relative to the mean of its service, as last evaluated.
    pub fn speed(&self, server: IncarnationHash) -> Speed {
        self.speeds.load().get(&server).copied().unwrap_or_default()
    }

    /// The report to other nodes that is due now; `None` if there is none.
    pub fn next_report(&self) -> Option<DueReport> {
        if !self.is_enabled {
            return None;
        }
        self.with(|state, now| state.table.next_report(now))
    }

    /// Merges another node's report, and passes it on if this node is a hub.
    pub fn merge(&self, report: &SpeedReport, role: ReportRole) {
        if !self.is_enabled {
            return;
        }
        self.with(|state, now| {
            state.table.merge(report, role, now);
            state.has_changed = true;
        });
    }

    /// Evaluates the observations of the servers in the registry, if there are new ones or old ones
    /// may have expired, and logs servers that have become slow or fast.
    pub fn evaluate(&self, fleet: &FleetSnapshot) {
        if !self.is_enabled {
            return;
        }
        let changes = self.with(|state, now| {
            let is_early =
                state.evaluated_at.is_some_and(|at| now.since(at) < MAX_EVALUATION_INTERVAL);
            if is_early && !state.has_changed {
                return Vec::new();
            }
            state.has_changed = false;
            state.evaluated_at = Some(now);
            let speeds = evaluate_services(&mut state.table, &fleet.servers, now);
            state.summary = summary(&speeds);
            let changes = state.paces.update(&speeds, MAX_LINES_PER_EVALUATION);
            let differing = speeds.iter().filter(|known| known.speed != Speed::MEAN);
            let by_server = differing.map(|known| (known.server, known.speed)).collect();
            self.speeds.store(Arc::new(by_server));
            changes
        });
        changes.iter().for_each(|change| self.log_change(change, fleet));
    }

    fn log_change(&self, change: &PaceChange, fleet: &FleetSnapshot) {
        let name = fleet.incarnation(change.server);
        let server = name.as_deref().unwrap_or("-");
        let speed = change.speed.relative();
        let known = self.with(|state, _| state.table.server(change.server));
        let models = known.as_ref().map_or(0, |known| known.models.len() as u64);
        let streams = known.as_ref().map_or(0, |known| known.streams);
        let age_millis = known.map_or(0, |known| clock::elapsed(known.confirmed_at).as_millis());
        let age_millis = age_millis as u64;
        match change.pace {
            Pace::Slow => {
                info!("[speeds] a server is slow", kv: { server, speed, models, streams, age_millis });
            }
            Pace::Fast => {
                info!("[speeds] a server is fast", kv: { server, speed, models, streams, age_millis });
            }
            Pace::Usual => {
                info!("[speeds] a server has usual speed again", kv: { server, speed, models, streams, age_millis });
            }
        }
    }

    /// The speeds that were evaluated last.
    pub fn summary(&self) -> SpeedSummary {
        self.with(|state, _| state.summary)
    }
}

/// Drops old observations, and compares the servers of each service.
fn evaluate_services(
    table: &mut SpeedTable,
    servers: &[Arc<ServerRecord>],
    now: BootInstant,
) -> Vec<RelativeSpeed> {
    if table.is_empty() {
        return Vec::new();
    }
    let servers: HashMap<ShortKey, (IncarnationHash, &str)> = servers
        .iter()
        .map(|record| (IncarnationHash::of(&record.incarnation), &*record.service))
        .map(|(server, service)| (ShortKey::from(server), (server, service)))
        .collect();
    table.expire(|server| servers.contains_key(&server), now);
    let mut services: HashMap<&str, Vec<ObservedServer>> = HashMap::new();
    for (server, service) in servers.into_values() {
        if let Some(known) = table.server(server) {
            let observed = ObservedServer { server, models: known.models };
            services.entry(service).or_default().push(observed);
        }
    }
    services.values().flat_map(|servers| relative_speeds(servers)).collect()
}

fn summary(speeds: &[RelativeSpeed]) -> SpeedSummary {
    let values = || speeds.iter().map(|known| known.speed.relative());
    SpeedSummary {
        observed: speeds.len(),
        slowest: values().min_by(f64::total_cmp).map(Speed::new).unwrap_or_default(),
        fastest: values().max_by(f64::total_cmp).map(Speed::new).unwrap_or_default(),
    }
}
