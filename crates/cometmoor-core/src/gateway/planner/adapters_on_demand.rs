//! Orders for adapters where any adapter can be loaded within milliseconds.
//!
//! Requests for an adapter go only to the servers that hold it, its holders. An adapter that
//! requests wait for is loaded even if another one has to be unloaded first; all other loads only
//! use slots that no adapter in demand takes.

use std::collections::HashMap;
use std::time::Duration;

use super::super::orders::{Action, Weights};
use super::inventory::{Adapter, ServerIndex};
use super::{AdapterOrderReason, Planner};

/// Requests a second from which on an adapter is in demand: the measured rate of an adapter that
/// was requested once, 5 s earlier.
const IN_DEMAND_RATE: f64 = 0.05;
/// Load, in servers, that the requests for one adapter may put on each of its holders before it
/// needs another one.
const MAX_LOAD_PER_HOLDER: f64 = 0.25;
/// Divisor of a server's slots that yields the number of them that stay free of copies that are
/// not needed yet, so that awaited adapters find free slots.
const SLOTS_PER_SPARE_SLOT: usize = 4;
/// Maximum time for which an unload may wait for running requests. The server completes them first
/// and takes no other order meanwhile.
const MAX_RUN_TIME_LEFT: Duration = Duration::from_millis(100);
/// Maximum number of adapters that a server loads concurrently.
pub const MAX_PENDING_ADAPTER_LOADS: usize = 4;
/// Minimum time for which an adapter stays loaded that was loaded because of its demand. Without it, two adapters that are
/// both in demand would replace each other many times a second.
pub const MIN_ADAPTER_RESIDENCY: Duration = Duration::from_secs(1);

/// Demand and holders of an adapter.
#[derive(Clone, Debug, Default)]
struct AdapterState {
    /// Requests per second.
    rate: f64,
    /// Whether requests are waiting for it.
    is_awaited: bool,
    /// Expected time until its running requests complete.
    run_time_left: Duration,
    /// Servers that hold it or may hold it, and that requests can be sent to.
    holders: Vec<ServerIndex>,
    /// Number of holders that its requests need.
    needed_holders: usize,
}

impl AdapterState {
    fn is_in_demand(&self) -> bool {
        self.is_awaited || self.rate >= IN_DEMAND_RATE
    }

    /// Whether no server holds it.
    fn is_missing(&self) -> bool {
        self.holders.is_empty()
    }

    fn is_missing_and_awaited(&self) -> bool {
        self.is_missing() && self.is_awaited
    }

    fn is_missing_in_demand(&self) -> bool {
        self.is_missing() && self.is_in_demand()
    }

    fn lacks_holders(&self) -> bool {
        self.is_in_demand() && self.holders.len() < self.needed_holders
    }

    /// Requests per second that each holder gets, or would get if there were one.
    fn rate_per_holder(&self) -> f64 {
        self.rate / self.holders.len().max(1) as f64
    }
}

/// Condition for a load of an adapter.
type Condition = fn(&AdapterState) -> bool;

/// Slots that a load may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// Free slots beyond the spare ones.
    BeyondSpare,
    /// Free slots.
    Free,
    /// Also slots of adapters that are not in demand.
    Unused,
    /// Also slots of adapters in lower demand.
    InUse,
}

/// A held adapter that may be unloaded to make room. The first in order is unloaded.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Victim {
    is_in_demand: bool,
    run_time_left: Duration,
    is_only_copy: bool,
    rate_per_holder: f64,
    server: ServerIndex,
    adapter: Adapter,
}

/// Adds orders for adapters: first those that requests wait for, then those in demand.
pub(super) fn plan_adapters_on_demand(planner: &mut Planner<'_>) {
    let mut adapters = Adapters::new(planner);
    let steps: [(Condition, Room, AdapterOrderReason); 5] = [
        (AdapterState::is_missing_and_awaited, Room::InUse, AdapterOrderReason::Awaited),
        (AdapterState::is_missing_in_demand, Room::Unused, AdapterOrderReason::Demand),
        (AdapterState::lacks_holders, Room::Unused, AdapterOrderReason::Demand),
        (AdapterState::is_in_demand, Room::BeyondSpare, AdapterOrderReason::Demand),
        (AdapterState::is_missing, Room::Free, AdapterOrderReason::Reachability),
    ];
    for (is_wanted, room, reason) in steps {
        for adapter in adapters.wanted(is_wanted) {
            adapters.place(planner, adapter, room, reason);
        }
    }
}

impl Planner<'_> {
    fn order_adapter_for(
        &mut self,
        server: ServerIndex,
        action: Action,
        adapter: Adapter,
        reason: AdapterOrderReason,
    ) {
        self.order_adapter(server, action, adapter);
        if let Some(planned) = self.plan.last_mut() {
            planned.adapter_reason = Some(reason);
        }
    }
}

