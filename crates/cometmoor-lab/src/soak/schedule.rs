//! Draws the faults of a run from its seed.

use std::fmt;
use std::time::Duration;

use cometmoor_platform_stand_in::links::LinkState;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time without a fault at the start, for nodes to find one another.
const FIRST: Duration = Duration::from_millis(2500);
/// Shortest and longest time between two faults.
const PAUSES: (u64, u64) = (150, 1300);
/// Shortest and longest time that a fault lasts.
const LASTS: (u64, u64) = (600, 4500);

/// Shortest and longest time between two changes of tenants.
const TENANT_PAUSES: (u64, u64) = (600, 2600);
/// Parts of its limit, in hundredths, that a tenant's is set to.
const LIMITS: [u32; 3] = [100, 50, 150];
/// Keeps the changes of tenants apart from the other faults of a seed.
const TENANT_DRAWS: u64 = 0x7e7a_0000;

/// Shortest and longest time between two things that servers say of themselves.
const SIGNAL_PAUSES: (u64, u64) = (1500, 5000);
/// Shortest and longest time for which one says the same.
const SIGNAL_LASTS: (u64, u64) = (4000, 9000);
/// Limits that servers name, in tenths of a request a second.
const SERVER_LIMITS: [u32; 4] = [5, 10, 50, 200];
/// Shortest and longest rest that is asked for, in milliseconds.
const RESTS: (u64, u64) = (800, 4000);
/// Keeps what servers say of themselves apart from the other faults of a seed.
const SIGNAL_DRAWS: u64 = 0x51_9a15_0000;

/// Shortest and longest time between two restores of the store.
const RESTORE_PAUSES: (u64, u64) = (5000, 14_000);
/// Youngest and oldest copy that it comes back from.
const COPY_AGES: (u64, u64) = (300, 6000);
/// Shortest and longest time for which it is away meanwhile.
const AWAY: (u64, u64) = (50, 3000);
/// Shortest and longest time between two cuts of a node from all servers.
const CUT_PAUSES: (u64, u64) = (3000, 8000);
/// Shortest and longest time that one lasts.
const CUT_LASTS: (u64, u64) = (1000, 7000);
/// Keeps such cuts apart from the other faults of a seed.
const CUT_DRAWS: u64 = 0xc0_7000_0000;
/// Keeps restores apart from the other faults of a seed.
const RESTORE_DRAWS: u64 = 0x4e57_0000;

/// What happens to a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WayFault {
    /// Each piece is late.
    Slow,
    /// Open connections stay open and carry nothing more, for good; new ones work.
    SilenceOpen,
    /// Nothing passes in either direction until it ends.
    Cut,
    /// Nothing comes back until it ends.
    CutBack,
    /// Open connections are reset.
    Reset,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A node is asked to stop, and starts again after its end.
    Stop(usize),
    /// A node is killed, and starts again.
    Kill(usize),
    /// A node stands still for a while.
    Freeze(usize, Duration),
    /// A node is told that its settings may have changed.
    HangUp(usize),
    /// The way of a node to the store.
    StoreWay(usize, WayFault, Duration),
    /// The ways of all nodes but one to the store.
    StoreWaysBut(usize, WayFault, Duration),
    /// The store answers nobody.
    StoreBusy(Duration),
    /// The store carries calls out and closes without an answer.
    StoreLosesAnswers(Duration),
    /// The store answers nobody for a while, and comes back from a copy of this age.
    StoreRestore {
        /// Age of the copy when the store goes away.
        age: Duration,
        /// Time for which the store is away.
        away: Duration,
    },
    /// The store forgets its history while a server leaves without a word.
    StoreForgets(usize),
    /// A server ends at once; a server of another service gets its address.
    AddressReused(usize),
    /// The ways to a server.
    ServerWay(usize, WayFault, Duration),
    /// A server says that it leaves; a new one takes its place.
    Leave(usize),
    /// A server's entry goes without a word; a new one takes its place.
    Vanish(usize),
    /// The store takes a new configuration.
    Configure,
    /// A configuration takes a tenant's key away and holds a new one.
    ReplaceKey,
    /// A configuration sets a tenant's limit, in hundredths of the first one.
    Limit(u32),
    /// A tenant sends many times its limit.
    Flood(Duration),
    /// A server names a limit in its answers, in tenths of a request a second.
    NameLimit(usize, u32, Duration),
    /// A server turns requests away and asks for a rest of so many milliseconds.
    AskRest(usize, u64, Duration),
    /// A node loses its links to all servers.
    CutServers(usize, LinkState, Duration),
    /// A server says in its answers that it leaves, a while before its entry does; a new one
    /// takes its place.
    SayLeaving(usize, Duration),
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Time from the start.
    pub at: Duration,
    /// What happens.
    pub fault: Fault,
}

impl fmt::Display for Planned {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2} s {:?}", self.at.as_secs_f64(), self.fault)
    }
}

