//! The policies that are compared: the product's own, and baselines.

use std::fmt;

use cometmoor_gateway::settings::MechanismSettings;

/// Which server a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Routing {
    /// The product's: expected time, refusal where it would be late.
    Product,
    /// The server with the least requests; nobody is refused while one serves.
    LeastLoaded,
}

/// Which server holds which model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placing {
    /// The product's planner by demand as nodes tell it.
    Product,
    /// Nothing moves.
    Static,
    /// A model is loaded only where nobody holds it.
    Reactive,
    /// The product's planner by the demand of the seconds to come: a bound that
    /// no policy without foresight reaches by much.
    Foresight,
}

/// All mechanisms of the product but one, by its name in the settings of a
/// gateway node.
fn without(name: &str) -> Result<MechanismSettings, PolicyError> {
    let switches = serde_json::json!({ name: false });
    let unknown = |_| PolicyError::UnknownMechanism(name.to_owned());
    serde_json::from_value(switches).map_err(unknown)
}

/// A policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Name in reports.
    pub name: String,
    /// Which server a request goes to.
    pub routing: Routing,
    /// Which server holds which model.
    pub placing: Placing,
    /// What the product's routing does.
    pub mechanisms: MechanismSettings,
}

/// Why a policy cannot be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PolicyError {
    /// There is no policy of this name.
    Unknown(String),
    /// There is no mechanism of this name.
    UnknownMechanism(String),
}

impl fmt::Display for PolicyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyError::Unknown(name) => {
                write!(
                    formatter,
                    "there is no policy {name}; there are {}",
                    Policy::NAMES.join(", ")
                )
            }
            PolicyError::UnknownMechanism(name) => {
                write!(formatter, "there is no mechanism {name} to leave out")
            }
        }
    }
}

impl Policy {
    /// Names of all policies.
    pub const NAMES: [&'static str; 5] =
        ["product", "least-loaded", "static", "reactive", "foresight"];

    /// A policy by its name; `product-without-NAME` leaves out a mechanism.
    pub fn named(name: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy {
            name: name.to_owned(),
            routing: Routing::Product,
            placing: Placing::Product,
            mechanisms: MechanismSettings::default(),
        };
        match name {
            "product" => {}
            "least-loaded" => policy.routing = Routing::LeastLoaded,
            "static" => policy.placing = Placing::Static,
            "reactive" => policy.placing = Placing::Reactive,
            "foresight" => policy.placing = Placing::Foresight,
            _ => match name.strip_prefix("product-without-") {
                Some(mechanism) => policy.mechanisms = without(mechanism)?,
                None => return Err(PolicyError::Unknown(name.to_owned())),
            },
        }
        if !policy.mechanisms.model_moves {
            policy.placing = Placing::Static;
        }
        Ok(policy)
    }
}