/// All adapters, and what servers have room for.
struct Adapters {
    states: HashMap<Adapter, AdapterState>,
    /// Servers that serve each model.
    serving: Vec<Vec<ServerIndex>>,
    /// Requests per second for the adapters on each server, relative to its speed.
    rate_by_server: Vec<f64>,
    /// Servers whose next free slot is taken by an adapter that waits for it.
    is_claimed: Vec<bool>,
    slots: usize,
}

impl Adapters {
    fn new(planner: &Planner<'_>) -> Adapters {
        let mut serving = vec![Vec::new(); planner.profile.models.len()];
        for (server, inventory) in planner.inventories.iter().enumerate() {
            inventory.serving.iter().for_each(|model| serving[*model].push(server));
        }
        let mut adapters = Adapters {
            states: HashMap::new(),
            serving,
            rate_by_server: vec![0.0; planner.inventories.len()],
            is_claimed: vec![false; planner.inventories.len()],
            slots: planner.profile.adapter_slots as usize,
        };
        adapters.add_states(planner);
        adapters.add_holders(planner);
        adapters
    }

    fn add_states(&mut self, planner: &Planner<'_>) {
        let demand = planner.demand;
        let run_time_left = |weights: &Weights| {
            demand.adapter_run_time_left.get(weights).copied().unwrap_or_default()
        };
        for (model, profile) in planner.profile.models.iter().enumerate() {
            let model_demand = demand.models.get(&profile.name).copied().unwrap_or_default();
            let replicas = self.serving[model].len();
            for number in 1..=profile.adapters {
                let weights = Weights::adapter(&profile.name, &profile.adapter_name(number));
                let rate = demand.adapters.get(&weights).copied().unwrap_or(0.0);
                let share = (rate / model_demand.requests_per_second.max(rate)).max(0.0);
                let load = share * model_demand.offered_load;
                let needed = (load / MAX_LOAD_PER_HOLDER).ceil() as usize;
                let state = AdapterState {
                    rate,
                    is_awaited: demand.awaited_adapters.contains(&weights),
                    run_time_left: run_time_left(&weights),
                    holders: Vec::new(),
                    needed_holders: needed.max(1).min(replicas),
                };
                self.states.insert(Adapter { model, number }, state);
            }
        }
    }

    fn add_holders(&mut self, planner: &Planner<'_>) {
        for (server, inventory) in planner.inventories.iter().enumerate() {
            for adapter in &inventory.adapters {
                let is_served = inventory.serving.contains(&adapter.model)
                    && inventory.unloading_adapter != Some(*adapter);
                if let Some(state) = self.states.get_mut(adapter).filter(|_| is_served) {
                    state.holders.push(server);
                }
            }
        }
        for state in self.states.values() {
            for server in &state.holders {
                let speed = planner.servers[*server].speed.relative();
                self.rate_by_server[*server] += state.rate_per_holder() / speed;
            }
        }
    }

    /// Adapters that should be on one more server, those with the most requests a holder first.
    fn wanted(&self, is_wanted: Condition) -> Vec<Adapter> {
        let has_room = |adapter: &Adapter, state: &AdapterState| {
            state.holders.len() < self.serving[adapter.model].len()
        };
        let wanted = self
            .states
            .iter()
            .filter(|(adapter, state)| has_room(adapter, state) && is_wanted(state))
            .map(|(adapter, state)| (state.rate_per_holder(), *adapter));
        let mut wanted: Vec<(f64, Adapter)> = wanted.collect();
        wanted.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        wanted.into_iter().map(|(_, adapter)| adapter).collect()
    }

    /// Adds the order that loads an adapter or makes room for it, if there is one now.
    fn place(
        &mut self,
        planner: &mut Planner<'_>,
        adapter: Adapter,
        room: Room,
        reason: AdapterOrderReason,
    ) {
        let without_it = self.servers_without(planner, adapter);
        let spare = match room {
            Room::BeyondSpare => self.slots / SLOTS_PER_SPARE_SLOT,
            _ => 0,
        };
        if let Some(server) = self.server_with_free_slot(planner, &without_it, spare) {
            planner.order_adapter_for(server, Action::Load, adapter, reason);
            self.rate_by_server[server] +=
                self.states[&adapter].rate_per_holder() / planner.servers[server].speed.relative();
            if let Some(state) = self.states.get_mut(&adapter) {
                state.holders.push(server);
            }
            return;
        }
        if matches!(room, Room::BeyondSpare | Room::Free) || self.claim_slot(planner, &without_it) {
            return;
        }
        if let Some(victim) = self.victim(planner, adapter, &without_it, room) {
            planner.order_adapter_for(victim.server, Action::Unload, victim.adapter, reason);
            if let Some(state) = self.states.get_mut(&victim.adapter) {
                state.holders.retain(|server| *server != victim.server);
            }
        }
    }

