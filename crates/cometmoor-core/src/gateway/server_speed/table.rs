//! Shortest intervals by server and model.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use super::intervals::EventInterval;
use super::priority::{ModelPriorities, Tier};
use super::report::{
    DueRecord, DueReport, MAX_RECORDS, ReportRole, ShortKey, SpeedRecord, SpeedReport,
};
use crate::gateway::signals::IncarnationHash;
use crate::time::BootInstant;

/// Length of a span. The shortest interval of the current and the last span counts.
const SPAN: Duration = Duration::from_secs(10);
/// Time without an observation after which one of a server and model is dropped.
const RETENTION: Duration = Duration::from_secs(20);
/// Maximum number of servers.
const MAX_SERVERS: usize = 1024;
/// Maximum number of models of a server.
const MAX_MODELS: usize = 4;
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a node's first stream of a span after which its shortest interval is reported to
/// confirm what other nodes know. Reported with the first stream, it would often have to be reported
/// again, because later streams have shorter ones.
const CONFIRMATION_DELAY: Duration = Duration::from_secs(3);

/// Observations of one span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanMinimum {
    shortest: EventInterval,
    observed_at: BootInstant,
    /// From when on it is reported even if it is no news.
    due_from: BootInstant,
    /// The shortest interval that other nodes know of.
    reported: Option<EventInterval>,
    /// The shortest interval that all hubs know of.
    known_to_hubs: Option<EventInterval>,
}

impl SpanMinimum {
    fn merge(&mut self, other: SpanMinimum) {
        if (other.shortest, self.observed_at) < (self.shortest, other.observed_at) {
            self.shortest = other.shortest;
            self.observed_at = other.observed_at;
        }
        self.due_from = self.due_from.min(other.due_from);
        self.reported = shorter(self.reported, other.reported);
        self.known_to_hubs = shorter(self.known_to_hubs, other.known_to_hubs);
    }

    fn is_for_hubs(&self) -> bool {
        self.known_to_hubs.is_none_or(|known| self.shortest < known)
    }
}

fn shorter(one: Option<EventInterval>, other: Option<EventInterval>) -> Option<EventInterval> {
    one.into_iter().chain(other).min()
}

/// Observations of one model at one server. Their result does not depend on the order in which they
/// are recorded.
#[derive(Clone, Copy, Debug)]
struct ModelIntervals {
    /// Number of the latest span with an observation.
    span: u64,
    latest: SpanMinimum,
    /// The span before it.
    before: Option<SpanMinimum>,
    /// When the latest observation was made.
    confirmed_at: BootInstant,
    streams: u32,
}

fn span_number(at: BootInstant) -> u64 {
    at.timestamp().0 / SPAN.as_millis() as u64
}

impl ModelIntervals {
    fn new(observed: SpanMinimum) -> ModelIntervals {
        ModelIntervals {
            span: span_number(observed.observed_at),
            latest: observed,
            before: None,
            confirmed_at: observed.observed_at,
            streams: 1,
        }
    }

    fn merge(&mut self, observed: SpanMinimum) {
        let span = span_number(observed.observed_at);
        self.confirmed_at = self.confirmed_at.max(observed.observed_at);
        self.streams = self.streams.saturating_add(1);
        if span == self.span {
            self.latest.merge(observed);
        } else if span > self.span {
            self.before = (span == self.span + 1).then_some(self.latest);
            (self.span, self.latest) = (span, observed);
        } else if span + 1 == self.span {
            match &mut self.before {
                Some(before) => before.merge(observed),
                None => self.before = Some(observed),
            }
        }
    }

    fn shortest(&self) -> EventInterval {
        self.before.map_or(self.latest.shortest, |before| before.shortest.min(self.latest.shortest))
    }

    /// The shortest interval that other nodes know of.
    fn reported(&self) -> Option<EventInterval> {
        shorter(self.latest.reported, self.before.and_then(|before| before.reported))
    }

