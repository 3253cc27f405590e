//! Moves of models between servers.

use super::super::configuration::ModelProfile;
use super::super::orders::Weights;
use super::coverage::Supply;
use super::{PlannedServer, Planner, UNLOAD_SECONDS};

/// Requests that a move has to save to be worth its price.
const MOVE_PRICE: f64 = 4.0;
/// Share of a model's requests that may come late without another copy.
const COVERED: f64 = 0.02;
/// Weight of the model for which room was made, against others that would like
/// to have it.
const PROMISE_WEIGHT: f64 = 2.0;

/// A load, with the model that makes way for it.
struct Move {
    server: usize,
    model: usize,
    victim: Option<usize>,
    ready_in: f64,
    saved: f64,
}

/// Adds the moves that save requests, the best first.
pub(super) fn bring_models(planner: &mut Planner<'_>) {
    for _ in 0..planner.servers.len() {
        let Some(best) = planner.best_move() else { return };
        planner.coverage.move_copy(best.server, best.model, best.ready_in, best.victim);
        let (servers, profile) = (planner.servers, planner.profile);
        let server = &servers[best.server];
        let model = &profile.models[best.model];
        match best.victim {
            None => planner.load_model(server, model),
            Some(victim) => {
                let victim = &profile.models[victim];
                planner.unload_model(server, &victim.name, &model.name);
            }
        }
    }
}

impl Planner<'_> {
    fn best_move(&self) -> Option<Move> {
        let needy = (0..self.profile.models.len()).filter(|model| self.needs_copy(*model));
        let moves = needy.flat_map(|model| {
            let servers = 0..self.servers.len();
            servers.filter_map(move |server| self.move_to(server, model))
        });
        moves
            .filter(|best| best.saved > 0.0)
            .max_by(|left, right| left.saved.total_cmp(&right.saved))
    }

    fn needs_copy(&self, model: usize) -> bool {
        let coverage = &self.coverage.models[model];
        let short = self.demand.is_known && coverage.missed_in_the_end() > COVERED;
        coverage.copies.is_empty() || short
    }

    /// The best way to bring a model to a server, if it can come there now.
    fn move_to(&self, index: usize, model: usize) -> Option<Move> {
        let server = &self.servers[index];
        let profile = &self.profile.models[model];
        let starved = self.loads_left == 0 && server.loads_from_store(&profile.name);
        let comes = server.reserved.contains(&Weights::model(&profile.name));
        if !self.is_free(server) || comes || starved {
            return None;
        }
        if self.has_room(server, profile) {
            let promised = server.promised.as_deref() == Some(&profile.name);
            let weight = if promised { PROMISE_WEIGHT } else { 1.0 };
            let saved = self.saved(index, model, None) * weight - MOVE_PRICE;
            return Some(Move { saved, ..self.new_move(index, model, None) });
        }
        let victims = (0..self.profile.models.len()).filter(|victim| self.may_go(index, *victim));
        let moves = victims.map(|victim| {
            let saved = self.saved(index, model, Some(victim));
            let saved = saved - self.lost(index, victim) - MOVE_PRICE;
            Move { saved, ..self.new_move(index, model, Some(victim)) }
        });
        moves.max_by(|left, right| left.saved.total_cmp(&right.saved))
    }

    fn new_move(&self, server: usize, model: usize, victim: Option<usize>) -> Move {
        let ready_in = self.ready_in(server, model, victim);
        Move { server, model, victim, ready_in, saved: 0.0 }
    }

    /// Seconds until a copy would be there.
    fn ready_in(&self, server: usize, model: usize, victim: Option<usize>) -> f64 {
        let load = self.servers[server].load_time(&self.profile.models[model]);
        let unload = if victim.is_some() { UNLOAD_SECONDS } else { 0.0 };
        unload + load.as_secs_f64()
    }

    /// Requests that a copy saves while the demand lasts.
    fn saved(&self, server: usize, model: usize, victim: Option<usize>) -> f64 {
        let coverage = &self.coverage.models[model];
        let supply = Supply {
            ready_in: self.ready_in(server, model, victim),
            capacity: self.coverage.capacity(server, model, victim),
        };
        coverage.missed() - coverage.missed_with(supply)
    }

    /// Requests that are missed while the demand lasts when a copy goes.
    fn lost(&self, server: usize, victim: usize) -> f64 {
        let coverage = &self.coverage.models[victim];
        let capacity = self.coverage.capacity(server, victim, None);
        coverage.missed_without(capacity) - coverage.missed()
    }

    /// Whether a copy may make way: not the last one, counting only those that
    /// serve, since a copy that is on its way may take long, or fail.
    fn may_go(&self, index: usize, victim: usize) -> bool {
        let server = &self.servers[index];
        let name = &self.profile.models[victim].name;
        let stays = server.fresh.contains(name);
        self.coverage.is_on(index, victim)
            && server.serves(&Weights::model(name))
            && !stays
            && self.coverage.models[victim].serving > 1
    }

    /// Whether a model fits on a server beside all that it may come to hold.
    fn has_room(&self, server: &PlannedServer, model: &ModelProfile) -> bool {
        let held: f64 = server
            .reserved
            .iter()
            .filter(|weights| weights.adapter.is_none())
            .filter_map(|weights| self.profile.model(&weights.model))
            .map(|model| model.weights_megabytes)
            .sum();
        let needed = model.weights_megabytes + self.profile.adapter_reserve();
        needed <= self.profile.weights_megabytes - held
    }
}
