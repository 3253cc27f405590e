//! Real nodes under load, through a seeded schedule of faults.
//!
//! Every invariant is counted; a right system counts zero of each. See
//! `docs/design/fault-runs.md`.

pub mod action;
pub mod callers;
pub mod command;
pub mod operators;
pub mod report;
pub mod system;

use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use self::action::Fault;
use self::callers::Callers;
use self::operators::Operators;
use self::report::FaultReport;
use self::system::FaultSystem;
use crate::cluster::{NodeKind, wait_for};

/// Rounds with one fault each.
const SINGLE_ROUNDS: usize = 6;
/// Rounds with two faults at the same time.
const PAIR_ROUNDS: usize = 4;
/// Load without a fault, before, between and after the rounds.
const CALM: Duration = Duration::from_millis(700);
/// Time for the system to come to rest at the end.
const SETTLE: Duration = Duration::from_secs(40);

/// A run to make.
#[derive(Clone, Debug)]
pub struct FaultRun {
    /// Decides the load and, where none are given, the faults.
    pub seed: u64,
    /// Rounds of faults that start together.
    pub rounds: Vec<Vec<Fault>>,
    /// How the nodes are run.
    pub nodes: NodeKind,
}

impl FaultRun {
    /// The schedule of a seed: single faults, then pairs.
    pub fn seeded(seed: u64, nodes: NodeKind) -> FaultRun {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut all = Fault::ALL.to_vec();
        all.shuffle(&mut random);
        let single = all.iter().take(SINGLE_ROUNDS).map(|fault| vec![*fault]);
        let mut rounds: Vec<Vec<Fault>> = single.collect();
        for _ in 0..PAIR_ROUNDS {
            rounds.push(Fault::ALL.choose_multiple(&mut random, 2).copied().collect());
        }
        FaultRun { seed, rounds, nodes }
    }
}

/// Makes a run; an error means that it could not be made at all.
pub async fn run(run: &FaultRun) -> Result<FaultReport, String> {
    let mut random = ChaCha8Rng::seed_from_u64(run.seed);
    let system = FaultSystem::start(&run.nodes).await?;
    let callers = Callers::start(&system, run.seed);
    let operators = Operators::start(&system);
    actix_rt::time::sleep(CALM).await;
    for faults in &run.rounds {
        eprintln!("seed {}: {faults:?}", run.seed);
        let actions = faults.iter().map(|fault| fault.induce(&system, rand_seed(&mut random)));
        futures::future::join_all(actions).await;
        actix_rt::time::sleep(CALM).await;
    }
    callers.stop().await;
    operators.stop().await;
    let settled = wait_for("the system to come to rest", SETTLE, async || {
        system.unreachable_models().await == 0 && system.generations_agree().await
    });
    if let Err(error) = settled.await {
        eprintln!("{error}");
    }
    Ok(report::collect(run, &system, &callers, &operators).await)
}

fn rand_seed(random: &mut ChaCha8Rng) -> u64 {
    rand::Rng::random(random)
}

/// Shared handle of the system under test.
pub type SharedSystem = Rc<FaultSystem>;