    /// Servers that serve the adapter's model and don't hold the adapter.
    fn servers_without(&self, planner: &Planner<'_>, adapter: Adapter) -> Vec<ServerIndex> {
        let servers = self.serving[adapter.model].iter().copied();
        servers.filter(|server| !planner.inventories[*server].adapters.contains(&adapter)).collect()
    }

    /// The idle server whose adapters get the fewest requests, among those with more free slots
    /// than `spare`.
    fn server_with_free_slot(
        &self,
        planner: &Planner<'_>,
        servers: &[ServerIndex],
        spare: usize,
    ) -> Option<ServerIndex> {
        let adapters = |server: ServerIndex| planner.inventories[server].adapters.len();
        let has_room = |server: &ServerIndex| {
            planner.inventories[*server].is_idle
                && planner.servers[*server].pending_adapter_loads < MAX_PENDING_ADAPTER_LOADS
                && adapters(*server) + spare < self.slots
        };
        servers.iter().copied().filter(has_room).min_by(|left, right| {
            let rates = self.rate_by_server[*left].total_cmp(&self.rate_by_server[*right]);
            rates.then(adapters(*left).cmp(&adapters(*right)))
        })
    }

    /// Claims a slot that is free as soon as a server can take an order again, within
    /// milliseconds. Returns whether there is one. Without claims, another adapter would be
    /// unloaded for the same request in each round until the first order is answered.
    fn claim_slot(&mut self, planner: &Planner<'_>, servers: &[ServerIndex]) -> bool {
        let is_free_soon = |server: &&ServerIndex| {
            let inventory = &planner.inventories[**server];
            let has_slot =
                inventory.adapters.len() < self.slots || inventory.unloading_adapter.is_some();
            let known = &planner.servers[**server];
            let is_limited = known.is_idle
                && inventory.is_idle
                && known.pending_adapter_loads >= MAX_PENDING_ADAPTER_LOADS;
            has_slot && (known.awaits_adapter_answer || is_limited) && !self.is_claimed[**server]
        };
        let claimed = servers.iter().find(is_free_soon).copied();
        if let Some(server) = claimed {
            self.is_claimed[server] = true;
        }
        claimed.is_some()
    }

    /// The adapter to unload in favor of another one.
    fn victim(
        &self,
        planner: &Planner<'_>,
        adapter: Adapter,
        servers: &[ServerIndex],
        room: Room,
    ) -> Option<Victim> {
        let max_rate = self.states[&adapter].rate + 1.0 / MIN_ADAPTER_RESIDENCY.as_secs_f64();
        let idle = servers.iter().copied().filter(|server| {
            let inventory = &planner.inventories[*server];
            inventory.is_idle && inventory.adapters.len() >= self.slots
        });
        let held = idle.flat_map(|server| {
            let held = planner.inventories[server].held_adapters.iter();
            held.map(move |adapter| (server, *adapter))
        });
        let victims = held.filter_map(|(server, adapter)| {
            let victim = self.as_victim(planner, server, adapter)?;
            let is_cheap = !victim.is_only_copy || victim.rate_per_holder < max_rate;
            let may_replace = !victim.is_in_demand || (room == Room::InUse && is_cheap);
            may_replace.then_some(victim)
        });
        victims.min_by(|left, right| left.partial_cmp(right).unwrap_or(std::cmp::Ordering::Equal))
    }

    /// A held adapter as a victim; `None` if it has to stay.
    fn as_victim(
        &self,
        planner: &Planner<'_>,
        server: ServerIndex,
        adapter: Adapter,
    ) -> Option<Victim> {
        let Some(state) = self.states.get(&adapter) else {
            // The profile no longer has this adapter.
            return Some(Victim {
                is_in_demand: false,
                run_time_left: Duration::ZERO,
                is_only_copy: false,
                rate_per_holder: 0.0,
                server,
                adapter,
            });
        };
        let is_only_copy = state.holders.iter().all(|holder| *holder == server);
        let is_recent = planner.inventories[server].recently_loaded_adapters.contains(&adapter);
        let is_in_demand = state.is_in_demand();
        let is_needed = is_only_copy && state.is_awaited;
        if is_recent || is_needed || state.run_time_left > MAX_RUN_TIME_LEFT {
            return None;
        }
        let rate_per_holder = state.rate_per_holder();
        Some(Victim {
            is_in_demand,
            run_time_left: state.run_time_left,
            is_only_copy,
            rate_per_holder,
            server,
            adapter,
        })
    }
}
