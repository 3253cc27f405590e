//! Orders for adapters on servers that hold their base models.

use std::collections::HashMap;

use super::super::orders::{Action, Weights};
use super::Planner;
use super::inventory::{Adapter, ModelIndex, ServerIndex};

/// Value of an adapter's only copy besides its demand, in requests per second: every adapter must
/// stay reachable.
const REACHABILITY_VALUE: f64 = 0.02;
/// The same value for an adapter that requests are waiting for.
const AWAITED_VALUE: f64 = 2.0;
/// Factor by which the value of an adapter must exceed that of the one it replaces.
const MIN_REPLACEMENT_GAIN: f64 = 1.2;
/// Priority of an adapter that no server holds over those that only need another copy.
const MISSING_PRIORITY: f64 = 1000.0;

/// Demand and copies of an adapter.
#[derive(Clone, Copy, Debug, Default)]
struct AdapterUsage {
    /// Requests per second.
    requests_per_second: f64,
    /// Whether requests are waiting for it.
    is_awaited: bool,
    /// Number of servers that hold it or may hold it.
    holders: usize,
}

impl AdapterUsage {
    /// Value of one copy besides `others`, in requests per second.
    fn copy_value(&self, others: usize) -> f64 {
        let base = match others {
            0 if self.is_awaited => AWAITED_VALUE,
            0 => REACHABILITY_VALUE,
            _ => 0.0,
        };
        base + self.requests_per_second / (others + 1) as f64
    }

    /// Value of one of the existing copies.
    fn existing_copy_value(&self) -> f64 {
        self.copy_value(self.holders.saturating_sub(1))
    }
}

/// Adds orders for adapters: first those that no server holds, then those in demand.
pub(super) fn plan_adapters(planner: &mut Planner<'_>) {
    let usage = planner.adapter_usage();
    let mut serving: HashMap<ModelIndex, Vec<ServerIndex>> = HashMap::new();
    for (server, inventory) in planner.inventories.iter().enumerate() {
        for model in &inventory.serving {
            serving.entry(*model).or_default().push(server);
        }
    }
    for adapter in planner.wanted_adapters(&usage) {
        let servers = serving.get(&adapter.model).map(Vec::as_slice).unwrap_or_default();
        planner.plan_adapter(adapter, servers, &usage);
    }
}

impl Planner<'_> {
    fn adapter_usage(&self) -> HashMap<Adapter, AdapterUsage> {
        let mut usage = HashMap::new();
        for (model, profile) in self.profile.models.iter().enumerate() {
            for number in 1..=profile.adapters {
                let weights = Weights::adapter(&profile.name, &profile.adapter_name(number));
                let known = AdapterUsage {
                    requests_per_second: self.demand.adapters.get(&weights).copied().unwrap_or(0.0),
                    is_awaited: self.demand.awaited_adapters.contains(&weights),
                    holders: 0,
                };
                usage.insert(Adapter { model, number }, known);
            }
        }
        for adapter in self.inventories.iter().flat_map(|inventory| &inventory.adapters) {
            if let Some(known) = usage.get_mut(adapter) {
                known.holders += 1;
            }
        }
        usage
    }

    /// Adapters that should be on one more server, those of the highest priority first.
    fn wanted_adapters(&self, usage: &HashMap<Adapter, AdapterUsage>) -> Vec<Adapter> {
        let mut wanted: Vec<(f64, Adapter)> = Vec::new();
        for (adapter, known) in usage {
            let copies = self.coverage.models[adapter.model].copies;
            if known.holders == 0 {
                wanted.push((MISSING_PRIORITY + known.copy_value(0), *adapter));
            } else if known.holders < copies && known.requests_per_second > 0.0 {
                wanted.push((known.existing_copy_value(), *adapter));
            }
        }
        wanted.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        wanted.into_iter().map(|(_, adapter)| adapter).collect()
    }

    fn plan_adapter(
        &mut self,
        adapter: Adapter,
        servers: &[ServerIndex],
        usage: &HashMap<Adapter, AdapterUsage>,
    ) {
        let slots = self.profile.adapter_slots as usize;
        let inventory = |server: ServerIndex| &self.inventories[server];
        let with_free_slot = servers
            .iter()
            .copied()
            .filter(|server| !inventory(*server).adapters.contains(&adapter))
            .filter(|server| inventory(*server).adapters.len() < slots)
            .min_by_key(|server| (!inventory(*server).is_idle, inventory(*server).adapters.len()));
        match with_free_slot {
            Some(server) if inventory(server).is_idle => {
                self.order_adapter(server, Action::Load, adapter);
            }
            Some(_) => {}
            None => {
                let known = usage.get(&adapter).copied().unwrap_or_default();
                if known.holders == 0 {
                    self.make_room_for_adapter(known.copy_value(0), servers, usage);
                }
            }
        }
    }

    /// Unloads the adapter of the least value if the one that needs its slot exceeds that value by
    /// the factor [`MIN_REPLACEMENT_GAIN`].
    fn make_room_for_adapter(
        &mut self,
        value: f64,
        servers: &[ServerIndex],
        usage: &HashMap<Adapter, AdapterUsage>,
    ) {
        let idle = servers.iter().copied().filter(|server| self.inventories[*server].is_idle);
        let held = idle.flat_map(|server| {
            self.inventories[server].held_adapters.iter().map(move |adapter| (server, *adapter))
        });
        let value_of =
            |adapter: &Adapter| usage.get(adapter).map_or(0.0, AdapterUsage::existing_copy_value);
        let victim = held
            .map(|(server, adapter)| (value_of(&adapter), server, adapter))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((victim_value, server, victim)) = victim
            && value > victim_value * MIN_REPLACEMENT_GAIN
        {
            self.order_adapter(server, Action::Unload, victim);
        }
    }
}
