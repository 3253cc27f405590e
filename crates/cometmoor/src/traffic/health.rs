//! Health and readiness.

use actix_web::{HttpResponse, web};
use serde_json::json;

use super::worker::Worker;

/// `GET /healthz/live`: the process answers.
pub async fn live() -> HttpResponse {
    HttpResponse::Ok().json(json!({"status": "live"}))
}

/// `GET /healthz/ready`: new callers may be sent here.
pub async fn ready(worker: web::Data<Worker>) -> HttpResponse {
    let node = &worker.node;
    let reason = if node.is_draining() {
        "draining"
    } else if node.published.load().generation == 0 {
        "no configuration yet"
    } else if !node.may_serve() {
        "cut off from the store and most nodes"
    } else {
        return HttpResponse::Ok().json(json!({"status": "ready"}));
    };
    HttpResponse::ServiceUnavailable().json(json!({"status": "not ready", "reason": reason}))
}
