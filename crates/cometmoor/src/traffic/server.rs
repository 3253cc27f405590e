//! The callers' HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::{App, HttpResponse, HttpServer, web};
use cometmoor_protocol::error::Step;

use super::error::RequestError;
use super::worker::Worker;
use super::{completions, directory, health, services};
use crate::context::NodeContext;

/// Time for a caller to send the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time in which requests in progress end after the server was told
/// to stop; the drain has waited for them before.
const STOP_TIMEOUT_SECONDS: u64 = 5;

/// Starts the server on its own threads.
pub fn start(node: Arc<NodeContext>) -> std::io::Result<Server> {
    let address: SocketAddr = node.settings.client_address;
    let threads = node.settings.traffic_threads;
    let connections = node.settings.limits.connections.div_ceil(threads);
    let server = HttpServer::new(move || {
        let worker = Worker::new(node.clone());
        App::new()
            .app_data(web::Data::new(worker))
            .route("/v1/chat/completions", web::post().to(completions::chat))
            .route("/v1/completions", web::post().to(completions::text))
            .route("/v1/models", web::get().to(directory::models))
            .route("/v1/directory", web::get().to(directory::directory))
            .route("/services/{service}/{path:.*}", web::route().to(services::call))
            .route("/healthz/live", web::get().to(health::live))
            .route("/healthz/ready", web::get().to(health::ready))
            .default_service(web::to(not_found))
    })
    .workers(threads)
    .max_connections(connections)
    .client_request_timeout(HEAD_TIMEOUT)
    .shutdown_timeout(STOP_TIMEOUT_SECONDS)
    // Tokens are small writes that must not wait for acknowledgements.
    .tcp_nodelay(true)
    .disable_signals()
    .bind(address)?;
    Ok(server.run())
}

/// Answers requests for paths that do not exist.
pub async fn not_found() -> Result<HttpResponse, RequestError> {
    let message = "there is nothing at this path";
    Err(RequestError::not_run(StatusCode::NOT_FOUND, Step::Resolve, message))
}
