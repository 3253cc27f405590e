//! Names of headers of the callers' interface.

/// Header with the identifier of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the key of a request that must not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Marks a request that another node has passed on; it is not passed on again.
pub const FORWARDED_HEADER: &str = "cometmoor-forwarded-by";
