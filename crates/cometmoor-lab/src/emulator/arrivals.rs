//! When requests come, and what they ask for, by a seed.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::scenario::{FaultKind, RequestKind, Scenario, Spread};

/// Time of the emulator, in microseconds from the first request; the lead
/// before it is negative.
pub type Micros = i64;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it reaches the node.
    pub at: Micros,
    /// Its kind, by the place in the scenario.
    pub kind: usize,
    /// Its model.
    pub model: usize,
    /// Its subject: what requests with the same leading part share.
    pub subject: u64,
    /// Tokens of that part.
    pub shared_tokens: u64,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// The node.
    pub node: usize,
}

/// A number of seconds in emulated time.
pub fn seconds(value: f64) -> Micros {
    (value * SECOND as f64) as Micros
}

/// A time of the product's in emulated time.
pub fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

/// All requests of a day, in order.
pub fn draw(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for kind in 0..scenario.kinds.len() {
        draw_kind(scenario, kind, &mut random, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn draw_kind(
    scenario: &Scenario,
    index: usize,
    random: &mut ChaCha8Rng,
    arrivals: &mut Vec<Arrival>,
) {
    let kind = &scenario.kinds[index];
    let most = kind.per_second * largest_factor(scenario, kind);
    let clump = scenario.clump.max(1.0);
    let mut at = 0.0;
    loop {
        at += exponential(random) * clump / most;
        if at >= scenario.length_seconds {
            return;
        }
        let kept = kind.per_second * factor(scenario, kind, at) / most;
        if random.random::<f64>() >= kept {
            continue;
        }
        for _ in 0..clump_size(clump, random) {
            arrivals.push(draw_request(scenario, index, at, random));
        }
    }
}

/// At least one, and `clump` on average.
fn clump_size(clump: f64, random: &mut ChaCha8Rng) -> usize {
    let goes_on = 1.0 - 1.0 / clump;
    let mut size = 1;
    while random.random::<f64>() < goes_on {
        size += 1;
    }
    size
}

fn draw_request(scenario: &Scenario, index: usize, at: f64, random: &mut ChaCha8Rng) -> Arrival {
    let kind = &scenario.kinds[index];
    let model = draw_model(scenario, kind, at, random);
    let shared_tokens = kind.shared_tokens.round() as u64;
    let own = draw_spread(&kind.prompt_tokens, random);
    Arrival {
        at: seconds(at),
        kind: index,
        model,
        subject: (index as u64) << 32 | random.random_range(0..kind.subjects.max(1)),
        shared_tokens,
        prompt_tokens: shared_tokens + own,
        output_tokens: draw_spread(&kind.output_tokens, random),
        node: random.random_range(0..scenario.nodes),
    }
}

fn draw_model(scenario: &Scenario, kind: &RequestKind, at: f64, random: &mut ChaCha8Rng) -> usize {
    if kind.shares.is_empty() {
        return kind.first_model + random.random_range(0..kind.models);
    }
    let total: f64 = kind.shares.iter().sum();
    let mut left = random.random::<f64>() * total;
    let mut place = 0;
    while place + 1 < kind.shares.len() && left >= kind.shares[place] {
        left -= kind.shares[place];
        place += 1;
    }
    let moved: usize = scenario
        .shifts
        .iter()
        .filter(|shift| shift.at_seconds <= at)
        .map(|shift| shift.places)
        .sum();
    kind.first_model + (place + moved) % kind.models
}

fn factor(scenario: &Scenario, kind: &RequestKind, at: f64) -> f64 {
    let of_kind = |name: &Option<String>| name.as_ref().is_none_or(|name| *name == kind.name);
    let during = scenario
        .faults
        .iter()
        .filter(|fault| fault.at_seconds <= at && at < fault.at_seconds + fault.for_seconds);
    during
        .map(|fault| match &fault.what {
            FaultKind::Burst { kind, factor } if of_kind(kind) => *factor,
            _ => 1.0,
        })
        .product()
}

fn largest_factor(scenario: &Scenario, kind: &RequestKind) -> f64 {
    let begins = scenario.faults.iter().map(|fault| fault.at_seconds);
    begins.map(|at| factor(scenario, kind, at)).fold(1.0, f64::max)
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// A log-normal figure, at least 1.
fn draw_spread(spread: &Spread, random: &mut ChaCha8Rng) -> u64 {
    let variance = (1.0 + spread.deviation * spread.deviation).ln();
    let location = spread.mean.max(1.0).ln() - variance / 2.0;
    let value = (location + variance.sqrt() * normal(random)).exp();
    value.clamp(1.0, spread.most.max(1.0)).round() as u64
}

/// A standard normal figure (Box and Muller).
fn normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (2.0 * exponential(random)).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}
