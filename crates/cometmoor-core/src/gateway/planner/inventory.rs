//! Contents of each server, by index into the profile instead of by name.

use std::collections::HashMap;

use super::super::configuration::EngineProfile;
use super::super::orders::Weights;
use super::{PlannedServer, UNLOAD_SECONDS};

/// Index of a model in the profile.
pub(super) type ModelIndex = usize;
/// Index of a server among the planned ones.
pub(super) type ServerIndex = usize;

/// An adapter of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Adapter {
    /// The base model.
    pub(super) model: ModelIndex,
    /// Number of the adapter, starting at 1.
    pub(super) number: u32,
}

/// A copy of a model that is ready on a server or being loaded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Copy {
    /// The model.
    pub(super) model: ModelIndex,
    /// Seconds until it is ready; 0 if it is.
    pub(super) ready_in: f64,
}

/// Contents of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerInventory {
    /// Whether it can take an order.
    pub(super) is_idle: bool,
    /// Copies that are ready or on their way, without those being unloaded.
    pub(super) copies: Vec<Copy>,
    /// Models that it holds or may hold, including those being unloaded.
    pub(super) reserved: Vec<ModelIndex>,
    /// Models that it serves and that are not being unloaded.
    pub(super) serving: Vec<ModelIndex>,
    /// Models loaded too recently to be unloaded again.
    pub(super) recently_loaded: Vec<ModelIndex>,
    /// Unreserved memory for models, in megabytes.
    pub(super) free_megabytes: f64,
    /// Model for which memory is being freed or was freed.
    pub(super) pending_load: Option<ModelIndex>,
    /// Adapters that it is known to hold.
    pub(super) held_adapters: Vec<Adapter>,
    /// Adapters that it holds or may hold.
    pub(super) adapters: Vec<Adapter>,
    /// Adapters loaded too recently to be unloaded again.
    pub(super) recently_loaded_adapters: Vec<Adapter>,
    /// Adapter that is being unloaded.
    pub(super) unloading_adapter: Option<Adapter>,
    in_host_memory: Vec<ModelIndex>,
    on_disk: Vec<ModelIndex>,
}

impl ServerInventory {
    /// Whether a load of a model fetches its weights from the weight store.
    pub(super) fn loads_from_store(&self, model: ModelIndex) -> bool {
        !self.in_host_memory.contains(&model) && !self.on_disk.contains(&model)
    }

    /// Expected duration of a load of a model, in seconds.
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

/// Maps names to indices into the profile.
struct ProfileIndex<'a> {
    profile: &'a EngineProfile,
    models: HashMap<&'a str, ModelIndex>,
}

impl<'a> ProfileIndex<'a> {
    fn new(profile: &'a EngineProfile) -> ProfileIndex<'a> {
        let models = profile.models.iter().enumerate();
        ProfileIndex {
            profile,
            models: models.map(|(index, model)| (&*model.name, index)).collect(),
        }
    }

    fn model(&self, name: &str) -> Option<ModelIndex> {
        self.models.get(name).copied()
    }

    fn models<'b>(&self, names: impl IntoIterator<Item = &'b String>) -> Vec<ModelIndex> {
        names.into_iter().filter_map(|name| self.model(name)).collect()
    }

    fn base_models<'b>(&self, weights: impl IntoIterator<Item = &'b Weights>) -> Vec<ModelIndex> {
        let base_weights = weights.into_iter().filter(|weights| weights.adapter.is_none());
        base_weights.filter_map(|weights| self.model(&weights.model)).collect()
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

    fn inventory(&self, server: &PlannedServer) -> ServerInventory {
        let reserved = self.base_models(&server.reserved);
        let megabytes = |model: &ModelIndex| self.profile.models[*model].weights_megabytes;
        let reserved_megabytes: f64 = reserved.iter().map(megabytes).sum();
        let mut inventory = ServerInventory {
            is_idle: server.is_idle,
            copies: Vec::new(),
            serving: self.base_models(server.held.iter().filter(|weights| server.stays(weights))),
            recently_loaded: self.models(&server.recently_loaded),
            free_megabytes: self.profile.weights_megabytes - reserved_megabytes,
            pending_load: server.pending_load.as_deref().and_then(|name| self.model(name)),
            held_adapters: self.adapters(&server.held),
            adapters: self.adapters(&server.reserved),
            recently_loaded_adapters: self.adapters(&server.recently_loaded_adapters),
            unloading_adapter: self.adapters(&server.unloading).first().copied(),
            in_host_memory: self.models(&server.in_host_memory),
            on_disk: self.models(&server.on_disk),
            reserved,
        };
        inventory.copies = self.copies(server, &inventory);
        inventory
    }

    /// Copies that are ready or on their way, and the one for which memory is being freed.
    fn copies(&self, server: &PlannedServer, inventory: &ServerInventory) -> Vec<Copy> {
        let kept = self.base_models(server.reserved.iter().filter(|weights| server.stays(weights)));
        let ready_in = |model: &ModelIndex| match inventory.serving.contains(model) {
            true => 0.0,
            false => server.load_time_left.as_secs_f64(),
        };
        let mut copies: Vec<Copy> =
            kept.iter().map(|model| Copy { model: *model, ready_in: ready_in(model) }).collect();
        let pending_load = inventory.pending_load.filter(|_| !server.is_idle);
        if let Some(model) = pending_load.filter(|model| !inventory.reserved.contains(model)) {
            let ready_in = UNLOAD_SECONDS + inventory.load_seconds(self.profile, model);
            copies.push(Copy { model, ready_in });
        }
        copies
    }
}

/// Builds the inventories of the servers.
pub(super) fn build_inventories(
    profile: &EngineProfile,
    servers: &[PlannedServer],
) -> Vec<ServerInventory> {
    let index = ProfileIndex::new(profile);
    servers.iter().map(|server| index.inventory(server)).collect()
}
