//! Refusals and failures of operators' requests.

use actix_web::http::StatusCode;
use cometmoor_core::validation::Rejection;
use cometmoor_protocol::error::Step;

use crate::control::writer::WriteError;
use crate::store::StoreError;
use crate::traffic::error::RequestError;

/// Tells an operator why a change was not made, or is not known to be.
pub fn write_error(error: WriteError) -> RequestError {
    let refuse = |status, message: String| RequestError::not_run(status, Step::Validate, message);
    match error {
        WriteError::NotFound => refuse(StatusCode::NOT_FOUND, "it does not exist".to_owned()),
        WriteError::AlreadyExists => refuse(StatusCode::CONFLICT, "it exists already".to_owned()),
        WriteError::OutdatedVersion { seen, current } => refuse(
            StatusCode::CONFLICT,
            format!("resourceVersion {seen} is outdated, the current one is {current}"),
        ),
        WriteError::Rejected(rejections) => rejected(&rejections),
        WriteError::Contended => {
            refuse(StatusCode::CONFLICT, "other writers were faster too often".to_owned())
        }
        WriteError::StoreLostGenerations { stored, in_force } => RequestError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            Step::Store,
            format!("the store is of generation {stored}, and {in_force} is in force"),
        ),
        WriteError::Store(error) => store_error(&error),
        WriteError::Unknown { change_id, source } => {
            let message = format!("{source}; ask for the change {change_id}");
            RequestError::unknown(StatusCode::GATEWAY_TIMEOUT, Step::Store, message)
                .of_request(&change_id)
        }
    }
}

fn rejected(rejections: &[Rejection]) -> RequestError {
    let lines: Vec<String> = rejections.iter().map(ToString::to_string).collect();
    let message = lines.join("; ");
    RequestError::not_run(StatusCode::UNPROCESSABLE_ENTITY, Step::Validate, message)
}

/// Tells an operator that a call to the store failed without effect.
pub fn store_error(error: &StoreError) -> RequestError {
    let message = error.to_string();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let told = RequestError::not_run(status, Step::Store, message);
    match error {
        StoreError::Unreachable { peer, .. }
        | StoreError::NoResponse { peer, .. }
        | StoreError::Refused { peer, .. } => told.at_peer(peer),
        StoreError::Malformed { .. } | StoreError::NewerFormat { .. } | StoreError::RateLimited => {
            told
        }
    }
}
