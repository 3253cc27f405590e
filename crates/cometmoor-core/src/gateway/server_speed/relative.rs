//! Speeds of the servers of a service, from a comparison of their intervals.

use super::Speed;
use super::fit::fit_slowdowns;
use super::intervals::EventInterval;
use super::report::ShortKey;
use crate::gateway::signals::IncarnationHash;

/// Ratio of the largest slowdown to the smallest one of a service's servers below which all have
/// the mean speed: a full batch explains such a difference.
const DEAD_BAND: f64 = 1.5;

/// Observations of a server of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedServer {
    /// The server.
    pub server: IncarnationHash,
    /// Shortest interval by model.
    pub models: Vec<(ShortKey, EventInterval)>,
}

/// The speed of a server that is known from observations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelativeSpeed {
    /// The server.
    pub server: IncarnationHash,
    /// Its speed.
    pub speed: Speed,
    /// Number of models by which it was compared with other servers.
    pub models: usize,
}

/// Speeds of the servers of one service. Servers that cannot be compared with others are left out:
/// they have no observations, or only of models that were observed nowhere else. The speed is the
/// mean slowdown divided by the server's.
pub fn relative_speeds(servers: &[ObservedServer]) -> Vec<RelativeSpeed> {
    let fit = fit_slowdowns(servers);
    let compared = servers.iter().zip(&fit.slowdowns).zip(&fit.models);
    let slowdowns = compared.filter_map(|((observed, slowdown), models)| {
        Some((observed.server, (*slowdown)?, *models))
    });
    let slowdowns: Vec<(IncarnationHash, f64, usize)> = slowdowns.collect();
    let mean =
        slowdowns.iter().map(|(_, slowdown, _)| slowdown).sum::<f64>() / slowdowns.len() as f64;
    let is_within_dead_band = is_within_dead_band(&slowdowns);
    let speeds = slowdowns.into_iter().map(|(server, slowdown, models)| {
        let speed = if is_within_dead_band { Speed::MEAN } else { Speed::new(mean / slowdown) };
        RelativeSpeed { server, speed, models }
    });
    speeds.collect()
}

fn is_within_dead_band(slowdowns: &[(IncarnationHash, f64, usize)]) -> bool {
    let values = || slowdowns.iter().map(|(_, slowdown, _)| *slowdown);
    let smallest = values().fold(f64::INFINITY, f64::min);
    let largest = values().fold(0.0, f64::max);
    largest < smallest * DEAD_BAND
}
