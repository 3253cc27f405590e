//! Crashes of servers, and the parts of prompts that they point to.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use super::{IncarnationKey, PartId, RECORD_RETENTION, REPORT_REPEATS};
use crate::time::Timestamp;

/// Number of incidents after which a part is quarantined that is not known to have been answered.
/// With two, a part whose requests are retried once would be quarantined after two unrelated
/// crashes.
pub const PART_CRASH_LIMIT: usize = 3;
/// The same for a part that was answered before, or that was present at the same incidents as another
/// one. It is the number of crashes after which operators count further sends.
pub const DOUBTFUL_PART_CRASH_LIMIT: usize = 5;
/// The same where most incidents since the part's first one happened without it. If a tenth of all
/// requests is lost to unrelated crashes, one sound request in a million is lost to so many in a
/// row.
pub const UNRELATED_PART_CRASH_LIMIT: usize = 6;
/// Crashes within this time are one incident: a rack or a zone may lose power.
const INCIDENT_SPAN: Duration = Duration::from_millis(100);
/// Maximum number of crashes kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of suspects of a crash.
pub(super) const MAX_SUSPECTS_PER_CRASH: usize = 64;

/// Number of incidents after which a part may be quarantined.
pub(super) fn crash_limit(was_answered: bool) -> usize {
    if was_answered { DOUBTFUL_PART_CRASH_LIMIT } else { PART_CRASH_LIMIT }
}

/// A server's crash, and the parts that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub(super) server: IncarnationKey,
    /// When the first connection to the server was lost.
    pub(super) at: Timestamp,
    /// Without duplicates.
    pub(super) suspects: Vec<PartId>,
    /// Those of them that this node had in flight itself.
    own_suspects: Vec<PartId>,
    /// Number of messages that are still to carry the crash.
    pub(super) reports_left: u32,
}

impl Crash {
    fn new(server: IncarnationKey, at: Timestamp) -> Crash {
        let (suspects, own_suspects) = (Vec::new(), Vec::new());
        Crash { server, at, suspects, own_suspects, reports_left: REPORT_REPEATS }
    }
}

/// Incidents at which a part was present.
#[derive(Clone, Copy, Debug)]
struct Tally {
    first: usize,
    last: usize,
    count: usize,
}

/// The known crashes, in order of time.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    crashes: Vec<Crash>,
    /// Number of crashes by suspect.
    counts: HashMap<PartId, usize>,
    /// Number of suspects of [`PART_CRASH_LIMIT`] crashes or more.
    frequent_suspects: usize,
}

impl Evidence {
    /// The crashes, in order of time.
    pub(super) fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// The crashes, for reports to other nodes.
    pub(super) fn crashes_mut(&mut self) -> impl Iterator<Item = &mut Crash> {
        self.crashes.iter_mut()
    }

    /// The crashes at which a part was in flight.
    pub(super) fn crashes_with(&self, part: PartId) -> impl Iterator<Item = &Crash> {
        let is_suspect = self.counts.contains_key(&part);
        self.crashes.iter().filter(move |crash| is_suspect && crash.suspects.contains(&part))
    }

    /// Whether any part was in flight at enough crashes to be quarantined.
    pub(super) fn has_frequent_suspects(&self) -> bool {
        self.frequent_suspects > 0
    }

    /// The suspects of any crash.
    pub(super) fn suspects(&self) -> impl Iterator<Item = &PartId> {
        self.counts.keys()
    }

    /// Whether a crash is known with all of these suspects.
    pub(super) fn contains(&self, server: IncarnationKey, suspects: &[PartId]) -> bool {
        let known = self.crashes.iter().find(|crash| crash.server == server);
        known.is_some_and(|crash| suspects.iter().all(|part| crash.suspects.contains(part)))
    }

    /// Whether this node had a part in flight at the last crash with it.
    pub(super) fn has_observed_last(&self, part: PartId) -> bool {
        let last = self.crashes_with(part).last();
        last.is_some_and(|crash| crash.own_suspects.contains(&part))
    }

