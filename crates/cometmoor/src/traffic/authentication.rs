//! Callers' and operators' credentials.

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::http::header::AUTHORIZATION;
use cometmoor_core::keys::{KeyCheck, PresentedKey};
use cometmoor_protocol::error::Step;

use super::error::RequestError;
use crate::control::snapshot::{GroupAccess, Snapshot};

/// Scheme of the `Authorization` header.
const BEARER: &[u8] = b"Bearer ";

/// The request's bearer key.
pub fn bearer_key(request: &HttpRequest) -> PresentedKey {
    let bearers = request.headers().get_all(AUTHORIZATION);
    let keys = bearers.filter_map(|value| value.as_bytes().strip_prefix(BEARER));
    PresentedKey::from_values(keys)
}

/// The refusal of a request without valid credentials.
pub fn unauthorized() -> RequestError {
    let message = "a valid bearer key is needed";
    RequestError::not_run(StatusCode::UNAUTHORIZED, Step::Authenticate, message)
}

/// Finds the group of the caller.
pub fn authenticate(
    snapshot: &Snapshot,
    request: &HttpRequest,
) -> Result<GroupAccess, RequestError> {
    match snapshot.authenticate(bearer_key(request)) {
        KeyCheck::Admitted(access) => Ok(access.clone()),
        KeyCheck::Unknown => Err(unauthorized()),
        KeyCheck::Undecided => {
            let message = "this node has no current configuration";
            Err(RequestError::not_run(StatusCode::SERVICE_UNAVAILABLE, Step::Authenticate, message))
        }
    }
}