    /// Why this is to be reported now; `None` if it is not. A model that was observed at one server
    /// is reported only once: it does not allow a comparison.
    fn importance(&self, tier: Tier, now: BootInstant) -> Option<Importance> {
        let Some(known) = self.reported() else { return Some(Importance::New) };
        if tier == Tier::Single {
            return None;
        }
        if self.shortest().is_notably_below(known) {
            return Some(Importance::Shorter);
        }
        let is_due = self.latest.reported.is_none() && self.latest.due_from <= now;
        is_due.then_some(Importance::Confirmation)
    }

    /// The span whose shortest interval is reported.
    fn span_to_report(&mut self, importance: Importance) -> &mut SpanMinimum {
        let latest = self.latest.shortest;
        let before = self
            .before
            .as_mut()
            .filter(|before| importance != Importance::Confirmation && before.shortest < latest);
        before.unwrap_or(&mut self.latest)
    }

    /// Returns the record that is reported at `now`, and whether hubs may not know it yet.
    fn report(&mut self, importance: Importance) -> (EventInterval, BootInstant, bool) {
        let span = self.span_to_report(importance);
        let (shortest, observed_at) = (span.shortest, span.observed_at);
        let is_for_hubs = importance == Importance::New || span.is_for_hubs();
        span.reported = Some(shortest);
        span.known_to_hubs = Some(shortest);
        (shortest, observed_at, is_for_hubs)
    }
}

/// Observations of one server.
#[derive(Clone, Debug, Default)]
struct Server {
    models: HashMap<ShortKey, ModelIntervals>,
    /// Whether the registry lists the incarnation. Other nodes may know it earlier.
    is_listed: bool,
}

impl Server {
    /// Records an observation. If there is no room, it replaces those of the model without an
    /// observation for the longest time.
    fn merge(&mut self, model: ShortKey, observed: SpanMinimum) {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(&model) {
            let oldest = self.models.iter().map(|(key, known)| (known.confirmed_at, *key)).min();
            let Some((confirmed_at, oldest)) = oldest else { return };
            if confirmed_at > observed.observed_at {
                return;
            }
            self.models.remove(&oldest);
        }
        match self.models.entry(model) {
            Entry::Occupied(mut known) => known.get_mut().merge(observed),
            Entry::Vacant(vacant) => {
                vacant.insert(ModelIntervals::new(observed));
            }
        }
    }
}

/// Observations of a server, as recorded at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerIntervals {
    /// Shortest interval by model.
    pub models: Vec<(ShortKey, EventInterval)>,
    /// Number of streams recorded here and of reports of other nodes.
    pub streams: u32,
    /// When the latest observation was made.
    pub confirmed_at: BootInstant,
}

/// Why a record is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Importance {
    /// Other nodes know no interval.
    New,
    /// Other nodes know only a longer interval.
    Shorter,
    /// Other nodes know about the same interval, from an earlier span.
    Confirmation,
}

/// A record that is to be reported.
struct DueIntervals<'t> {
    importance: Importance,
    server: ShortKey,
    model: ShortKey,
    intervals: &'t mut ModelIntervals,
}

/// Shortest intervals by server and model, as known to a node. Servers and models are identified by
/// short keys.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    servers: HashMap<ShortKey, Server>,
    /// Determines the order of records in reports.
    salt: u64,
    reported_at: Option<BootInstant>,
}

impl SpeedTable {
    /// Creates an empty table. `salt` should differ between nodes.
    pub fn new(salt: u64) -> SpeedTable {
        SpeedTable { salt, ..SpeedTable::default() }
    }

    /// Records the shortest interval of a stream that this node has relayed.
    pub fn record_stream(
        &mut self,
        server: IncarnationHash,
        model: u32,
        interval: EventInterval,
        now: BootInstant,
    ) {
        let due_from = now + CONFIRMATION_DELAY;
        let observed = SpanMinimum {
            shortest: interval,
            observed_at: now,
            due_from,
            reported: None,
            known_to_hubs: None,
        };
        self.observe(server.into(), ShortKey::of(model), observed);
    }

