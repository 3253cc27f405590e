//! Fits a slowdown for each server to intervals that also depend on the model.
//!
//! A model that only slow servers hold has no short interval anywhere. The servers that hold it are
//! compared with fast ones by way of other models that they hold.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::relative::ObservedServer;
use super::report::ShortKey;

/// Number of alternations between the servers and the models.
const ROUNDS: usize = 30;
/// Logarithm of the ratio of an interval to the fitted one beyond which it is left out of the final
/// fit: the server was busy during all observed streams of the model.
const MAX_EXCESS: f64 = 0.3;

/// An interval of a model at a server.
#[derive(Clone, Copy, Debug)]
struct Observation {
    server: usize,
    model: usize,
    /// Natural logarithm of the interval in a fixed unit.
    log_interval: f64,
}

/// Slowdowns of servers relative to one another, and the number of models by which each was
/// compared.
pub(super) struct Fit {
    /// Slowdown by index of the server; `None` if it shares no model with another server.
    pub(super) slowdowns: Vec<Option<f64>>,
    /// Number of models by index of the server.
    pub(super) models: Vec<usize>,
}

/// Fits interval = slowdown of the server x time of the model by least squares of the logarithms.
pub(super) fn fit_slowdowns(servers: &[ObservedServer]) -> Fit {
    let (observations, model_count) = comparable_observations(servers);
    let mut models = vec![0; servers.len()];
    observations.iter().for_each(|observation| models[observation.server] += 1);
    let first = fit_logarithms(&observations, servers.len(), model_count);
    let is_regular = |observation: &Observation| {
        let fitted = first.servers[observation.server] + first.models[observation.model];
        observation.log_interval - fitted <= MAX_EXCESS
    };
    let regular: Vec<Observation> = observations.iter().copied().filter(is_regular).collect();
    let fitted = fit_logarithms(&regular, servers.len(), model_count);
    let slowdown = |(server, log): (usize, &f64)| (models[server] > 0).then(|| log.exp());
    Fit { slowdowns: fitted.servers.iter().enumerate().map(slowdown).collect(), models }
}

/// The observations of models that were observed at several servers, and the number of models.
fn comparable_observations(servers: &[ObservedServer]) -> (Vec<Observation>, usize) {
    let mut holders: HashMap<ShortKey, usize> = HashMap::new();
    for (model, _) in servers.iter().flat_map(|server| &server.models) {
        *holders.entry(*model).or_default() += 1;
    }
    let mut indices: HashMap<ShortKey, usize> = HashMap::new();
    let mut observations = Vec::new();
    for (server, observed) in servers.iter().enumerate() {
        for (model, interval) in observed.models.iter().filter(|(model, _)| holders[model] > 1) {
            let next = indices.len();
            let model = match indices.entry(*model) {
                Entry::Occupied(known) => *known.get(),
                Entry::Vacant(vacant) => *vacant.insert(next),
            };
            let log_interval = interval.logarithm();
            observations.push(Observation { server, model, log_interval });
        }
    }
    (observations, indices.len())
}

/// Logarithms of the slowdowns of the servers and of the times of the models.
struct Logarithms {
    servers: Vec<f64>,
    models: Vec<f64>,
}

fn fit_logarithms(observations: &[Observation], servers: usize, models: usize) -> Logarithms {
    let mut fitted = Logarithms { servers: vec![0.0; servers], models: vec![0.0; models] };
    for _ in 0..ROUNDS {
        let left = |known: &Observation| known.log_interval - fitted.servers[known.server];
        fitted.models = means(observations, models, |known| known.model, left);
        let left = |known: &Observation| known.log_interval - fitted.models[known.model];
        fitted.servers = means(observations, servers, |known| known.server, left);
    }
    fitted
}

/// Mean of a value over the observations with each index; 0 without any.
fn means(
    observations: &[Observation],
    count: usize,
    index: impl Fn(&Observation) -> usize,
    value: impl Fn(&Observation) -> f64,
) -> Vec<f64> {
    let mut sums = vec![(0.0, 0_u32); count];
    for observation in observations {
        let (sum, number) = &mut sums[index(observation)];
        *sum += value(observation);
        *number += 1;
    }
    sums.into_iter().map(|(sum, number)| sum / f64::from(number.max(1))).collect()
}
