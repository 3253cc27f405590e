//! Servers that are slow or fast beyond the dead band, for log lines.

use std::collections::HashMap;

use super::Speed;
use super::relative::RelativeSpeed;
use crate::gateway::signals::IncarnationHash;

/// Speed from which on a server is fast; it is slow from the reciprocal on. The ratio of the two is
/// the dead band of 1.5:1.
const FAST_FROM: f64 = 1.225;
/// Speed below which a fast server counts as usual again; for a slow one it is above the
/// reciprocal. The distance keeps a server at the limit from changing its pace all the time.
const USUAL_BELOW: f64 = 1.15;

/// Class of a server by its speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pace {
    /// It is slow.
    Slow,
    /// It is neither slow nor fast, or its speed is not known.
    #[default]
    Usual,
    /// It is fast.
    Fast,
}

impl Pace {
    /// The pace of a server that had this pace before.
    fn next(self, speed: Speed) -> Pace {
        let relative = speed.relative();
        let limit = |pace| if self == pace { USUAL_BELOW } else { FAST_FROM };
        if relative >= limit(Pace::Fast) {
            Pace::Fast
        } else if relative <= 1.0 / limit(Pace::Slow) {
            Pace::Slow
        } else {
            Pace::Usual
        }
    }
}

/// A server whose pace has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceChange {
    /// The server.
    pub server: IncarnationHash,
    /// Its pace from now on.
    pub pace: Pace,
    /// Its speed.
    pub speed: Speed,
}

/// Remembers the pace of each server.
#[derive(Clone, Debug, Default)]
pub struct PaceTracker {
    /// Servers that are slow or fast.
    known: HashMap<IncarnationHash, Pace>,
}

impl PaceTracker {
    /// Returns at most `limit` servers whose pace has changed; further ones are returned by the next
    /// calls. `speeds` are those of all observed servers; any other one has the usual pace.
    pub fn update(&mut self, speeds: &[RelativeSpeed], limit: usize) -> Vec<PaceChange> {
        let observed: HashMap<IncarnationHash, Speed> =
            speeds.iter().map(|known| (known.server, known.speed)).collect();
        let unobserved = self.known.keys().filter(|server| !observed.contains_key(*server));
        let unobserved: Vec<_> = unobserved.map(|server| (*server, Speed::MEAN)).collect();
        let mut changes: Vec<PaceChange> = Vec::new();
        for (server, speed) in observed.into_iter().chain(unobserved) {
            let before = self.known.get(&server).copied().unwrap_or_default();
            let pace = before.next(speed);
            if pace != before && changes.len() < limit {
                self.set(server, pace);
                changes.push(PaceChange { server, pace, speed });
            }
        }
        changes
    }

    fn set(&mut self, server: IncarnationHash, pace: Pace) {
        match pace {
            Pace::Usual => self.known.remove(&server),
            Pace::Slow | Pace::Fast => self.known.insert(server, pace),
        };
    }
}