    /// Adds a crash that this node has observed with these suspects.
    pub(super) fn add_own(
        &mut self,
        server: IncarnationKey,
        suspects: &[PartId],
        at: Timestamp,
        now: Timestamp,
    ) {
        self.add(server, suspects, at, now);
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.server == server) {
            for part in suspects {
                if crash.suspects.contains(part) && !crash.own_suspects.contains(part) {
                    crash.own_suspects.push(*part);
                }
            }
        }
    }

    /// Adds a crash, or suspects of a known one. At the limit, those that are suspects of the most
    /// crashes are added.
    pub(super) fn add(
        &mut self,
        server: IncarnationKey,
        suspects: &[PartId],
        at: Timestamp,
        now: Timestamp,
    ) {
        while self.crashes.first().is_some_and(|oldest| now.since(oldest.at) >= RECORD_RETENTION) {
            self.remove(0);
        }
        let known = self.crashes.iter().position(|crash| crash.server == server);
        let mut crash = match known {
            Some(index) => self.crashes.remove(index),
            None => Crash::new(server, at),
        };
        crash.at = crash.at.min(at);
        let mut suspects = suspects.to_vec();
        suspects.sort_by_key(|part| Reverse(self.counts.get(part).copied().unwrap_or_default()));
        for part in &suspects {
            if crash.suspects.len() < MAX_SUSPECTS_PER_CRASH && !crash.suspects.contains(part) {
                crash.suspects.push(*part);
                crash.reports_left = REPORT_REPEATS;
                self.increment(*part);
            }
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.remove(0);
        }
    }

    fn remove(&mut self, index: usize) {
        let crash = self.crashes.remove(index);
        crash.suspects.iter().for_each(|part| self.decrement(*part));
    }

    fn increment(&mut self, part: PartId) {
        let count = self.counts.entry(part).or_default();
        *count += 1;
        self.frequent_suspects += usize::from(*count == PART_CRASH_LIMIT);
    }

    fn decrement(&mut self, part: PartId) {
        if let Some(count) = self.counts.get_mut(&part) {
            self.frequent_suspects -= usize::from(*count == PART_CRASH_LIMIT);
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&part);
            }
        }
    }

    /// Clears a part of all crashes up to `until`. Returns whether it was a suspect of any.
    pub(super) fn clear(&mut self, part: PartId, until: Timestamp) -> bool {
        if !self.counts.contains_key(&part) {
            return false;
        }
        let mut cleared = 0;
        for crash in self.crashes.iter_mut().take_while(|crash| crash.at <= until) {
            if let Some(index) = crash.suspects.iter().position(|suspect| *suspect == part) {
                crash.suspects.swap_remove(index);
                crash.own_suspects.retain(|suspect| *suspect != part);
                cleared += 1;
            }
        }
        (0..cleared).for_each(|_| self.decrement(part));
        cleared > 0
    }

    /// The crashes that no known part explains, in order of time.
    pub(super) fn unexplained(
        &self,
        is_known: impl Fn(PartId) -> bool,
    ) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| !crash.suspects.iter().any(|part| is_known(*part)))
    }
}

/// The parts that unexplained crashes, in order of time, point to: the one that was present at the
/// most incidents, if these are enough.
pub(super) fn culprits<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    was_answered: impl Fn(PartId) -> bool,
) -> Vec<PartId> {
    let (tallies, incidents) = tally(crashes);
    let is_culprit = |part: PartId, tally: Tally| {
        let is_in_most = 2 * tally.count >= incidents - tally.first;
        let is_enough = tally.count >= crash_limit(was_answered(part));
        is_enough && (is_in_most || tally.count >= UNRELATED_PART_CRASH_LIMIT)
    };
    let suspects = tallies.iter().filter(|(part, tally)| is_culprit(**part, **tally));
    let most = suspects.clone().map(|(_, tally)| tally.count).max().unwrap_or_default();
    let mut culprits: Vec<PartId> =
        suspects.filter(|(_, tally)| tally.count == most).map(|(part, _)| *part).collect();
    culprits.sort_unstable();
    // An answer or the next crash may show which of several equal suspects is the cause.
    let may_differ = culprits.len() > 1 && most < DOUBTFUL_PART_CRASH_LIMIT;
    if may_differ { Vec::new() } else { culprits }
}

/// Counts the incidents by suspect, and all of them.
fn tally<'a>(crashes: impl Iterator<Item = &'a Crash>) -> (HashMap<PartId, Tally>, usize) {
    let mut tallies: HashMap<PartId, Tally> = HashMap::new();
    let mut incidents = 0;
    let mut begun: Option<Timestamp> = None;
    for crash in crashes {
        if begun.is_none_or(|begun| crash.at.since(begun) >= INCIDENT_SPAN) {
            begun = Some(crash.at);
            incidents += 1;
        }
        let incident = incidents - 1;
        for part in &crash.suspects {
            let tally =
                tallies.entry(*part).or_insert(Tally { first: incident, last: incident, count: 1 });
            if tally.last != incident {
                tally.last = incident;
                tally.count += 1;
            }
        }
    }
    (tallies, incidents)
}