    /// Merges another node's report.
    pub fn merge(&mut self, report: &SpeedReport, role: ReportRole, now: BootInstant) {
        let records = report.records().take(MAX_RECORDS);
        for record in records.filter(|record| record.age() < RETENTION) {
            let observed_at = now.checked_sub(record.age()).unwrap_or_default();
            let shortest = record.interval;
            let observed = SpanMinimum {
                shortest,
                observed_at,
                due_from: observed_at,
                reported: (role == ReportRole::Node).then_some(shortest),
                known_to_hubs: report.is_from_hub().then_some(shortest),
            };
            self.observe(record.server, record.model, observed);
        }
    }

    fn observe(&mut self, server: ShortKey, model: ShortKey, observed: SpanMinimum) {
        let is_full = self.servers.len() >= MAX_SERVERS;
        match self.servers.entry(server) {
            Entry::Occupied(mut known) => known.get_mut().merge(model, observed),
            Entry::Vacant(vacant) if !is_full => {
                vacant.insert(Server::default()).merge(model, observed)
            }
            Entry::Vacant(_) => {}
        }
    }

    /// The report that this node sends now, at most one a second; `None` if there is nothing new.
    /// News come first, and then what allows to compare as many servers as possible.
    pub fn next_report(&mut self, now: BootInstant) -> Option<DueReport> {
        if self.reported_at.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return None;
        }
        let mut intervals = self.servers.values().flat_map(|server| server.models.values());
        if !intervals.any(|intervals| intervals.importance(Tier::Shared, now).is_some()) {
            return None;
        }
        let priorities = ModelPriorities::new(self.pairs(), self.salt);
        let mut due: Vec<DueIntervals<'_>> = Vec::new();
        for (server, known) in &mut self.servers {
            let server = *server;
            due.extend(known.models.iter_mut().filter_map(|(model, intervals)| {
                let importance = intervals.importance(priorities.tier(*model), now)?;
                let is_kept = now.since(intervals.confirmed_at) < RETENTION;
                is_kept.then_some(DueIntervals { importance, server, model: *model, intervals })
            }));
        }
        due.sort_by_cached_key(|record| {
            (record.importance, priorities.order(record.model), record.server)
        });
        due.truncate(MAX_RECORDS);
        self.reported_at = Some(now);
        if due.is_empty() {
            return None;
        }
        let mut report = DueReport::default();
        for DueIntervals { importance, server, model, intervals } in due {
            let (interval, observed_at, is_for_hubs) = intervals.report(importance);
            let record = SpeedRecord::new(server, model, interval, observed_at, now);
            let is_for_all_nodes = importance == Importance::New;
            report.records.push(DueRecord { record, is_for_all_nodes, is_for_hubs });
        }
        Some(report)
    }

    /// The observed pairs of a server and a model.
    fn pairs(&self) -> impl Iterator<Item = (ShortKey, ShortKey)> {
        let servers = self.servers.iter();
        servers.flat_map(|(server, known)| known.models.keys().map(|model| (*server, *model)))
    }

    /// Drops observations that are too old, and those of incarnations that have left the registry.
    pub fn expire(&mut self, is_listed: impl Fn(ShortKey) -> bool, now: BootInstant) {
        self.servers.retain(|server, known| {
            let was_listed = known.is_listed;
            known.is_listed = is_listed(*server);
            known.models.retain(|_, intervals| now.since(intervals.confirmed_at) < RETENTION);
            !known.models.is_empty() && (known.is_listed || !was_listed)
        });
    }

    /// The observations of a server; `None` if there are none.
    pub fn server(&self, server: IncarnationHash) -> Option<ServerIntervals> {
        let known = self.servers.get(&server.into())?;
        let models = known.models.iter().map(|(model, known)| (*model, known.shortest())).collect();
        let streams = known.models.values().map(|known| known.streams);
        Some(ServerIntervals {
            models,
            streams: streams.fold(0, u32::saturating_add),
            confirmed_at: known.models.values().map(|known| known.confirmed_at).max()?,
        })
    }

    /// Number of observed pairs of a server and a model.
    pub fn len(&self) -> usize {
        self.servers.values().map(|server| server.models.len()).sum()
    }

    /// Whether nothing was observed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
