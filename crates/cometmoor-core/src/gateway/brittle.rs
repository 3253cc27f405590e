//! Servers that fail if they have to reject more than a few requests a second.
//!
//! Such servers are brittle as a service, and their responses say so. How many requests they admit
//! is not known and may shrink, so they are not filled until they reject: the nodes together send
//! each of them no more than it can process at once. The limit is a rate with hardly a burst,
//! the server's slots divided by the time that a request occupies one. It is enforced like a limit that
//! a server names itself, by the node that lends for the server. A rejection that happens all the
//! same is reported to all nodes, which leave the server alone for a moment and then send less.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::quota::{QuotaBounds, VersionedLimit};
use super::signals::IncarnationHash;
use super::tenants::{QuotaUnit, TenantLimit};
use crate::time::BootInstant;

/// Bounds of the limits. The slack is what a lender needs to lend one request beyond the rate if
/// nodes have left recently; requests do not wait for a fallback lender, because another server may
/// have capacity.
pub const BRITTLE_BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(1),
    excess: 0.0,
    slack: 7.0,
    max_fallback_wait: Duration::ZERO,
};
/// Requests that may follow one another at once. With one, a part of the rate is lost between the
/// end of a denial and the next request.
const BURST: f64 = 2.0;
/// Time without a response that says so after which a service is no longer brittle.
const RETENTION: Duration = Duration::from_secs(3);
/// Share of a server's estimated processing rate that is used at first, and at most. The estimate
/// includes the time on the way, so the server may be able to process more.
const START_SHARE: f64 = 0.95;
const MAX_SHARE: f64 = 1.15;
/// Share for a server that has become known while its service is brittle: it may have fallen and
/// just be back.
const INITIAL_SHARE: f64 = 0.4;
/// Smallest share after rejections.
const MIN_SHARE: f64 = 0.05;
/// Factors by which a rejection reduces the share: a single one, and one that follows another
/// within [`REPEATED_WITHIN`].
const REJECTION_FACTOR: f64 = 0.95;
const REPEATED_REJECTION_FACTOR: f64 = 0.8;
const REPEATED_WITHIN: Duration = Duration::from_millis(500);
/// Share that is regained per second up to the safe share.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// Share that is regained per second beyond it, until the server rejects again.
const PROBING_PER_SECOND: f64 = 0.02;
/// Safe share, as a fraction of the share at the last rejection.
const SAFE_FACTOR: f64 = 0.95;
/// Time for which a server that has rejected a request gets none.
const REJECTION_HOLD: Duration = Duration::from_millis(60);
/// Weight of the newest request in the average time for which one occupies a slot.
const OCCUPANCY_WEIGHT: f64 = 0.15;
/// That time if nothing is known.
const DEFAULT_OCCUPANCY: Duration = Duration::from_secs(1);
/// Age up to which rejections are reported to other nodes, and the maximum number in a message.
const REJECTION_REPORTED_FOR: Duration = Duration::from_secs(1);
const MAX_REJECTION_REPORTS: usize = 40;
/// Time without requests after which a server is forgotten.
const SERVER_RETENTION: Duration = Duration::from_secs(60);

/// Identifies a service by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceHash(u64);

impl ServiceHash {
    /// Hashes the name of a service.
    pub fn of(service: &str) -> ServiceHash {
        ServiceHash(xxhash_rust::xxh3::xxh3_64(service.as_bytes()))
    }
}

/// What a node reports of brittle services. Ages are in milliseconds at the time of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// Brittle services with the age of the last response that said so, and the average time in
    /// milliseconds for which a request occupies a slot; 0 if it is not known.
    pub services: Vec<(ServiceHash, u32, u32)>,
    /// Servers that have rejected a request recently, and the age of the last rejection.
    pub rejections: Vec<(IncarnationHash, u32)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Service {
    /// When a response last said that the service is brittle.
    reported_at: Option<BootInstant>,
    occupancy: Option<Duration>,
}

impl Service {
    fn is_brittle(&self, now: BootInstant) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < RETENTION)
    }
}

