//! Operators who change the configuration all the time, and race.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cometmoor::cli::client::{ApiClient, ApiError};

use super::SharedSystem;
use super::system::{MODELS, declared_model};

/// Pause between an operator's changes.
const PAUSE: Duration = Duration::from_millis(700);
/// Pause between two samples of the generations.
const SAMPLE: Duration = Duration::from_millis(250);

/// What became of the changes.
#[derive(Debug, Default)]
pub struct ChangeTally {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that were refused.
    pub refused: u64,
    /// Changes whose outcome was told to be unknown.
    pub unknown: u64,
    /// Highest accepted version number of each model.
    pub accepted_versions: BTreeMap<usize, u64>,
}

/// All operators of a run, and the sampler of generations.
pub struct Operators {
    /// What became of their changes.
    pub tally: Rc<RefCell<ChangeTally>>,
    stopping: Rc<Cell<bool>>,
    running: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
}

impl Operators {
    /// Starts two operators who both change the same models.
    pub fn start(system: &SharedSystem) -> Operators {
        let operators = Operators {
            tally: Rc::default(),
            stopping: Rc::default(),
            running: RefCell::default(),
        };
        for index in 0..2 {
            let mut addresses = system.cluster.borrow().operator_addresses();
            addresses.rotate_left(index);
            let api = ApiClient::new(addresses, crate::cluster::OPERATOR_KEY);
            let tally = operators.tally.clone();
            let stopping = operators.stopping.clone();
            let task = actix_rt::spawn(async move {
                let mut version = 2 + index as u64;
                while !stopping.get() {
                    change_version(&api, &tally, version).await;
                    version += 2;
                    actix_rt::time::sleep(PAUSE).await;
                }
            });
            operators.running.borrow_mut().push(task);
        }
        let sampled = system.clone();
        let stopping = operators.stopping.clone();
        let task = actix_rt::spawn(async move {
            while !stopping.get() {
                sampled.sample_generations().await;
                actix_rt::time::sleep(SAMPLE).await;
            }
        });
        operators.running.borrow_mut().push(task);
        operators
    }

    /// Lets them finish what they have begun.
    pub async fn stop(&self) {
        self.stopping.set(true);
        futures::future::join_all(self.running.take()).await;
    }
}

/// Rolls one model, and in turn the others, to a new version.
async fn change_version(api: &ApiClient, tally: &RefCell<ChangeTally>, version: u64) {
    // Both operators work on the same model for a while.
    let model = usize::try_from(version / 4).unwrap_or(0) % MODELS;
    let result = api.apply(&declared_model(model, version), false).await;
    let mut tally = tally.borrow_mut();
    match result {
        Ok(_) => {
            tally.accepted += 1;
            tally.accepted_versions.insert(model, version);
        }
        Err(ApiError::Unanswered { .. }) => tally.unknown += 1,
        Err(error) if error.exit() == cometmoor::cli::exit::Exit::Unknown => tally.unknown += 1,
        Err(_) => tally.refused += 1,
    }
}
