//! Runs a property over schedules that `bolero` generates from fixed seeds.
//!
//! `bolero::check!` takes its seeds from the operating system, so two CI runs of the same code
//! could give different results. Here case N is always the same. `COMETMOOR_CASES` sets the
//! number of cases and `COMETMOOR_FIRST_SEED` the first seed.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind};

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Maximum number of steps in a schedule.
const STEPS: usize = 48;

/// Runs `property` on `cases` schedules. A failing schedule is reduced to the steps that matter and
/// printed with its seed, and the test fails.
pub fn for_each_schedule<Step: TypeGenerator + Copy + Debug>(
    cases: u64,
    property: impl Fn(&[Step]),
) {
    let cases = from_environment("COMETMOOR_CASES").unwrap_or(cases);
    let first = from_environment("COMETMOOR_FIRST_SEED").unwrap_or(0);
    for seed in first..first + cases {
        let steps = generate::<Step>(seed);
        if passes(&property, &steps) {
            continue;
        }
        let steps = shrink(&property, steps);
        eprintln!("seed {seed} fails, reduced to {steps:#?}");
        property(&steps);
        unreachable!("the reduced schedule fails as well");
    }
}

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn generate<Step: TypeGenerator>(seed: u64) -> Vec<Step> {
    let options = Options::default();
    let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &options);
    (0..STEPS).filter_map(|_| Step::generate(&mut driver)).collect()
}

fn passes<Step>(property: &impl Fn(&[Step]), steps: &[Step]) -> bool {
    catch_unwind(AssertUnwindSafe(|| property(steps))).is_ok()
}

/// Removes every step without which the property still fails.
fn shrink<Step: Copy>(property: &impl Fn(&[Step]), mut steps: Vec<Step>) -> Vec<Step> {
    let mut index = steps.len();
    while index > 0 {
        index -= 1;
        let mut shorter = steps.clone();
        shorter.remove(index);
        if !passes(property, &shorter) {
            steps = shorter;
        }
    }
    steps
}
