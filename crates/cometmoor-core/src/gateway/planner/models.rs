//! Moves of models between servers.

use super::Planner;
use super::UNLOAD_SECONDS;
use super::coverage::{ModelCoverage, Supply};
use super::inventory::{Copy, ModelIndex, ServerIndex};

/// Number of requests that a move must save to be worthwhile.
const MOVE_COST: f64 = 4.0;
/// Share of a model's requests that may be late before the model needs another copy.
const MAX_MISSED_SHARE: f64 = 0.02;
/// Requests per second below which a model is idle: the average falls below it about nine seconds
/// after a single request.
const IDLE_REQUESTS_PER_SECOND: f64 = 0.01;
/// Cost of the eviction of an idle model's last copy, relative to that of a model in demand: it is
/// less likely to be requested soon.
const IDLE_LAST_COPY_WEIGHT: f64 = 0.25;
/// Weight of the requests saved by the model for which memory was freed, relative to other models
/// that could use the memory.
const PENDING_LOAD_WEIGHT: f64 = 2.0;

/// A load, with the model evicted for it, if any.
#[derive(Clone, Copy)]
struct Move {
    server: ServerIndex,
    model: ModelIndex,
    victim: Option<ModelIndex>,
    ready_in: f64,
    /// Requests that it saves over the lifetime of the demand, less the cost of a move.
    saved: f64,
}

/// Upper bound on the missed requests that an additional copy of a model would answer, by the
/// seconds until it is ready: the copy gets a whole server. It rules out most servers.
#[derive(Default)]
struct AnsweredBound {
    cached: Vec<(f64, f64)>,
}

impl AnsweredBound {
    fn upper_bound(&mut self, coverage: &ModelCoverage, ready_in: f64) -> f64 {
        let cached = self.cached.iter().find(|(seconds, _)| *seconds == ready_in);
        if let Some((_, answered)) = cached {
            return *answered;
        }
        let whole_server = Supply { ready_in, capacity: 1.0 };
        let answered = coverage.missed - coverage.missed_with(whole_server);
        self.cached.push((ready_in, answered));
        answered
    }
}

/// The best known move for one model. A move outdated by another one keeps its former savings until
/// it ranks first: a new search for its model would find nothing better, so most models need not be
/// searched again after each move.
#[derive(Clone, Copy)]
struct MoveCandidate {
    best_move: Move,
    is_outdated: bool,
}

/// Adds the moves that save requests, the best one first.
pub(super) fn plan_models(planner: &mut Planner<'_>) {
    let lacking = (0..planner.profile.models.len()).filter(|model| planner.needs_copy(*model));
    let up_to_date = |best_move| MoveCandidate { best_move, is_outdated: false };
    let mut moves: Vec<MoveCandidate> =
        lacking.filter_map(|model| planner.best_move(model)).map(up_to_date).collect();
    while let Some(index) = best_index(&moves) {
        let MoveCandidate { best_move: chosen, is_outdated } = moves[index];
        if is_outdated {
            let model = Some(chosen.model).filter(|model| planner.needs_copy(*model));
            match model.and_then(|model| planner.best_move(model)) {
                Some(best_move) => moves[index] = up_to_date(best_move),
                None => drop(moves.swap_remove(index)),
            }
            continue;
        }
        planner.apply_move(&chosen);
        for candidate in &mut moves {
            candidate.is_outdated |= planner.is_outdated_by(&candidate.best_move, &chosen);
        }
    }
}

/// Index of the move that saves the most requests.
fn best_index(moves: &[MoveCandidate]) -> Option<usize> {
    let saved = |index: &usize| moves[*index].best_move.saved;
    (0..moves.len()).max_by(|left, right| saved(left).total_cmp(&saved(right)))
}

