//! The platform's list of machines, with its lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use cometmoor::machines::{MACHINES_PATH, Machine, MachineList, MachineState};

use super::Running;

struct Versions {
    lag: Duration,
    /// Lists with the time from which each is shown.
    lists: Vec<(Instant, MachineList)>,
}

/// The stand-in.
pub struct MachinesStandIn {
    versions: Arc<Mutex<Versions>>,
    running: Running,
}

impl MachinesStandIn {
    /// Starts an empty list that shows changes only after `lag`.
    pub fn start(lag: Duration) -> std::io::Result<MachinesStandIn> {
        let versions = Arc::new(Mutex::new(Versions { lag, lists: Vec::new() }));
        let running = Running::serve(versions.clone(), configure)?;
        Ok(MachinesStandIn { versions, running })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Sets the machines that are leaving.
    pub fn set_leaving(&self, addresses: &[SocketAddr]) {
        let machines = addresses
            .iter()
            .map(|address| Machine { address: address.to_string(), state: MachineState::Leaving });
        let list = MachineList { machines: machines.collect() };
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let shown_at = Instant::now() + versions.lag;
        versions.lists.push((shown_at, list));
    }
}

fn configure(config: &mut web::ServiceConfig) {
    config.route(MACHINES_PATH, web::get().to(list));
}

async fn list(versions: web::Data<Arc<Mutex<Versions>>>) -> HttpResponse {
    let versions = versions.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let shown = versions.lists.iter().rev().find(|(shown_at, _)| *shown_at <= now);
    HttpResponse::Ok().json(shown.map(|(_, list)| list.clone()).unwrap_or_default())
}
