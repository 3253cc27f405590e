//! What each server holds, by places in the profile instead of names.

use std::collections::HashMap;

use super::super::configuration::EngineProfile;
use super::super::orders::Weights;
use super::{PlannedServer, UNLOAD_SECONDS};

/// Place of a model in the profile.
pub(super) type ModelIndex = usize;
/// Place of a server among the planned ones.
pub(super) type ServerIndex = usize;

/// An adapter of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Adapter {
    /// The model.
    pub(super) model: ModelIndex,
    /// Number of the adapter, from 1.
    pub(super) number: u32,
}

/// A model that is on a server or comes to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Copy {
    /// The model.
    pub(super) model: ModelIndex,
    /// Seconds until it is there.
    pub(super) ready_in: f64,
}

/// What one server holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Stock {
    /// Whether it can be ordered now.
    pub(super) is_free: bool,
    /// Copies that are there and stay, or come.
    pub(super) copies: Vec<Copy>,
    /// Models that it holds or may come to hold, those that leave included.
    pub(super) reserved: Vec<ModelIndex>,
    /// Models that it can answer with now, and will stay able to.
    pub(super) serving: Vec<ModelIndex>,
    /// Models that it got so lately that they should stay.
    pub(super) fresh: Vec<ModelIndex>,
    /// Memory for models that is not reserved, in megabytes.
    pub(super) free_megabytes: f64,
    /// Model for which room was made.
    pub(super) promised: Option<ModelIndex>,
    /// Adapters that it holds for certain.
    pub(super) held_adapters: Vec<Adapter>,
    /// Adapters that it holds or may come to hold.
    pub(super) adapters: Vec<Adapter>,
    in_host_memory: Vec<ModelIndex>,
    on_disk: Vec<ModelIndex>,
}

impl Stock {
    /// Whether the weights of a model come from the weight store.
    pub(super) fn loads_from_store(&self, model: ModelIndex) -> bool {
        !self.in_host_memory.contains(&model) && !self.on_disk.contains(&model)
    }

    /// Seconds that a load of a model takes.
    pub(super) fn load_seconds(&self, profile: &EngineProfile, index: ModelIndex) -> f64 {
        let model = &profile.models[index];
        let load = if self.in_host_memory.contains(&index) {
            model.memory_load_time
        } else if self.on_disk.contains(&index) {
            model.disk_load_time
        } else {
            model.store_load_time
        };
        load.as_secs_f64()
    }
}

/// Finds the places of names in the profile.
struct Names<'a> {
    profile: &'a EngineProfile,
    models: HashMap<&'a str, ModelIndex>,
}

impl<'a> Names<'a> {
    fn new(profile: &'a EngineProfile) -> Names<'a> {
        let named = profile.models.iter().enumerate();
        Names { profile, models: named.map(|(index, model)| (&*model.name, index)).collect() }
    }

    fn model(&self, name: &str) -> Option<ModelIndex> {
        self.models.get(name).copied()
    }

    fn models<'b>(&self, names: impl IntoIterator<Item = &'b String>) -> Vec<ModelIndex> {
        names.into_iter().filter_map(|name| self.model(name)).collect()
    }

    fn bases<'b>(&self, weights: impl IntoIterator<Item = &'b Weights>) -> Vec<ModelIndex> {
        let bases = weights.into_iter().filter(|weights| weights.adapter.is_none());
        bases.filter_map(|weights| self.model(&weights.model)).collect()
    }

    fn adapters<'b>(&self, weights: impl IntoIterator<Item = &'b Weights>) -> Vec<Adapter> {
        let adapter = |weights: &Weights| {
            let model = self.model(&weights.model)?;
            let name = weights.adapter.as_deref()?;
            let number = self.profile.models[model].adapter_number(name)?;
            Some(Adapter { model, number })
        };
        weights.into_iter().filter_map(adapter).collect()
    }

    fn stock(&self, server: &PlannedServer) -> Stock {
        let reserved = self.bases(&server.reserved);
        let megabytes = |model: &ModelIndex| self.profile.models[*model].weights_megabytes;
        let taken: f64 = reserved.iter().map(megabytes).sum();
        let mut stock = Stock {
            is_free: server.is_idle,
            copies: Vec::new(),
            serving: self.bases(server.held.iter().filter(|weights| server.stays(weights))),
            fresh: self.models(&server.recently_loaded),
            free_megabytes: self.profile.weights_megabytes - taken,
            promised: server.pending_load.as_deref().and_then(|name| self.model(name)),
            held_adapters: self.adapters(&server.held),
            adapters: self.adapters(&server.reserved),
            in_host_memory: self.models(&server.in_host_memory),
            on_disk: self.models(&server.on_disk),
            reserved,
        };
        stock.copies = self.copies(server, &stock);
        stock
    }

    /// Copies that stay or come, and the one for which room is being made.
    fn copies(&self, server: &PlannedServer, stock: &Stock) -> Vec<Copy> {
        let coming = self.bases(server.reserved.iter().filter(|weights| server.stays(weights)));
        let ready_in = |model: &ModelIndex| match stock.serving.contains(model) {
            true => 0.0,
            false => server.load_time_left.as_secs_f64(),
        };
        let mut copies: Vec<Copy> =
            coming.iter().map(|model| Copy { model: *model, ready_in: ready_in(model) }).collect();
        let promised = stock.promised.filter(|_| !server.is_idle);
        if let Some(model) = promised.filter(|model| !stock.reserved.contains(model)) {
            let ready_in = UNLOAD_SECONDS + stock.load_seconds(self.profile, model);
            copies.push(Copy { model, ready_in });
        }
        copies
    }
}

/// What the servers hold.
pub(super) fn take_stock(profile: &EngineProfile, servers: &[PlannedServer]) -> Vec<Stock> {
    let names = Names::new(profile);
    servers.iter().map(|server| names.stock(server)).collect()
}
