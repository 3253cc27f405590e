//! A plain service that counts how often each call was run.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use serde_json::json;

use super::Running;

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// It does not.
    #[default]
    None,
    /// Calls are run and their answers are lost.
    LostReplies,
}

#[derive(Default)]
struct Data {
    runs: HashMap<String, u32>,
    fault: ServiceFault,
}

/// The stand-in.
pub struct ServiceStandIn {
    data: Arc<Mutex<Data>>,
    running: Running,
}

/// How long a call hangs that is never answered.
const HANG: Duration = Duration::from_secs(20);

impl ServiceStandIn {
    /// Starts it on a free port of loopback.
    pub fn start() -> std::io::Result<ServiceStandIn> {
        let data = Arc::new(Mutex::new(Data::default()));
        let running = Running::serve(data.clone(), configure)?;
        Ok(ServiceStandIn { data, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: ServiceFault) {
        self.data.lock().unwrap_or_else(PoisonError::into_inner).fault = fault;
    }

    /// Runs of calls by their bodies.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner).runs.clone()
    }
}

fn configure(config: &mut web::ServiceConfig) {
    config.default_service(web::to(call));
}

async fn call(
    data: web::Data<Arc<Mutex<Data>>>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let text = String::from_utf8_lossy(&body).into_owned();
    let (runs, fault) = {
        let mut data = data.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = data.runs.entry(text.clone()).or_insert(0);
        *runs += 1;
        (*runs, data.fault)
    };
    if fault == ServiceFault::LostReplies {
        actix_rt::time::sleep(HANG).await;
    }
    HttpResponse::Ok().json(json!({"path": request.path(), "body": text, "runs": runs}))
}