#[derive(Clone, Copy, Debug)]
struct Server {
    /// Share of its processing rate that it got at `share_set_at`.
    share: f64,
    share_set_at: BootInstant,
    /// Share that the server has not rejected requests at lately.
    safe_share: f64,
    /// When it last completed a request of this node, or became known.
    used_at: BootInstant,
    occupancy: Option<Duration>,
    rejected_at: Option<BootInstant>,
    /// Until when this node sends it nothing, because it was denied a part of the limit.
    denied_until: BootInstant,
}

impl Server {
    fn new(share: f64, now: BootInstant) -> Server {
        Server {
            share,
            share_set_at: now,
            safe_share: MAX_SHARE,
            used_at: now,
            occupancy: None,
            rejected_at: None,
            denied_until: now,
        }
    }

    fn share(&self, now: BootInstant) -> f64 {
        let seconds = now.since(self.share_set_at).as_secs_f64();
        let seconds_to_safe = (self.safe_share - self.share).max(0.0) / RECOVERY_PER_SECOND;
        let quickly = RECOVERY_PER_SECOND * seconds.min(seconds_to_safe);
        let slowly = PROBING_PER_SECOND * (seconds - seconds_to_safe).max(0.0);
        (self.share + quickly + slowly).min(MAX_SHARE)
    }

    /// Applies a rejection at `at`, unless one of the same moment was applied before: reports of it
    /// come from several nodes. Returns whether it was applied.
    fn apply_rejection(&mut self, at: BootInstant, now: BootInstant) -> bool {
        if self.rejected_at.is_some_and(|known| at <= known + REJECTION_HOLD) {
            return false;
        }
        let is_repeated = self.rejected_at.is_some_and(|known| at <= known + REPEATED_WITHIN);
        let factor = if is_repeated { REPEATED_REJECTION_FACTOR } else { REJECTION_FACTOR };
        let share = self.share(now);
        self.safe_share = share * SAFE_FACTOR;
        self.share = (share * factor).max(MIN_SHARE);
        self.share_set_at = now;
        self.rejected_at = Some(at);
        true
    }
}

/// Brittle services and their servers as known to a node.
#[derive(Clone, Debug, Default)]
pub struct BrittleTable {
    services: HashMap<ServiceHash, Service>,
    servers: HashMap<IncarnationHash, Server>,
    /// Versions the limits: every one replaces those before.
    revision: u64,
}

impl BrittleTable {
    /// Records a response of a server that says that its service is brittle. Returns whether that
    /// is new.
    pub fn note_brittle(&mut self, service: ServiceHash, now: BootInstant) -> bool {
        self.note_reported(service, now, now)
    }

    fn note_reported(&mut self, service: ServiceHash, at: BootInstant, now: BootInstant) -> bool {
        let known = self.services.entry(service).or_default();
        let was_brittle = known.is_brittle(now);
        known.reported_at = known.reported_at.max(Some(at));
        known.is_brittle(now) && !was_brittle
    }

    /// Whether the servers of a service are brittle.
    pub fn is_brittle(&self, service: ServiceHash, now: BootInstant) -> bool {
        self.services.get(&service).is_some_and(|known| known.is_brittle(now))
    }

    /// Records that a request has occupied a slot of a server for this time.
    pub fn note_completed(
        &mut self,
        service: ServiceHash,
        server: IncarnationHash,
        occupancy: Duration,
        now: BootInstant,
    ) {
        let service = self.services.entry(service).or_default();
        service.occupancy = Some(average(service.occupancy, occupancy));
        let known = self.servers.entry(server).or_insert_with(|| Server::new(START_SHARE, now));
        known.occupancy = Some(average(known.occupancy, occupancy));
        known.used_at = now;
        if !service.is_brittle(now) {
            // The share matters only while the service is brittle.
            known.share = START_SHARE;
            known.share_set_at = now;
            known.safe_share = MAX_SHARE;
        }
    }

    /// Records that a server of a brittle service has rejected a request. Returns the share of its
    /// processing rate that it gets from now on, or `None` if that is not reduced.
    pub fn note_rejected(
        &mut self,
        service: ServiceHash,
        server: IncarnationHash,
        now: BootInstant,
    ) -> Option<f64> {
        if !self.is_brittle(service, now) {
            return None;
        }
        let server = self.server(server, now);
        server.apply_rejection(now, now).then_some(server.share)
    }

