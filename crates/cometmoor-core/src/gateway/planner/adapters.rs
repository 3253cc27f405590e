//! Orders for adapters, on servers that hold their models.

use super::super::orders::{Action, Weights};
use super::{PlannedServer, Planner};

/// Requests a second by which one adapter must be asked for more than another
/// one to take its place.
const CLEARLY_MORE: f64 = 0.01;
/// Weight of an adapter that no server holds.
const NOBODY_HOLDS: f64 = 1000.0;

/// Adds orders for adapters: first for those that no server holds, then for
/// those that are asked for.
pub(super) fn bring_adapters(planner: &mut Planner<'_>) {
    let mut wishes = planner.adapter_wishes();
    wishes.sort_by(|left, right| right.0.total_cmp(&left.0));
    for (_, weights) in wishes {
        planner.bring_adapter(&weights);
    }
}

impl Planner<'_> {
    /// Adapters that should be on one more server, with the weight of the wish.
    fn adapter_wishes(&self) -> Vec<(f64, Weights)> {
        let mut wishes = Vec::new();
        for (model, coverage) in self.profile.models.iter().zip(&self.coverage.models) {
            for number in 1..=model.adapters {
                let weights = Weights::adapter(&model.name, &format!("a{number}"));
                let holders =
                    self.servers.iter().filter(|server| server.reserved.contains(&weights)).count();
                let asked = self.asked(&weights);
                if holders == 0 {
                    wishes.push((NOBODY_HOLDS + asked, weights));
                } else if holders < coverage.copies && asked > 0.0 {
                    wishes.push((asked / holders as f64, weights));
                }
            }
        }
        wishes
    }

    fn bring_adapter(&mut self, weights: &Weights) {
        let model = Weights::model(&weights.model);
        let slots = self.profile.adapter_slots as usize;
        let servers = self.servers;
        let with_room = servers
            .iter()
            .filter(|server| server.serves(&model) && !server.reserved.contains(weights))
            .filter(|server| adapters_on(server) < slots)
            .min_by_key(|server| (!self.is_free(server), adapters_on(server)));
        if let Some(server) = with_room {
            if self.is_free(server) {
                self.order_adapter(server, Action::Load, weights);
            }
            return;
        }
        if self.servers.iter().any(|server| server.reserved.contains(weights)) {
            return;
        }
        self.make_room_for_adapter(&model, self.asked(weights));
    }

    /// Takes out the least wanted adapter that another server holds too, or
    /// that is asked for less than the one that needs its place.
    fn make_room_for_adapter(&mut self, model: &Weights, asked: f64) {
        let servers = self.servers;
        let candidates =
            servers.iter().filter(|server| self.is_free(server) && server.serves(model));
        let victim = candidates
            .flat_map(|server| server.held.iter().map(move |held| (server, held)))
            .filter(|(_, held)| held.adapter.is_some() && self.is_spare_adapter(held, asked))
            .min_by(|left, right| self.asked(left.1).total_cmp(&self.asked(right.1)));
        if let Some((server, held)) = victim {
            self.order_adapter(server, Action::Unload, held);
        }
    }

    fn is_spare_adapter(&self, weights: &Weights, asked: f64) -> bool {
        let holders = self.servers.iter().filter(|server| server.held.contains(weights)).count();
        holders > 1 || self.asked(weights) + CLEARLY_MORE < asked
    }

    /// Requests a second for an adapter.
    fn asked(&self, weights: &Weights) -> f64 {
        self.demand.adapters.get(weights).copied().unwrap_or(0.0)
    }
}

fn adapters_on(server: &PlannedServer) -> usize {
    server.reserved.iter().filter(|held| held.adapter.is_some()).count()
}