impl Planner<'_> {
    /// Whether a move is impossible or its savings have changed once `chosen` is made.
    fn is_outdated_by(&self, known: &Move, chosen: &Move) -> bool {
        known.server == chosen.server
            || known.model == chosen.model
            || (known.victim.is_some() && known.victim == chosen.victim)
            || self.exceeds_load_budget(known.server, known.model)
    }

    fn apply_move(&mut self, chosen: &Move) {
        let Move { server, model, victim, ready_in, .. } = *chosen;
        self.coverage.apply_move(server, Copy { model, ready_in }, victim);
        match victim {
            None => self.load_model(server, model),
            Some(victim) => self.unload_model(server, victim, model),
        }
    }

    fn needs_copy(&self, model: ModelIndex) -> bool {
        let coverage = &self.coverage.models[model];
        let lacks_capacity =
            self.demand.has_enough_history && coverage.final_missed_share() > MAX_MISSED_SHARE;
        coverage.copies == 0 || lacks_capacity
    }

    /// The move that saves the most requests by another copy of a model, if one is worthwhile.
    fn best_move(&self, model: ModelIndex) -> Option<Move> {
        let mut best: Option<Move> = None;
        let mut answered_bound = AnsweredBound::default();
        for server in 0..self.inventories.len() {
            let min_saved = best.map_or(0.0, |best| best.saved);
            best = self.better_move(server, model, min_saved, &mut answered_bound).or(best);
        }
        best
    }

    /// Whether a server would have to load a model from the weight store, which allows no more
    /// loads for now.
    pub(super) fn exceeds_load_budget(&self, server: ServerIndex, model: ModelIndex) -> bool {
        self.loads_left == 0 && self.inventories[server].loads_from_store(model)
    }

    /// The best move of a model to a server, if the server can load it now and the move saves more
    /// requests than `min_saved`.
    fn better_move(
        &self,
        server: ServerIndex,
        model: ModelIndex,
        min_saved: f64,
        answered_bound: &mut AnsweredBound,
    ) -> Option<Move> {
        let inventory = &self.inventories[server];
        let is_reserved = inventory.reserved.contains(&model);
        if !inventory.is_idle || is_reserved || self.exceeds_load_budget(server, model) {
            return None;
        }
        if self.has_room(server, model) {
            let weight =
                if inventory.pending_load == Some(model) { PENDING_LOAD_WEIGHT } else { 1.0 };
            let chosen = self.new_move(server, model, None, weight, 0.0);
            return (chosen.saved > min_saved).then_some(chosen);
        }
        let ready_in = inventory.load_seconds(self.profile, model) + UNLOAD_SECONDS;
        let bound = answered_bound.upper_bound(&self.coverage.models[model], ready_in);
        let mut best = None;
        let mut min_saved = min_saved;
        if bound - MOVE_COST <= min_saved {
            return None;
        }
        let evictable = |victim: &&ModelIndex| self.may_evict(server, **victim, model);
        for victim in inventory.serving.iter().filter(evictable) {
            let eviction_cost = self.eviction_cost(server, *victim);
            if bound - eviction_cost - MOVE_COST <= min_saved {
                continue;
            }
            let chosen = self.new_move(server, model, Some(*victim), 1.0, eviction_cost);
            if chosen.saved > min_saved {
                min_saved = chosen.saved;
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
        eviction_cost: f64,
    ) -> Move {
        let load = self.inventories[server].load_seconds(self.profile, model);
        let ready_in = load + if victim.is_some() { UNLOAD_SECONDS } else { 0.0 };
        let capacity = self.coverage.capacity(server, model, victim);
        let coverage = &self.coverage.models[model];
        let answered = coverage.missed - coverage.missed_with(Supply { ready_in, capacity });
        let saved = answered * weight - eviction_cost - MOVE_COST;
        Move { server, model, victim, ready_in, saved }
    }

    /// Whether a serving copy may be evicted for a model. Only serving copies count, since a load in
    /// progress may take long or fail. The last copy may be evicted only if the servers can't hold
    /// all models, and requests arrive for the model that takes its place but not for its own.
    fn may_evict(&self, server: ServerIndex, victim: ModelIndex, model: ModelIndex) -> bool {
        if self.inventories[server].recently_loaded.contains(&victim) {
            return false;
        }
        let has_other_copy = self.coverage.models[victim].serving > 1;
        has_other_copy || (self.is_oversubscribed && self.is_idle(victim) && !self.is_idle(model))
    }

    /// Whether hardly any requests arrive for a model.
    fn is_idle(&self, model: ModelIndex) -> bool {
        self.coverage.models[model].demand.requests_per_second < IDLE_REQUESTS_PER_SECOND
    }

    /// Requests expected to be missed because a copy is evicted.
    fn eviction_cost(&self, server: ServerIndex, victim: ModelIndex) -> f64 {
        let cost = self.coverage.eviction_cost(server, victim);
        let is_idle_last_copy = self.coverage.models[victim].serving == 1 && self.is_idle(victim);
        if is_idle_last_copy { cost * IDLE_LAST_COPY_WEIGHT } else { cost }
    }

    /// Whether a model fits into a server's memory beside everything that it holds or may hold.
    pub(super) fn has_room(&self, server: ServerIndex, model: ModelIndex) -> bool {
        let needed = self.profile.models[model].weights_megabytes + self.adapter_reserve;
        needed <= self.inventories[server].free_megabytes
    }

    /// Whether a model fits into a server's memory once another one is unloaded.
    pub(super) fn has_room_without(
        &self,
        server: ServerIndex,
        victim: ModelIndex,
        model: ModelIndex,
    ) -> bool {
        let megabytes = |model: ModelIndex| self.profile.models[model].weights_megabytes;
        let freed = self.inventories[server].free_megabytes + megabytes(victim);
        megabytes(model) + self.adapter_reserve <= freed
    }
}
