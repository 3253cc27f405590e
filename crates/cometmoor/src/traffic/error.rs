//! Errors as callers see them.

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderValue, RETRY_AFTER};
use actix_web::{HttpResponse, ResponseError};
use cometmoor_protocol::error::{ErrorBody, ErrorDetail, Outcome, Step};

/// A request that failed, with all that is known of it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestError {
    /// HTTP status.
    pub status: StatusCode,
    /// What is told to the caller.
    pub detail: Box<ErrorDetail>,
}

impl RequestError {
    /// An error before any part of the request left for a back end.
    pub fn not_run(status: StatusCode, step: Step, message: impl Into<String>) -> RequestError {
        RequestError::new(status, step, Outcome::NotRun, message)
    }

    /// An error after which the request may have been run.
    pub fn unknown(status: StatusCode, step: Step, message: impl Into<String>) -> RequestError {
        RequestError::new(status, step, Outcome::Unknown, message)
    }

    /// An error with an outcome that was worked out elsewhere.
    pub fn new(
        status: StatusCode,
        step: Step,
        outcome: Outcome,
        message: impl Into<String>,
    ) -> RequestError {
        let detail = ErrorDetail {
            message: message.into(),
            step,
            peer: None,
            outcome,
            request_id: None,
            retry_after_millis: None,
            near_names: Vec::new(),
        };
        RequestError { status, detail: Box::new(detail) }
    }

    /// Names the other side.
    pub fn at_peer(mut self, peer: impl Into<String>) -> RequestError {
        self.detail.peer = Some(peer.into());
        self
    }

    /// Tells when to come back.
    pub fn retry_after(mut self, after: Duration) -> RequestError {
        self.detail.retry_after_millis = Some(u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Names the request.
    pub fn of_request(mut self, request_id: &str) -> RequestError {
        self.detail.request_id = Some(request_id.to_owned());
        self
    }

    /// The body of the error answer.
    pub fn body(&self) -> ErrorBody {
        ErrorBody { error: self.detail.as_ref().clone() }
    }
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ErrorDetail { message, step, outcome, peer, .. } = self.detail.as_ref();
        let peer = peer.as_deref().unwrap_or("none");
        write!(formatter, "{message} (step {step:?}, peer {peer}, outcome {outcome:?})")
    }
}

impl std::error::Error for RequestError {}

impl ResponseError for RequestError {
    fn status_code(&self) -> StatusCode {
        self.status
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status).json(self.body());
        if let Some(millis) = self.detail.retry_after_millis {
            let seconds = HeaderValue::from(millis.div_ceil(1_000));
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
