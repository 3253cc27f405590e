//! The platform's list of live and leaving machines.
//!
//! The list lags, so it only adds to what engines say of themselves.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use spdlog::warn;

use crate::control::engines::LeavingEngines;
use crate::telemetry::log::Part;

/// Path of the list.
pub const MACHINES_PATH: &str = "/machines";
/// Between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the list to answer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines, by the addresses of what runs on them.
    pub machines: Vec<Machine>,
}

/// One machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Socket address of the engine on it.
    pub address: String,
    /// State.
    pub state: MachineState,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It stays.
    Live,
    /// It is going away.
    Leaving,
}

/// Reads the list again and again.
pub struct MachineWatch {
    address: SocketAddr,
    leaving: Arc<LeavingEngines>,
    client: awc::Client,
}

impl MachineWatch {
    /// A watch that tells `leaving` what it reads.
    pub fn new(address: SocketAddr, leaving: Arc<LeavingEngines>) -> MachineWatch {
        let client = awc::Client::builder().timeout(READ_TIMEOUT).disable_redirects().finish();
        MachineWatch { address, leaving, client }
    }

    /// Runs until the process ends. While the list cannot be read, the last
    /// one counts.
    pub async fn run(self) {
        let mut failing = false;
        loop {
            match self.read().await {
                Ok(list) => {
                    failing = false;
                    self.leaving.replace(leaving_addresses(&list));
                }
                Err(reason) if !failing => {
                    failing = true;
                    warn!(
                        "{} reading the list at {} failed: {reason}",
                        Part::Machines,
                        self.address
                    );
                }
                Err(_) => {}
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    async fn read(&self) -> Result<MachineList, String> {
        let url = format!("http://{}{MACHINES_PATH}", self.address);
        let mut response = self.client.get(url).send().await.map_err(|error| error.to_string())?;
        response.json().await.map_err(|error| error.to_string())
    }
}

fn leaving_addresses(list: &MachineList) -> BTreeSet<String> {
    list.machines
        .iter()
        .filter(|machine| machine.state == MachineState::Leaving)
        .map(|machine| machine.address.clone())
        .collect()
}
