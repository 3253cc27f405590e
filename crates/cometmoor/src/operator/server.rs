//! The operators' HTTP server.

use std::rc::Rc;
use std::sync::Arc;

use actix::Addr;
use actix_web::body::{EitherBody, MessageBody};
use actix_web::dev::{Server, ServiceRequest, ServiceResponse};
use actix_web::middleware::{Next, from_fn};
use actix_web::{App, HttpServer, ResponseError, web};
use cometmoor_core::keys::{KeyDigest, PresentedKey};
use tokio::sync::{Notify, watch};

use super::state::OperatorState;
use super::{api, watch as operator_watch};
use crate::context::NodeContext;
use crate::control::configuration::ConfigurationActor;
use crate::store::etcd::EtcdStore;
use crate::store::layout::Layout;
use crate::traffic::authentication::{bearer_key, unauthorized};
use crate::traffic::health::live;
use crate::traffic::server::not_found;

/// Largest resource, in bytes; the store holds values up to a megabyte.
const MAX_RESOURCE_BYTES: usize = 256 << 10;

/// Connections at the same time. Each may send a resource.
const MAX_CONNECTIONS: usize = 64;

/// What the server gets from the control thread.
#[derive(Clone)]
pub struct OperatorHandles {
    /// State of the node.
    pub node: Arc<NodeContext>,
    /// Owner of the configuration.
    pub configuration: Addr<ConfigurationActor>,
    /// Generation in force.
    pub generations: watch::Receiver<u64>,
    /// Notified to start the planned stop.
    pub drain: Arc<Notify>,
}

/// Starts the server on a thread of its own.
pub fn start(handles: OperatorHandles) -> std::io::Result<Server> {
    let address = handles.node.settings.operator_address;
    let server = HttpServer::new(move || {
        let handles = handles.clone();
        let settings = &handles.node.settings;
        let state = OperatorState {
            store: Rc::new(EtcdStore::new(&settings.store, handles.node.metrics.clone())),
            layout: Layout::new(&settings.system),
            node: handles.node,
            configuration: handles.configuration,
            generations: handles.generations,
            drain: handles.drain,
        };
        let api = web::scope("/api/v1")
            .wrap(from_fn(require_operator))
            .route("/status", web::get().to(api::status))
            .route("/schema", web::get().to(api::schema))
            .route("/drain", web::post().to(api::drain))
            .route("/watch", web::get().to(operator_watch::watch))
            .route("/changes/{id}", web::get().to(api::change))
            .route("/{kind}", web::get().to(api::list))
            .route("/{kind}", web::post().to(api::create))
            .route("/{kind}/{name}", web::get().to(api::get))
            .route("/{kind}/{name}", web::put().to(api::put))
            .route("/{kind}/{name}", web::delete().to(api::delete))
            .default_service(web::to(not_found));
        App::new()
            .app_data(web::Data::new(state))
            .app_data(web::PayloadConfig::new(MAX_RESOURCE_BYTES))
            .service(api)
            .route("/healthz/live", web::get().to(live))
            .route("/metrics", web::get().to(api::metrics))
            .default_service(web::to(not_found))
    })
    .workers(1)
    .max_connections(MAX_CONNECTIONS)
    .tcp_nodelay(true)
    .disable_signals()
    .shutdown_timeout(1)
    .bind(address)?;
    Ok(server.run())
}

/// Lets only requests with the operators' key pass.
async fn require_operator<Body: MessageBody + 'static>(
    request: ServiceRequest,
    next: Next<Body>,
) -> Result<ServiceResponse<EitherBody<Body>>, actix_web::Error> {
    let state = request.app_data::<web::Data<OperatorState>>();
    let expected =
        state.and_then(|state| KeyDigest::from_hex(&state.node.settings.operator_key_hash));
    let presented = bearer_key(request.request());
    let allowed = expected.is_some_and(|expected| presented == PresentedKey::Key(expected));
    if allowed {
        return Ok(next.call(request).await?.map_into_left_body());
    }
    let refusal = unauthorized().error_response();
    Ok(request.into_response(refusal).map_into_right_body())
}
