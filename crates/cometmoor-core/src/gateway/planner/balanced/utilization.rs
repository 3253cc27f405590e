//! Utilization of the servers and pressure of the models.
//!
//! Requests are spread over the holders of a model by speed, so that a model adds the same
//! utilization to each of its holders: its load / the sum of their speeds.

use super::super::inventory::{ModelIndex, ServerIndex};

/// Mean utilization of the fleet to which the loads are scaled down if they exceed it. Retries and
/// slow streams inflate the offered loads beyond the fleet, and then only their ratio tells which
/// models need replicas. It is below the pressure from which a model lacks capacity, so that models of
/// average pressure need nothing and noise in the demand moves little.
const MAX_MEAN_UTILIZATION: f64 = 0.45;

/// Load and holders of a model.
#[derive(Clone, Debug, Default)]
struct ModelLoad {
    /// Scaled load, in servers of the mean speed.
    load: f64,
    holders: Vec<ServerIndex>,
    /// Sum of the speeds of the holders.
    speed: f64,
    /// Sum of speed x utilization of the holders.
    holder_load: f64,
}

impl ModelLoad {
    /// Utilization that the model adds to each holder if their speeds add up to `speed`.
    fn share(&self, speed: f64) -> f64 {
        if speed > 0.0 { self.load / speed } else { 0.0 }
    }
}

/// Contents, speed and utilization of a server.
#[derive(Clone, Debug, Default)]
struct ServerLoad {
    speed: f64,
    utilization: f64,
    models: Vec<ModelIndex>,
}

/// Utilization of each server and pressure of each model. A change updates only the servers that
/// hold the changed model, and the models on them.
#[derive(Clone, Debug)]
pub(super) struct FleetUtilization {
    /// Factor by which the offered loads are scaled, at most 1.
    scale: f64,
    models: Vec<ModelLoad>,
    servers: Vec<ServerLoad>,
}

impl FleetUtilization {
    /// Creates the utilization of servers without models. Speeds are by server, offered loads by
    /// model, in servers of the mean speed.
    pub(super) fn new(speeds: &[f64], offered_loads: &[f64]) -> FleetUtilization {
        let capacity: f64 = speeds.iter().sum();
        let offered: f64 = offered_loads.iter().sum();
        let limit = capacity * MAX_MEAN_UTILIZATION;
        let scale = if offered > limit { limit / offered } else { 1.0 };
        let model = |load: &f64| ModelLoad { load: load * scale, ..ModelLoad::default() };
        let server = |speed: &f64| ServerLoad { speed: *speed, ..ServerLoad::default() };
        FleetUtilization {
            scale,
            models: offered_loads.iter().map(model).collect(),
            servers: speeds.iter().map(server).collect(),
        }
    }

    /// Factor by which the offered loads are scaled, at most 1.
    pub(super) fn scale(&self) -> f64 {
        self.scale
    }

    /// Speed of a server.
    pub(super) fn speed(&self, server: ServerIndex) -> f64 {
        self.servers[server].speed
    }

    /// Utilization of a server.
    pub(super) fn utilization(&self, server: ServerIndex) -> f64 {
        self.servers[server].utilization
    }

    /// Servers that hold a model or are loading it.
    pub(super) fn holders(&self, model: ModelIndex) -> &[ServerIndex] {
        &self.models[model].holders
    }

    /// Models that a server holds or is loading.
    pub(super) fn models_on(&self, server: ServerIndex) -> &[ModelIndex] {
        &self.servers[server].models
    }

    /// Mean utilization of the holders of a model, weighted by the share of its requests that each
    /// gets; infinite without a holder.
    pub(super) fn pressure(&self, model: ModelIndex) -> f64 {
        let ModelLoad { speed, holder_load, .. } = self.models[model];
        if speed > 0.0 { holder_load / speed } else { f64::INFINITY }
    }

    /// Pressure of a model without its replica on a server.
    pub(super) fn pressure_without(&self, model: ModelIndex, server: ServerIndex) -> f64 {
        let known = &self.models[model];
        if known.holders.len() <= 1 {
            return f64::INFINITY;
        }
        let ServerLoad { speed, utilization, .. } = self.servers[server];
        let others = known.speed - speed;
        let other_load = known.holder_load - speed * utilization;
        other_load / others + known.share(others) - known.share(known.speed)
    }

    /// Utilization that a model adds to each of its holders.
    pub(super) fn share(&self, model: ModelIndex) -> f64 {
        let known = &self.models[model];
        known.share(known.speed)
    }

    /// Utilization that a model adds to each of its holders with a further one.
    pub(super) fn share_with(&self, model: ModelIndex, server: ServerIndex) -> f64 {
        let known = &self.models[model];
        known.share(known.speed + self.servers[server].speed)
    }

    /// Adds a replica.
    pub(super) fn add(&mut self, model: ModelIndex, server: ServerIndex) {
        if self.servers[server].models.contains(&model) {
            return;
        }
        let share = self.share_with(model, server);
        self.change_share(model, share - self.share(model));
        self.change_utilization(server, share);
        let ServerLoad { speed, utilization, .. } = self.servers[server];
        self.servers[server].models.push(model);
        let known = &mut self.models[model];
        known.holders.push(server);
        known.speed += speed;
        known.holder_load += speed * utilization;
    }

    /// Removes a replica.
    pub(super) fn remove(&mut self, model: ModelIndex, server: ServerIndex) {
        let old_share = self.share(model);
        let ServerLoad { speed, utilization, .. } = self.servers[server];
        self.servers[server].models.retain(|held| *held != model);
        self.change_utilization(server, -old_share);
        let known = &mut self.models[model];
        known.holders.retain(|holder| *holder != server);
        known.holder_load -= speed * utilization;
        known.speed = if known.holders.is_empty() { 0.0 } else { known.speed - speed };
        self.change_share(model, self.share(model) - old_share);
    }

    /// Changes the utilization that a model adds to each of its holders.
    fn change_share(&mut self, model: ModelIndex, change: f64) {
        for index in 0..self.models[model].holders.len() {
            let server = self.models[model].holders[index];
            self.change_utilization(server, change);
        }
    }

    fn change_utilization(&mut self, server: ServerIndex, change: f64) {
        let ServerLoad { speed, utilization, models } = &mut self.servers[server];
        *utilization += change;
        for model in models.iter() {
            self.models[*model].holder_load += *speed * change;
        }
    }
}
