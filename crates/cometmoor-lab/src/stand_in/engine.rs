//! A model engine: continuous batching, bounded memory, fences.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use cometmoor_protocol::engine::{
    COMPLETIONS_PATH, CompletionChunk, CompletionRequest, FENCE_PATH, INVENTORY_PATH, ORDERS_PATH,
    Order, REQUESTS_PATH, RaiseFence, Refusal, RefusalReason,
};
use futures::stream;

use super::Running;
use super::engine_state::{EngineConfig, EngineFault, EngineState, Generating};

/// How long a call hangs that is never answered.
const HANG: Duration = Duration::from_secs(20);
/// Time after which a leaving engine must get no more requests.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// The stand-in.
pub struct EngineStandIn {
    /// State and records.
    pub state: Arc<EngineState>,
    running: Running,
}

type State = web::Data<Arc<EngineState>>;

impl EngineStandIn {
    /// Starts an empty engine on a free port of loopback.
    pub fn start(config: EngineConfig) -> std::io::Result<EngineStandIn> {
        let state = Arc::new(EngineState::new(config));
        let running = Running::serve(state.clone(), configure)?;
        Ok(EngineStandIn { state, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }
}

fn configure(config: &mut web::ServiceConfig) {
    config
        .route(INVENTORY_PATH, web::get().to(inventory))
        .route(FENCE_PATH, web::post().to(raise_fence))
        .route(ORDERS_PATH, web::post().to(order))
        .route(COMPLETIONS_PATH, web::post().to(complete))
        .route(&format!("{REQUESTS_PATH}/{{id}}"), web::delete().to(cancel));
}

fn refuse(refused: RefusalReason) -> HttpResponse {
    HttpResponse::Conflict().json(Refusal { refused })
}

async fn hang_if_frozen(state: &EngineState) {
    while state.fault() == EngineFault::Frozen {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn inventory(state: State) -> HttpResponse {
    hang_if_frozen(&state).await;
    HttpResponse::Ok().json(state.inventory())
}

async fn raise_fence(state: State, body: web::Json<RaiseFence>) -> HttpResponse {
    hang_if_frozen(&state).await;
    match state.raise_fence(body.fence) {
        Ok(()) => HttpResponse::Ok().json(state.inventory()),
        Err(reason) => refuse(reason),
    }
}

async fn order(state: State, body: web::Json<Order>) -> HttpResponse {
    hang_if_frozen(&state).await;
    let order = body.into_inner();
    match state.fault() {
        EngineFault::LostOrders => actix_rt::time::sleep(HANG).await,
        EngineFault::LateOrders(delay) => {
            apply_later(&state, order, delay);
            actix_rt::time::sleep(HANG).await;
            return HttpResponse::GatewayTimeout().finish();
        }
        EngineFault::DoubledOrders(delay) => apply_later(&state, order.clone(), delay),
        _ => {}
    }
    match state.apply(&order) {
        Ok(()) => HttpResponse::Ok().json(state.inventory()),
        Err(reason) => refuse(reason),
    }
}

fn apply_later(state: &State, order: Order, delay: Duration) {
    let state = state.get_ref().clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(delay).await;
        // A refusal is what a late order should meet.
        let _ = state.apply(&order);
    });
}

async fn complete(state: State, body: web::Json<CompletionRequest>) -> HttpResponse {
    hang_if_frozen(&state).await;
    let mut request = body.into_inner();
    match state.fault() {
        EngineFault::Nonsense => {
            let page = "<html>not an engine</html>";
            return HttpResponse::Ok().content_type("text/html").body(page);
        }
        EngineFault::Endless => request.max_tokens = u32::MAX,
        _ => {}
    }
    let (generating, is_new) = match state.begin(&request, LEAVING_GRACE) {
        Ok(begun) => begun,
        Err(reason) => return refuse(reason),
    };
    if is_new {
        let (state, request, generating) =
            (state.get_ref().clone(), request.clone(), generating.clone());
        actix_rt::spawn(async move { state.generate(request, generating).await });
    }
    let reader = StreamReader {
        position: usize::try_from(request.resume_from).unwrap_or(usize::MAX),
        state: state.get_ref().clone(),
        generating,
        sent: 0,
    };
    let events = stream::unfold(reader, |mut reader| async move {
        let event = reader.next().await?;
        Some((Ok::<Bytes, std::io::Error>(event), reader))
    });
    HttpResponse::Ok().content_type("text/event-stream").streaming(Box::pin(events))
}

struct StreamReader {
    state: Arc<EngineState>,
    generating: Arc<Generating>,
    position: usize,
    sent: u64,
}

impl StreamReader {
    async fn next(&mut self) -> Option<Bytes> {
        hang_if_frozen(&self.state).await;
        match self.state.fault() {
            EngineFault::CutStreams(after) if self.sent >= after => None,
            EngineFault::DisorderedStreams => self.next_disordered().await,
            _ => {
                let chunk = self.take().await?;
                Some(event(&chunk))
            }
        }
    }

    async fn take(&mut self) -> Option<CompletionChunk> {
        let chunk = self.generating.get(self.position).await?;
        self.position += 1;
        self.sent += 1;
        Some(chunk)
    }

    /// Two parts in the wrong order.
    async fn next_disordered(&mut self) -> Option<Bytes> {
        let first = self.take().await?;
        let Some(second) = self.take().await else {
            return Some(event(&first));
        };
        let parts = [&second, &first].map(event);
        Some(Bytes::from(parts.concat()))
    }
}

fn event(chunk: &CompletionChunk) -> Bytes {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    Bytes::from(format!("data: {data}\n\n"))
}

async fn cancel(state: State, id: web::Path<String>) -> HttpResponse {
    hang_if_frozen(&state).await;
    state.cancel(&id);
    HttpResponse::NoContent().finish()
}
