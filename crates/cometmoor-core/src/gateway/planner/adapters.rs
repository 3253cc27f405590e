//! Orders for adapters, on servers that hold their models.

use std::collections::HashMap;

use super::super::orders::{Action, Weights};
use super::Planner;
use super::inventory::{Adapter, ModelIndex, ServerIndex};

/// Requests a second that an adapter counts for, besides what is asked of it,
/// where no server would hold it: it has to stay reachable.
const REACHABLE: f64 = 0.02;
/// The same for one that requests wait for now.
const WAITED_FOR: f64 = 2.0;
/// Part by which an adapter must be worth more than the one whose place it takes.
const CLEARLY_MORE: f64 = 1.2;
/// Weight of a wish for an adapter that no server holds.
const NOBODY_HOLDS: f64 = 1000.0;

/// What is known of an adapter.
#[derive(Clone, Copy, Debug, Default)]
struct AdapterUse {
    /// Requests a second.
    asked: f64,
    /// Whether requests wait for it now.
    is_waited_for: bool,
    /// Servers that hold it, or may come to.
    holders: usize,
}

impl AdapterUse {
    /// What a copy beside so many others is worth, in requests a second.
    fn worth(&self, others: usize) -> f64 {
        let only = match others {
            0 if self.is_waited_for => WAITED_FOR,
            0 => REACHABLE,
            _ => 0.0,
        };
        only + self.asked / (others + 1) as f64
    }

    /// What one of its copies is worth.
    fn worth_of_copy(&self) -> f64 {
        self.worth(self.holders.saturating_sub(1))
    }
}

/// Adds orders for adapters: first for those that no server holds, then for
/// those that are asked for.
pub(super) fn bring_adapters(planner: &mut Planner<'_>) {
    let uses = planner.adapter_uses();
    let mut serving: HashMap<ModelIndex, Vec<ServerIndex>> = HashMap::new();
    for (server, stock) in planner.stocks.iter().enumerate() {
        for model in &stock.serving {
            serving.entry(*model).or_default().push(server);
        }
    }
    for adapter in planner.adapter_wishes(&uses) {
        let servers = serving.get(&adapter.model).map(Vec::as_slice).unwrap_or_default();
        planner.bring_adapter(adapter, servers, &uses);
    }
}

impl Planner<'_> {
    fn adapter_uses(&self) -> HashMap<Adapter, AdapterUse> {
        let mut uses = HashMap::new();
        for (model, profile) in self.profile.models.iter().enumerate() {
            for number in 1..=profile.adapters {
                let weights = Weights::adapter(&profile.name, &profile.adapter_name(number));
                let known = AdapterUse {
                    asked: self.demand.adapters.get(&weights).copied().unwrap_or(0.0),
                    is_waited_for: self.demand.awaited_adapters.contains(&weights),
                    holders: 0,
                };
                uses.insert(Adapter { model, number }, known);
            }
        }
        for adapter in self.stocks.iter().flat_map(|stock| &stock.adapters) {
            if let Some(known) = uses.get_mut(adapter) {
                known.holders += 1;
            }
        }
        uses
    }

    /// Adapters that should be on one more server, the most wanted first.
    fn adapter_wishes(&self, uses: &HashMap<Adapter, AdapterUse>) -> Vec<Adapter> {
        let mut wishes: Vec<(f64, Adapter)> = Vec::new();
        for (adapter, known) in uses {
            let copies = self.coverage.models[adapter.model].copies;
            if known.holders == 0 {
                wishes.push((NOBODY_HOLDS + known.worth(0), *adapter));
            } else if known.holders < copies && known.asked > 0.0 {
                wishes.push((known.worth_of_copy(), *adapter));
            }
        }
        wishes.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        wishes.into_iter().map(|(_, adapter)| adapter).collect()
    }

    fn bring_adapter(
        &mut self,
        adapter: Adapter,
        servers: &[ServerIndex],
        uses: &HashMap<Adapter, AdapterUse>,
    ) {
        let slots = self.profile.adapter_slots as usize;
        let stock = |server: ServerIndex| &self.stocks[server];
        let with_room = servers
            .iter()
            .copied()
            .filter(|server| !stock(*server).adapters.contains(&adapter))
            .filter(|server| stock(*server).adapters.len() < slots)
            .min_by_key(|server| (!stock(*server).is_free, stock(*server).adapters.len()));
        match with_room {
            Some(server) if stock(server).is_free => {
                self.order_adapter(server, Action::Load, adapter);
            }
            Some(_) => {}
            None => {
                let known = uses.get(&adapter).copied().unwrap_or_default();
                if known.holders == 0 {
                    self.make_room_for_adapter(known.worth(0), servers, uses);
                }
            }
        }
    }

    /// Takes out the adapter that is worth least, if the one that needs its
    /// place is worth clearly more.
    fn make_room_for_adapter(
        &mut self,
        worth: f64,
        servers: &[ServerIndex],
        uses: &HashMap<Adapter, AdapterUse>,
    ) {
        let free = servers.iter().copied().filter(|server| self.stocks[*server].is_free);
        let held = free.flat_map(|server| {
            self.stocks[server].held_adapters.iter().map(move |adapter| (server, *adapter))
        });
        let worth_of = |adapter: &Adapter| uses.get(adapter).map_or(0.0, AdapterUse::worth_of_copy);
        let victim = held
            .map(|(server, adapter)| (worth_of(&adapter), server, adapter))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((victim_worth, server, victim)) = victim
            && worth > victim_worth * CLEARLY_MORE
        {
            self.order_adapter(server, Action::Unload, victim);
        }
    }
}
