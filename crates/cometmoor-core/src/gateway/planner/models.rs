//! Moves of models between servers.

use super::Planner;
use super::UNLOAD_SECONDS;
use super::coverage::{ModelCoverage, Supply};
use super::inventory::{Copy, ModelIndex, ServerIndex};

/// Requests that a move has to save to be worth its price.
const MOVE_PRICE: f64 = 4.0;
/// Share of a model's requests that may come late without another copy.
const COVERED: f64 = 0.02;
/// Weight of the model for which room was made, against others that would like
/// to have it.
const PROMISE_WEIGHT: f64 = 2.0;

/// A load, with the model that makes way for it.
#[derive(Clone, Copy)]
struct Move {
    server: ServerIndex,
    model: ModelIndex,
    victim: Option<ModelIndex>,
    ready_in: f64,
    /// Requests that it saves while the demand lasts, less its price.
    saved: f64,
}

/// Requests that a copy of a model answers at most, by the seconds until it is there:
/// those with a whole server. Most servers are passed over by it.
#[derive(Default)]
struct Answerable {
    known: Vec<(f64, f64)>,
}

impl Answerable {
    fn at_most(&mut self, coverage: &ModelCoverage, ready_in: f64) -> f64 {
        let known = self.known.iter().find(|(seconds, _)| *seconds == ready_in);
        if let Some((_, answered)) = known {
            return *answered;
        }
        let whole = Supply { ready_in, capacity: 1.0 };
        let answered = coverage.missed - coverage.missed_with(whole);
        self.known.push((ready_in, answered));
        answered
    }
}

/// A move that is considered. One that another move has made out of date stands for its
/// model until it is the best, with what it saved before: a later search finds nothing
/// better, so that most of them need not be searched anew for each move.
#[derive(Clone, Copy)]
struct Considered {
    known: Move,
    is_outdated: bool,
}

/// Adds the moves that save requests, the best first.
pub(super) fn bring_models(planner: &mut Planner<'_>) {
    let needy = (0..planner.profile.models.len()).filter(|model| planner.needs_copy(*model));
    let fresh = |known| Considered { known, is_outdated: false };
    let mut moves: Vec<Considered> =
        needy.filter_map(|model| planner.best_move(model)).map(fresh).collect();
    while let Some(place) = best_place(&moves) {
        let Considered { known: chosen, is_outdated } = moves[place];
        if is_outdated {
            let model = Some(chosen.model).filter(|model| planner.needs_copy(*model));
            match model.and_then(|model| planner.best_move(model)) {
                Some(known) => moves[place] = fresh(known),
                None => drop(moves.swap_remove(place)),
            }
            continue;
        }
        planner.make_move(&chosen);
        for considered in &mut moves {
            considered.is_outdated |= planner.is_outdated_by(&considered.known, &chosen);
        }
    }
}

/// Place of the move that saves most.
fn best_place(moves: &[Considered]) -> Option<usize> {
    let saved = |place: &usize| moves[*place].known.saved;
    (0..moves.len()).max_by(|left, right| saved(left).total_cmp(&saved(right)))
}

impl Planner<'_> {
    /// Whether a move cannot be made, or saves something else, once another is made.
    fn is_outdated_by(&self, known: &Move, chosen: &Move) -> bool {
        known.server == chosen.server
            || known.model == chosen.model
            || (known.victim.is_some() && known.victim == chosen.victim)
            || self.is_starved(known.server, known.model)
    }

    fn make_move(&mut self, chosen: &Move) {
        let Move { server, model, victim, ready_in, .. } = *chosen;
        self.coverage.move_copy(server, Copy { model, ready_in }, victim);
        match victim {
            None => self.load_model(server, model),
            Some(victim) => self.unload_model(server, victim, model),
        }
    }

    fn needs_copy(&self, model: ModelIndex) -> bool {
        let coverage = &self.coverage.models[model];
        let short = self.demand.has_enough_history && coverage.missed_in_the_end() > COVERED;
        coverage.copies == 0 || short
    }

    /// The move that saves most by another copy of a model, if one is worth it.
    fn best_move(&self, model: ModelIndex) -> Option<Move> {
        let mut best: Option<Move> = None;
        let mut answerable = Answerable::default();
        for server in 0..self.stocks.len() {
            let least = best.map_or(0.0, |best| best.saved);
            best = self.better_move(server, model, least, &mut answerable).or(best);
        }
        best
    }

    /// Whether only the weight store could give a model to a server, and it has
    /// given all that it may for now.
    fn is_starved(&self, server: ServerIndex, model: ModelIndex) -> bool {
        self.loads_left == 0 && self.stocks[server].loads_from_store(model)
    }

    /// The best way to bring a model to a server, if it can come there now and
    /// saves more than is known of another one.
    fn better_move(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        least: f64,
        answerable: &mut Answerable,
    ) -> Option<Move> {
        let stock = &self.stocks[server];
        let comes = stock.reserved.contains(&model);
        if !stock.is_free || comes || self.is_starved(server, model) {
            return None;
        }
        if self.has_room(server, model) {
            let weight = if stock.promised == Some(model) { PROMISE_WEIGHT } else { 1.0 };
            let chosen = self.new_move(server, model, None, weight, 0.0);
            return (chosen.saved > least).then_some(chosen);
        }
        let ready_in = stock.load_seconds(self.profile, model) + UNLOAD_SECONDS;
        let most = answerable.at_most(&self.coverage.models[model], ready_in);
        let mut best = None;
        let mut least = least;
        if most - MOVE_PRICE <= least {
            return None;
        }
        for victim in stock.serving.iter().filter(|victim| self.may_go(server, **victim)) {
            let lost = self.coverage.lost(server, *victim);
            if most - lost - MOVE_PRICE <= least {
                continue;
            }
            let chosen = self.new_move(server, model, Some(*victim), 1.0, lost);
            if chosen.saved > least {
                least = chosen.saved;
                best = Some(chosen);
            }
        }
        best
    }

    fn new_move(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        victim: Option<ModelIndex>,
        weight: f64,
        lost: f64,
    ) -> Move {
        let load = self.stocks[server].load_seconds(self.profile, model);
        let ready_in = load + if victim.is_some() { UNLOAD_SECONDS } else { 0.0 };
        let capacity = self.coverage.capacity(server, model, victim);
        let coverage = &self.coverage.models[model];
        let answered = coverage.missed - coverage.missed_with(Supply { ready_in, capacity });
        let saved = answered * weight - lost - MOVE_PRICE;
        Move { server, model, victim, ready_in, saved }
    }

    /// Whether a copy that serves may make way: not the last one, counting only
    /// those that serve, since a copy that is on its way may take long, or fail.
    fn may_go(&self, server: ServerIndex, victim: ModelIndex) -> bool {
        let stays = self.stocks[server].fresh.contains(&victim);
        !stays && self.coverage.models[victim].serving > 1
    }

    /// Whether a model fits on a server beside all that it may come to hold.
    fn has_room(&self, server: ServerIndex, model: ModelIndex) -> bool {
        let needed = self.profile.models[model].weights_megabytes + self.adapter_reserve;
        needed <= self.stocks[server].free_megabytes
    }
}