/// The faults of a seed, in order; they overlap.
pub fn draw(seed: u64, span: Duration, nodes: usize, servers: usize) -> Vec<Planned> {
    let random = ChaCha8Rng::seed_from_u64(seed);
    let faults = draw_each(random, span, PAUSES, |random| draw_fault(random, nodes, servers));
    let random = ChaCha8Rng::seed_from_u64(seed ^ TENANT_DRAWS);
    let tenants = draw_each(random, span, TENANT_PAUSES, draw_tenant_fault);
    let random = ChaCha8Rng::seed_from_u64(seed ^ SIGNAL_DRAWS);
    let signals = draw_each(random, span, SIGNAL_PAUSES, |random| draw_signal(random, servers));
    let random = ChaCha8Rng::seed_from_u64(seed ^ RESTORE_DRAWS);
    let restores = draw_each(random, span, RESTORE_PAUSES, draw_restore);
    let random = ChaCha8Rng::seed_from_u64(seed ^ CUT_DRAWS);
    let cuts = draw_each(random, span, CUT_PAUSES, |random| draw_cut(random, nodes));
    let all = faults.into_iter().chain(tenants).chain(signals).chain(restores).chain(cuts);
    let mut planned: Vec<Planned> = all.collect();
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn draw_each(
    mut random: ChaCha8Rng,
    span: Duration,
    pauses: (u64, u64),
    draw: impl Fn(&mut ChaCha8Rng) -> Fault,
) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = FIRST;
    while at < span {
        planned.push(Planned { at, fault: draw(&mut random) });
        at += Duration::from_millis(random.random_range(pauses.0..pauses.1));
    }
    planned
}

fn draw_tenant_fault(random: &mut ChaCha8Rng) -> Fault {
    let lasts = Duration::from_millis(random.random_range(LASTS.0..LASTS.1));
    match random.random_range(0..4) {
        0 | 1 => Fault::ReplaceKey,
        2 => Fault::Limit(LIMITS[random.random_range(0..LIMITS.len())]),
        _ => Fault::Flood(lasts),
    }
}

fn draw_signal(random: &mut ChaCha8Rng, servers: usize) -> Fault {
    let server = random.random_range(0..servers);
    let lasts = Duration::from_millis(random.random_range(SIGNAL_LASTS.0..SIGNAL_LASTS.1));
    match random.random_range(0..5) {
        0 | 1 => {
            let limit = SERVER_LIMITS[random.random_range(0..SERVER_LIMITS.len())];
            Fault::NameLimit(server, limit, lasts)
        }
        2 | 3 => Fault::AskRest(server, random.random_range(RESTS.0..RESTS.1), lasts),
        _ => Fault::SayLeaving(server, lasts),
    }
}

fn draw_restore(random: &mut ChaCha8Rng) -> Fault {
    let mut millis = |(least, most)| Duration::from_millis(random.random_range(least..most));
    Fault::StoreRestore { age: millis(COPY_AGES), away: millis(AWAY) }
}

fn draw_cut(random: &mut ChaCha8Rng, nodes: usize) -> Fault {
    let states = [LinkState::Refusing, LinkState::Silent, LinkState::RefusingNew];
    let state = states[random.random_range(0..states.len())];
    let lasts = Duration::from_millis(random.random_range(CUT_LASTS.0..CUT_LASTS.1));
    Fault::CutServers(random.random_range(0..nodes), state, lasts)
}

fn draw_fault(random: &mut ChaCha8Rng, nodes: usize, servers: usize) -> Fault {
    let node = random.random_range(0..nodes);
    let server = random.random_range(0..servers);
    let lasts = Duration::from_millis(random.random_range(LASTS.0..LASTS.1));
    let way = draw_way(random);
    match random.random_range(0..19) {
        0 | 1 => Fault::Stop(node),
        2 => Fault::Kill(node),
        3 => Fault::Freeze(node, lasts),
        4 => Fault::HangUp(node),
        5 | 6 => Fault::StoreWay(node, way, lasts),
        7 | 8 => Fault::StoreWaysBut(node, way, lasts),
        9 => Fault::StoreBusy(lasts),
        10 => Fault::ServerWay(server, way, lasts),
        11 | 12 => Fault::Leave(server),
        13 => Fault::Vanish(server),
        14 => Fault::StoreLosesAnswers(lasts),
        15 => Fault::StoreForgets(server),
        16 => Fault::AddressReused(server),
        _ => Fault::Configure,
    }
}

fn draw_way(random: &mut ChaCha8Rng) -> WayFault {
    let all = [
        WayFault::Slow,
        WayFault::SilenceOpen,
        WayFault::SilenceOpen,
        WayFault::Cut,
        WayFault::CutBack,
        WayFault::Reset,
    ];
    all[random.random_range(0..all.len())]
}
