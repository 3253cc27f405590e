//! Orders for adapters, on servers that hold their models.

use super::super::orders::{Action, Weights};
use super::{PlannedServer, Planner};

/// Requests a second that an adapter counts for, besides what is asked of it,
/// where no server would hold it: it has to stay reachable.
const REACHABLE: f64 = 0.02;
/// The same for one that requests wait for now.
const WAITED_FOR: f64 = 2.0;
/// Part by which an adapter must be worth more than the one whose place it takes.
const CLEARLY_MORE: f64 = 1.2;
/// Weight of a wish for an adapter that no server holds.
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
                    wishes.push((NOBODY_HOLDS + self.worth(&weights, 0), weights));
                } else if holders < coverage.copies.len() && asked > 0.0 {
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
        if !servers.iter().any(|server| server.reserved.contains(weights)) {
            self.make_room_for_adapter(&model, self.worth(weights, 0));
        }
    }

    /// Takes out the adapter that is worth least, if the one that needs its
    /// place is worth clearly more.
    fn make_room_for_adapter(&mut self, model: &Weights, worth: f64) {
        let servers = self.servers;
        let candidates =
            servers.iter().filter(|server| self.is_free(server) && server.serves(model));
        let victim = candidates
            .flat_map(|server| server.held.iter().map(move |held| (server, held)))
            .filter(|(_, held)| held.adapter.is_some())
            .map(|(server, held)| (self.worth_of_copy(held), server, held))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((victim_worth, server, held)) = victim
            && worth > victim_worth * CLEARLY_MORE
        {
            self.order_adapter(server, Action::Unload, held);
        }
    }

    /// What one of the copies of an adapter is worth.
    fn worth_of_copy(&self, weights: &Weights) -> f64 {
        let holders = self.servers.iter().filter(|server| server.held.contains(weights)).count();
        self.worth(weights, holders.saturating_sub(1))
    }

    /// What a copy of an adapter beside so many others is worth, in requests a
    /// second.
    fn worth(&self, weights: &Weights, others: usize) -> f64 {
        let waited_for = self.demand.waited_for.contains(weights);
        let only = match others {
            0 if waited_for => WAITED_FOR,
            0 => REACHABLE,
            _ => 0.0,
        };
        only + self.asked(weights) / (others + 1) as f64
    }

    /// Requests a second for an adapter.
    fn asked(&self, weights: &Weights) -> f64 {
        self.demand.adapters.get(weights).copied().unwrap_or(0.0)
    }
}

fn adapters_on(server: &PlannedServer) -> usize {
    server.reserved.iter().filter(|held| held.adapter.is_some()).count()
}
