//! Layout of a system's keys in the configuration store.

use cometmoor_protocol::resource::{Kind, ResourceKey};

/// Builds and parses the keys of one system.
#[derive(Clone, Debug)]
pub struct Layout {
    root: String,
}

impl Layout {
    /// Creates the layout of the system with this name; its keys start with `/cometmoor/NAME/`.
    pub fn new(system: &str) -> Layout {
        Layout { root: format!("/cometmoor/{system}/") }
    }

    /// Prefix of the configuration: the head and all resources.
    pub fn configuration(&self) -> String {
        format!("{}configuration/", self.root)
    }

    /// Key of the configuration's head, which every change rewrites.
    pub fn head(&self) -> String {
        format!("{}head", self.configuration())
    }

    /// Prefix of the resources' keys.
    pub fn resources(&self) -> String {
        format!("{}resources/", self.configuration())
    }

    /// Key of a resource, `KIND/NAME` below the prefix of the resources.
    pub fn resource(&self, key: &ResourceKey) -> String {
        format!("{}{}/{}", self.resources(), key.kind.plural(), key.name)
    }

    /// Parses the key of a resource. Returns `None` for other keys and unknown kinds.
    pub fn parse_resource(&self, key: &str) -> Option<ResourceKey> {
        let (kind, name) = key.strip_prefix(&self.resources())?.split_once('/')?;
        Some(ResourceKey { kind: Kind::parse(kind)?, name: name.to_owned() })
    }

    /// Key of the planner role; it is attached to the lease of the node that holds the role.
    pub fn planner_role(&self) -> String {
        format!("{}roles/planner", self.root)
    }

    /// Prefix of the order records, which are kept for engines that do not check fencing tokens.
    pub fn order_records(&self) -> String {
        format!("{}orders/", self.root)
    }

    /// Key of the order record of one engine.
    pub fn order_record(&self, engine: &str) -> String {
        format!("{}{engine}", self.order_records())
    }
}