    fn server(&mut self, server: IncarnationHash, now: BootInstant) -> &mut Server {
        self.servers.entry(server).or_insert_with(|| Server::new(INITIAL_SHARE, now))
    }

    /// The rate at which all nodes together send requests to a server with so many slots; `None` if
    /// its service is not brittle.
    pub fn limit(
        &mut self,
        service: ServiceHash,
        server: IncarnationHash,
        slots: u32,
        now: BootInstant,
    ) -> Option<VersionedLimit> {
        let known = self.services.get(&service).copied().filter(|known| known.is_brittle(now))?;
        self.revision += 1;
        let version = self.revision;
        let server = self.server(server, now);
        let occupancy = server.occupancy.or(known.occupancy).unwrap_or(DEFAULT_OCCUPANCY);
        let rate = f64::from(slots.max(1)) / occupancy.as_secs_f64().max(f64::MIN_POSITIVE);
        let per_second = rate * server.share(now);
        let limit = TenantLimit { per_second, burst: BURST, unit: QuotaUnit::Requests };
        Some(VersionedLimit { limit, version })
    }

    /// Records that this node was denied a part of the limit and asks again at `until`.
    pub fn note_denied(&mut self, server: IncarnationHash, until: BootInstant, now: BootInstant) {
        self.server(server, now).denied_until = until;
    }

    /// Time for which this node sends nothing to a server of a brittle service.
    pub fn hold(
        &self,
        service: ServiceHash,
        server: IncarnationHash,
        now: BootInstant,
    ) -> Option<Duration> {
        let known = self.servers.get(&server).filter(|_| self.is_brittle(service, now))?;
        let rejected_until = known.rejected_at.map(|at| at + REJECTION_HOLD);
        let until = Some(known.denied_until).max(rejected_until)?;
        (now < until).then(|| until.since(now))
    }

    /// What other nodes have to know now; `None` if there is nothing.
    pub fn report(&self, now: BootInstant) -> Option<BrittleReport> {
        let age = |at| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let mut services: Vec<(ServiceHash, u32, u32)> = Vec::new();
        for (service, known) in self.services.iter().filter(|(_, known)| known.is_brittle(now)) {
            let occupancy = known.occupancy.map_or(0, |time| time.as_millis());
            let occupancy = u32::try_from(occupancy).unwrap_or(u32::MAX);
            services.extend(known.reported_at.map(|at| (*service, age(at), occupancy)));
        }
        if services.is_empty() {
            return None;
        }
        let is_recent = |at: &BootInstant| now.since(*at) < REJECTION_REPORTED_FOR;
        let rejections = self.servers.iter().filter_map(|(server, known)| {
            Some((*server, age(known.rejected_at.filter(is_recent)?)))
        });
        let rejections = rejections.take(MAX_REJECTION_REPORTS).collect();
        Some(BrittleReport { services, rejections })
    }

    /// Merges another node's report. Returns the number of services that are brittle since.
    pub fn merge(&mut self, report: &BrittleReport, now: BootInstant) -> usize {
        let before = |millis: u32| {
            now.checked_sub(Duration::from_millis(u64::from(millis))).unwrap_or_default()
        };
        let mut new = 0;
        for (service, age_millis, occupancy_millis) in &report.services {
            new += usize::from(self.note_reported(*service, before(*age_millis), now));
            let known = self.services.entry(*service).or_default();
            if known.occupancy.is_none() && *occupancy_millis > 0 {
                known.occupancy = Some(Duration::from_millis(u64::from(*occupancy_millis)));
            }
        }
        for (server, age_millis) in &report.rejections {
            self.server(*server, now).apply_rejection(before(*age_millis), now);
        }
        new
    }

    /// Number of brittle services.
    pub fn count(&self, now: BootInstant) -> usize {
        self.services.values().filter(|known| known.is_brittle(now)).count()
    }

    /// Forgets servers that have not been used for long.
    pub fn tick(&mut self, now: BootInstant) {
        self.servers.retain(|_, known| now.since(known.used_at) < SERVER_RETENTION);
    }
}

fn average(known: Option<Duration>, newest: Duration) -> Duration {
    match known {
        Some(known) => known.mul_f64(1.0 - OCCUPANCY_WEIGHT) + newest.mul_f64(OCCUPANCY_WEIGHT),
        None => newest,
    }
}
