//! Decision logic of a gateway node: routing, server selection, retries, limits, leadership and
//! the placement of models on servers.

pub mod admission;
pub mod attempts;
pub mod awaited_weights;
pub mod brittle;
pub mod configuration;
pub mod demand;
pub mod dispatch_queue;
pub mod leadership;
pub mod links;
pub mod load_rate;
pub mod orders;
pub mod overload;
pub mod peer_liveness;
pub mod planner;
pub mod proof;
pub mod quantile;
pub mod quarantine;
pub mod quota;
pub mod registry;
pub mod response_end;
pub mod restored_registry;
pub mod retry_budget;
pub mod selection;
pub mod server_calls;
pub mod server_speed;
pub mod signals;
pub mod staleness;
pub mod store_position;
pub mod stream_origins;
pub mod tenants;
